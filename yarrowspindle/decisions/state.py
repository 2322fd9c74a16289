"""The state that the rules of one balancer share: settings, clock, random source, backends, requests and actions."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random

from yarrowspindle.decisions.actions import Action
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.list_freshness import ListFreshness
from yarrowspindle.decisions.load_estimates import LoadEstimates, MeanConnectionLoad
from yarrowspindle.decisions.peer_loads import PeerLoadTable
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.decisions.timers import Timers
from yarrowspindle.decisions.weighted_ring import WeightedRing

# Multiples of this fraction, modulo 1, are spread evenly over a ring for any set of balancer numbers.
GOLDEN_RATIO_FRACTION = (5**0.5 - 1) / 2
# Price of crossing zones, as a fraction of a request's priority weight, above which the own zone is preferred.
MIN_CROSS_ZONE_PRICE_FOR_LOCAL_RING = 0.05


class BalancerState:
    """The mutable state of one balancer. now: clock in milliseconds; random: source of draws in 0 to 1."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.now = settings, now
        self.random = Random(seed).random
        self.actions: list[Action] = []  # caused by the current event
        self.timers = Timers()
        self.list_freshness = ListFreshness()
        self.ends_at = inf  # when the process ends
        self.backends: dict[int, Backend] = {}
        # Backends with own connections, failures or slow messages; nothing was observed of the others.
        self.observed_backends: dict[int, Backend] = {}
        self.requests: dict[int, Request] = {}
        self.queued: dict[int, Request] = {}  # requests waiting for a usable backend or for the backoff of a retry
        self.connections = 0  # own, over all backends
        self.connection_loads = MeanConnectionLoad()
        self.rebalancing_target = 0.0  # own load per unit of capacity; 0: no rebalancing
        # Without reported message latency only own load shows which backend is slow.
        self.uses_own_load_only = settings.uses_own_load or not settings.backend_reports_latency
        self.subset_start = settings.number * GOLDEN_RATIO_FRACTION % 1.0
        self.fleet_ring = WeightedRing[Backend](1.0 if self.uses_own_load_only else settings.balancers)
        self.local_ring = self.fleet_ring
        if settings.cross_zone_price > MIN_CROSS_ZONE_PRICE_FOR_LOCAL_RING:
            self.local_ring = WeightedRing(settings.balancers / settings.zones)
        self.peer_loads = PeerLoadTable(settings.balancers)
        self.estimates: LoadEstimates | None = None
        if settings.may_probe and settings.load_report_fields:
            self.estimates = LoadEstimates(settings, self.peer_loads)

    def emit(self, action: Action) -> None:
        """Append an action to those that the handling of the current event returns."""
        self.actions.append(action)

    def set_timer(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Set a timer that calls `callback` after `delay_ms`."""
        self.emit(self.timers.schedule(delay_ms, callback))
