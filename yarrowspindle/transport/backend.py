"""The backend's side: one attempt, and the established connection that may come of it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, LineKind, LineSplitter, parse_line_kind, parse_load
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.transport.inactivity_timer import InactivityTimer
from yarrowspindle.transport.line_connection import LineConnection

MIGRATION_LINE_TIMEOUT_S = 0.5  # how long a migration waits for the rest of a line that MOVE must not cut

TERMINATION_REASONS = {
    LineKind.BYE: TerminationReason.COMPLETED,
    LineKind.MOVE: TerminationReason.BACKEND_DRAINING,
    LineKind.ERR: TerminationReason.BACKEND_ERROR,
    LineKind.BUSY: TerminationReason.REJECTED,
}


class BackendSink(Protocol):
    """What a backend's connection reports to. Any call but `log_warning` may end the connection."""

    def backend_connected(self, side: BackendConnection) -> None:
        """The connection came up; nothing is sent yet."""

    def backend_accepted(self, side: BackendConnection) -> None:
        """The backend has answered UP."""

    def backend_data_forwarded(self, request: int, lines: int) -> None:
        """So many lines that answer the client's were passed on to it."""

    def backend_load_reported(self, request: int, load: float) -> None:
        """A LOAD line came and was passed on."""

    def backend_connection_lost(self, side: BackendConnection) -> None:
        """The connection is closed; reported once."""

    def attempt_ended(self, side: BackendConnection, reason: TerminationReason) -> None:
        """The attempt, or the established connection, has ended by the backend; reported once at most."""

    def log_warning(self, text: str) -> None:
        """Logs what the backend should not have sent."""


class BackendConnection(LineConnection):
    """One attempt.

    Args:
        sink: receives the reports.
        request: the number of the request.
        attempt: the number of the attempt.
        backend: the backend's name.

    Attributes:
        lines: what has come, cut into lines.
        up_line: the UP line, as it came.
        early_data: what came right behind it, until both sides relay.
        request_sent: whether the request was written.
        accepted: whether the backend has accepted it.
        end_reported: whether the sink knows the end, or has asked for it: nothing more is reported.
        final_reason: what the backend's last line says of the end to come.
        migrating_client: the client that is sent away, once its line is complete.
        migration_timer: until the rest of a line is waited for no longer.
    """

    def __init__(self, sink: BackendSink, request: int, attempt: int, backend: str = "") -> None:
        super().__init__()
        self.sink, self.request, self.attempt, self.backend = sink, request, attempt, backend
        self.lines = LineSplitter()
        self.up_line = b""
        self.early_data = b""
        self.request_sent = self.accepted = self.end_reported = False
        self.final_reason: TerminationReason | None = None
        self.migrating_client: LineConnection | None = None
        self.migration_timer: InactivityTimer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reports that the connection is up, unless it was given up meanwhile."""
        super().connection_made(transport)
        if self.end_reported:
            self.abort()
        else:
            self.sink.backend_connected(self)

    def send_request(self, line: bytes) -> None:
        """Sends the request's first line."""
        self.request_sent = True
        self.write(line)

    def data_received(self, data: bytes) -> None:
        """Passes lines on to the client, or reads the backend's answer."""
        if self.closing:
            self.discarded_bytes += len(data)
        elif self.accepted:
            self._forward(data)
        else:
            self._read_answer(data)

    def _read_answer(self, data: bytes) -> None:
        try:
            complete = self.lines.feed(data)
        except LineError as error:
            self.sink.log_warning(f"an execute node sent {error}")
            self._end(TerminationReason.PROTOCOL_ERROR)
            return
        if not complete:
            return
        kind = parse_line_kind(complete[0])
        if kind is LineKind.UP:
            self._accept(complete)
            return
        if kind not in TERMINATION_REASONS:
            self.sink.log_warning(f"an execute node answered {complete[0][:60]!r}")
        self._end(TERMINATION_REASONS.get(kind, TerminationReason.PROTOCOL_ERROR))

    def _accept(self, complete: list[bytes]) -> None:
        self.accepted = True
        self.up_line = complete[0] + lines.CRLF
        self.early_data = b"".join(line + lines.CRLF for line in complete[1:]) + self.lines.rest
        self.lines.rest = b""
        self.sink.backend_accepted(self)

    def forward_early_data(self) -> None:
        """Passes on what came with the UP line; called once the other side is set."""
        early, self.early_data = self.early_data, b""
        if early:
            self._forward(early)

    def _forward(self, data: bytes) -> None:
        if self.other is None:
            self.early_data += data
            return
        if self.migrating_client is not None:
            self._forward_rest_of_line(data)
            return
        self.other.write(data)
        try:
            complete = self.lines.feed(data)
        except LineError as error:
            self.sink.log_warning(f"an execute node sent {error}")
            self._end(TerminationReason.CONNECTION_RESET)
            return
        self._report(complete)

    def _report(self, complete: list[bytes]) -> None:
        """Reports loads, then how many lines answer the client's, until a report ends the connection."""
        loads: list[float] = []
        answers = 0
        for line in complete:
            kind = parse_line_kind(line)
            if kind is LineKind.LOAD:
                load = parse_load(line)
                if load is not None:
                    loads.append(load)
            else:
                self.final_reason = TERMINATION_REASONS.get(kind)
                answers += self.final_reason is None
        for load in loads:
            if not self.closing:
                self.sink.backend_load_reported(self.request, load)
        if answers and not self.closing:
            self.sink.backend_data_forwarded(self.request, answers)

    def migrate(self, client: LineConnection) -> None:
        """Migrates the client: at once if its stream stands between two lines, else behind the line."""
        self.migrating_client = client
        if self.lines.at_boundary:
            self._finish_migration()
        else:
            self.migration_timer = InactivityTimer(MIGRATION_LINE_TIMEOUT_S, self._finish_migration)

    def _forward_rest_of_line(self, data: bytes) -> None:
        end = data.find(b"\n") + 1
        if self.migrating_client is not None:
            self.migrating_client.write(data[:end] if end else data)
        if end:
            self.lines.rest = b""
            self._finish_migration()

    def finish_migration_now(self) -> None:
        """Waits no longer for the rest of a line, where a migration does."""
        if self.migrating_client is not None:
            self._finish_migration()

    def _finish_migration(self) -> None:
        if self.migration_timer is not None:
            self.migration_timer.cancel()
            self.migration_timer = None
        if self.migrating_client is not None:
            self.migrating_client.finish(lines.MOVE if self.lines.at_boundary else lines.CRLF + lines.MOVE)
            self.migrating_client = None
        self.end_reported = True
        self.finish()

    def report_connect_failure(self, reason: TerminationReason) -> None:
        """Ends the attempt: its connection has not come up. One that does all the same is closed without a byte."""
        self.closing = True
        if not self.end_reported:
            self.end_reported = True
            self.sink.attempt_ended(self, reason)

    def drop(self) -> None:
        """Gives the attempt up: ends the connection, and reports nothing more of it."""
        self.end_reported = True
        self.finish()

    def eof_received(self) -> bool:
        """The backend has ended its sending."""
        self._end(self._reason_for_end())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports that the connection is closed, and its end where that is not reported yet."""
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
