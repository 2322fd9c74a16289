"""Which connections are migrated in a round, and in which order.

Sources are served in the order of their excess. Only what lies above the level may leave a source, so that it never
becomes the lowest (no ping-pong). A plan looks at MAX_SCANNED connections of a source at most.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain, islice

from yarrowspindle.rebalancing.assessment import Assessment, ImbalanceCause
from yarrowspindle.rebalancing.fleet_view import BackendRecord, EstablishedConnection, FleetView
from yarrowspindle.rebalancing.migration_rate import MigrationRate, Role
from yarrowspindle.rebalancing.settings import Order, RebalanceSettings

MAX_SCANNED_CONNECTIONS = 64
CORRECTION_GAIN = (
    0.5  # of the excess and of the room, closed in one round; docs/design/rebalance.md says why this is stable
)
MAX_HOT_MIGRATIONS = 1  # in a round, where no backend has joined
UNLIMITED = 1 << 30

# Names what keeps a connection from being migrated; empty: nothing.
BlockCheck = Callable[[EstablishedConnection], str]


@dataclass(slots=True)
class PlanningRound:
    """One round of planning: what it goes by, and what has been planned so far.

    Attributes:
        relays_per_backend: how many relays draw from each backend, and share a target's rate.
        blocking_reason: names what keeps a connection from being migrated.
        blocked_counts: how many connections each obstacle kept back, by its published name.
        budget: load that may still be migrated in this round.
        target_heap: (load minus the level's, name) of the targets: a heap with the emptiest first.
        source_excess: load above the level that each source still has.
    """

    now: float
    view: FleetView
    settings: RebalanceSettings
    assessment: Assessment
    rate: MigrationRate
    relays_per_backend: float
    blocking_reason: BlockCheck
    blocked_counts: Counter[str]
    mean_load: float = 1.0
    budget: float = 0.0
    max_migrations: int = UNLIMITED
    target_heap: list[tuple[float, str]] = field(default_factory=list)
    source_excess: dict[str, float] = field(default_factory=dict)
    migrations: list[EstablishedConnection] = field(default_factory=list)
    migrated_requests: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        assessment = self.assessment
        self.mean_load = self.view.mean_load or 1.0
        self.budget = max(
            CORRECTION_GAIN * min(assessment.excess, assessment.headroom), self.mean_load
        )  # at least one: small gaps close too
        if assessment.cause is ImbalanceCause.HOT:
            self.max_migrations = MAX_HOT_MIGRATIONS
        self.target_heap = [
            (-(assessment.mean_utilization - target.utilization) * target.capacity, target.name)
            for target in assessment.targets
        ]
        heapq.heapify(self.target_heap)
        self.source_excess = {
            source.name: (source.utilization - assessment.mean_utilization) * source.capacity
            for source in assessment.sources
        }

    @property
    def is_finished(self) -> bool:
        """Whether nothing more may be planned."""
        if self.budget <= 0.0 or len(self.migrations) >= self.max_migrations:
            return True
        return not self.target_heap or self.target_heap[0][0] >= 0.0

    def try_migrate(self, connection: EstablishedConnection) -> bool:
        """Plans one migration, if the relay, the source and a target have a token each. Returns whether they had.

        The load is reserved at the emptiest target that has a token.
        """
        settings = self.settings
        name = connection.backend.name
        source = self.rate.backend_bucket(self.now, Role.SOURCE, name, settings.source_moves_per_s, settings.beat_s)
        target_rate = settings.target_moves_per_s / self.relays_per_backend
        while self.target_heap:
            load, target_name = self.target_heap[0]
            target = self.rate.backend_bucket(self.now, Role.TARGET, target_name, target_rate, settings.beat_s)
            if target.available:
                break
            heapq.heappop(self.target_heap)  # it takes no more in this round
        if not self.target_heap or not self.rate.relay.available or not source.available:
            self.blocked_counts["pace"] += 1
            return False
        for bucket in (self.rate.relay, source, target):
            bucket.take()
        heapq.heapreplace(self.target_heap, (load + connection.load, target_name))
        self.source_excess[name] -= connection.load
        self.migrations.append(connection)
        self.migrated_requests.add(connection.request_id)
        return True


class Planner:
    """Plans rounds, and remembers the rest of a group that is being migrated.

    Attributes:
        pending: request ids of a group's members that follow before anything else.
    """

    def __init__(self) -> None:
        self.pending: list[int] = []
        self._scan_count = 0

    def plan(
        self,
        now: float,
        view: FleetView,
        settings: RebalanceSettings,
        assessment: Assessment,
        rate: MigrationRate,
        blocking_reason: BlockCheck,
        blocked_counts: Counter[str],
        relays_per_backend: float,
    ) -> list[EstablishedConnection]:
        """Returns the connections to be migrated now, in order.

        Args:
            now: milliseconds.
            view: what this relay knows of backends and connections.
            settings: of rebalancing.
            assessment: what the look at the fleet showed.
            rate: the token buckets, filled for this round.
            blocking_reason: names what keeps a connection from being migrated; empty: nothing.
            blocked_counts: counts the obstacles.
            relays_per_backend: how many relays draw from each backend.
        """
        if assessment.cause is None or not assessment.sources or not assessment.targets:
            self.pending.clear()
            return []
        current = PlanningRound(
            now, view, settings, assessment, rate, relays_per_backend, blocking_reason, blocked_counts
        )
        if self._continue_group(current):
            self._relieve_sources(current)
        return current.migrations

    def _continue_group(self, current: PlanningRound) -> bool:
        """Migrates the rest of a group where nothing has changed under it. Returns whether all of it went."""
        sources = {source.name for source in current.assessment.sources}
        pending, self.pending = self.pending, []
        for index, request_id in enumerate(pending):
            connection = current.view.connections.get(request_id)
            if connection is None or connection.backend.name not in sources or current.blocking_reason(connection):
                continue
            if not current.try_migrate(connection):
                self.pending = pending[index:]
                return False
            current.budget -= connection.load
        return True

    def _relieve_sources(self, current: PlanningRound) -> None:
        """Migrates one unit after the other, each off the source with the greatest excess by then."""
        sources = {source.name: source for source in current.assessment.sources}
        order = [(-current.source_excess[name] / source.capacity, name) for name, source in sources.items()]
        heapq.heapify(order)
        while order and not current.is_finished:
            _, name = heapq.heappop(order)
            max_load = min(current.source_excess[name], -current.target_heap[0][0] + current.mean_load)
            unit = self._next_unit(sources[name], max_load, current)
            if not unit:
                continue
            if not current.try_migrate(unit[0]):
                if not current.target_heap or not current.rate.relay.available:
                    return
                continue
            current.budget -= sum(connection.load for connection in unit)
            self._migrate_rest(unit, current)
            if self.pending:
                return
            heapq.heappush(order, (-current.source_excess[name] / sources[name].capacity, name))

    def _migrate_rest(self, unit: list[EstablishedConnection], current: PlanningRound) -> None:
        """Migrates the other members of a group; those that cannot go now are pending."""
        for index, connection in enumerate(unit[1:], 1):
            if len(current.migrations) >= current.max_migrations or not current.try_migrate(connection):
                self.pending += [member.request_id for member in unit[index:]]
                return

    def _next_unit(self, source: BackendRecord, max_load: float, current: PlanningRound) -> list[EstablishedConnection]:
        """Returns what leaves this backend next: one connection, or a whole group where groups stay together.

        Args:
            source: the backend.
            max_load: the most load that may leave; more would only swap the imbalance.
            current: the round.
        """
        settings = current.settings
        best: list[EstablishedConnection] = []
        best_load = 0.0
        seen_groups: set[int] = set()
        for connection in self._scan_window(source):
            if connection.request_id in current.migrated_requests:
                continue
            if settings.order is Order.GROUP and connection.group:
                if connection.group in seen_groups:
                    continue
                seen_groups.add(connection.group)
            unit = _migration_unit(connection, source, current)
            load = sum(member.load for member in unit)
            reason = _unit_blocking_reason(unit, load, max_load, current)
            if reason:
                current.blocked_counts[reason] += 1
                continue
            is_better = load < best_load if settings.order is Order.LIGHTEST else load > best_load
            if not best or is_better:
                best = unit
                best_load = load
        return best

    def _scan_window(self, source: BackendRecord) -> list[EstablishedConnection]:
        """Returns the connections to look at: a window that moves on, so that none is passed over for good."""
        self._scan_count += 1
        connections = source.connections.values()
        count = len(connections)
        if count <= MAX_SCANNED_CONNECTIONS:
            return list(connections)
        first = self._scan_count * MAX_SCANNED_CONNECTIONS % count
        return list(islice(chain(islice(connections, first, None), connections), MAX_SCANNED_CONNECTIONS))


def _migration_unit(
    connection: EstablishedConnection, source: BackendRecord, current: PlanningRound
) -> list[EstablishedConnection]:
    """Returns the connection, or its whole group where groups stay together; nothing for a group that is too large."""
    if current.settings.order is not Order.GROUP or not connection.group:
        return [connection]
    members = source.groups[connection.group]
    if len(members) > MAX_SCANNED_CONNECTIONS:
        return []
    return [current.view.connections[request_id] for request_id in sorted(members)]


def _unit_blocking_reason(
    unit: list[EstablishedConnection], load: float, max_load: float, current: PlanningRound
) -> str:
    """Returns the published name of what keeps a unit from being migrated; empty: nothing."""
    if not unit:
        return "group"
    if load > max_load:
        return "group" if len(unit) > 1 else "giant"
    if load < current.settings.least_gain * current.mean_load * len(unit):
        return "light"
    for member in unit:
        blocking_reason = current.blocking_reason(member)
        if blocking_reason:
            return blocking_reason
    is_partly_migrated = any(member.request_id in current.migrated_requests for member in unit)
    return "taken" if is_partly_migrated else ""
