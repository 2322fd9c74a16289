"""Rate at which connections are migrated off backends in maintenance.

All relays share one rate, which is reduced while requests are rejected. Without I/O: the reducer carries out the
migrations.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from yarrowspindle.rebalancing.token_bucket import TokenBucket

TICK_MS = 100.0
MIN_RATE_FRACTION = 1.0 / 16.0
RATE_FRACTION_STEP = 0.05  # recovery of the fraction in each tick without rejected requests
MAX_SPREAD_TICKS = 20  # last ticks before the deadline, over which the remaining connections are spread


@dataclass(slots=True, frozen=True)
class MaintenancePlan:
    """Plan that the replicated state requires this relay to carry out.

    Attributes:
        excluded: backends on which nothing is placed; None for all, while this process is not registered.
        deadlines_s: seconds allowed for the evacuation, by backend to be evacuated; 0 for at once.
        warming: backends that have returned to service and are warming up.
        relays: number of relays that share the rate.
        rate: migrations per second of all relays together.
    """

    excluded: frozenset[str] | None = None
    deadlines_s: Mapping[str, float] | None = None
    warming: frozenset[str] = frozenset()
    relays: int = 1
    rate: float = 20.0


class BackendEvacuator:
    """Selector of the connections to migrate in each tick. Times are in milliseconds.

    Attributes:
        requests_rejected: set by the caller if a request was rejected since the last tick.
    """

    def __init__(self, now: float) -> None:
        self.bucket = TokenBucket(0.0, 1.0, now)
        self.deadlines: dict[str, float] = {}  # by backend; they start when this relay receives the plan
        self.rate_fraction = 1.0
        self.requests_rejected = False

    def set_plan(self, now: float, plan: MaintenancePlan) -> None:
        """Replace the plan. A backend that was in the former plan keeps its deadline, unless it is now 0 (at once)."""
        deadlines = {}
        for backend, seconds in (plan.deadlines_s or {}).items():
            deadlines[backend] = self.deadlines.get(backend, now + 1000.0 * seconds) if seconds else now
        self.deadlines = deadlines

    def next_migrations(self, now: float, plan: MaintenancePlan, connections: Mapping[str, Iterable[int]]) -> list[int]:
        """Return the connections to migrate in this tick, ordered by the deadline of their backend.

        Args:
            now: current time in milliseconds.
            plan: plan with the rate and the number of relays that share it.
            connections: connections of each backend, in the order in which they are to be migrated.
        """
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
    """Return how many connections must be migrated in this tick to meet the deadline, regardless of the rate.

    Connections that the rate leaves are spread over the last ticks before the deadline, so that the other backends do
    not receive them all at once.
    """
    if remaining_ms <= 0.0:
        return connections
    ticks = max(1, ceil(remaining_ms / TICK_MS))
    return connections // ticks if ticks <= MAX_SPREAD_TICKS else 0
