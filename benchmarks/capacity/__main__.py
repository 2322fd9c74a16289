"""Capacity at the fleet ahead: what grows how, what a change costs, what faults do, what one relay carries.

    python -m benchmarks.capacity [--seed N] [--size small|machine|large] [--only slopes,change,faults,data]
                                  [--relays N] [--plot FILE.png] [--json]

Exit status 1 with the row named where an allowance is missed by what is said to carry it.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from typing import Any

from benchmarks.capacity import configuration_changes as change
from benchmarks.capacity import data_path as data
from benchmarks.capacity import scaling as slopes
from benchmarks.common import finish, options

PARTS = ("slopes", "change", "faults", "data")
MAX_EACH = 400  # relays


def main(arguments: Sequence[str] | None = None) -> int:
    parser = options("Capacity at the fleet ahead.")
    parser.add_argument("--only", default=",".join(PARTS), help="parts, with commas between: " + ", ".join(PARTS))
    parser.add_argument("--relays", type=int, help=f"another fleet; each to all is played up to {MAX_EACH}")
    parser.add_argument("--plot", metavar="FILE.png", help="draw the slopes with their fits")
    chosen = parser.parse_args(arguments)
    only = [part for part in chosen.only.split(",") if part]
    if unknown := [part for part in only if part not in PARTS]:
        parser.error(f"{unknown[0]} is no part; these are: {', '.join(PARTS)}")
    if chosen.relays is not None and chosen.relays < 12:
        parser.error("a fleet has 12 relays at least")
    started, broken, result = time.perf_counter(), list[str](), dict[str, Any]()
    if "slopes" in only:
        # Each to all costs the square: 400 relays take minutes of a core, 1,200 an hour.
        checked = min(chosen.relays, MAX_EACH) if chosen.relays else None
        result["slopes"] = slopes.run(chosen.seed, chosen.size, checked, chosen.plot, broken)
    if "change" in only or "faults" in only:
        result["change"] = change.run(chosen.seed, chosen.size, chosen.relays, broken, only)
    if "slopes" in result and "change" in only:
        change.together(result["slopes"], result["change"], broken)
    if "data" in only:
        result["data"] = data.run(chosen.seed, chosen.size, broken)
    return finish(result, broken, started, chosen.json, chosen.seed, chosen.size)


if __name__ == "__main__":
    sys.exit(main())
