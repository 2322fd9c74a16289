"""The messages between relays: structs that are encoded as MessagePack arrays.

The order of the fields is part of the wire format; their names are not sent.
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
    """The state of a member. Of two updates with equal incarnation and refutations, the one of greater state wins."""

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

    Attributes:
        name: Name of the member.
        host: IPv4 address that the member advertises.
        port: UDP port that the member advertises.
        incarnation: Incarnation of the member's process.
        refutations: Number of refutations by the member within this incarnation; only the member itself increases it.
        state: State of the member.
        suspected_by: Name of the relay that suspects the member; empty unless the state is `SUSPECT`.
    """

    name: Name
    host: Host
    port: Port
    incarnation: Uint53
    refutations: Uint53
    state: MemberState
    suspected_by: Annotated[str, Meta(max_length=MAX_NAME_BYTES)] = ""


class Ping(Struct, array_like=True, tag=1, frozen=True):
    """A probe of the member `target`. A relay of another name at the same address must not acknowledge it.

    Attributes:
        number: Number of the ping; repeated in the answer.
        target: Name of the probed member.
        view_digest: Digest of the sender's members, by which the receiver detects that its own view differs.
    """

    number: Uint53
    target: Name
    view_digest: Uint53


class Ack(Struct, array_like=True, tag=2, frozen=True):
    """The answer to a ping. `responder` is the probed member, even if a helper forwards the answer."""

    number: Uint53
    view_digest: Uint53
    responder: Name


class PingRequest(Struct, array_like=True, tag=3, frozen=True):
    """A request to a helper to ping `target` on behalf of the sender; answered by `Ack` or `Nack`."""

    number: Uint53
    target: Name
    host: Host
    port: Port


class Nack(Struct, array_like=True, tag=4, frozen=True):
    """A helper's report that the target has not answered it either; it shows that the path to the helper works."""

    number: Uint53


class SyncRequest(Struct, array_like=True, tag=5, frozen=True):
    """A message that only carries membership updates.

    Attributes:
        wants_table: Whether the sender, which sends its whole table in this and the following datagrams, asks for the
            receiver's table.
    """

    wants_table: bool = False


class LoadSignal(Struct, array_like=True, tag=6, frozen=True):
    """The load that the sender places on the backends, in absolute values.

    Attributes:
        base_version: Version after which `changed` begins.
        version: Version up to which `changed` is complete: it contains each backend whose load changed in between.
        changed: Entries of three values: backend key, connections, load.
        range_first: First backend key of the range that `range_loads` covers.
        range_last: Last backend key of that range, inclusive.
        range_loads: All loads in the range, as entries of three values like `changed`.
        ejected: Entries of two values: backend key, remaining milliseconds of the sender's outlier ejection.
        reports: Entries of four values: backend key, utilization in thousandths, connections, age in milliseconds.
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
    """A request for all of the receiver's load, sent after load signals were lost."""


class Payload(Struct, array_like=True, tag=8, frozen=True):
    """Data of another subsystem, sent from one relay to another and limited by the datagram size."""

    data: bytes


Body = Ping | Ack | PingRequest | Nack | SyncRequest | LoadSignal | FullLoadRequest | Payload


class Datagram(Struct, array_like=True, frozen=True):
    """A message and its sender. `sent_at` is in milliseconds of the sender's monotonic clock."""

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
        """The sender as an update in state `ALIVE`."""
        return MembershipUpdate(self.name, self.host, self.port, self.incarnation, self.refutations, MemberState.ALIVE)


class ChecksummedDatagram(Struct, array_like=True, frozen=True):
    """An encoded datagram with its CRC-32, as UDP's own checksum does not detect all corruption in transit."""

    checksum: Annotated[int, Meta(ge=0, lt=1 << 32)]
    datagram: msgspec.Raw


class DatagramPrefix(Struct, array_like=True, frozen=True):
    """The first fields of a datagram of any version."""

    version: int
    cluster: str
