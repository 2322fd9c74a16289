"""Rebalancing: its rules under random steps, and the hard cases, each of which fails without its remedy."""

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
    """A rebalancer with nodes of capacity 1, numbered from 1; time moves by beats."""

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
        """The moves of one beat, carried out: the jobs are over here."""
        self.now += seconds * 1000.0
        moves = self.rebalancer.plan_round(self.now, list(range(1, 50)))
        for request in moves:
            self.rebalancer.on_connection_ended(self.now, request, False)
        return moves

    def load(self, number: int) -> float:
        return self.rebalancer.view.by_name[f"n{number}"].load


def harness_with_newcomer(**changes: Any) -> RebalancerHarness:
    """Two nodes that hold ten jobs each, and a third that has just come."""
    harness = RebalancerHarness(changes, backends=2)
    harness.establish(1, *[1.0] * 10)
    harness.establish(2, *[1.0] * 10)
    harness.backend(3)
    return harness


def test_a_newcomer_draws_requests_from_both_others_down_to_the_level_and_no_further() -> None:
    harness = harness_with_newcomer()
    for _ in range(10):
        for _ in harness.advance_round():
            harness.establish(3, 1.0, returned=True)
    assert [harness.load(n) for n in (1, 2, 3)] == [7.0, 7.0, 6.0]
    assert harness.rebalancer.counts["moves.joined"] == 6 and harness.advance_round() == []


def test_nothing_moves_while_no_backend_came_though_loads_differ_by_chance() -> None:
    harness = RebalancerHarness(backends=3)
    harness.establish(1, *[1.0] * 14)
    harness.establish(2, *[1.0] * 9)
    harness.establish(3, *[1.0] * 8)
    assert all(harness.advance_round() == [] for _ in range(100))


def test_a_backend_far_beyond_chance_is_relieved_one_request_a_beat_once_it_has_lasted() -> None:
    harness = RebalancerHarness({"hot_s": 5.0}, backends=3)
    harness.establish(1, *[1.0] * 60)
    harness.establish(2, *[1.0] * 9)
    harness.establish(3, *[1.0] * 8)
    assert all(harness.advance_round() == [] for _ in range(5))
    assert [len(harness.advance_round()) for _ in range(3)] == [1, 1, 1] and harness.rebalancer.counts["moves.hot"] == 3


def test_a_backend_that_returns_cold_in_mid_plan_takes_part_only_once_it_is_warm() -> None:
    harness = harness_with_newcomer()
    harness.backend(4, started=harness.now)
    harness.advance_round()
    assert [b.backend_id for b in harness.rebalancer.assessment.participants] == [1, 2, 3]
    harness.advance_round(9.0)
    assert [b.backend_id for b in harness.rebalancer.assessment.participants] == [1, 2, 3, 4]


def test_a_flapping_backend_has_to_stay_ready_for_longer_each_time() -> None:
    harness = RebalancerHarness({"settle_s": 1.0}, backends=2)
    harness.establish(1, *[1.0] * 10)
    for _ in range(4):
        harness.backend(2, EndpointState.DRAINING)
        harness.now += 100.0
        harness.backend(2)
    assert harness.advance_round(4.0) == [] and harness.advance_round(3.9) == []  # 8 s after the fourth flap
    assert harness.advance_round(0.2) != []


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_source_that_drains_or_dies_in_mid_plan_is_left_alone_at_once(state: EndpointState) -> None:
    harness = harness_with_newcomer(moves_per_s=1.0, order=Order.GROUP)
    held = harness.establish(1, 0.5, 0.5, 0.5, group=9)
    assert (
        len(harness.advance_round()) == 1 and harness.rebalancer.planner.pending
    )  # the rest of the group is to follow
    harness.backend(1, state)
    rest = {request for _ in range(10) for request in harness.advance_round()}
    assert not rest & set(held) and all(request > 10 for request in rest), "nothing leaves the first node any more"


def test_clients_that_do_not_come_back_slow_the_pace_and_pause_the_plan_for_longer_each_time() -> None:
    harness = RebalancerHarness({"share_per_s": 0.02}, backends=2)
    harness.establish(1, *[1.0] * 400)
    harness.establish(2, *[1.0] * 400)
    harness.backend(3)
    moved = []
    for _ in range(400):
        moved.append(len(harness.advance_round()))
    pauses = [line for line in harness.rebalancer.take_log_lines() if "paused (cause: lost)" in line]
    assert "resumes after 30 s" in pauses[0] and "resumes after 60 s" in pauses[1] and len(pauses) < 8
    assert sum(moved) < 0.6 * 400 and harness.rebalancer.rate.factor < 0.3
    # It goes on, and comes back to its full pace, once those who are moved come again.
    for _ in range(500):
        for _ in harness.advance_round():
            harness.establish(3, 1.0, returned=True)
    assert harness.rebalancer.rate.factor > 0.5 and harness.load(3) > 150.0


