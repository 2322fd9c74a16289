"""Four methods to assign each relay a subset of the backends: evenness of the coverage and of the load, number of
changes when a relay or backend joins, and the time of a recomputation. All use the same sizes and seeds.

    python -m benchmarks.subsets [--seed N] [--size small|machine|large] [--json]

For `load_max_over_mean`, connections arrive and stay; each goes to the better of two random backends of its relay's
subset, by the relay's own counts. `load_all` draws from all backends instead. Leases, faults and real processes are not
implemented yet.
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

from benchmarks.common import argument_parser, print_result
from yarrowspindle.subsets import SubsetRing

SIZES = {
    "small": ((3, 10), (10, 100), (40, 400)),
    "machine": ((3, 10), (10, 100), (40, 400), (200, 90), (100, 1000)),
    "large": ((3, 10), (10, 100), (40, 400), (200, 90), (200, 2000), (400, 4000)),
}
SUBSET_SHARE, MIN_SUBSET = 0.1, 12
CONNECTIONS_PER_BACKEND = 20  # established connections
MAX_COVERAGE, MAX_LOAD_EXCESS, MAX_MOVED_RATIO, MAX_REDRAW_US = 1.15, 0.05, 2.0, 5000.0
# Maps relays and backends to the weight of each backend in a relay's subset.
Method = Callable[[list[str], list[str]], dict[str, dict[str, int]]]


def hash_value(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def subset_size(relays: list[str], backends: list[str]) -> int:
    """Return the size of a subset: a tenth of the backends, but enough that each backend has eight relays."""
    return min(
        len(backends), max(MIN_SUBSET, round(SUBSET_SHARE * len(backends)), -(-8 * len(backends) // len(relays)))
    )


def rendezvous(relays: list[str], backends: list[str]) -> dict[str, dict[str, int]]:
    size = subset_size(relays, backends)
    return {
        r: dict.fromkeys(nlargest(size, backends, key=lambda n, r=r: hash_value(f"{r} {n}")), 1)  # type: ignore[misc]
        for r in relays
    }


def rounds(relays: list[str], backends: list[str]) -> dict[str, dict[str, int]]:
    size, ranked, subsets = subset_size(relays, backends), sorted(relays, key=hash_value), dict[str, dict[str, int]]()
    chunks = max(1, len(backends) // size)
    for rank, relay in enumerate(ranked):
        round_number, chunk = divmod(rank, chunks)
        shuffled = sorted(backends, key=hash_value)
        Random(round_number).shuffle(shuffled)
        subsets[relay] = dict.fromkeys(
            shuffled[chunk * len(backends) // chunks : (chunk + 1) * len(backends) // chunks], 1
        )
    return subsets


def ranks(relays: list[str], backends: list[str]) -> dict[str, dict[str, int]]:
    size, ordered = subset_size(relays, backends), sorted(backends, key=hash_value)
    subsets = {}
    for rank, relay in enumerate(sorted(relays, key=hash_value)):
        first = int((rank * (5**0.5 - 1) / 2 % 1.0) * len(backends))
        subsets[relay] = dict.fromkeys((ordered * 2)[first : first + size], 1)
    return subsets


def arcs(relays: list[str], backends: list[str]) -> dict[str, dict[str, int]]:
    ring = SubsetRing(SUBSET_SHARE)
    ring.set_view(dict.fromkeys(relays, 1.0), backends)
    return {relay: dict(ring.subset(relay).weights) for relay in relays}


METHODS: dict[str, Method] = {"rendezvous": rendezvous, "rounds": rounds, "ranks": ranks, "arcs": arcs}


def coverage_ratio(subsets: dict[str, dict[str, int]], backends: list[str]) -> float:
    """Return the largest share of the relays' traffic that a backend gets, divided by the mean share."""
    traffic: Counter[str] = Counter()
    for subset in subsets.values():
        total = sum(subset.values())
        for backend, occurrences in subset.items():
            traffic[backend] += occurrences / total  # type: ignore[assignment]
    return max(traffic.values()) * len(backends) / len(subsets)


