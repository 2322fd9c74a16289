"""A relay in the model: the real reducer, its effects carried out on model nodes and submitters."""

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

GRACE_SLACK_MS = 50.0  # the rules allow it beyond the drain's grace


class World(Protocol):
    """What a relay meets: nodes, the time and the network between, and submitters that come and go."""

    clock: VirtualClock
    rules: Rules
    backends: dict[str, ModelBackend]
    counts: Counter[str]
    unit_load: float

    @property
    def hints(self) -> bool: ...
    @property
    def tells_load(self) -> bool: ...
    @property
    def drain_grace_ms(self) -> float: ...
    @property
    def answer_slack_ms(self) -> float: ...
    def latency(self) -> float: ...
    def usual_load(self, cls: int) -> float: ...
    def worth_of(self, cls: int) -> float: ...
    def backend_died(self, backend: ModelBackend) -> None: ...
    def client_up(self, client: Client) -> None: ...
    def client_refused(self, client: Client, after_ms: float) -> None: ...
    def client_moved(self, client: Client, backend: ModelBackend | None) -> None: ...
    def client_closed(self, client: Client, ending: TerminationReason) -> None: ...


class Attempt:
    __slots__ = ("request", "number", "backend", "sent", "up")

    def __init__(self, request: int, number: int, backend: ModelBackend | None) -> None:
        self.request, self.number, self.backend = request, number, backend
        self.sent = self.up = False


