"""Admission: immediate rejection of requests that would miss their objective."""

from __future__ import annotations

import pytest

from tests.helpers import WITH_MESSAGE_OBJECTIVE, balancer, end_attempt, establish_request, full_list, place, settings
from yarrowspindle.decisions.actions import RejectRequest
from yarrowspindle.decisions.admission import (
    SETUP_SAMPLES,
    SetupLatencyAverage,
    SlowBackendFractions,
    retry_after_ms,
    shedding_probability,
)
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    ConnectionEstablished,
    Endpoint,
    Outcome,
    RequestReceived,
    SlowMessageObserved,
)


def test_a_request_that_would_miss_its_objective_everywhere_is_rejected_at_once_with_spread_waits() -> None:
    b = balancer(1, classes=WITH_MESSAGE_OBJECTIVE, clients_heed_retry_after=True, max_retry_after_ms=1000.0)
    backend = establish_request(b, 0.0, 1)
    b.handle(1.0, SlowMessageObserved(1, backend, 500.0))
    answers = [a for n in range(2, 12) for a in b.handle(2.0, RequestReceived(n, left_ms=2000.0))]
    waits = [a.retry_after_ms for a in answers if isinstance(a, RejectRequest)]
    assert len(waits) == 10 and len(set(waits)) == 10 and min(waits) >= 500.0 and max(waits) <= 1000.0


def test_slow_backends_of_the_local_zone_do_not_count_for_another_zone() -> None:
    """An overloaded local zone must not cause rejections of requests for other zones."""
    b = Balancer(settings(classes=WITH_MESSAGE_OBJECTIVE, zones=2, cross_zone_price=0.1), 3, 0.0)
    b.handle(0.0, full_list(Endpoint(1), Endpoint(2, zone=1), Endpoint(3, zone=1)))
    assert establish_request(b, 0.0, 1) == 1
    b.handle(1.0, SlowMessageObserved(1, 1, 80.0))
    placed = [place(b, 2.0, n) for n in range(2, 30)]
    assert placed.count(None) == 0 and set(placed) & {2, 3}


def test_requests_are_shed_while_setups_take_all_of_their_objective() -> None:
    """Incident i82a5ad: setups queued at a slow dependency until their clients disconnected."""
    b = balancer(8, max_attempts=1)
    for n in range(1, 40):
        if (backend := place(b, 1.0, n)) is not None:
            end_attempt(b, 1.0, n, backend, Outcome.TIMEOUT, finished=False)
    assert 1 <= sum(place(b, 2.0, n) is not None for n in range(100, 200)) <= 30
    for n in range(200, 300):  # setups that succeed in time end the shedding
        if (backend := place(b, 3.0, n)) is not None:
            b.handle(3.0, ConnectionEstablished(n, 0, backend, latency_ms=20.0))
    assert all(place(b, 4.0, n) is not None for n in range(300, 320))


@pytest.mark.parametrize(("setup_fraction", "shed"), [(0.0, 0.0), (0.5, 0.0), (0.6, 0.2), (0.9, 0.8), (1.0, 0.9)])
def test_shedding_begins_at_half_of_the_setup_objective(setup_fraction: float, shed: float) -> None:
    assert shedding_probability(setup_fraction) == pytest.approx(shed)


def test_the_setup_average_counts_a_failure_as_all_of_the_objective() -> None:
    average, failed = SetupLatencyAverage(), SetupLatencyAverage()
    average.record(5000.0, 500.0)
    failed.record_failure()
    assert average.fraction == failed.fraction == 1.0 / SETUP_SAMPLES
    average.record(0.0, 500.0)
    assert average.fraction < failed.fraction


def test_the_fraction_of_slow_backends_is_of_those_observed_in_the_zone() -> None:
    observed = {number: Backend(number) for number in range(1, 5)}
    for backend in observed.values():
        backend.ready, backend.connections, backend.zone = True, 1, backend.id % 2
    observed[1].slow_until = 500.0
    observed[2].connections = 0  # neither slow nor with connections
    fractions = SlowBackendFractions(50.0, 0.0)
    assert [fractions.in_zone(zone, observed, 100.0) for zone in (0, 1, 2)] == [0.0, 0.5, 0.0]
    assert 2 not in observed
    assert fractions.in_zone(1, observed, 149.0) == 0.5, "the fractions are not due for an update yet"
    assert fractions.in_zone(1, observed, 600.0) == 0.0


def test_retry_after_is_spread_over_the_second_half_of_the_longest_wait() -> None:
    heeded = settings(clients_heed_retry_after=True, max_retry_after_ms=1000.0)
    assert [retry_after_ms(heeded, draw) for draw in (0.0, 0.5, 1.0)] == [500.0, 750.0, 1000.0]
    assert retry_after_ms(settings(max_retry_after_ms=1000.0), 0.5) == 0.0


def test_each_rejection_as_overloaded_is_counted_under_the_rule_that_made_it() -> None:
    b = balancer(1, classes=WITH_MESSAGE_OBJECTIVE, clients_heed_retry_after=True, max_retry_after_ms=1000.0)
    backend = establish_request(b, 0.0, 1)
    assert not b.overload_rejections
    b.handle(1.0, SlowMessageObserved(1, backend, 500.0))
    b.handle(2.0, RequestReceived(2, left_ms=2000.0))
    assert b.overload_rejections == {"message_latency": 1}
    b = balancer(1, classes=WITH_MESSAGE_OBJECTIVE)
    objective_ms = WITH_MESSAGE_OBJECTIVE[0].setup_latency_objective_ms
    for _ in range(50):
        b.admission.setup_latency.record(objective_ms, objective_ms)
    for n in range(1, 51):
        b.handle(1.0, RequestReceived(n, left_ms=2000.0))
    assert b.overload_rejections.keys() == {"setup_latency"}
