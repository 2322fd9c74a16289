"""The listening socket if `accept` fails with the errors listed in accept(2)."""

from __future__ import annotations

import asyncio
import errno
import itertools
import socket
from collections.abc import Callable
from typing import Any, cast

import pytest
import uvloop

from tests.ports import free_port
from yarrowspindle.transport.listener import ACCEPT_BATCH, MAX_PAUSE_S, Listener

# Errors of the connection at the head of the queue; below, shortages of system resources.
CONNECTION_ERRORS = (
    "ECONNABORTED",
    "EPERM",
    "EPROTO",
    "ENETDOWN",
    "ENOPROTOOPT",
    "EHOSTDOWN",
    "ENONET",
    "EHOSTUNREACH",
    "EOPNOTSUPP",
    "ENETUNREACH",
)
SHORTAGES = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")
CLIENTS = 200
FAILING_CALLS_OF_TEN = 7  # of every ten calls the first seven fail
ACCEPT_DEADLINE_S = 0.3


class FailingSocket:
    """The listening socket, with an `accept` that fails while `should_fail`; the connection stays in the queue."""

    def __init__(self, real: socket.socket, should_fail: Callable[[], bool], error: int) -> None:
        self.real, self.should_fail, self.error, self.calls = real, should_fail, error, 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def accept(self) -> Any:
        self.calls += 1
        if self.should_fail():
            raise OSError(self.error, "simulated")
        return self.real.accept()


class AcceptedConnection(asyncio.Protocol):
    count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        AcceptedConnection.count += 1
        cast(asyncio.Transport, transport).write(b"x")


def listener_on_failing_socket(
    port: int, should_fail: Callable[[], bool], error: str
) -> tuple[Listener, FailingSocket]:
    listening = Listener(("127.0.0.1", port), 1024, AcceptedConnection, lambda: True, lambda text: None)
    listening.loop.remove_reader(listening.sock)
    failing = FailingSocket(listening.sock, should_fail, getattr(errno, error))
    listening.sock = cast(socket.socket, failing)
    listening._listen()
    return listening, failing


@pytest.mark.parametrize("error", CONNECTION_ERRORS)
def test_the_queue_is_accepted_before_its_deadlines_though_most_accepts_fail(error: str) -> None:
    """Guard against a pause after each failing accept, during which requests waited past their deadlines."""

    async def body() -> None:
        port, number = free_port(), itertools.count()
        listening, _ = listener_on_failing_socket(port, lambda: next(number) % 10 < FAILING_CALLS_OF_TEN, error)
        streams = await asyncio.gather(*(asyncio.open_connection("127.0.0.1", port) for _ in range(CLIENTS)))
        answers = asyncio.gather(*(reader.readexactly(1) for reader, _ in streams))
        await asyncio.wait_for(answers, ACCEPT_DEADLINE_S)
        for _, writer in streams:
            writer.close()
        await listening.close(listening.loop.time())

    uvloop.run(body())


@pytest.mark.parametrize("error", SHORTAGES)
def test_the_queue_is_accepted_before_its_deadlines_though_most_accepts_lack_descriptors(error: str) -> None:
    """Guard against a pause after each call that fails in a shortage, which may have ended by the next call."""

    async def body() -> None:
        port, number = free_port(), itertools.count()
        listening, _ = listener_on_failing_socket(port, lambda: next(number) % 10 < FAILING_CALLS_OF_TEN, error)
        streams = await asyncio.gather(*(asyncio.open_connection("127.0.0.1", port) for _ in range(CLIENTS // 2)))
        answers = asyncio.gather(*(reader.readexactly(1) for reader, _ in streams))
        await asyncio.wait_for(answers, ACCEPT_DEADLINE_S)
        for _, writer in streams:
            writer.close()
        await listening.close(listening.loop.time())

    uvloop.run(body())


@pytest.mark.parametrize("error", (*SHORTAGES, "EPERM"))
def test_no_busy_loop_if_all_accepts_fail(error: str) -> None:
    """At most one batch of calls per pause, for any error."""

    async def body() -> None:
        port, seconds = free_port(), 0.2
        listening, failing = listener_on_failing_socket(port, lambda: True, error)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(seconds)
        assert failing.calls <= ACCEPT_BATCH * (seconds / MAX_PAUSE_S + 2)
        failing.should_fail = lambda: False
        before = AcceptedConnection.count
        await asyncio.sleep(5.0 * MAX_PAUSE_S)
        assert AcceptedConnection.count == before + 1, "the connection is accepted once accept works again"
        writer.close()
        await listening.close(listening.loop.time())

    uvloop.run(body())


@pytest.mark.parametrize("error", ("EPERM", "EMFILE"))
def test_close_empties_the_queue_though_most_accepts_fail(error: str) -> None:
    """Guard against closing the listening socket while connections wait in the kernel's accept queue."""

    async def body() -> None:
        port, number = free_port(), itertools.count()
        listening, _ = listener_on_failing_socket(port, lambda: next(number) % 10 < FAILING_CALLS_OF_TEN, error)
        listening.loop.remove_reader(listening.sock)
        streams = await asyncio.gather(*(asyncio.open_connection("127.0.0.1", port) for _ in range(20)))
        await listening.close(listening.loop.time() + 2.0)
        assert [await reader.readexactly(1) for reader, _ in streams] == [b"x"] * 20
        for _, writer in streams:
            writer.close()

    uvloop.run(body())


def test_each_connection_of_a_batch_counts_before_the_next_one_is_accepted() -> None:
    """Guard against a batch that exceeds the limit of connections, by descriptors that others need."""

    async def body() -> None:
        port, limit = free_port(), 3
        accepted: list[AcceptedConnection] = []

        def factory() -> AcceptedConnection:
            accepted.append(AcceptedConnection())
            return accepted[-1]

        listening = Listener(("127.0.0.1", port), 1024, factory, lambda: len(accepted) < limit, lambda text: None)
        # Without a turn of the event loop in between, so that all are in the accept queue.
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(3 * limit)]
        await asyncio.sleep(5.0 * MAX_PAUSE_S)
        assert len(accepted) == limit
        limit = len(clients)
        await listening.close(listening.loop.time() + 1.0)
        for client in clients:
            client.close()

    uvloop.run(body())
