"""Retries: whether a request gets another attempt, after what delay, and at which backends."""

from __future__ import annotations

from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency, Settings
from yarrowspindle.decisions.weighted_ring import WeightedRing

RETRIES_PER_CONNECTION = 0.2  # added to the budget per established connection: retries add at most a fifth of the load
MAX_SAVED_RETRIES = 2.0
FIRST_BACKOFF_EXPONENT = 3  # after this many attempts the backoff equals the latency objective


class RetryBudget:
    """Budget of immediate retries.

    A retry without budget waits for a backoff, since the failed attempt may be due to a dependency that all backends
    share, which immediate retries would overload further.
    """

    def __init__(self) -> None:
        self.available = MAX_SAVED_RETRIES

    def on_established(self) -> None:
        """Add RETRIES_PER_CONNECTION to the budget for an established connection."""
        self.available = min(self.available + RETRIES_PER_CONNECTION, MAX_SAVED_RETRIES)

    def spend(self, free: bool) -> bool:
        """Return whether a retry may start at once, and charge the budget for it.

        free: the previous attempt never reached a backend, so that the retry is not charged.
        """
        if free:
            return True
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


def backoff_ms(setup_latency_objective_ms: float, attempts: int, draw: float) -> float:
    """Return the delay of a retry without budget, in milliseconds.

    It doubles with each attempt; `draw` (in 0 to 1) scales it by 0.5 to 1.5 as jitter.
    """
    return setup_latency_objective_ms * 2.0 ** (attempts - FIRST_BACKOFF_EXPONENT) * (0.5 + draw)


def retry_window_ms(request: Request, settings: Settings, now: float) -> float:
    """Return for how many milliseconds from now an attempt may begin that backends still recognise as a repeat."""
    cls = settings.classes[request.cls]
    may_have_run_at = request.may_have_run_at if request.may_have_run_on is not None else None
    margin_ms = settings.tick_ms + settings.answer_slack_ms
    return gate.retry_window_ms(cls.idempotency, may_have_run_at, cls.idempotency_window_ms, margin_ms, now)


def attempt_rejection(request: Request, settings: Settings, now: float) -> RejectionReason | None:
    """Return why the request gets no further attempt at any backend, or None if it may get one."""
    max_attempts = min(request.max_attempts, settings.max_attempts)
    rejection = gate.attempt_rejection(request.attempts, max_attempts, now, request.deadline)
    if rejection or request.may_have_run_on is None:
        return rejection
    return gate.retry_rejection(settings.classes[request.cls].idempotency, retry_window_ms(request, settings, now))


def deduplication_ring(
    request: Request, settings: Settings, now: float, fleet: WeightedRing[Backend]
) -> WeightedRing[Backend] | None:
    """Return the backends that recognise another attempt as a repeat, or None if it may go to any backend.

    The ring is empty if the idempotency window has expired or the class is `NON_IDEMPOTENT`.
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
    """Return how many milliseconds the request may wait until its next attempt has to begin, at most until `until`."""
    remaining_ms = min(request.deadline - settings.tick_ms, until) - now
    return min(remaining_ms, retry_window_ms(request, settings, now))
