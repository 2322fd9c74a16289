"""Why a request may not be taken, sent, repeated, moved or answered: one enum for decisions, logs and metrics."""

from __future__ import annotations

from enum import Enum, unique


@unique
class RejectionReason(Enum):
    """Why something may not be done; the value is its name in logs and metrics."""

    SHUTTING_DOWN = "relay_ending"  # the process ends: nothing is begun any more
    ID_IN_USE = "id_in_use"  # another request has this client's id
    DEADLINE_TOO_LONG = "wait_too_long"  # the client would wait far beyond its class's deadline
    LATE_BACKEND_AFFINITY = "server_chosen_late"  # a client names its server, though the run has begun
    UNEXPECTED_CLIENT_DATA = "out_of_turn"  # the client sent more before it had its answer
    ATTEMPT_IN_FLIGHT = "attempt_out"  # another attempt of the request is out
    ALREADY_ANSWERED = "already_answered"  # the request has its one final answer
    BACKEND_UNKNOWN = "server_unknown"
    BACKEND_DRAINING = "server_draining"
    BACKEND_REMOVED = "server_gone"
    DEADLINE_EXCEEDED = "deadline"  # the client's time is up, or as good as that
    ATTEMPTS_EXHAUSTED = "attempts_used"  # as many attempts were made as the settings allow
    MAY_HAVE_RUN = "may_have_run"  # an attempt may have run, and the class may run once only
    IDEMPOTENCY_WINDOW_EXPIRED = "window_over"  # a repeat would no longer be known as one where it arrives
    NO_USABLE_BACKEND = "no_server"  # none is usable
    OVERLOADED = "overloaded"  # it would earn nothing where it could go, and cost others
    NOT_ESTABLISHED = "not_standing"  # no connection stands that could be moved
    INTERNAL_ERROR = "step_failed"  # a fault of the program, which was logged
    SLOW_START = "slow_start"  # the budget of servers that have just started is used up
