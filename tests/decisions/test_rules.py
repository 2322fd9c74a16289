"""The four rules, over random legal event sequences (derandomised, so that every run is the same)."""

from __future__ import annotations

from math import inf

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.driver import Driver
from tests.helpers import balancer, end, sends, settings
from yarrowspindle.decisions.actions import Action, FailRequest, SetTimer, WatchEndpoints
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    ConnectionEstablished,
    DeadlineReached,
    Endpoint,
    EndpointList,
    EndpointState,
    ListKind,
    Outcome,
    RequestReceived,
    SettingsChanged,
    SlowMessageObserved,
    TimerFired,
)
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency, RequestClass

CLASSES = (
    RequestClass(500.0, 2000.0, Idempotency.IDEMPOTENT, message_latency_objective_ms=100.0),
    RequestClass(300.0, 1200.0, Idempotency.KEYED, DeduplicationScope.ALL, idempotency_window_ms=800.0),
    RequestClass(300.0, 1200.0, Idempotency.KEYED, DeduplicationScope.ZONE, idempotency_window_ms=800.0),
    RequestClass(300.0, 3000.0, Idempotency.KEYED, DeduplicationScope.CELL, idempotency_window_ms=5000.0),
    RequestClass(500.0, 2000.0, Idempotency.NON_IDEMPOTENT),
)
FAILURES = [o for o in Outcome if o is not Outcome.OK]
KINDS = ["request"] * 4 + ["establish", "end", "fail", "fail", "leave", "list", "slow", "wait", "wait"]
STEP = st.tuples(
    st.sampled_from(KINDS),
    st.integers(0, 2**16),
)


def entries(pick: int, now: float) -> list[Endpoint]:
    """Return a few backends in states, zones and ages that follow from one number."""
    out = []
    for i in range(6):
        state = (EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)[
            pick >> (2 * i) & 3
        ]
        started = now if (pick + i) % 5 == 0 else 0.0
        out.append(Endpoint(i + 1, i % 2, i % 3, state, 1.0 + i % 3, started))
    return out


def run(steps: list[tuple[str, int]], **changes: object) -> list[Action]:
    values: dict[str, object] = {
        "classes": CLASSES,
        "zones": 2,
        "max_attempts": 3,
        "may_cancel": True,
        "answer_slack_ms": 5.0,
        "warmup_ms": 5000.0,
        "initial_capacity_fraction": 0.2,
        "overload_multiple": 3.0,
        "retry_after": True,
        "max_retry_after_ms": 1000.0,
    }
    values.update(changes)
    d = Driver(settings(**values), seed=7)
    d.list(EndpointList(ListKind.CACHED, entries(0, d.now)))
    for what, pick in steps:
        waiting = [n for n, b in d.records.items() if b.in_flight and not b.established and not b.disconnected]
        running = [n for n, b in d.records.items() if b.in_flight and b.established]
        if what == "request":
            d.request(pick % len(CLASSES), (40.0, 400.0, 1200.0)[pick % 3], load=float(pick % 7))
        elif what == "establish" and waiting:
            d.establish(waiting[pick % len(waiting)])
        elif what == "end" and running:
            d.end(running[pick % len(running)], (Outcome.OK, Outcome.RESET, Outcome.CANCELLED)[pick % 3])
        elif what == "fail" and waiting:
            d.end(waiting[pick % len(waiting)], FAILURES[pick % len(FAILURES)])
        elif what == "leave" and waiting:
            d.leave(waiting[pick % len(waiting)])
        elif what == "slow" and running:
            number = running[pick % len(running)]
            d.handle(SlowMessageObserved(number, d.records[number].attempts[-1].backend, float(pick % 500)))
        elif what == "list":
            kind = (ListKind.DELTA, ListKind.FULL, ListKind.FAILED)[pick % 3]
            d.list(EndpointList(kind, entries(pick, d.now) if kind is not ListKind.FAILED else []))
        elif what == "wait":
            d.advance(float(pick % 400))
    d.advance(20_000.0)
    assert all(not record.answer_pending for record in d.records.values()), "every request has its answer"
    assert all(record.answered <= 1 for record in d.records.values())
    return d.log


@given(st.lists(STEP, max_size=60))
@hypothesis_settings(
    derandomize=True, max_examples=150, deadline=None, suppress_health_check=list(HealthCheck), database=None
)
def test_rules_hold_and_the_same_events_give_the_same_actions(steps: list[tuple[str, int]]) -> None:
    assert run(steps) == run(steps)


@given(st.lists(STEP, max_size=40))
@hypothesis_settings(
    derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck), database=None
)
def test_rules_hold_where_discovery_is_polled_and_crossing_zones_is_expensive(steps: list[tuple[str, int]]) -> None:
    run(steps, polls_discovery=True, cross_zone_price=0.1)


