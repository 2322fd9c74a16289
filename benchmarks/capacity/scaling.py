"""How the cost of membership and maintenance for one relay grows with the fleet: as a full mesh and in cells.

    python -m benchmarks.capacity.scaling [--seed N] [--size small|machine|large] [--json] [--plot FILE.png]
                                         [--relays N]

The relays run membership only, without connections. Bytes count what is sent and received, with the headers of IP and
UDP. A curve is fitted to all sizes but the largest, which checks it: a prediction that is more than 15 % off is called
wrong. `over` lists what exceeds the limits for one relay. That fails the run only for cells, whose purpose is to keep
them. "Flat" allows for 10 % and two standard errors of the cells. Costs are processor time and not wall time, because
the machine may be busy with other work.
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
from benchmarks.capacity.membership_relays import (
    HELD_BACKENDS,
    MAX_CELL_RELAYS,
    SimulationPlan,
    cell_sizes,
    measure_on_sockets,
    simulate,
)
from benchmarks.common import argument_parser, print_result
from benchmarks.signals import deep_size_kb
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

TARGET_RELAYS = 1200  # size of the planned fleet
LIMITS = {"bytes_per_s": 8000.0, "cpu_share": 0.012, "memory_mb": 32.0}  # cost of one relay
MAX_FIT_ERROR, MAX_GROWTH, MAX_CONSTANT_RESIDUAL = 0.15, 0.10, 0.05
QUANTITIES = ("bytes_per_s", "datagrams_per_s", "members_bytes_per_s", "cpu_share", "memory_mb", "age_s", "known_s")
FORMS: dict[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "linear": float,
    "log n": log2,
    "n log n": lambda n: n * log2(n),
}
PROCESSES = 3
# `PeerSettings.bytes_per_s` in a cell: together with 10 configuration changes a second, a relay stays within 8 kB/s.
CELL_BYTES_PER_S = 1800.0
CELL_PEER_SETTINGS: tuple[tuple[str, Any], ...] = (("bytes_per_s", CELL_BYTES_PER_S), ("cluster", "cell"))
FULL_MESH_RELAYS = {"small": (20, 40, 60), "machine": (50, 100, 200, 400), "large": (50, 100, 200, 400)}
HELD_BACKENDS_BY_SIZE = {"small": 20}
CELL_FLEET_RELAYS = {"small": (24, 48), "machine": (120, 408, 1200), "large": (120, 408, 1200)}  # full cells
CELL_WINDOW_S = {"small": 6.0}
COMPARED_RELAYS, COMPARED_CELL_RELAYS, COMPARED_SEEDS = 40, 10, 6
# Number of relays, whether they form cells, number of processes.
SOCKET_RUNS = {
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
TABLE_BACKENDS = (1000, 4000, 16_000, 64_000)
for _fleet_name in list(signals.FLEETS):  # the same fleets, with relays that exchange signals within a cell only
    signals.FLEETS[f"{_fleet_name}, cells"] = replace(
        signals.FLEETS[_fleet_name], peer_settings=(("cell", COMPARED_CELL_RELAYS), ("bytes_per_s", CELL_BYTES_PER_S))
    )


@dataclass(frozen=True, slots=True)
class Fit:
    """The curve `intercept + slope * form(n)`.

    `residual` is the root mean square error at the fitted sizes, divided by the mean of the values.
    """

    form: str
    intercept: float
    slope: float
    residual: float

    def at(self, relays: float) -> float:
        return self.intercept + self.slope * FORMS[self.form](relays)


def fit_curve(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the constant fit if its residual is at most 5 %, else the form with the least residual."""
    mean, fits = fmean(values), list[Fit]()
    for form, transform in FORMS.items():
        slope, intercept = (
            (0.0, mean) if form == "constant" else linear_regression([transform(n) for n in sizes], values)
        )
        fit = Fit(form, intercept, slope, 0.0)
        residual = sqrt(fmean((fit.at(n) - value) ** 2 for n, value in zip(sizes, values, strict=True)))
        fits.append(replace(fit, residual=round(residual / abs(mean), 4) if mean else 0.0))
    return fits[0] if fits[0].residual <= MAX_CONSTANT_RESIDUAL else min(fits, key=lambda candidate: candidate.residual)


