"""Log lines for idle clients whose connections the relay closes: address, reason and idle time."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.daemon.test_event_races import SHORT_DEADLINE
from tests.stand_ins import LinePeer, RelayEnvironment, run

LOG_AT_DEBUG = '[log]\nlevel = "DEBUG"\n'
DESCRIPTORS = 90
CLIENTS = 40  # more than may be idle with this number of descriptors
LINE = re.compile(r"idle client (?P<address>\S+) ended reason=(?P<reason>\w+) idle_ms=(?P<idle_ms>\d+)")


async def many_clients(env: RelayEnvironment) -> list[LinePeer]:
    return [await env.connect_client("PING") for _ in range(CLIENTS)]


async def one_client(env: RelayEnvironment) -> list[LinePeer]:
    return [await env.connect_client("PING")]


async def one_client_and_shutdown(env: RelayEnvironment) -> list[LinePeer]:
    peers = await one_client(env)
    assert await peers[0].read_line() == "PONG"
    env.stop()
    return peers


@pytest.mark.parametrize(
    ("connect", "reason", "least_ms"),
    (
        (many_clients, "short_of_descriptors", 30),
        (one_client, "no_first_line", 1900),
        (one_client_and_shutdown, "shutdown", 1000),
    ),
)
def test_the_log_names_a_closed_idle_client_and_the_reason(
    tmp_path: Path, connect: Callable[[RelayEnvironment], Awaitable[list[LinePeer]]], reason: str, least_ms: int
) -> None:
    async def body(env: RelayEnvironment) -> None:
        peers = await connect(env)
        match = LINE.search(await env.next_log_line("idle client "))
        assert match is not None and match["reason"] == reason and int(match["idle_ms"]) >= least_ms
        addresses = ["{}:{}".format(*peer.writer.get_extra_info("sockname")) for peer in peers]
        assert match["address"] in addresses

    run(tmp_path, body, LOG_AT_DEBUG, sockets=DESCRIPTORS, **SHORT_DEADLINE)
