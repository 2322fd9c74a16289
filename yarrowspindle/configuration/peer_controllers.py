"""The other controllers as this one sees them: which are alive, which one leads, and their latest summaries."""

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

STATE_UPDATE_INTERVAL_MS = 400.0  # minimum time between two updates to a controller that lags
# After this many summaries in a row with an old version, controllers other than the leader send the state as well.
MAX_LAGGING_SUMMARIES = 3


@dataclass(slots=True)
class PeerController:
    """Another controller.

    Attributes:
        address: Its name and address.
        summary: The newest summary received from it.
        last_received_at: When that summary was received, in milliseconds of this controller's clock.
        incarnation: The peer's incarnation when it sent the summary.
        summary_sent_at: When the peer sent the summary, in milliseconds of the peer's clock in that incarnation.
        state_sent_at: When this controller last sent it the state, in milliseconds of this controller's clock.
        lagging_summaries: The number of summaries in a row with a version older than the committed one.
    """

    address: ControllerAddress
    summary: RelaySummary | None = None
    last_received_at: float = NEVER_MS
    incarnation: int = 0
    summary_sent_at: int = -1
    state_sent_at: float = NEVER_MS
    lagging_summaries: int = 0

    def is_older_than(self, sender: Sender) -> bool:
        """Return whether the sender sent its message after the newest summary received."""
        return (sender.incarnation, sender.sent_at) > (self.incarnation, self.summary_sent_at)


class PeerControllers:
    """The other controllers by name.

    Attributes:
        context: The shared state of the controller.
        by_name: The other controllers by name.
        live_incarnations: The incarnations of those that were alive at the last `refresh`, by name.
        attachments_complete_at: When the grace period ends, in milliseconds of this controller's clock. From then on
            every live relay is assumed to be counted in a summary of a live controller.
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
        """Whether this controller leads, that is, proposes changes: its name sorts first among the live controllers.

        Controllers need not agree on the leader: if two of them propose, they only delay each other.
        """
        return all(self.context.name < peer.address.name for peer in self._live())

    @property
    def leader(self) -> str:
        """The other live controller whose name sorts first; this controller if no other is alive."""
        return min((peer.address.name for peer in self._live()), default=self.context.name)

    @property
    def knows_committed_version(self) -> bool:
        """Whether a peer has reported that a version is committed."""
        return any(peer.summary and peer.summary.version for peer in self.by_name.values())

    def restart_attachment_grace(self, now: float) -> None:
        """Restart the grace period: a controller joined, failed or stalled, so relays may be reattaching."""
        self.attachments_complete_at = now + ATTACHMENT_GRACE_MS

    def refresh(self) -> None:
        """Update the set of live controllers; restart the grace period if it has changed."""
        live = {peer.address.name: peer.incarnation for peer in self._live()}
        if live != self.live_incarnations:
            self.live_incarnations = live
            self.restart_attachment_grace(self.context.now)

    def on_summary(self, sender: Sender, summary: RelaySummary) -> None:
        """Record a peer's summary, and send the peer the committed state if it lags."""
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
        """Send the committed state to all peers immediately, regardless of STATE_UPDATE_INTERVAL_MS."""
        for peer in self.by_name.values():
            peer.state_sent_at = NEVER_MS
            self._send_state(peer)

    def broadcast(self, message: object) -> None:
        """Send a message to all peers."""
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
