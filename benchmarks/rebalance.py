"""What rebalancing does to a fleet: imbalance, moves, what is served; each run against the same run with it off.

    python -m benchmarks.rebalance --scenario return|extra|steady|lost-clients|skewed|large [--seed N] [--json]

The real reducers of all relays run on a model of the fleet in virtual time (`yarrowspindle/lab/model`).
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import pairwise
from math import ceil, log
from typing import Any

from benchmarks.common import finish, options
from yarrowspindle.lab.model import Fleet, FleetSpec, ModelBackend
from yarrowspindle.rebalancing import Rebalancer, RebalanceSettings

SCENARIOS = ("return", "extra", "steady", "lost-clients", "skewed", "large")
SETTLE_S = 40.0  # from the start until the fleet is as placement leaves it
MAX_RISE = 0.03  # of the imbalance, from one window of 5 s to the next
WINDOW_S = 5


@dataclass(slots=True)
class Run:
    """One run, on or off."""

    fleet: Fleet
    at_event: float = 0.0  # imbalance over all usable nodes as the newcomers come, empty
    fewest: int = 0
    half_life_s: float | None = None
    warm_s: float = 0.0  # when the last newcomer was warm, in seconds after the event
    values: list[tuple[float, float]] | None = None
    moves: int = 0
    served: float = 0.0
    plan_s: float = 0.0
    plans: int = 0
    cost: list[tuple[int, int, float]] | None = None  # nodes, moves, microseconds of each plan


def specification(scenario: str, size: str) -> FleetSpec:
    """Loads so that the old nodes are short of room: what an imbalance costs can be seen then."""
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
        full = size == "large"
        spec = replace(
            spec,
            relays=100 if full else 10,
            backends=2000 if full else 200,
            connections=200_000 if full else 20_000,
            load_change_interval_s=120.0,
        )
    return spec


def timed(run: Run, fleet: Fleet) -> None:
    """Measures each plan of each relay; the model's run is the same with and without it."""
    run.cost = []
    for relay in fleet.relays:
        rebalancer = relay.reducer.rebalancer
        if rebalancer is not None:
            wrap(run, rebalancer)


def wrap(run: Run, rebalancer: Rebalancer) -> None:
    beat = rebalancer.plan_round

    def measured(now: float, candidate_ids: Sequence[int], relays_per_backend: float = 0.0) -> list[int]:
        begun = time.perf_counter()
        moves = beat(now, candidate_ids, relays_per_backend)
        took = time.perf_counter() - begun
        run.plan_s += took
        run.plans += 1
        if run.cost is not None and len(run.cost) < 100_000:
            run.cost.append((len(rebalancer.view.by_name), len(moves), took * 1e6))
        return moves

    rebalancer.plan_round = measured  # type: ignore[method-assign]


def play(scenario: str, spec: FleetSpec, seed: int, on: bool) -> Run:
    fleet = Fleet(replace(spec, rebalance=RebalanceSettings() if on else None), seed)
    run = Run(fleet)
    timed(run, fleet)
    newcomers: list[ModelBackend] = []
    backends = list(fleet.backends.values())
    if scenario == "steady":
        pass
    elif scenario in ("extra", "skewed", "large"):
        newcomers = backends[:: 5 if scenario != "large" else 10][: max(1, ceil(3 * len(backends) / 14))]
        fleet.kill(*newcomers)  # not switched on yet
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
    begun = fleet.clock.seconds
    run.at_event, run.fewest = fleet.imbalance(warm_only=False), fleet.min_rebalancing_moves()
    run.warm_s = fleet.spec.warmup_ms / 1000.0 if newcomers else 0.0
    samples: list[tuple[float, float]] = []
    all_ready: list[tuple[float, float]] = []

    def sample(at: float) -> None:
        samples.append((at - begun, fleet.imbalance()))
        all_ready.append((at - begun, fleet.imbalance(warm_only=False)))

    fleet.samplers.append(sample)
    length = {"steady": 300.0, "large": 60.0}.get(scenario, 150.0)
    fleet.run(length)
    run.moves, run.served = fleet.counts["moves"], fleet.served / max(fleet.demand, 1.0)
    run.values = windows([s for s in samples if s[0] >= run.warm_s])
    run.half_life_s = half_life(all_ready, run.at_event)
    if not on and newcomers and run.half_life_s is None:
        for _ in range(60):  # it takes long by itself; only the half-life is asked for
            fleet.run(10.0)
            run.half_life_s = half_life(all_ready, run.at_event)
            if run.half_life_s is not None:
                break
    return run