def test_a_giant_heavier_than_the_gap_stays_and_is_not_played_to_and_fro() -> None:
    harness = RebalancerHarness(backends=2)
    harness.establish(2, *[1.0] * 20)
    (giant,) = harness.establish(1, 40.0)
    harness.backend(3)
    moves = [request for _ in range(60) for request in harness.advance_round()]
    assert giant not in moves and harness.rebalancer.counts["held.giant"] > 0


def test_a_group_goes_as_a_whole_or_stays_where_it_is_larger_than_the_gap() -> None:
    harness = RebalancerHarness({"order": Order.GROUP}, backends=2)
    large, small = harness.establish(1, *[2.0] * 6, group=1), harness.establish(1, *[1.0] * 3, group=2)
    harness.establish(2, *[1.0] * 10)
    harness.backend(3)  # the level is 25 / 3: the first may lose 6.7
    moved = set(harness.advance_round()) | set(harness.advance_round())
    assert set(small) <= moved and not moved & set(large)
    assert harness.rebalancer.counts["held.group"] > 0


@pytest.mark.parametrize("order, first", [(Order.HEAVIEST, 3.0), (Order.LIGHTEST, 1.0)])
def test_the_order_says_who_goes_first(order: Order, first: float) -> None:
    harness = RebalancerHarness({"order": order, "moves_per_s": 1.0}, backends=1)
    loads = dict(zip(harness.establish(1, 2.0, 1.0, 3.0, 2.0, 2.0, 2.0), (2.0, 1.0, 3.0, 2.0, 2.0, 2.0), strict=True))
    harness.backend(2)
    assert [loads[request] for request in harness.advance_round()] == [first]


def test_dwell_the_least_gain_and_the_bound_for_one_client_hold_requests_back() -> None:
    harness = harness_with_newcomer(dwell_s=3.0)
    assert (
        harness.advance_round() == [] and harness.advance_round() == [] and harness.rebalancer.counts["held.dwell"] > 0
    )
    assert harness.advance_round() != []
    harness = harness_with_newcomer(least_gain=1.5)
    assert harness.advance_round() == [] and harness.rebalancer.counts["held.light"] > 0
    harness = RebalancerHarness(backends=1)
    harness.establish(1, *[1.0] * 10, returned=True)  # others may have moved them already
    harness.backend(2)
    assert harness.advance_round() == [] and harness.rebalancer.counts["held.submitter"] > 0
    assert harness.advance_round(600.0) != []


def test_refusals_and_storms_pause_the_plan_until_they_have_ended() -> None:
    for cause in ("refusals", "storm"):
        harness = harness_with_newcomer(pause_s=5.0)
        for second in range(20):
            for _ in range(12 if second < 10 else 0):
                harness.rebalancer.on_request_received(harness.now)
                if cause == "refusals":
                    harness.rebalancer.on_request_rejected(harness.now)
                else:
                    harness.rebalancer.on_connection_ended(harness.now, harness.establish(2, 1.0)[0], True)
            # The last came at 9 s and counts for 5 s; the pause of 5 s begins anew until then.
            assert second > 18 or (harness.advance_round() != []) == (second == 18), f"{cause} at {second}"
            if second == 9:
                assert (
                    harness.rebalancer.target_utilization == 0.0 and harness.rebalancer.counts[f"paused.{cause}"] == 1
                )


def test_moves_without_effect_pause_the_plan() -> None:
    harness = harness_with_newcomer(moves_per_s=1.0)
    for _ in range(100):
        for _ in harness.advance_round():  # whoever is moved is back where it was
            harness.establish(1 if harness.load(1) < harness.load(2) else 2, 1.0, returned=False)
            harness.rebalancer.monitor.on_return(harness.now, "n1")
    assert harness.rebalancer.counts["paused.no-effect"] >= 1


