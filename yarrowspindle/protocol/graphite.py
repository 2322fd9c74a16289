"""Graphite's plaintext protocol: one line per value."""

from __future__ import annotations

import re
from collections.abc import Mapping

INVALID_CHARACTERS = re.compile(r"[^A-Za-z0-9_.\-]")


def plaintext(prefix: str, values: Mapping[str, float], time_s: float) -> bytes:
    """Return the lines of all values, with `prefix` before each name; `time_s` is a Unix time in seconds."""
    stamp = int(time_s)
    lines = [
        f"{INVALID_CHARACTERS.sub('_', f'{prefix}.{name}')} {value:.10g} {stamp}\n" for name, value in values.items()
    ]
    return "".join(lines).encode()
