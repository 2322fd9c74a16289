"""Arcs to the m-th successor: every place on the circle lies under exactly m points, whatever the names are.

No history and no leader: the same members and the same list give the same subsets at all relays.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from math import ceil, sqrt

SPAN = 1 << 64
POINTS = 64  # of a relay with the mean traffic
MAX_POINTS = 8  # times that, of one with more
EVEN = 24.0  # the fullest node has about 1 + 2.7 / EVEN times the mean
LEAST = 12  # nodes of a relay, so that two honest draws are left when a quarter is lost
MIN_COVER = 16  # relays over each node, so that chance evens out; up to twice as many relays draw from all nodes


def place(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True, frozen=True)
class Subset:
    """The nodes that a relay draws from; times: how many of its arcs each lies in, by which draws are weighed."""

    times: Mapping[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.times)


def points_of(share: float) -> int:
    """share: of the traffic, in that of a mean relay. In steps of a quarter, so that small changes change nothing."""
    return max(POINTS // 4, min(POINTS * MAX_POINTS, round(4.0 * share) * POINTS // 4))


class SubsetRing:
    """The circle as one relay sees it. Relays and nodes are told one by one; a subset is worked out when asked for.

    part: of all nodes that a relay with the mean traffic is to have."""

    def __init__(self, part: float = 0.1) -> None:
        self.part = part
        self.relays: dict[str, int] = {}  # name -> points
        self.backends: dict[str, int] = {}  # name -> place
        self.points: list[tuple[int, str]] = []
        self.places: list[tuple[int, str]] = []
        self.known: dict[str, list[int]] = {}  # places of a relay's points, as far as they were worked out

    def _places(self, name: str, count: int) -> list[int]:
        known = self.known.setdefault(name, [])
        known += [place(f"{name}/{number}") for number in range(len(known), count)]
        return known[:count]

    def relay(self, name: str, share: float = 1.0) -> None:
        """It is there, with so much traffic."""
        count, had = points_of(share), self.relays.get(name, 0)
        if count == had:
            return
        self.relays[name] = count
        places = self._places(name, max(count, had))
        for at in places[had:count]:
            insort(self.points, (at, name))
        for at in places[count:had]:
            del self.points[bisect_left(self.points, (at, name))]

    def left(self, name: str) -> None:
        for at in self._places(name, self.relays.pop(name, 0)):
            del self.points[bisect_left(self.points, (at, name))]
        self.known.pop(name, None)

    def backend(self, name: str) -> None:
        if name not in self.backends:
            self.backends[name] = place(name)
            insort(self.places, (self.backends[name], name))

    def gone(self, name: str) -> None:
        at = self.backends.pop(name, None)
        if at is not None:
            del self.places[bisect_left(self.places, (at, name))]

    def told(self, relays: Mapping[str, float], backends: Iterable[str]) -> None:
        """The whole view: what is not in it is gone."""
        for name in [name for name in self.relays if name not in relays]:
            self.left(name)
        for name, share in relays.items():
            self.relay(name, share)
        wanted = set(backends)
        for name in [name for name in self.backends if name not in wanted]:
            self.gone(name)
        for name in wanted:
            self.backend(name)

    @property
    def cover(self) -> int:
        """m: how many points lie over each node. In powers of two, so that it seldom changes."""
        if not self.points or not self.places:
            return 0
        relays, backends = len(self.points) / POINTS, len(self.places)
        part = max(self.part, 2 * LEAST / backends)
        # By chance a relay has more or fewer nodes than its part; over a node that evens out among so many relays.
        wanted = ceil(max(MIN_COVER, part * relays, EVEN * sqrt(relays / backends)))
        return min(len(self.points), 1 << (wanted - 1).bit_length())

    def subset(self, name: str) -> Subset:
        """Of this relay; all nodes, each once, where arcs would be no smaller."""
        cover, count = self.cover, len(self.points)
        if name not in self.relays or 2 * POINTS * cover > count or not self.places:
            return Subset(dict.fromkeys(self.backends, 1))
        times: dict[str, int] = {}
        for at in self._places(name, self.relays[name]):
            first = bisect_left(self.points, (at, name))
            end = self.points[(first + cover) % count][0]
            low, high = bisect_left(self.places, (at, "")), bisect_left(self.places, (end, ""))
            inside = self.places[low:high] if at < end else self.places[low:] + self.places[:high]
            for _, backend in inside:
                times[backend] = times.get(backend, 0) + 1
        return (
            Subset(times) if len(times) >= min(LEAST, len(self.backends)) else Subset(dict.fromkeys(self.backends, 1))
        )
