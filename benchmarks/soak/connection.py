"""A client's connection on a plain socket: what it sends is in the relay's socket when the call returns, and what
arrives has the kernel's time, so that neither depends on how late this process is."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from math import inf

from benchmarks.soak.arrivals import CLOCK_TICK_S, end_age_s, last_sent_age_s, note_arrivals, read_first_byte

READ_BYTES = 1 << 16
INSTANT_MS = 1  # between a relay's last look at a socket and its end of it
RESETS = select.POLLHUP | select.POLLERR
ENDS = select.POLLRDHUP | RESETS
RESET_AT_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER with no time


class Connection:
    """Reports each line with the seconds of `now` at which it arrived, and at last b"" when the end was read.

    Attributes:
        connected_at: when it came up, by the kernel.
    """

    def __init__(self, now: Callable[[], float], on_line: Callable[[bytes, float], None]) -> None:
        self.now, self.on_line = now, on_line
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is sent leaves at once
        note_arrivals(self.sock)
        self.rest = b""
        self.ended = self.closed = False
        self.connected_at = 0.0
        self.changed = asyncio.Event()  # something was reported

    async def open(self, address: tuple[str, int], within_s: float) -> bool:
        """Connects; whether it came up."""
        loop, called_at = asyncio.get_running_loop(), self.now()
        try:
            await asyncio.wait_for(loop.sock_connect(self.sock, address), within_s)
        except (OSError, TimeoutError):
            self.close()
            return False
        self.connected_at = max(called_at, self._before_now(last_sent_age_s))
        loop.add_reader(self.sock, self.read)
        return True

    def address(self) -> str:
        """Our own, as the relay's log has it; empty where the connection is gone."""
        try:
            return "{}:{}".format(*self.sock.getsockname())
        except OSError:
            return ""

    def send(self, data: bytes) -> float:
        """By one call of the system; returns when it left. Raises ConnectionError where the connection is gone."""
        if self.closed:
            raise ConnectionResetError
        called_at = self.now()
        self.sock.send(data)
        return max(called_at, self._before_now(last_sent_age_s))

    def end_is_there(self, instant: bool = False) -> bool:
        """Whether the peer's end has arrived, read or not. instant: or arrives within INSTANT_MS."""
        return self.ended or self.closed or bool(self._ends(INSTANT_MS if instant else 0))

    def ended_at(self) -> float:
        """When the peer's end arrived, by the kernel, where nothing was sent since; inf: it has not, or we have closed.

        The kernel keeps no time of a reset, which counts as one of this moment.
        """
        if self.closed or not self.end_is_there():
            return inf
        return self.now() if self._ends(0) & RESETS else self._before_now(end_age_s)

    def _ends(self, within_ms: int) -> int:
        """The events of ENDS that poll(2) finds."""
        poll = select.poll()
        poll.register(self.sock, ENDS)
        return sum(events for _, events in poll.poll(within_ms))

    def _before_now(self, age_s: Callable[[socket.socket], float]) -> float:
        """The moment of which the kernel tells the age. A reading in which this process was held is repeated."""
        while True:
            now = self.now()
            at = now - age_s(self.sock)
            if self.now() < now + CLOCK_TICK_S:
                return at

    def read(self) -> None:
        """Reads all that has arrived."""
        while not self.ended and not self.closed:
            try:
                data, age_s = read_first_byte(self.sock)
            except BlockingIOError:
                return
            except OSError:  # a reset
                data, age_s = b"", 0.0
            at = self.now() - age_s
            if data:
                with suppress(OSError):  # nothing more, or a reset, which the next read finds
                    data += self.sock.recv(READ_BYTES)
            self._report(data, at)

    def _report(self, data: bytes, at: float) -> None:
        if not data:
            self.ended = True
            asyncio.get_running_loop().remove_reader(self.sock)
            self.on_line(b"", at)
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.on_line(line + b"\n", at)
        self.changed.set()

    async def wait(self, within_s: float) -> None:
        """Returns once something was reported, or after this time."""
        self.changed.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(self.changed.wait(), max(0.0, within_s))

    def end_sending(self) -> None:
        """Half-closes it."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        """Closes it; reset: the relay sees no end, but a reset."""
        if self.closed:
            return
        self.closed = True
        asyncio.get_running_loop().remove_reader(self.sock)
        if reset:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.sock.close()
