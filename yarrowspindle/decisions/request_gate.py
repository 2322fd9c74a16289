"""The one place that answers whether a request may be taken, sent, repeated, moved or answered now, and why not.

Every path asks here: new requests, attempts, retries, the first byte on a connection that has come up, moves, final
answers, slow start. Each function returns None where it may be, else the `Refusal` that logs and metrics carry. Pure:
whoever asks brings the facts; times are milliseconds of one clock that never goes back.
"""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import Idempotency

EARLY_MS = 4.0  # the deadline's answer leaves this long before the client stops waiting; nothing is begun after that
PATIENCE_MS = 1000.0  # a client that would wait for longer than its class's deadline and this is not believed


def may_take(
    *, ending: bool, id_in_use: bool, names_backend: bool, begun: bool, left_ms: float, deadline_ms: float
) -> RejectionReason | None:
    """A new request. ending: this process begins nothing any more. names_server: the client names the server that held
    its connection before the run, which it may until the run has `begun`. left_ms: how long it would wait.
    deadline_ms: of its class."""
    if id_in_use:
        return RejectionReason.ID_IN_USE
    if names_backend and begun:
        return RejectionReason.LATE_BACKEND_AFFINITY
    if not names_backend and left_ms > deadline_ms + PATIENCE_MS:
        return RejectionReason.DEADLINE_TOO_LONG
    return RejectionReason.SHUTTING_DOWN if ending else None


def may_use(state: EndpointState | None) -> RejectionReason | None:
    """A server for a new attempt; None as the state of one that is not listed."""
    if state is EndpointState.READY:
        return None
    if state is None:
        return RejectionReason.BACKEND_UNKNOWN
    return RejectionReason.BACKEND_DRAINING if state is EndpointState.DRAINING else RejectionReason.BACKEND_REMOVED


def may_begin(state: EndpointState | None, left_ms: float) -> RejectionReason | None:
    """The attempt's connection may be opened. left_ms: of the time that the attempt has."""
    if left_ms <= EARLY_MS:
        return RejectionReason.DEADLINE_EXCEEDED
    return may_use(state)


def may_write(
    state: EndpointState | None, *, pinned: bool, now: float, begin_by: float, deadline: float
) -> RejectionReason | None:
    """The first byte of the request, once its connection has come up: much may have happened since it was opened.
    pinned: it goes to the server that held the connection before the run, whatever that one's state."""
    if now >= begin_by:
        return RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED
    if deadline - now <= EARLY_MS:
        return RejectionReason.DEADLINE_EXCEEDED
    return None if pinned else may_use(state)


def repeat_within(effect: Idempotency, ran_at: float | None, window_ms: float, slack_ms: float, now: float) -> float:
    """For how long from now a further attempt may begin: without end where none may have run (ran_at: None) or the
    class may repeat, else until the servers' window closes, less the slack; 0 and below: no more."""
    if ran_at is None or effect is Idempotency.IDEMPOTENT:
        return inf
    if effect is Idempotency.NON_IDEMPOTENT:
        return 0.0
    return ran_at + window_ms - slack_ms - now


def may_repeat(effect: Idempotency, within_ms: float) -> RejectionReason | None:
    """A further attempt. within_ms: of `repeat_within`."""
    if within_ms > 0.0:
        return None
    return (
        RejectionReason.MAY_HAVE_RUN
        if effect is Idempotency.NON_IDEMPOTENT
        else RejectionReason.IDEMPOTENCY_WINDOW_EXPIRED
    )


def may_attempt(made: int, most: int, now: float, deadline: float) -> RejectionReason | None:
    """One more attempt after so many that were made."""
    if made >= most:
        return RejectionReason.ATTEMPTS_EXHAUSTED
    return RejectionReason.DEADLINE_EXCEEDED if now >= deadline else None


def may_promise_no_effect(effect: Idempotency, may_have_run: bool) -> bool:
    """Whether a final answer may say that trying again is harmless."""
    return not may_have_run or effect is Idempotency.IDEMPOTENT


def may_answer(*, waiting: bool, out: bool) -> RejectionReason | None:
    """A final answer of the relay's own. waiting: the client has none yet. out: an attempt is out."""
    if not waiting:
        return RejectionReason.ALREADY_ANSWERED
    return RejectionReason.ATTEMPT_IN_FLIGHT if out else None


def may_move(*, standing: bool) -> RejectionReason | None:
    """A client is told to come again."""
    return None if standing else RejectionReason.NOT_ESTABLISHED


def may_feed(chance: float, drawn: float) -> RejectionReason | None:
    """A request for a server in slow start. chance: this relay's part of the budget, for each request; drawn: in
    0 to 1. By chance with each request: saved up for a whole one, all relays would send theirs in one moment."""
    return None if drawn < chance else RejectionReason.SLOW_START
