"""What `benchmarks.capacity` says it measures, at a small size."""

from __future__ import annotations

import pytest

from benchmarks.capacity import configuration_changes, configuration_sockets
from yarrowspindle.lab.model.membership_simulation import MembershipSimulation


@pytest.mark.parametrize("seed", [7, 10])
def test_controllers_whose_leader_died_do_not_keep_one_another_from_a_majority(seed: int) -> None:
    """Each proposed its own orders after a second, all at once and as often as who leads: 6.6 and 6.1 s."""
    failures = list[str]()
    row = configuration_changes.zone_loss(24, seed, "machine", failures)
    assert not failures and row["max_s"] <= 1.6


def test_a_change_is_in_force_within_three_seconds_whatever_fails() -> None:
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


def test_a_scenario_that_misses_its_time_is_named() -> None:
    """With everything lost between the regions nothing arrives there: the row has to say so."""
    simulation, failures = configuration_changes.Simulation(24, 3), list[str]()
    simulation.world.regions_partitioned = True
    simulation.request_change("c00")
    simulation.world.run(configuration_changes.MAX_IN_FORCE_S)
    simulation.result("cut for good", failures)
    assert failures and "cut for good" in failures[0] and "12 relays behind" in failures[0]


def test_what_a_change_costs_a_relay_is_flat_and_within_its_allowance() -> None:
    costs = [configuration_changes.resource_cost(relays, 3, "small", []) for relays in (22, 44)]
    assert costs[1]["relay_burst_bytes_per_s"] <= 1.1 * costs[0]["relay_burst_bytes_per_s"]
    assert costs[1]["relay_burst_bytes_per_s"] < 4000 and costs[1]["relay_steady_bytes_per_s"] < 700
    assert costs[1]["relay_kb"] < 64


def test_relays_in_cells_hear_their_cell_and_nobody_else() -> None:
    """Cells are clusters of peers' settings; without them all hear all."""
    for cell, hears in ((0, 5), (3, 2)):
        world = MembershipSimulation(6, 3, cell=cell)
        for index in range(6):
            world.start(index)
        world.run(6.0)
        assert {peer.core.members.size - 1 for peer in world.network.peers.values()} == {hears}


def test_on_sockets_changes_are_in_force_also_with_loss() -> None:
    failures = list[str]()
    row = configuration_sockets.measure(8, 1, 3, failures, 2, ("none", "loss"))
    assert not failures and [row["behind"] for row in row["rows"]] == [0, 0]
