"""What the core of peers is told and what it asks for. Times are milliseconds of a clock that only goes on."""

from __future__ import annotations

from dataclasses import dataclass, field

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.routing.address import Address

# --- events -------------------------------------------------------------------------------------


@dataclass(slots=True)
class DatagramReceived:
    """A datagram; `source`: where it seems to come from, used for nothing but a bound on floods."""

    data: bytes
    source: Address


@dataclass(slots=True)
class TimerFired:
    """due: when it should have been; a relay that stood still finds out by it."""

    what: object
    due: float


@dataclass(slots=True)
class LocalLoad:
    """What this relay holds now: node key -> connections, load. Nodes with nothing are left out.

    passed: node key -> milliseconds for which it is still passed over as failing.
    reports: newest load reports that this relay itself was told: node key -> use, connections, age in milliseconds."""

    holds: dict[int, tuple[int, float]]
    passed: dict[int, float] = field(default_factory=dict)
    reports: dict[int, tuple[float, float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class LeaveCluster:
    """This relay ends in good order."""


@dataclass(slots=True)
class SendPayload:
    """To be sent to the relay of this name, if its address is known, in a datagram of its own."""

    to: str
    data: bytes


Event = DatagramReceived | TimerFired | LocalLoad | LeaveCluster | SendPayload


# --- effects ------------------------------------------------------------------------------------


@dataclass(slots=True)
class SendDatagram:
    to: Address
    data: bytes


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    what: object


@dataclass(slots=True)
class SampleLocalLoad:
    """Say what this relay holds now: an `Own` is wanted at once."""


@dataclass(slots=True)
class PeerLoadsUpdated:
    """What the others hold, as far as it changed since the last time: for the module, as it is."""

    others: PeerLoads


@dataclass(slots=True)
class PayloadReceived:
    """What another relay had carried to us."""

    name: str
    data: bytes


@dataclass(slots=True)
class LogMessage:
    """For the log; `bounded`: strangers can cause it."""

    text: str
    bounded: bool = False


Effect = SendDatagram | SetTimer | SampleLocalLoad | PeerLoadsUpdated | PayloadReceived | LogMessage
