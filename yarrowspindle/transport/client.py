"""The client's side: its first line, its lines once the connection is established, its end."""

from __future__ import annotations

import asyncio
from typing import Protocol

from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, OpeningReader, OpenRequest
from yarrowspindle.transport.inactivity_timer import InactivityTimer, half_close_unless_readable
from yarrowspindle.transport.line_connection import LineConnection

FIRST_LINE_TIMEOUT_S = 2.0  # a connection that has sent no OPEN line by then is ended, whatever else it said


class ClientSink(Protocol):
    """What a client's connection reports to. Any call but `ready` may end the connection."""

    def ready(self) -> bool:
        """Returns whether the relay accepts new connections."""

    def client_connected(self, side: ClientConnection) -> None:
        """The connection was accepted."""

    def request_received(self, side: ClientConnection, opened: OpenRequest) -> None:
        """The OPEN line is complete."""

    def unexpected_client_data(self, request: int) -> None:
        """The client sent more before it had its answer."""

    def client_data_forwarded(self, request: int, lines: int) -> None:
        """So many lines of the client were passed on to its backend."""

    def client_disconnected(self, request: int) -> None:
        """The client has ended or reset a connection whose request is not over."""

    def client_connection_lost(self, side: ClientConnection) -> None:
        """The connection is closed; reported once, last of all."""

    def first_line_rejected(self, side: ClientConnection, reason: str) -> None:
        """The first line makes no sense, and the connection was ended."""

    def idle_client_closed(self, side: ClientConnection) -> None:
        """No first line came, and the connection was ended."""


class ClientConnection(LineConnection):
    """One client.

    Args:
        sink: receives the reports.
        may_have_waited: whether the connection may have waited in the kernel for longer than its turn.

    Attributes:
        request: its number, set by the sink; 0: no OPEN line so far.
        opening: the first line, as far as it has come.
        disconnect_reported: whether the sink knows that the client has left.
        first_line_timer: until the first line has to be complete.
    """

    def __init__(self, sink: ClientSink, may_have_waited: bool = False) -> None:
        super().__init__()
        self.may_have_waited = may_have_waited
        self.sink = sink
        self.request = 0
        self.opening = OpeningReader()
        self.disconnect_reported = False
        self.first_line_timer: InactivityTimer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins the time in which the first line has to come."""
        super().connection_made(transport)
        self.first_line_timer = InactivityTimer(FIRST_LINE_TIMEOUT_S, self._on_first_line_timeout)
        self.sink.client_connected(self)

    def data_received(self, data: bytes) -> None:
        """Passes lines on to the backend, or reads the first one."""
        if self.closing:
            self.discarded_bytes += len(data)
        elif self.other is not None:
            self.other.write(data)
            self.sink.client_data_forwarded(self.request, data.count(b"\n"))
        elif self.request:  # it has to wait for its answer; what it sends is neither kept nor passed on
            self.sink.unexpected_client_data(self.request)
        else:
            self._read_first_line(data)

    def _read_first_line(self, data: bytes) -> None:
        try:
            answers, opened = self.opening.feed(data, self.sink.ready())
        except LineError as error:
            self.reject_first_line(str(error))
            return
        if answers:
            self.write(answers)
        if opened is not None:
            self._cancel_first_line_timer()
            self.sink.request_received(self, opened)

    def reject_first_line(self, reason: str) -> None:
        """Ends a connection whose first line makes no sense."""
        self._cancel_first_line_timer()
        self.finish(lines.ERR)
        self.sink.first_line_rejected(self, reason)

    def _on_first_line_timeout(self) -> None:
        if self.opening.rest:
            self.reject_first_line("half a line")
        elif not self.close_if_idle():
            self.first_line_timer = InactivityTimer(0.0, self._on_first_line_timeout)  # once its bytes are read

    def close_if_idle(self, even_if_unread: bool = False) -> bool:
        """Ends a connection that has asked for nothing: in order, since its line may be on its way.

        Returns False where it goes on, since the kernel holds bytes of it that were not read.
        """
        if not half_close_unless_readable(self.open_transport) and not even_if_unread:
            return False
        self._cancel_first_line_timer()
        self.finish()
        self.sink.idle_client_closed(self)
        return True

    def _cancel_first_line_timer(self) -> None:
        if self.first_line_timer is not None:
            self.first_line_timer.cancel()
            self.first_line_timer = None

    def start_relaying(self, other: LineConnection, first: bytes) -> None:
        """Relays both ways from here on, the backend's first line before all else."""
        self.write(first)
        self.other, other.other = other, self

    def eof_received(self) -> bool:
        """The client has ended its sending: it counts as gone."""
        if not self.request and not self.closing and self.opening.rest:
            self.reject_first_line("half a line")
        else:
            self._report_disconnect()
        return False  # the transport closes once all is written

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports what is not reported yet, and that the connection is closed."""
        super().connection_lost(exc)
        self._cancel_first_line_timer()
        self.transport = None
        self._report_disconnect()
        self.sink.client_connection_lost(self)

    def _report_disconnect(self) -> None:
        if self.request and not self.disconnect_reported and not self.closing:
            self.disconnect_reported = True
            self.sink.client_disconnected(self.request)
