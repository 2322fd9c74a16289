"""Rate limits on received datagrams and on full syncs. Times are milliseconds of a monotonic clock."""

from __future__ import annotations

from collections import Counter

from yarrowspindle.routing.address import Address

SOURCE_WINDOW_MS = 1000.0
MAX_DATAGRAMS_PER_SOURCE = 1000  # per window
MAX_SOURCES = 1024  # per window
MAX_FULL_SYNCS_PER_S = 8.0
FULL_SYNC_INTERVAL_MS = 1000.0  # minimum between two full syncs of one kind to the same peer
MAX_TRACKED_SYNCS = 1024


class SourceLimiter:
    """Limiter of the datagrams accepted per second from each source address, and of the number of source addresses."""

    def __init__(self, now: float) -> None:
        self._window_start = now
        self._datagrams: Counter[Address] = Counter()

    def accept(self, source: Address, now: float) -> bool:
        """Return whether one more datagram of this source may be processed, and if so count it."""
        if now >= self._window_start + SOURCE_WINDOW_MS:
            self._window_start = now
            self._datagrams.clear()
        if self._datagrams[source] >= MAX_DATAGRAMS_PER_SOURCE or len(self._datagrams) > MAX_SOURCES:
            return False
        self._datagrams[source] += 1
        return True


class FullSyncLimiter:
    """A token bucket for full syncs, with a minimum interval between two syncs of one kind to one peer."""

    def __init__(self, now: float) -> None:
        self._tokens = MAX_FULL_SYNCS_PER_S
        self._refilled_at = now
        self._last_sent: dict[tuple[str, str], float] = {}

    def accept(self, kind: str, peer: str, now: float) -> bool:
        """Return whether a full sync of this kind may be sent to the peer, and if so take a token."""
        refill = (now - self._refilled_at) * MAX_FULL_SYNCS_PER_S / 1000.0
        self._tokens = min(MAX_FULL_SYNCS_PER_S, self._tokens + refill)
        self._refilled_at = now
        last_sent = self._last_sent.get((kind, peer), -FULL_SYNC_INTERVAL_MS)
        if self._tokens < 1.0 or now < last_sent + FULL_SYNC_INTERVAL_MS:
            return False
        if len(self._last_sent) > MAX_TRACKED_SYNCS:
            self._last_sent.clear()
        self._tokens -= 1.0
        self._last_sent[(kind, peer)] = now
        return True
