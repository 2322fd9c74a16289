"""Rounds of the consensus that commit changes: which orders are proposed, when a round starts, and when it is retried.

The proposer (`consensus/proposer.py`) reads the newest state through a majority of the voters before it writes, so no
round depends on a clock or on who leads.
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
READ_INTERVAL_MS = 10_000.0  # a leader reads this often, to learn what it may have missed
OUT_OF_TURN_READ_INTERVAL_MS = 1000.0  # and this often for an order whose predecessor is not known here
MIN_BACKOFF_MS = 30.0  # doubled with each failure of a leader's round
MAX_BACKOFF_MS = 800.0
MAX_BACKOFF_DOUBLINGS = 5

OrderKey = tuple[str, int, int]  # accepting controller, incarnation, number


@dataclass(slots=True, frozen=True)
class QueuedOrder:
    """An order that waits for a round. queued_at: milliseconds of the controller's clock."""

    order: ChangeOrder
    queued_at: float


class ChangeProposals:
    """The proposer of one controller, and the orders that wait for it.

    `on_committed` is called where the proposer may know of a newer committed state.
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
        """Queues an order that another controller accepted."""
        if sender.name in self.peers and order.accepted_by == sender.name:
            self.enqueue(order)
            self.propose()

    def on_acceptor_request(self, sender: Sender, message: Prepare | Accept[ControlState]) -> None:
        """Passes a proposer's request to the acceptor of this controller, where it has one."""
        if sender.name not in self.context.controllers:
            return
        if self.context.identity:
            self.context.effects.append(AskAcceptor(sender, message))
        else:
            self.context.reply(sender, Rejected(message.ballot, NO_BALLOT, not_voter=True))

    def on_acceptor_response(self, sender: Sender, message: Promise[ControlState] | Accepted | Rejected[Any]) -> None:
        """Passes an acceptor's response to the proposer."""
        if sender.name in self.context.controllers:
            self._carry_out(self.proposer.on_message(sender.name, message))

    # --- queue ----------------------------------------------------------------------------------

    def enqueue(self, order: ChangeOrder) -> None:
        """Queues an order that is not settled; drops it where the queue is full."""
        key = (order.accepted_by, order.incarnation, order.number)
        if self.context.committed.state.is_settled(order):
            return
        if key in self.queue or len(self.queue) < MAX_QUEUED_ORDERS:
            self.queue.setdefault(key, QueuedOrder(order, self.context.now))

    def orders_in_turn(self) -> list[ChangeOrder]:
        """The queued orders, those of each controller in their turn."""
        return [queued.order for _, queued in sorted(self.queue.items(), key=lambda item: item[0])]

    # --- rounds ---------------------------------------------------------------------------------

    def propose(self) -> None:
        """Starts a round where there is a reason for one, and gives up one that takes too long."""
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
        # Only a leader reads at intervals: if all did, each would keep the others from a majority.
        must_read = is_leader and (not was_leader or now >= self.last_read_at + READ_INTERVAL_MS)
        if must_read or self._has_new_identity() or self._has_orders_to_propose():
            self.round_started_at = now
            self._carry_out(self.proposer.start(self._change))

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
        """An order whose predecessor is not settled, as far as is known here, causes a read at intervals only."""
        if any(self.context.committed.state.is_next(queued.order) for queued in self.queue.values()):
            return True
        return bool(self.queue) and self.context.now >= self.last_read_at + OUT_OF_TURN_READ_INTERVAL_MS

    def _change(self, state: ControlState) -> ControlState | None:
        """The state with the queued orders settled and with this voter's new file; None where nothing changes."""
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
        self.on_committed()  # a round that fails may have read a newer committed state

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
        else:  # longer than a leader, so that the leader's round succeeds
            max_backoff_ms = 2.0 * MAX_BACKOFF_MS
        self.retry_at = self.context.now + self.context.random.uniform(0.0, max_backoff_ms)
