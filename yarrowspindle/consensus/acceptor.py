"""The acceptor: promises ballots and accepts states, and stores both before it responds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Generic

from yarrowspindle.consensus.messages import Accept, Accepted, Ballot, Prepare, Promise, Rejected
from yarrowspindle.consensus.replicated_state import StateT

PROMISE_VALIDITY_MS = 1000.0  # an `Accept` that arrives later than this after its promise is rejected


@dataclass(slots=True, frozen=True)
class AcceptorState(Generic[StateT]):
    """The durable state of an acceptor: its promise and the state that it accepted last. Fields are stored by name.

    Attributes:
        identity: Identifies the file of this acceptor; each newly created file has a new identity.
        promised: The highest ballot that was promised.
        accepted: The ballot under which `state` was accepted.
        state: The state that was accepted last.
    """

    identity: str
    promised: Ballot
    accepted: Ballot
    state: StateT


class Acceptor(Generic[StateT]):
    """The acceptor, which responds to proposers' requests.

    Args:
        stored: The state that was read from the file.
        store: Writes and syncs a state. If it raises, nothing has been promised or accepted, and no response is sent.
        now_ms: Return the time of the acceptor's own clock in milliseconds.
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
        """Return the response to a proposer's request.

        An exception of `store` is propagated; the request then gets no response.
        """
        stored = self.stored
        if message.identity != stored.identity:
            return Rejected(message.ballot, stored.promised, not_voter=True)
        if message.epoch < stored.state.epoch:
            return Rejected(message.ballot, stored.promised, stored.state)
        if isinstance(message, Prepare):
            return self._on_prepare(message)
        return self._on_accept(message)

    def _on_prepare(self, message: Prepare) -> Promise[StateT] | Rejected[StateT]:
        """Promise to accept nothing below this ballot, unless this ballot or a higher one was already promised.

        The promise is stored before the response is sent, because it binds the acceptor also after a restart.
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
        """Return whether this ballot was promised more than PROMISE_VALIDITY_MS ago and nothing was accepted under it.

        Its proposer has then abandoned the round. This is not needed for safety, but the delayed proposal was computed
        from outdated conditions; a proposer that is rejected retries with current ones.
        """
        awaiting_accept = ballot == self.stored.promised > self.stored.accepted
        return awaiting_accept and self.now_ms() > self.promised_at_ms + PROMISE_VALIDITY_MS

    def _store(self, state: AcceptorState[StateT]) -> None:
        self.store(state)
        self.stored = state