def load_ratio(subsets: dict[str, dict[str, int]], backends: list[str], seed: int) -> float:
    """Place connections on the less loaded of two backends drawn from a random relay's subset, as that relay counts.

    Returns:
        The number of connections of the most loaded backend, divided by the mean.
    """
    random, totals = Random(seed), Counter[str]()
    lists = {
        relay: [backend for backend, occurrences in subset.items() for _ in range(occurrences)]
        for relay, subset in subsets.items()
    }
    connections_by_relay: dict[str, Counter[str]] = {relay: Counter() for relay in subsets}
    relays = list(subsets)
    for _ in range(CONNECTIONS_PER_BACKEND * len(backends)):
        relay = random.choice(relays)
        first, second = random.choice(lists[relay]), random.choice(lists[relay])
        connections = connections_by_relay[relay]
        backend = first if connections[first] <= connections[second] else second
        connections[backend] += 1
        totals[backend] += 1
    return max(totals.values()) / CONNECTIONS_PER_BACKEND


def moved_backends(before: dict[str, dict[str, int]], after: dict[str, dict[str, int]]) -> int:
    """Return the number of backends that entered or left a subset, over all relays."""
    return sum(
        len(before.get(relay, {}).keys() ^ after.get(relay, {}).keys()) for relay in before.keys() | after.keys()
    )


def measure(method: str, relays: int, backends: int, seed: int) -> dict[str, Any]:
    relay_names, backend_names = [f"{seed}-r{n}" for n in range(relays)], [f"{seed}-s{n}" for n in range(backends)]
    assign = METHODS[method]
    subsets = assign(relay_names, backend_names)
    all_backends = {name: dict.fromkeys(backend_names, 1) for name in relay_names}
    after_relay, after_backend = (
        assign([*relay_names, f"{seed}-new"], backend_names),
        assign(relay_names, [*backend_names, f"{seed}-node"]),
    )
    least_relay_moves = len(after_relay[f"{seed}-new"]) or 1
    least_backend_moves = sum(f"{seed}-node" in subset for subset in after_backend.values()) or 1
    if method == "arcs":
        ring = SubsetRing(SUBSET_SHARE)
        ring.set_view(dict.fromkeys(relay_names, 1.0), backend_names)
        started_s = time.perf_counter()
        ring.set_relay(f"{seed}-new")
        ring.subset(relay_names[0])
    else:
        started_s = time.perf_counter()
        assign(relay_names, backend_names)
    elapsed_s = time.perf_counter() - started_s
    return {
        "way": method,
        "relays": relays,
        "nodes": backends,
        "size": round(fmean(map(len, subsets.values())), 1),
        "coverage_max_over_mean": round(coverage_ratio(subsets, backend_names), 3),
        "load_max_over_mean": round(load_ratio(subsets, backend_names, seed), 3),
        "load_all": round(load_ratio(all_backends, backend_names, seed), 3),
        "moved_share": round(moved_backends(subsets, after_relay) / least_relay_moves, 2),
        "least_possible": least_relay_moves,
        "moved_share_node": round(moved_backends(subsets, after_backend) / least_backend_moves, 2),
        "took_us": round(1e6 * elapsed_s / (1 if method == "arcs" else relays)),
    }


def main(arguments: Sequence[str] | None = None) -> int:
    args = argument_parser("Four methods to assign each relay a subset of the backends.").parse_args(arguments)
    started, failures, rows = time.perf_counter(), list[str](), list[dict[str, Any]]()
    for relays, backends in SIZES[args.size]:
        for method in METHODS:
            row = measure(method, relays, backends, args.seed)
            rows.append(row)
            print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
            if method != "arcs":
                continue
            label = f"{relays} relays, {backends} backends"
            for key, limit in (
                ("coverage_max_over_mean", MAX_COVERAGE),
                ("moved_share", MAX_MOVED_RATIO),
                ("moved_share_node", MAX_MOVED_RATIO),
                ("took_us", MAX_REDRAW_US),
            ):
                if row[key] > limit:
                    failures.append(f"{label}: {key} is {row[key]}, {limit:g} at most")
            if row["load_max_over_mean"] > row["load_all"] + MAX_LOAD_EXCESS:
                failures.append(f"{label}: load {row['load_max_over_mean']}, {row['load_all']} with all backends")
    result = {key: [row[key] for row in rows] for key in rows[0]}
    return print_result(result, failures, started, args.json, args.seed, args.size)


if __name__ == "__main__":
    sys.exit(main())
