"""Relays that hear one another, against the same fleet without, and with true sums known at once.

    python -m benchmarks.signals [--seed N] [--size small|machine|large] [--json]

The figure of a fleet is the share of the worth that is served, less the price of crossings between zones; `closed` is
the part of the way from off to bound. A rule on it counts as broken where it is missed by more than two standard errors
of the seeds. `large`: 200 relays and 2,000 nodes in virtual time, bytes and processor time a relay.
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

from benchmarks.common import finish, options
from yarrowspindle.lab.faults import Fault
from yarrowspindle.lab.model import Fleet, FleetSpec, RuleViolation
from yarrowspindle.lab.model.deployments import ASKED, PROBED
from yarrowspindle.lab.model.membership_simulation import MembershipSimulation, run_membership_scenario
from yarrowspindle.membership import Membership

FILLED, RUN_S = 0.75, 30.0
BASES = {"asked": replace(ASKED, uses_own_load=True), "probed": PROBED}  # the daemon always judges by own load too
WAYS = ("off", "on", "loss 0.3", "bound")
SEEDS = {"small": {3: (16, 6), 10: (10, 5)}, "machine": {3: (80, 40), 10: (40, 24), 40: (10, 8)}, "large": {3: (16, 6)}}
MEMBER_SEEDS = {"small": 60, "machine": 1000, "large": 200}
# Loss and a stall of up to 3 s first, by which deaths are counted; relays by turns 3, 5 and 9.
MEMBER_SETS = (
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
COST = {"small": (10, 100), "machine": (40, 400), "large": (200, 2000)}
COST_S = 8.0
CLOSED, CLOSED_LOSS, SAME = 0.7, 0.5, 0.01
MAX_BYTES, MAX_CPU, MAX_DETECT_S, MAX_AGREE_S = 64_000.0, 0.01, 5.0, 15.0


def sized(base: FleetSpec, relays: int) -> FleetSpec:
    times = 2 if relays > 20 else 1
    return replace(
        base,
        relays=relays,
        backends=12 * times,
        connections=base.connections * times,
        relay_weights=(),
        utilization=FILLED,
    )


def day(deployment: str, relays: int, way: str, seed: int) -> tuple[float, float, float]:
    """The figure; the largest share of a second's connections that one node got, mean over seconds; age of the word."""
    peers = {"off": "", "bound": "known"}.get(way, "net")
    fleet = Fleet(replace(sized(BASES[deployment], relays), peers=peers), seed)
    if fleet.peer_exchange is not None and fleet.peer_exchange.network is not None and way != "on":
        word, share = {"mute": ("mute", 1.0), "old": ("old", 1.0)}.get(way, ("loss", 0.3))
        fleet.peer_exchange.network.faulty_network.start(Fault(word, 0.0, 1e9, share, 5000.0 if word == "old" else 0.0))
    fleet.fill(4.0)
    fleet.run(8.0)
    wanted, served, crossed, stood = fleet.demand, fleet.served, fleet.cross_zone_s, fleet.established_s
    shares, ages, before = (
        list[float](),
        list[float](),
        {n.name: n.accepted_connections for n in fleet.backends.values()},
    )

    def sample(_: float) -> None:
        came = [n.accepted_connections - before[n.name] for n in fleet.backends.values()]
        before.update({n.name: n.accepted_connections for n in fleet.backends.values()})
        shares.append(max(came) / max(sum(came), 1))
        ages.extend(
            r.reducer.balancer.peer_loads.age_at_update_ms
            for r in fleet.relays
            if r.reducer.balancer.peer_loads.reporting_peers
        )

    fleet.samplers.append(sample)
    fleet.run(RUN_S)
    fleet.rules.check()
    share = (fleet.served - served) / (fleet.demand - wanted)
    price = fleet.settings.cross_zone_price * (fleet.cross_zone_s - crossed) / max(fleet.established_s - stood, 1.0)
    return share - price, fmean(shares), fmean(ages) / 1000.0 if ages else 0.0


def one(task: tuple[str, int, str, int]) -> tuple[tuple[str, int, str, int], tuple[float, float, float] | str]:
    try:
        return task, day(*task)
    except RuleViolation as error:
        return task, str(error)


def member_day(task: tuple[int, tuple[str, ...]]) -> tuple[int, float, int]:
    """After how long all agree, and who was held dead and was not."""
    seed, words = task
    found = run_membership_scenario((3, 5, 9)[seed % 3], seed, words)
    return seed, found.converged_s, found.false_deaths


def detect_day(seed: int) -> float:
    """How long after its end a killed relay's part is gone at all others (below 0: not within 10 s)."""
    world = MembershipSimulation(5, seed)
    for index in range(5):
        world.start(index)
    world.run(4.0)
    world.kill(seed % 5)
    return world.run_until(world.sums_are_correct, 10.0)


