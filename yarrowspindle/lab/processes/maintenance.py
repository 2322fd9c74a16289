"""Maintenance of backends with real relay processes: simulated operators, and the rules checked from outside.

The rules are checked on the traffic between relays and backends, the relays' logs, their answers to the operators'
commands, and the voter files. A backend counts as free (evacuated, ready for work) from the first log line of any relay
that says so until an operator reports the work as done.
"""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from yarrowspindle.lab.faults import Fault, relay_names, schedule
from yarrowspindle.lab.processes.environment import Environment, fill_report, running_environment
from yarrowspindle.lab.processes.fleet import BackendConnection
from yarrowspindle.lab.processes.relay_process import RelayProcess
from yarrowspindle.lab.processes.run import Report, Run
from yarrowspindle.maintenance.requests import QUEUED
from yarrowspindle.storage.durable_file import FileUnavailableError

POLL_INTERVAL_S = 0.25
REPORT_LAG_S = 0.3  # a request may be reported this late, as all reports pass through this process
CLOSE_GRACE_S = 1.0  # the end of a connection may be reported this late
TURN_LOG_LINE = re.compile(r"turn (\d+): (\S+) is (emptying|free|warming|back)")


@dataclass(slots=True, frozen=True)
class MaintenanceWork:
    """The maintenance that the operators request.

    Attributes:
        max_out: maximum number of backends out of service at a time.
        max_out_per_zone: maximum number of backends out of service at a time in one zone.
        min_ready_backends: number of backends that must stay ready.
        work_s: duration of the work on one backend.
        backends: number of backends to maintain; 0 for all.
        limit_s: time after the faults within which the maintenance must be complete.
        duplicate_request: whether two operators send the request to two relays at the same time.
        reboot: whether a backend's process is restarted during the work.
        crash_after_s: delay until the last backend crashes while it is in service; negative for no crash.
        downtime_s: time between the crash and the new start.
        replace_voter: whether the last relay, which must not be a voter, replaces the first voter at the end.
    """

    max_out: int = 1
    max_out_per_zone: int = 1
    min_ready_backends: float = 0.0
    work_s: float = 0.3
    backends: int = 0
    limit_s: float = 90.0
    duplicate_request: bool = True
    reboot: bool = False
    crash_after_s: float = -1.0
    downtime_s: float = 3.0
    replace_voter: bool = False


@dataclass(slots=True)
class MaintenanceReport:
    """Results of one run with maintenance.

    Attributes:
        report: results of the run apart from maintenance.
        duration_s: time from the first request until its completion, or until the operators gave up.
        backends: number of backends to maintain.
        turns: number of the last evacuation; relays call an evacuation a turn.
        max_out_at_once: maximum number of backends out of service at a time.
        floor_violations: how often fewer backends were ready than must stay ready.
        used_while_free: requests sent to and connections held at backends that were reported as free.
        rolled_back: evacuations that were cancelled before the backend was empty.
        completed: whether all backends were maintained and returned to service.
        blockers: if not, what the relays waited for.
        min_backend_s: minimum time for one backend, given the rate of moves, the work and the slow start.
        backend_durations_s: time from the start of each evacuation until the backend's return to service.
    """

    report: Report
    duration_s: float = 0.0
    backends: int = 0
    turns: int = 0
    max_out_at_once: int = 0
    floor_violations: int = 0
    used_while_free: int = 0
    rolled_back: int = 0
    completed: bool = False
    blockers: list[str] = field(default_factory=list)
    min_backend_s: float = 0.0
    backend_durations_s: list[float] = field(default_factory=list)

    @property
    def backend_mean_s(self) -> float:
        """Mean time per backend."""
        return self.duration_s / max(self.backends, 1)

    def __str__(self) -> str:
        lines = [str(self.report)]
        detail = "completed" if self.completed else "NOT COMPLETED: " + "; ".join(self.blockers)
        lines.append(
            f"  turns: {self.turns} for {self.backends} backends in {self.duration_s:.1f} s, "
            f"{self.backend_mean_s:.2f} s each (minimum {self.min_backend_s:.2f} s), "
            f"at most {self.max_out_at_once} out of service, "
            f"{self.rolled_back} cancelled before the backend was empty, {detail}"
        )
        return "\n".join(lines)


