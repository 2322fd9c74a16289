"""An upgrade in which the second process finds each address of the relay in use, on real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.daemon.upgrade import second_process
from tests.ports import free_port
from tests.stand_ins import RelayEnvironment, run

PINGS = 30  # each on a new connection, which the kernel deals to either process
OPERATOR_FILE = """
[peers]
listen = "127.0.0.1:{peers}"
seeds = ["127.0.0.1:{peers}"]
[control]
role = "relay"
listen = "127.0.0.1:{control}"
cluster = "north"
zone = "a"
region = "west"
[[control.machine]]
name = "c1"
address = "127.0.0.1:{controller}"
zone = "a"
region = "west"
voter = true
"""


def test_the_second_process_serves_while_the_first_holds_the_other_addresses(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a process that serves nobody and then ends, as an address that it can do without is in use."""
    api_port = free_port()
    monkeypatch.setenv("ROUTER_OPERATOR", f"127.0.0.1:{api_port}")

    async def body(env: RelayEnvironment) -> None:
        await env.next_log_line("the operators' API listens")
        async with second_process(env) as second:
            await second.wait_for_log("serves at")
            answers = []
            for _ in range(PINGS):
                client = await env.connect_client("PING")
                answers.append(await client.read_line())
            assert answers == ["PONG"] * PINGS
            assert not any("operators' API listens" in line for line in second.log_lines)
            env.stop()
            for part in ("the operators' API listens", "peers: ", "control: "):
                await second.wait_for_log(part)
            await asyncio.wait_for(env.process.wait(), 10.0)
            await second.wait_for_log(f"listens at 127.0.0.1:{api_port}")

    ports = {"peers": free_port(), "control": free_port(), "controller": free_port()}
    run(tmp_path, body, OPERATOR_FILE.format(**ports))
