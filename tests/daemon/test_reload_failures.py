"""SIGHUP with invalid files: a relay process applies a new configuration completely or not at all."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.stand_ins import RelayEnvironment, run

WAIT_S = 5.0
INVALID_FILES = {
    "not UTF-8": b"\xff\xfe[log]\n",
    "not TOML": b"[log\n",
    "an unknown log level": b'[log]\nlevel = "LOUD"\n',
    "a number for a section": b"log = 5\n",
    "a list for a section": b"rebalance = []\n",
    "a number for an address": b"[metrics]\ngraphite = 7\n",
}


@pytest.mark.parametrize("fault", INVALID_FILES)
def test_an_invalid_operators_file_is_rejected_and_the_relay_keeps_serving(tmp_path: Path, fault: str) -> None:
    async def body(env: RelayEnvironment) -> None:
        await env.established_connection()
        (tmp_path / "operator.toml").write_bytes(INVALID_FILES[fault])
        env.reload()
        await asyncio.wait_for(env.next_log_line("is rejected"), WAIT_S)
        await env.established_connection()
        (tmp_path / "operator.toml").write_bytes(b"")
        env.reload()
        await asyncio.wait_for(env.next_log_line("was reloaded"), WAIT_S)
        await env.established_connection()

    run(tmp_path, body)


@pytest.mark.parametrize("text", ("[]", "\x00", '{"settings": {"categories": 7}}', "[" * 100_000))
def test_an_invalid_configuration_is_rejected_and_the_relay_keeps_serving(tmp_path: Path, text: str) -> None:
    async def body(env: RelayEnvironment) -> None:
        await env.established_connection()
        env.reload(text)
        await asyncio.wait_for(env.next_log_line("is rejected"), WAIT_S)
        await env.established_connection()

    run(tmp_path, body)
