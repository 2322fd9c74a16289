"""Model of a relay: the real reducer, whose effects are carried out on modelled backends and clients."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.lab.model.backend import ModelBackend
from yarrowspindle.lab.model.client import Client
from yarrowspindle.lab.model.clock import Timer, VirtualClock
from yarrowspindle.lab.model.rules import Rules
from yarrowspindle.routing.effects import (
    AbortAttempt,
    CheckHealth,
    CloseClientConnection,
    Effect,
    FailRequest,
    ForwardRequest,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    ClientDataForwarded,
    ClientDisconnected,
    Endpoint,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    LoadReported,
    RequestReceived,
    UnclassifiedReport,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.runtime import Runtime, Timers

DRAIN_GRACE_TOLERANCE_MS = 50.0  # of the rule, on top of the drain grace of the settings


class Environment(Protocol):
    """The surroundings of a relay: the clock, the backends, the network and the clients."""

    clock: VirtualClock
    rules: Rules
    backends: dict[str, ModelBackend]
    counts: Counter[str]
    unit_load: float

    @property
    def clients_report_load(self) -> bool: ...
    @property
    def backend_reports_load(self) -> bool: ...
    @property
    def drain_grace_ms(self) -> float: ...
    @property
    def answer_slack_ms(self) -> float: ...
    def network_latency_ms(self) -> float: ...
    def mean_load(self, class_index: int) -> float: ...
    def priority_weight_of(self, class_index: int) -> float: ...
    def backend_died(self, backend: ModelBackend) -> None: ...
    def client_established(self, client: Client) -> None: ...
    def client_rejected(self, client: Client, retry_after_ms: float) -> None: ...
    def client_migrated(self, client: Client, backend: ModelBackend | None) -> None: ...
    def client_closed(self, client: Client, reason: TerminationReason) -> None: ...


class Attempt:
    """An attempt of a request at a backend."""

    __slots__ = ("request", "number", "backend", "forwarded", "established")

    def __init__(self, request: int, number: int, backend: ModelBackend | None) -> None:
        self.request, self.number, self.backend = request, number, backend
        self.forwarded = self.established = False


class VirtualTimers(Timers):
    """Timers of a relay on the virtual clock."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__(clock)
        self.virtual_clock = clock
        self.timers_by_name: dict[object, Timer] = {}

    def set(self, delay_ms: float, name: object) -> None:
        self.cancel(name)
        self.timers_by_name[name] = self.virtual_clock.after(delay_ms, self._virtual_due, name)

    def cancel(self, name: object) -> None:
        timer = self.timers_by_name.pop(name, None)
        if timer is not None:
            timer.cancel()

    def _virtual_due(self, name: object) -> None:
        self.timers_by_name.pop(name, None)
        self.on_due(name)

    def clear(self) -> None:
        for name in list(self.timers_by_name):
            self.cancel(name)


