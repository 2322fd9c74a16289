"""The messages between relays: plain structs, encoded as MessagePack arrays.

The order of the fields is the wire format; their names are not sent.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from yarrowspindle.membership.settings import MAX_NAME_BYTES
from yarrowspindle.routing.address import Address

VERSION = 1
MAX_DATAGRAM_BYTES = 1200
MAX_UPDATES_PER_DATAGRAM = 64

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
Host = Annotated[str, Meta(max_length=15, pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Uint53 = Annotated[int, Meta(ge=0, lt=1 << 53)]
FlatEntries = Annotated[list[Annotated[int, Meta(ge=0, lt=1 << 32)]], Meta(max_length=1200)]


class MemberState(IntEnum):
    """The state of a member. Of two updates with the same incarnation and refutations the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The state's name in metrics and log lines."""
        return self.name.lower()


class MembershipUpdate(Struct, array_like=True, frozen=True):
    """One relay's view of a member, spread by gossip.

    incarnation: of the member's process. refutations: how often the member has refuted within this incarnation; only
    the member itself raises it. suspected_by: the relay that suspects it, of a suspicion.
    """

    name: Name
    host: Host
    port: Port
    incarnation: Uint53
    refutations: Uint53
    state: MemberState
    suspected_by: Annotated[str, Meta(max_length=MAX_NAME_BYTES)] = ""


class Ping(Struct, array_like=True, tag=1, frozen=True):
    """A probe of `target`. A relay of another name that listens at its address must not acknowledge it.

    view_digest: of the sender's members, so that a difference shows.
    """

    number: Uint53
    target: Name
    view_digest: Uint53


class Ack(Struct, array_like=True, tag=2, frozen=True):
    """The answer to a ping. `responder` is the probed member, also where a helper forwards the answer."""

    number: Uint53
    view_digest: Uint53
    responder: Name


class PingRequest(Struct, array_like=True, tag=3, frozen=True):
    """Asks a helper to ping `target` on behalf of the sender; answered by `Ack` or `Nack`."""

    number: Uint53
    target: Name
    host: Host
    port: Port


class Nack(Struct, array_like=True, tag=4, frozen=True):
    """The helper has no answer from the target either; it shows that the path to the helper works."""

    number: Uint53


class SyncRequest(Struct, array_like=True, tag=5, frozen=True):
    """Carries membership updates only.

    wants_table: the sender's whole table is in this datagram and those that follow, and it asks for the receiver's.
    """

    wants_table: bool = False


class LoadSignal(Struct, array_like=True, tag=6, frozen=True):
    """The load that the sender places on the backends, in absolute figures.

    base_version, version: `changed` holds every backend whose load changed after the first, up to the second.
    changed, range_loads: three figures each: backend key, connections, load.
    range_first, range_last: `range_loads` is all the load on backends with keys in this inclusive range.
    ejected: two figures each: backend key, milliseconds for which the sender still ejects it.
    reports: four figures each: backend key, utilization in thousandths, connections, age in milliseconds.
    """

    base_version: Uint53
    version: Uint53
    changed: FlatEntries
    range_first: Uint53 = 0
    range_last: Uint53 = 0
    range_loads: FlatEntries = []
    ejected: FlatEntries = []
    reports: FlatEntries = []


class FullLoadRequest(Struct, array_like=True, tag=7, frozen=True):
    """Some load signals were lost: asks for all of the receiver's load."""


class Payload(Struct, array_like=True, tag=8, frozen=True):
    """Data of another subsystem, sent from one relay to another; limited by the size of a datagram."""

    data: bytes


Body = Ping | Ack | PingRequest | Nack | SyncRequest | LoadSignal | FullLoadRequest | Payload


class Datagram(Struct, array_like=True, frozen=True):
    """A message with its sender. `sent_at` is in milliseconds of the sender's monotonic clock."""

    version: int
    cluster: Annotated[str, Meta(max_length=MAX_NAME_BYTES)]
    name: Name
    host: Host
    port: Port
    incarnation: Uint53
    refutations: Uint53
    sent_at: Uint53
    body: Body
    updates: Annotated[list[MembershipUpdate], Meta(max_length=MAX_UPDATES_PER_DATAGRAM)] = []

    @property
    def address(self) -> Address:
        """The address that the sender advertises."""
        return self.host, self.port

    @property
    def sender_update(self) -> MembershipUpdate:
        """The sender's claim that it is alive."""
        return MembershipUpdate(self.name, self.host, self.port, self.incarnation, self.refutations, MemberState.ALIVE)


class ChecksummedDatagram(Struct, array_like=True, frozen=True):
    """An encoded datagram with its CRC-32: UDP's own checksum does not catch all corruption on the way."""

    checksum: Annotated[int, Meta(ge=0, lt=1 << 32)]
    datagram: msgspec.Raw


class DatagramPrefix(Struct, array_like=True, frozen=True):
    """The first fields of a datagram of any version."""

    version: int
    cluster: str
