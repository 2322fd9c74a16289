"""Retries: budget, backoff, idempotency."""

from __future__ import annotations

from math import inf

from tests.helpers import balancer, end_attempt, place, settings, started_attempts
from yarrowspindle.decisions.actions import (
    FailRequest,
    SetTimer,
)
from yarrowspindle.decisions.events import (
    DeadlineReached,
    Outcome,
    RequestReceived,
    SettingsChanged,
    TimerFired,
)
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.retries import RetryBudget, backoff_ms
from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency, RequestClass


def test_retries_have_a_budget_and_then_a_backoff() -> None:
    """Each attempt calls dependencies that backends share, so that retries must be limited while one is slow."""
    b = balancer(8, max_attempts=6)
    at_once, waits = 0, []
    for n in range(1, 5):
        backend = place(b, 1.0, n)
        assert backend is not None
        for action in end_attempt(b, 1.0, n, backend, Outcome.ERROR, finished=False):
            at_once += bool(started_attempts([action]))
            if isinstance(action, SetTimer):
                waits.append(action)
    assert at_once == 2 and len(waits) == 2
    assert started_attempts(b.handle(1.0 + waits[0].delay_ms, TimerFired(waits[0].token)))


def test_a_failed_connect_is_retried_at_once_regardless_of_the_budget() -> None:
    b = balancer(8, max_attempts=6)
    for n in range(1, 30):
        backend = place(b, 1.0, n)
        assert backend is not None
        assert started_attempts(end_attempt(b, 1.0, n, backend, Outcome.CONNECT_FAILED, finished=False))


def test_a_request_keeps_the_number_of_attempts_that_it_was_admitted_with() -> None:
    b = balancer(2, max_attempts=1)
    (send,) = started_attempts(b.handle(1.0, RequestReceived(1, left_ms=2000.0)))
    b.handle(2.0, SettingsChanged(settings(max_attempts=4)))
    assert started_attempts(end_attempt(b, 3.0, 1, send.backend, Outcome.REJECTED, finished=False)) == []
    b.handle(4.0, RequestReceived(2, left_ms=2000.0))
    b.handle(5.0, SettingsChanged(settings(max_attempts=1)))
    assert started_attempts(end_attempt(b, 6.0, 2, b.requests[2].backend.id, Outcome.REJECTED, finished=False)) == []  # type: ignore[union-attr]


def test_a_retry_begins_within_its_idempotency_window_and_a_request_that_may_have_run_fails() -> None:
    keyed = RequestClass(
        setup_latency_objective_ms=500.0,
        deadline_ms=2000.0,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        idempotency_window_ms=400.0,
    )
    b = balancer(2, classes=(keyed,), answer_slack_ms=8.0, tick_ms=2.0)
    (first,) = started_attempts(b.handle(10.0, RequestReceived(1, left_ms=2000.0)))
    assert first.begin_ms == inf
    (retry,) = started_attempts(end_attempt(b, 110.0, 1, first.backend, Outcome.RESET, finished=False))
    assert retry.begin_ms == 400.0 - 100.0 - 10.0
    b.lifecycle.retries.available = 0.0
    assert started_attempts(end_attempt(b, 120.0, 1, retry.backend, Outcome.RESET, attempt=1, finished=False)) == []
    assert (
        b.handle(130.0, DeadlineReached(1)) == [FailRequest(1, RejectionReason.DEADLINE_EXCEEDED)]
        and b.handle(131.0, DeadlineReached(1)) == []
    )


def test_the_budget_allows_saved_retries_and_a_fifth_of_the_connections() -> None:
    budget = RetryBudget()
    assert [budget.spend(free=False) for _ in range(3)] == [True, True, False]
    assert budget.spend(free=True)
    for _ in range(6):
        budget.on_established()
    assert [budget.spend(free=False) for _ in range(2)] == [True, False]


def test_the_backoff_doubles_with_each_attempt_and_has_jitter() -> None:
    assert [backoff_ms(800.0, attempts, 0.5) for attempts in (1, 2, 3, 4)] == [200.0, 400.0, 800.0, 1600.0]
    assert (backoff_ms(800.0, 3, 0.0), backoff_ms(800.0, 3, 1.0)) == (400.0, 1200.0)
