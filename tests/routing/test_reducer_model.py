"""Random steps of the network against a model of a job's states: what the reducer asks for must fit the model."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace
from itertools import count

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tests import helpers
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.settings import RequestClass
from yarrowspindle.maintenance.evacuation import MaintenancePlan
from yarrowspindle.routing.effects import (
    AbortAttempt,
    CancelTimer,
    CloseClientConnection,
    FailRequest,
    ForwardRequest,
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
    Endpoint,
    EndpointsUpdated,
    Event,
    LoadReported,
    MaintenanceUpdated,
    RequestReceived,
    SettingsChanged,
    ShutdownRequested,
    TimerFired,
    UnexpectedClientData,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.termination import OUTCOMES, TerminationReason
from yarrowspindle.telemetry import Telemetry

DEADLINE = 2000.0
NAMES = ("a", "b", "c")
FAILED = st.sampled_from(
    (
        TerminationReason.REJECTED,
        TerminationReason.BACKEND_ERROR,
        TerminationReason.PROTOCOL_ERROR,
        TerminationReason.CONNECT_FAILED,
        TerminationReason.CONNECTION_RESET,
    )
)
ENDED = st.sampled_from(
    (
        TerminationReason.COMPLETED,
        TerminationReason.BACKEND_DRAINING,
        TerminationReason.CONNECTION_RESET,
        TerminationReason.BACKEND_REMOVED,
        TerminationReason.IDLE_EXPIRED,
    )
)


@dataclass
class Seen:
    """A job as its submitter and the nodes see it."""

    deadline: float
    attempts: int = 0
    out: str = ""  # the node that an attempt is out at
    asked: bool = False
    open: bool = False
    over: bool = False


class Relayed(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 99))
    def start(self, seed: int) -> None:
        self.now, self.numbers = 1000.0, count(1)
        self.reducer = Reducer(
            helpers.settings(
                classes=(RequestClass(800.0, DEADLINE, message_latency_objective_ms=150.0),),
                max_attempts=3,
                retry_after=True,
                max_retry_after_ms=2000.0,
                polls_discovery=True,
            ),
            seed,
            self.now,
        )
        self.telemetry = Telemetry(self.reducer, str)
        self.requests: dict[int, Seen] = {}
        self.states = dict.fromkeys(NAMES, EndpointState.READY)
        self.off: frozenset[str] = frozenset()
        self.timers: list[tuple[float, int, object]] = []
        self.dead: set[object] = set()
        self.tell(EndpointsUpdated(ListKind.CACHED, [Endpoint(n, ("127.0.0.1", 1)) for n in NAMES]))

    # --- the world's side -----------------------------------------------------------------------

    def pick(self, draw: int, **wanted: bool) -> int | None:
        fits = [
            n
            for n, j in self.requests.items()
            if all(bool(getattr(j, k)) == v for k, v in (wanted | {"over": False}).items())
        ]
        return fits[draw % len(fits)] if fits else None

    @rule(left=st.sampled_from((DEADLINE, 300.0, 1.0)), at=st.sampled_from(("", "", "", "b", "nobody")))
    def arrive(self, left: float, at: str) -> None:
        number = next(self.numbers)
        self.requests[number] = Seen(self.now + (38_000.0 if at else left))
        self.tell(RequestReceived(number, left, previous_backend=at))

    @rule(draw=st.integers(0, 9))
    def reached(self, draw: int) -> None:
        number = self.pick(draw, out=True, asked=False, open=False)
        if number:
            self.tell(BackendConnected(number, self.requests[number].attempts - 1))

    @rule(draw=st.integers(0, 9))
    def up(self, draw: int) -> None:
        number = self.pick(draw, asked=True, open=False)
        if number:
            self.tell(BackendAccepted(number, self.requests[number].attempts - 1))
            assert self.requests[number].open

    @rule(draw=st.integers(0, 9), ending=FAILED)
    def fails(self, draw: int, ending: TerminationReason) -> None:
        number = self.pick(draw, out=True, open=False)
        if number:
            request = self.requests[number]
            request.out, request.asked = "", False
            self.tell(AttemptEnded(number, request.attempts - 1, ending))

    @rule(draw=st.integers(0, 9), ending=ENDED)
    def ends(self, draw: int, ending: TerminationReason) -> None:
        number = self.pick(draw, open=True)
        if number:
            self.tell(AttemptEnded(number, self.requests[number].attempts - 1, ending))
            assert self.requests[number].over

    @rule(draw=st.integers(0, 9))
    def leave(self, draw: int) -> None:
        number = self.pick(draw)
        if number:
            request = self.requests[number]
            was_out, request.over = request.out, True
            self.tell(ClientDisconnected(number))
            assert not (was_out and request.out), "the node's side is given up"

    @rule(draw=st.integers(0, 9))
    def out_of_turn(self, draw: int) -> None:
        number = self.pick(draw, open=False)
        if number:
            self.tell(UnexpectedClientData(number))
            assert self.requests[number].over, "it is denied, and nothing is left out"

    @rule(left=st.sampled_from((DEADLINE, 90_000.0)), ref=st.sampled_from("abc"), at=st.sampled_from(("", "b")))
    def named(self, left: float, ref: str, at: str) -> None:
        """A submitter that uses an open job's name, would wait without end, or picks its node in mid-run is denied."""
        number = next(self.numbers)
        taken = ref in self.reducer.context.client_request_ids
        self.requests[number] = Seen(self.now + (38_000.0 if at else left))
        begun = self.reducer.context.serving_new_requests
        self.tell(RequestReceived(number, left, previous_backend=at, client_request_id=ref))
        if taken or left > DEADLINE and not at or at and begun:
            assert (
                self.requests[number].over
                and self.requests[number].attempts == 0
                and (ref in self.reducer.context.client_request_ids) == taken
            )

    @rule(port=st.integers(1, 2))
    def reload(self, port: int) -> None:
        before = self.reducer.discovery_address
        effects = self.reducer.step(self.now, DiscoveryAddressChanged(("127.0.0.1", port)))
        assert effects == ([] if before == ("127.0.0.1", port) else [WatchEndpoints(0, ("127.0.0.1", port))])

    @rule(draw=st.integers(0, 9), load=st.floats(0.0, 900.0), answered=st.booleans())
    def talk(self, draw: int, load: float, answered: bool) -> None:
        number = self.pick(draw, open=True)
        if number:
            self.tell(LoadReported(number, load))
            self.tell(ClientDataForwarded(number))
            if answered and not self.requests[number].over:
                self.tell(BackendDataForwarded(number))

    @rule(request=st.integers(0, 30), attempt=st.integers(0, 3), ending=FAILED)
    def stale(self, request: int, attempt: int, ending: TerminationReason) -> None:
        """Word on what is over, or never was, changes nothing."""
        seen = self.requests.get(request)
        if seen is None or seen.over or attempt != seen.attempts - 1:
            assert self.reducer.step(self.now, AttemptEnded(request, attempt, ending)) == []
            assert self.reducer.step(self.now, BackendAccepted(request, attempt)) == []

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(list(EndpointState)))
    def list_changes(self, name: str, state: EndpointState) -> None:
        self.states[name] = state
        self.tell(EndpointsUpdated(ListKind.DELTA, [Endpoint(name, ("127.0.0.1", 1), state)]))
        for request in self.requests.values():
            assert (
                request.over
                or request.asked
                or request.open
                or not request.out
                or self.states[request.out] is EndpointState.READY
                or (request.deadline > DEADLINE + 10_000.0)
            ), "nothing unsent stays on its way to a node that is not ready"

    @rule(off=st.frozensets(st.sampled_from(NAMES)), unread=st.booleans(), deadline=st.sampled_from((0.0, 5.0)))
    def turns(self, off: frozenset[str], unread: bool, deadline: float) -> None:
        """Machines are out for work, or this process does not know which: nothing is placed there."""
        back = self.off - off
        self.off = frozenset(NAMES) if unread else off
        self.tell(MaintenanceUpdated(MaintenancePlan(None if unread else off, dict.fromkeys(off, deadline), back)))
        for request in self.requests.values():
            assert (
                request.over
                or request.asked
                or request.open
                or request.out not in self.off
                or request.deadline > DEADLINE + 10_000.0
            )

    @rule(passed=st.sampled_from((1.0, 50.0, 700.0, 3000.0)))
    def time_passes(self, passed: float) -> None:
        goal = self.now + passed
        while self.timers and self.timers[0][0] <= goal:
            self.now, order, what = heapq.heappop(self.timers)
            if (order, what) not in self.dead:
                self.tell(TimerFired(what))
        self.now = goal

    @precondition(lambda self: not self.reducer.context.shutdown_deadline)
    @rule()
    def stop(self) -> None:
        self.tell(ShutdownRequested(2800.0))

    @precondition(lambda self: not self.reducer.context.shutdown_deadline)
    @rule()
    def evacuate(self) -> None:
        self.tell(ShutdownRequested(2500.0, process_exits=False))

    @rule()
    def rejoin(self) -> None:
        if not self.reducer.process_exits:
            self.tell(DrainCancelled())

    @rule(attempts=st.integers(1, 3), deadline=st.sampled_from((DEADLINE, 900.0)))
    def retune(self, attempts: int, deadline: float) -> None:
        settings = self.reducer.settings
        classes = (*settings.classes, RequestClass(800.0, deadline, message_latency_objective_ms=150.0))[
            :4
        ]  # numbers stay
        self.tell(SettingsChanged(replace(settings, classes=classes, max_attempts=attempts)))

    # --- the relay's side -----------------------------------------------------------------------

    def tell(self, event: Event) -> None:
        self.telemetry.on_event(event)
        for effect in self.reducer.step(self.now, event):
            self.telemetry.on_effect(effect)
            if isinstance(effect, SetTimer):
                heapq.heappush(self.timers, (self.now + effect.delay_ms, next(self.numbers), effect.timer))
            elif isinstance(effect, CancelTimer):
                self.dead |= {(order, what) for _, order, what in self.timers if what == effect.timer}
            elif isinstance(
                effect,
                OpenBackendConnection
                | ForwardRequest
                | AbortAttempt
                | StartRelaying
                | RejectRequest
                | FailRequest
                | MigrateConnection
                | CloseClientConnection,
            ):
                self.check(effect)

    def check(
        self,
        effect: OpenBackendConnection
        | ForwardRequest
        | AbortAttempt
        | StartRelaying
        | RejectRequest
        | FailRequest
        | MigrateConnection
        | CloseClientConnection,
    ) -> None:
        request = self.requests[effect.request]
        if isinstance(effect, AbortAttempt):
            assert request.out and effect.attempt == request.attempts - 1
            request.out, request.asked = "", False
            return
        assert not request.over, "nothing follows the end of a job"
        if isinstance(effect, OpenBackendConnection):
            assert not request.out and self.now < request.deadline and effect.backend not in self.off
            assert (
                self.states[effect.backend] is EndpointState.READY
                or effect.attempt == 0
                and request.deadline > self.now + 3000.0
            )
            assert effect.attempt >= request.attempts or effect.attempt == 0 and request.attempts == 1
            request.out, request.asked, request.attempts = effect.backend, False, effect.attempt + 1
        elif isinstance(effect, ForwardRequest):
            assert request.out and not request.asked and effect.remaining_ms > 0.0
            request.asked = True
        elif isinstance(effect, StartRelaying):
            assert request.asked and not request.open
            request.open = True
        elif isinstance(effect, RejectRequest | FailRequest):
            assert not request.open and not request.out, "one answer, and none while an attempt is out"
            request.over = True
        else:
            assert request.open
            request.over, request.out = True, ""

    @invariant()
    def kept(self) -> None:
        if not hasattr(self, "requests"):
            return
        for number, request in self.requests.items():
            assert (number in self.reducer.requests) != request.over
            assert request.over or request.open or self.now <= request.deadline
        held = {
            j.id for n in self.reducer.backends.values() for j in map(self.reducer.requests.__getitem__, n.requests)
        }
        assert held == {n for n, j in self.requests.items() if j.out and not j.over}
        counts = self.telemetry.counts
        answered = sum(counts[f"{figure}.0"] for figure in ("success", "busy", "failure", "abandoned"))
        assert counts["taken.0"] == answered + len(self.telemetry.waiting), "the figures add up"
        assert set(self.telemetry.waiting) <= set(self.reducer.requests), "who waits is a job"
        assert self.telemetry.figures()["inflight"] == len([j for j in self.requests.values() if not j.over])
        if (
            self.reducer.context.shutdown_deadline
            and self.reducer.process_exits
            and self.now > self.reducer.context.shutdown_deadline + 100.0
        ):
            assert all(j.over for n, j in self.requests.items() if j.deadline <= self.reducer.context.shutdown_deadline)


Relayed.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
TestRelayed = Relayed.TestCase


def test_every_ending_has_its_outcome() -> None:
    assert set(OUTCOMES) == set(TerminationReason)
