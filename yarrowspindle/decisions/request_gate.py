"""Preconditions of each step of a request: admission, attempts, forwarding, retries, migration and final answers.

Every code path checks them here. A function named `..._rejection` returns None if the step is allowed, else the
`RejectionReason`, which appears in logs and metrics. All functions are pure; times are milliseconds of one monotonic
clock.
"""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import Idempotency

# Time before the client's deadline at which the final answer is sent; no attempt starts after that.
ANSWER_MARGIN_MS = 4.0
# A stated wait that exceeds the class's deadline by more than this is implausible, and the request is rejected.
MAX_CLIENT_DEADLINE_SLACK_MS = 1000.0
MIN_SETUP_FRACTION = 0.5  # of the setup latency objective that must remain for an attempt in a process that ends


def admission_rejection(
    *,
    shutting_down: bool,
    id_in_use: bool,
    names_backend: bool,
    serving_new_requests: bool,
    remaining_ms: float,
    class_deadline_ms: float,
) -> RejectionReason | None:
    """Return why a new request is rejected, or None if it is admitted.

    Args:
        shutting_down: this process is shutting down.
        id_in_use: another request has the client's request id.
        names_backend: the client names the backend that held its connection before this process started, which is
            allowed only before it is `serving_new_requests`.
        serving_new_requests: this process has received a new request; the named backend may be draining by then.
        remaining_ms: how long the client still waits; 0 or less if that time passed before the request was read.
        class_deadline_ms: deadline of the request's class.
    """
    if id_in_use:
        return RejectionReason.ID_IN_USE
    if names_backend and serving_new_requests:
        return RejectionReason.LATE_BACKEND_AFFINITY
    if not names_backend and remaining_ms > class_deadline_ms + MAX_CLIENT_DEADLINE_SLACK_MS:
        return RejectionReason.DEADLINE_TOO_LONG
    if shutting_down:
        return RejectionReason.SHUTTING_DOWN
    return RejectionReason.DEADLINE_EXCEEDED if not names_backend and remaining_ms <= 0.0 else None


def backend_rejection(state: EndpointState | None) -> RejectionReason | None:
    """Return why a backend gets no new attempt, or None if it may. state: None if the backend is not listed."""
    if state is EndpointState.READY:
        return None
    if state is None:
        return RejectionReason.BACKEND_UNKNOWN
    return RejectionReason.BACKEND_DRAINING if state is EndpointState.DRAINING else RejectionReason.BACKEND_REMOVED


def connect_rejection(state: EndpointState | None, remaining_ms: float) -> RejectionReason | None:
    """Return why the connection of an attempt may not be opened, or None if it may.

    remaining_ms: time until the attempt times out.
    """
    if remaining_ms <= ANSWER_MARGIN_MS:
        return RejectionReason.DEADLINE_EXCEEDED
    return backend_rejection(state)


def forward_rejection(
    state: EndpointState | None, *, sticky: bool, now: float, begin_by: float, deadline: float
) -> RejectionReason | None:
    """Return why the first byte of a request may not be sent on its new connection, or None if it may.

    This is checked again here because the state may have changed since the attempt started.

    Args:
        state: the backend's state in the endpoint list; None if it is not listed.
        sticky: the request returns to the backend that held its connection before this process started; the state is
            ignored then.
        now: the present time.
        begin_by: end of the backends' idempotency window.
        deadline: the client's deadline.
    """
    if now >= begin_by:
        return RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED
    if deadline - now <= ANSWER_MARGIN_MS:
        return RejectionReason.DEADLINE_EXCEEDED
    return None if sticky else backend_rejection(state)


def retry_window_ms(
    idempotency: Idempotency, may_have_run_at: float | None, window_ms: float, margin_ms: float, now: float
) -> float:
    """Return for how many milliseconds from now another attempt may begin; 0 or less if none may begin any more.

    The window is infinite if no attempt may have run (`may_have_run_at` is None) or the request is idempotent. With an
    idempotency key it ends a margin before the backends' window does, since a later attempt would be run again.
    """
    if may_have_run_at is None or idempotency is Idempotency.IDEMPOTENT:
        return inf
    if idempotency is Idempotency.NON_IDEMPOTENT:
        return 0.0
    return may_have_run_at + window_ms - margin_ms - now


def retry_rejection(idempotency: Idempotency, within_ms: float) -> RejectionReason | None:
    """Return why the request may not be retried, or None if it may. within_ms: result of `retry_window_ms`."""
    if within_ms > 0.0:
        return None
    if idempotency is Idempotency.NON_IDEMPOTENT:
        return RejectionReason.MAY_HAVE_RUN
    return RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED


def shutdown_rejection(remaining_ms: float, setup_latency_objective_ms: float) -> RejectionReason | None:
    """Return why no attempt may begin any more in a process that ends, or None if one may.

    An attempt that the end cuts off may have run, so that its client would not be told that a retry is harmless.

    Args:
        remaining_ms: time until the process answers all requests; infinite if it does not end.
        setup_latency_objective_ms: the latency objective of the request's class.
    """
    if remaining_ms < MIN_SETUP_FRACTION * setup_latency_objective_ms:
        return RejectionReason.SHUTTING_DOWN
    return None


def attempt_rejection(attempts: int, max_attempts: int, now: float, deadline: float) -> RejectionReason | None:
    """Return why there may be no further attempt after `attempts` of them, or None if there may."""
    if attempts >= max_attempts:
        return RejectionReason.ATTEMPTS_EXHAUSTED
    return RejectionReason.DEADLINE_EXCEEDED if now >= deadline else None


def is_retry_safe(idempotency: Idempotency, may_have_run: bool) -> bool:
    """Return whether the final answer may state that the client can retry safely."""
    return not may_have_run or idempotency is Idempotency.IDEMPOTENT


def answer_rejection(*, answer_pending: bool, in_flight: bool) -> RejectionReason | None:
    """Return why the relay may not send a final answer of its own, or None if it may.

    Args:
        answer_pending: the request has had no final answer yet.
        in_flight: an attempt of the request is in flight.
    """
    if not answer_pending:
        return RejectionReason.ALREADY_ANSWERED
    return RejectionReason.ATTEMPT_IN_FLIGHT if in_flight else None


def migration_rejection(*, established: bool) -> RejectionReason | None:
    """Return why the client may not be asked to reconnect, or None if it may."""
    return None if established else RejectionReason.NOT_ESTABLISHED


def slow_start_rejection(probability: float, draw: float) -> RejectionReason | None:
    """Return why a request may not be placed on a backend in slow start, or None if it may.

    The decision is random for each request: with a budget in whole connections all balancers would spend theirs at the
    same moment.

    Args:
        probability: this balancer's part of the budget per request.
        draw: random number in 0 to 1.
    """
    return None if draw < probability else RejectionReason.SLOW_START
