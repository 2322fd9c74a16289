"""Effects that agents and controllers ask their process to carry out, in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.state import ControlState, Entries


@dataclass(slots=True)
class SendMessage:
    """Send a message; it may be lost."""

    to: Sender
    message: Any


@dataclass(slots=True)
class SetTimer:
    """Report `TimerFired` after this delay."""

    delay_ms: float


@dataclass(slots=True)
class ApplySettings:
    """Serve by these entries from now on; without entries, by the relay's own file.

    `changed_keys` are those that differ from the entries that were applied before.
    """

    version: int
    entries: Entries
    changed_keys: frozenset[str]


@dataclass(slots=True)
class Persist:
    """Store this version for a restart."""

    version: int
    entries: Entries


@dataclass(slots=True)
class AskAcceptor:
    """Pass a message to the acceptor of this controller, and its response to the sender."""

    sender: Sender
    message: Any


@dataclass(slots=True)
class StateCommitted:
    """A controller took over a newer committed state."""

    state: ControlState


@dataclass(slots=True)
class ChangeAnswered:
    """The answer to an operator's change.

    `version` is the one that the change is committed under; it is 0 where the change was rejected or its result is not
    known, for `reason`.
    """

    ticket: int
    version: int
    reason: str = ""


@dataclass(slots=True)
class LogMessage:
    """A line for the log.

    `rate_limited` marks lines that unknown senders can cause; `is_warning` those that operators have to act on.
    """

    text: str
    rate_limited: bool = False
    is_warning: bool = False


Effect = SendMessage | SetTimer | ApplySettings | Persist | AskAcceptor | StateCommitted | ChangeAnswered | LogMessage
