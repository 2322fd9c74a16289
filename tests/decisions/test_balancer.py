"""The balancer's interface."""

from __future__ import annotations

import pytest

from tests.helpers import balancer, end_attempt, establish_request, settings
from yarrowspindle.decisions.actions import FailRequest
from yarrowspindle.decisions.events import (
    ConnectionEstablished,
    RequestReceived,
)


def test_invalid_events_raise_plain_exceptions() -> None:
    b = balancer()
    backend = establish_request(b, 5.0, 1)
    with pytest.raises(ValueError, match="clock"):
        b.handle(4.0, RequestReceived(2, left_ms=100.0))
    with pytest.raises(ValueError, match="unknown request"):
        b.handle(5.0, ConnectionEstablished(77, 0, 1))
    with pytest.raises(ValueError, match="not in flight"):
        end_attempt(b, 5.0, 1, backend, attempt=3)
    with pytest.raises(ValueError, match="unknown class"):
        b.handle(5.0, RequestReceived(3, cls=9, left_ms=100.0))
    with pytest.raises(ValueError, match="already known"):
        b.handle(5.0, RequestReceived(1, left_ms=100.0))
    with pytest.raises(TypeError):
        b.handle(5.0, FailRequest(1))  # type: ignore[arg-type]
    with pytest.raises(ValueError, match="settings"):
        settings(initial_capacity_fraction=0.0)


def test_instances_share_nothing() -> None:
    """The same events give the same actions, regardless of what other instances handle in between."""

    def run(disturbed: bool) -> list[object]:
        b, other = balancer(6, seed=9), balancer(6, seed=10)
        out: list[object] = []
        for n in range(60):
            out += b.handle(float(n), RequestReceived(n, left_ms=1000.0, load=1.0 + n % 3))
            if disturbed:
                other.handle(float(n), RequestReceived(n, left_ms=1000.0))
        return out

    assert run(False) == run(True)
