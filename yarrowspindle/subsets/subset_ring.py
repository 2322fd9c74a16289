"""Subset of the backends that each relay uses, by consistent hashing with equally many arcs over each backend.

Each relay has points on a hash ring. An arc reaches from each point up to the m-th point after it, so that each
position lies within exactly m arcs. A relay uses the backends within its arcs. The result depends on the current
members and endpoint list only: relays that agree on them compute the same subsets, without history or a leader.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from math import ceil, sqrt

HASH_BYTES = 8
POINTS_PER_RELAY = 64  # for a relay with the mean traffic
MAX_POINTS_FACTOR = 8  # limit for a relay with more traffic, in multiples of POINTS_PER_RELAY
TRAFFIC_STEPS = 4  # traffic is rounded to quarters of the mean, so that small changes move no points
EVENNESS_FACTOR = 24.0  # the most loaded backend has about 1 + 2.7 / EVENNESS_FACTOR times the mean load
MIN_BACKENDS = 12  # of a relay, so that two random draws remain after the loss of a quarter of them
# Averages out the random differences between relays. In a fleet of up to twice as many relays each uses all backends.
MIN_ARCS_PER_BACKEND = 16


def ring_position(text: str) -> int:
    """Return the 64-bit position of a name on the ring."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


@dataclass(slots=True, frozen=True)
class Subset:
    """Backends that a relay uses.

    Attributes:
        weights: number of the relay's arcs that each backend lies in, by which random choices are weighted.
    """

    weights: Mapping[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.weights)


def point_count(traffic: float) -> int:
    """Return the number of points of a relay on the ring. `traffic` is relative to the mean of all relays."""
    points = round(TRAFFIC_STEPS * traffic) * POINTS_PER_RELAY // TRAFFIC_STEPS
    return max(POINTS_PER_RELAY // TRAFFIC_STEPS, min(POINTS_PER_RELAY * MAX_POINTS_FACTOR, points))


class SubsetRing:
    """Hash ring as one relay knows it. Subsets are computed on demand.

    Args:
        subset_fraction: fraction of all backends that a relay with the mean traffic is to use.

    Attributes:
        relays: number of points of each relay, by name.
        backends: position of each backend, by name.
        relay_points: position and relay of all points, sorted.
        backend_positions: position and name of all backends, sorted.
    """

    def __init__(self, subset_fraction: float = 0.1) -> None:
        self.subset_fraction = subset_fraction
        self.relays: dict[str, int] = {}
        self.backends: dict[str, int] = {}
        self.relay_points: list[tuple[int, str]] = []
        self.backend_positions: list[tuple[int, str]] = []
        self._point_positions: dict[str, list[int]] = {}  # by relay; extended on demand

    def _positions_of_points(self, name: str, count: int) -> list[int]:
        """Return the positions of the first `count` points of the relay."""
        known = self._point_positions.setdefault(name, [])
        known += [ring_position(f"{name}/{number}") for number in range(len(known), count)]
        return known[:count]

    def set_relay(self, name: str, traffic: float = 1.0) -> None:
        """Add a relay or change its traffic, which is relative to the mean of all relays."""
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
        """Remove a relay. An unknown relay has no effect."""
        for position in self._positions_of_points(name, self.relays.pop(name, 0)):
            del self.relay_points[bisect_left(self.relay_points, (position, name))]
        self._point_positions.pop(name, None)

    def add_backend(self, name: str) -> None:
        """Add a backend. A known backend has no effect."""
        if name not in self.backends:
            self.backends[name] = ring_position(name)
            insort(self.backend_positions, (self.backends[name], name))

    def remove_backend(self, name: str) -> None:
        """Remove a backend. An unknown backend has no effect."""
        position = self.backends.pop(name, None)
        if position is not None:
            del self.backend_positions[bisect_left(self.backend_positions, (position, name))]

    def set_view(self, relays: Mapping[str, float], backends: Iterable[str]) -> None:
        """Replace all relays and backends.

        Args:
            relays: traffic of each relay relative to the mean, by name.
            backends: names of the backends.
        """
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
    def arcs_per_backend(self) -> int:
        """Number of arcs that each backend lies in, which is a power of two so that it rarely changes."""
        if not self.relay_points or not self.backend_positions:
            return 0
        relays = len(self.relay_points) / POINTS_PER_RELAY
        backends = len(self.backend_positions)
        fraction = max(self.subset_fraction, 2 * MIN_BACKENDS / backends)
        # The number of backends of a relay varies randomly, which averages out over the relays of a backend.
        required = ceil(max(MIN_ARCS_PER_BACKEND, fraction * relays, EVENNESS_FACTOR * sqrt(relays / backends)))
        return min(len(self.relay_points), 1 << (required - 1).bit_length())

    def subset(self, name: str) -> Subset:
        """Return the subset of this relay.

        A relay uses all backends, with equal weights, if it is unknown, if its arcs contain too few backends, or if the
        arcs of a mean relay add up to more than half of the ring.
        """
        arcs_per_backend = self.arcs_per_backend
        if (
            name not in self.relays
            or 2 * POINTS_PER_RELAY * arcs_per_backend > len(self.relay_points)
            or not self.backend_positions
        ):
            return self._all_backends()
        weights: dict[str, int] = {}
        for position in self._positions_of_points(name, self.relays[name]):
            for backend in self._backends_in_arc(position, name, arcs_per_backend):
                weights[backend] = weights.get(backend, 0) + 1
        if len(weights) < min(MIN_BACKENDS, len(self.backends)):
            return self._all_backends()
        return Subset(weights)

    def _all_backends(self) -> Subset:
        return Subset(dict.fromkeys(self.backends, 1))

    def _backends_in_arc(self, start: int, name: str, arcs_per_backend: int) -> list[str]:
        """Return the backends within the arc that starts at this point of the relay."""
        first = bisect_left(self.relay_points, (start, name))
        end = self.relay_points[(first + arcs_per_backend) % len(self.relay_points)][0]
        low = bisect_left(self.backend_positions, (start, ""))
        high = bisect_left(self.backend_positions, (end, ""))
        inside = (
            self.backend_positions[low:high]
            if start < end
            else self.backend_positions[low:] + self.backend_positions[:high]
        )
        return [backend for _, backend in inside]
