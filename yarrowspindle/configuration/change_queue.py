"""Operators' changes that a controller accepted: passed to the leader, and answered once they are settled."""

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
OWN_PROPOSAL_DELAY_MS = 1600.0  # without a result from the leader, the accepting controller proposes an order itself
UNKNOWN_VERSION = -1


@dataclass(slots=True)
class PendingChange:
    """An operator's change without an answer. Times are milliseconds of the controller's clock.

    `known_version` is the newest version that was known when the order was first passed on.
    """

    ticket: int
    order: ChangeOrder
    accepted_at: float
    known_version: int = UNKNOWN_VERSION
    sent_at: float = NEVER_MS
    sent_to: str = ""


class ChangeQueue:
    """The pending changes of one controller, in their turn.

    Orders are numbered within an incarnation, so that no order is settled twice, whatever is delivered again.
    """

    def __init__(
        self, context: ControllerContext, peers: PeerControllers, proposals: ChangeProposals, incarnation: int
    ) -> None:
        self.context, self.peers, self.proposals = context, peers, proposals
        self.incarnation, self.last_number = incarnation, 0
        self.pending: list[PendingChange] = []

    def on_change_requested(self, event: ChangeRequested) -> None:
        """Accepts an operator's change, or rejects it with the reason."""
        reason = self._rejection_reason(event.step)
        if reason:
            self._answer(event.ticket, 0, reason)
            return
        if self._settled_incarnation() == self.incarnation and not self.last_number:
            self._renumber(self.incarnation + 1)
        self.last_number += 1
        order = ChangeOrder(self.context.name, self.incarnation, self.last_number, event.step)
        self.pending.append(PendingChange(event.ticket, order, self.context.now))
        self.forward_pending()

    def forward_pending(self) -> None:
        """Sends the pending orders to the leader, and proposes those that it does not get settled."""
        self._expire()
        if not self.context.committed.version and self.peers.knows_committed_version:
            return  # it has not yet read which orders of its earlier incarnations are settled
        for pending in self.pending:
            self._forward(pending)
        if self.pending:
            self.proposals.propose()

    def on_state_committed(self) -> None:
        """Answers the changes that a newer state settles."""
        self._answer_settled()
        incarnation = self._settled_incarnation()
        if incarnation > self.incarnation:
            # An earlier process of this controller had a clock that was ahead.
            self._renumber(incarnation + 1)

    # --- passing on -----------------------------------------------------------------------------

    def _rejection_reason(self, step: Step) -> str:
        entries = apply_step(self.context.committed.state.entries, step)
        reason = step_bounds_error(step) or entries_bounds_error(entries) or self.context.check(entries)
        if not reason and len(self.pending) >= MAX_QUEUED_ORDERS:
            return f"{MAX_QUEUED_ORDERS} changes wait already"
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
        """Gives up all pending changes where the first has expired.

        None after it can be settled before it, and no order is ever sent under two numbers.
        """
        if not self.pending or self.context.now <= self.pending[0].accepted_at + ORDER_EXPIRY_MS:
            return
        failure = self.proposals.last_failure or "no answer"
        reason = (
            f"no majority of the voters has settled it in {ORDER_EXPIRY_MS / 1000.0:g} s ({failure}): "
            "it may still come, see `show`"
        )
        for pending in self.pending:
            self._answer(pending.ticket, 0, reason)
        self.pending.clear()
        self._renumber(self.incarnation + 1)

    def _renumber(self, incarnation: int) -> None:
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
        """Answers the changes whose orders are settled.

        An order that one of a later incarnation overtook is settled only where a step proves it; else it stays pending
        and gets another number.
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
        """Whether an order of a later incarnation is settled in place of this one, which is not settled itself."""
        if pending.order.incarnation >= self._settled_incarnation():
            return False
        state = self.context.committed.state
        oldest_version = state.recent_steps[0].version if state.recent_steps else state.version + 1
        return pending.known_version == UNKNOWN_VERSION or oldest_version <= pending.known_version + 1

    def _answer_from_step(self, pending: PendingChange, step: CommittedStep | None) -> None:
        if step is None:
            self._answer(pending.ticket, 0, "nobody knows any more whether it stands: see `show`")
        else:
            self._answer(pending.ticket, 0 if step.rejection_reason else step.version, step.rejection_reason)

    def _answer(self, ticket: int, version: int, reason: str) -> None:
        self.context.effects.append(ChangeAnswered(ticket, version, reason))
