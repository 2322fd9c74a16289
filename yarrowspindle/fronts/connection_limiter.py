"""Which connections are accepted while descriptors are short: the books behind the listening socket.

Requests need a descriptor for each side. Connections whose request has not come, and those that were answered and have
not ended yet, share a part of what there is. Where that is full, those answered longest ago go first, then those that
have sent nothing for longest.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from itertools import islice
from pathlib import Path

from yarrowspindle.transport.line_connection import LineConnection

RESERVED_DESCRIPTORS = 24  # for what comes and goes: watches, the configuration's file, sockets that are about to close
MAX_IDLE_FRACTION = 0.2  # of the connections, without a request or answered
MIN_IDLE_CONNECTIONS = 8
MAX_CANDIDATES = 16  # at the oldest, for one whose socket is empty
MIN_AGE_S = 0.03  # a usual client's line comes with its connection; nobody is sent away sooner than this
FALLBACK_USED_DESCRIPTORS = 32  # where the system does not list them


def descriptors_left(configured: int = 0) -> int:
    """Returns how many the process may still open, by its limit and by what the configuration allows; 0: no bound."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY:
        limit = 1 << 20
    try:
        used = len(list(Path("/proc/self/fd").iterdir()))
    except OSError:
        used = FALLBACK_USED_DESCRIPTORS
    return max(0, min(limit, configured or limit) - used)


class ConnectionLimiter:
    """Counts connections, and closes idle ones for new ones.

    Args:
        max_descriptors: descriptors for all connections, of which some are spared.
        clock: returns seconds.
        end_if_silent: returns whether the kernel holds nothing of a connection that was not read, its first line for
            all we know.

    Attributes:
        connections: all sides that have a descriptor, or are about to.
        without_request: since when, oldest first.
        answered: since when, oldest first.
    """

    def __init__(
        self,
        max_descriptors: int,
        clock: Callable[[], float],
        end_if_silent: Callable[[LineConnection], bool] = lambda side: True,
    ) -> None:
        self.max_connections, self.clock, self.end_if_silent = (
            max_descriptors - RESERVED_DESCRIPTORS,
            clock,
            end_if_silent,
        )
        self.max_idle = max(MIN_IDLE_CONNECTIONS, int(self.max_connections * MAX_IDLE_FRACTION))
        self.connections: set[LineConnection] = set()
        self.without_request: dict[LineConnection, float] = {}
        self.answered: dict[LineConnection, float] = {}

    def on_accepted(self, side: LineConnection) -> None:
        """A client's connection was accepted."""
        self.connections.add(side)
        self.without_request[side] = self.clock()

    def on_backend_connecting(self, side: LineConnection) -> None:
        """A connection to a backend is about to be opened."""
        self.connections.add(side)

    def on_request(self, side: LineConnection) -> None:
        """The client's request has come."""
        self.without_request.pop(side, None)

    def on_answered(self, side: LineConnection) -> None:
        """The client has its last line."""
        self.without_request.pop(side, None)
        if side in self.connections:
            self.answered[side] = self.clock()

    def on_closed(self, side: LineConnection) -> None:
        """The connection has no descriptor any more."""
        self.connections.discard(side)
        self.without_request.pop(side, None)
        self.answered.pop(side, None)

    def idle_s(self, side: LineConnection) -> float:
        """Returns for how long the connection has had no request; 0 where it has one, or is not counted."""
        now = self.clock()
        return now - self.without_request.get(side, self.answered.get(side, now))

    def make_room(self) -> bool:
        """Returns whether one more may be accepted; closes an idle one where that is needed and possible."""
        while self._is_full():
            if not self._close_oldest():
                return False
        return True

    def _is_full(self) -> bool:
        without_request = len(self.without_request)  # each takes one more, for its backend, once its request has come
        return (
            len(self.connections) + without_request >= self.max_connections
            or without_request + len(self.answered) >= self.max_idle
        )

    def _close_oldest(self) -> bool:
        latest_start = self.clock() - MIN_AGE_S
        for sides in (self.answered, self.without_request):
            for side, since in islice(sides.items(), MAX_CANDIDATES):
                if since > latest_start:
                    break
                if self.end_if_silent(side):
                    self.on_closed(side)
                    side.abort()
                    return True
        return False
