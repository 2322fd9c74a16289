"""An execute node in the model: capacity, warm-up, fall-over, groups that cost once, set-ups that take time."""

from __future__ import annotations

from collections import deque
from math import log
from typing import Any

from yarrowspindle.decisions.events import EndpointState

QUEUEING_UTILIZATION, FULL_LOAD_LOSS = (
    0.75,
    0.1,
)  # from this load on messages begin to wait; at full load so many of them wait too long
HANGING_UTILIZATION = 9.0  # the use that a node reports while it answers nothing
OVERLOAD_EXPONENT = 2.0  # how fast the share of well-served messages falls once a node holds more than it can carry


class ModelBackend:
    """`size` is what the machine list tells; `power` what the node can really do, both in units of 1000 ms of work a
    second. Loads are milliseconds of work a second."""

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
        self.connections: dict[Any, tuple[float, int]] = {}  # connection -> its load and group
        self.priority_weights: dict[Any, float] = {}
        self.groups: dict[int, int] = {}
        self.recent_setups: deque[tuple[float, float, float]] = deque()  # set-ups of late: when, work, load brought
        self.recent_work_ms = self.recent_load = 0.0
        self.overload_ratio_peak = 0.0
        self.total_priority_weight = 0.0  # of what it holds
        self.accepted_connections = 0  # connections so far
        self.slowdown = 1.0  # how many times slower than usual
        self.hanging = self.unreachable = False  # takes all and answers nothing; has vanished from the network
        self.paused_until = 0.0
        self.load_report: tuple[float, ...] = ()  # connections held and use, as last refreshed

    def capacity_fraction(self, now: float) -> float:
        if self.started_at <= 0.0 or now >= self.started_at + self.warmup_ms:
            return 1.0
        return (
            self.initial_capacity_fraction
            + (1.0 - self.initial_capacity_fraction) * max(0.0, now - self.started_at) / self.warmup_ms
        )

    def capacity(self, now: float) -> float:
        return self.power * 1000.0 * self.capacity_fraction(now) / self.slowdown

    @property
    def answers(self) -> bool:
        return self.alive and not self.hanging and not self.unreachable

    def refresh_load_report(self, now: float) -> None:
        """The load report that probes bring from now on."""
        self.load_report = (
            float(len(self.connections)),
            HANGING_UTILIZATION if self.hanging else self.load / self.capacity(now),
        )

    def live_weight(self, cores_per_backend: float) -> float:
        """Its size, lowered by what it holds."""
        return self.size / (1.0 + len(self.connections) / cores_per_backend)

    def message_latency_ms(self, now: float, objective_ms: float) -> float:
        """What a message takes, were its time spread like that of a single queue."""
        return objective_ms / -log(max(1e-9, min(1.0 - self.served_fraction(now), 1.0 - 1e-9)))

    def utilization(self) -> float:
        """Load over the capacity that the list tells of."""
        return self.load / (self.size * 1000.0)

    def served_fraction(self, now: float) -> float:
        """The share of messages answered in time."""
        if not self.answers:
            return 0.0
        load_ratio = self.load / self.capacity(now)
        if load_ratio > 1.0:
            return float((1.0 - FULL_LOAD_LOSS) * load_ratio**-OVERLOAD_EXPONENT)
        return 1.0 - FULL_LOAD_LOSS * (max(0.0, load_ratio - QUEUEING_UTILIZATION) / (1.0 - QUEUEING_UTILIZATION)) ** 2

    def setup_time_ms(self, now: float) -> float:
        load_ratio = min(self.load / self.capacity(now), 0.95)
        pause_ms = max(0.0, self.paused_until - now)
        return pause_ms + self.setup_work_ms * self.slowdown / (self.power * self.capacity_fraction(now)) / (
            1.0 - load_ratio
        )

    def accept(
        self, now: float, connection: Any, load: float, group: int, priority_weight: float = 1.0, mean_load: float = 0.0
    ) -> bool:
        """A new connection, with its class's usual load if that is told. False where the node takes no more; it may
        fall over by it: the rule counts connections against the rate of them that fills it, not one's luck."""
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
        # Two measures, and the stricter one counts: the work asked for now against what it can do now, and new load
        # against what would fill it over its warm-up.
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
        previous_load, group = self.connections[connection]
        self.connections[connection] = (load, group)
        self.load += load - previous_load

    def release(self, connection: Any) -> None:
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
        """What it held is lost."""
        self.connections.clear()
        self.priority_weights.clear()
        self.groups.clear()
        self.load = self.total_priority_weight = 0.0

    def restart(self, now: float) -> None:
        self.alive, self.crashed, self.state, self.started_at = True, False, EndpointState.READY, now
        self.hanging = self.unreachable = False
        self.slowdown, self.load_report = 1.0, ()
        self.drop_connections()
        self.recent_setups.clear()
        self.recent_work_ms = self.recent_load = 0.0
