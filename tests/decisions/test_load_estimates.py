"""Placement by reported load: estimates, costs and migrations for gain."""

from __future__ import annotations

import random
from typing import Any

import pytest

from tests.decisions.reporting_relay import REPORTING, Relay, established, warmed
from tests.helpers import end_attempt, establish_request, full_list, settings, started_attempts
from yarrowspindle.decisions.actions import RejectRequest
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    Endpoint,
    EndpointList,
    ExistingConnection,
    ListKind,
    Outcome,
    RequestReceived,
    SlowMessageObserved,
)
from yarrowspindle.decisions.load_estimates import LoadEstimates
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import RequestClass
from yarrowspindle.protocol.lines import LineError, parse_load_report
from yarrowspindle.routing import events as routing_events
from yarrowspindle.routing.events import BackendAccepted, BackendConnected, EndpointsUpdated, UnclassifiedReport
from yarrowspindle.routing.reducer import Reducer


def test_groups_are_placed_together_and_in_the_local_zone() -> None:
    def backends_paying(**changes: Any) -> float:
        r = warmed(backends=24, **changes)
        r.utilization.update(dict.fromkeys(r.utilization, 0.45))
        r.run(1500.0)
        order = [group for group in range(1, 5) for _ in range(6)]
        random.Random(4).shuffle(order)
        backends_by_group: dict[int, set[int]] = {}
        for group in order:
            backends_by_group.setdefault(group, set()).add(r.place(group=group))
        assert sum(backend % 2 for backends in backends_by_group.values() for backend in backends) <= 1, (
            "crossing zones has a price, and the local zone has capacity"
        )
        return sum(map(len, backends_by_group.values())) / len(backends_by_group)

    assert backends_paying() < 2.5
    assert backends_paying(groups_share_work=False) > 4.0


def test_the_draws_of_a_group_are_the_same_at_every_relay() -> None:
    first, second = warmed(seed=5), warmed(seed=9)
    assert [first.place(group=g) for g in range(1, 20)] == [second.place(group=g) for g in range(1, 20)]


def test_a_full_local_zone_is_left_and_the_class_of_lower_priority_is_rejected_first() -> None:
    r = warmed()
    for backend in (2, 4, 6):
        r.utilization[backend] = 0.95
    r.run(2000.0)
    assert sum(r.place() % 2 for _ in range(20)) >= 12
    r.utilization.update(dict.fromkeys(r.utilization, 0.75))
    r.run(2500.0)
    assert r.place(cls=1) == 0 and isinstance(r.handle(RequestReceived(999, 1, left_ms=1200.0))[-1], RejectRequest)
    assert r.place(cls=0) != 0, "its priority weight is ten times as high"


@pytest.mark.parametrize("reported", [9.0, None, 1.3])
def test_a_backend_that_hangs_vanishes_or_is_slow_is_ejected_and_emptied(reported: float | None) -> None:
    r = warmed()
    backend_by_request = {}
    for _ in range(20):
        backend = r.place(group=7)
        backend_by_request[r.requests] = backend
        r.handle(established(r.requests, backend))
    unresponsive = next(iter(backend_by_request.values()))
    r.utilization[unresponsive] = reported
    r.run(2500.0)
    affected = [n for n, backend in backend_by_request.items() if backend == unresponsive]
    assert len(set(r.migrations) & set(affected)) >= len(affected) // 3 and unresponsive not in {
        r.place() for _ in range(20)
    }
    assert (unresponsive in r.balancer.ejected(r.now)) == (reported is None or reported >= 9.0)


@pytest.mark.parametrize("backends", [2, 6])
def test_an_unresponsive_backend_gets_nothing_while_another_is_usable_for_any_draw(backends: int) -> None:
    """The estimated cost of such a backend may be below the priority weight, and all draws may fall on it."""
    for seed in range(60):
        r = Relay(backends=backends, seed=seed)
        r.utilization[2] = None  # from the start: it has never reported
        r.balancer.health_checks.credit = 100.0
        r.run(3000.0)
        assert r.balancer.backends[2].utilization >= 9.0
        assert 2 not in {r.place() for _ in range(24)}, f"seed {seed}"
        r.utilization = dict.fromkeys(r.utilization)
        r.balancer.health_checks.credit = 100.0
        r.run(3000.0)
        assert r.place() in (0, *r.utilization), "if no backend answers, none is better than another"


def test_slow_messages_count_before_the_load_report_does() -> None:
    r = warmed()
    backend = r.place(group=3)
    r.handle(established(r.requests, backend))
    r.handle(SlowMessageObserved(r.requests, backend, 20_000.0))
    assert backend not in {r.place() for _ in range(30)}


def test_existing_connections_are_migrated_to_the_local_zone_one_by_one_if_crossing_has_a_price() -> None:
    def migrations(price: float) -> list[int]:
        r = Relay(cross_zone_price=price)
        for n in range(1, 11):
            r.handle(ExistingConnection(1000 + n, 1, group=n % 2 + 1))
        r.run(4000.0)
        return r.migrations

    assert 4 <= len(migrations(0.16)) <= 8 and len(migrations(0.0)) <= 2


