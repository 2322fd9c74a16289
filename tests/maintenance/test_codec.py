"""Codec of the messages of maintenance."""

from __future__ import annotations

import zlib

import pytest

from tests.maintenance.sample_state import sample_state
from yarrowspindle.consensus.messages import Accept, Prepare, Rejected
from yarrowspindle.maintenance import codec
from yarrowspindle.maintenance.messages import LatestVersion, RegisterRelay, ReleaseConfirmation, StateUpdate
from yarrowspindle.maintenance.state import MaintenanceState
from yarrowspindle.protocol.message_codec import InvalidMessageError
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY


def test_messages_are_decoded_unchanged_and_invalid_bytes_are_rejected() -> None:
    for message in (
        StateUpdate(sample_state()),
        Prepare((3, "r1"), 2, "x"),
        Accept((1, "r0"), 0, "i", sample_state()),
        ReleaseConfirmation(7, {"a": 1}),
        RegisterRelay("k"),
        LatestVersion(3),
        Rejected((1, "a"), (2, "b"), sample_state()),
        Rejected((1, "a"), (2, "b"), not_voter=True),
    ):
        assert codec.decode(codec.encode(message)) == message
    encoded = codec.encode(StateUpdate(sample_state()))
    bomb = bytes((codec.VERSION, 6)) + zlib.compress(b"\0" * (8 << 20))
    for invalid in (
        b"",
        encoded[:-4],
        rb"\9" + encoded[1:],
        encoded[:1] + b"\x63" + encoded[2:],
        encoded[:2] + b"junk",
        bomb,
    ):
        with pytest.raises(InvalidMessageError):
            codec.decode(invalid)
    too_many_voters = MaintenanceState(dict.fromkeys([f"r{n}" for n in range(65)], INITIAL_IDENTITY))
    with pytest.raises(InvalidMessageError, match="the state is out of bounds"):
        codec.decode(codec.encode(StateUpdate(too_many_voters)))
