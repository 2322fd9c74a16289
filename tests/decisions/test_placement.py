"""The choice of a backend: two choices, zones, groups and subsets."""

from __future__ import annotations

import random

import pytest

from tests.helpers import balancer, end, full_list, open_one, sends, settings
from yarrowspindle.decisions.actions import FailRequest, MigrateConnection, RejectRequest, SetTimer
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    ConnectionEstablished,
    Endpoint,
    EndpointList,
    EndpointState,
    ListKind,
    LoadChanged,
    Outcome,
    RequestReceived,
    SlowMessageObserved,
    TimerFired,
)
from yarrowspindle.decisions.outlier_detection import RESETS_BEFORE_EJECTION
from yarrowspindle.decisions.settings import RequestClass

TOLD = (RequestClass(500.0, 2000.0, message_latency_objective_ms=90.0),)


def place(b: Balancer, now: float, request: int, load: float = 1.0, left: float = 2000.0) -> int | None:
    got = sends(b.handle(now, RequestReceived(request, left_ms=left, load=load)))
    return got[0].backend if got else None


def test_two_backends_are_drawn_and_the_one_with_less_own_load_is_chosen() -> None:
    """With one balancer and equal backends this is the rule of the paper, with the same random numbers."""
    b, rng = balancer(5, seed=11), random.Random(11)
    load = dict.fromkeys(range(1, 6), 0)
    for n in range(300):
        first, second = int(rng.random() * 5) + 1, int(rng.random() * 5) + 1
        expected = second if load[second] < load[first] else first
        assert place(b, float(n), n) == expected
        load[expected] += 1
    assert max(load.values()) - min(load.values()) <= 3


def test_two_choices_beat_one() -> None:
    b = balancer(10, seed=3)
    for n in range(500):
        place(b, float(n), n)
    counts = [s.connections for s in b.backends.values()]
    assert max(counts) <= 54  # one choice leaves the fullest of ten near 62


def test_unequal_backends_get_in_proportion_to_their_capacity() -> None:
    b = Balancer(settings(), 5, 0.0)
    b.handle(0.0, full_list(Endpoint(1, capacity=1.0), Endpoint(2, capacity=3.0)))
    for n in range(400):
        place(b, float(n), n)
    assert b.backends[2].connections == pytest.approx(300, abs=12)


def test_a_connection_counts_by_its_load() -> None:
    b = balancer(2, seed=1)
    heavy = open_one(b, 0.0, 1, load=10.0)
    others = [place(b, 1.0, n, load=1.0) for n in range(2, 10)]
    # A draw that names the heavy one twice still goes there; all others avoid it.
    assert others.count(heavy) <= 4


def test_a_group_meets_at_the_same_backend_at_all_balancers_and_a_retry_does_not() -> None:
    """Each backend that serves any of a group pays for it once; other draws would spread it over nearly all."""

    def taken(groups: bool) -> set[int]:
        found = set()
        for number in range(40):
            b = balancer(30, seed=number, number=number, balancers=40, groups_share_work=groups, max_attempts=2)
            (send,) = sends(b.handle(1.0, RequestReceived(1, left_ms=2000.0, group=77)))
            found.add(send.backend)
        return found

    assert len(taken(True)) == 1 and len(taken(False)) > 10
    b, again = balancer(30, groups_share_work=True, max_attempts=2), set()
    for number in range(20):
        (send,) = sends(b.handle(float(number), RequestReceived(number, left_ms=2000.0, group=77)))
        (other,) = sends(end(b, float(number), number, send.backend, Outcome.CONNECT_FAILED, finished=False))
        again.add(other.backend)
    assert len(again) > 4


def test_each_backend_is_in_about_as_many_subsets() -> None:
    """With many balancers all backends are drawn equally often, by the golden-ratio spread of the subsets."""
    drawn = dict.fromkeys(range(1, 51), 0)
    for number in range(200):
        b = balancer(50, seed=number, balancers=200, number=number)
        for n in range(20):
            backend = place(b, 0.0, n)
            assert backend is not None
            drawn[backend] += 1
        assert sum(s.connections > 0 for s in b.backends.values()) <= 4  # its own subset only
    assert min(drawn.values()) > 0.6 * 80 and max(drawn.values()) < 1.4 * 80


