"""Which backend an attempt goes to: the choice between retries, slow start, costs and the rule of two choices.

The ordinary rule is that of Luczak & McDiarmid, "On the Power of Two Choices: Balls and Bins in Continuous Time":
draw two ready backends and take the one with less own load.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.cost_placement import CostPlacement
from yarrowspindle.decisions.load_estimates import UNRESPONSIVE_UTILIZATION
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.retries import deduplication_ring
from yarrowspindle.decisions.slow_start import SlowStart
from yarrowspindle.decisions.state import BalancerState
from yarrowspindle.decisions.weighted_ring import WeightedRing

DRAWS = 2
# For clients that come again during rebalancing: two draws seldom find a backend below the target.
REBALANCING_DRAWS = 16
# Load of all balancers for each unit of capacity that backends of other zones count more, by own load only.
CROSS_ZONE_LOAD_PENALTY = 90.0

HEALTHY, SLOW, EJECTED = 0, 1, 2  # first part of a rank: a lower one is preferred whatever the load


class Placement:
    """Chooses backends for attempts. cost_placement: where backends report their load; it replaces two choices."""

    def __init__(self, state: BalancerState, slow_start: SlowStart, cost_placement: CostPlacement | None) -> None:
        self.state, self.slow_start, self.cost_placement = state, slow_start, cost_placement

    def choose(self, request: Request) -> Backend | None:
        """Return the backend for the request's next attempt; None where none is usable.

        A request that may have run goes only to backends that recognise the repeat. Otherwise a backend that warms up
        gets it while the slow-start budget allows; else costs decide where backends report their load; else two
        choices, from the own zone or, as far as that is short of capacity, from the fleet.
        """
        state, settings = self.state, self.state.settings
        local, fleet = state.local_ring, state.fleet_ring
        repeat_ring = deduplication_ring(request, settings, state.now, fleet)
        if repeat_ring is not None:
            local = fleet = repeat_ring
        elif (warming_up := self._warming_up_backend()) is not None:
            return warming_up
        if self.cost_placement is not None:
            return self.cost_placement.choose(request, settings, state.now, (local, fleet))
        if self._spills_over(local):
            local = fleet
        return self._two_choices(request, local, fleet)

    def _spills_over(self, local: WeightedRing[Backend]) -> bool:
        """Whether the request is part of the load that the own zone has lost the capacity for.

        That load goes to all zones: else the first backends to return at home would get all of it.
        """
        nominal, present = local.nominal_capacity, local.total_capacity
        return present < nominal and self.state.random() * nominal >= present

    def _two_choices(
        self, request: Request, local: WeightedRing[Backend], fleet: WeightedRing[Backend]
    ) -> Backend | None:
        """Draw from the own subset, then from the fleet while no healthy backend was found; the least rank wins.

        During rebalancing clients that come again get more draws, to find a backend below the target. Requests of a
        group draw from a shared seed, so that all balancers meet at the same backends.
        """
        state = self.state
        target = state.rebalancing_target if request.returned else 0.0
        draws = REBALANCING_DRAWS if target else DRAWS
        shared_seed = self._has_shared_seed(request, target)
        random = Random(request.group).random if shared_seed else state.random
        start = 0.0 if shared_seed else state.subset_start
        target = target if request.group else 0.0
        fraction = 1.0 if shared_seed else local.subset_fraction
        best = self._draw(local, random, draws, start, fraction, target, None)
        # Without reported latency own load has to show which backend is slow: the fleet is always drawn from.
        if best is not None and not state.uses_own_load_only and self._rank(best)[0] == HEALTHY:
            return best
        return self._draw(fleet, random, draws, start, 1.0, target, best)

    def _has_shared_seed(self, request: Request, target: float) -> bool:
        """Whether all balancers draw the same backends for the request's group; a retry has to go elsewhere."""
        if not request.group:
            return False
        return bool(target) or (self.state.settings.groups_share_work and not request.attempts)

    def _draw(
        self,
        ring: WeightedRing[Backend],
        random: Callable[[], float],
        draws: int,
        start: float,
        fraction: float,
        target: float,
        best: Backend | None,
    ) -> Backend | None:
        """Return the least ranked of `best` and the backends drawn, or the first healthy one below the target load.

        target: own load for each unit of capacity; 0: none. Backends that warm up are left to slow start.
        """
        if not ring.size:
            return best
        now, warmup_ms = self.state.now, self.state.settings.warmup_ms
        best_rank = self._rank(best) if best is not None else None
        for _ in range(draws):
            backend = ring.draw(random, start, fraction)
            if backend.started_ms > 0.0 and now - backend.started_ms < warmup_ms:
                continue
            rank = self._rank(backend)
            if best is None or best_rank is None or rank < best_rank:
                best, best_rank = backend, rank
            # Whoever else draws for the group comes to the same backend, since the seed is shared.
            if target and best_rank[0] == HEALTHY and best.load < target * best.capacity:
                break
        return best

    def _rank(self, backend: Backend) -> tuple[int, float]:
        """Return the order of preference, the lowest first: health, then load for each unit of capacity.

        Load of peers counts as far as it was reported; the mean load of a connection is that of the request itself.
        """
        state, peer_loads, now = self.state, self.state.peer_loads, self.state.now
        load = backend.load + peer_loads.load_weight(now) * peer_loads.load(backend) + state.connection_loads.mean
        penalty = 0.0
        has_zones = state.uses_own_load_only and state.local_ring is not state.fleet_ring
        if has_zones and backend.zone != state.settings.zone:
            penalty = CROSS_ZONE_LOAD_PENALTY / peer_loads.similar_balancers(now)
        if now < backend.ejected_until:
            health = EJECTED
        else:
            health = SLOW if now < backend.slow_until or peer_loads.is_ejected_by_peers(backend) else HEALTHY
        return health, load / backend.capacity + penalty

    def _warming_up_backend(self) -> Backend | None:
        """Return a backend in slow start, as often as this balancer's part of the budget allows.

        The budget is an upper bound: a backend above its share of the connections does not get more.
        """
        state, slow_start = self.state, self.slow_start
        ring = state.fleet_ring if state.uses_own_load_only else state.local_ring
        local_only = ring is not state.fleet_ring
        candidates = slow_start.draw_candidates(state.now, state.settings, ring, local_only, state.connections)
        if not candidates:
            return None
        backend = min(candidates, key=self._rank)
        above_share = backend.connections * ring.nominal_capacity > state.connections * backend.capacity
        if above_share and slow_start.connections_are_short_lived(state.now, state.settings, state.connections):
            return None
        responsive = state.now >= backend.ejected_until and backend.utilization < UNRESPONSIVE_UTILIZATION
        return backend if backend.ready and responsive else None
