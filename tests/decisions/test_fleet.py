"""Large fleets: many balancers that each use a backend seldom; classification of loads and latencies."""

from __future__ import annotations

from random import Random

from tests.helpers import end, open_one, sends, settings
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import Endpoint, EndpointList, EndpointState, ListKind, RequestReceived
from yarrowspindle.decisions.settings import RequestClass
from yarrowspindle.routing import events as routing_events
from yarrowspindle.routing.events import (
    BackendAccepted,
    BackendConnected,
    EndpointsUpdated,
    TimerFired,
    UnclassifiedReport,
)
from yarrowspindle.routing.load_reports import Kind, LoadReportClassifier
from yarrowspindle.routing.reducer import PULSE, Reducer

RELAYS = 40
STATUS = (RequestClass(setup_latency_objective_ms=800.0, deadline_ms=4800.0, message_latency_objective_ms=150.0),)


def by_own_load(number: int = 0, **changes: object) -> Balancer:
    values: dict[str, object] = dict(
        classes=STATUS,
        number=number,
        balancers=RELAYS,
        zones=3,
        zone=number % 3,
        cross_zone_price=0.1,
        initial_capacity_fraction=0.31,
        warmup_ms=9000.0,
        overload_multiple=3.0,
        overload_window_ms=1500.0,
        uses_own_load=True,
        retry_after=True,
        max_retry_after_ms=2000.0,
    )
    return Balancer(settings(**(values | changes)), number + 1, 0.0)


def test_forty_balancers_use_the_slow_start_budget_where_most_backends_are_replaced() -> None:
    """With more than eight balancers a warming backend must still be drawn, outside of a balancer's subset too."""
    old = [Endpoint(n, zone=n % 3, capacity=4.0) for n in range(1, 25)]
    new = [Endpoint(n, zone=n % 3, capacity=4.0, started_ms=30_000.0) for n in range(25, 61)]
    fed = 0
    in_window = dict.fromkeys(range(25, 61), 0)
    for number in range(RELAYS):
        b = by_own_load(number)
        b.handle(0.0, EndpointList(ListKind.CACHED, old))
        for n in range(1, 30):  # one a second comes and ends
            end(b, 1000.0 * n, n, open_one(b, 1000.0 * n, n, load=40.0))
        b.handle(30_000.0, EndpointList(ListKind.DELTA, new))
        for n in range(100, 104):
            for send in sends(b.handle(30_000.0 + 300.0 * (n - 100), RequestReceived(n, left_ms=4800.0, load=40.0))):
                if send.backend > 24:
                    fed += 1
                    in_window[send.backend] += 1
    assert fed >= 40  # of 160; a budget in whole connections for each backend would allow two
    # 160 connections in 1.5 s are the fair share of 60 backends of 100 connections each, filled over 9 s.
    assert max(in_window.values()) <= 3.0 * 0.31 * 100.0 * 1.5 / 9.0


def test_a_message_latency_is_not_classified_as_a_load() -> None:
    """A backend with a message latency of 134 ms must not be taken for one with hardly any load."""
    figures = LoadReportClassifier(50.0)
    assert figures.told(0.0, 1, 28_489.8, lambda request: True) is Kind.LOAD
    assert figures.told(2000.0, 1, 134.0, lambda request: True) is Kind.OPEN
    assert figures.told(2050.0, 1, 28_214.0, lambda request: True) is Kind.LOAD
    assert figures.told(3004.0, 1, 185.0, lambda request: True) is Kind.TIME
    assert figures.told(3400.0, 2, 900.0, lambda request: True) is Kind.LOAD  # small, outside of the interval
    assert figures.told(4004.0, 2, 210.0, lambda request: request != 1) is Kind.TIME  # its connection ended
    assert figures.told(5010.0, 2, 18.9, lambda request: True) is Kind.TIME  # over
    assert figures.told(6010.0, 2, 18.9, lambda request: True) is Kind.LOAD


def test_a_small_load_stays_a_load() -> None:
    figures = LoadReportClassifier(50.0)
    assert figures.told(0.0, 1, 976.8, lambda request: True) is Kind.OPEN
    assert figures.settle(900.0) is None
    assert figures.settle(1200.0) == (1, 976.8)
    assert figures.settle(1300.0) is None


def test_random_loads_on_many_connections_are_hardly_ever_classified_as_latencies() -> None:
    random, figures, times, loads = Random(5), LoadReportClassifier(50.0), 0, 0
    now = 0.0
    for _ in range(20_000):
        now += random.expovariate(1.0 / 140.0)  # seven changes a second on seventy connections
        kind = figures.told(now, random.randrange(70), 15_000.0 * random.lognormvariate(0.0, 1.4), lambda request: True)
        times, loads = times + (kind is Kind.TIME), loads + (kind is not Kind.TIME)
        figures.settle(now)
    assert times <= loads / 500


def test_the_reducer_reports_slow_messages_to_the_balancer_and_keeps_the_load() -> None:
    reducer = Reducer(settings(classes=STATUS), 1, 0.0)
    reducer.step(
        0.0, EndpointsUpdated(ListKind.FULL, [routing_events.Endpoint("a", ("10.0.0.1", 1), EndpointState.READY)], 1)
    )
    reducer.step(0.0, routing_events.RequestReceived(1, 4800.0))
    reducer.step(1.0, BackendConnected(1, 0))
    reducer.step(2.0, BackendAccepted(1, 0))
    for now, figure in ((10.0, 40_000.0), (2000.0, 134.0), (3000.0, 185.0)):
        reducer.step(now, UnclassifiedReport(1, figure))
    (backend,) = reducer.balancer.backends.values()
    assert reducer.requests[1].load == 40.0 and backend.load == 40.0
    assert backend.slow_until > 3000.0 and backend.message_latency_ms == 185.0
    reducer.step(4000.0, UnclassifiedReport(1, 20.0))
    assert backend.slow_until < 4000.0
    reducer.step(9000.0, UnclassifiedReport(1, 700.0))  # a load that is small
    for now in (9250.0, 10_100.0):
        reducer.step(now, TimerFired(PULSE))
    assert reducer.requests[1].load == 0.7
