"""The settings of a balancer, as the deployment gives them.

All times are milliseconds, all loads are milliseconds of standard-core work for each second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Idempotency(IntEnum):
    """Whether a request may be retried after an attempt that may have run."""

    IDEMPOTENT = 0  # always
    KEYED = 1  # it has an idempotency key: within a window, at backends that then drop the repeat
    NON_IDEMPOTENT = 2  # never


class DeduplicationScope(IntEnum):
    """Which backends drop the repeats of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What a class of requests is entitled to, and whether it may be retried."""

    setup_latency_objective_ms: float  # from the arrival until the connection is established
    deadline_ms: float  # how long its clients wait for an answer
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = (
        0.0  # with a key: how long repeats are dropped, from the first attempt that may have run
    )
    priority_weight: float = 1.0  # of a connection whose messages meet their objective
    message_latency_objective_ms: float = 0.0  # 0: none


@dataclass(slots=True, frozen=True)
class Tenant:
    """The quota of a tenant, over all balancers."""

    quota_per_s: float = 0.0  # requests a second
    quota_connections: float = 0.0  # established connections
    share: float = 0.0


# Settings that must be finite and not negative.
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
SLOW_MESSAGE_DIVISOR = 3.0  # of the shortest latency objective: above the quotient messages are reported


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one balancer; prices are fractions of a connection's priority weight.

    Raises ValueError where a value is out of range. The decisions do not use `tenants`, `over_quota_priority_weight`,
    `drain_grace_ms`, `connect_timeout_ms`, `conn_idle_ms`, `can_gossip`, `move_price` and `probe_price`.
    """

    classes: tuple[RequestClass, ...]
    zone: int = 0  # of this balancer, below `zones`
    zones: int = 1
    number: int = 0  # of this balancer, from 0
    balancers: int = 1  # in the fleet, this one included
    tenants: tuple[Tenant, ...] = ()
    over_quota_priority_weight: float = 1.0
    polls_discovery: bool = False  # the endpoint list is updated only by polls
    poll_interval_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0  # how late an answer may be
    initial_capacity_fraction: float = 1.0  # of its capacity, that a backend has when it starts
    warmup_ms: float = 0.0  # from a backend's start until it has its full capacity
    overload_multiple: float = 1.0  # of a warming backend's capacity: more connections in a window overload it
    overload_window_ms: float = 1_000.0
    connect_timeout_ms: float = 250.0
    conn_idle_ms: float = 30_000.0  # connections that are unused for so long are closed
    tick_ms: float = 1.0  # precision of timers
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0  # the longest wait that rejected clients heed
    clients_heed_retry_after: bool = False  # rejected clients heed a Retry-After
    may_cancel: bool = False  # attempts may be cancelled
    may_probe: bool = False  # backends answer health checks
    can_gossip: bool = False
    cross_zone_price: float = 0.0
    move_price: float = 0.0
    probe_price: float = 0.0
    backend_reports_load: bool = True  # `LoadChanged` is received as the load of connections changes
    backend_reports_latency: bool = True  # `SlowMessageObserved` is received while messages are slow
    capacity_excludes_load: bool = False  # capacities in the endpoint list are lowered by the present load
    groups_share_work: bool = False  # a backend does the common work of a group's connections once
    load_report_fields: tuple[str, ...] = ()  # of a health check's answer; empty: it has no load report
    slow_message_ms: float = field(init=False, repr=False, compare=False)  # messages above it are reported
    uses_own_load: bool = False  # own load counts too: latency is reported late, or not by every backend

    def __post_init__(self) -> None:
        self._check()
        objectives = (c.message_latency_objective_ms for c in self.classes if c.message_latency_objective_ms > 0.0)
        object.__setattr__(self, "slow_message_ms", min(objectives, default=0.0) / SLOW_MESSAGE_DIVISOR)

    def _check(self) -> None:
        """Raise ValueError where a value is out of range."""
        _require(len(self.classes) > 0, "no request class")
        _require(self.balancers >= 1, "balancers must be at least 1")
        _require(self.number >= 0, "own number must not be negative")
        _require(self.zones >= 1 and 0 <= self.zone < self.zones, "own zone is not among the zones")
        _require(self.max_attempts >= 1, "max_attempts must be at least 1")
        _require(0.0 < self.initial_capacity_fraction <= 1.0, "initial_capacity_fraction must be above 0 and at most 1")
        _require(self.overload_multiple > 0.0, "overload_multiple must be above 0")
        _require(self.tick_ms > 0.0, "tick_ms must be above 0")
        for name in _NON_NEGATIVE:
            _require(0.0 <= getattr(self, name) < float("inf"), f"{name} is out of range")
        for cls in self.classes:
            _require(0.0 < cls.deadline_ms < float("inf"), "a class's deadline must be above 0")
            _require(
                0.0 < cls.setup_latency_objective_ms < float("inf"), "a class's setup latency objective must be above 0"
            )
            _require(0.0 <= cls.idempotency_window_ms < float("inf"), "a class's idempotency window is out of range")


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ValueError(f"settings: {message}")
