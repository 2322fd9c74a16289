"""What the parts of a controller share: its address, its clock, the committed state, and the effects of a step."""

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

NEVER_MS = -1e9  # a time before every time of the controller's clock
PEER_TIMEOUT_MS = 800.0  # a controller without a summary for this long is treated as failed
SUMMARY_INTERVAL_MS = 250.0
# After a controller joined or failed: until every relay is attached to another one, whose summary counts it.
ATTACHMENT_GRACE_MS = 3000.0


@dataclass(slots=True)
class ControllerContext:
    """State that every part of a controller reads.

    `now` and `started_at` are milliseconds of the controller's own monotonic clock. `identity` is that of the file of
    this controller's acceptor; it is empty where the controller does not vote.
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
        """Sends a message to the controller of this name."""
        self.reply(self.controllers[controller].sender, message)

    def reply(self, to: Sender, message: object) -> None:
        """Sends a message to the sender of another one."""
        self.effects.append(SendMessage(to, message))

    def log(self, text: str, *, rate_limited: bool = False, is_warning: bool = False) -> None:
        """Writes a line to the log."""
        self.effects.append(LogMessage(text, rate_limited, is_warning))
