"""The command line of the soak: seeds one after another, a table, and with --json one object on the last line."""

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
from benchmarks.soak.plan import NEEDS_SHIM, TROUBLES, all_pairs, plan_of
from benchmarks.soak.planted import DEFECTS
from benchmarks.soak.play import RULES, Report, play
from benchmarks.soak.shim import build

MIN_RELAYS, MAX_RELAYS = 10, 40


def arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description="a randomized fault soak")
    parser.add_argument("--seed", type=int, default=1, help="the first seed; the same plays the same schedule again")
    parser.add_argument("--seeds", type=int, default=1, help="how many, one after another")
    parser.add_argument("--processes", type=int, default=MIN_RELAYS, help="relays, 10 to 40")
    parser.add_argument("--seconds", type=float, default=12.0, help="of each seed, at least 8")
    parser.add_argument("--faults", default="", help=f"words out of: {', '.join(TROUBLES)}")
    parser.add_argument("--planted", default="", choices=("", *DEFECTS), help="a defect that has to be found")
    parser.add_argument("--logs", type=Path, default=None, help="a folder that keeps the relays' logs")
    parser.add_argument("--json", action="store_true", help="the last line is one JSON object")
    found = parser.parse_args()
    if not MIN_RELAYS <= found.processes <= MAX_RELAYS or found.seconds < 8.0 or found.seeds < 1:
        parser.error(f"--processes {MIN_RELAYS} to {MAX_RELAYS}, --seconds at least 8, --seeds at least 1")
    unknown = sorted(set(words_of(found.faults)) - TROUBLES.keys())
    if unknown:
        parser.error(f"no such faults: {', '.join(unknown)}")
    return found


def words_of(text: str) -> list[str]:
    return [word for word in text.split(",") if word]


def run_seed(seed: int, given: argparse.Namespace, words: list[str], library: Path | None, logs: Path) -> Report:
    plan = plan_of(seed, given.processes, given.seconds, words)
    return uvloop.run(play(plan, logs / str(seed), library, given.planted))


def main() -> int:
    given, started = arguments(), time.perf_counter()
    totals: Counter[str] = Counter(dict.fromkeys(RULES, 0))
    pairs: set[frozenset[str]] = set()
    faults: Counter[str] = Counter()
    requests = 0
    broken = False
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        folder = Path(temporary)
        library = build(folder)
        words = words_of(given.faults) or list(TROUBLES)
        if library is None:
            words = [word for word in words if word not in NEEDS_SHIM]
            print(f"no C compiler: without {', '.join(sorted(NEEDS_SHIM))}")
        for seed in range(given.seed, given.seed + given.seeds):
            report = run_seed(seed, given, words, library, given.logs or folder)
            print("\n".join(report.lines()), flush=True)
            requests += report.requests
            pairs |= report.plan.pairs()
            faults.update(trouble.word for trouble in report.plan.troubles)
            totals.update(violation.rule.value for violation in report.violations)
            broken = broken or bool(report.violations)
    possible = len(all_pairs(words))
    found = ", ".join(f"{rule} {count}" for rule, count in totals.items() if count) or "none"
    covered = f"{len(pairs)} of {possible} pairs of troubles overlapped"
    print(f"{given.seeds} seeds, {requests} requests, {covered}; violations: {found}")
    whole = {
        "seeds": given.seeds,
        "processes": given.processes,
        "requests": requests,
        "faults": dict(faults),
        "pairs_covered": len(pairs),
        "pairs": sorted("+".join(sorted(pair)) for pair in pairs),
        "violations": {rule: totals[rule] for rule in RULES},
    } | {rule: totals[rule] for rule in RULES}
    whole |= {"seed": given.seed, "seconds": given.seconds, "planted": given.planted, "pairs_possible": possible}
    whole |= machine_size() | {"took_s": round(time.perf_counter() - started, 1)}
    if given.json:
        print(json.dumps(whole))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
