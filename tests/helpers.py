"""Small builders shared by the tests."""

from __future__ import annotations

from typing import Any

from yarrowspindle.decisions.actions import Action, Send
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    AttemptEnded,
    Established,
    ListKind,
    Outcome,
    Request,
    ServerEntry,
    ServerList,
)
from yarrowspindle.decisions.settings import RequestClass, Settings

SAFE = RequestClass(aim_ms=500.0, deadline_ms=2000.0)


def settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {"classes": (SAFE,), "max_attempts": 4, "may_cancel": True}
    values.update(changes)
    return Settings(**values)


def full_list(*entries: ServerEntry, kind: ListKind = ListKind.FULL) -> ServerList:
    return ServerList(kind, list(entries))


def balancer(servers: int = 4, seed: int = 1, **changes: Any) -> Balancer:
    b = Balancer(settings(**changes), seed, 0.0)
    b.handle(0.0, full_list(*(ServerEntry(i + 1) for i in range(servers)), kind=ListKind.CACHED))
    return b


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def open_one(b: Balancer, now: float, request: int, load: float = 0.0, tenant: int = 0) -> int:
    """Place one request and establish it; the server it went to."""
    (send,) = sends(b.handle(now, Request(request, left_ms=2000.0, load=load, tenant=tenant)))
    b.handle(now, Established(request, 0, send.server))
    return send.server


def end(
    b: Balancer,
    now: float,
    request: int,
    server: int,
    outcome: Outcome = Outcome.OK,
    attempt: int = 0,
    finished: bool = True,
) -> list[Action]:
    return b.handle(now, AttemptEnded(request, attempt, server, outcome, finished))