class VirtualTimers(Timers):
    """Timers on the fleet's clock."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__(clock)
        self.virtual = clock
        self.named: dict[object, Timer] = {}

    def set(self, delay_ms: float, what: object) -> None:
        self.cancel(what)
        self.named[what] = self.virtual.after(delay_ms, self._virtual_due, what)

    def cancel(self, what: object) -> None:
        timer = self.named.pop(what, None)
        if timer is not None:
            timer.cancel()

    def _virtual_due(self, what: object) -> None:
        self.named.pop(what, None)
        self.on_due(what)

    def clear(self) -> None:
        for what in list(self.named):
            self.cancel(what)


class ModelRelay:
    def __init__(self, fleet: World, index: int, settings: Settings, seed: int) -> None:
        self.fleet, self.index, self.clock = fleet, index, fleet.clock
        self.runtime = Runtime(
            Reducer(settings, seed, fleet.clock.now()), fleet.clock, self._log, VirtualTimers(fleet.clock)
        )
        self.reducer = self.runtime.reducer
        self.runtime.check_health = self._probe
        self.zone = settings.zone
        self.clients: dict[int, Client] = {}
        self.attempts: dict[int, Attempt] = {}
        self.stopped_backends: dict[str, float] = {}  # told draining or gone: since when
        self.alive = True
        self.log: list[tuple[float, str]] = []
        self.effects: dict[type, Callable[[Any], None]] = {
            OpenBackendConnection: self._reach,
            ForwardRequest: self._ask,
            AbortAttempt: self._drop,
            StartRelaying: self._join,
            RejectRequest: self._requeue,
            FailRequest: self._deny,
            MigrateConnection: self._move,
            CloseClientConnection: self._close,
        }

    def post(self, event: Event) -> None:
        if self.alive:
            self.runtime.post(event)

    def _log(self, level: str, text: str) -> None:
        if level == "error":
            raise  # noqa: PLE0704 - called while an exception is handled: a model run must not go on after one
        self.log.append((self.clock.seconds, text))

    def carry_out(self, effect: Effect) -> None:
        handler = self.effects.get(type(effect))
        if handler is not None:
            handler(effect)

    def die(self) -> None:
        """Killed: its connections break on both sides."""
        self.alive = False
        self.runtime.close()
        for attempt in list(self.attempts.values()):
            self._release(attempt)
        clients, self.clients = list(self.clients.values()), {}
        for client in clients:
            self.fleet.client_closed(client, TerminationReason.CONNECTION_RESET)

    # --- the list -------------------------------------------------------------------------------

    def list_told(self, told: EndpointsUpdated) -> None:
        for machine in told.endpoints:
            if machine.state is EndpointState.READY:
                self.stopped_backends.pop(machine.name, None)
            else:
                self.stopped_backends.setdefault(machine.name, self.clock.now())
        self.post(told)

    # --- submitters -----------------------------------------------------------------------------

    def arrive(self, client: Client, deadline_ms: float) -> None:
        request = client.request = self.runtime.new_request(self)
        client.relay, client.answers = self, 0
        self.clients[request] = client
        load = client.load if self.fleet.hints else 0.0
        self.post(
            RequestReceived(
                request,
                deadline_ms,
                client.cls,
                key=client.key,
                group=client.group,
                load=load,
                returned=client.returned,
            )
        )

    def holds(self, client: Client) -> bool:
        return self.clients.get(client.request) is client

    def zone_of(self, client: Client) -> int | None:
        """The zone of the node at which it stands."""
        attempt = self.attempts.get(client.request)
        return attempt.backend.zone if attempt is not None and attempt.backend is not None else None

    def leave(self, client: Client) -> None:
        self.clients.pop(client.request, None)
        self.post(ClientDisconnected(client.request))

    def served_to_end(self, client: Client) -> None:
        attempt = self.attempts.get(client.request)
        if attempt is not None:
            self._release(attempt)
            self.post(AttemptEnded(attempt.request, attempt.number, TerminationReason.COMPLETED))

    def load_changed(self, client: Client, load: float) -> None:
        attempt = self.attempts.get(client.request)
        if attempt is not None and attempt.up and attempt.backend is not None:
            attempt.backend.change((self.index, attempt.request), load)
            if self.fleet.tells_load:
                self.post(LoadReported(attempt.request, load))

    # --- nodes ----------------------------------------------------------------------------------

    def _reach(self, effect: OpenBackendConnection) -> None:
        if effect.request in self.attempts:
            self.fleet.rules.note("one attempt out", self.clock.seconds, f"job {effect.request} at relay {self.index}")
        attempt = self.attempts[effect.request] = Attempt(
            effect.request, effect.attempt, self.fleet.backends.get(effect.backend)
        )
        if attempt.backend is not None and attempt.backend.silent:
            self.clock.after(effect.timeout_ms, self._unreached, attempt)
        else:
            self.clock.after(self.fleet.latency(), self._reached, attempt)

    def _unreached(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.request) is attempt and not attempt.sent:
            del self.attempts[attempt.request]
            self.post(AttemptEnded(attempt.request, attempt.number, TerminationReason.CONNECT_FAILED))

    def _reached(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.request) is not attempt:
            return
        if attempt.backend is None or not attempt.backend.alive:
            self._unreached(attempt)
        else:
            self.post(BackendConnected(attempt.request, attempt.number))

    def _ask(self, effect: ForwardRequest) -> None:
        attempt = self.attempts[effect.request]
        backend = attempt.backend
        assert backend is not None
        attempt.sent = True
        told = self.stopped_backends.get(backend.name)
        if told is not None and self.clock.now() > told + self.fleet.drain_grace_ms + GRACE_SLACK_MS:
            self.fleet.rules.note("drain", self.clock.seconds, f"{backend.name} was sent job {effect.request}")
        client = self.clients[effect.request]
        now = self.clock.now()
        worth, usual = self.fleet.worth_of(client.cls), self.fleet.usual_load(client.cls)
        if not backend.take(now, (self.index, effect.request), client.load, client.group, worth, usual):
            self.clock.after(self.fleet.latency(), self._turned_away, attempt)
            if backend.fallen:
                self.fleet.backend_died(backend)
            return
        self.clock.after(backend.set_up_time(now) + self.fleet.latency(), self._backend_up, attempt)

    def _turned_away(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.request) is attempt:
            del self.attempts[attempt.request]
            self.post(AttemptEnded(attempt.request, attempt.number, TerminationReason.REJECTED))

    def _backend_up(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.request) is attempt and attempt.backend is not None and attempt.backend.answers:
            attempt.up = True
            self.post(BackendAccepted(attempt.request, attempt.number))

    def backend_died(self, backend: ModelBackend) -> None:
        for attempt in [a for a in self.attempts.values() if a.backend is backend and a.sent]:
            del self.attempts[attempt.request]
            self.post(AttemptEnded(attempt.request, attempt.number, TerminationReason.CONNECTION_RESET))

    # --- what nodes tell ------------------------------------------------------------------------

    def _probe(self, effect: CheckHealth) -> None:
        backend = self.fleet.backends[effect.backend]
        self.fleet.counts["probes"] += 1
        ending = (
            TerminationReason.UNRESPONSIVE
            if backend.silent
            else TerminationReason.COMPLETED
            if backend.alive
            else TerminationReason.CONNECT_FAILED
        )
        wait = effect.timeout_ms if backend.silent else self.fleet.latency()
        self.clock.after(
            wait,
            self.post,
            HealthCheckCompleted(effect.backend, ending, wait, () if backend.silent else backend.reported),
        )

    def standing_at(self, backend: ModelBackend) -> list[Attempt]:
        return [a for a in self.attempts.values() if a.backend is backend and a.up]

    def noted(self, backend: ModelBackend, message_ms: float) -> None:
        """The node tells it on one connection of each relay."""
        for attempt in self.standing_at(backend)[:1]:
            self.post(UnclassifiedReport(attempt.request, message_ms))

    def unanswered(self, backend: ModelBackend) -> None:
        """Each submitter that stands there sends a line, and none comes back."""
        for attempt in self.standing_at(backend):
            if attempt.request in self.attempts:
                self.post(ClientDataForwarded(attempt.request))

    def _release(self, attempt: Attempt) -> None:
        self.attempts.pop(attempt.request, None)
        if attempt.backend is not None:
            attempt.backend.release((self.index, attempt.request))

    def _drop(self, effect: AbortAttempt) -> None:
        attempt = self.attempts.get(effect.request)
        if attempt is not None:
            self._release(attempt)

    # --- answers --------------------------------------------------------------------------------

    def _answered(self, request: int, what: str) -> Client | None:
        """Each job has one final answer; the submitter may have left before it."""
        client = self.clients.get(request)
        if client is not None:
            client.answers += 1
            if client.answers > 1:
                self.fleet.rules.note("one final answer", self.clock.seconds, f"job {request} got {what}")
            if self.clock.now() > client.deadline + self.fleet.answer_slack_ms:
                self.fleet.rules.note("in time", self.clock.seconds, f"job {request} got {what}")
        return client

    def _join(self, effect: StartRelaying) -> None:
        client = self._answered(effect.request, "UP")
        if client is not None:
            self.fleet.client_up(client)

    def _requeue(self, effect: RejectRequest) -> None:
        client = self._answered(effect.request, "BUSY")
        self.clients.pop(effect.request, None)
        if client is not None:
            self.fleet.client_refused(client, effect.retry_after_ms)

    def _deny(self, effect: FailRequest) -> None:
        client = self._answered(effect.request, "ERR")
        self.clients.pop(effect.request, None)
        if client is not None:
            self.fleet.client_refused(client, 0.0)

    def _move(self, effect: MigrateConnection) -> None:
        client, attempt = self.clients.pop(effect.request, None), self.attempts.get(effect.request)
        if attempt is None or client is None:
            self.fleet.rules.note("moves only what stands", self.clock.seconds, f"job {effect.request}")
            return
        backend = attempt.backend
        self._release(attempt)
        self.fleet.client_moved(client, backend)

    def _close(self, effect: CloseClientConnection) -> None:
        client, attempt = self.clients.pop(effect.request, None), self.attempts.get(effect.request)
        if attempt is not None:
            self._release(attempt)
        if client is not None:
            self.fleet.client_closed(client, effect.reason)


def machine(backend: ModelBackend, index: int, state: EndpointState, weight: float = 0.0) -> Endpoint:
    return Endpoint(backend.name, ("model", index), state, backend.zone, 0, 0, weight or backend.size, backend.started)
