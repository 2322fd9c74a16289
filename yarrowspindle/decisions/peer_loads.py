"""The module's book of what other balancers hold, where they tell it. It decides nothing.

Of n balancers h were heard of, with a weight w that falls from 1 to 0 as their word grows old. The n - 1 - w h others
are taken to hold what we hold, as all of them are where nothing is told: then every comparison is the one on own load.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import BACKEND_KEY_MASK, PeerLoads, group_key

FRESH_MS, OLD_MS = 2000.0, 4500.0
MOVERS = 2  # balancers that move connections on one beat
TURN_BEAT_MS = 500.0
INDEX_MS = 1000.0
TURN_MS = 2000.0  # a server that nobody probed for so long is anybody's turn


class PeerLoadTable:
    def __init__(self, balancers: int) -> None:
        self.settled, self.alike = balancers, float(balancers)
        self.index: dict[int, Backend] = {}  # by key; made anew once a second, or when servers come or go
        self.index_at, self.index_of = -inf, 0
        self.told_at, self.told_age = -inf, inf
        self.heard, self.rank, self.members = 0, 0, 1
        self.holds: dict[int, tuple[int, float]] = {}
        self.shunned: frozenset[int] = frozenset()

    def retuned(self, balancers: int) -> None:
        self.settled = balancers
        self.alike = float(max(self.settled, self.members))

    def told(self, event: PeerLoads, now: float) -> None:
        self.told_at, self.told_age, self.heard = now, event.age_ms, event.reporting_relays
        self.rank, self.members, self.shunned = event.rank, event.relays, event.ejected_by_peers
        self.alike = float(max(self.settled, self.members))
        for key, held in event.loads.items():
            if held == (0, 0.0):
                self.holds.pop(key, None)
            else:
                self.holds[key] = held

    def shares(self, now: float) -> tuple[float, float]:
        """By how much a load told of counts, over an own one; and how many balancers are taken to hold what we hold."""
        if not self.heard:  # for each server that is drawn, also where nobody talks: nothing is worked out here
            return 0.0, self.alike
        weight = (OLD_MS - self.told_age - (now - self.told_at)) / (OLD_MS - FRESH_MS)
        weight = min(max(weight, 0.0), 1.0)
        alike = max(1.0, self.alike - weight * self.heard)
        return weight / alike, alike

    def load(self, backend: Backend) -> float:
        return self.holds.get(backend.id & BACKEND_KEY_MASK, (0, 0.0))[1]

    def group(self, backend: Backend, group: int) -> int:
        """How many connections of the group others hold there."""
        return self.holds.get(group_key(backend.id, group), (0, 0.0))[0] if self.heard else 0

    def passed(self, backend: Backend) -> bool:
        """Most of the others pass it over."""
        return bool(self.shunned) and backend.id & BACKEND_KEY_MASK in self.shunned

    def turn(self, backend: Backend, now: float) -> bool:
        """Whether it is ours to probe: one balancer probes it for all, unless that one does not."""
        mine = (backend.id & BACKEND_KEY_MASK) % max(self.members, 1) == self.rank
        return self.heard == 0 or mine or now >= backend.asked_at + TURN_MS

    def moves(self, now: float) -> int:
        """How many connections we may move on this beat to gain by it: who sees what the others see, and moves when
        they do, moves too many. So those heard of go by turns."""
        return 1 if not self.heard else int((int(now / TURN_BEAT_MS) + self.rank) % max(self.members, 1) < MOVERS)

    def news(
        self, event: PeerLoads, backends: dict[int, Backend], now: float
    ) -> Iterator[tuple[Backend, int, tuple[float, float, float] | None]]:
        """Servers at which others' connections came or went (how many), or of which another balancer was told a load
        report that is newer than ours (use, connections, when)."""
        if not event.connection_changes and not event.reports:
            return
        if now >= self.index_at + INDEX_MS or self.index_of != len(backends):
            self.index = {backend.id & BACKEND_KEY_MASK: backend for backend in backends.values()}
            self.index_at, self.index_of = now, len(backends)
        for key in sorted(event.connection_changes.keys() | event.reports.keys()):  # keys of groups are no servers'
            backend, report = self.index.get(key), None
            if backend is None:
                continue
            used, holds, age = event.reports.get(key, (0.0, 0.0, inf))
            if now - age > backend.asked_at:
                backend.asked_at = now - age
                report = (used, holds, now - age)
            came = event.connection_changes.get(key, 0)
            if came or report is not None:
                yield backend, came, report
