"""Whether and where a request may be tried again: what may have run, within which window, at which servers."""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.backends import Backend, Request
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import DeduplicationScope, RequestClass, Settings
from yarrowspindle.decisions.weighted_ring import WeightedRing

RETRY_FRACTION = 0.2  # other attempts allowed at once for each connection set up: retries add a fifth at most
MAX_SPARE = 2.0  # and saved up for later


class RetryBudget:
    """Other attempts that may go out at once; without one they wait, since what many servers share has failed."""

    def __init__(self) -> None:
        self.spare = MAX_SPARE

    def earn(self) -> None:
        """A connection was set up."""
        self.spare = min(self.spare + RETRY_FRACTION, MAX_SPARE)

    def spend(self, free: bool) -> bool:
        """Whether another attempt may go out at once. free: the last one was never sent, so this one costs nothing."""
        if free:
            return True
        if self.spare < 1.0:
            return False
        self.spare -= 1.0
        return True


def repeat_within(request: Request, settings: Settings, now: float) -> float:
    """Milliseconds within which a further attempt has to begin, so that it is known as a repeat where it arrives."""
    cls = settings.classes[request.cls]
    ran_at = request.ran_at if request.ran_on is not None else None
    return gate.repeat_within(
        cls.idempotency, ran_at, cls.idempotency_window_ms, settings.tick_ms + settings.answer_slack_ms, now
    )


def may_attempt(request: Request, settings: Settings, now: float) -> RejectionReason | None:
    """One more attempt of the request, wherever."""
    made = gate.may_attempt(request.attempts, min(request.most, settings.max_attempts), now, request.deadline)
    if made or request.ran_on is None:
        return made
    return gate.may_repeat(settings.classes[request.cls].idempotency, repeat_within(request, settings, now))


def repeat_group(
    request: Request, ran_on: Backend, cls: RequestClass, within_ms: float, pool: list[Backend]
) -> WeightedRing[Backend]:
    """The servers that drop a repeat of a request which may have run on `ran_on`."""
    ring = WeightedRing[Backend]()
    for backend in pool if within_ms > 0.0 else ():
        same_zone, same_cell = backend.zone == ran_on.zone, backend.cell == ran_on.cell
        if cls.deduplication_scope is DeduplicationScope.ALL or (
            same_zone if cls.deduplication_scope is DeduplicationScope.ZONE else same_cell
        ):
            ring.put(backend)
    return ring


def least_wait(request: Request, settings: Settings, until: float, now: float) -> float:
    """How long the request may still wait before its next attempt has to begin; `until` bounds it too."""
    left = min(request.deadline - settings.tick_ms, until) - now
    return min(left, repeat_within(request, settings, now), inf)
