"""What both ends of a relayed connection have in common: a transport, the other side, flow control, an orderly end."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from contextlib import suppress
from typing import Any, cast

from yarrowspindle.transport.inactivity_timer import InactivityTimer

LINGER_INTERVAL_S = 0.5  # after our end of sending, for the peer to end as well, if it sends nothing more
MAX_DISCARD_S = 5.0  # for a peer that goes on sending: it reads our last line once it has sent all
MAX_DISCARDED_BYTES = 256 << 20
MAX_STALLED_WRITE_S = 2.0  # a peer that takes none of what is still to be sent for so long is not waited for
MAX_SLOW_WRITE_S = 60.0  # nor is one that reads ever so slowly, after so long
C_INT = struct.Struct("@i")


class LineConnection(asyncio.Protocol):
    """One side of a relayed connection. Times are seconds of the event loop.

    Attributes:
        transport: None before the connection is made and after it is lost.
        other: the other side, once both sides relay.
        closing: whether our sending has ended; what still comes in is discarded.
        discarded_bytes: how much came in since.
        linger_timer: until the peer is looked at again, after our end.
        finished_at: when our sending ended.
        read_at: when the peer was last seen to read.
        last_unsent: what the peer had not taken yet, when it was looked at last.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: LineConnection | None = None
        self.closing = False
        self.discarded_bytes = 0
        self.linger_timer: InactivityTimer | None = None
        self.finished_at = self.read_at = 0.0
        self.last_unsent = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, which sends without delay from here on."""
        self.transport = cast(asyncio.Transport, transport)
        sock: Any = transport.get_extra_info("socket")
        if sock is not None and sock.family != socket.AF_UNIX:
            with suppress(OSError):  # a connection without it is served all the same
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def open_transport(self) -> asyncio.Transport | None:
        """The transport, while it can still be used: uvloop raises where asyncio's own passes over it."""
        return self.transport if self.transport is not None and not self.transport.is_closing() else None

    @property
    def peer_address(self) -> str:
        """As `host:port`; empty where the transport is gone or has none."""
        address = self.transport.get_extra_info("peername") if self.transport is not None else None
        return "{}:{}".format(*address[:2]) if isinstance(address, tuple) else ""

    def write(self, data: bytes) -> None:
        """Sends bytes, unless our sending has ended."""
        transport = self.open_transport
        if transport is not None and not self.closing:
            transport.write(data)

    def pause_writing(self) -> None:
        """Reads nothing more from the other side: this one does not keep up."""
        if self.other is not None and (transport := self.other.open_transport):
            transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads from the other side again."""
        if self.other is not None and (transport := self.other.open_transport):
            transport.resume_reading()

    def finish(self, last: bytes = b"") -> None:
        """Sends what is left and ends the connection in order; what still comes in is discarded."""
        transport, closing = self.open_transport, self.closing
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
        self.finished_at = self.read_at = asyncio.get_running_loop().time()
        self._linger_again(self.finished_at + MAX_DISCARD_S)

    def _linger_again(self, until: float) -> None:
        self.linger_timer = InactivityTimer(LINGER_INTERVAL_S, self._linger, self.discarded_bytes, until)

    def _linger(self, discarded_bytes: int, until: float) -> None:
        """Aborts the connection, unless the peer still sends, or still reads what is left, within bounds.

        A reset could take our last line from a peer with much to send.
        """
        now = asyncio.get_running_loop().time()
        unsent = self.unsent_bytes()
        if unsent != self.last_unsent:
            self.last_unsent, self.read_at = unsent, now
        still_reads = unsent > 0 and now < min(self.read_at + MAX_STALLED_WRITE_S, self.finished_at + MAX_SLOW_WRITE_S)
        if still_reads:
            until = now + MAX_DISCARD_S
        if still_reads or (discarded_bytes < self.discarded_bytes < MAX_DISCARDED_BYTES and now < until):
            self._linger_again(until)
        else:
            self.abort()

    def unsent_bytes(self) -> int:
        """Returns what the peer has not taken yet: in the transport, and in the system's send buffer."""
        transport = self.open_transport
        if transport is None:
            return 0
        waiting = transport.get_write_buffer_size()
        sock: Any = transport.get_extra_info("socket")
        if sock is None:
            return waiting
        try:
            (queued,) = C_INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(C_INT.size)))
        except (OSError, ValueError):  # it is closed just now
            return waiting
        return waiting + int(queued)

    def abort(self) -> None:
        """Closes the connection at once; what is left to send is dropped."""
        self.closing = True
        self.other = None
        if transport := self.open_transport:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timers."""
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.linger_timer = None
