"""Encodes and decodes datagrams. A datagram is validated completely before any of it is used."""

from __future__ import annotations

from enum import StrEnum
from zlib import crc32

import msgspec

from yarrowspindle.membership.messages import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    ChecksummedDatagram,
    Datagram,
    DatagramPrefix,
    LoadSignal,
)

DECODE_ERRORS = (msgspec.DecodeError, msgspec.ValidationError, ValueError)


class DropReason(StrEnum):
    """Why a datagram is dropped. The values are part of metric names."""

    TOO_LONG = "too long"
    MALFORMED = "nonsense"
    CORRUPT = "corrupt"
    OTHER_VERSION = "another version"
    OTHER_CLUSTER = "another cluster"
    FLOOD = "flood"
    OWN_NAME = "own name"
    EARLIER_INCARNATION = "earlier life"
    TABLE_FULL = "no room"
    HAS_LEFT = "has left"


class DroppedDatagramError(Exception):
    """A datagram is dropped; the message is the value of a `DropReason`."""


class Codec:
    """Encoder and decoder of the datagrams of one cluster."""

    def __init__(self, cluster: str) -> None:
        self.cluster = cluster
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode_checksummed = msgspec.msgpack.Decoder(ChecksummedDatagram).decode
        self._decode_datagram = msgspec.msgpack.Decoder(Datagram).decode
        self._decode_prefix = msgspec.msgpack.Decoder(DatagramPrefix).decode

    def encode(self, datagram: Datagram) -> bytes:
        """Return the encoded datagram with its checksum."""
        inner = self._encode(datagram)
        return self._encode(ChecksummedDatagram(crc32(inner), msgspec.Raw(inner)))

    def decode(self, data: bytes) -> Datagram:
        """Decode and validate a datagram.

        Raises:
            DroppedDatagramError: The datagram is invalid, or of another version or cluster.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DroppedDatagramError(DropReason.TOO_LONG)
        inner = self._verified(data)
        try:
            datagram = self._decode_datagram(inner)
        except DECODE_ERRORS:
            raise DroppedDatagramError(self._reason_undecodable(inner)) from None
        if datagram.version != VERSION:
            raise DroppedDatagramError(DropReason.OTHER_VERSION)
        if datagram.cluster != self.cluster:
            raise DroppedDatagramError(DropReason.OTHER_CLUSTER)
        if isinstance(datagram.body, LoadSignal) and not _is_consistent(datagram.body):
            raise DroppedDatagramError(DropReason.MALFORMED)
        return datagram

    def _verified(self, data: bytes) -> bytes:
        """Return the encoded datagram without its checksum.

        Raises:
            DroppedDatagramError: The data is malformed or does not match the checksum.
        """
        try:
            checksummed = self._decode_checksummed(data)
        except DECODE_ERRORS:
            raise DroppedDatagramError(DropReason.MALFORMED) from None
        inner = bytes(checksummed.datagram)
        if crc32(inner) != checksummed.checksum:
            raise DroppedDatagramError(DropReason.CORRUPT)
        return inner

    def _reason_undecodable(self, data: bytes) -> DropReason:
        try:
            prefix = self._decode_prefix(data)
        except DECODE_ERRORS:
            return DropReason.MALFORMED
        return DropReason.OTHER_VERSION if prefix.version != VERSION else DropReason.MALFORMED


def _is_consistent(signal: LoadSignal) -> bool:
    """Return whether the lists contain complete entries and the ranges are not reversed."""
    return not (
        len(signal.changed) % 3
        or len(signal.range_loads) % 3
        or len(signal.ejected) % 2
        or len(signal.reports) % 4
        or signal.base_version > signal.version
        or signal.range_first > signal.range_last
    )
