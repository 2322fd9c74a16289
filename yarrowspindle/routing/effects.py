"""The effects that the core requests from the runtime and the fronts, in order. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.termination import TerminationReason


@dataclass(slots=True)
class OpenBackendConnection:
    """Open a connection to the backend for this attempt."""

    request: int
    attempt: int
    backend: str
    address: Address
    timeout_ms: float


@dataclass(slots=True)
class ForwardRequest:
    """Send the request on the established connection of its attempt."""

    request: int
    attempt: int
    remaining_ms: float


@dataclass(slots=True)
class AbortAttempt:
    """Abort the attempt: close its connection to the backend."""

    request: int
    attempt: int
    reason: TerminationReason | RejectionReason | None = None


@dataclass(slots=True)
class StartRelaying:
    """Pass the backend's first answer to the client, then relay data in both directions."""

    request: int


@dataclass(slots=True)
class RejectRequest:
    """Send the final answer that the request is rejected; a retry after `retry_after_ms` is harmless."""

    request: int
    retry_after_ms: float
    reason: RejectionReason | None = None


@dataclass(slots=True)
class FailRequest:
    """Send the final answer that the request failed; it does not state that a retry is harmless."""

    request: int
    reason: RejectionReason | None = None


@dataclass(slots=True)
class MigrateConnection:
    """Ask the client to connect again, and close both sides of its connection."""

    request: int
    reason: TerminationReason = TerminationReason.MIGRATED


@dataclass(slots=True)
class CloseClientConnection:
    """Close the client's side of the connection in the same way as the backend's side ended."""

    request: int
    reason: TerminationReason


@dataclass(slots=True)
class SetTimer:
    """Report `TimerFired` for this timer after the delay; replaces an earlier setting of the same timer."""

    delay_ms: float
    timer: object


@dataclass(slots=True)
class CancelTimer:
    """Cancel the timer if it is set."""

    timer: object


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list for changes after a known version; replaces a watch at another address.

    Attributes:
        version: The last known version of the list; 0 requests the full list.
        address: The address of the discovery service.
        renew: Whether to replace an open watch at the same address as well, once the new one has delivered an update.
    """

    version: int
    address: Address | None = None
    renew: bool = False


@dataclass(slots=True)
class CheckHealth:
    """Request the backend's load report; one `HealthCheckCompleted` follows within `timeout_ms`."""

    backend: str
    address: Address
    timeout_ms: float


@dataclass(slots=True)
class CancelHealthCheck:
    """Cancel the health check of this backend, and send no other on its connection."""

    backend: str


@dataclass(slots=True)
class BackendRemoved:
    """Close the connections to a backend that was removed from the list, if the transport does not show their end."""

    backend: str


@dataclass(slots=True)
class LogMessage:
    """Write this text to the log."""

    text: str


Effect = (
    OpenBackendConnection
    | ForwardRequest
    | AbortAttempt
    | StartRelaying
    | RejectRequest
    | FailRequest
    | MigrateConnection
    | CloseClientConnection
    | SetTimer
    | CancelTimer
    | WatchEndpoints
    | CheckHealth
    | CancelHealthCheck
    | BackendRemoved
    | LogMessage
)
