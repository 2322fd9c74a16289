"""The actions that a balancer returns for an event, to be carried out in order. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from yarrowspindle.decisions.rejection import RejectionReason


@dataclass(slots=True)
class StartAttempt:
    """Start the request's next attempt; attempts are numbered from 0."""

    request: int
    backend: int
    timeout_ms: float  # 0: until the client gives up
    begin_ms: float = inf  # from now: a later attempt would not be recognised as a repeat any more


@dataclass(slots=True)
class RejectRequest:
    """Final answer: not served, and a retry by the client is harmless."""

    request: int
    retry_after_ms: float = 0.0
    reason: RejectionReason | None = None


@dataclass(slots=True)
class FailRequest:
    """Final answer: not served, without the promise that nothing ran."""

    request: int
    reason: RejectionReason | None = None


@dataclass(slots=True)
class CancelAttempt:
    """Abort an attempt that is in flight, since its client has disconnected."""

    request: int
    attempt: int


@dataclass(slots=True)
class MigrateConnection:
    """Ask the client of an established connection to connect again, as a new request."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired` with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    """Check a backend's health and load; one `HealthCheckCompleted` answers it. Each costs the backend work."""

    backend: int


@dataclass(slots=True)
class WatchEndpoints:
    """Ask discovery for the endpoint list."""

    on: bool = True


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | MigrateConnection
    | SetTimer
    | CheckHealth
    | WatchEndpoints
    | LogMessage
)