class Operators:
    """Simulated operators, who request maintenance, do the work and check the rules.

    Args:
        environment: the environment of the run.
        work: the maintenance to request.
        result: receives the results.
    """

    def __init__(self, environment: Environment, work: MaintenanceWork, result: MaintenanceReport) -> None:
        self.environment, self.work, self.result = environment, work, result
        self.random = Random(f"operators {environment.run.seed}")
        self.backends = sorted(environment.backends)[: work.backends or None]
        self.request_id = ""
        # Backend -> when a relay first reported it as free; removed when the work is done.
        self.free_since_s: dict[str, float] = {}
        self.backend_of_turn: dict[int, str] = {}
        self.work_tasks: dict[str, asyncio.Task[None]] = {}
        self.evacuation_started_s: dict[str, float] = {}
        # Version of the committed state -> turns and stages of the backends out of service.
        self.states_by_version: dict[int, Any] = {}
        self.latest: dict[str, Any] = {}
        environment.on_turn_log = self.on_log_line
        environment.fleet.on_request = self._watch_requests(environment.fleet.on_request)

    # --- rules ----------------------------------------------------------------------------------

    def _watch_requests(self, forward: Callable[[BackendConnection], None]) -> Callable[[BackendConnection], None]:
        """Return a callback that reports requests to free backends and calls `forward` with each request."""

        def on_request(connection: BackendConnection) -> None:
            if self.environment.now() > self.free_since_s.get(connection.backend, 1e9) + REPORT_LAG_S:
                self.report_use(connection.relay, connection.backend, "sent a request")
            forward(connection)

        return on_request

    def report_use(self, relay: str, backend_name: str, detail: str) -> None:
        """Report that a relay uses a backend that is free for work."""
        self.result.used_while_free += 1
        self.environment.checker.report_violation(
            "free", f"{relay} {detail} at {backend_name}, which was reported as free"
        )

    def on_log_line(self, relay: str, text: str) -> None:
        """Follow the stages of evacuations in the relays' logs, and start the work on backends that become free."""
        match = TURN_LOG_LINE.match(text)
        if "given back unemptied" in text:
            turn = int(text.split()[1].rstrip(":"))
            self.result.rolled_back += turn in self.backend_of_turn
            self.backend_of_turn.pop(turn, None)
        if match is None:
            return
        turn, backend_name, stage = int(match[1]), match[2], match[3]
        if stage == "emptying":
            if self.backend_of_turn.setdefault(turn, backend_name) != backend_name:
                self.environment.checker.report_violation(
                    "turn numbers", f"turn {turn} belongs to {backend_name} and to {self.backend_of_turn[turn]}"
                )
            self.evacuation_started_s.setdefault(backend_name, self.environment.now())
        elif stage == "free" and backend_name not in self.free_since_s and backend_name not in self.work_tasks:
            self.free_since_s[backend_name] = self.environment.now()
            self.work_tasks[backend_name] = asyncio.ensure_future(self._work(backend_name, turn))
        elif stage == "back" and backend_name in self.evacuation_started_s:
            self.result.backend_durations_s.append(self.environment.now() - self.evacuation_started_s.pop(backend_name))
            self.work_tasks.pop(backend_name, None)

    def _connected_relays(self, backend_name: str) -> list[str]:
        """Return the relays that have a connection to this backend, from the traffic."""
        return self.environment.fleet.connected_relays(backend_name)

    async def _work(self, backend_name: str, turn: int) -> None:
        """Check that the backend is not used, work on it and report the work as done."""
        environment, backend = self.environment, self.environment.backends[backend_name]
        await asyncio.sleep(CLOSE_GRACE_S if self.work.work_s > CLOSE_GRACE_S else self.work.work_s)
        for relay in self._connected_relays(backend_name):
            self.report_use(relay, backend_name, "holds a connection")
        if self.work.reboot:
            await environment.fleet.kill_backend(backend_name)
            environment.endpoint_list.publish(backend, "gone")
            await asyncio.sleep(0.3)
            await environment.fleet.start_backend(backend_name)
            backend.started_ms = time.time() * 1000.0
            environment.checker.backend_started(backend_name)
            environment.endpoint_list.publish(backend, "ready")
        await asyncio.sleep(max(0.0, self.work.work_s - CLOSE_GRACE_S))
        for relay in self._connected_relays(backend_name):
            self.report_use(relay, backend_name, "holds a connection")
        self.free_since_s.pop(backend_name, None)
        if not self.work.reboot:
            environment.checker.backend_started(backend_name)  # a slow start follows maintenance without a restart, too
        while True:  # repeated until a relay shows that the evacuation has left the stage "free"
            await self.put("done", {"machine": backend_name, "turn": turn})
            await asyncio.sleep(1.0)
            table = await self.poll()
            if table and not any(
                entry["machine"] == backend_name and entry["stage"] == "free" and entry["turn"] == turn
                for entry in table["out"]
            ):
                return

    def check_state(self, table: dict[str, Any]) -> None:
        """Check one relay's answer: a committed state, which may be older than those seen before.

        Args:
            table: the relay's answer to `GET /turns`.
        """
        out_of_service = {entry["machine"]: (entry["turn"], entry["stage"]) for entry in table["out"]}
        expected = self.states_by_version.setdefault(table["version"], out_of_service)
        report_violation = self.environment.checker.report_violation
        if expected != out_of_service:
            report_violation("one state", f"version {table['version']} is both {expected} and {out_of_service}")
        zones = [int(backend_name[1:]) % 2 for backend_name in out_of_service]
        if len(out_of_service) > self.work.max_out or any(
            zones.count(zone) > self.work.max_out_per_zone for zone in zones
        ):
            report_violation("most out", f"{sorted(out_of_service)} are out of service at once")
        remaining = sum(
            backend.phase == "ready"
            for name, backend in self.environment.backends.items()
            if name not in out_of_service
        )
        if remaining < self.work.min_ready_backends:
            self.result.floor_violations += 1
            report_violation(
                "floor", f"{remaining} backends are ready, {self.work.min_ready_backends:g} must stay ready"
            )
        self.result.max_out_at_once = max(self.result.max_out_at_once, len(out_of_service))
        if table["version"] >= self.latest.get("version", -1):
            if table["turn"] < self.latest.get("turn", 0):
                report_violation(
                    "turn numbers", f"the last turn decreased from {self.latest['turn']} to {table['turn']}"
                )
            self.latest = table
            self.result.turns = table["turn"]

    # --- operators' actions ---------------------------------------------------------------------

    def live_relays(self) -> list[RelayProcess]:
        """Return the relays that serve and are not suspended."""
        return [relay for relay in self.environment.relays if relay.is_serving and not relay.suspended]

    async def put(self, command: str, content: dict[str, Any], relay: RelayProcess | None = None) -> tuple[int, Any]:
        """Send a command to a relay, by default to a random live one.

        Returns:
            The HTTP status and the answer; status 0 if no relay answers.
        """
        live = self.live_relays()
        relay = relay or (self.random.choice(live) if live else None)
        return await call_relay(relay, "PUT", f"/turns/{command}", content) if relay is not None else (0, None)

    async def poll(self) -> dict[str, Any]:
        """Query all live relays, check their answers, and return the answer with the latest committed state."""
        answers = await asyncio.gather(*(call_relay(relay, "GET", "/turns") for relay in self.live_relays()))
        for status, table in answers:
            if status == 200:
                self.check_state(table)
        return self.latest

    def is_settled(self) -> bool:
        """Return whether the request has been executed and all backends are in service."""
        requests = [request for request in self.latest.get("requests", ()) if request["request"] == self.request_id]
        return bool(requests) and requests[0]["state"] != QUEUED and not self.latest["out"]

    async def submit_request(self) -> None:
        """Send the maintenance request to one relay, or the same request to two."""
        content = {
            "machines": self.backends,
            "most": self.work.max_out,
            "most_zone": self.work.max_out_per_zone,
            "floor": self.work.min_ready_backends,
            "deadline_s": 20.0,
        }
        live = self.live_relays()
        chosen = self.random.sample(live, min(2 if self.work.duplicate_request else 1, len(live)))
        for status, answer in await asyncio.gather(*(self.put("ask", content, relay) for relay in chosen)):
            if status == 200:
                self.request_id = answer["done"]

    async def crash_backend(self) -> None:
        """Kill the last backend while it is in service, and start it again."""
        backend_name = sorted(self.environment.backends)[-1]
        backend = self.environment.backends[backend_name]
        await asyncio.sleep(self.work.crash_after_s)
        # The backend must crash while it is in service.
        while backend_name in self.evacuation_started_s or backend_name in self.free_since_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.environment.fleet.kill_backend(backend_name)
        self.environment.endpoint_list.publish(backend, "gone")
        await asyncio.sleep(self.work.downtime_s)
        await self.environment.fleet.start_backend(backend_name)
        backend.started_ms = time.time() * 1000.0
        self.environment.checker.backend_started(backend_name)
        self.environment.endpoint_list.publish(backend, "ready")

    async def replace_voter(self) -> None:
        """Add the last relay as a voter, then remove the first voter; each change is committed before the next."""
        new_voter, old_voter = self.environment.relays[-1], self.environment.voters[0]
        steps: tuple[tuple[str, dict[str, Any], RelayProcess | None, str, bool], ...] = (
            ("vote", {}, new_voter, new_voter.name, True),
            ("unvote", {"relay": old_voter}, None, old_voter, False),
        )
        for command, content, relay, name, should_vote in steps:
            for _ in range(int(20.0 / POLL_INTERVAL_S)):
                if (name in (await self.poll())["voters"]) is should_vote:
                    break
                await self.put(command, dict(content), relay)
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                self.environment.checker.report_violation(
                    "voters", f"{name} is {'not yet a' if should_vote else 'still a'} voter after 20 s"
                )

    async def run(self, faults_ended: asyncio.Event) -> None:
        """Request the maintenance and follow it until it is complete.

        Args:
            faults_ended: set when all faults have ended; the operators give up `limit_s` later.
        """
        started_s = self.environment.now()
        faults_ended_s = 0.0
        if self.work.crash_after_s >= 0.0:
            self.environment.tasks.append(asyncio.ensure_future(self.crash_backend()))
        while True:
            if not any(request["request"] == self.request_id for request in self.latest.get("requests", ())):
                await self.submit_request()  # the relay that received it may have failed before it was committed
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.poll()
            if self.is_settled():
                self.result.completed = True
                break
            if faults_ended.is_set():
                faults_ended_s = faults_ended_s or self.environment.now()
                if self.environment.now() > faults_ended_s + self.work.limit_s:
                    break
        self.result.duration_s = self.environment.now() - started_s
        self.result.backends = len(self.backends)
        if not self.result.completed:
            self.result.blockers = [
                f"{entry['machine']} {entry['stage']}: {', '.join(entry['waits_for'])}" for entry in self.latest["out"]
            ]
            self.result.blockers += [
                f"{waiting['machine']}: {waiting['why']}"
                for request in self.latest["requests"]
                for waiting in request.get("waiting", ())
            ]
            self.environment.checker.report_violation(
                "all out and back", "; ".join(self.result.blockers) or "the relays show no reason"
            )
        elif self.work.replace_voter:
            await self.replace_voter()
        for task in self.work_tasks.values():
            task.cancel()

    def check_files(self) -> None:
        """Check that the voter files at the end contain the states that relays showed before."""
        for relay in self.environment.relays:
            if relay.name not in self.latest["voters"]:
                continue
            try:
                stored = relay.voter_file.load()
            except FileUnavailableError as error:
                self.environment.checker.report_violation("files", f"{relay.name}: {error}")
                continue
            expected = self.states_by_version.get(stored.state.version)
            stored_stages = {name: (entry.number, entry.stage) for name, entry in stored.state.evacuations.items()}
            if expected is not None and expected != stored_stages:
                self.environment.checker.report_violation(
                    "files",
                    f"{relay.name} stored {stored_stages} as version {stored.state.version}, relays showed {expected}",
                )


