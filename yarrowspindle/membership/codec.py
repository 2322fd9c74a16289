"""What relays send one another: plain structs in MessagePack by msgspec. No wire format of our own.

A datagram is one `Datagram`. It is checked whole before anything looks at it: types, lengths, version, cluster. What
fails raises `Dropped` with the cause by which it is counted.
"""

from __future__ import annotations

from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

from yarrowspindle.membership.settings import MAX_NAME
from yarrowspindle.routing.address import Address

VERSION = 1
MOST = 1200  # bytes of a datagram
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
Host = Annotated[str, Meta(max_length=15, pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Number = Annotated[int, Meta(ge=0, lt=1 << 53)]
Flat = Annotated[list[Annotated[int, Meta(ge=0, lt=1 << 32)]], Meta(max_length=1200)]

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATES = ("alive", "suspect", "dead", "left")


class DroppedDatagramError(Exception):
    """A datagram that is not taken; the text is its cause, one of few."""


class MembershipUpdate(Struct, array_like=True, frozen=True):
    """What somebody says of a member. life: of the process; turn: within its life, raised by itself alone."""

    name: Name
    host: Host
    port: Port
    incarnation: Number
    turn: Number
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    by: Annotated[str, Meta(max_length=MAX_NAME)] = ""  # of a suspicion: who has it


class Ping(Struct, array_like=True, tag=1, frozen=True):
    """Are you there? view: a digest of the sender's table, so that differences show."""

    number: Number
    to: Name  # a relay of another name that listens there now must not answer for it
    view: Number


class Ack(Struct, array_like=True, tag=2, frozen=True):
    """Yes."""

    number: Number
    view: Number
    of: Name  # who is there: the sender, or who was asked for another


class PingRequest(Struct, array_like=True, tag=3, frozen=True):
    """Ask that member for me; answered by its `Ack` or by a `Nack`."""

    number: Number
    to: Name
    host: Host
    port: Port


class Nack(Struct, array_like=True, tag=4, frozen=True):
    """It has not answered me yet either; so the way between us two is open."""

    number: Number


class SyncRequest(Struct, array_like=True, tag=5, frozen=True):
    """Rumours only. whole: the sender's table is in here and in the others like it, and it wants ours in return."""

    whole: bool = False


class LoadSignal(Struct, array_like=True, tag=6, frozen=True):
    """What the sender holds. All figures are absolute.

    base, version: what changed after `base` up to `version` is in `changed`, whole.
    changed, part: node key, connections, load, each three figures. part, first, last: all that the sender holds at
    nodes with keys from first to last: what is not named there is nothing.
    passed: node key, milliseconds that it is still passed over. reports: node key, use in thousandths, connections,
    age in milliseconds.
    """

    base: Number
    version: Number
    changed: Flat
    first: Number = 0
    last: Number = 0
    part: Flat = []
    passed: Flat = []
    reports: Flat = []


class FullLoadRequest(Struct, array_like=True, tag=7, frozen=True):
    """Some of what you told was lost: tell me the whole."""


class Carried(Struct, array_like=True, tag=8, frozen=True):
    """Something that is no business of peers, from one relay to another; bounded by the datagram."""

    data: bytes


Body = Ping | Ack | PingRequest | Nack | SyncRequest | LoadSignal | FullLoadRequest | Carried


class Datagram(Struct, array_like=True, frozen=True):
    version: int
    cluster: Annotated[str, Meta(max_length=MAX_NAME)]
    name: Name
    host: Host
    port: Port
    incarnation: Number
    turn: Number
    at: Number  # the sender's own monotonic milliseconds
    body: Body
    rumours: Annotated[list[MembershipUpdate], Meta(max_length=64)] = []

    @property
    def address(self) -> Address:
        return self.host, self.port


class Sealed(Struct, array_like=True, frozen=True):
    """A datagram as it is sent, with its CRC-32: some networks change bytes past UDP's own sum, and what the fault
    network changed must not be taken for figures."""

    check: Annotated[int, Meta(ge=0, lt=1 << 32)]
    datagram: msgspec.Raw


class _Head(Struct, array_like=True, frozen=True):
    """The start of a datagram of any version."""

    version: int
    cluster: str


class Codec:
    def __init__(self, cluster: str) -> None:
        self.cluster = cluster
        self._encode = msgspec.msgpack.Encoder().encode
        self._unseal = msgspec.msgpack.Decoder(Sealed).decode
        self._decode = msgspec.msgpack.Decoder(Datagram).decode
        self._head = msgspec.msgpack.Decoder(_Head).decode

    def encode(self, datagram: Datagram) -> bytes:
        inner = self._encode(datagram)
        return self._encode(Sealed(crc32(inner), msgspec.Raw(inner)))

    def decode(self, data: bytes) -> Datagram:
        if len(data) > MOST:
            raise DroppedDatagramError("too long")
        try:
            sealed = self._unseal(data)
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
            raise DroppedDatagramError("nonsense") from None
        inner = bytes(sealed.datagram)
        if crc32(inner) != sealed.check:
            raise DroppedDatagramError("corrupt")
        try:
            datagram = self._decode(inner)
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
            raise DroppedDatagramError(self._why(inner)) from None
        if datagram.version != VERSION:
            raise DroppedDatagramError("another version")
        if datagram.cluster != self.cluster:
            raise DroppedDatagramError("another cluster")
        body = datagram.body
        if isinstance(body, LoadSignal) and (
            len(body.changed) % 3
            or len(body.part) % 3
            or len(body.passed) % 2
            or len(body.reports) % 4
            or body.base > body.version
            or body.first > body.last
        ):
            raise DroppedDatagramError("nonsense")
        return datagram

    def _why(self, data: bytes) -> str:
        try:
            head = self._head(data)
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
            return "nonsense"
        return "another version" if head.version != VERSION else "nonsense"
