"""What all parties of a run share: its clock, its oracle, its random numbers, and addresses that nobody else has."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path
from random import Random

from benchmarks.soak.oracle import Oracle
from benchmarks.soak.plan import Plan

LAG_SAMPLE_S, MIN_LAG_S = 0.005, 0.01
LINE_END = b"\r\n"
FIRST_PORT = 20_000


class RunContext:
    def __init__(self, plan: Plan, folder: Path, shim_library: Path | None) -> None:
        self.plan, self.folder, self.shim_library = plan, folder, shim_library
        self.started_at = time.monotonic()
        self.oracle = Oracle(plan.settings["obligations"]["drain_grace_ms"] / 1000.0)
        self.random = Random(f"world {plan.seed}")
        self.network = f"127.{60 + os.getpid() % 60}.{1 + os.getpid() // 60 % 200}"
        self.tasks: set[asyncio.Task[None]] = set()
        self.ports_used = 0

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def allocate_address(self, host: int) -> tuple[str, int]:
        """An address of the run's own part of loopback, below the ports that Linux gives out by itself."""
        self.ports_used += 1
        return f"{self.network}.{1 + host}", FIRST_PORT + self.ports_used

    def start_task(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            assert error is not None
            raise error

    async def watch_loop_lag(self) -> None:
        """How late this process is itself: the oracle cannot judge closer than that."""
        while True:
            due = time.monotonic() + LAG_SAMPLE_S
            await asyncio.sleep(LAG_SAMPLE_S)
            late = time.monotonic() - due
            if late >= MIN_LAG_S:
                self.oracle.loop_lags.append((self.now(), late))
