"""Both deployments on the model fleet, through each trouble, against the same relay without probes.

python -m benchmarks.deployments [--seed N] [--size small|machine|large] [--json]
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from dataclasses import replace

from benchmarks.common import finish, options
from yarrowspindle.lab.model import FleetSpec, RuleViolation
from yarrowspindle.lab.model.deployments import DEPLOYMENTS, SCENARIOS, run_scenario

SEEDS = {"small": 2, "machine": 10, "large": 2}
LARGER = 6  # times the relays, nodes and connections of the small fleet, in the large one


def sized(spec: FleetSpec, size: str) -> FleetSpec:
    if size != "large":
        return spec
    return replace(
        spec,
        relays=LARGER * spec.relays,
        backends=LARGER * spec.backends,
        relay_weights=LARGER * spec.relay_weights,
        connections=LARGER * spec.connections,
    )


def mean(spec: FleetSpec, scenario: str, seeds: range, broken: list[str]) -> dict[str, float]:
    days = []
    for seed in seeds:
        try:
            days.append(run_scenario(spec, scenario, seed))
        except RuleViolation as error:
            broken.append(f"{scenario}, seed {seed}: {error}")
    return {key: sum(day[key] for day in days) / len(days) for key in days[0]} if days else {}


def main(arguments: Sequence[str] | None = None) -> int:
    chosen = options("Both deployments through each trouble, with probes and without.").parse_args(arguments)
    started, broken = time.perf_counter(), list[str]()
    seeds = range(chosen.seed, chosen.seed + SEEDS[chosen.size])
    result: dict[str, float] = {}
    for name, usual in DEPLOYMENTS.items():
        spec = sized(usual, chosen.size)
        print(
            f"{name}: {spec.relays} relays, {spec.backends} nodes, {spec.connections} connections, {len(seeds)} seeds"
        )
        for scenario in SCENARIOS:
            day = mean(spec, scenario, seeds, broken)
            line = "  ".join(f"{key} {value:7.3f}" for key, value in day.items())
            if spec.load_report_interval_ms > 0.0 and day:
                plain = mean(replace(spec, load_report_interval_ms=0.0), scenario, seeds, broken)
                lost = (1.0 - day["served"]) / max(1.0 - plain.get("served", 1.0), 1e-9)
                line += f"  lost {lost:.2f} times what is lost without probes"
                result[f"{name}_{scenario}_lost_ratio"] = round(lost, 3)
            print(f"  {scenario:7} {line}")
            result |= {f"{name}_{scenario}_{key}": round(value, 4) for key, value in day.items()}
    return finish(result, broken, started, chosen.json, chosen.seed, chosen.size)


if __name__ == "__main__":
    sys.exit(main())
