"""Migration of connections with slow messages."""

from __future__ import annotations

import pytest

from tests.helpers import WITH_MESSAGE_OBJECTIVE, balancer, end_attempt, establish_request, place
from yarrowspindle.decisions.actions import MigrateConnection
from yarrowspindle.decisions.events import (
    Outcome,
    SlowMessageObserved,
)
from yarrowspindle.decisions.migration import slow_message_probability


def test_a_slow_backend_gets_nothing_new_and_loses_its_heaviest_connection() -> None:
    b = balancer(2, seed=4, classes=WITH_MESSAGE_OBJECTIVE)
    requests_by_backend: dict[int, list[int]] = {1: [], 2: []}
    for n in range(1, 30):
        requests_by_backend[establish_request(b, 0.0, n, load=float(n))].append(n)
    actions = b.handle(1.0, SlowMessageObserved(requests_by_backend[1][0], 1, 500.0))
    actions += b.handle(2.0, SlowMessageObserved(requests_by_backend[1][0], 1, 500.0))
    assert MigrateConnection(requests_by_backend[1][-1]) in actions
    assert {place(b, 3.0, n) for n in range(100, 110)} <= {2, None}


def test_a_migrated_connection_is_not_migrated_or_answered_again() -> None:
    b = balancer(1, seed=1, classes=WITH_MESSAGE_OBJECTIVE)
    backend = establish_request(b, 0.0, 1)
    actions = [a for t in range(1, 200) for a in b.handle(float(t), SlowMessageObserved(1, backend, 500.0))]
    assert actions.count(MigrateConnection(1)) <= 1
    assert end_attempt(b, 300.0, 1, backend, Outcome.CANCELLED) == []


def test_a_message_latency_within_the_objective_migrates_nothing() -> None:
    b = balancer(1, classes=WITH_MESSAGE_OBJECTIVE)
    backend = establish_request(b, 0.0, 1)
    assert all(b.handle(float(t), SlowMessageObserved(1, backend, 80.0)) == [] for t in range(1, 50))


def test_a_class_without_a_message_objective_is_neither_migrated_nor_rejected_for_slow_messages() -> None:
    b = balancer(1)
    backend = establish_request(b, 0.0, 1)
    assert all(b.handle(float(t), SlowMessageObserved(1, backend, 500.0)) == [] for t in range(1, 30))
    assert place(b, 40.0, 2) == backend


@pytest.mark.parametrize(
    ("slow_fraction", "setup_fraction", "retry_after", "expected"),
    [
        (0.0, 0.0, False, 0.8),
        (0.5, 0.0, False, 0.4),
        (1.0, 0.0, False, 0.0),
        (1.0, 0.0, True, 0.24),
        (0.0, 0.5, True, 0.4),
        (0.0, 1.0, True, 0.0),
    ],
)
def test_migrations_for_slow_messages_become_rare_in_an_overload_and_while_setups_are_slow(
    slow_fraction: float, setup_fraction: float, retry_after: bool, expected: float
) -> None:
    assert slow_message_probability(slow_fraction, setup_fraction, retry_after) == pytest.approx(expected)
