"""The soak: its plans cover all pairs of faults, its oracle reports each violated rule, real relays violate none."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any, cast

import pytest

from benchmarks.soak.backends import Backend
from benchmarks.soak.discovery import Discovery, Watch
from benchmarks.soak.oracle import Attempt, Oracle, Request, Rule, SlowStartBudget
from benchmarks.soak.plan import FAULTS, fault_pairs, make_plan
from benchmarks.soak.relays import find_failure
from benchmarks.soak.run_context import RunContext
from benchmarks.soak.shim import SOURCE, Field
from tests.stand_ins import ROOT

BUDGET = SlowStartBudget(3.0, 0.25, 2.0, 1.0, 20.0)
DRAIN_GRACE_S = 0.4


def test_a_seed_gives_the_same_plan_and_consecutive_seeds_cover_all_pairs_of_faults() -> None:
    kinds = list(FAULTS)
    assert make_plan(5, 10, 12.0, kinds) == make_plan(5, 10, 12.0, kinds) != make_plan(6, 10, 12.0, kinds)
    wanted = {frozenset(pair) for pair in fault_pairs(kinds)}
    covered = set[frozenset[str]]()
    for seed in range(1, 1 + (len(wanted) + 1) // 2):
        plan = make_plan(seed, 10, 12.0, kinds)
        assert all(fault.end_s < plan.seconds for fault in plan.faults)
        covered |= plan.pairs()
    assert covered == wanted


def test_the_fields_of_the_shims_page_have_the_order_of_its_source() -> None:
    text = SOURCE.read_text(encoding="utf-8")
    named = text[text.index("enum field {") + len("enum field {") : text.index("FIELDS }")]
    assert [name.strip() for name in named.split(",") if name.strip()] == [field.name for field in Field]


def make_request(name: str = "a", effect: str = "side_effect", **changes: float) -> Request:
    request = Request(name, "r0.1", "charge", effect, "cell", 0.4, 1.0, sent_at=1.0, ended_at=1.2)
    request.answers.append((1.1, "UP"))
    request.moved = True
    for key, value in changes.items():
        setattr(request, key, value)
    return request


def make_attempt(
    backend: str, at: float, reply: str = "UP", relay_closed_at: float | None = None, cell: int = 1
) -> Attempt:
    return Attempt("a", backend, "a", cell, at, at, reply, at + 0.05 if relay_closed_at is None else relay_closed_at)


def close_unanswered(oracle: Oracle) -> None:
    oracle.requests["a"].answers.clear()


def never_answer(oracle: Oracle) -> None:
    oracle.requests["a"].answers.clear()
    oracle.requests["a"].ended_at = inf


def kill_relay(oracle: Oracle) -> None:
    oracle.requests["a"].answers.clear()
    oracle.requests["a"].relay_killed = True


def kill_relay_before_request(oracle: Oracle) -> None:
    oracle.requests["a"].answers.clear()
    oracle.kills["r0.1"] = [0.99]


def kill_other_relay(oracle: Oracle) -> None:
    oracle.requests["a"].answers.clear()
    oracle.kills["r0.2"] = [0.99]


def answer_at(at: float) -> Callable[[Oracle], None]:
    def change(oracle: Oracle) -> None:
        oracle.requests["a"].answers[:] = [(at, "BUSY")]

    return change


def with_attempts(*attempts: Attempt, effect: str = "side_effect", left: float = inf) -> Callable[[Oracle], None]:
    def change(oracle: Oracle) -> None:
        oracle.requests["a"].effect, oracle.requests["a"].left_at = effect, left
        oracle.attempts["a"] = list(attempts)

    return change


def send_to_drained_backend(
    at: float, sent: float, informed: bool = True, outage_end: float | None = None
) -> Callable[[Oracle], None]:
    def change(oracle: Oracle) -> None:
        oracle.requests["a"].sent_at, oracle.requests["a"].deadline_s = sent - 0.1, 30.0
        oracle.requests["a"].answers[:] = [(sent + 0.1, "UP")]
        oracle.requests["a"].ended_at = sent + 0.2
        oracle.state_changes["s-1"] = [(at, False)]
        if informed:
            oracle.endpoint_updates["r0.1", "s-1"] = [(at, False)]
        if outage_end is not None:
            oracle.discovery_outages.append((at - 1.0, outage_end))
        oracle.attempts["a"] = [make_attempt("s-1", sent)]

    return change


def send_to_cold_backend(count: int, informed: bool = True) -> Callable[[Oracle], None]:
    def change(oracle: Oracle) -> None:
        oracle.backend_starts["s-1"] = [10.0]
        if informed:
            oracle.start_updates["r0.1", "s-1"] = [10.0]
        attempts = [Attempt("a", "s-1", "a", 1, 10.5, 10.5 + 0.001 * n, "BUSY", 10.5 + 0.001 * n) for n in range(count)]
        oracle.requests["a"] = make_request(effect="pure", sent_at=10.4, ended_at=10.9, deadline_s=5.0)
        oracle.requests["a"].answers[:] = [(10.8, "UP")]
        oracle.attempts["a"] = attempts

    return change


def inform_sibling(sent: float, binds_from: float, ready_again_at: float | None = None) -> Callable[[Oracle], None]:
    """Let discovery inform only the other process of the relay of a drain, at 5 s."""

    def change(oracle: Oracle) -> None:
        send_to_drained_backend(5.0, sent, informed=False)(oracle)
        oracle.endpoint_updates["r0.2", "s-1"] = [(5.0, False)]
        oracle.siblings["r0.1"] = [("r0.2", binds_from)]
        if ready_again_at is not None:
            oracle.endpoint_updates["r0.1", "s-1"] = [(ready_again_at, True)]

    return change


def send_as_backend_is_ready_again(first_byte_at: float, sent_at: float) -> Callable[[Oracle], None]:
    """Let a backend drain at 5 s and be ready again at 9 s."""

    def change(oracle: Oracle) -> None:
        send_to_drained_backend(5.0, first_byte_at)(oracle)
        oracle.requests["a"].sent_at = sent_at
        oracle.state_changes["s-1"].append((9.0, True))
        oracle.endpoint_updates["r0.1", "s-1"].append((9.0, True))

    return change


def suspend_relay(oracle: Oracle) -> None:
    oracle.requests["a"].answers[:] = [(3.4, "BUSY")]
    oracle.requests["a"].ended_at = 3.5
    oracle.suspensions["r0.1"] = [(1.5, 3.0)]


def cut_off_connection(oracle: Oracle) -> None:
    oracle.requests["a"].moved = False
    oracle.attempts["a"] = [make_attempt("s-1", 1.0, relay_closed_at=1.3)]


def close_by_backend(oracle: Oracle) -> None:
    cut_off_connection(oracle)
    oracle.attempts["a"][0].backend_closed_at = 1.15


def close_after_idle(ended_after_s: float, raced_close: bool) -> Callable[[Oracle], None]:
    def change(oracle: Oracle) -> None:
        request = oracle.requests["a"]
        request.was_idle, request.raced_close, request.ended_at = True, raced_close, request.sent_at + ended_after_s
        request.answers.clear()

    return change


def wait_for_cpu(relay: str) -> Callable[[Oracle], None]:
    def change(oracle: Oracle) -> None:
        oracle.requests["a"].answers[:] = [(3.4, "BUSY")]
        oracle.requests["a"].ended_at = 3.5
        oracle.cpu_waits[relay] = [(0.5, 0.2), (1.5, 0.2), (3.3, 1.7), (3.6, 1.9)]

    return change


CASES: dict[str, tuple[Callable[[Oracle], None], Rule | None]] = {
    "served": (with_attempts(make_attempt("s-1", 1.01)), None),
    "closed with no answer": (close_unanswered, Rule.UNANSWERED),
    "never answered": (never_answer, Rule.LOST),
    "unanswered since its relay is killed": (kill_relay, None),
    "unanswered since its relay was killed just before it": (kill_relay_before_request, None),
    "unanswered while another relay is killed": (kill_other_relay, Rule.UNANSWERED),
    "answered in time": (answer_at(2.04), None),
    "answered after the deadline but not lost": (answer_at(2.4), None),
    "answered too late": (answer_at(2.6), Rule.LOST),
    "late by the suspension of its relay": (suspend_relay, None),
    "late by its relay's wait for a CPU": (wait_for_cpu("r0.1"), None),
    "late during another relay's wait for a CPU": (wait_for_cpu("r0.2"), Rule.LOST),
    "sent on an idle connection that the relay had already closed": (close_after_idle(0.0, raced_close=True), None),
    "closed right after it was sent on an idle connection": (
        close_after_idle(0.002, raced_close=False),
        Rule.UNANSWERED,
    ),
    "cut off without MOVE": (cut_off_connection, Rule.LOST),
    "ended by its backend": (close_by_backend, None),
    "run twice": (with_attempts(make_attempt("s-1", 1.01, "ERR"), make_attempt("s-2", 1.1)), Rule.DUPLICATE),
    "rejected by one backend and run by another": (
        with_attempts(make_attempt("s-1", 1.01, "BUSY"), make_attempt("s-2", 1.1)),
        None,
    ),
    "run by one backend and rejected by another less than a tick later": (
        with_attempts(make_attempt("s-1", 1.01), make_attempt("s-2", 1.016, "BUSY", 1.017)),
        None,
    ),
    "run by one backend and rejected by another over a tick later": (
        with_attempts(make_attempt("s-1", 1.01), make_attempt("s-2", 1.022, "BUSY", 1.023)),
        Rule.DUPLICATE,
    ),
    "two attempts in flight": (
        with_attempts(make_attempt("s-1", 1.01, "", 2.0), make_attempt("s-2", 1.1), effect="pure"),
        Rule.DUPLICATE,
    ),
    "retried within its idempotency window": (
        with_attempts(make_attempt("s-1", 1.01, "ERR"), make_attempt("s-2", 1.4), effect="token"),
        None,
    ),
    "retried after its idempotency window": (
        with_attempts(make_attempt("s-1", 1.01, "ERR"), make_attempt("s-2", 1.7), effect="token"),
        Rule.DUPLICATE,
    ),
    "retried in another cell": (
        with_attempts(make_attempt("s-1", 1.01, "ERR"), make_attempt("s-2", 1.1, cell=2), effect="token"),
        Rule.DUPLICATE,
    ),
    "attempt begun after the client left": (with_attempts(make_attempt("s-1", 1.2), left=1.05), Rule.AFTER_CANCEL),
    "attempt begun within the tolerance after the client left": (
        with_attempts(make_attempt("s-1", 1.14), left=1.05),
        None,
    ),
    "attempt begun after the deadline": (with_attempts(make_attempt("s-1", 2.3)), Rule.DEADLINE),
    "sent within the drain grace": (send_to_drained_backend(5.0, 5.4), None),
    "sent after the drain grace": (send_to_drained_backend(5.0, 5.5), Rule.DRAIN),
    "sent within the drain grace after the other process was informed": (inform_sibling(5.4, 0.0), None),
    "sent after the drain grace after the other process was informed": (inform_sibling(5.5, 0.0), Rule.DRAIN),
    "sent before the process must know what the other one knows": (inform_sibling(7.4, 7.0), None),
    "sent after the process must know what the other one knows": (inform_sibling(7.5, 7.0), Rule.DRAIN),
    "sent after the process was informed that the backend is ready": (inform_sibling(5.9, 0.0, 5.8), None),
    "sent as the backend is ready again, read as a tick before": (send_as_backend_is_ready_again(8.997, 9.002), None),
    "sent just before the backend is ready again": (send_as_backend_is_ready_again(8.997, 8.99), Rule.DRAIN),
    "sent before the relay must know of the drain": (send_to_drained_backend(5.0, 11.3, informed=False), None),
    "sent after the relay must know of the drain": (send_to_drained_backend(5.0, 11.5, informed=False), Rule.DRAIN),
    "sent just after a discovery outage": (send_to_drained_backend(5.0, 12.0, informed=False, outage_end=6.0), None),
    "cold backend within the slow-start budget": (send_to_cold_backend(25), None),
    "cold backend above the slow-start budget": (send_to_cold_backend(60), Rule.SLOW_START),
    "cold backend above the budget by relays that do not know of its start": (
        send_to_cold_backend(60, informed=False),
        None,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_the_oracle_reports_each_violated_rule_and_no_other(case: str) -> None:
    change, rule = CASES[case]
    oracle = Oracle(DRAIN_GRACE_S)
    oracle.requests["a"] = make_request()
    change(oracle)
    found = {violation.rule for violation in oracle.judge(30.0, BUDGET)}
    assert found == ({rule} if rule else set())


class BlockingWriter:
    """A watch's writer whose write takes one second."""

    def __init__(self, context: RunContext) -> None:
        self.context = context

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.context.started_at -= 1.0  # one second passes


