"""Maintenance messages between relays, in addition to those of `consensus.messages`. Field names are on the wire."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct

from yarrowspindle.maintenance.state import MaintenanceState


@dataclass(slots=True, frozen=True)
class StateUpdate:
    """A state that is committed."""

    state: MaintenanceState


class ReleaseConfirmation(Struct, frozen=True, rename={"incarnation": "life", "numbers": "turns"}):
    """The sender knows of these evacuations and has no connections to their backends.

    The statement stays true until the evacuations end, so the message may be delayed or duplicated. The leader writes
    the confirmations of many relays in one round.

    Attributes:
        incarnation: incarnation of the sender.
        numbers: numbers of the evacuations, by backend.
    """

    incarnation: int
    numbers: Mapping[str, int]


@dataclass(slots=True, frozen=True)
class RegisterRelay:
    """The sender is not registered and asks the leader to register it; `key` is random and unique to its process."""

    key: str


@dataclass(slots=True, frozen=True)
class LatestVersion:
    """The sender has recently reached a majority of the voters; `version` is the newest version that it knows."""

    version: int


@dataclass(slots=True, frozen=True)
class CatchUpRequest:
    """The sender asks for a state that is newer than this version, the newest that it knows."""

    version: int
