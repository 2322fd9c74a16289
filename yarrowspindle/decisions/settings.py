"""The settings of a balancer, as configured by the deployment.

All times are in milliseconds, all loads in milliseconds of standard-core work per second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Idempotency(IntEnum):
    """Whether a request may be retried after an attempt that may have run on a backend."""

    IDEMPOTENT = 0  # always
    KEYED = 1  # within a window, at backends that recognise its idempotency key and drop the repeat
    NON_IDEMPOTENT = 2  # never


class DeduplicationScope(IntEnum):
    """The backends that drop repeats of a request with an idempotency key, relative to that of its first attempt."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Latency objectives, deadline, priority and retry rules of a class of requests."""

    setup_latency_objective_ms: float  # from the arrival until the connection is established
    deadline_ms: float  # time for which clients wait for an answer
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # how long repeats are dropped after the first attempt that may have run
    priority_weight: float = 1.0  # value of a connection whose messages meet their objective
    message_latency_objective_ms: float = 0.0  # 0: no objective


@dataclass(slots=True, frozen=True)
class Tenant:
    """The quota of a tenant across all balancers."""

    quota_per_s: float = 0.0  # requests per second
    quota_connections: float = 0.0  # established connections
    share: float = 0.0


# Settings that must be finite and at least 0.
_NON_NEGATIVE = (
    "warmup_ms",
    "overload_window_ms",
    "drain_grace_ms",
    "answer_slack_ms",
    "poll_interval_ms",
    "connect_timeout_ms",
    "conn_idle_ms",
    "max_retry_after_ms",
    "cross_zone_price",
    "move_price",
    "probe_price",
    "over_quota_priority_weight",
)
MAX_STALL_MS = 150.0  # longest stall of its process that a relay must tolerate
SLOW_MESSAGE_DIVISOR = 3.0  # messages slower than the shortest latency objective divided by this are reported


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one balancer; prices are fractions of a connection's priority weight.

    The decisions do not use `tenants`, `over_quota_priority_weight`, `drain_grace_ms`, `connect_timeout_ms`,
    `conn_idle_ms`, `can_gossip`, `move_price` and `probe_price`.

    Raises:
        ValueError: a value is out of range.
    """

    classes: tuple[RequestClass, ...]
    zone: int = 0  # zone of this balancer, from 0 to `zones` - 1
    zones: int = 1
    number: int = 0  # number of this balancer, from 0
    balancers: int = 1  # number in the fleet, including this one
    tenants: tuple[Tenant, ...] = ()
    over_quota_priority_weight: float = 1.0
    polls_discovery: bool = False  # the endpoint list is polled, not pushed
    poll_interval_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0  # tolerated lateness of an answer
    initial_capacity_fraction: float = 1.0  # fraction of its full capacity that a backend has at its start
    warmup_ms: float = 0.0  # time from a backend's start until it has its full capacity
    overload_multiple: float = 1.0  # of a warming backend's capacity; more new connections in a window overload it
    overload_window_ms: float = 1_000.0
    connect_timeout_ms: float = 250.0
    conn_idle_ms: float = 30_000.0  # time after which an unused connection is closed
    tick_ms: float = 1.0  # resolution of timers
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0  # the longest wait that rejected clients heed
    clients_heed_retry_after: bool = False  # rejected clients wait for the Retry-After
    may_cancel: bool = False
    may_probe: bool = False  # backends answer health checks
    can_gossip: bool = False
    cross_zone_price: float = 0.0
    move_price: float = 0.0
    probe_price: float = 0.0
    backend_reports_load: bool = True  # `LoadChanged` is received as the load of connections changes
    backend_reports_latency: bool = True  # `SlowMessageObserved` is received while messages are slow
    capacity_excludes_load: bool = False  # capacities in the endpoint list are reduced by the present load
    groups_share_work: bool = False  # a backend does the common work of all connections of a group only once
    load_report_fields: tuple[str, ...] = ()  # fields of a health check's load report; empty: no load report
    slow_message_ms: float = field(init=False, repr=False, compare=False)  # slower messages are reported
    uses_own_load: bool = False  # use own load too: latency is reported late, or not by every backend

    def __post_init__(self) -> None:
        self._check()
        objectives = (c.message_latency_objective_ms for c in self.classes if c.message_latency_objective_ms > 0.0)
        object.__setattr__(self, "slow_message_ms", min(objectives, default=0.0) / SLOW_MESSAGE_DIVISOR)

    def _check(self) -> None:
        """Raise ValueError if a value is out of range."""
        _require(len(self.classes) > 0, "no request class is defined")
        _require(self.balancers >= 1, f"balancers must be at least 1, got {self.balancers}")
        _require(self.number >= 0, f"number must be at least 0, got {self.number}")
        _require(
            self.zones >= 1 and 0 <= self.zone < self.zones,
            f"zone must be at least 0 and below zones ({self.zones}), got {self.zone}",
        )
        _require(self.max_attempts >= 1, f"max_attempts must be at least 1, got {self.max_attempts}")
        _require(
            0.0 < self.initial_capacity_fraction <= 1.0,
            f"initial_capacity_fraction must be above 0 and at most 1, got {self.initial_capacity_fraction}",
        )
        _require(self.overload_multiple > 0.0, f"overload_multiple must be above 0, got {self.overload_multiple}")
        _require(self.tick_ms > 0.0, f"tick_ms must be above 0, got {self.tick_ms}")
        for name in _NON_NEGATIVE:
            _require(
                0.0 <= getattr(self, name) < float("inf"),
                f"{name} must be at least 0 and finite, got {getattr(self, name)}",
            )
        for cls in self.classes:
            _require(
                0.0 < cls.deadline_ms < float("inf"),
                f"a class's deadline_ms must be above 0 and finite: {cls.deadline_ms}",
            )
            _require(
                0.0 < cls.setup_latency_objective_ms < float("inf"),
                f"a class's setup_latency_objective_ms must be above 0 and finite: {cls.setup_latency_objective_ms}",
            )
            _require(
                0.0 <= cls.idempotency_window_ms < float("inf"),
                f"a class's idempotency_window_ms must be at least 0 and finite: {cls.idempotency_window_ms}",
            )


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ValueError(f"settings: {message}")
