"""Debug log lines about the end of connections that the trace of requests does not cover."""

from __future__ import annotations

from enum import Enum, unique

from loguru import logger

from yarrowspindle.transport.line_connection import LineConnection

MS_PER_S = 1000.0


@unique
class IdleCloseReason(Enum):
    """Reason why the relay closes a client connection without a request. The value is the name in the log."""

    NO_FIRST_LINE = "no_first_line"
    SHORT_OF_DESCRIPTORS = "short_of_descriptors"
    SHUTDOWN = "shutdown"


def log_idle_close(side: LineConnection, reason: IdleCloseReason, idle_s: float) -> None:
    """Log the close of a connection without a request, with the client's address, since no request identifies it.

    Args:
        side: the client's connection.
        reason: why the relay closes it.
        idle_s: the time for which the client has sent nothing, in seconds.
    """
    logger.debug("idle client {} ended reason={} idle_ms={:.0f}", side.peer_address, reason.value, MS_PER_S * idle_s)


def log_incomplete_line(side: LineConnection, request: int, sender: str) -> None:
    """Log the line that the end of a connection left incomplete and that was not forwarded, if there is one.

    Args:
        side: the connection that has ended.
        request: the relay's number of its request; 0 if it had none.
        sender: the name of the peer that sent the line.
    """
    if not side.lines.at_boundary:
        logger.debug("number={} dropped an incomplete line of {} bytes from {}", request, len(side.lines.rest), sender)
