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
        epilog="faults:\n" + "\n".join(f"  {word:8} {what}" for word, what in FAULT_KINDS.items()),
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
    chosen = parser.parse_args(arguments)
    try:
        fault_kinds = tuple(parse_kinds(chosen.faults))
    except FaultError as error:
        parser.error(str(error))
    if min(chosen.relays, chosen.nodes, chosen.seeds) < 1 or chosen.submitters < 0 or chosen.relays > 80:
        parser.error("at least one relay (80 at most), one node and one seed are wanted")
    broken = 0
    for seed in range(chosen.seed, chosen.seed + chosen.seeds):
        run = Run(
            chosen.relays,
            chosen.nodes,
            chosen.submitters,
            seed,
            fault_kinds,
            faults_s=chosen.faults_s,
            stall_s=chosen.stall_s,
            peers=not chosen.no_peers,
        )
        report = asyncio.run(run_scenario(run))
        print(report, flush=True)
        broken += bool(report.violations)
        if chosen.logs is not None:
            chosen.logs.mkdir(parents=True, exist_ok=True)
            for name, lines in report.logs.items():
                (chosen.logs / f"{seed}-{name}.log").write_text("\n".join(lines) + "\n")
    print(f"{chosen.seeds - broken} of {chosen.seeds} runs kept all rules")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
