"""Effect of rebalancing on a fleet: imbalance, moves and served load, compared with the same run without it.

    python -m benchmarks.rebalance --scenario return|extra|steady|lost-clients|skewed|large [--seed N] [--json]

The production reducers of all relays run on a simulated fleet in virtual time (`yarrowspindle/lab/model`).
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import pairwise
from math import ceil, log
from typing import Any

from benchmarks.common import argument_parser, print_result
from yarrowspindle.lab.model import Fleet, FleetSpec, ModelBackend
from yarrowspindle.rebalancing import Rebalancer, RebalanceSettings

SCENARIOS = ("return", "extra", "steady", "lost-clients", "skewed", "large")
SETTLE_S = 40.0  # from the start until placement alone determines the distribution
MAX_IMBALANCE_RISE = 0.03  # allowed rise of the imbalance from one window of 5 s to the next
WINDOW_S = 5


@dataclass(slots=True)
class Run:
    """One run, with rebalancing enabled or disabled."""

    fleet: Fleet
    imbalance_at_event: float = 0.0  # over all usable backends, when the empty new ones join
    fewest_moves: int = 0
    half_life_s: float | None = None
    warm_after_s: float = 0.0  # seconds from the event to the end of the last new backend's slow start
    imbalance: list[tuple[float, float]] | None = None
    moves: int = 0
    served: float = 0.0
    plan_s: float = 0.0
    plans: int = 0
    plan_costs: list[tuple[int, int, float]] | None = None  # backends, moves and microseconds of each plan


def specification(scenario: str, size: str) -> FleetSpec:
    """Return a fleet whose old backends are short of capacity, so that an imbalance reduces what is served."""
    scale = {"small": 1, "machine": 4, "large": 10}[size]
    spec = FleetSpec(relays=3, backends=12 * scale, connections=2000 * scale, utilization=0.65)
    if scenario in ("extra", "skewed"):
        spec = replace(spec, backends=14 * scale, utilization=0.68)
    if scenario == "skewed":
        spec = replace(spec, relay_weights=(0.7, 0.2, 0.1))
    if scenario == "steady":
        spec = replace(spec, utilization=0.5, load_cv=0.6, load_change_cv=0.4, load_change_interval_s=10.0)
    if scenario == "lost-clients":
        spec = replace(spec, never_return_fraction=0.85)
    if scenario == "large":
        is_large = size == "large"
        spec = replace(
            spec,
            relays=100 if is_large else 10,
            backends=2000 if is_large else 200,
            connections=200_000 if is_large else 20_000,
            load_change_interval_s=120.0,
        )
    return spec


def time_plans(run: Run, fleet: Fleet) -> None:
    """Measure each plan of each relay; the simulation is the same with and without it."""
    run.plan_costs = []
    for relay in fleet.relays:
        rebalancer = relay.reducer.rebalancer
        if rebalancer is not None:
            time_plan_rounds(run, rebalancer)


def time_plan_rounds(run: Run, rebalancer: Rebalancer) -> None:
    plan_round = rebalancer.plan_round

    def timed_plan_round(now: float, candidate_ids: Sequence[int], relays_per_backend: float = 0.0) -> list[int]:
        started_s = time.perf_counter()
        moves = plan_round(now, candidate_ids, relays_per_backend)
        elapsed_s = time.perf_counter() - started_s
        run.plan_s += elapsed_s
        run.plans += 1
        if run.plan_costs is not None and len(run.plan_costs) < 100_000:
            run.plan_costs.append((len(rebalancer.view.by_name), len(moves), elapsed_s * 1e6))
        return moves

    rebalancer.plan_round = timed_plan_round  # type: ignore[method-assign]


def run_fleet(scenario: str, spec: FleetSpec, seed: int, enabled: bool) -> Run:
    fleet = Fleet(replace(spec, rebalance=RebalanceSettings() if enabled else None), seed)
    run = Run(fleet)
    time_plans(run, fleet)
    newcomers: list[ModelBackend] = []
    backends = list(fleet.backends.values())
    if scenario == "steady":
        pass
    elif scenario in ("extra", "skewed", "large"):
        newcomers = backends[:: 5 if scenario != "large" else 10][: max(1, ceil(3 * len(backends) / 14))]
        fleet.kill(*newcomers)  # they join later
    fleet.fill(20.0 if scenario == "large" else 10.0)
    fleet.run(SETTLE_S)
    if scenario in ("return", "lost-clients"):
        newcomers = backends[::4]
        fleet.kill(*newcomers)
        fleet.run(45.0)
    fleet.counts.clear()
    fleet.moves_by_second.clear()
    fleet.demand = fleet.served = 0.0
    if newcomers:
        fleet.restart_backends(*newcomers)
    event_s = fleet.clock.seconds
    run.imbalance_at_event, run.fewest_moves = fleet.imbalance(warm_only=False), fleet.min_rebalancing_moves()
    run.warm_after_s = fleet.spec.warmup_ms / 1000.0 if newcomers else 0.0
    samples: list[tuple[float, float]] = []
    all_ready: list[tuple[float, float]] = []

    def sample(now_s: float) -> None:
        samples.append((now_s - event_s, fleet.imbalance()))
        all_ready.append((now_s - event_s, fleet.imbalance(warm_only=False)))

    fleet.samplers.append(sample)
    duration_s = {"steady": 300.0, "large": 60.0}.get(scenario, 150.0)
    fleet.run(duration_s)
    run.moves, run.served = fleet.counts["moves"], fleet.served / max(fleet.demand, 1.0)
    run.imbalance = windows([sample for sample in samples if sample[0] >= run.warm_after_s])
    run.half_life_s = half_life(all_ready, run.imbalance_at_event)
    if not enabled and newcomers and run.half_life_s is None:
        for _ in range(60):  # without rebalancing it takes long; only the half-life is missing
            fleet.run(10.0)
            run.half_life_s = half_life(all_ready, run.imbalance_at_event)
            if run.half_life_s is not None:
                break
    return run


def windows(samples: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Return means over windows of 5 s as pairs of the window's end and the mean."""
    means = []
    for first in range(0, len(samples) - WINDOW_S + 1, WINDOW_S):
        window = samples[first : first + WINDOW_S]
        means.append((round(window[-1][0], 1), round(sum(value for _, value in window) / WINDOW_S, 4)))
    return means


