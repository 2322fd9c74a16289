"""Slow start where the wall clocks of this machine and of discovery differ: durations are real time."""

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
BACKENDS = 10
START = 1_700_000_000_000.0
STEP_MS = 6.0
HEARTBEAT_MS = 2000.0


class Relay:
    """A reducer whose backends serve each request for a while, and an endpoint list with updates."""

    def __init__(self, seed: int = 7, **changes: Any) -> None:
        values = {
            "warmup_ms": WARMUP_MS,
            "initial_capacity_fraction": 0.2,
            "overload_multiple": 2.0,
            "overload_window_ms": 1000.0,
            "balancers": 1,
        }
        self.reducer = Reducer(settings(**(values | changes)), seed, START)
        self.now, self.requests = START, itertools.count(1)
        self.running: list[tuple[float, OpenBackendConnection]] = []
        self.endpoints = {f"s-{n}": Endpoint(f"s-{n}", ("127.0.0.1", 1 + n)) for n in range(BACKENDS)}
        self.update_list(ListKind.FULL, list(self.endpoints), quiet_ms=None)

    def update_list(self, kind: ListKind, names: list[str], quiet_ms: float | None) -> None:
        event = EndpointsUpdated(kind, [self.endpoints[name] for name in names], 1)
        if quiet_ms is not None:
            event.quiet_ms = quiet_ms
        self.reducer.step(self.now, event)

    def restart(self, name: str, listed_start_ms: float, quiet_ms: float = HEARTBEAT_MS) -> None:
        self.endpoints[name] = Endpoint(
            name, self.endpoints[name].address, EndpointState.READY, started_ms=listed_start_ms
        )
        self.update_list(ListKind.DELTA, [name], quiet_ms)

    def serve(self, for_ms: float) -> dict[str, int]:
        """Send a request each few milliseconds, served for a while; return how many each backend got."""
        got = dict.fromkeys(self.endpoints, 0)
        until = self.now + for_ms
        while self.now < until:
            self.now += STEP_MS
            while self.running and self.running[0][0] <= self.now:
                _, attempt = self.running.pop(0)
                self.reducer.step(self.now, AttemptEnded(attempt.request, attempt.attempt, TerminationReason.COMPLETED))
            number = next(self.requests)
            for effect in self.reducer.step(self.now, RequestReceived(number, 1500.0)):
                if isinstance(effect, OpenBackendConnection):
                    got[effect.backend] += 1
                    self.reducer.step(self.now, BackendConnected(number, effect.attempt))
                    self.reducer.step(self.now, BackendAccepted(number, effect.attempt))
                    self.running.append((self.now + 200.0, effect))
        return got


def share_of(got: dict[str, int], name: str) -> float:
    """Return what this backend got, over the mean of the others."""
    others = [count for other, count in got.items() if other != name]
    return got[name] / (sum(others) / len(others))


@pytest.mark.parametrize("wrong_ms", (-HOUR_MS, -5000.0, 0.0, HOUR_MS))
def test_an_observed_restart_is_dated_by_the_own_clock_where_the_wall_clocks_differ(
    wrong_ms: float,
) -> None:
    relay = Relay()
    relay.serve(2000.0)
    relay.restart("s-3", relay.now + wrong_ms)
    assert share_of(relay.serve(1000.0), "s-3") < 0.75, "slow start in its first second"
    relay.serve(WARMUP_MS)
    assert 0.75 < share_of(relay.serve(2000.0), "s-3") < 1.25, "and none once its time is over"


def test_a_restart_is_dated_as_listed_where_the_clocks_agree() -> None:
    """A late update, after a time without any, does not restart slow start."""
    relay = Relay()
    relay.serve(2000.0)
    relay.restart("s-3", relay.now - WARMUP_MS, quiet_ms=WARMUP_MS + 1000.0)
    assert 0.75 < share_of(relay.serve(2000.0), "s-3") < 1.25


def test_a_start_in_the_future_does_not_keep_a_backend_in_slow_start_for_an_hour() -> None:
    relay = Relay()
    relay.endpoints["s-3"] = Endpoint("s-3", ("127.0.0.1", 4), started_ms=relay.now + HOUR_MS)
    relay.update_list(ListKind.FULL, list(relay.endpoints), quiet_ms=None)
    relay.serve(WARMUP_MS + 100.0)
    assert 0.75 < share_of(relay.serve(2000.0), "s-3") < 1.25


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_backend_that_warms_up_gets_no_more_than_each_of_the_others(seed: int) -> None:
    """Its budget would allow more with generous settings, at the expense of its clients."""
    relay = Relay(seed, warmup_ms=3000.0)
    relay.serve(3000.0)
    relay.restart("s-3", relay.now)
    relay.serve(1500.0)
    assert share_of(relay.serve(1500.0), "s-3") < 1.25
    assert 0.75 < share_of(relay.serve(3000.0), "s-3") < 1.25, "and it has its share once it is warm"
