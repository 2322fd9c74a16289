"""Limits the accepted connections by the file descriptors that are available.

A request needs one descriptor for its client and one for its backend. Connections that have not sent a request yet and
those that were answered but are not closed yet share a fraction of all connections. When that fraction is used up, room
is made in this order, the oldest first in each group:

1. answered connections whose client sends nothing;
2. answered connections whose client still sends: they are reset, once the client's system has the answer;
3. connections without a request whose client has sent nothing.
"""

from __future__ import annotations

import resource
from collections import Counter
from collections.abc import Callable
from itertools import islice
from pathlib import Path

from yarrowspindle.transport.line_connection import LineConnection

RESERVED_DESCRIPTORS = 24  # for watches, the configuration file and sockets that are about to close
MAX_IDLE_FRACTION = 0.2  # of all connections: those without a request and those already answered
MIN_IDLE_CONNECTIONS = 8
MAX_CANDIDATES = 16  # oldest connections checked for one whose socket has no unread data
MIN_AGE_S = 0.03  # to send the first line, which usually follows the connection at once, or to read the answer
FALLBACK_USED_DESCRIPTORS = 32  # if the system has no /proc/self/fd
MIN_LOGGED_PAUSE_S = 0.1  # without room; a shorter pause is only counted
MS_PER_S = 1000.0


def descriptors_left(configured: int = 0) -> int:
    """Return how many descriptors the process may still open under its own limit and the configured one.

    Args:
        configured: maximum number of descriptors from the settings; 0 sets no limit besides that of the process.
    """
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY:
        limit = 1 << 20
    try:
        used = len(list(Path("/proc/self/fd").iterdir()))
    except OSError:
        used = FALLBACK_USED_DESCRIPTORS
    return max(0, min(limit, configured or limit) - used)


class ConnectionLimiter:
    """A limiter that counts connections and closes idle ones to make room for new ones.

    Args:
        max_descriptors: descriptors for all connections, including the reserved ones.
        clock: returns seconds.
        end_if_silent: returns whether the kernel holds no unread data of a connection, and may end sending on it if so;
            unread data could be its first line.
        has_answer: returns whether an answered client's system has received all that was sent to it.
        log_warning: receives a text for each long time without room.

    Attributes:
        counts: connections accepted and closed to make room, and the times without room.
        full_since: since when no connection could be accepted; None if one could at the last attempt.
        connections: client and backend connections that have a descriptor or are about to open one.
        without_request: time of acceptance of each client connection without a request, oldest first.
        answered: time of the answer on each client connection that was answered, oldest first.
    """

    def __init__(
        self,
        max_descriptors: int,
        clock: Callable[[], float],
        end_if_silent: Callable[[LineConnection], bool] = lambda side: True,
        has_answer: Callable[[LineConnection], bool] = lambda side: False,
        log_warning: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.max_connections = max_descriptors - RESERVED_DESCRIPTORS
        self.clock, self.end_if_silent, self.has_answer = clock, end_if_silent, has_answer
        self.log_warning = log_warning
        self.counts: Counter[str] = Counter()
        self.full_since: float | None = None
        self.max_idle = max(MIN_IDLE_CONNECTIONS, int(self.max_connections * MAX_IDLE_FRACTION))
        self.connections: set[LineConnection] = set()
        self.without_request: dict[LineConnection, float] = {}
        self.answered: dict[LineConnection, float] = {}

    def on_accepted(self, side: LineConnection) -> None:
        """Count a client connection that was accepted."""
        self.connections.add(side)
        self.without_request[side] = self.clock()
        self.counts["accepted"] += 1

    def on_backend_connecting(self, side: LineConnection) -> None:
        """Count a connection to a backend that is about to be opened."""
        self.connections.add(side)

    def on_request(self, side: LineConnection) -> None:
        """Record that the client has sent its request."""
        self.without_request.pop(side, None)

    def on_answered(self, side: LineConnection) -> None:
        """Record that the client was sent its last line."""
        self.without_request.pop(side, None)
        if side in self.connections:
            self.answered[side] = self.clock()

    def on_closed(self, side: LineConnection) -> None:
        """Remove a connection whose descriptor was closed."""
        self.connections.discard(side)
        self.without_request.pop(side, None)
        self.answered.pop(side, None)

    def idle_s(self, side: LineConnection) -> float:
        """Return for how many seconds the connection has had no request; 0 if it has one or is not counted."""
        now = self.clock()
        return now - self.without_request.get(side, self.answered.get(side, now))

    def make_room(self) -> bool:
        """Return whether one more connection may be accepted; close idle ones first if that is needed and possible."""
        while self._is_full():
            if not self._close_one():
                self._on_no_room()
                return False
        self._on_room()
        return True

    def gauges(self) -> dict[str, float]:
        """Return the numbers of connections by their published names."""
        return {
            "connections.open": float(len(self.connections)),
            "connections.answered": float(len(self.answered)),
            "connections.without_request": float(len(self.without_request)),
        }

    def _on_no_room(self) -> None:
        if self.full_since is None:
            self.full_since = self.clock()
            self.counts["no_room"] += 1

    def _on_room(self) -> None:
        if self.full_since is None:
            return
        pause_s, self.full_since = self.clock() - self.full_since, None
        self.counts["no_room_ms"] += round(MS_PER_S * pause_s)
        if pause_s >= MIN_LOGGED_PAUSE_S:
            self.log_warning(
                f"no connection was accepted for {MS_PER_S * pause_s:.0f} ms: {len(self.connections)} are open, of at "
                f"most {self.max_connections}; {len(self.answered)} of them answered and {len(self.without_request)} "
                f"without a request, of at most {self.max_idle}"
            )

    def _is_full(self) -> bool:
        without_request = len(self.without_request)  # each needs one more, for its backend, once it sends its request
        return (
            len(self.connections) + without_request >= self.max_connections
            or without_request + len(self.answered) >= self.max_idle
        )

    def _close_one(self) -> bool:
        """Close the connection whose end does the least harm; return False if none may be closed now."""
        return (
            self._close_oldest(self.answered, self.end_if_silent)
            or self._close_oldest(self.answered, self.has_answer)
            or self._close_oldest(self.without_request, self.end_if_silent)
        )

    def _close_oldest(self, sides: dict[LineConnection, float], may_close: Callable[[LineConnection], bool]) -> bool:
        latest_start = self.clock() - MIN_AGE_S
        for side, since in islice(sides.items(), MAX_CANDIDATES):
            if since > latest_start:
                break
            if may_close(side):
                self.counts["closed_to_make_room"] += 1
                self.on_closed(side)
                side.abort()
                return True
        return False