def test_a_target_that_turns_returning_clients_away_is_left_alone() -> None:
    harness = harness_with_newcomer()
    for _ in range(3):
        harness.rebalancer.on_attempt_failed(harness.now, "n3", True)
    assert harness.advance_round() == [] and harness.advance_round(31.0) != []
    harness = harness_with_newcomer()
    for _ in range(4):  # now and then one fails and others come up: that is no reason
        harness.rebalancer.on_attempt_failed(harness.now, "n3", True)
        harness.establish(3, 0.1, returned=True)
    assert harness.advance_round() != []


def test_quiet_hours_and_a_planned_restart_end_the_plan_at_once() -> None:
    harness = harness_with_newcomer(quiet=((0, 1440),))
    assert harness.advance_round() == [] and harness.rebalancer.idle_reason == "quiet"
    harness = harness_with_newcomer(moves_per_s=1.0)
    assert harness.advance_round()
    harness.rebalancer.stop()
    assert harness.advance_round() == [] and harness.rebalancer.target_utilization == 0.0


@pytest.mark.parametrize(
    "section, message",
    [
        ({"sprad": 0.1}, r"sprad is not a known key; did you mean spread\?"),
        ({"spread": 0}, "spread is 0; expected a number from 0.01"),
        ({"order": "first"}, "one of lightest-first"),
        ({"quiet": ["22-6"]}, "expected hours such as"),
        ({"moves_per_s": True}, "moves_per_s is True"),
        ({"quiet": ["25:00-06:00"]}, "expected times of day from 00:00 to 24:00"),
    ],
)
def test_a_wrong_key_is_named_with_what_is_allowed(section: dict[str, Any], message: str) -> None:
    with pytest.raises(RebalanceError, match=message):
        read_rebalance(section)


def test_hours_over_midnight() -> None:
    night = read_rebalance({"quiet": ["22:00-06:00"]})
    assert [night.is_quiet(h * 3_600_000.0) for h in (0, 5, 6, 21, 22)] == [True, True, False, False, True]


class RebalancerMachine(RuleBasedStateMachine):
    """Random steps; each move must be of a job that stands at a ready node, above the level before and after, within
    the rates, and of a submitter that was not moved too often."""

    @initialize(order=st.sampled_from(list(Order)), rate=st.sampled_from((1.0, 3.0)))
    def start(self, order: Order, rate: float) -> None:
        self.harness = RebalancerHarness({"order": order, "moves_per_s": rate, "source_moves_per_s": 2.0}, backends=3)
        self.rate = rate
        self.placements: dict[int, tuple[int, float]] = {}
        self.states: dict[int, EndpointState] = dict.fromkeys((1, 2, 3), EndpointState.READY)
        self.moved: deque[float] = deque()
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

    @rule(draw=st.integers(0, 50), load=st.sampled_from((0.2, 2.0, 6.0)))
    def load_changes(self, draw: int, load: float) -> None:
        if self.placements:
            self.harness.rebalancer.view.update_load(list(self.placements)[draw % len(self.placements)], load)

    @rule(seconds=st.sampled_from((0.2, 1.0, 10.0)))
    def advance_round(self, seconds: float) -> None:
        view = self.harness.rebalancer.view
        loads = {request: held.load for request, held in view.connections.items()}
        before = {b.backend_id: b.load for b in view.by_name.values()}
        moves = self.harness.advance_round(seconds)
        level, now = self.harness.rebalancer.assessment.mean_utilization, self.harness.now
        assert len(moves) == len(set(moves))
        for request in moves:
            number, _ = self.placements.pop(request)
            assert self.states[number] is EndpointState.READY and before[number] > level
            before[number] -= loads[request]
            assert before[number] >= level - 1e-6, "a source never falls below the level by a move"
            self.moves_by_request[request] += 1
            self.moved.append(now)
            self.source_move_times.setdefault(number, deque()).append(now)
        for stamps, rate in ((self.moved, self.rate), *((s, 2.0) for s in self.source_move_times.values())):
            while stamps and stamps[0] <= now - 1000.0:
                stamps.popleft()
            assert len(stamps) <= rate + max(1.0, rate), "no more in a second than the rate and the burst"
        assert max(self.moves_by_request.values(), default=0) <= 1
        records = view.by_name.values()
        assert all(abs(b.load - sum(h.load for h in b.connections.values())) < 1e-6 for b in records)


RebalancerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
TestRebalancerMachine = RebalancerMachine.TestCase


# --- whole fleets on virtual time ---------------------------------------------------------------


