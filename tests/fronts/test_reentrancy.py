"""Reentrancy of the line front on real sockets: a connection ends during the call in which it reports an event.

`Runtime.post` fires the due timers before the event that is posted. After a stall these can do anything, including
ending the connection that is reporting the event.
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
from tests.transport.test_connector import config
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
CLOSE_TIMEOUT_S = 1.5  # covers the waits of a close: for the rest of a line and for the peer to close
LINGER_ZERO = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # struct linger for SO_LINGER: closing resets the connection
FLOOD = (b"x" * 998 + b"\r\n") * 100

LOOP_RUNNERS = (asyncio.run, uvloop.run)


class Backend:
    """A backend that accepts every request and leaves the streams to the test."""

    def __init__(self) -> None:
        self.port = free_port()
        self.accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"UP r1\r\n")
        self.accepted.put_nowait((reader, writer))


@dataclass
class Connection:
    """An established connection with its client, its backend and the relay between them."""

    service: RelayService
    front: LineFront
    request: int
    client: asyncio.StreamReader
    client_end: asyncio.StreamWriter
    backend: asyncio.StreamReader
    backend_end: asyncio.StreamWriter
    failures: list[dict[str, Any]] = field(default_factory=list)
    injections: int = 0

    def __post_init__(self) -> None:
        self.client_side: LineConnection = self.front.clients[self.request]
        self.backend_side: LineConnection = self.front.backends[self.request]

    def inject_before_event(self, event_type: type[Event], action: Callable[[Connection], None]) -> None:
        """Run the action once, within the call that posts an event of this type, before the event is handled."""
        post = self.service.runtime.post

        def inject_and_post(event: Event) -> None:
            if type(event) is event_type and not self.injections:
                self.injections += 1
                action(self)
            post(event)

        self.service.post = inject_and_post

    def inject_before_callback(self, side: LineConnection, callback: str, action: Callable[[Connection], None]) -> None:
        """Run the action within a transport callback that posts no event, before the callback itself."""
        original = getattr(side, callback)

        def wrapped(*args: Any) -> None:
            self.injections += 1
            action(self)
            original(*args)

        setattr(side, callback, wrapped)


# --- actions on the connection --------------------------------------------------------------------


def migrate(connection: Connection) -> None:
    connection.service.runtime.post(
        InternalError(connection.request)
    )  # the reducer migrates the client of a failed request


def drain(connection: Connection) -> None:
    connection.service.runtime.post(ShutdownRequested(0.0, process_exits=False))
    connection.service.runtime.timers.run_due()


def close_backend(connection: Connection) -> None:
    simulate_peer_close(connection.backend_side)


def close_client(connection: Connection) -> None:
    simulate_peer_close(connection.client_side)


def reset_backend(connection: Connection) -> None:
    simulate_peer_close(connection.backend_side, reset=True)


def reset_client(connection: Connection) -> None:
    simulate_peer_close(connection.client_side, reset=True)


def simulate_peer_close(side: LineConnection, reset: bool = False) -> None:
    """Do what a transport does when its peer has closed or reset the connection."""
    transport = side.transport
    if transport is not None and reset:
        transport.abort()
    if not side.eof_received() and transport is not None:
        transport.close()


def remove_backend(connection: Connection) -> None:
    backends = connection.service.reducer.backends
    endpoints = [backend.endpoint for backend in backends.values() if backend.endpoint is not None]
    for endpoint in endpoints:
        endpoint.state = EndpointState.GONE
    connection.service.runtime.post(EndpointsUpdated(ListKind.DELTA, endpoints, 2))


def change_settings(connection: Connection) -> None:
    settings = connection.service.config.settings
    connection.service.runtime.post(SettingsChanged(settings, frozenset(range(len(settings.classes)))))


ENDINGS: dict[str, Callable[[Connection], None]] = {
    "move": migrate,
    "drain": drain,
    "end": close_backend,
    "cancel": close_client,
    "backend lost": reset_backend,
    "client lost": reset_client,
}
RELAY_ENDINGS = ("move", "drain")  # possible during flow control callbacks, in which no peer's close is read
FLEET_CHANGES: dict[str, Callable[[Connection], None]] = {
    "backend removed": remove_backend,
    "settings changed": change_settings,
}


# --- triggers of the events -----------------------------------------------------------------------


async def client_data(connection: Connection) -> None:
    connection.client_end.write(b"a line\r\n")


async def client_end(connection: Connection) -> None:
    connection.client_end.write_eof()


async def client_loss(connection: Connection) -> None:
    reset(connection.client_end)


async def backend_data(connection: Connection) -> None:
    connection.backend_end.write(b"a line\r\nand another\r\n")


async def backend_loads(connection: Connection) -> None:
    connection.backend_end.write(b"LOAD 5\r\na line\r\nLOAD 7\r\n")


async def backend_end(connection: Connection) -> None:
    connection.backend_end.write(b"BYE\r\n")
    connection.backend_end.close()


async def backend_loss(connection: Connection) -> None:
    reset(connection.backend_end)


def reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


TRIGGERS: dict[str, tuple[type[Event], Callable[[Connection], Awaitable[None]]]] = {
    "client's data": (ClientDataForwarded, client_data),
    "client's end": (ClientDisconnected, client_end),
    "client's loss": (ClientDisconnected, client_loss),
    "backend's data": (BackendDataForwarded, backend_data),
    "backend's loads": (UnclassifiedReport, backend_loads),
    "backend's end": (AttemptEnded, backend_end),
    "backend's loss": (AttemptEnded, backend_loss),
}


async def run_with_connection(body: Callable[[Connection], Awaitable[None]]) -> None:
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
    connection = Connection(service, front, request, client, writer, *await backend.accepted.get(), failures)
    try:
        await body(connection)
    finally:
        for writer_end in (connection.client_end, connection.backend_end):
            writer_end.transport.abort()
        front.listener.sock.close()
        backend.server.close()
    assert connection.injections == 1, "the action ran within the call"
    assert not failures, "no transport callback raised an exception"
    assert not service.runtime.counts["failures"] and not any(service.guard.counts.values())
    assert not service.reducer.requests and not front.clients and not front.backends and not service.runtime.owners


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    """Return all data up to the end of the stream or a reset."""
    received = b""
    try:
        while data := await asyncio.wait_for(reader.read(1 << 16), CLOSE_TIMEOUT_S):
            received += data
    except ConnectionError:
        pass
    return received


async def read_both_until_closed(connection: Connection) -> tuple[bytes, bytes]:
    return await asyncio.wait_for(
        asyncio.gather(read_until_closed(connection.client), read_until_closed(connection.backend)), WAIT_S
    )


@pytest.mark.parametrize("loop", LOOP_RUNNERS, ids=("asyncio", "uvloop"))
@pytest.mark.parametrize("trigger_name", TRIGGERS)
@pytest.mark.parametrize("ending", ENDINGS)
def test_a_connection_that_ends_while_it_reports_an_event_raises_nothing_and_is_cleaned_up(
    ending: str, trigger_name: str, loop: Callable[[Coroutine[Any, Any, None]], None]
) -> None:
    """Guard against using a connection that ended during the call that reported its data: resets overtook MOVE."""

    async def body(connection: Connection) -> None:
        event, trigger = TRIGGERS[trigger_name]
        if trigger_name.startswith("backend's"):
            connection.client_end.write(b"a line\r\n")  # the backend's lines answer this one
            await asyncio.wait_for(connection.backend.readline(), WAIT_S)
        connection.inject_before_event(event, ENDINGS[ending])
        await trigger(connection)
        to_client, _ = await read_both_until_closed(connection)
        if ending in RELAY_ENDINGS and trigger_name in ("client's data", "backend's data", "backend's loads"):
            assert to_client.endswith(b"MOVE\r\n") and to_client.count(b"MOVE") == 1

    loop(run_with_connection(body))


@pytest.mark.parametrize("loop", LOOP_RUNNERS, ids=("asyncio", "uvloop"))
@pytest.mark.parametrize("trigger_name", ("client's data", "backend's data", "backend's loads"))
@pytest.mark.parametrize("change", FLEET_CHANGES)
def test_a_fleet_change_while_data_is_reported_loses_no_line(
    change: str, trigger_name: str, loop: Callable[[Coroutine[Any, Any, None]], None]
) -> None:
    """Guard against losing lines in transit when the endpoint list or the settings change during the call."""

    async def body(connection: Connection) -> None:
        event, trigger = TRIGGERS[trigger_name]
        if trigger_name.startswith("backend's"):
            connection.client_end.write(b"a line\r\n")
            await asyncio.wait_for(connection.backend.readline(), WAIT_S)
        connection.inject_before_event(event, FLEET_CHANGES[change])
        await trigger(connection)
        reader = connection.backend if trigger_name == "client's data" else connection.client
        received_lines = [await asyncio.wait_for(reader.readline(), WAIT_S)]
        while received_lines[-1] != b"a line\r\n":
            received_lines.append(await asyncio.wait_for(reader.readline(), WAIT_S))
        connection.client_end.close()
        await read_both_until_closed(connection)

    loop(run_with_connection(body))


@pytest.mark.parametrize("loop", LOOP_RUNNERS, ids=("asyncio", "uvloop"))
@pytest.mark.parametrize("side", ("client", "backend"))
@pytest.mark.parametrize("callback", ("pause_writing", "resume_writing"))
@pytest.mark.parametrize("ending", RELAY_ENDINGS)
def test_a_connection_that_ends_during_flow_control_raises_nothing(
    ending: str, callback: str, side: str, loop: Callable[[Coroutine[Any, Any, None]], None]
) -> None:
    """Guard against pausing or resuming the other side's transport after that side has ended."""

    async def body(connection: Connection) -> None:
        side_under_test = connection.client_side if side == "client" else connection.backend_side
        connection.inject_before_callback(side_under_test, callback, ENDINGS[ending])
        writer = connection.backend_end if side == "client" else connection.client_end
        reader = connection.client if side == "client" else connection.backend
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(200):
            if writer.is_closing():
                break
            writer.write(FLOOD)
            await asyncio.sleep(0.0)
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(100):
            if connection.injections:
                break
            await asyncio.sleep(0.01)
        await read_both_until_closed(connection)

    loop(run_with_connection(body))
