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
POINTS = 64  # of a relay with the mean traffic
MAX_POINTS_FACTOR = 8  # times that, of a relay with more traffic
TRAFFIC_STEPS = 4  # a mean traffic is counted in quarters, so that small changes change nothing
EVENNESS = 24.0  # the fullest backend has about 1 + 2.7 / EVENNESS times the mean
MIN_BACKENDS = 12  # of a relay, so that two draws are left when a quarter of them is lost
MIN_COVER = 16  # relays over each backend, so that chance evens out; up to twice as many draw from all backends


def place_of(text: str) -> int:
    """Returns the place of a name on the ring, of 64 bits."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


@dataclass(slots=True, frozen=True)
class Subset:
    """The backends that a relay draws from. `weights`: in how many of its arcs each lies; draws are weighed by it."""

    weights: Mapping[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.weights)


def points_of(traffic: float) -> int:
    """Returns how many points a relay has on the ring. `traffic`: its own, over that of a mean relay."""
    points = round(TRAFFIC_STEPS * traffic) * POINTS // TRAFFIC_STEPS
    return max(POINTS // TRAFFIC_STEPS, min(POINTS * MAX_POINTS_FACTOR, points))


class SubsetRing:
    """The ring as one relay sees it. Subsets are worked out when they are asked for.

    Args:
        subset_fraction: of all backends, that a relay with the mean traffic is to have.

    Attributes:
        relays: name -> its number of points.
        backends: name -> its place.
        points: places of the relays' points, sorted.
        places: places of the backends, sorted.
    """

    def __init__(self, subset_fraction: float = 0.1) -> None:
        self.subset_fraction = subset_fraction
        self.relays: dict[str, int] = {}
        self.backends: dict[str, int] = {}
        self.points: list[tuple[int, str]] = []
        self.places: list[tuple[int, str]] = []
        self._point_places: dict[str, list[int]] = {}  # of each relay, as far as they were worked out

    def _places_of(self, name: str, count: int) -> list[int]:
        """Returns the places of the relay's first points."""
        known = self._point_places.setdefault(name, [])
        known += [place_of(f"{name}/{number}") for number in range(len(known), count)]
        return known[:count]

    def set_relay(self, name: str, traffic: float = 1.0) -> None:
        """Adds a relay, or changes its traffic (over that of a mean relay)."""
        count = points_of(traffic)
        before = self.relays.get(name, 0)
        if count == before:
            return
        self.relays[name] = count
        places = self._places_of(name, max(count, before))
        for place in places[before:count]:
            insort(self.points, (place, name))
        for place in places[count:before]:
            del self.points[bisect_left(self.points, (place, name))]

    def remove_relay(self, name: str) -> None:
        """Removes a relay; one that is not there changes nothing."""
        for place in self._places_of(name, self.relays.pop(name, 0)):
            del self.points[bisect_left(self.points, (place, name))]
        self._point_places.pop(name, None)

    def add_backend(self, name: str) -> None:
        """Adds a backend; one that is there already changes nothing."""
        if name not in self.backends:
            self.backends[name] = place_of(name)
            insort(self.places, (self.backends[name], name))

    def remove_backend(self, name: str) -> None:
        """Removes a backend; one that is not there changes nothing."""
        place = self.backends.pop(name, None)
        if place is not None:
            del self.places[bisect_left(self.places, (place, name))]

    def set_view(self, relays: Mapping[str, float], backends: Iterable[str]) -> None:
        """Takes in a whole view: what is not in it is removed. `relays`: name -> traffic."""
        for name in [name for name in self.relays if name not in relays]:
            self.remove_relay(name)
        for name, traffic in relays.items():
            self.set_relay(name, traffic)
        wanted = set(backends)
        for name in [name for name in self.backends if name not in wanted]:
            self.remove_backend(name)
        for name in wanted:
            self.add_backend(name)

    @property
    def cover(self) -> int:
        """How many points lie over each backend: a power of two, so that it seldom changes."""
        if not self.points or not self.places:
            return 0
        relays = len(self.points) / POINTS
        backends = len(self.places)
        fraction = max(self.subset_fraction, 2 * MIN_BACKENDS / backends)
        # By chance a relay has more or fewer backends than its part; over a backend that evens out among so many.
        wanted = ceil(max(MIN_COVER, fraction * relays, EVENNESS * sqrt(relays / backends)))
        return min(len(self.points), 1 << (wanted - 1).bit_length())

    def subset(self, name: str) -> Subset:
        """Returns the subset of this relay: all backends, each once, where arcs would be no smaller."""
        cover = self.cover
        if name not in self.relays or 2 * POINTS * cover > len(self.points) or not self.places:
            return self._all_backends()
        weights: dict[str, int] = {}
        for place in self._places_of(name, self.relays[name]):
            for backend in self._within_arc(place, name, cover):
                weights[backend] = weights.get(backend, 0) + 1
        if len(weights) < min(MIN_BACKENDS, len(self.backends)):
            return self._all_backends()
        return Subset(weights)

    def _all_backends(self) -> Subset:
        return Subset(dict.fromkeys(self.backends, 1))

    def _within_arc(self, start: int, name: str, cover: int) -> list[str]:
        """Returns the backends between a point of this relay and the `cover`-th point after it, round the ring."""
        first = bisect_left(self.points, (start, name))
        end = self.points[(first + cover) % len(self.points)][0]
        low = bisect_left(self.places, (start, ""))
        high = bisect_left(self.places, (end, ""))
        inside = self.places[low:high] if start < end else self.places[low:] + self.places[:high]
        return [backend for _, backend in inside]
