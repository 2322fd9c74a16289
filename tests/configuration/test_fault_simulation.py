"""Simulations of controllers and relays with faults, and planted defects that the invariant checker must find."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from yarrowspindle.lab.faults import Fault
from yarrowspindle.lab.model.configuration_defects import DEFECTS
from yarrowspindle.lab.model.configuration_scenarios import MESSAGE_KINDS, run_scenario, run_seeds


@pytest.mark.parametrize("first_seed", range(0, 32, 8))
def test_no_rule_is_violated_under_faults_and_all_relays_converge_afterwards(first_seed: int) -> None:
    result = run_seeds(first_seed, 8)
    assert not result.violations and not result.stuck, result
    assert result.runs == 8 and result.counts["versions"] > 80 and result.counts["claims"] > 150


def test_a_simulation_with_the_same_seed_gives_the_same_result() -> None:
    first, second = run_scenario(11), run_scenario(11)
    assert (first.counts, first.faults, first.duration_s) == (second.counts, second.faults, second.duration_s)


@pytest.mark.parametrize("kind", MESSAGE_KINDS)
def test_a_controller_may_fail_at_each_message(kind: str) -> None:
    for number in (1, 4):
        faults = [Fault("dies", 1.0, 5.0, participants=(kind, f"{number}")), Fault("loss", 1.0, 5.0, 0.1)]
        result = run_scenario(number, faults=faults, fleet=(3, 3, 6))
        assert not result.violations and not result.stuck, (kind, number, result)


def test_changes_stop_without_a_majority_and_resume_when_it_is_back() -> None:
    faults = [Fault("kill", 2.0, 5.0, participants=(name,)) for name in ("c00", "c01")]
    result = run_scenario(3, faults=faults, fleet=(3, 3, 6), simultaneous=False)
    assert not result.violations and not result.stuck and result.counts["versions"] > 3


ALL_RELAYS = tuple(f"r{n:04d}" for n in range(6))
SMALL, LARGER = (3, 3, 6), (5, 5, 6)
LOSS, DUPLICATES = Fault("loss", 1.0, 9.0, 0.3), Fault("double", 1.0, 9.0, 0.5, 700.0)
SPLITS = [
    LOSS,
    Fault("held", 1.0, 9.0, 0.25, 1500.0),
    Fault("split", 2.0, 3.0, participants=("c00", *ALL_RELAYS), other_side=("c01", "c02")),
    Fault("split", 5.5, 3.0, participants=("c01", *ALL_RELAYS), other_side=("c00", "c02")),
]
KILLS = [
    *(Fault("kill", 2.0 + n * 0.8, 0.4, participants=(f"c{n % 3:02d}",)) for n in range(9)),
    Fault("loss", 1.0, 9.0, 0.2),
    Fault("double", 1.0, 9.0, 0.5, 1500.0),
]
DISORDER = [
    Fault("reorder", 1.0, 9.0, 0.5, 700.0),
    LOSS,
    DUPLICATES,
    Fault("oneway", 1.0, 9.0, participants=("c01",), other_side=("c00",)),
]
STALLS = [
    *(Fault("stall", 2.0 + n * 1.2, 0.9, participants=(f"c{n % 3:02d}",)) for n in range(6)),
    Fault("loss", 1.0, 9.0, 0.2),
    Fault("late", 1.0, 9.0, delay_ms=300.0),
]


@dataclass(slots=True, frozen=True)
class DefectScenario:
    """A simulation that finds a defect.

    Attributes:
        seed: The seed of the simulation.
        fleet: The numbers of controllers, voters and relays; None if the seed determines them.
        faults: The faults to inject; None if the seed determines them.
    """

    seed: int
    fleet: tuple[int, int, int] | None = None
    faults: list[Fault] | None = None


SCENARIOS: dict[str, DefectScenario] = {
    "unkept": DefectScenario(0),
    "digest": DefectScenario(2),
    "unchecked": DefectScenario(8),
    "not checked again": DefectScenario(8),
    "forgets": DefectScenario(1, SMALL, KILLS),
    "twice": DefectScenario(0, SMALL, SPLITS),
    "out of turn": DefectScenario(0, SMALL, SPLITS),
    "uncommitted": DefectScenario(0, SMALL, DISORDER),
    "believes one voter": DefectScenario(1, SMALL, DISORDER),
    "believes proposals": DefectScenario(0, SMALL, STALLS),
    "not adopted": DefectScenario(0, SMALL, KILLS),
    "oldest promise": DefectScenario(0, SMALL, KILLS),
    "half": DefectScenario(0, SMALL, SPLITS),
    "breaks promises": DefectScenario(3, SMALL, DISORDER),
    "promises nothing": DefectScenario(24, SMALL, SPLITS),
    "hides": DefectScenario(0, SMALL, SPLITS),
    "any ballot": DefectScenario(5, SMALL, DISORDER),
    "older": DefectScenario(
        0,
        SMALL,
        [
            Fault("split", 1.5, 7.0, participants=("c01",), other_side=("c00", "c02")),
            Fault("kill", 4.0, 2.0, participants=("c00",)),
        ],
    ),
    "in force too early": DefectScenario(
        0, SMALL, [Fault("kill", 3.2 + n * 2.0, 1.3, participants=(f"c{n % 3:02d}",)) for n in range(4)]
    ),
    "forgets who leaves": DefectScenario(99),
    "lies": DefectScenario(
        0,
        SMALL,
        [
            Fault("lost", 1.2, 2.8, participants=("c02",), other_side=("c00", "c01")),
            Fault("file", 4.0, 0.3, participants=("c01",)),
            Fault("stall", 4.1, 4.0, participants=("c00",)),
        ],
    ),
    "serves on": DefectScenario(0, SMALL, [Fault("old program", 1.0, 8.0, participants=ALL_RELAYS[:3])]),
    "log over a gap": DefectScenario(2, SMALL, [Fault("kill", 1.2, 8.0, participants=("r0003",))]),
    "gap": DefectScenario(
        26,
        SMALL,
        [
            Fault("old program", 1.0, 9.0, participants=ALL_RELAYS),
            Fault("held", 1.0, 9.0, 0.3, 1500.0),
            *(Fault("kill", 1.5 + 0.7 * n, 0.3, participants=(ALL_RELAYS[n % 6],)) for n in range(11)),
        ],
    ),
    "numbers anew": DefectScenario(
        2,
        SMALL,
        [
            Fault("clock", 2.0, 0.5, participants=("c02",)),
            Fault("clock", 4.0, 0.5, participants=("c01",)),
            Fault("late", 1.0, 9.0, delay_ms=500.0),
            Fault("loss", 1.0, 9.0, 0.2),
            Fault("double", 1.0, 9.0, 0.5, 2000.0),
        ],
    ),
    "counts twice": DefectScenario(
        7,
        LARGER,
        [
            Fault("split", 2.0, 4.0, participants=("c00", "c01", *ALL_RELAYS), other_side=("c02", "c03", "c04")),
            Fault("double", 1.0, 8.0, 0.5, 200.0),
        ],
    ),
}


def test_every_planted_defect_has_a_scenario() -> None:
    assert SCENARIOS.keys() == DEFECTS.keys()


@pytest.mark.parametrize("defect", SCENARIOS)
def test_each_planted_defect_is_found_and_its_scenario_passes_without_it(defect: str) -> None:
    scenario = SCENARIOS[defect]
    simultaneous = None if scenario.faults is None else False
    result = run_scenario(scenario.seed, DEFECTS[defect], scenario.faults, scenario.fleet, simultaneous)
    assert result.violations or result.stuck
    without_defect = run_scenario(scenario.seed, None, scenario.faults, scenario.fleet, simultaneous)
    assert not without_defect.violations and not without_defect.stuck, without_defect
