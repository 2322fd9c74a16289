"""Bytes of a durable file: a header with version, checksum, owner and cluster, then the stored value."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from yarrowspindle.protocol.message_codec import DECODE_ERRORS, InvalidMessageError

StoredValue = TypeVar("StoredValue")

_encode = msgspec.msgpack.Encoder().encode


class FileCodec(Generic[StoredValue]):
    """Encodes and decodes the values of one type that a process stores in a file.

    `check_bounds` raises InvalidMessageError for a decoded value that is out of bounds.
    """

    def __init__(self, version: int, value_type: Any, check_bounds: Callable[[StoredValue], None]) -> None:
        self.version = version
        self.check_bounds = check_bounds
        self.value_decoder: msgspec.msgpack.Decoder[StoredValue] = msgspec.msgpack.Decoder(value_type)
        self.file_decoder = msgspec.msgpack.Decoder(tuple[int, int, str, str, msgspec.Raw])

    def encode(self, value: StoredValue, owner: str, cluster: str) -> bytes:
        """Return the bytes of the file of this owner in this cluster."""
        payload = _encode(value)
        return _encode((self.version, zlib.crc32(payload), owner, cluster, msgspec.Raw(payload)))

    def decode(self, data: bytes, owner: str, cluster: str) -> StoredValue:
        """Return the stored value.

        Raises InvalidMessageError where the file is cut off, corrupt, or of another owner or cluster.
        """
        try:
            version, checksum, stored_owner, stored_cluster, raw_payload = self.file_decoder.decode(data)
        except DECODE_ERRORS:
            raise InvalidMessageError("it is cut off, or no such file") from None
        payload = bytes(raw_payload)
        if version != self.version:
            raise InvalidMessageError(f"its version is {version}, not {self.version}")
        if zlib.crc32(payload) != checksum:
            raise InvalidMessageError("its checksum is wrong")
        if (stored_owner, stored_cluster) != (owner, cluster):
            raise InvalidMessageError(f"it is {stored_owner}'s of cluster {stored_cluster}")
        try:
            value = self.value_decoder.decode(payload)
        except DECODE_ERRORS:
            raise InvalidMessageError("nonsense") from None
        self.check_bounds(value)
        return value
