"""A change of configuration on its way to all relays, on the virtual clock: how soon it is in force, and what it costs.

    python -m benchmarks.capacity.configuration_changes [--seed N] [--size small|machine|large] [--json] [--relays N]

`in force`: all living relays serve by it, counted from the operator's order (where the controller that took the order
died, from when it was agreed on). Bytes are sent and taken together, with the headers of IP and UDP. Processor time is
the core's and the link's, told apart by process, beside the kernel's part as this machine has it; all processes share
one here, so it is an upper bound for what lies in caches.
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

from benchmarks.capacity import configuration_sockets as sockets
from benchmarks.capacity.membership_relays import HEADER
from benchmarks.capacity.scaling import AHEAD, ALLOWED, WRONG, fitted
from benchmarks.common import finish, options
from benchmarks.signals import datagram_s, deep_kb
from yarrowspindle.lab.model.configuration_cluster import (
    ZONES,
    Change,
    ConfigurationCluster,
    ControllerHost,
    Host,
    RelayHost,
)
from yarrowspindle.lab.model.configuration_scenarios import run_seeds

RELAYS = {"small": 96, "machine": AHEAD, "large": 2 * AHEAD}
SLOPES = {"small": (24, 48), "machine": (100, 200, 400), "large": (100, 200, 400)}  # fitted; checked at the whole fleet
PROCESSES = 3
CONTENT, STEP = 8000, 200  # characters of all entries, and of a change
IN_FORCE_S, START_S, FLAT = 3.0, 10.0, 0.10
BURST, BURST_S = 10.0, {"small": 2.0}  # changes a second, and for how long
STEADY_S, CUT_S = {"small": 5.0}, {"small": 15.0}
STANDS_MS = 5000.0
STEPS = ("Order", "Prepare", "Promise", "Accept", "Accepted", "Learn", "Difference", "Sum", "Newest")
SMALL_STEPS = ("Accept", "Accepted", "Learn", "Difference")
RESTARTS, RESTARTS_S = 150, 60.0
DAYS = {"small": 16, "machine": 1000, "large": 10_000}
SOCKETS = {"machine": ((200, 4), (400, 6)), "large": ((200, 4), (400, 6))}  # hollow relays, and processes of them


class Day:
    """One fleet, with entries as a real one has them; and what was asked of it."""

    def __init__(self, relays: int, seed: int, started: bool = True, measures: bool = False) -> None:
        self.world = ConfigurationCluster(relays, seed, measure_cpu=measures)
        self.drawn, self.numbers, self.seed = Random(f"changes {seed}"), 0, seed
        self.asked = list[tuple[str, Change]]()
        for name in self.world.locations:
            if started or name[0] == "c":
                self.world.start(name)
        self.world.run(3.0)
        for _ in range(CONTENT // 2000):
            self.order("c00", 2000)
            self.world.run(0.5)
        self.asked.clear()

    def order(self, controller: str, characters: int = STEP) -> Change:
        self.numbers += 1
        value = f'"{self.drawn.getrandbits(4 * characters):0{characters}x}"'
        change = self.world.request_change(controller, {f"settings.{self.numbers % 8}": value})
        self.asked.append((controller, change))
        return change

    def orders(self, a_second: float, for_s: float, at: Sequence[str] = ()) -> None:
        """By turns at these controllers, or at all that are alive."""
        ends = self.world.clock.seconds + for_s
        while self.world.clock.seconds < ends:
            some = at or [host.name for host in self.world.controllers]
            self.order(some[self.numbers % len(some)])
            self.world.run(1.0 / a_second)

    def took_s(self, change: Change, controller: str) -> float:
        """Until it was in force; below 0: it is not."""
        if change.in_force_s < 0.0:
            return -1.0
        lost = change.answered_s < 0.0 and controller == self.world.crashed_process
        return change.in_force_s - (change.committed_s if lost else change.requested_s)

    def row(
        self,
        what: str,
        broken: list[str],
        more: dict[str, Any] | None = None,
        took: Iterable[float] | None = None,
        within_s: float = IN_FORCE_S,
    ) -> dict[str, Any]:
        """took: where something else than the orders in force is counted."""
        world = self.world
        # What a controller was told and did not say to anybody before it died is nobody's; the operator has no answer.
        gone = [c for name, c in self.asked if (c.committed_s < 0.0 and not world.hosts[name].alive) or c.answer]
        times = (
            list(took)
            if took is not None
            else [self.took_s(change, name) for name, change in self.asked if change not in gone]
        )
        newest = world.newest_version()
        behind = sum(relay.applied_version < newest for relay in world.relays)
        never = sum(t < 0.0 for t in times)
        good = [t for t in times if t >= 0.0] or [0.0]
        found = {
            "what": what,
            "relays": len(world.relays),
            "changes": len(times),
            "p50_s": round(median(good), 3),
            "max_s": round(max(good), 3),
            "never": never,
            "behind": behind,
            "older": world.checker.version_regressions,
            "two": world.checker.conflicting_commits,
            "violations": world.checker.violations[:3],
            "unanswered": len(gone),
            "seed": self.seed,
        } | (more or {})
        if max(good) > within_s or never or behind:
            broken.append(
                f"{what}, {found['relays']} relays: in force after {max(good):.2f} s at the latest "
                f"({within_s:g} s allowed), {never} changes never, {behind} relays behind"
            )
        if world.checker.violations:
            broken.append(f"{what}: {world.checker.violations[0]}")
        return found


def burst(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    day = Day(relays, seed)
    day.orders(BURST, BURST_S.get(size, 10.0))
    day.world.run(IN_FORCE_S)
    return day.row("10 a second", broken)


def loss(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    day = Day(relays, seed)
    day.world.loss_probability = 0.05
    day.orders(BURST, BURST_S.get(size, 10.0))
    day.world.run(IN_FORCE_S)
    return day.row("10 a second, 5 % lost", broken)


def _dies(relays: int, seed: int, size: str, broken: list[str], crash_stall_ms: float) -> dict[str, Any]:
    """A controller dies (or stands still) at its first or third message of each kind, and is back 3 s later."""
    day, row, died = Day(relays, seed), list[float](), list[str]()
    world = day.world
    world.crash_stall_ms = crash_stall_ms
    unanswered = 0
    for kind in SMALL_STEPS if size == "small" else STEPS:
        for nth in (1,) if size == "small" else (1, 3):
            day.asked.clear()
            world.crashed_process, world.crash_at = "", (kind, nth)
            for _ in range(6):
                day.order(day.drawn.choice([host.name for host in world.controllers]))
                world.run(0.2)
            world.crash_at = ("", 0)
            world.run(3.5 + crash_stall_ms / 1000.0)
            died.append(f"{world.crashed_process or 'nobody'} at {kind} {nth}")
            for name, change in day.asked:
                if change.committed_s < 0.0 and (name == world.crashed_process or change.answer):
                    unanswered += 1
                elif name != world.crashed_process or not crash_stall_ms or change.in_force_s >= 0.0:
                    row.append(
                        day.took_s(change, name)
                        if name != world.crashed_process or not crash_stall_ms
                        else change.in_force_s - max(change.committed_s, change.requested_s)
                    )
            if world.crashed_process and not crash_stall_ms:
                world.start(world.crashed_process)
                world.run(1.5)
    day.asked.clear()
    what = "a controller stops at each step" if crash_stall_ms else "a controller dies at each step"
    return day.row(what, broken, {"died": died, "unanswered": unanswered}, row)


def dies(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    return _dies(relays, seed, size, broken, 0.0)


def stops(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    return _dies(relays, seed, size, broken, STANDS_MS)


def restarts(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    """An eighth of the relays within a minute, one after the other, and a change a second."""
    day = Day(relays, seed)
    world, count = day.world, relays * RESTARTS // AHEAD
    chosen = day.drawn.sample([relay.name for relay in world.relays], count)
    world.catch_up_s.clear()
    for n, name in enumerate(chosen):
        if n % max(count * 1 // int(RESTARTS_S), 1) == 0:
            day.order("c01")
        world.kill(name)
        world.clock.after(500.0, world.restart, name)
        world.run(RESTARTS_S / count if size != "small" else 0.2)
    world.run(IN_FORCE_S)
    late = max(world.catch_up_s[name] for name in chosen)
    if late > START_S:
        broken.append(f"restarts: the newest is known {late:.1f} s after a start")
    return day.row(f"{count} restarts in a minute", broken, {"known_most_s": round(late, 2)})


def zone(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    """A zone with its relays and controllers is gone in one instant, and is back 10 s later."""
    day = Day(relays, seed)
    world = day.world
    gone = [name for name, (_, where) in world.locations.items() if where == ZONES[0]]
    others = [m.name for m in world.controller_addresses if m.zone != ZONES[0]]
    day.orders(BURST, 1.0, others)
    for name in gone:
        world.kill(name)
    day.orders(BURST, 5.0, others)
    world.run(IN_FORCE_S)
    world.catch_up_s.clear()
    for name in gone:
        world.start(name)
    world.run(START_S / 2.0)
    known = [world.catch_up_s.get(name, 99.0) for name in gone if name[0] == "r"]
    if max(known) > START_S:
        broken.append(f"zone: the newest is known {max(known):.1f} s after its return")
    return day.row("a zone is lost", broken, {"gone": len(gone), "known_most_s": round(max(known), 2)})


def regions(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    """The regions do not hear one another; one has the majority of the voters."""
    day = Day(relays, seed)
    world, for_s = day.world, CUT_S.get(size, 120.0)
    world.regions_partitioned = True
    began = world.clock.seconds
    majority = [m.name for m in world.controller_addresses if m.region == "a"]
    other = [m.name for m in world.controller_addresses if m.region == "b"]
    alone = [world.request_change(name, {"settings.b": f'"{name}"'}) for name in other[:2]]
    day.orders(0.5, for_s - 2.0, majority)
    world.run(began + for_s - world.clock.seconds)
    held = [max(change.in_force_s_by_region.get("a", 999.0) - change.requested_s, 0.0) for _, change in day.asked]
    served = len({relay.applied_version for relay in world.relays if relay.region == "b"})
    world.regions_partitioned = False
    heals = world.clock.seconds
    late = day.order(other[0])  # the side that was cut off can change things again
    world.run(2.0 * IN_FORCE_S)
    after = [change.in_force_s_by_region.get("b", 999.0) - heals for _, change in day.asked]
    told = [change.answer or "" for change in alone]
    if max(held) > IN_FORCE_S or max(after) > IN_FORCE_S or not all("may still" in text for text in told):
        broken.append(
            f"regions: with the majority after {max(held):.2f} s, elsewhere {max(after):.2f} s after the "
            f"cut, operators there were told {told}"
        )
    return day.row(
        f"regions cut for {for_s:g} s",
        broken,
        {
            "majority_max_s": round(max(held), 3),
            "after_cut_max_s": round(max(after), 3),
            "versions_served_there": served,
            "first_after_s": round(day.took_s(late, other[0]), 3),
        },
        [*held, *after],
    )


def start(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    """All relays at once, with nothing kept."""
    day = Day(relays, seed, started=False)
    for name in day.world.locations:
        if name[0] == "r":
            day.world.start(name)
    day.world.run(START_S)
    known = [day.world.catch_up_s.get(r.name, 99.0) for r in day.world.relays]
    return day.row("all relays start at once", broken, None, known, START_S)


def _spent(hosts: Sequence[Host], over_s: float, kernel_s: float) -> tuple[list[float], list[float]]:
    """Bytes a second, share of a core; of each."""
    counts = [host.link.counts for host in hosts]
    datagrams = [(count["sent"] + count["came"]) / over_s for count in counts]
    sizes = [(count["sent_bytes"] + count["came_bytes"]) / over_s for count in counts]
    return (
        [size + HEADER * number for size, number in zip(sizes, datagrams, strict=True)],
        # the kernel's part was measured for one datagram sent and taken: half of it each
        [host.cpu_s / over_s + number * kernel_s / 2.0 for host, number in zip(hosts, datagrams, strict=True)],
    )


def cost(relays: int, seed: int, size: str, broken: list[str]) -> dict[str, Any]:
    """At 6,500 changes a day (one in 13 s), and at 10 a second: what one relay and one controller spend."""
    day = Day(relays, seed, measures=True)
    world, kernel_s = day.world, datagram_s()
    found: dict[str, Any] = {"relays": relays, "seed": seed}
    for what, a_second in (("steady", 1.0 / 13.0), ("burst", BURST)):
        for host in world.hosts.values():
            host.link.counts.clear()
            host.cpu_s = 0.0
        over = STEADY_S.get(size, 20.0) if what == "steady" else BURST_S.get(size, 10.0)
        day.orders(a_second, over)
        over = max(over, 1.0 / a_second) if what == "steady" else over
        for kind, cls in (("relay", RelayHost), ("controller", ControllerHost)):
            hosts = [host for host in world.hosts.values() if isinstance(host, cls)]
            sent, cores = _spent(hosts, over if what == "burst" else 13.0 * len(day.asked), kernel_s)
            found |= {
                f"{kind}_{what}_bytes_per_s": round(fmean(sent)),
                f"{kind}_{what}_most_bytes_per_s": round(max(sent)),
                f"{kind}_{what}_cpu": round(fmean(cores), 6),
                f"{kind}_{what}_most_cpu": round(max(cores), 6),
            }
        day.asked.clear()
    for kind, host in (
        ("relay", world.relays[0]),
        ("controller", max(world.controllers, key=lambda one: len(one.core.sessions.relays))),
    ):
        found[f"{kind}_kb"] = round(deep_kb([host.core, host.link]), 1)
    found["controller_relays"] = max(len(host.core.sessions.relays) for host in world.controllers)
    return found


SCENARIOS: dict[str, Callable[[int, int, str, list[str]], dict[str, Any]]] = {
    "burst": burst,
    "loss": loss,
    "restarts": restarts,
    "start": start,
}
FAULTS: dict[str, Callable[[int, int, str, list[str]], dict[str, Any]]] = {
    "regions": regions,
    "dies": dies,
    "stops": stops,
    "zone": zone,
}


def one(task: tuple[str, int, int, str]) -> tuple[dict[str, Any], list[str]]:
    name, relays, seed, size = task
    broken = list[str]()
    return (SCENARIOS | FAULTS | {"cost": cost})[name](relays, seed, size, broken), broken


def played(
    pool: Executor, names: Iterable[str], relays: int, seed: int, size: str, broken: list[str]
) -> list[dict[str, Any]]:
    """The rows, printed as they come."""
    rows = list[dict[str, Any]]()
    for row, wrong in pool.map(one, [(name, relays, seed, size) for name in names]):
        rows.append(row)
        broken += wrong
        shown = {key: value for key, value in row.items() if key not in ("seed", "violations")}
        print("  ".join(f"{key} {value}" for key, value in shown.items()), flush=True)
    return rows


def safety(pool: Executor, first: int, count: int, broken: list[str]) -> dict[str, Any]:
    """Days of small fleets with faults drawn from the seed, and all that may never be."""
    each = 8
    played = list(pool.map(run_seeds, range(first, first + count, each), [each] * -(-count // each)))
    bad = {seed: text for some in played for seed, text in [*some.violations.items(), *some.stuck.items()]}
    versions = sum(some.counts["versions"] for some in played)
    print(f"{sum(some.runs for some in played)} days from seed {first} on: {len(bad)} broke a rule or were stuck")
    broken += [f"safety, seed {seed}: {text}" for seed, text in sorted(bad.items())[:5]]
    return {"days": sum(some.runs for some in played), "days_broken": len(bad), "days_versions": versions}


def flat(costs: Sequence[dict[str, Any]], broken: list[str]) -> dict[str, Any]:
    """Of a relay: fitted without the largest fleet, checked there; and at most a tenth more there than in the least."""
    least, whole = costs[0], costs[-1]
    found = dict[str, Any]()
    for key in (
        "relay_steady_bytes_per_s",
        "relay_burst_bytes_per_s",
        "relay_burst_cpu",
        "relay_kb",
        "controller_burst_bytes_per_s",
        "controller_burst_cpu",
    ):
        fit = fitted([row["relays"] for row in costs[:-1]], [row[key] for row in costs[:-1]])
        told, got = fit.at(whole["relays"]), whole[key]
        found[key] = {"form": fit.form, "told": round(told, 6), "measured": got, "error": round(told / got - 1.0, 3)}
        print(
            f"{key}: {fit.form}, {told:.6g} told for {whole['relays']}, {got:.6g} measured"
            + (", wrong" if abs(told / got - 1.0) > WRONG else "")
        )
        if key.startswith("relay") and got > (1.0 + FLAT) * least[key]:
            broken.append(f"{key}: {got:g} at {whole['relays']} relays, {least[key]:g} at {least['relays']}: not flat")
    return found


def run(
    seed: int, size: str, relays: int | None, broken: list[str], only: Sequence[str] = ("change", "faults")
) -> dict[str, Any]:
    """Keys: relays, in_force_p50_s, in_force_max_s, behind, older_after_newer; with "change" also bytes_per_s,
    cpu_share, memory_mb (of a relay, at 10 changes a second), control_cpu_share, control_bytes_per_s (of the busiest
    controller); rows, costs, fits."""
    whole, costs = relays or RELAYS[size], list[dict[str, Any]]()
    with ProcessPoolExecutor(PROCESSES) as pool:
        names = [*(SCENARIOS if "change" in only else ()), *(FAULTS if "faults" in only else ())]
        rows = played(pool, names, whole, seed, size, broken)
        days = safety(pool, 1000 * seed, DAYS[size], broken) if "faults" in only else {}
        if "change" in only:
            sizes = [n for n in SLOPES[size] if n < whole] + [whole]
            costs = [found for found, _ in pool.map(one, [("cost", n, seed, size) for n in reversed(sizes)])][::-1]
    found = {
        "relays": whole,
        "in_force_p50_s": median(row["p50_s"] for row in rows),
        "in_force_max_s": max(row["max_s"] for row in rows if row["what"] != "all relays start at once"),
        "behind": sum(row["behind"] for row in rows),
        "older_after_newer": sum(row["older"] for row in rows),
        "rows": rows,
    } | days
    if "change" in only and size in SOCKETS:
        found["sockets"] = [sockets.play(*one, seed, broken) for one in SOCKETS[size]]
    for row in costs:
        print("  ".join(f"{key} {value}" for key, value in row.items()))
    if costs:
        last = costs[-1]
        found |= {
            "bytes_per_s": last["relay_burst_most_bytes_per_s"],
            "cpu_share": last["relay_burst_cpu"],
            "memory_mb": round(last["relay_kb"] / 1024.0, 3),
            "control_cpu_share": last["controller_burst_most_cpu"],
            "control_bytes_per_s": last["controller_burst_most_bytes_per_s"],
            "costs": costs,
            "fits": flat(costs, broken) if len(costs) > 2 else {},
        }
        _allowed("a relay's part in changes", found, whole, broken)
    return found


def _allowed(what: str, found: dict[str, Any], relays: int, broken: list[str]) -> None:
    for key, most in ALLOWED.items():
        if found[key] > most:
            broken.append(f"{what}, {relays} relays: {key} is {found[key]:g}, {most:g} are allowed")


def together(slopes: dict[str, Any], changes: dict[str, Any], broken: list[str]) -> None:
    """All of control at one relay: peers in a cell, and changes at 10 a second."""
    cell = slopes["cells"][-1]
    whole = {
        "bytes_per_s": cell["most_bytes_per_s"] + changes["bytes_per_s"],
        "cpu_share": cell["cpu_share"] + changes["cpu_share"],
        "memory_mb": cell["memory_mb"] + changes["memory_mb"],
    }
    print("all of control at a relay: " + ", ".join(f"{key} {value:.5g}" for key, value in whole.items()))
    changes["together"] = whole
    _allowed("all of control at a relay", whole, changes["relays"], broken)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = options("A change of configuration on its way to all relays.")
    parser.add_argument("--relays", type=int, help="another size of the fleet")
    chosen = parser.parse_args(arguments)
    started, broken = time.perf_counter(), list[str]()
    result = run(chosen.seed, chosen.size, chosen.relays, broken)
    print(f"load {os.getloadavg()[0]:.1f}")
    return finish({"change": result}, broken, started, chosen.json, chosen.seed, chosen.size)


if __name__ == "__main__":
    sys.exit(main())
