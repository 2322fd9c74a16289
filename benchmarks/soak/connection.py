"""A client connection on a plain non-blocking socket, whose timestamps do not depend on delays of this process.

On loopback, data is in the relay's socket buffer when the system call that sends it returns; the times of sending and
receiving come from the kernel.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from math import inf

from benchmarks.soak.kernel_timestamps import (
    CLOCK_TICK_S,
    close_age_s,
    enable_receive_timestamps,
    last_sent_age_s,
    read_byte_with_age,
)

READ_BYTES = 1 << 16
CLOSE_RACE_MS = 1  # time between a relay's last check of a socket for data and its close of it
RESET_EVENTS = select.POLLHUP | select.POLLERR
CLOSE_EVENTS = select.POLLRDHUP | RESET_EVENTS
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # struct linger {1, 0}: close() sends a reset


class Connection:
    """Client connection that reports each line with its arrival time, and finally b"" when the peer has closed.

    Attributes:
        now: returns the present time in seconds; all times are on this clock.
        connected_at: the time at which the connection was established, by the kernel.
        reported: set when a line or the close was reported.
    """

    def __init__(self, now: Callable[[], float], on_line: Callable[[bytes, float], None]) -> None:
        self.now, self.on_line = now, on_line
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # send without waiting for acknowledgements
        enable_receive_timestamps(self.sock)
        self.buffer = b""
        self.peer_closed = self.closed = False
        self.connected_at = 0.0
        self.reported = asyncio.Event()

    async def open(self, address: tuple[str, int], timeout_s: float) -> bool:
        """Connect, and return whether the connection was established within the time limit."""
        loop, called_at = asyncio.get_running_loop(), self.now()
        try:
            await asyncio.wait_for(loop.sock_connect(self.sock, address), timeout_s)
        except (OSError, TimeoutError):
            self.close()
            return False
        self.connected_at = max(called_at, self._kernel_time(last_sent_age_s))
        loop.add_reader(self.sock, self.read)
        return True

    def address(self) -> str:
        """Return the local address in the format of the relay's log; empty if the socket is closed."""
        try:
            return "{}:{}".format(*self.sock.getsockname())
        except OSError:
            return ""

    def send(self, data: bytes) -> float:
        """Send the data with one system call, and return the time at which it was sent.

        Raises:
            ConnectionError: the connection is closed or was reset.
        """
        if self.closed:
            raise ConnectionResetError
        called_at = self.now()
        self.sock.send(data)
        return max(called_at, self._kernel_time(last_sent_age_s))

    def peer_has_closed(self, race: bool = False) -> bool:
        """Return whether the peer's close has arrived, read or not; race: or arrives within CLOSE_RACE_MS."""
        return self.peer_closed or self.closed or bool(self._poll_close_events(CLOSE_RACE_MS if race else 0))

    def peer_closed_at(self) -> float:
        """Return the time at which the peer's close arrived; inf if it has not, or if this side has closed.

        Valid only if nothing was sent after the close. For a reset, whose time the kernel does not keep, the present
        time is returned.
        """
        if self.closed or not self.peer_has_closed():
            return inf
        return self.now() if self._poll_close_events(0) & RESET_EVENTS else self._kernel_time(close_age_s)

    def _poll_close_events(self, within_ms: int) -> int:
        """Return the events of CLOSE_EVENTS that poll(2) reports."""
        poll = select.poll()
        poll.register(self.sock, CLOSE_EVENTS)
        return sum(events for _, events in poll.poll(within_ms))

    def _kernel_time(self, age_s: Callable[[socket.socket], float]) -> float:
        """Return the present time minus an age that the kernel reports.

        The two clocks are read again if this process was suspended between the readings.
        """
        while True:
            now = self.now()
            at = now - age_s(self.sock)
            if self.now() < now + CLOCK_TICK_S:
                return at

    def read(self) -> None:
        """Read and report all data that has arrived."""
        while not self.peer_closed and not self.closed:
            try:
                data, age_s = read_byte_with_age(self.sock)
            except BlockingIOError:
                return
            except OSError:  # a reset
                data, age_s = b"", 0.0
            at = self.now() - age_s
            if data:
                with suppress(OSError):  # no more data, or a reset, which the next read reports
                    data += self.sock.recv(READ_BYTES)
            self._report(data, at)

    def _report(self, data: bytes, at: float) -> None:
        if not data:
            self.peer_closed = True
            asyncio.get_running_loop().remove_reader(self.sock)
            self.on_line(b"", at)
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.on_line(line + b"\n", at)
        self.reported.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait until a line or the close is reported, or until the time limit."""
        self.reported.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(self.reported.wait(), max(0.0, timeout_s))

    def half_close(self) -> None:
        """Close the sending side only."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        """Close the connection; reset: by a TCP reset in place of an orderly close."""
        if self.closed:
            return
        self.closed = True
        asyncio.get_running_loop().remove_reader(self.sock)
        if reset:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
