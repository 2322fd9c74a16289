"""Selects the connections to migrate in a rebalancing round, and their order.

Sources (overloaded backends) are relieved in descending order of excess load. A source gives up only load above the
mean utilization, so that it never becomes the least loaded backend and connections do not oscillate. A round examines
at most MAX_SCANNED_CONNECTIONS connections of a source.
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
# Fraction of the excess, or of the headroom if that is smaller, that one round corrects;
# docs/design/rebalance.md explains why this is stable.
CORRECTION_GAIN = 0.5
MAX_HOT_MIGRATIONS = 1  # per round, unless a backend has joined recently
UNLIMITED = 1 << 30

# Returns the metric name of the reason why a connection must not be migrated, or an empty string if it may be.
BlockCheck = Callable[[EstablishedConnection], str]


@dataclass(slots=True)
class PlanningRound:
    """The inputs of one planning round, and the migrations planned so far.

    Attributes:
        now: Current time in milliseconds.
        view: Backends and connections known to this relay.
        settings: Rebalancing settings.
        assessment: Sources and targets of this round.
        rate: Token buckets of the relay and of the backends.
        relays_per_backend: Number of relays that may select each backend; they share a target's migration rate.
        blocking_reason: Check whether a connection may be migrated.
        blocked_counts: Number of connections that were not migrated, by the metric name of the reason.
        mean_load: Mean load of a connection, or 1 if no load has been reported.
        budget: Load that may still be migrated in this round.
        max_migrations: Maximum number of migrations in this round.
        target_heap: Heap of (load minus the load at mean utilization, name) of the targets, least loaded first.
        source_excess: Remaining load above the mean utilization, by source name.
        migrations: Connections to migrate, in order.
        migrated_requests: Request ids of `migrations`.
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
        # The budget allows at least one connection of mean load, so that small imbalances are corrected too.
        self.budget = max(CORRECTION_GAIN * min(assessment.excess, assessment.headroom), self.mean_load)
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
        """Whether no more migrations may be planned in this round."""
        if self.budget <= 0.0 or len(self.migrations) >= self.max_migrations:
            return True
        return not self.target_heap or self.target_heap[0][0] >= 0.0

    def try_migrate(self, connection: EstablishedConnection) -> bool:
        """Plan a migration if the token buckets of the relay, the source and a target allow it.

        The connection's load is reserved at the least loaded target that has a token.

        Returns:
            Whether the migration was planned.
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
            heapq.heappop(self.target_heap)  # the target has no token left in this round
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
    """Planner of rounds, which keeps the rest of a partly migrated group for the next round.

    Attributes:
        pending: Request ids of the remaining members of a partly migrated group; they are migrated first.
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
        """Return the connections to migrate now, in order.

        Args:
            now: Current time in milliseconds.
            view: Backends and connections known to this relay.
            settings: Rebalancing settings.
            assessment: Sources and targets of this round.
            rate: Token buckets, refilled for this round.
            blocking_reason: Returns the reason why a connection must not be migrated, or an empty string.
            blocked_counts: Incremented for each connection that is not migrated, by reason.
            relays_per_backend: Number of relays that may select each backend.
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
        """Migrate the rest of a partly migrated group.

        Members that have ended, are no longer on a source, or are blocked now are dropped from the group.

        Returns:
            Whether no member remains pending.
        """
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
        """Migrate one unit at a time, each from the source that has the greatest excess utilization at that point."""
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
        """Migrate the members of a unit after its first; those that the rate limits hold back become pending."""
        for index, connection in enumerate(unit[1:], 1):
            if len(current.migrations) >= current.max_migrations or not current.try_migrate(connection):
                self.pending += [member.request_id for member in unit[index:]]
                return

    def _next_unit(self, source: BackendRecord, max_load: float, current: PlanningRound) -> list[EstablishedConnection]:
        """Return the unit to migrate next: one connection, or a whole group if groups are kept together.

        Args:
            source: Backend that the unit is migrated from.
            max_load: Maximum load of the unit; a heavier one would only move the imbalance to the target.
            current: Planning round.

        Returns:
            The connections of the unit; empty if no unit of the source may be migrated.
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
        """Return the connections to examine: a window that advances with each call, so that each gets its turn."""
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
    """Return the connection, or its whole group if groups are kept together; empty if the group is too large.

    A group is too large if it has more than MAX_SCANNED_CONNECTIONS members.
    """
    if current.settings.order is not Order.GROUP or not connection.group:
        return [connection]
    members = source.groups[connection.group]
    if len(members) > MAX_SCANNED_CONNECTIONS:
        return []
    return [current.view.connections[request_id] for request_id in sorted(members)]


def _unit_blocking_reason(
    unit: list[EstablishedConnection], load: float, max_load: float, current: PlanningRound
) -> str:
    """Return the metric name of the reason why a unit must not be migrated, or an empty string if it may be."""
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
