"""Reasons why a request is not admitted, sent, retried, migrated or answered, for decisions, logs and metrics."""

from __future__ import annotations

from enum import Enum, unique


@unique
class RejectionReason(Enum):
    """The reason why a step is not allowed; the value is its published name in logs and metrics."""

    SHUTTING_DOWN = "relay_ending"  # this process is shutting down and starts no new work
    ID_IN_USE = "id_in_use"  # another request has the same client-supplied id, or had it and may still run
    DEADLINE_TOO_LONG = "wait_too_long"  # the client's stated wait far exceeds the deadline of its class
    LATE_BACKEND_AFFINITY = "server_chosen_late"  # a client names its previous backend after the first new request
    UNEXPECTED_CLIENT_DATA = "out_of_turn"  # the client sent more data before it received its answer
    ATTEMPT_IN_FLIGHT = "attempt_out"  # another attempt of the request is in flight
    ALREADY_ANSWERED = "already_answered"  # the request already has its final answer
    BACKEND_UNKNOWN = "server_unknown"
    BACKEND_DRAINING = "server_draining"
    BACKEND_REMOVED = "server_gone"
    DEADLINE_EXCEEDED = "deadline"  # the client's deadline has passed, or too little time remains
    ATTEMPTS_EXHAUSTED = "attempts_used"  # the settings allow no further attempt
    MAY_HAVE_RUN = "may_have_run"  # an attempt may have run, and the class is NON_IDEMPOTENT
    IDEMPOTENCY_WINDOW_EXPIRED = "window_over"  # backends would not recognise the repeat any more
    NO_USABLE_BACKEND = "no_server"
    OVERLOADED = "overloaded"  # it would miss its latency objective and slow down other connections
    NOT_ESTABLISHED = "not_standing"  # there is no established connection to migrate
    INTERNAL_ERROR = "step_failed"  # unexpected exception, which was logged
    LIST_OUTDATED = "list_outdated"  # the endpoint list is too old, and another process serves the relay's clients
    TOO_MANY_REQUESTS = "too_many_requests"  # the ids of no more requests that may run only once can be remembered
    SLOW_START = "slow_start"  # the slow-start budget is used up
