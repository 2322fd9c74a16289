"""Relays: real processes, started by the `run` command of the deploy file with the shim preloaded."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import time
import tomllib
from bisect import bisect_right
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.soak.connection import Connection
from benchmarks.soak.discovery import Discovery
from benchmarks.soak.oracle import Crash, Request
from benchmarks.soak.run_context import RunContext
from benchmarks.soak.shim import Field, Page

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S, READY_POLL_S = 10.0, 0.05
LISTENING_LOG_MARK = b" serves at "
CPU_WAIT_SAMPLE_S = 0.025
FAILURE_MARKS = ("Traceback (most recent call last)", " invariant ", "Exception in callback")
LOG_LINE_START = re.compile(r"\d\d:\d\d:\d\d\.\d\d\d [A-Z]+ ")  # start of each line that the relay logs itself
LINES_BEFORE, MAX_LINES_AFTER = 20, 80


def find_failure(log: list[str]) -> Crash | None:
    """Return the first failure in a relay's log, with its whole traceback and the lines before it, or None."""
    for number, line in enumerate(log):
        if any(mark in line for mark in FAILURE_MARKS):
            after = log[number + 1 : number + 1 + MAX_LINES_AFTER]
            traceback_lines = next(
                (count for count, following in enumerate(after) if LOG_LINE_START.match(following)), len(after)
            )
            return Crash(
                f"logged: {line[-300:]}",
                tuple(log[max(0, number - LINES_BEFORE) : number + 1] + after[:traceback_lines]),
            )
    return None


def run_command() -> str:
    """Return the command that starts a relay, from the deploy file."""
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    return str(tomllib.loads(text)["run"])


async def watch_cpu_waits(relays: list[Relay]) -> None:
    """Sample at intervals how long each relay has waited for a CPU."""
    while True:
        for relay in relays:
            relay.record_cpu_wait()
        await asyncio.sleep(CPU_WAIT_SAMPLE_S)


