"""The run of one seed: starts all parts, injects the faults at their times, and reports the oracle's judgement."""

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

from benchmarks.soak import relay_shutdown, shim, upgrade
from benchmarks.soak.backends import Backend
from benchmarks.soak.clients import Clients
from benchmarks.soak.discovery import Discovery
from benchmarks.soak.idle_clients import IdleClients
from benchmarks.soak.kernel_timestamps import enable_receive_timestamps
from benchmarks.soak.oracle import Rule, SlowStartBudget, Violation
from benchmarks.soak.plan import UPGRADE, Fault, Plan
from benchmarks.soak.relays import Relay, watch_cpu_waits
from benchmarks.soak.run_context import RunContext
from benchmarks.soak.shim import Field

AFFECTED_SHARE = 0.5  # fraction of the backends that a fault affects
MAX_SHOWN = 12  # violations, and relay logs, in the report


@dataclass(slots=True)
class Report:
    """The results of one seed."""

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
        """Return the report as lines of text."""
        plan = self.plan
        idle_clients = "with idle clients, " if plan.descriptors else ""
        summary = (
            f"seed {plan.seed}: {idle_clients}{plan.relays} relays, {plan.backends} backends, "
            f"{self.requests} requests, {self.attempts} attempts, {self.retried} retried, {self.served} served, "
            f"{self.answered} answered, event loop late by {1000 * self.worst_lag_s:.0f} ms at most"
        )
        lines = [summary] + [f"  {fault}" for fault in plan.faults]
        for violation in self.violations[:MAX_SHOWN]:
            lines.append(f"  VIOLATION {violation.rule.value} {violation.request}: {violation.description}")
            lines += [f"      {row}" for row in (*violation.details, *self.timelines.get(violation.request, []))]
        if len(self.violations) > MAX_SHOWN:
            lines.append(f"  and {len(self.violations) - MAX_SHOWN} more violations")
        return lines


