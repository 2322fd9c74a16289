"""The request gate: each precondition at its limits."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest

from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import Idempotency

ADMITTED: dict[str, Any] = {
    "shutting_down": False,
    "id_in_use": False,
    "names_backend": False,
    "serving_new_requests": True,
    "remaining_ms": 900.0,
    "class_deadline_ms": 900.0,
}
FORWARDED: dict[str, Any] = {"sticky": False, "now": 1000.0, "begin_by": inf, "deadline": 1900.0}


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        ({"shutting_down": True}, RejectionReason.SHUTTING_DOWN),
        ({"id_in_use": True, "shutting_down": True}, RejectionReason.ID_IN_USE),
        ({"remaining_ms": 900.0 + gate.MAX_CLIENT_DEADLINE_SLACK_MS}, None),
        ({"remaining_ms": 901.0 + gate.MAX_CLIENT_DEADLINE_SLACK_MS}, RejectionReason.DEADLINE_TOO_LONG),
        ({"names_backend": True}, RejectionReason.LATE_BACKEND_AFFINITY),
        ({"names_backend": True, "serving_new_requests": False, "remaining_ms": 1e6}, None),
    ],
)
def test_a_request_is_admitted_or_not(changes: dict[str, Any], reason: RejectionReason | None) -> None:
    assert gate.admission_rejection(**(ADMITTED | changes)) is reason


@pytest.mark.parametrize(
    ("state", "changes", "reason"),
    [
        (EndpointState.READY, {}, None),
        (None, {}, RejectionReason.BACKEND_UNKNOWN),
        (EndpointState.DRAINING, {}, RejectionReason.BACKEND_DRAINING),
        (EndpointState.GONE, {}, RejectionReason.BACKEND_REMOVED),
        (EndpointState.DRAINING, {"sticky": True}, None),
        (EndpointState.READY, {"begin_by": 1000.0}, RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED),
        (EndpointState.READY, {"begin_by": 1000.1}, None),
        (EndpointState.READY, {"deadline": 1000.0 + gate.ANSWER_MARGIN_MS}, RejectionReason.DEADLINE_EXCEEDED),
        (EndpointState.READY, {"deadline": 1000.1 + gate.ANSWER_MARGIN_MS}, None),
    ],
)
def test_the_first_byte_is_forwarded_or_not(
    state: EndpointState | None, changes: dict[str, Any], reason: RejectionReason | None
) -> None:
    assert gate.forward_rejection(state, **(FORWARDED | changes)) is reason


@pytest.mark.parametrize(
    ("idempotency", "may_have_run_at", "within_ms", "reason"),
    [
        (Idempotency.NON_IDEMPOTENT, None, inf, None),
        (Idempotency.NON_IDEMPOTENT, 1000.0, 0.0, RejectionReason.MAY_HAVE_RUN),
        (Idempotency.IDEMPOTENT, 1000.0, inf, None),
        (Idempotency.KEYED, None, inf, None),
        (Idempotency.KEYED, 1000.0, 390.0, None),
        (Idempotency.KEYED, 600.0, -10.0, RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED),
        (Idempotency.KEYED, 610.0, 0.0, RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED),
    ],
)
def test_a_request_is_retried_or_not(
    idempotency: Idempotency, may_have_run_at: float | None, within_ms: float, reason: RejectionReason | None
) -> None:
    window_ms = gate.retry_window_ms(idempotency, may_have_run_at, 400.0, 10.0, 1000.0)
    assert window_ms == within_ms and gate.retry_rejection(idempotency, window_ms) is reason


def test_attempts_answers_and_migrations_at_their_limits() -> None:
    assert gate.attempt_rejection(2, 3, 10.0, 20.0) is None
    assert gate.attempt_rejection(3, 3, 10.0, 20.0) is RejectionReason.ATTEMPTS_EXHAUSTED
    assert gate.attempt_rejection(0, 3, 20.0, 20.0) is RejectionReason.DEADLINE_EXCEEDED
    assert gate.connect_rejection(EndpointState.READY, gate.ANSWER_MARGIN_MS) is RejectionReason.DEADLINE_EXCEEDED
    assert gate.connect_rejection(EndpointState.READY, gate.ANSWER_MARGIN_MS + 0.1) is None
    assert gate.connect_rejection(EndpointState.GONE, 100.0) is RejectionReason.BACKEND_REMOVED
    assert gate.answer_rejection(answer_pending=True, in_flight=False) is None
    assert gate.answer_rejection(answer_pending=False, in_flight=False) is RejectionReason.ALREADY_ANSWERED
    assert gate.answer_rejection(answer_pending=True, in_flight=True) is RejectionReason.ATTEMPT_IN_FLIGHT
    assert (
        gate.migration_rejection(established=False) is RejectionReason.NOT_ESTABLISHED
        and gate.migration_rejection(established=True) is None
    )
    assert (
        gate.slow_start_rejection(0.5, 0.5) is RejectionReason.SLOW_START
        and gate.slow_start_rejection(0.5, 0.49) is None
    )


def test_a_retry_is_called_safe_only_if_nothing_ran_or_the_class_is_idempotent() -> None:
    for idempotency in Idempotency:
        assert gate.is_retry_safe(idempotency, may_have_run=False)
        assert gate.is_retry_safe(idempotency, may_have_run=True) is (idempotency is Idempotency.IDEMPOTENT)
