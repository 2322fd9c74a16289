"""Servers to draw from at random, in proportion to capacity, from an arc of a ring. It decides nothing.

They stand in the order of their ids, each with a part of the ring in proportion to its capacity. They are kept in
blocks with running sums of their own: a change of the list costs one block and the sums over blocks, not a sum over
the whole fleet. Up to `BLOCK` servers are one block, and a draw is one bisection.
"""

from __future__ import annotations

from bisect import bisect, bisect_left
from collections.abc import Callable
from itertools import accumulate
from typing import Generic, Protocol, TypeVar

COVER = 8.0  # balancers that each server is drawn by: own counts are near one, one balancer's luck an eighth
BLOCK = 128


class Weighed(Protocol):
    id: int
    capacity: float


T = TypeVar("T", bound=Weighed)


class Block(Generic[T]):
    """Some servers that stand side by side, and the running sums of their capacities."""

    def __init__(self, pool: list[T]) -> None:
        self.pool = pool
        self.ids = [s.id for s in pool]
        self.count()

    def count(self) -> None:
        self.ends = list(accumulate(s.capacity for s in self.pool))


class WeightedRing(Generic[T]):
    """`sharers`: how many balancers draw from it. total: the capacity that it has; usual: the most that it has had
    after a whole list (within one, servers come before those that they replace are gone)."""

    def __init__(self, sharers: float = 1.0) -> None:
        self.sharers = sharers
        self.blocks: list[Block[T]] = []
        self.firsts: list[int] = []  # the least id of each block
        self.ends: list[float] = []  # running sums over blocks
        self.size = 0
        self.total = self.usual = 0.0

    @property
    def pool(self) -> list[T]:
        return [backend for block in self.blocks for backend in block.pool]

    @property
    def arc(self) -> float:
        """The part of the ring that one balancer draws from on the ordinary path: two servers at the least."""
        return min(1.0, max(COVER / self.sharers, 2.0 / max(1, self.size)))

    def _block(self, backend: T) -> tuple[int, int, bool]:
        """Its block, where it stands in it or would stand, and whether it is there."""
        number = max(0, bisect(self.firsts, backend.id) - 1)
        if number == len(self.blocks):
            return number, 0, False
        ids = self.blocks[number].ids
        at = bisect_left(ids, backend.id)
        return number, at, at < len(ids) and ids[at] == backend.id

    def put(self, backend: T) -> None:
        """Takes it in; nothing where it is in already."""
        number, at, there = self._block(backend)
        if there:
            return
        if number == len(self.blocks):
            self.blocks.append(Block([backend]))
        else:
            block = self.blocks[number]
            block.pool.insert(at, backend)
            block.ids.insert(at, backend.id)
            if len(block.pool) > BLOCK:
                half = len(block.pool) // 2
                self.blocks[number : number + 1] = [Block(block.pool[:half]), Block(block.pool[half:])]
            else:
                block.count()
        self.size += 1
        self._count()

    def drop(self, backend: T) -> None:
        """Takes it out; nothing where it is not in."""
        number, at, there = self._block(backend)
        if not there:
            return
        block = self.blocks[number]
        del block.pool[at], block.ids[at]
        if block.pool:
            block.count()
        else:
            del self.blocks[number]
        self.size -= 1
        self._count()

    def _count(self) -> None:
        self.firsts = [block.ids[0] for block in self.blocks]
        self.ends = list(accumulate(block.ends[-1] for block in self.blocks))
        self.total = self.ends[-1] if self.ends else 0.0

    def draw(self, random: Callable[[], float], start: float, arc: float) -> T:
        """One of the arc's servers, in proportion to capacity. The ring must not be empty."""
        place = (start + arc * random()) % 1.0 * self.total
        number = bisect(self.ends, place, 0, len(self.ends) - 1)
        block = self.blocks[number]
        if number:
            place -= self.ends[number - 1]
        return block.pool[bisect(block.ends, place, 0, len(block.pool) - 1)]

    def within(self, start: float, arc: float) -> list[T]:
        """The servers that lie wholly in the arc."""
        if arc >= 1.0:
            return self.pool
        found, end, first, length = [], 0.0, start * self.total, arc * self.total
        for backend in self.pool:
            if (end - first) % self.total + backend.capacity <= length + 1e-9:
                found.append(backend)
            end += backend.capacity
        return found
