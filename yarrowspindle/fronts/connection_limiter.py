"""Who is let in while descriptors are short: the books behind the listening socket.

A connection is a stranger until its job has come. Jobs need a descriptor for each side; strangers, and connections
that were answered and have not ended yet, share a part of what there is. Where that is full, those answered longest
ago go first, then the strangers that have said nothing for longest.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from itertools import islice
from pathlib import Path

from yarrowspindle.transport.line_connection import LineConnection

SPARE = 24  # for what comes and goes: watches, the configuration's file, sockets that are about to close
STRANGERS_FRACTION = 0.2
MIN_STRANGERS = 8
YOUNG_S = 0.03  # a usual submitter's line comes with its connection; nobody is sent away sooner than this


def descriptors_left(told: int = 0) -> int:
    """How many the process may still open, by its limit and by what the configuration tells of it."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if most == resource.RLIM_INFINITY:
        most = 1 << 20
    try:
        used = len(list(Path("/proc/self/fd").iterdir()))
    except OSError:
        used = 32
    return max(0, min(most, told or most) - used)


class Door:
    def __init__(self, most: int, clock: Callable[[], float]) -> None:
        self.most, self.clock = most - SPARE, clock
        self.strangers_most = max(MIN_STRANGERS, int(self.most * STRANGERS_FRACTION))
        self.held: set[LineConnection] = set()  # all sides that have a descriptor, or are about to
        self.strangers: dict[LineConnection, float] = {}  # since when; oldest first
        self.leaving: dict[LineConnection, float] = {}

    def came(self, side: LineConnection) -> None:
        self.held.add(side)
        self.strangers[side] = self.clock()

    def reached_for(self, side: LineConnection) -> None:
        self.held.add(side)

    def known(self, side: LineConnection) -> None:
        self.strangers.pop(side, None)

    def answered(self, side: LineConnection) -> None:
        self.strangers.pop(side, None)
        if side in self.held:
            self.leaving[side] = self.clock()

    def lost(self, side: LineConnection) -> None:
        self.held.discard(side)
        self.strangers.pop(side, None)
        self.leaving.pop(side, None)

    def room(self) -> bool:
        """Whether one more may come in; makes room where that is needed and somebody can be sent away."""
        while self._full():
            if not self._send_away():
                return False
        return True

    def _full(self) -> bool:
        strangers = len(self.strangers)  # each takes one more, for its node, once its job has come
        return len(self.held) + strangers >= self.most or strangers + len(self.leaving) >= self.strangers_most

    def _send_away(self) -> bool:
        old = self.clock() - YOUNG_S
        for sides in (self.leaving, self.strangers):
            for side, since in islice(sides.items(), 1):
                if since <= old:
                    self.lost(side)
                    side.abort()
                    return True
        return False
