"""What the rules of one balancer share: settings, clock, random source, backends, requests and pending actions."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from yarrowspindle.decisions.actions import Action
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.load_estimates import LoadEstimates, MeanConnectionLoad
from yarrowspindle.decisions.peer_loads import PeerLoadTable
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.decisions.timers import Timers
from yarrowspindle.decisions.weighted_ring import WeightedRing

# Multiples of the golden ratio's fraction spread evenly over a ring, whichever numbers are in use.
GOLDEN_RATIO_FRACTION = (5**0.5 - 1) / 2
# Fraction of a request's priority weight: where crossing zones costs more, the own zone is preferred.
MIN_CROSS_ZONE_PRICE_FOR_LOCAL_RING = 0.05


class BalancerState:
    """The mutable state of one balancer; `now` is in milliseconds and `random` draws in 0 to 1."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.now = settings, now
        self.random = Random(seed).random
        self.actions: list[Action] = []  # of the event that is handled now
        self.timers = Timers()
        self.backends: dict[int, Backend] = {}
        # Those with own connections or a slow message: of the many others nothing is known.
        self.observed_backends: dict[int, Backend] = {}
        self.requests: dict[int, Request] = {}
        self.queued: dict[int, Request] = {}  # requests that wait for a usable backend
        self.connections = 0  # own, over all backends
        self.connection_loads = MeanConnectionLoad()
        self.rebalancing_target = 0.0  # own load for each unit of capacity; 0: no rebalancing
        # Without reported message latency only own load tells which backend is slow.
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
        """Append an action to those that the current event returns."""
        self.actions.append(action)

    def set_timer(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Emit a timer that runs the callback after this delay."""
        self.emit(self.timers.schedule(delay_ms, callback))