async def call_relay(
    relay: RelayProcess, method: str, path: str, content: dict[str, Any] | None = None
) -> tuple[int, Any]:
    """Send one request to a relay's command address.

    Returns:
        The HTTP status and the decoded answer; status 0 and None if the relay does not answer.
    """
    body = json.dumps(content).encode() if content is not None else b""
    head = f"{method} {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {len(body)}\r\n\r\n".encode()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.command_address), 1.0)
        try:
            writer.write(head + body)
            answer = await asyncio.wait_for(reader.read(1 << 20), 2.0)
            while b"\r\n\r\n" not in answer or not reader.at_eof():
                more = await asyncio.wait_for(reader.read(1 << 20), 2.0)
                if not more:
                    break
                answer += more
        finally:
            writer.close()
        headers, _, rest = answer.partition(b"\r\n\r\n")
        return int(headers.split(b" ")[1]), json.loads(rest)
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, None


async def run_maintenance(
    run: Run, work: MaintenanceWork, faults: Sequence[Fault] | None = None, directory: Path | None = None
) -> MaintenanceReport:
    """Execute one run with maintenance, and with faults meanwhile.

    Args:
        run: parameters of the run.
        work: the maintenance to request.
        faults: faults to inject; drawn from the seed if None.
        directory: directory of the relays' files; a temporary one if None.
    """
    if faults is None:
        faults = schedule(
            run.fault_kinds,
            relay_names(run.relays),
            [f"n{n}" for n in range(run.backends)],
            run.seed,
            0.0,
            run.faults_s,
            run.stall_s,
        )
    result = MaintenanceReport(Report(run, list(faults)))
    result.min_backend_s = run.clients / max(run.backends, 1) / run.moves_per_s + work.work_s + run.slow_start_s
    async with running_environment(run, directory) as environment:
        operators = Operators(environment, work, result)
        environment.clients.start(run.clients, run.settle_s / 2.0)
        await asyncio.sleep(run.settle_s)
        environment.tasks.append(asyncio.ensure_future(environment.sample_clients()))
        faults_ended = asyncio.Event()
        fault_tasks = [asyncio.ensure_future(environment.apply_fault(fault)) for fault in faults]
        environment.tasks += fault_tasks

        async def wait_for_faults() -> None:
            await asyncio.gather(*fault_tasks)
            faults_ended.set()

        environment.tasks.append(asyncio.ensure_future(wait_for_faults()))
        if run.evacuate:
            await operators.run(faults_ended)
        else:
            await asyncio.sleep(result.min_backend_s * run.backends)
        await asyncio.gather(*fault_tasks)
        await asyncio.sleep(run.recovery_s)
        fill_report(environment, result.report)
        if run.evacuate:
            operators.check_files()
        result.report.violations = environment.checker.violations
    return result
