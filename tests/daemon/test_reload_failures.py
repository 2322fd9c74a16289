"""SIGHUP with files that make no sense: whole or not at all, on the real program."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.stand_ins import World, run

WAIT_S = 5.0
NO_SENSE = {
    "not UTF-8": b"\xff\xfe[log]\n",
    "not TOML": b"[log\n",
    "a level that is no level": b'[log]\nlevel = "LOUD"\n',
    "a number for a section": b"log = 5\n",
    "a list for a section": b"rebalance = []\n",
    "a number for an address": b"[metrics]\ngraphite = 7\n",
}


@pytest.mark.parametrize("what", NO_SENSE)
def test_an_operators_file_that_makes_no_sense_is_turned_down_and_the_relay_serves_on(
    tmp_path: Path, what: str
) -> None:
    async def body(w: World) -> None:
        await w.standing()
        (tmp_path / "operator.toml").write_bytes(NO_SENSE[what])
        w.reload()
        await asyncio.wait_for(w.logged("is rejected"), WAIT_S)
        await w.standing()
        (tmp_path / "operator.toml").write_bytes(b"")
        w.reload()
        await asyncio.wait_for(w.logged("was reloaded"), WAIT_S)
        await w.standing()

    run(tmp_path, body)


@pytest.mark.parametrize("text", ("[]", "\x00", '{"settings": {"categories": 7}}', "[" * 100_000))
def test_a_configuration_that_makes_no_sense_is_turned_down_and_the_relay_serves_on(tmp_path: Path, text: str) -> None:
    async def body(w: World) -> None:
        await w.standing()
        w.reload(text)
        await asyncio.wait_for(w.logged("is rejected"), WAIT_S)
        await w.standing()

    run(tmp_path, body)
