"""Events that agents and controllers handle."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from yarrowspindle.configuration.state import Step
from yarrowspindle.routing.address import Address


@dataclass(slots=True, frozen=True)
class Sender:
    """The process that sent a message; also used as the destination of a message, with name and address only.

    Attributes:
        name: The name of the process.
        address: The address at which others reach the process.
        incarnation: A number that is higher for each new process at this address.
        sent_at: When the message was sent, in milliseconds of the sender's clock. Together with `incarnation` it shows
            which of two messages is the newer one.
    """

    name: str
    address: Address
    incarnation: int = 0
    sent_at: int = 0


@dataclass(slots=True)
class MessageReceived:
    """A complete and valid message was received."""

    sender: Sender
    message: Any


@dataclass(slots=True)
class TimerFired:
    """The delay of the last `SetTimer` has elapsed."""


@dataclass(slots=True)
class ChangeRequested:
    """An operator requests a change; the `ChangeAnswered` has the same ticket."""

    ticket: int
    step: Step


@dataclass(slots=True)
class SettingsRejected:
    """The relay's process could not apply a version, and continues with the version applied before."""

    version: int
    reason: str


Event = MessageReceived | TimerFired | ChangeRequested | SettingsRejected
