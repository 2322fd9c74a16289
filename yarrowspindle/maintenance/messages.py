"""The messages between relays about maintenance, beside those of the register. Their field names are on the wire."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct

from yarrowspindle.maintenance.state import MaintenanceState


@dataclass(slots=True, frozen=True)
class StateUpdate:
    """A committed state."""

    state: MaintenanceState


class ReleaseConfirmation(Struct, frozen=True, rename={"incarnation": "life", "numbers": "turns"}):
    """The sender knows of these evacuations and has no connections on their backends.

    numbers: of the evacuations, by backend. The statement holds for as long as they last, so the message may be
    delayed or duplicated. The leader writes those of many relays in one round.
    """

    incarnation: int
    numbers: Mapping[str, int]


@dataclass(slots=True, frozen=True)
class RegisterRelay:
    """The sender is a process that is not registered; the leader registers it. key: random, and unique to it."""

    key: str


@dataclass(slots=True, frozen=True)
class LatestVersion:
    """The sender has reached a majority recently, and this is the newest version."""

    version: int


@dataclass(slots=True, frozen=True)
class CatchUpRequest:
    """The sender knows of no later state than this version, and asks for a later one."""

    version: int
