"""The codec of messages: round trips, invalid bytes and states that exceed their bounds."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from tests.configuration.harness import committed
from yarrowspindle.configuration import codec
from yarrowspindle.configuration.messages import (
    Delta,
    Detach,
    Heartbeat,
    LatestVersion,
    NewerIncarnation,
    RelayReattached,
    Snapshot,
    StateUpdate,
)
from yarrowspindle.configuration.state import (
    MAX_RECENT_STEPS,
    MAX_VALUE_CHARACTERS,
    ChangeOrder,
    CommittedStep,
    ControlState,
)
from yarrowspindle.consensus.messages import NO_BALLOT, Accept, Promise
from yarrowspindle.protocol.message_codec import InvalidMessageError


def test_messages_round_trip_and_invalid_bytes_are_rejected() -> None:
    state = replace(
        committed({"a": "1"}, {"a": None}), recent_steps=[CommittedStep(1, {"a": "1"}), CommittedStep(2, {"a": None})]
    )
    for message in (
        Heartbeat(3, b"x" * 8, 2, "why", True, True, "c01"),
        LatestVersion(3, b"x" * 8),
        StateUpdate(state),
        Detach(),
        Delta(1, 2, b"x" * 8, [{"a": None}]),
        Snapshot(2, b"x" * 8, {"a": "1"}),
        NewerIncarnation(3),
        RelayReattached("10.0.0.1", 1, 2, 3),
        ChangeOrder("c01", 1, 2, {"a": None}),
        Promise((1, "c"), "i", NO_BALLOT, state),
        Accept((1, "c"), 0, "i", state),
    ):
        assert codec.decode(codec.encode(message)) == message
    encoded = codec.encode(LatestVersion(3, b"x" * 8))
    for bad in (
        b"",
        encoded[:-3],
        bytes((codec.VERSION + 1,)) + encoded[1:],
        encoded[:1] + b"\x77" + encoded[2:],
        codec.encode(LatestVersion(-1, b"x" * 8)),
        codec.encode(LatestVersion(1, b"x")),
        codec.encode(Delta(0, 99, b"x" * 8, [{}] * (MAX_RECENT_STEPS + 1))),
    ):
        with pytest.raises(InvalidMessageError):
            codec.decode(bad)


@pytest.mark.parametrize(
    "invalid",
    [
        ControlState({}),
        ControlState({"c": "f"}, 3),
        ControlState({"c": "f"}, 3, recent_steps=(CommittedStep(1, {}), CommittedStep(3, {}))),
        ControlState({"c": "f"}, -1),
        ControlState({"c": "f"}, entries={"k": "x" * (MAX_VALUE_CHARACTERS + 1)}),
        ControlState({"c" * 99: "f"}),
        ControlState({"c": "f"}, last_settled={f"t{n}": (1, 1) for n in range(65)}),
    ],
)
def test_a_state_that_exceeds_its_bounds_is_rejected(invalid: ControlState) -> None:
    with pytest.raises(InvalidMessageError):
        codec.decode(codec.encode(StateUpdate(invalid)))
