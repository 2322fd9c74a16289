"""The messages between proposers and acceptors. Field names are part of the wire format."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic

from yarrowspindle.consensus.replicated_state import StateT

Ballot = tuple[int, str]  # round number and proposer name, compared in this order
NO_BALLOT: Ballot = (0, "")  # lower than the ballot of any round


@dataclass(slots=True, frozen=True)
class Prepare:
    """Phase 1 request: a proposer asks an acceptor for a promise.

    Attributes:
        ballot: The ballot of the round.
        epoch: The epoch of the voter set that the proposer uses.
        identity: The identity that the proposer expects the acceptor's file to have.
    """

    ballot: Ballot
    epoch: int
    identity: str


@dataclass(slots=True, frozen=True)
class Promise(Generic[StateT]):
    """Phase 1 response: the acceptor will accept no lower ballot.

    `state` is the state that it accepted last, under the ballot `accepted`.
    """

    ballot: Ballot
    identity: str
    accepted: Ballot
    state: StateT


@dataclass(slots=True, frozen=True)
class Accept(Generic[StateT]):
    """Phase 2 request: a proposer asks an acceptor to accept a state.

    `ballot` and `identity` are as in `Prepare`; `epoch` is the epoch of `state`.
    """

    ballot: Ballot
    epoch: int
    identity: str
    state: StateT


@dataclass(slots=True, frozen=True)
class Accepted:
    """Phase 2 response: the acceptor has stored the state of the `Accept` with this ballot."""

    ballot: Ballot
    identity: str


@dataclass(slots=True, frozen=True)
class Rejected(Generic[StateT]):
    """Response of either phase: the acceptor did not promise or accept.

    Attributes:
        ballot: The ballot of the rejected request.
        promised: The highest ballot that the acceptor has promised.
        newer: The acceptor's state if the epoch of the request is older than that of this state. The state may not be
            committed, but the next round has to use its voters.
        not_voter: The receiver has no acceptor file, or a file of another identity than the request expects.
    """

    ballot: Ballot
    promised: Ballot
    newer: StateT | None = None
    not_voter: bool = False


RequestMessage = Prepare | Accept[StateT]
ResponseMessage = Promise[StateT] | Accepted | Rejected[StateT]
