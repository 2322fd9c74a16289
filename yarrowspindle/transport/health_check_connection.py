"""A persistent connection to a backend for its health checks, which request its load."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from yarrowspindle.protocol.lines import STATS, LineError, LineSplitter
from yarrowspindle.routing.termination import TerminationReason


class HealthCheckSink(Protocol):
    """Receiver of the reports of a connection for health checks. Any call may end the connection."""

    def health_check_answered(self, side: HealthCheckConnection, line: bytes) -> None:
        """Handle the reply to the pending probe."""

    def health_check_ended(self, side: HealthCheckConnection, reason: TerminationReason, text: str) -> None:
        """Handle the end of the connection, with a reason and a text for the log. Called once."""


class HealthCheckConnection(asyncio.Protocol):
    """A connection that sends probes on request and reports the replies; one probe is pending at a time.

    Args:
        sink: Receives the reports.
        backend: The backend's name.

    Attributes:
        awaiting_reply: Whether a probe is pending.
        ended: Whether the connection has ended; nothing more is reported then.
    """

    def __init__(self, sink: HealthCheckSink, backend: str) -> None:
        self.sink, self.backend = sink, backend
        self.transport: asyncio.Transport | None = None
        self.lines = LineSplitter()
        self.awaiting_reply = False
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the pending probe, unless the check ended while the connection was being established."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
        elif self.awaiting_reply:
            self.transport.write(STATS)

    def send_probe(self) -> None:
        """Send a probe now, or as soon as the connection is established."""
        self.awaiting_reply = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(STATS)

    def data_received(self, data: bytes) -> None:
        """Report a reply; end the connection if none was pending."""
        if self.ended:
            return
        try:
            lines = self.lines.feed(data)
        except LineError as error:
            self.end(TerminationReason.PROTOCOL_ERROR, str(error))
            return
        for line in lines:
            if not self.awaiting_reply:
                self.end(TerminationReason.PROTOCOL_ERROR, f"unsolicited line: {line[:60]!r}")
            if not self.ended:
                self.awaiting_reply = False
                self.sink.health_check_answered(self, line)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.end(TerminationReason.CONNECTION_RESET, "the connection was closed")

    def end(self, reason: TerminationReason, text: str) -> None:
        """Close the connection and report the reason. No effect if it has ended."""
        if not self.ended:
            self.ended = True
            if self.transport is not None:
                self.transport.abort()
            self.sink.health_check_ended(self, reason, text)