def test_a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    d.list(EndpointList(ListKind.FULL, [Endpoint(1), Endpoint(2)]))
    number = d.request(4, 2000.0)
    d.end(number, Outcome.ERROR)
    assert [type(a).__name__ for a in d.log] == ["StartAttempt", "FailRequest"]


def test_a_non_idempotent_request_that_never_ran_is_retried() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    d.list(EndpointList(ListKind.FULL, [Endpoint(1), Endpoint(2)]))
    number = d.request(4, 2000.0)
    d.end(number, Outcome.CONNECT_FAILED)
    assert [type(a).__name__ for a in d.log] == ["StartAttempt", "StartAttempt"]


def test_with_no_usable_backend_a_request_is_queued_until_its_objective_and_then_rejected() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    number = d.request(0, 2000.0)
    d.advance(499.0)
    assert d.records[number].answer_pending
    d.advance(2.0)
    assert d.records[number].answered == 1


def test_a_queued_request_is_placed_when_a_backend_becomes_ready() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    d.list(EndpointList(ListKind.FULL, [Endpoint(1, state=EndpointState.DRAINING)]))
    number = d.request(0, 2000.0)
    d.list(EndpointList(ListKind.DELTA, [Endpoint(2)]))
    assert d.records[number].attempts[0].backend == 2


def test_a_backend_missing_from_a_full_list_gets_nothing_new() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    d.list(EndpointList(ListKind.FULL, [Endpoint(1), Endpoint(2)]))
    d.list(EndpointList(ListKind.FULL, [Endpoint(2)]))
    for _ in range(30):
        d.request(0, 2000.0)
    assert {a.backend for b in d.records.values() for a in b.attempts} == {2}


@pytest.mark.parametrize("balancers", [1, 10, 20, 30, 200])
def test_a_warming_backend_gets_no_more_than_its_budget_even_alone_and_in_a_burst(balancers: int) -> None:
    """Guards the slow-start budget: all other backends busy, no connections yet, many returning clients."""
    cold_ms, share, multiple, window = 20_000.0, 0.2, 3.0, 2_000.0
    sent: list[tuple[float, float]] = []
    ordinary = 1.0 / 40.0  # connections a millisecond that the fleet of 8 servers ends well
    for number in range(balancers):
        b = balancer(
            8,
            seed=number,
            balancers=balancers,
            number=number,
            warmup_ms=cold_ms,
            initial_capacity_fraction=share,
            overload_multiple=multiple,
            overload_window_ms=window,
            max_attempts=3,
        )
        gap, request, now = balancers / ordinary, 0, 0.0
        while now < 3 * cold_ms:  # learn the ordinary traffic
            request, now = request + 1, now + gap
            (send,) = sends(b.handle(now, RequestReceived(request, left_ms=2000.0, load=1.0)))
            b.handle(now, ConnectionEstablished(request, 0, send.backend))
            end(b, now, request, send.backend)
        start = now
        b.handle(now, EndpointList(ListKind.DELTA, [Endpoint(1, started_ms=start)]))
        while now < start + cold_ms / 2:  # a flood, twenty times the ordinary, that no server takes
            request, now = request + 1, now + gap / 20.0
            for send in sends(b.handle(now, RequestReceived(request, left_ms=100.0, load=1.0))):
                if send.backend == 1:
                    sent.append((now - start, 1.0))
                b.handle(now, ConnectionEstablished(request, 0, send.backend))
                end(b, now, request, send.backend, Outcome.RESET)
    for k in range(10):
        low, high = k * window / 2, k * window / 2 + window
        able = (share + (1 - share) * low / cold_ms) * ordinary / 8 * window
        got = sum(load for at, load in sent if low <= at < high)
        assert got <= multiple * able + 2.0 * (multiple * able) ** 0.5 + 2.0, (low, got, multiple * able)


def test_a_fleet_of_warming_backends_only_stays_within_its_budget() -> None:
    b = balancer(
        0, warmup_ms=20_000.0, initial_capacity_fraction=0.1, overload_multiple=3.0, overload_window_ms=1_000.0
    )
    b.handle(1.0, EndpointList(ListKind.FULL, [Endpoint(i, started_ms=1.0) for i in (1, 2, 3)]))
    assert sum(len(sends(b.handle(2.0, RequestReceived(n, left_ms=1000.0)))) for n in range(50)) <= 3


def test_few_relays_poll_first_in_turn_and_many_within_a_time_limit() -> None:
    """A discovery service that handles four calls a second is not polled faster by few relays."""
    for balancers, least, most in ((1, 100.0, 200.0), (4, 500.0, 800.0), (200, 1200.0, 1500.0)):
        first = []
        for seed in range(50):
            b = Balancer(settings(polls_discovery=True, balancers=balancers), seed, 0.0)
            first.append(timers(b.handle(0.0, EndpointList(ListKind.CACHED, [Endpoint(1)])))[0].delay_ms)
        assert least < max(first) <= most


