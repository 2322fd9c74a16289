"""A balancer whose backends report their load to health checks."""

from __future__ import annotations

from typing import Any

from tests.helpers import full_list, settings, started_attempts
from yarrowspindle.decisions.actions import Action, CheckHealth, MigrateConnection, SetTimer
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    ConnectionEstablished,
    Endpoint,
    HealthCheckCompleted,
    ListKind,
    Outcome,
    RequestReceived,
    TimerFired,
)
from yarrowspindle.decisions.settings import RequestClass

CLASSES = (
    RequestClass(800.0, 4800.0, priority_weight=3.0, message_latency_objective_ms=60.0),
    RequestClass(300.0, 1200.0, priority_weight=0.3, message_latency_objective_ms=50.0),
)
REPORTING: dict[str, Any] = {
    "classes": CLASSES,
    "may_probe": True,
    "load_report_fields": ("rif", "x0"),
    "zones": 2,
    "cross_zone_price": 0.16,
    "capacity_excludes_load": True,
    "groups_share_work": True,
    "clients_heed_retry_after": True,
    "max_retry_after_ms": 2000.0,
}


class Relay:
    """A balancer with its timers and backends in two zones.

    utilization: reported by each backend to health checks, by id; None: the backend does not answer.
    """

    def __init__(self, backends: int = 6, seed: int = 1, **changes: Any) -> None:
        self.now, self.requests = 0.0, 0
        self.balancer = Balancer(settings(**(REPORTING | changes)), seed, 0.0)
        self.utilization: dict[int, float | None] = dict.fromkeys(range(1, backends + 1), 0.3)
        self.checks: list[int] = []
        self.migrations: list[int] = []
        self.timers: list[tuple[float, int]] = []
        self.handle(full_list(*(Endpoint(n, zone=n % 2, capacity=2.0) for n in self.utilization), kind=ListKind.CACHED))

    def handle(self, event: Any) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, CheckHealth):
                self.checks.append(action.backend)
                utilization = self.utilization[action.backend]
                outcome = Outcome.OK if utilization is not None else Outcome.TIMEOUT
                self.handle(
                    HealthCheckCompleted(
                        action.backend, outcome, 1.0, () if utilization is None else (utilization * 33.0, utilization)
                    )
                )
            elif isinstance(action, MigrateConnection):
                self.migrations.append(action.request)
        return actions

    def run(self, ms: float) -> None:
        end = self.now + ms
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            self.now = due[0][0]
            self.handle(TimerFired(due[0][1]))
        self.now = end

    def place(self, cls: int = 0, group: int = 0) -> int:
        """Place a request; return its backend, or 0 if it is rejected."""
        self.requests += 1
        actions = self.handle(RequestReceived(self.requests, cls, left_ms=4800.0, group=group))
        return started_attempts(actions)[0].backend if started_attempts(actions) else 0


def warmed(**changes: Any) -> Relay:
    """Return a relay that has received a load report from every backend."""
    r = Relay(**changes)
    r.balancer.health_checks.credit = 100.0
    r.run(3000.0)
    assert set(r.checks) == set(r.utilization)
    r.migrations.clear()
    r.balancer.health_checks.credit = 100.0
    return r


def established(request: int, backend: int) -> ConnectionEstablished:
    """Return the event that attempt 0 of a request succeeded."""
    return ConnectionEstablished(request, 0, backend, 10.0)
