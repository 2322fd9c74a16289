"""One seed's run: all parties, the troubles at their times, and the judgement."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from benchmarks.soak import ending, shim
from benchmarks.soak.arrivals import note_arrivals
from benchmarks.soak.backends import Backend
from benchmarks.soak.clients import Clients
from benchmarks.soak.crowd import Crowd
from benchmarks.soak.discovery import Discovery
from benchmarks.soak.oracle import Budget, Rule, Violation
from benchmarks.soak.plan import Plan, Trouble
from benchmarks.soak.relays import Relay, watch_starvation
from benchmarks.soak.shim import Field
from benchmarks.soak.world import World

PART = 0.5  # of the backends that a trouble befalls
MAX_SHOWN = 12


@dataclass(slots=True)
class Report:
    """What came of one seed."""

    plan: Plan
    requests: int = 0
    attempts: int = 0
    answered: int = 0
    served: int = 0
    retried: int = 0
    worst_lag_s: float = 0.0
    violations: list[Violation] = field(default_factory=list)
    timelines: dict[str, list[str]] = field(default_factory=dict)

    def lines(self) -> list[str]:
        plan = self.plan
        crowd = "a crowd, " if plan.sockets else ""
        head = (
            f"seed {plan.seed}: {crowd}{plan.relays} relays, {plan.backends} backends, {self.requests} requests, "
            f"{self.attempts} attempts, {self.retried} retried, {self.served} served, "
            f"{self.answered} answered, late by {1000 * self.worst_lag_s:.0f} ms at most"
        )
        found = [head] + [f"  {trouble}" for trouble in plan.troubles]
        for violation in self.violations[:MAX_SHOWN]:
            found.append(f"  VIOLATION {violation.rule.value} {violation.request}: {violation.what}")
            found += [f"      {row}" for row in (*violation.rows, *self.timelines.get(violation.request, []))]
        if len(self.violations) > MAX_SHOWN:
            found.append(f"  and {len(self.violations) - MAX_SHOWN} more violations")
        return found


class Play:
    def __init__(self, plan: Plan, folder: Path, library: Path | None, planted: str = "") -> None:
        self.plan, self.planted = plan, planted
        self.over = False  # whether nothing starts any more
        self.world = World(plan, folder, library)
        self.backends = [Backend(self.world, number) for number in range(plan.backends)]
        self.discovery = Discovery(self.world, self.backends)
        self.relays = [Relay(self.world, number, self.discovery, planted) for number in range(plan.relays)]
        self.clients = Clients(self.world, self.relays)
        self.handlers: dict[str, Callable[[Trouble, Random], Awaitable[None]]] = {
            "term": self._term,
            "hup": self._hup,
            "kill": self._kill,
            "stop": self._stop,
            "freeze": self._freeze,
            "clock": self._clock,
            "calls": self._calls,
            "pieces": self._pieces,
            "refuse": self._behave,
            "break": self._behave,
            "hang": self._behave,
            "crash": self._crash,
            "full": self._full,
            "wire": self._wire,
            "drain": self._drain,
            "list": self._list,
            "leave": self._leave,
            "rude": self._rude,
        }

    async def run(self) -> Report:
        with socket.socket() as noting:
            note_arrivals(noting)  # while the relays start, so that it is in force for the first client
            return await self._run()

    async def _run(self) -> Report:
        world = self.world
        world.start(world.watch_lag())
        for backend in self.backends:
            await backend.open()
        await asyncio.gather(*(relay.start() for relay in self.relays))
        world.started = time.monotonic()
        world.oracle.lags.clear()
        world.oracle.told.clear()
        world.start(watch_starvation(self.relays))
        world.start(self.clients.run())
        if self.plan.sockets:
            world.start(Crowd(world, self.relays).run())
        troubles = [asyncio.ensure_future(self._trouble(trouble)) for trouble in self.plan.troubles]
        await asyncio.sleep(self.plan.seconds)
        self.over = True
        await asyncio.wait_for(asyncio.gather(*troubles), 30.0)
        for relay in self.relays:
            relay.look()
        # The clients go on until the last relay is gone.
        await asyncio.gather(*(ending.end(relay) for relay in self.relays if relay.alive and not relay.ending))
        self.clients.stopped = True
        for relay in self.relays:
            for connection in list(relay.open.values()):
                connection.read()
        until = world.now()
        for task in list(world.tasks):
            task.cancel()
        return self._report(until)

    def _report(self, until: float) -> Report:
        oracle, obligations = self.world.oracle, self.plan.settings["obligations"]
        attempts = [attempt for made in oracle.attempts.values() for attempt in made]
        warm = self.plan.per_relay_s * self.plan.relays / len(self.backends)
        budget = Budget(
            obligations["cold_ms"] / 1000.0,
            obligations["cold_share"],
            obligations["fall_multiple"],
            obligations["fall_ms"] / 1000.0,
            2.0 * warm,
        )
        found = oracle.judge(until, budget)
        first = [request.answers[0][1] for request in oracle.requests.values() if request.answers]
        report = Report(
            self.plan,
            self.clients.asked,
            len(attempts),
            len(first),
            first.count("UP"),
            sum(1 for made in oracle.attempts.values() if len(made) > 1),
            max((late for _, late in oracle.lags), default=0.0),
            found,
        )
        report.timelines = {v.request: oracle.timeline(v.request) for v in found if v.request}
        for name in list(report.timelines)[:MAX_SHOWN]:
            self._add_log(name, report)
        return report

    def _add_log(self, name: str, report: Report) -> None:
        """The relay's own lines on the request, and on its client where no request of it came."""
        request = self.world.oracle.requests[name]
        path, client = self.world.folder / f"{request.relay}.log", f"idle client {request.client} "
        if path.exists():
            log = path.read_text("utf-8", "replace").splitlines()
            named = [line for line in log if name in line or client in line]
            report.timelines[name] += [f"log {line}" for line in named]

    # --- troubles ---------------------------------------------------------------------------------

    async def _trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, trouble.at_s - self.world.now()))
        await self.handlers[trouble.word](trouble, Random(trouble.number))

    async def _rest(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, trouble.ends_s - self.world.now()))

    def _some_relays(self, random: Random, most: int) -> list[Relay]:
        serving = [relay for relay in self.relays if relay.serves and not relay.ending]
        return random.sample(serving, min(len(serving), random.randint(1, most)))

    def _some_backends(self, random: Random, part: float = PART) -> list[Backend]:
        return random.sample(self.backends, max(1, int(part * len(self.backends))))

    async def _term(self, trouble: Trouble, random: Random) -> None:
        async def restart(relay: Relay) -> None:
            await asyncio.sleep(random.uniform(0.0, 0.3))
            if relay.ending or not relay.alive:
                return
            relay.ending = True
            await ending.end(relay)
            await asyncio.sleep(random.uniform(0.0, 0.5))
            if not self.over:
                await relay.start()

        await asyncio.gather(*(restart(relay) for relay in self._some_relays(random, max(2, len(self.relays) // 3))))

    async def _kill(self, trouble: Trouble, random: Random) -> None:
        async def restart(relay: Relay) -> None:
            if relay.ending or not relay.alive:
                return
            relay.ending = True
            await relay.kill()
            await asyncio.sleep(random.uniform(0.1, 0.6))
            await relay.start()

        await asyncio.gather(*(restart(relay) for relay in self._some_relays(random, 2)))

    async def _hup(self, trouble: Trouble, random: Random) -> None:
        series = Random(f"series {trouble.number}")
        while self.world.now() < trouble.ends_s:
            for relay in self._some_relays(random, len(self.relays)):
                if random.random() < 0.5:
                    relay.at = 1 - relay.at
                path = relay.write_config()
                if random.random() < 0.3:
                    text = path.read_text()
                    path.write_text(text[: random.randrange(len(text))])
                    relay.send(signal.SIGHUP)
                    await asyncio.sleep(0.02)
                    path.write_text(text)
                relay.send(signal.SIGHUP)
                for _ in range(series.choice((0, 0, 1, 3))):
                    await asyncio.sleep(series.choice((0.0, 0.005, 0.03)))
                    relay.send(signal.SIGHUP)
            await asyncio.sleep(random.uniform(0.1, 0.8))

    async def _stop(self, trouble: Trouble, random: Random) -> None:
        async def again(relay: Relay) -> None:
            while self.world.now() < trouble.ends_s and relay.alive and not relay.ending:
                await relay.stop(random.uniform(0.02, 0.14))
                # Often so soon that what came meanwhile is just being sent on.
                await asyncio.sleep(random.choice((random.uniform(0.0005, 0.01), random.uniform(0.01, 0.08))))

        await asyncio.gather(*(again(relay) for relay in self._some_relays(random, len(self.relays))))

    async def _freeze(self, trouble: Trouble, random: Random) -> None:
        relays = self._some_relays(random, max(2, len(self.relays) // 2))
        await asyncio.gather(*(relay.stop(random.uniform(0.3, 1.5)) for relay in relays))

    async def _clock(self, trouble: Trouble, random: Random) -> None:
        for relay in self._some_relays(random, len(self.relays)):
            relay.stepped_ms = random.choice((-3_600_000, 3_600_000, -5000, 5000, 0, 700))
            if relay.page is not None:
                relay.page.set(Field.WALL_NS, relay.stepped_ms * 1_000_000)
        await self._restart_some(trouble, random, crash=False)

    async def _calls(self, trouble: Trouble, random: Random) -> None:
        relays = self._some_relays(random, len(self.relays))
        for relay in relays:
            if relay.page is not None:
                share = random.choice((100, 300, 700))
                relay.page.fail(Field.ACCEPT_ERRNO, Field.ACCEPT_PERMILLE, random.choice(shim.ACCEPT_ERRORS), share)
                relay.page.fail(
                    Field.SOCKET_ERRNO, Field.SOCKET_PERMILLE, random.choice(shim.SOCKET_ERRORS), share // 3
                )
                relay.page.fail(
                    Field.CONNECT_ERRNO, Field.CONNECT_PERMILLE, random.choice(shim.CONNECT_ERRORS), share // 2
                )
        await self._calm(trouble, relays)

    async def _pieces(self, trouble: Trouble, random: Random) -> None:
        relays = self._some_relays(random, len(self.relays))
        self.clients.piecewise += 0.5
        for relay in relays:
            if relay.page is not None:
                relay.page.set(Field.SHORT_READ_PERMILLE, random.choice((200, 600)))
                relay.page.set(Field.SHORT_WRITE_PERMILLE, random.choice((200, 600)))
                relay.page.set(Field.EINTR_PERMILLE, random.choice((0, 100)))
        await self._calm(trouble, relays)
        self.clients.piecewise -= 0.5

    async def _calm(self, trouble: Trouble, relays: list[Relay]) -> None:
        pages = [relay.page for relay in relays]
        await self._rest(trouble)
        for page in pages:
            if page is not None:
                page.calm()

    async def _behave(self, trouble: Trouble, random: Random) -> None:
        some = self._some_backends(random, random.choice((PART, 0.9)))
        for backend in some:
            backend.behaviour = trouble.word
        await self._rest(trouble)
        for backend in some:
            backend.behaviour = ""

    async def _wire(self, trouble: Trouble, random: Random) -> None:
        some = self._some_backends(random)
        for backend in some:
            backend.wire = random.choice(("cut", "late", "reset", "reset late", "pieces"))
        await self._rest(trouble)
        for backend in some:
            backend.wire = ""

    async def _full(self, trouble: Trouble, random: Random) -> None:
        some = self._some_backends(random)
        for backend in some:
            backend.fill()
        await asyncio.sleep(min(trouble.for_s, random.uniform(0.2, 1.2)))
        for backend in some:
            await backend.empty()

    async def _crash(self, trouble: Trouble, random: Random) -> None:
        await self._restart_some(trouble, random, crash=True)

    async def _restart_some(self, trouble: Trouble, random: Random, crash: bool) -> None:
        """Backends end, and come back under a new start; discovery tells the new start once they are there."""
        some = [backend for backend in self._some_backends(random, 0.25) if backend.phase == "ready"]
        for backend in some:
            backend.crash()
        await asyncio.sleep(random.uniform(0.0, 0.4) if crash else 0.02)
        for backend in some:
            await backend.start_anew()
            self.discovery.change(backend, "ready")
        await self._rest(trouble)

    async def _drain(self, trouble: Trouble, random: Random) -> None:
        some = [backend for backend in self._some_backends(random, 0.3) if backend.phase == "ready"]
        for backend in some:
            self.discovery.change(backend, "draining")
        await asyncio.sleep(trouble.for_s * 0.4)
        for backend in some:
            if random.random() < 0.6:
                self.discovery.change(backend, "gone")
                backend.crash()
        await asyncio.sleep(trouble.for_s * 0.3)
        for backend in some:
            if backend.phase == "gone":
                await backend.start_anew()
            self.discovery.change(backend, "ready")

    async def _list(self, trouble: Trouble, random: Random) -> None:
        kind = random.choice(("down", "refuse", "slow", "hang", "hush", "break"))
        if kind == "down":
            self.discovery.go_down()
        elif kind == "hush":
            self.discovery.hush()
        else:
            self.discovery.behaviour = "" if kind == "break" else kind
            self.discovery.break_watches()
            if self.discovery.pushed and kind != "break":
                # An agent that answers nobody has nothing that counts as told: as while discovery is down.
                self.discovery.down_since = self.world.now()
        began = self.world.now()
        await self._rest(trouble)
        await self.discovery.come_back()
        if kind in ("refuse", "slow", "hang"):
            self.world.oracle.down.append((began, self.world.now()))

    async def _leave(self, trouble: Trouble, random: Random) -> None:
        self.clients.leaving += 0.4
        await self._rest(trouble)
        self.clients.leaving -= 0.4

    async def _rude(self, trouble: Trouble, random: Random) -> None:
        self.clients.rude += 0.3
        await self._rest(trouble)
        self.clients.rude -= 0.3


async def play(plan: Plan, folder: Path, library: Path | None, planted: str = "") -> Report:
    """Plays a plan with its logs in the folder; all processes are ended whatever happens."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.json").write_text(
        json.dumps({"settings": plan.settings, "troubles": [str(t) for t in plan.troubles]})
    )
    whole = Play(plan, folder, library, planted)
    try:
        return await whole.run()
    finally:
        for relay in whole.relays:
            relay.send(signal.SIGCONT)
            relay.send(signal.SIGKILL)
        for task in list(whole.world.tasks):
            task.cancel()
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(0)


RULES = tuple(rule.value for rule in Rule)