def print_table(rows: Sequence[dict[str, Any]], keys: Sequence[str]) -> None:
    print("  ".join(f"{key:>8}" for key in keys))
    for row in rows:
        print(
            "  ".join(
                f"{f'{v:.4g}' if isinstance(v := row.get(key, ''), float) else v!s:>{max(len(key), 8)}}" for key in keys
            ),
            flush=True,
        )


def limit_violations(name: str, row: dict[str, Any]) -> list[str]:
    return [
        f"{name}: {key} is {row[key]:.4g}, {limit:g} are allowed"
        for key, limit in LIMITS.items()
        if key in row and row[key] > limit
    ]


def fit_and_check(rows: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Fit each quantity to all rows but the last, check it there, and extrapolate it to `TARGET_RELAYS`.

    A fit that fails its check has no extrapolated value.
    """
    result, check_row = dict[str, dict[str, Any]](), rows[-1]
    for key in QUANTITIES:
        fit = fit_curve([row["relays"] for row in rows[:-1]], [row[key] for row in rows[:-1]])
        predicted = fit.at(check_row["relays"])
        error = predicted / check_row[key] - 1.0 if check_row[key] else 0.0
        result[key] = {
            "form": fit.form,
            "first": fit.intercept,
            "slope": fit.slope,
            "residual": fit.residual,
            "told": predicted,
            "measured": check_row[key],
            "error": round(error, 4),
            "verdict": "wrong" if abs(error) > MAX_FIT_ERROR else "holds",
            "ahead": fit.at(TARGET_RELAYS) if abs(error) <= MAX_FIT_ERROR else None,
        }
    return result


def report_full_mesh(
    rows: list[dict[str, Any]], violations: list[str], failures: list[str]
) -> dict[str, dict[str, Any]]:
    print(f"\nFull mesh on the virtual clock, figures of one relay; {rows[-1]['relays']} relays check the fit")
    print_table(rows, ("relays", *QUANTITIES, "known_most_s", "heard", "beat_s", "untold", "load"))
    for row in rows:
        violations += limit_violations(f"full mesh, {row['relays']} relays", row)
        if row["known_most_s"] < 0.0:
            failures.append(
                f"full mesh, {row['relays']} relays: a killed relay was not detected by all within the time limit"
            )
    fits = fit_and_check(rows)
    print(f"\nFits; `ahead` is extrapolated to {TARGET_RELAYS} relays, not measured, and only if the fit holds")
    print_table(
        [{"quantity": key} | fit for key, fit in fits.items()],
        ("quantity", "form", "first", "slope", "residual", "told", "measured", "error", "verdict", "ahead"),
    )
    violations += limit_violations(
        f"full mesh, {TARGET_RELAYS} relays, extrapolated",
        {key: fit["ahead"] for key, fit in fits.items() if fit["ahead"] is not None},
    )
    return fits


def report_cells(
    simulations: dict[int, list[dict[str, Any]]], violations: list[str], failures: list[str]
) -> list[dict[str, Any]]:
    rows = list[dict[str, Any]]()
    for relays, cells in simulations.items():
        row = {key: sum(cell[key] * cell["relays"] for cell in cells) / relays for key in cells[0]}
        rows.append(
            row
            | {
                "relays": relays,
                "cells": len(cells),
                "load": cells[-1]["load"],
                "known_most_s": max(cell["known_most_s"] for cell in cells),
                "errors": {key: stdev([cell[key] for cell in cells]) / sqrt(len(cells)) for key in LIMITS},
                "all_know": min(cell["known_most_s"] for cell in cells) >= 0.0,
                "most_bytes_per_s": max(cell["bytes_per_s"] for cell in cells),
            }
        )
    print(
        f"\nCells of at most {MAX_CELL_RELAYS} relays on the virtual clock, bytes_per_s {CELL_BYTES_PER_S:g}, "
        "figures of one relay; all sizes are simulated"
    )
    print_table(
        rows, ("relays", "cells", *QUANTITIES, "known_most_s", "most_bytes_per_s", "heard", "beat_s", "untold", "load")
    )
    for row in rows:
        name = f"cells, {row['relays']} relays"
        row_violations = limit_violations(name, row) + limit_violations(
            f"{name}, worst cell", {"bytes_per_s": row["most_bytes_per_s"]}
        )
        violations += row_violations
        failures += row_violations
        if not row["all_know"]:
            failures.append(f"{name}: a killed relay was not detected by all within the time limit")
        failures += [
            f"{name}: {key} is {row[key]:.4g}, at {rows[0]['relays']} relays it is {rows[0][key]:.4g}: not flat"
            for key in LIMITS
            if abs(row[key] - rows[0][key])
            > MAX_GROWTH * rows[0][key] + 2.0 * sqrt(row["errors"][key] ** 2 + rows[0]["errors"][key] ** 2)
        ]
    return rows


def compare_cells(pool: Executor, seed: int, failures: list[str]) -> Callable[[], list[dict[str, Any]]]:
    """Start runs that show how much of the benefit of load signals remains if relays hear their own cell only.

    The benefit is a share of the gain from `off` (no signals) to `bound` (loads known at once).

    Returns:
        A function that waits for the runs, prints their table and returns its rows.
    """
    variants = (("", "off"), ("", "bound"), ("", "on"), (", cells", "on"))
    tasks = [
        (name + cells, COMPARED_RELAYS, mode, 1000 * seed + n)
        for name in ("asked", "probed")
        for cells, mode in variants
        for n in range(COMPARED_SEEDS)
    ]
    runs = [pool.submit(signals.run_task, task) for task in tasks]

    def collect() -> list[dict[str, Any]]:
        figures, rows = dict[tuple[str, str], list[float]](), list[dict[str, Any]]()
        ages = dict[tuple[str, str], list[float]]()
        for (name, _, mode, _), outcome in (run.result() for run in runs):
            if isinstance(outcome, str):
                failures.append(f"{name}, {COMPARED_RELAYS} relays, {mode}: {outcome}")
            else:
                figures.setdefault((name, mode), []).append(outcome[0])
                ages.setdefault((name, mode), []).append(outcome[2])
        mean = {key: fmean(values) for key, values in figures.items()}
        for name in ("asked", "probed"):
            off_mean, full_gain = mean[name, "off"], mean[name, "bound"] - mean[name, "off"]
            cells = (f"{name}, cells", "on")
            gain_shares = [
                (outcome - off_share) / (bound_share - off_share)
                for outcome, off_share, bound_share in zip(
                    figures[cells], figures[name, "off"], figures[name, "bound"], strict=True
                )
            ]
            rows.append(
                {
                    "fleet": name,
                    "relays": COMPARED_RELAYS,
                    "cell": COMPARED_CELL_RELAYS,
                    "seeds": COMPARED_SEEDS,
                    "off": off_mean,
                    "bound": mean[name, "bound"],
                    "all": mean[name, "on"],
                    "cells": mean[cells],
                    "closed_all": (mean[name, "on"] - off_mean) / full_gain,
                    "closed_cells": (mean[cells] - off_mean) / full_gain,
                    "least": min(gain_shares),
                    "most": max(gain_shares),
                    "age_all_s": fmean(ages[name, "on"]),
                    "age_cells_s": fmean(ages[cells]),
                }
            )
        print("\nFull mesh and cells compared: share of the worth served; share of the gain from off to bound")
        print_table(rows, tuple(rows[0]))
        return rows

    return collect


def check_socket_run(row: dict[str, Any], cells: bool, violations: list[str], failures: list[str]) -> None:
    name = f"sockets, {'cells' if cells else 'full mesh'}, {row['relays']} relays"
    row_violations = limit_violations(name, row)
    violations += row_violations
    if cells and not row["machine_bound"]:
        failures += row_violations
    if row["known_s"] < 0.0:  # if the machine was the bottleneck, the time says nothing about the relays
        (violations if row["machine_bound"] else failures).append(
            f"{name}: a silenced relay was not detected by all within the time limit"
        )
    if row["strangers"]:
        failures.append(f"{name}: {row['strangers']} datagrams were received from another cell")


def measure_maintenance_state(
    violations: list[str], sizes: Sequence[int] = (50, 200, 600, MAX_RELAYS)
) -> list[dict[str, Any]]:
    """Measure the bytes of the agreed maintenance state, as a message to one relay and in a voter's file.

    The state has 0, 1 or 16 evacuated backends, which all relays but one have confirmed. `told_mb` is what the relay
    that settles one change sends, because it sends the state to all others.
    """
    rows = list[dict[str, Any]]()
    for backends in (0, 1, 16):
        sizes_by_form: dict[str, list[float]] = {"message": [], "file": []}
        names = tuple(f"node-{index:04}" for index in range(backends))
        for relays in sizes:
            random = Random(relays)
            state = MaintenanceState(
                voters={f"relay-{index:04}": f"{random.getrandbits(128):032x}" for index in range(5)}
            )
            for index in range(relays):
                state = state.with_relay(f"relay-{index:04}", f"{random.getrandbits(128):032x}") or state
            if backends:
                state = state.with_request(MaintenanceRequest(names, backends, backends)) or state
                for _ in names:
                    state = state.advanced({name: BackendObservation(0, 1.0, True) for name in names}) or state
                confirmed_numbers = {name: evacuation.number for name, evacuation in state.evacuations.items()}
                for relay, identity in list(state.relays.items())[:-1]:
                    state = state.with_confirmations(relay, identity, confirmed_numbers) or state
            sizes_by_form["message"].append(len(encode(StateUpdate(state))))
            acceptor_state = AcceptorState("v" * 32, (1, "relay-0000"), (1, "relay-0000"), state)
            sizes_by_form["file"].append(len(encode_file(acceptor_state, "r", "c")))
        for form, values in sizes_by_form.items():
            slope, intercept = linear_regression(sizes, values)
            residual = sqrt(
                fmean((intercept + slope * size - value) ** 2 for size, value in zip(sizes, values, strict=True))
            )
            predicted = intercept + TARGET_RELAYS * slope
            rows.append(
                {"bytes of": form, "machines out": backends}
                | dict(zip(map(str, sizes), values, strict=True))
                | {
                    "a relay": slope,
                    "residual": residual / fmean(values),
                    "ahead": predicted,
                    "datagrams": ceil(predicted / FRAGMENT_BYTES) if form == "message" else "",
                    "told_mb": predicted * (TARGET_RELAYS - 1) / 1e6 if form == "message" else "",
                }
            )
    print(
        f"\nMaintenance state, bytes by registered relays; `ahead` is extrapolated to {TARGET_RELAYS} relays, "
        "not measured"
    )
    print_table(rows, tuple(rows[0]))
    violations += [
        f"maintenance, {TARGET_RELAYS} relays, {row['machines out']} backends out: one change "
        f"is {row['told_mb']:.0f} MB from the relay that settles it"
        for row in rows
        if row["bytes of"] == "message"
    ]
    if TARGET_RELAYS > MAX_RELAYS:
        violations.append(f"maintenance: at most {MAX_RELAYS} relays can register, {TARGET_RELAYS} are planned")
    return rows


def measure_signal_table(violations: list[str]) -> list[dict[str, Any]]:
    """Measure what the load signals of one peer take in a receiver's table, by the number of keys that have load.

    A backend is one key, and each of its groups is one more.
    """
    rows = list[dict[str, Any]]()
    for backends, groups in [(backends, 0) for backends in TABLE_BACKENDS] + [(1000, 4), (4000, 4)]:
        keys = [
            *range(1, backends + 1),
            *(group_key(backend, group) for backend in range(1, backends + 1) for group in range(1, groups + 1)),
        ]
        sender, receiver = LocalLoadLog(), LoadSignals()
        sender.next_signal(LocalLoad({key: (1 + key % 9, 100.0 + key % 500) for key in keys}), 0.0)
        signals = sender.full_signals()
        receiver.peer_view("r1", 1).observe_clock(0.0, 0.0)
        for number, signal in enumerate(signals):
            receiver.receive("r1", 1, number, signal, float(number))
        receiver.take_peer_loads(float(len(signals)), 2, 0)
        rows.append(
            {
                "nodes": backends,
                "groups": groups,
                "keys": len(keys),
                "kept": len(receiver.peers["r1"].loads),
                "datagrams": len(signals),
                "kb": deep_size_kb(receiver),
            }
        )
        if len(keys) > MAX_KEYS:
            violations.append(f"signals: {len(keys)} keys, {rows[-1]['kept']} are sent and stored")
    print("\nTable of peers' load signals: one peer that sends its whole load once")
    print_table(rows, tuple(rows[0]))
    return rows


def simulate_with_load(plan: SimulationPlan) -> dict[str, float]:
    return simulate(plan) | {"relays": plan.relays, "load": os.getloadavg()[0]}


def run(
    seed: int, size: str, relays: int | None, plot: str | None, failures: list[str], full_mesh: bool = True
) -> dict[str, Any]:
    """Run all parts, print their tables, and append a sentence to `failures` for each rule that does not hold.

    Args:
        seed: Seed of the simulations.
        size: One of `benchmarks.common.SIZES`.
        relays: Size at which the fits are checked; an eighth, a quarter and a half of it are fitted.
        plot: Path of the picture of the fits.
        failures: Sentences about rules that do not hold.
        full_mesh: Whether the full mesh is simulated as well, which takes most of the time.

    Returns:
        The output of the benchmark, by its keys.
    """
    violations, relay_counts = list[str](), FULL_MESH_RELAYS[size]
    if relays is not None:
        relay_counts = (*(max(4, relays // divisor) for divisor in (8, 4, 2)), relays)
    plan = SimulationPlan(
        0,
        1000 * seed,
        held=HELD_BACKENDS_BY_SIZE.get(size, HELD_BACKENDS),
        window_s=3.0 if size == "small" else 8.0,
        warmup_s=3.0 if size == "small" else 6.0,
    )
    with ProcessPoolExecutor(PROCESSES) as pool:
        full_mesh_runs = (
            [
                pool.submit(simulate_with_load, replace(plan, relays=relay_count))
                for relay_count in reversed(relay_counts)
            ]
            if full_mesh
            else []
        )
        cell_runs = {
            relay_count: [
                pool.submit(
                    simulate_with_load,
                    replace(
                        plan,
                        relays=cell,
                        seed=plan.seed + 1 + number,
                        peer_settings=CELL_PEER_SETTINGS,
                        window_s=CELL_WINDOW_S.get(size, 20.0),
                    ),
                )
                for number, cell in enumerate(cell_sizes(relay_count))
            ]
            for relay_count in CELL_FLEET_RELAYS[size]
        }
        collect_comparison = None if size == "small" else compare_cells(pool, seed, failures)
        socket_rows = run_on_sockets(seed, size, violations, failures) if size == "small" else []
        rows = [future.result() for future in reversed(full_mesh_runs)]
        fits = report_full_mesh(rows, violations, failures) if full_mesh else {}
        cells = report_cells(
            {relay_count: [future.result() for future in futures] for relay_count, futures in cell_runs.items()},
            violations,
            failures,
        )
        comparison = collect_comparison() if collect_comparison is not None else []
    if size == "small":
        print("\nFull mesh and cells compared: not run at this size")
    else:
        # After the simulations, so that they take no core from the sockets.
        socket_rows = run_on_sockets(seed, size, violations, failures, full_mesh)
    print_socket_table(socket_rows)
    maintenance_state = (
        measure_maintenance_state(violations, (50, 100, 200))
        if size == "small"
        else measure_maintenance_state(violations)
    )
    signal_table = measure_signal_table(violations)
    print("\nOver the limits for one relay:" + "".join(f"\n  {row}" for row in violations))
    if plot and full_mesh:
        plot_fits(rows, fits, cells, plot)
    lists = {key: [round(row[key], 5) for row in rows] for key in QUANTITIES}
    return (
        {"relays": [row["relays"] for row in rows]}
        | lists
        | {
            "control_memory_mb": lists["memory_mb"],  # `memory_mb` of the output is the machine's
            "fit_error": {key: fit["error"] for key, fit in fits.items()},
            "fits": fits,
            "over": violations,
            "all": rows,
            "cells": cells,
            "lost": comparison,
            "sockets": socket_rows,
            "turns_state": maintenance_state,
            "signal_table": signal_table,
        }
    )


def run_on_sockets(
    seed: int, size: str, violations: list[str], failures: list[str], full_mesh: bool = True
) -> list[dict[str, Any]]:
    rows = list[dict[str, Any]]()
    for relays, in_cells, processes in [row for row in SOCKET_RUNS[size] if full_mesh or row[1]]:
        cells = len(cell_sizes(relays)) if in_cells else 1
        warmup_s, window_s = (3.0, 2.0) if size == "small" else (6.0 + relays / cells / 20.0, 12.0)
        row = measure_on_sockets(
            relays, cells, processes, seed, warmup_s, window_s, (("bytes_per_s", CELL_BYTES_PER_S),) if in_cells else ()
        )
        rows.append({"way": "cells" if in_cells else "each to all"} | row)
        check_socket_run(row, in_cells, violations, failures)
    return rows


def print_socket_table(rows: list[dict[str, Any]]) -> None:
    print(
        "\nOn real sockets, figures of one relay; `late_ms`: 99th percentile of the event loops' lateness; "
        "`busiest`: the greatest\nshare of a core that one process took; `load`: load average of the "
        "machine"
    )
    print_table(
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


def plot_fits(
    rows: list[dict[str, Any]], fits: dict[str, dict[str, Any]], cells: list[dict[str, Any]], path: str
) -> None:
    import matplotlib  # optional dependency

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 3, figsize=(13, 7))
    sizes = [rows[0]["relays"] + (TARGET_RELAYS - rows[0]["relays"]) * part / 100.0 for part in range(101)]
    quantities = ("bytes_per_s", "cpu_share", "memory_mb", "age_s", "known_s", "members_bytes_per_s")
    for axis, key in zip(axes.flat, quantities, strict=True):
        fit = Fit(fits[key]["form"], fits[key]["first"], fits[key]["slope"], 0.0)
        axis.plot(sizes, [fit.at(n) for n in sizes], "--", label=f"{fit.form}, {fits[key]['verdict']}")
        axis.plot([row["relays"] for row in rows], [row[key] for row in rows], "o", label="full mesh")
        axis.plot([row["relays"] for row in cells], [row[key] for row in cells], "s-", label="cells")
        if key in LIMITS:
            axis.axhline(LIMITS[key], color="red", linewidth=0.8, label="allowed")
        axis.set_title(key)
        axis.set_xlabel("relays")
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=120)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argument_parser("Cost of membership and maintenance for one relay, by the size of the fleet.")
    parser.add_argument("--plot", metavar="FILE.png", help="draw the figures and their fits (needs matplotlib)")
    parser.add_argument("--relays", type=int, metavar="N", help="size at which the fits are checked, 32 to 800")
    parser.add_argument("--cells", action="store_true", help="leave out the full mesh, which takes most of the time")
    args = parser.parse_args(arguments)
    if args.relays is not None and not 32 <= args.relays <= 800:
        parser.error(f"--relays is {args.relays}: expected 32 to 800")
    started, failures = time.perf_counter(), list[str]()
    result = run(args.seed, args.size, args.relays, args.plot, failures, not args.cells)
    return print_result(result, failures, started, args.json, args.seed, args.size)


if __name__ == "__main__":
    sys.exit(main())
