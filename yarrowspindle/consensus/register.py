"""One register of whole states, changed through a majority of voters: Paxos, each change a read and a write. Pure.

`Voter` answers, `Proposer` asks. Neither knows what a state means, but for its version and its voters. What a voter
has to keep is in `Kept`; `Store` comes before the answer that rests on it, and must be carried out before that is sent.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import Generic, Protocol, TypeVar

Ballot = tuple[int, str]  # a number and who proposes under it
NONE: Ballot = (0, "")
LATE_MS = 1000.0


class ReplicatedState(Protocol):
    """What the register needs to know of a state. voters: name -> identity of the voter's file."""

    @property
    def version(self) -> int: ...
    @property
    def epoch(self) -> int: ...
    @property
    def voters(self) -> Mapping[str, str]: ...
    def at_epoch(self: S, epoch: int) -> S: ...


S = TypeVar("S", bound=ReplicatedState)


def majority(voters: Mapping[str, str]) -> int:
    return len(voters) // 2 + 1


# --- messages -----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Prepare:
    """identity: whom the proposer takes the voter for; epoch: of the voter set that it goes by."""

    ballot: Ballot
    epoch: int
    identity: str


@dataclass(slots=True, frozen=True)
class Promise(Generic[S]):
    ballot: Ballot
    identity: str
    accepted: Ballot
    state: S


@dataclass(slots=True, frozen=True)
class Accept(Generic[S]):
    ballot: Ballot
    epoch: int
    identity: str
    state: S


@dataclass(slots=True, frozen=True)
class Accepted:
    ballot: Ballot
    identity: str


@dataclass(slots=True, frozen=True)
class Rejected(Generic[S]):
    """Promised to a higher ballot, or the proposer's epoch is old: then with the newer state, which it may not be
    committed, but whose voters are those to ask. not_voter: asked for another identity than its own."""

    ballot: Ballot
    promised: Ballot
    newer: S | None = None
    not_voter: bool = False


Message = Prepare | Promise[S] | Accept[S] | Accepted | Rejected[S]


# --- the voter ----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class AcceptorState(Generic[S]):
    """What a voter must not forget."""

    identity: str
    promised: Ballot
    accepted: Ballot
    state: S


class Acceptor(Generic[S]):
    """`store` writes and syncs; it raises where that fails, and then nothing was promised and nothing is answered.

    now: this voter's own milliseconds. Its proposer gave up long ago what comes so late after the promise, and what it
    changes may fit the world no more. That is no matter of safety: whoever is refused tries again."""

    def __init__(
        self, kept: AcceptorState[S], store: Callable[[AcceptorState[S]], None], now: Callable[[], float] = lambda: 0.0
    ) -> None:
        self.kept, self.store, self.now = kept, store, now
        self.promised_at = -LATE_MS

    def _keep(self, kept: AcceptorState[S]) -> None:
        self.store(kept)
        self.kept = kept

    def told(self, message: Prepare | Accept[S]) -> Promise[S] | Accepted | Rejected[S]:
        kept = self.kept
        if message.identity != kept.identity:
            return Rejected(message.ballot, kept.promised, not_voter=True)
        if message.epoch < kept.state.epoch:
            return Rejected(message.ballot, kept.promised, kept.state)
        if isinstance(message, Prepare):
            if message.ballot <= kept.promised:
                return Rejected(message.ballot, kept.promised)
            self._keep(replace(kept, promised=message.ballot))
            self.promised_at = self.now()
            return Promise(message.ballot, kept.identity, kept.accepted, kept.state)
        late = message.ballot == kept.promised > kept.accepted and self.now() > self.promised_at + LATE_MS
        if message.ballot < kept.promised or late:
            return Rejected(message.ballot, kept.promised)
        self._keep(AcceptorState(kept.identity, message.ballot, message.ballot, message.state))
        return Accepted(message.ballot, kept.identity)


# --- the proposer -------------------------------------------------------------------------------


@dataclass(slots=True)
class Round(Generic[S]):
    """One change under way. newer: of a later epoch than the base, as some voter has accepted it (committed or not)."""

    ballot: Ballot
    base: S  # by whose voters it goes
    newer: S | None = None
    promises: dict[str, Promise[S]] = field(default_factory=dict)
    proposed: S | None = None
    accepted: set[str] = field(default_factory=set)
    needed: set[str] = field(default_factory=set)  # voters whose word a change of the voter set cannot do without
    refused: int = 0


@dataclass(slots=True)
class Send(Generic[S]):
    to: str
    message: Prepare | Accept[S]


@dataclass(slots=True)
class Committed(Generic[S]):
    """Read or written through a majority. changed: by this round."""

    state: S
    changed: bool


@dataclass(slots=True)
class Failed:
    """The round came to nothing for now; what it proposed may stand all the same, or come to stand."""

    why: str


Effect = Send[S] | Committed[S] | Failed