class Relay:
    """One relay over all incarnations of its process.

    Args:
        context: the shared state of the run.
        number: the relay's number.
        discovery: the discovery service that the relay asks.
        planted: the name of a defect to plant in it (see `planted.py`); empty for none.
        address: where clients connect; None: an unused address.

    Attributes:
        start_times: the start of each incarnation.
        upgrading: a second process of this relay starts or has just started.
        replaced_by: the second process of the same relay, which started beside this one.
        ready_at: when the process that started beside another one began to listen.
        serving: the relay has answered a PING since its start, and its process was not ended since.
        sigterm_at: when SIGTERM was sent.
        open_requests: the clients' connections by unfinished request.
        final_answers_s: seconds from SIGTERM until the relay answers the requests that still wait.
        signal_lock: held for the duration of a suspension or a kill.
    """

    def __init__(
        self,
        context: RunContext,
        number: int,
        discovery: Discovery,
        planted: str,
        address: tuple[str, int] | None = None,
    ) -> None:
        self.context, self.number, self.discovery, self.planted = context, number, discovery, planted
        self.name, self.incarnation = f"r{number}", 0
        self.start_times: list[float] = []
        self.config_name = self.name
        self.address = address or context.allocate_address(number % 90)
        self.upgrading = False
        self.replaced_by: Relay | None = None
        self.ready_at: float | None = None
        self.discovery_addresses = [context.allocate_address(number % 90) for _ in range(2)]
        self.discovery_index = 0  # of the address that the configuration names
        self.random = Random(f"relay {context.plan.seed} {number}")
        self.process: asyncio.subprocess.Process | None = None
        self.page: Page | None = None
        self.serving = self.shutting_down = False
        self.sigterm_at = 0.0
        self.open_requests: dict[Request, Connection] = {}
        self.max_deadline_s = (
            max(request_class["deadline_ms"] for request_class in context.plan.settings["categories"]) / 1000.0
        )
        self.final_answers_s = min(self.max_deadline_s, 3.0) + 0.3
        self.clock_step_ms = context.plan.clock_step_ms if number % 2 else 0
        self.initial_endpoints: dict[str, Any] | None = None
        self.suspended_at: float | None = None
        self.signal_lock = asyncio.Lock()

    @property
    def instance(self) -> str:
        """The name of the present process."""
        return f"{self.name}.{self.incarnation}"

    def instance_at(self, at: float) -> str:
        """Return the name of the process that was listening at this time; it may have ended since."""
        return f"{self.name}.{max(1, bisect_right(self.start_times, at))}"

    def accepts_connections(self, now: float, front_delay_s: float) -> bool:
        """Return whether the front sends connections to this relay; it stops `front_delay_s` after SIGTERM."""
        return self.serving and (not self.shutting_down or now < self.sigterm_at + front_delay_s)

    def log_path(self) -> Path:
        """Return the log file of the present process."""
        return self.context.folder / f"{self.instance}.log"

    def write_config(self) -> Path:
        """Replace the relay's configuration file with the present settings, and return its path."""
        settings = self.context.plan.settings | {"zone": self.number % 2, "slot_no": self.number}
        if self.initial_endpoints is None or self.random.random() < 0.5:
            self.initial_endpoints = self.discovery.snapshot()
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.discovery_addresses[self.discovery_index]),
            "seed": f"{self.context.plan.seed * 1000 + self.number * 10 + self.incarnation:x}",
            "settings": settings,
            "known": self.initial_endpoints | {"revision": 1},
            "limits": {"sockets": self.context.plan.descriptors},
        }
        path = self.context.folder / f"{self.config_name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(path)
        return path

    def create_successor(self) -> Relay:
        """Return a second process of this relay, with discovery addresses and a configuration file of its own."""
        successor = Relay(self.context, self.number, self.discovery, self.planted, self.address)
        successor.incarnation, successor.start_times = self.incarnation, list(self.start_times)
        successor.config_name = f"{self.name}-{self.incarnation + 1}"
        successor.initial_endpoints = self.initial_endpoints
        successor.clock_step_ms = self.clock_step_ms
        successor.upgrading = True
        self.replaced_by = successor
        return successor

    async def start(self, beside: bool = False) -> None:
        """Start the process, and wait until it serves; a failure to do so is recorded.

        beside: another process of the relay serves at the same address, and would answer a PING.
        """
        self.incarnation += 1
        self.start_times.append(self.context.now() if self.incarnation > 1 else 0.0)
        self.shutting_down = False
        for address in self.discovery_addresses:
            await self.discovery.open(address, self.instance)
        operator = self.context.folder / "operator.toml"
        operator.write_text('[log]\nlevel = "DEBUG"\n')
        env = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        env |= {"ROUTER_CONFIG": str(self.write_config()), "YARROWSPINDLE_OPERATOR": str(operator)}
        env["TMPDIR"] = str(self.context.folder)  # kept over restarts, and common to the processes of an upgrade
        if self.context.shim_library is not None:
            self.page = Page(self.context.folder / f"{self.instance}.page")
            self.page.set(Field.WALL_NS, self.clock_step_ms * 1_000_000)
            env |= {
                "LD_PRELOAD": str(self.context.shim_library),
                "SOAK_SHIM_PAGE": str(self.page.path),
                "SOAK_SHIM_FOLDER": str(self.context.folder / "kept"),
            }
        command = run_command()
        if self.planted:
            command = f"exec {sys.executable} -B -m benchmarks.soak.planted {self.planted}"
        with self.log_path().open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stderr=log, stdout=log
            )
        await (self._wait_until_listening() if beside else self._wait_until_ready())

    async def _wait_until_listening(self) -> None:
        """Wait until the log shows that the process listens; record a failure if not within READY_TIMEOUT_S."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until and self.alive:
            if LISTENING_LOG_MARK in self.log_path().read_bytes():
                self.serving, self.ready_at = True, self.context.now()
                return
            await asyncio.sleep(READY_POLL_S)
        if self.alive:
            self.context.oracle.crashes.append(Crash(f"{self.instance} did not listen within {READY_TIMEOUT_S:g} s"))

    async def _wait_until_ready(self) -> None:
        """Wait until the relay answers PING; record a failure if it does not within READY_TIMEOUT_S."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 1.0)
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"PONG\r\n":
                    self.serving = True
                    return
            await asyncio.sleep(READY_POLL_S)
        self.context.oracle.crashes.append(Crash(f"{self.instance} did not answer PING within {READY_TIMEOUT_S:g} s"))

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.alive and self.process is not None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    async def suspend(self, duration_s: float) -> None:
        """Suspend the process for this time, and record the span."""
        async with self.signal_lock:
            began, instance = self.context.now(), self.instance
            self.suspended_at = began
            self.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self.send_signal(signal.SIGCONT)
            self.suspended_at = None
            self.context.oracle.suspensions.setdefault(instance, []).append((began, self.context.now()))

    def suspended_s(self) -> float:
        """Return for how many seconds the process has been suspended; 0 if it is running."""
        return self.context.now() - self.suspended_at if self.suspended_at is not None else 0.0

    async def kill(self) -> None:
        """Kill the process after any suspension in progress has ended, and check its log."""
        async with self.signal_lock:
            await self.kill_at_once()
            self._read_log()

    async def kill_at_once(self) -> None:
        """Kill the process, and wait for its exit.

        No violation is counted for the requests that are open then, nor for those that arrive while it dies.
        """
        self.serving = False
        self.context.oracle.kills.setdefault(self.instance, []).append(self.context.now())
        for request in self.open_requests:
            request.relay_killed = True
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def record_exit(self) -> None:
        """Check the exit code and the log of a process that has ended after SIGTERM, by itself or by SIGKILL."""
        self.serving = False
        if self.process is not None and self.process.returncode not in (0, -signal.SIGKILL, None):
            self.context.oracle.crashes.append(
                Crash(f"{self.instance} ended with exit status {self.process.returncode} after SIGTERM")
            )
        self._read_log()

    def _read_log(self) -> None:
        """Record a failure that the log of the present process shows."""
        failure = find_failure(self.log_path().read_text("utf-8", "replace").splitlines())
        if failure is not None:
            self.context.oracle.crashes.append(Crash(f"{self.instance} {failure.description}", failure.log_lines))

    def record_cpu_wait(self) -> None:
        """Record for how long the process has waited for a CPU in total (the second field of schedstat)."""
        if not self.alive or self.process is None:
            return
        with suppress(OSError, IndexError):  # the process has just ended
            fields = Path(f"/proc/{self.process.pid}/schedstat").read_text(encoding="ascii").split()
            self.context.oracle.cpu_waits.setdefault(self.instance, []).append(
                (self.context.now(), int(fields[1]) / 1e9)
            )

    def check_unexpected_exit(self) -> None:
        """Record a failure if the process has ended without a signal of the soak."""
        if self.serving and not self.shutting_down and not self.alive and not self.signal_lock.locked():
            self.serving = False
            code = self.process.returncode if self.process is not None else None
            self.context.oracle.crashes.append(Crash(f"{self.instance} ended unexpectedly with exit status {code}"))
            self._read_log()
