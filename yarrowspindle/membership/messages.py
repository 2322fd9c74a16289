"""What the core of peers is told and what it asks for. Times are milliseconds of a clock that only goes on."""

from __future__ import annotations

from dataclasses import dataclass, field

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.routing.address import Address

# --- events -------------------------------------------------------------------------------------


@dataclass(slots=True)
class Came:
    """A datagram; `source`: where it seems to come from, used for nothing but a bound on floods."""

    data: bytes
    source: Address


@dataclass(slots=True)
class Woke:
    """due: when it should have been; a relay that stood still finds out by it."""

    what: object
    due: float


@dataclass(slots=True)
class Own:
    """What this relay holds now: node key -> connections, load. Nodes with nothing are left out.

    passed: node key -> milliseconds for which it is still passed over as failing.
    reports: newest load reports that this relay itself was told: node key -> use, connections, age in milliseconds."""

    holds: dict[int, tuple[int, float]]
    passed: dict[int, float] = field(default_factory=dict)
    reports: dict[int, tuple[float, float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class Leave:
    """This relay ends in good order."""


@dataclass(slots=True)
class Carry:
    """To be sent to the relay of this name, if its address is known, in a datagram of its own."""

    to: str
    data: bytes


Event = Came | Woke | Own | Leave | Carry


# --- effects ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    to: Address
    data: bytes


@dataclass(slots=True)
class Wake:
    delay_ms: float
    what: object


@dataclass(slots=True)
class Look:
    """Say what this relay holds now: an `Own` is wanted at once."""


@dataclass(slots=True)
class Told:
    """What the others hold, as far as it changed since the last time: for the module, as it is."""

    others: PeerLoads


@dataclass(slots=True)
class Brought:
    """What another relay had carried to us."""

    name: str
    data: bytes


@dataclass(slots=True)
class Note:
    """For the log; `bounded`: strangers can cause it."""

    text: str
    bounded: bool = False


Effect = Send | Wake | Look | Told | Brought | Note
