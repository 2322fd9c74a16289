"""What the register requires of the state that it replicates."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol, TypeVar


class ReplicatedState(Protocol):
    """A state with a version, an epoch of its voter set, and the voters: name -> identity of the voter's file."""

    @property
    def version(self) -> int:
        """Number of the state; each change increments it."""
        ...

    @property
    def epoch(self) -> int:
        """Number of the voter set; each change of the voters increments it."""
        ...

    @property
    def voters(self) -> Mapping[str, str]:
        """The identity of each voter's file, by the voter's name."""
        ...

    def at_epoch(self: StateT, epoch: int) -> StateT:
        """Return the successor of this state with another epoch."""
        ...


StateT = TypeVar("StateT", bound=ReplicatedState)


def majority_size(voters: Mapping[str, str]) -> int:
    """Return how many of these voters are a majority."""
    return len(voters) // 2 + 1
