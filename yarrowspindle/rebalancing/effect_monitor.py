"""The watch on results: did moved submitters come back, did the imbalance fall, did the targets hold up?

Relays share nothing, and a moved submitter usually comes back to another relay. What a relay can see is how many
come back to it (`again=1`) while it moves its own away. Where all relays rebalance alike the two are equal in the
mean; a relay alone sees its share of the front. So this is only ever a reason to slow down or to stop for a while.
"""

from __future__ import annotations

from collections import deque

from yarrowspindle.rebalancing.settings import RebalanceSettings

WINDOW_MS = 15_000.0
LAG_MS = 3000.0  # a moved submitter may take 1.4 s, and its new set-up some more
LEAST_MOVES = 12  # fewer tell nothing
EFFECT_MS = 60_000.0
STORM_MS = 5000.0
STORM_FRACTION, MIN_STORM = 0.1, 10  # of the standing ones broken off within that time
REFUSED_FRACTION, MIN_REFUSED = 0.1, 5  # of the arrivals turned away within that time
MAX_FAILURES = 4096  # nodes with failures that are kept count of
IN_VAIN, MAX_IN_VAIN = ("lost", "no-effect"), 5  # causes that slow the pace down until there is proof; doublings
SPOILT, SPOILT_MS = 3, 30_000.0  # failures of returning submitters at one node, and how long it is left alone then


class Window:
    """Counts of late, in slots of a second: bounded, whatever comes."""

    __slots__ = ("slots", "span")

    def __init__(self, span_ms: float) -> None:
        self.slots: deque[list[float]] = deque()
        self.span = span_ms

    def add(self, now: float, count: float = 1.0) -> None:
        if self.slots and now < self.slots[-1][0] + 1000.0:
            self.slots[-1][1] += count
        else:
            self.slots.append([now, count])
        while self.slots[0][0] < now - self.span - LAG_MS - 2000.0:
            self.slots.popleft()

    def sum(self, now: float, lag_ms: float = 0.0) -> float:
        return sum(n for at, n in self.slots if now - self.span - lag_ms <= at <= now - lag_ms)


class EffectMonitor:
    def __init__(self) -> None:
        self.moved, self.back = Window(WINDOW_MS), Window(WINDOW_MS + LAG_MS)
        self.broken, self.refused, self.arrived = Window(STORM_MS), Window(STORM_MS), Window(STORM_MS)
        self.failures: dict[str, int] = {}
        self.paused, self.until = "", -1.0
        self.in_vain = 0  # pauses on end for want of results; each is twice as long as the one before
        self.effect_at, self.effect_from, self.effect_moves, self.effect_backends = -1.0, 0.0, 0.0, 0

    def came_back(self, now: float, backend: str) -> None:
        """A returning submitter is up at this node, which makes up for failures there."""
        self.back.add(now)
        self.failures.pop(backend, None)

    def failed(self, backend: str) -> bool:
        """A returning submitter was turned away there; true where the node is to be left alone for a while."""
        if len(self.failures) >= MAX_FAILURES:  # nodes that came and went: their failures say nothing any more
            self.failures.clear()
        self.failures[backend] = self.failures.get(backend, 0) + 1
        if self.failures[backend] < SPOILT:
            return False
        del self.failures[backend]
        return True

    def judge(
        self, now: float, standing: int, backends: int, excess: float, mean: float, settings: RebalanceSettings
    ) -> str:
        """Why the plan must pause from now on; empty where it may go on.

        Leaves a pause only when its time is over and, for a storm or refusals, when they have ended as well.
        """
        arrived, refused = self.arrived.sum(now), self.refused.sum(now)
        if self.broken.sum(now) >= max(MIN_STORM, STORM_FRACTION * standing):
            return "storm"
        if refused >= max(MIN_REFUSED, REFUSED_FRACTION * arrived):
            return "refusals"
        if now < self.until:
            return "pausing"
        moved, back = self.moved.sum(now, LAG_MS), self.back.sum(now)
        if moved >= LEAST_MOVES and back < settings.return_least * moved:
            return "lost"
        return self._no_effect(now, backends, excess, mean)

    def proof(self, now: float, settings: RebalanceSettings) -> bool | None:
        """Whether as many come back as is usual; None while too few were moved to tell."""
        moved, back = self.moved.sum(now, LAG_MS), self.back.sum(now)
        return None if moved < LEAST_MOVES / 2 else back >= 1.5 * settings.return_least * moved

    def missing(self, now: float) -> float:
        """Moved of late, less those that came back here: about nothing where all relays rebalance alike."""
        return max(0.0, self.moved.sum(now, LAG_MS) - self.back.sum(now))

    def _no_effect(self, now: float, backends: int, excess: float, mean: float) -> str:
        """A minute of moves must have taken a tenth of their load off the excess, or they are of no use.

        Counted from the first move on, and anew whenever other nodes take part."""
        if not self.effect_moves or backends != self.effect_backends:
            self.effect_at, self.effect_from, self.effect_moves, self.effect_backends = now, excess, 0.0, backends
        elif now >= self.effect_at + EFFECT_MS:
            idle = self.effect_moves >= LEAST_MOVES and self.effect_from - excess < 0.1 * self.effect_moves * mean
            self.effect_moves = 0.0
            if idle:
                return "no-effect"
        return ""

    def pause(self, now: float, why: str, settings: RebalanceSettings) -> bool:
        """Begins a pause, lengthens it, or lets it go on ("pausing"); true where its cause is a new one."""
        if why == "pausing":
            return False
        new = why != self.paused
        if new and why in IN_VAIN:
            self.in_vain = min(self.in_vain + 1, MAX_IN_VAIN)
        longer = 2.0 ** (self.in_vain - 1) if why in IN_VAIN else 1.0
        self.until = max(self.until, now + settings.pause_s * longer * 1000.0)
        if new:
            self.moved.slots.clear()
            self.effect_moves = 0.0
        self.paused = why
        return new

    def resume(self) -> str:
        was, self.paused = self.paused, ""
        return was
