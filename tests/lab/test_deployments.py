"""Two deployments in the fleet simulation with the relay's reducer: rules under faults, and the benefit of probes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from yarrowspindle.lab.model.deployments import ASKED, DEPLOYMENTS, PROBED, TROUBLES, play

# Below the served fraction of the weighted requests in each of 40 seeds that were not used for tuning.
MIN_SERVED_FRACTION = {
    "calm": 0.94,
    "hang": 0.88,
    "vanish": 0.88,
    "slow": 0.85,
    "pauses": 0.94,
    "burst": 0.86,
    "drain": 0.89,
}


@pytest.mark.parametrize("seed", [11, 12])
@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_rules_hold_and_most_requests_are_served(name: str, trouble: str, seed: int) -> None:
    result = play(DEPLOYMENTS[name], trouble, seed)  # raises if a rule is violated
    assert result["served"] > MIN_SERVED_FRACTION[trouble], result
    if name == "probed":
        assert result["crossed"] < 0.1 and result["probes_a_try"] <= 1.5, result
        assert result["refused"] < 0.1, "requests to starting backends were refused as if the backends were unusable"


def test_probes_detect_slow_backends_and_increase_the_served_fraction() -> None:
    seeds = (21, 22, 23)
    with_probes = [play(PROBED, "slow", seed) for seed in seeds]
    without = [play(replace(PROBED, report_ms=0.0), "slow", seed) for seed in seeds]
    assert sum(run["served"] for run in with_probes) > sum(run["served"] for run in without) + 0.02 * len(seeds)


def test_backends_without_probing_receive_no_probes() -> None:
    assert play(ASKED, "calm", 31)["probes_a_try"] == 0.0


def test_the_same_seed_gives_the_same_result() -> None:
    assert play(PROBED, "vanish", 41) == play(PROBED, "vanish", 41)
