"""Why a request may not be taken, sent, repeated, moved or answered: one enum for decisions, logs and metrics."""

from __future__ import annotations

from enum import Enum, unique


@unique
class Refusal(Enum):
    """Why something may not be done; the value is its name in logs and metrics."""

    RELAY_ENDING = "relay_ending"  # the process ends: nothing is begun any more
    ID_IN_USE = "id_in_use"  # another request has this client's id
    WAIT_TOO_LONG = "wait_too_long"  # the client would wait far beyond its class's deadline
    SERVER_CHOSEN_LATE = "server_chosen_late"  # a client names its server, though the run has begun
    OUT_OF_TURN = "out_of_turn"  # the client sent more before it had its answer
    ATTEMPT_OUT = "attempt_out"  # another attempt of the request is out
    ALREADY_ANSWERED = "already_answered"  # the request has its one final answer
    SERVER_UNKNOWN = "server_unknown"
    SERVER_DRAINING = "server_draining"
    SERVER_GONE = "server_gone"
    DEADLINE = "deadline"  # the client's time is up, or as good as that
    ATTEMPTS_USED = "attempts_used"  # as many attempts were made as the settings allow
    MAY_HAVE_RUN = "may_have_run"  # an attempt may have run, and the class may run once only
    WINDOW_OVER = "window_over"  # a repeat would no longer be known as one where it arrives
    NO_SERVER = "no_server"  # none is usable
    OVERLOADED = "overloaded"  # it would earn nothing where it could go, and cost others
    NOT_STANDING = "not_standing"  # no connection stands that could be moved
    STEP_FAILED = "step_failed"  # a fault of the program, which was logged
    SLOW_START = "slow_start"  # the budget of servers that have just started is used up
