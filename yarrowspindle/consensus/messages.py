"""The messages between proposers and acceptors. Their field names are on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic

from yarrowspindle.consensus.replicated_state import StateT

Ballot = tuple[int, str]  # the number of the round and the name of its proposer
NO_BALLOT: Ballot = (0, "")  # lower than the ballot of any round


@dataclass(slots=True, frozen=True)
class Prepare:
    """A proposer asks for a promise.

    `identity` is the file that it expects the acceptor to have; `epoch` is that of the voter set it uses.
    """

    ballot: Ballot
    epoch: int
    identity: str


@dataclass(slots=True, frozen=True)
class Promise(Generic[StateT]):
    """The acceptor will accept no lower ballot; `state` is what it last accepted, under the ballot `accepted`."""

    ballot: Ballot
    identity: str
    accepted: Ballot
    state: StateT


@dataclass(slots=True, frozen=True)
class Accept(Generic[StateT]):
    """A proposer asks the acceptor to accept a state. `identity` and `epoch` are as in `Prepare`."""

    ballot: Ballot
    epoch: int
    identity: str
    state: StateT


@dataclass(slots=True, frozen=True)
class Accepted:
    """The acceptor has stored the state of the `Accept` with this ballot."""

    ballot: Ballot
    identity: str


@dataclass(slots=True, frozen=True)
class Rejected(Generic[StateT]):
    """The acceptor did not promise or accept.

    It has promised a higher ballot, or the proposer's epoch is old: `newer` is then the acceptor's state. That state
    may not be committed, but its voters are the ones to ask. `not_voter`: the message was meant for a file of another
    identity.
    """

    ballot: Ballot
    promised: Ballot
    newer: StateT | None = None
    not_voter: bool = False


RequestMessage = Prepare | Accept[StateT]
ResponseMessage = Promise[StateT] | Accepted | Rejected[StateT]
