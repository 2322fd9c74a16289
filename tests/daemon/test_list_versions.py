"""Which versions a watch on the endpoint list reports, also after one was taken up from another process."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from tests.stand_ins import WATCH_RESPONSE_HEAD, LinePeer, LineServer
from yarrowspindle.decisions.events import ListKind
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames
from yarrowspindle.routing.events import EndpointsUpdated
from yarrowspindle.runtime.endpoint_watch import MAX_BEHIND_S, EndpointWatch


class Watched:
    """A watch, its discovery, and what it has reported."""

    def __init__(self, discovery: LineServer) -> None:
        self.discovery = discovery
        self.updates: list[EndpointsUpdated] = []
        self.watch = EndpointWatch(ZoneAndKindNames(), self.updates.append, lambda reason: None)
        self.address = ("127.0.0.1", discovery.port)

    def versions(self) -> list[int]:
        """Return the versions of the lists that were reported."""
        return [update.version for update in self.updates if update.kind in (ListKind.FULL, ListKind.DELTA)]

    async def next_call(self) -> tuple[LinePeer, str]:
        call = await self.discovery.next_connection()
        request = await call.read_line()
        while await call.read_line():
            pass
        call.writer.write(WATCH_RESPONSE_HEAD)
        return call, request


def send(call: LinePeer, version: int, complete: bool = False, **phases: str) -> None:
    members: list[dict[str, Any]] = [
        {"id": name, "host_port": "10.0.0.1:1", "phase": phase} for name, phase in phases.items()
    ]
    line = json.dumps({"revision": version, "complete": complete, "members": members}) + "\n"
    call.writer.write(f"{len(line):x}\r\n{line}\r\n".encode())


def run(body: Callable[[Watched], Awaitable[None]]) -> None:
    async def scenario() -> None:
        watched = Watched(await LineServer().open())
        watched.watch.open(1, watched.address)
        try:
            await body(watched)
        finally:
            watched.watch.close()
            LinePeer.close_all()

    asyncio.run(scenario())


def test_a_change_before_the_adopted_version_is_not_reported() -> None:
    """Guard against an entry of an older change, which would undo what the other process was told since."""

    async def body(watched: Watched) -> None:
        call, _ = await watched.next_call()
        send(call, 42, True, s1="ready")
        await asyncio.sleep(0.05)
        watched.watch.adopt_version(44)
        send(call, 43, s1="draining")
        send(call, 44, s1="ready")
        await asyncio.sleep(0.05)
        assert watched.versions() == [42, 44]

    run(body)


@pytest.mark.parametrize("complete", [True, False], ids=["full", "change"])
def test_the_watch_that_is_being_renewed_reports_nothing_before_the_adopted_version(complete: bool) -> None:
    """Guard against the same on the watch that stays open until its successor has received a list."""

    async def body(watched: Watched) -> None:
        call, _ = await watched.next_call()
        send(call, 42, True, s1="ready")
        await asyncio.sleep(0.05)
        watched.watch.open(42, watched.address, renew=True)
        await watched.next_call()
        watched.watch.adopt_version(44)
        send(call, 43, complete, s1="draining")
        await asyncio.sleep(0.05)
        assert watched.versions() == [42]
        send(call, 45, s1="draining")
        await asyncio.sleep(0.05)
        assert watched.versions() == [42, 45]

    run(body)


def test_a_late_list_does_not_undo_what_the_former_watch_has_reported() -> None:
    """Guard against a renewed watch whose first list is older than a change that arrived while it was on its way."""

    async def body(watched: Watched) -> None:
        call, _ = await watched.next_call()
        send(call, 42, True, s1="ready")
        await asyncio.sleep(0.05)
        watched.watch.open(42, watched.address, renew=True)
        renewed, _ = await watched.next_call()
        send(call, 43, s1="draining")
        await asyncio.sleep(0.05)
        send(renewed, 42, True, s1="ready")
        await asyncio.sleep(0.05)
        assert watched.versions() == [42, 43]

    run(body)


def test_a_watch_that_does_not_deliver_the_adopted_version_is_renewed() -> None:
    """Guard against a watch whose heartbeats go on while it withholds updates, or that has begun its versions anew."""

    async def body(watched: Watched) -> None:
        call, _ = await watched.next_call()
        send(call, 42, True, s1="ready")
        await asyncio.sleep(0.05)
        watched.watch.adopt_version(43)
        adopted_at = time.monotonic()
        _, request = await watched.next_call()
        assert time.monotonic() - adopted_at < MAX_BEHIND_S + 0.5 and "index=43" in request

    run(body)


def test_a_call_that_is_on_its_way_and_brings_an_older_version_is_renewed() -> None:
    """Guard against the same where the version is taken up before the call has brought its first list."""

    async def body(watched: Watched) -> None:
        call, _ = await watched.next_call()
        watched.watch.adopt_version(43)
        send(call, 2, s1="ready")
        _, request = await watched.next_call()
        assert "index=43" in request and watched.versions() == []

    run(body)


def test_a_watch_that_delivers_the_adopted_version_is_kept() -> None:
    """Guard against a call to discovery for each change during an upgrade."""

    async def body(watched: Watched) -> None:
        call, _ = await watched.next_call()
        send(call, 42, True, s1="ready")
        await asyncio.sleep(0.05)
        watched.watch.adopt_version(43)
        send(call, 43, s1="draining")
        await asyncio.sleep(MAX_BEHIND_S + 0.3)
        assert watched.watch.counts["calls"] == 1 and watched.versions() == [42, 43]

    run(body)


def test_a_service_that_knows_only_older_versions_is_asked_for_the_full_list() -> None:
    """Guard against a relay that ignores all changes for good, since discovery has begun its versions anew."""

    async def body(watched: Watched) -> None:
        call, _ = await watched.next_call()
        send(call, 42, True, s1="draining")
        await asyncio.sleep(0.05)
        call.writer.close()
        await asyncio.sleep(0.05)
        watched.watch.open(42, watched.address)
        restarted, request = await watched.next_call()
        assert "index=42" in request
        send(restarted, 3)
        await asyncio.sleep(0.05)
        watched.watch.open(42, watched.address)
        again, request = await watched.next_call()
        assert "index=0" in request
        send(again, 3, True, s1="ready")
        send(again, 4, s1="draining")
        await asyncio.sleep(0.05)
        assert watched.versions() == [42, 3, 4]

    run(body)
