"""Why a request may not be admitted, sent, retried, migrated or answered: one enum for decisions, logs and metrics."""

from __future__ import annotations

from enum import Enum, unique


@unique
class RejectionReason(Enum):
    """Why something is not allowed; the value is its published name in logs and metrics."""

    SHUTTING_DOWN = "relay_ending"  # this process begins nothing any more
    ID_IN_USE = "id_in_use"  # another request has this client's id
    DEADLINE_TOO_LONG = "wait_too_long"  # the client states a wait far beyond its class's deadline
    LATE_BACKEND_AFFINITY = "server_chosen_late"  # a client names its backend after the run has started
    UNEXPECTED_CLIENT_DATA = "out_of_turn"  # the client sent more before it had its answer
    ATTEMPT_IN_FLIGHT = "attempt_out"  # another attempt of the request is in flight
    ALREADY_ANSWERED = "already_answered"  # the request has its one final answer
    BACKEND_UNKNOWN = "server_unknown"
    BACKEND_DRAINING = "server_draining"
    BACKEND_REMOVED = "server_gone"
    DEADLINE_EXCEEDED = "deadline"  # of the client, or too little of its time remains
    ATTEMPTS_EXHAUSTED = "attempts_used"  # as many attempts were made as the settings allow
    MAY_HAVE_RUN = "may_have_run"  # an attempt may have run, and the class is NON_IDEMPOTENT
    IDEMPOTENCY_WINDOW_EXPIRED = "window_over"  # backends would no longer recognise a repeat
    NO_USABLE_BACKEND = "no_server"
    OVERLOADED = "overloaded"  # it would miss its objective where it could go, and slow others down
    NOT_ESTABLISHED = "not_standing"  # there is no established connection to migrate
    INTERNAL_ERROR = "step_failed"  # an error of the program, which was logged
    SLOW_START = "slow_start"  # the budget of backends that are warming up is used up
