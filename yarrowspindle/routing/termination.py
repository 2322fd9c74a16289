"""Every way in which a connection can end, and what the module is told of it."""

from __future__ import annotations

from enum import Enum, unique

from yarrowspindle.decisions.events import Outcome


@unique
class TerminationReason(Enum):
    COMPLETED = "the execute node served it to its end"
    BACKEND_DRAINING = "the execute node asked the submitter to come again"
    REJECTED = "the execute node took it for nothing: full, draining, or no time left"
    BACKEND_ERROR = "the execute node answered with an error"
    PROTOCOL_ERROR = "the execute node answered with nothing that the protocol knows"
    CONNECT_FAILED = "no connection came up, or it broke before all was sent"
    CONNECTION_RESET = "the connection to the execute node broke or ended"
    UNRESPONSIVE = "the execute node brought nothing back for too long"
    BACKEND_REMOVED = "the machine list says that the execute node is gone"
    IDLE_EXPIRED = "nothing came from either side for so long that it must have ended"
    DEADLINE_EXCEEDED = "the relay stopped waiting: the deadline has passed"
    EVENT_LOOP_STALLED = "the deadline passed while this process stood still: nobody knows what the execute node did"
    CLIENT_DISCONNECTED = "the submitter left, or its connection broke"
    MIGRATED = "the relay told the submitter to come again"
    NOT_SENT = "nothing was sent: the execute node drains or is gone, or there was no time"


OUTCOMES = {
    TerminationReason.COMPLETED: Outcome.OK,
    TerminationReason.BACKEND_DRAINING: Outcome.CANCELLED,
    TerminationReason.REJECTED: Outcome.REJECTED,
    TerminationReason.BACKEND_ERROR: Outcome.ERROR,
    TerminationReason.PROTOCOL_ERROR: Outcome.ERROR,
    TerminationReason.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    TerminationReason.CONNECTION_RESET: Outcome.RESET,
    TerminationReason.UNRESPONSIVE: Outcome.RESET,
    TerminationReason.BACKEND_REMOVED: Outcome.RESET,
    TerminationReason.IDLE_EXPIRED: Outcome.OK,
    TerminationReason.DEADLINE_EXCEEDED: Outcome.TIMEOUT,
    TerminationReason.EVENT_LOOP_STALLED: Outcome.CANCELLED,
    TerminationReason.CLIENT_DISCONNECTED: Outcome.CANCELLED,
    TerminationReason.MIGRATED: Outcome.CANCELLED,
    TerminationReason.NOT_SENT: Outcome.NOT_SENT,
}
