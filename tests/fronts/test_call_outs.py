"""A connection of the line front that ends in the very call in which it tells of something, on real sockets.

What has fallen due runs before the event that is told: after a stall that may be anything, at this very connection.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import pytest
import uvloop

from tests.ports import free_port
from tests.transport.test_connecting import config
from yarrowspindle.daemon.config import read_config
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.fronts.line_front import LineFront
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendDataForwarded,
    ClientDataForwarded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    InternalError,
    SettingsChanged,
    ShutdownRequested,
    UnclassifiedReport,
)
from yarrowspindle.runtime import SystemClock
from yarrowspindle.transport.line_connection import LineConnection

WAIT_S = 5.0
ENDS_S = 1.5  # for all that an end waits for: the rest of a line, the peer's end
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # of SO_LINGER
FLOOD = (b"x" * 998 + b"\r\n") * 100

Loops = (asyncio.run, uvloop.run)


class Backend:
    """Takes every request, and leaves the rest to the test."""

    def __init__(self) -> None:
        self.port = free_port()
        self.came: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"UP r1\r\n")
        self.came.put_nowait((reader, writer))


@dataclass
class Standing:
    """One established connection, both its ends, and the relay between them."""

    service: RelayService
    front: LineFront
    request: int
    client: asyncio.StreamReader
    client_end: asyncio.StreamWriter
    backend: asyncio.StreamReader
    backend_end: asyncio.StreamWriter
    failures: list[dict[str, Any]] = field(default_factory=list)
    strikes: int = 0

    def __post_init__(self) -> None:
        self.client_side: LineConnection = self.front.clients[self.request]
        self.backend_side: LineConnection = self.front.backends[self.request]

    def strike_at(self, told: type[Event], strike: Callable[[Standing], None]) -> None:
        """Lets this happen, once, within the call that tells of such an event, before the event itself."""
        post = self.service.runtime.post

        def posted(event: Event) -> None:
            if type(event) is told and not self.strikes:
                self.strikes += 1
                strike(self)
            post(event)

        self.service.post = posted

    def strike_in(self, side: LineConnection, callback: str, strike: Callable[[Standing], None]) -> None:
        """The same within a callback that tells nobody: before it."""
        real = getattr(side, callback)

        def called(*given: Any) -> None:
            self.strikes += 1
            strike(self)
            real(*given)

        setattr(side, callback, called)


# --- what happens to the connection ---------------------------------------------------------------


def move(s: Standing) -> None:
    s.service.runtime.post(InternalError(s.request))  # its client is sent elsewhere


def drain(s: Standing) -> None:
    s.service.runtime.post(ShutdownRequested(0.0, process_exits=False))
    s.service.runtime.timers.run_due()


def end(s: Standing) -> None:
    told_of_end(s.backend_side)


def cancel(s: Standing) -> None:
    told_of_end(s.client_side)


def lose_the_backend(s: Standing) -> None:
    told_of_end(s.backend_side, reset=True)


def lose_the_client(s: Standing) -> None:
    told_of_end(s.client_side, reset=True)


def told_of_end(side: LineConnection, reset: bool = False) -> None:
    """As a transport does it that has read its peer's end."""
    transport = side.transport
    if transport is not None and reset:
        transport.abort()
    if not side.eof_received() and transport is not None:
        transport.close()


def remove_the_backend(s: Standing) -> None:
    backends = s.service.reducer.backends
    gone = [backend.endpoint for backend in backends.values() if backend.endpoint is not None]
    for endpoint in gone:
        endpoint.state = EndpointState.GONE
    s.service.runtime.post(EndpointsUpdated(ListKind.DELTA, gone, 2))


def change_the_settings(s: Standing) -> None:
    settings = s.service.config.settings
    s.service.runtime.post(SettingsChanged(settings, frozenset(range(len(settings.classes)))))


ENDS: dict[str, Callable[[Standing], None]] = {
    "move": move,
    "drain": drain,
    "end": end,
    "cancel": cancel,
    "backend lost": lose_the_backend,
    "client lost": lose_the_client,
}
BY_THE_RELAY = ("move", "drain")  # what can happen while a transport steers the flow: no peer's end is read there
STAYS: dict[str, Callable[[Standing], None]] = {
    "backend removed": remove_the_backend,
    "settings changed": change_the_settings,
}


# --- what is told ---------------------------------------------------------------------------------


async def client_data(s: Standing) -> None:
    s.client_end.write(b"a line\r\n")


async def client_end(s: Standing) -> None:
    s.client_end.write_eof()


async def client_loss(s: Standing) -> None:
    reset(s.client_end)


async def backend_data(s: Standing) -> None:
    s.backend_end.write(b"a line\r\nand another\r\n")


async def backend_loads(s: Standing) -> None:
    s.backend_end.write(b"LOAD 5\r\na line\r\nLOAD 7\r\n")


async def backend_end(s: Standing) -> None:
    s.backend_end.write(b"BYE\r\n")
    s.backend_end.close()


async def backend_loss(s: Standing) -> None:
    reset(s.backend_end)


def reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


