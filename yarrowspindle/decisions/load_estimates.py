"""Estimates the utilization of backends from load reports, message latency and the placements since the last report.

Load is measured in mean connections; `capacity_per_connection` converts it to capacity. This factor and the load of
each class are learned from reports. The module makes no decisions.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, inf

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.peer_loads import LoadReport, PeerLoadTable
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import Settings

UTILIZATION_FIELD = "x0"  # load report field: load divided by capacity
CONNECTIONS_FIELD = "rif"  # load report field: connections in flight
HALF_LATE_UTILIZATION = 0.96  # utilization at which half of the messages miss their latency objective
LATENESS_EXPONENT = 11.0  # steepness of the rise of late messages with utilization
GROUP_COST = 1.0  # work that a backend does once per group that it serves, in mean connections
INITIAL_CAPACITY_PER_CONNECTION = 0.06  # until reports are received
UNREPORTED_UTILIZATION = 0.5  # assumed for a backend that has not reported
REPORT_LAG_MS = 1000.0  # maximum age of the state that a report describes: later placements are not included in it
UNRESPONSIVE_UTILIZATION = 9.0  # assumed for a backend that does not answer its health check
MAX_CHANGES_SINCE_REPORT = 256  # stored per backend before they are merged into one
CLASS_LOAD_LEARNING_RATE = 0.05
CAPACITY_LEARNING_RATE = 0.05
MIN_CLASS_LOAD, MAX_CLASS_LOAD = 0.1, 4.0  # in mean connections
MAX_LEARNING_UTILIZATION = 1.5  # a report above it indicates a faulty backend and says nothing of connection load
MEAN_LOAD_LEARNING_RATE = 0.05


class MeanConnectionLoad:
    """Moving average of the reported load of connections, used for connections without a load hint.

    Loads are in milliseconds of standard-core work per second. In a deployment without hints all connections count
    the same.
    """

    def __init__(self) -> None:
        self.mean = 0.0

    def estimate(self, load: float) -> float:
        """Return the load to count for a connection: `load` as reported, or the mean if it is 0 (no hint)."""
        if load > 0.0:
            self.mean += (load - self.mean) * (MEAN_LOAD_LEARNING_RATE if self.mean else 1.0)
        return load or self.mean or 1.0


class LoadEstimates:
    """One balancer's estimates of the utilization of all backends.

    Attributes:
        mean_priority_weight: mean priority weight of the balancer's own connections.
    """

    def __init__(self, settings: Settings, peer_loads: PeerLoadTable | None = None) -> None:
        self.peer_loads = peer_loads or PeerLoadTable(settings.balancers)
        self.capacity_per_connection = INITIAL_CAPACITY_PER_CONNECTION
        self.class_loads: list[float] = []  # by class, in mean connections
        self.class_connections: list[float] = []  # own connections, by class
        self.backends_by_group: dict[int, dict[int, Backend]] = {}  # those with own connections of the group
        self.on_settings_changed(settings)

    def on_settings_changed(self, settings: Settings, reassigned_classes: Iterable[int] = ()) -> None:
        """Apply new settings. Classes keep their numbers; the learned load of reassigned classes is reset."""
        self.classes = settings.classes
        self.report_fields = settings.load_report_fields
        self.groups_share_work = settings.groups_share_work
        added = len(self.classes) - len(self.class_loads)
        self.class_loads = self.class_loads[: len(self.classes)] + [1.0] * added
        self.class_connections = self.class_connections[: len(self.classes)] + [0.0] * added
        for number in reassigned_classes:
            self.class_loads[number] = 1.0
        objectives = (c.message_latency_objective_ms for c in self.classes if c.message_latency_objective_ms > 0.0)
        self.message_latency_objective_ms = min(objectives, default=0.0)
        self._update_mean_priority_weight()

    def _update_mean_priority_weight(self) -> None:
        """Recompute the mean; each class counts one extra connection, so that classes without connections count."""
        total = sum(self.class_connections) + len(self.class_connections)
        counts = zip(self.classes, self.class_connections, strict=True)
        self.mean_priority_weight = sum(cls.priority_weight * (count + 1.0) for cls, count in counts) / total

    def added_utilization(self, backend: Backend, request: Request, already_counted: bool = False) -> float:
        """Return the utilization that the connection adds to a backend, or removes from it when it ends.

        If groups share work, the only connection of a group at a backend costs GROUP_COST in addition.

        Args:
            backend: the backend.
            request: the request of the connection.
            already_counted: the connection is included in the backend's counts.
        """
        only_connection_of_group = (
            self.groups_share_work
            and request.group
            and backend.connections_by_group.get(request.group, 0) <= already_counted
            and not self.peer_loads.group_connections(backend, request.group)
        )
        load = self.class_loads[request.cls] + (GROUP_COST if only_connection_of_group else 0.0)
        return load * self.capacity_per_connection / backend.capacity

    def reserve(self, backend: Backend, request: Request, now: float) -> None:
        """Count in advance a connection that is about to migrate to this backend."""
        backend.changes_since_report.append((now, self.added_utilization(backend, request)))

    def on_connection_change(self, backend: Backend, request: Request, change: int, now: float) -> None:
        """Update the estimates for an own connection that was added (`change` 1) or has ended (-1)."""
        added = self.added_utilization(backend, request, change < 0)
        backend.changes_since_report.append((now, change * added))
        self.class_connections[request.cls] += change
        self._update_mean_priority_weight()
        _add_count(backend.connections_by_class, request.cls, change)
        _add_count(backend.connections_by_group, request.group, change)
        group_backends = self.backends_by_group.setdefault(request.group, {})
        if self.groups_share_work and request.group and request.group in backend.connections_by_group:
            group_backends[backend.id] = backend
        else:
            group_backends.pop(backend.id, None)
            if not group_backends:
                del self.backends_by_group[request.group]

    def on_peer_update(self, backend: Backend, change: int, report: LoadReport | None, now: float) -> None:
        """Update the estimates from the peers' observations of a backend.

        Args:
            backend: the backend.
            change: number of peers' connections that were added there, or ended if negative; each counts as a mean
                connection.
            report: the newest load report that a peer received, if it is newer than the known one.
            now: the present time in milliseconds.
        """
        if report is not None:
            fields = {UTILIZATION_FIELD: report.utilization, CONNECTIONS_FIELD: report.connections}
            values = tuple(fields.get(name, 0.0) for name in self.report_fields)
            self.on_health_check(backend, report.received_at, values)
            backend.last_report_at = -inf  # the peer that received the report distributes it
        if change and backend.utilization >= 0.0:
            if len(backend.changes_since_report) > MAX_CHANGES_SINCE_REPORT:  # reports are missing
                backend.changes_since_report = [(now, sum(added for _, added in backend.changes_since_report))]
            backend.changes_since_report.append((now, change * self.capacity_per_connection / backend.capacity))

    def on_health_check(self, backend: Backend, now: float, report: tuple[float, ...], no_answer: bool = False) -> None:
        """Apply the result of a health check.

        Args:
            backend: the backend that was checked.
            now: when the report was received, in milliseconds.
            report: values of the settings' report fields, or empty if there is no report.
            no_answer: the backend did not answer the check.
        """
        if no_answer:
            backend.utilization = max(backend.utilization, UNRESPONSIVE_UTILIZATION)
        if not report:
            return
        fields = dict(zip(self.report_fields, report, strict=False))
        backend.utilization = fields.get(UTILIZATION_FIELD, backend.utilization)
        backend.reported_connections = fields.get(CONNECTIONS_FIELD, backend.reported_connections)
        backend.last_report_at = now
        _drop_reported_changes(backend, now)
        plausible = 0.0 <= backend.utilization < MAX_LEARNING_UTILIZATION
        if CONNECTIONS_FIELD in fields and backend.reported_connections >= 1.0 and plausible:
            self._learn(backend)

    def _learn(self, backend: Backend) -> None:
        """Adjust the load of a mean connection and that of each class by one step towards the backend's report.

        Peers' connections at the backend are assumed to have the same mix of classes as this balancer's own.
        """
        used_capacity = backend.utilization * backend.capacity
        observed = used_capacity / backend.reported_connections
        self.capacity_per_connection += (observed - self.capacity_per_connection) * CAPACITY_LEARNING_RATE
        peer_connections = max(0.0, backend.reported_connections - backend.connections)
        peers_per_own = peer_connections / (sum(self.class_connections) or 1.0)
        connections = [
            backend.connections_by_class.get(number, 0) + peers_per_own * own
            for number, own in enumerate(self.class_connections)
        ]
        expected = sum(count * load for count, load in zip(connections, self.class_loads, strict=True))
        expected += GROUP_COST * len(backend.connections_by_group)
        error = used_capacity / self.capacity_per_connection - expected
        step = CLASS_LOAD_LEARNING_RATE * error / (1.0 + sum(count * count for count in connections))
        self.class_loads = [
            min(MAX_CLASS_LOAD, max(MIN_CLASS_LOAD, load + step * count))
            for count, load in zip(connections, self.class_loads, strict=True)
        ]

    def on_slow_message(self, backend: Backend, message_ms: float, now: float) -> None:
        """Raise the utilization to the value that this message latency implies, without waiting for a report."""
        late = exp(-self.message_latency_objective_ms / max(message_ms, 1.0))
        utilization = HALF_LATE_UTILIZATION * (late / max(1.0 - late, 1e-9)) ** (1.0 / LATENESS_EXPONENT)
        if utilization > backend.utilization:
            backend.utilization = utilization
            _drop_reported_changes(backend, now)

    def utilization(self, backend: Backend) -> float:
        """Return the estimated utilization of a backend, including the changes since its last report."""
        reported = backend.utilization if backend.utilization >= 0.0 else UNREPORTED_UTILIZATION
        return max(0.0, reported + sum(added for _, added in backend.changes_since_report))

    def on_time_fraction(self, utilization: float) -> float:
        """Return the fraction of messages that meet their latency objective at this utilization."""
        odds: float = (utilization / HALF_LATE_UTILIZATION) ** LATENESS_EXPONENT  # of being late
        return 1.0 / (1.0 + odds)

    def on_time_decline(self, utilization: float) -> float:
        """Return the decline of the on-time fraction per unit of added utilization.

        Beyond HALF_LATE_UTILIZATION the decline stays at its maximum, since queued work makes an overload worse over
        time.
        """
        relative = min(utilization / HALF_LATE_UTILIZATION, 1.0)
        odds: float = relative**LATENESS_EXPONENT
        return LATENESS_EXPONENT * odds / max(relative, 1e-3) / HALF_LATE_UTILIZATION / (1.0 + odds) ** 2


def _add_count(counts: dict[int, int], key: int, change: int) -> None:
    counts[key] = counts.get(key, 0) + change
    if counts[key] <= 0:
        del counts[key]


def _drop_reported_changes(backend: Backend, now: float) -> None:
    """Remove the changes that a report received at `now` already includes."""
    oldest = now - REPORT_LAG_MS
    backend.changes_since_report = [(at, added) for at, added in backend.changes_since_report if at > oldest]
