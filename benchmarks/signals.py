"""Relays that exchange load signals, compared with the same fleet without them, and with exact loads known at once.

    python -m benchmarks.signals [--seed N] [--size small|machine|large] [--json]

The figure of a fleet is the share of the worth that is served, less the price of crossings between zones; `closed` is
the share of the gain from `off` to `bound`. A rule on it is broken if it is missed by more than two standard errors of
the seeds. `large` simulates 200 relays and 2,000 backends, and measures bytes and processor time of a relay.
"""

from __future__ import annotations

import gc
import os
import socket
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from math import sqrt
from statistics import fmean, stdev
from typing import Any

from benchmarks.common import argument_parser, print_result
from yarrowspindle.lab.faults import Fault
from yarrowspindle.lab.model import Fleet, FleetSpec, RuleViolation
from yarrowspindle.lab.model.deployments import ASKED, PROBED
from yarrowspindle.lab.model.membership_simulation import MembershipSimulation, run_membership_scenario
from yarrowspindle.membership import Membership

FILL_SHARE, RUN_S = 0.75, 30.0
FLEETS = {"asked": replace(ASKED, uses_own_load=True), "probed": PROBED}  # the daemon always weighs its own load too
MODES = ("off", "on", "loss 0.3", "bound")
SEED_COUNTS = {
    "small": {3: (16, 6), 10: (10, 5)},
    "machine": {3: (80, 40), 10: (40, 24), 40: (10, 8)},
    "large": {3: (16, 6)},
}
MEMBERSHIP_SEED_COUNTS = {"small": 60, "machine": 1000, "large": 200}
# The first set, loss and a stall of up to 3 s, counts false failure detections. Fleets have 3, 5 and 9 relays in turn.
MEMBERSHIP_FAULTS = (
    ("loss", "stall"),
    ("split", "loss"),
    ("cut", "kill"),
    ("oneway", "double", "reorder"),
    ("lost", "late"),
    ("corrupt", "kill", "stall"),
    ("old",),
    ("mute",),
    ("restart", "loss"),
)
COST_FLEETS = {"small": (10, 100), "machine": (40, 400), "large": (200, 2000)}
COST_WINDOW_S = 8.0
MIN_GAIN_SHARE, MIN_GAIN_SHARE_AT_LOSS, MAX_DIFFERENCE = 0.7, 0.5, 0.01
MAX_BYTES_PER_S, MAX_CORE_SHARE, MAX_DETECTION_S, MAX_AGREEMENT_S = 64_000.0, 0.01, 5.0, 15.0


def scale_fleet(base: FleetSpec, relays: int) -> FleetSpec:
    factor = 2 if relays > 20 else 1
    return replace(
        base,
        relays=relays,
        backends=12 * factor,
        connections=base.connections * factor,
        relay_weights=(),
        utilization=FILL_SHARE,
    )


def run_fleet(deployment: str, relays: int, mode: str, seed: int) -> tuple[float, float, float]:
    """Simulate a fleet.

    Returns:
        The figure of the fleet; the largest share of a second's connections that one backend got, averaged over the
        seconds; the mean age of the load signals in seconds.
    """
    peers = {"off": "", "bound": "known"}.get(mode, "net")
    fleet = Fleet(replace(scale_fleet(FLEETS[deployment], relays), peers=peers), seed)
    if fleet.peer_exchange is not None and fleet.peer_exchange.network is not None and mode != "on":
        fault, share = {"mute": ("mute", 1.0), "old": ("old", 1.0)}.get(mode, ("loss", 0.3))
        fleet.peer_exchange.network.faulty_network.start(
            Fault(fault, 0.0, 1e9, share, 5000.0 if fault == "old" else 0.0)
        )
    fleet.fill(4.0)
    fleet.run(8.0)
    wanted_before, served_before, crossed_before, stood_before = (
        fleet.demand,
        fleet.served,
        fleet.cross_zone_s,
        fleet.established_s,
    )
    shares, ages, accepted_before = (
        list[float](),
        list[float](),
        {backend.name: backend.accepted_connections for backend in fleet.backends.values()},
    )

    def sample(_: float) -> None:
        accepted = [backend.accepted_connections - accepted_before[backend.name] for backend in fleet.backends.values()]
        accepted_before.update({backend.name: backend.accepted_connections for backend in fleet.backends.values()})
        shares.append(max(accepted) / max(sum(accepted), 1))
        ages.extend(
            relay.reducer.balancer.peer_loads.age_at_update_ms
            for relay in fleet.relays
            if relay.reducer.balancer.peer_loads.reporting_peers
        )

    fleet.samplers.append(sample)
    fleet.run(RUN_S)
    fleet.rules.check()
    share = (fleet.served - served_before) / (fleet.demand - wanted_before)
    zone_price = (
        fleet.settings.cross_zone_price
        * (fleet.cross_zone_s - crossed_before)
        / max(fleet.established_s - stood_before, 1.0)
    )
    return share - zone_price, fmean(shares), fmean(ages) / 1000.0 if ages else 0.0


