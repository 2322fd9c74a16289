"""Slow start where the wall clocks of this machine and of discovery do not agree: spans are real time."""

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
COLD_MS = 4000.0
BACKENDS = 10
START = 1_700_000_000_000.0
STEP_MS = 6.0
HEARTBEAT_MS = 2000.0


class Relay:
    """A reducer whose servers serve each request for a while, and a list that tells what changes."""

    def __init__(self, seed: int = 7, **changes: Any) -> None:
        values = {
            "warmup_ms": COLD_MS,
            "initial_capacity_fraction": 0.2,
            "overload_multiple": 2.0,
            "overload_window_ms": 1000.0,
            "balancers": 1,
        }
        self.reducer = Reducer(settings(**(values | changes)), seed, START)
        self.now, self.requests = START, itertools.count(1)
        self.running: list[tuple[float, OpenBackendConnection]] = []
        self.machines = {f"s-{n}": Endpoint(f"s-{n}", ("127.0.0.1", 1 + n)) for n in range(BACKENDS)}
        self.tell(ListKind.FULL, list(self.machines), quiet_ms=None)

    def tell(self, kind: ListKind, names: list[str], quiet_ms: float | None) -> None:
        told = EndpointsUpdated(kind, [self.machines[name] for name in names], 1)
        if quiet_ms is not None:
            told.since_last_update_ms = quiet_ms
        self.reducer.step(self.now, told)

    def restart(self, name: str, told_start_ms: float, quiet_ms: float = HEARTBEAT_MS) -> None:
        self.machines[name] = Endpoint(name, self.machines[name].address, EndpointState.READY, started_ms=told_start_ms)
        self.tell(ListKind.DELTA, [name], quiet_ms)

    def serve(self, for_ms: float) -> dict[str, int]:
        """A request each few milliseconds, served at once and for a while; how many each server got."""
        got = dict.fromkeys(self.machines, 0)
        until = self.now + for_ms
        while self.now < until:
            self.now += STEP_MS
            while self.running and self.running[0][0] <= self.now:
                _, reach = self.running.pop(0)
                self.reducer.step(self.now, AttemptEnded(reach.request, reach.attempt, TerminationReason.COMPLETED))
            number = next(self.requests)
            for effect in self.reducer.step(self.now, RequestReceived(number, 1500.0)):
                if isinstance(effect, OpenBackendConnection):
                    got[effect.backend] += 1
                    self.reducer.step(self.now, BackendConnected(number, effect.attempt))
                    self.reducer.step(self.now, BackendAccepted(number, effect.attempt))
                    self.running.append((self.now + 200.0, effect))
        return got


def share_of(got: dict[str, int], name: str) -> float:
    """Of what each of the others got in the mean."""
    others = [count for other, count in got.items() if other != name]
    return got[name] / (sum(others) / len(others))


@pytest.mark.parametrize("wrong_ms", (-HOUR_MS, -5000.0, 0.0, HOUR_MS))
def test_a_restart_that_the_relay_sees_is_dated_by_its_own_clock_where_the_wall_clocks_do_not_agree(
    wrong_ms: float,
) -> None:
    relay = Relay()
    relay.serve(2000.0)
    relay.restart("s-3", relay.now + wrong_ms)
    assert share_of(relay.serve(1000.0), "s-3") < 0.75, "slow start in its first second"
    relay.serve(COLD_MS)
    assert 0.75 < share_of(relay.serve(2000.0), "s-3") < 1.25, "and none once its time is over"


def test_a_restart_is_dated_as_told_where_the_clocks_agree() -> None:
    """Word that comes late, after a quiet time, does not start the slow start anew."""
    relay = Relay()
    relay.serve(2000.0)
    relay.restart("s-3", relay.now - COLD_MS, quiet_ms=COLD_MS + 1000.0)
    assert 0.75 < share_of(relay.serve(2000.0), "s-3") < 1.25


def test_a_start_in_the_future_that_is_first_seen_in_a_list_does_not_keep_a_backend_cold_for_an_hour() -> None:
    relay = Relay()
    relay.machines["s-3"] = Endpoint("s-3", ("127.0.0.1", 4), started_ms=relay.now + HOUR_MS)
    relay.tell(ListKind.FULL, list(relay.machines), quiet_ms=None)
    relay.serve(COLD_MS + 100.0)
    assert 0.75 < share_of(relay.serve(2000.0), "s-3") < 1.25


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_backend_that_warms_up_is_not_fed_over_what_each_of_the_others_gets(seed: int) -> None:
    """Its budget would allow it, where the settings are generous; its own clients would pay for it."""
    relay = Relay(seed, warmup_ms=3000.0)
    relay.serve(3000.0)
    relay.restart("s-3", relay.now)
    relay.serve(1500.0)
    assert share_of(relay.serve(1500.0), "s-3") < 1.25
    assert 0.75 < share_of(relay.serve(3000.0), "s-3") < 1.25, "and it has its share once it is warm"
