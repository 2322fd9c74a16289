"""Messages on the wire between relays and controllers, and between controllers.

Each message is encoded as an array, so that a field is identified by its position. Times are in milliseconds.
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

MAX_LAGGING_RELAYS = 12  # listed by name in a summary
MAX_DISTINCT_VERSIONS = 6  # counted separately in a summary
MAX_REASON_CHARACTERS = 120  # senders truncate to this; receivers accept up to MAX_RECEIVED_REASON_CHARACTERS
MAX_RECEIVED_REASON_CHARACTERS = 400

UnsignedInteger = Annotated[int, Meta(ge=0, lt=1 << 53)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
Name = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
Reason = Annotated[str, Meta(max_length=MAX_RECEIVED_REASON_CHARACTERS)]


class Heartbeat(Struct, array_like=True, frozen=True):
    """From a relay to a controller.

    Attributes:
        known_version: The newest version that the relay has.
        digest: The digest of `known_version`.
        applied_version: The version that the relay applies; older than `known_version` only if it rejected that one.
        rejection_reason: Why the relay rejected `known_version`; empty if it did not.
        wants_snapshot: Whether the relay requests all entries instead of steps.
        attached: False if the relay only checks whether the controller answers.
        previous_controller: After a reattachment, the name of the controller to which the relay was attached before.
    """

    known_version: UnsignedInteger
    digest: Digest
    applied_version: UnsignedInteger
    rejection_reason: Reason = ""
    wants_snapshot: bool = False
    attached: bool = False
    previous_controller: Name = ""


class LatestVersion(Struct, array_like=True, frozen=True):
    """From a controller to a relay: the newest committed version that the controller knows."""

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
    """From a relay to a controller: the relay has attached to another controller, or shuts down."""


class RelayReattached(Struct, array_like=True, frozen=True):
    """Between controllers: the relay at this address is attached to the sender.

    `incarnation` and `sent_at` are copied from the relay's heartbeat.
    """

    host: str
    port: int
    incarnation: UnsignedInteger
    sent_at: UnsignedInteger


class NewerIncarnation(Struct, array_like=True, frozen=True):
    """Between any processes: the sender knows this later incarnation of the receiver's address.

    The receiver must use a higher one.
    """

    incarnation: UnsignedInteger


class LaggingRelay(Struct, array_like=True, frozen=True):
    """Part of a summary: a relay that lacks the newest version, rejects it or is silent."""

    name: Name
    applied_version: UnsignedInteger
    lagging_for_ms: UnsignedInteger
    reason: Reason


class RelaySummary(Struct, array_like=True, frozen=True):
    """Between controllers: the sender's newest committed version, and the relays that are attached to it.

    Attributes:
        version: The newest committed version that the sender knows.
        relays: The number of live attached relays.
        relays_by_version: Pairs of an applied version and its number of relays, sorted by version. If the maximum
            number of pairs is reached, the last one also counts the relays of all higher versions.
        lagging_relays: The relays that have been lagging the longest.
        omitted_relays: The number of lagging relays that are not in `lagging_relays`.
    """

    version: UnsignedInteger
    relays: UnsignedInteger
    relays_by_version: Annotated[list[tuple[int, int]], Meta(max_length=MAX_DISTINCT_VERSIONS)]
    lagging_relays: Annotated[list[LaggingRelay], Meta(max_length=MAX_LAGGING_RELAYS)]
    omitted_relays: UnsignedInteger = 0


class StateUpdate(Struct, array_like=True, frozen=True):
    """Between controllers: a committed state."""

    state: ControlState
