"""Messages on the wire between relays and controllers, and between controllers.

Each is encoded as an array, so its fields are known by their position. Times are milliseconds.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from yarrowspindle.configuration.state import (
    DIGEST_BYTES,
    MAX_ENTRIES,
    MAX_NAME_CHARACTERS,
    MAX_RECENT_STEPS,
    ControlState,
)

MAX_LAGGING_RELAYS = 12  # named in one summary
MAX_DISTINCT_VERSIONS = 6  # counted apart in one summary
MAX_REASON_CHARACTERS = 120  # as senders write it; receivers accept MAX_RECEIVED_REASON_CHARACTERS
MAX_RECEIVED_REASON_CHARACTERS = 400

UnsignedInteger = Annotated[int, Meta(ge=0, lt=1 << 53)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
Name = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
Reason = Annotated[str, Meta(max_length=MAX_RECEIVED_REASON_CHARACTERS)]


class Heartbeat(Struct, array_like=True, frozen=True):
    """From a relay to a controller.

    `known_version` is the newest version that the relay has, with `digest`. `applied_version` is the one that it
    serves by; it is older only where the relay rejected the newest, for `rejection_reason`. `wants_snapshot` asks for
    all entries. `attached` is false where the relay only checks whether the controller answers. `previous_controller`
    names the one that it was attached to until now.
    """

    known_version: UnsignedInteger
    digest: Digest
    applied_version: UnsignedInteger
    rejection_reason: Reason = ""
    wants_snapshot: bool = False
    attached: bool = False
    previous_controller: Name = ""


class LatestVersion(Struct, array_like=True, frozen=True):
    """From a controller to a relay: the newest committed version that it knows."""

    version: UnsignedInteger
    digest: Digest


class Delta(Struct, array_like=True, frozen=True):
    """From a controller to a relay: all steps after `base` up to `version`, in order, and the digest of the result."""

    base: UnsignedInteger
    version: UnsignedInteger
    digest: Digest
    steps: Annotated[list[dict[str, str | None]], Meta(max_length=MAX_RECENT_STEPS)]


class Snapshot(Struct, array_like=True, frozen=True):
    """From a controller to a relay: all entries of a version."""

    version: UnsignedInteger
    digest: Digest
    entries: Annotated[dict[str, str], Meta(max_length=MAX_ENTRIES)]


class Detach(Struct, array_like=True, frozen=True):
    """From a relay to a controller: it attached to another one, or ends."""


class RelayReattached(Struct, array_like=True, frozen=True):
    """Between controllers: this relay is attached to the sender, since `sent_at` of its own clock."""

    host: str
    port: int
    incarnation: UnsignedInteger
    sent_at: UnsignedInteger


class NewerIncarnation(Struct, array_like=True, frozen=True):
    """The sender knows a later incarnation of the receiver's address: the receiver must use a higher one."""

    incarnation: UnsignedInteger


class LaggingRelay(Struct, array_like=True, frozen=True):
    """A relay that lacks the newest version, rejects it or is silent."""

    name: Name
    applied_version: UnsignedInteger
    lagging_for_ms: UnsignedInteger
    reason: Reason


class RelaySummary(Struct, array_like=True, frozen=True):
    """Between controllers: the sender's newest committed version, and the relays that are attached to it.

    `relays_by_version` has pairs of an applied version and a number of relays, the lowest version first; the last pair
    covers all higher versions. `omitted_relays` counts lagging relays that are not named.
    """

    version: UnsignedInteger
    relays: UnsignedInteger
    relays_by_version: Annotated[list[tuple[int, int]], Meta(max_length=MAX_DISTINCT_VERSIONS)]
    lagging_relays: Annotated[list[LaggingRelay], Meta(max_length=MAX_LAGGING_RELAYS)]
    omitted_relays: UnsignedInteger = 0


class StateUpdate(Struct, array_like=True, frozen=True):
    """Between controllers: a committed state."""

    state: ControlState
