"""python -m yarrowspindle.lab.processes --relays 5 --seed 7 --faults loss,cut,stall

Prints the schedule, broken rules and a report; the exit status is 1 where a rule was broken, 2 for bad arguments.
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
    parser = argparse.ArgumentParser(
        prog="python -m yarrowspindle.lab.processes",
        description="Real relays with faults between them.",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        epilog="faults:\n" + "\n".join(f"  {kind:8} {description}" for kind, description in FAULT_KINDS.items()),
    )
    parser.add_argument("--relays", type=int, default=5)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--submitters", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="so many runs, from this seed on")
    parser.add_argument("--faults", default="loss,cut,kill,stall", help="words, with commas; empty for none")
    parser.add_argument("--faults-s", type=float, default=6.0, help="the time in which the faults lie")
    parser.add_argument("--stall-s", type=float, default=3.0, help="the longest stall")
    parser.add_argument("--no-peers", action="store_true", help="relays do not hear one another")
    parser.add_argument("--logs", type=Path, help="a folder for the relays' logs")
    options = parser.parse_args(arguments)
    try:
        fault_kinds = tuple(parse_kinds(options.faults))
    except FaultError as error:
        parser.error(str(error))
    if min(options.relays, options.nodes, options.seeds) < 1 or options.submitters < 0 or options.relays > 80:
        parser.error("at least one relay (80 at most), one node and one seed are wanted")
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
    print(f"{options.seeds - failed_runs} of {options.seeds} runs kept all rules")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
