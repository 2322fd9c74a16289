"""What a relay's coordinator is notified of, and the effects that it asks for. Times are in milliseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from yarrowspindle.consensus.messages import Accept, Prepare
from yarrowspindle.maintenance.commands import OperatorCommand
from yarrowspindle.maintenance.state import BackendObservation, MaintenanceState


@dataclass(slots=True)
class MessageReceived:
    """Event: a message of the register or of `messages` was received."""

    source: str
    message: Any


@dataclass(slots=True)
class TimerFired:
    """Event: the timer of a `SetTimer` has expired."""

    timer: object


@dataclass(slots=True)
class FleetObserved:
    """Event: what this relay knows of itself, the endpoint list and the members.

    used_backends: where it has connections or attempts in progress. backends: the endpoint list. members: names of the
    reachable relays, this one included. fault: why no backend should leave at the moment; empty if none.
    """

    used_backends: frozenset[str]
    backends: Mapping[str, BackendObservation]
    members: tuple[str, ...]
    fault: str = ""


Event = MessageReceived | TimerFired | FleetObserved | OperatorCommand


@dataclass(slots=True)
class SendMessage:
    """Effect: the message is to be sent to the relay of this name."""

    destination: str
    message: Any


@dataclass(slots=True)
class SetTimer:
    """Effect: a `TimerFired` is due after the delay."""

    delay_ms: float
    timer: object


@dataclass(slots=True)
class StateCommitted:
    """Effect: a committed state was adopted; from now on its evacuations are carried out."""

    state: MaintenanceState


@dataclass(slots=True)
class LogMessage:
    """Effect: a line for the log."""

    text: str


@dataclass(slots=True)
class AskAcceptor:
    """Effect: a message to this relay's acceptor. Its answer goes to the source; none does where storing fails."""

    source: str
    message: Prepare | Accept[MaintenanceState]


Effect = SendMessage | SetTimer | StateCommitted | AskAcceptor | LogMessage
