"""Placement where servers tell their load when they are probed: by what a connection costs there, in worth.

The cost of a connection at a server is what it and those beside it lose by late messages, and the crossing between
zones at its stated price. Estimates come from load reports (`reports.py`), carried on by what was placed since.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from random import Random

from yarrowspindle.decisions.backends import Backend, Request
from yarrowspindle.decisions.load_estimates import SICK, Estimates
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.decisions.weighted_ring import WeightedRing

ROUNDS = 3  # draws, while all that were drawn cost more than the connection is worth
DRAWS = 2  # servers drawn from each ring in a round
MOVE_GAIN, FIRM_FRACTION = 0.05, 0.33  # worth a move, in mean worth; counted of what is only estimated


class CostPlacement:
    """known: the estimates of all servers. rings: the own zone's and all servers, which may be the same. random: draws
    in 0 to 1."""

    def __init__(
        self, known: Estimates, rings: tuple[WeightedRing[Backend], WeightedRing[Backend]], random: Callable[[], float]
    ) -> None:
        self.known, self.rings, self.random = known, rings, random

    def cheapest(
        self,
        request: Request,
        settings: Settings,
        now: float,
        rings: tuple[WeightedRing[Backend], WeightedRing[Backend]] | None = None,
    ) -> tuple[Backend | None, float]:
        """Of two servers drawn at home, two drawn from all and those with the group: where it costs least, and what.

        A group draws alike at all balancers: each server that holds any of it pays for it once. rings: where the
        request is bound to fewer servers."""
        known, rings = self.known, rings or self.rings
        luck = Random(request.group).random if known.groups and request.group else self.random
        found = list(known.holders.get(request.group, {}).values()) if rings[1] is self.rings[1] else []
        best, least = None, inf
        for _ in range(ROUNDS):
            found += [ring.draw(luck, 0.0, 1.0) for ring in rings if ring.size for _ in range(DRAWS)]
            for backend in found:
                if backend is request.backend or not backend.usable(now, settings):
                    continue
                cost = self.cost(backend, request, settings)
                if cost < least:
                    best, least = backend, cost
            if best is not None and best.used < SICK and least <= settings.classes[request.cls].priority_weight:
                break
        return best, least

    def best(
        self,
        request: Request,
        settings: Settings,
        now: float,
        rings: tuple[WeightedRing[Backend], WeightedRing[Backend]],
    ) -> Backend | None:
        """Where the request goes: the cheapest drawn, or whoever answers where that one does not."""
        found = self.cheapest(request, settings, now, rings)[0]
        if found is not None and found.used < SICK:
            return found
        well: Iterable[Backend] = (
            backend
            for backend in rings[1].pool
            if backend.used < SICK and backend is not request.backend and backend.usable(now, settings)
        )
        return min(well, key=lambda backend: self.cost(backend, request, settings), default=found)

    def cost(self, backend: Backend, request: Request, settings: Settings, there: bool = False) -> float:
        """In worth; there: the connection stands there already."""
        known = self.known
        adds, worth = known.adds(backend, request, there), settings.classes[request.cls].priority_weight
        served, fall = known.served(known.used(backend) + (0.0 if there else adds))
        crossing = settings.cross_zone_price if backend.zone != settings.zone else 0.0
        beside = max(backend.holds, backend.open) * fall * adds
        return worth * (1.0 - served) + known.worth * (beside + crossing)

    @property
    def worth_a_move(self) -> float:
        return MOVE_GAIN * self.known.worth

    def gain(
        self, request: Request, backend: Backend, settings: Settings, now: float, reserve_above: float = inf
    ) -> float:
        """What a move would save, in worth each second; of a load that is only estimated a part counts. Above
        `reserve_above` the connection is counted where it would go."""
        known = self.known
        stays = self.cost(backend, request, settings, True)
        if stays <= self.worth_a_move:
            return 0.0
        best, least = self.cheapest(request, settings, now)
        if best is None:
            return 0.0
        nearer = (backend.zone != settings.zone) - (best.zone != settings.zone)
        firm = nearer * settings.cross_zone_price * known.worth
        estimated = stays - least - firm
        gain = firm + estimated * (FIRM_FRACTION if estimated > 0.0 else 1.0)
        if gain > reserve_above:
            known.reserve(best, request, now)
        return gain
