"""The proposer: which acceptors' responses it counts."""

from __future__ import annotations

from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT, Prepare, Promise
from yarrowspindle.consensus.proposer import SendToAcceptor
from yarrowspindle.daemon.voter_file import initial_state
from yarrowspindle.maintenance.coordinator import MaintenanceCoordinator
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY

VOTERS = ("r0", "r1", "r2")


def test_a_promise_to_an_earlier_process_of_the_proposer_does_not_count() -> None:
    """A proposer that restarts must not use a ballot of its earlier process.

    Otherwise it would count delayed promises to that process, which were given before that one wrote its state, and
    could overwrite a committed state.
    """
    initial = initial_state(VOTERS)
    earlier, later = (
        MaintenanceCoordinator("r0", key, initial, "", initial, 1, 0.0).proposer for key in ("key-1", "key-2")
    )
    voters = {
        name: Acceptor(AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, initial), lambda state: None)
        for name in VOTERS
    }
    delayed = {}
    for effect in earlier.start(lambda state: state):
        assert isinstance(effect, SendToAcceptor) and isinstance(effect.message, Prepare)
        delayed[effect.acceptor] = voters[effect.acceptor].on_message(effect.message)
    later.start(lambda state: state)
    for name, promise in delayed.items():
        assert isinstance(promise, Promise)
        assert not later.on_message(name, promise), "promises to the earlier process must not count as a majority"
