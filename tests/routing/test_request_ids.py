"""The ids of requests that have ended and may still run, on the reducer's clock."""

from __future__ import annotations

import pytest

from tests.helpers import settings
from yarrowspindle.decisions.events import ListKind
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import Idempotency, RequestClass
from yarrowspindle.routing import request_ids
from yarrowspindle.routing.effects import Effect, FailRequest, OpenBackendConnection, RejectRequest
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    ClientDisconnected,
    Endpoint,
    EndpointsUpdated,
    RequestReceived,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.request_ids import retention_ms
from yarrowspindle.routing.termination import TerminationReason

ID, OTHER_ID = "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"
WAIT_MS = 2000.0


def reducer_of(idempotency: Idempotency) -> Reducer:
    reducer = Reducer(settings(classes=(RequestClass(500.0, WAIT_MS, idempotency),)), 1, 0.0)
    reducer.step(0.0, EndpointsUpdated(ListKind.FULL, [Endpoint("s-1", ("127.0.0.1", 1))]))
    return reducer


def receive(reducer: Reducer, now: float, request: int, client_id: str = ID) -> Effect:
    """Return the answer to a request, or the effect that opens the connection of its attempt."""
    effects = reducer.step(now, RequestReceived(request, WAIT_MS, client_request_id=client_id))
    kinds = (FailRequest, RejectRequest, OpenBackendConnection)
    (effect,) = (effect for effect in effects if isinstance(effect, kinds))
    return effect


@pytest.mark.parametrize("idempotency", Idempotency)
@pytest.mark.parametrize("ends", ("client leaves", "served", "backend resets"))
def test_the_id_of_a_request_that_may_have_run_runs_no_second_time(idempotency: Idempotency, ends: str) -> None:
    """Guard against an id that runs twice, since it came again after its client had left."""
    reducer = reducer_of(idempotency)
    receive(reducer, 1.0, 1)
    reducer.step(2.0, BackendConnected(1, 0))
    if ends == "served":
        reducer.step(3.0, BackendAccepted(1, 0))
    reducer.step(
        300.0,
        AttemptEnded(1, 0, TerminationReason.CONNECTION_RESET) if ends == "backend resets" else ClientDisconnected(1),
    )
    reducer.step(300.0, ClientDisconnected(1))
    again = receive(reducer, 450.0, 2)
    if idempotency is Idempotency.IDEMPOTENT:
        assert isinstance(again, OpenBackendConnection), "repeats of such a class are harmless"
        return
    assert isinstance(again, FailRequest) and again.reason is RejectionReason.ID_IN_USE
    last = 300.0 + retention_ms(reducer.settings)
    assert isinstance(receive(reducer, last - 1.0, 3), FailRequest)
    assert isinstance(receive(reducer, last + 1.0, 4), OpenBackendConnection)


@pytest.mark.parametrize("reason", (None, TerminationReason.CONNECT_FAILED, TerminationReason.REJECTED))
def test_the_id_of_a_request_that_never_ran_may_come_again(reason: TerminationReason | None) -> None:
    reducer = reducer_of(Idempotency.NON_IDEMPOTENT)
    receive(reducer, 1.0, 1)
    if reason is TerminationReason.REJECTED:
        reducer.step(2.0, BackendConnected(1, 0))
    if reason is not None:
        reducer.step(3.0, AttemptEnded(1, 0, reason))
    reducer.step(4.0, ClientDisconnected(1))
    assert isinstance(receive(reducer, 5.0, 2), OpenBackendConnection)


def test_new_ids_do_not_push_out_those_that_may_still_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a client that makes the relay forget ids by sending ever new ones."""
    monkeypatch.setattr(request_ids, "MAX_REMEMBERED", 4)
    reducer = reducer_of(Idempotency.NON_IDEMPOTENT)
    answers = []
    for number in range(1, 11):
        answers.append(receive(reducer, float(number), number, f"{number:016x}"))
        reducer.step(float(number), BackendConnected(number, 0))
        reducer.step(float(number), ClientDisconnected(number))
    assert [type(answer) for answer in answers] == [OpenBackendConnection] * 4 + [RejectRequest] * 6
    assert isinstance(receive(reducer, 11.0, 11, f"{1:016x}"), FailRequest)
    later = 20.0 + retention_ms(reducer.settings)
    assert isinstance(receive(reducer, later, 12, OTHER_ID), OpenBackendConnection)
