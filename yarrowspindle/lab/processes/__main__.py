"""Runs real relays with injected faults.

    python -m yarrowspindle.lab.processes --relays 5 --seed 7 --faults loss,cut,stall

Prints the schedule of the faults, the violated rules and a report for each run. The exit status is 1 if a rule was
violated and 2 if the arguments are invalid.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from yarrowspindle.lab.faults import FAULT_KINDS, FaultError, parse_kinds
from yarrowspindle.lab.processes.environment import run_scenario
from yarrowspindle.lab.processes.run import Run


def main(arguments: Sequence[str] | None = None) -> int:
    """Execute the runs that the arguments ask for and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m yarrowspindle.lab.processes",
        description="Run real relays with injected faults and check their behavior.",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        epilog="faults:\n" + "\n".join(f"  {kind:8} {description}" for kind, description in FAULT_KINDS.items()),
    )
    parser.add_argument("--relays", type=int, default=5)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--submitters", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of runs; the seed increases by 1 with each")
    parser.add_argument(
        "--faults", default="loss,cut,kill,stall", help="comma-separated kinds of faults; empty for none"
    )
    parser.add_argument("--faults-s", type=float, default=6.0, help="seconds in which the faults are placed")
    parser.add_argument("--stall-s", type=float, default=3.0, help="maximum duration of a stall in seconds")
    parser.add_argument("--no-peers", action="store_true", help="relays exchange no datagrams")
    parser.add_argument("--logs", type=Path, help="directory for the relays' logs")
    options = parser.parse_args(arguments)
    try:
        fault_kinds = tuple(parse_kinds(options.faults))
    except FaultError as error:
        parser.error(str(error))
    if min(options.relays, options.nodes, options.seeds) < 1 or options.submitters < 0 or options.relays > 80:
        parser.error("--relays must be 1 to 80, --nodes and --seeds at least 1, --submitters at least 0")
    failed_runs = 0
    for seed in range(options.seed, options.seed + options.seeds):
        run = Run(
            options.relays,
            options.nodes,
            options.submitters,
            seed,
            fault_kinds,
            faults_s=options.faults_s,
            stall_s=options.stall_s,
            peers=not options.no_peers,
        )
        report = asyncio.run(run_scenario(run))
        print(report, flush=True)
        failed_runs += bool(report.violations)
        if options.logs is not None:
            options.logs.mkdir(parents=True, exist_ok=True)
            for name, lines in report.logs.items():
                (options.logs / f"{seed}-{name}.log").write_text("\n".join(lines) + "\n")
    print(f"{options.seeds - failed_runs} of {options.seeds} runs without violations")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
