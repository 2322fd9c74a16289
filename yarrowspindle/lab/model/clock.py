"""Virtual time: one heap ordered by (time, sequence), so that what falls due together has one stated order."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    __slots__ = ("callback", "args")

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.args = args

    def cancel(self) -> None:
        self.callback, self.args = None, ()


class VirtualClock:
    """Milliseconds since the start of the run plus `start`. Nothing here waits."""

    def __init__(self, start: float = 1_700_000_000_000.0) -> None:
        self.time = self.start = start
        self.heap: list[tuple[float, int, Timer]] = []
        self.sequence = 0
        self.fired_timers = 0

    def now(self) -> float:
        return self.time

    def after(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(callback, args)
        self.sequence += 1
        heapq.heappush(self.heap, (self.time + max(delay_ms, 0.0), self.sequence, timer))
        return timer

    def run_until(self, end: float) -> None:
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
        return (self.time - self.start) / 1000.0
