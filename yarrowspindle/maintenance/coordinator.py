"""The maintenance state machine of one relay: proposes changes of the replicated state and adopts committed states.

Without I/O: `step` takes an event and returns effects, which the daemon and the model in
`lab/model/maintenance_cluster.py` carry out. The leader is the reachable relay with the first name. Safety does not
depend on it: relays may disagree on the leader, whose only purpose is to avoid concurrent proposals of the same change.
"""

from __future__ import annotations

from random import Random

from yarrowspindle.consensus.messages import NO_BALLOT, Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.consensus.proposer import Committed, Proposer, RoundFailed, SendToAcceptor
from yarrowspindle.consensus.proposer import Effect as ProposerEffect
from yarrowspindle.maintenance.change_log import describe_changes
from yarrowspindle.maintenance.commands import OperatorCommand
from yarrowspindle.maintenance.events import (
    AskAcceptor,
    Effect,
    Event,
    FleetObserved,
    LogMessage,
    MessageReceived,
    SendMessage,
    SetTimer,
    StateCommitted,
)
from yarrowspindle.maintenance.messages import (
    CatchUpRequest,
    LatestVersion,
    RegisterRelay,
    ReleaseConfirmation,
    StateUpdate,
)
from yarrowspindle.maintenance.peer_requests import PeerRequests, StateChange
from yarrowspindle.maintenance.state import EMPTYING, MaintenanceState

TICK = "tick"  # name of the only timer
TICK_MS = 150.0
ROUND_TIMEOUT_MS = 400.0
MAX_RETRY_DELAY_MS = 1200.0
MAX_COUNTED_FAILURES = 6  # failed rounds; each doubles the maximum delay before a retry
# The state is read from a majority if none has been reached for this interval. Active: backends are out of service,
# commands are pending or this relay is not registered.
READ_INTERVAL_ACTIVE_MS = 1500.0
READ_INTERVAL_IDLE_MS = 10_000.0
LATEST_VERSION_INTERVAL_MS = 2000.0
REMINDER_INTERVAL_MS = 500.0  # to relays that have not confirmed an evacuation
OWN_CONFIRMATION_DELAY_MS = 600.0  # before a relay proposes its confirmation itself, in place of the leader
OWN_REGISTRATION_DELAY_MS = 1500.0  # before a relay proposes its registration itself, in place of the leader
MAX_OBSERVATION_AGE_MS = 1000.0  # an older observation of the fleet starts no evacuation
STABLE_PERIOD_MS = 10_000.0  # without a fault, before evacuations resume
MAX_CATCH_UP_RELAYS = 3  # asked for the state at once by a relay that cannot reach the voters
MAX_COMMANDS = 64  # pending at once; further ones are dropped


