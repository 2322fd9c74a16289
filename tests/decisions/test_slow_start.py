"""Slow start: warming backends receive requests up to their budget."""

from __future__ import annotations

import pytest

from tests.helpers import balancer, end_attempt, establish_request, full_list, place, settings, started_attempts
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    ConnectionEstablished,
    Endpoint,
    EndpointList,
    ListKind,
    Outcome,
    RequestReceived,
)


def test_warming_backends_of_other_zones_get_requests_if_no_latency_is_reported() -> None:
    """Otherwise new backends in a zone without a relay would get no requests until they have warmed up."""
    b = Balancer(
        settings(
            zones=2,
            cross_zone_price=0.1,
            backend_reports_latency=False,
            warmup_ms=9000.0,
            initial_capacity_fraction=0.3,
            overload_multiple=3.0,
            overload_window_ms=1500.0,
        ),
        3,
        0.0,
    )
    b.handle(0.0, full_list(Endpoint(1), Endpoint(2, zone=1)))
    for n in range(1, 60):
        end_attempt(b, 100.0 * n, n, establish_request(b, 100.0 * n, n, load=50.0))
    b.handle(6000.0, EndpointList(ListKind.DELTA, [Endpoint(2, zone=1, started_ms=6000.0)]))
    assert 2 in [place(b, 6001.0 + n, n, load=50.0) for n in range(100, 130)]


@pytest.mark.parametrize("balancers", [1, 10, 20, 30, 200])
def test_a_warming_backend_gets_no_more_than_its_budget_even_alone_and_in_a_burst(balancers: int) -> None:
    """Guard the budget under stress: all other backends busy, no connections yet, many clients that reconnect."""
    warmup_ms, initial, multiple, window = 20_000.0, 0.2, 3.0, 2_000.0
    sent: list[tuple[float, float]] = []
    steady_rate = 1.0 / 40.0  # connections per millisecond that the fleet of 8 backends completes
    for number in range(balancers):
        b = balancer(
            8,
            seed=number,
            balancers=balancers,
            number=number,
            warmup_ms=warmup_ms,
            initial_capacity_fraction=initial,
            overload_multiple=multiple,
            overload_window_ms=window,
            max_attempts=3,
        )
        gap, request, now = balancers / steady_rate, 0, 0.0
        while now < 3 * warmup_ms:  # learns the steady rate
            request, now = request + 1, now + gap
            (send,) = started_attempts(b.handle(now, RequestReceived(request, left_ms=2000.0, load=1.0)))
            b.handle(now, ConnectionEstablished(request, 0, send.backend))
            end_attempt(b, now, request, send.backend)
        start = now
        b.handle(now, EndpointList(ListKind.DELTA, [Endpoint(1, started_ms=start)]))
        while now < start + warmup_ms / 2:  # a burst of twenty times the steady rate that no backend accepts
            request, now = request + 1, now + gap / 20.0
            for send in started_attempts(b.handle(now, RequestReceived(request, left_ms=100.0, load=1.0))):
                if send.backend == 1:
                    sent.append((now - start, 1.0))
                b.handle(now, ConnectionEstablished(request, 0, send.backend))
                end_attempt(b, now, request, send.backend, Outcome.RESET)
    for step in range(10):
        low, high = step * window / 2, step * window / 2 + window
        capacity = (initial + (1 - initial) * low / warmup_ms) * steady_rate / 8 * window
        count = sum(load for at, load in sent if low <= at < high)
        assert count <= multiple * capacity + 2.0 * (multiple * capacity) ** 0.5 + 2.0, (
            low,
            count,
            multiple * capacity,
        )


def test_a_fleet_of_warming_backends_only_stays_within_its_budget() -> None:
    b = balancer(
        0, warmup_ms=20_000.0, initial_capacity_fraction=0.1, overload_multiple=3.0, overload_window_ms=1_000.0
    )
    b.handle(1.0, EndpointList(ListKind.FULL, [Endpoint(i, started_ms=1.0) for i in (1, 2, 3)]))
    assert sum(len(started_attempts(b.handle(2.0, RequestReceived(n, left_ms=1000.0)))) for n in range(50)) <= 3


def test_the_first_backend_to_return_in_a_failed_zone_is_not_overloaded_by_its_balancers() -> None:
    """Incident i6f1d78: after a zone failed, all of its balancers sent to the first backend that returned."""
    count = 0
    for number in range(40):
        b = balancer(
            0,
            seed=number,
            balancers=40,
            number=number,
            zones=2,
            cross_zone_price=0.1,
            warmup_ms=9e3,
            initial_capacity_fraction=0.3,
            overload_multiple=3.0,
            overload_window_ms=1000.0,
        )
        fleet = [Endpoint(i + 1, zone=i % 2) for i in range(20)]
        b.handle(0.0, EndpointList(ListKind.FULL, fleet))
        for n in range(60):  # about one connection per second completes at each balancer
            (send,) = started_attempts(b.handle(1000.0 * n, RequestReceived(n, left_ms=2000.0, load=1.0)))
            end_attempt(b, 1000.0 * n, n, send.backend)
        b.handle(60_000.0, EndpointList(ListKind.FULL, [e for e in fleet if e.zone == 1]))
        b.handle(70_000.0, EndpointList(ListKind.DELTA, [Endpoint(1, zone=0, started_ms=70_000.0)]))
        for n in range(100, 110):
            count += sum(
                s.backend == 1
                for s in started_attempts(b.handle(70_100.0, RequestReceived(n, left_ms=2000.0, load=1.0)))
            )
    # The fleet completes 40 connections per second on 20 backends: 2 at a warm one, 0.6 at a newly started one.
    assert count <= 3 * 0.6 + 3 * (3 * 0.6) ** 0.5
