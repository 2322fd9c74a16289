"""How what control costs a relay grows with the fleet, by hollow relays: each to all, and in cells.

    python -m benchmarks.capacity.scaling [--seed N] [--size small|machine|large] [--json] [--plot FILE.png]
                                         [--relays N]

Bytes are sent and taken together, with the headers of IP and UDP. Three sizes are fitted, a fourth checks the fit: more
than 15 % off it is called wrong. `over` names who misses what control may cost a relay; only for cells, which are there
to keep it, is that a broken rule. "Flat" allows for 10 % and two standard errors of the cells. Processor time, never
wall time: the machine may be busy with other things.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Executor, ProcessPoolExecutor
from dataclasses import dataclass, replace
from math import ceil, log2, sqrt
from random import Random
from statistics import fmean, linear_regression, stdev
from typing import Any

from benchmarks import signals
from benchmarks.capacity.membership_relays import CELL, HELD, Day, cells_of, on_sockets, play
from benchmarks.common import finish, options
from benchmarks.signals import deep_kb
from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.decisions.events import group_key
from yarrowspindle.maintenance.codec import encode, encode_file
from yarrowspindle.maintenance.messages import StateUpdate
from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import MAX_RELAYS, BackendObservation, MaintenanceState
from yarrowspindle.membership.events import LocalLoad
from yarrowspindle.membership.load_signals import LoadSignals
from yarrowspindle.membership.local_load_log import MAX_KEYS, LocalLoadLog
from yarrowspindle.protocol.fragments import FRAGMENT_BYTES

AHEAD = 1200  # relays of the fleet ahead
ALLOWED = {"bytes_per_s": 8000.0, "cpu_share": 0.012, "memory_mb": 32.0}  # of one relay
WRONG, FLAT, PLAIN = 0.15, 0.10, 0.05
QUANTITIES = ("bytes_per_s", "datagrams_per_s", "members_bytes_per_s", "cpu_share", "memory_mb", "age_s", "known_s")
FORMS: dict[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "linear": float,
    "log n": log2,
    "n log n": lambda n: n * log2(n),
}
PROCESSES = 3
CELL_BYTES = 1800.0  # bytes_per_s of the peers' settings in a cell: with changes at 10 a second all fits in 8 KB/s
CELL_CHANGES: tuple[tuple[str, Any], ...] = (("bytes_per_s", CELL_BYTES), ("cluster", "cell"))
POINTS = {"small": (20, 40, 60), "machine": (50, 100, 200, 400), "large": (50, 100, 200, 400)}
HELD_AT = {"small": 20}
CELLS = {"small": (24, 48), "machine": (120, 408, 1200), "large": (120, 408, 1200)}  # full cells
CELL_WINDOW_S = {"small": 6.0}
LOST_RELAYS, LOST_CELL, LOST_SEEDS = 40, 10, 6
# Relays, in cells or not, processes.
SOCKETS = {
    "small": ((12, True, 2),),
    "machine": (
        (50, True, 2),
        (100, True, 2),
        (200, True, 4),
        (400, True, 8),
        (800, True, 12),
        (50, False, 3),
        (100, False, 6),
        (200, False, 10),
    ),
}
TABLE_KEYS = (1000, 4000, 16_000, 64_000)
for _name in list(signals.BASES):  # the same fleets with relays that hear a cell only
    signals.BASES[f"{_name}, cells"] = replace(
        signals.BASES[_name], peer_settings=(("cell", LOST_CELL), ("bytes_per_s", CELL_BYTES))
    )


@dataclass(frozen=True, slots=True)
class Fit:
    """first + slope x form(n). residual: root of the mean square at the sizes that it was made from, over the mean."""

    form: str
    first: float
    slope: float
    residual: float

    def at(self, relays: float) -> float:
        return self.first + self.slope * FORMS[self.form](relays)


def fitted(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Constant where that is within 5 %, else the form that lies nearest."""
    mean, fits = fmean(values), list[Fit]()
    for form, of in FORMS.items():
        slope, first = (0.0, mean) if form == "constant" else linear_regression([of(n) for n in sizes], values)
        plain = Fit(form, first, slope, 0.0)
        off = sqrt(fmean((plain.at(n) - value) ** 2 for n, value in zip(sizes, values, strict=True)))
        fits.append(replace(plain, residual=round(off / abs(mean), 4) if mean else 0.0))
    return fits[0] if fits[0].residual <= PLAIN else min(fits, key=lambda fit: fit.residual)


