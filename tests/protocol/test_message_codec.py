"""The binary form of messages between processes."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import pytest

from yarrowspindle.protocol.message_codec import MAX_MESSAGE_BYTES, InvalidMessageError, MessageCodec

VERSION = 3


@dataclass(frozen=True)
class Number:
    state: int


@dataclass(frozen=True)
class Text:
    text: str


def check_bounds(state: int | None) -> None:
    if state is not None and state > 9:
        raise InvalidMessageError("out of bounds")


CODEC = MessageCodec(VERSION, (Number, Text), check_bounds)


def test_messages_are_decoded_unchanged_and_numbered_by_position() -> None:
    for number, message in enumerate((Number(4), Text("abc")), 1):
        encoded = CODEC.encode(message)
        assert encoded[:2] == bytes((VERSION, number))
        assert CODEC.decode(encoded) == message


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "another version"),
        (bytes((VERSION, 1)), "another version"),
        (bytes((VERSION + 1, 1)) + zlib.compress(b""), "another version"),
        (bytes((VERSION, 9)) + zlib.compress(b""), "an unknown kind"),
        (bytes((VERSION, 1)) + b"junk", "nonsense"),
        (bytes((VERSION, 1)) + zlib.compress(b"\xc1"), "nonsense"),
        (bytes((VERSION, 1)) + zlib.compress(bytes(MAX_MESSAGE_BYTES + 1)), "too long"),
        (CODEC.encode(Text("cut off"))[:-4], "too long"),
        (CODEC.encode(Number(10)), "out of bounds"),
    ],
)
def test_invalid_bytes_are_rejected_with_the_reason(data: bytes, reason: str) -> None:
    with pytest.raises(InvalidMessageError, match=reason):
        CODEC.decode(data)
