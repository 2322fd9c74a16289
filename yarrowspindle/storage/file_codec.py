"""Encoding of a durable file: a header with version, checksum, owner and cluster, then the stored value."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from yarrowspindle.protocol.message_codec import DECODE_ERRORS, InvalidMessageError

StoredValue = TypeVar("StoredValue")

_encode = msgspec.msgpack.Encoder().encode


class FileCodec(Generic[StoredValue]):
    """Codec of the values of one type that a process stores in a file.

    Args:
        version: version of the file format.
        value_type: type of the values.
        check_bounds: function that raises InvalidMessageError for a decoded value that is out of bounds.
    """

    def __init__(self, version: int, value_type: Any, check_bounds: Callable[[StoredValue], None]) -> None:
        self.version = version
        self.check_bounds = check_bounds
        self.value_decoder: msgspec.msgpack.Decoder[StoredValue] = msgspec.msgpack.Decoder(value_type)
        self.file_decoder = msgspec.msgpack.Decoder(tuple[int, int, str, str, msgspec.Raw])

    def encode(self, value: StoredValue, owner: str, cluster: str) -> bytes:
        """Return the content of the file for this owner in this cluster."""
        payload = _encode(value)
        return _encode((self.version, zlib.crc32(payload), owner, cluster, msgspec.Raw(payload)))

    def decode(self, data: bytes, owner: str, cluster: str) -> StoredValue:
        """Return the stored value.

        Raises:
            InvalidMessageError: The file is truncated, corrupt, or of another owner or cluster.
        """
        try:
            version, checksum, stored_owner, stored_cluster, raw_payload = self.file_decoder.decode(data)
        except DECODE_ERRORS:
            raise InvalidMessageError("the file is truncated or has an unknown format") from None
        payload = bytes(raw_payload)
        if version != self.version:
            raise InvalidMessageError(f"the file has format version {version}, expected {self.version}")
        if zlib.crc32(payload) != checksum:
            raise InvalidMessageError("the checksum of the file does not match")
        if (stored_owner, stored_cluster) != (owner, cluster):
            raise InvalidMessageError(f"the file belongs to {stored_owner} of cluster {stored_cluster}")
        try:
            value = self.value_decoder.decode(payload)
        except DECODE_ERRORS:
            raise InvalidMessageError("the stored value is invalid") from None
        self.check_bounds(value)
        return value
