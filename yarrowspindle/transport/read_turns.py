"""Turns in which connections read data that is only discarded, so that senders at full speed cost a bounded effort.

Without a bound the event loop would spend all its time on such data: it arrives as fast as it is read.
"""

from __future__ import annotations

import asyncio
from collections import deque

TURN_INTERVAL_S = 0.01
READS_PER_TURN = 16  # of at most 256 kB each, the event loop's read buffer: 400 MB/s for all connections together


class ReadTurns:
    """A queue of connections that stop reading after each read, and read again when it is their turn.

    It must be created inside a running event loop.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[asyncio.Transport] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def wait(self, transport: asyncio.Transport | None) -> None:
        """Stop reading until this connection's next turn; nothing if it is closed or being closed."""
        if transport is None or transport.is_closing():
            return
        transport.pause_reading()
        self._waiting.append(transport)
        if self._timer is None:
            self._timer = self._loop.call_later(TURN_INTERVAL_S, self._next_turn)

    def _next_turn(self) -> None:
        self._timer = None
        for _ in range(min(READS_PER_TURN, len(self._waiting))):
            transport = self._waiting.popleft()
            if not transport.is_closing():
                transport.resume_reading()
        if self._waiting:
            self._timer = self._loop.call_later(TURN_INTERVAL_S, self._next_turn)