def shown(rows: Sequence[dict[str, Any]], keys: Sequence[str]) -> None:
    print("  ".join(f"{key:>8}" for key in keys))
    for row in rows:
        print(
            "  ".join(
                f"{f'{v:.4g}' if isinstance(v := row.get(key, ''), float) else v!s:>{max(len(key), 8)}}" for key in keys
            ),
            flush=True,
        )


def exceeded(what: str, row: dict[str, Any]) -> list[str]:
    return [
        f"{what}: {key} is {row[key]:.4g}, {most:g} are allowed"
        for key, most in ALLOWED.items()
        if key in row and row[key] > most
    ]


def slopes(rows: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Made from all rows but the last, checked at that one, worked out at the fleet ahead."""
    found, check = dict[str, dict[str, Any]](), rows[-1]
    for key in QUANTITIES:
        fit = fitted([row["relays"] for row in rows[:-1]], [row[key] for row in rows[:-1]])
        told = fit.at(check["relays"])
        error = told / check[key] - 1.0 if check[key] else 0.0
        found[key] = {
            "form": fit.form,
            "first": fit.first,
            "slope": fit.slope,
            "residual": fit.residual,
            "told": told,
            "measured": check[key],
            "error": round(error, 4),
            "verdict": "wrong" if abs(error) > WRONG else "holds",
            "ahead": fit.at(AHEAD) if abs(error) <= WRONG else None,
        }
    return found


def each_to_all(rows: list[dict[str, Any]], over: list[str], broken: list[str]) -> dict[str, dict[str, Any]]:
    print(f"\nEach to all on the virtual clock, one relay; {rows[-1]['relays']} relays check the fit")
    shown(rows, ("relays", *QUANTITIES, "known_most_s", "heard", "beat_s", "untold", "load"))
    for row in rows:
        over += exceeded(f"each to all, {row['relays']} relays", row)
        if row["known_most_s"] < 0.0:
            broken.append(f"each to all, {row['relays']} relays: not all know that one was killed")
    found = slopes(rows)
    print(f"\nFits; `ahead` is worked out at {AHEAD} relays, not measured, and only by a fit that holds")
    shown(
        [{"quantity": key} | fit for key, fit in found.items()],
        ("quantity", "form", "first", "slope", "residual", "told", "measured", "error", "verdict", "ahead"),
    )
    over += exceeded(
        f"each to all, {AHEAD} relays as the fits have it",
        {key: fit["ahead"] for key, fit in found.items() if fit["ahead"] is not None},
    )
    return found


def in_cells(played: dict[int, list[dict[str, Any]]], over: list[str], broken: list[str]) -> list[dict[str, Any]]:
    rows = list[dict[str, Any]]()
    for relays, cells in played.items():
        row = {key: sum(cell[key] * cell["relays"] for cell in cells) / relays for key in cells[0]}
        rows.append(
            row
            | {
                "relays": relays,
                "cells": len(cells),
                "load": cells[-1]["load"],
                "known_most_s": max(cell["known_most_s"] for cell in cells),
                "errors": {key: stdev([cell[key] for cell in cells]) / sqrt(len(cells)) for key in ALLOWED},
                "all_know": min(cell["known_most_s"] for cell in cells) >= 0.0,
                "most_bytes_per_s": max(cell["bytes_per_s"] for cell in cells),
            }
        )
    print(f"\nIn cells of {CELL} at most on the virtual clock, bytes_per_s {CELL_BYTES:g}, one relay; all are played")
    shown(
        rows, ("relays", "cells", *QUANTITIES, "known_most_s", "most_bytes_per_s", "heard", "beat_s", "untold", "load")
    )
    for row in rows:
        name = f"cells, {row['relays']} relays"
        missed = exceeded(name, row) + exceeded(f"{name}, worst cell", {"bytes_per_s": row["most_bytes_per_s"]})
        over += missed
        broken += missed
        if not row["all_know"]:
            broken.append(f"{name}: not all know that one was killed")
        broken += [
            f"{name}: {key} is {row[key]:.4g}, at {rows[0]['relays']} relays it is {rows[0][key]:.4g}: not flat"
            for key in ALLOWED
            if abs(row[key] - rows[0][key])
            > FLAT * rows[0][key] + 2.0 * sqrt(row["errors"][key] ** 2 + rows[0]["errors"][key] ** 2)
        ]
    return rows


def lost(pool: Executor, seed: int, broken: list[str]) -> Callable[[], list[dict[str, Any]]]:
    """What hearing only a cell costs: the parts of the way from off to bound that are closed."""
    ways = (("", "off"), ("", "bound"), ("", "on"), (", cells", "on"))
    tasks = [
        (name + cells, LOST_RELAYS, way, 1000 * seed + n)
        for name in ("asked", "probed")
        for cells, way in ways
        for n in range(LOST_SEEDS)
    ]
    days = [pool.submit(signals.one, task) for task in tasks]

    def told() -> list[dict[str, Any]]:
        figures, rows = dict[tuple[str, str], list[float]](), list[dict[str, Any]]()
        ages = dict[tuple[str, str], list[float]]()
        for (name, _, way, _), got in (day.result() for day in days):
            if isinstance(got, str):
                broken.append(f"{name}, {LOST_RELAYS} relays, {way}: {got}")
            else:
                figures.setdefault((name, way), []).append(got[0])
                ages.setdefault((name, way), []).append(got[2])
        mean = {key: fmean(values) for key, values in figures.items()}
        for name in ("asked", "probed"):
            off, whole = mean[name, "off"], mean[name, "bound"] - mean[name, "off"]
            cells = (f"{name}, cells", "on")
            parts = [
                (got - low) / (high - low)
                for got, low, high in zip(figures[cells], figures[name, "off"], figures[name, "bound"], strict=True)
            ]
            rows.append(
                {
                    "fleet": name,
                    "relays": LOST_RELAYS,
                    "cell": LOST_CELL,
                    "seeds": LOST_SEEDS,
                    "off": off,
                    "bound": mean[name, "bound"],
                    "all": mean[name, "on"],
                    "cells": mean[cells],
                    "closed_all": (mean[name, "on"] - off) / whole,
                    "closed_cells": (mean[cells] - off) / whole,
                    "least": min(parts),
                    "most": max(parts),
                    "age_all_s": fmean(ages[name, "on"]),
                    "age_cells_s": fmean(ages[cells]),
                }
            )
        print("\nWhat cells lose: share of the worth served; the part of the way from off to bound closed")
        shown(rows, tuple(rows[0]))
        return rows

    return told


def real_sockets(row: dict[str, Any], cells: bool, over: list[str], broken: list[str]) -> None:
    name = f"sockets, {'cells' if cells else 'each to all'}, {row['relays']} relays"
    missed = exceeded(name, row)
    over += missed
    if cells and not row["machine_bound"]:
        broken += missed
    if row["known_s"] < 0.0:  # where the machine is what was measured, it says nothing of the relays
        (over if row["machine_bound"] else broken).append(f"{name}: not all know that one was silenced")
    if row["strangers"]:
        broken.append(f"{name}: {row['strangers']} datagrams came from another cell")


def turns_state(over: list[str], sizes: Sequence[int] = (50, 200, 600, MAX_RELAYS)) -> list[dict[str, Any]]:
    """Bytes of the settled state, as a message to one relay and in a voter's file, with so many machines out that all
    relays but one have confirmed. told_mb: what the relay that settles one change sends, as it tells all others."""
    rows = list[dict[str, Any]]()
    for machines in (0, 1, 16):
        found: dict[str, list[float]] = {"message": [], "file": []}
        names = tuple(f"node-{n:04}" for n in range(machines))
        for relays in sizes:
            random = Random(relays)
            state = MaintenanceState(voters={f"relay-{n:04}": f"{random.getrandbits(128):032x}" for n in range(5)})
            for n in range(relays):
                state = state.with_relay(f"relay-{n:04}", f"{random.getrandbits(128):032x}") or state
            if machines:
                state = state.with_request(MaintenanceRequest(names, machines, machines)) or state
                for _ in names:
                    state = state.advanced({name: BackendObservation(0, 1.0, True) for name in names}) or state
                turns = {name: out.number for name, out in state.evacuations.items()}
                for relay, life in list(state.relays.items())[:-1]:
                    state = state.with_confirmations(relay, life, turns) or state
            found["message"].append(len(encode(StateUpdate(state))))
            kept = AcceptorState("v" * 32, (1, "relay-0000"), (1, "relay-0000"), state)
            found["file"].append(len(encode_file(kept, "r", "c")))
        for what, values in found.items():
            slope, first = linear_regression(sizes, values)
            off = sqrt(fmean((first + slope * n - value) ** 2 for n, value in zip(sizes, values, strict=True)))
            ahead = first + AHEAD * slope
            rows.append(
                {"bytes of": what, "machines out": machines}
                | dict(zip(map(str, sizes), values, strict=True))
                | {
                    "a relay": slope,
                    "residual": off / fmean(values),
                    "ahead": ahead,
                    "datagrams": ceil(ahead / FRAGMENT_BYTES) if what == "message" else "",
                    "told_mb": ahead * (AHEAD - 1) / 1e6 if what == "message" else "",
                }
            )
    print(f"\nTurns' state, bytes over registered relays; `ahead` is worked out at {AHEAD} relays, not measured")
    shown(rows, tuple(rows[0]))
    over += [
        f"turns, {AHEAD} relays, {row['machines out']} machines out: one change is {row['told_mb']:.0f} MB "
        "from the relay that settles it"
        for row in rows
        if row["bytes of"] == "message"
    ]
    if AHEAD > MAX_RELAYS:
        over.append(f"turns: {MAX_RELAYS} relays may register, {AHEAD} are ahead")
    return rows


def signal_table(over: list[str]) -> list[dict[str, Any]]:
    """What one other relay's word takes in the table of one that hears it, over the keys that it holds something at: a
    node is one, and each group there one more."""
    rows = list[dict[str, Any]]()
    for backends, groups in [(backends, 0) for backends in TABLE_KEYS] + [(1000, 4), (4000, 4)]:
        keys = [
            *range(1, backends + 1),
            *(group_key(backend, group) for backend in range(1, backends + 1) for group in range(1, groups + 1)),
        ]
        teller, hearer = LocalLoadLog(), LoadSignals()
        teller.next_signal(LocalLoad({key: (1 + key % 9, 100.0 + key % 500) for key in keys}), 0.0)
        words = teller.full_signals()
        hearer.peer_view("r1", 1).observe_clock(0.0, 0.0)
        for at, word in enumerate(words):
            hearer.receive("r1", 1, at, word, float(at))
        hearer.take_peer_loads(float(len(words)), 2, 0)
        rows.append(
            {
                "nodes": backends,
                "groups": groups,
                "keys": len(keys),
                "kept": len(hearer.peers["r1"].loads),
                "datagrams": len(words),
                "kb": deep_kb(hearer),
            }
        )
        if len(keys) > MAX_KEYS:
            over.append(f"signals: {len(keys)} keys, {rows[-1]['kept']} are told and kept")
    print("\nPeers' table of signals: one relay heard, all that it holds told once")
    shown(rows, tuple(rows[0]))
    return rows


def timed(day: Day) -> dict[str, float]:
    return play(day) | {"relays": day.relays, "load": os.getloadavg()[0]}


def run(
    seed: int, size: str, relays: int | None, plot: str | None, broken: list[str], each: bool = True
) -> dict[str, Any]:
    """relays: the size by which the fits are checked; an eighth, a quarter and a half of it are fitted. each: each to
    all is played as well, which takes most of the time."""
    over, points = list[str](), POINTS[size]
    if relays is not None:
        points = (*(max(4, relays // part) for part in (8, 4, 2)), relays)
    day = Day(
        0,
        1000 * seed,
        held=HELD_AT.get(size, HELD),
        window_s=3.0 if size == "small" else 8.0,
        warm_s=3.0 if size == "small" else 6.0,
    )
    with ProcessPoolExecutor(PROCESSES) as pool:
        alone = [pool.submit(timed, replace(day, relays=n)) for n in reversed(points)] if each else []
        parts = {
            n: [
                pool.submit(
                    timed,
                    replace(
                        day,
                        relays=cell,
                        seed=day.seed + 1 + number,
                        changes=CELL_CHANGES,
                        window_s=CELL_WINDOW_S.get(size, 20.0),
                    ),
                )
                for number, cell in enumerate(cells_of(n))
            ]
            for n in CELLS[size]
        }
        told = None if size == "small" else lost(pool, seed, broken)
        sockets = sockets_of(seed, size, over, broken) if size == "small" else []
        rows = [future.result() for future in reversed(alone)]
        fits = each_to_all(rows, over, broken) if each else {}
        cells = in_cells({n: [future.result() for future in futures] for n, futures in parts.items()}, over, broken)
        losses = told() if told is not None else []
    if size == "small":
        print("\nWhat cells lose: not run at this size")
    else:
        sockets = sockets_of(seed, size, over, broken, each)  # once nothing else of this run takes a core
    shown_sockets(sockets)
    turns = turns_state(over, (50, 100, 200)) if size == "small" else turns_state(over)
    table = signal_table(over)
    print("\nOver what control may cost a relay:" + "".join(f"\n  {row}" for row in over))
    if plot and each:
        draw(rows, fits, cells, plot)
    lists = {key: [round(row[key], 5) for row in rows] for key in QUANTITIES}
    return (
        {"relays": [row["relays"] for row in rows]}
        | lists
        | {
            "control_memory_mb": lists["memory_mb"],  # the last line has the machine's under the other name
            "fit_error": {key: fit["error"] for key, fit in fits.items()},
            "fits": fits,
            "over": over,
            "all": rows,
            "cells": cells,
            "lost": losses,
            "sockets": sockets,
            "turns_state": turns,
            "signal_table": table,
        }
    )


def sockets_of(seed: int, size: str, over: list[str], broken: list[str], each: bool = True) -> list[dict[str, Any]]:
    rows = list[dict[str, Any]]()
    for relays, celled, processes in [row for row in SOCKETS[size] if each or row[1]]:
        cells = len(cells_of(relays)) if celled else 1
        warm, window = (3.0, 2.0) if size == "small" else (6.0 + relays / cells / 20.0, 12.0)
        row = on_sockets(relays, cells, processes, seed, warm, window, (("bytes_per_s", CELL_BYTES),) if celled else ())
        rows.append({"way": "cells" if celled else "each to all"} | row)
        real_sockets(row, celled, over, broken)
    return rows


def shown_sockets(rows: list[dict[str, Any]]) -> None:
    print(
        "\nOn real sockets, one relay; `late_ms`: of the event loops, 99 of 100 looks; `busiest`: the greatest "
        "share of a core\nthat one process took; `load`: of the machine, all that runs there"
    )
    shown(
        rows,
        (
            "way",
            "relays",
            "cells",
            "processes",
            "bytes_per_s",
            "datagrams_per_s",
            "members_bytes_per_s",
            "cpu_share",
            "age_s",
            "heard",
            "known_s",
            "busiest",
            "late_ms",
            "late_most_ms",
            "lost",
            "suspicions",
            "load",
            "machine_bound",
        ),
    )


def draw(rows: list[dict[str, Any]], fits: dict[str, dict[str, Any]], cells: list[dict[str, Any]], path: str) -> None:
    import matplotlib  # an extra

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 3, figsize=(13, 7))
    sizes = [rows[0]["relays"] + (AHEAD - rows[0]["relays"]) * part / 100.0 for part in range(101)]
    drawn = ("bytes_per_s", "cpu_share", "memory_mb", "age_s", "known_s", "members_bytes_per_s")
    for axis, key in zip(axes.flat, drawn, strict=True):
        fit = Fit(fits[key]["form"], fits[key]["first"], fits[key]["slope"], 0.0)
        axis.plot(sizes, [fit.at(n) for n in sizes], "--", label=f"{fit.form}, {fits[key]['verdict']}")
        axis.plot([row["relays"] for row in rows], [row[key] for row in rows], "o", label="each to all")
        axis.plot([row["relays"] for row in cells], [row[key] for row in cells], "s-", label="cells")
        if key in ALLOWED:
            axis.axhline(ALLOWED[key], color="red", linewidth=0.8, label="allowed")
        axis.set_title(key)
        axis.set_xlabel("relays")
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=120)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = options("What control costs a relay, over the size of the fleet.")
    parser.add_argument("--plot", metavar="FILE.png", help="draw the slopes and their fits (needs matplotlib)")
    parser.add_argument("--relays", type=int, metavar="N", help="by which the fits are checked, 32 to 800")
    parser.add_argument("--cells", action="store_true", help="without each to all, which takes most of the time")
    chosen = parser.parse_args(arguments)
    if chosen.relays is not None and not 32 <= chosen.relays <= 800:
        parser.error("--relays is 32 to 800")
    started, broken = time.perf_counter(), list[str]()
    result = run(chosen.seed, chosen.size, chosen.relays, chosen.plot, broken, not chosen.cells)
    return finish(result, broken, started, chosen.json, chosen.seed, chosen.size)


if __name__ == "__main__":
    sys.exit(main())
