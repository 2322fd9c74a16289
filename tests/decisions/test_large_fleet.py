"""Slow start in a large fleet, in which each of many balancers seldom sends to a given backend."""

from __future__ import annotations

from tests.helpers import end_attempt, establish_request, settings, started_attempts
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import Endpoint, EndpointList, ListKind, RequestReceived
from yarrowspindle.decisions.settings import RequestClass

BALANCERS = 40
CLASSES = (RequestClass(setup_latency_objective_ms=800.0, deadline_ms=4800.0, message_latency_objective_ms=150.0),)


def own_load_balancer(number: int = 0, **changes: object) -> Balancer:
    values: dict[str, object] = {
        "classes": CLASSES,
        "number": number,
        "balancers": BALANCERS,
        "zones": 3,
        "zone": number % 3,
        "cross_zone_price": 0.1,
        "initial_capacity_fraction": 0.31,
        "warmup_ms": 9000.0,
        "overload_multiple": 3.0,
        "overload_window_ms": 1500.0,
        "uses_own_load": True,
        "clients_heed_retry_after": True,
        "max_retry_after_ms": 2000.0,
    }
    return Balancer(settings(**(values | changes)), number + 1, 0.0)


def test_forty_balancers_use_the_slow_start_budget_where_most_backends_are_replaced() -> None:
    """With more than eight balancers, warming backends outside of a balancer's subset must be drawn too."""
    old = [Endpoint(n, zone=n % 3, capacity=4.0) for n in range(1, 25)]
    new = [Endpoint(n, zone=n % 3, capacity=4.0, started_ms=30_000.0) for n in range(25, 61)]
    placed_on_new = 0
    connections_by_backend = dict.fromkeys(range(25, 61), 0)
    for number in range(BALANCERS):
        b = own_load_balancer(number)
        b.handle(0.0, EndpointList(ListKind.CACHED, old))
        for n in range(1, 30):  # one connection per second is opened and closed
            end_attempt(b, 1000.0 * n, n, establish_request(b, 1000.0 * n, n, load=40.0))
        b.handle(30_000.0, EndpointList(ListKind.DELTA, new))
        for n in range(100, 104):
            for send in started_attempts(
                b.handle(30_000.0 + 300.0 * (n - 100), RequestReceived(n, left_ms=4800.0, load=40.0))
            ):
                if send.backend > 24:
                    placed_on_new += 1
                    connections_by_backend[send.backend] += 1
    assert placed_on_new >= 40  # of 160; a budget per backend in whole connections placed only two
    # 160 connections in 1.5 s correspond to 60 backends of 100 connections each that fill within 9 s.
    assert max(connections_by_backend.values()) <= 3.0 * 0.31 * 100.0 * 1.5 / 9.0
