"""Counts the recent migrations of each client."""

from __future__ import annotations

MAX_CLIENTS = 65_536


class MigrationHistory:
    """Times of migrations by client key, for a bounded number of clients; the oldest are evicted first.

    Eviction is safe: a migrated client announces itself when it reconnects (`again=1`), and the rebalancer treats such
    a client without an entry as migrated the maximum number of times.
    """

    def __init__(self) -> None:
        self.timestamps: dict[int, list[float]] = {}  # ordered by the clients' last migrations

    def count(self, now: float, key: int, window_ms: float) -> int:
        """Return how often a client was migrated within the window."""
        timestamps = self.timestamps.get(key)
        return sum(1 for at in timestamps if at > now - window_ms) if timestamps else 0

    def add(self, now: float, key: int, window_ms: float) -> None:
        """Record a migration of a client."""
        recent = [at for at in self.timestamps.pop(key, ()) if at > now - window_ms]
        self.timestamps[key] = [*recent, now]
        while len(self.timestamps) > MAX_CLIENTS:
            del self.timestamps[next(iter(self.timestamps))]

    def expire(self, now: float, window_ms: float) -> None:
        """Remove the clients whose last migration is older than the window."""
        while self.timestamps:
            key = next(iter(self.timestamps))
            if self.timestamps[key][-1] > now - window_ms:
                return
            del self.timestamps[key]