class SeedRun:
    """All parts of one run, and a handler for each kind of fault; `plan.FAULTS` describes the kinds.

    Attributes:
        finished: whether the run has ended; relays are not restarted afterwards.
    """

    def __init__(self, plan: Plan, folder: Path, shim_library: Path | None, planted: str = "") -> None:
        self.plan, self.planted = plan, planted
        self.finished = False
        self.context = RunContext(plan, folder, shim_library)
        self.backends = [Backend(self.context, number) for number in range(plan.backends)]
        self.discovery = Discovery(self.context, self.backends)
        self.relays = [Relay(self.context, number, self.discovery, planted) for number in range(plan.relays)]
        self.retired: list[Relay] = []  # processes that a second one has replaced
        self.clients = Clients(self.context, self.relays)
        self.handlers: dict[str, Callable[[Fault, Random], Awaitable[None]]] = {
            "term": self._term,
            "hup": self._hup,
            "kill": self._kill,
            "stop": self._stop,
            "freeze": self._freeze,
            "clock": self._clock,
            "calls": self._calls,
            "pieces": self._pieces,
            "refuse": self._misbehave,
            "break": self._misbehave,
            "hang": self._misbehave,
            "crash": self._crash,
            "full": self._full,
            "wire": self._wire,
            "drain": self._drain,
            "list": self._list,
            "leave": self._leave,
            "rude": self._rude,
            UPGRADE: lambda fault, random: upgrade.upgrade_relays(self, random),
        }

    async def run(self) -> Report:
        """Run the plan, and return its report."""
        with socket.socket() as timestamping:
            # The kernel starts to take timestamps with a delay: enabled now, they are in force for the first client.
            enable_receive_timestamps(timestamping)
            return await self._run()

    async def _run(self) -> Report:
        context = self.context
        context.start_task(context.watch_loop_lag())
        for backend in self.backends:
            await backend.listen()
        await asyncio.gather(*(relay.start() for relay in self.relays))
        context.started_at = time.monotonic()
        context.oracle.loop_lags.clear()
        context.oracle.endpoint_updates.clear()
        context.start_task(watch_cpu_waits(self.relays))
        context.start_task(self.clients.run())
        if self.plan.descriptors:
            context.start_task(IdleClients(context, self.relays).run())
        faults = [asyncio.ensure_future(self._run_fault(fault)) for fault in self.plan.faults]
        await asyncio.sleep(self.plan.seconds)
        self.finished = True
        await asyncio.wait_for(asyncio.gather(*faults), 30.0)
        for relay in self.relays:
            relay.check_unexpected_exit()
        # The clients continue to send requests until the last relay has ended.
        await asyncio.gather(
            *(relay_shutdown.shut_down(relay) for relay in self.relays if relay.alive and not relay.shutting_down)
        )
        self.clients.stopped = True
        for relay in self.relays:
            for connection in list(relay.open_requests.values()):
                connection.read()
        upgrade.attribute_requests(self)
        until = context.now()
        for task in list(context.tasks):
            task.cancel()
        return self._report(until)

    def _report(self, until: float) -> Report:
        """Judge the run, and return its report. until: the end of the run."""
        oracle, obligations = self.context.oracle, self.plan.settings["obligations"]
        attempts = [attempt for attempts_made in oracle.attempts.values() for attempt in attempts_made]
        warm_rate = self.plan.requests_per_relay_s * self.plan.relays / len(self.backends)
        budget = SlowStartBudget(
            obligations["cold_ms"] / 1000.0,
            obligations["cold_share"],
            obligations["fall_multiple"],
            obligations["fall_ms"] / 1000.0,
            2.0 * warm_rate,
        )
        violations = oracle.judge(until, budget)
        first_answers = [request.answers[0][1] for request in oracle.requests.values() if request.answers]
        report = Report(
            self.plan,
            self.clients.requests_opened,
            len(attempts),
            len(first_answers),
            first_answers.count("UP"),
            sum(1 for attempts_made in oracle.attempts.values() if len(attempts_made) > 1),
            max((late for _, late in oracle.loop_lags), default=0.0),
            violations,
        )
        report.timelines = {
            violation.request: oracle.timeline(violation.request) for violation in violations if violation.request
        }
        for name in list(report.timelines)[:MAX_SHOWN]:
            self._add_log(name, report)
        return report

    def _add_log(self, name: str, report: Report) -> None:
        """Add the relay's log lines on the request, and on its client as an idle one if the relay read no request."""
        request = self.context.oracle.requests[name]
        path, client = self.context.folder / f"{request.relay}.log", f"idle client {request.client} "
        if path.exists():
            log = path.read_text("utf-8", "replace").splitlines()
            matching = [line for line in log if name in line or client in line]
            report.timelines[name] += [f"log {line}" for line in matching]

    async def watch_cpu_wait(self, relay: Relay) -> None:
        """Sample how long a process that was replaced has waited for a CPU."""
        await watch_cpu_waits([relay])

    # --- faults -----------------------------------------------------------------------------------

    async def _run_fault(self, fault: Fault) -> None:
        """Wait for the fault's start, and call its handler."""
        await asyncio.sleep(max(0.0, fault.start_s - self.context.now()))
        await self.handlers[fault.kind](fault, Random(fault.seed))

    async def _wait_until_end(self, fault: Fault) -> None:
        """Wait for the end of the fault."""
        await asyncio.sleep(max(0.0, fault.end_s - self.context.now()))

    def _sample_relays(self, random: Random, max_count: int) -> list[Relay]:
        """Return 1 to `max_count` random relays that serve and do not shut down."""
        serving = [relay for relay in self.relays if relay.serving and not relay.shutting_down and not relay.upgrading]
        return random.sample(serving, min(len(serving), random.randint(1, max_count)))

    def _sample_backends(self, random: Random, share: float = AFFECTED_SHARE) -> list[Backend]:
        """Return this fraction of the backends, at random."""
        return random.sample(self.backends, max(1, int(share * len(self.backends))))

    async def _term(self, fault: Fault, random: Random) -> None:
        async def restart(relay: Relay) -> None:
            await asyncio.sleep(random.uniform(0.0, 0.3))
            if relay.shutting_down or not relay.alive:
                return
            relay.shutting_down = True
            await relay_shutdown.shut_down(relay)
            await asyncio.sleep(random.uniform(0.0, 0.5))
            if not self.finished:
                await relay.start()

        await asyncio.gather(*(restart(relay) for relay in self._sample_relays(random, max(2, len(self.relays) // 3))))

    async def _kill(self, fault: Fault, random: Random) -> None:
        async def restart(relay: Relay) -> None:
            if relay.shutting_down or not relay.alive:
                return
            relay.shutting_down = True
            await relay.kill()
            await asyncio.sleep(random.uniform(0.1, 0.6))
            await relay.start()

        await asyncio.gather(*(restart(relay) for relay in self._sample_relays(random, 2)))

    async def _hup(self, fault: Fault, random: Random) -> None:
        burst = Random(f"series {fault.seed}")
        while self.context.now() < fault.end_s:
            for relay in self._sample_relays(random, len(self.relays)):
                if random.random() < 0.5:
                    relay.discovery_index = 1 - relay.discovery_index
                path = relay.write_config()
                if random.random() < 0.3:
                    text = path.read_text()
                    path.write_text(text[: random.randrange(len(text))])
                    relay.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.02)
                    path.write_text(text)
                relay.send_signal(signal.SIGHUP)
                for _ in range(burst.choice((0, 0, 1, 3))):
                    await asyncio.sleep(burst.choice((0.0, 0.005, 0.03)))
                    relay.send_signal(signal.SIGHUP)
            await asyncio.sleep(random.uniform(0.1, 0.8))

    async def _stop(self, fault: Fault, random: Random) -> None:
        async def suspend_repeatedly(relay: Relay) -> None:
            while self.context.now() < fault.end_s and relay.alive and not relay.shutting_down:
                await relay.suspend(random.uniform(0.02, 0.14))
                # Often suspended again while the relay still forwards the data that arrived in the meantime.
                await asyncio.sleep(random.choice((random.uniform(0.0005, 0.01), random.uniform(0.01, 0.08))))

        await asyncio.gather(*(suspend_repeatedly(relay) for relay in self._sample_relays(random, len(self.relays))))

    async def _freeze(self, fault: Fault, random: Random) -> None:
        relays = self._sample_relays(random, max(2, len(self.relays) // 2))
        await asyncio.gather(*(relay.suspend(random.uniform(0.3, 1.5)) for relay in relays))

    async def _clock(self, fault: Fault, random: Random) -> None:
        for relay in self._sample_relays(random, len(self.relays)):
            relay.clock_step_ms = random.choice((-3_600_000, 3_600_000, -5000, 5000, 0, 700))
            if relay.page is not None:
                relay.page.set(Field.WALL_NS, relay.clock_step_ms * 1_000_000)
        await self._restart_backends(fault, random, crash=False)

    async def _calls(self, fault: Fault, random: Random) -> None:
        relays = self._sample_relays(random, len(self.relays))
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
        await self._clear_call_faults(fault, relays)

    async def _pieces(self, fault: Fault, random: Random) -> None:
        relays = self._sample_relays(random, len(self.relays))
        self.clients.split_share += 0.5
        for relay in relays:
            if relay.page is not None:
                relay.page.set(Field.SHORT_READ_PERMILLE, random.choice((200, 600)))
                relay.page.set(Field.SHORT_WRITE_PERMILLE, random.choice((200, 600)))
                relay.page.set(Field.EINTR_PERMILLE, random.choice((0, 100)))
        await self._clear_call_faults(fault, relays)
        self.clients.split_share -= 0.5

    async def _clear_call_faults(self, fault: Fault, relays: list[Relay]) -> None:
        """Wait for the end of the fault, and end the faults of these relays' system calls."""
        pages = [relay.page for relay in relays]
        await self._wait_until_end(fault)
        for page in pages:
            if page is not None:
                page.clear_faults()

    async def _misbehave(self, fault: Fault, random: Random) -> None:
        backends = self._sample_backends(random, random.choice((AFFECTED_SHARE, 0.9)))
        for backend in backends:
            backend.behaviour = fault.kind
        await self._wait_until_end(fault)
        for backend in backends:
            backend.behaviour = ""

    async def _wire(self, fault: Fault, random: Random) -> None:
        backends = self._sample_backends(random)
        for backend in backends:
            backend.link_fault = random.choice(("cut", "late", "reset", "reset late", "pieces"))
        await self._wait_until_end(fault)
        for backend in backends:
            backend.link_fault = ""

    async def _full(self, fault: Fault, random: Random) -> None:
        backends = self._sample_backends(random)
        for backend in backends:
            backend.fill_accept_queue()
        await asyncio.sleep(min(fault.duration_s, random.uniform(0.2, 1.2)))
        for backend in backends:
            await backend.release_accept_queue()

    async def _crash(self, fault: Fault, random: Random) -> None:
        await self._restart_backends(fault, random, crash=True)

    async def _restart_backends(self, fault: Fault, random: Random, crash: bool) -> None:
        """Crash backends and restart them; discovery publishes the new start times once they listen."""
        backends = [backend for backend in self._sample_backends(random, 0.25) if backend.phase == "ready"]
        for backend in backends:
            backend.crash()
        await asyncio.sleep(random.uniform(0.0, 0.4) if crash else 0.02)
        for backend in backends:
            await backend.restart()
            self.discovery.publish(backend, "ready")
        await self._wait_until_end(fault)

    async def _drain(self, fault: Fault, random: Random) -> None:
        backends = [backend for backend in self._sample_backends(random, 0.3) if backend.phase == "ready"]
        for backend in backends:
            self.discovery.publish(backend, "draining")
        await asyncio.sleep(fault.duration_s * 0.4)
        for backend in backends:
            if random.random() < 0.6:
                self.discovery.publish(backend, "gone")
                backend.crash()
        await asyncio.sleep(fault.duration_s * 0.3)
        for backend in backends:
            if backend.phase == "gone":
                await backend.restart()
            self.discovery.publish(backend, "ready")

    async def _list(self, fault: Fault, random: Random) -> None:
        kind = random.choice(("down", "refuse", "slow", "hang", "hush", "break"))
        if kind == "down":
            self.discovery.go_down()
        elif kind == "hush":
            self.discovery.silence_watches()
        else:
            self.discovery.behaviour = "" if kind == "break" else kind
            self.discovery.break_watches()
            if self.discovery.pushed and kind != "break":
                # Relays cannot learn changes from an agent that does not answer: counts as a discovery outage.
                self.discovery.down_since = self.context.now()
        began = self.context.now()
        await self._wait_until_end(fault)
        await self.discovery.recover()
        if kind in ("refuse", "slow", "hang"):
            self.context.oracle.discovery_outages.append((began, self.context.now()))

    async def _leave(self, fault: Fault, random: Random) -> None:
        self.clients.leave_share += 0.4
        await self._wait_until_end(fault)
        self.clients.leave_share -= 0.4

    async def _rude(self, fault: Fault, random: Random) -> None:
        self.clients.malformed_share += 0.3
        await self._wait_until_end(fault)
        self.clients.malformed_share -= 0.3


async def run_plan(plan: Plan, folder: Path, shim_library: Path | None, planted: str = "") -> Report:
    """Run a plan with its logs in the folder, and return its report; all processes are killed in any case."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.json").write_text(
        json.dumps({"settings": plan.settings, "troubles": [str(fault) for fault in plan.faults]})
    )
    seed_run = SeedRun(plan, folder, shim_library, planted)
    try:
        return await seed_run.run()
    finally:
        for relay in (*seed_run.relays, *seed_run.retired):
            relay.send_signal(signal.SIGCONT)
            relay.send_signal(signal.SIGKILL)
        for task in list(seed_run.context.tasks):
            task.cancel()
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(0)


RULES = tuple(rule.value for rule in Rule)
