"""The settings of a balancer, as the deployment gives them.

All times are milliseconds, all loads are milliseconds of standard-core work asked for in each second. Nothing here
decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Idempotency(IntEnum):
    """What repeating a request may do."""

    IDEMPOTENT = 0  # may be repeated at will
    KEYED = 1  # repeats are dropped by the servers of one group, for a while
    NON_IDEMPOTENT = 2  # may be repeated only while no attempt can have run


class DeduplicationScope(IntEnum):
    """Which servers drop the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class RequestClass:
    setup_latency_objective_ms: float  # wanted set up within
    deadline_ms: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # keyed: how long repeats are dropped, from the first attempt that may have run
    priority_weight: float = 1.0
    message_latency_objective_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    quota_per_s: float = 0.0  # within-share requests a second, over all balancers
    quota_connections: float = 0.0  # within-share open connections, over all balancers
    share: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a balancer is told at its start.

    The policy does not act on `tenants`, `over_share_worth`, `drain_grace_ms` (it stops at once),
    `answer_slack_ms`, `connect_timeout_ms` and `may_tell` so far.
    """

    classes: tuple[RequestClass, ...]
    zone: int = 0
    zones: int = 1
    number: int = 0  # this balancer's own number, from 0
    balancers: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_priority_weight: float = 1.0
    polls_discovery: bool = False  # the server list comes only on asking
    poll_interval_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0
    initial_capacity_fraction: float = 1.0
    warmup_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 1_000.0
    connect_timeout_ms: float = 250.0
    conn_idle_ms: float = 30_000.0  # connections that are not used for so long are closed
    tick_ms: float = 1.0
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0
    retry_after: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    can_gossip: bool = False
    cross_zone_price: float = 0.0
    move_price: float = 0.0
    probe_price: float = 0.0
    backend_reports_load: bool = True  # `LoadChanged` comes as connections' loads change
    backend_reports_latency: bool = True  # `ServerSlow` comes while messages take long
    capacity_excludes_load: bool = False  # a capacity in the list is lowered by what the server holds, as some time ago
    groups_share_work: bool = (
        False  # connections of one group share work: each server that holds any of it pays for it once
    )
    load_report_fields: tuple[str, ...] = ()  # the fields of a load report; empty where probes bring none
    slow_message_ms: float = field(
        init=False, repr=False, compare=False
    )  # message times over it are told: a third of an aim
    uses_own_load: bool = False  # judge by own load too: word on long messages comes late, or not at every server

    def __post_init__(self) -> None:
        def need(ok: bool, what: str) -> None:
            if not ok:
                raise ValueError(f"settings: {what}")

        need(len(self.classes) > 0, "no request class")
        need(self.balancers >= 1, "balancers must be at least 1")
        need(0 <= self.number, "own number must not be negative")
        need(self.zones >= 1 and 0 <= self.zone < self.zones, "own zone is not among the zones")
        need(self.max_attempts >= 1, "max_attempts must be at least 1")
        need(0.0 < self.initial_capacity_fraction <= 1.0, "initial_capacity_fraction must be above 0 and at most 1")
        need(self.overload_multiple > 0.0, "overload_multiple must be above 0")
        need(self.tick_ms > 0.0, "tick_ms must be above 0")
        for name in (
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
        ):
            need(0.0 <= getattr(self, name) < float("inf"), f"{name} is out of range")
        for c in self.classes:
            need(0.0 < c.deadline_ms < float("inf"), "a class's deadline must be above 0")
            need(0.0 < c.setup_latency_objective_ms < float("inf"), "a class's setup latency objective must be above 0")
            need(0.0 <= c.idempotency_window_ms < float("inf"), "a class's idempotency window is out of range")
        shortest = min(
            (c.message_latency_objective_ms for c in self.classes if c.message_latency_objective_ms > 0.0), default=0.0
        )
        object.__setattr__(self, "slow_message_ms", shortest / 3.0)