def test_a_capacity_that_excludes_load_is_not_the_size_of_a_backend() -> None:
    """Otherwise the local zone would appear short of capacity, and connections would cross zones."""
    r = warmed()
    entries = [Endpoint(n, zone=n % 2, capacity=0.2) for n in r.utilization]
    r.handle(EndpointList(ListKind.DELTA, entries))
    assert {s.capacity for s in r.balancer.backends.values()} == {2.0}
    nominal = Relay(capacity_excludes_load=False)
    nominal.handle(EndpointList(ListKind.DELTA, entries))
    assert {s.capacity for s in nominal.balancer.backends.values()} == {0.2}


def test_the_load_of_a_class_is_learned_from_reports() -> None:
    """One of two classes has four times the load of the other."""
    estimates, rng = LoadEstimates(settings(**REPORTING)), random.Random(3)
    backends = [Backend(n) for n in range(8)]
    true_loads = (0.5, 2.0)
    for backend in backends:
        backend.capacity, backend.ready = 2.0, True
    for step in range(1500):
        backend = rng.choice(backends)
        request = Request(step, rng.randrange(2), 1.0, 0.0, 1.0)
        change = (
            1
            if (backend.connections < 20 and rng.random() < 0.6) or not backend.connections_by_class.get(request.cls)
            else -1
        )
        backend.connections += change
        estimates.on_connection_change(backend, request, change, 0.0)
        load = sum(true_loads[c] * n for c, n in backend.connections_by_class.items())
        estimates.on_health_check(backend, float(step), (backend.connections, 0.05 * load / backend.capacity))
    assert 2.5 < estimates.class_loads[1] / estimates.class_loads[0] < 6.0
    assert sum(estimates.class_connections) == sum(s.connections for s in backends) and not estimates.backends_by_group


def test_counts_of_groups_are_dropped_when_their_connections_end() -> None:
    b = Balancer(settings(**REPORTING), 1, 0.0)
    b.handle(0.0, full_list(Endpoint(1), Endpoint(2)))
    for n in range(1, 40):
        b.handle(0.0, RequestReceived(n, 0, left_ms=4800.0, group=n % 5 + 1))
    assert b.estimates is not None and len(b.estimates.backends_by_group) == 5
    for n in range(1, 40):
        if n in b.requests and (backend := b.requests[n].backend) is not None:
            end_attempt(b, 1.0, n, backend.id)
    assert not b.estimates.backends_by_group and not any(
        s.connections_by_group or s.connections_by_class for s in b.backends.values()
    )


def test_a_retry_that_may_have_run_goes_only_to_backends_that_drop_repeats() -> None:
    from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency

    keyed = RequestClass(
        800.0, 4800.0, Idempotency.KEYED, DeduplicationScope.ZONE, 5000.0, message_latency_objective_ms=60.0
    )
    for seed in range(20):
        b = Balancer(settings(**(REPORTING | {"classes": (keyed,)})), seed, 0.0)
        b.handle(0.0, full_list(*(Endpoint(n, zone=n % 2) for n in range(1, 9))))
        establish_request(b, 0.0, 1)
        (send,) = started_attempts(b.handle(1.0, RequestReceived(2, left_ms=4800.0, group=9)))
        again = started_attempts(end_attempt(b, 2.0, 2, send.backend, Outcome.TIMEOUT, finished=False))
        assert not again or again[0].backend % 2 == send.backend % 2


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"PONG", ()),
        (b"PONG rif=9.5,x0=0.195", (9.5, 0.195)),
        (b"PONG x0=1,rif=2,q=3", (2.0, 1.0)),
        (b"PONG rif=1", ()),
    ],
)
def test_a_load_report_is_parsed(line: bytes, expected: tuple[float, ...]) -> None:
    assert parse_load_report(line, ("rif", "x0")) == expected


@pytest.mark.parametrize("line", [b"NO", b"ERR", b"", b"PONG x0=nan", b"PONG x0=-1", b"PONG x0", b"PONG \xff", b"UP 1"])
def test_an_invalid_load_report_is_an_error(line: bytes) -> None:
    with pytest.raises(LineError):
        parse_load_report(line, ("rif", "x0"))


def test_each_report_is_a_message_latency_if_backends_report_no_load() -> None:
    """Such a report must take effect at once, and must not count as a small load."""
    reducer = Reducer(settings(**(REPORTING | {"backend_reports_load": False})), 1, 0.0)
    reducer.step(0.0, EndpointsUpdated(ListKind.FULL, [routing_events.Endpoint("a", ("10.0.0.1", 1))], 1))
    reducer.step(0.0, routing_events.RequestReceived(1, 4800.0))
    reducer.step(1.0, BackendConnected(1, 0))
    reducer.step(2.0, BackendAccepted(1, 0))
    reducer.step(3.0, UnclassifiedReport(1, 483.0))
    (backend,) = reducer.balancer.backends.values()
    assert backend.message_latency_ms == 483.0 and backend.utilization > 1.0 and reducer.requests[1].load == 0.0
