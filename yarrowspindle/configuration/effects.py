"""Effects that agents and controllers return; their process carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.state import ControlState, Entries


@dataclass(slots=True)
class SendMessage:
    """Send a message to a process. Delivery is not guaranteed."""

    to: Sender
    message: Any


@dataclass(slots=True)
class SetTimer:
    """Pass `TimerFired` to the agent or controller after this delay."""

    delay_ms: float


@dataclass(slots=True)
class ApplySettings:
    """Apply these entries; if there are none, apply the relay's own configuration file.

    `changed_keys` are the keys whose values differ from the entries that were applied before.
    """

    version: int
    entries: Entries
    changed_keys: frozenset[str]


@dataclass(slots=True)
class Persist:
    """Store this version, to be applied after a restart."""

    version: int
    entries: Entries


@dataclass(slots=True)
class AskAcceptor:
    """Pass a message to the acceptor of this controller, and send its response to the sender."""

    sender: Sender
    message: Any


@dataclass(slots=True)
class StateCommitted:
    """A controller has adopted a newer committed state."""

    state: ControlState


@dataclass(slots=True)
class ChangeAnswered:
    """The answer to an operator's change.

    Attributes:
        ticket: The ticket of the `ChangeRequested`.
        version: The version that the change created; 0 if it was rejected or its result is not known.
        reason: Why the change was rejected or its result is not known.
    """

    ticket: int
    version: int
    reason: str = ""


@dataclass(slots=True)
class LogMessage:
    """A line for the log.

    `rate_limited` marks lines that remote processes can cause in any number, `is_warning` lines on which an operator
    has to act.
    """

    text: str
    rate_limited: bool = False
    is_warning: bool = False


Effect = SendMessage | SetTimer | ApplySettings | Persist | AskAcceptor | StateCommitted | ChangeAnswered | LogMessage