def test_few_balancers_use_the_whole_fleet() -> None:
    b = balancer(30, balancers=2)
    for n in range(600):
        place(b, 0.0, n)
    assert all(s.connections for s in b.backends.values())


def test_the_own_zone_is_preferred_where_crossing_zones_is_expensive_only() -> None:
    entries = [Endpoint(i, zone=i % 2) for i in range(1, 9)]
    for price, crossings in ((0.12, False), (0.01, True)):
        b = Balancer(settings(zones=2, cross_zone_price=price), 1, 0.0)
        b.handle(0.0, full_list(*entries))
        zones = {(place(b, 0.0, n) or 0) % 2 for n in range(40)}
        assert (1 in zones) == crossings


def test_a_failing_backend_is_ejected_and_tried_again_later() -> None:
    b = balancer(4, seed=2, warmup_ms=20_000.0)
    (send,) = sends(b.handle(0.0, RequestReceived(1, left_ms=2000.0)))
    (retry,) = sends(end(b, 1.0, 1, send.backend, Outcome.ERROR, finished=False))
    assert retry.backend != send.backend
    for n in range(2, 40):
        place(b, 2.0, n)
    shunned = b.backends[send.backend].connections
    assert shunned <= 1  # all four draws would have to be of it
    for n in range(40, 200):
        place(b, 30_000.0, n)
    assert b.backends[send.backend].connections > shunned + 20


def test_a_backend_is_chosen_even_where_all_are_ejected() -> None:
    b = balancer(2, max_attempts=2)
    for n in range(1, 9):
        backend = place(b, 0.0, n)
        assert backend is not None
        for attempt in (0, 1):
            again = sends(end(b, 0.0, n, backend, Outcome.CONNECT_FAILED, attempt, finished=False))
            if again:
                backend = again[0].backend
    assert place(b, 1.0, 99) is not None


def test_a_restarted_backend_has_no_consecutive_failures() -> None:
    """Failures of the old process must not eject the new one during its warm-up."""
    b = balancer(1, max_attempts=1)
    backend = place(b, 0.0, 1)
    assert backend is not None
    end(b, 1.0, 1, backend, Outcome.ERROR, finished=False)
    assert b.backends[backend].ejected_until > 1.0
    b.handle(2.0, EndpointList(ListKind.DELTA, [Endpoint(backend, started_ms=2.0)]))
    assert b.backends[backend].ejected_until < 2.0 and not b.backends[backend].consecutive_failures


def test_a_slow_backend_gets_nothing_new_and_loses_its_heaviest_connection() -> None:
    b = balancer(2, seed=4, classes=TOLD)
    on: dict[int, list[int]] = {1: [], 2: []}
    for n in range(1, 30):
        on[open_one(b, 0.0, n, load=float(n))].append(n)
    moved = b.handle(1.0, SlowMessageObserved(on[1][0], 1, 500.0))
    moved += b.handle(2.0, SlowMessageObserved(on[1][0], 1, 500.0))
    assert MigrateConnection(on[1][-1]) in moved
    assert {place(b, 3.0, n) for n in range(100, 110)} <= {2, None}


def test_a_migrated_connection_is_not_migrated_or_answered_again() -> None:
    b = balancer(1, seed=1, classes=TOLD)
    backend = open_one(b, 0.0, 1)
    moves = [a for t in range(1, 200) for a in b.handle(float(t), SlowMessageObserved(1, backend, 500.0))]
    assert moves.count(MigrateConnection(1)) <= 1
    assert end(b, 300.0, 1, backend, Outcome.CANCELLED) == []


def test_a_message_latency_within_the_objective_migrates_nothing() -> None:
    b = balancer(1, classes=TOLD)
    backend = open_one(b, 0.0, 1)
    assert all(b.handle(float(t), SlowMessageObserved(1, backend, 80.0)) == [] for t in range(1, 50))


