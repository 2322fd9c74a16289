"""Model fleets of forty relays and sixty backends on a virtual clock.

The tests cover the replacement of most backends, the loss of a zone, relays that restart together, an overloaded
discovery service, and backends that reject every request.
"""

from __future__ import annotations

import heapq
from random import Random

import pytest

from tests.helpers import settings
from yarrowspindle.decisions.actions import SetTimer, WatchEndpoints
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import Endpoint, EndpointList, EndpointState, ListKind, TimerFired
from yarrowspindle.lab.model import Fleet, FleetSpec
from yarrowspindle.lab.model.backend import ModelBackend

LARGE_FLEET = FleetSpec(
    relays=40,
    backends=60,
    connections=1200,
    lifetime_s=28.0,
    utilization=0.45,
    load_change_interval_s=10.0,
    zones=3,
    uses_own_load=True,
    warmup_ms=9000.0,
)


def start_large_fleet(seed: int) -> Fleet:
    """Return a large fleet in steady state."""
    fleet = Fleet(LARGE_FLEET, seed)
    fleet.fill(4.0)
    fleet.run(12.0)
    return fleet


def served_fraction(fleet: Fleet, seconds: float) -> float:
    """Run the fleet for this time and return the fraction of the demand that it serves."""
    demand_before, served_before = fleet.demand, fleet.served
    fleet.run(seconds)
    return (fleet.served - served_before) / (fleet.demand - demand_before)


def total_connections(backends: list[ModelBackend]) -> int:
    return sum(len(backend.connections) for backend in backends)


@pytest.mark.parametrize("seed", [1, 2])
def test_new_backends_have_taken_their_share_when_the_six_in_ten_that_they_replace_stop(seed: int) -> None:
    fleet = start_large_fleet(seed)
    old = list(fleet.backends.values())[:36]
    new = [fleet.add_backend(backend.size, cold=True) for backend in old]
    fleet.update_endpoints(EndpointState.READY, *new)
    fleet.update_endpoints(EndpointState.DRAINING, *old)
    fleet.run(7.0)
    assert total_connections(new) >= 0.15 * len(fleet.clients)  # 0.01 with a budget of whole connections per backend
    fleet.kill(*old)
    assert served_fraction(fleet, 20.0) > 0.85
    fleet.rules.check()


@pytest.mark.parametrize("seed", [3, 4])
def test_a_zone_that_restarts_cold_is_filled_without_a_crash(seed: int) -> None:
    fleet = start_large_fleet(seed)
    zone_backends = [backend for backend in fleet.backends.values() if backend.zone == 0]
    fleet.kill(*zone_backends)
    fleet.run(10.0)
    fleet.restart_backends(*zone_backends)
    fleet.run(9.0)
    assert total_connections(zone_backends) >= 0.1 * len(fleet.clients)
    assert served_fraction(fleet, 10.0) > 0.85
    fleet.rules.check()


@pytest.mark.parametrize("seed", [5, 6])
def test_relays_that_restart_together_spread_their_requests_and_use_cold_backends(seed: int) -> None:
    fleet = start_large_fleet(seed)
    new = [fleet.add_backend(4.8, cold=True) for _ in range(6)]
    fleet.update_endpoints(EndpointState.READY, *new)
    fleet.restart_relays(fleet.relays[:28], 500.0)
    fleet.run(6.0)
    warm = [backend for backend in fleet.backends.values() if backend not in new]
    mean = sum(backend.utilization() for backend in warm) / len(warm)
    assert max(backend.utilization() for backend in warm) < 2.5 * mean and total_connections(new) > 0
    assert served_fraction(fleet, 10.0) > 0.85
    fleet.rules.check()


def poll_discovery(relays: int, fleet: int, call_ms: float) -> tuple[list[float], list[float]]:
    """Poll an overloaded discovery service from relays that all start at time 0.

    The service handles one call at a time. A call that cannot start within 2 s fails after that time.

    Args:
        relays: number of relays that poll.
        fleet: number of relays that the settings state.
        call_ms: duration of a call.

    Returns:
        The sorted times at which each relay has received the list, and the times of all calls.
    """
    random = Random(1)
    balancers = [
        Balancer(settings(polls_discovery=True, poll_interval_ms=10_000.0, balancers=fleet), relay, 0.0)
        for relay in range(relays)
    ]
    due: list[tuple[float, int, int]] = []  # time, relay, token of a timer; token -1: the call fails
    answered_at: dict[int, float] = {}
    calls: list[float] = []
    free_at = 0.0

    def handle(now: float, relay: int, event: EndpointList | TimerFired) -> None:
        nonlocal free_at
        for action in balancers[relay].handle(now, event):
            if isinstance(action, SetTimer):
                heapq.heappush(due, (now + action.delay_ms, relay, action.token))
            elif isinstance(action, WatchEndpoints):
                calls.append(now)
                if free_at > now + 2000.0:  # the call would wait for too long
                    heapq.heappush(due, (now + 2000.0 + random.random(), relay, -1))
                else:
                    free_at = max(free_at, now) + call_ms
                    answered_at[relay] = free_at

    for relay in range(relays):
        handle(0.0, relay, EndpointList(ListKind.CACHED, [Endpoint(1)]))
    while due:
        now, relay, token = heapq.heappop(due)
        handle(now, relay, EndpointList(ListKind.FAILED) if token < 0 else TimerFired(token))
    assert len(answered_at) == relays
    return sorted(answered_at.values()), calls


def test_polls_of_an_overloaded_discovery_service_succeed_without_a_wave_of_retries() -> None:
    """The first calls are made soon, at a rate that the service can bear; failed calls are not repeated at once."""
    answered_at, calls = poll_discovery(40, 40, 250.0)
    assert answered_at[-1] < 15_000.0
    assert len(calls) <= 2 * 40
    later_calls = [call for call in calls if call >= 1500.0]
    assert max(sum(1 for call in later_calls if start <= call < start + 1000.0) for start in later_calls) <= 16
    assert max(sum(1 for call in calls if start <= call < start + 1000.0) for start in calls) <= 32


def test_relays_of_a_zone_that_start_together_receive_the_list_before_missed_changes_must_be_applied() -> None:
    """A backend that left 2.75 s before the relays' start counts as announced 3.25 s after it; the grace is 0.4 s."""
    answered_at, calls = poll_discovery(27, 182, 25.0)
    assert answered_at[-1] < 2000.0 and len(calls) == 27


def test_backends_that_reject_every_request_for_a_minute_receive_few_attempts_of_each_relay() -> None:
    fleet = start_large_fleet(7)
    rejecting = list(fleet.backends.values())[:6]
    attempts = 0

    def reject(*_: object) -> bool:
        nonlocal attempts
        attempts += 1
        return False

    for backend in rejecting:
        backend.accept = reject  # type: ignore[method-assign,assignment]
    assert served_fraction(fleet, 60.0) > 0.85
    # A backend that rejects is excluded for 2.4 to 7.2 s, then for 4.8 to 14.4 s each time: about seven attempts per
    # relay and backend, instead of those of 43 requests.
    assert attempts <= 40 * len(rejecting) * (60.0 / 4.8 + 2.0)
    fleet.rules.check()
