"""Which backends a relay draws from: consistent hashing in which every place lies under exactly m points of relays.

No history and no leader: the same members and the same endpoint list give the same subsets at all relays.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from math import ceil, sqrt

HASH_BYTES = 8
POINTS_PER_RELAY = 64  # of a relay with the mean traffic
MAX_POINTS_FACTOR = 8  # times that, of a relay with more traffic
TRAFFIC_STEPS = 4  # a mean traffic is counted in quarters, so that small changes change nothing
EVENNESS_FACTOR = 24.0  # the fullest backend has about 1 + 2.7 / EVENNESS_FACTOR times the mean
MIN_BACKENDS = 12  # of a relay, so that two draws are left when a quarter of them is lost
MIN_POINTS_PER_BACKEND = (
    16  # relays over each backend, so that chance evens out; up to twice as many draw from all backends
)


def ring_position(text: str) -> int:
    """Returns the place of a name on the ring, of 64 bits."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


@dataclass(slots=True, frozen=True)
class Subset:
    """The backends that a relay draws from. `weights`: in how many of its arcs each lies; draws are weighed by it."""

    weights: Mapping[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.weights)


def point_count(traffic: float) -> int:
    """Returns how many points a relay has on the ring. `traffic`: its own, over that of a mean relay."""
    points = round(TRAFFIC_STEPS * traffic) * POINTS_PER_RELAY // TRAFFIC_STEPS
    return max(POINTS_PER_RELAY // TRAFFIC_STEPS, min(POINTS_PER_RELAY * MAX_POINTS_FACTOR, points))


class SubsetRing:
    """The ring as one relay sees it. Subsets are worked out when they are asked for.

    Args:
        subset_fraction: of all backends, that a relay with the mean traffic is to have.

    Attributes:
        relays: name -> its number of points.
        backends: name -> its place.
        relay_points: places of the relays' points, sorted.
        backend_positions: places of the backends, sorted.
    """

    def __init__(self, subset_fraction: float = 0.1) -> None:
        self.subset_fraction = subset_fraction
        self.relays: dict[str, int] = {}
        self.backends: dict[str, int] = {}
        self.relay_points: list[tuple[int, str]] = []
        self.backend_positions: list[tuple[int, str]] = []
        self._point_positions: dict[str, list[int]] = {}  # of each relay, as far as they were worked out

    def _positions_of_points(self, name: str, count: int) -> list[int]:
        """Returns the places of the relay's first points."""
        known = self._point_positions.setdefault(name, [])
        known += [ring_position(f"{name}/{number}") for number in range(len(known), count)]
        return known[:count]

    def set_relay(self, name: str, traffic: float = 1.0) -> None:
        """Adds a relay, or changes its traffic (over that of a mean relay)."""
        count = point_count(traffic)
        former_count = self.relays.get(name, 0)
        if count == former_count:
            return
        self.relays[name] = count
        positions = self._positions_of_points(name, max(count, former_count))
        for position in positions[former_count:count]:
            insort(self.relay_points, (position, name))
        for position in positions[count:former_count]:
            del self.relay_points[bisect_left(self.relay_points, (position, name))]

    def remove_relay(self, name: str) -> None:
        """Removes a relay; one that is not there changes nothing."""
        for position in self._positions_of_points(name, self.relays.pop(name, 0)):
            del self.relay_points[bisect_left(self.relay_points, (position, name))]
        self._point_positions.pop(name, None)

    def add_backend(self, name: str) -> None:
        """Adds a backend; one that is there already changes nothing."""
        if name not in self.backends:
            self.backends[name] = ring_position(name)
            insort(self.backend_positions, (self.backends[name], name))

    def remove_backend(self, name: str) -> None:
        """Removes a backend; one that is not there changes nothing."""
        position = self.backends.pop(name, None)
        if position is not None:
            del self.backend_positions[bisect_left(self.backend_positions, (position, name))]

    def set_view(self, relays: Mapping[str, float], backends: Iterable[str]) -> None:
        """Takes in a whole view: what is not in it is removed. `relays`: name -> traffic."""
        for name in [name for name in self.relays if name not in relays]:
            self.remove_relay(name)
        for name, traffic in relays.items():
            self.set_relay(name, traffic)
        listed = set(backends)
        for name in [name for name in self.backends if name not in listed]:
            self.remove_backend(name)
        for name in listed:
            self.add_backend(name)

    @property
    def points_per_backend(self) -> int:
        """How many points lie over each backend: a power of two, so that it seldom changes."""
        if not self.relay_points or not self.backend_positions:
            return 0
        relays = len(self.relay_points) / POINTS_PER_RELAY
        backends = len(self.backend_positions)
        fraction = max(self.subset_fraction, 2 * MIN_BACKENDS / backends)
        # By chance a relay has more or fewer backends than its part; over a backend that evens out among so many.
        required = ceil(max(MIN_POINTS_PER_BACKEND, fraction * relays, EVENNESS_FACTOR * sqrt(relays / backends)))
        return min(len(self.relay_points), 1 << (required - 1).bit_length())

    def subset(self, name: str) -> Subset:
        """Returns the subset of this relay: all backends, each once, where arcs would be no smaller."""
        points_per_backend = self.points_per_backend
        if (
            name not in self.relays
            or 2 * POINTS_PER_RELAY * points_per_backend > len(self.relay_points)
            or not self.backend_positions
        ):
            return self._all_backends()
        weights: dict[str, int] = {}
        for position in self._positions_of_points(name, self.relays[name]):
            for backend in self._backends_in_arc(position, name, points_per_backend):
                weights[backend] = weights.get(backend, 0) + 1
        if len(weights) < min(MIN_BACKENDS, len(self.backends)):
            return self._all_backends()
        return Subset(weights)

    def _all_backends(self) -> Subset:
        return Subset(dict.fromkeys(self.backends, 1))

    def _backends_in_arc(self, start: int, name: str, points_per_backend: int) -> list[str]:
        """Return the backends from a point of this relay up to the `points_per_backend`-th point after it."""
        first = bisect_left(self.relay_points, (start, name))
        end = self.relay_points[(first + points_per_backend) % len(self.relay_points)][0]
        low = bisect_left(self.backend_positions, (start, ""))
        high = bisect_left(self.backend_positions, (end, ""))
        inside = (
            self.backend_positions[low:high]
            if start < end
            else self.backend_positions[low:] + self.backend_positions[:high]
        )
        return [backend for _, backend in inside]
