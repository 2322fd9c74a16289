"""The acceptor: which requests it accepts, stores or rejects."""

from __future__ import annotations

import pytest

from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT, Accept, Prepare, Promise, Rejected
from yarrowspindle.maintenance.state import MaintenanceState
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY

INITIAL = AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, MaintenanceState({"r0": INITIAL_IDENTITY}))


def test_nothing_is_promised_if_storing_fails() -> None:
    def fail(state: AcceptorState[MaintenanceState]) -> None:
        raise OSError("no space left")

    acceptor = Acceptor(INITIAL, fail)
    with pytest.raises(OSError):
        acceptor.on_message(Prepare((1, "r0"), 0, INITIAL_IDENTITY))
    assert acceptor.stored is INITIAL


def test_answers_follow_the_stored_state_and_other_identities_are_rejected() -> None:
    written: list[AcceptorState[MaintenanceState]] = []
    acceptor = Acceptor(INITIAL, written.append)
    promise = acceptor.on_message(Prepare((3, "r0"), 0, INITIAL_IDENTITY))
    assert isinstance(promise, Promise)
    assert written[-1].promised == (3, "r0")
    for message in (
        Prepare((2, "r1"), 0, INITIAL_IDENTITY),
        Prepare((9, "r1"), 0, "another file"),
        Accept((2, "r1"), 0, INITIAL_IDENTITY, MaintenanceState()),
    ):
        assert isinstance(acceptor.on_message(message), Rejected)
    newer = MaintenanceState({"r0": INITIAL_IDENTITY}, 4, 2)
    acceptor.on_message(Accept((4, "r0"), 2, INITIAL_IDENTITY, newer))
    answer = acceptor.on_message(Prepare((5, "r1"), 1, INITIAL_IDENTITY))
    assert isinstance(answer, Rejected)
    assert answer.newer == newer, "a request with an old epoch is rejected with the acceptor's state"
