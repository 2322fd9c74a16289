"""Maintenance on sockets and files: carries out the coordinator's effects and reports the relay's observations to it.

The acceptor runs on a thread, since it waits for the disk. Loaded only if the operator's file has a section `[turns]`.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from loguru import logger

from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.consensus.messages import ResponseMessage
from yarrowspindle.daemon.maintenance_commands import NEVER_QUEUED, MaintenanceCommands, json_body
from yarrowspindle.daemon.membership_endpoint import MembershipEndpoint
from yarrowspindle.daemon.operator_config import OperatorConfig
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile, initial_state
from yarrowspindle.decisions.events import BACKEND_KEY_MASK
from yarrowspindle.maintenance import codec, status_report
from yarrowspindle.maintenance.commands import RemoveRelay
from yarrowspindle.maintenance.coordinator import MaintenanceCoordinator
from yarrowspindle.maintenance.evacuation import MaintenancePlan
from yarrowspindle.maintenance.events import (
    AskAcceptor,
    Effect,
    Event,
    FleetObserved,
    MessageReceived,
    SendMessage,
    SetTimer,
    StateCommitted,
    TimerFired,
)
from yarrowspindle.maintenance.fleet_health import BackendSample, FleetAssessment, FleetHealth
from yarrowspindle.maintenance.requests import MaintenanceError
from yarrowspindle.maintenance.settings import MaintenanceSettings
from yarrowspindle.maintenance.state import EMPTYING, WARMING, MaintenanceState
from yarrowspindle.membership.events import SendPayload
from yarrowspindle.operator_api import OperatorApi
from yarrowspindle.protocol.fragments import Fragmenter
from yarrowspindle.protocol.message_codec import InvalidMessageError
from yarrowspindle.routing.events import MaintenanceUpdated
from yarrowspindle.storage.durable_file import FileUnavailableError
from yarrowspindle.telemetry.log import RateLimitedLog

FILE_RETRY_S = 0.2  # interval of attempts to take the lock, and to read a file after an error
OBSERVATION_INTERVAL_S = 0.5
OBSERVATION_INTERVAL_EMPTYING_S = 0.15  # while some backend is emptying
FRAGMENT_INTERVAL_S = 0.05
SHUTDOWN_TIMEOUT_S = 0.6  # limit of the wait until this relay is removed from the state
SHUTDOWN_POLL_S = 0.02
FAILED_TIMER_RETRY_MS = 1000.0
DEFAULT_DEADLINE_S = 120.0  # for a backend whose request is no longer in the state
MAX_PENDING_ACCEPTOR_REQUESTS = 256  # limit of those that wait for the disk; further ones are dropped
MAX_BODY_BYTES = 64 * 1024


class MaintenanceEndpoint:
    """The coordinator of this relay and its I/O.

    Requests never wait for it, but they are rejected until the relay is registered.
    """

    def __init__(self, service: RelayService, membership: MembershipEndpoint, settings: MaintenanceSettings) -> None:
        self.service = service
        self.membership = membership
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.name = membership.core.members.local.name
        self.file = MaintenanceVoterFile(settings.directory, self.name, membership.settings.cluster)
        self.initial = initial_state(settings.voters)
        self.acceptor: Acceptor[MaintenanceState] | None = None
        seed = int.from_bytes(os.urandom(8), "big")
        key = os.urandom(16).hex()
        self.core = MaintenanceCoordinator(self.name, key, self.initial, "", self.initial, seed, self._now())
        self.commands = MaintenanceCommands(service, self.core, self._post, self._members, self._recreate_voter_file)
        self.disk_executor = ThreadPoolExecutor(1, "voter")
        self.pending_acceptor_requests = 0
        self.fragmenter = Fragmenter(int.from_bytes(os.urandom(6), "big"))
        self.health = FleetHealth(service.config.settings.warmup_ms, settings.pressure)
        self.assessment = FleetAssessment({}, "")
        self.assessed_at = 0.0
        self.adopted_at: dict[int, float] = {}  # time in ms when each evacuation was adopted, by number
        self.plan = MaintenancePlan(rate=settings.moves_per_s)
        self.requests = settings.requests
        self.counts: Counter[str] = Counter()
        self.rate_limited_log = RateLimitedLog(time.monotonic)
        self.tasks: list[asyncio.Task[None]] = []
        self.api: OperatorApi | None = None
        self.closed = False
        service.metrics.counter_sources["turns"] = self.counts
        service.metrics.gauge_sources.append(self._gauges)
        service.reload_listeners.append(self._on_reloaded)
        membership.driver.on_payload = self._on_datagram

    async def start(self) -> None:
        """Start the coordinator and, if an address is configured, the operators' API."""
        self.tasks = [self.loop.create_task(self._run()), self.loop.create_task(self._request_fragments())]
        address = self.settings.command
        if address is None:
            return
        self.api = OperatorApi(
            {"/turns": {"GET": lambda: (200, json_body(self.status()))}},
            lambda text: logger.error("turns: an operators' call failed: {}", text),
            self.commands.routes(),
            MAX_BODY_BYTES,
        )
        try:
            await self.api.start(*address)
            logger.info("turns: commands are accepted at {}:{}", *address)
        except OSError as error:
            logger.error("turns: no commands can be accepted at {}:{}: {}", *address, error)

    async def close(self) -> None:
        """Stop. A relay without connections removes itself from the state first.

        A relay with connections stays registered until the next process of its name or an operator declares it ended.
        """
        has_connections = any(connected() for connected in self.service.connected_backends)
        if self.core.registered and not has_connections:
            self._post(RemoveRelay(self.name, self.core.incarnation))
            deadline = self.loop.time() + SHUTDOWN_TIMEOUT_S
            while self._is_in_state() and self.loop.time() < deadline:
                await asyncio.sleep(SHUTDOWN_POLL_S)
        self.closed = True
        for task in self.tasks:
            task.cancel()
        if self.api is not None:
            self.api.close()
        self.disk_executor.shutdown(cancel_futures=True)

    def _is_in_state(self) -> bool:
        return self.core.adopted.relays.get(self.name) == self.core.incarnation

    # Start and voter file

    async def _run(self) -> None:
        await self._wait_for_lock()
        await self._start_voting()
        self._carry_out(self.core.take_effects())
        while True:
            self._observe()
            emptying = any(evacuation.stage == EMPTYING for evacuation in self.core.adopted.evacuations.values())
            await asyncio.sleep(OBSERVATION_INTERVAL_EMPTYING_S if emptying else OBSERVATION_INTERVAL_S)

    async def _wait_for_lock(self) -> None:
        """Wait until the previous process of this relay has ended; until then, requests are rejected."""
        last_failure = ""
        while failure := self.file.lock_failure():
            if failure != last_failure:
                logger.warning("turns: {}; requests are rejected until this process has the lock", failure)
            last_failure = failure
            await asyncio.sleep(FILE_RETRY_S)

    async def _start_voting(self) -> None:
        try:
            stored = await self._load_voter_file()
        except FileUnavailableError as error:
            if self.name in self.settings.voters:
                logger.warning(
                    "turns: no voter's file in {}: {}; this relay does not vote until the others have added it again "
                    "(`turns init` creates the files before the first start only; do not use it after a loss)",
                    self.settings.directory,
                    error,
                )
            return
        self._start_acceptor(stored)
        self.core.proposer.membership_hint = max(self.initial, stored.state, key=lambda state: state.epoch)

    async def _load_voter_file(self) -> AcceptorState[MaintenanceState]:
        """Return the content of the file, with retries while it cannot be read. Raise FileUnavailableError."""
        last_failure = ""
        while True:
            try:
                return self.file.load()
            except OSError as error:
                failure = str(error)
                if failure != last_failure:
                    logger.warning(
                        "turns: the voter's file cannot be read, retrying: {}; requests are rejected until then",
                        failure,
                    )
                last_failure = failure
            await asyncio.sleep(FILE_RETRY_S)

    def _start_acceptor(self, stored: AcceptorState[MaintenanceState]) -> None:
        self.acceptor = Acceptor(stored, self.file.store, self._now)
        self.core.identity = stored.identity
        promised_number, _ = stored.promised
        logger.info(
            "turns: {} has its voter's file, promised {}, accepted state {}",
            self.name,
            promised_number,
            stored.state.version,
        )

    def _recreate_voter_file(self) -> str:
        """Create a voter's file. Return its identity, or an empty string if it cannot be written."""
        try:
            stored = self.file.recreate(self.initial)
        except OSError as error:
            self.rate_limited_log.warn(f"turns: cannot create a voter's file in {self.settings.directory}: {error}")
            return ""
        self._start_acceptor(stored)
        return stored.identity

    # Events and effects

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def _members(self) -> list[str]:
        return self.membership.core.members.names

    def _post(self, event: Event) -> None:
        if self.closed:
            return
        try:
            effects = self.core.step(self._now(), event)
        except Exception:  # requests are still served, and the adopted state stays in force
            self.counts["failures"] += 1
            logger.exception("turns: internal error while processing {}", type(event).__name__)
            effects = self.core.take_effects()
            if isinstance(event, TimerFired):
                effects.append(SetTimer(FAILED_TIMER_RETRY_MS, event.timer))
        self._carry_out(effects)

    def _carry_out(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._send(effect.destination, effect.message)
            elif isinstance(effect, SetTimer):
                self.loop.call_later(effect.delay_ms / 1000.0, self._post, TimerFired(effect.timer))
            elif isinstance(effect, AskAcceptor):
                self._ask_acceptor(effect)
            elif isinstance(effect, StateCommitted):
                self._on_committed(effect.state)
            else:
                logger.info("turns: {}", effect.text)

    def _send(self, destination: str, message: Any) -> None:
        self.counts["sent"] += 1
        if destination == self.name:
            self.loop.call_soon(self._post, MessageReceived(destination, message))
            return
        for fragment in self.fragmenter.split(destination, codec.encode(message)):
            self.membership.driver.post(SendPayload(destination, fragment))

    def _on_datagram(self, source: str, data: bytes) -> None:
        complete, replies = self.fragmenter.on_datagram(self._now(), source, data)
        for reply in replies:
            self.membership.driver.post(SendPayload(source, reply))
        if complete is None:
            return
        try:
            message = codec.decode(complete)
        except InvalidMessageError as error:
            self.counts["dropped"] += 1
            self.rate_limited_log.warn(f"turns: dropped an invalid message from {source}: {error}")
            return
        self._post(MessageReceived(source, message))

    async def _request_fragments(self) -> None:
        while True:
            await asyncio.sleep(FRAGMENT_INTERVAL_S)
            for source, data in self.fragmenter.requests_due(self._now()):
                self.membership.driver.post(SendPayload(source, data))

    def _ask_acceptor(self, effect: AskAcceptor) -> None:
        """Run the acceptor on its thread, so that the disk does not delay requests; one message at a time, in order."""
        acceptor = self.acceptor
        if acceptor is None or self.pending_acceptor_requests >= MAX_PENDING_ACCEPTOR_REQUESTS:
            return
        self.pending_acceptor_requests += 1
        response = self.disk_executor.submit(acceptor.on_message, effect.message)
        response.add_done_callback(
            lambda done: self.loop.call_soon_threadsafe(self._on_acceptor_response, effect.source, done)
        )

    def _on_acceptor_response(self, source: str, response: Future[ResponseMessage[MaintenanceState]]) -> None:
        self.pending_acceptor_requests -= 1
        if response.cancelled() or self.closed:
            return
        error = response.exception()
        if error is None:
            self._send(source, response.result())
            return
        self.counts["unwritten"] += 1
        self.rate_limited_log.warn(f"turns: the voter's file cannot be written, so this relay does not vote: {error}")

    def _on_committed(self, state: MaintenanceState) -> None:
        now = self._now()
        self.adopted_at = {
            evacuation.number: self.adopted_at.get(evacuation.number, now) for evacuation in state.evacuations.values()
        }
        if not self.core.identity and self.name in state.voters and state.version > 0:
            self._recreate_voter_file()
        self.plan = self._plan(state)
        self.service.post(MaintenanceUpdated(self.plan))
        self.service.health_checker.disconnect(frozenset(self.plan.deadlines_s or ()))

    def _plan(self, state: MaintenanceState) -> MaintenancePlan:
        deadlines_s: dict[str, float] = {}
        warming: set[str] = set()
        for backend, evacuation in state.evacuations.items():
            if evacuation.stage == WARMING:
                warming.add(backend)
            elif evacuation.stage == EMPTYING:
                deadlines_s[backend] = self._deadline_s(state, evacuation.request_id)
            else:
                deadlines_s[backend] = 0.0
        return MaintenancePlan(
            excluded=frozenset(deadlines_s) if self.core.registered else None,
            deadlines_s=deadlines_s,
            warming=frozenset(warming),
            relays=max(len(state.relays), 1),
            rate=self.settings.moves_per_s,
        )

    @staticmethod
    def _deadline_s(state: MaintenanceState, request_id: str) -> float:
        status = state.requests.get(request_id)
        return status.request.deadline_s if status is not None else DEFAULT_DEADLINE_S

    # Observations

    def _observe(self) -> None:
        now = self._now()
        if now >= self.assessed_at + 1000.0 * OBSERVATION_INTERVAL_S:
            self.assessed_at = now
            self._assess(now)
        used = frozenset(self._used_backends()) if self.core.adopted.evacuations else frozenset()
        self._post(FleetObserved(used, self.assessment.backends, tuple(self._members()), self.assessment.fault))

    def _assess(self, now: float) -> None:
        counts = self.service.telemetry.counts
        received = _sum_with_prefix(counts, ("taken.",))
        rejected = _sum_with_prefix(counts, ("busy.", "failure."))
        if not self.core.registered:
            # Requests that are rejected because this relay is not registered yet do not indicate overload.
            self.health.counts.clear()
        self.assessment = self.health.assess(now, self._samples(), self.core.adopted, received, rejected)

    def _samples(self) -> list[BackendSample]:
        """Return the backends according to the endpoint list, without regard to the committed state."""
        reducer = self.service.reducer
        ejected = reducer.balancer.ejected(reducer.now)
        peer_connections = reducer.balancer.peer_loads.loads
        samples = []
        for name, backend in reducer.backends.items():
            endpoint = backend.endpoint
            if endpoint is None:
                continue
            peer_count, _ = peer_connections.get(backend.number & BACKEND_KEY_MASK, (0, 0.0))
            samples.append(
                BackendSample(
                    name,
                    endpoint.zone,
                    endpoint.capacity,
                    endpoint.state,
                    endpoint.started_ms,
                    failing=backend.number in ejected,
                    connections=len(backend.requests) + peer_count,
                )
            )
        return samples

    def _used_backends(self) -> set[str]:
        backends = self.service.reducer.backends
        used = {name for name in self.core.adopted.evacuations if name in backends and backends[name].requests}
        for connected in self.service.connected_backends:  # these include connections that are being closed
            used |= connected()
        return used

    # Operators

    def status(self) -> dict[str, Any]:
        """Return the status for operators as a JSON object."""
        return status_report.report(self.core, self._now(), self.adopted_at, set(self._members()))

    def _gauges(self) -> dict[str, float]:
        return {f"turns.{name}": value for name, value in status_report.gauges(self.core, self._now()).items()}

    def _on_reloaded(self, operator: OperatorConfig) -> None:
        """Queue the requests that are new in the operator's file; a name that was queued before is skipped."""
        if operator.turns is None:
            return
        previous, self.requests = self.requests, operator.turns.requests
        for request in self.requests:
            if request in previous:
                continue
            try:
                request_id = self.commands.queue_request(request, NEVER_QUEUED)
                logger.info("turns: queued request {} of the operator's file", request_id)
            except MaintenanceError as error:
                logger.error("turns: cannot queue a request of the operator's file: {}", error)


def _sum_with_prefix(counts: Mapping[str, int], prefixes: tuple[str, ...]) -> int:
    return sum(count for name, count in counts.items() if name.startswith(prefixes))
