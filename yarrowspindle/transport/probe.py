"""One connection to an execute node on which its load is asked for, again and again."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from yarrowspindle.protocol.lines import STATS, LineError, Lines
from yarrowspindle.routing.termination import TerminationReason


class ProbeSink(Protocol):
    """What a connection for health checks reports to. Any call may end the connection."""

    def health_check_answered(self, side: HealthCheckConnection, line: bytes) -> None: ...
    def health_check_ended(self, side: HealthCheckConnection, ending: TerminationReason, why: str) -> None: ...


class HealthCheckConnection(asyncio.Protocol):
    """Reports to its sink and obeys it; one question is out at a time."""

    def __init__(self, sink: ProbeSink, backend: str) -> None:
        self.sink, self.backend = sink, backend
        self.transport: asyncio.Transport | None = None
        self.lines = Lines()
        self.asked = False  # an answer is awaited
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # given up while it came up
            self.transport.abort()
        elif self.asked:
            self.transport.write(STATS)

    def ask(self) -> None:
        """Now, or as soon as the connection is up."""
        self.asked = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(STATS)

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        try:
            lines = self.lines.feed(data)
        except LineError as error:
            self.end(TerminationReason.PROTOCOL_ERROR, str(error))
            return
        for line in lines:
            if not self.asked:
                self.end(TerminationReason.PROTOCOL_ERROR, f"{line[:60]!r} that nobody asked for")
            if not self.over:
                self.asked = False
                self.sink.health_check_answered(self, line)

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(TerminationReason.CONNECTION_RESET, "the connection ended")

    def end(self, ending: TerminationReason, why: str) -> None:
        if not self.over:
            self.over = True
            if self.transport is not None:
                self.transport.abort()
            self.sink.health_check_ended(self, ending, why)
