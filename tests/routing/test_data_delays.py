"""Delays that this process causes do not count as backend latency.

The answer to a connection setup or a message may stay unread in this process's socket, for example during a stall.
"""

from __future__ import annotations

import pytest

from tests.helpers import WITH_MESSAGE_OBJECTIVE, settings
from yarrowspindle.decisions.events import ListKind
from yarrowspindle.routing.effects import MigrateConnection
from yarrowspindle.routing.events import (
    BackendAccepted,
    BackendConnected,
    BackendDataDelayed,
    BackendDataForwarded,
    ClientDataForwarded,
    Endpoint,
    EndpointsUpdated,
    EventLoopStalled,
    RequestReceived,
    TimerFired,
)
from yarrowspindle.routing.health import MAX_RESPONSE_DELAY_MS
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.state import MAX_MEASURED_LINES
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.routing.timers import LIVENESS_TIMER

READ_DELAY_MS = 140.0


def establish_connection(delay_ms: float, setup_ms: float = 145.0) -> tuple[Reducer, float]:
    """Return a reducer with one established connection, and the time at which its setup ended.

    Args:
        delay_ms: How long the backend's answer was unread in this process's socket.
        setup_ms: The duration of the setup, including the delay.
    """
    reducer = Reducer(settings(classes=WITH_MESSAGE_OBJECTIVE), 1, 0.0)
    reducer.step(0.0, EndpointsUpdated(ListKind.FULL, [Endpoint("s-1", ("127.0.0.1", 1))]))
    reducer.step(1.0, RequestReceived(1, 2000.0))
    reducer.step(2.0, BackendConnected(1, 0))
    now = 1.0 + setup_ms
    if delay_ms:
        reducer.step(now, BackendDataDelayed(1, delay_ms))
    reducer.step(now, BackendAccepted(1, 0))
    return reducer, now


@pytest.mark.parametrize(("delay_ms", "expected_ms"), [(0.0, 145.0), (READ_DELAY_MS, 5.0), (500.0, 0.0)])
def test_setup_latency_excludes_the_delay_in_this_process(delay_ms: float, expected_ms: float) -> None:
    """Guard against load shedding due to setups that only this process delayed."""
    reducer, _ = establish_connection(delay_ms)
    fraction = reducer.balancer.admission.setup_latency.fraction
    objective_ms = WITH_MESSAGE_OBJECTIVE[0].setup_latency_objective_ms
    assert fraction * 8.0 * objective_ms == pytest.approx(expected_ms)


@pytest.mark.parametrize("delay_ms", [0.0, READ_DELAY_MS])
def test_message_latency_excludes_the_delay_in_this_process(delay_ms: float) -> None:
    """Guard against counting a backend as slow when its answers were unread here; a slow one is still detected."""
    reducer, now = establish_connection(0.0, 5.0)
    for _ in range(20):
        reducer.step(now, ClientDataForwarded(1, 1))
        now += READ_DELAY_MS + 20.0
        if delay_ms:
            reducer.step(now, BackendDataDelayed(1, delay_ms))
        reducer.step(now, BackendDataForwarded(1, 1))
    (backend,) = reducer.balancer.backends.values()
    assert (backend.slow_until > now) == (delay_ms == 0.0)


def test_a_delay_during_a_stall_is_not_counted_twice() -> None:
    reducer, now = establish_connection(0.0, 5.0)
    reducer.step(now, ClientDataForwarded(1, 1))
    reducer.step(now + 400.0, EventLoopStalled(300.0))
    reducer.step(now + 400.0, BackendDataDelayed(1, 90.0))
    assert reducer.requests[1].unanswered[0][0] == now + 300.0


def test_a_delay_of_an_unknown_request_changes_nothing() -> None:
    reducer, now = establish_connection(0.0)
    assert reducer.step(now, BackendDataDelayed(77, 50.0)) == []


@pytest.mark.parametrize("lines", (1, MAX_MEASURED_LINES // 2, MAX_MEASURED_LINES + 1, 1000))
def test_message_latency_excludes_the_wait_for_the_clients_own_lines(lines: int) -> None:
    """Guard against a backend that counts as slow because a client sends faster than it is answered."""
    reducer, now = establish_connection(0.0, 5.0)
    reducer.step(now, ClientDataForwarded(1, lines))
    for _ in range(20):
        reducer.step(now + 0.1, ClientDataForwarded(1, lines))
        now += READ_DELAY_MS + 20.0
        reducer.step(now, BackendDataForwarded(1, lines))
        now += 0.1
    (backend,) = reducer.balancer.backends.values()
    assert (backend.slow_until > now) == (2 * lines <= MAX_MEASURED_LINES)


@pytest.mark.parametrize(("lines", "reason"), ((1, TerminationReason.UNRESPONSIVE), (1000, TerminationReason.MIGRATED)))
def test_a_backend_is_not_unresponsive_because_its_client_reads_nothing(lines: int, reason: TerminationReason) -> None:
    """Guard against a backend that is ejected because clients flood it and do not read its answers."""
    reducer, now = establish_connection(0.0, 5.0)
    reducer.step(now, ClientDataForwarded(1, lines))
    effects = reducer.step(now + MAX_RESPONSE_DELAY_MS + 1.0, TimerFired(LIVENESS_TIMER))
    assert [effect.reason for effect in effects if isinstance(effect, MigrateConnection)] == [reason]
