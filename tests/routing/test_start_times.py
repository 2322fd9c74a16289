"""Slow start lasts for a real duration even if the wall clocks of this machine and of discovery disagree."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from tests.helpers import settings
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.routing.effects import OpenBackendConnection
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    Endpoint,
    EndpointsUpdated,
    RequestReceived,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.termination import TerminationReason

HOUR_MS = 3_600_000.0
WARMUP_MS = 4000.0
BACKEND_COUNT = 10
START_MS = 1_700_000_000_000.0
REQUEST_INTERVAL_MS = 6.0
UPDATE_INTERVAL_MS = 2000.0


class Relay:
    """A reducer with backends that serve each request for 200 ms, and an endpoint list that reports changes."""

    def __init__(self, seed: int = 7, **changes: Any) -> None:
        values = {
            "warmup_ms": WARMUP_MS,
            "initial_capacity_fraction": 0.2,
            "overload_multiple": 2.0,
            "overload_window_ms": 1000.0,
            "balancers": 1,
        }
        self.reducer = Reducer(settings(**(values | changes)), seed, START_MS)
        self.now, self.request_ids = START_MS, itertools.count(1)
        self.open_connections: list[tuple[float, OpenBackendConnection]] = []
        self.endpoints = {
            f"s-{index}": Endpoint(f"s-{index}", ("127.0.0.1", 1 + index)) for index in range(BACKEND_COUNT)
        }
        self.update(ListKind.FULL, list(self.endpoints), since_last_update_ms=None)

    def update(self, kind: ListKind, names: list[str], since_last_update_ms: float | None) -> None:
        update = EndpointsUpdated(kind, [self.endpoints[name] for name in names], 1)
        if since_last_update_ms is not None:
            update.since_last_update_ms = since_last_update_ms
        self.reducer.step(self.now, update)

    def restart(self, name: str, reported_start_ms: float, since_last_update_ms: float = UPDATE_INTERVAL_MS) -> None:
        self.endpoints[name] = Endpoint(
            name, self.endpoints[name].address, EndpointState.READY, started_ms=reported_start_ms
        )
        self.update(ListKind.DELTA, [name], since_last_update_ms)

    def serve(self, duration_ms: float) -> dict[str, int]:
        """Send a request every 6 ms, accepted at once; return the number of requests by backend."""
        request_counts = dict.fromkeys(self.endpoints, 0)
        end = self.now + duration_ms
        while self.now < end:
            self.now += REQUEST_INTERVAL_MS
            while self.open_connections and self.open_connections[0][0] <= self.now:
                _, connection = self.open_connections.pop(0)
                self.reducer.step(
                    self.now, AttemptEnded(connection.request, connection.attempt, TerminationReason.COMPLETED)
                )
            request_id = next(self.request_ids)
            for effect in self.reducer.step(self.now, RequestReceived(request_id, 1500.0)):
                if isinstance(effect, OpenBackendConnection):
                    request_counts[effect.backend] += 1
                    self.reducer.step(self.now, BackendConnected(request_id, effect.attempt))
                    self.reducer.step(self.now, BackendAccepted(request_id, effect.attempt))
                    self.open_connections.append((self.now + 200.0, effect))
        return request_counts


def relative_share(request_counts: dict[str, int], name: str) -> float:
    """Return the backend's number of requests relative to the mean of the other backends."""
    others = [count for other, count in request_counts.items() if other != name]
    return request_counts[name] / (sum(others) / len(others))


@pytest.mark.parametrize("clock_error_ms", (-HOUR_MS, -5000.0, 0.0, HOUR_MS))
def test_an_observed_restart_is_dated_by_the_relays_clock_if_the_wall_clocks_disagree(
    clock_error_ms: float,
) -> None:
    relay = Relay()
    relay.serve(2000.0)
    relay.restart("s-3", relay.now + clock_error_ms)
    assert relative_share(relay.serve(1000.0), "s-3") < 0.75, "slow start in the first second after the restart"
    relay.serve(WARMUP_MS)
    assert 0.75 < relative_share(relay.serve(2000.0), "s-3") < 1.25, "no slow start after its duration"


def test_a_restart_is_dated_as_reported_if_the_clocks_agree() -> None:
    """Guard against a second slow start when the update that reports the restart arrives late, after a gap."""
    relay = Relay()
    relay.serve(2000.0)
    relay.restart("s-3", relay.now - WARMUP_MS, since_last_update_ms=WARMUP_MS + 1000.0)
    assert 0.75 < relative_share(relay.serve(2000.0), "s-3") < 1.25


def test_a_first_listed_start_in_the_future_does_not_prolong_slow_start() -> None:
    relay = Relay()
    relay.endpoints["s-3"] = Endpoint("s-3", ("127.0.0.1", 4), started_ms=relay.now + HOUR_MS)
    relay.update(ListKind.FULL, list(relay.endpoints), since_last_update_ms=None)
    relay.serve(WARMUP_MS + 100.0)
    assert 0.75 < relative_share(relay.serve(2000.0), "s-3") < 1.25


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_backend_in_slow_start_gets_no_more_than_its_share(seed: int) -> None:
    """Guard against overloading a cold backend with permissive settings, since its clients would have to wait."""
    relay = Relay(seed, warmup_ms=3000.0)
    relay.serve(3000.0)
    relay.restart("s-3", relay.now)
    relay.serve(1500.0)
    assert relative_share(relay.serve(1500.0), "s-3") < 1.25
    assert 0.75 < relative_share(relay.serve(3000.0), "s-3") < 1.25, "it gets its share once it is warm"
