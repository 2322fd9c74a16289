"""Placement by cost, used if backends report their load to health checks.

The cost of a connection at a backend is the priority weight that it and the backend's other connections lose through
late messages, plus the configured price of crossing zones. Costs are in units of priority weight. Utilization is
estimated by `load_estimates`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from random import Random
from typing import NamedTuple

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.load_estimates import UNRESPONSIVE_UTILIZATION, LoadEstimates
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.decisions.weighted_ring import WeightedRing

MAX_ROUNDS = 3  # of draws; another round follows if every backend drawn costs more than the request's priority weight
DRAWS_PER_RING = 2  # backends drawn from each ring in a round
MIN_MIGRATION_GAIN = 0.05  # fraction of the mean priority weight
ESTIMATED_GAIN_FRACTION = 0.33  # fraction of an estimated gain that counts, since estimates are noisy

Rings = tuple[WeightedRing[Backend], WeightedRing[Backend]]


class Choice(NamedTuple):
    """The cheapest usable backend (None if there is none) and its cost in priority weight."""

    backend: Backend | None
    cost: float


class CostPlacement:
    """The component that chooses the backend at which a connection costs least.

    Args:
        estimates: the estimated utilization of backends.
        rings: the backends of the balancer's own zone and those of the fleet; both may be the same ring.
        random: source of draws in 0 to 1.
    """

    def __init__(self, estimates: LoadEstimates, rings: Rings, random: Callable[[], float]) -> None:
        self.estimates, self.rings, self.random = estimates, rings, random

    def cheapest(self, request: Request, settings: Settings, now: float, rings: Rings | None = None) -> Choice:
        """Return the cheapest of the backends that are drawn and those that already serve the request's group.

        DRAWS_PER_RING backends are drawn from each ring. All balancers draw the same backends for a group, since each
        backend that serves a connection of the group incurs GROUP_COST. `rings` restricts the draw to some backends.
        """
        estimates, rings = self.estimates, rings or self.rings
        shared_seed = estimates.groups_share_work and request.group
        random = Random(request.group).random if shared_seed else self.random
        candidates = list[Backend]()
        if rings[1] is self.rings[1]:
            candidates += estimates.backends_by_group.get(request.group, {}).values()
        choice = Choice(None, inf)
        for _ in range(MAX_ROUNDS):
            candidates += [ring.draw(random, 0.0, 1.0) for ring in rings if ring.size for _ in range(DRAWS_PER_RING)]
            choice = self._cheapest_of(candidates, request, settings, now)
            responsive = choice.backend is not None and choice.backend.utilization < UNRESPONSIVE_UTILIZATION
            if responsive and choice.cost <= settings.classes[request.cls].priority_weight:
                break
        return choice

    def _cheapest_of(self, backends: list[Backend], request: Request, settings: Settings, now: float) -> Choice:
        """Return the first of the cheapest usable backends, excluding that of the request's last attempt."""
        best, least_cost = None, inf
        for backend in backends:
            if backend is request.backend or not backend.is_usable(now, settings):
                continue
            cost = self.cost(backend, request, settings)
            if cost < least_cost:
                best, least_cost = backend, cost
        return Choice(best, least_cost)

    def choose(self, request: Request, settings: Settings, now: float, rings: Rings) -> Backend | None:
        """Return the backend for the request: the cheapest of those drawn, if it answers its health checks.

        Otherwise return the cheapest responsive backend of the fleet ring, or the unresponsive one if there is none.
        """
        cheapest = self.cheapest(request, settings, now, rings).backend
        if cheapest is not None and cheapest.utilization < UNRESPONSIVE_UTILIZATION:
            return cheapest
        responsive: Iterable[Backend] = (
            backend
            for backend in rings[1].members
            if backend.utilization < UNRESPONSIVE_UTILIZATION
            and backend is not request.backend
            and backend.is_usable(now, settings)
        )
        return min(responsive, key=lambda backend: self.cost(backend, request, settings), default=cheapest)

    def cost(self, backend: Backend, request: Request, settings: Settings, already_counted: bool = False) -> float:
        """Return the cost of the request's connection at this backend, in priority weight.

        already_counted: the backend's utilization includes the connection.
        """
        estimates = self.estimates
        added = estimates.added_utilization(backend, request, already_counted)
        utilization = estimates.utilization(backend) + (0.0 if already_counted else added)
        own_weight = settings.classes[request.cls].priority_weight
        crossing = settings.cross_zone_price if backend.zone != settings.zone else 0.0
        connections = max(backend.reported_connections, backend.connections)
        loss_of_others = connections * estimates.on_time_decline(utilization) * added
        own_loss = own_weight * (1.0 - estimates.on_time_fraction(utilization))
        return own_loss + estimates.mean_priority_weight * (loss_of_others + crossing)

    @property
    def min_migration_gain(self) -> float:
        """The gain in priority weight above which a connection is migrated."""
        return MIN_MIGRATION_GAIN * self.estimates.mean_priority_weight

    def gain(
        self, request: Request, backend: Backend, settings: Settings, now: float, reserve_above: float = inf
    ) -> float:
        """Return the priority weight that migrating the request's connection off `backend` would save.

        A saved price of crossing zones counts in full, a gain from estimated load only by ESTIMATED_GAIN_FRACTION. If
        the gain exceeds `reserve_above`, the connection is counted at its new backend at once.
        """
        estimates = self.estimates
        present_cost = self.cost(backend, request, settings, True)
        if present_cost <= self.min_migration_gain:
            return 0.0
        best, least_cost = self.cheapest(request, settings, now)
        if best is None:
            return 0.0
        crossings_saved = (backend.zone != settings.zone) - (best.zone != settings.zone)
        certain_gain = crossings_saved * settings.cross_zone_price * estimates.mean_priority_weight
        estimated_gain = present_cost - least_cost - certain_gain
        gain = certain_gain + estimated_gain * (ESTIMATED_GAIN_FRACTION if estimated_gain > 0.0 else 1.0)
        if gain > reserve_above:
            estimates.reserve(best, request, now)
        return gain