def run_task(task: tuple[str, int, str, int]) -> tuple[tuple[str, int, str, int], tuple[float, float, float] | str]:
    try:
        return task, run_fleet(*task)
    except RuleViolation as error:
        return task, str(error)


def run_membership(task: tuple[int, tuple[str, ...]]) -> tuple[int, float, int]:
    """Return the seed, the seconds until all members agree, and the number of living members declared dead."""
    seed, faults = task
    result = run_membership_scenario((3, 5, 9)[seed % 3], seed, faults)
    return seed, result.converged_s, result.false_deaths


def measure_detection_s(seed: int) -> float:
    """Return the seconds until all relays have dropped a killed relay's load; below 0 if not within 10 s."""
    world = MembershipSimulation(5, seed)
    for index in range(5):
        world.start(index)
    world.run(4.0)
    world.kill(seed % 5)
    return world.run_until(world.sums_are_correct, 10.0)


def deep_size_kb(root: object) -> float:
    """Return the size in kB of an object and all objects that it refers to; classes and plain functions excluded."""
    seen, pending, total_bytes = set[int](), [root], 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, type) or (callable(item) and not hasattr(item, "__self__")):
            continue
        seen.add(id(item))
        total_bytes += sys.getsizeof(item)
        if not callable(item):
            pending += gc.get_referents(item)
    return total_bytes / 1024.0


def datagram_cpu_s() -> float:
    """Return the processor time in seconds to send and receive one datagram on this machine."""
    with socket.socket(type=socket.SOCK_DGRAM) as receiver, socket.socket(type=socket.SOCK_DGRAM) as sender:
        receiver.bind(("127.0.0.1", 0))
        sender.connect(receiver.getsockname())
        started_s, data = time.process_time(), b"x" * 500
        for _ in range(5000):
            sender.send(data)
            receiver.recv(2048)
        return (time.process_time() - started_s) / 5000


def record_events(core: Membership) -> list[tuple[float, Any]]:
    """Return a list to which all further events of this core are appended, with their times."""
    events, step = list[tuple[float, Any]](), core.step

    def recording_step(now: float, event: Any) -> Any:
        events.append((now, event))
        return step(now, event)

    core.step = recording_step  # type: ignore[method-assign]
    return events


def replay_cpu_s(arguments: tuple[Any, ...], events: list[tuple[float, Any]], start: float) -> float:
    """Replay events to a new core; return its processor time in seconds for those from `start` on."""
    core = Membership(*arguments)
    core.take_effects()
    for now, event in events:
        if now < start:
            core.step(now, event)
    started_s = time.process_time()
    for now, event in events:
        if now >= start:
            core.step(now, event)
    return time.process_time() - started_s


