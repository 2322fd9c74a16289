"""Limits the migration rate: token buckets for the relay, each source and each target, scaled by a common factor."""

from __future__ import annotations

from enum import Enum, unique

from yarrowspindle.rebalancing.token_bucket import TokenBucket

MIN_FACTOR = 1.0 / 16.0
RECOVERY_S = 16.0  # in which the factor would grow linearly from 0 to 1


@unique
class Role(Enum):
    """The role of a backend in a migration."""

    SOURCE = "source"
    TARGET = "target"

    __hash__ = object.__hash__


class MigrationRate:
    """The token buckets of one relay.

    Attributes:
        relay: Bucket for all migrations of the relay.
        backend_buckets: Buckets of recently used backends, by role and backend name.
        factor: Multiplier of all rates: halved when migrations are ineffective, and increased gradually otherwise.
    """

    def __init__(self, now: float) -> None:
        self.relay = TokenBucket(0.0, 1.0, now)
        self.backend_buckets: dict[tuple[Role, str], TokenBucket] = {}
        self.factor = 1.0

    def start_round(self, now: float, rate: float, interval_s: float) -> None:
        """Refill the relay's bucket at the start of a round, and drop backend buckets that are full again."""
        rate *= self.factor
        self.relay.fill(now, rate, max(1.0, rate * interval_s))
        full = [key for key, bucket in self.backend_buckets.items() if bucket.is_full(now)]
        for key in full:
            del self.backend_buckets[key]

    def backend_bucket(self, now: float, role: Role, name: str, rate: float, interval_s: float) -> TokenBucket:
        """Return the bucket of a backend in this role, refilled up to now."""
        rate *= self.factor
        burst = max(1.0, rate * interval_s)
        bucket = self.backend_buckets.get((role, name))
        if bucket is None:
            bucket = self.backend_buckets[role, name] = TokenBucket(rate, burst, now)
        bucket.fill(now, rate, burst)
        return bucket

    def reduce(self) -> None:
        """Halve all rates, down to MIN_FACTOR."""
        self.factor = max(MIN_FACTOR, self.factor / 2.0)

    def recover(self, interval_s: float) -> None:
        """Increase all rates by the recovery of one round."""
        self.factor = min(1.0, self.factor + interval_s / RECOVERY_S)
