"""Capacity at the size of the planned fleet: growth of costs, configuration changes, faults, and the data path.

    python -m benchmarks.capacity [--seed N] [--size small|machine|large] [--only slopes,change,faults,data]
                                  [--relays N] [--plot FILE.png] [--json]

The exit status is 1 if a limit is exceeded by a design that has to keep it; the output names the row.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from typing import Any

from benchmarks.capacity import configuration_changes, data_path, scaling
from benchmarks.common import argument_parser, print_result

PARTS = ("slopes", "change", "faults", "data")
MAX_FULL_MESH_RELAYS = 400


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argument_parser("Capacity at the size of the planned fleet.")
    parser.add_argument("--only", default=",".join(PARTS), help="parts, separated by commas: " + ", ".join(PARTS))
    parser.add_argument(
        "--relays", type=int, help=f"another size of the fleet; the full mesh is simulated up to {MAX_FULL_MESH_RELAYS}"
    )
    parser.add_argument("--plot", metavar="FILE.png", help="draw the figures with their fits")
    args = parser.parse_args(arguments)
    only = [part for part in args.only.split(",") if part]
    if unknown := [part for part in only if part not in PARTS]:
        parser.error(f"--only: unknown part {unknown[0]!r}, expected some of {', '.join(PARTS)}")
    if args.relays is not None and args.relays < 12:
        parser.error(f"--relays is {args.relays}: expected at least 12")
    started, failures, result = time.perf_counter(), list[str](), dict[str, Any]()
    if "slopes" in only:
        # The cost of a full mesh is quadratic: 400 relays take minutes of a core, 1,200 take an hour.
        fit_check_relays = min(args.relays, MAX_FULL_MESH_RELAYS) if args.relays else None
        result["slopes"] = scaling.run(args.seed, args.size, fit_check_relays, args.plot, failures)
    if "change" in only or "faults" in only:
        result["change"] = configuration_changes.run(args.seed, args.size, args.relays, failures, only)
    if "slopes" in result and "change" in only:
        configuration_changes.check_combined(result["slopes"], result["change"], failures)
    if "data" in only:
        result["data"] = data_path.run(args.seed, args.size, failures)
    return print_result(result, failures, started, args.json, args.seed, args.size)


if __name__ == "__main__":
    sys.exit(main())
