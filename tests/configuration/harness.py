"""Harnesses that run an agent or a controller without I/O and record its effects; builders of states and messages."""

from __future__ import annotations

from typing import Any

from yarrowspindle.configuration.agent import Agent
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.controller_context import ATTACHMENT_GRACE_MS
from yarrowspindle.configuration.effects import ApplySettings, AskAcceptor, ChangeAnswered, LogMessage, SendMessage
from yarrowspindle.configuration.events import Event, MessageReceived, Sender, TimerFired
from yarrowspindle.configuration.messages import Delta, Heartbeat, RelaySummary, Snapshot
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.configuration.state import ChangeOrder, ControlState, Entries, Step, apply_step, content_digest
from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT
from yarrowspindle.lab.model.configuration_cluster import check_entries

CONTROLLERS = tuple(ControllerAddress(f"c{n:02d}", (f"10.0.0.{n + 1}", 7950), voter=n == 0) for n in range(3))
INITIAL_STATE = ControlState({"c00": "file"})
RELAY = Sender("r0", ("10.0.1.1", 7950), 1, 1)
TICK_MS = 100.0


def require_settled(state: ControlState | None) -> ControlState:
    """Return the state that resulted from settling an order; the order must have been the next."""
    assert state is not None
    return state


def committed(
    *steps: Step, state: ControlState = INITIAL_STATE, accepted_by: str = "c01", incarnation: int = 1
) -> ControlState:
    """Return the state after these steps, settled as orders of one controller."""
    last_incarnation, last_number = state.last_settled.get(accepted_by, (0, 0))
    first_number = last_number + 1 if last_incarnation == incarnation else 1
    for number, step in enumerate(steps, first_number):
        state = require_settled(state.settle(ChangeOrder(accepted_by, incarnation, number, step), check_entries))
    return state


def snapshot(version: int, entries: Entries) -> Snapshot:
    """Return a snapshot of a version."""
    return Snapshot(version, content_digest(version, entries), dict(entries))


def delta(base: int, before: Entries, *steps: Step) -> Delta:
    """Return a delta with these steps after version `base`, which has the entries `before`."""
    entries = before
    for step in steps:
        entries = apply_step(entries, step)
    version = base + len(steps)
    return Delta(base, version, content_digest(version, entries), [dict(step) for step in steps])


def heartbeat(known_version: int = 0, entries: Entries | None = None, **fields: Any) -> Heartbeat:
    """Return a heartbeat of an attached relay, which by default applies the version that it knows."""
    digest = content_digest(known_version, entries or {})
    return Heartbeat(known_version, digest, fields.pop("applied_version", known_version), attached=True, **fields)


class RelayHarness:
    """An agent with its clock, and the effects of its last event."""

    def __init__(self, version: int = 0, entries: Entries | None = None, controllers: int = 3) -> None:
        self.agent = Agent(list(CONTROLLERS[:controllers]), check_entries, 1, 0.0, version, entries)
        self.now, self.sent_at = 0.0, 0
        self.effects: list[Any] = self.agent.take_effects()

    def post(self, event: Event, elapsed_ms: float = 1.0) -> list[Any]:
        """Advance the clock, pass an event to the agent, and return the effects."""
        self.now += elapsed_ms
        self.effects = self.agent.step(self.now, event)
        return self.effects

    def receive(
        self, message: object, controller: ControllerAddress = CONTROLLERS[0], elapsed_ms: float = 1.0
    ) -> list[Any]:
        """Pass a controller's message to the agent and return the effects."""
        self.sent_at += 1
        sender = Sender(controller.name, controller.address, 1, self.sent_at)
        return self.post(MessageReceived(sender, message), elapsed_ms)

    def applied(self) -> list[tuple[int, Entries]]:
        """Return the versions and entries that are to be applied."""
        return [(e.version, e.entries) for e in self.effects if isinstance(e, ApplySettings)]

    def heartbeats(self) -> list[Heartbeat]:
        """Return the heartbeats that are sent."""
        return [e.message for e in self.effects if isinstance(e, SendMessage) and isinstance(e.message, Heartbeat)]

    def log_lines(self) -> list[str]:
        """Return the texts of the log messages."""
        return [e.text for e in self.effects if isinstance(e, LogMessage)]


class ControllerHarness:
    """A controller with its acceptor and its clock, and the effects of its last event."""

    def __init__(
        self, name: str = "c00", incarnation: int = 1, seed: int = 1, stored: AcceptorState[ControlState] | None = None
    ) -> None:
        address = next(entry for entry in CONTROLLERS if entry.name == name)
        self.stored = stored or AcceptorState("file", NO_BALLOT, NO_BALLOT, INITIAL_STATE)
        self.own_sender = Sender(name, address.address, incarnation)
        self.core = Controller(
            address,
            CONTROLLERS,
            INITIAL_STATE,
            self.stored.identity if address.voter else "",
            self.stored.state,
            incarnation,
            check_entries,
            seed,
            0.0,
        )
        self.core.take_effects()
        self.acceptor = Acceptor(self.stored, lambda stored: None)
        self.now, self.sent_at = 0.0, 0
        self.effects: list[Any] = []

    def post(self, event: Event, elapsed_ms: float = 1.0) -> list[Any]:
        """Advance the clock, pass an event to the controller, and return the effects.

        Messages to the controller itself and requests to its acceptor are delivered until there are none.
        """
        self.now += elapsed_ms
        self.effects, events = [], [event]
        while events:
            for effect in self.core.step(self.now, events.pop(0)):
                if isinstance(effect, SendMessage) and effect.to.name == self.own_sender.name:
                    events.append(MessageReceived(self.own_sender, effect.message))
                elif isinstance(effect, AskAcceptor):
                    events.append(MessageReceived(self.own_sender, self.acceptor.on_message(effect.message)))
                else:
                    self.effects.append(effect)
        return self.effects

    def receive(self, sender: Sender, message: object, elapsed_ms: float = 1.0) -> list[Any]:
        """Pass a message of another process to the controller and return the effects."""
        self.sent_at += 1
        numbered = Sender(sender.name, sender.address, sender.incarnation, self.sent_at)
        return self.post(MessageReceived(numbered, message), elapsed_ms)

    def answers(self) -> list[tuple[int, int, str]]:
        """Return the ticket, version and reason of each answer to an operator."""
        return [(e.ticket, e.version, e.reason) for e in self.effects if isinstance(e, ChangeAnswered)]

    def sent(self, kind: type) -> list[Any]:
        """Return the messages of this type that are sent."""
        return [e.message for e in self.effects if isinstance(e, SendMessage) and isinstance(e.message, kind)]

    def log_lines(self) -> list[str]:
        """Return the texts of the log messages."""
        return [e.text for e in self.effects if isinstance(e, LogMessage)]


def steady_controller() -> ControllerHarness:
    """Return a controller whose grace period has ended, with one live peer; each of the two has one attached relay."""
    controller, c01 = ControllerHarness(), Sender("c01", CONTROLLERS[1].address, 1)
    for _ in range(int(ATTACHMENT_GRACE_MS / TICK_MS) + 5):
        controller.receive(RELAY, heartbeat(), 0.0)
        controller.receive(c01, RelaySummary(0, 1, [(0, 1)], []), 0.0)
        controller.post(TimerFired(), TICK_MS)
    return controller
