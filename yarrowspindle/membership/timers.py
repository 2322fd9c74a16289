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
    """The timeout of the direct ping of the current probe; `number` is the ping's number."""

    number: int


@dataclass(slots=True, frozen=True)
class RelayedPingTimeout:
    """The timeout of a ping that was sent on behalf of a peer; `number` is the ping's number."""

    number: int


MembershipTimer = PeriodicTimer | DirectProbeTimeout | RelayedPingTimeout
