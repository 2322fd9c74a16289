"""The one place where state changes: (state, event) -> effects. The module's Balancer sits inside.

Kept here, whatever the module or the network does: exactly one final answer for each job, one attempt out
at a time, numbered as the module counts, and no send to a node that was told draining or gone.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from math import ceil
from typing import TYPE_CHECKING, Any

from yarrowspindle.decisions import actions
from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.request_gate import ANSWER_MARGIN_MS
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.effects import (
    AbortAttempt,
    BackendRemoved,
    CancelHealthCheck,
    CancelTimer,
    CheckHealth,
    CloseClientConnection,
    Effect,
    FailRequest,
    ForwardRequest,
    LogMessage,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    SetTimer,
    StartRelaying,
    WatchEndpoints,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    BackendDataForwarded,
    ClientDataForwarded,
    ClientDisconnected,
    DiscoveryAddressChanged,
    DrainCancelled,
    EndpointsUpdated,
    Event,
    EventLoopStalled,
    HealthCheckCompleted,
    InternalError,
    LoadReported,
    MaintenanceUpdated,
    PeerLoadsUpdated,
    RebalancingConfigured,
    RequestReceived,
    SettingsChanged,
    ShutdownRequested,
    TimerFired,
    UnclassifiedReport,
    UnexpectedClientData,
    WallClockStepped,
)
from yarrowspindle.routing.load_reports import Kind
from yarrowspindle.routing.start_times import StartTimes
from yarrowspindle.routing.state import Backend, Phase, Request
from yarrowspindle.routing.termination import OUTCOMES, TerminationReason

if TYPE_CHECKING:
    from yarrowspindle.maintenance.evacuation import BackendEvacuator, MaintenancePlan
    from yarrowspindle.rebalancing import Rebalancer

PULSE, STOPPING, PLAN, LIST, EMPTY = "pulse", "stopping", "plan", "list", "empty"  # the reducer's own beats
PULSE_MS = 250.0
# Where lists are pushed, what the agent on this machine has counts as told at once, also on a watch that has fallen
# silent: the watch is renewed so that such word still comes within the drain's grace. The agent's answers cost nothing.
RENEW_FRACTION, MIN_RENEW_MS = 0.5, 250.0
SILENT_MS = 2500.0  # a standing connection whose lines go unanswered this long is moved (the rule says 7 s)
MUTE_MS = 1000.0  # an attempt at a node with such a connection, and with no word on any other, is given up
TELL_MS = 1000.0  # message times are told once a second for each node
PINNED_MS = 38_000.0  # connections from before the run have 40 s to come up
PINNED_AGAIN_MS = 400.0
STOP_BEAT_MS = 50.0
MAX_NAMED = 8  # nodes in one line of the log
PROBE_MS = 500.0  # an execute node that pauses for a quarter of a second answers within this, a lost one never
# Nobody is moved sooner after SIGTERM: the front still sends new connections here for 0.4 s, and in a rolling restart
# the relay before this one is up again only after 1.7 s (measured); who is moved before that finds no door.
STOP_QUIET_MS = 1500.0


def backend_id(name: str) -> int:
    """The module's number for a node: the same at every relay, whatever the order of the list."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


