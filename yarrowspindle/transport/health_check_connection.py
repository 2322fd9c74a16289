"""One connection to a backend on which its load is asked for, again and again."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from yarrowspindle.protocol.lines import STATS, LineError, LineSplitter
from yarrowspindle.routing.termination import TerminationReason


class HealthCheckSink(Protocol):
    """What a connection for health checks reports to. Any call may end the connection."""

    def health_check_answered(self, side: HealthCheckConnection, line: bytes) -> None:
        """The answer to the question that was out."""

    def health_check_ended(self, side: HealthCheckConnection, reason: TerminationReason, text: str) -> None:
        """The connection is over, for this reason and with this text for the log; reported once."""


class HealthCheckConnection(asyncio.Protocol):
    """Reports to its sink and obeys it; one question is out at a time.

    Attributes:
        backend: the backend's name.
        awaiting_reply: whether an answer is awaited.
        ended: whether nothing more is reported.
    """

    def __init__(self, sink: HealthCheckSink, backend: str) -> None:
        self.sink, self.backend = sink, backend
        self.transport: asyncio.Transport | None = None
        self.lines = LineSplitter()
        self.awaiting_reply = False
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asks what is to be asked, unless the connection was given up while it came up."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
        elif self.awaiting_reply:
            self.transport.write(STATS)

    def send_probe(self) -> None:
        """Asks now, or as soon as the connection is up."""
        self.awaiting_reply = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(STATS)

    def data_received(self, data: bytes) -> None:
        """Reports an answer; one that nobody asked for ends the connection."""
        if self.ended:
            return
        try:
            lines = self.lines.feed(data)
        except LineError as error:
            self.end(TerminationReason.PROTOCOL_ERROR, str(error))
            return
        for line in lines:
            if not self.awaiting_reply:
                self.end(TerminationReason.PROTOCOL_ERROR, f"{line[:60]!r} that nobody asked for")
            if not self.ended:
                self.awaiting_reply = False
                self.sink.health_check_answered(self, line)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the check."""
        self.end(TerminationReason.CONNECTION_RESET, "the connection ended")

    def end(self, reason: TerminationReason, text: str) -> None:
        """Closes the connection and reports why; without effect on one that is over."""
        if not self.ended:
            self.ended = True
            if self.transport is not None:
                self.transport.abort()
            self.sink.health_check_ended(self, reason, text)
