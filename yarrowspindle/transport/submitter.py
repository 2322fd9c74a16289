"""The submitter's side: its first line, its lines once the connection stands, its end."""

from __future__ import annotations

import asyncio
from typing import Protocol

from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, Open, parse_open
from yarrowspindle.transport.side import Side

FIRST_LINE_S = 20.0  # a connection that says nothing is ended after this
KEPT = 1 << 16  # bytes kept before the connection stands; more stay in the kernel


class SubmitterSink(Protocol):
    def job_came(self, side: Submitter, opened: Open) -> None: ...
    def job_asked(self, job: int) -> None: ...
    def job_left(self, job: int) -> None: ...
    def submitter_lost(self, side: Submitter) -> None: ...
    def bad_line(self, text: str) -> None: ...


class Submitter(Side):
    def __init__(self, sink: SubmitterSink) -> None:
        super().__init__()
        self.sink = sink
        self.job = 0  # 0: no OPEN line so far
        self.kept = b""
        self.gone = False  # its end was told
        self.wait: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.wait = asyncio.get_running_loop().call_later(FIRST_LINE_S, self.abort)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        if self.other is not None:
            for _ in range(data.count(b"\n")):
                self.sink.job_asked(self.job)
            self.other.write(data)
            return
        self.kept += data
        if self.job and len(self.kept) > KEPT and (transport := self.alive):
            transport.pause_reading()
        while not self.job and not self.closing:
            line, end, rest = self.kept.partition(lines.END)
            if not end:
                if len(line) > lines.LONGEST:
                    self._refuse("a first line that is too long")
                return
            self.kept = rest
            self._first(line)

    def _first(self, line: bytes) -> None:
        if line == b"PING":
            self.write(lines.PONG)
        elif line == b"STATS":
            self.write(b"NO\r\n")
        else:
            try:
                opened = parse_open(line)
                self.sink.job_came(self, opened)
            except LineError as error:
                self._refuse(str(error))
        if self.job:
            self._heard()

    def _refuse(self, why: str) -> None:
        self.sink.bad_line(why)
        self.finish(lines.FAILED)

    def _heard(self) -> None:
        if self.wait is not None:
            self.wait.cancel()
            self.wait = None

    def join(self, other: Side, first: bytes) -> None:
        """Both sides flow from here; what the submitter sent early goes first."""
        self.write(first)
        self.other, other.other = other, self
        kept, self.kept = self.kept, b""
        if transport := self.alive:
            transport.resume_reading()
        if kept:
            self.data_received(kept)

    def eof_received(self) -> bool:
        self._leave()
        return False  # the transport closes once all is written

    def connection_lost(self, exc: Exception | None) -> None:
        self._heard()
        self._leave()
        self.transport = None
        self.sink.submitter_lost(self)

    def _leave(self) -> None:
        if self.job and not self.gone and not self.closing:
            self.gone = True
            self.sink.job_left(self.job)
