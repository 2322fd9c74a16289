"""A client's connection on a plain socket: what it sends is in the relay's socket when the call returns, and what
arrives has the kernel's time, so that neither depends on how late this process is."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from contextlib import suppress

from benchmarks.soak.arrivals import note_arrivals, read_first_byte

READ_BYTES = 1 << 16
INSTANT_MS = 1  # between a relay's last look at a socket and its end of it
ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESET_AT_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER with no time


class Connection:
    """Reports each line with the seconds of `now` at which it arrived, and at last b"" when the end was read."""

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
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(loop.sock_connect(self.sock, address), within_s)
        except (OSError, TimeoutError):
            self.close()
            return False
        self.connected_at = self.now()
        loop.add_reader(self.sock, self.read)
        return True

    def address(self) -> str:
        """Our own, as the relay's log has it; empty where the connection is gone."""
        try:
            return "{}:{}".format(*self.sock.getsockname())
        except OSError:
            return ""

    def send(self, data: bytes) -> None:
        """By one call of the system. Raises ConnectionError where the connection is gone."""
        if self.closed:
            raise ConnectionResetError
        self.sock.send(data)

    def end_is_there(self, instant: bool = False) -> bool:
        """Whether the peer's end has arrived, read or not. instant: or arrives within INSTANT_MS."""
        if self.ended or self.closed:
            return True
        poll = select.poll()
        poll.register(self.sock, ENDS)
        return bool(poll.poll(INSTANT_MS if instant else 0))

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
