"""Graphite's plaintext protocol: one line a value."""

from __future__ import annotations

import re
from collections.abc import Mapping

UNFIT = re.compile(r"[^A-Za-z0-9_.\-]")


def plaintext(prefix: str, values: Mapping[str, float], when_s: float) -> bytes:
    """Returns the lines of all values under this prefix; when_s: seconds since 1970."""
    stamp = int(when_s)
    lines = [f"{UNFIT.sub('_', f'{prefix}.{name}')} {value:.10g} {stamp}\n" for name, value in values.items()]
    return "".join(lines).encode()