def half_life(samples: list[tuple[float, float]], imbalance_at_event: float) -> float | None:
    return next((round(seconds, 1) for seconds, value in samples if value <= imbalance_at_event / 2.0), None)


def cost_growth(run: Run) -> float:
    """Return the 99th percentile of a plan's microseconds divided by `backends * log2(backends) + 20 * moves`.

    The quotient is constant if the cost of a plan grows as assumed.
    """
    if not run.plan_costs:
        return 0.0
    normalized = sorted(
        us / (backends * log(max(backends, 2), 2) + 20.0 * moves) for backends, moves, us in run.plan_costs
    )
    return normalized[int(0.99 * (len(normalized) - 1))]


def measure(scenario: str, size: str, seed: int) -> tuple[dict[str, Any], list[str]]:
    spec = specification(scenario, size)
    enabled = run_fleet(scenario, spec, seed, True)
    # In the scenario `large` only the cost of plans counts.
    disabled = run_fleet(scenario, spec, seed, False) if scenario != "large" else Run(enabled.fleet)
    fleet = enabled.fleet
    settings = RebalanceSettings()
    connections = spec.connections
    # Limit of each relay: its rate, plus the moves that one round may start at once.
    rates = [
        min(settings.moves_per_s, settings.share_per_s * 1.25 * connections * weight / sum(fleet.relay_weights))
        for weight in fleet.relay_weights
    ]
    move_rate_limit = sum(rate + max(1.0, rate * settings.beat_s) for rate in rates)
    moves_per_s_peak = max(fleet.moves_by_second.values(), default=0)
    us_per_plan = enabled.plan_s / max(enabled.plans, 1) * 1e6
    result: dict[str, Any] = {
        "scenario": scenario,
        "relays": spec.relays,
        "nodes": spec.backends,
        "connections": connections,
        "imbalance": enabled.imbalance,
        "off_imbalance": disabled.imbalance or [],
        "at_event": round(enabled.imbalance_at_event, 4),
        "half_life_s": enabled.half_life_s,
        "off_half_life_s": disabled.half_life_s,
        "moves": enabled.moves,
        "fewest_moves": enabled.fewest_moves,
        "moves_per_s_peak": moves_per_s_peak,
        "move_rate_limit": round(move_rate_limit, 2),
        "moves_per_submitter_max": fleet.max_moves_per_client,
        "fallen": fleet.counts["fallen"],
        "lost": fleet.lost_clients(),
        "second_answers": fleet.rules.violations["one final answer"],
        "cold_ratio_peak": round(max(backend.overload_ratio_peak for backend in fleet.backends.values()), 3),
        "off_cold_ratio_peak": round(
            max(backend.overload_ratio_peak for backend in disabled.fleet.backends.values()), 3
        ),
        "served": round(enabled.served, 5),
        "off_served": round(disabled.served, 5) if disabled.imbalance is not None else None,
        "us_per_plan": round(us_per_plan, 1),
        "us_per_node_log_node": round(cost_growth(enabled), 4),
        "core_share": round(us_per_plan / 1e6 / settings.beat_s, 6),
        "paused": {name: fleet.relay_counts(f"paused.{name}") for name in ("lost", "storm", "refusals", "no-effect")},
    }
    return result, check_rules(scenario, result, fleet)


