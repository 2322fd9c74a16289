"""Bytes of messages between processes: a version, the kind and a compressed MessagePack body, bounded and checked."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

MAX_MESSAGE_BYTES = 1 << 20  # of a decompressed body
HEADER_BYTES = 2  # the version and the number of the kind
COMPRESSION_LEVEL = 1
DECODE_ERRORS = (msgspec.DecodeError, msgspec.ValidationError, ValueError, zlib.error, OverflowError)

_encode_body = msgspec.msgpack.Encoder().encode


class InvalidMessageError(Exception):
    """The received bytes are not a valid message; the text gives the reason in a few words."""


class MessageCodec:
    """Encodes and decodes a fixed set of message types.

    The position of a type in `message_types`, counted from 1, is its number on the wire. `check_bounds` receives the
    replicated state that a decoded message carries, or None, and raises InvalidMessageError for one out of bounds.
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
        """Return the message that the bytes hold. Raises InvalidMessageError where they hold none."""
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
    """Return the body, of at most MAX_MESSAGE_BYTES. Raises InvalidMessageError where it is longer or cut off."""
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(compressed, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise InvalidMessageError("too long")
    return body
