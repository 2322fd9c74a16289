"""The two sides of a relayed connection, on transports that only record calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import pytest

from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.transport.backend import BackendConnection
from yarrowspindle.transport.client import ClientConnection


class RecordingTransport:
    """A transport that records calls; like uvloop's it accepts no calls once it is closing."""

    def __init__(self) -> None:
        self.sent, self.reading, self.closed, self.eof = b"", True, False, False

    def __getattr__(self, name: str) -> Callable[..., None]:
        raise AssertionError(f"unexpected call: {name}")

    def set_write_buffer_limits(self, high: int) -> None:
        self.high_water = high

    def get_extra_info(self, name: str) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def can_write_eof(self) -> bool:
        return True

    def abort(self) -> None:
        self.closed = True

    def write(self, data: bytes) -> None:
        assert not self.closed
        self.sent += data

    def write_eof(self) -> None:
        assert not self.closed
        self.eof = True

    def pause_reading(self) -> None:
        assert not self.closed
        self.reading = False

    def resume_reading(self) -> None:
        assert not self.closed
        self.reading = True


class RecordingSink:
    """A sink of both sides that records its calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: self.calls.append((name, *args))

    def request_received(self, side: ClientConnection, opened: object) -> None:
        side.request = 7


def connected_sides() -> tuple[
    RecordingSink, ClientConnection, RecordingTransport, BackendConnection, RecordingTransport
]:
    sink, client_transport, backend_transport = RecordingSink(), RecordingTransport(), RecordingTransport()
    client, backend = ClientConnection(cast(Any, sink)), BackendConnection(cast(Any, sink), 7, 0)
    client.connection_made(cast(asyncio.BaseTransport, client_transport))
    backend.connection_made(cast(asyncio.BaseTransport, backend_transport))
    client.data_received(b"OPEN 000000000000000a 00000000000000ff c=x,d=5\r\n")
    backend.send_request(b"OPEN\r\n")
    return sink, client, client_transport, backend, backend_transport


def relaying_sides() -> tuple[
    RecordingSink, ClientConnection, RecordingTransport, BackendConnection, RecordingTransport
]:
    sides = connected_sides()
    sides[3].data_received(b"UP r\r\n")
    sides[1].start_relaying(sides[3], sides[3].up_line)
    sides[3].forward_early_data()
    return sides


def run(body: Callable[[], None]) -> None:
    async def inside() -> None:
        body()

    asyncio.run(inside())


def test_an_incomplete_line_is_held_and_a_migration_waits_for_its_end() -> None:
    """Guard against a client that reads half a line of its backend as a whole one."""

    def body() -> None:
        _, client, client_transport, backend, backend_transport = relaying_sides()
        backend.data_received(b"first\r\nhel")
        assert client_transport.sent == b"UP r\r\nfirst\r\n"
        backend.migrate(client)
        assert not client_transport.eof
        backend.data_received(b"lo\r")
        assert client_transport.sent == b"UP r\r\nfirst\r\n" and not client_transport.eof
        backend.data_received(b"\nnext\r\n")
        assert client_transport.sent == b"UP r\r\nfirst\r\nhello\r\nMOVE\r\n"
        assert client_transport.eof and backend_transport.eof

    run(body)


ENDS_WITHIN_A_LINE: dict[str, Callable[[ClientConnection, BackendConnection], None]] = {
    "long line of the backend": lambda client, backend: backend.data_received(b"x" * 5000),
    "long line of the client": lambda client, backend: client.data_received(b"x" * 5000),
}
ENDS_OF_A_MIGRATION: dict[str, Callable[[ClientConnection, BackendConnection], None]] = {
    "finished now": lambda client, backend: backend.finish_migration_now(),
    "reset": lambda client, backend: backend.connection_lost(None),
    "time-out": lambda client, backend: backend._finish_migration(),
    "long line": lambda client, backend: backend.data_received(b"x" * 5000),
}


@pytest.mark.parametrize(
    ("migrating", "end"),
    [(False, end) for end in ENDS_WITHIN_A_LINE] + [(True, end) for end in ENDS_OF_A_MIGRATION],
)
def test_the_relay_ends_a_connection_within_lines_of_both_sides_with_move_and_forwards_neither(
    migrating: bool, end: str
) -> None:
    """Guard against a CRLF of the relay that turns part of a line into a line that no backend sent."""

    def body() -> None:
        _, client, client_transport, backend, backend_transport = relaying_sides()
        backend.data_received(b"whole\r\nhalf of the backend's")
        client.data_received(b"ask\r\nhalf of the client's")
        if migrating:
            backend.migrate(client)
        (ENDS_OF_A_MIGRATION if migrating else ENDS_WITHIN_A_LINE)[end](client, backend)
        assert client_transport.sent == b"UP r\r\nwhole\r\nMOVE\r\n" and client_transport.eof
        assert backend_transport.sent == b"OPEN\r\nask\r\n"
        sent = client_transport.sent, backend_transport.sent
        backend.data_received(b" late\r\n")
        client.data_received(b" late\r\n")
        assert (client_transport.sent, backend_transport.sent) == sent

    run(body)


@pytest.mark.parametrize("line", [b"x" * 4096, b""])
def test_the_lines_before_a_long_line_are_forwarded(line: bytes) -> None:
    def body() -> None:
        sink, client, client_transport, backend, backend_transport = relaying_sides()
        backend.data_received(line + b"\r\n" + b"y" * 4097 + b"\r\n" + b"after\r\n")
        assert client_transport.sent == b"UP r\r\n" + line + b"\r\nMOVE\r\n" and client_transport.eof
        assert sink.calls[-1] == ("attempt_ended", backend, TerminationReason.CONNECTION_RESET)
        sink, client, client_transport, backend, backend_transport = relaying_sides()
        client.data_received(line + b"\r\n" + b"y" * 4097 + b"\r\n" + b"after\r\n")
        assert backend_transport.sent == b"OPEN\r\n" + line + b"\r\n"
        assert client_transport.sent == b"UP r\r\nMOVE\r\n" and client_transport.eof
        assert sink.calls[-1] == ("line_rejected", client, "a line longer than 4096 bytes")
        client.connection_lost(None)
        assert "client_disconnected" not in [call[0] for call in sink.calls], "line_rejected has reported its end"

    run(body)


def test_a_migration_forwards_the_line_it_waits_for_although_a_long_line_follows() -> None:
    def body() -> None:
        _, client, client_transport, backend, _ = relaying_sides()
        backend.data_received(b"hel")
        backend.migrate(client)
        backend.data_received(b"lo\r\n" + b"x" * 5000)
        assert client_transport.sent == b"UP r\r\nhello\r\nMOVE\r\n" and client_transport.eof

    run(body)


def test_lines_arrive_unchanged_whatever_the_pieces() -> None:
    def body() -> None:
        data = b"one\r\n\r\nwith \r and \n inside\r\nLOAD 5\r\nlast\r\n"
        for size in range(1, len(data) + 1):
            _, client, client_transport, backend, backend_transport = relaying_sides()
            for start in range(0, len(data), size):
                backend.data_received(data[start : start + size])
                client.data_received(data[start : start + size])
            assert client_transport.sent == b"UP r\r\n" + data
            assert backend_transport.sent == b"OPEN\r\n" + data

    run(body)


def test_data_received_with_the_up_line_is_forwarded_in_order() -> None:
    def body() -> None:
        sink, client, client_transport, backend, backend_transport = connected_sides()
        backend.data_received(b"UP r\r\nLOAD 5\r\nx")
        client.start_relaying(backend, backend.up_line)
        backend.forward_early_data()
        assert client_transport.sent == b"UP r\r\nLOAD 5\r\n" and backend_transport.sent == b"OPEN\r\n"
        assert ("backend_load_reported", 7, 5.0) in sink.calls
        backend.data_received(b"y\r\n")
        assert client_transport.sent == b"UP r\r\nLOAD 5\r\nxy\r\n"

    run(body)


def test_back_pressure_pauses_the_other_side() -> None:
    def body() -> None:
        _, client, client_transport, backend, backend_transport = relaying_sides()
        client.pause_writing()
        assert not backend_transport.reading
        client.resume_writing()
        backend.pause_writing()
        assert backend_transport.reading and not client_transport.reading
        client_transport.abort()
        backend.resume_writing()  # must not raise although there is nothing to resume
        backend.data_received(b"late\r\n")

    run(body)


def test_client_data_before_the_connection_is_established_is_reported_and_discarded() -> None:
    def body() -> None:
        sink, client, _, backend, backend_transport = connected_sides()
        client.data_received(b"x" * 100_000)
        assert sink.calls[-1] == ("unexpected_client_data", 7)
        backend.data_received(b"UP r\r\n")
        client.start_relaying(backend, backend.up_line)
        assert backend_transport.sent == b"OPEN\r\n"

    run(body)


def test_lines_are_reported_as_one_count_per_chunk() -> None:
    def body() -> None:
        sink, client, _, backend, _ = relaying_sides()
        client.data_received(b"x\r\n" * 5000)
        backend.data_received(b"y\r\n" * 5000)
        assert sink.calls[-2:] == [("client_data_forwarded", 7, 5000), ("backend_data_forwarded", 7, 5000)]

    run(body)


def test_a_rejected_client_may_finish_sending_before_the_connection_is_aborted() -> None:
    async def inside() -> None:
        wire = RecordingTransport()
        client = ClientConnection(cast(Any, RecordingSink()))
        client.connection_made(cast(asyncio.BaseTransport, wire))
        client.data_received(b"x" * 5000)
        assert wire.sent == b"ERR\r\n" and wire.eof and not wire.closed
        until = asyncio.get_running_loop().time() + 60.0
        client.data_received(b"x" * 5000)
        client._linger(0, until)
        assert not wire.closed, "the peer still sends, so a reset could destroy its answer"
        client._linger(client.discarded_bytes, until)
        assert wire.closed

    asyncio.run(inside())


def test_the_last_line_determines_the_termination_reason() -> None:
    def body() -> None:
        for last, reason in (
            (b"BYE\r\n", TerminationReason.COMPLETED),
            (b"MOVE\r\n", TerminationReason.BACKEND_DRAINING),
            (b"", TerminationReason.CONNECTION_RESET),
        ):
            sink, _, _, backend, _ = relaying_sides()
            backend.data_received(b"hello\r\n" + last)
            backend.eof_received()
            backend.connection_lost(None)
            assert [t[2] for t in sink.calls if t[0] == "attempt_ended"] == [reason]
        sink, _, _, backend, _ = connected_sides()
        backend.request_sent = False
        backend.connection_lost(None)
        assert sink.calls[-1] == ("attempt_ended", backend, TerminationReason.CONNECT_FAILED)

    run(body)


def test_a_connection_established_after_its_attempt_was_dropped_is_closed() -> None:
    def body() -> None:
        sink, wire = RecordingSink(), RecordingTransport()
        backend = BackendConnection(cast(Any, sink), 7, 0)
        backend.drop()
        backend.connection_made(cast(asyncio.BaseTransport, wire))
        assert wire.closed and not sink.calls

    run(body)
