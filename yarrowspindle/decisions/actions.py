"""The actions that a balancer returns for an event, to be carried out in order. All times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from yarrowspindle.decisions.rejection import RejectionReason


@dataclass(slots=True)
class StartAttempt:
    """Order to start the request's next attempt; attempts are numbered from 0."""

    request: int
    backend: int
    timeout_ms: float  # 0: none, the attempt lasts until the client disconnects
    begin_ms: float = inf  # time until the attempt must begin; backends would run a later repeat again


@dataclass(slots=True)
class RejectRequest:
    """Final answer: the request was not served, and the client can retry safely."""

    request: int
    retry_after_ms: float = 0.0
    reason: RejectionReason | None = None


@dataclass(slots=True)
class FailRequest:
    """Final answer: the request was not served, but an attempt may have run."""

    request: int
    reason: RejectionReason | None = None


@dataclass(slots=True)
class CancelAttempt:
    """Order to abort an attempt in flight because its client has disconnected."""

    request: int
    attempt: int


@dataclass(slots=True)
class MigrateConnection:
    """Order to ask the client of an established connection to reconnect with a new request."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Order to deliver `TimerFired` with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    """Order to check a backend's health and load once; the result is one `HealthCheckCompleted`.

    Each health check costs the backend work.
    """

    backend: int


@dataclass(slots=True)
class WatchEndpoints:
    """Order to request the endpoint list from discovery.

    renew: also if an earlier request has not been answered yet.
    """

    on: bool = True
    renew: bool = False


@dataclass(slots=True)
class LogMessage:
    """Order to write a line to the log."""

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
