"""The guard finds each broken invariant by its own books, and nothing where all are kept."""

from __future__ import annotations

from typing import Any

import pytest

from tests.helpers import settings
from yarrowspindle.decisions.events import ListKind, State
from yarrowspindle.routing.effects import Ask, Deny, Drop, Join, Reach, Requeue
from yarrowspindle.routing.events import AttemptOver, JobArrived, ListTold, Machine, Stalled, SubmitterLeft, Woke
from yarrowspindle.routing.termination import Ending
from yarrowspindle.telemetry.guard import OVERDUE_MS, Guard, Rule
from yarrowspindle.telemetry.trace import Trace

AT = ("127.0.0.1", 1)
HERE = [Machine("s-1", AT), Machine("s-2", AT)]
DRAINS = ListTold(ListKind.DELTA, [Machine("s-1", AT, State.DRAINING)])
RESTARTED = ListTold(ListKind.DELTA, [Machine("s-1", AT, started_ms=5.0)])
GONE = ListTold(ListKind.FULL, [Machine("s-2", AT)])
ARRIVED, REACH, ASK, JOIN = JobArrived(1, 900.0, ref="id-1"), Reach(1, 0, "s-1", AT, 250.0), Ask(1, 0, 900.0), Join(1)
CASES: dict[str, tuple[list[Any], Rule | None]] = {
    "served": ([ARRIVED, REACH, ASK, JOIN], None),
    "retried": ([ARRIVED, REACH, ASK, AttemptOver(1, 0, Ending.ERRED), Reach(1, 1, "s-2", AT, 9.0), JOIN], None),
    "given up and refused": ([ARRIVED, REACH, Drop(1, 0), Requeue(1, 0.0)], None),
    "left": ([ARRIVED, REACH, SubmitterLeft(1)], None),
    "answered twice": ([ARRIVED, REACH, ASK, JOIN, Deny(1)], Rule.ONE_FINAL_ANSWER),
    "two attempts": ([ARRIVED, REACH, Reach(1, 1, "s-2", AT, 9.0)], Rule.ONE_ATTEMPT_OUT),
    "begun for nobody": ([ARRIVED, SubmitterLeft(1), REACH], Rule.CLIENT_GONE),
    "written for nobody": ([ARRIVED, REACH, SubmitterLeft(1), ASK], Rule.CLIENT_GONE),
    "written to one that drains": ([ARRIVED, REACH, DRAINS, ASK], Rule.SERVER_TOLD),
    "written to one that is gone": ([ARRIVED, REACH, GONE, ASK], Rule.SERVER_TOLD),
    "written to one that has started anew": ([ARRIVED, REACH, RESTARTED, ASK], Rule.SERVER_TOLD),
    "a drain behind the first byte": ([ARRIVED, REACH, ASK, DRAINS, JOIN], None),
    "written late": ([ARRIVED, REACH, 902.0, ASK], Rule.DEADLINE),
    "never answered": ([ARRIVED, 902.0 + OVERDUE_MS, Woke("pulse")], Rule.UNANSWERED),
    "not answered yet after a stall": ([ARRIVED, 3000.0, Stalled(3000.0), Woke("pulse")], None),
}


def guard() -> tuple[Guard, list[str]]:
    said: list[str] = []
    values = settings(cold_ms=1000.0, cold_share=0.2, fall_multiple=2.0, fall_ms=1000.0)
    found = Guard(lambda: values, said.append)
    found.event(0.0, ListTold(ListKind.FULL, list(HERE)))
    return found, said


@pytest.mark.parametrize("case", CASES)
def test_each_broken_invariant_is_counted_once_under_its_name(case: str) -> None:
    found, said = guard()
    steps, rule = CASES[case]
    now = 1.0
    for step in steps:
        if isinstance(step, float):
            now = step
        elif isinstance(step, Reach | Ask | Drop | Join | Requeue | Deny):
            found.effect(step)
            continue
        else:
            found.event(now, step)
        found.now = now
    broken = {name: count for name, count in found.counts.items() if count}
    assert broken == ({rule.value: 1} if rule else {})
    assert len(said) == len(broken)


def test_a_server_that_started_anew_and_gets_far_over_its_share_is_seen() -> None:
    for share, broken in ((0.5, False), (40.0, True)):
        found, _ = guard()
        found.event(1.0, RESTARTED)
        number, now = 10, 1.0
        for _ in range(20):
            now += 10.0
            for server, count in (("s-2", 2), ("s-1", int(2 * share))):
                for _ in range(count):
                    number += 1
                    found.event(now, JobArrived(number, 900.0))
                    found.effect(Reach(number, 0, server, AT, 9.0))
                    found.effect(Ask(number, 0, 900.0))
                    found.effect(Join(number))
        assert (found.counts[Rule.SLOW_START.value] > 0) is broken


def test_each_line_of_the_trace_names_the_request_from_its_arrival_to_its_end() -> None:
    said: list[str] = []
    trace = Trace(said.append)
    for step in (ARRIVED, REACH, ASK, AttemptOver(1, 0, Ending.TURNED_AWAY), Reach(1, 1, "s-2", AT, 9.0), JOIN):
        if isinstance(step, JobArrived | AttemptOver):
            trace.event(step)
        else:
            trace.effect(step)
    assert all(line.startswith("request=id-1 job=1 ") for line in said) and len(said) == 6
    assert "retry_after=turned_away" in said[4]
    trace.effect(Requeue(1, 250.0))
    assert not trace.names and not trace.retry
