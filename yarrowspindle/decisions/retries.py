"""Whether, when and where another attempt of a request may be made."""

from __future__ import annotations

from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency, Settings
from yarrowspindle.decisions.weighted_ring import WeightedRing

RETRIES_PER_CONNECTION = 0.2  # immediate retries earned by each established connection: a fifth more load at most
MAX_SAVED_RETRIES = 2.0
FIRST_BACKOFF_EXPONENT = 3  # the backoff is the latency objective at the third attempt, and doubles with each


class RetryBudget:
    """Immediate retries that are available; without one a retry waits, since a shared dependency may have failed."""

    def __init__(self) -> None:
        self.available = MAX_SAVED_RETRIES

    def on_established(self) -> None:
        """Earn a part of a retry for a connection that was established."""
        self.available = min(self.available + RETRIES_PER_CONNECTION, MAX_SAVED_RETRIES)

    def spend(self, free: bool) -> bool:
        """Return whether a retry may go out at once. free: the last attempt was never sent, so it costs nothing."""
        if free:
            return True
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


def backoff_ms(setup_latency_objective_ms: float, attempts: int, draw: float) -> float:
    """Return how long a retry without budget waits: it doubles with each attempt, times 0.5 to 1.5 by the draw."""
    return setup_latency_objective_ms * 2.0 ** (attempts - FIRST_BACKOFF_EXPONENT) * (0.5 + draw)


def retry_window_ms(request: Request, settings: Settings, now: float) -> float:
    """Return for how many milliseconds another attempt may begin, so that backends recognise it as a repeat."""
    cls = settings.classes[request.cls]
    may_have_run_at = request.may_have_run_at if request.may_have_run_on is not None else None
    margin_ms = settings.tick_ms + settings.answer_slack_ms
    return gate.retry_window_ms(cls.idempotency, may_have_run_at, cls.idempotency_window_ms, margin_ms, now)


def attempt_rejection(request: Request, settings: Settings, now: float) -> RejectionReason | None:
    """Return why there may be no further attempt at any backend; None where there may."""
    max_attempts = min(request.max_attempts, settings.max_attempts)
    rejection = gate.attempt_rejection(request.attempts, max_attempts, now, request.deadline)
    if rejection or request.may_have_run_on is None:
        return rejection
    return gate.retry_rejection(settings.classes[request.cls].idempotency, retry_window_ms(request, settings, now))


def deduplication_ring(
    request: Request, settings: Settings, now: float, fleet: WeightedRing[Backend]
) -> WeightedRing[Backend] | None:
    """Return the backends that recognise another attempt as a repeat; None where it may go to any.

    The ring is empty where the idempotency window has ended or the class is `NON_IDEMPOTENT`.
    """
    cls, ran_on = settings.classes[request.cls], request.may_have_run_on
    if ran_on is None or cls.idempotency is Idempotency.IDEMPOTENT:
        return None
    ring = WeightedRing[Backend]()
    if retry_window_ms(request, settings, now) <= 0.0:
        return ring
    for backend in fleet.members:
        if _shares_deduplication(backend, ran_on, cls.deduplication_scope):
            ring.add(backend)
    return ring


def _shares_deduplication(backend: Backend, ran_on: Backend, scope: DeduplicationScope) -> bool:
    if scope is DeduplicationScope.ALL:
        return True
    if scope is DeduplicationScope.ZONE:
        return backend.zone == ran_on.zone
    return backend.cell == ran_on.cell


def max_wait_ms(request: Request, settings: Settings, until: float, now: float) -> float:
    """Return how long the request may still wait before its next attempt has to begin, at most to `until`."""
    remaining_ms = min(request.deadline - settings.tick_ms, until) - now
    return min(remaining_ms, retry_window_ms(request, settings, now))