def test_a_class_without_a_message_objective_is_neither_migrated_nor_rejected_for_slow_messages() -> None:
    b = balancer(1)
    backend = open_one(b, 0.0, 1)
    assert all(b.handle(float(t), SlowMessageObserved(1, backend, 500.0)) == [] for t in range(1, 30))
    assert place(b, 40.0, 2) == backend


def test_a_request_that_would_miss_its_objective_everywhere_is_rejected_at_once_with_spread_waits() -> None:
    b = balancer(1, classes=TOLD, retry_after=True, max_retry_after_ms=1000.0)
    backend = open_one(b, 0.0, 1)
    b.handle(1.0, SlowMessageObserved(1, backend, 500.0))
    answers = [a for n in range(2, 12) for a in b.handle(2.0, RequestReceived(n, left_ms=2000.0))]
    waits = [a.retry_after_ms for a in answers if isinstance(a, RejectRequest)]
    assert len(waits) == 10 and len(set(waits)) == 10 and 500.0 <= min(waits) and max(waits) <= 1000.0


def test_slow_backends_of_the_own_zone_do_not_count_for_another_zone() -> None:
    """An overloaded own zone must not cause rejections for another zone."""
    b = Balancer(settings(classes=TOLD, zones=2, cross_zone_price=0.1), 3, 0.0)
    b.handle(0.0, full_list(Endpoint(1), Endpoint(2, zone=1), Endpoint(3, zone=1)))
    assert open_one(b, 0.0, 1) == 1
    b.handle(1.0, SlowMessageObserved(1, 1, 80.0))
    placed = [place(b, 2.0, n) for n in range(2, 30)]
    assert placed.count(None) == 0 and set(placed) & {2, 3}


@pytest.mark.parametrize(("apart", "full"), [(1.0, True), (1500.0, False)])
def test_connections_reset_together_show_that_their_backend_is_overloaded(apart: float, full: bool) -> None:
    """Incident iee6bba: a backend that sheds load resets many connections; networks reset single ones as well."""
    b = balancer(2, seed=1, classes=TOLD, backend_reports_latency=False)
    backends = {n: open_one(b, 0.0, n) for n in range(1, 20)}
    for i, n in enumerate([n for n, s in backends.items() if s == 1][:RESETS_BEFORE_EJECTION]):
        end(b, 1.0 + i * apart, n, 1, Outcome.RESET)
    now = 2.0 + RESETS_BEFORE_EJECTION * apart
    assert (1 in {place(b, now, n) for n in range(20, 40)}) != full


def test_a_restarted_backend_is_not_taken_to_be_overloaded() -> None:
    b = balancer(2, seed=1, classes=TOLD)
    for n in [n for n in range(1, 20) if open_one(b, 0.0, n) == 1]:
        end(b, 1.0, n, 1, Outcome.RESET)
    assert b.backends[1].slow_until > 2.0
    b.handle(2.0, EndpointList(ListKind.DELTA, [Endpoint(1, started_ms=2.0)]))
    assert b.backends[1].slow_until < 2.0


def test_an_established_connection_ends_the_ejection_of_its_backend() -> None:
    b = balancer(1, max_attempts=2)
    backend = place(b, 0.0, 1)
    assert backend is not None
    (again,) = sends(end(b, 1.0, 1, backend, Outcome.CONNECT_FAILED, finished=False))
    assert b.backends[backend].ejected_until > 1.0
    b.handle(2.0, ConnectionEstablished(1, 1, again.backend))
    assert b.backends[backend].ejected_until < 2.0


def test_retries_have_a_budget_and_then_a_backoff() -> None:
    """Each attempt calls the dependencies that backends share: with a slow one retries must be limited."""
    b = balancer(8, max_attempts=6)
    at_once, waits = 0, []
    for n in range(1, 5):
        backend = place(b, 1.0, n)
        assert backend is not None
        for action in end(b, 1.0, n, backend, Outcome.ERROR, finished=False):
            at_once += bool(sends([action]))
            if isinstance(action, SetTimer):
                waits.append(action)
    assert at_once == 2 and len(waits) == 2
    assert sends(b.handle(1.0 + waits[0].delay_ms, TimerFired(waits[0].token)))


