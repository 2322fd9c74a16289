"""Load reports: the load of a connection and the latency of a message arrive in the same format."""

from __future__ import annotations

from random import Random

from tests.helpers import settings
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.settings import RequestClass
from yarrowspindle.routing.events import (
    BackendAccepted,
    BackendConnected,
    Endpoint,
    EndpointsUpdated,
    RequestReceived,
    TimerFired,
    UnclassifiedReport,
)
from yarrowspindle.routing.load_reports import LoadReportClassifier, ReportedLoad, ReportKind
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.timers import LIVENESS_TIMER

CLASSES = (RequestClass(setup_latency_objective_ms=800.0, deadline_ms=4800.0, message_latency_objective_ms=150.0),)


def test_a_message_latency_is_not_classified_as_a_load() -> None:
    """Guard against taking a message latency of 134 ms for a tiny load, which would attract more connections."""
    classifier = LoadReportClassifier(50.0)
    assert classifier.classify(0.0, 1, 28_489.8, lambda request_id: True) is ReportKind.LOAD
    assert classifier.classify(2000.0, 1, 134.0, lambda request_id: True) is ReportKind.UNDECIDED
    assert classifier.classify(2050.0, 1, 28_214.0, lambda request_id: True) is ReportKind.LOAD
    assert classifier.classify(3004.0, 1, 185.0, lambda request_id: True) is ReportKind.LATENCY
    # A small load outside the period of the latency reports.
    assert classifier.classify(3400.0, 2, 900.0, lambda request_id: True) is ReportKind.LOAD
    # The series continues on another connection, since its previous connection has ended.
    assert classifier.classify(4004.0, 2, 210.0, lambda request_id: request_id != 1) is ReportKind.LATENCY
    assert classifier.classify(5010.0, 2, 18.9, lambda request_id: True) is ReportKind.LATENCY  # ends the series
    assert classifier.classify(6010.0, 2, 18.9, lambda request_id: True) is ReportKind.LOAD


def test_a_small_load_is_classified_as_a_load_once_no_second_report_follows() -> None:
    classifier = LoadReportClassifier(50.0)
    assert classifier.classify(0.0, 1, 976.8, lambda request_id: True) is ReportKind.UNDECIDED
    assert classifier.take_resolved_load(900.0) is None
    assert classifier.take_resolved_load(1200.0) == ReportedLoad(1, 976.8)
    assert classifier.take_resolved_load(1300.0) is None


def test_random_loads_on_many_connections_are_hardly_ever_classified_as_latencies() -> None:
    random, classifier, latencies, loads = Random(5), LoadReportClassifier(50.0), 0, 0
    now = 0.0
    for _ in range(20_000):
        now += random.expovariate(1.0 / 140.0)  # 7 load changes per second on 70 connections
        kind = classifier.classify(
            now, random.randrange(70), 15_000.0 * random.lognormvariate(0.0, 1.4), lambda request_id: True
        )
        latencies, loads = latencies + (kind is ReportKind.LATENCY), loads + (kind is not ReportKind.LATENCY)
        classifier.take_resolved_load(now)
    assert latencies <= loads / 500


def test_the_reducer_reports_long_messages_to_the_balancer_and_keeps_the_load() -> None:
    reducer = Reducer(settings(classes=CLASSES), 1, 0.0)
    reducer.step(0.0, EndpointsUpdated(ListKind.FULL, [Endpoint("a", ("10.0.0.1", 1), EndpointState.READY)], 1))
    reducer.step(0.0, RequestReceived(1, 4800.0))
    reducer.step(1.0, BackendConnected(1, 0))
    reducer.step(2.0, BackendAccepted(1, 0))
    for now, value in ((10.0, 40_000.0), (2000.0, 134.0), (3000.0, 185.0)):
        reducer.step(now, UnclassifiedReport(1, value))
    (backend,) = reducer.balancer.backends.values()
    assert reducer.requests[1].load == 40.0 and backend.load == 40.0
    assert backend.slow_until > 3000.0 and backend.message_latency_ms == 185.0
    reducer.step(4000.0, UnclassifiedReport(1, 20.0))
    assert backend.slow_until < 4000.0
    reducer.step(9000.0, UnclassifiedReport(1, 700.0))  # a small load
    for now in (9250.0, 10_100.0):
        reducer.step(now, TimerFired(LIVENESS_TIMER))
    assert reducer.requests[1].load == 0.7
