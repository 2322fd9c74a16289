"""Counts events over a sliding time window in bounded memory."""

from __future__ import annotations

from collections import deque

SLOT_MS = 1000.0
MAX_LAG_MS = 3000.0  # maximum `lag_ms` of a sum
RETENTION_MARGIN_MS = 2000.0  # how long slots are kept beyond span and lag, so that no slot in use is dropped


class SlidingWindow:
    """Counter of events in slots of one second.

    Args:
        span_ms: Length of the window in milliseconds.
    """

    __slots__ = ("slots", "span_ms")

    def __init__(self, span_ms: float) -> None:
        self.slots: deque[list[float]] = deque()  # [start, count] of each slot, oldest first
        self.span_ms = span_ms

    def add(self, now: float, count: float = 1.0) -> None:
        """Add to the count of the current slot."""
        if self.slots and now < self.slots[-1][0] + SLOT_MS:
            self.slots[-1][1] += count
        else:
            self.slots.append([now, count])
        while self.slots[0][0] < now - self.span_ms - MAX_LAG_MS - RETENTION_MARGIN_MS:
            self.slots.popleft()

    def sum(self, now: float, lag_ms: float = 0.0) -> float:
        """Return the count of the window that ended `lag_ms` ago."""
        first = now - self.span_ms - lag_ms
        last = now - lag_ms
        return sum(count for at, count in self.slots if first <= at <= last)

    def clear(self) -> None:
        """Remove all counts."""
        self.slots.clear()
