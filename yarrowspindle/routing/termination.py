"""The reasons why attempts and established connections end, and the outcome that the balancer gets for each."""

from __future__ import annotations

from enum import Enum, unique

from yarrowspindle.decisions.events import Outcome


@unique
class TerminationReason(Enum):
    """The reason why an attempt or an established connection ended; the value is a human-readable description."""

    COMPLETED = "the backend completed the connection"
    BACKEND_DRAINING = "the backend is draining and asked the client to connect again"
    REJECTED = "the backend rejected the request: at capacity, draining, or no time left"
    BACKEND_ERROR = "the backend answered with an error"
    PROTOCOL_ERROR = "the backend's answer violates the protocol"
    CONNECT_FAILED = "the connection to the backend failed before the whole request was sent"
    CONNECTION_RESET = "the connection to the backend was reset or closed"
    UNRESPONSIVE = "the backend did not respond in time"
    BACKEND_REMOVED = "the backend was removed from the endpoint list"
    IDLE_EXPIRED = "neither side sent data within the idle timeout"
    DEADLINE_EXCEEDED = "the request's deadline was exceeded"
    EVENT_LOOP_STALLED = "the deadline passed while this process was stalled, so the backend's part is unknown"
    CLIENT_DISCONNECTED = "the client disconnected"
    MIGRATED = "the relay asked the client to connect again"
    NOT_SENT = "nothing was sent: the backend is draining or removed, or no time was left"


OUTCOMES: dict[TerminationReason, Outcome] = {
    TerminationReason.COMPLETED: Outcome.OK,
    TerminationReason.BACKEND_DRAINING: Outcome.CANCELLED,
    TerminationReason.REJECTED: Outcome.REJECTED,
    TerminationReason.BACKEND_ERROR: Outcome.ERROR,
    TerminationReason.PROTOCOL_ERROR: Outcome.ERROR,
    TerminationReason.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    TerminationReason.CONNECTION_RESET: Outcome.RESET,
    TerminationReason.UNRESPONSIVE: Outcome.RESET,
    TerminationReason.BACKEND_REMOVED: Outcome.RESET,
    TerminationReason.IDLE_EXPIRED: Outcome.OK,
    TerminationReason.DEADLINE_EXCEEDED: Outcome.TIMEOUT,
    TerminationReason.EVENT_LOOP_STALLED: Outcome.CANCELLED,
    TerminationReason.CLIENT_DISCONNECTED: Outcome.CANCELLED,
    TerminationReason.MIGRATED: Outcome.CANCELLED,
    TerminationReason.NOT_SENT: Outcome.NOT_SENT,
}