def deep_kb(root: object) -> float:
    """What an object and all that only it leads to take, in kB."""
    seen, found, total = set[int](), [root], 0
    while found:
        item = found.pop()
        if id(item) in seen or isinstance(item, type) or (callable(item) and not hasattr(item, "__self__")):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        if not callable(item):
            found += gc.get_referents(item)
    return total / 1024.0


def datagram_s() -> float:
    """Processor time of one datagram through the kernel, sent and taken, on this machine."""
    with socket.socket(type=socket.SOCK_DGRAM) as one, socket.socket(type=socket.SOCK_DGRAM) as other:
        one.bind(("127.0.0.1", 0))
        other.connect(one.getsockname())
        began, data = time.process_time(), b"x" * 500
        for _ in range(5000):
            other.send(data)
            one.recv(2048)
        return (time.process_time() - began) / 5000


def recorded(core: Membership) -> list[tuple[float, Any]]:
    """All that this core is told from now on."""
    events, step = list[tuple[float, Any]](), core.step

    def listened(now: float, event: Any) -> Any:
        events.append((now, event))
        return step(now, event)

    core.step = listened  # type: ignore[method-assign]
    return events


def played_again(made: tuple[Any, ...], events: list[tuple[float, Any]], start: float) -> float:
    """Processor time in seconds that it takes from `start` on."""
    core = Membership(*made)
    core.take_effects()
    for now, event in events:
        if now < start:
            core.step(now, event)
    began = time.process_time()
    for now, event in events:
        if now >= start:
            core.step(now, event)
    return time.process_time() - began