class ModelRelay:
    """A relay of the model fleet: its runtime, the clients and attempts at it, and the state of its endpoint list.

    The rules are checked on the effects that the reducer returns.
    """

    def __init__(self, fleet: Environment, index: int, settings: Settings, seed: int) -> None:
        self.fleet, self.index, self.clock = fleet, index, fleet.clock
        self.runtime = Runtime(
            Reducer(settings, seed, fleet.clock.now()), fleet.clock, self._log, VirtualTimers(fleet.clock)
        )
        self.reducer = self.runtime.reducer
        self.runtime.check_health = self._check_health
        self.zone = settings.zone
        self.clients: dict[int, Client] = {}
        self.attempts: dict[int, Attempt] = {}
        self.stopped_backends: dict[str, float] = {}  # draining or gone by the endpoint list: since when
        self.alive = True
        self.log: list[tuple[float, str]] = []
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            OpenBackendConnection: self._open_connection,
            ForwardRequest: self._forward,
            AbortAttempt: self._abort,
            StartRelaying: self._start_relaying,
            RejectRequest: self._reject,
            FailRequest: self._fail,
            MigrateConnection: self._migrate,
            CloseClientConnection: self._close,
        }

    def post(self, event: Event) -> None:
        """Pass an event to the reducer, unless the relay was killed."""
        if self.alive:
            self.runtime.post(event)

    def _log(self, level: str, text: str) -> None:
        if level == "error":
            raise  # noqa: PLE0704 - called while an exception is handled: a run must not continue after one
        self.log.append((self.clock.seconds, text))

    def carry_out(self, effect: Effect) -> None:
        """Carry out an effect of the reducer; effects without a handler are ignored."""
        handler = self.effect_handlers.get(type(effect))
        if handler is not None:
            handler(effect)

    def kill(self) -> None:
        """Kill the relay; its connections break on both sides."""
        self.alive = False
        self.runtime.close()
        for attempt in list(self.attempts.values()):
            self._release(attempt)
        clients, self.clients = list(self.clients.values()), {}
        for client in clients:
            self.fleet.client_closed(client, TerminationReason.CONNECTION_RESET)

    # --- endpoint list --------------------------------------------------------------------------

    def receive_endpoints(self, update: EndpointsUpdated) -> None:
        """Pass an update of the endpoint list to the reducer, and record which backends stopped."""
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.READY:
                self.stopped_backends.pop(endpoint.name, None)
            else:
                self.stopped_backends.setdefault(endpoint.name, self.clock.now())
        self.post(update)

    # --- clients --------------------------------------------------------------------------------

    def receive_request(self, client: Client, deadline_ms: float) -> None:
        """Start a new request of the client."""
        request = client.request = self.runtime.new_request(self)
        client.relay, client.answer_count = self, 0
        self.clients[request] = client
        load = client.load if self.fleet.clients_report_load else 0.0
        self.post(
            RequestReceived(
                request,
                deadline_ms,
                client.class_index,
                key=client.key,
                group=client.group,
                load=load,
                returned=client.returned,
            )
        )

    def has_request_of(self, client: Client) -> bool:
        """Return whether the client's current request is at this relay."""
        return self.clients.get(client.request) is client

    def backend_zone(self, client: Client) -> int | None:
        """Return the zone of the client's backend, if it has an attempt."""
        attempt = self.attempts.get(client.request)
        return attempt.backend.zone if attempt is not None and attempt.backend is not None else None

    def disconnect(self, client: Client) -> None:
        """Close the client's connection from the client's side."""
        self.clients.pop(client.request, None)
        self.post(ClientDisconnected(client.request))

    def complete(self, client: Client) -> None:
        """Complete the client's request: its backend closes the connection."""
        attempt = self.attempts.get(client.request)
        if attempt is not None:
            self._release(attempt)
            self.post(AttemptEnded(attempt.request, attempt.number, TerminationReason.COMPLETED))

    def load_changed(self, client: Client, load: float) -> None:
        """Set the load of an established connection; the backend reports it if the fleet's backends do so."""
        attempt = self.attempts.get(client.request)
        if attempt is not None and attempt.established and attempt.backend is not None:
            attempt.backend.change_load((self.index, attempt.request), load)
            if self.fleet.backend_reports_load:
                self.post(LoadReported(attempt.request, load))

    # --- backends -------------------------------------------------------------------------------

    def _open_connection(self, effect: OpenBackendConnection) -> None:
        if effect.request in self.attempts:
            self.fleet.rules.record(
                "one attempt out", self.clock.seconds, f"request {effect.request} at relay {self.index}"
            )
        attempt = self.attempts[effect.request] = Attempt(
            effect.request, effect.attempt, self.fleet.backends.get(effect.backend)
        )
        if attempt.backend is not None and attempt.backend.unreachable:
            self.clock.after(effect.timeout_ms, self._connect_failed, attempt)
        else:
            self.clock.after(self.fleet.network_latency_ms(), self._connected, attempt)

    def _connect_failed(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.request) is attempt and not attempt.forwarded:
            del self.attempts[attempt.request]
            self.post(AttemptEnded(attempt.request, attempt.number, TerminationReason.CONNECT_FAILED))

    def _connected(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.request) is not attempt:
            return
        if attempt.backend is None or not attempt.backend.alive:
            self._connect_failed(attempt)
        else:
            self.post(BackendConnected(attempt.request, attempt.number))

    def _forward(self, effect: ForwardRequest) -> None:
        attempt = self.attempts[effect.request]
        backend = attempt.backend
        assert backend is not None
        attempt.forwarded = True
        stopped_at = self.stopped_backends.get(backend.name)
        if (
            stopped_at is not None
            and self.clock.now() > stopped_at + self.fleet.drain_grace_ms + DRAIN_GRACE_TOLERANCE_MS
        ):
            self.fleet.rules.record("drain", self.clock.seconds, f"{backend.name} was sent request {effect.request}")
        client = self.clients[effect.request]
        now = self.clock.now()
        priority_weight, mean_load = (
            self.fleet.priority_weight_of(client.class_index),
            self.fleet.mean_load(client.class_index),
        )
        if not backend.accept(now, (self.index, effect.request), client.load, client.group, priority_weight, mean_load):
            self.clock.after(self.fleet.network_latency_ms(), self._rejected_by_backend, attempt)
            if backend.crashed:
                self.fleet.backend_died(backend)
            return
        self.clock.after(
            backend.setup_time_ms(now) + self.fleet.network_latency_ms(), self._accepted_by_backend, attempt
        )

    def _rejected_by_backend(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.request) is attempt:
            del self.attempts[attempt.request]
            self.post(AttemptEnded(attempt.request, attempt.number, TerminationReason.REJECTED))

    def _accepted_by_backend(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.request) is attempt and attempt.backend is not None and attempt.backend.answers:
            attempt.established = True
            self.post(BackendAccepted(attempt.request, attempt.number))

    def backend_died(self, backend: ModelBackend) -> None:
        """Reset the connections to a backend whose process has ended."""
        for attempt in [a for a in self.attempts.values() if a.backend is backend and a.forwarded]:
            del self.attempts[attempt.request]
            self.post(AttemptEnded(attempt.request, attempt.number, TerminationReason.CONNECTION_RESET))

    # --- health checks and reports --------------------------------------------------------------

    def _check_health(self, effect: CheckHealth) -> None:
        backend = self.fleet.backends[effect.backend]
        self.fleet.counts["probes"] += 1
        reason = (
            TerminationReason.UNRESPONSIVE
            if backend.unreachable
            else TerminationReason.COMPLETED
            if backend.alive
            else TerminationReason.CONNECT_FAILED
        )
        latency_ms = effect.timeout_ms if backend.unreachable else self.fleet.network_latency_ms()
        self.clock.after(
            latency_ms,
            self.post,
            HealthCheckCompleted(
                effect.backend, reason, latency_ms, () if backend.unreachable else backend.load_report
            ),
        )

    def established_attempts(self, backend: ModelBackend) -> list[Attempt]:
        """Return the attempts that are established at the backend."""
        return [a for a in self.attempts.values() if a.backend is backend and a.established]

    def report_slow_message(self, backend: ModelBackend, message_latency_ms: float) -> None:
        """Report the message latency of the backend on one of the established connections to it."""
        for attempt in self.established_attempts(backend)[:1]:
            self.post(UnclassifiedReport(attempt.request, message_latency_ms))

    def forward_unanswered_lines(self, backend: ModelBackend) -> None:
        """Send a line on each established connection to the backend, which does not answer."""
        for attempt in self.established_attempts(backend):
            if attempt.request in self.attempts:
                self.post(ClientDataForwarded(attempt.request))

    def _release(self, attempt: Attempt) -> None:
        self.attempts.pop(attempt.request, None)
        if attempt.backend is not None:
            attempt.backend.release((self.index, attempt.request))

    def _abort(self, effect: AbortAttempt) -> None:
        attempt = self.attempts.get(effect.request)
        if attempt is not None:
            self._release(attempt)

    # --- answers to clients ---------------------------------------------------------------------

    def _record_answer(self, request: int, answer: str) -> Client | None:
        """Check that a request has one final answer, in time. Return its client, or None if it disconnected before."""
        client = self.clients.get(request)
        if client is not None:
            client.answer_count += 1
            if client.answer_count > 1:
                self.fleet.rules.record("one final answer", self.clock.seconds, f"request {request} got {answer}")
            if self.clock.now() > client.deadline + self.fleet.answer_slack_ms:
                self.fleet.rules.record("in time", self.clock.seconds, f"request {request} got {answer}")
        return client

    def _start_relaying(self, effect: StartRelaying) -> None:
        client = self._record_answer(effect.request, "UP")
        if client is not None:
            self.fleet.client_established(client)

    def _reject(self, effect: RejectRequest) -> None:
        client = self._record_answer(effect.request, "BUSY")
        self.clients.pop(effect.request, None)
        if client is not None:
            self.fleet.client_rejected(client, effect.retry_after_ms)

    def _fail(self, effect: FailRequest) -> None:
        client = self._record_answer(effect.request, "ERR")
        self.clients.pop(effect.request, None)
        if client is not None:
            self.fleet.client_rejected(client, 0.0)

    def _migrate(self, effect: MigrateConnection) -> None:
        client, attempt = self.clients.pop(effect.request, None), self.attempts.get(effect.request)
        if attempt is None or client is None:
            self.fleet.rules.record(
                "moves only what stands", self.clock.seconds, f"request {effect.request} has no attempt or client"
            )
            return
        backend = attempt.backend
        self._release(attempt)
        self.fleet.client_migrated(client, backend)

    def _close(self, effect: CloseClientConnection) -> None:
        client, attempt = self.clients.pop(effect.request, None), self.attempts.get(effect.request)
        if attempt is not None:
            self._release(attempt)
        if client is not None:
            self.fleet.client_closed(client, effect.reason)


def endpoint_of(backend: ModelBackend, index: int, state: EndpointState, weight: float = 0.0) -> Endpoint:
    """Return the backend's entry in the endpoint list; without a weight, its capacity is its size."""
    return Endpoint(
        backend.name, ("model", index), state, backend.zone, 0, 0, weight or backend.size, backend.started_at
    )
