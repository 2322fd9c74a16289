"""How much connections read at once, and the turns in which they read data that is only discarded.

Without bounds a peer that sends at full speed would take the event loop's time, and memory for each of its connections.
"""

from __future__ import annotations

import asyncio
from collections import deque

TURN_INTERVAL_S = 0.01
READS_PER_TURN = 16  # of at most DISCARD_BYTES each: 400 MB/s for all connections together
READ_BYTES = 32 * 1024  # of data that is forwarded, and held where the other side does not keep up
DISCARD_BYTES = 256 * 1024


class ReadTurns:
    """The read buffers of all connections, and a queue of connections that read again when it is their turn.

    Attributes:
        discard_buffer: for data that is only discarded.
        read_buffer: for all other data, which is copied before another connection reads.
    """

    def __init__(self) -> None:
        self.discard_buffer = memoryview(bytearray(DISCARD_BYTES))
        self.read_buffer = self.discard_buffer[:READ_BYTES]
        self._waiting: deque[asyncio.Transport] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def wait(self, transport: asyncio.Transport | None) -> None:
        """Stop reading until this connection's next turn; nothing if it is closed or being closed."""
        if transport is None or transport.is_closing():
            return
        transport.pause_reading()
        self._waiting.append(transport)
        if self._timer is None:
            self._set_timer()

    def _set_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TURN_INTERVAL_S, self._next_turn)

    def _next_turn(self) -> None:
        self._timer = None
        for _ in range(min(READS_PER_TURN, len(self._waiting))):
            transport = self._waiting.popleft()
            if not transport.is_closing():
                transport.resume_reading()
        if self._waiting:
            self._set_timer()
