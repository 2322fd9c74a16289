"""Slow start: limits the requests to backends that are warming up, so that all balancers together stay in a budget.

A warming backend receives new connections at a rate that fills it by the end of its warm-up, according to the capacity
fraction that the settings guarantee. Each balancer contributes in proportion to its connections, or to those that
complete within one warm-up if that is more. The fleet thus stays within the budget regardless of the load of the other
balancers and of how many clients reconnect.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from itertools import accumulate
from math import exp, inf

from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.decisions.weighted_ring import WeightedRing

BUDGET_FRACTION = 0.75  # of the overload multiple; the rest is a margin for the randomness of all balancers' draws
FILL_HEADROOM = 2.0  # ratio of the rate that fills a backend to its share of new connections in steady state
REFRESHES_PER_WINDOW = 32.0  # updates of the list of warming backends per overload window
MAX_UNUSED_WINDOWS = 2.0  # overload windows whose unused budget may be saved
CANDIDATES = 2  # backends drawn; the less loaded one gets the request


class DecayingRate:
    """Moving average of an event rate, with exponential decay of time constant `time_constant_ms`."""

    def __init__(self, time_constant_ms: float, now: float) -> None:
        self.time_constant_ms = max(time_constant_ms, 1e-3)
        self.updated_at, self.decayed_count = now, 0.0

    def count(self, now: float) -> None:
        """Count one event."""
        self.decayed_count, self.updated_at = 1.0 + self.per_ms(now) * self.time_constant_ms, now

    def per_ms(self, now: float) -> float:
        """Return the rate in events per millisecond at time `now`."""
        decay = exp((self.updated_at - now) / self.time_constant_ms)
        return self.decayed_count * decay / self.time_constant_ms


class SlowStart:
    """One balancer's part of the slow-start budget. random: source of draws in 0 to 1."""

    def __init__(self, settings: Settings, random: Callable[[], float], now: float) -> None:
        self.random = random
        self.warming_up: dict[int, Backend] = {}  # backends that may be warming up
        self.eligible: list[Backend] = []  # those that this balancer may send to, at the last update
        self.cumulative_capacity: list[float] = []  # running sums of the present capacity of `eligible`
        self.refreshed_at, self.budget_used_at = -inf, now
        # Successful ends measure the long-term demand of clients: repeated reconnections do not raise it.
        self.completion_rate = DecayingRate(settings.warmup_ms, now)

    def on_backend_listed(self, backend: Backend) -> None:
        """Record a backend whose entry was added or changed, since its process may have just started."""
        self.warming_up[backend.id] = backend

    def remove_backend(self, backend: int) -> None:
        """Remove a backend that is neither ready nor in use."""
        self.warming_up.pop(backend, None)

    def draw_candidates(
        self, now: float, settings: Settings, ring: WeightedRing[Backend], local_only: bool, connections: int
    ) -> list[Backend]:
        """Return the warming backends that compete for the present request; empty if the budget is used up.

        Args:
            now: the present time in milliseconds.
            settings: the settings in use.
            ring: the backends over whose capacity the budget is shared out.
            local_only: consider warming backends of the balancer's own zone only.
            connections: the balancer's own connections at all backends.
        """
        if now >= self.refreshed_at + settings.overload_window_ms / REFRESHES_PER_WINDOW:
            self._refresh(now, settings, local_only)
        elapsed_ms, self.budget_used_at = now - self.budget_used_at, now
        if not self.eligible:
            return []
        warming_capacity = self.cumulative_capacity[-1]
        budget_multiple = BUDGET_FRACTION * FILL_HEADROOM * settings.overload_multiple
        budget_fraction = budget_multiple * warming_capacity / ring.nominal_capacity
        own_rate = max(connections / settings.warmup_ms, self.completion_rate.per_ms(now))  # per millisecond
        elapsed_ms = min(elapsed_ms, MAX_UNUSED_WINDOWS * settings.overload_window_ms)
        if gate.slow_start_rejection(budget_fraction * own_rate * elapsed_ms, self.random()):
            return []
        return [self._draw(warming_capacity) for _ in range(CANDIDATES)]

    def _draw(self, warming_capacity: float) -> Backend:
        return self.eligible[bisect(self.cumulative_capacity, self.random() * warming_capacity)]

    def connections_are_short_lived(self, now: float, settings: Settings, connections: int) -> bool:
        """Return whether connections last less than a warm-up on average.

        If so, the own connections of a backend show its share of the traffic, so that the share can be enforced too.
        """
        return self.completion_rate.per_ms(now) > connections / settings.warmup_ms

    def _refresh(self, now: float, settings: Settings, local_only: bool) -> None:
        self.refreshed_at = now
        self.warming_up = {
            number: backend
            for number, backend in self.warming_up.items()
            if backend.ready and backend.capacity_fraction(now, settings) < 1.0
        }
        self.eligible = [b for b in self.warming_up.values() if not local_only or b.zone == settings.zone]
        capacities = (b.capacity * b.capacity_fraction(now, settings) for b in self.eligible)
        self.cumulative_capacity = list(accumulate(capacities))
