"""Every way in which a connection can end, and what the module is told of it."""

from __future__ import annotations

from enum import Enum, unique

from yarrowspindle.decisions.events import Outcome


@unique
class Ending(Enum):
    SERVED = "the execute node served it to its end"
    SENT_AWAY = "the execute node asked the submitter to come again"
    TURNED_AWAY = "the execute node took it for nothing: full, draining, or no time left"
    ERRED = "the execute node answered with an error"
    NOT_UNDERSTOOD = "the execute node answered with nothing that the protocol knows"
    UNREACHED = "no connection came up, or it broke before all was sent"
    BROKEN = "the connection to the execute node broke or ended"
    SILENT = "the execute node brought nothing back for too long"
    NODE_GONE = "the machine list says that the execute node is gone"
    EXPIRED = "nothing came from either side for so long that it must have ended"
    OVERDUE = "the relay stopped waiting: the deadline has passed"
    STALLED = "the deadline passed while this process stood still: nobody knows what the execute node did"
    SUBMITTER_LEFT = "the submitter left, or its connection broke"
    MOVED = "the relay told the submitter to come again"
    NEVER_SENT = "nothing was sent: the execute node drains or is gone, or there was no time"


OUTCOMES = {
    Ending.SERVED: Outcome.OK,
    Ending.SENT_AWAY: Outcome.CANCELLED,
    Ending.TURNED_AWAY: Outcome.FULL,
    Ending.ERRED: Outcome.ERROR,
    Ending.NOT_UNDERSTOOD: Outcome.ERROR,
    Ending.UNREACHED: Outcome.CONNECT_FAILED,
    Ending.BROKEN: Outcome.RESET,
    Ending.SILENT: Outcome.RESET,
    Ending.NODE_GONE: Outcome.RESET,
    Ending.EXPIRED: Outcome.OK,
    Ending.OVERDUE: Outcome.TIMEOUT,
    Ending.STALLED: Outcome.CANCELLED,
    Ending.SUBMITTER_LEFT: Outcome.CANCELLED,
    Ending.MOVED: Outcome.CANCELLED,
    Ending.NEVER_SENT: Outcome.MOOT,
}