def test_one_seed_is_one_run() -> None:
    def counts(seed: int) -> tuple[Counter[str], float]:
        fleet = Fleet(FleetSpec(connections=200, backends=6, rebalance=QUICK), seed)
        fleet.fill(2.0)
        fleet.run(20.0)
        return fleet.counts, fleet.imbalance()

    assert counts(5) == counts(5) != counts(6)


@pytest.mark.parametrize("scenario", ["return", "steady", "skewed"])
def test_the_benchmarks_rules_hold_on_a_seed_nobody_chose(scenario: str) -> None:
    assert measure(scenario, "small", 20261201)[1] == []


def fleet_with_newcomers(spec: FleetSpec, seed: int, newcomers: int) -> tuple[Fleet, list[ModelBackend]]:
    """A settled fleet to which as many nodes come now, cold."""
    fleet = Fleet(spec, seed)
    returning = list(fleet.backends.values())[:newcomers]
    fleet.kill(*returning)
    fleet.fill(8.0)
    fleet.run(20.0)
    fleet.bring_back(*returning)
    return fleet, returning


def test_a_hundred_relays_that_plan_in_the_same_instant_do_not_bury_the_one_newcomer() -> None:
    spec = FleetSpec(
        relays=100, backends=40, connections=4000, alike=True, lifetime_s=3600.0, rebalance=RebalanceSettings()
    )
    fleet, (backend,) = fleet_with_newcomers(spec, 3, 1)
    peak, previous_count, max_new_connections = 0.0, 0, 0
    for _ in range(60):
        fleet.run(1.0)
        max_new_connections, previous_count = (
            max(max_new_connections, len(backend.held) - previous_count),
            len(backend.held),
        )
        peak = max(peak, backend.filled())
    mean = sum(n.load for n in fleet.backends.values()) / sum(n.size for n in fleet.backends.values()) / 1000.0
    fleet.rules.check()
    assert peak <= 1.25 * mean and max_new_connections <= 2 * RebalanceSettings().target_moves_per_s


def test_a_restart_and_a_reload_in_mid_plan() -> None:
    fleet, _ = fleet_with_newcomers(FleetSpec(backends=8, connections=800, rebalance=RebalanceSettings()), 4, 2)
    fleet.run(14.0)
    moves = fleet.counts["moves"]
    assert moves > 0
    fleet.configure(None)  # SIGHUP with the section taken out
    fleet.run(5.0)
    assert fleet.counts["moves"] == moves
    fleet.configure(RebalanceSettings())  # and put in again: the standing jobs are all known
    relay = fleet.relays[0]
    rebalance = relay.reducer.rebalancer
    assert rebalance is not None and len(rebalance.view.connections) == sum(
        j.phase.name == "ESTABLISHED" for j in relay.reducer.requests.values()
    )
    fleet.run(15.0)
    assert fleet.counts["moves"] > moves
    moves_at_shutdown = rebalance.counts["moves.joined"]
    relay.post(ShutdownRequested(3000.0))
    fleet.run(4.0)
    assert rebalance.counts["moves.joined"] == moves_at_shutdown
    relay.post(RebalancingConfigured(RebalanceSettings()))
    fleet.rules.check()


def test_while_all_backends_are_full_nothing_is_moved() -> None:
    spec = FleetSpec(backends=8, connections=1200, filled=1.1, backend_most=130, rebalance=RebalanceSettings())
    fleet, _ = fleet_with_newcomers(spec, 2, 2)
    fleet.run(40.0)
    assert fleet.counts["refused"] > 100 and fleet.relay_counts("paused.refusals") > 0 and fleet.counts["moves"] <= 12


def test_a_draining_source_in_mid_plan_keeps_what_it_holds() -> None:
    fleet, _ = fleet_with_newcomers(FleetSpec(backends=8, connections=800, rebalance=RebalanceSettings()), 6, 2)
    fleet.run(14.0)
    source = max(fleet.backends.values(), key=ModelBackend.filled)
    fleet.tell(EndpointState.DRAINING, source)
    fleet.run(2.0)  # each relay has heard of it by now
    keys = set(source.held)
    up_before = fleet.counts["up"]
    fleet.run(10.0)
    migrated_keys = {(r.index, j) for r in fleet.relays for j in r.clients}
    assert up_before < fleet.counts["up"] and not (keys - set(source.held)) & migrated_keys
    assert len(keys - set(source.held)) <= 12, "only those whose time was over have left it"
    fleet.rules.check()
