"""State that all parts of a run share: plan, clock, oracle, background tasks, and unique loopback addresses."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path
from random import Random

from benchmarks.soak.oracle import Oracle
from benchmarks.soak.plan import Plan

LAG_SAMPLE_S, MIN_LAG_S = 0.005, 0.01  # interval of the samples; shorter delays are not recorded
LINE_END = b"\r\n"
FIRST_PORT = 20_000


class RunContext:
    """Shared state of one run.

    Args:
        plan: the plan of the run.
        folder: the directory for configurations and logs.
        shim_library: the shared library of the system-call shim; None if it could not be built.
    """

    def __init__(self, plan: Plan, folder: Path, shim_library: Path | None) -> None:
        self.plan, self.folder, self.shim_library = plan, folder, shim_library
        self.started_at = time.monotonic()
        self.oracle = Oracle(plan.settings["obligations"]["drain_grace_ms"] / 1000.0)
        self.random = Random(f"world {plan.seed}")
        self.network = f"127.{60 + os.getpid() % 60}.{1 + os.getpid() // 60 % 200}"
        self.tasks: set[asyncio.Task[None]] = set()
        self.ports_used = 0

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def allocate_address(self, host: int) -> tuple[str, int]:
        """Return an unused address on a loopback network of this process.

        The ports are below Linux's range of ephemeral ports.
        """
        self.ports_used += 1
        return f"{self.network}.{1 + host}", FIRST_PORT + self.ports_used

    def start_task(self, coroutine: object) -> None:
        """Run a coroutine in the background; an exception of it is raised in the event loop."""
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
        """Record by how much the event loop of this process is late; the report states the worst value."""
        while True:
            due = time.monotonic() + LAG_SAMPLE_S
            await asyncio.sleep(LAG_SAMPLE_S)
            late = time.monotonic() - due
            if late >= MIN_LAG_S:
                self.oracle.loop_lags.append((self.now(), late))
