"""Rebalancing: its invariants under random steps, and edge cases, each of which a specific safeguard covers."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import replace
from itertools import count
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from benchmarks.rebalance import measure
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.lab.model import Fleet, FleetSpec, ModelBackend
from yarrowspindle.rebalancing import Order, RebalanceError, Rebalancer, RebalanceSettings
from yarrowspindle.rebalancing.settings import read_rebalance
from yarrowspindle.routing.events import RebalancingConfigured, ShutdownRequested

START_MS = 1_700_000_000_000.0
QUICK = RebalanceSettings(
    dwell_s=0.0,
    settle_s=0.0,
    moves_per_s=1000.0,
    share_per_s=1.0,
    source_moves_per_s=1000.0,
    target_moves_per_s=1000.0,
    hot_s=1.0,
)


class RebalancerHarness:
    """A rebalancer with backends of capacity 1, numbered from 1; time advances round by round."""

    def __init__(self, changes: dict[str, Any] | None = None, backends: int = 3, warmup_ms: float = 9000.0) -> None:
        self.now = START_MS
        self.rebalancer = Rebalancer(replace(QUICK, **(changes or {})), 1, self.now, 1, warmup_ms, 0.31)
        self.requests = count(1)
        for number in range(1, backends + 1):
            self.backend(number, finishes_list=False)
        self.rebalancer.view.finish_list(())

    def backend(
        self, number: int, state: EndpointState = EndpointState.READY, started: float = 0.0, finishes_list: bool = True
    ) -> None:
        self.rebalancer.view.update_backend(self.now, f"n{number}", number, state, 1.0, started)
        if finishes_list:
            self.rebalancer.view.finish_list((self.rebalancer.view.by_name[f"n{number}"],))

    def establish(self, number: int, *loads: float, group: int = 0, returned: bool = False) -> list[int]:
        requests = [next(self.requests) for _ in loads]
        for request, load in zip(requests, loads, strict=True):
            self.rebalancer.on_connection_established(self.now, request, f"n{number}", load, request, group, returned)
        return requests

    def advance_round(self, seconds: float = 1.0) -> list[int]:
        """Plan a round, end the connections that it migrates, and return their request ids."""
        self.now += seconds * 1000.0
        migrations = self.rebalancer.plan_round(self.now, list(range(1, 50)))
        for request in migrations:
            self.rebalancer.on_connection_ended(self.now, request, False)
        return migrations

    def load(self, number: int) -> float:
        return self.rebalancer.view.by_name[f"n{number}"].load


def harness_with_newcomer(**changes: Any) -> RebalancerHarness:
    """Return two backends with ten connections each, and a third that has just joined."""
    harness = RebalancerHarness(changes, backends=2)
    harness.establish(1, *[1.0] * 10)
    harness.establish(2, *[1.0] * 10)
    harness.backend(3)
    return harness


def test_connections_migrate_to_a_new_backend_until_utilization_is_even() -> None:
    harness = harness_with_newcomer()
    for _ in range(10):
        for _ in harness.advance_round():
            harness.establish(3, 1.0, returned=True)
    assert [harness.load(n) for n in (1, 2, 3)] == [7.0, 7.0, 6.0]
    assert harness.rebalancer.counts["moves.joined"] == 6 and harness.advance_round() == []


def test_random_load_differences_cause_no_migrations() -> None:
    harness = RebalancerHarness(backends=3)
    harness.establish(1, *[1.0] * 14)
    harness.establish(2, *[1.0] * 9)
    harness.establish(3, *[1.0] * 8)
    assert all(harness.advance_round() == [] for _ in range(100))


def test_a_hot_backend_is_relieved_of_one_connection_per_round_after_hot_s() -> None:
    harness = RebalancerHarness({"hot_s": 5.0}, backends=3)
    harness.establish(1, *[1.0] * 60)
    harness.establish(2, *[1.0] * 9)
    harness.establish(3, *[1.0] * 8)
    assert all(harness.advance_round() == [] for _ in range(5))
    assert [len(harness.advance_round()) for _ in range(3)] == [1, 1, 1] and harness.rebalancer.counts["moves.hot"] == 3


def test_a_restarted_backend_takes_part_only_after_its_warmup() -> None:
    harness = harness_with_newcomer()
    harness.backend(4, started=harness.now)
    harness.advance_round()
    assert [record.backend_id for record in harness.rebalancer.assessment.participants] == [1, 2, 3]
    harness.advance_round(9.0)
    assert [record.backend_id for record in harness.rebalancer.assessment.participants] == [1, 2, 3, 4]


def test_each_flap_doubles_the_settling_time_of_a_backend() -> None:
    harness = RebalancerHarness({"settle_s": 1.0}, backends=2)
    harness.establish(1, *[1.0] * 10)
    for _ in range(4):
        harness.backend(2, EndpointState.DRAINING)
        harness.now += 100.0
        harness.backend(2)
    assert harness.advance_round(4.0) == [] and harness.advance_round(3.9) == []  # 8 s after the fourth flap
    assert harness.advance_round(0.2) != []


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_migrations_off_a_source_stop_at_once_when_it_drains_or_dies(state: EndpointState) -> None:
    harness = harness_with_newcomer(moves_per_s=1.0, order=Order.GROUP)
    group_requests = harness.establish(1, 0.5, 0.5, 0.5, group=9)
    # The rest of the group is pending after the first round.
    assert len(harness.advance_round()) == 1 and harness.rebalancer.planner.pending
    harness.backend(1, state)
    rest = {request for _ in range(10) for request in harness.advance_round()}
    assert not rest & set(group_requests) and all(request > 10 for request in rest), (
        "no connection is migrated off the first backend any more"
    )


def test_migrations_slow_down_and_pause_for_longer_if_clients_do_not_return() -> None:
    harness = RebalancerHarness({"share_per_s": 0.02}, backends=2)
    harness.establish(1, *[1.0] * 400)
    harness.establish(2, *[1.0] * 400)
    harness.backend(3)
    migrated = []
    for _ in range(400):
        migrated.append(len(harness.advance_round()))
    pauses = [line for line in harness.rebalancer.take_log_lines() if "paused (cause: lost)" in line]
    assert "resumes after 30 s" in pauses[0] and "resumes after 60 s" in pauses[1] and len(pauses) < 8
    assert sum(migrated) < 0.6 * 400 and harness.rebalancer.rate.factor < 0.3
    # Migrations resume, and recover to the full rate, once migrated clients return.
    for _ in range(500):
        for _ in harness.advance_round():
            harness.establish(3, 1.0, returned=True)
    assert harness.rebalancer.rate.factor > 0.5 and harness.load(3) > 150.0


def test_a_connection_heavier_than_the_imbalance_is_not_migrated() -> None:
    harness = RebalancerHarness(backends=2)
    harness.establish(2, *[1.0] * 20)
    (heavy_request,) = harness.establish(1, 40.0)
    harness.backend(3)
    migrations = [request for _ in range(60) for request in harness.advance_round()]
    assert heavy_request not in migrations and harness.rebalancer.counts["held.giant"] > 0


def test_a_group_is_migrated_as_a_whole_or_not_at_all() -> None:
    harness = RebalancerHarness({"order": Order.GROUP}, backends=2)
    large, small = harness.establish(1, *[2.0] * 6, group=1), harness.establish(1, *[1.0] * 3, group=2)
    harness.establish(2, *[1.0] * 10)
    harness.backend(3)  # the mean utilization is 25 / 3, and the excess of the first backend 6.7
    migrated = set(harness.advance_round()) | set(harness.advance_round())
    assert set(small) <= migrated and not migrated & set(large)
    assert harness.rebalancer.counts["held.group"] > 0


@pytest.mark.parametrize("order, first", [(Order.HEAVIEST, 3.0), (Order.LIGHTEST, 1.0)])
def test_connections_are_migrated_in_the_configured_order(order: Order, first: float) -> None:
    harness = RebalancerHarness({"order": order, "moves_per_s": 1.0}, backends=1)
    loads = dict(zip(harness.establish(1, 2.0, 1.0, 3.0, 2.0, 2.0, 2.0), (2.0, 1.0, 3.0, 2.0, 2.0, 2.0), strict=True))
    harness.backend(2)
    assert [loads[request] for request in harness.advance_round()] == [first]


def test_dwell_time_least_gain_and_moves_per_submitter_block_migrations() -> None:
    harness = harness_with_newcomer(dwell_s=3.0)
    assert (
        harness.advance_round() == [] and harness.advance_round() == [] and harness.rebalancer.counts["held.dwell"] > 0
    )
    assert harness.advance_round() != []
    harness = harness_with_newcomer(least_gain=1.5)
    assert harness.advance_round() == [] and harness.rebalancer.counts["held.light"] > 0
    harness = RebalancerHarness(backends=1)
    harness.establish(1, *[1.0] * 10, returned=True)  # other relays may already have migrated these clients
    harness.backend(2)
    assert harness.advance_round() == [] and harness.rebalancer.counts["held.submitter"] > 0
    assert harness.advance_round(600.0) != []


def test_rejections_and_reset_storms_pause_migrations_until_they_end() -> None:
    for cause in ("refusals", "storm"):
        harness = harness_with_newcomer(pause_s=5.0)
        for second in range(20):
            for _ in range(12 if second < 10 else 0):
                harness.rebalancer.on_request_received(harness.now)
                if cause == "refusals":
                    harness.rebalancer.on_request_rejected(harness.now)
                else:
                    harness.rebalancer.on_connection_ended(harness.now, harness.establish(2, 1.0)[0], True)
            # The last event is at 9 s and counts for 5 s; until then, the pause of 5 s is extended in each round.
            assert second > 18 or (harness.advance_round() != []) == (second == 18), f"{cause} at {second}"
            if second == 9:
                assert (
                    harness.rebalancer.target_utilization == 0.0 and harness.rebalancer.counts[f"paused.{cause}"] == 1
                )


def test_ineffective_migrations_are_paused() -> None:
    harness = harness_with_newcomer(moves_per_s=1.0)
    for _ in range(100):
        for _ in harness.advance_round():  # each migrated client returns to one of the sources
            harness.establish(1 if harness.load(1) < harness.load(2) else 2, 1.0, returned=False)
            harness.rebalancer.monitor.on_return(harness.now, "n1")
    assert harness.rebalancer.counts["paused.no-effect"] >= 1


def test_a_target_that_returning_clients_cannot_reach_is_excluded() -> None:
    harness = harness_with_newcomer()
    for _ in range(3):
        harness.rebalancer.on_attempt_failed(harness.now, "n3", True)
    assert harness.advance_round() == [] and harness.advance_round(31.0) != []
    harness = harness_with_newcomer()
    for _ in range(4):  # occasional failures between successful connections do not exclude the target
        harness.rebalancer.on_attempt_failed(harness.now, "n3", True)
        harness.establish(3, 0.1, returned=True)
    assert harness.advance_round() != []


def test_quiet_hours_and_shutdown_stop_migrations_at_once() -> None:
    harness = harness_with_newcomer(quiet=((0, 1440),))
    assert harness.advance_round() == [] and harness.rebalancer.idle_reason == "quiet"
    harness = harness_with_newcomer(moves_per_s=1.0)
    assert harness.advance_round()
    harness.rebalancer.stop()
    assert harness.advance_round() == [] and harness.rebalancer.target_utilization == 0.0


@pytest.mark.parametrize(
    "section, message",
    [
        ({"sprad": 0.1}, r"unknown key rebalance.sprad; did you mean spread\?"),
        ({"spread": 0}, "spread is 0; expected a number from 0.01"),
        ({"order": "first"}, "one of lightest-first"),
        ({"quiet": ["22-6"]}, "expected hours such as"),
        ({"moves_per_s": True}, "moves_per_s is True"),
        ({"quiet": ["25:00-06:00"]}, "expected times of day from 00:00 to 24:00"),
    ],
)
def test_an_invalid_setting_is_reported_with_its_key_and_allowed_values(section: dict[str, Any], message: str) -> None:
    with pytest.raises(RebalanceError, match=message):
        read_rebalance(section)


def test_quiet_hours_may_cross_midnight() -> None:
    rebalance = read_rebalance({"quiet": ["22:00-06:00"]})
    assert [rebalance.is_quiet(hour * 3_600_000.0) for hour in (0, 5, 6, 21, 22)] == [True, True, False, False, True]


class RebalancerMachine(RuleBasedStateMachine):
    """Random steps; each migration must be off a ready backend that is above the mean utilization before and not below
    it after, within the rates, and of a client that was not migrated too often."""

    @initialize(order=st.sampled_from(list(Order)), rate=st.sampled_from((1.0, 3.0)))
    def start(self, order: Order, rate: float) -> None:
        self.harness = RebalancerHarness({"order": order, "moves_per_s": rate, "source_moves_per_s": 2.0}, backends=3)
        self.rate = rate
        self.placements: dict[int, tuple[int, float]] = {}
        self.states: dict[int, EndpointState] = dict.fromkeys((1, 2, 3), EndpointState.READY)
        self.move_times: deque[float] = deque()
        self.source_move_times: dict[int, deque[float]] = {}
        self.moves_by_request: Counter[int] = Counter()

    @rule(
        number=st.integers(1, 6),
        loads=st.lists(st.sampled_from((0.5, 1.0, 4.0)), max_size=12),
        group=st.integers(0, 3),
        returned=st.booleans(),
    )
    def establish(self, number: int, loads: list[float], group: int, returned: bool) -> None:
        if self.states.get(number) is EndpointState.READY:
            for request in self.harness.establish(number, *loads, group=group, returned=returned):
                self.placements[request] = (number, 0.0)

    @rule(number=st.integers(1, 6), state=st.sampled_from(list(EndpointState)), cold=st.booleans())
    def list_changes(self, number: int, state: EndpointState, cold: bool) -> None:
        self.states[number] = state
        self.harness.backend(number, state, self.harness.now if cold else 0.0)

    @rule(index=st.integers(0, 50), load=st.sampled_from((0.2, 2.0, 6.0)))
    def load_changes(self, index: int, load: float) -> None:
        if self.placements:
            self.harness.rebalancer.view.update_load(list(self.placements)[index % len(self.placements)], load)

    @rule(seconds=st.sampled_from((0.2, 1.0, 10.0)))
    def advance_round(self, seconds: float) -> None:
        view = self.harness.rebalancer.view
        loads = {request: connection.load for request, connection in view.connections.items()}
        loads_before = {record.backend_id: record.load for record in view.by_name.values()}
        migrations = self.harness.advance_round(seconds)
        mean_utilization, now = self.harness.rebalancer.assessment.mean_utilization, self.harness.now
        assert len(migrations) == len(set(migrations))
        for request in migrations:
            number, _ = self.placements.pop(request)
            assert self.states[number] is EndpointState.READY and loads_before[number] > mean_utilization
            loads_before[number] -= loads[request]
            assert loads_before[number] >= mean_utilization - 1e-6, "a migration never takes a source below the mean"
            self.moves_by_request[request] += 1
            self.move_times.append(now)
            self.source_move_times.setdefault(number, deque()).append(now)
        for times, rate in ((self.move_times, self.rate), *((s, 2.0) for s in self.source_move_times.values())):
            while times and times[0] <= now - 1000.0:
                times.popleft()
            assert len(times) <= rate + max(1.0, rate), "at most rate plus burst in a second"
        assert max(self.moves_by_request.values(), default=0) <= 1
        records = view.by_name.values()
        assert all(
            abs(record.load - sum(connection.load for connection in record.connections.values())) < 1e-6
            for record in records
        )


RebalancerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
TestRebalancerMachine = RebalancerMachine.TestCase


# --- simulated fleets on a virtual clock --------------------------------------------------------


def test_a_run_is_deterministic_for_a_seed() -> None:
    def counts(seed: int) -> tuple[Counter[str], float]:
        fleet = Fleet(FleetSpec(connections=200, backends=6, rebalance=QUICK), seed)
        fleet.fill(2.0)
        fleet.run(20.0)
        return fleet.counts, fleet.imbalance()

    assert counts(5) == counts(5) != counts(6)


@pytest.mark.parametrize("scenario", ["return", "steady", "skewed"])
def test_the_benchmark_requirements_hold_for_an_arbitrary_seed(scenario: str) -> None:
    assert measure(scenario, "small", 20261201)[1] == []


def fleet_with_newcomers(spec: FleetSpec, seed: int, newcomers: int) -> tuple[Fleet, list[ModelBackend]]:
    """Return a fleet in steady state, and the given number of backends that have just started cold."""
    fleet = Fleet(spec, seed)
    returning = list(fleet.backends.values())[:newcomers]
    fleet.kill(*returning)
    fleet.fill(8.0)
    fleet.run(20.0)
    fleet.restart_backends(*returning)
    return fleet, returning


def test_a_hundred_relays_do_not_overload_a_single_new_backend() -> None:
    spec = FleetSpec(
        relays=100,
        backends=40,
        connections=4000,
        same_planning_seed=True,
        lifetime_s=3600.0,
        rebalance=RebalanceSettings(),
    )
    fleet, (backend,) = fleet_with_newcomers(spec, 3, 1)
    peak_utilization, previous_connections, max_new_connections = 0.0, 0, 0
    for _ in range(60):
        fleet.run(1.0)
        max_new_connections, previous_connections = (
            max(max_new_connections, len(backend.connections) - previous_connections),
            len(backend.connections),
        )
        peak_utilization = max(peak_utilization, backend.utilization())
    mean_utilization = (
        sum(n.load for n in fleet.backends.values()) / sum(n.size for n in fleet.backends.values()) / 1000.0
    )
    fleet.rules.check()
    assert (
        peak_utilization <= 1.25 * mean_utilization
        and max_new_connections <= 2 * RebalanceSettings().target_moves_per_s
    )


def test_reload_and_shutdown_during_migrations() -> None:
    fleet, _ = fleet_with_newcomers(FleetSpec(backends=8, connections=800, rebalance=RebalanceSettings()), 4, 2)
    fleet.run(14.0)
    migrations = fleet.counts["moves"]
    assert migrations > 0
    fleet.configure(None)  # reload of the file without the section
    fleet.run(5.0)
    assert fleet.counts["moves"] == migrations
    fleet.configure(RebalanceSettings())  # reload with the section: the view contains all established connections
    relay = fleet.relays[0]
    rebalance = relay.reducer.rebalancer
    assert rebalance is not None and len(rebalance.view.connections) == sum(
        request.phase.name == "ESTABLISHED" for request in relay.reducer.requests.values()
    )
    fleet.run(15.0)
    assert fleet.counts["moves"] > migrations
    moves_at_shutdown = rebalance.counts["moves.joined"]
    relay.post(ShutdownRequested(3000.0))
    fleet.run(4.0)
    assert rebalance.counts["moves.joined"] == moves_at_shutdown
    relay.post(RebalancingConfigured(RebalanceSettings()))
    fleet.rules.check()


def test_rejections_by_full_backends_pause_migrations() -> None:
    spec = FleetSpec(
        backends=8, connections=1200, utilization=1.1, max_connections_per_backend=130, rebalance=RebalanceSettings()
    )
    fleet, _ = fleet_with_newcomers(spec, 2, 2)
    fleet.run(40.0)
    assert fleet.counts["refused"] > 100 and fleet.relay_counts("paused.refusals") > 0 and fleet.counts["moves"] <= 12


def test_connections_of_a_draining_source_are_not_migrated() -> None:
    fleet, _ = fleet_with_newcomers(FleetSpec(backends=8, connections=800, rebalance=RebalanceSettings()), 6, 2)
    fleet.run(14.0)
    source = max(fleet.backends.values(), key=ModelBackend.utilization)
    fleet.update_endpoints(EndpointState.DRAINING, source)
    fleet.run(2.0)  # until each relay has received the new state
    keys = set(source.connections)
    up_before = fleet.counts["up"]
    fleet.run(10.0)
    active_clients = {(r.index, request) for r in fleet.relays for request in r.clients}
    assert up_before < fleet.counts["up"] and not (keys - set(source.connections)) & active_clients
    assert len(keys - set(source.connections)) <= 12, "only connections that ended have left the source"
    fleet.rules.check()
