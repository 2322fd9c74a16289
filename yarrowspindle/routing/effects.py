"""What the reducer asks for: effects, which the runtime and the fronts carry out in order. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.termination import TerminationReason


@dataclass(slots=True)
class OpenBackendConnection:
    """Open a connection to the execute node for this attempt."""

    request: int
    attempt: int
    backend: str
    address: Address
    within_ms: float


@dataclass(slots=True)
class ForwardRequest:
    """Send the job on the connection that has come up."""

    request: int
    attempt: int
    left_ms: float


@dataclass(slots=True)
class AbortAttempt:
    """Give the attempt up: end the connection to the execute node."""

    request: int
    attempt: int
    reason: TerminationReason | RejectionReason | None = None


@dataclass(slots=True)
class StartRelaying:
    """Pass the execute node's first answer back; from now on both sides flow."""

    request: int


@dataclass(slots=True)
class RejectRequest:
    """Final answer: not served, come again after this time."""

    request: int
    retry_after_ms: float
    reason: RejectionReason | None = None


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed."""

    request: int
    reason: RejectionReason | None = None


@dataclass(slots=True)
class MigrateConnection:
    """Tell the submitter to come again, and end both sides."""

    request: int
    reason: TerminationReason = TerminationReason.MIGRATED


@dataclass(slots=True)
class CloseClientConnection:
    """End the submitter's side as the execute node's side ended."""

    request: int
    reason: TerminationReason


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    timer: object


@dataclass(slots=True)
class CancelTimer:
    timer: object


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the machine list at this address, from this version on; a watch at another address is given up for it.

    renew: also where a watch is open there already; that one is kept until the new one has told something."""

    version: int
    address: Address | None = None
    renew: bool = False


@dataclass(slots=True)
class CheckHealth:
    """Ask the execute node for its load report; one `ProbeOver` answers it, within this time."""

    backend: str
    address: Address
    within_ms: float


@dataclass(slots=True)
class CancelHealthCheck:
    """Take back what is asked of this node, and ask nothing more on its connection."""

    backend: str


@dataclass(slots=True)
class BackendRemoved:
    """The machine list says that the node is gone; a wire on which that does not show ends what it held."""

    backend: str


@dataclass(slots=True)
class LogMessage:
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