def unchanged(state: S) -> S | None:
    return None


class Proposer(Generic[S]):
    """One round at a time. known: the newest committed state. guide: the state by whose voters the next round goes,
    which may be one that was never committed: where it was, every majority has a voter that says so. A change is a
    function of the state that is read;
    None: leave it as it is. It may be called again on another state, and what it did may have been done before."""

    def __init__(self, name: str, known: S, random: Random) -> None:
        self.name, self.known, self.guide, self.random = name, known, known, random
        self.highest = 0
        self.round: Round[S] | None = None
        self.change: Callable[[S], S | None] = unchanged

    def start(self, change: Callable[[S], S | None]) -> list[Effect[S]]:
        """Reads, and writes what the change makes of it. A round that is under way is given up."""
        self.change = change
        self.highest += 1
        base = self.guide
        ballot = (self.highest, self.name)
        self.round = Round(ballot, base)
        return [Send(name, Prepare(ballot, base.epoch, identity)) for name, identity in base.voters.items()]

    def give_up(self, why: str) -> list[Effect[S]]:
        if self.round is not None and self.round.newer is not None:
            self.guide = self.round.newer
        self.round = None
        return [Failed(why)]

    def learned(self, state: S) -> None:
        """A committed state, from whomever."""
        if state.version > self.known.version:
            self.known = state
        if state.epoch >= self.guide.epoch:
            self.guide = state

    def told(self, source: str, message: Promise[S] | Accepted | Rejected[S]) -> list[Effect[S]]:
        now = self.round
        if isinstance(message, Rejected):
            self.highest = max(self.highest, message.promised[0])
        if now is None or message.ballot != now.ballot:
            return []
        if isinstance(message, Rejected):
            return self._refused(now, message)
        if source not in self._asked(now) or message.identity != self._asked(now)[source]:
            return []  # not the voter that was meant: another file
        if isinstance(message, Promise):
            return self._promised(now, source, message)
        return self._accepted(now, source)

    @staticmethod
    def _asked(now: Round[S]) -> dict[str, str]:
        found = dict(now.base.voters)
        if now.proposed is not None:
            found |= now.proposed.voters
        return found

    def _refused(self, now: Round[S], message: Rejected[S]) -> list[Effect[S]]:
        """One refusal for its epoch proves nothing: a change of voters that came to nothing may have left it. Where the
        change was committed too few are left to promise."""
        now.refused += 1
        newer = message.newer
        if newer is not None and (now.newer is None or newer.epoch > now.newer.epoch):
            now.newer = newer
        if message.promised > now.ballot:
            return self.give_up("another proposer")
        if now.refused > len(now.base.voters) - majority(now.base.voters):
            return self.give_up("another voter set" if now.newer is not None else "too few voters")
        return []

    def _promised(self, now: Round[S], source: str, promise: Promise[S]) -> list[Effect[S]]:
        if now.proposed is not None:
            return []
        now.promises[source] = promise
        if len(now.promises) < majority(now.base.voters):
            return []
        newest = max(now.promises.values(), key=lambda p: (p.accepted, p.state.version))
        state = newest.state
        if dict(state.voters) != dict(now.base.voters):
            now.newer = state
            return self.give_up("another voter set")
        if now.newer is None and all(p.accepted == newest.accepted for p in now.promises.values()):
            self.learned(state)  # a majority has accepted it: it is committed, and the change may know that
        wanted = self.change(state)
        if wanted is None and now.newer is None and all(p.accepted == newest.accepted for p in now.promises.values()):
            self.round = None
            self.learned(state)
            return [Committed(state, False)]
        # what a minority may hold is written before it is believed
        now.proposed = wanted if wanted is not None else state
        if now.newer is not None and now.newer.epoch >= now.proposed.epoch:
            # The voter that a failed change of voters was left at must be able to take this one.
            now.proposed = now.proposed.at_epoch(now.newer.epoch + 1)
        now.needed = self._needed(now.base, now.proposed)
        return [
            Send(name, Accept(now.ballot, now.proposed.epoch, identity, now.proposed))
            for name, identity in self._asked(now).items()
        ]

    @staticmethod
    def _needed(base: S, proposed: S) -> set[str]:
        """For a change of the voter set: all voters of the new one."""
        return set() if dict(base.voters) == dict(proposed.voters) else set(proposed.voters)

    def _accepted(self, now: Round[S], source: str) -> list[Effect[S]]:
        if now.proposed is None:
            return []
        now.accepted.add(source)
        both = all(
            len(now.accepted & set(voters)) >= majority(voters) for voters in (now.base.voters, now.proposed.voters)
        )
        if not both or now.needed - now.accepted:
            return []
        changed = now.proposed.version > max(p.state.version for p in now.promises.values())
        state, self.round = now.proposed, None
        self.learned(state)
        return [Committed(state, changed)]
