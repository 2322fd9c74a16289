"""Model of a backend: capacity, warm-up, crash on overload while cold, cost of groups, connection set-up time."""

from __future__ import annotations

from collections import deque
from math import log
from typing import Any

from yarrowspindle.decisions.events import EndpointState

# Messages begin to miss their objective above this utilization; at full load this fraction of them misses it.
QUEUEING_UTILIZATION, FULL_LOAD_LOSS = 0.75, 0.1
HANGING_UTILIZATION = 9.0  # utilization in the load report of a hanging backend
OVERLOAD_EXPONENT = 2.0  # above full load, the served fraction falls with this power of load over capacity


class ModelBackend:
    """A backend and the connections established to it. Loads are in milliseconds of work per second.

    Args:
        name: name in the endpoint list.
        zone: number of its zone.
        size: capacity in the endpoint list, in units of 1000 ms of work per second.
        power: actual capacity when warm, in the same unit.
        warmup_ms: time after a start in which the capacity rises linearly to its full value.
        initial_capacity_fraction: fraction of the capacity that is available directly after a start.
        overload_multiple: load over capacity above which a cold backend crashes.
        overload_window_ms: window over which recent set-ups are summed for this comparison.
        group_load: load that each group adds once, however many of its connections are established.
        setup_work_ms: work of one connection set-up.
        max_connections: number of connections at which new ones are rejected.
    """

    def __init__(
        self,
        name: str,
        zone: int,
        size: float,
        power: float,
        *,
        warmup_ms: float,
        initial_capacity_fraction: float,
        overload_multiple: float,
        overload_window_ms: float,
        group_load: float,
        setup_work_ms: float,
        max_connections: int,
    ) -> None:
        self.name, self.zone, self.size, self.power = name, zone, size, power
        self.warmup_ms, self.initial_capacity_fraction = warmup_ms, initial_capacity_fraction
        self.overload_multiple, self.overload_window_ms = overload_multiple, overload_window_ms
        self.group_load, self.setup_work_ms, self.max_connections = group_load, setup_work_ms, max_connections
        self.state, self.alive, self.crashed = EndpointState.READY, True, False
        self.started_at = 0.0
        self.load = 0.0
        self.connections: dict[Any, tuple[float, int]] = {}  # load and group of each established connection
        self.priority_weights: dict[Any, float] = {}
        self.groups: dict[int, int] = {}  # number of established connections of each group
        # Set-ups within the overload window: time, work in ms, load of the connection; and the sums of the latter two.
        self.recent_setups: deque[tuple[float, float, float]] = deque()
        self.recent_work_ms = self.recent_load = 0.0
        self.overload_ratio_peak = 0.0
        self.total_priority_weight = 0.0  # sum over the established connections
        self.accepted_connections = 0  # total since the start of the run
        self.slowdown = 1.0  # factor by which the backend is slower than normal
        # Hanging: accepts connections and answers nothing. Unreachable: gone from the network, without closing them.
        self.hanging = self.unreachable = False
        self.paused_until = 0.0
        self.load_report: tuple[float, ...] = ()  # number of connections and utilization at the last refresh

    def capacity_fraction(self, now: float) -> float:
        """Return the available fraction of the capacity: 1 once the backend is warm."""
        if self.started_at <= 0.0 or now >= self.started_at + self.warmup_ms:
            return 1.0
        return (
            self.initial_capacity_fraction
            + (1.0 - self.initial_capacity_fraction) * max(0.0, now - self.started_at) / self.warmup_ms
        )

    def capacity(self, now: float) -> float:
        """Return the load that the backend can serve now."""
        return self.power * 1000.0 * self.capacity_fraction(now) / self.slowdown

    @property
    def answers(self) -> bool:
        """Whether the backend answers the requests that it receives."""
        return self.alive and not self.hanging and not self.unreachable

    def refresh_load_report(self, now: float) -> None:
        """Set the load report that health checks return until the next refresh."""
        self.load_report = (
            float(len(self.connections)),
            HANGING_UTILIZATION if self.hanging else self.load / self.capacity(now),
        )

    def live_weight(self, cores_per_backend: float) -> float:
        """Return the weight in a discovery with live weights: the size, lowered by the number of connections."""
        return self.size / (1.0 + len(self.connections) / cores_per_backend)

    def message_latency_ms(self, now: float, objective_ms: float) -> float:
        """Return the mean latency of messages, assuming the exponential distribution of a single queue."""
        return objective_ms / -log(max(1e-9, min(1.0 - self.served_fraction(now), 1.0 - 1e-9)))

    def utilization(self) -> float:
        """Return the load divided by the capacity in the endpoint list."""
        return self.load / (self.size * 1000.0)

    def served_fraction(self, now: float) -> float:
        """Return the fraction of messages that are answered within their latency objective."""
        if not self.answers:
            return 0.0
        load_ratio = self.load / self.capacity(now)
        if load_ratio > 1.0:
            return float((1.0 - FULL_LOAD_LOSS) * load_ratio**-OVERLOAD_EXPONENT)
        return 1.0 - FULL_LOAD_LOSS * (max(0.0, load_ratio - QUEUEING_UTILIZATION) / (1.0 - QUEUEING_UTILIZATION)) ** 2

    def setup_time_ms(self, now: float) -> float:
        """Return the time that a connection set-up takes now, including the rest of a pause."""
        load_ratio = min(self.load / self.capacity(now), 0.95)
        pause_ms = max(0.0, self.paused_until - now)
        return pause_ms + self.setup_work_ms * self.slowdown / (self.power * self.capacity_fraction(now)) / (
            1.0 - load_ratio
        )

    def accept(
        self, now: float, connection: Any, load: float, group: int, priority_weight: float = 1.0, mean_load: float = 0.0
    ) -> bool:
        """Accept a new connection, unless the backend is down, draining or full.

        A cold backend may crash under the set-up. The overload rule counts the mean load of the connection's class, if
        it is known, because it limits the rate of new connections and must not depend on one heavy connection.

        Returns:
            Whether the connection is established. If not, the caller checks whether the backend crashed.
        """
        if not self.alive or self.state is EndpointState.DRAINING or len(self.connections) >= self.max_connections:
            return False
        self._record_setup(now, mean_load or load)
        if not self.alive:
            return False
        self.accepted_connections += 1
        self.connections[connection] = (load, group)
        self.priority_weights[connection] = priority_weight
        self.total_priority_weight += priority_weight
        self.load += load
        if group:
            group_connections = self.groups.get(group, 0)
            self.groups[group] = group_connections + 1
            self.load += 0.0 if group_connections else self.group_load
        return True

    def _record_setup(self, now: float, load: float) -> None:
        """Record a connection set-up; mark a cold backend as crashed if its overload multiple is exceeded."""
        self.recent_setups.append((now, self.setup_work_ms, load))
        self.recent_work_ms += self.setup_work_ms
        self.recent_load += load
        while self.recent_setups[0][0] < now - self.overload_window_ms:
            _, setup_work_ms, setup_load = self.recent_setups.popleft()
            self.recent_work_ms -= setup_work_ms
            self.recent_load -= setup_load
        capacity_fraction = self.capacity_fraction(now)
        if capacity_fraction >= 1.0:
            return
        # The larger of two ratios counts: work per second over the current capacity, and the rate of new load over the
        # rate that would use up the current capacity within the warm-up time.
        work_ratio = (self.recent_work_ms / self.overload_window_ms * 1000.0 + self.load) / (
            self.power * 1000.0 * capacity_fraction
        )
        load_ratio = (self.recent_load / self.overload_window_ms) / (
            self.power * 1000.0 * capacity_fraction / self.warmup_ms
        )
        ratio = max(work_ratio, load_ratio)
        self.overload_ratio_peak = max(self.overload_ratio_peak, ratio)
        if ratio > self.overload_multiple:
            self.alive, self.crashed = False, True

    def change_load(self, connection: Any, load: float) -> None:
        """Set the load of an established connection."""
        previous_load, group = self.connections[connection]
        self.connections[connection] = (load, group)
        self.load += load - previous_load

    def release(self, connection: Any) -> None:
        """Remove a connection, if it is established."""
        removed = self.connections.pop(connection, None)
        if removed is None:
            return
        load, group = removed
        self.total_priority_weight -= self.priority_weights.pop(connection, 0.0)
        self.load -= load
        if group:
            self.groups[group] -= 1
            if not self.groups[group]:
                del self.groups[group]
                self.load -= self.group_load
        if not self.connections:
            self.load = self.total_priority_weight = 0.0

    def drop_connections(self) -> None:
        """Remove all connections."""
        self.connections.clear()
        self.priority_weights.clear()
        self.groups.clear()
        self.load = self.total_priority_weight = 0.0

    def restart(self, now: float) -> None:
        """Start again cold, ready and without connections or faults."""
        self.alive, self.crashed, self.state, self.started_at = True, False, EndpointState.READY, now
        self.hanging = self.unreachable = False
        self.slowdown, self.load_report = 1.0, ()
        self.drop_connections()
        self.recent_setups.clear()
        self.recent_work_ms = self.recent_load = 0.0
