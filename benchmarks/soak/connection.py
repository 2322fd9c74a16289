"""A client's connection on a plain socket: what it sends is in the relay's socket when the call returns, and what
arrives has the kernel's time, so that neither depends on how late this process is."""

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
CLOSE_RACE_MS = 1  # between a relay's last look at a socket and its end of it
RESET_EVENTS = select.POLLHUP | select.POLLERR
CLOSE_EVENTS = select.POLLRDHUP | RESET_EVENTS
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER with no time


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
        enable_receive_timestamps(self.sock)
        self.buffer = b""
        self.peer_closed = self.closed = False
        self.connected_at = 0.0
        self.reported = asyncio.Event()  # something was reported

    async def open(self, address: tuple[str, int], timeout_s: float) -> bool:
        """Connects; whether it came up."""
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
        return max(called_at, self._kernel_time(last_sent_age_s))

    def peer_has_closed(self, race: bool = False) -> bool:
        """Whether the peer's end has arrived, read or not. instant: or arrives within INSTANT_MS."""
        return self.peer_closed or self.closed or bool(self._poll_close_events(CLOSE_RACE_MS if race else 0))

    def peer_closed_at(self) -> float:
        """When the peer's end arrived, by the kernel, where nothing was sent since; inf: it has not, or we have closed.

        The kernel keeps no time of a reset, which counts as one of this moment.
        """
        if self.closed or not self.peer_has_closed():
            return inf
        return self.now() if self._poll_close_events(0) & RESET_EVENTS else self._kernel_time(close_age_s)

    def _poll_close_events(self, within_ms: int) -> int:
        """The events of ENDS that poll(2) finds."""
        poll = select.poll()
        poll.register(self.sock, CLOSE_EVENTS)
        return sum(events for _, events in poll.poll(within_ms))

    def _kernel_time(self, age_s: Callable[[socket.socket], float]) -> float:
        """The moment of which the kernel tells the age. A reading in which this process was held is repeated."""
        while True:
            now = self.now()
            at = now - age_s(self.sock)
            if self.now() < now + CLOCK_TICK_S:
                return at

    def read(self) -> None:
        """Reads all that has arrived."""
        while not self.peer_closed and not self.closed:
            try:
                data, age_s = read_byte_with_age(self.sock)
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
            self.peer_closed = True
            asyncio.get_running_loop().remove_reader(self.sock)
            self.on_line(b"", at)
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.on_line(line + b"\n", at)
        self.reported.set()

    async def wait(self, timeout_s: float) -> None:
        """Returns once something was reported, or after this time."""
        self.reported.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(self.reported.wait(), max(0.0, timeout_s))

    def half_close(self) -> None:
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
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
