"""Events that the membership core handles. Times are milliseconds of a monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from yarrowspindle.membership.timers import MembershipTimer
from yarrowspindle.routing.address import Address


@dataclass(slots=True)
class DatagramReceived:
    """A datagram was received. `source` may be forged, so it is used only to limit floods."""

    data: bytes
    source: Address


@dataclass(slots=True)
class TimerFired:
    """A timer fired. `deadline` is when it was due: a long delay shows that this process was stalled."""

    timer: MembershipTimer
    deadline: float


@dataclass(slots=True)
class LocalLoad:
    """The load that this relay currently places on the backends. Backends without load are omitted.

    Attributes:
        loads: Connections and load by backend key.
        ejected: Remaining time in milliseconds of this relay's outlier ejections, by backend key.
        reports: The newest load reports that this relay received from backends itself, by backend key: utilization,
            connections and age in milliseconds.
    """

    loads: dict[int, tuple[int, float]]
    ejected: dict[int, float] = field(default_factory=dict)
    reports: dict[int, tuple[float, float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class LeaveCluster:
    """This relay shuts down gracefully and leaves the cluster."""


@dataclass(slots=True)
class SendPayload:
    """Another subsystem wants to send data in one datagram to a relay; dropped if the recipient's name is unknown."""

    recipient: str
    data: bytes


Event = DatagramReceived | TimerFired | LocalLoad | LeaveCluster | SendPayload
