"""The exchange of the endpoint list between two processes, here two lists in one process with a real link."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import uvloop

from tests.helpers import settings
from tests.ports import free_port
from yarrowspindle.daemon.list_link import ListLink
from yarrowspindle.daemon.list_sharing import ListSharing
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames
from yarrowspindle.protocol.shared_list import ListVersion
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.transport.process_link import HEADER, LIST_SUFFIX, MAX_UNSENT_BYTES, Kind, ProcessLink

NAMES = ZoneAndKindNames(["a"], ["m"])
FLEET = [Endpoint(f"s-{number:04}", ("10.1.0.18", 1 + number)) for number in range(1000)]
WAIT_S = 5.0


class Process:
    """The parts of a relay process that hold and exchange the list."""

    def __init__(self, address: tuple[str, int], relay: str = "n0") -> None:
        self.reducer = Reducer(settings(), 1, 0.0)
        self.link = ProcessLink(address)
        self.updates: list[EndpointsUpdated] = []
        self.sharing = ListSharing(self.reducer, self.post, EndpointsUpdated(ListKind.CACHED, FLEET[:2], 41))
        self.exchange = ListLink(self.sharing, self.link, relay, NAMES)
        self.sharing.start(None)

    def post(self, update: EndpointsUpdated) -> None:
        self.updates.append(update)
        self.reducer.step(0.0, update)

    def notify(self, version: int, *endpoints: Endpoint, kind: ListKind = ListKind.DELTA) -> None:
        """Handle an update of discovery."""
        self.sharing.on_own_update(EndpointsUpdated(kind, list(endpoints), version))

    def states(self) -> dict[str, EndpointState]:
        return {endpoint.name: endpoint.state for endpoint in self.sharing.endpoints()}


Body = Callable[[Process, Process], Awaitable[None]]


def run(
    body: Body, relay: str = "n0", prepare: Callable[[Process, Process], None] = lambda first, second: None
) -> None:
    async def scenario() -> None:
        address = ("127.0.0.1", free_port())
        first, second = Process(address), Process(address, relay)
        prepare(first, second)
        await first.link.open()
        await second.link.open()
        try:
            await body(first, second)
        finally:
            second.link.close()
            first.link.close()
        await asyncio.sleep(0)
        assert not [task for task in asyncio.all_tasks() if task is not asyncio.current_task()], "a task is left"

    uvloop.run(scenario())


async def until(condition: Callable[[], bool]) -> None:
    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0.001)

    await asyncio.wait_for(poll(), WAIT_S)


def draining(endpoint: Endpoint) -> Endpoint:
    return replace(endpoint, state=EndpointState.DRAINING)


def test_the_process_with_the_newer_list_sends_it_whole_and_then_its_changes() -> None:
    async def body(first: Process, second: Process) -> None:
        await until(lambda: second.states() == first.states())
        assert second.sharing.version == ListVersion(0, 43) and len(second.updates) == 2
        assert second.sharing.notified_at_ms == first.sharing.notified_at_ms, "the time of telling goes with it"
        first.notify(44, draining(FLEET[7]))
        await until(lambda: second.states()[FLEET[7].name] is EndpointState.DRAINING)
        assert [endpoint.name for endpoint in second.updates[-1].endpoints] == [FLEET[7].name], "only what changed"
        second.notify(45, replace(FLEET[8], state=EndpointState.GONE))
        await until(lambda: FLEET[8].name not in first.states())
        assert first.sharing.version == second.sharing.version == ListVersion(0, 45)

    run(body, prepare=lambda first, second: first.notify(43, *FLEET, kind=ListKind.FULL))


def test_what_is_not_newer_is_not_taken_up() -> None:
    async def body(first: Process, second: Process) -> None:
        await until(lambda: first.sharing.version == ListVersion(0, 44))
        assert FLEET[0].name not in first.states() and FLEET[0].name not in second.states()
        second.notify(44, FLEET[1], kind=ListKind.FULL)  # discovery sends the whole list again
        await asyncio.sleep(0.05)
        assert len(first.updates) == 3

    def prepare(first: Process, second: Process) -> None:
        first.notify(43, draining(FLEET[0]), FLEET[1], kind=ListKind.FULL)
        second.notify(44, FLEET[1], kind=ListKind.FULL)

    run(body, prepare=prepare)


def test_a_list_of_the_configuration_is_not_passed_on() -> None:
    """Guard against two processes that confirm each other what neither was told."""

    async def body(first: Process, second: Process) -> None:
        await until(lambda: bool(first.link.connections) and bool(second.link.connections))
        await asyncio.sleep(0.05)
        assert len(first.updates) == len(second.updates) == 1

    run(body)


def test_versions_that_begin_anew_are_newer_at_both() -> None:
    """Guard against a relay that is frozen at a high version after discovery has been replaced."""

    async def body(first: Process, second: Process) -> None:
        await until(lambda: second.sharing.version == ListVersion(0, 900))
        second.notify(5, *FLEET[:2], kind=ListKind.FULL)
        await until(lambda: first.sharing.version == ListVersion(1, 5))
        assert first.states() == second.states() and len(first.states()) == 2
        first.notify(6, draining(FLEET[0]))
        await until(lambda: second.states()[FLEET[0].name] is EndpointState.DRAINING)
        assert second.sharing.version == ListVersion(1, 6)

    run(body, prepare=lambda first, second: first.notify(900, draining(FLEET[0]), FLEET[1], kind=ListKind.FULL))


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.DELTA])
def test_what_is_sent_again_with_the_same_version_is_passed_on_only_if_it_differs(kind: ListKind) -> None:
    """Guard against a list that is stored and sent at each renewal, and against another service at the same version."""

    async def body(first: Process, second: Process) -> None:
        await until(lambda: second.sharing.version == ListVersion(0, 43))
        changes: list[object] = []
        first.sharing.listeners.append(changes.append)
        first.notify(43, *FLEET[:2], kind=kind)
        assert not changes and first.sharing.version == ListVersion(0, 43)
        first.notify(43, draining(FLEET[0]), FLEET[1], kind=kind)
        await until(lambda: second.sharing.version == ListVersion(1, 43))
        assert len(changes) == 1 and second.states() == first.states()
        assert second.states()[FLEET[0].name] is EndpointState.DRAINING

    run(body, prepare=lambda first, second: first.notify(43, *FLEET[:2], kind=ListKind.FULL))


def test_a_service_without_versions_is_passed_on_as_well() -> None:
    async def body(first: Process, second: Process) -> None:
        await until(lambda: len(second.states()) == 2 and second.sharing.notified_at_ms > 0.0)
        version = first.sharing.version
        first.notify(0, *FLEET[:2], kind=ListKind.FULL)
        assert first.sharing.version == version, "nothing new"
        first.notify(0, draining(FLEET[0]))
        await until(lambda: second.states()[FLEET[0].name] is EndpointState.DRAINING)

    run(body, prepare=lambda first, second: first.notify(0, *FLEET[:2], kind=ListKind.FULL))


def test_a_process_that_does_not_read_gets_the_newest_list_once_it_reads_again() -> None:
    """Guard against messages that pile up for a process that hangs, and against drains that are left out then."""

    async def body(first: Process, second: Process) -> None:
        await until(lambda: second.sharing.version == ListVersion(0, 43))
        (side,) = second.link.connections
        assert side.transport is not None
        side.transport.pause_reading()
        for version in range(44, 64):  # 20 times the list: more than fits in the buffers
            changed = [replace(endpoint, capacity=float(version)) for endpoint in FLEET]
            first.notify(version, *changed)
            await asyncio.sleep(0.01)
        first.notify(64, draining(FLEET[0]))
        (waiting,) = first.exchange._processes.values()
        (first_side,) = first.link.connections
        assert first_side.transport is not None
        assert first_side.transport.get_write_buffer_size() < 2 * MAX_UNSENT_BYTES
        assert len(waiting.changed) <= len(FLEET)
        side.transport.resume_reading()
        await until(lambda: second.sharing.version == ListVersion(0, 64))
        assert second.states() == first.states() and second.states()[FLEET[0].name] is EndpointState.DRAINING

    run(body, prepare=lambda first, second: first.notify(43, *FLEET, kind=ListKind.FULL))


def test_a_process_that_ends_in_the_middle_of_its_list_leaves_nothing() -> None:
    async def body(first: Process, second: Process) -> None:
        await until(lambda: bool(first.link.connections))
        first.notify(43, *FLEET, kind=ListKind.FULL)
        await asyncio.sleep(0)
        first.link.close()
        await until(lambda: not second.link.connections)
        assert second.sharing.version.number in (41, 43), "whole or not at all"
        assert not second.exchange._processes

    run(body)


def test_a_list_of_another_relay_ends_the_connection() -> None:
    async def body(first: Process, second: Process) -> None:
        await until(lambda: not first.link.connections and not second.link.connections)
        assert len(second.updates) == 1

    run(body, relay="n1", prepare=lambda first, second: first.notify(43, draining(FLEET[0]), kind=ListKind.FULL))


def test_a_process_of_an_earlier_build_gets_no_message_that_it_does_not_understand() -> None:
    """Guard against an upgrade from a build that ends its link at an unknown kind, and is asked for no more ids."""

    async def body(first: Process, second: Process) -> None:
        await until(lambda: second.sharing.version == ListVersion(0, 43))
        with socket.socket(socket.AF_UNIX) as earlier_build:
            earlier_build.setblocking(False)
            earlier_build.connect("\0" + first.link.name)
            earlier_build.send(HEADER.pack(1, Kind.REQUEST_ID, 7) + b"x")
            await asyncio.sleep(0.05)
            first.notify(44, draining(FLEET[0]))
            await asyncio.sleep(0.05)
            assert earlier_build.recv(1 << 16) == HEADER.pack(1, Kind.ANSWER, 7) + b"\0"

    run(body, prepare=lambda first, second: first.notify(43, *FLEET[:2], kind=ListKind.FULL))


def test_an_earlier_build_that_listens_gets_no_message_that_it_does_not_understand() -> None:
    async def body(first: Process, second: Process) -> None:
        listener = socket.socket(socket.AF_UNIX)
        listener.bind("\0" + first.link.name.removesuffix(LIST_SUFFIX) + "0")
        listener.listen()
        listener.setblocking(False)
        first.notify(43, draining(FLEET[0]), kind=ListKind.FULL)
        third = Process(("127.0.0.1", int(first.link.name_prefix.rpartition(":")[2].rstrip("/"))))
        await third.link.open()
        await until(lambda: third.sharing.version == ListVersion(0, 43))
        earlier_build, _ = listener.accept()
        earlier_build.setblocking(False)
        try:
            assert earlier_build.recv(1) == b"closed"
        except BlockingIOError:
            pass
        third.link.close()
        earlier_build.close()
        listener.close()

    run(body)
