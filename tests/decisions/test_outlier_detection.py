"""Ejection of failing and overloaded backends."""

from __future__ import annotations

import pytest

from tests.helpers import WITH_MESSAGE_OBJECTIVE, balancer, end_attempt, establish_request, place, started_attempts
from yarrowspindle.decisions import outlier_detection
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import (
    ConnectionEstablished,
    Endpoint,
    EndpointList,
    ListKind,
    Outcome,
    RequestReceived,
    SlowMessageObserved,
)
from yarrowspindle.decisions.outlier_detection import RESETS_BEFORE_EJECTION


def test_a_failing_backend_is_ejected_and_tried_again_later() -> None:
    b = balancer(4, seed=2, warmup_ms=20_000.0)
    (send,) = started_attempts(b.handle(0.0, RequestReceived(1, left_ms=2000.0)))
    (retry,) = started_attempts(end_attempt(b, 1.0, 1, send.backend, Outcome.ERROR, finished=False))
    assert retry.backend != send.backend
    for n in range(2, 40):
        place(b, 2.0, n)
    while_ejected = b.backends[send.backend].connections
    assert while_ejected <= 1  # one would take all four draws to hit it
    for n in range(40, 200):
        place(b, 30_000.0, n)
    assert b.backends[send.backend].connections > while_ejected + 20


def test_a_backend_is_chosen_even_if_all_are_ejected() -> None:
    b = balancer(2, max_attempts=2)
    for n in range(1, 9):
        backend = place(b, 0.0, n)
        assert backend is not None
        for attempt in (0, 1):
            retry = started_attempts(end_attempt(b, 0.0, n, backend, Outcome.CONNECT_FAILED, attempt, finished=False))
            if retry:
                backend = retry[0].backend
    assert place(b, 1.0, 99) is not None


def test_a_restarted_backend_has_no_consecutive_failures() -> None:
    """Failures of the previous process must not eject the new one during its warm-up."""
    b = balancer(1, max_attempts=1)
    backend = place(b, 0.0, 1)
    assert backend is not None
    end_attempt(b, 1.0, 1, backend, Outcome.ERROR, finished=False)
    assert b.backends[backend].ejected_until > 1.0
    b.handle(2.0, EndpointList(ListKind.DELTA, [Endpoint(backend, started_ms=2.0)]))
    assert b.backends[backend].ejected_until < 2.0 and not b.backends[backend].consecutive_failures


@pytest.mark.parametrize(("interval_ms", "overloaded"), [(1.0, True), (1500.0, False)])
def test_connections_reset_together_show_that_their_backend_is_overloaded(interval_ms: float, overloaded: bool) -> None:
    """Incident iee6bba: a backend that sheds load resets many connections, while networks reset single ones."""
    b = balancer(2, seed=1, classes=WITH_MESSAGE_OBJECTIVE, backend_reports_latency=False)
    backends = {n: establish_request(b, 0.0, n) for n in range(1, 20)}
    for i, n in enumerate([n for n, s in backends.items() if s == 1][:RESETS_BEFORE_EJECTION]):
        end_attempt(b, 1.0 + i * interval_ms, n, 1, Outcome.RESET)
    now = 2.0 + RESETS_BEFORE_EJECTION * interval_ms
    assert (1 in {place(b, now, n) for n in range(20, 40)}) != overloaded


def test_a_restarted_backend_is_not_taken_to_be_overloaded() -> None:
    b = balancer(2, seed=1, classes=WITH_MESSAGE_OBJECTIVE)
    for n in [n for n in range(1, 20) if establish_request(b, 0.0, n) == 1]:
        end_attempt(b, 1.0, n, 1, Outcome.RESET)
    assert b.backends[1].slow_until > 2.0
    b.handle(2.0, EndpointList(ListKind.DELTA, [Endpoint(1, started_ms=2.0)]))
    assert b.backends[1].slow_until < 2.0


def test_an_established_connection_ends_the_ejection_of_its_backend() -> None:
    b = balancer(1, max_attempts=2)
    backend = place(b, 0.0, 1)
    assert backend is not None
    (retry,) = started_attempts(end_attempt(b, 1.0, 1, backend, Outcome.CONNECT_FAILED, finished=False))
    assert b.backends[backend].ejected_until > 1.0
    b.handle(2.0, ConnectionEstablished(1, 1, retry.backend))
    assert b.backends[backend].ejected_until < 2.0


def test_a_single_slow_message_does_not_end_placement_by_own_load() -> None:
    """A backend may report latency occasionally although the platform's protocol does not guarantee it."""
    b = balancer(3, seed=1, backend_reports_latency=False, classes=WITH_MESSAGE_OBJECTIVE)
    backends = {n: establish_request(b, 0.0, n, load=50.0) for n in range(1, 10)}
    b.handle(1.0, SlowMessageObserved(1, backends[1], 500.0))
    assert b.state.uses_own_load_only and b.backends[backends[1]].slow_until > 1.0


def test_an_ejection_lasts_for_the_deadline_with_jitter_and_doubles_once() -> None:
    backend = Backend(1)
    outlier_detection.eject(backend, 100.0, 2000.0, 0.0)
    assert backend.ejected_until == 100.0 + 1000.0
    for _ in range(4):
        outlier_detection.eject(backend, 100.0, 2000.0, 0.5)
        assert backend.ejected_until == 100.0 + 2 * 2000.0
    assert backend.consecutive_failures == 5
    for failures in (2, 1):
        outlier_detection.on_established(backend)
        assert backend.consecutive_failures == failures and backend.ejected_until > 0.0
    outlier_detection.on_established(backend)
    assert backend.consecutive_failures == 0 and backend.ejected_until < 0.0


@pytest.mark.parametrize("outcome", list(Outcome))
def test_the_end_of_an_attempt_counts_as_a_failure_or_not(outcome: Outcome) -> None:
    failed = outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT)
    assert outlier_detection.is_failure(outcome, established_reset=False, overload_reset=False) is failed
    for overloaded in (False, True):
        failure = outlier_detection.is_failure(Outcome.RESET, established_reset=True, overload_reset=overloaded)
        assert failure is overloaded


def test_resets_count_together_only_within_their_window() -> None:
    window_ms = outlier_detection.RESET_WINDOW_MS
    backend = Backend(1)
    together = [outlier_detection.is_overload_reset(backend, 10.0 * n, True) for n in range(RESETS_BEFORE_EJECTION)]
    assert together == [False] * (RESETS_BEFORE_EJECTION - 1) + [True]
    apart = [outlier_detection.is_overload_reset(backend, (n + 2) * (window_ms + 1.0), True) for n in range(5)]
    assert not any(apart)
    assert outlier_detection.is_overload_reset(Backend(2), 0.0, False), "one reset is enough if latency is reported"
