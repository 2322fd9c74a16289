"""How fast servers that have just started are fed (slow start), so that all relays together stay within the budget.

A cold server takes new connections no faster than fills it over its warm-up, by the ramp that the settings guarantee.
Each relay adds its part: of what it holds itself, or ends well in such a time, what falls to these servers; so the
fleet keeps the budget however busy the other relays are, and whoever comes again and again.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from itertools import accumulate
from math import inf

from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.backends import Backend, Rate
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.decisions.weighted_ring import WeightedRing

BUDGET_FRACTION = 0.75  # of the fall multiple, used of a cold server's budget; the rest is for chance
HEADROOM = 2.0  # what fills a server, over its share of what stands as a rule
LOOKS = 32.0  # in the time in which a fall is judged: how often cold servers are looked up
CANDIDATES = 2


class SlowStart:
    """One relay's part of the budget of all cold servers that it feeds. random: draws in 0 to 1."""

    def __init__(self, settings: Settings, random: Callable[[], float], now: float) -> None:
        self.random = random
        self.young: dict[int, Backend] = {}  # servers that may be cold
        self.cold: list[Backend] = []  # those that we feed, as last looked up, and sums of what they can do
        self.cold_ends: list[float] = []
        self.looked_at, self.fed_at = -inf, now
        # Own connections that ended well: in the long run as many as are wanted, whoever comes again.
        self.ended = Rate(settings.warmup_ms, now)

    def seen(self, backend: Backend) -> None:
        """It was listed, or turned up on the books: it may have started a moment ago."""
        self.young[backend.id] = backend

    def forget(self, backend: int) -> None:
        self.young.pop(backend, None)

    def candidates(
        self, now: float, settings: Settings, fed: WeightedRing[Backend], home_only: bool, standing: int
    ) -> list[Backend]:
        """Cold servers of which one is to get this request; empty: the budget says no. fed: the ring whose cold servers
        we feed, of the own zone alone where `home_only`. standing: own connections."""
        if now >= self.looked_at + settings.overload_window_ms / LOOKS:
            self._look_up(now, settings, home_only)
        since, self.fed_at = now - self.fed_at, now
        if not self.cold:
            return []
        part = BUDGET_FRACTION * HEADROOM * settings.overload_multiple * self.cold_ends[-1] / fed.usual
        stands = max(standing / settings.warmup_ms, self.ended.get(now))
        if gate.may_feed(part * stands * min(since, 2.0 * settings.overload_window_ms), self.random()):
            return []
        return [self.cold[bisect(self.cold_ends, self.random() * self.cold_ends[-1])] for _ in range(CANDIDATES)]

    def turns_over(self, now: float, settings: Settings, standing: int) -> bool:
        """Whether connections live for less than a warm-up: then what a server holds tells what it gets."""
        return self.ended.get(now) > standing / settings.warmup_ms

    def _look_up(self, now: float, settings: Settings, home_only: bool) -> None:
        self.looked_at = now
        self.young = {i: s for i, s in self.young.items() if s.ready and s.ramp(now, settings) < 1.0}
        self.cold = [s for s in self.young.values() if not home_only or s.zone == settings.zone]
        self.cold_ends = list(accumulate(s.capacity * s.ramp(now, settings) for s in self.cold))
