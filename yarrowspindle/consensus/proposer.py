"""A proposer: it runs one round at a time, which reads the register and writes what a change makes of the state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Generic

from yarrowspindle.consensus.messages import Accept, Accepted, Ballot, Prepare, Promise, Rejected
from yarrowspindle.consensus.replicated_state import StateT, majority_size

ANOTHER_PROPOSER = "another proposer"
ANOTHER_VOTER_SET = "another voter set"
TOO_FEW_VOTERS = "too few voters"


@dataclass(slots=True)
class ProposalRound(Generic[StateT]):
    """A round in progress.

    base: the state whose voters the round uses. newer_state: one of a later epoch that some acceptor has accepted,
    committed or not. accepted_by: acceptors that have accepted `proposed`. required: acceptors without which a change
    of the voter set cannot be committed.
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
        """The identities of all acceptors of the round by name: voters of the base and of the proposed state."""
        acceptors = dict(self.base.voters)
        if self.proposed is not None:
            acceptors |= self.proposed.voters
        return acceptors

    def has_majority(self) -> bool:
        """Whether majorities of both voter sets, and all required acceptors, have accepted the proposed state."""
        if self.proposed is None:
            return False
        for voters in (self.base.voters, self.proposed.voters):
            if len(self.accepted_by & set(voters)) < majority_size(voters):
                return False
        return not self.required - self.accepted_by


@dataclass(slots=True)
class SendToAcceptor(Generic[StateT]):
    """Effect: the message is to be sent to the acceptor of this name."""

    acceptor: str
    message: Prepare | Accept[StateT]


@dataclass(slots=True)
class Committed(Generic[StateT]):
    """Effect: a state was read or written through a majority. changed: this round wrote it."""

    state: StateT
    changed: bool


@dataclass(slots=True)
class RoundFailed:
    """Effect: the round was given up. What it proposed may have been committed, or may yet be."""

    reason: str


Effect = SendToAcceptor[StateT] | Committed[StateT] | RoundFailed


def no_change(state: StateT) -> StateT | None:
    """The change that only reads."""
    return None


class Proposer(Generic[StateT]):
    """Proposes changes of the register under ballots of its own name.

    `newest_committed` is the newest state known to be committed. `membership_hint` is the state whose voters the next
    round uses. It may never have been committed; where one was, every majority has an acceptor that reports it.

    A change is a function of the state that was read, and returns its successor, or None to leave it. It may be called
    again on another state, and an earlier result of it may have been committed already.
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
        """Start a round that reads the state and writes what the change makes of it; abandon any current round."""
        self.change = change
        self.highest_number += 1
        base = self.membership_hint
        ballot = (self.highest_number, self.name)
        self.round = ProposalRound(ballot, base)
        return [SendToAcceptor(name, Prepare(ballot, base.epoch, identity)) for name, identity in base.voters.items()]

    def give_up(self, reason: str) -> list[Effect[StateT]]:
        """Abandon the round; the next one uses the voters of the newer state that this one found, if any."""
        if self.round is not None and self.round.newer_state is not None:
            self.membership_hint = self.round.newer_state
        self.round = None
        return [RoundFailed(reason)]

    def on_committed(self, state: StateT) -> None:
        """Record a state that is known to be committed, from any source."""
        if state.version > self.newest_committed.version:
            self.newest_committed = state
        if state.epoch >= self.membership_hint.epoch:
            self.membership_hint = state

    def on_message(self, source: str, message: Promise[StateT] | Accepted | Rejected[StateT]) -> list[Effect[StateT]]:
        """Handle an acceptor's answer. Answers to earlier rounds, and of unexpected identities, have no effect."""
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
        # One rejection for an old epoch proves nothing: a failed change of the voters may have left it behind. Where
        # the change was committed, too few acceptors remain to promise.
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
            # Before the change is computed, since it may depend on what is committed.
            self.on_committed(state)
        successor = self.change(state)
        if successor is not None:
            return self._propose(current, successor)
        if committed:
            self.round = None
            return [Committed(state, False)]
        # A state that only a minority may have accepted must be written again before it counts as committed.
        return self._propose(current, state)

    @staticmethod
    def _propose(current: ProposalRound[StateT], proposed: StateT) -> list[Effect[StateT]]:
        newer = current.newer_state
        if newer is not None and newer.epoch >= proposed.epoch:
            # An acceptor that a failed change of the voters left at a later epoch must be able to accept this one.
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
