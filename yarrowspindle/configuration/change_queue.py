"""Operators' changes that a controller has accepted: forwarded to the leader, and answered once they are settled."""

from __future__ import annotations

from dataclasses import dataclass

from yarrowspindle.configuration.change_proposals import MAX_QUEUED_ORDERS, ORDER_EXPIRY_MS, ChangeProposals
from yarrowspindle.configuration.controller_context import NEVER_MS, ControllerContext
from yarrowspindle.configuration.effects import ChangeAnswered
from yarrowspindle.configuration.events import ChangeRequested
from yarrowspindle.configuration.peer_controllers import PeerControllers
from yarrowspindle.configuration.state import (
    ChangeOrder,
    CommittedStep,
    Step,
    apply_step,
    entries_bounds_error,
    step_bounds_error,
)

ORDER_RESEND_INTERVAL_MS = 250.0
OWN_PROPOSAL_DELAY_MS = 1600.0  # an order that is not settled by then is proposed by the accepting controller as well
UNKNOWN_VERSION = -1


@dataclass(slots=True)
class PendingChange:
    """An operator's change that is not answered yet. Times are in milliseconds of the controller's clock.

    Attributes:
        ticket: Identifies the change in the answer.
        order: The order for the change.
        accepted_at: When the operator requested the change.
        known_version: The newest version known when the order was first forwarded, UNKNOWN_VERSION before that.
        sent_at: When the order was last sent to a leader.
        sent_to: The leader to which it was last sent.
    """

    ticket: int
    order: ChangeOrder
    accepted_at: float
    known_version: int = UNKNOWN_VERSION
    sent_at: float = NEVER_MS
    sent_to: str = ""


