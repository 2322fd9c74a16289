"""Silence of a peer, told from bytes that this process has not read yet.

A process that was held up (stopped, starved of processor time) finds its timers due before it has read its sockets: the
event loop runs timers before it polls. What a peer sent in the meantime lies in the kernel then, and the peer was not
silent. So a time limit on silence counts only once the loop has read all sockets after the time was over.
"""

from __future__ import annotations

import asyncio
import select
import socket
import time
from collections.abc import Callable

# The first turn may run before the loop polls again; the second runs after what that poll found was handled.
ITERATIONS_PER_POLL = 2
MAX_POLLS = 8  # at a socket before it is ended
MAX_POLL_S = 0.0001  # of a process that was not held meanwhile
STALL_EXTENSION_S = 0.05  # a timer that is so late: the loop stood still, and exchanges under way with it


async def wait_for_socket_reads() -> None:
    """Returns once the event loop has read, at least once, what lay in each of its sockets at the call."""
    for _ in range(ITERATIONS_PER_POLL):
        await asyncio.sleep(0.0)


async def sleep_then_wait_for_reads(delay_s: float) -> None:
    """Sleeps, and returns once the sockets have been read since, however late the loop is."""
    await asyncio.sleep(delay_s)
    await wait_for_socket_reads()


def half_close_unless_readable(transport: asyncio.BaseTransport | None) -> bool:
    """Ends our sending at once, unless the kernel holds what was not read of the peer; returns whether it is silent.

    The event loop itself ends it in its next turn only, and what the peer sends until then would be lost unread.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return True
    try:
        duplicate = socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
    except (OSError, ValueError):  # it is closed just now
        return True
    try:
        if _is_readable(duplicate):
            return False
        duplicate.shutdown(socket.SHUT_WR)
    except OSError:  # it is closed just now
        pass
    finally:
        duplicate.detach()
    return True


def _is_readable(sock: socket.socket) -> bool:
    """Returns whether bytes, or an end, lie in the socket at this moment: what arrives before our end is never read.

    A process is held most easily as a call of the system returns; a look that took so long is repeated.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    for _ in range(MAX_POLLS):
        began = time.monotonic()
        if poll.poll(0):
            return True
        if time.monotonic() < began + MAX_POLL_S:
            break
    return False


class InactivityTimer:
    """Calls `callback(*args)` once `delay_s` seconds have passed and the sockets were read since, unless cancelled.

    Whoever receives what the timer waits for cancels it; so a callback means that it had not arrived in time. Where the
    loop stood still at that moment the peer gets STALL_EXTENSION_S more: an exchange of several steps stood still too.
    """

    __slots__ = ("_callback", "_args", "_due", "_handle")

    def __init__(self, delay_s: float, callback: Callable[..., None], *args: object) -> None:
        self._callback = callback
        self._args = args
        loop = asyncio.get_running_loop()
        self._due = loop.time() + delay_s
        self._handle: asyncio.Handle | None = loop.call_later(delay_s, self._expired)

    def _expired(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() > self._due + STALL_EXTENSION_S:
            self._handle = loop.call_later(STALL_EXTENSION_S, self._next_iteration, ITERATIONS_PER_POLL)
        else:
            self._next_iteration(ITERATIONS_PER_POLL)

    def _next_iteration(self, remaining: int) -> None:
        if remaining:
            self._handle = asyncio.get_running_loop().call_soon(self._next_iteration, remaining - 1)
        else:
            self._handle = None
            self._callback(*self._args)

    def cancel(self) -> None:
        """Prevents the callback; without effect after it."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
