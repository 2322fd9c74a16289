"""The interface of a state that the register can replicate."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol, TypeVar


class ReplicatedState(Protocol):
    """A state with a version, a voter set and the epoch of the voter set."""

    @property
    def version(self) -> int:
        """The number of the state, incremented with each change."""
        ...

    @property
    def epoch(self) -> int:
        """The number of the voter set, incremented with each change of the voters."""
        ...

    @property
    def voters(self) -> Mapping[str, str]:
        """The identities of the voters' acceptor files, by the voters' names."""
        ...

    def at_epoch(self: StateT, epoch: int) -> StateT:
        """Return a copy of this state with another epoch."""
        ...


StateT = TypeVar("StateT", bound=ReplicatedState)


def majority_size(voters: Mapping[str, str]) -> int:
    """Return the number of these voters that is a majority."""
    return len(voters) // 2 + 1
