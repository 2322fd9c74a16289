"""Weighted random selection of backends from an arc of a ring.

Backends are ordered by id, and each occupies a part of the ring in proportion to its capacity. They are stored in
blocks with running sums of their own, so that an update recomputes one block and the sums over blocks instead of sums
over the fleet. Up to MAX_BLOCK_SIZE backends form one block; a draw is then one bisection.
"""

from __future__ import annotations

from bisect import bisect, bisect_left
from collections.abc import Callable
from itertools import accumulate
from typing import Generic, NamedTuple, Protocol, TypeVar

# Mean number of balancers that draw from each backend: own counts per backend stay near one, and the random deviation
# of a single balancer is an eighth of the total.
BALANCERS_PER_BACKEND = 8.0
MIN_SUBSET_SIZE = 2.0  # in backends
MAX_BLOCK_SIZE = 128
ROUNDING_TOLERANCE = 1e-9  # in capacity


class Weighted(Protocol):
    """The interface of the members of a ring."""

    id: int
    capacity: float


T = TypeVar("T", bound=Weighted)


class Block(Generic[T]):
    """A run of adjacent members and the running sums of their capacities."""

    def __init__(self, members: list[T]) -> None:
        self.members = members
        self.ids = [member.id for member in members]
        self.update_sums()

    def update_sums(self) -> None:
        """Recompute the running sums after a change of the members."""
        self.cumulative_capacity = list(accumulate(member.capacity for member in self.members))


class Position(NamedTuple):
    """The position of an id on the ring, or the one at which it would be inserted.

    Attributes:
        block: index of the block.
        offset: index within the block.
        present: the id is a member.
    """

    block: int
    offset: int
    present: bool


class WeightedRing(Generic[T]):
    """A ring of backends that `balancers` balancers draw from.

    Attributes:
        total_capacity: sum of the capacities of all members.
        nominal_capacity: the highest total so far, measured only after an endpoint list has been applied completely,
            since within a list backends are added before those that they replace are removed.
        subset_fraction: fraction of the ring that one balancer draws from, in 0 to 1; at least MIN_SUBSET_SIZE
            backends.
    """

    def __init__(self, balancers: float = 1.0) -> None:
        self.balancers = balancers
        self.blocks: list[Block[T]] = []
        self.first_ids: list[int] = []  # the lowest id of each block
        self.cumulative_capacity: list[float] = []  # running sums over blocks
        self.size = 0
        self.total_capacity = self.nominal_capacity = 0.0
        self.subset_fraction = 1.0

    @property
    def members(self) -> list[T]:
        """All members in order of id, as a new list."""
        return [member for block in self.blocks for member in block.members]

    def _position(self, member: T) -> Position:
        block_index = max(0, bisect(self.first_ids, member.id) - 1)
        if block_index == len(self.blocks):
            return Position(block_index, 0, False)
        ids = self.blocks[block_index].ids
        offset = bisect_left(ids, member.id)
        return Position(block_index, offset, offset < len(ids) and ids[offset] == member.id)

    def add(self, member: T) -> None:
        """Add a member; do nothing if it is already present."""
        block_index, offset, present = self._position(member)
        if present:
            return
        if block_index == len(self.blocks):
            self.blocks.append(Block([member]))
        else:
            self._insert(block_index, offset, member)
        self.size += 1
        self._update_sums()

    def _insert(self, block_index: int, offset: int, member: T) -> None:
        block = self.blocks[block_index]
        block.members.insert(offset, member)
        block.ids.insert(offset, member.id)
        if len(block.members) > MAX_BLOCK_SIZE:
            half = len(block.members) // 2
            self.blocks[block_index : block_index + 1] = [Block(block.members[:half]), Block(block.members[half:])]
        else:
            block.update_sums()

    def remove(self, member: T) -> None:
        """Remove a member; do nothing if it is not present."""
        block_index, offset, present = self._position(member)
        if not present:
            return
        block = self.blocks[block_index]
        del block.members[offset], block.ids[offset]
        if block.members:
            block.update_sums()
        else:
            del self.blocks[block_index]
        self.size -= 1
        self._update_sums()

    def _update_sums(self) -> None:
        self.first_ids = [block.ids[0] for block in self.blocks]
        self.cumulative_capacity = list(accumulate(block.cumulative_capacity[-1] for block in self.blocks))
        self.total_capacity = self.cumulative_capacity[-1] if self.cumulative_capacity else 0.0
        smallest_subset = MIN_SUBSET_SIZE / max(1, self.size)
        self.subset_fraction = min(1.0, max(BALANCERS_PER_BACKEND / self.balancers, smallest_subset))

    def draw(self, random: Callable[[], float], start: float, fraction: float) -> T:
        """Return a random member of an arc of the ring, weighted by capacity.

        Args:
            random: source of draws in 0 to 1; called once.
            start: beginning of the arc, as a fraction of the ring in 0 to 1.
            fraction: length of the arc, as a fraction of the ring.

        Raises:
            IndexError: the ring is empty.
        """
        point = (start + fraction * random()) % 1.0 * self.total_capacity
        sums = self.cumulative_capacity
        block_index = bisect(sums, point, 0, len(sums) - 1)
        block = self.blocks[block_index]
        if block_index:
            point -= sums[block_index - 1]
        return block.members[bisect(block.cumulative_capacity, point, 0, len(block.members) - 1)]

    def members_in_arc(self, start: float, fraction: float) -> list[T]:
        """Return the members whose parts of the ring lie completely within the arc."""
        if fraction >= 1.0:
            return self.members
        contained = []
        end = 0.0
        first, length = start * self.total_capacity, fraction * self.total_capacity
        for member in self.members:
            if (end - first) % self.total_capacity + member.capacity <= length + ROUNDING_TOLERANCE:
                contained.append(member)
            end += member.capacity
        return contained
