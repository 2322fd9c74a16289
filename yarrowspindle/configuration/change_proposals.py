"""Consensus rounds that commit changes: which orders are proposed, when a round starts and when it is retried.

The proposer (`consensus/proposer.py`) reads the newest state from a majority of the voters before it writes, so the
correctness of a round depends neither on a clock nor on which controller leads.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from yarrowspindle.configuration.controller_context import NEVER_MS, ControllerContext
from yarrowspindle.configuration.effects import AskAcceptor
from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.peer_controllers import PeerControllers
from yarrowspindle.configuration.state import ChangeOrder, ControlState
from yarrowspindle.consensus.messages import NO_BALLOT, Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.consensus.proposer import Committed, Proposer, RoundFailed, SendToAcceptor
from yarrowspindle.consensus.proposer import Effect as ProposerEffect

MAX_QUEUED_ORDERS = 256
MAX_VERSIONS_PER_ROUND = 16
ORDER_EXPIRY_MS = 10_000.0
ROUND_TIMEOUT_MS = 500.0
READ_INTERVAL_MS = 10_000.0  # between a leader's reads, which find commits that it has missed
OUT_OF_TURN_READ_INTERVAL_MS = 1000.0  # between reads for an order whose predecessor is not known to be settled
MIN_BACKOFF_MS = 30.0  # doubled with each consecutive failure of a leader's rounds
MAX_BACKOFF_MS = 800.0
MAX_BACKOFF_DOUBLINGS = 5

OrderKey = tuple[str, int, int]  # accepting controller, incarnation, number


@dataclass(slots=True, frozen=True)
class QueuedOrder:
    """An order to be proposed in a round. `queued_at` is in milliseconds of the controller's clock."""

    order: ChangeOrder
    queued_at: float


