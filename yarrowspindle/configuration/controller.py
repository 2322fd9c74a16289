"""A controller: `(state, event) -> effects`, the same on real sockets and on the virtual clock.

Controllers commit changes through consensus (`change_proposals.py`); the voters are among them. A committed state goes
to the other controllers as a whole, and to each attached relay as the steps that it lacks, again until the relay
confirms them (`relay_sessions.py`). Controllers exchange summaries of their relays (`peer_controllers.py`), from which
operators are shown where a version is applied (`status.py`).

Rules
1. Only committed states go to relays, and their versions only grow.
2. A proposer reads before it writes; no controller leads by a clock or by its view of the others.
3. Without a majority of the voters nothing changes, and the committed state is still distributed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from yarrowspindle.configuration import published_counters
from yarrowspindle.configuration.change_proposals import ChangeProposals
from yarrowspindle.configuration.change_queue import ChangeQueue
from yarrowspindle.configuration.committed_log import CommittedLog
from yarrowspindle.configuration.controller_context import PEER_TIMEOUT_MS, SUMMARY_INTERVAL_MS, ControllerContext
from yarrowspindle.configuration.effects import Effect, SetTimer, StateCommitted
from yarrowspindle.configuration.events import ChangeRequested, Event, MessageReceived, Sender, TimerFired
from yarrowspindle.configuration.messages import Detach, Heartbeat, RelayReattached, RelaySummary, StateUpdate
from yarrowspindle.configuration.peer_controllers import PeerControllers
from yarrowspindle.configuration.relay_sessions import RelaySessions
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.configuration.state import ChangeOrder, ControlState, EntriesCheck
from yarrowspindle.configuration.status import ControllerStatus, StatusReporter
from yarrowspindle.consensus.messages import Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.consensus.proposer import Proposer

TICK_INTERVAL_MS = 100.0


class Controller:
    """Dispatches events to the parts of a controller.

    Args:
        address: This controller's own entry of `addresses`.
        addresses: All controllers.
        first: The newest committed state that this controller stored, else the state that all start from.
        identity: That of the file of its acceptor; empty where it does not vote.
        accepted: The state in that file, by whose voters the first round goes.
        incarnation: Grows from one process of this controller to the next.
        check: Rejects entries that no relay could serve by.
        seed: Of the random source for jitter and for the proposer's name.
        now: Milliseconds of a clock that only goes forward.
        proposer: The class of the proposer.
    """

    committed_log_type: type[CommittedLog] = CommittedLog
    sessions_type: type[RelaySessions] = RelaySessions
    proposals_type: type[ChangeProposals] = ChangeProposals
    changes_type: type[ChangeQueue] = ChangeQueue
    reporter_type: type[StatusReporter] = StatusReporter

    def __init__(
        self,
        address: ControllerAddress,
        addresses: tuple[ControllerAddress, ...],
        initial_state: ControlState,
        identity: str,
        accepted_state: ControlState,
        incarnation: int,
        check: EntriesCheck,
        seed: int,
        now: float,
        proposer: type[Proposer[ControlState]] = Proposer,
    ) -> None:
        self.random = Random(seed)
        by_name = {entry.name: entry for entry in addresses}
        committed = self.committed_log_type(initial_state, now)
        self.context = ControllerContext(address, by_name, check, identity, self.random, committed, now, now)
        # No two processes use one ballot: messages of an earlier process may still be delivered.
        proposer_name = f"{address.name} {incarnation} {self.random.getrandbits(32):x}"
        new_proposer = proposer(proposer_name, initial_state, self.random)
        new_proposer.membership_hint = max(initial_state, accepted_state, key=lambda state: state.epoch)
        self.peers = PeerControllers(self.context)
        self.sessions = self.sessions_type(self.context, self.peers)
        self.proposals = self.proposals_type(self.context, self.peers, new_proposer, self._adopt_committed_state)
        self.changes = self.changes_type(self.context, self.peers, self.proposals, incarnation)
        self.reporter = self.reporter_type(self.context, self.peers, self.sessions, self.proposals, self.changes)
        self.next_summary_at = now
        self.context.effects.append(SetTimer(TICK_INTERVAL_MS * self.random.random()))
        self.handlers = self._message_handlers()

    def _message_handlers(self) -> dict[type, Callable[[Sender, Any], None]]:
        return {
            Heartbeat: self.sessions.on_heartbeat,
            Detach: self.sessions.on_detach,
            RelayReattached: self.sessions.on_reattached,
            RelaySummary: self.peers.on_summary,
            StateUpdate: self._on_state_update,
            ChangeOrder: self.proposals.on_change_order,
            Prepare: self.proposals.on_acceptor_request,
            Accept: self.proposals.on_acceptor_request,
            Promise: self.proposals.on_acceptor_response,
            Accepted: self.proposals.on_acceptor_response,
            Rejected: self.proposals.on_acceptor_response,
        }

    # --- what the process uses --------------------------------------------------------------------

    @property
    def state(self) -> ControlState:
        """The newest committed state that is known here."""
        return self.context.committed.state

    @property
    def is_leader(self) -> bool:
        """Whether this controller proposes changes."""
        return self.peers.is_leader

    @property
    def counts(self) -> Counter[str]:
        """Counters by their published names."""
        return self.context.counts

    @property
    def identity(self) -> str:
        """The identity of its acceptor's file; empty where it does not vote."""
        return self.context.identity

    def start_voting(self, identity: str) -> None:
        """A file of the acceptor was created: the next round adds it to the voters."""
        self.context.identity = identity

    def status(self, own_summary: RelaySummary | None = None) -> ControllerStatus:
        """What operators are shown."""
        return self.reporter.status(own_summary)

    def take_effects(self) -> list[Effect]:
        """The effects since the last call."""
        effects, self.context.effects = self.context.effects, []
        return effects

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handles an event at `now`, in milliseconds of a clock that only goes forward."""
        if now > self.context.now + PEER_TIMEOUT_MS:  # it stood still: other controllers may have failed since
            self.peers.restart_attachment_grace(now)
        self.context.now = max(self.context.now, now)
        if isinstance(event, MessageReceived):
            self._on_message(event)
        elif isinstance(event, TimerFired):
            self._on_timer()
        elif isinstance(event, ChangeRequested):
            self.changes.on_change_requested(event)
        return self.take_effects()

    # --- events -----------------------------------------------------------------------------------

    def _on_message(self, event: MessageReceived) -> None:
        handler = self.handlers.get(type(event.message))
        if handler is not None and self._is_known_sender(event):
            handler(event.sender, event.message)

    def _is_known_sender(self, event: MessageReceived) -> bool:
        """Whether a message between controllers comes from the address of the controller that it names.

        Another process may use a controller's name, and would vote under it.
        """
        if isinstance(event.message, Heartbeat | Detach):
            return True
        named = self.context.controllers.get(event.sender.name)
        if named is not None and named.address == event.sender.address:
            return True
        (host, port) = event.sender.address
        self.counts[published_counters.UNKNOWN_SENDERS] += 1
        self.context.log(f"{event.sender.name} at {host}:{port} is no controller of the settings", rate_limited=True)
        return False

    def _on_state_update(self, sender: Sender, update: StateUpdate) -> None:
        if sender.name in self.peers:
            self.proposals.proposer.on_committed(update.state)
            self._adopt_committed_state()

    def _adopt_committed_state(self) -> None:
        """Takes over a newer state of the proposer and sends it to the relays."""
        state = self.proposals.proposer.newest_committed
        if state.version <= self.context.committed.version:
            return
        self.context.committed.advance(state, self.context.now)
        self.context.effects.append(StateCommitted(state))
        self.sessions.on_state_committed()
        self.changes.on_state_committed()

    def _on_timer(self) -> None:
        self.peers.refresh()
        self.changes.forward_pending()
        self.proposals.propose()
        self.sessions.push_due()
        if self.context.now >= self.next_summary_at:
            self._send_summary()
        self.context.effects.append(SetTimer(TICK_INTERVAL_MS * self.random.uniform(0.9, 1.1)))

    def _send_summary(self) -> None:
        self.next_summary_at = self.context.now + SUMMARY_INTERVAL_MS
        self.sessions.remove_expired()
        summary = self.reporter.summary()
        self.peers.broadcast(summary)
        self.reporter.announce(summary)
