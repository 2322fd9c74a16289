"""The connection of a client: its first line, its data while the connection is established, its end."""

from __future__ import annotations

import asyncio
from typing import Protocol

from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, LineTooLongError, OpeningReader, OpenRequest
from yarrowspindle.transport.inactivity_timer import InactivityTimer, half_close_unless_readable
from yarrowspindle.transport.line_connection import LineConnection
from yarrowspindle.transport.read_turns import ReadTurns

FIRST_LINE_TIMEOUT_S = 2.0  # for a complete OPEN line; probes do not extend it


class ClientSink(Protocol):
    """Receiver of the reports of a client's connection. Any call except `ready` may end the connection."""

    def ready(self) -> bool:
        """Return whether the relay accepts new requests."""

    def request_received(self, side: ClientConnection, opened: OpenRequest) -> None:
        """Handle a complete OPEN line."""

    def unexpected_client_data(self, request: int) -> None:
        """Handle data that the client sent before its request was answered; it is discarded."""

    def client_data_forwarded(self, request: int, lines: int) -> None:
        """Count lines of the client that were forwarded to its backend."""

    def client_disconnected(self, request: int) -> None:
        """Handle a client that closed or reset the connection before its request ended."""

    def client_connection_lost(self, side: ClientConnection) -> None:
        """Handle the closing of the connection. Called once, as the last call."""

    def first_line_rejected(self, side: ClientConnection, reason: str) -> None:
        """Handle a connection that was ended because of an invalid first line."""

    def line_rejected(self, side: ClientConnection, reason: str) -> None:
        """Handle an established connection that was ended because of an invalid line, as if the client had left."""

    def idle_client_closed(self, side: ClientConnection) -> None:
        """Handle a connection that was ended because no first line arrived."""


class ClientConnection(LineConnection):
    """The connection of one client.

    Args:
        sink: Receives the reports.
        may_have_waited: Whether the connection may have waited in the kernel's accept queue.
        read_turns: See `LineConnection`.

    Attributes:
        request: The number of the request, set by the sink; 0 before the OPEN line.
        opening: Parses the data up to the OPEN line.
        disconnect_reported: Whether the client's disconnect was reported to the sink.
        first_line_timer: Limits the time until the first line is complete.
    """

    def __init__(self, sink: ClientSink, may_have_waited: bool = False, read_turns: ReadTurns | None = None) -> None:
        super().__init__(read_turns)
        self.may_have_waited = may_have_waited
        self.sink = sink
        self.request = 0
        self.opening = OpeningReader()
        self.disconnect_reported = False
        self.first_line_timer: InactivityTimer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time-out of the first line."""
        super().connection_made(transport)
        self.first_line_timer = InactivityTimer(FIRST_LINE_TIMEOUT_S, self._on_first_line_timeout)

    def data_received(self, data: bytes) -> None:
        """Forward data to the backend while relaying; before, read the first line."""
        if self.closing:
            self.discard(len(data))
        elif self.other is not None:
            self._forward(data)
        elif self.request:  # the client has to wait for the answer; its data is neither buffered nor forwarded
            self.sink.unexpected_client_data(self.request)
        else:
            self._read_first_line(data)

    def _forward(self, data: bytes) -> None:
        try:
            complete = self.forward_lines(data)
        except LineTooLongError as error:
            self._end_because_of_line(error)
            return
        self.sink.client_data_forwarded(self.request, complete.count(lines.CRLF))

    def _end_because_of_line(self, error: LineError) -> None:
        """End an established connection because of an invalid line of the client."""
        self.disconnect_reported = True
        self.finish(lines.MOVE)  # the only line of its own that the relay may send on an established connection
        self.sink.line_rejected(self, str(error))

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
        """Answer an invalid first line with ERR and end the connection."""
        self._cancel_first_line_timer()
        self.finish(lines.ERR)
        self.sink.first_line_rejected(self, reason)

    def _on_first_line_timeout(self) -> None:
        if self.opening.rest:
            self.reject_first_line("the first line is incomplete")
        elif not self.close_if_idle():
            # Check again once the unread data has been read.
            self.first_line_timer = InactivityTimer(0.0, self._on_first_line_timeout)

    def close_if_idle(self, even_if_unread: bool = False) -> bool:
        """End a connection without a request, gracefully, since its first line may be in transit.

        Args:
            even_if_unread: End it also if the kernel holds unread data of the client.

        Returns:
            False if the connection continues because of unread data.
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
        """Send the backend's first line, and forward data in both directions from now on."""
        self.write(first)
        self.other, other.other = other, self

    def eof_received(self) -> bool:
        """Treat the client as disconnected, as it has closed its sending direction."""
        if not self.request and not self.closing and self.opening.rest:
            self.reject_first_line("the first line is incomplete")
        else:
            self._report_disconnect()
        return False  # the transport closes once its buffer is written

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the disconnect unless already reported, and that the connection is closed."""
        super().connection_lost(exc)
        self._cancel_first_line_timer()
        self.transport = None
        self._report_disconnect()
        self.sink.client_connection_lost(self)

    def _report_disconnect(self) -> None:
        if self.request and not self.disconnect_reported and not self.closing:
            self.disconnect_reported = True
            self.sink.client_disconnected(self.request)