def test_requests_are_shed_while_setups_take_all_of_their_objective() -> None:
    """Incident i82a5ad: setups must not wait in a slow dependency's queue until their clients disconnect."""
    b = balancer(8, max_attempts=1)
    for n in range(1, 40):
        if (backend := place(b, 1.0, n)) is not None:
            end(b, 1.0, n, backend, Outcome.TIMEOUT, finished=False)
    assert 1 <= sum(place(b, 2.0, n) is not None for n in range(100, 200)) <= 30
    for n in range(200, 300):  # those that get through in time bring the others back
        if (backend := place(b, 3.0, n)) is not None:
            b.handle(3.0, ConnectionEstablished(n, 0, backend, latency_ms=20.0))
    assert all(place(b, 4.0, n) is not None for n in range(300, 320))


def test_a_failed_connect_is_retried_at_once_whatever_the_budget() -> None:
    b = balancer(8, max_attempts=6)
    for n in range(1, 30):
        backend = place(b, 1.0, n)
        assert backend is not None
        assert sends(end(b, 1.0, n, backend, Outcome.CONNECT_FAILED, finished=False))


def test_invalid_events_raise_plain_exceptions() -> None:
    b = balancer()
    backend = open_one(b, 5.0, 1)
    with pytest.raises(ValueError, match="clock"):
        b.handle(4.0, RequestReceived(2, left_ms=100.0))
    with pytest.raises(ValueError, match="unknown request"):
        b.handle(5.0, ConnectionEstablished(77, 0, 1))
    with pytest.raises(ValueError, match="not in flight"):
        end(b, 5.0, 1, backend, attempt=3)
    with pytest.raises(ValueError, match="unknown class"):
        b.handle(5.0, RequestReceived(3, cls=9, left_ms=100.0))
    with pytest.raises(ValueError, match="already known"):
        b.handle(5.0, RequestReceived(1, left_ms=100.0))
    with pytest.raises(TypeError):
        b.handle(5.0, FailRequest(1))  # type: ignore[arg-type]
    with pytest.raises(ValueError, match="settings"):
        settings(initial_capacity_fraction=0.0)


def test_instances_share_nothing() -> None:
    """The same events give the same actions whatever other instances do in between."""

    def run(disturbed: bool) -> list[object]:
        b, other = balancer(6, seed=9), balancer(6, seed=10)
        out: list[object] = []
        for n in range(60):
            out += b.handle(float(n), RequestReceived(n, left_ms=1000.0, load=1.0 + n % 3))
            if disturbed:
                other.handle(float(n), RequestReceived(n, left_ms=1000.0))
        return out

    assert run(False) == run(True)


def test_the_order_of_an_endpoint_list_does_not_matter() -> None:
    entries = [Endpoint(i, capacity=1.0 + i % 3) for i in range(1, 20)]
    placed = []
    for order in (entries, entries[::-1]):
        b = Balancer(settings(balancers=4), 2, 0.0)
        b.handle(0.0, full_list(*order))
        placed.append([place(b, 0.0, n) for n in range(60)])
    assert placed[0] == placed[1]


def test_where_no_message_latency_is_reported_own_load_opens_other_zones() -> None:
    """Without reported latency no backend is ever slow: only own load shows that the own zone is full."""
    for tells, crossed in ((True, False), (False, True)):
        b = Balancer(settings(classes=TOLD, zones=2, cross_zone_price=0.1, backend_reports_latency=tells), 1, 0.0)
        b.handle(0.0, full_list(Endpoint(2), Endpoint(3, zone=1), Endpoint(4)))
        homes = [(place(b, 0.0, n, load=20.0) or 0) != 3 for n in range(60)]
        assert all(homes[:4]) and all(homes) != crossed


