"""What both ends of a relayed connection have in common: a transport, the other side, flow control."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, cast

GRACE_S = 0.5  # after our end of sending, for the peer to end as well, if it sends nothing more
THROWN_S = 5.0  # for a peer that goes on sending: it reads our last line once it has sent all
THROWN_MOST = 256 << 20


class Side(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: Side | None = None  # set once both sides flow
        self.closing = False
        self.thrown = 0  # bytes that came after our end
        self.late: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock: Any = transport.get_extra_info("socket")
        if sock is not None and sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def alive(self) -> asyncio.Transport | None:
        """The transport, while it can still be used: uvloop raises where asyncio's own passes over it."""
        return self.transport if self.transport is not None and not self.transport.is_closing() else None

    def write(self, data: bytes) -> None:
        transport = self.alive
        if transport is not None and not self.closing:
            transport.write(data)

    def pause_writing(self) -> None:
        if self.other is not None and (transport := self.other.alive):
            transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and (transport := self.other.alive):
            transport.resume_reading()

    def finish(self, last: bytes = b"") -> None:
        """Send what is left and end the connection in order; what still comes in is thrown away."""
        transport, closing = self.alive, self.closing
        self.closing = True
        self.other = None
        if transport is None or closing:
            return
        if last:
            transport.write(last)
        transport.resume_reading()
        # Closing at once would reset the connection if the peer has sent what we have not read, and the
        # reset would overtake our last line.
        if transport.can_write_eof():
            transport.write_eof()
        loop = asyncio.get_running_loop()
        self.late = loop.call_later(GRACE_S, self._linger, self.thrown, loop.time() + THROWN_S)

    def _linger(self, thrown: int, until: float) -> None:
        """A peer with much to send is heard out, within bounds; a reset could take our last line from it."""
        loop = asyncio.get_running_loop()
        if thrown < self.thrown < THROWN_MOST and loop.time() < until:
            self.late = loop.call_later(GRACE_S, self._linger, self.thrown, until)
        else:
            self.abort()

    def abort(self) -> None:
        self.closing = True
        self.other = None
        if transport := self.alive:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.late is not None:
            self.late.cancel()
            self.late = None
