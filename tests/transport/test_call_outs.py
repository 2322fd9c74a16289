"""Sinks that end the connection within the very call in which it tells them of something, on real sockets.

Any call to a sink, a service or a callback may end the connection that makes it: no callback may raise for it, nothing
more is told of what has ended, and both sockets are closed in the end.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager, suppress
from typing import Any, cast

import pytest
import uvloop

from yarrowspindle.protocol.lines import Open
from yarrowspindle.transport.backend import BackendConnection
from yarrowspindle.transport.client import ClientConnection
from yarrowspindle.transport.line_connection import LineConnection

WAIT_S = 5.0
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # of SO_LINGER
OPEN = b"OPEN 000000000000000a 00000000000000ff c=x,d=500\r\n"
STEP_S = 0.002
LOOPS = pytest.mark.parametrize("loop", (asyncio.run, uvloop.run), ids=("asyncio", "uvloop"))
Run = Callable[[Coroutine[Any, Any, None]], None]


@contextmanager
def no_callback_raises() -> Iterator[None]:
    failures: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: failures.append(context))
    yield
    assert not failures, "no callback of a transport raised"


async def connected(protocol: asyncio.Protocol) -> socket.socket:
    """Connects the protocol; the other end of its connection."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        await asyncio.get_running_loop().create_connection(lambda: protocol, *listening.getsockname())
        far, _ = listening.accept()
    far.setblocking(False)
    return far


def reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def send(sock: socket.socket, data: bytes) -> None:
    with suppress(OSError):  # the relay's side has ended it
        sock.send(data)


async def until(true: Callable[[], bool]) -> None:
    for _ in range(int(WAIT_S / STEP_S)):
        if true():
            return
        await asyncio.sleep(STEP_S)
    raise AssertionError("it did not come about")


# --- the two sides of a relayed connection --------------------------------------------------------


class Pair:
    """Both sides with a sink that counts what it is told, and strikes once, at the call of this number."""

    def __init__(self, strike_at: int, strike: Callable[[Pair], None]) -> None:
        self.strike_at, self.strike = strike_at, strike
        self.calls: list[str] = []
        self.client = ClientConnection(cast(Any, self))
        self.backend = BackendConnection(cast(Any, self), 7, 0)
        self.lost: set[LineConnection] = set()

    def _told(self, name: str) -> None:
        self.calls.append(name)
        if len(self.calls) - 1 == self.strike_at:
            self.strike(self)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *what: self._told(name)

    def ready(self) -> bool:
        return True

    def request_came(self, side: ClientConnection, opened: Open) -> None:
        side.request = 7
        self._told("request_came")

    def client_lost(self, side: ClientConnection) -> None:
        self.lost.add(side)
        self._told("client_lost")

    def backend_lost(self, side: BackendConnection) -> None:
        self.lost.add(side)
        self._told("backend_lost")

    def backend_up(self, side: BackendConnection) -> None:
        self._told("backend_up")
        if not self.client.closing and not self.backend.told:
            self.client.join(self.backend, self.backend.first)
            self.backend.flow()


def finish_both(pair: Pair) -> None:
    pair.client.finish(b"BUSY\r\n")
    pair.backend.drop()


def abort_both(pair: Pair) -> None:
    pair.client.abort()
    pair.backend.abort()


def move(pair: Pair) -> None:
    pair.backend.move(pair.client)


def drop_the_attempt(pair: Pair) -> None:
    pair.backend.drop()


def answer_the_client(pair: Pair) -> None:
    pair.client.finish(b"ERR\r\n")


def reset_transports(pair: Pair) -> None:
    for side in (pair.client, pair.backend):
        if side.transport is not None:
            side.transport.abort()


STRIKES = (finish_both, abort_both, move, drop_the_attempt, answer_the_client, reset_transports)

Script = Callable[[socket.socket, socket.socket], Awaitable[None]]


async def served_to_its_end(client: socket.socket, backend: socket.socket) -> None:
    for data in (b"UP r1\r\nLOAD 3\r\nearly\r\n", b"LOAD 5\r\nhello\r\nLOAD 7\r\nagain\r\nhal", b"f\r\nBYE\r\n"):
        send(client, b"a line\r\n" if data[0] != ord("U") else b"")
        send(backend, data)
        await asyncio.sleep(STEP_S)
    backend.close()


async def cut_by_its_client(client: socket.socket, backend: socket.socket) -> None:
    send(backend, b"UP r1\r\nx\r\n")
    await asyncio.sleep(STEP_S)
    send(client, b"a line\r\nand half a")
    reset(client)


async def ended_by_its_client(client: socket.socket, backend: socket.socket) -> None:
    send(backend, b"UP r1\r\n")
    await asyncio.sleep(STEP_S)
    send(client, b"a line\r\n")
    with suppress(OSError):
        client.shutdown(socket.SHUT_WR)


async def reset_by_its_backend(client: socket.socket, backend: socket.socket) -> None:
    send(backend, b"UP r1\r\nx\r\n")
    await asyncio.sleep(STEP_S)
    send(client, b"a line\r\n")
    reset(backend)


async def rejected(client: socket.socket, backend: socket.socket) -> None:
    send(backend, b"BUSY\r\n")


async def nonsense(client: socket.socket, backend: socket.socket) -> None:
    send(client, b"too early\r\n")
    send(backend, b"\xff\xfe" * 4000)


SCRIPTS = (served_to_its_end, cut_by_its_client, ended_by_its_client, reset_by_its_backend, rejected, nonsense)


async def play(script: Script, strike_at: int, strike: Callable[[Pair], None]) -> Pair:
    """Plays a script; all sockets are closed at its end."""
    pair = Pair(strike_at, strike)
    client = await connected(pair.client)
    send(client, OPEN)
    backend = await connected(pair.backend)
    pair.backend.ask(OPEN)
    await asyncio.sleep(STEP_S)
    await script(client, backend)
    await asyncio.sleep(2.0 * STEP_S)
    client.close()
    backend.close()
    await until(lambda: len(pair.lost) == 2)
    return pair


@LOOPS
@pytest.mark.parametrize("strike", STRIKES, ids=lambda strike: strike.__name__)
@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.__name__)
def test_a_connection_may_be_ended_by_any_call_that_it_makes(script: Script, strike: Any, loop: Run) -> None:
    """Guards against using a connection after a call that may have ended it: uvloop drops a transport that raises."""

    async def body() -> None:
        with no_callback_raises():
            calls = (await play(script, -1, strike)).calls
            assert len(calls) >= 5, calls
            for number in range(len(calls)):
                pair = await play(script, number, strike)
                assert pair.calls.count("backend_over") <= 1 and pair.calls.count("request_left") <= 1

    loop(body())