def check_rules(scenario: str, result: dict[str, Any], fleet: Fleet) -> list[str]:
    failures = list(fleet.rules.first_violations.values())
    rules: list[tuple[bool, str]] = [
        (result["moves_per_s_peak"] <= result["move_rate_limit"], "more moves in a second than the limit"),
        (
            result["moves_per_submitter_max"] <= RebalanceSettings().moves_per_submitter,
            "a client was moved too often",
        ),
        (result["core_share"] < 0.01, "planning takes 1 % of a core or more"),
    ]
    if scenario in ("return", "extra", "skewed"):
        imbalance = [value for _, value in result["imbalance"]]
        rise = max((later - earlier for earlier, later in pairwise(imbalance)), default=0.0)
        half_life_s, disabled_half_life_s = result["half_life_s"], result["off_half_life_s"]
        rules += [
            (rise <= MAX_IMBALANCE_RISE, f"the imbalance rose by {rise:.3f} in a window"),
            (
                half_life_s is not None and (disabled_half_life_s is None or half_life_s <= disabled_half_life_s / 3.0),
                "the half-life is above a third of that without rebalancing",
            ),
            (result["lost"] == 0, "moved clients are lost"),
            (result["served"] >= result["off_served"], "less is served than without rebalancing"),
            (result["moves"] <= 1.3 * result["fewest_moves"], "more than 1.3 times the fewest moves"),
        ]
    if scenario == "steady":
        rules.append(
            (result["moves"] / 5.0 <= 0.005 * result["connections"], "moves although no backend joined or left")
        )
    if scenario == "lost-clients":
        rules.append((result["paused"]["lost"] > 0, "rebalancing did not pause although clients do not return"))
    return failures + [rule for holds, rule in rules if not holds]


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argument_parser("Rebalancing on a simulated fleet, enabled and disabled.")
    parser.add_argument("--scenario", choices=SCENARIOS, default="return")
    parser.add_argument(
        "--plot", metavar="FILE.png", help="draw the imbalance, enabled and disabled (needs matplotlib)"
    )
    args = parser.parse_args(arguments)
    started = time.perf_counter()
    size = args.size
    result, failures = measure(args.scenario, size, args.seed)
    print(
        f"{args.scenario}: {result['relays']} relays, {result['nodes']} backends, {result['connections']} connections"
    )
    for name, value in result.items():
        if name not in ("imbalance", "off_imbalance", "scenario", "relays", "nodes", "connections"):
            print(f"  {name:26} {value}")
    print("  s  imbalance enabled  disabled")
    disabled_imbalance = dict(result["off_imbalance"])
    for end_s, value in result["imbalance"][:: 2 if size == "small" else 1]:
        print(f"    {end_s:6.1f}  {value:.3f}  {disabled_imbalance.get(end_s, float('nan')):.3f}")
    if args.plot:
        plot(result, args.plot)
    return print_result(result, failures, started, args.json, args.seed, size)


def plot(result: dict[str, Any], path: str) -> None:
    import matplotlib  # optional dependency

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for name in ("imbalance", "off_imbalance"):
        pyplot.plot(*zip(*result[name], strict=True), label="off" if name.startswith("off") else "on")
    pyplot.xlabel("s after the backends joined")
    pyplot.ylabel("maximum minus mean of load over capacity")
    pyplot.legend()
    pyplot.savefig(path, dpi=120)


if __name__ == "__main__":
    sys.exit(main())
