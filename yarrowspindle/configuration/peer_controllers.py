"""The other controllers as this one sees them: which are alive, which one leads, and what they last summarized."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from yarrowspindle.configuration.controller_context import (
    ATTACHMENT_GRACE_MS,
    NEVER_MS,
    PEER_TIMEOUT_MS,
    ControllerContext,
)
from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.messages import RelaySummary, StateUpdate
from yarrowspindle.configuration.settings import ControllerAddress

STATE_UPDATE_INTERVAL_MS = 400.0  # between two updates to a controller that lags
MAX_LAGGING_SUMMARIES = 3  # in a row, until a controller that does not lead sends the state


@dataclass(slots=True)
class PeerController:
    """Another controller.

    `last_received_at` and `state_sent_at` are times of this controller's clock, `summary_sent_at` is one of the
    peer's, in its `incarnation`. `lagging_summaries` counts summaries in a row with an older version than is committed.
    """

    address: ControllerAddress
    summary: RelaySummary | None = None
    last_received_at: float = NEVER_MS
    incarnation: int = 0
    summary_sent_at: int = -1
    state_sent_at: float = NEVER_MS
    lagging_summaries: int = 0

    def is_older_than(self, sender: Sender) -> bool:
        """Whether a message was sent after the summary that is known."""
        return (sender.incarnation, sender.sent_at) > (self.incarnation, self.summary_sent_at)


class PeerControllers:
    """The other controllers by name.

    From `attachments_complete_at` on, every relay is attached to a controller whose summaries are received.
    """

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.by_name = {
            address.name: PeerController(address)
            for address in context.controllers.values()
            if address is not context.own_address
        }
        self.live_incarnations: dict[str, int] = {}
        self.attachments_complete_at = context.now + ATTACHMENT_GRACE_MS

    def __contains__(self, name: str) -> bool:
        return name in self.by_name

    @property
    def is_leader(self) -> bool:
        """Whether this controller proposes: it is the first by name of those that are alive.

        Controllers need not agree on the leader: two that propose only delay each other.
        """
        return all(self.context.name < peer.address.name for peer in self._live())

    @property
    def leader(self) -> str:
        """The first by name of the other controllers that are alive; this one where there is none."""
        return min((peer.address.name for peer in self._live()), default=self.context.name)

    @property
    def knows_committed_version(self) -> bool:
        """Whether a peer has reported a committed version."""
        return any(peer.summary and peer.summary.version for peer in self.by_name.values())

    def restart_attachment_grace(self, now: float) -> None:
        """A controller joined, failed or stood still: relays may be on their way to another one."""
        self.attachments_complete_at = now + ATTACHMENT_GRACE_MS

    def refresh(self) -> None:
        """Compares the controllers that are alive with those at the last call."""
        live = {peer.address.name: peer.incarnation for peer in self._live()}
        if live != self.live_incarnations:
            self.live_incarnations = live
            self.restart_attachment_grace(self.context.now)

    def on_summary(self, sender: Sender, summary: RelaySummary) -> None:
        """Stores a peer's summary, and sends it the state where it lags."""
        peer = self.by_name.get(sender.name)
        if peer is None or not peer.is_older_than(sender):
            return
        if sender.incarnation != peer.incarnation:
            self.restart_attachment_grace(self.context.now)
        peer.summary = summary
        peer.last_received_at = self.context.now
        peer.incarnation = sender.incarnation
        peer.summary_sent_at = sender.sent_at
        peer.lagging_summaries = peer.lagging_summaries + 1 if summary.version < self.context.committed.version else 0
        if peer.lagging_summaries >= (1 if self.is_leader else MAX_LAGGING_SUMMARIES):
            self._send_state(peer)

    def broadcast_state(self) -> None:
        """Sends the committed state to all peers at once."""
        for peer in self.by_name.values():
            peer.state_sent_at = NEVER_MS
            self._send_state(peer)

    def broadcast(self, message: object) -> None:
        """Sends a message to all peers."""
        for name in self.by_name:
            self.context.send(name, message)

    def _live(self) -> Iterator[PeerController]:
        for peer in self.by_name.values():
            if self.context.now <= peer.last_received_at + PEER_TIMEOUT_MS:
                yield peer

    def _send_state(self, peer: PeerController) -> None:
        if self.context.now >= peer.state_sent_at + STATE_UPDATE_INTERVAL_MS:
            peer.state_sent_at = self.context.now
            self.context.send(peer.address.name, StateUpdate(self.context.committed.state))
