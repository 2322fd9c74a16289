"""Shared by all benchmarks: options, the machine's size, and the last line as JSON."""

from __future__ import annotations

import argparse
import json
import os
import time
from collections.abc import Mapping
from typing import Any

SIZES = ("small", "machine", "large")


def argument_parser(description: str) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1, help="any whole number")
    parser.add_argument("--size", choices=SIZES, default="small")
    parser.add_argument("--json", action="store_true", help="print the result as one JSON object on the last line")
    return parser


def machine_size() -> dict[str, int]:
    memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return {"cores": len(os.sched_getaffinity(0)), "memory_mb": memory_bytes >> 20}


def print_result(
    result: Mapping[str, Any], failures: list[str], started: float, as_json: bool, seed: int, size: str
) -> int:
    """Print the failures and the JSON line; return the exit status, 1 if there are failures."""
    for failure in failures:
        print(f"BROKEN: {failure}")
    output = dict(result) | {"seed": seed, "size": size} | machine_size()
    output["took_s"] = round(time.perf_counter() - started, 1)
    print(f"{output['cores']} cores, {output['memory_mb']} MB, took {output['took_s']} s")
    if as_json:
        print(json.dumps(output))
    return 1 if failures else 0