class ChangeProposals:
    """The proposer of one controller, and the queue of orders to be proposed.

    Args:
        context: The shared state of the controller.
        peers: The other controllers.
        proposer: The proposer of the consensus.
        on_committed: Called when the proposer may know a newer committed state.
    """

    def __init__(
        self,
        context: ControllerContext,
        peers: PeerControllers,
        proposer: Proposer[ControlState],
        on_committed: Callable[[], None],
    ) -> None:
        self.context, self.peers, self.proposer, self.on_committed = context, peers, proposer, on_committed
        self.queue: dict[OrderKey, QueuedOrder] = {}
        self.round_started_at = 0.0
        self.retry_at = 0.0
        self.failures = 0
        self.last_read_at = NEVER_MS
        self.last_failure = ""
        self.was_leader = False

    # --- messages -------------------------------------------------------------------------------

    def on_change_order(self, sender: Sender, order: ChangeOrder) -> None:
        """Queue an order that another controller accepted from an operator, and propose it."""
        if sender.name in self.peers and order.accepted_by == sender.name:
            self.enqueue(order)
            self.propose()

    def on_acceptor_request(self, sender: Sender, message: Prepare | Accept[ControlState]) -> None:
        """Pass a proposer's request to the acceptor of this controller; reject the request if it has none."""
        if sender.name not in self.context.controllers:
            return
        if self.context.identity:
            self.context.effects.append(AskAcceptor(sender, message))
        else:
            self.context.reply(sender, Rejected(message.ballot, NO_BALLOT, not_voter=True))

    def on_acceptor_response(self, sender: Sender, message: Promise[ControlState] | Accepted | Rejected[Any]) -> None:
        """Pass an acceptor's response to the proposer."""
        if sender.name in self.context.controllers:
            self._carry_out(self.proposer.on_message(sender.name, message))

    # --- queue ----------------------------------------------------------------------------------

    def enqueue(self, order: ChangeOrder) -> None:
        """Queue an order unless it is settled; drop it if the queue is full, since its sender repeats it."""
        key = (order.accepted_by, order.incarnation, order.number)
        if self.context.committed.state.is_settled(order):
            return
        if key in self.queue or len(self.queue) < MAX_QUEUED_ORDERS:
            self.queue.setdefault(key, QueuedOrder(order, self.context.now))

    def orders_in_turn(self) -> list[ChangeOrder]:
        """Return the queued orders, sorted by controller, incarnation and number."""
        return [queued.order for _, queued in sorted(self.queue.items(), key=lambda item: item[0])]

    # --- rounds ---------------------------------------------------------------------------------

    def propose(self) -> None:
        """Start a round if a read or a write is due, or abandon the current round if it takes too long."""
        is_leader, was_leader = self.peers.is_leader, self.was_leader
        self.was_leader = is_leader
        self._remove_finished_orders()
        now = self.context.now
        if self.proposer.round is not None:
            if now >= self.round_started_at + ROUND_TIMEOUT_MS:
                self._carry_out(self.proposer.give_up("no majority of the voters in time"))
            return
        if now < self.retry_at:
            return
        # Only a leader reads at intervals: if all controllers did, their competing ballots would prevent a majority.
        must_read = is_leader and (not was_leader or now >= self.last_read_at + READ_INTERVAL_MS)
        if must_read or self._has_new_identity() or self._has_orders_to_propose():
            self.round_started_at = now
            self._carry_out(self.proposer.start(self._settle_queued_orders))

    def _remove_finished_orders(self) -> None:
        for key, queued in list(self.queue.items()):
            is_expired = self.context.now > queued.queued_at + ORDER_EXPIRY_MS
            if is_expired or self.context.committed.state.is_settled(queued.order):
                del self.queue[key]

    def _has_new_identity(self) -> bool:
        context = self.context
        committed_identity = context.committed.state.voters.get(context.name, context.identity)
        return bool(context.identity) and committed_identity != context.identity

    def _has_orders_to_propose(self) -> bool:
        """Return whether a queued order justifies a round now.

        An order that is not the next of its controller, according to the state known here, starts a round only at
        intervals: its predecessor may never arrive.
        """
        if any(self.context.committed.state.is_next(queued.order) for queued in self.queue.values()):
            return True
        return bool(self.queue) and self.context.now >= self.last_read_at + OUT_OF_TURN_READ_INTERVAL_MS

    def _settle_queued_orders(self, state: ControlState) -> ControlState | None:
        """Return the state with the queued orders settled and this voter's current identity; None if nothing changes.

        One round creates MAX_VERSIONS_PER_ROUND versions at most, plus one for a new identity.
        """
        successor = state
        for order in self.orders_in_turn()[:MAX_QUEUED_ORDERS]:
            successor = successor.settle(order, self.context.check) or successor
            if successor.version >= state.version + MAX_VERSIONS_PER_ROUND:
                break
        if self.context.identity and self.context.name in state.voters:
            successor = successor.with_voter(self.context.name, self.context.identity) or successor
        return successor if successor.version > state.version else None

    def _carry_out(self, effects: Sequence[ProposerEffect[ControlState]]) -> None:
        for effect in effects:
            if isinstance(effect, SendToAcceptor):
                self.context.send(effect.acceptor, effect.message)
            elif isinstance(effect, Committed):
                self._on_round_committed(effect)
            elif isinstance(effect, RoundFailed):
                self._on_round_failed(effect)
        self.on_committed()  # also after a failure: the round may have read a newer committed state

    def _on_round_committed(self, committed: Committed[ControlState]) -> None:
        self.failures = 0
        self.last_read_at = self.context.now
        self.last_failure = ""
        is_newer = committed.state.version > self.context.committed.version
        self.on_committed()
        if committed.changed or is_newer:
            self.peers.broadcast_state()

    def _on_round_failed(self, failed: RoundFailed) -> None:
        self.last_failure = failed.reason
        self.failures = min(self.failures + 1, MAX_BACKOFF_DOUBLINGS)
        if self.peers.is_leader:
            max_backoff_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0**self.failures)
        else:  # back off longer than a leader, so that the leader's round succeeds
            max_backoff_ms = 2.0 * MAX_BACKOFF_MS
        self.retry_at = self.context.now + self.context.random.uniform(0.0, max_backoff_ms)
