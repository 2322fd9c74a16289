"""Two deployments on the model fleet through the same reducer: their rules in trouble, and what probes are worth."""

from __future__ import annotations

from dataclasses import replace

import pytest

from yarrowspindle.lab.model.deployments import ASKED, DEPLOYMENTS, PROBED, SCENARIOS, run_scenario

# The least share of worth that is served, under what forty seeds gave that nobody tuned for.
MIN_SERVED = {"calm": 0.94, "hang": 0.88, "vanish": 0.88, "slow": 0.85, "pauses": 0.94, "burst": 0.86, "drain": 0.89}


@pytest.mark.parametrize("seed", [11, 12])
@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_the_rules_hold_and_most_is_served(name: str, scenario: str, seed: int) -> None:
    result = run_scenario(DEPLOYMENTS[name], scenario, seed)  # raises where a rule is broken
    assert result["served"] > MIN_SERVED[scenario], result
    if name == "probed":
        assert result["crossed"] < 0.1 and result["probes_a_try"] <= 1.5, result
        assert result["refused"] < 0.1, "cold nodes that were fed were refused as if they could not be used"


def test_probes_find_the_slow_backends_and_keep_groups_at_home() -> None:
    seeds = (21, 22, 23)
    with_probes = [run_scenario(PROBED, "slow", seed) for seed in seeds]
    without_probes = [run_scenario(replace(PROBED, load_report_interval_ms=0.0), "slow", seed) for seed in seeds]
    assert sum(result["served"] for result in with_probes) > sum(
        result["served"] for result in without_probes
    ) + 0.02 * len(seeds)


def test_backends_that_are_not_probed_are_not_asked() -> None:
    assert run_scenario(ASKED, "calm", 31)["probes_a_try"] == 0.0


def test_the_same_seed_gives_the_same_day() -> None:
    assert run_scenario(PROBED, "vanish", 41) == run_scenario(PROBED, "vanish", 41)
