"""Both deployments on a simulated fleet, through each fault, compared with the same relay without probes.

python -m benchmarks.deployments [--seed N] [--size small|machine|large] [--json]
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from dataclasses import replace

from benchmarks.common import argument_parser, print_result
from yarrowspindle.lab.model import FleetSpec, RuleViolation
from yarrowspindle.lab.model.deployments import DEPLOYMENTS, SCENARIOS, run_scenario

SEEDS = {"small": 2, "machine": 10, "large": 2}
LARGE_FACTOR = 6  # scale of relays, backends and connections in the large fleet


def scale_fleet(spec: FleetSpec, size: str) -> FleetSpec:
    if size != "large":
        return spec
    return replace(
        spec,
        relays=LARGE_FACTOR * spec.relays,
        backends=LARGE_FACTOR * spec.backends,
        relay_weights=LARGE_FACTOR * spec.relay_weights,
        connections=LARGE_FACTOR * spec.connections,
    )


def mean_results(spec: FleetSpec, scenario: str, seeds: range, failures: list[str]) -> dict[str, float]:
    results = []
    for seed in seeds:
        try:
            results.append(run_scenario(spec, scenario, seed))
        except RuleViolation as error:
            failures.append(f"{scenario}, seed {seed}: {error}")
    return {key: sum(result[key] for result in results) / len(results) for key in results[0]} if results else {}


def main(arguments: Sequence[str] | None = None) -> int:
    args = argument_parser("Both deployments through each fault, with probes and without.").parse_args(arguments)
    started, failures = time.perf_counter(), list[str]()
    seeds = range(args.seed, args.seed + SEEDS[args.size])
    result: dict[str, float] = {}
    for name, base_spec in DEPLOYMENTS.items():
        spec = scale_fleet(base_spec, args.size)
        print(
            f"{name}: {spec.relays} relays, {spec.backends} backends, {spec.connections} connections, "
            f"{len(seeds)} seeds"
        )
        for scenario in SCENARIOS:
            means = mean_results(spec, scenario, seeds, failures)
            columns = "  ".join(f"{key} {value:7.3f}" for key, value in means.items())
            if spec.load_report_interval_ms > 0.0 and means:
                unprobed = mean_results(replace(spec, load_report_interval_ms=0.0), scenario, seeds, failures)
                loss_ratio = (1.0 - means["served"]) / max(1.0 - unprobed.get("served", 1.0), 1e-9)
                columns += f"  lost {loss_ratio:.2f} times as much as without probes"
                result[f"{name}_{scenario}_lost_ratio"] = round(loss_ratio, 3)
            print(f"  {scenario:7} {columns}")
            result |= {f"{name}_{scenario}_{key}": round(value, 4) for key, value in means.items()}
    return print_result(result, failures, started, args.json, args.seed, args.size)


if __name__ == "__main__":
    sys.exit(main())
