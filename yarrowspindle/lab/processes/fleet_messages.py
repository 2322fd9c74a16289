"""Messages between the laboratory and the process of its backends: one JSON object per line."""

from __future__ import annotations

import msgspec

from yarrowspindle.lab.faults import Fault
from yarrowspindle.routing.address import Address


class ProxyAddress(msgspec.Struct, frozen=True):
    """The address at which the proxy from a relay to a backend listens."""

    relay: str
    backend: str
    address: Address


class OpenFleet(msgspec.Struct, frozen=True, tag=True):
    """The first command: start these backends and the proxies to them."""

    seed: int
    lifetime_s: float
    backends: dict[str, Address]
    proxies: list[ProxyAddress]


class StartBackend(msgspec.Struct, frozen=True, tag=True):
    """Start a backend again after it was killed."""

    backend: str


class KillBackend(msgspec.Struct, frozen=True, tag=True):
    """Reset all connections of a backend and stop its listening, as the end of a process does."""

    backend: str


class StartFault(msgspec.Struct, frozen=True, tag=True):
    """Activate a fault in the proxies."""

    fault: Fault


class EndFault(msgspec.Struct, frozen=True, tag=True):
    """Deactivate a fault in the proxies."""

    fault: Fault


class CommandDone(msgspec.Struct, frozen=True, tag=True):
    """The oldest unconfirmed command was executed."""


class RequestSent(msgspec.Struct, frozen=True, tag=True):
    """A relay has sent a complete request line on a connection.

    Attributes:
        relay: name of the relay.
        backend: name of the backend.
        connection: id of the connection in the process of the backends.
        request: id of the request.
    """

    relay: str
    backend: str
    connection: int
    request: str


class ConnectionEnded(msgspec.Struct, frozen=True, tag=True):
    """The relay has ended its side of a connection on which it had sent a request."""

    relay: str
    backend: str
    connection: int


class EventLoopLag(msgspec.Struct, frozen=True, tag=True):
    """One measurement of the event-loop lag of the process of the backends, in seconds."""

    lag_s: float


Command = OpenFleet | StartBackend | KillBackend | StartFault | EndFault
Report = CommandDone | RequestSent | ConnectionEnded | EventLoopLag
