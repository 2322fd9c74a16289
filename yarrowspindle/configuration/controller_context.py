"""State that the components of a controller share: its address, its clock, the committed state, pending effects."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from yarrowspindle.configuration.committed_log import CommittedLog
from yarrowspindle.configuration.effects import Effect, LogMessage, SendMessage
from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.configuration.state import EntriesCheck

NEVER_MS = -1e9  # earlier than any time of the controller's clock
PEER_TIMEOUT_MS = 800.0  # a controller that sends no summary for this long is considered failed
SUMMARY_INTERVAL_MS = 250.0
# The time, after a controller joined or failed, within which every relay attaches to a live controller and is counted
# in its summary.
ATTACHMENT_GRACE_MS = 3000.0


@dataclass(slots=True)
class ControllerContext:
    """State that all components of a controller use.

    Attributes:
        own_address: This controller's entry of `controllers`.
        controllers: All controllers by name.
        check: Returns why relays cannot apply given entries.
        identity: The identity of the acceptor's file; empty if this controller does not vote.
        random: The random source for jitter.
        committed: The newest committed state and the steps that led to it.
        started_at: When this controller started, in milliseconds of its monotonic clock.
        now: The time of the current event, in milliseconds of the same clock.
        counts: Counters by their published names.
        effects: The effects of the current event.
    """

    own_address: ControllerAddress
    controllers: Mapping[str, ControllerAddress]
    check: EntriesCheck
    identity: str
    random: Random
    committed: CommittedLog
    started_at: float
    now: float
    counts: Counter[str] = field(default_factory=Counter)
    effects: list[Effect] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The name of this controller."""
        return self.own_address.name

    def send(self, controller: str, message: object) -> None:
        """Send a message to the controller with this name."""
        self.reply(self.controllers[controller].sender, message)

    def reply(self, to: Sender, message: object) -> None:
        """Send a message to a process, usually the sender of a received message."""
        self.effects.append(SendMessage(to, message))

    def log(self, text: str, *, rate_limited: bool = False, is_warning: bool = False) -> None:
        """Write a line to the log; `LogMessage` describes the flags."""
        self.effects.append(LogMessage(text, rate_limited, is_warning))
