"""What the lab and the process of its backends tell each other: JSON, one message a line."""

from __future__ import annotations

import msgspec

from yarrowspindle.lab.faults import Fault
from yarrowspindle.routing.address import Address


class ProxyAddress(msgspec.Struct, frozen=True):
    """The address at which a relay reaches a backend."""

    relay: str
    backend: str
    address: Address


class OpenFleet(msgspec.Struct, frozen=True, tag=True):
    """The first command: open these backends, and the wires to them."""

    seed: int
    lifetime_s: float
    backends: dict[str, Address]
    proxies: list[ProxyAddress]


class StartBackend(msgspec.Struct, frozen=True, tag=True):
    """Let a backend listen again."""

    backend: str


class KillBackend(msgspec.Struct, frozen=True, tag=True):
    """End a backend's process: what it held breaks, and nobody listens."""

    backend: str


class StartFault(msgspec.Struct, frozen=True, tag=True):
    """Put a fault on the wires."""

    fault: Fault


class EndFault(msgspec.Struct, frozen=True, tag=True):
    """Take a fault off the wires."""

    fault: Fault


class CommandDone(msgspec.Struct, frozen=True, tag=True):
    """The oldest command that was not answered yet is carried out."""


class RequestSent(msgspec.Struct, frozen=True, tag=True):
    """A request's line came whole on a connection from a relay. connection: its number in the fleet's process."""

    relay: str
    backend: str
    connection: int
    request: str


class ConnectionEnded(msgspec.Struct, frozen=True, tag=True):
    """The relay has ended its side of a connection on which a request came."""

    relay: str
    backend: str
    connection: int


class EventLoopLag(msgspec.Struct, frozen=True, tag=True):
    """How late the fleet's process was of late, at the most; seconds."""

    lag_s: float


Command = OpenFleet | StartBackend | KillBackend | StartFault | EndFault
Report = CommandDone | RequestSent | ConnectionEnded | EventLoopLag
