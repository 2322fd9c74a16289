"""What the other balancers reported of their connections.

Of n balancers h have reported, with a weight w that falls from 1 to 0 as their report grows old. The n - 1 - w * h
others are assumed to have what this balancer has, as all of them are where none reports: then every comparison is
one of own load.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import BACKEND_KEY_MASK, PeerLoads, group_key

FULL_WEIGHT_AGE_MS = 2000.0  # up to this age a report of peers counts in full
MAX_REPORT_AGE_MS = 4500.0  # from this age on it counts for nothing
CONCURRENT_MIGRATORS = 2  # balancers that migrate connections in one turn
MIGRATION_TURN_MS = 500.0
BACKEND_INDEX_TTL_MS = 1000.0
MAX_UNCHECKED_MS = 2000.0  # a backend that nobody checked for this long may be checked by any balancer
NO_LOAD = (0, 0.0)  # connections, load


class LoadReport(NamedTuple):
    """A backend's load report to a peer: load over capacity, connections, and when the peer received it (ms)."""

    utilization: float
    connections: float
    received_at: float


class PeerUpdate(NamedTuple):
    """What peers observed of one backend: connections added (or ended, below 0), and a newer load report."""

    backend: Backend
    connection_change: int
    report: LoadReport | None


class PeerLoadTable:
    """The newest sums of the peers' connections and loads. balancers: as configured, this one included."""

    def __init__(self, balancers: int) -> None:
        self.configured_balancers, self.balancers = balancers, float(balancers)
        self.backends_by_key: dict[int, Backend] = {}
        self.indexed_at, self.indexed_count = -inf, 0
        self.updated_at, self.age_at_update_ms = -inf, inf
        self.reporting_peers, self.rank, self.active_balancers = 0, 0, 1
        self.loads: dict[int, tuple[int, float]] = {}  # by backend or group key: connections, load
        self.ejected_by_peers: frozenset[int] = frozenset()

    def on_settings_changed(self, balancers: int) -> None:
        """Take over a changed number of configured balancers."""
        self.configured_balancers = balancers
        self.balancers = float(max(self.configured_balancers, self.active_balancers))

    def on_peer_loads(self, event: PeerLoads, now: float) -> None:
        """Apply the changes of what peers reported."""
        self.updated_at, self.age_at_update_ms = now, event.age_ms
        self.reporting_peers, self.rank, self.active_balancers = event.reporting_relays, event.rank, event.relays
        self.ejected_by_peers = event.ejected_by_peers
        self.balancers = float(max(self.configured_balancers, self.active_balancers))
        for key, load in event.loads.items():
            if load == NO_LOAD:
                self.loads.pop(key, None)
            else:
                self.loads[key] = load

    def _report_weight(self, now: float) -> float:
        """The weight of the peers' report by its age, from 1 to 0."""
        remaining_ms = MAX_REPORT_AGE_MS - self.age_at_update_ms - (now - self.updated_at)
        return min(max(remaining_ms / (MAX_REPORT_AGE_MS - FULL_WEIGHT_AGE_MS), 0.0), 1.0)

    def similar_balancers(self, now: float) -> float:
        """Return how many balancers, this one included, are assumed to have the connections that this one has."""
        if not self.reporting_peers:
            return self.balancers
        return max(1.0, self.balancers - self._report_weight(now) * self.reporting_peers)

    def load_weight(self, now: float) -> float:
        """Return by how much a load that peers reported counts, relative to own load."""
        if not self.reporting_peers:  # asked for each backend drawn: nothing is computed where no peers report
            return 0.0
        return self._report_weight(now) / self.similar_balancers(now)

    def load(self, backend: Backend) -> float:
        """Return the load that peers have at this backend, in milliseconds of standard-core work for each second."""
        return self.loads.get(backend.id & BACKEND_KEY_MASK, NO_LOAD)[1]

    def group_connections(self, backend: Backend, group: int) -> int:
        """Return how many connections of the group peers have at this backend."""
        return self.loads.get(group_key(backend.id, group), NO_LOAD)[0] if self.reporting_peers else 0

    def is_ejected_by_peers(self, backend: Backend) -> bool:
        """Return whether most of the peers have ejected this backend."""
        return bool(self.ejected_by_peers) and backend.id & BACKEND_KEY_MASK in self.ejected_by_peers

    def may_check(self, backend: Backend, now: float) -> bool:
        """Return whether this balancer checks the backend's health.

        One balancer checks a backend for all, by their ranks; any may where that one does not.
        """
        assigned_rank = (backend.id & BACKEND_KEY_MASK) % max(self.active_balancers, 1)
        overdue = now >= backend.last_checked_at + MAX_UNCHECKED_MS
        return self.reporting_peers == 0 or assigned_rank == self.rank or overdue

    def allowed_migrations(self, now: float) -> int:
        """Return how many connections this balancer may migrate in this turn, off backends that are not full.

        Balancers that see the same loads and migrate at the same time migrate too many, so they take turns.
        """
        if not self.reporting_peers:
            return 1
        turn = int(now / MIGRATION_TURN_MS)
        return int((turn + self.rank) % max(self.active_balancers, 1) < CONCURRENT_MIGRATORS)

    def updated_backends(self, event: PeerLoads, backends: dict[int, Backend], now: float) -> Iterator[PeerUpdate]:
        """Yield the backends at which peers' connections changed, or of which a peer has a newer load report."""
        if not event.connection_changes and not event.reports:
            return
        if now >= self.indexed_at + BACKEND_INDEX_TTL_MS or self.indexed_count != len(backends):
            self.backends_by_key = {backend.id & BACKEND_KEY_MASK: backend for backend in backends.values()}
            self.indexed_at, self.indexed_count = now, len(backends)
        for key in sorted(event.connection_changes.keys() | event.reports.keys()):
            backend = self.backends_by_key.get(key)
            if backend is None:  # the key of a group
                continue
            report = self._newer_report(event, key, backend, now)
            change = event.connection_changes.get(key, 0)
            if change or report is not None:
                yield PeerUpdate(backend, change, report)

    def _newer_report(self, event: PeerLoads, key: int, backend: Backend, now: float) -> LoadReport | None:
        if key not in event.reports:
            return None
        utilization, connections, age_ms = event.reports[key]
        received_at = now - age_ms
        if received_at <= backend.last_checked_at:
            return None
        backend.last_checked_at = received_at
        return LoadReport(utilization, connections, received_at)
