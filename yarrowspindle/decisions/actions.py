"""What a balancer asks for: the actions that each event returns, to be carried out in order.

All times are milliseconds, all loads are milliseconds of standard-core work asked for in each second. Nothing here
decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from yarrowspindle.decisions.rejection import RejectionReason


@dataclass(slots=True)
class StartAttempt:
    """Start the request's next attempt; attempts count from 0 in the order of their sends."""

    request: int
    backend: int
    timeout_ms: float  # 0: until the client gives up
    begin_ms: float = inf  # a repeat may not begin later than this from now: it would not be known as one any more


@dataclass(slots=True)
class RejectRequest:
    """Final answer: not served, and trying again does no harm."""

    request: int
    retry_after_ms: float = 0.0
    reason: RejectionReason | None = None


@dataclass(slots=True)
class FailRequest:
    """Final answer: not served, with no promise on whether it ran."""

    request: int
    reason: RejectionReason | None = None


@dataclass(slots=True)
class CancelAttempt:
    request: int
    attempt: int


@dataclass(slots=True)
class MigrateConnection:
    """End an established connection politely; its client comes again as a new request."""

    request: int


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    """Ask a server for its load report; one `Probed` answers it. Each costs the server work and has a price."""

    backend: int


@dataclass(slots=True)
class WatchEndpoints:
    on: bool = True


@dataclass(slots=True)
class LogMessage:
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
