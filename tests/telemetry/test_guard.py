"""The guard reports each violated invariant from its own state, and nothing if all hold."""

from __future__ import annotations

from typing import Any

import pytest

from tests.helpers import settings
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.settings import Idempotency, RequestClass
from yarrowspindle.routing.effects import (
    AbortAttempt,
    FailRequest,
    ForwardRequest,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointsUpdated,
    EventLoopStalled,
    RequestReceived,
    TimerFired,
)
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.telemetry.guard import MAX_ANSWER_DELAY_MS, Guard, Rule

ADDRESS = ("127.0.0.1", 1)
ENDPOINTS = [Endpoint("s-1", ADDRESS), Endpoint("s-2", ADDRESS)]
DRAINING = EndpointsUpdated(ListKind.DELTA, [Endpoint("s-1", ADDRESS, EndpointState.DRAINING)])
RESTARTED = EndpointsUpdated(ListKind.DELTA, [Endpoint("s-1", ADDRESS, started_ms=5.0)])
REMOVED = EndpointsUpdated(ListKind.FULL, [Endpoint("s-2", ADDRESS)])
RECEIVED, CONNECT, FORWARD, RELAY = (
    RequestReceived(1, 900.0, client_request_id="id-1"),
    OpenBackendConnection(1, 0, "s-1", ADDRESS, 250.0),
    ForwardRequest(1, 0, 900.0),
    StartRelaying(1),
)
KEYED, UNREPEATABLE = (RequestReceived(1, 900.0, request_class, client_request_id="id-1") for request_class in (1, 2))
RESET, REJECT = AttemptEnded(1, 0, TerminationReason.CONNECTION_RESET), RejectRequest(1, 0.0)
CONNECT_AGAIN = OpenBackendConnection(1, 1, "s-2", ADDRESS, 9.0)
REJECTED_AGAIN = AttemptEnded(1, 1, TerminationReason.REJECTED)
CASES: dict[str, tuple[list[Any], Rule | None]] = {
    "established": ([RECEIVED, CONNECT, FORWARD, RELAY], None),
    "retried": (
        [
            RECEIVED,
            CONNECT,
            FORWARD,
            AttemptEnded(1, 0, TerminationReason.BACKEND_ERROR),
            OpenBackendConnection(1, 1, "s-2", ADDRESS, 9.0),
            RELAY,
        ],
        None,
    ),
    "aborted and rejected": ([RECEIVED, CONNECT, AbortAttempt(1, 0), RejectRequest(1, 0.0)], None),
    "client disconnected": ([RECEIVED, CONNECT, ClientDisconnected(1)], None),
    "reset and rejected, idempotent": ([RECEIVED, CONNECT, FORWARD, RESET, REJECT], None),
    "reset and rejected, keyed": ([KEYED, CONNECT, FORWARD, RESET, REJECT], Rule.SAFE_REJECTION),
    "reset and rejected": ([UNREPEATABLE, CONNECT, FORWARD, RESET, REJECT], Rule.SAFE_REJECTION),
    "reset and failed": ([UNREPEATABLE, CONNECT, FORWARD, RESET, FailRequest(1)], None),
    "reset before it was forwarded and rejected": ([UNREPEATABLE, CONNECT, RESET, REJECT], None),
    "aborted after it was forwarded and rejected": (
        [UNREPEATABLE, CONNECT, FORWARD, AbortAttempt(1, 0), REJECT],
        Rule.SAFE_REJECTION,
    ),
    "reset at the first backend, rejected at the second": (
        [UNREPEATABLE, CONNECT, FORWARD, RESET, CONNECT_AGAIN, ForwardRequest(1, 1, 9.0), REJECTED_AGAIN, REJECT],
        Rule.SAFE_REJECTION,
    ),
    "rejected by its backend": (
        [UNREPEATABLE, CONNECT, FORWARD, AttemptEnded(1, 0, TerminationReason.REJECTED), REJECT],
        None,
    ),
    "answered twice": ([RECEIVED, CONNECT, FORWARD, RELAY, FailRequest(1)], Rule.ONE_FINAL_ANSWER),
    "two attempts in flight": (
        [RECEIVED, CONNECT, OpenBackendConnection(1, 1, "s-2", ADDRESS, 9.0)],
        Rule.ONE_ATTEMPT_IN_FLIGHT,
    ),
    "attempt for a disconnected client": ([RECEIVED, ClientDisconnected(1), CONNECT], Rule.CLIENT_GONE),
    "forwarded for a disconnected client": ([RECEIVED, CONNECT, ClientDisconnected(1), FORWARD], Rule.CLIENT_GONE),
    "forwarded to a draining backend": ([RECEIVED, CONNECT, DRAINING, FORWARD], Rule.NO_SEND_TO_UNAVAILABLE_BACKEND),
    "forwarded to a removed backend": ([RECEIVED, CONNECT, REMOVED, FORWARD], Rule.NO_SEND_TO_UNAVAILABLE_BACKEND),
    "forwarded to a restarted backend": ([RECEIVED, CONNECT, RESTARTED, FORWARD], Rule.NO_SEND_TO_UNAVAILABLE_BACKEND),
    "draining after the first byte": ([RECEIVED, CONNECT, FORWARD, DRAINING, RELAY], None),
    "forwarded after the deadline": ([RECEIVED, CONNECT, 902.0, FORWARD], Rule.DEADLINE),
    "never answered": ([RECEIVED, 902.0 + MAX_ANSWER_DELAY_MS, TimerFired("pulse")], Rule.UNANSWERED),
    "not answered yet after a stall": ([RECEIVED, 3000.0, EventLoopStalled(3000.0), TimerFired("pulse")], None),
}


