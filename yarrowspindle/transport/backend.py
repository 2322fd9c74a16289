"""The execute node's side: one attempt, and the standing connection that may come of it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, Lines, Word, load_of, word_of
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.transport.line_connection import LineConnection
from yarrowspindle.transport.silence import SilenceTimer

MOVE_WAIT_S = 0.5  # for the rest of a line that a MOVE must not cut

ANSWERS = {
    Word.BYE: TerminationReason.COMPLETED,
    Word.MOVE: TerminationReason.BACKEND_DRAINING,
    Word.ERR: TerminationReason.BACKEND_ERROR,
    Word.BUSY: TerminationReason.REJECTED,
}


class BackendSink(Protocol):
    """What a backend's connection reports to. Any call but `log_warning` may end the connection."""

    def backend_connected(self, side: BackendConnection) -> None: ...
    def backend_accepted(self, side: BackendConnection) -> None: ...
    def backend_data_forwarded(self, request: int, lines: int) -> None: ...
    def backend_load_reported(self, request: int, load: float) -> None: ...
    def backend_connection_lost(self, side: BackendConnection) -> None: ...
    def attempt_ended(self, side: BackendConnection, ending: TerminationReason) -> None: ...
    def log_warning(self, text: str) -> None: ...


class BackendConnection(LineConnection):
    def __init__(self, sink: BackendSink, request: int, attempt: int, backend: str = "") -> None:
        super().__init__()
        self.sink, self.request, self.attempt, self.backend = sink, request, attempt, backend
        self.lines = Lines()
        self.first = b""  # the UP line, as it came
        self.early = b""  # what came right behind it
        self.asked = self.up = self.told = False
        self.last: TerminationReason | None = None  # what the node's last line says of the end to come
        self.moving: LineConnection | None = None
        self.later: SilenceTimer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.told:  # given up while it came up
            self.abort()
        else:
            self.sink.backend_connected(self)

    def ask(self, line: bytes) -> None:
        self.asked = True
        self.write(line)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self.thrown += len(data)
            return
        if self.up:
            self._flow(data)
            return
        try:
            whole = self.lines.feed(data)
        except LineError as error:
            self.sink.log_warning(f"an execute node sent {error}")
            self._over(TerminationReason.PROTOCOL_ERROR)
            return
        if not whole:
            return
        word = word_of(whole[0])
        if word is Word.UP:
            self.up = True
            self.first = whole[0] + lines.END
            self.early = b"".join(line + lines.END for line in whole[1:]) + self.lines.rest
            self.lines.rest = b""
            self.sink.backend_accepted(self)
        else:
            if word not in ANSWERS:
                self.sink.log_warning(f"an execute node answered {whole[0][:60]!r}")
            self._over(ANSWERS.get(word, TerminationReason.PROTOCOL_ERROR))

    def flow(self) -> None:
        """Called once the other side is set; what came with the UP line follows it."""
        early, self.early = self.early, b""
        if early:
            self._flow(early)

    def _flow(self, data: bytes) -> None:
        if self.other is None:
            self.early += data
            return
        if self.moving is not None:
            self._move_between(data)
            return
        self.other.write(data)
        try:
            whole = self.lines.feed(data)
        except LineError as error:
            self.sink.log_warning(f"an execute node sent {error}")
            self._over(TerminationReason.CONNECTION_RESET)
            return
        self._report(whole)

    def _report(self, whole: list[bytes]) -> None:
        """Reports loads, then how many lines answer the client's, until a report ends the connection."""
        loads: list[float] = []
        answers = 0
        for line in whole:
            word = word_of(line)
            if word is Word.LOAD:
                load = load_of(line)
                if load is not None:
                    loads.append(load)
            else:
                self.last = ANSWERS.get(word)
                answers += self.last is None
        for load in loads:
            if not self.closing:
                self.sink.backend_load_reported(self.request, load)
        if answers and not self.closing:
            self.sink.backend_data_forwarded(self.request, answers)

    def move(self, client: LineConnection) -> None:
        """Send the submitter away, at once if its stream stands between two lines, else behind the line."""
        self.moving = client
        if self.lines.between:
            self._moved()
        else:
            self.later = SilenceTimer(MOVE_WAIT_S, self._moved)

    def _move_between(self, data: bytes) -> None:
        end = data.find(b"\n") + 1
        if self.moving is not None:
            self.moving.write(data[:end] if end else data)
        if end:
            self.lines.rest = b""
            self._moved()

    def move_now(self) -> None:
        """The rest of the line is waited for no longer."""
        if self.moving is not None:
            self._moved()

    def _moved(self) -> None:
        if self.later is not None:
            self.later.cancel()
            self.later = None
        if self.moving is not None:
            self.moving.finish(lines.MOVE if self.lines.between else lines.END + lines.MOVE)
            self.moving = None
        self.told = True
        self.finish()

    def unreached(self, ending: TerminationReason) -> None:
        """Its connection has not come up; one that does all the same is closed without a byte."""
        self.closing = True
        if not self.told:
            self.told = True
            self.sink.attempt_ended(self, ending)

    def drop(self) -> None:
        """The attempt is given up: end the connection, and say nothing more of it."""
        self.told = True
        self.finish()

    def eof_received(self) -> bool:
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        sent = self.asked and (self.transport is None or self.transport.get_write_buffer_size() == 0)
        self.transport = None
        if self.moving is not None:
            self._moved()
        self.sink.backend_connection_lost(self)
        self._end(sent)

    def _end(self, sent: bool = True) -> None:
        if self.up:
            self._over(self.last or TerminationReason.CONNECTION_RESET)
        else:
            self._over(TerminationReason.CONNECTION_RESET if self.asked and sent else TerminationReason.CONNECT_FAILED)

    def _over(self, ending: TerminationReason) -> None:
        if not self.told:
            self.told = True
            self.finish()
            self.sink.attempt_ended(self, ending)