def measure_cost(task: tuple[int, int, int, bool]) -> dict[str, float]:
    """Simulate relays whose connections come and go; return bytes, datagrams and processor time of one relay."""
    relays, backends, seed, with_load = task
    world = MembershipSimulation(
        relays, seed, backends, max(2, min(backends, 8 * backends // relays)) if with_load else 0
    )
    for index in range(relays):
        world.start(index)
    events = record_events(world.network.peers[0].core)
    world.run(6.0 + relays / 20.0)  # until each relay knows the clocks of all others
    peers = list(world.network.peers.values())
    for peer in peers:
        peer.core.counts.clear()
    start = peers[0].now()
    for _ in range(int(COST_WINDOW_S * 10)):
        if with_load:
            for index in range(relays):
                for _ in range(2):
                    world.change_load(index)
        world.run(0.1)
    sent_per_s = fmean(peer.core.counts["sent_bytes"] for peer in peers) / COST_WINDOW_S
    signals_per_s = fmean(peer.core.counts["signal_bytes"] for peer in peers) / COST_WINDOW_S
    datagrams_per_s = fmean(peer.core.counts["sent"] for peer in peers) / COST_WINDOW_S
    ages_s = [others.age_ms / 1000.0 for others in world.peer_loads.values()]
    # The events of one relay are replayed alone: among 199 others its tables would not be in the processor's cache, as
    # they are in a real process. The kernel's time is added.
    core_share = replay_cpu_s(peers[0].core_arguments, events, start) / COST_WINDOW_S
    return {
        "bytes": sent_per_s,
        "members": sent_per_s - signals_per_s,
        "datagrams": datagrams_per_s,
        "cpu": core_share + datagrams_per_s * datagram_cpu_s(),
        "memory_kb": deep_size_kb([peers[0].core.members.table, peers[0].core.signals, peers[0].core.probing.pings]),
        "age_s": fmean(ages_s),
        "heard": fmean(others.reporting_relays for others in world.peer_loads.values()),
    }


def compare_modes(
    results: dict[tuple[str, int, str, int], tuple[float, float, float]],
    deployment: str,
    relays: int,
    failures: list[str],
) -> dict[str, Any]:
    """Return the row of one deployment at one size, and append rules that do not hold to `failures`."""
    seeds = sorted({seed for name, relay_count, _, seed in results if (name, relay_count) == (deployment, relays)})
    figures = {
        mode: [
            results[deployment, relays, mode, seed][0] for seed in seeds if (deployment, relays, mode, seed) in results
        ]
        for mode in MODES
    }
    mean = {mode: fmean(values) for mode, values in figures.items()}
    full_gain = mean["bound"] - mean["off"]

    def gain_share(mode: str, min_share: float) -> float:
        # The shortfall is taken for each seed, so that variation common to all modes cancels.
        shortfalls = [
            off_value + min_share * (bound_value - off_value) - value
            for off_value, bound_value, value in zip(figures["off"], figures["bound"], figures[mode], strict=True)
        ]
        standard_error = stdev(shortfalls) / sqrt(len(shortfalls)) if len(shortfalls) > 1 else 0.0
        if fmean(shortfalls) > 2.0 * standard_error:
            failures.append(
                f"{deployment}, {relays} relays, {mode}: {(mean[mode] - mean['off']) / full_gain:.2f} of the gain "
                f"reached, at least {min_share:g} is required"
            )
        return (mean[mode] - mean["off"]) / full_gain if abs(full_gain) > 1e-9 else 0.0

    peak_shares = {mode: fmean(results[deployment, relays, mode, seed][1] for seed in seeds) for mode in ("off", "on")}
    return {
        "deployment": deployment,
        "relays": relays,
        "nodes": scale_fleet(FLEETS[deployment], relays).backends,
        "seeds": len(seeds),
        "off": round(mean["off"], 4),
        "on": round(mean["on"], 4),
        "bound": round(mean["bound"], 4),
        "closed": round(gain_share("on", MIN_GAIN_SHARE), 3),
        "closed_at_loss": round(gain_share("loss 0.3", MIN_GAIN_SHARE_AT_LOSS), 3),
        "loss": 0.3,
        "age_s": round(fmean(results[deployment, relays, "on", seed][2] for seed in seeds), 3),
        "herd": round(peak_shares["on"] / peak_shares["off"], 3),
    }


def main(arguments: Sequence[str] | None = None) -> int:
    args = argument_parser("Load signals between relays, off and on, and the bound.").parse_args(arguments)
    started, failures, rows = time.perf_counter(), list[str](), list[dict[str, Any]]()
    size, first_seed = args.size, args.seed * 1000
    with ProcessPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        tasks = [
            (name, relays, mode, first_seed + index)
            for relays, (asked_seeds, probed_seeds) in sorted(SEED_COUNTS[size].items(), reverse=True)
            for name, seeds in (("asked", asked_seeds), ("probed", probed_seeds))
            for mode in MODES
            for index in range(seeds)
        ]
        relays, backends = COST_FLEETS[size]
        costs = pool.map(
            measure_cost,
            [
                (relays, backends, args.seed, True),
                (relays, backends, args.seed, False),
                (max(relays // 4, 3), backends, args.seed, False),
            ],
        )
        silent_results = pool.map(
            run_task, [(name, 3, mode, first_seed) for name in FLEETS for mode in ("off", "mute", "old")]
        )
        results: dict[tuple[str, int, str, int], tuple[float, float, float]] = {}
        for task, outcome in pool.map(run_task, tasks):
            if isinstance(outcome, str):
                failures.append(f"{task}: {outcome}")
            else:
                results[task] = outcome
        for relay_count in SEED_COUNTS[size]:
            for name in FLEETS:
                row = compare_modes(results, name, relay_count, failures)
                rows.append(row)
                print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
        silent_figures: dict[tuple[str, str], float] = {}
        for (name, _, mode, _), outcome in silent_results:
            silent_figures[name, mode] = outcome[0] if not isinstance(outcome, str) else -1.0
        for name in FLEETS:
            for mode in ("mute", "old"):
                off, label = silent_figures[name, "off"], "all lost" if mode == "mute" else "all 5 s old"
                print(f"{name}, {label}: {silent_figures[name, mode]:.4f} (off {off:.4f})")
                if abs(silent_figures[name, mode] - off) > MAX_DIFFERENCE:
                    failures.append(f"{name}, {mode}: {silent_figures[name, mode]:.4f}, off {off:.4f}")
        full_cost, members, fewer_relays_cost = costs
        seeds = range(first_seed, first_seed + MEMBERSHIP_SEED_COUNTS[size])
        stall_results = list(pool.map(run_membership, [(seed, MEMBERSHIP_FAULTS[0]) for seed in seeds], chunksize=4))
        other_results = list(
            pool.map(run_membership, [(seed, MEMBERSHIP_FAULTS[1 + seed // 3 % 8]) for seed in seeds], chunksize=4)
        )
        detections_s = list(pool.map(measure_detection_s, range(first_seed, first_seed + 20)))
    disagreeing_seeds = [
        seed for seed, agreed_s, _ in stall_results + other_results if not 0.0 <= agreed_s <= MAX_AGREEMENT_S
    ]
    if disagreeing_seeds:
        failures.append(
            f"members do not agree within {MAX_AGREEMENT_S:g} s after the faults: seeds {disagreeing_seeds[:8]}"
        )
    if min(detections_s) < 0.0 or max(detections_s) > MAX_DETECTION_S:
        failures.append(
            f"a killed relay's load is dropped after {max(detections_s):.1f} s, {MAX_DETECTION_S:g} s at most"
        )
    print(
        f"{relays} relays, {backends} backends: {full_cost['bytes']:.0f} bytes/s sent by each, "
        f"{full_cost['members']:.0f} for members, {full_cost['datagrams']:.0f} datagrams/s, "
        f"{100 * full_cost['cpu']:.2f} % of a core, "
        f"{full_cost['memory_kb']:.0f} kB, signals {full_cost['age_s']:.2f} s old from {full_cost['heard']:.0f} peers"
    )
    print(
        f"membership alone: {members['members']:.0f} bytes/s at {relays} relays, {fewer_relays_cost['members']:.0f} at "
        f"{max(relays // 4, 3)}"
    )
    if size == "large" and (full_cost["bytes"] > MAX_BYTES_PER_S or full_cost["cpu"] > MAX_CORE_SHARE):
        failures.append(
            f"{full_cost['bytes']:.0f} bytes/s and {100 * full_cost['cpu']:.2f} % of a core, "
            f"{MAX_BYTES_PER_S:.0f} and {100 * MAX_CORE_SHARE:g} % at most"
        )
    agreed_s, worst_other_s = (max(agreed_s for _, agreed_s, _ in batch) for batch in (stall_results, other_results))
    print(f"{len(other_results)} seeds of other sets of faults: all agree at most {worst_other_s:.1f} s after them")
    false_deaths = sum(false_deaths for *_, false_deaths in stall_results)
    print(
        f"{len(stall_results)} seeds with loss and a stall: all agree at most {agreed_s:.1f} s after the faults, "
        f"{false_deaths} living or stalled members declared dead; a killed relay's load is dropped after "
        f"{max(detections_s):.1f} s at most"
    )
    result = {key: [row[key] for row in rows] for key in rows[0]} | {
        "bytes_per_s": round(full_cost["bytes"]),
        "members_bytes_per_s": round(members["members"]),
        "cpu_share": round(full_cost["cpu"], 5),
        "memory_kb": round(full_cost["memory_kb"]),
        "cost_relays": relays,
        "cost_nodes": backends,
        "false_deaths": false_deaths,
        "member_seeds": len(stall_results),
        "agreed_s": agreed_s,
        "detect_s": max(detections_s),
    }
    return print_result(result, failures, started, args.json, args.seed, size)


if __name__ == "__main__":
    sys.exit(main())
