"""The gate: what may be done with a request now, and why not; each rule at its edges."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest

from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.events import State
from yarrowspindle.decisions.rejection import Refusal
from yarrowspindle.decisions.settings import Effect

TAKEN: dict[str, Any] = {
    "ending": False,
    "id_in_use": False,
    "names_server": False,
    "begun": True,
    "left_ms": 900.0,
    "deadline_ms": 900.0,
}
WRITTEN: dict[str, Any] = {"pinned": False, "now": 1000.0, "begin_by": inf, "deadline": 1900.0}


@pytest.mark.parametrize(
    ("changes", "refused"),
    [
        ({}, None),
        ({"ending": True}, Refusal.RELAY_ENDING),
        ({"id_in_use": True, "ending": True}, Refusal.ID_IN_USE),
        ({"left_ms": 900.0 + gate.PATIENCE_MS}, None),
        ({"left_ms": 901.0 + gate.PATIENCE_MS}, Refusal.WAIT_TOO_LONG),
        ({"names_server": True}, Refusal.SERVER_CHOSEN_LATE),
        ({"names_server": True, "begun": False, "left_ms": 1e6}, None),
    ],
)
def test_a_request_is_taken_or_not(changes: dict[str, Any], refused: Refusal | None) -> None:
    assert gate.may_take(**(TAKEN | changes)) is refused


@pytest.mark.parametrize(
    ("state", "changes", "refused"),
    [
        (State.READY, {}, None),
        (None, {}, Refusal.SERVER_UNKNOWN),
        (State.DRAINING, {}, Refusal.SERVER_DRAINING),
        (State.GONE, {}, Refusal.SERVER_GONE),
        (State.DRAINING, {"pinned": True}, None),
        (State.READY, {"begin_by": 1000.0}, Refusal.WINDOW_OVER),
        (State.READY, {"begin_by": 1000.1}, None),
        (State.READY, {"deadline": 1000.0 + gate.EARLY_MS}, Refusal.DEADLINE),
        (State.READY, {"deadline": 1000.1 + gate.EARLY_MS}, None),
    ],
)
def test_the_first_byte_is_written_or_not(
    state: State | None, changes: dict[str, Any], refused: Refusal | None
) -> None:
    assert gate.may_write(state, **(WRITTEN | changes)) is refused


@pytest.mark.parametrize(
    ("effect", "ran_at", "within", "refused"),
    [
        (Effect.UNSAFE, None, inf, None),
        (Effect.UNSAFE, 1000.0, 0.0, Refusal.MAY_HAVE_RUN),
        (Effect.SAFE, 1000.0, inf, None),
        (Effect.KEYED, None, inf, None),
        (Effect.KEYED, 1000.0, 390.0, None),
        (Effect.KEYED, 600.0, -10.0, Refusal.WINDOW_OVER),
        (Effect.KEYED, 610.0, 0.0, Refusal.WINDOW_OVER),
    ],
)
def test_a_request_is_repeated_or_not(
    effect: Effect, ran_at: float | None, within: float, refused: Refusal | None
) -> None:
    found = gate.repeat_within(effect, ran_at, 400.0, 10.0, 1000.0)
    assert found == within and gate.may_repeat(effect, found) is refused


def test_attempts_answers_and_moves_at_their_edges() -> None:
    assert gate.may_attempt(2, 3, 10.0, 20.0) is None
    assert gate.may_attempt(3, 3, 10.0, 20.0) is Refusal.ATTEMPTS_USED
    assert gate.may_attempt(0, 3, 20.0, 20.0) is Refusal.DEADLINE
    assert gate.may_begin(State.READY, gate.EARLY_MS) is Refusal.DEADLINE
    assert gate.may_begin(State.READY, gate.EARLY_MS + 0.1) is None
    assert gate.may_begin(State.GONE, 100.0) is Refusal.SERVER_GONE
    assert gate.may_answer(waiting=True, out=False) is None
    assert gate.may_answer(waiting=False, out=False) is Refusal.ALREADY_ANSWERED
    assert gate.may_answer(waiting=True, out=True) is Refusal.ATTEMPT_OUT
    assert gate.may_move(standing=False) is Refusal.NOT_STANDING and gate.may_move(standing=True) is None
    assert gate.may_feed(0.5, 0.5) is Refusal.SLOW_START and gate.may_feed(0.5, 0.49) is None


def test_only_what_cannot_have_run_or_may_be_repeated_is_promised_to_be_harmless() -> None:
    for effect in Effect:
        assert gate.may_promise_no_effect(effect, may_have_run=False)
        assert gate.may_promise_no_effect(effect, may_have_run=True) is (effect is Effect.SAFE)
