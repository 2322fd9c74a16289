"""Invariants of the balancer for random valid event sequences; derandomized, so that every run is the same.

`tests/driver.py` checks them for every action.
"""

from __future__ import annotations

from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.driver import Driver
from tests.helpers import settings
from yarrowspindle.decisions.actions import Action
from yarrowspindle.decisions.events import (
    Endpoint,
    EndpointList,
    EndpointState,
    ListKind,
    Outcome,
    SlowMessageObserved,
)
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
    """Return entries of six backends whose states, zones and ages are derived from `pick`."""
    endpoints = []
    for i in range(6):
        state = (EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)[
            pick >> (2 * i) & 3
        ]
        started = now if (pick + i) % 5 == 0 else 0.0
        endpoints.append(Endpoint(i + 1, i % 2, i % 3, state, 1.0 + i % 3, started))
    return endpoints


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
        "clients_heed_retry_after": True,
        "max_retry_after_ms": 1000.0,
    }
    values.update(changes)
    d = Driver(settings(**values), seed=7)
    d.update_endpoints(EndpointList(ListKind.CACHED, entries(0, d.now)))
    for step_kind, pick in steps:
        waiting = [n for n, b in d.records.items() if b.in_flight and not b.established and not b.disconnected]
        running = [n for n, b in d.records.items() if b.in_flight and b.established]
        if step_kind == "request":
            d.request(pick % len(CLASSES), (40.0, 400.0, 1200.0)[pick % 3], load=float(pick % 7))
        elif step_kind == "establish" and waiting:
            d.establish(waiting[pick % len(waiting)])
        elif step_kind == "end" and running:
            d.end(running[pick % len(running)], (Outcome.OK, Outcome.RESET, Outcome.CANCELLED)[pick % 3])
        elif step_kind == "fail" and waiting:
            d.end(waiting[pick % len(waiting)], FAILURES[pick % len(FAILURES)])
        elif step_kind == "leave" and waiting:
            d.disconnect(waiting[pick % len(waiting)])
        elif step_kind == "slow" and running:
            number = running[pick % len(running)]
            d.handle(SlowMessageObserved(number, d.records[number].attempts[-1].backend, float(pick % 500)))
        elif step_kind == "list":
            kind = (ListKind.DELTA, ListKind.FULL, ListKind.FAILED)[pick % 3]
            d.update_endpoints(EndpointList(kind, entries(pick, d.now) if kind is not ListKind.FAILED else []))
        elif step_kind == "wait":
            d.advance(float(pick % 400))
    d.advance(20_000.0)
    assert all(not record.answer_pending for record in d.records.values()), "every request must have its answer"
    assert all(record.answered <= 1 for record in d.records.values())
    return d.actions


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
    d.update_endpoints(EndpointList(ListKind.FULL, [Endpoint(1), Endpoint(2)]))
    number = d.request(4, 2000.0)
    d.end(number, Outcome.ERROR)
    assert [type(a).__name__ for a in d.actions] == ["StartAttempt", "FailRequest"]


def test_a_non_idempotent_request_that_never_ran_is_retried() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    d.update_endpoints(EndpointList(ListKind.FULL, [Endpoint(1), Endpoint(2)]))
    number = d.request(4, 2000.0)
    d.end(number, Outcome.CONNECT_FAILED)
    assert [type(a).__name__ for a in d.actions] == ["StartAttempt", "StartAttempt"]


def test_with_no_usable_backend_a_request_is_queued_until_its_objective_and_then_rejected() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    number = d.request(0, 2000.0)
    d.advance(499.0)
    assert d.records[number].answer_pending
    d.advance(2.0)
    assert d.records[number].answered == 1


def test_a_queued_request_is_placed_when_a_backend_becomes_ready() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    d.update_endpoints(EndpointList(ListKind.FULL, [Endpoint(1, state=EndpointState.DRAINING)]))
    number = d.request(0, 2000.0)
    d.update_endpoints(EndpointList(ListKind.DELTA, [Endpoint(2)]))
    assert d.records[number].attempts[0].backend == 2


def test_a_backend_missing_from_a_full_list_gets_nothing_new() -> None:
    d = Driver(settings(classes=CLASSES), seed=1)
    d.update_endpoints(EndpointList(ListKind.FULL, [Endpoint(1), Endpoint(2)]))
    d.update_endpoints(EndpointList(ListKind.FULL, [Endpoint(2)]))
    for _ in range(30):
        d.request(0, 2000.0)
    assert {a.backend for b in d.records.values() for a in b.attempts} == {2}