@pytest.mark.parametrize("phase, effective_after_s", (("ready", 0.0), ("draining", 1.0), ("gone", 1.0)))
def test_a_ready_update_counts_from_before_it_is_written_and_a_drain_only_from_after(
    phase: str, effective_after_s: float, tmp_path: Path
) -> None:
    async def body() -> None:
        context = RunContext(make_plan(1, 10, 12.0, list(FAULTS)), tmp_path, None)
        backend = Backend(context, 1)
        discovery = Discovery(context, [backend])
        discovery.watches.add(Watch("r0.1", cast(Any, BlockingWriter(context))))
        started_at = context.now()
        discovery.publish(backend, phase)
        updates = context.oracle.endpoint_updates["r0.1", backend.name]
        for at, ready in (*updates, *context.oracle.state_changes[backend.name]):
            assert ready is (phase == "ready") and int(at - started_at) == effective_after_s

    asyncio.run(body())


def test_a_failure_in_a_log_is_reported_with_its_whole_traceback_and_the_preceding_lines() -> None:
    log_lines = [f"10:00:00.{number:03d} DEBUG line {number}" for number in range(50)]
    traceback = [
        "Fatal error on transport TCPTransport",
        "Traceback (most recent call last):",
        '  File "client.py", line 50, in data_received',
        "AttributeError: no attribute 'write'",
    ]
    assert find_failure(log_lines) is None
    found = find_failure([*log_lines, *traceback, "10:00:01.000 INFO stopped"])
    assert found is not None and found.description == "logged: Traceback (most recent call last):"
    assert found.log_lines[-4:] == tuple(traceback) and log_lines[-1] in found.log_lines and len(found.log_lines) == 23
    oracle = Oracle(DRAIN_GRACE_S)
    oracle.crashes.append(found)
    assert [violation.details for violation in oracle.judge(1.0, BUDGET)] == [found.log_lines]


