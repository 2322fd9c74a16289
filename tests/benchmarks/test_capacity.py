"""The capacity benchmark's scenarios at a small size."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.capacity import configuration_changes, configuration_sockets
from yarrowspindle.lab.model.membership_simulation import MembershipSimulation


@pytest.mark.parametrize("seed", [7, 10])
def test_controllers_agree_within_1600_ms_after_their_leader_died(seed: int) -> None:
    """A second after the leader's death all controllers proposed their own changes at once, as often as a leader.

    Each kept the others from a majority, and changes were in force after 6.6 and 6.1 s.
    """
    failures = list[str]()
    row = configuration_changes.zone_loss(24, seed, "machine", failures)
    assert not failures and row["max_s"] <= 1.6


def test_a_change_is_in_force_within_three_seconds_despite_faults() -> None:
    failures = list[str]()
    for scenario in (
        configuration_changes.loss,
        configuration_changes.region_partition,
        configuration_changes.controller_crash,
        configuration_changes.controller_stall,
        configuration_changes.cold_start,
        configuration_changes.relay_restarts,
    ):
        scenario(24, 3, "small", failures)
    assert not failures


@pytest.mark.parametrize("scenario", [configuration_changes.controller_crash, configuration_changes.controller_stall])
def test_a_controller_stops_at_each_message_kind(
    scenario: Callable[[int, int, str, list[str]], dict[str, Any]],
) -> None:
    """Kinds are class names in strings: after a rename of the class no controller stopped, and nothing was tested."""
    row = scenario(24, 3, "small", [])
    kinds = configuration_changes.SMALL_MESSAGE_KINDS
    assert [stopped.partition(" at ")[2] for stopped in row["died"]] == [f"{kind} 1" for kind in kinds]
    assert not any(stopped.startswith("nobody") for stopped in row["died"])


def test_a_scenario_that_exceeds_its_time_limit_is_reported() -> None:
    """A partition that never heals keeps changes from the other region, which the row has to report."""
    simulation, failures = configuration_changes.Simulation(24, 3), list[str]()
    simulation.world.regions_partitioned = True
    simulation.request_change("c00")
    simulation.world.run(configuration_changes.MAX_IN_FORCE_S)
    simulation.result("cut for good", failures)
    assert failures and "cut for good" in failures[0] and "12 relays behind" in failures[0]


def test_the_cost_of_changes_for_a_relay_does_not_grow_and_is_within_its_limit() -> None:
    costs = [configuration_changes.resource_cost(relays, 3, "small", []) for relays in (22, 44)]
    assert costs[1]["relay_burst_bytes_per_s"] <= 1.1 * costs[0]["relay_burst_bytes_per_s"]
    assert costs[1]["relay_burst_bytes_per_s"] < 4000 and costs[1]["relay_steady_bytes_per_s"] < 700
    assert costs[1]["relay_kb"] < 64


def test_relays_in_cells_know_the_members_of_their_cell_only() -> None:
    """A cell is a cluster of the membership settings; without cells each relay knows all others."""
    for cell, peers in ((0, 5), (3, 2)):
        world = MembershipSimulation(6, 3, cell=cell)
        for index in range(6):
            world.start(index)
        world.run(6.0)
        assert {peer.core.members.size - 1 for peer in world.network.peers.values()} == {peers}


def test_changes_are_in_force_on_sockets_with_and_without_loss() -> None:
    failures = list[str]()
    result = configuration_sockets.measure(8, 1, 3, failures, 2, ("none", "loss"))
    assert not failures and [row["behind"] for row in result["rows"]] == [0, 0]
