"""Idle clients whose connections the relay ends: the log says which, and why."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.daemon.test_crossings import SHORT
from tests.stand_ins import Peer, World, run

LOG_AT_DEBUG = '[log]\nlevel = "DEBUG"\n'
DESCRIPTORS = 90
CROWD = 40  # more than may be idle with so many descriptors
LINE = re.compile(r"idle client (?P<address>\S+) ended reason=(?P<reason>\w+) idle_ms=(?P<idle_ms>\d+)")


async def crowd(w: World) -> list[Peer]:
    return [await w.client("PING") for _ in range(CROWD)]


async def one(w: World) -> list[Peer]:
    return [await w.client("PING")]


async def one_and_shutdown(w: World) -> list[Peer]:
    peers = await one(w)
    assert await peers[0].hear() == "PONG"
    w.stop()
    return peers


@pytest.mark.parametrize(
    ("come", "reason", "least_ms"),
    ((crowd, "short_of_descriptors", 30), (one, "no_first_line", 1900), (one_and_shutdown, "shutdown", 1000)),
)
def test_the_log_names_the_idle_client_that_is_ended_and_the_reason(
    tmp_path: Path, come: Callable[[World], Awaitable[list[Peer]]], reason: str, least_ms: int
) -> None:
    async def body(w: World) -> None:
        peers = await come(w)
        found = LINE.search(await w.logged("idle client "))
        assert found is not None and found["reason"] == reason and int(found["idle_ms"]) >= least_ms
        addresses = ["{}:{}".format(*peer.writer.get_extra_info("sockname")) for peer in peers]
        assert found["address"] in addresses

    run(tmp_path, body, LOG_AT_DEBUG, sockets=DESCRIPTORS, **SHORT)
