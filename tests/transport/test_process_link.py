"""The link between the processes of one relay, with two links in one process on real sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from tests.ports import free_port
from yarrowspindle.transport.process_link import ANSWER_TIMEOUT_S, HEADER, MAX_BODY_BYTES, Kind, ProcessLink

CLOCK_TICK_S = 0.001  # of the event loop's clock
Body = Callable[[ProcessLink, ProcessLink], Awaitable[None]]


def run(body: Body) -> None:
    async def scenario() -> None:
        address = ("127.0.0.1", free_port())
        first, second = ProcessLink(address), ProcessLink(address)
        await first.open()
        await second.open()
        while not first.connections:
            await asyncio.sleep(0.001)
        try:
            await body(first, second)
        finally:
            second.close()
            first.close()

    uvloop.run(scenario())


async def ask(link: ProcessLink, body: bytes = b"x") -> bool:
    answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    link.ask(Kind.REQUEST_ID, body, answer.set_result)
    return await answer


def test_each_process_is_asked_and_answers_for_itself() -> None:
    async def body(first: ProcessLink, second: ProcessLink) -> None:
        assert not await ask(first) and not await ask(second), "without a handler the answer is no"
        first.handlers[Kind.REQUEST_ID] = lambda body: body == b"known"
        assert await ask(second, b"known") and not await ask(second, b"unknown") and not await ask(first, b"known")
        third = ProcessLink(("127.0.0.1", 1))
        await third.open()
        assert not await ask(third, b"known"), "another relay"
        third.close()

    run(body)


def test_a_process_that_says_nothing_is_waited_for_once() -> None:
    """Guard against requests that each wait for a process that hangs."""

    async def body(first: ProcessLink, second: ProcessLink) -> None:
        (connection,) = first.connections
        assert connection.transport is not None
        connection.transport.pause_reading()  # the first process hangs
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert not await ask(second)
        assert loop.time() - began >= ANSWER_TIMEOUT_S - CLOCK_TICK_S
        began = loop.time()
        assert not await ask(second) and loop.time() - began < ANSWER_TIMEOUT_S / 2.0
        first.handlers[Kind.REQUEST_ID] = lambda body: True
        connection.transport.resume_reading()
        await asyncio.sleep(0.05)
        assert await ask(second), "its late answer shows that it is back"

    run(body)


def test_an_end_of_the_other_process_answers_all_pending_questions() -> None:
    async def body(first: ProcessLink, second: ProcessLink) -> None:
        (connection,) = first.connections
        assert connection.transport is not None
        connection.transport.pause_reading()
        pending = [asyncio.ensure_future(ask(second)) for _ in range(5)]
        await asyncio.sleep(0.01)
        first.close()
        assert await asyncio.wait_for(asyncio.gather(*pending), ANSWER_TIMEOUT_S / 2.0) == [False] * 5
        assert not second.connections and not second.pending

    run(body)


@pytest.mark.parametrize(
    "message",
    (b"\xff" * 64, HEADER.pack(MAX_BODY_BYTES + 1, Kind.DATAGRAM, 1), HEADER.pack(0, max(Kind) + 1, 1)),
    ids=("senseless", "too long", "unknown kind"),
)
def test_a_malformed_message_ends_its_connection_and_no_other(message: bytes) -> None:
    async def body(first: ProcessLink, second: ProcessLink) -> None:
        first.handlers[Kind.REQUEST_ID] = lambda body: True
        foreign = socket.socket(socket.AF_UNIX)
        foreign.connect("\0" + first.name)
        foreign.sendall(message)
        foreign.settimeout(0.0)
        await asyncio.sleep(0.05)
        try:
            assert foreign.recv(1) == b""
        except ConnectionResetError:
            pass
        assert await ask(second) and len(first.connections) == 1
        foreign.close()

    run(body)


def test_no_link_to_a_process_whose_address_is_the_same_in_another_network() -> None:
    """Guard against relays that ask each other though the kernel deals no connection to both."""

    async def body(first: ProcessLink, second: ProcessLink) -> None:
        third = ProcessLink(("127.0.0.1", int(first.name_prefix.rpartition(":")[2].rstrip("/"))))
        await third.open(connect=False)
        assert not third.connections and len(first.connections) == 1
        third.close()

    run(body)
