"""An acceptor: it promises ballots and accepts states, and stores both before it answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Generic

from yarrowspindle.consensus.messages import Accept, Accepted, Ballot, Prepare, Promise, Rejected
from yarrowspindle.consensus.replicated_state import StateT

PROMISE_VALIDITY_MS = 1000.0  # an accept that comes later than this after its promise is rejected


@dataclass(slots=True, frozen=True)
class AcceptorState(Generic[StateT]):
    """What an acceptor must not forget: its promise and the state that it accepted last. Stored by field name."""

    identity: str  # of the file that it is stored in; a new file has a new one
    promised: Ballot
    accepted: Ballot  # the ballot that `state` was accepted under
    state: StateT


class Acceptor(Generic[StateT]):
    """Answers the proposers.

    `store` writes and syncs a state. Where it raises, nothing was promised or accepted, and nothing is answered.
    `now_ms` is the acceptor's own clock in milliseconds.
    """

    def __init__(
        self,
        stored: AcceptorState[StateT],
        store: Callable[[AcceptorState[StateT]], None],
        now_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.stored = stored
        self.store = store
        self.now_ms = now_ms
        self.promised_at_ms = -PROMISE_VALIDITY_MS

    def on_message(self, message: Prepare | Accept[StateT]) -> Promise[StateT] | Accepted | Rejected[StateT]:
        """Return the answer to a proposer. Raises what `store` raises; then there is no answer."""
        stored = self.stored
        if message.identity != stored.identity:
            return Rejected(message.ballot, stored.promised, not_voter=True)
        if message.epoch < stored.state.epoch:
            return Rejected(message.ballot, stored.promised, stored.state)
        if isinstance(message, Prepare):
            return self._on_prepare(message)
        return self._on_accept(message)

    def _on_prepare(self, message: Prepare) -> Promise[StateT] | Rejected[StateT]:
        """Promise to accept nothing below this ballot, unless this ballot or a higher one was promised already.

        The promise is stored before it is answered: an acceptor that restarts must still keep it.
        """
        stored = self.stored
        if message.ballot <= stored.promised:
            return Rejected(message.ballot, stored.promised)
        self._store(replace(stored, promised=message.ballot))
        self.promised_at_ms = self.now_ms()
        return Promise(message.ballot, stored.identity, stored.accepted, stored.state)

    def _on_accept(self, message: Accept[StateT]) -> Accepted | Rejected[StateT]:
        """Accept and store the state, unless a higher ballot was promised or the promise has expired."""
        stored = self.stored
        if message.ballot < stored.promised or self._promise_expired(message.ballot):
            return Rejected(message.ballot, stored.promised)
        self._store(AcceptorState(stored.identity, message.ballot, message.ballot, message.state))
        return Accepted(message.ballot, stored.identity)

    def _promise_expired(self, ballot: Ballot) -> bool:
        """Whether this ballot was promised so long ago that its proposer has given up the round.

        Not needed for safety: the change was computed for an earlier situation, and a rejected proposer retries.
        """
        awaiting_accept = ballot == self.stored.promised > self.stored.accepted
        return awaiting_accept and self.now_ms() > self.promised_at_ms + PROMISE_VALIDITY_MS

    def _store(self, state: AcceptorState[StateT]) -> None:
        self.store(state)
        self.stored = state