def started_guard() -> tuple[Guard, list[str]]:
    reported: list[str] = []
    values = settings(
        classes=tuple(RequestClass(500.0, 2000.0, idempotency) for idempotency in Idempotency),
        warmup_ms=1000.0,
        initial_capacity_fraction=0.2,
        overload_multiple=2.0,
        overload_window_ms=1000.0,
    )
    checker = Guard(lambda: values, reported.append)
    checker.on_event(0.0, EndpointsUpdated(ListKind.FULL, list(ENDPOINTS)))
    return checker, reported


@pytest.mark.parametrize("case", CASES)
def test_each_violated_invariant_is_counted_once_under_its_name(case: str) -> None:
    checker, reported = started_guard()
    steps, rule = CASES[case]
    now = 1.0
    for step in steps:
        if isinstance(step, float):
            now = step
        elif isinstance(
            step, OpenBackendConnection | ForwardRequest | AbortAttempt | StartRelaying | RejectRequest | FailRequest
        ):
            checker.on_effect(step)
            continue
        else:
            checker.on_event(now, step)
        checker.now = now
    violated = {name: count for name, count in checker.counts.items() if count}
    assert violated == ({rule.value: 1} if rule else {})
    assert len(reported) == len(violated)


def test_a_restarted_backend_that_gets_far_over_its_share_is_reported() -> None:
    for share, is_violation in ((0.5, False), (40.0, True)):
        checker, _ = started_guard()
        checker.on_event(1.0, RESTARTED)
        number, now = 10, 1.0
        for _ in range(20):
            now += 10.0
            for backend, count in (("s-2", 2), ("s-1", int(2 * share))):
                for _ in range(count):
                    number += 1
                    checker.on_event(now, RequestReceived(number, 900.0))
                    checker.on_effect(OpenBackendConnection(number, 0, backend, ADDRESS, 9.0))
                    checker.on_effect(ForwardRequest(number, 0, 900.0))
                    checker.on_effect(StartRelaying(number))
        assert (checker.counts[Rule.SLOW_START.value] > 0) is is_violation
