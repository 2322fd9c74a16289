"""Effects: what the core asks the runtime and the fronts to carry out, in order. Times are milliseconds."""

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
    """Send the request on the connection that is established for its attempt."""

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
    """Pass the backend's first answer to the client; from now on relay data in both directions."""

    request: int


@dataclass(slots=True)
class RejectRequest:
    """Final answer: rejected; the client may retry after this time."""

    request: int
    retry_after_ms: float
    reason: RejectionReason | None = None


@dataclass(slots=True)
class FailRequest:
    """Final answer: not served, without the promise that nothing ran."""

    request: int
    reason: RejectionReason | None = None


@dataclass(slots=True)
class MigrateConnection:
    """Ask the client to connect again, and close both sides."""

    request: int
    reason: TerminationReason = TerminationReason.MIGRATED


@dataclass(slots=True)
class CloseClientConnection:
    """Close the client's side in the way in which the backend's side ended."""

    request: int
    reason: TerminationReason


@dataclass(slots=True)
class SetTimer:
    """Return `TimerFired` with this timer after the delay; an earlier delay of the same timer is replaced."""

    delay_ms: float
    timer: object


@dataclass(slots=True)
class CancelTimer:
    """Cancel the timer, where it is set."""

    timer: object


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list at this address, from this version on; it replaces a watch at another address.

    renew: replace also an open watch at the same address, once the new one has delivered an update.
    """

    version: int
    address: Address | None = None
    renew: bool = False


@dataclass(slots=True)
class CheckHealth:
    """Request the backend's load report; one `HealthCheckCompleted` follows within this time."""

    backend: str
    address: Address
    timeout_ms: float


@dataclass(slots=True)
class CancelHealthCheck:
    """Cancel the health check of this backend, and send no further one on its connection."""

    backend: str


@dataclass(slots=True)
class BackendRemoved:
    """The backend was removed from the endpoint list: close its connections where the transport does not show that."""

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
