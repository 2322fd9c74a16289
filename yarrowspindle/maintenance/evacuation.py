"""How fast connections leave the backends in maintenance: at one rate for all relays, less while requests are rejected.

Pure: the reducer carries the migrations out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from yarrowspindle.rebalancing.token_bucket import TokenBucket

TICK_MS = 100.0
MIN_RATE_FRACTION = 1.0 / 16.0
RATE_FRACTION_STEP = 0.05  # by which the fraction recovers in each tick
MAX_SPREAD_TICKS = 20  # before the deadline, over which the connections that the rate leaves are spread


@dataclass(slots=True, frozen=True)
class MaintenancePlan:
    """What the agreed state requires of this relay.

    excluded: backends where nothing is placed; None for all, while this process has not read the state. deadlines_s:
    backends to be evacuated, with the seconds they have for it; 0 for at once. warming: those that have returned to
    service and warm up. relays: how many share the rate. rate: migrations per second of all relays together.
    """

    excluded: frozenset[str] | None = None
    deadlines_s: Mapping[str, float] | None = None
    warming: frozenset[str] = frozenset()
    relays: int = 1
    rate: float = 20.0


class BackendEvacuator:
    """Chooses the connections to migrate in each tick. Times are in milliseconds.

    `requests_rejected` is set by the caller when a request was rejected since the last tick.
    """

    def __init__(self, now: float) -> None:
        self.bucket = TokenBucket(0.0, 1.0, now)
        self.deadlines: dict[str, float] = {}  # by backend, counted from when this relay was notified
        self.rate_fraction = 1.0
        self.requests_rejected = False

    def set_plan(self, now: float, plan: MaintenancePlan) -> None:
        """Take up a plan. Deadlines of backends that were in the former plan stay."""
        deadlines = {}
        for backend, seconds in (plan.deadlines_s or {}).items():
            deadlines[backend] = self.deadlines.get(backend, now + 1000.0 * seconds) if seconds else now
        self.deadlines = deadlines

    def next_migrations(self, now: float, plan: MaintenancePlan, connections: Mapping[str, Iterable[int]]) -> list[int]:
        """Return the connections to migrate in this tick: backends by deadline, connections in their given order."""
        self._adapt_rate()
        rate = self.rate_fraction * plan.rate / max(plan.relays, 1)
        self.bucket.fill(now, rate, max(1.0, rate * TICK_MS / 1000.0))
        migrations: list[int] = []
        for backend, deadline in sorted(self.deadlines.items(), key=lambda item: item[1]):
            remaining = list(connections.get(backend, ()))
            required = _required_migrations(len(remaining), deadline - now)
            for index, connection in enumerate(remaining):
                if not self.bucket.take() and index >= required:
                    break
                migrations.append(connection)
        return migrations

    def _adapt_rate(self) -> None:
        if self.requests_rejected:
            self.rate_fraction = max(MIN_RATE_FRACTION, self.rate_fraction / 2.0)
        else:
            self.rate_fraction = min(1.0, self.rate_fraction + RATE_FRACTION_STEP)
        self.requests_rejected = False


def _required_migrations(connections: int, remaining_ms: float) -> int:
    """Return how many connections have to leave in this tick to meet the deadline, whatever the rate.

    What the rate leaves is spread over the last ticks, so that the other backends do not receive it all at once.
    """
    if remaining_ms <= 0.0:
        return connections
    ticks = max(1, ceil(remaining_ms / TICK_MS))
    return connections // ticks if ticks <= MAX_SPREAD_TICKS else 0