class ChangeQueue:
    """The pending changes of one controller, in the order of their numbers.

    Orders are numbered within an incarnation, so that an order that is delivered several times is settled only once.
    """

    def __init__(
        self, context: ControllerContext, peers: PeerControllers, proposals: ChangeProposals, incarnation: int
    ) -> None:
        self.context, self.peers, self.proposals = context, peers, proposals
        self.incarnation, self.last_number = incarnation, 0
        self.pending: list[PendingChange] = []

    def on_change_requested(self, event: ChangeRequested) -> None:
        """Accept an operator's change, or reject it with the reason."""
        reason = self._rejection_reason(event.step)
        if reason:
            self._answer(event.ticket, 0, reason)
            return
        if self._settled_incarnation() == self.incarnation and not self.last_number:
            # Another process of this controller has used this incarnation; its numbers must not be used again.
            self._renumber(self.incarnation + 1)
        self.last_number += 1
        order = ChangeOrder(self.context.name, self.incarnation, self.last_number, event.step)
        self.pending.append(PendingChange(event.ticket, order, self.context.now))
        self.forward_pending()

    def forward_pending(self) -> None:
        """Send the pending orders to the leader; propose those that it has not settled in time."""
        self._expire()
        if not self.context.committed.version and self.peers.knows_committed_version:
            return  # wait until the committed state shows which orders of earlier incarnations are settled
        for pending in self.pending:
            self._forward(pending)
        if self.pending:
            self.proposals.propose()

    def on_state_committed(self) -> None:
        """Answer the changes that a newer state has settled."""
        self._answer_settled()
        incarnation = self._settled_incarnation()
        if incarnation > self.incarnation:
            # The clock was set back: an earlier process of this controller used a higher incarnation.
            self._renumber(incarnation + 1)

    # --- forwarding -----------------------------------------------------------------------------

    def _rejection_reason(self, step: Step) -> str:
        entries = apply_step(self.context.committed.state.entries, step)
        reason = step_bounds_error(step) or entries_bounds_error(entries) or self.context.check(entries)
        if not reason and len(self.pending) >= MAX_QUEUED_ORDERS:
            return f"{MAX_QUEUED_ORDERS} changes are pending already, which is the maximum; try again later"
        return reason

    def _forward(self, pending: PendingChange) -> None:
        now = self.context.now
        if pending.known_version == UNKNOWN_VERSION:
            pending.known_version = self.context.committed.version
        is_leader = self.peers.is_leader
        if is_leader or now > pending.accepted_at + OWN_PROPOSAL_DELAY_MS:
            self.proposals.enqueue(pending.order)
        leader = self.peers.leader
        if not is_leader and (now >= pending.sent_at + ORDER_RESEND_INTERVAL_MS or pending.sent_to != leader):
            pending.sent_at, pending.sent_to = now, leader
            self.context.send(leader, pending.order)

    def _expire(self) -> None:
        """Abandon all pending changes if the first has expired.

        Later ones cannot be settled before the first, nor are they renumbered: an order that was sent under two numbers
        could be settled twice. Further changes use a new incarnation.
        """
        if not self.pending or self.context.now <= self.pending[0].accepted_at + ORDER_EXPIRY_MS:
            return
        failure = self.proposals.last_failure or "no answer"
        reason = (
            f"no majority of the voters has committed the change within {ORDER_EXPIRY_MS / 1000.0:g} s ({failure}); "
            "it may still be committed, see `show`"
        )
        for pending in self.pending:
            self._answer(pending.ticket, 0, reason)
        self.pending.clear()
        self._renumber(self.incarnation + 1)

    def _renumber(self, incarnation: int) -> None:
        """Use this incarnation from now on, and number the pending orders again in it, starting with 1."""
        self.incarnation, self.last_number = incarnation, 0
        for pending in self.pending:
            self.last_number += 1
            pending.order = ChangeOrder(self.context.name, incarnation, self.last_number, pending.order.step)
            pending.sent_at = NEVER_MS

    # --- answers --------------------------------------------------------------------------------

    def _settled_incarnation(self) -> int:
        incarnation, _ = self.context.committed.state.last_settled.get(self.context.name, (0, 0))
        return incarnation

    def _answer_settled(self) -> None:
        """Answer the changes whose orders are settled.

        If an order of a later incarnation is settled, those of earlier incarnations count as settled, too, although
        they may have been skipped. An order that was certainly skipped remains pending and is renumbered. If the recent
        steps no longer show whether it was skipped, the answer is that the result is not known.
        """
        state = self.context.committed.state
        own_steps = {
            (recent.incarnation, recent.number): recent
            for recent in state.recent_steps
            if recent.accepted_by == self.context.name
        }
        for pending in [pending for pending in self.pending if state.is_settled(pending.order)]:
            step = own_steps.get((pending.order.incarnation, pending.order.number))
            if step is None and self._is_overtaken(pending):
                continue
            self.pending.remove(pending)
            self._answer_from_step(pending, step)

    def _is_overtaken(self, pending: PendingChange) -> bool:
        """Return whether a pending change's order was certainly skipped: no version settled it, and none will.

        `recent_steps`, the newest committed versions, must contain none for this order. True if an order of a later
        incarnation (series of order numbers) of this controller is settled, which rules out this one, and it was not
        settled before that: it was never sent to a leader nor proposed here, so no controller could commit it, or
        `recent_steps` contain all versions since it first was. False if the order was settled or may have been.
        """
        if pending.order.incarnation >= self._settled_incarnation():
            return False
        state = self.context.committed.state
        oldest_version = state.recent_steps[0].version if state.recent_steps else state.version + 1
        return pending.known_version == UNKNOWN_VERSION or oldest_version <= pending.known_version + 1

    def _answer_from_step(self, pending: PendingChange, step: CommittedStep | None) -> None:
        if step is None:
            self._answer(
                pending.ticket,
                0,
                "the result is no longer known: the change may have been committed or rejected, see `show`",
            )
        else:
            self._answer(pending.ticket, 0 if step.rejection_reason else step.version, step.rejection_reason)

    def _answer(self, ticket: int, version: int, reason: str) -> None:
        self.context.effects.append(ChangeAnswered(ticket, version, reason))
