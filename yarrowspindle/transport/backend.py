"""The connection to a backend: one attempt of a request, which may become an established connection."""

from __future__ import annotations

import asyncio
from typing import Protocol

from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, LineKind, LineTooLongError, parse_line_kind
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.transport.inactivity_timer import InactivityTimer
from yarrowspindle.transport.line_connection import LineConnection
from yarrowspindle.transport.read_turns import ReadTurns

MIGRATION_LINE_TIMEOUT_S = 0.5  # to receive the rest of a line that would be lost otherwise

TERMINATION_REASONS = {
    LineKind.BYE: TerminationReason.COMPLETED,
    LineKind.MOVE: TerminationReason.BACKEND_DRAINING,
    LineKind.ERR: TerminationReason.BACKEND_ERROR,
    LineKind.BUSY: TerminationReason.REJECTED,
}


class BackendSink(Protocol):
    """Receiver of the reports of a backend's connection. Any call except `log_warning` may end the connection."""

    def backend_connected(self, side: BackendConnection) -> None:
        """Handle an established TCP connection, on which nothing has been sent yet."""

    def backend_accepted(self, side: BackendConnection) -> None:
        """Handle the backend's UP line."""

    def backend_data_forwarded(self, request: int, lines: int) -> None:
        """Count lines of the backend, other than LOAD lines and its last one, that were forwarded to the client."""

    def backend_load_reported(self, request: int, load: float) -> None:
        """Handle the load in a LOAD line that was forwarded to the client."""

    def backend_connection_lost(self, side: BackendConnection) -> None:
        """Handle the closing of the connection. Called once."""

    def attempt_ended(self, side: BackendConnection, reason: TerminationReason) -> None:
        """Handle an attempt or established connection that the backend ended or that failed. Called at most once."""

    def log_warning(self, text: str) -> None:
        """Log a violation of the protocol by the backend."""


