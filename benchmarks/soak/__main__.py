"""Command line of the soak: runs seeds in sequence, prints a report of each, and with --json a final JSON object."""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop

from benchmarks.common import machine_size
from benchmarks.soak.plan import FAULTS, NEEDS_SHIM, UPGRADE, fault_pairs, make_plan
from benchmarks.soak.planted import DEFECTS
from benchmarks.soak.seed_run import RULES, Report, run_plan
from benchmarks.soak.shim import build

MIN_RELAYS, MAX_RELAYS = 10, 40


def parse_arguments() -> argparse.Namespace:
    """Return the options; invalid ones end the process with status 2."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.soak", description="randomized fault-injection soak test"
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed; a seed always gives the same plan")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument("--processes", type=int, default=MIN_RELAYS, help="number of relay processes, 10 to 40")
    parser.add_argument("--seconds", type=float, default=12.0, help="duration of each seed, at least 8")
    parser.add_argument(
        "--faults", default="", help=f"comma-separated kinds of faults (default: all): {', '.join(FAULTS)}"
    )
    parser.add_argument(
        "--upgrades", action="store_true", help="replace processes of relays by second ones that start beside them"
    )
    parser.add_argument(
        "--planted",
        default="",
        choices=("", *DEFECTS),
        help="defect to plant in the relays, which the oracle must detect",
    )
    parser.add_argument("--logs", type=Path, default=None, help="directory in which the relays' logs are kept")
    parser.add_argument("--json", action="store_true", help="print the results as one JSON object on the last line")
    options = parser.parse_args()
    if not MIN_RELAYS <= options.processes <= MAX_RELAYS or options.seconds < 8.0 or options.seeds < 1:
        parser.error(f"--processes {MIN_RELAYS} to {MAX_RELAYS}, --seconds at least 8, --seeds at least 1")
    unknown = sorted(set(split_kinds(options.faults)) - FAULTS.keys())
    if unknown:
        parser.error(f"unknown kinds of faults: {', '.join(unknown)}")
    return options


def split_kinds(text: str) -> list[str]:
    """Return the kinds of a comma-separated list."""
    return [kind for kind in text.split(",") if kind]


def run_seed(seed: int, options: argparse.Namespace, kinds: list[str], shim_library: Path | None, logs: Path) -> Report:
    """Run one seed, and return its report."""
    plan = make_plan(seed, options.processes, options.seconds, kinds, options.upgrades)
    return uvloop.run(run_plan(plan, logs / str(seed), shim_library, options.planted))


def main() -> int:
    """Run all seeds, print the results, and return the exit status: 1 if a rule was violated."""
    options, started_at = parse_arguments(), time.perf_counter()
    totals: Counter[str] = Counter(dict.fromkeys(RULES, 0))
    pairs: set[frozenset[str]] = set()
    faults: Counter[str] = Counter()
    requests = 0
    any_violation = False
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        folder = Path(temporary)
        shim_library = build(folder)
        kinds = split_kinds(options.faults) or list(FAULTS)
        if shim_library is None:
            kinds = [kind for kind in kinds if kind not in NEEDS_SHIM]
            print(f"no C compiler found: leaving out the faults {', '.join(sorted(NEEDS_SHIM))}")
        for seed in range(options.seed, options.seed + options.seeds):
            report = run_seed(seed, options, kinds, shim_library, options.logs or folder)
            print("\n".join(report.lines()), flush=True)
            requests += report.requests
            pairs |= report.plan.pairs()
            faults.update(fault.kind for fault in report.plan.faults)
            totals.update(violation.rule.value for violation in report.violations)
            any_violation = any_violation or bool(report.violations)
    possible_pairs = len(fault_pairs([*kinds, UPGRADE] if options.upgrades else kinds))
    found = ", ".join(f"{rule} {count}" for rule, count in totals.items() if count) or "none"
    coverage = f"{len(pairs)} of {possible_pairs} pairs of faults overlapped"
    print(f"{options.seeds} seeds, {requests} requests, {coverage}; violations: {found}")
    result = {
        "seeds": options.seeds,
        "processes": options.processes,
        "requests": requests,
        "faults": dict(faults),
        "pairs_covered": len(pairs),
        "pairs": sorted("+".join(sorted(pair)) for pair in pairs),
        "violations": {rule: totals[rule] for rule in RULES},
    } | {rule: totals[rule] for rule in RULES}
    result |= {
        "seed": options.seed,
        "seconds": options.seconds,
        "planted": options.planted,
        "upgrades": options.upgrades,
        "pairs_possible": possible_pairs,
    }
    result |= machine_size() | {"took_s": round(time.perf_counter() - started_at, 1)}
    if options.json:
        print(json.dumps(result))
    return 1 if any_violation else 0


if __name__ == "__main__":
    sys.exit(main())
