"""The controller: handles events and returns effects, without I/O, for the real process and for the simulation.

Controllers commit changes through consensus (`change_proposals.py`); some or all of them are voters. A committed state
is sent to the other controllers in full. Each attached relay is sent the steps that it lacks, repeatedly until it
confirms them (`relay_sessions.py`). Controllers exchange summaries of their relays (`peer_controllers.py`), from which
the status for operators shows which version all relays apply (`status.py`).

Invariants:
1. Only committed states are sent to relays, and the versions sent never decrease.
2. A proposer reads the register before it writes. Correctness never depends on a clock or on which controller leads.
3. Without a majority of the voters no change is committed, but the committed state is still distributed.
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
    """Dispatcher of events to the components of a controller.

    Args:
        address: This controller's own entry of `addresses`.
        addresses: All controllers.
        initial_state: The newest committed state that this controller has stored, or else the state with which all
            controllers start.
        identity: The identity of its acceptor's file; empty if it does not vote.
        accepted_state: The state in that file. The first round uses its voters if its epoch is later than that of
            `initial_state`.
        incarnation: A number that is higher for each new process of this controller.
        check: Returns why relays cannot apply given entries.
        seed: The seed of the random source for jitter and for the proposer's name.
        now: The time of a monotonic clock in milliseconds.
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
        # Two processes must never use the same ballot, because messages of the earlier one may still be delivered.
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

    # --- interface of the process -----------------------------------------------------------------

    @property
    def state(self) -> ControlState:
        """The newest committed state that this controller knows."""
        return self.context.committed.state

    @property
    def is_leader(self) -> bool:
        """Whether this controller proposes changes."""
        return self.peers.is_leader

    @property
    def counts(self) -> Counter[str]:
        """The counters, by their published names."""
        return self.context.counts

    @property
    def identity(self) -> str:
        """The identity of the acceptor's file; empty if this controller does not vote."""
        return self.context.identity

    def start_voting(self, identity: str) -> None:
        """Use a newly created acceptor file of this voter; the next round commits its identity."""
        self.context.identity = identity

    def status(self, own_summary: RelaySummary | None = None) -> ControllerStatus:
        """Return the status for operators, with this summary or a new one."""
        return self.reporter.status(own_summary)

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call."""
        effects, self.context.effects = self.context.effects, []
        return effects

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handle an event and return its effects. `now` is the time of a monotonic clock in milliseconds."""
        if now > self.context.now + PEER_TIMEOUT_MS:  # this process was stalled: other controllers may have failed
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
        """Return whether a message between controllers comes from the configured address of the controller it names.

        Otherwise a process that was given a controller's name by mistake could vote in its place. Relays are not listed
        in the settings, so their messages are accepted from any address.
        """
        if isinstance(event.message, Heartbeat | Detach):
            return True
        named = self.context.controllers.get(event.sender.name)
        if named is not None and named.address == event.sender.address:
            return True
        (host, port) = event.sender.address
        self.counts[published_counters.UNKNOWN_SENDERS] += 1
        self.context.log(
            f"ignored a message of {event.sender.name} at {host}:{port}: no [[control.machine]] has this name and "
            "address",
            rate_limited=True,
        )
        return False

    def _on_state_update(self, sender: Sender, update: StateUpdate) -> None:
        if sender.name in self.peers:
            self.proposals.proposer.on_committed(update.state)
            self._adopt_committed_state()

    def _adopt_committed_state(self) -> None:
        """Adopt the proposer's newest committed state, if it is newer, and send it to the relays."""
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
