"""Effects that the membership core asks its driver to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.membership.timers import MembershipTimer
from yarrowspindle.routing.address import Address


@dataclass(slots=True)
class SendDatagram:
    """Send a datagram to this address; it may be lost."""

    address: Address
    data: bytes


@dataclass(slots=True)
class SetTimer:
    """Post `TimerFired` with this timer after the delay."""

    delay_ms: float
    timer: MembershipTimer


@dataclass(slots=True)
class SampleLocalLoad:
    """Post a `LocalLoad` with the current load at once."""


@dataclass(slots=True)
class PeerLoadsUpdated:
    """Pass the peers' load, as far as it changed since the last update, to the balancer."""

    peer_loads: PeerLoads


@dataclass(slots=True)
class PayloadReceived:
    """Deliver the payload that the relay of this name sent."""

    sender: str
    data: bytes


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log. `rate_limited`: hosts outside the cluster can cause it, so it must not flood the log."""

    text: str
    rate_limited: bool = False


Effect = SendDatagram | SetTimer | SampleLocalLoad | PeerLoadsUpdated | PayloadReceived | LogMessage