def test_polls_are_spread_and_repeated_after_a_failure_with_backoff() -> None:
    first = set()
    for seed in range(20):
        b = Balancer(settings(polls_discovery=True, poll_interval_ms=1000.0), seed, 0.0)
        first.add(timers(b.handle(0.0, EndpointList(ListKind.CACHED, [Endpoint(1)])))[0].delay_ms)
    assert len(first) == 20 and max(first) <= 500.0
    b = Balancer(settings(polls_discovery=True, poll_interval_ms=10_000.0), 1, 0.0)
    pending, waits, now = timers(b.handle(0.0, EndpointList(ListKind.CACHED, [Endpoint(1)])))[0], [], 0.0
    for _ in range(12):
        now += pending.delay_ms
        assert b.handle(now, TimerFired(pending.token)) == [WatchEndpoints()]
        (pending,) = timers(b.handle(now, EndpointList(ListKind.FAILED)))
        waits.append(pending.delay_ms)
        assert b.handle(now, EndpointList(ListKind.FAILED)) == []  # one call at a time
    assert max(waits[:2]) < min(waits[-4:])
    # A list counts as current for 6 s after it was available: a call that hangs for 2.2 s and a wait fit into that.
    for balancers in (1, 6, 40, 200):
        for seed in range(50):
            b = Balancer(settings(polls_discovery=True, balancers=balancers), seed, 0.0)
            pending, now = timers(b.handle(0.0, EndpointList(ListKind.CACHED, [Endpoint(1)])))[0], 0.0
            for _ in range(10):
                assert pending.delay_ms + 2200.0 <= 6000.0
                assert now > 0.0 or pending.delay_ms <= 1500.0  # changes before the start count sooner
                now += pending.delay_ms
                b.handle(now, TimerFired(pending.token))
                (pending,) = timers(b.handle(now, EndpointList(ListKind.FAILED)))


def timers(actions: list[Action]) -> list[SetTimer]:
    return [a for a in actions if isinstance(a, SetTimer)]


def test_a_request_keeps_the_number_of_attempts_that_it_was_admitted_with() -> None:
    b = balancer(2, max_attempts=1)
    (send,) = sends(b.handle(1.0, RequestReceived(1, left_ms=2000.0)))
    b.handle(2.0, SettingsChanged(settings(max_attempts=4)))
    assert sends(end(b, 3.0, 1, send.backend, Outcome.REJECTED, finished=False)) == []
    b.handle(4.0, RequestReceived(2, left_ms=2000.0))
    b.handle(5.0, SettingsChanged(settings(max_attempts=1)))
    assert sends(end(b, 6.0, 2, b.requests[2].backend.id, Outcome.REJECTED, finished=False)) == []  # type: ignore[union-attr]


def test_a_retry_begins_within_its_idempotency_window_and_a_request_that_may_have_run_fails() -> None:
    keyed = RequestClass(
        setup_latency_objective_ms=500.0,
        deadline_ms=2000.0,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        idempotency_window_ms=400.0,
    )
    b = balancer(2, classes=(keyed,), answer_slack_ms=8.0, tick_ms=2.0)
    (first,) = sends(b.handle(10.0, RequestReceived(1, left_ms=2000.0)))
    assert first.begin_ms == inf
    (again,) = sends(end(b, 110.0, 1, first.backend, Outcome.RESET, finished=False))
    assert again.begin_ms == 400.0 - 100.0 - 10.0
    b.lifecycle.retries.available = 0.0
    assert sends(end(b, 120.0, 1, again.backend, Outcome.RESET, attempt=1, finished=False)) == []
    assert (
        b.handle(130.0, DeadlineReached(1)) == [FailRequest(1, RejectionReason.DEADLINE_EXCEEDED)]
        and b.handle(131.0, DeadlineReached(1)) == []
    )


def test_discovery_that_pushes_its_list_is_never_polled() -> None:
    b = balancer(3)
    assert b.handle(0.0, EndpointList(ListKind.FAILED)) == []


def test_the_first_backend_to_return_in_a_failed_zone_is_not_overloaded_by_its_balancers() -> None:
    """Incident i6f1d78: after a zone failed, each of its balancers sent to the first backend that returned."""
    got = 0
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
        for n in range(60):  # about one connection a second ends well at each balancer
            (send,) = sends(b.handle(1000.0 * n, RequestReceived(n, left_ms=2000.0, load=1.0)))
            end(b, 1000.0 * n, n, send.backend)
        b.handle(60_000.0, EndpointList(ListKind.FULL, [e for e in fleet if e.zone == 1]))
        b.handle(70_000.0, EndpointList(ListKind.DELTA, [Endpoint(1, zone=0, started_ms=70_000.0)]))
        for n in range(100, 110):
            got += sum(s.backend == 1 for s in sends(b.handle(70_100.0, RequestReceived(n, left_ms=2000.0, load=1.0))))
    # The fleet ends 40 connections a second well on 20 servers: 2 a second at a warm one, 0.6 at the start.
    assert got <= 3 * 0.6 + 3 * (3 * 0.6) ** 0.5
