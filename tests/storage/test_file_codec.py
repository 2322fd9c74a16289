"""Codec of durable files."""

from __future__ import annotations

import pytest

from yarrowspindle.protocol.message_codec import InvalidMessageError
from yarrowspindle.storage.file_codec import FileCodec


def check_bounds(value: dict[str, int]) -> None:
    if len(value) > 1:
        raise InvalidMessageError("out of bounds")


CODEC: FileCodec[dict[str, int]] = FileCodec(3, dict[str, int], check_bounds)
OTHER_VERSION: FileCodec[dict[str, int]] = FileCodec(4, dict[str, int], check_bounds)
OTHER_TYPE: FileCodec[list[int]] = FileCodec(3, list[int], lambda value: None)
DATA = CODEC.encode({"a": 1}, "n0", "lab")


def test_a_value_is_decoded_unchanged() -> None:
    assert CODEC.decode(DATA, "n0", "lab") == {"a": 1}


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (DATA[:-1], "the file is truncated"),
        (DATA[:-1] + b"\x02", "checksum of the file does not match"),
        (OTHER_VERSION.encode({"a": 1}, "n0", "lab"), "the file has format version 4, expected 3"),
        (CODEC.encode({"a": 1}, "n1", "lab"), "the file belongs to n1 of cluster lab"),
        (CODEC.encode({"a": 1}, "n0", "other"), "the file belongs to n0 of cluster other"),
        (OTHER_TYPE.encode([1], "n0", "lab"), "the stored value is invalid"),
        (CODEC.encode({"a": 1, "b": 2}, "n0", "lab"), "out of bounds"),
    ],
)
def test_invalid_bytes_are_rejected_with_the_reason(data: bytes, reason: str) -> None:
    with pytest.raises(InvalidMessageError, match=reason):
        CODEC.decode(data, "n0", "lab")
