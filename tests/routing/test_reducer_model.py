"""Property test of the reducer: random events, whose effects must agree with a model of each request."""

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

DEADLINE_MS = 2000.0
EXISTING_CONNECTION_DEADLINE_MS = 38_000.0  # repeated here, so that the test detects a change
BACKEND_NAMES = ("a", "b", "c")
ATTEMPT_FAILURES = st.sampled_from(
    (
        TerminationReason.REJECTED,
        TerminationReason.BACKEND_ERROR,
        TerminationReason.PROTOCOL_ERROR,
        TerminationReason.CONNECT_FAILED,
        TerminationReason.CONNECTION_RESET,
    )
)
CONNECTION_ENDS = st.sampled_from(
    (
        TerminationReason.COMPLETED,
        TerminationReason.BACKEND_DRAINING,
        TerminationReason.CONNECTION_RESET,
        TerminationReason.BACKEND_REMOVED,
        TerminationReason.IDLE_EXPIRED,
    )
)


@dataclass
class ModelRequest:
    """A request as seen by its client and the backends; `backend` has its attempt or connection, if any."""

    deadline: float
    attempts: int = 0
    backend: str = ""
    forwarded: bool = False
    established: bool = False
    closed: bool = False


class ReducerMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 99))
    def start(self, seed: int) -> None:
        self.now, self.next_id = 1000.0, count(1)
        self.reducer = Reducer(
            helpers.settings(
                classes=(RequestClass(800.0, DEADLINE_MS, message_latency_objective_ms=150.0),),
                max_attempts=3,
                clients_heed_retry_after=True,
                max_retry_after_ms=2000.0,
                polls_discovery=True,
            ),
            seed,
            self.now,
        )
        self.telemetry = Telemetry(self.reducer, str)
        self.requests: dict[int, ModelRequest] = {}
        self.endpoint_states = dict.fromkeys(BACKEND_NAMES, EndpointState.READY)
        self.excluded: frozenset[str] = frozenset()
        self.timers: list[tuple[float, int, object]] = []
        self.cancelled_timers: set[object] = set()
        self.step(EndpointsUpdated(ListKind.CACHED, [Endpoint(name, ("127.0.0.1", 1)) for name in BACKEND_NAMES]))

    # --- events ------------------------------------------------------------------------------------

    def pick_request(self, draw: int, **expected: bool) -> int | None:
        matching = [
            request_id
            for request_id, request in self.requests.items()
            if all(bool(getattr(request, field)) == value for field, value in (expected | {"closed": False}).items())
        ]
        return matching[draw % len(matching)] if matching else None

    @rule(
        remaining_ms=st.sampled_from((DEADLINE_MS, 300.0, 1.0)),
        previous_backend=st.sampled_from(("", "", "", "b", "nobody")),
    )
    def receive_request(self, remaining_ms: float, previous_backend: str) -> None:
        request_id = next(self.next_id)
        self.requests[request_id] = ModelRequest(
            self.now + (EXISTING_CONNECTION_DEADLINE_MS if previous_backend else remaining_ms)
        )
        self.step(RequestReceived(request_id, remaining_ms, previous_backend=previous_backend))

    @rule(draw=st.integers(0, 9))
    def backend_connected(self, draw: int) -> None:
        request_id = self.pick_request(draw, backend=True, forwarded=False, established=False)
        if request_id:
            self.step(BackendConnected(request_id, self.requests[request_id].attempts - 1))

    @rule(draw=st.integers(0, 9))
    def backend_accepted(self, draw: int) -> None:
        request_id = self.pick_request(draw, forwarded=True, established=False)
        if request_id:
            self.step(BackendAccepted(request_id, self.requests[request_id].attempts - 1))
            assert self.requests[request_id].established

    @rule(draw=st.integers(0, 9), reason=ATTEMPT_FAILURES)
    def attempt_fails(self, draw: int, reason: TerminationReason) -> None:
        request_id = self.pick_request(draw, backend=True, established=False)
        if request_id:
            request = self.requests[request_id]
            request.backend, request.forwarded = "", False
            self.step(AttemptEnded(request_id, request.attempts - 1, reason))

    @rule(draw=st.integers(0, 9), reason=CONNECTION_ENDS)
    def connection_ends(self, draw: int, reason: TerminationReason) -> None:
        request_id = self.pick_request(draw, established=True)
        if request_id:
            self.step(AttemptEnded(request_id, self.requests[request_id].attempts - 1, reason))
            assert self.requests[request_id].closed

    @rule(draw=st.integers(0, 9))
    def client_disconnects(self, draw: int) -> None:
        request_id = self.pick_request(draw)
        if request_id:
            request = self.requests[request_id]
            aborted_backend, request.closed = request.backend, True
            self.step(ClientDisconnected(request_id))
            assert not (aborted_backend and request.backend), "the attempt is aborted"

    @rule(draw=st.integers(0, 9))
    def unexpected_client_data(self, draw: int) -> None:
        request_id = self.pick_request(draw, established=False)
        if request_id:
            self.step(UnexpectedClientData(request_id))
            assert self.requests[request_id].closed, "the request fails, and no attempt stays in flight"

    @rule(
        remaining_ms=st.sampled_from((DEADLINE_MS, 90_000.0)),
        client_request_id=st.sampled_from("abc"),
        previous_backend=st.sampled_from(("", "b")),
    )
    def receive_request_with_id(self, remaining_ms: float, client_request_id: str, previous_backend: str) -> None:
        """A request with an id in use, an excessive deadline, or a late previous backend gets no attempt."""
        request_id = next(self.next_id)
        in_use = self.reducer.knows_request_id(client_request_id)
        self.requests[request_id] = ModelRequest(
            self.now + (EXISTING_CONNECTION_DEADLINE_MS if previous_backend else remaining_ms)
        )
        serving = self.reducer.context.serving_new_requests
        self.step(
            RequestReceived(
                request_id, remaining_ms, previous_backend=previous_backend, client_request_id=client_request_id
            )
        )
        if in_use or (remaining_ms > DEADLINE_MS and not previous_backend) or (previous_backend and serving):
            assert (
                self.requests[request_id].closed
                and self.requests[request_id].attempts == 0
                and self.reducer.knows_request_id(client_request_id) == in_use
            )

    @rule(port=st.integers(1, 2))
    def change_discovery_address(self, port: int) -> None:
        before = self.reducer.discovery_address
        effects = self.reducer.step(self.now, DiscoveryAddressChanged(("127.0.0.1", port)))
        assert effects == ([] if before == ("127.0.0.1", port) else [WatchEndpoints(0, ("127.0.0.1", port))])

    @rule(draw=st.integers(0, 9), load=st.floats(0.0, 900.0), answered=st.booleans())
    def exchange_data(self, draw: int, load: float, answered: bool) -> None:
        request_id = self.pick_request(draw, established=True)
        if request_id:
            self.step(LoadReported(request_id, load))
            self.step(ClientDataForwarded(request_id))
            if answered and not self.requests[request_id].closed:
                self.step(BackendDataForwarded(request_id))

    @rule(request=st.integers(0, 30), attempt=st.integers(0, 3), reason=ATTEMPT_FAILURES)
    def stale_attempt_event(self, request: int, attempt: int, reason: TerminationReason) -> None:
        """An event for an attempt that has ended, or never started, has no effect."""
        known_request = self.requests.get(request)
        if known_request is None or known_request.closed or attempt != known_request.attempts - 1:
            assert self.reducer.step(self.now, AttemptEnded(request, attempt, reason)) == []
            assert self.reducer.step(self.now, BackendAccepted(request, attempt)) == []

    @rule(name=st.sampled_from(BACKEND_NAMES), state=st.sampled_from(list(EndpointState)))
    def update_endpoint(self, name: str, state: EndpointState) -> None:
        self.endpoint_states[name] = state
        self.step(EndpointsUpdated(ListKind.DELTA, [Endpoint(name, ("127.0.0.1", 1), state)]))
        for request in self.requests.values():
            assert (
                request.closed
                or request.forwarded
                or request.established
                or not request.backend
                or self.endpoint_states[request.backend] is EndpointState.READY
                or (request.deadline > DEADLINE_MS + 10_000.0)
            ), "no attempt stays unsent at a backend that is not ready"

    @rule(
        excluded=st.frozensets(st.sampled_from(BACKEND_NAMES)),
        unread=st.booleans(),
        deadline=st.sampled_from((0.0, 5.0)),
    )
    def update_maintenance(self, excluded: frozenset[str], unread: bool, deadline: float) -> None:
        """No attempt starts at a backend in maintenance, nor at any backend before the first plan was read."""
        readmitted = self.excluded - excluded
        self.excluded = frozenset(BACKEND_NAMES) if unread else excluded
        self.step(
            MaintenanceUpdated(
                MaintenancePlan(None if unread else excluded, dict.fromkeys(excluded, deadline), readmitted)
            )
        )
        for request in self.requests.values():
            assert (
                request.closed
                or request.forwarded
                or request.established
                or request.backend not in self.excluded
                or request.deadline > DEADLINE_MS + 10_000.0
            )

    @rule(elapsed_ms=st.sampled_from((1.0, 50.0, 700.0, 3000.0)))
    def advance_time(self, elapsed_ms: float) -> None:
        end = self.now + elapsed_ms
        while self.timers and self.timers[0][0] <= end:
            self.now, order, timer = heapq.heappop(self.timers)
            if (order, timer) not in self.cancelled_timers:
                self.step(TimerFired(timer))
        self.now = end

    @precondition(lambda self: not self.reducer.context.shutdown_deadline)
    @rule()
    def request_shutdown(self) -> None:
        self.step(ShutdownRequested(2800.0))

    @precondition(lambda self: not self.reducer.context.shutdown_deadline)
    @rule()
    def request_drain(self) -> None:
        self.step(ShutdownRequested(2500.0, process_exits=False))

    @rule()
    def cancel_drain(self) -> None:
        if not self.reducer.process_exits:
            self.step(DrainCancelled())

    @rule(attempts=st.integers(1, 3), deadline=st.sampled_from((DEADLINE_MS, 900.0)))
    def change_settings(self, attempts: int, deadline: float) -> None:
        settings = self.reducer.settings
        # Existing classes keep their numbers.
        classes = (*settings.classes, RequestClass(800.0, deadline, message_latency_objective_ms=150.0))[:4]
        self.step(SettingsChanged(replace(settings, classes=classes, max_attempts=attempts)))

    # --- effects -----------------------------------------------------------------------------------

    def step(self, event: Event) -> None:
        self.telemetry.on_event(event)
        for effect in self.reducer.step(self.now, event):
            self.telemetry.on_effect(effect)
            if isinstance(effect, SetTimer):
                heapq.heappush(self.timers, (self.now + effect.delay_ms, next(self.next_id), effect.timer))
            elif isinstance(effect, CancelTimer):
                self.cancelled_timers |= {(order, timer) for _, order, timer in self.timers if timer == effect.timer}
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
            assert request.backend and effect.attempt == request.attempts - 1
            request.backend, request.forwarded = "", False
            return
        assert not request.closed, "no effect after the end of a request"
        if isinstance(effect, OpenBackendConnection):
            assert not request.backend and self.now < request.deadline and effect.backend not in self.excluded
            assert self.endpoint_states[effect.backend] is EndpointState.READY or (
                effect.attempt == 0 and request.deadline > self.now + 3000.0
            )
            assert effect.attempt >= request.attempts or (effect.attempt == 0 and request.attempts == 1)
            request.backend, request.forwarded, request.attempts = effect.backend, False, effect.attempt + 1
        elif isinstance(effect, ForwardRequest):
            assert request.backend and not request.forwarded and effect.remaining_ms > 0.0
            request.forwarded = True
        elif isinstance(effect, StartRelaying):
            assert request.forwarded and not request.established
            request.established = True
        elif isinstance(effect, RejectRequest | FailRequest):
            assert not request.established and not request.backend, (
                "one final answer, and none while an attempt is in flight"
            )
            request.closed = True
        else:
            assert request.established
            request.closed, request.backend = True, ""

    @invariant()
    def state_matches_the_model(self) -> None:
        if not hasattr(self, "requests"):
            return
        for request_id, request in self.requests.items():
            assert (request_id in self.reducer.requests) != request.closed
            assert request.closed or request.established or self.now <= request.deadline
        in_use = {
            request.id
            for backend in self.reducer.backends.values()
            for request in map(self.reducer.requests.__getitem__, backend.requests)
        }
        assert in_use == {
            request_id for request_id, request in self.requests.items() if request.backend and not request.closed
        }
        counts = self.telemetry.counts
        answered = sum(counts[f"{outcome}.0"] for outcome in ("success", "busy", "failure", "abandoned"))
        assert counts["taken.0"] == answered + len(self.telemetry.waiting), (
            "each received request is counted once: as answered or as waiting"
        )
        assert set(self.telemetry.waiting) <= set(self.reducer.requests), "only open requests are waiting"
        assert self.telemetry.figures()["inflight"] == len(
            [request for request in self.requests.values() if not request.closed]
        )
        if (
            self.reducer.context.shutdown_deadline
            and self.reducer.process_exits
            and self.now > self.reducer.context.shutdown_deadline + 100.0
        ):
            assert all(
                request.closed
                for _, request in self.requests.items()
                if request.deadline <= self.reducer.context.shutdown_deadline
            )


ReducerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
TestReducerMachine = ReducerMachine.TestCase


def test_every_termination_reason_has_an_outcome() -> None:
    assert set(OUTCOMES) == set(TerminationReason)
