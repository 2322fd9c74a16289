"""Effects that the membership core asks its driver to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.membership.timers import MembershipTimer
from yarrowspindle.routing.address import Address


@dataclass(slots=True)
class SendDatagram:
    """Send a datagram to an address. The datagram may be lost."""

    address: Address
    data: bytes


@dataclass(slots=True)
class SetTimer:
    """Post `TimerFired` with this timer after the delay."""

    delay_ms: float
    timer: MembershipTimer


@dataclass(slots=True)
class SampleLocalLoad:
    """Immediately post a `LocalLoad` with the current load."""


@dataclass(slots=True)
class PeerLoadsUpdated:
    """Pass the changes of the peers' load since the last such effect to the balancer."""

    peer_loads: PeerLoads


@dataclass(slots=True)
class PayloadReceived:
    """Deliver a payload that another relay sent; `sender` is that relay's name."""

    sender: str
    data: bytes


@dataclass(slots=True)
class LogMessage:
    """Write a log line.

    Attributes:
        text: The message.
        rate_limited: Whether to limit the rate of such lines, as hosts outside the cluster can cause them.
    """

    text: str
    rate_limited: bool = False


Effect = SendDatagram | SetTimer | SampleLocalLoad | PeerLoadsUpdated | PayloadReceived | LogMessage
