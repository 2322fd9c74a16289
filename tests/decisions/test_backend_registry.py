"""Registry of backends: endpoint lists and own connections keep rings and counts exact."""

from __future__ import annotations

import random

import pytest

from tests.helpers import balancer, end_attempt, establish_request, full_list, place, settings, started_attempts
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    NEVER_RAN,
    ConnectionEstablished,
    Endpoint,
    EndpointList,
    EndpointState,
    ExistingConnection,
    ListKind,
    LoadChanged,
    Outcome,
    RequestReceived,
)


def test_the_order_of_an_endpoint_list_does_not_matter() -> None:
    entries = [Endpoint(i, capacity=1.0 + i % 3) for i in range(1, 20)]
    placed = []
    for order in (entries, entries[::-1]):
        b = Balancer(settings(balancers=4), 2, 0.0)
        b.handle(0.0, full_list(*order))
        placed.append([place(b, 0.0, n) for n in range(60)])
    assert placed[0] == placed[1]


def test_an_endpoint_update_costs_the_same_in_a_large_fleet() -> None:
    """Guard against sums over the whole fleet: only the binary searches of the rings may depend on its size."""
    capacity_reads = 0

    class CountingBackend(Backend):
        @property
        def capacity(self) -> float:
            nonlocal capacity_reads
            capacity_reads += 1
            return 1.0

        @capacity.setter
        def capacity(self, value: float) -> None:
            pass

    b = balancer(0)
    for number in range(1, 1001):
        b.backends[number] = CountingBackend(number)
        b.registry.set_ready(b.backends[number], True)
    establish_request(b, 0.0, 1)
    for state in (EndpointState.DRAINING, EndpointState.READY, EndpointState.GONE):
        capacity_reads = 0
        b.handle(1.0, EndpointList(ListKind.DELTA, [Endpoint(77, state=state)]))
        establish_request(b, 1.0, 10 + state)
        assert capacity_reads <= 160, "only one block is summed again, not the fleet"
    assert 77 not in b.backends and b.state.fleet_ring.total_capacity == 999.0


def test_the_state_of_the_rings_and_of_own_load_stays_exact() -> None:
    """For random lists, requests and loads, incremental updates equal a full scan of the backends."""
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
        clients_heed_retry_after=True,
    )
    backend_by_request: dict[int, int] = {}
    for step in range(2000):
        now, draw = float(step), rng.random()
        if draw < 0.3:
            state = rng.choice((EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE))
            started = rng.choice((0.0, now))
            entry = Endpoint(rng.randrange(20), rng.randrange(2), 0, state, rng.choice((1.0, 2.0)), started)
            b.handle(now, EndpointList(rng.choice((ListKind.DELTA, ListKind.DELTA, ListKind.FULL)), [entry]))
        elif draw < 0.7:
            for send in started_attempts(
                b.handle(now, RequestReceived(step, left_ms=2000.0, load=rng.uniform(1.0, 9.0)))
            ):
                b.handle(now, ConnectionEstablished(step, 0, send.backend))
                backend_by_request[step] = send.backend
        elif backend_by_request:
            request = rng.choice(list(backend_by_request))
            if draw < 0.8:
                b.handle(now, LoadChanged(request, backend_by_request[request], rng.uniform(1.0, 9.0)))
            else:
                end_attempt(b, now, request, backend_by_request.pop(request), rng.choice((Outcome.OK, Outcome.RESET)))
        ready = sorted((s for s in b.backends.values() if s.ready), key=lambda s: s.id)
        assert b.state.fleet_ring.members == ready and b.state.local_ring.members == [s for s in ready if s.zone == 0]
        assert abs(b.state.fleet_ring.total_capacity - sum(s.capacity for s in ready)) < 1e-6
        assert {s.id for s in b.backends.values() if s.connections} <= b.state.observed_backends.keys() | set()
        assert all(s.ready or s.connections for s in b.backends.values())
        assert {
            s.id for s in ready if now < s.started_ms + 500.0 and s.started_ms > 0.0
        } <= b.slow_start.warming_up.keys()


@pytest.mark.parametrize("outcome", list(Outcome))
def test_every_outcome_takes_the_connection_off_its_backend(outcome: Outcome) -> None:
    b = balancer(max_attempts=1)
    (send,) = started_attempts(b.handle(0.0, RequestReceived(7, left_ms=1000.0, load=3.0)))
    assert (b.backends[send.backend].connections, b.backends[send.backend].load) == (1, 3.0)
    end_attempt(b, 5.0, 7, send.backend, outcome, finished=outcome is Outcome.OK)
    assert (b.backends[send.backend].connections, b.backends[send.backend].load) == (0, 0.0)
    assert b.requests == {}
    assert (outcome in NEVER_RAN) == (outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


def test_a_connection_that_exists_at_the_start_counts_at_its_backend() -> None:
    b = balancer()
    b.handle(0.0, ExistingConnection(9, backend=2, load=4.0))
    assert (b.backends[2].connections, b.backends[2].load) == (1, 4.0)
    end_attempt(b, 8.0, 9, 2)
    assert b.backends[2].connections == 0


def test_a_changed_load_is_counted_and_removed_again() -> None:
    b = balancer()
    backend = establish_request(b, 0.0, 1, load=2.0)
    b.handle(1.0, LoadChanged(1, backend, 5.0))
    assert b.backends[backend].load == 5.0
    end_attempt(b, 2.0, 1, backend)
    assert b.backends[backend].load == 0.0
