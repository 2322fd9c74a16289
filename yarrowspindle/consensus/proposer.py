"""The proposer: runs one round at a time, which reads the register and writes the state that a change returns."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Generic

from yarrowspindle.consensus.messages import Accept, Accepted, Ballot, Prepare, Promise, Rejected
from yarrowspindle.consensus.replicated_state import StateT, majority_size

# Reasons of `RoundFailed`, which the status for operators reports.
ANOTHER_PROPOSER = "another proposer"
ANOTHER_VOTER_SET = "another voter set"
TOO_FEW_VOTERS = "too few voters"


@dataclass(slots=True)
class ProposalRound(Generic[StateT]):
    """A round in progress.

    Attributes:
        ballot: The ballot of the round.
        base: The state whose voters the round uses.
        newer_state: A state of a later epoch that an acceptor has accepted, whether it is committed or not.
        promises: The promises received so far, by the name of the acceptor.
        proposed: The state that the acceptors were asked to accept; None in the first phase.
        accepted_by: The acceptors that have accepted `proposed`.
        required: If the voter set changes, the acceptors that all must accept `proposed`.
        rejections: The number of rejections received so far.
    """

    ballot: Ballot
    base: StateT
    newer_state: StateT | None = None
    promises: dict[str, Promise[StateT]] = field(default_factory=dict)
    proposed: StateT | None = None
    accepted_by: set[str] = field(default_factory=set)
    required: set[str] = field(default_factory=set)
    rejections: int = 0

    @property
    def acceptors(self) -> dict[str, str]:
        """The identities, by name, of all acceptors of the round: the voters of the base and of the proposed state."""
        acceptors = dict(self.base.voters)
        if self.proposed is not None:
            acceptors |= self.proposed.voters
        return acceptors

    def has_majority(self) -> bool:
        """Return whether a majority of each voter set, and all required acceptors, have accepted the proposed state."""
        if self.proposed is None:
            return False
        for voters in (self.base.voters, self.proposed.voters):
            if len(self.accepted_by & set(voters)) < majority_size(voters):
                return False
        return not self.required - self.accepted_by


@dataclass(slots=True)
class SendToAcceptor(Generic[StateT]):
    """Effect: send the message to the acceptor with this name."""

    acceptor: str
    message: Prepare | Accept[StateT]


@dataclass(slots=True)
class Committed(Generic[StateT]):
    """Effect: a majority has confirmed the state. `changed` is true if this round wrote it."""

    state: StateT
    changed: bool


@dataclass(slots=True)
class RoundFailed:
    """Effect: the round was abandoned. The state that it proposed may be committed already, or may be later."""

    reason: str


Effect = SendToAcceptor[StateT] | Committed[StateT] | RoundFailed


def no_change(state: StateT) -> StateT | None:
    """Leave the state unchanged: the change of a round that only reads."""
    return None


class Proposer(Generic[StateT]):
    """The proposer of changes of the register, under ballots with its own name.

    A change is a function that receives the state that was read and returns its successor, or None to leave the state
    unchanged. It may be called again with another state, and an earlier result of it may already be committed.

    Attributes:
        newest_committed: The newest state that is known to be committed.
        membership_hint: The state whose voters the next round uses. It may never have been committed: this is only a
            hint, since every majority includes an acceptor that reports a newer voter set, if one was committed.
        highest_number: The highest round number that was seen; a new round uses the next one.
    """

    def __init__(self, name: str, initial: StateT, random: Random) -> None:
        self.name = name
        self.newest_committed = initial
        self.membership_hint = initial
        self.random = random
        self.highest_number = 0
        self.round: ProposalRound[StateT] | None = None
        self.change: Callable[[StateT], StateT | None] = no_change

    def start(self, change: Callable[[StateT], StateT | None]) -> list[Effect[StateT]]:
        """Start a round that reads the state and writes the change's result; abandon the current round, if any."""
        self.change = change
        self.highest_number += 1
        base = self.membership_hint
        ballot = (self.highest_number, self.name)
        self.round = ProposalRound(ballot, base)
        return [SendToAcceptor(name, Prepare(ballot, base.epoch, identity)) for name, identity in base.voters.items()]

    def give_up(self, reason: str) -> list[Effect[StateT]]:
        """Abandon the round. If it saw a state of a later epoch, the next round uses the voters of that state."""
        if self.round is not None and self.round.newer_state is not None:
            self.membership_hint = self.round.newer_state
        self.round = None
        return [RoundFailed(reason)]

    def on_committed(self, state: StateT) -> None:
        """Record a state that is known to be committed, whether from a round or from another process."""
        if state.version > self.newest_committed.version:
            self.newest_committed = state
        if state.epoch >= self.membership_hint.epoch:
            self.membership_hint = state

    def on_message(self, source: str, message: Promise[StateT] | Accepted | Rejected[StateT]) -> list[Effect[StateT]]:
        """Handle an acceptor's response; one to an earlier round or of an unexpected identity does not count.

        The round number of a rejection is recorded in any case, so that the next ballot is higher.
        """
        current = self.round
        if isinstance(message, Rejected):
            promised_number, _ = message.promised
            self.highest_number = max(self.highest_number, promised_number)
        if current is None or message.ballot != current.ballot:
            return []
        if isinstance(message, Rejected):
            return self._on_rejected(current, message)
        if current.acceptors.get(source) != message.identity:
            return []
        if isinstance(message, Promise):
            return self._on_promise(current, source, message)
        return self._on_accepted(current, source)

    def _on_rejected(self, current: ProposalRound[StateT], message: Rejected[StateT]) -> list[Effect[StateT]]:
        # A single rejection because of an old epoch is not conclusive: the later epoch may stem from a failed change of
        # the voters. If that change was committed, the acceptors that do not reject are fewer than a majority.
        current.rejections += 1
        newer = message.newer
        if newer is not None and (current.newer_state is None or newer.epoch > current.newer_state.epoch):
            current.newer_state = newer
        if message.promised > current.ballot:
            return self.give_up(ANOTHER_PROPOSER)
        voters = current.base.voters
        if current.rejections > len(voters) - majority_size(voters):
            return self.give_up(ANOTHER_VOTER_SET if current.newer_state is not None else TOO_FEW_VOTERS)
        return []

    def _on_promise(
        self, current: ProposalRound[StateT], source: str, promise: Promise[StateT]
    ) -> list[Effect[StateT]]:
        if current.proposed is not None:
            return []
        current.promises[source] = promise
        promises = current.promises.values()
        if len(promises) < majority_size(current.base.voters):
            return []
        newest = max(promises, key=lambda p: (p.accepted, p.state.version))
        state = newest.state
        if dict(state.voters) != dict(current.base.voters):
            current.newer_state = state
            return self.give_up(ANOTHER_VOTER_SET)
        committed = current.newer_state is None and all(p.accepted == newest.accepted for p in promises)
        if committed:
            # Record the state before the change is computed, because the change may use the newest committed state.
            self.on_committed(state)
        successor = self.change(state)
        if successor is not None:
            return self._propose(current, successor)
        if committed:
            self.round = None
            return [Committed(state, False)]
        # Possibly only a minority has accepted this state: it must be written again before it counts as committed.
        return self._propose(current, state)

    @staticmethod
    def _propose(current: ProposalRound[StateT], proposed: StateT) -> list[Effect[StateT]]:
        newer = current.newer_state
        if newer is not None and newer.epoch >= proposed.epoch:
            # A failed change of the voters may have left an acceptor at a later epoch; it accepts no earlier epoch.
            proposed = proposed.at_epoch(newer.epoch + 1)
        current.proposed = proposed
        if dict(current.base.voters) != dict(proposed.voters):
            current.required = set(proposed.voters)
        return [
            SendToAcceptor(name, Accept(current.ballot, proposed.epoch, identity, proposed))
            for name, identity in current.acceptors.items()
        ]

    def _on_accepted(self, current: ProposalRound[StateT], source: str) -> list[Effect[StateT]]:
        proposed = current.proposed
        if proposed is None:
            return []
        current.accepted_by.add(source)
        if not current.has_majority():
            return []
        changed = proposed.version > max(promise.state.version for promise in current.promises.values())
        self.round = None
        self.on_committed(proposed)
        return [Committed(proposed, changed)]
