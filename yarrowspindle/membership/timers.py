"""The timers that the membership core sets for itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PeriodicTimer(Enum):
    """A timer whose handler sets it again."""

    JOIN = "join"
    PROBE = "probe"
    LOAD_SIGNAL = "load_signal"
    PEER_LOADS = "peer_loads"


@dataclass(slots=True, frozen=True)
class DirectProbeTimeout:
    """The direct ping of the current probe has had its time; `number` is the ping's."""

    number: int


@dataclass(slots=True, frozen=True)
class RelayedPingTimeout:
    """A ping sent on behalf of a peer has had its time; `number` is the ping's."""

    number: int


MembershipTimer = PeriodicTimer | DirectProbeTimeout | RelayedPingTimeout
