"""Four ways to give each relay a part of the nodes, at the same sizes and seeds: how even the cover is, how even the
load, how much one join or leave changes, and what a redraw takes.

    python -m benchmarks.subsets [--seed N] [--size small|machine|large] [--json]

`load_max_over_mean`: connections come and stay, each placed by two draws from its relay's part, by the relay's own
counts; `load_all` is the same drawing from all nodes. Leases, faults and real processes are not built yet.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from hashlib import blake2b
from heapq import nlargest
from random import Random
from statistics import fmean
from typing import Any

from benchmarks.common import finish, options
from yarrowspindle.subsets import SubsetRing

SIZES = {
    "small": ((3, 10), (10, 100), (40, 400)),
    "machine": ((3, 10), (10, 100), (40, 400), (200, 90), (100, 1000)),
    "large": ((3, 10), (10, 100), (40, 400), (200, 90), (200, 2000), (400, 4000)),
}
PART, LEAST = 0.1, 12
A_BACKEND = 20  # connections held for each node
MAX_COVER, MAX_LOAD, MAX_MOVED, REDRAW_MOST_US = 1.15, 0.05, 2.0, 5000.0
Way = Callable[[list[str], list[str]], dict[str, dict[str, int]]]  # relays, nodes -> the nodes of each, how often


def number(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def size_of(relays: list[str], backends: list[str]) -> int:
    """Nodes of a relay, the same for all ways: a tenth, but enough that each node has eight relays."""
    return min(len(backends), max(LEAST, round(PART * len(backends)), -(-8 * len(backends) // len(relays))))


def rendezvous(relays: list[str], backends: list[str]) -> dict[str, dict[str, int]]:
    size = size_of(relays, backends)
    return {
        r: dict.fromkeys(nlargest(size, backends, key=lambda n, r=r: number(f"{r} {n}")), 1)  # type: ignore[misc]
        for r in relays
    }


def rounds(relays: list[str], backends: list[str]) -> dict[str, dict[str, int]]:
    size, ranked, found = size_of(relays, backends), sorted(relays, key=number), dict[str, dict[str, int]]()
    chunks = max(1, len(backends) // size)
    for rank, relay in enumerate(ranked):
        turn, chunk = divmod(rank, chunks)
        shuffled = sorted(backends, key=number)
        Random(turn).shuffle(shuffled)
        found[relay] = dict.fromkeys(
            shuffled[chunk * len(backends) // chunks : (chunk + 1) * len(backends) // chunks], 1
        )
    return found


def ranks(relays: list[str], backends: list[str]) -> dict[str, dict[str, int]]:
    size, ordered = size_of(relays, backends), sorted(backends, key=number)
    found = {}
    for rank, relay in enumerate(sorted(relays, key=number)):
        first = int((rank * (5**0.5 - 1) / 2 % 1.0) * len(backends))
        found[relay] = dict.fromkeys((ordered * 2)[first : first + size], 1)
    return found


def arcs(relays: list[str], backends: list[str]) -> dict[str, dict[str, int]]:
    view = SubsetRing(PART)
    view.set_view(dict.fromkeys(relays, 1.0), backends)
    return {relay: dict(view.subset(relay).weights) for relay in relays}


WAYS: dict[str, Way] = {"rendezvous": rendezvous, "rounds": rounds, "ranks": ranks, "arcs": arcs}


def covered(parts: dict[str, dict[str, int]], backends: list[str]) -> float:
    """Of each node by the relays' traffic: the fullest over the mean."""
    found: Counter[str] = Counter()
    for part in parts.values():
        whole = sum(part.values())
        for backend, times in part.items():
            found[backend] += times / whole  # type: ignore[assignment]
    return max(found.values()) * len(backends) / len(parts)


def loaded(parts: dict[str, dict[str, int]], backends: list[str], seed: int) -> float:
    """Connections come and stay, each at a relay; of two drawn from its part the one with fewer of its own takes it."""
    drawn, total = Random(seed), Counter[str]()
    lists = {relay: [backend for backend, times in part.items() for _ in range(times)] for relay, part in parts.items()}
    own: dict[str, Counter[str]] = {relay: Counter() for relay in parts}
    relays = list(parts)
    for _ in range(A_BACKEND * len(backends)):
        relay = drawn.choice(relays)
        one, other = drawn.choice(lists[relay]), drawn.choice(lists[relay])
        held = own[relay]
        backend = one if held[one] <= held[other] else other
        held[backend] += 1
        total[backend] += 1
    return max(total.values()) / A_BACKEND


def moved(before: dict[str, dict[str, int]], after: dict[str, dict[str, int]]) -> int:
    """Nodes that came into a part or left it."""
    return sum(len(before.get(r, {}).keys() ^ after.get(r, {}).keys()) for r in before.keys() | after.keys())


def measured(way: str, relays: int, backends: int, seed: int) -> dict[str, Any]:
    names, machines = [f"{seed}-r{n}" for n in range(relays)], [f"{seed}-s{n}" for n in range(backends)]
    give = WAYS[way]
    parts = give(names, machines)
    whole = {name: dict.fromkeys(machines, 1) for name in names}
    joined, listed = give([*names, f"{seed}-new"], machines), give(names, [*machines, f"{seed}-node"])
    least = len(joined[f"{seed}-new"]) or 1
    least_backend = sum(f"{seed}-node" in part for part in listed.values()) or 1
    if way == "arcs":
        view = SubsetRing(PART)
        view.set_view(dict.fromkeys(names, 1.0), machines)
        began = time.perf_counter()
        view.set_relay(f"{seed}-new")
        view.subset(names[0])
    else:
        began = time.perf_counter()
        give(names, machines)
    took = time.perf_counter() - began
    return {
        "way": way,
        "relays": relays,
        "nodes": backends,
        "size": round(fmean(map(len, parts.values())), 1),
        "coverage_max_over_mean": round(covered(parts, machines), 3),
        "load_max_over_mean": round(loaded(parts, machines, seed), 3),
        "load_all": round(loaded(whole, machines, seed), 3),
        "moved_share": round(moved(parts, joined) / least, 2),
        "least_possible": least,
        "moved_share_node": round(moved(parts, listed) / least_backend, 2),
        "took_us": round(1e6 * took / (1 if way == "arcs" else relays)),
    }


def main(arguments: Sequence[str] | None = None) -> int:
    chosen = options("Four ways to give each relay a part of the nodes.").parse_args(arguments)
    started, broken, rows = time.perf_counter(), list[str](), list[dict[str, Any]]()
    for relays, backends in SIZES[chosen.size]:
        for way in WAYS:
            row = measured(way, relays, backends, chosen.seed)
            rows.append(row)
            print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
            if way != "arcs":
                continue
            where = f"{relays} relays, {backends} nodes"
            for key, most in (
                ("coverage_max_over_mean", MAX_COVER),
                ("moved_share", MAX_MOVED),
                ("moved_share_node", MAX_MOVED),
                ("took_us", REDRAW_MOST_US),
            ):
                if row[key] > most:
                    broken.append(f"{where}: {key} is {row[key]}, {most:g} at most")
            if row["load_max_over_mean"] > row["load_all"] + MAX_LOAD:
                broken.append(f"{where}: load {row['load_max_over_mean']}, {row['load_all']} from all nodes")
    result = {key: [row[key] for row in rows] for key in rows[0]}
    return finish(result, broken, started, chosen.json, chosen.seed, chosen.size)


if __name__ == "__main__":
    sys.exit(main())