TOLD: dict[str, tuple[type[Event], Callable[[Standing], Awaitable[None]]]] = {
    "client's data": (ClientDataForwarded, client_data),
    "client's end": (ClientDisconnected, client_end),
    "client's loss": (ClientDisconnected, client_loss),
    "backend's data": (BackendDataForwarded, backend_data),
    "backend's loads": (UnclassifiedReport, backend_loads),
    "backend's end": (AttemptEnded, backend_end),
    "backend's loss": (AttemptEnded, backend_loss),
}


async def standing(body: Callable[[Standing], Awaitable[None]]) -> None:
    backend = Backend()
    await backend.open()
    service = RelayService(read_config(config([backend])), SystemClock())  # type: ignore[list-item]
    service.start()
    front = LineFront(service, 200).start()
    service.serving = True
    failures: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: failures.append(context))
    client, writer = await asyncio.open_connection(*service.config.listen)
    writer.write(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n")
    assert await asyncio.wait_for(client.readline(), WAIT_S) == b"UP r1\r\n"
    (request,) = service.reducer.requests
    s = Standing(service, front, request, client, writer, *await backend.came.get(), failures)
    try:
        await body(s)
    finally:
        for end_of in (s.client_end, s.backend_end):
            end_of.transport.abort()
        front.listener.sock.close()
        backend.server.close()
    assert s.strikes == 1, "it happened within the call"
    assert not failures, "no callback of a transport raised"
    assert not service.runtime.counts["failures"] and not any(service.guard.counts.values())
    assert not service.reducer.requests and not front.clients and not front.backends and not service.runtime.owners


async def read_to_the_end(reader: asyncio.StreamReader) -> bytes:
    """What came, a reset included."""
    found = b""
    try:
        while data := await asyncio.wait_for(reader.read(1 << 16), ENDS_S):
            found += data
    except ConnectionError:
        pass
    return found


async def both_ends(s: Standing) -> tuple[bytes, bytes]:
    return await asyncio.wait_for(asyncio.gather(read_to_the_end(s.client), read_to_the_end(s.backend)), WAIT_S)


@pytest.mark.parametrize("loop", Loops, ids=("asyncio", "uvloop"))
@pytest.mark.parametrize("told", TOLD)
@pytest.mark.parametrize("ending", ENDS)
def test_a_connection_that_ends_in_the_call_that_tells_of_it_raises_nothing_and_leaves_nothing(
    ending: str, told: str, loop: Callable[[Coroutine[Any, Any, None]], None]
) -> None:
    """Guards against using a connection that ended in the very call that told of its data: resets overtook MOVE."""

    async def body(s: Standing) -> None:
        event, trigger = TOLD[told]
        if told.startswith("backend's"):
            s.client_end.write(b"a line\r\n")  # what the backend's lines answer
            await asyncio.wait_for(s.backend.readline(), WAIT_S)
        s.strike_at(event, ENDS[ending])
        await trigger(s)
        to_client, _ = await both_ends(s)
        if ending in BY_THE_RELAY and told in ("client's data", "backend's data", "backend's loads"):
            assert to_client.endswith(b"MOVE\r\n") and to_client.count(b"MOVE") == 1

    loop(standing(body))


@pytest.mark.parametrize("loop", Loops, ids=("asyncio", "uvloop"))
@pytest.mark.parametrize("told", ("client's data", "backend's data", "backend's loads"))
@pytest.mark.parametrize("change", STAYS)
def test_a_change_of_the_fleet_in_the_call_that_tells_of_data_costs_no_line(
    change: str, told: str, loop: Callable[[Coroutine[Any, Any, None]], None]
) -> None:
    """Guards against losing what is being passed on while the list or the settings change under it."""

    async def body(s: Standing) -> None:
        event, trigger = TOLD[told]
        if told.startswith("backend's"):
            s.client_end.write(b"a line\r\n")
            await asyncio.wait_for(s.backend.readline(), WAIT_S)
        s.strike_at(event, STAYS[change])
        await trigger(s)
        reader = s.backend if told == "client's data" else s.client
        heard = [await asyncio.wait_for(reader.readline(), WAIT_S)]
        while heard[-1] != b"a line\r\n":
            heard.append(await asyncio.wait_for(reader.readline(), WAIT_S))
        s.client_end.close()
        await both_ends(s)

    loop(standing(body))


@pytest.mark.parametrize("loop", Loops, ids=("asyncio", "uvloop"))
@pytest.mark.parametrize("side", ("client", "backend"))
@pytest.mark.parametrize("callback", ("pause_writing", "resume_writing"))
@pytest.mark.parametrize("ending", BY_THE_RELAY)
def test_a_connection_that_ends_as_its_peer_reads_again_raises_nothing(
    ending: str, callback: str, side: str, loop: Callable[[Coroutine[Any, Any, None]], None]
) -> None:
    """Guards against steering the other side's transport when that side has ended in between."""

    async def body(s: Standing) -> None:
        of = s.client_side if side == "client" else s.backend_side
        s.strike_in(of, callback, ENDS[ending])
        writer = s.backend_end if side == "client" else s.client_end
        reader = s.client if side == "client" else s.backend
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(200):
            if writer.is_closing():
                break
            writer.write(FLOOD)
            await asyncio.sleep(0.0)
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(100):
            if s.strikes:
                break
            await asyncio.sleep(0.01)
        await both_ends(s)

    loop(standing(body))
