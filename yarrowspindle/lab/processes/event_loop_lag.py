"""How late a process of stand-ins is itself: what it measures of others cannot be told closer than that."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

INTERVAL_S = 0.01


async def measure_lag(report: Callable[[float], None]) -> None:
    """Reports by how many seconds each of the event loop's short sleeps was late."""
    while True:
        due = time.monotonic() + INTERVAL_S
        await asyncio.sleep(INTERVAL_S)
        report(max(0.0, time.monotonic() - due))
