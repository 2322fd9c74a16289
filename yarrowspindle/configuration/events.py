"""Events that agents and controllers handle."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from yarrowspindle.configuration.state import Step
from yarrowspindle.routing.address import Address


@dataclass(slots=True, frozen=True)
class Sender:
    """The process that sent a message.

    `incarnation` grows from one process to the next at an address. `sent_at` is the time of the message in
    milliseconds of the sender's own clock, so that the receiver notices messages that arrive out of order.
    """

    name: str
    address: Address
    incarnation: int = 0
    sent_at: int = 0


@dataclass(slots=True)
class MessageReceived:
    """A message arrived, complete and checked."""

    sender: Sender
    message: Any


@dataclass(slots=True)
class TimerFired:
    """The delay of the last `SetTimer` is over."""


@dataclass(slots=True)
class ChangeRequested:
    """An operator requests a change; the `ChangeAnswered` has the same ticket."""

    ticket: int
    step: Step


@dataclass(slots=True)
class SettingsRejected:
    """The relay could not apply a version and serves by the one before."""

    version: int
    reason: str


Event = MessageReceived | TimerFired | ChangeRequested | SettingsRejected
