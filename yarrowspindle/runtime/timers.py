"""Time for the core: the clock, and timers that fall due in one stated order however late the loop is."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Protocol

# The heap keeps timers that were cancelled; it is made anew where it holds so many entries for each that is set.
MIN_HEAP_ENTRIES, MAX_ENTRIES_PER_TIMER = 64, 4


class Clock(Protocol):
    """A source of time that never goes back."""

    def now(self) -> float:
        """Returns Unix milliseconds."""


class SystemClock:
    """The wall clock as it was at the start of this clock, carried on by the monotonic one."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Returns Unix milliseconds that no step of the wall clock changes."""
        return (time.monotonic() + self.offset) * 1000.0

    def wall_step_ms(self) -> float:
        """By how much the wall clock was set forward (or back, below 0) since the start of this clock."""
        return (time.time() - time.monotonic() - self.offset) * 1000.0


class Timers:
    """Timers by name, ordered by (deadline, order of setting); `on_due` is called with the name of each that fires.

    The event loop wakes it once for the earliest. `run_due` may be called at any time: after a stall all that has
    fallen due runs before anything else, in its order, though the loop would run what came in over sockets first.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.on_due: Callable[[object], None] = lambda name: None
        self.heap: list[tuple[float, int, object]] = []
        self.current: dict[object, tuple[float, int]] = {}  # what each name stands for now; else it was taken back
        self.sequence = 0
        self.handle: asyncio.TimerHandle | None = None
        self.handle_at = 0.0
        self.running = False

    def set(self, delay_ms: float, name: object) -> None:
        """Sets a timer, in place of an earlier one of this name."""
        self.sequence = sequence = self.sequence + 1
        deadline = self.clock.now() + (delay_ms if delay_ms > 0.0 else 0.0)
        self.current[name] = (deadline, sequence)
        heapq.heappush(self.heap, (deadline, sequence, name))
        if not self.running and (self.handle is None or deadline < self.handle_at):
            self._arm()

    def cancel(self, name: object) -> None:
        """Cancels the timer of this name, where there is one."""
        self.current.pop(name, None)
        if len(self.heap) > max(MIN_HEAP_ENTRIES, MAX_ENTRIES_PER_TIMER * len(self.current)):
            self.heap = [entry for entry in self.heap if self.current.get(entry[2]) == entry[:2]]
            heapq.heapify(self.heap)

    def run_due(self) -> None:
        """Fires all timers whose time has come, in their order."""
        if self.running:
            return
        self.running = True
        try:
            while self.heap and self.heap[0][0] <= self.clock.now():
                deadline, sequence, name = heapq.heappop(self.heap)
                if self.current.get(name) == (deadline, sequence):
                    del self.current[name]
                    self.on_due(name)
        finally:
            self.running = False
            self._arm()

    def clear(self) -> None:
        """Cancels all timers."""
        self.heap.clear()
        self.current.clear()
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def _arm(self) -> None:
        while self.heap and self.current.get(self.heap[0][2]) != self.heap[0][:2]:
            heapq.heappop(self.heap)
        if not self.heap:
            return
        deadline = self.heap[0][0]
        if self.handle is not None:
            if self.handle_at <= deadline:
                return
            self.handle.cancel()
        self.handle_at = deadline
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(max(deadline - self.clock.now(), 0.0) / 1000.0, self._fire)

    def _fire(self) -> None:
        self.handle = None
        self.run_due()


class NoTimers(Timers):
    """For a replay: what fell due stands in the sequence."""

    def set(self, delay_ms: float, name: object) -> None:
        """Does nothing."""

    def cancel(self, name: object) -> None:
        """Does nothing."""
