"""Builders that the tests share."""

from __future__ import annotations

from typing import Any

from yarrowspindle.decisions.actions import Action, StartAttempt
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    AttemptEnded,
    ConnectionEstablished,
    Endpoint,
    EndpointList,
    ListKind,
    Outcome,
    RequestReceived,
)
from yarrowspindle.decisions.settings import RequestClass, Settings

SAFE = RequestClass(setup_latency_objective_ms=500.0, deadline_ms=2000.0)


def settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {"classes": (SAFE,), "max_attempts": 4, "may_cancel": True}
    values.update(changes)
    return Settings(**values)


def full_list(*entries: Endpoint, kind: ListKind = ListKind.FULL) -> EndpointList:
    return EndpointList(kind, list(entries))


def balancer(backends: int = 4, seed: int = 1, **changes: Any) -> Balancer:
    b = Balancer(settings(**changes), seed, 0.0)
    b.handle(0.0, full_list(*(Endpoint(i + 1) for i in range(backends)), kind=ListKind.CACHED))
    return b


def sends(actions: list[Action]) -> list[StartAttempt]:
    return [a for a in actions if isinstance(a, StartAttempt)]


def open_one(b: Balancer, now: float, request: int, load: float = 0.0, tenant: int = 0) -> int:
    """Place a request and establish it; return its backend."""
    (send,) = sends(b.handle(now, RequestReceived(request, left_ms=2000.0, load=load, tenant=tenant)))
    b.handle(now, ConnectionEstablished(request, 0, send.backend))
    return send.backend


def end(
    b: Balancer,
    now: float,
    request: int,
    backend: int,
    outcome: Outcome = Outcome.OK,
    attempt: int = 0,
    finished: bool = True,
) -> list[Action]:
    return b.handle(now, AttemptEnded(request, attempt, backend, outcome, finished))