class MaintenanceCoordinator:
    """Coordinator of maintenance with the other relays.

    Args:
        name: name of this relay.
        key: random key, unique to this process.
        initial: state that all relays start from.
        identity: identity of this relay's voter file; empty if it has none.
        membership_hint: state in the voter file, which may not be committed.
        seed: seed of the random delays.
        now: current time in milliseconds, as all times here.
        proposer: class of the proposer, which the model replaces by defective ones.
    """

    def __init__(
        self,
        name: str,
        key: str,
        initial: MaintenanceState,
        identity: str,
        membership_hint: MaintenanceState,
        seed: int,
        now: float,
        proposer: type[Proposer[MaintenanceState]] = Proposer,
    ) -> None:
        self.name = name
        self.key = key
        self.identity = identity
        self.now = now
        self.started_at = now
        self.random = Random(seed)
        # With the key no two processes share a ballot: responses to an earlier process of this name may still arrive.
        self.proposer = proposer(f"{name} {key}", initial, self.random)
        # The hint may be uncommitted, so only its voter set is used.
        self.proposer.membership_hint = max(initial, membership_hint, key=lambda state: state.epoch)
        self.fleet = FleetObserved(frozenset(), {}, (name,))
        self.commands: list[OperatorCommand] = []
        self.peer_requests = PeerRequests(OWN_REGISTRATION_DELAY_MS)
        self.majority_reached_at = 0.0  # when this relay last reached a majority of the voters; 0: never
        self.version_confirmed_at = 0.0  # when a relay that had reached one last confirmed the version; 0: never
        self.confirmable_since = 0.0  # since when a confirmation has been due; 0: none is due
        self.round_started_at = 0.0
        self.reminded_at = 0.0
        self.last_fault_at = now
        self.retry_at = now
        self.failed_rounds = 0
        self.failure_reason = ""  # why the last round failed; empty if it succeeded
        self.observed_at = -MAX_OBSERVATION_AGE_MS
        self.observations_valid_from = now
        self.adopted = initial
        self.observed_since_adoption = False
        self.effects: list[Effect] = [SetTimer(TICK_MS * self.random.random(), TICK)]

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handle an event and return the effects to carry out."""
        self.now = max(self.now, now)
        if isinstance(event, MessageReceived):
            self._on_message(event)
        elif isinstance(event, FleetObserved):
            self._on_fleet_observed(event)
        elif isinstance(event, OperatorCommand):
            if len(self.commands) < MAX_COMMANDS and event not in self.commands:
                self.commands.append(event)
        else:
            self._on_tick()
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Return and clear the pending effects."""
        effects, self.effects = self.effects, []
        return effects

    @property
    def state(self) -> MaintenanceState:
        """Newest committed state that this relay knows."""
        return self.proposer.newest_committed

    @property
    def registered(self) -> bool:
        """Whether the adopted state contains this process."""
        return self.incarnation > 0

    @property
    def incarnation(self) -> int:
        """Incarnation under which this process is registered; 0 if it is not registered."""
        own_key = self.adopted.process_keys.get(self.name)
        return self.adopted.relays.get(self.name, 0) if own_key == self.key else 0

    @property
    def majority_known_at(self) -> float:
        """Time when a majority was last known to be reached, by this relay or one that reported it; 0 if never."""
        return max(self.majority_reached_at, self.version_confirmed_at)

    def may_place(self, backend: str) -> bool:
        """Return whether this relay may place connections on the backend."""
        return self.registered and not self.adopted.excludes(backend)

    @property
    def _is_leader(self) -> bool:
        return self.name == self._leader

    @property
    def _leader(self) -> str:
        return min(self.fleet.members, default=self.name)

    def _send(self, destination: str, message: object) -> None:
        self.effects.append(SendMessage(destination, message))

    def _log(self, text: str) -> None:
        self.effects.append(LogMessage(text))

    # Events

    def _on_fleet_observed(self, event: FleetObserved) -> None:
        if self.now > self.observed_at + MAX_OBSERVATION_AGE_MS:
            # After a stall, updates of the endpoint list may still be unread, so observations are stale for a while.
            self.observations_valid_from = self.now + MAX_OBSERVATION_AGE_MS
        self.fleet = event
        self.observed_at = self.now
        self.observed_since_adoption = True
        if event.fault:
            self.last_fault_at = self.now

    def _on_message(self, event: MessageReceived) -> None:
        source, message = event.source, event.message
        if isinstance(message, Prepare | Accept):
            self._on_acceptor_request(source, message)
        elif isinstance(message, Promise | Accepted | Rejected):
            self._carry_out(self.proposer.on_message(source, message))
        elif isinstance(message, StateUpdate):
            self.proposer.on_committed(message.state)
            self._adopt()
        elif isinstance(message, ReleaseConfirmation):
            if source in self.adopted.relays:
                self.peer_requests.add_confirmation(source, message)
        elif isinstance(message, RegisterRelay):
            self.peer_requests.add_registration(self.now, source, message)
        elif isinstance(message, LatestVersion):
            self._on_latest_version(source, message.version)
        elif isinstance(message, CatchUpRequest):
            self._on_catch_up_request(source, message.version)

    def _on_acceptor_request(self, source: str, message: Prepare | Accept[MaintenanceState]) -> None:
        if self.identity:
            self.effects.append(AskAcceptor(source, message))
        else:
            self._send(source, Rejected(message.ballot, NO_BALLOT, not_voter=True))

    def _on_catch_up_request(self, source: str, version: int) -> None:
        if self.state.version > version:
            self._send(source, StateUpdate(self.state))

    def _on_latest_version(self, source: str, version: int) -> None:
        if version <= self.state.version:
            self.version_confirmed_at = self.now
        else:
            self._send(source, CatchUpRequest(self.state.version))

    def _carry_out(self, effects: list[ProposerEffect[MaintenanceState]]) -> None:
        for effect in effects:
            if isinstance(effect, SendToAcceptor):
                self._send(effect.acceptor, effect.message)
            elif isinstance(effect, Committed):
                self._on_committed(effect)
            elif isinstance(effect, RoundFailed):
                self._on_round_failed(effect.reason)

    def _on_committed(self, effect: Committed[MaintenanceState]) -> None:
        self.failed_rounds = 0
        self.failure_reason = ""
        self.majority_reached_at = self.now
        if effect.changed:
            state = effect.state
            recipients = {*state.relays, *state.voters, *self.fleet.members} - {self.name}
            for name in sorted(recipients):
                self._send(name, StateUpdate(state))
        self._adopt()

    def _on_round_failed(self, reason: str) -> None:
        self.failure_reason = reason
        # A random delay, so that two proposers do not repeatedly preempt each other.
        self.failed_rounds = min(self.failed_rounds + 1, MAX_COUNTED_FAILURES)
        max_delay_ms = min(MAX_RETRY_DELAY_MS, TICK_MS * 2.0**self.failed_rounds)
        self.retry_at = self.now + self.random.uniform(0.0, max_delay_ms)
        if not self.registered:
            peers = [name for name in self.fleet.members if name != self.name]
            for name in self.random.sample(peers, min(MAX_CATCH_UP_RELAYS, len(peers))):
                self._send(name, CatchUpRequest(self.state.version))

    def _adopt(self) -> None:
        if self.state.version <= self.adopted.version:
            return
        for line in describe_changes(self.adopted, self.state):
            self._log(line)
        previous_incarnation = self.incarnation
        self.adopted = self.state
        self.observed_since_adoption = False
        self.effects.append(StateCommitted(self.state))
        if self.incarnation != previous_incarnation:
            self._log_registration()

    def _log_registration(self) -> None:
        if self.registered:
            elapsed_s = (self.now - self.started_at) / 1000.0
            self._log(f"registered as incarnation {self.incarnation}, {elapsed_s:.1f} s after the start")
        else:
            self._log("this relay was declared ended: nothing is placed until it is registered again")

    # Timer

    def _on_tick(self) -> None:
        self._send_requests_to_leader()
        if self.proposer.round is not None and self.now >= self.round_started_at + ROUND_TIMEOUT_MS:
            self._carry_out(self.proposer.give_up("no majority in time"))
        if self.proposer.round is None and self.now >= self.retry_at:
            self._start_round_if_due()
        reminder_interval_ms = REMINDER_INTERVAL_MS if self.state.evacuations else LATEST_VERSION_INTERVAL_MS
        if self._is_leader and self.now >= self.reminded_at + reminder_interval_ms:
            self._send_reminders()
        self.effects.append(SetTimer(TICK_MS * self.random.uniform(0.8, 1.2), TICK))

    def _send_requests_to_leader(self) -> None:
        releases = self._releases()
        if not releases:
            self.confirmable_since = 0.0
        else:
            self.confirmable_since = self.confirmable_since or self.now
            if not self._is_leader:
                self._send(self._leader, ReleaseConfirmation(self.incarnation, releases))
        if not self.registered and not self._is_leader:
            self._send(self._leader, RegisterRelay(self.key))

    def _start_round_if_due(self) -> None:
        self.peer_requests.drop_completed(self.now, self.state)
        self.commands = [command for command in self.commands if command.apply(self.state) is not None]
        jitter = 1.0 + self.random.random()
        read_due = self.now >= self.majority_known_at + self._read_interval_ms() * jitter
        if read_due or self._proposed_change(self.state) is not None:
            self.round_started_at = self.now
            self._carry_out(self.proposer.start(self._proposed_change))

    def _read_interval_ms(self) -> float:
        if not self.registered or self.state.evacuations or self.commands:
            return READ_INTERVAL_ACTIVE_MS
        return LATEST_VERSION_INTERVAL_MS if self._is_leader else READ_INTERVAL_IDLE_MS

    def _send_reminders(self) -> None:
        """Send the version to the members and the state to the relays that have not confirmed an evacuation.

        Members that learn the latest version need not read it from the voters.
        """
        self.reminded_at = self.now
        state = self.state
        if self.now <= self.majority_reached_at + 3.0 * LATEST_VERSION_INTERVAL_MS:
            for name in self.fleet.members:
                if name != self.name:
                    self._send(name, LatestVersion(state.version))
        unconfirmed: set[str] = set()
        for backend, evacuation in state.evacuations.items():
            if evacuation.stage == EMPTYING:
                unconfirmed.update(state.unconfirmed_relays(backend))
        for name in sorted((unconfirmed - {self.name}).intersection(self.fleet.members)):
            self._send(name, StateUpdate(state))

    # Proposed changes

    def _proposed_change(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the state with all changes that this relay proposes, or None if they change nothing."""
        changed = state
        for change in self._proposed_changes():
            changed = change(changed) or changed
        return changed if changed.version > state.version else None

    def _proposed_changes(self) -> list[StateChange]:
        changes: list[StateChange] = []
        if not self.registered and (self._is_leader or self.now >= self.started_at + OWN_REGISTRATION_DELAY_MS):
            changes.append(self._register)
        changes.append(self._revert_outdated_evacuations)
        changes += [command.apply for command in self.commands]
        changes += [self._confirm_own_releases, self._replace_own_voter_file]
        if self._is_leader:
            changes += self.peer_requests.changes()
            changes += [self._pause_or_resume, self._advance]
        return changes

    def _register(self, state: MaintenanceState) -> MaintenanceState | None:
        return state.with_relay(self.name, self.key)

    @property
    def _observation_valid(self) -> bool:
        recent = self.now <= self.observed_at + MAX_OBSERVATION_AGE_MS
        return recent and self.now >= self.observations_valid_from

    def _advance(self, state: MaintenanceState) -> MaintenanceState | None:
        return state.advanced(self.fleet.backends) if self._observation_valid else None

    def _revert_outdated_evacuations(self, state: MaintenanceState) -> MaintenanceState | None:
        """Revert evacuations that another proposer left uncommitted, unless the capacity floors verifiably hold.

        A proposer that fails can leave a proposal with a minority of the voters. This round would commit it, an
        unknown time after the observation that it was based on.
        """
        uncommitted = [
            backend
            for backend, evacuation in state.evacuations.items()
            if evacuation.stage == EMPTYING and evacuation.number > self.state.last_evacuation_number
        ]
        if not uncommitted or (self._observation_valid and state.meets_capacity_floors(self.fleet.backends)):
            return None
        return state.with_evacuations_reverted(uncommitted)

    def _pause_or_resume(self, state: MaintenanceState) -> MaintenanceState | None:
        if self.fleet.fault:
            return state.with_pause(self.fleet.fault)
        return state.without_pause() if self.now >= self.last_fault_at + STABLE_PERIOD_MS else None

    def _releases(self) -> dict[str, int]:
        """Return the numbers of the evacuations that this relay can confirm, by backend.

        A relay places nothing on a backend once it has adopted the evacuation. It confirms only by an observation made
        after the adoption, because a connection may have been placed between an earlier observation and the adoption.
        """
        if not self.registered or not self.observed_since_adoption:
            return {}
        own = (self.name, self.incarnation)
        return {
            backend: evacuation.number
            for backend, evacuation in self.adopted.evacuations.items()
            if evacuation.stage == EMPTYING
            and backend not in self.fleet.used_backends
            and own not in evacuation.confirmed_by
        }

    def _confirm_own_releases(self, state: MaintenanceState) -> MaintenanceState | None:
        releases = self._releases()
        due = self._is_leader or self.now >= self.confirmable_since + OWN_CONFIRMATION_DELAY_MS
        return state.with_confirmations(self.name, self.incarnation, releases) if releases and due else None

    def _replace_own_voter_file(self, state: MaintenanceState) -> MaintenanceState | None:
        """Propose this relay's recreated voter file if the former one was lost, with the promises in it.

        The new file counts once all voters of the new voter set have accepted it.
        """
        if not self.identity or self.name not in state.voters:
            return None
        return state.with_voter(self.name, self.identity)
