"""Connections from before the restart of the relay: the answer when their backend does not re-establish them."""

from __future__ import annotations

import pytest

from tests.helpers import settings
from yarrowspindle.decisions.events import NEVER_RAN, EndpointState, ListKind
from yarrowspindle.decisions.settings import Idempotency, RequestClass
from yarrowspindle.routing.effects import Effect, FailRequest, OpenBackendConnection, RejectRequest
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    ClientDataForwarded,
    Endpoint,
    EndpointsUpdated,
    Event,
    EventLoopStalled,
    RequestReceived,
    ShutdownRequested,
    TimerFired,
)
from yarrowspindle.routing.health import MAX_RESPONSE_DELAY_MS
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.requests import EXISTING_CONNECTION_DEADLINE_MS
from yarrowspindle.routing.termination import OUTCOMES, TerminationReason
from yarrowspindle.routing.timers import LIVENESS_TIMER, RECONNECT_TIMER, REQUEST_DEADLINE_TIMER, SHUTDOWN_TIMER
from yarrowspindle.telemetry.guard import Guard

ADDRESS = ("127.0.0.1", 1)
REASONS = [reason for reason in TerminationReason if reason is not TerminationReason.CONNECT_FAILED]
IDEMPOTENCIES = list(Idempotency)
SHUTDOWN_MS = 900.0


class Relay:
    """A reducer whose request 1 returns to backend s-1; at first its connection is being opened."""

    def __init__(self, idempotency: Idempotency) -> None:
        request_class = RequestClass(500.0, 2000.0, idempotency)
        self.reducer = Reducer(settings(classes=(request_class,)), 1, 0.0)
        self.violations: list[str] = []
        self.guard = Guard(lambda: self.reducer.context.settings, self.violations.append)
        self.now = 0.0
        self.step(EndpointsUpdated(ListKind.FULL, [Endpoint("s-1", ADDRESS), Endpoint("s-2", ADDRESS)]))
        self.receive(1)

    def step(self, event: Event, now: float = 0.0) -> list[Effect]:
        """Handle an event at this time, or at the time of the last one if that is later."""
        self.now = max(self.now, now)
        self.guard.on_event(self.now, event)
        effects = list(self.reducer.step(self.now, event))
        for effect in effects:
            self.guard.on_effect(effect)
        return effects

    def receive(self, request: int) -> list[Effect]:
        return self.step(RequestReceived(request, 2000.0, previous_backend="s-1", client_request_id=f"id-{request}"))

    def forward(self, request: int = 1) -> None:
        self.step(BackendConnected(request, 0))


def final_answers(effects: list[Effect]) -> list[type]:
    return [type(effect) for effect in effects if isinstance(effect, RejectRequest | FailRequest)]


def expected_answer(idempotency: Idempotency, may_have_run: bool) -> type:
    return FailRequest if may_have_run and idempotency is not Idempotency.IDEMPOTENT else RejectRequest


@pytest.mark.parametrize("reason", REASONS)
@pytest.mark.parametrize("idempotency", IDEMPOTENCIES)
def test_a_failed_reconnect_that_may_have_run_is_not_rejected(
    idempotency: Idempotency, reason: TerminationReason
) -> None:
    """Guard against an existing connection's request that runs twice, since its client was told to retry."""
    relay = Relay(idempotency)
    relay.forward()
    answers = final_answers(relay.step(AttemptEnded(1, 0, reason)))
    assert answers == [expected_answer(idempotency, OUTCOMES[reason] not in NEVER_RAN)]
    assert not relay.violations


@pytest.mark.parametrize("forwarded", [True, False])
@pytest.mark.parametrize("cause", ["deadline", "stall past the deadline", "shutdown"])
@pytest.mark.parametrize("idempotency", IDEMPOTENCIES)
def test_a_reconnect_without_an_answer_is_rejected_only_if_it_never_ran(
    idempotency: Idempotency, cause: str, forwarded: bool
) -> None:
    """Guard against the same fault where no backend but the deadline or the shutdown of the relay ends the attempt."""
    relay = Relay(idempotency)
    if forwarded:
        relay.forward()
    if cause == "shutdown":
        relay.step(ShutdownRequested(SHUTDOWN_MS, process_exits=True))
        effects = relay.step(TimerFired(SHUTDOWN_TIMER), SHUTDOWN_MS + 1.0)
    else:
        if cause == "stall past the deadline":
            relay.step(EventLoopStalled(3000.0), EXISTING_CONNECTION_DEADLINE_MS)
        effects = relay.step(TimerFired((REQUEST_DEADLINE_TIMER, 1)), EXISTING_CONNECTION_DEADLINE_MS)
    assert final_answers(effects) == [expected_answer(idempotency, forwarded)]
    assert not relay.violations


@pytest.mark.parametrize("idempotency", IDEMPOTENCIES)
def test_a_reconnect_at_an_unresponsive_backend_is_not_rejected(idempotency: Idempotency) -> None:
    """Guard against the same fault where another connection shows that the backend no longer responds."""
    relay = Relay(idempotency)
    relay.receive(2)
    relay.forward(2)
    relay.step(BackendAccepted(2, 0))
    relay.step(ClientDataForwarded(2, 1))
    relay.forward()
    effects = relay.step(TimerFired(LIVENESS_TIMER), MAX_RESPONSE_DELAY_MS + 1.0)
    assert final_answers(effects) == [expected_answer(idempotency, True)]
    assert not relay.violations


@pytest.mark.parametrize("idempotency", IDEMPOTENCIES)
def test_a_reconnect_that_was_never_sent_is_repeated_and_rejected_once_its_backend_is_removed(
    idempotency: Idempotency,
) -> None:
    relay = Relay(idempotency)
    assert final_answers(relay.step(AttemptEnded(1, 0, TerminationReason.CONNECT_FAILED))) == []
    effects = relay.step(TimerFired((RECONNECT_TIMER, 1)), 400.0)
    assert [effect.backend for effect in effects if isinstance(effect, OpenBackendConnection)] == ["s-1"]
    relay.step(AttemptEnded(1, 0, TerminationReason.CONNECT_FAILED))
    relay.step(EndpointsUpdated(ListKind.DELTA, [Endpoint("s-1", ADDRESS, EndpointState.GONE)]))
    effects = relay.step(TimerFired((RECONNECT_TIMER, 1)), 800.0)
    assert final_answers(effects) == [RejectRequest] and not relay.violations


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_drain_does_not_end_a_reconnect_that_was_forwarded(state: EndpointState) -> None:
    relay = Relay(Idempotency.NON_IDEMPOTENT)
    relay.forward()
    effects = relay.step(EndpointsUpdated(ListKind.DELTA, [Endpoint("s-1", ADDRESS, state)]))
    assert final_answers(effects) == []
    assert final_answers(relay.step(AttemptEnded(1, 0, TerminationReason.CONNECTION_RESET))) == [FailRequest]
    assert not relay.violations
