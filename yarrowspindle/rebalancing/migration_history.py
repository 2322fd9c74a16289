"""How often each client was migrated of late."""

from __future__ import annotations

MAX_CLIENTS = 65_536


class MigrationHistory:
    """Times of migrations by client key; bounded, the oldest are forgotten first.

    A forgotten key does no harm: a client that was migrated says so when it connects again (`again=1`), and one that
    does and is not in here counts as migrated as often as is allowed.
    """

    def __init__(self) -> None:
        self.timestamps: dict[int, list[float]] = {}  # in the order of the last migrations

    def count(self, now: float, key: int, window_ms: float) -> int:
        """Returns how often this client was migrated within the window."""
        timestamps = self.timestamps.get(key)
        return sum(1 for at in timestamps if at > now - window_ms) if timestamps else 0

    def add(self, now: float, key: int, window_ms: float) -> None:
        """Notes a migration."""
        recent = [at for at in self.timestamps.pop(key, ()) if at > now - window_ms]
        self.timestamps[key] = [*recent, now]
        while len(self.timestamps) > MAX_CLIENTS:
            del self.timestamps[next(iter(self.timestamps))]

    def expire(self, now: float, window_ms: float) -> None:
        """Forgets the clients whose last migration is out of the window."""
        while self.timestamps:
            key = next(iter(self.timestamps))
            if self.timestamps[key][-1] > now - window_ms:
                return
            del self.timestamps[key]
