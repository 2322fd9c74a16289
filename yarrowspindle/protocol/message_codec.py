"""Binary form of messages between processes: a version, a type number and a compressed MessagePack body.

The size of the body is bounded, and decoded values are checked against bounds.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

MAX_MESSAGE_BYTES = 1 << 20  # of a decompressed body
HEADER_BYTES = 2  # the version and the type number
COMPRESSION_LEVEL = 1
DECODE_ERRORS = (msgspec.DecodeError, msgspec.ValidationError, ValueError, zlib.error, OverflowError)

_encode_body = msgspec.msgpack.Encoder().encode


class InvalidMessageError(Exception):
    """The received bytes are not a valid message; the text gives the reason.

    The text is part of a metric's name: configuration/link.py counts `dropped_` and the text, with underscores instead
    of spaces. It must not change, and must not contain a value.
    """


class MessageCodec:
    """Encoder and decoder of a fixed set of message types.

    Args:
        version: The version of the messages' form; messages of another version are rejected.
        message_types: The types. The position of a type, counted from 1, is its number on the wire.
        check_bounds: Receives the replicated state that a decoded message carries, or None, and raises
            InvalidMessageError if it is out of bounds.
    """

    def __init__(self, version: int, message_types: Sequence[Any], check_bounds: Callable[[Any], None]) -> None:
        self.version = version
        self.check_bounds = check_bounds
        self.numbers: dict[Any, int] = {}
        self.decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}
        for number, message_type in enumerate(message_types, 1):
            plain_class = getattr(message_type, "__origin__", message_type)
            self.numbers[plain_class] = number
            self.decoders[number] = msgspec.msgpack.Decoder(message_type)

    def encode(self, message: Any) -> bytes:
        """Return the bytes of a message whose type was given to the codec."""
        header = bytes((self.version, self.numbers[type(message)]))
        return header + zlib.compress(_encode_body(message), COMPRESSION_LEVEL)

    def decode(self, data: bytes) -> Any:
        """Return the message that the bytes hold. Raise InvalidMessageError if they do not hold one."""
        if len(data) <= HEADER_BYTES or data[0] != self.version:
            raise InvalidMessageError("another version")
        decoder = self.decoders.get(data[1])
        if decoder is None:
            raise InvalidMessageError("an unknown kind")
        try:
            message = decoder.decode(_decompress(data[HEADER_BYTES:]))
        except DECODE_ERRORS:
            raise InvalidMessageError("nonsense") from None
        self.check_bounds(getattr(message, "state", None) or getattr(message, "newer", None))
        return message


def _decompress(compressed: bytes) -> bytes:
    """Return the body. Raise InvalidMessageError if it exceeds MAX_MESSAGE_BYTES or is truncated."""
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(compressed, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise InvalidMessageError("too long")
    return body
