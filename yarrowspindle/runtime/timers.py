"""The clock and the timers of the reducer; timers fire in a fixed order however late the event loop is."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Protocol

# Cancelled timers stay in the heap; it is rebuilt once it exceeds both this size and this many entries per set timer.
MIN_HEAP_ENTRIES, MAX_ENTRIES_PER_TIMER = 64, 4


class Clock(Protocol):
    """A source of time that never goes backwards."""

    def now(self) -> float:
        """Return the time as Unix milliseconds."""


class SystemClock:
    """The wall clock at the creation of this object, advanced by the monotonic clock."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time as Unix milliseconds, unaffected by steps of the wall clock."""
        return (time.monotonic() + self.offset) * 1000.0

    def wall_step_ms(self) -> float:
        """Return by how many ms the wall clock was stepped since this object was created; negative if set back."""
        return (time.time() - time.monotonic() - self.offset) * 1000.0


class Timers:
    """Named timers, ordered by (deadline, order of setting); `on_due` is called with the name of each that fires.

    One event loop timer is set for the earliest deadline. `run_due` may be called at any time: after a stall it fires
    all due timers in order, before data from the sockets, which the event loop would otherwise handle first.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.on_due: Callable[[object], None] = lambda name: None
        self.heap: list[tuple[float, int, object]] = []
        self.current: dict[object, tuple[float, int]] = {}  # by name; other heap entries are cancelled
        self.sequence = 0
        self.handle: asyncio.TimerHandle | None = None
        self.handle_at = 0.0
        self.running = False

    def set(self, delay_ms: float, name: object) -> None:
        """Set a timer, replacing an earlier one of the same name."""
        self.sequence = sequence = self.sequence + 1
        deadline = self.clock.now() + (delay_ms if delay_ms > 0.0 else 0.0)
        self.current[name] = (deadline, sequence)
        heapq.heappush(self.heap, (deadline, sequence, name))
        if not self.running and (self.handle is None or deadline < self.handle_at):
            self._arm()

    def cancel(self, name: object) -> None:
        """Cancel the timer of this name, if it is set."""
        self.current.pop(name, None)
        if len(self.heap) > max(MIN_HEAP_ENTRIES, MAX_ENTRIES_PER_TIMER * len(self.current)):
            self.heap = [entry for entry in self.heap if self.current.get(entry[2]) == entry[:2]]
            heapq.heapify(self.heap)

    def run_due(self) -> None:
        """Fire all timers whose deadline has passed, in order."""
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
        """Cancel all timers."""
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
    """Timers that never fire, for a replay: the recorded sequence contains the timer events."""

    def set(self, delay_ms: float, name: object) -> None:
        """Do nothing."""

    def cancel(self, name: object) -> None:
        """Do nothing."""