def cost(task: tuple[int, int, int, bool]) -> dict[str, float]:
    """So many relays whose connections come and go: bytes, datagrams and processor time of one, in virtual time."""
    relays, backends, seed, holding = task
    world = MembershipSimulation(
        relays, seed, backends, max(2, min(backends, 8 * backends // relays)) if holding else 0
    )
    for index in range(relays):
        world.start(index)
    events = recorded(world.network.peers[0].core)
    world.run(6.0 + relays / 20.0)  # until all clocks are known
    peers = list(world.network.peers.values())
    for peer in peers:
        peer.core.counts.clear()
    start = peers[0].now()
    for _ in range(int(COST_S * 10)):
        if holding:
            for index in range(relays):
                for _ in range(2):
                    world.change_load(index)
        world.run(0.1)
    sent = fmean(peer.core.counts["sent_bytes"] for peer in peers) / COST_S
    signals = fmean(peer.core.counts["signal_bytes"] for peer in peers) / COST_S
    datagrams = fmean(peer.core.counts["sent"] for peer in peers) / COST_S
    ages = [others.age_ms / 1000.0 for others in world.peer_loads.values()]
    # One relay by itself is told again what it was told: beside 199 others its books would lie in no cache.
    # The kernel's part is added.
    spent = played_again(peers[0].core_arguments, events, start) / COST_S
    return {
        "bytes": sent,
        "members": sent - signals,
        "datagrams": datagrams,
        "cpu": spent + datagrams * datagram_s(),
        "memory_kb": deep_kb([peers[0].core.members.table, peers[0].core.signals, peers[0].core.probing.pings]),
        "age_s": fmean(ages),
        "heard": fmean(others.reporting_relays for others in world.peer_loads.values()),
    }


def compared(
    found: dict[tuple[str, int, str, int], tuple[float, float, float]], deployment: str, relays: int, broken: list[str]
) -> dict[str, Any]:
    """One deployment at one size."""
    seeds = sorted({seed for d, n, _, seed in found if (d, n) == (deployment, relays)})
    of = {
        way: [found[deployment, relays, way, s][0] for s in seeds if (deployment, relays, way, s) in found]
        for way in WAYS
    }
    mean = {way: fmean(values) for way, values in of.items()}
    whole = mean["bound"] - mean["off"]

    def closed(way: str, least: float) -> float:
        # Missed by how much, seed by seed, so that what the day brings all ways alike drops out.
        missed = [
            off + least * (bound - off) - got for off, bound, got in zip(of["off"], of["bound"], of[way], strict=True)
        ]
        error = stdev(missed) / sqrt(len(missed)) if len(missed) > 1 else 0.0
        if fmean(missed) > 2.0 * error:
            broken.append(
                f"{deployment}, {relays} relays, {way}: {(mean[way] - mean['off']) / whole:.2f} of the way "
                f"closed, {least:g} is wanted"
            )
        return (mean[way] - mean["off"]) / whole if abs(whole) > 1e-9 else 0.0

    herd = {way: fmean(found[deployment, relays, way, s][1] for s in seeds) for way in ("off", "on")}
    return {
        "deployment": deployment,
        "relays": relays,
        "nodes": sized(BASES[deployment], relays).backends,
        "seeds": len(seeds),
        "off": round(mean["off"], 4),
        "on": round(mean["on"], 4),
        "bound": round(mean["bound"], 4),
        "closed": round(closed("on", CLOSED), 3),
        "closed_at_loss": round(closed("loss 0.3", CLOSED_LOSS), 3),
        "loss": 0.3,
        "age_s": round(fmean(found[deployment, relays, "on", s][2] for s in seeds), 3),
        "herd": round(herd["on"] / herd["off"], 3),
    }


def main(arguments: Sequence[str] | None = None) -> int:
    chosen = options("Relays that hear one another, off and on, and the bound.").parse_args(arguments)
    started, broken, rows = time.perf_counter(), list[str](), list[dict[str, Any]]()
    size, first = chosen.size, chosen.seed * 1000
    with ProcessPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        tasks = [
            (name, relays, way, first + n)
            for relays, (asked, probed) in sorted(SEEDS[size].items(), reverse=True)
            for name, seeds in (("asked", asked), ("probed", probed))
            for way in WAYS
            for n in range(seeds)
        ]
        relays, backends = COST[size]
        costs = pool.map(
            cost,
            [
                (relays, backends, chosen.seed, True),
                (relays, backends, chosen.seed, False),
                (max(relays // 4, 3), backends, chosen.seed, False),
            ],
        )
        same = pool.map(one, [(name, 3, way, first) for name in BASES for way in ("off", "mute", "old")])
        found: dict[tuple[str, int, str, int], tuple[float, float, float]] = {}
        for task, got in pool.map(one, tasks):
            if isinstance(got, str):
                broken.append(f"{task}: {got}")
            else:
                found[task] = got
        for relays_ in SEEDS[size]:
            for name in BASES:
                row = compared(found, name, relays_, broken)
                rows.append(row)
                print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
        alike: dict[tuple[str, str], float] = {}
        for (name, _, way, _), got in same:
            alike[name, way] = got[0] if not isinstance(got, str) else -1.0
        for name in BASES:
            for way in ("mute", "old"):
                off, what = alike[name, "off"], "all lost" if way == "mute" else "all 5 s old"
                print(f"{name}, {what}: {alike[name, way]:.4f} (off {off:.4f})")
                if abs(alike[name, way] - off) > SAME:
                    broken.append(f"{name}, {way}: {alike[name, way]:.4f}, off {off:.4f}")
        whole, members, fewer = costs
        seeds = range(first, first + MEMBER_SEEDS[size])
        days = list(pool.map(member_day, [(seed, MEMBER_SETS[0]) for seed in seeds], chunksize=4))
        others = list(pool.map(member_day, [(s, MEMBER_SETS[1 + s // 3 % 8]) for s in seeds], chunksize=4))
        detect = list(pool.map(detect_day, range(first, first + 20)))
    late = [seed for seed, agreed, _ in days + others if not 0.0 <= agreed <= MAX_AGREE_S]
    if late:
        broken.append(f"members do not agree {MAX_AGREE_S:g} s after the faults: seeds {late[:8]}")
    if min(detect) < 0.0 or max(detect) > MAX_DETECT_S:
        broken.append(f"a killed relay's part is gone after {max(detect):.1f} s: {MAX_DETECT_S:g} s at most")
    print(
        f"{relays} relays, {backends} nodes: {whole['bytes']:.0f} bytes/s sent by each, {whole['members']:.0f} for "
        f"members, {whole['datagrams']:.0f} datagrams/s, {100 * whole['cpu']:.2f} % of a core, "
        f"{whole['memory_kb']:.0f} kB, word {whole['age_s']:.2f} s old of {whole['heard']:.0f}"
    )
    print(
        f"members alone: {members['members']:.0f} bytes/s at {relays} relays, {fewer['members']:.0f} at "
        f"{max(relays // 4, 3)}"
    )
    if size == "large" and (whole["bytes"] > MAX_BYTES or whole["cpu"] > MAX_CPU):
        broken.append(
            f"{whole['bytes']:.0f} bytes/s and {100 * whole['cpu']:.2f} % of a core: "
            f"{MAX_BYTES:.0f} and {100 * MAX_CPU:g} % at most"
        )
    agreed, worst = (max(agreed for _, agreed, _ in some) for some in (days, others))
    print(f"{len(others)} seeds of other sets of faults: all agree at most {worst:.1f} s after them")
    deaths = sum(deaths for *_, deaths in days)
    print(
        f"{len(days)} seeds with loss and a stall: all agree at most {agreed:.1f} s after the faults, {deaths} held "
        f"dead that ran or stood still; a killed relay's part is gone after {max(detect):.1f} s at most"
    )
    result = {key: [row[key] for row in rows] for key in rows[0]} | {
        "bytes_per_s": round(whole["bytes"]),
        "members_bytes_per_s": round(members["members"]),
        "cpu_share": round(whole["cpu"], 5),
        "memory_kb": round(whole["memory_kb"]),
        "cost_relays": relays,
        "cost_nodes": backends,
        "false_deaths": deaths,
        "member_seeds": len(days),
        "agreed_s": agreed,
        "detect_s": max(detect),
    }
    return finish(result, broken, started, chosen.json, chosen.seed, size)


if __name__ == "__main__":
    sys.exit(main())
