"""The guard finds each broken invariant by its own books, and nothing where all are kept."""

from __future__ import annotations

from typing import Any

import pytest

from tests.helpers import settings
from yarrowspindle.decisions.events import EndpointState, ListKind
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
from yarrowspindle.telemetry.guard import OVERDUE_MS, Guard, Rule
from yarrowspindle.telemetry.trace import Trace

AT = ("127.0.0.1", 1)
HERE = [Endpoint("s-1", AT), Endpoint("s-2", AT)]
DRAINS = EndpointsUpdated(ListKind.DELTA, [Endpoint("s-1", AT, EndpointState.DRAINING)])
RESTARTED = EndpointsUpdated(ListKind.DELTA, [Endpoint("s-1", AT, started_ms=5.0)])
GONE = EndpointsUpdated(ListKind.FULL, [Endpoint("s-2", AT)])
ARRIVED, REACH, ASK, JOIN = (
    RequestReceived(1, 900.0, ref="id-1"),
    OpenBackendConnection(1, 0, "s-1", AT, 250.0),
    ForwardRequest(1, 0, 900.0),
    StartRelaying(1),
)
CASES: dict[str, tuple[list[Any], Rule | None]] = {
    "served": ([ARRIVED, REACH, ASK, JOIN], None),
    "retried": (
        [
            ARRIVED,
            REACH,
            ASK,
            AttemptEnded(1, 0, TerminationReason.BACKEND_ERROR),
            OpenBackendConnection(1, 1, "s-2", AT, 9.0),
            JOIN,
        ],
        None,
    ),
    "given up and refused": ([ARRIVED, REACH, AbortAttempt(1, 0), RejectRequest(1, 0.0)], None),
    "left": ([ARRIVED, REACH, ClientDisconnected(1)], None),
    "answered twice": ([ARRIVED, REACH, ASK, JOIN, FailRequest(1)], Rule.ONE_FINAL_ANSWER),
    "two attempts": ([ARRIVED, REACH, OpenBackendConnection(1, 1, "s-2", AT, 9.0)], Rule.ONE_ATTEMPT_IN_FLIGHT),
    "begun for nobody": ([ARRIVED, ClientDisconnected(1), REACH], Rule.CLIENT_GONE),
    "written for nobody": ([ARRIVED, REACH, ClientDisconnected(1), ASK], Rule.CLIENT_GONE),
    "written to one that drains": ([ARRIVED, REACH, DRAINS, ASK], Rule.NO_SEND_TO_UNAVAILABLE_BACKEND),
    "written to one that is gone": ([ARRIVED, REACH, GONE, ASK], Rule.NO_SEND_TO_UNAVAILABLE_BACKEND),
    "written to one that has started anew": ([ARRIVED, REACH, RESTARTED, ASK], Rule.NO_SEND_TO_UNAVAILABLE_BACKEND),
    "a drain behind the first byte": ([ARRIVED, REACH, ASK, DRAINS, JOIN], None),
    "written late": ([ARRIVED, REACH, 902.0, ASK], Rule.DEADLINE),
    "never answered": ([ARRIVED, 902.0 + OVERDUE_MS, TimerFired("pulse")], Rule.UNANSWERED),
    "not answered yet after a stall": ([ARRIVED, 3000.0, EventLoopStalled(3000.0), TimerFired("pulse")], None),
}


def guard() -> tuple[Guard, list[str]]:
    said: list[str] = []
    values = settings(warmup_ms=1000.0, initial_capacity_fraction=0.2, overload_multiple=2.0, overload_window_ms=1000.0)
    found = Guard(lambda: values, said.append)
    found.event(0.0, EndpointsUpdated(ListKind.FULL, list(HERE)))
    return found, said


@pytest.mark.parametrize("case", CASES)
def test_each_broken_invariant_is_counted_once_under_its_name(case: str) -> None:
    found, said = guard()
    steps, rule = CASES[case]
    now = 1.0
    for step in steps:
        if isinstance(step, float):
            now = step
        elif isinstance(
            step, OpenBackendConnection | ForwardRequest | AbortAttempt | StartRelaying | RejectRequest | FailRequest
        ):
            found.effect(step)
            continue
        else:
            found.event(now, step)
        found.now = now
    broken = {name: count for name, count in found.counts.items() if count}
    assert broken == ({rule.value: 1} if rule else {})
    assert len(said) == len(broken)


def test_a_backend_that_started_anew_and_gets_far_over_its_share_is_seen() -> None:
    for share, broken in ((0.5, False), (40.0, True)):
        found, _ = guard()
        found.event(1.0, RESTARTED)
        number, now = 10, 1.0
        for _ in range(20):
            now += 10.0
            for backend, count in (("s-2", 2), ("s-1", int(2 * share))):
                for _ in range(count):
                    number += 1
                    found.event(now, RequestReceived(number, 900.0))
                    found.effect(OpenBackendConnection(number, 0, backend, AT, 9.0))
                    found.effect(ForwardRequest(number, 0, 900.0))
                    found.effect(StartRelaying(number))
        assert (found.counts[Rule.SLOW_START.value] > 0) is broken


def test_each_line_of_the_trace_names_the_request_from_its_arrival_to_its_end() -> None:
    said: list[str] = []
    trace = Trace(said.append)
    for step in (
        ARRIVED,
        REACH,
        ASK,
        AttemptEnded(1, 0, TerminationReason.REJECTED),
        OpenBackendConnection(1, 1, "s-2", AT, 9.0),
        JOIN,
    ):
        if isinstance(step, RequestReceived | AttemptEnded):
            trace.event(step)
        else:
            trace.effect(step)
    assert all(line.startswith("request=id-1 job=1 ") for line in said) and len(said) == 6
    assert "retry_after=turned_away" in said[4]
    trace.effect(RejectRequest(1, 250.0))
    assert not trace.names and not trace.retry
