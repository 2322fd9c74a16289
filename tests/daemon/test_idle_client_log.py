"""Log lines for idle clients whose connections the relay closes: address, reason and idle time."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.daemon.test_event_races import SHORT_DEADLINE
from tests.stand_ins import Peer, World, run

LOG_AT_DEBUG = '[log]\nlevel = "DEBUG"\n'
DESCRIPTORS = 90
CLIENTS = 40  # more than may be idle with this number of descriptors
LINE = re.compile(r"idle client (?P<address>\S+) ended reason=(?P<reason>\w+) idle_ms=(?P<idle_ms>\d+)")


async def many_clients(w: World) -> list[Peer]:
    return [await w.client("PING") for _ in range(CLIENTS)]


async def one_client(w: World) -> list[Peer]:
    return [await w.client("PING")]


async def one_client_and_shutdown(w: World) -> list[Peer]:
    peers = await one_client(w)
    assert await peers[0].hear() == "PONG"
    w.stop()
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
    tmp_path: Path, connect: Callable[[World], Awaitable[list[Peer]]], reason: str, least_ms: int
) -> None:
    async def body(w: World) -> None:
        peers = await connect(w)
        match = LINE.search(await w.logged("idle client "))
        assert match is not None and match["reason"] == reason and int(match["idle_ms"]) >= least_ms
        addresses = ["{}:{}".format(*peer.writer.get_extra_info("sockname")) for peer in peers]
        assert match["address"] in addresses

    run(tmp_path, body, LOG_AT_DEBUG, sockets=DESCRIPTORS, **SHORT_DEADLINE)
