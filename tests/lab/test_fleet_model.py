"""Forty relays and sixty backends on virtual time.

The cases are a failed zone, a mass replacement, many relays that restart at once and an overloaded endpoint list.
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
    filled=0.45,
    load_every_s=10.0,
    zones=3,
    by_own_load=True,
    cold_ms=9000.0,
)


def large_fleet(seed: int) -> Fleet:
    fleet = Fleet(LARGE_FLEET, seed)
    fleet.fill(4.0)
    fleet.run(12.0)
    return fleet


def served_fraction(fleet: Fleet, seconds: float) -> float:
    """Run the simulation for these seconds and return the served fraction of the wanted connection time."""
    wanted, served = fleet.wanted, fleet.served
    fleet.run(seconds)
    return (fleet.served - served) / (fleet.wanted - wanted)


def total_connections(backends: list[ModelBackend]) -> int:
    return sum(len(backend.held) for backend in backends)


@pytest.mark.parametrize("seed", [1, 2])
def test_when_60_percent_of_the_backends_are_replaced_the_new_ones_take_over_before_the_old_ones_stop(
    seed: int,
) -> None:
    fleet = large_fleet(seed)
    old_backends = list(fleet.backends.values())[:36]
    new_backends = [fleet.add_backend(backend.size, started=True) for backend in old_backends]
    fleet.tell(EndpointState.READY, *new_backends)
    fleet.tell(EndpointState.DRAINING, *old_backends)
    fleet.run(7.0)
    # With a budget of whole connections for each backend the new ones would hold 0.01.
    assert total_connections(new_backends) >= 0.15 * len(fleet.clients)
    fleet.kill(*old_backends)
    assert served_fraction(fleet, 20.0) > 0.85
    fleet.rules.check()


@pytest.mark.parametrize("seed", [3, 4])
def test_a_failed_zone_returns_and_is_filled_without_overload(seed: int) -> None:
    fleet = large_fleet(seed)
    lost_backends = [backend for backend in fleet.backends.values() if backend.zone == 0]
    fleet.kill(*lost_backends)
    fleet.run(10.0)
    fleet.bring_back(*lost_backends)
    fleet.run(9.0)
    assert total_connections(lost_backends) >= 0.1 * len(fleet.clients)
    assert served_fraction(fleet, 10.0) > 0.85
    fleet.rules.check()


@pytest.mark.parametrize("seed", [5, 6])
def test_relays_that_restart_together_spread_their_requests_and_use_starting_backends(seed: int) -> None:
    fleet = large_fleet(seed)
    new_backends = [fleet.add_backend(4.8, started=True) for _ in range(6)]
    fleet.tell(EndpointState.READY, *new_backends)
    fleet.restart_relays(fleet.relays[:28], 500.0)
    fleet.run(6.0)
    warm = [backend for backend in fleet.backends.values() if backend not in new_backends]
    mean = sum(backend.filled() for backend in warm) / len(warm)
    assert max(backend.filled() for backend in warm) < 2.5 * mean and total_connections(new_backends) > 0
    assert served_fraction(fleet, 10.0) > 0.85
    fleet.rules.check()


def simulate_list_calls(relays: int, fleet: int, call_duration_ms: float) -> tuple[list[float], list[float]]:
    """Simulate relays that start at the same time and request the endpoint list.

    The list serves one call at a time and fails calls that have waited for 2 s.

    Args:
        relays: number of relays that start.
        fleet: number of relays that the settings state.
        call_duration_ms: time that the list needs for one call.

    Returns:
        The sorted times at which the relays received the list, and the times of all calls.
    """
    random = Random(1)
    balancers = [
        Balancer(settings(polls_discovery=True, poll_interval_ms=10_000.0, balancers=fleet), relay, 0.0)
        for relay in range(relays)
    ]
    timers: list[tuple[float, int, int]] = []  # time, relay, token; token -1: failed call
    answered_at_ms: dict[int, float] = {}
    call_times_ms: list[float] = []
    list_free_at_ms = 0.0

    def handle_event(now_ms: float, relay: int, event: EndpointList | TimerFired) -> None:
        nonlocal list_free_at_ms
        for action in balancers[relay].handle(now_ms, event):
            if isinstance(action, SetTimer):
                heapq.heappush(timers, (now_ms + action.delay_ms, relay, action.token))
            elif isinstance(action, WatchEndpoints):
                call_times_ms.append(now_ms)
                if list_free_at_ms > now_ms + 2000.0:  # the call would wait for more than 2 s
                    heapq.heappush(timers, (now_ms + 2000.0 + random.random(), relay, -1))
                else:
                    list_free_at_ms = max(list_free_at_ms, now_ms) + call_duration_ms
                    answered_at_ms[relay] = list_free_at_ms

    for relay in range(relays):
        handle_event(0.0, relay, EndpointList(ListKind.CACHED, [Endpoint(1)]))
    while timers:
        now_ms, relay, token = heapq.heappop(timers)
        handle_event(now_ms, relay, EndpointList(ListKind.FAILED) if token < 0 else TimerFired(token))
    assert len(answered_at_ms) == relays
    return sorted(answered_at_ms.values()), call_times_ms


def test_forty_relays_reach_an_overloaded_endpoint_list_without_synchronized_retries() -> None:
    """First calls are made early, up to the list's capacity, and retries of failed calls are spread out."""
    answered_at_ms, call_times_ms = simulate_list_calls(40, 40, 250.0)
    assert answered_at_ms[-1] < 15_000.0
    assert len(call_times_ms) <= 2 * 40
    later_call_times_ms = [call_time_ms for call_time_ms in call_times_ms if call_time_ms >= 1500.0]
    assert (
        max(
            sum(1 for call_time_ms in later_call_times_ms if start_ms <= call_time_ms < start_ms + 1000.0)
            for start_ms in later_call_times_ms
        )
        <= 16
    )
    assert (
        max(
            sum(1 for call_time_ms in call_times_ms if start_ms <= call_time_ms < start_ms + 1000.0)
            for start_ms in call_times_ms
        )
        <= 32
    )


def test_relays_of_a_failed_zone_that_start_together_receive_the_list_before_their_drain_deadline() -> None:
    """A backend removed 2.75 s before the start counts as known 3.25 s after it; the drain grace is 0.4 s."""
    answered_at_ms, call_times_ms = simulate_list_calls(27, 182, 25.0)
    assert answered_at_ms[-1] < 2000.0 and len(call_times_ms) == 27


def test_backends_that_reject_all_requests_for_a_minute_cost_each_relay_few_attempts() -> None:
    fleet = large_fleet(7)
    rejecting_backends = list(fleet.backends.values())[:6]
    attempts = 0

    def reject(*_: object) -> bool:
        nonlocal attempts
        attempts += 1
        return False

    for backend in rejecting_backends:
        backend.take = reject  # type: ignore[method-assign,assignment]
    assert served_fraction(fleet, 60.0) > 0.85
    # A relay avoids such a backend for 2.4 to 7.2 s, then for 4.8 to 14.4 s after each rejection. That gives about
    # seven attempts per relay and backend instead of the 43 of all requests.
    assert attempts <= 40 * len(rejecting_backends) * (60.0 / 4.8 + 2.0)
    fleet.rules.check()