def windows(samples: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Means over windows of 5 s: (their end, value)."""
    found = []
    for first in range(0, len(samples) - WINDOW_S + 1, WINDOW_S):
        part = samples[first : first + WINDOW_S]
        found.append((round(part[-1][0], 1), round(sum(v for _, v in part) / WINDOW_S, 4)))
    return found


def half_life(samples: list[tuple[float, float]], at_event: float) -> float | None:
    return next((round(s, 1) for s, value in samples if value <= at_event / 2.0), None)


def cost_growth(run: Run) -> float:
    """Microseconds of a dear plan (99 of 100 take less) by node * log2(nodes) + 20 * moves: steady if it holds."""
    if not run.cost:
        return 0.0
    parts = sorted(us / (backends * log(max(backends, 2), 2) + 20.0 * moves) for backends, moves, us in run.cost)
    return parts[int(0.99 * (len(parts) - 1))]


def measure(scenario: str, size: str, seed: int) -> tuple[dict[str, Any], list[str]]:
    spec = specification(scenario, size)
    on = play(scenario, spec, seed, True)
    off = play(scenario, spec, seed, False) if scenario != "large" else Run(on.fleet)  # there the plans are the matter
    fleet = on.fleet
    settings = RebalanceSettings()
    standing = spec.connections
    # Each relay: its rate and, at once, what one beat may take.
    rates = [
        min(settings.moves_per_s, settings.share_per_s * 1.25 * standing * w / sum(fleet.relay_weights))
        for w in fleet.relay_weights
    ]
    limit = sum(rate + max(1.0, rate * settings.beat_s) for rate in rates)
    peak = max(fleet.moves_by_second.values(), default=0)
    us = on.plan_s / max(on.plans, 1) * 1e6
    result: dict[str, Any] = {
        "scenario": scenario,
        "relays": spec.relays,
        "nodes": spec.backends,
        "connections": standing,
        "imbalance": on.values,
        "off_imbalance": off.values or [],
        "at_event": round(on.at_event, 4),
        "half_life_s": on.half_life_s,
        "off_half_life_s": off.half_life_s,
        "moves": on.moves,
        "fewest_moves": on.fewest,
        "moves_per_s_peak": peak,
        "move_rate_limit": round(limit, 2),
        "moves_per_submitter_max": fleet.max_moves_per_client,
        "fallen": fleet.counts["fallen"],
        "lost": fleet.lost_clients(),
        "second_answers": fleet.rules.violations["one final answer"],
        "cold_ratio_peak": round(max(n.overload_ratio_peak for n in fleet.backends.values()), 3),
        "off_cold_ratio_peak": round(max(n.overload_ratio_peak for n in off.fleet.backends.values()), 3),
        "served": round(on.served, 5),
        "off_served": round(off.served, 5) if off.values is not None else None,
        "us_per_plan": round(us, 1),
        "us_per_node_log_node": round(cost_growth(on), 4),
        "core_share": round(us / 1e6 / settings.beat_s, 6),
        "paused": {name: fleet.relay_counts(f"paused.{name}") for name in ("lost", "storm", "refusals", "no-effect")},
    }
    return result, judge(scenario, result, fleet)


def judge(scenario: str, r: dict[str, Any], fleet: Fleet) -> list[str]:
    broken = list(fleet.rules.first_violations.values())
    must: list[tuple[bool, str]] = [
        (r["moves_per_s_peak"] <= r["move_rate_limit"], "moves in a second above the limit"),
        (r["moves_per_submitter_max"] <= RebalanceSettings().moves_per_submitter, "a submitter was moved too often"),
        (r["core_share"] < 0.01, "planning takes 1 % of a core or more"),
    ]
    if scenario in ("return", "extra", "skewed"):
        values = [v for _, v in r["imbalance"]]
        rise = max((b - a for a, b in pairwise(values)), default=0.0)
        half, off_half = r["half_life_s"], r["off_half_life_s"]
        must += [
            (rise <= MAX_RISE, f"the imbalance rose by {rise:.3f} in a window"),
            (half is not None and (off_half is None or half <= off_half / 3.0), "the half-life is above a third"),
            (r["lost"] == 0, "moved submitters are lost"),
            (r["served"] >= r["off_served"], "less is served than with it off"),
            (r["moves"] <= 1.3 * r["fewest_moves"], "more than 1.3 times the fewest moves"),
        ]
    if scenario == "steady":
        must.append((r["moves"] / 5.0 <= 0.005 * r["connections"], "moves though no node came or went"))
    if scenario == "lost-clients":
        must.append((r["paused"]["lost"] > 0, "it did not pause though submitters do not come back"))
    return broken + [what for holds, what in must if not holds]


def main(arguments: Sequence[str] | None = None) -> int:
    parser = options("Rebalancing on a model fleet, on and off.")
    parser.add_argument("--scenario", choices=SCENARIOS, default="return")
    parser.add_argument("--plot", metavar="FILE.png", help="draw the imbalance, on and off (needs matplotlib)")
    chosen = parser.parse_args(arguments)
    started = time.perf_counter()
    size = chosen.size
    result, broken = measure(chosen.scenario, size, chosen.seed)
    print(f"{chosen.scenario}: {result['relays']} relays, {result['nodes']} nodes, {result['connections']} connections")
    for name, value in result.items():
        if name not in ("imbalance", "off_imbalance", "scenario", "relays", "nodes", "connections"):
            print(f"  {name:26} {value}")
    print("  imbalance, s: on / off")
    off = dict(result["off_imbalance"])
    for at, value in result["imbalance"][:: 2 if size == "small" else 1]:
        print(f"    {at:6.1f}  {value:.3f}  {off.get(at, float('nan')):.3f}")
    if chosen.plot:
        plot(result, chosen.plot)
    return finish(result, broken, started, chosen.json, chosen.seed, size)


def plot(result: dict[str, Any], path: str) -> None:
    import matplotlib  # an extra

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for name in ("imbalance", "off_imbalance"):
        pyplot.plot(*zip(*result[name], strict=True), label="off" if name.startswith("off") else "on")
    pyplot.xlabel("s after the nodes came")
    pyplot.ylabel("greatest minus mean of load over capacity")
    pyplot.legend()
    pyplot.savefig(path, dpi=120)


if __name__ == "__main__":
    sys.exit(main())
