"""Base class of the two sides of a relayed connection: transport, flow control and graceful close."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from contextlib import suppress
from typing import Any, cast

from yarrowspindle.protocol.lines import LineSplitter, LineTooLongError
from yarrowspindle.transport.inactivity_timer import InactivityTimer
from yarrowspindle.transport.read_turns import READ_BYTES, ReadTurns

LINGER_INTERVAL_S = 0.5  # after closing our sending direction, for a peer that sends nothing to close as well
MAX_DISCARD_S = 5.0  # for a peer that still sends: it may read our last line only after sending everything
MAX_DISCARDED_BYTES = 256 << 20
MAX_STALLED_WRITE_S = 2.0  # for a peer that reads none of the unsent data
MAX_SLOW_WRITE_S = 60.0  # for a peer that reads the unsent data, however slowly
MAX_UNSENT_BYTES = 16 * 1024  # in the transport's buffer; beyond it nothing more is read from the other side
C_INT = struct.Struct("@i")


class LineConnection(asyncio.BufferedProtocol):
    """One side of a relayed connection. Times are in seconds of the event loop's clock.

    Args:
        read_turns: The read buffers, and the turns in which data is read after our sending direction was closed.
            A front shares one object among its connections; without it the connection has its own.

    Attributes:
        transport: The transport; None before the connection is made and after it is lost.
        other: The other side, while both sides relay.
        lines: Splits the peer's data into lines, and holds an incomplete line until its rest arrives.
        held_back: Whether the other side does not keep up, so that nothing is read.
        closing: Whether our sending direction is closed; received data is discarded then.
        discarded_bytes: The number of bytes discarded.
        linger_timer: Runs until the next check of the peer after our sending direction was closed.
        finished_at: The time at which our sending direction was closed.
        read_at: The time at which the peer was last seen to read.
        last_unsent: The number of unsent bytes at the last check.
    """

    def __init__(self, read_turns: ReadTurns | None = None) -> None:
        self.read_turns = read_turns or ReadTurns()
        self.transport: asyncio.Transport | None = None
        self.other: LineConnection | None = None
        self.lines = LineSplitter()
        self.closing = self.held_back = False
        self.discarded_bytes = 0
        self.linger_timer: InactivityTimer | None = None
        self.finished_at = self.read_at = 0.0
        self.last_unsent = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        sock: Any = transport.get_extra_info("socket")
        if sock is not None and sock.family != socket.AF_UNIX:
            with suppress(OSError):  # not essential: the connection works without it
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def open_transport(self) -> asyncio.Transport | None:
        """The transport, unless it is closing: uvloop raises on calls that asyncio's own transport ignores."""
        return self.transport if self.transport is not None and not self.transport.is_closing() else None

    @property
    def peer_address(self) -> str:
        """The peer's address as `host:port`; empty if there is no transport or it has no address."""
        address = self.transport.get_extra_info("peername") if self.transport is not None else None
        return "{}:{}".format(*address[:2]) if isinstance(address, tuple) else ""

    def write(self, data: bytes) -> None:
        """Send data, unless our sending direction is closed."""
        transport = self.open_transport
        if transport is not None and not self.closing:
            transport.write(data)

    def forward_lines(self, data: bytes) -> bytes:
        """Send the lines that this data of the peer completes to the other side, and return them, with their CRLFs.

        Only complete lines are forwarded. The relay can then send MOVE at any time, and whatever ends the connection,
        no peer takes part of a line for a whole one. After much data the connection is read again in the next iteration
        of the event loop, so that one peer that sends without end does not keep the others waiting.

        Raises:
            LineTooLongError: A line exceeds the limit; the lines before it were sent.
        """
        try:
            complete = self.lines.feed_block(data)
        except LineTooLongError as error:
            self._write_to_other_side(error.lines_before)
            raise
        self._write_to_other_side(complete)
        if len(data) >= READ_BYTES and (transport := self.open_transport) is not None:
            transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._read_again)
        return complete

    def _read_again(self) -> None:
        transport = self.open_transport
        if transport is not None and not self.held_back:
            transport.resume_reading()

    def _write_to_other_side(self, lines: bytes) -> None:
        if lines and self.other is not None:
            self.other.write(lines)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        del sizehint
        return self.read_turns.discard_buffer if self.closing else self.read_turns.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read into the buffer."""
        if self.closing:
            self.discard(nbytes)
        else:
            self.data_received(bytes(self.read_turns.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""

    def discard(self, nbytes: int) -> None:
        """Count bytes that were received after our sending direction was closed, and wait for the next turn to read."""
        self.discarded_bytes += nbytes
        self.read_turns.wait(self.open_transport)

    def pause_writing(self) -> None:
        """Stop reading from the other side, as the peer of this side does not keep up."""
        if self.other is not None and (transport := self.other.open_transport):
            self.other.held_back = True
            transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the other side."""
        if self.other is not None and (transport := self.other.open_transport):
            self.other.held_back = False
            transport.resume_reading()

    def finish(self, last: bytes = b"") -> None:
        """Send `last` and close the connection gracefully; data that is still received is discarded."""
        transport, closing = self.open_transport, self.closing
        self.closing, self.held_back = True, False
        self.other = None
        if transport is None or closing:
            return
        if last:
            transport.write(last)
        transport.resume_reading()
        # Closing at once would reset the connection if it holds unread data of the peer, and the reset could
        # destroy our last line before the peer reads it.
        if transport.can_write_eof():
            transport.write_eof()
        self.finished_at = self.read_at = asyncio.get_running_loop().time()
        self._linger_again(self.finished_at + MAX_DISCARD_S)

    def _linger_again(self, until: float) -> None:
        self.linger_timer = InactivityTimer(LINGER_INTERVAL_S, self._linger, self.discarded_bytes, until)

    def _linger(self, discarded_bytes: int, until: float) -> None:
        """Abort the connection, unless the peer still sends or still reads the unsent data, within bounds.

        A reset would destroy our last line for a peer that is still sending.

        Args:
            discarded_bytes: The value of `discarded_bytes` at the last check.
            until: The time until which received data is discarded.
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
        """Return the number of bytes in the transport's buffer and in the kernel's send buffer."""
        transport = self.open_transport
        if transport is None:
            return 0
        waiting = transport.get_write_buffer_size()
        sock: Any = transport.get_extra_info("socket")
        if sock is None:
            return waiting
        try:
            (queued,) = C_INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(C_INT.size)))
        except (OSError, ValueError):  # the socket is being closed
            return waiting
        return waiting + int(queued)

    def abort(self) -> None:
        """Close the connection at once and drop unsent data."""
        self.closing = True
        self.other = None
        if transport := self.open_transport:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the linger timer."""
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.linger_timer = None
