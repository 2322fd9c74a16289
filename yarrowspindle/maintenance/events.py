"""Events that a relay's coordinator handles, and effects that it returns. Times are in milliseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from yarrowspindle.consensus.messages import Accept, Prepare
from yarrowspindle.maintenance.commands import OperatorCommand
from yarrowspindle.maintenance.state import BackendObservation, MaintenanceState


@dataclass(slots=True)
class MessageReceived:
    """Event: a message of `consensus.messages` or `maintenance.messages` was received from this relay."""

    source: str
    message: Any


@dataclass(slots=True)
class TimerFired:
    """Event: the timer of a `SetTimer` has expired."""

    timer: object


@dataclass(slots=True)
class FleetObserved:
    """Event: this relay observed its own connections, the endpoint list and the members.

    Attributes:
        used_backends: backends to which this relay has connections or attempts in flight.
        backends: observations of the listed backends, by name.
        members: names of the reachable relays, including this one.
        fault: why no backend should be evacuated now; empty if there is no fault.
    """

    used_backends: frozenset[str]
    backends: Mapping[str, BackendObservation]
    members: tuple[str, ...]
    fault: str = ""


Event = MessageReceived | TimerFired | FleetObserved | OperatorCommand


@dataclass(slots=True)
class SendMessage:
    """Effect: send the message to the relay of this name."""

    destination: str
    message: Any


@dataclass(slots=True)
class SetTimer:
    """Effect: deliver a `TimerFired` event after the delay."""

    delay_ms: float
    timer: object


@dataclass(slots=True)
class StateCommitted:
    """Effect: carry out the evacuations of a committed state, which this relay has adopted."""

    state: MaintenanceState


@dataclass(slots=True)
class LogMessage:
    """Effect: write a line to the log."""

    text: str


@dataclass(slots=True)
class AskAcceptor:
    """Effect: pass a message to this relay's acceptor and its response to `source`; no response if storing fails."""

    source: str
    message: Prepare | Accept[MaintenanceState]


Effect = SendMessage | SetTimer | StateCommitted | AskAcceptor | LogMessage
