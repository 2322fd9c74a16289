"""Measures the event-loop lag of a process, which limits the accuracy of the times that the process measures."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

INTERVAL_S = 0.01


async def measure_lag(report: Callable[[float], None]) -> None:
    """Call `report` after each interval with the seconds by which the event loop woke up late."""
    while True:
        due = time.monotonic() + INTERVAL_S
        await asyncio.sleep(INTERVAL_S)
        report(max(0.0, time.monotonic() - due))
