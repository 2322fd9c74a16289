"""Helpers for tests of the balancer: they build settings and endpoint lists, and feed it the events of a request."""

from __future__ import annotations

from typing import Any

from yarrowspindle.decisions.actions import Action, SetTimer, StartAttempt
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

IDEMPOTENT = RequestClass(setup_latency_objective_ms=500.0, deadline_ms=2000.0)
WITH_MESSAGE_OBJECTIVE = (RequestClass(500.0, 2000.0, message_latency_objective_ms=90.0),)


def settings(**changes: Any) -> Settings:
    """Return settings with one idempotent request class; `changes` replace fields of `Settings`."""
    values: dict[str, Any] = {"classes": (IDEMPOTENT,), "max_attempts": 4, "may_cancel": True}
    values.update(changes)
    return Settings(**values)


def full_list(*entries: Endpoint, kind: ListKind = ListKind.FULL) -> EndpointList:
    """Return an endpoint list of these entries, by default a full one."""
    return EndpointList(kind, list(entries))


def balancer(backends: int = 4, seed: int = 1, **changes: Any) -> Balancer:
    """Return a balancer that has a cached list of this many ready backends, numbered from 1."""
    b = Balancer(settings(**changes), seed, 0.0)
    b.handle(0.0, full_list(*(Endpoint(i + 1) for i in range(backends)), kind=ListKind.CACHED))
    return b


def started_attempts(actions: list[Action]) -> list[StartAttempt]:
    """Return the attempts that the actions start."""
    return [a for a in actions if isinstance(a, StartAttempt)]


def establish_request(b: Balancer, now: float, request: int, load: float = 0.0, tenant: int = 0) -> int:
    """Place a request, establish its connection, and return its backend."""
    (attempt,) = started_attempts(b.handle(now, RequestReceived(request, left_ms=2000.0, load=load, tenant=tenant)))
    b.handle(now, ConnectionEstablished(request, 0, attempt.backend))
    return attempt.backend


def end_attempt(
    b: Balancer,
    now: float,
    request: int,
    backend: int,
    outcome: Outcome = Outcome.OK,
    attempt: int = 0,
    finished: bool = True,
) -> list[Action]:
    """Report the end of an attempt, and return the resulting actions."""
    return b.handle(now, AttemptEnded(request, attempt, backend, outcome, finished))


def place(b: Balancer, now: float, request: int, load: float = 1.0, deadline_ms: float = 2000.0) -> int | None:
    """Send the balancer a request, and return the backend of its attempt, or None if it is rejected or queued."""
    attempts = started_attempts(b.handle(now, RequestReceived(request, left_ms=deadline_ms, load=load)))
    return attempts[0].backend if attempts else None


def timers(actions: list[Action]) -> list[SetTimer]:
    """Return the timers that the actions set."""
    return [a for a in actions if isinstance(a, SetTimer)]