def run_soak(*options: str) -> tuple[int, dict[str, object], str]:
    command = [sys.executable, "-m", "benchmarks.soak", "--seconds", "8", "--json", *options]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False)
    return process.returncode, json.loads(process.stdout.splitlines()[-1]), process.stdout


def test_ten_relays_with_refusing_backends_and_leaving_clients_violate_no_rule() -> None:
    status, result, text = run_soak("--seed", "3", "--faults", "refuse,leave")
    assert status == 0 and not any(result["violations"].values()), text  # type: ignore[attr-defined]
    assert result["requests"] > 300 and result["pairs_covered"] == 1, text  # type: ignore[operator]


# Shutdowns and suspensions; the same with many idle clients; failing accepts with many idle clients; suspended relays
# and idle connections; second processes that start beside the first.
SHORT_SOAKS = (
    ("--seed", "9106", "--faults", "term,stop,hup"),
    ("--seed", "9103", "--faults", "term,kill,freeze"),
    ("--seed", "9305", "--faults", "term,calls,leave"),
    ("--seed", "7408", "--seconds", "12"),
    ("--seed", "5002", "--faults", "refuse,leave", "--upgrades"),
)


@pytest.mark.parametrize("words", SHORT_SOAKS, ids=" ".join)
def test_a_short_soak_of_ends_holds_and_crowds_keeps_all_rules(words: tuple[str, ...]) -> None:
    """Guard against unanswered requests at relays that shut down, are suspended, or have many idle clients.

    The failure: the request stays unread in the relay's socket, or the connection is closed without an answer.
    """
    status, result, text = run_soak(*words)
    assert status == 0 and not any(result["violations"].values()), text  # type: ignore[attr-defined]
    assert result["requests"] > 300, text  # type: ignore[operator]


def test_a_planted_defect_fails_the_soak_and_prints_the_rule_and_the_timeline_of_the_request() -> None:
    status, result, text = run_soak("--seed", "3", "--faults", "refuse", "--planted", "close_unanswered")
    assert status == 1 and result["unanswered"] > 0, text  # type: ignore[operator]
    assert "VIOLATION unanswered" in text and "rejected reason=" in text


@pytest.mark.parametrize("options", (("--processes", "9"), ("--faults", "sloth"), ("--seconds", "2"), ("--seeds", "0")))
def test_invalid_options_are_rejected(options: tuple[str, ...]) -> None:
    command = [sys.executable, "-m", "benchmarks.soak", *options]
    assert subprocess.run(command, cwd=ROOT, capture_output=True, check=False).returncode == 2
