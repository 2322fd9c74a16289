"""Connections and loads that the other balancers (peers) reported.

Of n balancers, h have reported, with a weight w that falls from 1 to 0 as their reports age. The remaining
n - 1 - w * h balancers are assumed to have the same connections as this one. If no peer reports, this applies to all of
them, and backends are compared by own load alone.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import BACKEND_KEY_MASK, PeerLoads, group_key

FULL_WEIGHT_AGE_MS = 2000.0  # age up to which a peer report has full weight
MAX_REPORT_AGE_MS = 4500.0  # age from which a peer report is ignored
CONCURRENT_MIGRATORS = 2  # balancers that migrate connections in the same turn
MIGRATION_TURN_MS = 500.0
BACKEND_INDEX_TTL_MS = 1000.0
MAX_UNCHECKED_MS = 2000.0  # time without a health check after which any balancer may check the backend
NO_LOAD = (0, 0.0)  # connections, load


class LoadReport(NamedTuple):
    """A load report that a backend sent to a peer: utilization, connections and time of receipt (milliseconds)."""

    utilization: float
    connections: float
    received_at: float


class PeerUpdate(NamedTuple):
    """The change of peers' connections at one backend (negative: ended), and a newer load report if there is one."""

    backend: Backend
    connection_change: int
    report: LoadReport | None


class PeerLoadTable:
    """The latest sums of the peers' connections and loads.

    balancers: configured number of balancers, including this one.
    """

    def __init__(self, balancers: int) -> None:
        self.configured_balancers, self.balancers = balancers, float(balancers)
        self.backends_by_key: dict[int, Backend] = {}
        self.indexed_at, self.indexed_count = -inf, 0
        self.updated_at, self.age_at_update_ms = -inf, inf
        self.reporting_peers, self.rank, self.active_balancers = 0, 0, 1
        self.loads: dict[int, tuple[int, float]] = {}  # by backend or group key: connections, load
        self.ejected_by_peers: frozenset[int] = frozenset()

    def on_settings_changed(self, balancers: int) -> None:
        """Apply a changed number of configured balancers."""
        self.configured_balancers = balancers
        self.balancers = float(max(self.configured_balancers, self.active_balancers))

    def on_peer_loads(self, event: PeerLoads, now: float) -> None:
        """Apply changed sums and ejections that peers reported."""
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
        """Return the weight of the peers' reports by their age, from 1 (recent) to 0 (expired)."""
        remaining_ms = MAX_REPORT_AGE_MS - self.age_at_update_ms - (now - self.updated_at)
        return min(max(remaining_ms / (MAX_REPORT_AGE_MS - FULL_WEIGHT_AGE_MS), 0.0), 1.0)

    def similar_balancers(self, now: float) -> float:
        """Return how many balancers, including this one, are assumed to have the same connections as this one."""
        if not self.reporting_peers:
            return self.balancers
        return max(1.0, self.balancers - self._report_weight(now) * self.reporting_peers)

    def load_weight(self, now: float) -> float:
        """Return the weight of a load reported by peers, relative to own load."""
        if not self.reporting_peers:  # shortcut: called for each backend that is drawn
            return 0.0
        return self._report_weight(now) / self.similar_balancers(now)

    def load(self, backend: Backend) -> float:
        """Return the peers' load at this backend, in milliseconds of standard-core work per second."""
        return self.loads.get(backend.id & BACKEND_KEY_MASK, NO_LOAD)[1]

    def group_connections(self, backend: Backend, group: int) -> int:
        """Return the number of the peers' connections of this group at this backend."""
        return self.loads.get(group_key(backend.id, group), NO_LOAD)[0] if self.reporting_peers else 0

    def is_ejected_by_peers(self, backend: Backend) -> bool:
        """Return whether more than half of the reporting peers have ejected this backend."""
        return bool(self.ejected_by_peers) and backend.id & BACKEND_KEY_MASK in self.ejected_by_peers

    def may_check(self, backend: Backend, now: float) -> bool:
        """Return whether this balancer may check the backend's health.

        Each backend is assigned to one balancer by rank. Any balancer may check it once it has gone unchecked for
        MAX_UNCHECKED_MS.
        """
        assigned_rank = (backend.id & BACKEND_KEY_MASK) % max(self.active_balancers, 1)
        overdue = now >= backend.last_checked_at + MAX_UNCHECKED_MS
        return self.reporting_peers == 0 or assigned_rank == self.rank or overdue

    def allowed_migrations(self, now: float) -> int:
        """Return how many connections this balancer may migrate off backends that are not overloaded in this turn.

        Balancers take turns: if all of them acted on the same loads at the same time, they would migrate too many
        connections.
        """
        if not self.reporting_peers:
            return 1
        turn = int(now / MIGRATION_TURN_MS)
        return int((turn + self.rank) % max(self.active_balancers, 1) < CONCURRENT_MIGRATORS)

    def updated_backends(self, event: PeerLoads, backends: dict[int, Backend], now: float) -> Iterator[PeerUpdate]:
        """Yield an update for each backend with changed peer connections or a newer load report from a peer."""
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