def test_warming_backends_of_other_zones_get_requests_where_no_latency_is_reported() -> None:
    """Else new processes of a zone without a relay would get nothing until they have warmed up."""
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
        end(b, 100.0 * n, n, open_one(b, 100.0 * n, n, load=50.0))
    b.handle(6000.0, EndpointList(ListKind.DELTA, [Endpoint(2, zone=1, started_ms=6000.0)]))
    assert 2 in [place(b, 6001.0 + n, n, load=50.0) for n in range(100, 130)]


def test_a_single_slow_message_does_not_end_placement_by_own_load() -> None:
    """Reports of latency may be an exception that the platform's protocol does not guarantee."""
    b = balancer(3, seed=1, backend_reports_latency=False, classes=TOLD)
    backends = {n: open_one(b, 0.0, n, load=50.0) for n in range(1, 10)}
    b.handle(1.0, SlowMessageObserved(1, backends[1], 500.0))
    assert b.state.uses_own_load_only and b.backends[backends[1]].slow_until > 1.0


def test_an_endpoint_update_costs_the_same_in_a_large_fleet() -> None:
    """Guards against sums over the whole fleet: only the rings' binary searches may depend on its size."""
    looked = 0

    class Counted(Backend):
        @property
        def capacity(self) -> float:
            nonlocal looked
            looked += 1
            return 1.0

        @capacity.setter
        def capacity(self, value: float) -> None:
            pass

    b = balancer(0)
    for number in range(1, 1001):
        b.backends[number] = Counted(number)
        b.registry.set_ready(b.backends[number], True)
    open_one(b, 0.0, 1)
    for state in (EndpointState.DRAINING, EndpointState.READY, EndpointState.GONE):
        looked = 0
        b.handle(1.0, EndpointList(ListKind.DELTA, [Endpoint(77, state=state)]))
        open_one(b, 1.0, 10 + state)
        assert looked <= 160, "one block is counted anew, not the fleet"
    assert 77 not in b.backends and b.state.fleet_ring.total_capacity == 999.0


def test_the_state_of_the_rings_and_of_own_load_stays_exact() -> None:
    """Random lists, requests and loads: incremental updates equal what a walk over all backends finds."""
    rng = random.Random(5)
    b = balancer(
        0,
        seed=2,
        cross_zone_price=0.1,
        zones=2,
        balancers=3,
        warmup_ms=500.0,
        initial_capacity_fraction=0.5,
        backend_reports_latency=False,
        retry_after=True,
    )
    at: dict[int, int] = {}
    for step in range(2000):
        now, what = float(step), rng.random()
        if what < 0.3:
            state = rng.choice((EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE))
            started = rng.choice((0.0, now))
            entry = Endpoint(rng.randrange(20), rng.randrange(2), 0, state, rng.choice((1.0, 2.0)), started)
            b.handle(now, EndpointList(rng.choice((ListKind.DELTA, ListKind.DELTA, ListKind.FULL)), [entry]))
        elif what < 0.7:
            for send in sends(b.handle(now, RequestReceived(step, left_ms=2000.0, load=rng.uniform(1.0, 9.0)))):
                b.handle(now, ConnectionEstablished(step, 0, send.backend))
                at[step] = send.backend
        elif at:
            request = rng.choice(list(at))
            if what < 0.8:
                b.handle(now, LoadChanged(request, at[request], rng.uniform(1.0, 9.0)))
            else:
                end(b, now, request, at.pop(request), rng.choice((Outcome.OK, Outcome.RESET)))
        ready = sorted((s for s in b.backends.values() if s.ready), key=lambda s: s.id)
        assert b.state.fleet_ring.members == ready and b.state.home_ring.members == [s for s in ready if s.zone == 0]
        assert abs(b.state.fleet_ring.total_capacity - sum(s.capacity for s in ready)) < 1e-6
        assert {s.id for s in b.backends.values() if s.connections} <= b.state.observed_backends.keys() | set()
        assert all(s.ready or s.connections for s in b.backends.values())
        assert {
            s.id for s in ready if now < s.started_ms + 500.0 and s.started_ms > 0.0
        } <= b.slow_start.warming_up.keys()
