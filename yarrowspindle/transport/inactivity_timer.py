"""Inactivity time-outs that do not mistake unread data for an inactive peer.

A process that was stopped or starved of processor time finds its timers due before it has read its sockets, because the
event loop runs due timers before it polls. Data that the peer sent in the meantime is then still in the kernel, and the
peer was not inactive. A time-out therefore takes effect only after the loop has read all sockets once more.
"""

from __future__ import annotations

import asyncio
import select
import socket
import time
from collections.abc import Callable

# The first iteration may run before the loop polls again; the second runs after that poll's events were handled.
ITERATIONS_PER_POLL = 2
MAX_POLLS = 8  # of a socket before its sending direction is closed
MAX_POLL_S = 0.0001  # a poll that took longer was interrupted by a stall of the process
STALL_EXTENSION_S = 0.05  # a timer that fires later than this shows a stall of the loop


async def wait_for_socket_reads() -> None:
    """Wait until the event loop has read at least once the data that each of its sockets held at the call."""
    for _ in range(ITERATIONS_PER_POLL):
        await asyncio.sleep(0.0)


async def sleep_then_wait_for_reads(delay_s: float) -> None:
    """Sleep, then wait until the sockets have been read since, however late the event loop is."""
    await asyncio.sleep(delay_s)
    await wait_for_socket_reads()


def half_close_unless_readable(transport: asyncio.BaseTransport | None) -> bool:
    """Close the sending direction of a connection at once, unless data or the end of stream of the peer is unread.

    Return False, with nothing closed, if the kernel holds such unread input. Return True if the sending direction was
    closed, or if there was nothing to close: no transport, no socket, or a socket that is being closed already.
    After True the relay closes the connection and discards all that still arrives. The transport's own `write_eof`
    would act only in the next iteration of the event loop, and data that arrived after the check would be lost, too.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return True
    try:
        duplicate = socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
    except (OSError, ValueError):  # the socket is being closed
        return True
    try:
        if _is_readable(duplicate):
            return False
        duplicate.shutdown(socket.SHUT_WR)
    except OSError:  # the socket is being closed
        pass
    finally:
        duplicate.detach()
    return True


def _is_readable(sock: socket.socket) -> bool:
    """Return whether the socket holds unread data or the peer's end of stream.

    Data that arrives after this poll and before the sending direction is closed would never be read. A process is most
    likely to be suspended as a system call returns, so a poll that took longer than MAX_POLL_S is repeated.
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
    """A timer that calls `callback(*args)` once `delay_s` seconds have passed and the sockets have been read since.

    The receiver of the expected data cancels the timer, so the callback means that the data had not arrived in time. If
    the event loop was stalled when the time-out fell due, the peer gets STALL_EXTENSION_S more, once: an exchange of
    several messages was stalled as well.
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
        """Prevent the callback. No effect after it."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
