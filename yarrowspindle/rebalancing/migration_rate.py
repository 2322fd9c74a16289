"""How fast connections are migrated: token buckets for the relay, each source and each target, and a common factor."""

from __future__ import annotations

from enum import Enum, unique

from yarrowspindle.rebalancing.token_bucket import TokenBucket

MIN_FACTOR = 1.0 / 16.0
RECOVERY_S = 16.0  # from no rate at all back to the full one, without a setback


@unique
class Role(Enum):
    """What a backend is to a migration."""

    SOURCE = "source"
    TARGET = "target"

    __hash__ = object.__hash__


class MigrationRate:
    """The buckets of one relay.

    Attributes:
        relay: the bucket of all migrations.
        by_backend: the buckets of backends that were used of late.
        factor: multiplies all rates; halved on a setback, and recovering by and by.
    """

    def __init__(self, now: float) -> None:
        self.relay = TokenBucket(0.0, 1.0, now)
        self.backend_buckets: dict[tuple[Role, str], TokenBucket] = {}
        self.factor = 1.0

    def start_round(self, now: float, rate: float, interval_s: float) -> None:
        """Fills the relay's bucket at the begin of a round, and forgets the buckets of backends that are full again."""
        rate *= self.factor
        self.relay.fill(now, rate, max(1.0, rate * interval_s))
        full = [key for key, bucket in self.backend_buckets.items() if bucket.is_full(now)]
        for key in full:
            del self.backend_buckets[key]

    def backend_bucket(self, now: float, role: Role, name: str, rate: float, interval_s: float) -> TokenBucket:
        """Returns the bucket of a backend in this role, filled up to now."""
        rate *= self.factor
        burst = max(1.0, rate * interval_s)
        bucket = self.backend_buckets.get((role, name))
        if bucket is None:
            bucket = self.backend_buckets[role, name] = TokenBucket(rate, burst, now)
        bucket.fill(now, rate, burst)
        return bucket

    def reduce(self) -> None:
        """Halves all rates, down to MIN_FACTOR."""
        self.factor = max(MIN_FACTOR, self.factor / 2.0)

    def recover(self, interval_s: float) -> None:
        """Recovers by one round without a setback."""
        self.factor = min(1.0, self.factor + interval_s / RECOVERY_S)