class Reducer:
    def __init__(self, settings: Settings, seed: int, now: float, list_at: Address | None = None) -> None:
        self.settings, self.now, self.list_at = settings, now, list_at
        self.balancer = Balancer(settings, seed, now)
        self.requests: dict[int, Request] = {}
        self.refs: set[str] = set()  # submitters' names of the jobs that are not over
        self.begun = False  # a job has come that was not open before the run
        self.backends: dict[str, Backend] = {}
        self.numbers: dict[int, Backend] = {}
        self.version = 0
        self.starts = StartTimes()
        self.stalled_at = 0.0  # until when this process stood still of late
        self.stop_at = 0.0  # when all must be over; 0: no stop
        self.exits = True  # whether the process ends after the stop, or outlives it (a drain)
        self.rebalance: Rebalancer | None = None
        self.level = 0.0  # as the module was told
        self.task: MaintenancePlan | None = None  # what the relays agreed on; None: they agree on nothing
        self.emptying: BackendEvacuator | None = None
        self.effects: list[Effect] = [SetTimer(PULSE_MS, PULSE)]
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._arrived,
            ClientDisconnected: self._left,
            UnexpectedClientData: self._out_of_turn,
            BackendConnected: self._reached,
            BackendAccepted: self._up,
            DiscoveryAddressChanged: self._reloaded,
            AttemptEnded: self._over,
            LoadReported: self._load,
            UnclassifiedReport: self._figure,
            ClientDataForwarded: self._asked,
            BackendDataForwarded: self._answered,
            EndpointsUpdated: self._list,
            TimerFired: self._woke,
            ShutdownRequested: self._stop,
            RebalancingConfigured: self._configure,
            EventLoopStalled: self._stalled,
            DrainCancelled: self._rejoin,
            SettingsChanged: self._retune,
            HealthCheckCompleted: self._probe_over,
            InternalError: self._step_failed,
            WallClockStepped: lambda event: self.starts.stepped(),
            PeerLoadsUpdated: lambda event: self._tell(event.loads),
            MaintenanceUpdated: self._turns_told,
        }

    def step(self, now: float, event: Event) -> list[Effect]:
        self.now = max(self.now, now)
        self.handlers[type(event)](event)
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        return effects

    # --- the module's side ----------------------------------------------------------------------

    def _tell(self, event: balancer_events.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self._act(action)

    def _act(self, action: actions.Action) -> None:
        if isinstance(action, actions.StartAttempt):
            self._send(self.requests[action.request], self.numbers.get(action.backend), action)
        elif isinstance(action, actions.RejectRequest):
            self._answer(action.request, RejectRequest(action.request, action.retry_after_ms, action.reason))
        elif isinstance(action, actions.FailRequest):
            self._answer(action.request, FailRequest(action.request, action.reason))
        elif isinstance(action, actions.MigrateConnection):
            self._move(self.requests.get(action.request))
        elif isinstance(action, actions.SetTimer):
            self.effects.append(SetTimer(action.delay_ms, action.token))
        elif isinstance(action, actions.CheckHealth):
            self._probe(self.numbers.get(action.backend))
        elif isinstance(action, actions.WatchEndpoints):
            self.effects.append(WatchEndpoints(self.version, self.list_at))
        elif isinstance(action, actions.LogMessage):
            self.effects.append(LogMessage(action.text))
        # A Cancel needs nothing more: it only comes for a job whose submitter left, and _left ends the attempt.

    def _probe(self, backend: Backend | None) -> None:
        if backend is not None and not gate.may_use_backend(backend.state):  # of any other the module knows enough
            self.effects.append(CheckHealth(backend.name, backend.address, PROBE_MS))

    def _probe_over(self, event: HealthCheckCompleted) -> None:
        backend = self.backends.get(event.backend)
        if backend is not None:
            self._tell(
                balancer_events.HealthCheckCompleted(
                    backend.number, OUTCOMES[event.reason], event.took_ms, event.report
                )
            )

    def _send(self, request: Request, backend: Backend | None, send: actions.StartAttempt) -> None:
        if refused := gate.may_answer(
            answer_pending=request.phase is not Phase.CLOSED, in_flight=request.phase is not Phase.QUEUED
        ):
            raise ValueError(f"job {request.id} is {request.phase.name}: {refused.value}")
        request.attempt += 1
        left = request.deadline - self.now
        if send.timeout_ms > 0.0:
            left = min(left, send.timeout_ms)
        request.begin_by = self.now + send.begin_ms
        if backend is None or gate.may_connect(backend.state, left):
            number = backend.number if backend else 0
            self._tell(
                balancer_events.AttemptEnded(
                    request.id, request.attempt, number, OUTCOMES[TerminationReason.NOT_SENT], False
                )
            )
            return
        self._reach(request, backend, left)

    def _reach(self, request: Request, backend: Backend, left: float) -> None:
        request.step(Phase.CONNECTING)
        request.backend, request.sent = backend, self.now
        backend.requests.add(request.id)
        within = min(left, self.settings.connect_timeout_ms, request.begin_by - self.now)
        self.effects.append(OpenBackendConnection(request.id, request.attempt, backend.name, backend.address, within))

    def _answer(self, number: int, answer: RejectRequest | FailRequest) -> None:
        request = self.requests.get(number)
        if request is not None and not gate.may_answer(
            answer_pending=request.phase is not Phase.ESTABLISHED, in_flight=request.out
        ):
            self._finish(request)
            self.effects.append(answer)
            if self.rebalance is not None and isinstance(answer, RejectRequest):
                self.rebalance.refused(self.now)
            if self.emptying is not None:
                self.emptying.requests_rejected = True

    def _finish(self, request: Request) -> None:
        self._leave_backend(request)
        if request.phase is not Phase.ESTABLISHED:
            self.effects.append(CancelTimer(("deadline", request.id)))
        request.step(Phase.CLOSED)
        del self.requests[request.id]
        self.refs.discard(request.ref)

    def _leave_backend(self, request: Request) -> None:
        if request.backend is not None:
            request.backend.requests.discard(request.id)
            self._forget(request.backend)

    def _ended(self, request: Request, ending: TerminationReason, finished: bool) -> None:
        """Tell the module how the attempt ended; `finished`: nothing more is owed for the job."""
        backend = request.backend
        if backend is None:
            raise ValueError(f"job {request.id} has no attempt")
        if self.rebalance is not None:
            if finished:
                self.rebalance.over(self.now, request.id, OUTCOMES[ending] is balancer_events.Outcome.RESET)
            elif ending not in (TerminationReason.NOT_SENT, TerminationReason.CONNECT_FAILED):
                self.rebalance.attempt_failed(self.now, backend.name, request.came.returned)
        if finished:
            self._finish(request)
        else:
            self._leave_backend(request)
            request.step(Phase.QUEUED)
        if request.adoption is None:
            lasted = self.now - request.sent
            number, outcome = backend.number, OUTCOMES[ending]
            self._tell(balancer_events.AttemptEnded(request.id, request.attempt, number, outcome, finished, lasted))
        elif not finished and ending is TerminationReason.CONNECT_FAILED:
            # All connections from before the run come at once, more than a node may take at a time.
            self.effects.append(SetTimer(PINNED_AGAIN_MS, ("again", request.id)))
        elif not finished:
            self._answer(request.id, RejectRequest(request.id, 0.0, RejectionReason.NO_USABLE_BACKEND))

    def _move(self, request: Request | None) -> None:
        if request is not None and not gate.may_migrate(established=request.phase is Phase.ESTABLISHED):
            self.effects.append(MigrateConnection(request.id))
            self._ended(request, TerminationReason.MIGRATED, True)

    # --- jobs -----------------------------------------------------------------------------------

    def _arrived(self, event: RequestReceived) -> None:
        if refused := self._may_take(event):
            harmless = refused is RejectionReason.SHUTTING_DOWN
            self.effects.append(
                RejectRequest(event.request, 0.0, refused) if harmless else FailRequest(event.request, refused)
            )
            return
        request = self.requests[event.request] = Request(event.request, self.now, event.left_ms, event)
        if self.rebalance is not None:
            self.rebalance.arrived(self.now)
        if event.ref:
            request.ref = event.ref
            self.refs.add(event.ref)
        if event.at:
            # A connection from before the run goes to the node that held it and nowhere else.
            request.adoption = balancer_events.ExistingConnection(
                event.request, backend_id(event.at), event.cls, event.tenant, event.key, event.load, event.group
            )
            request.backend, request.attempt = self.backends.get(event.at), 0
            request.deadline = self.now + PINNED_MS
        self.effects.append(
            SetTimer(max(request.deadline - self.now - ANSWER_MARGIN_MS, 0.0), ("deadline", request.id))
        )
        if request.adoption is not None:
            self._pin(request)
        else:
            self._tell(
                balancer_events.RequestReceived(
                    event.request,
                    event.cls,
                    event.tenant,
                    event.key,
                    event.left_ms,
                    event.load,
                    event.group,
                    event.repeated,
                    False,
                    event.returned,
                )
            )

    def _may_take(self, event: RequestReceived) -> RejectionReason | None:
        """Guards the nodes and the other jobs against a submitter that uses another's name, that would wait without
        end, or that picks its node itself once the run has begun (that could be one that drains). A job without a
        name was made by the front itself."""
        if not event.ref:
            return RejectionReason.SHUTTING_DOWN if self.ended(self.now) else None
        pinned = bool(event.at)
        refused = gate.may_admit(
            shutting_down=self.ended(self.now),
            id_in_use=event.ref in self.refs,
            names_backend=pinned,
            started=self.begun,
            remaining_ms=event.left_ms,
            class_deadline_ms=self.settings.classes[event.cls].deadline_ms,
        )
        if not pinned and (refused is None or refused is RejectionReason.SHUTTING_DOWN):
            self.begun = True
        return refused

    def _pin(self, request: Request) -> None:
        if (
            request.backend is None
            or request.backend.state is EndpointState.GONE
            or self._kept_off(request.backend.name)
        ):
            self._answer(request.id, RejectRequest(request.id, 0.0, RejectionReason.BACKEND_REMOVED))
        else:
            self._reach(request, request.backend, request.deadline - self.now)

    def _left(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request)
        if request is None:
            return
        if request.phase is not Phase.ESTABLISHED and request.adoption is None:
            self._tell(balancer_events.ClientDisconnected(request.id))
        if request.phase is Phase.QUEUED:
            self._finish(request)
        else:
            self.effects.append(AbortAttempt(request.id, request.attempt, TerminationReason.CLIENT_DISCONNECTED))
            self._ended(request, TerminationReason.CLIENT_DISCONNECTED, True)

    def _out_of_turn(self, event: UnexpectedClientData) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.phase is not Phase.ESTABLISHED:
            self._left(ClientDisconnected(request.id))
            self.effects.append(FailRequest(request.id, RejectionReason.UNEXPECTED_CLIENT_DATA))

    def _current(self, request: int, attempt: int) -> Request | None:
        """The job, where word on this attempt still matters."""
        found = self.requests.get(request)
        return found if found is not None and found.attempt == attempt and found.phase is not Phase.QUEUED else None

    def _reached(self, event: BackendConnected) -> None:
        request = self._current(event.request, event.attempt)
        if request is None or request.backend is None or request.phase is not Phase.CONNECTING:
            return
        refused = gate.may_forward(
            request.backend.state,
            sticky=request.adoption is not None,
            now=self.now,
            begin_by=request.begin_by,
            deadline=request.deadline,
        )
        if refused:
            self.effects.append(AbortAttempt(request.id, request.attempt, refused))
            self._ended(request, TerminationReason.NOT_SENT, False)
            return
        request.step(Phase.AWAITING_RESPONSE)
        self.effects.append(ForwardRequest(request.id, request.attempt, request.deadline - self.now))

    def _up(self, event: BackendAccepted) -> None:
        request = self._current(event.request, event.attempt)
        if request is None or request.backend is None or request.phase is not Phase.AWAITING_RESPONSE:
            return
        request.step(Phase.ESTABLISHED)
        request.backend.heard = request.since = self.now
        if self.rebalance is not None:
            self._book(self.rebalance, request, request.backend)
        self.effects += (CancelTimer(("deadline", request.id)), StartRelaying(request.id))
        if request.adoption is not None:
            self._tell(request.adoption)
            request.adoption = None
        else:
            self._tell(
                balancer_events.ConnectionEstablished(
                    request.id, request.attempt, request.backend.number, self.now - request.sent
                )
            )

    def _over(self, event: AttemptEnded) -> None:
        request = self._current(event.request, event.attempt)
        if request is None:
            return
        if request.phase is Phase.ESTABLISHED:
            self.effects.append(CloseClientConnection(request.id, event.reason))
            self._ended(request, event.reason, True)
        else:
            self._ended(request, event.reason, False)

    # --- standing connections -------------------------------------------------------------------

    def _load(self, event: LoadReported) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.backend is not None and request.adoption is None:
            request.load = event.load
            if self.rebalance is not None:
                self.rebalance.view.load(request.id, event.load)
            self._tell(balancer_events.LoadChanged(request.id, request.backend.number, event.load))

    def _figure(self, event: UnclassifiedReport) -> None:
        request = self.requests.get(event.request)
        if request is None or request.backend is None or request.phase is not Phase.ESTABLISHED:
            return
        self._settle(request.backend)
        if not self.settings.backend_reports_load:  # of the two that come in this form, loads are never told
            kind = Kind.TIME if self.settings.backend_reports_latency else Kind.OPEN
        else:
            kind = request.backend.figures.told(self.now, request.id, event.figure, self.requests.__contains__)
        if kind is Kind.LOAD:
            self._load(LoadReported(request.id, event.figure / 1000.0))
        elif kind is Kind.TIME:
            self._tell(balancer_events.SlowMessageObserved(request.id, request.backend.number, event.figure))

    def _settle(self, backend: Backend) -> None:
        settled = backend.figures.settle(self.now)
        if settled is not None:
            self._load(LoadReported(settled[0], settled[1] / 1000.0))

    def _asked(self, event: ClientDataForwarded) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.phase is Phase.ESTABLISHED:
            request.asked(self.now, event.lines)

    def _answered(self, event: BackendDataForwarded) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.backend is not None and request.unanswered:
            request.backend.heard = self.now
            request.backend.took.append(self.now - request.answered(event.lines))
            self._tell_delay(request.backend, request)

    def _tell_delay(self, backend: Backend, request: Request) -> None:
        """What a message takes at this node, once a second while that is long and once when it no longer is."""
        if not backend.took or self.now < backend.told_at + TELL_MS:
            return
        took = sum(backend.took) / len(backend.took)
        backend.took.clear()
        backend.told_at = self.now
        slow = 0.0 < self.settings.slow_message_ms < took
        if slow or backend.slow:
            backend.slow = slow
            self._tell(balancer_events.SlowMessageObserved(request.id, backend.number, took))

    def _pulse(self) -> None:
        self.effects.append(SetTimer(PULSE_MS, PULSE))
        # By way of the jobs: a beat must not cost a walk over the fleet.
        for backend in dict.fromkeys(j.backend for j in self.requests.values() if j.backend is not None):
            self._settle(backend)
        silent = [j for j in self.requests.values() if j.unanswered and self.now >= j.unanswered[0][0] + SILENT_MS]
        # A machine that vanished says nothing and its connections stay open: guard against waiting on.
        mute = {j.backend for j in silent if j.backend is not None and j.backend.heard < self.now - SILENT_MS}
        for request in silent:
            if request.phase is Phase.ESTABLISHED:
                self.effects.append(MigrateConnection(request.id, TerminationReason.UNRESPONSIVE))
                self._ended(request, TerminationReason.UNRESPONSIVE, True)
        for request in [j for j in self.requests.values() if j.phase is Phase.AWAITING_RESPONSE and j.backend in mute]:
            if request.sent < self.now - MUTE_MS:
                self.effects.append(AbortAttempt(request.id, request.attempt, TerminationReason.UNRESPONSIVE))
                self._ended(request, TerminationReason.UNRESPONSIVE, False)

    # --- the machine list -----------------------------------------------------------------------

    def _list(self, event: EndpointsUpdated, said: bool = True) -> None:
        if event.kind is ListKind.FAILED:
            self._tell(balancer_events.EndpointList(event.kind))
            if not self.settings.polls_discovery:
                self.effects.append(SetTimer(MIN_RENEW_MS, LIST))
            return
        self.version = event.version
        # Only what is told is looked at: one word on one node must not cost a walk over the fleet.
        touched: dict[str, EndpointState] = {}  # nodes told of, with their states before
        renewed: set[str] = set()  # those of them under a new start: chosen as warm, a node may be cold by now
        if event.kind is not ListKind.DELTA:
            listed = {m.name for m in event.endpoints}
            for name, backend in self.backends.items():
                if name not in listed:
                    touched[name], backend.state, backend.listed = backend.state, EndpointState.GONE, None
        entries = []
        for m in event.endpoints:
            if m.name not in self.backends:
                backend = self.backends[m.name] = Backend(
                    m.name,
                    backend_id(m.name),
                    self.settings.slow_message_ms if self.settings.backend_reports_latency else 0.0,
                )
                self.numbers[backend.number] = backend
                if self.task is not None and m.name in self.task.warming:
                    backend.cold_from = self.now
            backend = self.backends[m.name]
            touched.setdefault(m.name, backend.state)
            backend.address, backend.listed = m.address, m
            backend.state = (
                EndpointState.DRAINING if m.state is EndpointState.READY and self._kept_off(m.name) else m.state
            )
            backend.start = self.starts.dated(m.name, m.started_ms, backend.start, self.now, event.quiet_ms)
            before, backend.started = backend.started, max(backend.start.began_ms, backend.cold_from)
            backend.capacity = m.capacity
            if backend.started != before:
                renewed.add(m.name)
            if self.rebalance is not None:
                self.rebalance.view.backend(
                    self.now, m.name, backend.number, backend.state, m.capacity, backend.started
                )
            entries.append(
                balancer_events.Endpoint(
                    backend.number, m.zone, m.cell, backend.state, m.capacity, backend.started, m.kind
                )
            )
        if self.rebalance is not None:
            self.rebalance.view.list_over([self.backends[name] for name in touched])
        self._tell(balancer_events.EndpointList(event.kind, entries, event.version))
        changed = [self.backends[name] for name in sorted(touched)]
        turned = [backend for backend in changed if backend.state is not touched[backend.name]]
        if turned and said and event.kind is not ListKind.CACHED:  # operators ask what was told, and when
            named = ", ".join(f"{backend.name} {backend.state.name.lower()}" for backend in turned[:MAX_NAMED])
            more = f" and {len(turned) - MAX_NAMED} more" if len(turned) > MAX_NAMED else ""
            self.effects.append(LogMessage(f"machine list {event.version}: {named}{more}"))
        other = (backend for backend in changed if backend.state is not EndpointState.READY or backend.name in renewed)
        for number in sorted(n for backend in other for n in backend.requests):
            # Nothing was sent yet, and nothing may be sent to a node that drains or is gone; a new one is chosen anew.
            request = self.requests[number]
            if request.phase is Phase.CONNECTING and request.adoption is None:
                why = gate.may_use_backend(request.backend.state) if request.backend is not None else None
                self.effects.append(AbortAttempt(request.id, request.attempt, why or TerminationReason.NOT_SENT))
                self._ended(request, TerminationReason.NOT_SENT, False)
        for backend in changed:
            if self.settings.may_probe and (backend.name in renewed or gate.may_use_backend(backend.state)):
                self.effects.append(CancelHealthCheck(backend.name))
            if backend.state is EndpointState.GONE and touched[backend.name] is not EndpointState.GONE:
                self.effects.append(BackendRemoved(backend.name))
            self._forget(backend)
        if event.kind is ListKind.CACHED:
            self._watch_pushed(False)

    # --- machines out for work, where relays agree on them -----------------------------------------

    def _kept_off(self, name: str) -> bool:
        """Nothing is placed there: it is out for work, or this process does not know yet what is."""
        return self.task is not None and (self.task.excluded is None or name in self.task.excluded)

    def _turns_told(self, event: MaintenanceUpdated) -> None:
        """For the module a machine that is kept off is draining, and one that came back is cold."""
        from yarrowspindle.maintenance.evacuation import TICK_MS as EVACUATION_TICK_MS  # the platform does without it
        from yarrowspindle.maintenance.evacuation import BackendEvacuator

        before = {name for name in self.backends if self._kept_off(name)}
        had, self.task = self.task, event.plan
        for name in event.plan.warming - (had.warming if had is not None else frozenset()):
            if name in self.backends:
                self.backends[name].cold_from = self.now
        turned = [
            backend.listed
            for name, backend in self.backends.items()
            if backend.listed is not None and (name in before) != self._kept_off(name)
        ]
        if turned:
            self._list(EndpointsUpdated(ListKind.DELTA, turned, self.version), False)
        if self.emptying is None:
            self.emptying = BackendEvacuator(self.now)
            self.effects.append(SetTimer(EVACUATION_TICK_MS, EMPTY))
        self.emptying.set_plan(self.now, event.plan)

    def _empty(self) -> None:
        from yarrowspindle.maintenance.evacuation import TICK_MS as EVACUATION_TICK_MS

        self.effects.append(SetTimer(EVACUATION_TICK_MS, EMPTY))
        if self.emptying is None or self.task is None:
            return
        standing = {
            name: [n for n in sorted(backend.requests) if self.requests[n].phase is Phase.ESTABLISHED]
            for name in self.emptying.deadlines
            if (backend := self.backends.get(name)) is not None
        }
        for number in self.emptying.next_migrations(self.now, self.task, standing):
            self._move(self.requests.get(number))

    def _watch_pushed(self, renew: bool) -> None:
        """The module asks for the list only where it must; where lists are pushed a watch is open all the time."""
        if not self.settings.polls_discovery:
            self.effects.append(WatchEndpoints(self.version, self.list_at, renew))
            self.effects.append(SetTimer(max(RENEW_FRACTION * self.settings.drain_grace_ms, MIN_RENEW_MS), LIST))

    def _forget(self, backend: Backend) -> None:
        if backend.state is EndpointState.GONE and not backend.requests and self.backends.get(backend.name) is backend:
            del self.backends[backend.name], self.numbers[backend.number]
            if backend.start is not None:
                self.starts.gone(backend.name, backend.start, self.now)

    def _retune(self, event: SettingsChanged) -> None:
        """New jobs are judged by the new settings; those under way keep their class, whose entry stays."""
        self.settings = event.settings
        for backend in self.backends.values():
            backend.figures.slow = event.settings.slow_message_ms if event.settings.backend_reports_latency else 0.0
        self._tell(balancer_events.SettingsChanged(event.settings, event.reassigned_classes))

    def _reloaded(self, event: DiscoveryAddressChanged) -> None:
        if event.address != self.list_at:
            self.list_at = event.address
            # Asked anew for the whole list: another service may count its versions in another way.
            self.version = 0
            self.effects.append(WatchEndpoints(self.version, self.list_at))

    @property
    def classes(self) -> set[int]:
        """The numbers of classes that jobs are in."""
        return {request.came.cls for request in self.requests.values()} | {
            request.cls for request in self.balancer.requests.values()
        }

    # --- rebalancing ----------------------------------------------------------------------------

    def _configure(self, event: RebalancingConfigured) -> None:
        if event.settings is None:
            self.rebalance = None
            self.effects.append(CancelTimer(PLAN))
            self._level(0.0)
        elif self.rebalance is not None:
            self.rebalance.configure(event.settings)
        else:
            from yarrowspindle.rebalancing import Rebalancer  # the platform does without it

            settings = self.settings
            self.rebalance = Rebalancer(
                event.settings,
                event.seed,
                self.now,
                settings.balancers,
                settings.warmup_ms,
                settings.initial_capacity_fraction,
            )
            for backend in self.backends.values():
                self.rebalance.view.backend(
                    self.now, backend.name, backend.number, backend.state, backend.capacity, backend.started
                )
            if self.backends:
                self.rebalance.view.list_over(())
            for request in self.requests.values():
                if request.phase is Phase.ESTABLISHED and request.backend is not None:
                    self._book(self.rebalance, request, request.backend)
            if self.stop_at:
                self.rebalance.stop()
            self.effects.append(SetTimer(self.rebalance.first_beat_ms(), PLAN))

    def _book(self, rebalance: Rebalancer, request: Request, backend: Backend) -> None:
        came = request.came
        rebalance.opened(request.since, request.id, backend.name, request.load, came.key, came.group, came.returned)

    def _plan(self) -> None:
        rebalance = self.rebalance
        if rebalance is None:
            return
        self.effects.append(SetTimer(rebalance.beat_ms, PLAN))
        moves = rebalance.beat(self.now, *self.balancer.subset())
        self._level(rebalance.level)
        for number in moves:
            self._move(self.requests.get(number))
        self.effects += [LogMessage(text) for text in rebalance.take_notes()]

    def _level(self, level: float) -> None:
        if level != self.level:
            self.level = level
            self._tell(balancer_events.RebalancingTarget(level))

    # --- time -----------------------------------------------------------------------------------

    def _woke(self, event: TimerFired) -> None:
        if event.timer == PULSE:
            self._pulse()
        elif event.timer == PLAN:
            self._plan()
        elif event.timer == LIST:
            self._watch_pushed(True)
        elif event.timer == EMPTY:
            self._empty()
        elif event.timer == STOPPING:
            self._move_all()
        elif isinstance(event.timer, int):
            self._tell(balancer_events.TimerFired(event.timer))
        elif isinstance(event.timer, tuple):
            kind, number = event.timer
            request = self.requests.get(number)
            if request is not None and kind == "deadline":
                self._deadline(request)
            elif request is not None and kind == "again" and request.phase is Phase.QUEUED:
                self._pin(request)

    def _deadline(self, request: Request) -> None:
        if request.out:
            self.effects.append(AbortAttempt(request.id, request.attempt, RejectionReason.DEADLINE_EXCEEDED))
            stalled = request.deadline - ANSWER_MARGIN_MS <= self.stalled_at
            request.deadline = self.now
            self._ended(
                request, TerminationReason.EVENT_LOOP_STALLED if stalled else TerminationReason.DEADLINE_EXCEEDED, False
            )
        if request.phase is Phase.QUEUED and request.adoption is None:
            # What may have run is not called harmless to repeat: the balancer knows.
            self._tell(balancer_events.DeadlineReached(request.id))
        if request.phase is Phase.QUEUED:
            self._answer(request.id, RejectRequest(request.id, 0.0, RejectionReason.DEADLINE_EXCEEDED))

    def _stalled(self, event: EventLoopStalled) -> None:
        """Silence is counted from when we could hear again: answers may have waited in our own sockets."""
        self.stalled_at = self.now
        for request in self.requests.values():
            if request.out:
                request.sent = min(self.now, request.sent + event.for_ms)
            for stamp in request.unanswered:
                stamp[0] = min(self.now, stamp[0] + event.for_ms)
        for backend in self.backends.values():
            backend.heard = min(self.now, backend.heard + event.for_ms)

    def _step_failed(self, event: InternalError) -> None:
        """Whatever is left undone of this job, its client gets its answer. The module is told last: it may be what
        failed."""
        request = self.requests.get(event.request)
        if request is None:
            if event.arrived:
                self.effects.append(FailRequest(event.request, RejectionReason.INTERNAL_ERROR))
            return
        backend, phase, attempt = request.backend, request.phase, request.attempt
        if phase is Phase.ESTABLISHED:
            self.effects.append(MigrateConnection(request.id))
        else:
            if request.out:
                self.effects.append(AbortAttempt(request.id, attempt, RejectionReason.INTERNAL_ERROR))
            self.effects.append(FailRequest(request.id, RejectionReason.INTERNAL_ERROR))
        self._finish(request)
        if request.adoption is not None:
            return
        if phase is not Phase.ESTABLISHED:
            self._tell(balancer_events.ClientDisconnected(request.id))
        if backend is not None and phase is not Phase.QUEUED:
            outcome = balancer_events.Outcome.CANCELLED
            self._tell(balancer_events.AttemptEnded(request.id, attempt, backend.number, outcome, True))

    def _stop(self, event: ShutdownRequested) -> None:
        """Move every client, spread over the time there is; what comes meanwhile is served and moved as well."""
        self.stop_at, self.exits = self.now + event.within_ms, event.process_exits
        if self.rebalance is not None:
            self.rebalance.stop()
        self.effects.append(SetTimer(min(STOP_QUIET_MS, event.within_ms / 2.0), STOPPING))

    def _rejoin(self, event: DrainCancelled) -> None:
        if self.stop_at:
            self.stop_at = 0.0
            self.effects.append(CancelTimer(STOPPING))
            if self.rebalance is not None:
                self.rebalance.stopped = False

    @property
    def draining(self) -> bool:
        return self.stop_at > 0.0

    def ended(self, now: float) -> bool:
        """The process ends: all was moved or answered, and nothing is begun any more."""
        return self.exits and 0.0 < self.stop_at <= now

    def _move_all(self) -> None:
        left = self.stop_at - self.now
        # The next beat first: one job that cannot be moved must not keep the others here.
        self.effects.append(SetTimer(min(left, STOP_BEAT_MS) if left > 0.0 else STOP_BEAT_MS, STOPPING))
        standing = [j for j in self.requests.values() if j.phase is Phase.ESTABLISHED]
        if left <= 0.0:
            # A drain that the process outlives: whoever still comes is served and moved in its turn.
            for request in list(self.requests.values()):
                if request.phase is Phase.ESTABLISHED:
                    self._move(request)
                elif self.exits:
                    self._deadline(request)
            return
        # As many now as leave the rest for the beats that remain.
        beats = max(1.0, left / STOP_BEAT_MS - 1.0)
        for request in standing[: ceil(len(standing) / beats)]:
            self._move(request)