class BackendConnection(LineConnection):
    """The connection of one attempt to its backend.

    Args:
        sink: Receives the reports.
        request: The number of the request.
        attempt: The number of the attempt.
        backend: The backend's name.
        read_turns: See `LineConnection`.

    Attributes:
        up_line: The UP line, as received.
        early_data: Data received after the UP line, until relaying starts.
        request_sent: Whether the request was written.
        accepted: Whether the backend has accepted the request.
        end_reported: Whether the end was reported to the sink or requested by it; nothing more is reported then.
        final_reason: The termination reason that the backend's last line announces, if any.
        migrating_client: The client that is being migrated, until it has been sent MOVE.
        migration_timer: Limits how long a migration waits for the rest of a line.
    """

    def __init__(
        self, sink: BackendSink, request: int, attempt: int, backend: str = "", read_turns: ReadTurns | None = None
    ) -> None:
        super().__init__(read_turns)
        self.sink, self.request, self.attempt, self.backend = sink, request, attempt, backend
        self.up_line = b""
        self.early_data = b""
        self.request_sent = self.accepted = self.end_reported = False
        self.final_reason: TerminationReason | None = None
        self.migrating_client: LineConnection | None = None
        self.migration_timer: InactivityTimer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report that the connection is established, unless the attempt was dropped in the meantime."""
        super().connection_made(transport)
        if self.end_reported:
            self.abort()
        else:
            self.sink.backend_connected(self)

    def send_request(self, line: bytes) -> None:
        """Send the OPEN line of the request."""
        self.request_sent = True
        self.write(line)

    def data_received(self, data: bytes) -> None:
        """Forward data to the client once the request is accepted; before, read the backend's answer."""
        if self.closing:
            self.discard(len(data))
        elif self.accepted:
            self._forward(data)
        else:
            self._read_answer(data)

    def _read_answer(self, data: bytes) -> None:
        try:
            complete = self.lines.feed(data)
        except LineError as error:
            self.sink.log_warning(f"backend {self.backend} sent {error}; closing the connection")
            self._end(TerminationReason.PROTOCOL_ERROR)
            return
        if not complete:
            return
        kind = parse_line_kind(complete[0])
        if kind is LineKind.UP:
            self._accept(complete)
            return
        if kind not in TERMINATION_REASONS:
            self.sink.log_warning(
                f"backend {self.backend} answered {complete[0][:60]!r} instead of UP, BUSY, MOVE, ERR or BYE"
            )
        self._end(TERMINATION_REASONS.get(kind, TerminationReason.PROTOCOL_ERROR))

    def _accept(self, complete: list[bytes]) -> None:
        self.accepted = True
        self.up_line = complete[0] + lines.CRLF
        self.early_data = b"".join(line + lines.CRLF for line in complete[1:]) + self.lines.rest
        self.lines.rest = b""
        self.sink.backend_accepted(self)

    def forward_early_data(self) -> None:
        """Forward the data that followed the UP line. Call it after `start_relaying` of the client's connection."""
        early, self.early_data = self.early_data, b""
        if early:
            self._forward(early)

    def _forward(self, data: bytes) -> None:
        if self.other is None:
            self.early_data += data
            return
        try:
            if self.migrating_client is not None:
                self._forward_last_line(self.lines.feed_block(data))
                return
            complete = self.forward_lines(data)
        except LineTooLongError as error:
            self._end_because_of_line(error)
            return
        self._report(complete)

    def _end_because_of_line(self, error: LineTooLongError) -> None:
        """End an established connection because of an invalid line of the backend."""
        self.sink.log_warning(f"backend {self.backend} sent {error}; closing the connection")
        if self.migrating_client is not None:
            self._forward_last_line(error.lines_before)
            self.finish_migration_now()
        elif self.other is not None:
            self.other.finish(lines.MOVE)  # the backend may still answer, so the client is not cut off without a word
        self._end(TerminationReason.CONNECTION_RESET)

    def _report(self, complete: bytes) -> None:
        """Report loads, then the number of forwarded lines, unless a report ends the connection before."""
        if not complete:
            return
        received = lines.summarize_backend_lines(complete)
        answers = received.others
        if received.last_kind is not None:
            self.final_reason = TERMINATION_REASONS.get(received.last_kind)
            answers -= self.final_reason is not None
        for load in received.loads:
            if not self.closing:
                self.sink.backend_load_reported(self.request, load)
        if answers and not self.closing:
            self.sink.backend_data_forwarded(self.request, answers)

    def migrate(self, client: LineConnection) -> None:
        """Migrate the client: at once if no line is incomplete, otherwise after its rest or a time-out."""
        self.migrating_client = client
        if self.lines.at_boundary:
            self._finish_migration()
        else:
            self.migration_timer = InactivityTimer(MIGRATION_LINE_TIMEOUT_S, self._finish_migration)

    def _forward_last_line(self, complete: bytes) -> None:
        """Forward the line for which a migration waits, once it is complete; drop what follows."""
        if complete and self.migrating_client is not None:
            self.migrating_client.write(complete[: complete.index(lines.CRLF) + len(lines.CRLF)])
            self._finish_migration()

    def finish_migration_now(self) -> None:
        """Finish a pending migration without waiting for the rest of the line."""
        if self.migrating_client is not None:
            self._finish_migration()

    def _finish_migration(self) -> None:
        if self.migration_timer is not None:
            self.migration_timer.cancel()
            self.migration_timer = None
        if self.migrating_client is not None:
            self.migrating_client.finish(lines.MOVE)
            self.migrating_client = None
        self.end_reported = True
        self.finish()

    def report_connect_failure(self, reason: TerminationReason) -> None:
        """End the attempt because its connection was not established.

        If it is established later all the same, it is closed without sending a byte.
        """
        self.closing = True
        if not self.end_reported:
            self.end_reported = True
            self.sink.attempt_ended(self, reason)

    def drop(self) -> None:
        """End the connection without reporting the end of the attempt."""
        self.end_reported = True
        self.finish()

    def eof_received(self) -> bool:
        """End the connection, as the backend has closed its sending direction."""
        self._end(self._reason_for_end())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection is closed, and the end of the attempt unless already reported."""
        super().connection_lost(exc)
        was_sent = self.transport is None or self.transport.get_write_buffer_size() == 0
        self.transport = None
        self.finish_migration_now()
        self.sink.backend_connection_lost(self)
        self._end(self._reason_for_end(was_sent))

    def _reason_for_end(self, was_sent: bool = True) -> TerminationReason:
        if self.accepted:
            return self.final_reason or TerminationReason.CONNECTION_RESET
        may_have_run = self.request_sent and was_sent
        return TerminationReason.CONNECTION_RESET if may_have_run else TerminationReason.CONNECT_FAILED

    def _end(self, reason: TerminationReason) -> None:
        if not self.end_reported:
            self.end_reported = True
            self.finish()
            self.sink.attempt_ended(self, reason)
