"""Whether a request may be admitted, sent, retried, migrated or answered now, and why not.

Every path asks here: new requests, attempts, retries, the first byte on a new connection, migrations, final answers,
slow start. A function named `..._rejection` returns the `RejectionReason` against it, which logs and metrics carry, or
None where it is allowed; `retry_window_ms` and `may_promise_no_effect` return what their own docstrings say. All are
pure; times are milliseconds of one clock that never goes back.
"""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import Idempotency

# The answer at a deadline is sent this long before the client stops waiting; no attempt starts after that.
ANSWER_MARGIN_MS = 4.0
# A client that states a longer wait than its class's deadline and this is rejected: the value is not plausible.
MAX_CLIENT_DEADLINE_SLACK_MS = 1000.0


def admission_rejection(
    *,
    shutting_down: bool,
    id_in_use: bool,
    names_backend: bool,
    started: bool,
    remaining_ms: float,
    class_deadline_ms: float,
) -> RejectionReason | None:
    """Whether a new request is admitted.

    names_backend: the client names the backend that had its connection before this process; it may do so until the
    run has `started`. remaining_ms: how long the client still waits; none is left where the request waited to be read
    for longer than that. class_deadline_ms: of the request's class.
    """
    if id_in_use:
        return RejectionReason.ID_IN_USE
    if names_backend and started:
        return RejectionReason.LATE_BACKEND_AFFINITY
    if not names_backend and remaining_ms > class_deadline_ms + MAX_CLIENT_DEADLINE_SLACK_MS:
        return RejectionReason.DEADLINE_TOO_LONG
    if shutting_down:
        return RejectionReason.SHUTTING_DOWN
    return RejectionReason.DEADLINE_EXCEEDED if not names_backend and remaining_ms <= 0.0 else None


def backend_rejection(state: EndpointState | None) -> RejectionReason | None:
    """Whether a backend may get a new attempt; `state` is None for one that is not listed."""
    if state is EndpointState.READY:
        return None
    if state is None:
        return RejectionReason.BACKEND_UNKNOWN
    return RejectionReason.BACKEND_DRAINING if state is EndpointState.DRAINING else RejectionReason.BACKEND_REMOVED


def connect_rejection(state: EndpointState | None, remaining_ms: float) -> RejectionReason | None:
    """Whether an attempt's connection may be opened. remaining_ms: until the attempt times out."""
    if remaining_ms <= ANSWER_MARGIN_MS:
        return RejectionReason.DEADLINE_EXCEEDED
    return backend_rejection(state)


def forward_rejection(
    state: EndpointState | None, *, sticky: bool, now: float, begin_by: float, deadline: float
) -> RejectionReason | None:
    """Whether the first byte of a request may be sent on its new connection: facts may have changed since it began.

    sticky: it goes to the backend that had the connection before this process, whatever that one's state. begin_by:
    when the backends' idempotency window ends.
    """
    if now >= begin_by:
        return RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED
    if deadline - now <= ANSWER_MARGIN_MS:
        return RejectionReason.DEADLINE_EXCEEDED
    return None if sticky else backend_rejection(state)


def retry_window_ms(
    idempotency: Idempotency, may_have_run_at: float | None, window_ms: float, margin_ms: float, now: float
) -> float:
    """Return for how many milliseconds from now another attempt may begin; 0 or less: no longer.

    Without end where no attempt may have run (`may_have_run_at` is None) or the request is idempotent. With an
    idempotency key until the backends' window ends, less the margin, since a later attempt would run again.
    """
    if may_have_run_at is None or idempotency is Idempotency.IDEMPOTENT:
        return inf
    if idempotency is Idempotency.NON_IDEMPOTENT:
        return 0.0
    return may_have_run_at + window_ms - margin_ms - now


def retry_rejection(idempotency: Idempotency, within_ms: float) -> RejectionReason | None:
    """Whether there may be another attempt. within_ms: from `retry_window_ms`."""
    if within_ms > 0.0:
        return None
    if idempotency is Idempotency.NON_IDEMPOTENT:
        return RejectionReason.MAY_HAVE_RUN
    return RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED


def attempt_rejection(attempts: int, max_attempts: int, now: float, deadline: float) -> RejectionReason | None:
    """Whether there may be one more attempt after this many."""
    if attempts >= max_attempts:
        return RejectionReason.ATTEMPTS_EXHAUSTED
    return RejectionReason.DEADLINE_EXCEEDED if now >= deadline else None


def may_promise_no_effect(idempotency: Idempotency, may_have_run: bool) -> bool:
    """Whether a final answer may state that a retry by the client is harmless."""
    return not may_have_run or idempotency is Idempotency.IDEMPOTENT


def answer_rejection(*, answer_pending: bool, in_flight: bool) -> RejectionReason | None:
    """Whether the relay may send a final answer of its own. in_flight: an attempt is."""
    if not answer_pending:
        return RejectionReason.ALREADY_ANSWERED
    return RejectionReason.ATTEMPT_IN_FLIGHT if in_flight else None


def migration_rejection(*, established: bool) -> RejectionReason | None:
    """Whether a client may be asked to connect again."""
    return None if established else RejectionReason.NOT_ESTABLISHED


def slow_start_rejection(probability: float, draw: float) -> RejectionReason | None:
    """Whether a request may go to a backend in slow start.

    probability: this balancer's part of the budget for each request; draw: in 0 to 1. At random for each request:
    with a budget in whole connections all balancers would send theirs at the same moment.
    """
    return None if draw < probability else RejectionReason.SLOW_START
