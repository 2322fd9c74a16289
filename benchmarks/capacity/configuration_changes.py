"""Distribution of configuration changes to all relays, on the virtual clock: time until in force, and cost.

    python -m benchmarks.capacity.configuration_changes [--seed N] [--size small|machine|large] [--json] [--relays N]

A change is in force when all living relays apply it. The time counts from the operator's request, or from the agreement
if the controller that took the request died. Bytes count what is sent and received, with the headers of IP and UDP.
Processor time is that of the core and the link of each simulated process, plus the kernel's share as measured on this
machine. The simulated processes share one real process and its caches, so cache misses make it an upper bound.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Executor, ProcessPoolExecutor
from random import Random
from statistics import fmean, median
from typing import Any

from benchmarks.capacity import configuration_sockets
from benchmarks.capacity.membership_relays import HEADER_BYTES
from benchmarks.capacity.scaling import LIMITS, MAX_FIT_ERROR, TARGET_RELAYS, fit_curve
from benchmarks.common import argument_parser, print_result
from benchmarks.signals import datagram_cpu_s, deep_size_kb
from yarrowspindle.lab.model.configuration_cluster import (
    ZONES,
    Change,
    ConfigurationCluster,
    ControllerHost,
    Host,
    RelayHost,
)
from yarrowspindle.lab.model.configuration_scenarios import run_seeds

FLEET_RELAYS = {"small": 96, "machine": TARGET_RELAYS, "large": 2 * TARGET_RELAYS}
# Sizes of the fit; the whole fleet checks it.
FIT_RELAYS = {"small": (24, 48), "machine": (100, 200, 400), "large": (100, 200, 400)}
PROCESSES = 3
CONTENT_CHARACTERS, CHANGE_CHARACTERS = 8000, 200  # size of all entries, and of one change
MAX_IN_FORCE_S, MAX_START_S, MAX_GROWTH = 3.0, 10.0, 0.10
BURST_CHANGES_PER_S, BURST_DURATION_S = 10.0, {"small": 2.0}  # duration by the run's size, else 10 s
STEADY_DURATION_S, PARTITION_DURATION_S = {"small": 5.0}, {"small": 15.0}
STALL_MS = 5000.0
# Class names of messages: the simulation stops a controller when it sends one of this kind.
MESSAGE_KINDS = (
    "ChangeOrder",
    "Prepare",
    "Promise",
    "Accept",
    "Accepted",
    "StateUpdate",
    "Delta",
    "RelaySummary",
    "LatestVersion",
)
SMALL_MESSAGE_KINDS = ("Accept", "Accepted", "StateUpdate", "Delta")
RESTART_COUNT, RESTART_PERIOD_S = 150, 60.0
SAFETY_RUNS = {"small": 16, "machine": 1000, "large": 10_000}
# Numbers of relays, and of the processes that they share.
SOCKET_FLEETS = {"machine": ((200, 4), (400, 6)), "large": ((200, 4), (400, 6))}


class Simulation:
    """A simulated fleet that holds entries of a realistic size, and the changes requested of it."""

    def __init__(self, relays: int, seed: int, started: bool = True, measures: bool = False) -> None:
        self.world = ConfigurationCluster(relays, seed, measure_cpu=measures)
        self.random, self.change_count, self.seed = Random(f"changes {seed}"), 0, seed
        self.requested = list[tuple[str, Change]]()
        for name in self.world.locations:
            if started or name[0] == "c":
                self.world.start(name)
        self.world.run(3.0)
        for _ in range(CONTENT_CHARACTERS // 2000):
            self.request_change("c00", 2000)
            self.world.run(0.5)
        self.requested.clear()

    def request_change(self, controller: str, characters: int = CHANGE_CHARACTERS) -> Change:
        self.change_count += 1
        value = f'"{self.random.getrandbits(4 * characters):0{characters}x}"'
        change = self.world.request_change(controller, {f"settings.{self.change_count % 8}": value})
        self.requested.append((controller, change))
        return change

    def request_changes(self, rate_per_s: float, duration_s: float, controllers: Sequence[str] = ()) -> None:
        """Request changes at these controllers in turn, or at all living ones if none is named."""
        end_s = self.world.clock.seconds + duration_s
        while self.world.clock.seconds < end_s:
            names = controllers or [host.name for host in self.world.controllers]
            self.request_change(names[self.change_count % len(names)])
            self.world.run(1.0 / rate_per_s)

    def delay_s(self, change: Change, controller: str) -> float:
        """Return the seconds until the change was in force, -1 if it is not."""
        if change.in_force_s < 0.0:
            return -1.0
        answer_lost = change.answered_s < 0.0 and controller == self.world.crashed_process
        return change.in_force_s - (change.committed_s if answer_lost else change.requested_s)

    def result(
        self,
        scenario: str,
        failures: list[str],
        extra: dict[str, Any] | None = None,
        delays_s: Iterable[float] | None = None,
        within_s: float = MAX_IN_FORCE_S,
    ) -> dict[str, Any]:
        """Return the row of a scenario, and append a sentence to `failures` for each rule that it breaks.

        Args:
            scenario: Name of the row.
            failures: Sentences about rules that do not hold.
            extra: More columns of the row.
            delays_s: Delays that replace those of the requested changes.
            within_s: Longest delay that is allowed.
        """
        world = self.world
        # A request that its controller had not passed on when it died is lost, and the operator has no answer.
        unanswered = [
            change
            for name, change in self.requested
            if (change.committed_s < 0.0 and not world.hosts[name].alive) or change.answer
        ]
        delays = (
            list(delays_s)
            if delays_s is not None
            else [self.delay_s(change, name) for name, change in self.requested if change not in unanswered]
        )
        newest = world.newest_version()
        behind = sum(relay.applied_version < newest for relay in world.relays)
        never_in_force = sum(delay < 0.0 for delay in delays)
        completed = [delay for delay in delays if delay >= 0.0] or [0.0]
        row = {
            "what": scenario,
            "relays": len(world.relays),
            "changes": len(delays),
            "p50_s": round(median(completed), 3),
            "max_s": round(max(completed), 3),
            "never": never_in_force,
            "behind": behind,
            "older": world.checker.version_regressions,
            "two": world.checker.conflicting_commits,
            "violations": world.checker.violations[:3],
            "unanswered": len(unanswered),
            "seed": self.seed,
        } | (extra or {})
        if max(completed) > within_s or never_in_force or behind:
            failures.append(
                f"{scenario}, {row['relays']} relays: in force after {max(completed):.2f} s at the latest "
                f"({within_s:g} s allowed), {never_in_force} changes never, {behind} relays behind"
            )
        if world.checker.violations:
            failures.append(f"{scenario}: {world.checker.violations[0]}")
        return row


def burst(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    simulation = Simulation(relays, seed)
    simulation.request_changes(BURST_CHANGES_PER_S, BURST_DURATION_S.get(size, 10.0))
    simulation.world.run(MAX_IN_FORCE_S)
    return simulation.result("10 a second", failures)


def loss(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    simulation = Simulation(relays, seed)
    simulation.world.loss_probability = 0.05
    simulation.request_changes(BURST_CHANGES_PER_S, BURST_DURATION_S.get(size, 10.0))
    simulation.world.run(MAX_IN_FORCE_S)
    return simulation.result("10 a second, 5 % lost", failures)


def _stop_controller_at_each_message(
    relays: int, seed: int, size: str, failures: list[str], stall_ms: float
) -> dict[str, Any]:
    """Kill or stall a controller at its first or third message of each kind; a killed one restarts 3 s later."""
    simulation, delays_s, stopped = Simulation(relays, seed), list[float](), list[str]()
    world = simulation.world
    world.crash_stall_ms = stall_ms
    unanswered = 0
    for kind in SMALL_MESSAGE_KINDS if size == "small" else MESSAGE_KINDS:
        for nth in (1,) if size == "small" else (1, 3):
            simulation.requested.clear()
            world.crashed_process, world.crash_at = "", (kind, nth)
            for _ in range(6):
                simulation.request_change(simulation.random.choice([host.name for host in world.controllers]))
                world.run(0.2)
            world.crash_at = ("", 0)
            world.run(3.5 + stall_ms / 1000.0)
            stopped.append(f"{world.crashed_process or 'nobody'} at {kind} {nth}")
            for name, change in simulation.requested:
                if change.committed_s < 0.0 and (name == world.crashed_process or change.answer):
                    unanswered += 1
                elif name != world.crashed_process or not stall_ms or change.in_force_s >= 0.0:
                    delays_s.append(
                        simulation.delay_s(change, name)
                        if name != world.crashed_process or not stall_ms
                        else change.in_force_s - max(change.committed_s, change.requested_s)
                    )
            if world.crashed_process and not stall_ms:
                world.start(world.crashed_process)
                world.run(1.5)
    simulation.requested.clear()
    scenario = "a controller stops at each step" if stall_ms else "a controller dies at each step"
    return simulation.result(scenario, failures, {"died": stopped, "unanswered": unanswered}, delays_s)


def controller_crash(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    return _stop_controller_at_each_message(relays, seed, size, failures, 0.0)


def controller_stall(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    return _stop_controller_at_each_message(relays, seed, size, failures, STALL_MS)


def relay_restarts(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    """Restart an eighth of the relays one after the other within a minute, with one change a second."""
    simulation = Simulation(relays, seed)
    world, count = simulation.world, relays * RESTART_COUNT // TARGET_RELAYS
    restarted = simulation.random.sample([relay.name for relay in world.relays], count)
    world.catch_up_s.clear()
    for n, name in enumerate(restarted):
        if n % max(count * 1 // int(RESTART_PERIOD_S), 1) == 0:
            simulation.request_change("c01")
        world.kill(name)
        world.clock.after(500.0, world.restart, name)
        world.run(RESTART_PERIOD_S / count if size != "small" else 0.2)
    world.run(MAX_IN_FORCE_S)
    latest_known_s = max(world.catch_up_s[name] for name in restarted)
    if latest_known_s > MAX_START_S:
        failures.append(f"restarts: a relay has the newest version {latest_known_s:.1f} s after its start")
    return simulation.result(f"{count} restarts in a minute", failures, {"known_most_s": round(latest_known_s, 2)})


def zone_loss(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    """Kill all relays and controllers of a zone at once, and start them 10 s later."""
    simulation = Simulation(relays, seed)
    world = simulation.world
    lost_names = [name for name, (_, zone_name) in world.locations.items() if zone_name == ZONES[0]]
    other_controllers = [controller.name for controller in world.controller_addresses if controller.zone != ZONES[0]]
    simulation.request_changes(BURST_CHANGES_PER_S, 1.0, other_controllers)
    for name in lost_names:
        world.kill(name)
    simulation.request_changes(BURST_CHANGES_PER_S, 5.0, other_controllers)
    world.run(MAX_IN_FORCE_S)
    world.catch_up_s.clear()
    for name in lost_names:
        world.start(name)
    world.run(MAX_START_S / 2.0)
    known_s = [world.catch_up_s.get(name, 99.0) for name in lost_names if name[0] == "r"]
    if max(known_s) > MAX_START_S:
        failures.append(f"zone: a relay has the newest version {max(known_s):.1f} s after the zone's return")
    return simulation.result(
        "a zone is lost", failures, {"gone": len(lost_names), "known_most_s": round(max(known_s), 2)}
    )


def region_partition(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    """Cut the network between the regions, of which one has the majority of the voters."""
    simulation = Simulation(relays, seed)
    world, duration_s = simulation.world, PARTITION_DURATION_S.get(size, 120.0)
    world.regions_partitioned = True
    cut_at_s = world.clock.seconds
    majority = [controller.name for controller in world.controller_addresses if controller.region == "a"]
    minority = [controller.name for controller in world.controller_addresses if controller.region == "b"]
    minority_changes = [world.request_change(name, {"settings.b": f'"{name}"'}) for name in minority[:2]]
    simulation.request_changes(0.5, duration_s - 2.0, majority)
    world.run(cut_at_s + duration_s - world.clock.seconds)
    majority_delays_s = [
        max(change.in_force_s_by_region.get("a", 999.0) - change.requested_s, 0.0) for _, change in simulation.requested
    ]
    served_versions = len({relay.applied_version for relay in world.relays if relay.region == "b"})
    world.regions_partitioned = False
    healed_at_s = world.clock.seconds
    late_change = simulation.request_change(minority[0])  # the minority side can make changes again
    world.run(2.0 * MAX_IN_FORCE_S)
    minority_delays_s = [
        change.in_force_s_by_region.get("b", 999.0) - healed_at_s for _, change in simulation.requested
    ]
    answers = [change.answer or "" for change in minority_changes]
    if (
        max(majority_delays_s) > MAX_IN_FORCE_S
        or max(minority_delays_s) > MAX_IN_FORCE_S
        or not all("may still" in text for text in answers)
    ):
        failures.append(
            f"regions: in force after {max(majority_delays_s):.2f} s on the majority side, "
            f"{max(minority_delays_s):.2f} s after the cut on the other; operators there were answered {answers}"
        )
    return simulation.result(
        f"regions cut for {duration_s:g} s",
        failures,
        {
            "majority_max_s": round(max(majority_delays_s), 3),
            "after_cut_max_s": round(max(minority_delays_s), 3),
            "versions_served_there": served_versions,
            "first_after_s": round(simulation.delay_s(late_change, minority[0]), 3),
        },
        [*majority_delays_s, *minority_delays_s],
    )


def cold_start(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    """Start all relays at once, without stored settings."""
    simulation = Simulation(relays, seed, started=False)
    for name in simulation.world.locations:
        if name[0] == "r":
            simulation.world.start(name)
    simulation.world.run(MAX_START_S)
    known_s = [simulation.world.catch_up_s.get(r.name, 99.0) for r in simulation.world.relays]
    return simulation.result("all relays start at once", failures, None, known_s, MAX_START_S)


def _resource_use(hosts: Sequence[Host], duration_s: float, kernel_cpu_s: float) -> tuple[list[float], list[float]]:
    """Return bytes per second and the share of a core, for each host."""
    counts = [host.link.counts for host in hosts]
    datagram_rates = [(count["sent"] + count["came"]) / duration_s for count in counts]
    payload_rates = [(count["sent_bytes"] + count["came_bytes"]) / duration_s for count in counts]
    return (
        [size + HEADER_BYTES * number for size, number in zip(payload_rates, datagram_rates, strict=True)],
        # the kernel's time was measured for one datagram sent and received: half of it for each
        [
            host.cpu_s / duration_s + number * kernel_cpu_s / 2.0
            for host, number in zip(hosts, datagram_rates, strict=True)
        ],
    )


def resource_cost(relays: int, seed: int, size: str, failures: list[str]) -> dict[str, Any]:
    """Measure the cost for a relay and a controller at 6,500 changes a day (one in 13 s) and at 10 a second."""
    simulation = Simulation(relays, seed, measures=True)
    world, kernel_s = simulation.world, datagram_cpu_s()
    result: dict[str, Any] = {"relays": relays, "seed": seed}
    for load, rate_per_s in (("steady", 1.0 / 13.0), ("burst", BURST_CHANGES_PER_S)):
        for host in world.hosts.values():
            host.link.counts.clear()
            host.cpu_s = 0.0
        duration_s = STEADY_DURATION_S.get(size, 20.0) if load == "steady" else BURST_DURATION_S.get(size, 10.0)
        simulation.request_changes(rate_per_s, duration_s)
        duration_s = max(duration_s, 1.0 / rate_per_s) if load == "steady" else duration_s
        for kind, cls in (("relay", RelayHost), ("controller", ControllerHost)):
            hosts = [host for host in world.hosts.values() if isinstance(host, cls)]
            bytes_per_s, core_shares = _resource_use(
                hosts, duration_s if load == "burst" else 13.0 * len(simulation.requested), kernel_s
            )
            result |= {
                f"{kind}_{load}_bytes_per_s": round(fmean(bytes_per_s)),
                f"{kind}_{load}_most_bytes_per_s": round(max(bytes_per_s)),
                f"{kind}_{load}_cpu": round(fmean(core_shares), 6),
                f"{kind}_{load}_most_cpu": round(max(core_shares), 6),
            }
        simulation.requested.clear()
    for kind, host in (
        ("relay", world.relays[0]),
        ("controller", max(world.controllers, key=lambda host: len(host.core.sessions.relays))),
    ):
        result[f"{kind}_kb"] = round(deep_size_kb([host.core, host.link]), 1)
    result["controller_relays"] = max(len(host.core.sessions.relays) for host in world.controllers)
    return result


SCENARIOS: dict[str, Callable[[int, int, str, list[str]], dict[str, Any]]] = {
    "burst": burst,
    "loss": loss,
    "restarts": relay_restarts,
    "start": cold_start,
}
FAULTS: dict[str, Callable[[int, int, str, list[str]], dict[str, Any]]] = {
    "regions": region_partition,
    "dies": controller_crash,
    "stops": controller_stall,
    "zone": zone_loss,
}


def run_task(task: tuple[str, int, int, str]) -> tuple[dict[str, Any], list[str]]:
    name, relays, seed, size = task
    failures = list[str]()
    return (SCENARIOS | FAULTS | {"cost": resource_cost})[name](relays, seed, size, failures), failures


def run_scenarios(
    pool: Executor, scenarios: Iterable[str], relays: int, seed: int, size: str, failures: list[str]
) -> list[dict[str, Any]]:
    """Run the scenarios, print each row when it arrives, and return them."""
    rows = list[dict[str, Any]]()
    for row, task_failures in pool.map(run_task, [(name, relays, seed, size) for name in scenarios]):
        rows.append(row)
        failures += task_failures
        shown = {key: value for key, value in row.items() if key not in ("seed", "violations")}
        print("  ".join(f"{key} {value}" for key, value in shown.items()), flush=True)
    return rows


def check_safety(pool: Executor, first_seed: int, count: int, failures: list[str]) -> dict[str, Any]:
    """Simulate small fleets with faults drawn from the seed, and check the safety rules and progress."""
    runs_per_task = 8
    results = list(
        pool.map(
            run_seeds,
            range(first_seed, first_seed + count, runs_per_task),
            [runs_per_task] * -(-count // runs_per_task),
        )
    )
    failed_seeds = {seed: text for batch in results for seed, text in [*batch.violations.items(), *batch.stuck.items()]}
    versions = sum(batch.counts["versions"] for batch in results)
    print(
        f"{sum(batch.runs for batch in results)} runs from seed {first_seed} on: {len(failed_seeds)} broke a rule or "
        "made no progress"
    )
    failures += [f"safety, seed {seed}: {text}" for seed, text in sorted(failed_seeds.items())[:5]]
    return {"days": sum(batch.runs for batch in results), "days_broken": len(failed_seeds), "days_versions": versions}


def check_flat(costs: Sequence[dict[str, Any]], failures: list[str]) -> dict[str, Any]:
    """Fit costs without the largest fleet, check the fits there, and check that a relay's costs do not grow.

    In the largest fleet they may be a tenth above those in the smallest.
    """
    smallest, largest = costs[0], costs[-1]
    result = dict[str, Any]()
    for key in (
        "relay_steady_bytes_per_s",
        "relay_burst_bytes_per_s",
        "relay_burst_cpu",
        "relay_kb",
        "controller_burst_bytes_per_s",
        "controller_burst_cpu",
    ):
        fit = fit_curve([row["relays"] for row in costs[:-1]], [row[key] for row in costs[:-1]])
        predicted, measured = fit.at(largest["relays"]), largest[key]
        result[key] = {
            "form": fit.form,
            "told": round(predicted, 6),
            "measured": measured,
            "error": round(predicted / measured - 1.0, 3),
        }
        print(
            f"{key}: {fit.form}, {predicted:.6g} predicted for {largest['relays']}, {measured:.6g} measured"
            + (", wrong" if abs(predicted / measured - 1.0) > MAX_FIT_ERROR else "")
        )
        if key.startswith("relay") and measured > (1.0 + MAX_GROWTH) * smallest[key]:
            failures.append(
                f"{key}: {measured:g} at {largest['relays']} relays, {smallest[key]:g} at {smallest['relays']}: "
                "not flat"
            )
    return result


def run(
    seed: int, size: str, relays: int | None, failures: list[str], only: Sequence[str] = ("change", "faults")
) -> dict[str, Any]:
    """Run the chosen parts, and append a sentence to `failures` for each rule that does not hold.

    Returns:
        relays, in_force_p50_s, in_force_max_s, behind, older_after_newer and rows; with "change" also bytes_per_s,
        cpu_share and memory_mb of a relay at 10 changes a second, control_cpu_share and control_bytes_per_s of the
        busiest controller, costs and fits.
    """
    relay_count, costs = relays or FLEET_RELAYS[size], list[dict[str, Any]]()
    with ProcessPoolExecutor(PROCESSES) as pool:
        scenarios = [*(SCENARIOS if "change" in only else ()), *(FAULTS if "faults" in only else ())]
        rows = run_scenarios(pool, scenarios, relay_count, seed, size, failures)
        safety_result = check_safety(pool, 1000 * seed, SAFETY_RUNS[size], failures) if "faults" in only else {}
        if "change" in only:
            sizes = [count for count in FIT_RELAYS[size] if count < relay_count] + [relay_count]
            costs = [
                result for result, _ in pool.map(run_task, [("cost", count, seed, size) for count in reversed(sizes)])
            ][::-1]
    result = {
        "relays": relay_count,
        "in_force_p50_s": median(row["p50_s"] for row in rows),
        "in_force_max_s": max(row["max_s"] for row in rows if row["what"] != "all relays start at once"),
        "behind": sum(row["behind"] for row in rows),
        "older_after_newer": sum(row["older"] for row in rows),
        "rows": rows,
    } | safety_result
    if "change" in only and size in SOCKET_FLEETS:
        result["sockets"] = [configuration_sockets.measure(*fleet, seed, failures) for fleet in SOCKET_FLEETS[size]]
    for row in costs:
        print("  ".join(f"{key} {value}" for key, value in row.items()))
    if costs:
        last = costs[-1]
        result |= {
            "bytes_per_s": last["relay_burst_most_bytes_per_s"],
            "cpu_share": last["relay_burst_cpu"],
            "memory_mb": round(last["relay_kb"] / 1024.0, 3),
            "control_cpu_share": last["controller_burst_most_cpu"],
            "control_bytes_per_s": last["controller_burst_most_bytes_per_s"],
            "costs": costs,
            "fits": check_flat(costs, failures) if len(costs) > 2 else {},
        }
        _check_limits("cost of changes for a relay", result, relay_count, failures)
    return result


def _check_limits(name: str, result: dict[str, Any], relays: int, failures: list[str]) -> None:
    for key, limit in LIMITS.items():
        if result[key] > limit:
            failures.append(f"{name}, {relays} relays: {key} is {result[key]:g}, at most {limit:g} is allowed")


def check_combined(scaling_result: dict[str, Any], change_result: dict[str, Any], failures: list[str]) -> None:
    """Check the total control cost of one relay: peers in a cell, and configuration changes at 10 a second."""
    cells_row = scaling_result["cells"][-1]
    total = {
        "bytes_per_s": cells_row["most_bytes_per_s"] + change_result["bytes_per_s"],
        "cpu_share": cells_row["cpu_share"] + change_result["cpu_share"],
        "memory_mb": cells_row["memory_mb"] + change_result["memory_mb"],
    }
    print("total control cost of a relay: " + ", ".join(f"{key} {value:.5g}" for key, value in total.items()))
    change_result["together"] = total
    _check_limits("total control cost of a relay", total, change_result["relays"], failures)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argument_parser("Distribution of configuration changes to all relays.")
    parser.add_argument("--relays", type=int, help="another size of the fleet")
    args = parser.parse_args(arguments)
    started, failures = time.perf_counter(), list[str]()
    result = run(args.seed, args.size, args.relays, failures)
    print(f"load {os.getloadavg()[0]:.1f}")
    return print_result({"change": result}, failures, started, args.json, args.seed, args.size)


if __name__ == "__main__":
    sys.exit(main())
