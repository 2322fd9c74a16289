"""Virtual clock: a heap of timers ordered by (time, sequence).

Timers that are due at the same time fire in the order in which they were set.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    """A callback with its arguments, to be called once unless it is cancelled before."""

    __slots__ = ("callback", "args")

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.args = args

    def cancel(self) -> None:
        self.callback, self.args = None, ()


class VirtualClock:
    """A clock in milliseconds that starts at `start` and jumps from timer to timer, without waiting."""

    def __init__(self, start: float = 1_700_000_000_000.0) -> None:
        self.time = self.start = start
        self.heap: list[tuple[float, int, Timer]] = []
        self.sequence = 0
        self.fired_timers = 0

    def now(self) -> float:
        return self.time

    def after(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Set a timer; a negative delay counts as 0."""
        timer = Timer(callback, args)
        self.sequence += 1
        heapq.heappush(self.heap, (self.time + max(delay_ms, 0.0), self.sequence, timer))
        return timer

    def run_until(self, end: float) -> None:
        """Fire all timers that are due up to this time, in order, and set the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= end:
            due, _, timer = heapq.heappop(heap)
            if timer.callback is not None:
                self.time = due
                self.fired_timers += 1
                timer.callback(*timer.args)
        self.time = max(self.time, end)

    @property
    def seconds(self) -> float:
        """Seconds since the start of the run."""
        return (self.time - self.start) / 1000.0
