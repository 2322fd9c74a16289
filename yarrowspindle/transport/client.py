"""The submitter's side: its first line, its lines once the connection stands, its end."""

from __future__ import annotations

import asyncio
from typing import Protocol

from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, Open, Opening
from yarrowspindle.transport.line_connection import LineConnection
from yarrowspindle.transport.silence import SilenceTimer, end_sending_if_silent

FIRST_LINE_S = 2.0  # a connection that has sent no OPEN line by then is ended, whatever else it said


class ClientSink(Protocol):
    """What a client's connection reports to. Any call but `ready` may end the connection."""

    def ready(self) -> bool: ...
    def client_connected(self, side: ClientConnection) -> None: ...
    def request_received(self, side: ClientConnection, opened: Open) -> None: ...
    def unexpected_client_data(self, request: int) -> None: ...
    def client_data_forwarded(self, request: int, lines: int) -> None: ...
    def client_disconnected(self, request: int) -> None: ...
    def client_connection_lost(self, side: ClientConnection) -> None: ...
    def first_line_rejected(self, side: ClientConnection, why: str) -> None: ...
    def idle_client_closed(self, side: ClientConnection) -> None: ...


class ClientConnection(LineConnection):
    """waited: whether the connection may have waited in the kernel for longer than its turn."""

    def __init__(self, sink: ClientSink, waited: bool = False) -> None:
        super().__init__()
        self.waited = waited
        self.sink = sink
        self.request = 0  # 0: no OPEN line so far
        self.opening = Opening()
        self.gone = False  # its end was told
        self.wait: SilenceTimer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.wait = SilenceTimer(FIRST_LINE_S, self._late)
        self.sink.client_connected(self)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self.thrown += len(data)
        elif self.other is not None:
            self.other.write(data)
            self.sink.client_data_forwarded(self.request, data.count(b"\n"))
        elif self.request:  # it has to wait for its answer; what it sends is neither kept nor passed on
            self.sink.unexpected_client_data(self.request)
        else:
            self._open(data)

    def _open(self, data: bytes) -> None:
        try:
            answers, opened = self.opening.feed(data, self.sink.ready())
        except LineError as error:
            self.refuse(str(error))
            return
        if answers:
            self.write(answers)
        if opened is not None:
            self._heard()
            self.sink.request_received(self, opened)

    def refuse(self, why: str) -> None:
        """Ends a connection whose first line makes no sense."""
        self._heard()
        self.finish(lines.FAILED)
        self.sink.first_line_rejected(self, why)

    def _late(self) -> None:
        if self.opening.rest:
            self.refuse("half a line")
        elif not self.rest_over():
            self.wait = SilenceTimer(0.0, self._late)  # once its bytes are read

    def rest_over(self, although_unread: bool = False) -> bool:
        """Ends a connection that has asked for nothing: in order, since its line may be on its way.

        Returns False where it goes on, since the kernel holds bytes of it that were not read.
        """
        if not end_sending_if_silent(self.alive) and not although_unread:
            return False
        self._heard()
        self.finish()
        self.sink.idle_client_closed(self)
        return True

    def _heard(self) -> None:
        if self.wait is not None:
            self.wait.cancel()
            self.wait = None

    def join(self, other: LineConnection, first: bytes) -> None:
        """Both sides flow from here."""
        self.write(first)
        self.other, other.other = other, self

    def eof_received(self) -> bool:
        if not self.request and not self.closing and self.opening.rest:
            self.refuse("half a line")
        else:
            self._leave()
        return False  # the transport closes once all is written

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._heard()
        self.transport = None
        self._leave()
        self.sink.client_connection_lost(self)

    def _leave(self) -> None:
        if self.request and not self.gone and not self.closing:
            self.gone = True
            self.sink.client_disconnected(self.request)
