"""Chooses the backend of an attempt: by deduplication scope (retries), slow start, cost or two random choices.

The default is the power of two choices (Luczak & McDiarmid, "On the Power of Two Choices: Balls and Bins in Continuous
Time"): draw two ready backends at random and take the one with less own load.
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
# Draws for a client that reconnects during rebalancing: two draws seldom find a backend below the target load.
REBALANCING_DRAWS = 16
# Added to the load per unit of capacity (summed over all balancers) of backends in other zones. Applies only if
# backends are compared by own load alone.
CROSS_ZONE_LOAD_PENALTY = 90.0

HEALTHY, SLOW, EJECTED = 0, 1, 2  # first element of a rank: the lower value wins regardless of load


class Placement:
    """The component that chooses backends for attempts.

    Args:
        state: the state of the balancer.
        slow_start: the budget of backends that are warming up.
        cost_placement: replaces two choices if backends report their load; else None.
    """

    def __init__(self, state: BalancerState, slow_start: SlowStart, cost_placement: CostPlacement | None) -> None:
        self.state, self.slow_start, self.cost_placement = state, slow_start, cost_placement

    def choose(self, request: Request) -> Backend | None:
        """Return the backend for the request's next attempt, or None if no backend is usable.

        A request that may have run goes only to backends that recognise the repeat. Any other request goes to a
        backend in slow start if the budget allows. Otherwise the backend with the lowest cost is chosen if backends
        report their load, else the better of two random choices: from the balancer's own zone, or from the whole
        fleet for the fraction of requests that exceeds the remaining capacity of the zone.
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
        """Return whether to draw a request's backend from the whole fleet without trying the balancer's own zone first.

        True at random, with a probability equal to the fraction that `local`, the own zone's ring, has lost of its
        nominal capacity (its highest total so far); False if it has lost none. The fleet includes the own zone, so the
        load of the lost backends is spread over all zones. If it stayed in the own zone, the first backends to return
        there would receive all of it. The result has no effect if one ring serves as both.
        """
        nominal, present = local.nominal_capacity, local.total_capacity
        return present < nominal and self.state.random() * nominal >= present

    def _two_choices(
        self, request: Request, local: WeightedRing[Backend], fleet: WeightedRing[Backend]
    ) -> Backend | None:
        """Return the backend of lowest rank among those drawn: from the own subset, then from the fleet if necessary.

        The fleet is drawn from if the subset yields no healthy backend. During rebalancing, clients that reconnect get
        more draws, to find a backend below the target load. Draws for a group use a seed that all balancers share, so
        that they all choose the same backends.
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
        # Without reported latency only own load shows which backend is slow, so the fleet is always drawn from too.
        if best is not None and not state.uses_own_load_only and self._rank(best)[0] == HEALTHY:
            return best
        return self._draw(fleet, random, draws, start, 1.0, target, best)

    def _has_shared_seed(self, request: Request, target: float) -> bool:
        """Return whether all balancers draw the same backends for the request's group.

        A retry does not use the shared seed, since it has to go to another backend.
        """
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
        """Draw backends and return the one of lowest rank, or the first healthy one below the target load.

        Backends in slow start are skipped: they receive requests only within the slow-start budget.

        Args:
            ring: the backends to draw from.
            random: source of draws in 0 to 1.
            draws: the number of draws.
            start: beginning of the arc to draw from, as a fraction of the ring in 0 to 1.
            fraction: length of the arc, as a fraction of the ring.
            target: own load per unit of capacity below which a healthy backend is taken at once; 0 disables it.
            best: the best backend of previous draws, if any; it competes with those drawn.
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
            # The seed is shared: other balancers that draw for this group stop at the same backend.
            if target and best_rank[0] == HEALTHY and best.load < target * best.capacity:
                break
        return best

    def _rank(self, backend: Backend) -> tuple[int, float]:
        """Return the sort key of a backend, lowest preferred: health, then load per unit of capacity.

        The load includes what peers reported, weighted by the age of their reports, and the mean load of a connection
        as an estimate for the request to be placed.
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
        """Return a backend in slow start that gets the request, or None.

        None is returned if this balancer's part of the budget is used up or the backend is not usable. The budget is an
        upper bound: while connections are short-lived, a backend above its share of the connections gets no more.
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
