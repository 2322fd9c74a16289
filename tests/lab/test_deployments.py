"""Two deployments as model fleets: rules and served fraction in each scenario, and the effect of health checks."""

from __future__ import annotations

from dataclasses import replace

import pytest

from yarrowspindle.lab.model.deployments import ASKED, DEPLOYMENTS, PROBED, SCENARIOS, run_scenario

# Least served fraction of the demand by scenario, below the results of forty other seeds.
MIN_SERVED = {"calm": 0.94, "hang": 0.88, "vanish": 0.88, "slow": 0.85, "pauses": 0.94, "burst": 0.86, "drain": 0.89}


@pytest.mark.parametrize("seed", [11, 12])
@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_the_rules_hold_and_most_of_the_demand_is_served(name: str, scenario: str, seed: int) -> None:
    result = run_scenario(DEPLOYMENTS[name], scenario, seed)  # raises RuleViolation if a rule is violated
    assert result["served"] > MIN_SERVED[scenario], result
    if name == "probed":
        assert result["crossed"] < 0.1 and result["probes_a_try"] <= 1.5, result
        assert result["refused"] < 0.1, "requests were rejected although cold backends could be used"


def test_health_checks_raise_the_served_fraction_if_backends_are_slow() -> None:
    seeds = (21, 22, 23)
    with_probes = [run_scenario(PROBED, "slow", seed) for seed in seeds]
    without_probes = [run_scenario(replace(PROBED, load_report_interval_ms=0.0), "slow", seed) for seed in seeds]
    assert sum(result["served"] for result in with_probes) > sum(
        result["served"] for result in without_probes
    ) + 0.02 * len(seeds)


def test_no_health_checks_are_made_if_backends_return_no_load_report() -> None:
    assert run_scenario(ASKED, "calm", 31)["probes_a_try"] == 0.0


def test_a_scenario_is_deterministic_for_a_seed() -> None:
    assert run_scenario(PROBED, "vanish", 41) == run_scenario(PROBED, "vanish", 41)
