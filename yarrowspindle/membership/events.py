"""Events that the membership core handles. Times are milliseconds of a monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from yarrowspindle.membership.timers import MembershipTimer
from yarrowspindle.routing.address import Address


@dataclass(slots=True)
class DatagramReceived:
    """A datagram arrived. `source` may be forged, so it only limits floods."""

    data: bytes
    source: Address


@dataclass(slots=True)
class TimerFired:
    """A timer fired. `deadline` is when it should have: a large delay shows that this process was stalled."""

    timer: MembershipTimer
    deadline: float


@dataclass(slots=True)
class LocalLoad:
    """The load that this relay places on the backends now, by backend key. Backends without load are left out.

    loads: connections and load.
    ejected: milliseconds for which this relay still ejects the backend as an outlier.
    reports: the newest load reports that this relay received itself: utilization, connections, age in milliseconds.
    """

    loads: dict[int, tuple[int, float]]
    ejected: dict[int, float] = field(default_factory=dict)
    reports: dict[int, tuple[float, float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class LeaveCluster:
    """This relay shuts down gracefully."""


@dataclass(slots=True)
class SendPayload:
    """Send the data in one datagram to the relay of this name, if its address is known."""

    recipient: str
    data: bytes


Event = DatagramReceived | TimerFired | LocalLoad | LeaveCluster | SendPayload
