"""Relays: real processes by the deploy file's `run`, with the shim loaded, steered by signals."""

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
from benchmarks.soak.shim import Field, Page
from benchmarks.soak.world import World

ROOT = Path(__file__).resolve().parents[2]
READY_S, ASK_S = 10.0, 0.05
STARVATION_INTERVAL_S = 0.025
LOG_BAD = ("Traceback (most recent call last)", " invariant ", "Exception in callback")
LOG_LINE = re.compile(r"\d\d:\d\d:\d\d\.\d\d\d [A-Z]+ ")  # what the relay's own lines begin with
ROWS_BEFORE, MAX_ROWS_AFTER = 20, 80


def failure_in(log: list[str]) -> Crash | None:
    """The first failure that a relay's log tells of: the whole traceback, and the lines before it."""
    for number, line in enumerate(log):
        if any(bad in line for bad in LOG_BAD):
            after = log[number + 1 : number + 1 + MAX_ROWS_AFTER]
            own = next((count for count, row in enumerate(after) if LOG_LINE.match(row)), len(after))
            return Crash(f"logged: {line[-300:]}", tuple(log[max(0, number - ROWS_BEFORE) : number + 1] + after[:own]))
    return None


def run_command() -> str:
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    return str(tomllib.loads(text)["run"])


async def watch_starvation(relays: list[Relay]) -> None:
    """Notes of each relay, again and again, for how long it was kept from a processor."""
    while True:
        for relay in relays:
            relay.note_starvation()
        await asyncio.sleep(STARVATION_INTERVAL_S)


class Relay:
    """One relay, as often as its process is started. planted: a defect of the soak's own build, for its tests."""

    def __init__(self, world: World, number: int, discovery: Discovery, planted: str) -> None:
        self.world, self.number, self.discovery, self.planted = world, number, discovery, planted
        self.name, self.life = f"r{number}", 0
        self.started_at: list[float] = []  # each life, in order
        self.address = world.port(number % 90)
        self.discoveries = [world.port(number % 90) for _ in range(2)]
        self.at = 0  # which of them the configuration names
        self.random = Random(f"relay {world.plan.seed} {number}")
        self.process: asyncio.subprocess.Process | None = None
        self.page: Page | None = None
        self.serves = self.ending = False
        self.told_to_end = 0.0
        self.open: dict[Request, Connection] = {}  # of the clients whose requests are not over
        self.longest_s = max(c["deadline_ms"] for c in world.plan.settings["categories"]) / 1000.0
        self.answers_last_s = min(self.longest_s, 3.0) + 0.3  # after SIGTERM, when it answers those who wait
        self.stepped_ms = world.plan.stepped_ms if number % 2 else 0
        self.known: dict[str, Any] | None = None
        self.stopped_at: float | None = None
        self.busy = asyncio.Lock()  # one signal's story at a time

    @property
    def instance(self) -> str:
        return f"{self.name}.{self.life}"

    def instance_at(self, at: float) -> str:
        """The process that listened at this time, though it may have ended since."""
        return f"{self.name}.{max(1, bisect_right(self.started_at, at))}"

    def takes(self, now: float, follow_s: float) -> bool:
        """Whether the front sends connections here."""
        return self.serves and (not self.ending or now < self.told_to_end + follow_s)

    def log_path(self) -> Path:
        return self.world.folder / f"{self.instance}.log"

    def write_config(self) -> Path:
        settings = self.world.plan.settings | {"zone": self.number % 2, "slot_no": self.number}
        if self.known is None or self.random.random() < 0.5:
            self.known = self.discovery.whole()
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.discoveries[self.at]),
            "seed": f"{self.world.plan.seed * 1000 + self.number * 10 + self.life:x}",
            "settings": settings,
            "known": self.known | {"revision": 1},
            "limits": {"sockets": self.world.plan.sockets},
        }
        path = self.world.folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(path)
        return path

    async def start(self) -> None:
        self.life += 1
        self.started_at.append(self.world.now() if self.life > 1 else 0.0)
        self.ending = False
        for address in self.discoveries:
            await self.discovery.open(address, self.instance)
        operator = self.world.folder / "operator.toml"
        operator.write_text('[log]\nlevel = "DEBUG"\n')
        env = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        env |= {"ROUTER_CONFIG": str(self.write_config()), "YARROWSPINDLE_OPERATOR": str(operator)}
        if self.world.library is not None:
            self.page = Page(self.world.folder / f"{self.instance}.page")
            self.page.set(Field.WALL_NS, self.stepped_ms * 1_000_000)
            env |= {
                "LD_PRELOAD": str(self.world.library),
                "SOAK_SHIM_PAGE": str(self.page.path),
                "SOAK_SHIM_FOLDER": str(self.world.folder / "kept"),
            }
        command = run_command()
        if self.planted:
            command = f"exec {sys.executable} -B -m benchmarks.soak.planted {self.planted}"
        with self.log_path().open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stderr=log, stdout=log
            )
        await self._ready()

    async def _ready(self) -> None:
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 1.0)
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"PONG\r\n":
                    self.serves = True
                    return
            await asyncio.sleep(ASK_S)
        self.world.oracle.crashes.append(Crash(f"{self.instance} is not ready after {READY_S:g} s"))

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        if self.alive and self.process is not None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def stop(self, for_s: float) -> None:
        """It stands still for so long."""
        async with self.busy:
            began, instance = self.world.now(), self.instance
            self.stopped_at = began
            self.send(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            self.send(signal.SIGCONT)
            self.stopped_at = None
            self.world.oracle.asleep.setdefault(instance, []).append((began, self.world.now()))

    def stopped_s(self) -> float:
        """For how long it has been stopped now; 0 where it goes on."""
        return self.world.now() - self.stopped_at if self.stopped_at is not None else 0.0

    async def kill(self) -> None:
        """Once the present hold, if any, is over."""
        async with self.busy:
            await self.kill_at_once()
            self._read_log()

    async def kill_at_once(self) -> None:
        """Nothing is owed to whoever is served then, nor to those who come as it dies."""
        self.serves = False
        self.world.oracle.killed.setdefault(self.instance, []).append(self.world.now())
        for request in self.open:
            request.broken_by_kill = True
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def has_ended(self) -> None:
        """After SIGTERM, whether by itself or killed: how it ended."""
        self.serves = False
        if self.process is not None and self.process.returncode not in (0, -signal.SIGKILL, None):
            self.world.oracle.crashes.append(Crash(f"{self.instance} ended with {self.process.returncode}"))
        self._read_log()

    def _read_log(self) -> None:
        failure = failure_in(self.log_path().read_text("utf-8", "replace").splitlines())
        if failure is not None:
            self.world.oracle.crashes.append(Crash(f"{self.instance} {failure.what}", failure.rows))

    def note_starvation(self) -> None:
        """Notes for how long the process has waited for a processor so far (the second figure of schedstat)."""
        if not self.alive or self.process is None:
            return
        with suppress(OSError, IndexError):  # it has ended just now
            figures = Path(f"/proc/{self.process.pid}/schedstat").read_text(encoding="ascii").split()
            self.world.oracle.starved.setdefault(self.instance, []).append((self.world.now(), int(figures[1]) / 1e9))

    def look(self) -> None:
        """Whether it has ended by itself."""
        if self.serves and not self.ending and not self.alive and not self.busy.locked():
            self.serves = False
            code = self.process.returncode if self.process is not None else None
            self.world.oracle.crashes.append(Crash(f"{self.instance} ended by itself with {code}"))
            self._read_log()
