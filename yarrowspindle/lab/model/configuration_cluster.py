"""A simulated cluster of controllers and relays that replicate the configuration, with fault injection.

The controllers and relays are spread over zones and regions and run on a virtual clock. Messages are encoded and sent
as datagrams. The clocks of the processes differ by up to 10 minutes. `ConfigurationChecker` verifies the safety rules
from the outside: by the states that controllers report as committed, the versions that relays apply and the answers
to operators, not by the internal state of the processes.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from yarrowspindle.configuration.agent import Agent
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.effects import (
    ApplySettings,
    AskAcceptor,
    ChangeAnswered,
    LogMessage,
    Persist,
    SendMessage,
    SetTimer,
    StateCommitted,
)
from yarrowspindle.configuration.events import ChangeRequested, MessageReceived, Sender, SettingsRejected, TimerFired
from yarrowspindle.configuration.link import Link
from yarrowspindle.configuration.messages import Delta, Snapshot
from yarrowspindle.configuration.settings import ControllerAddress, controllers_by_preference
from yarrowspindle.configuration.state import CommittedStep, ControlState, Entries, Step, apply_step
from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT
from yarrowspindle.consensus.proposer import Proposer
from yarrowspindle.lab.faults import FaultyNetwork
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.membership.codec import DroppedDatagramError
from yarrowspindle.protocol.fragments import REQUEST_INTERVAL_MS
from yarrowspindle.routing.address import Address

CLUSTER = "fleet"
INITIAL_IDENTITY = "first"
ZONES = ("z1", "z2", "z3", "z4", "z5", "z6")
REGIONS = {"z1": "a", "z2": "a", "z3": "a", "z4": "b", "z5": "b", "z6": "b"}
LATENCY_MS = {0: (0.2, 1.0), 1: (0.5, 3.0), 2: (15.0, 40.0)}  # within a zone, within a region, between regions
DISK_WRITE_MS = (1.0, 8.0)  # duration of a write of an acceptor's file
MAX_QUEUED_DATAGRAMS = 300  # in the socket of a stalled process; further datagrams are lost
PORT = 7950


def spread_controllers(count: int, voters: int) -> tuple[ControllerAddress, ...]:
    """Return the addresses of `count` controllers, distributed round robin over the zones.

    The first `voters` of them are voters, so that the voters are in as many zones as possible.
    """
    controllers = []
    for n in range(count):
        zone = ZONES[n % len(ZONES)]
        controllers.append(ControllerAddress(f"c{n:02d}", (f"10.200.0.{n + 1}", PORT), zone, REGIONS[zone], n < voters))
    return tuple(controllers)


def check_entries(entries: Entries) -> str:
    """Return why a relay of this model rejects the entries, or an empty text if it accepts them.

    The keys "left" and "right" exclude each other, so that two changes may each be valid alone but not together.
    """
    invalid_keys = [key for key, value in entries.items() if value == "nonsense"]
    if not invalid_keys and "left" in entries and "right" in entries:
        return "left and right are not both possible"
    return f"{invalid_keys[0]} makes no sense" if invalid_keys else ""


def check_entries_of_old_program(entries: Entries) -> str:
    """Return why a relay that runs an older program rejects the entries: it does not know some values."""
    unknown_keys = [key for key, value in entries.items() if value.startswith("novel")]
    return check_entries(entries) or (f"{unknown_keys[0]} is not known here" if unknown_keys else "")


def corrupted_copy(message: Delta | Snapshot) -> Delta | Snapshot:
    """Return the message with one entry changed, as sent by a controller with corrupted memory."""
    if isinstance(message, Snapshot):
        return msgspec.structs.replace(message, entries={**message.entries, "k0": "bent"})
    steps = [*message.steps[:-1], {**message.steps[-1], "k0": "bent"}]
    return msgspec.structs.replace(message, steps=steps)


@dataclass(slots=True, frozen=True)
class ConfigurationComponents:
    """The implementations that the processes use; tests replace some of them to plant defects.

    Attributes:
        agent: The configuration agent of a relay.
        controller: The controller.
        acceptor: The acceptor of a voting controller.
        proposer: The proposer of a controller.
        discard_acceptor_writes: Whether the files of acceptors are not written.
        reuse_lost_identity: Whether a lost acceptor file is recreated under the identity of the lost one.
        discard_relay_settings: Whether relays do not persist the settings that they applied.
    """

    agent: type[Agent] = Agent
    controller: type[Controller] = Controller
    acceptor: type[Acceptor[ControlState]] = Acceptor
    proposer: type[Proposer[ControlState]] = Proposer
    discard_acceptor_writes: bool = False
    reuse_lost_identity: bool = False
    discard_relay_settings: bool = False


@dataclass(slots=True)
class Change:
    """A change that an operator requested, and its progress. Times are negative until the event occurs.

    Attributes:
        step: The entries to set or delete.
        requested_s: When the operator requested the change.
        version: The version in which the change was committed; 0 before.
        answer: The rejection reason in the answer to the operator, empty if the change was accepted; None before.
        answered_s: When the operator was answered.
        committed_s: When a controller first reported the change as committed.
        in_force_s: When all live relays applied the change.
        in_force_s_by_region: When all live relays of a region applied the change.
        pending_relays: The live relays that do not apply the change yet, by region.
    """

    step: Step
    requested_s: float
    version: int = 0
    answer: str | None = None
    answered_s: float = -1.0
    committed_s: float = -1.0
    in_force_s: float = -1.0
    in_force_s_by_region: dict[str, float] = field(default_factory=dict)
    pending_relays: dict[str, set[str]] = field(default_factory=dict)


class ConfigurationChecker:
    """A checker of the safety rules on committed states, applied versions and answers to operators.

    Attributes:
        violations: Texts of the first 20 violations.
        committed_steps: The committed step to each version.
        entries_by_version: All entries of each committed version.
        version_by_order: The version that settled each order, by accepting controller, incarnation and number.
        applied_versions: The version that each relay applied last, including before a restart.
        version_regressions: How often a relay applied an older version after a newer one.
        conflicting_commits: How often two different contents were seen for one version.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.committed_steps: dict[int, CommittedStep] = {}
        self.entries_by_version: dict[int, Entries] = {0: {}}
        self.version_by_order: dict[tuple[str, int, int], int] = {}
        self.applied_versions: dict[str, int] = {}
        self.version_regressions = self.conflicting_commits = 0

    def report_violation(self, text: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(text)

    def on_committed(self, controller: str, state: ControlState) -> None:
        """Check a state that a controller reports as committed, with the recent steps that it contains."""
        known_entries = self.entries_by_version.setdefault(state.version, dict(state.entries))
        if known_entries != state.entries:
            self.conflicting_commits += 1
            self.report_violation(f"{controller} committed entries of version {state.version} that differ from others'")
        for committed in state.recent_steps:
            if self.committed_steps.setdefault(committed.version, committed) != committed:
                self.conflicting_commits += 1
                self.report_violation(
                    f"{controller} committed a step to version {committed.version} that differs from others'"
                )
            if committed.accepted_by:
                order = (committed.accepted_by, committed.incarnation, committed.number)
                if self.version_by_order.setdefault(order, committed.version) != committed.version:
                    self.report_violation(
                        f"order {order} was settled twice, in versions {self.version_by_order[order]} and "
                        f"{committed.version}"
                    )
                if (
                    committed.number > 1
                    and (committed.accepted_by, committed.incarnation, committed.number - 1)
                    not in self.version_by_order
                ):
                    self.report_violation(f"order {order} was settled before the preceding order")
            previous_entries = self.entries_by_version.get(committed.version - 1)
            if previous_entries is not None and committed.version not in self.entries_by_version:
                self.entries_by_version[committed.version] = apply_step(previous_entries, committed.step)
        previous_entries = self.entries_by_version.get(state.version - 1)
        last = self.committed_steps.get(state.version)
        if (
            previous_entries is not None
            and last is not None
            and apply_step(previous_entries, last.step) != state.entries
        ):
            self.report_violation(
                f"the entries of version {state.version} are not those of version {state.version - 1} plus its step"
            )

    def on_applied(
        self, relay: str, version: int, entries: Entries, rejection_reason: str, received_version: int
    ) -> None:
        """Check a version that a relay applies from now on.

        Args:
            relay: The name of the relay.
            version: The applied version.
            entries: The applied entries.
            rejection_reason: The result of the relay's own check of the entries; empty if it accepts them.
            received_version: The newest version that the relay received, as a snapshot or by steps without a gap.
        """
        known_entries = self.entries_by_version.get(version)
        if known_entries is None:
            self.report_violation(f"{relay} applies version {version}, which is not committed")
        elif known_entries != entries:
            self.conflicting_commits += 1
            self.report_violation(f"{relay} applies version {version} with entries that differ from the committed ones")
        if rejection_reason:
            self.report_violation(f"{relay} applies version {version}, which its check rejects: {rejection_reason}")
        if version > received_version:
            self.report_violation(
                f"{relay} applies version {version}, but received all steps only up to version {received_version}"
            )
        self.record_applied_version(relay, version)

    def record_applied_version(self, relay: str, version: int) -> None:
        """Record the version that a relay applies, also directly after a start, and check that it is not older."""
        if version < self.applied_versions.get(relay, 0):
            self.version_regressions += 1
            self.report_violation(
                f"{relay} applies version {version} after the newer version {self.applied_versions[relay]}"
            )
        self.applied_versions[relay] = version

    def on_answered(self, change: Change, version: int, rejection_reason: str) -> None:
        """Check the answer to an operator against the committed steps.

        Args:
            change: The requested change.
            version: The version that contains the change according to the answer; 0 if it was rejected.
            rejection_reason: Why the change was rejected. A reason that refers to `show` leaves the result open.
        """
        committed = self.committed_steps.get(version)
        if version and (committed is None or dict(committed.step) != dict(change.step)):
            self.report_violation(
                f"the answer to an operator says that version {version} contains the change, which it does not"
            )
        if (
            not version
            and "see `show`" not in rejection_reason
            and any(committed.step == change.step for committed in self.committed_steps.values())
        ):
            self.report_violation(
                f"the answer to an operator says that the change is rejected ({rejection_reason}), but it is committed"
            )


class Host:
    """A simulated process of a controller or a relay, with its own clock and socket.

    Attributes:
        clock_offset_ms: How far the clock of the process is ahead of the virtual clock.
        stalled_until: The time of the virtual clock until which the process is stopped.
        queued_datagrams: Datagrams that wait in the socket while the process is stalled.
        fragment_request_scheduled: Whether a request for missing fragments of messages is scheduled.
        log: The log lines, each with its time in seconds.
        cpu_s: The processor time spent, if the cluster measures it.
    """

    def __init__(self, cluster: ConfigurationCluster, name: str, address: Address, zone: str) -> None:
        self.cluster, self.name, self.address, self.zone, self.region = cluster, name, address, zone, REGIONS[zone]
        self.alive, self.stalled_until = True, 0.0
        self.clock_offset_ms = cluster.random.uniform(0.0, 600_000.0)
        self.incarnation = cluster.incarnation(name)
        self.link = Link(name, address, CLUSTER, self.incarnation, cluster.random.getrandbits(40), self.now())
        self.core: Agent | Controller
        self.queued_datagrams: list[tuple[bytes, Address]] = []
        self.fragment_request_scheduled = False
        self.log: list[tuple[float, str]] = []
        self.cpu_s = 0.0

    def now(self) -> float:
        return self.cluster.clock.now() - self.cluster.clock.start + self.clock_offset_ms

    def post(self, event: Any) -> None:
        if not self.alive:
            return
        remaining_ms = self.stalled_until - self.cluster.clock.now()
        if remaining_ms > 0.0:  # all events of a stalled process are delayed
            self.cluster.clock.after(remaining_ms + self.cluster.random.random(), self.post, event)
            return
        if self.cluster.measure_cpu:
            started = time.thread_time()
            effects = self.core.step(self.now(), event)
            self.cpu_s += time.thread_time() - started
        else:
            effects = self.core.step(self.now(), event)
        self.execute(effects)

    def execute(self, effects: Sequence[Any]) -> None:
        for effect in effects:
            if not self.alive:
                return
            if isinstance(effect, SendMessage):
                self.send(effect.to.address, effect.message)
            elif isinstance(effect, SetTimer):
                self.cluster.clock.after(effect.delay_ms, self.post, TimerFired())
            else:
                self.execute_other(effect)

    def execute_other(self, effect: Any) -> None:
        """Execute an effect that not all kinds of processes have; here, write a log line."""
        self.log.append((self.cluster.clock.seconds, effect.text))

    def send(self, to: Address, message: object) -> None:
        if to == self.address:
            # Delivered without delay, but after the effects that are being executed.
            self.cluster.clock.after(
                0.0, self.post, MessageReceived(Sender(self.name, self.address, self.incarnation, 0), message)
            )
            return
        started = time.thread_time() if self.cluster.measure_cpu else 0.0
        datagrams = self.link.encode(self.now(), to, message)
        if self.cluster.measure_cpu:
            self.cpu_s += time.thread_time() - started
        for data in datagrams:
            self.cluster.send(self, to, data)
        self.cluster.on_message_sent(self, message)

    def on_datagram(self, data: bytes, source: Address) -> None:
        if not self.alive:
            return
        if self.stalled_until > self.cluster.clock.now():
            if len(self.queued_datagrams) < MAX_QUEUED_DATAGRAMS:
                self.queued_datagrams.append((data, source))
                if len(self.queued_datagrams) == 1:
                    self.cluster.clock.after(
                        self.stalled_until - self.cluster.clock.now(), self._process_queued_datagrams
                    )
            return
        started = time.thread_time() if self.cluster.measure_cpu else 0.0
        try:
            received = self.link.receive(self.now(), data, source)
        except DroppedDatagramError:
            return
        finally:
            if self.cluster.measure_cpu:
                self.cpu_s += time.thread_time() - started
        for datagram in received.replies:
            self.cluster.send(self, received.sender.address, datagram)
        if received.message is not None:
            self.post(MessageReceived(received.sender, received.message))
        self._schedule_fragment_request()

    def _process_queued_datagrams(self) -> None:
        queued_datagrams, self.queued_datagrams = self.queued_datagrams, []
        for data, source in queued_datagrams:
            self.on_datagram(data, source)

    def _schedule_fragment_request(self) -> None:
        if self.link.fragmenter.partial and not self.fragment_request_scheduled:
            self.fragment_request_scheduled = True
            self.cluster.clock.after(REQUEST_INTERVAL_MS, self._request_fragments)

    def _request_fragments(self) -> None:
        self.fragment_request_scheduled = False
        if self.alive and self.stalled_until <= self.cluster.clock.now():
            for request in self.link.missing_fragment_requests(self.now()):
                self.cluster.send(self, request.to, request.data)
        if self.alive:
            self._schedule_fragment_request()


class RelayHost(Host):
    """A simulated relay process with its configuration agent.

    Attributes:
        core: The agent under test.
        received_version: The newest version received, as a snapshot or by steps without a gap.
        applied_version: The version that the relay applies.
        unsupported_version: A version that this relay cannot apply although its check accepts the entries; 0 for none.
        started_s: When the process started.
        newest_at_start: The newest committed version at that time.
        check: The check of entries before they are applied.
    """

    core: Agent

    def __init__(self, cluster: ConfigurationCluster, name: str, address: Address, zone: str) -> None:
        super().__init__(cluster, name, address, zone)
        version, entries = cluster.persisted_settings.get(name, (0, {}))
        self.received_version = version
        self.applied_version, self.unsupported_version = 0, 0
        self.started_s, self.newest_at_start = cluster.clock.seconds, cluster.newest_version()
        self.check = check_entries_of_old_program if name in cluster.old_program_relays else check_entries
        controllers = controllers_by_preference(cluster.controller_addresses, name, zone, self.region)
        self.core = cluster.components.agent(
            controllers, self.check, cluster.random.randrange(1 << 30), self.now(), version, entries
        )
        self.execute(self.core.take_effects())
        cluster.checker.record_applied_version(name, self.applied_version)

    def post(self, event: Any) -> None:
        message = event.message if isinstance(event, MessageReceived) else None
        if isinstance(message, Snapshot) or (
            isinstance(message, Delta)
            and message.base <= self.received_version
            and len(message.steps) == message.version - message.base
        ):
            self.received_version = max(self.received_version, message.version)
        super().post(event)

    def has_applied_or_rejected(self, version: int) -> bool:
        """Return whether the relay applies this version or a newer one, or cannot apply it."""
        return (
            self.applied_version >= version
            or self.unsupported_version == version
            or bool(self.check(self.cluster.checker.entries_by_version[version]))
        )

    def execute(self, effects: Sequence[Any]) -> None:
        for update in [effect for effect in effects if isinstance(effect, ApplySettings)]:
            # The effects beside timers and log lines presuppose that the version was applied: they are dropped.
            if update.version == self.unsupported_version:
                effects = [effect for effect in effects if isinstance(effect, SetTimer | LogMessage)]
                effects += self.core.step(self.now(), SettingsRejected(update.version, "this relay cannot"))
        super().execute(effects)

    def execute_other(self, effect: Any) -> None:
        if isinstance(effect, ApplySettings):
            self.cluster.checker.on_applied(
                self.name, effect.version, effect.entries, self.check(effect.entries), self.received_version
            )
            self.applied_version = effect.version
            self.cluster.on_applied(self)
        elif isinstance(effect, Persist):
            if not self.cluster.components.discard_relay_settings:
                self.cluster.persisted_settings[self.name] = effect.version, dict(effect.entries)
        else:
            super().execute_other(effect)


class ControllerHost(Host):
    """A simulated controller process, with an acceptor and its file if it votes.

    Attributes:
        core: The controller under test.
        started_s: When the process started.
        received_tickets: The tickets of the received changes, in the order of receipt.
        acceptor: The acceptor of a voting controller.
        disk_free_at_ms: When the writes of the acceptor's file that are scheduled so far are complete.
    """

    core: Controller

    def __init__(self, cluster: ConfigurationCluster, name: str, address: Address, zone: str) -> None:
        super().__init__(cluster, name, address, zone)
        self.started_s = cluster.clock.seconds
        self.received_tickets: list[int] = []
        own_address = next(m for m in cluster.controller_addresses if m.name == name)
        stored = cluster.acceptor_files.get(name)
        if stored is None and own_address.voter:
            stored = AcceptorState(
                INITIAL_IDENTITY
                if cluster.components.reuse_lost_identity
                else f"{name} {cluster.random.getrandbits(60):x}",
                NO_BALLOT,
                NO_BALLOT,
                cluster.initial_state,
            )
            cluster.acceptor_files[name] = stored
        self.acceptor = cluster.components.acceptor(stored, self._store, self.now) if stored is not None else None
        self.core = cluster.components.controller(
            own_address,
            cluster.controller_addresses,
            cluster.initial_state,
            stored.identity if stored is not None else "",
            stored.state if stored is not None else cluster.initial_state,
            self.incarnation,
            check_entries,
            cluster.random.randrange(1 << 30),
            self.now(),
            cluster.components.proposer,
        )
        self.disk_free_at_ms = 0.0
        self.execute(self.core.take_effects())

    def post(self, event: Any) -> None:
        if isinstance(event, ChangeRequested) and self.alive and self.stalled_until <= self.cluster.clock.now():
            self.received_tickets.append(event.ticket)
        super().post(event)

    def send(self, to: Address, message: object) -> None:
        if self.name in self.cluster.corrupting_controllers and isinstance(message, Delta | Snapshot):
            message = corrupted_copy(message)
        super().send(to, message)

    def _store(self, stored: AcceptorState[ControlState]) -> None:
        if self.name in self.cluster.full_disks:
            raise OSError("no space left on the device")
        if not self.cluster.components.discard_acceptor_writes:
            self.cluster.acceptor_files[self.name] = stored

    def execute_other(self, effect: Any) -> None:
        if isinstance(effect, AskAcceptor):
            # The daemon answers acceptor requests one at a time on a separate thread; each waits for the one before.
            clock = self.cluster.clock
            self.disk_free_at_ms = max(self.disk_free_at_ms, clock.now()) + self.cluster.random.uniform(*DISK_WRITE_MS)
            clock.after(self.disk_free_at_ms - clock.now(), self._answer_acceptor, effect)
        elif isinstance(effect, StateCommitted):
            self.cluster.on_committed(self, effect.state)
        elif isinstance(effect, ChangeAnswered):
            self.cluster.on_answered(self, effect)
        else:
            super().execute_other(effect)

    def _answer_acceptor(self, request: AskAcceptor) -> None:
        if not self.alive or self.acceptor is None:
            return
        remaining_ms = self.stalled_until - self.cluster.clock.now()
        if remaining_ms > 0.0:
            self.cluster.clock.after(remaining_ms, self._answer_acceptor, request)
            return
        try:
            answer = self.acceptor.on_message(request.message)
        except OSError as error:
            self.log.append((self.cluster.clock.seconds, f"acceptor file not written, request not answered: {error}"))
            return
        self.cluster.on_message_sent(self, answer)
        if self.alive:
            self.send(request.sender.address, answer)


class ConfigurationCluster:
    """Controllers and relays on a virtual network and clock, and the progress of the requested changes.

    Attributes:
        measure_cpu: Whether the processor time of each process is measured.
        acceptor_files: The stored state of each acceptor, by controller.
        persisted_settings: The version and entries that each relay persisted.
        clocks_set_back: Processes whose next incarnation is lower than the one before, as their clock was set back.
        full_disks: Controllers that cannot write their acceptor's file.
        corrupting_controllers: Controllers that change an entry in what they send to relays.
        old_program_relays: Relays that reject values which the controllers accept.
        locations: The address and zone of each process.
        loss_probability: The probability that a datagram is lost, beside the injected faults.
        regions_partitioned: Whether no datagrams pass between the regions.
        changes: The requested changes, by controller and ticket.
        pending_changes: The committed changes that are not in force at all live relays, by version.
        catch_up_s: The time from a relay's start until it applied the version that was the newest at its start.
        crash_at: The name of a message type and a count n: the controller that sends the n-th such message crashes.
        crash_stall_ms: If positive, that controller is stalled for this time instead of crashing.
        crashed_process: The name of the controller that crashed or stalled by `crash_at`.
    """

    def __init__(
        self,
        relays: int,
        seed: int,
        controllers: int = 11,
        voters: int = 5,
        components: ConfigurationComponents | None = None,
        measure_cpu: bool = False,
    ) -> None:
        """Create the cluster with `relays` relays spread evenly over the zones; no process is started."""
        self.clock, self.seed, self.components, self.measure_cpu = (
            VirtualClock(),
            seed,
            components or ConfigurationComponents(),
            measure_cpu,
        )
        self.random, self.network_random = Random(f"control {seed}"), Random(f"control wires {seed}")
        self.controller_addresses = spread_controllers(controllers, voters)
        self.initial_state = ControlState({m.name: INITIAL_IDENTITY for m in self.controller_addresses if m.voter})
        self.acceptor_files: dict[str, AcceptorState[ControlState]] = {
            m.name: AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, self.initial_state)
            for m in self.controller_addresses
            if m.voter
        }
        self.persisted_settings: dict[str, tuple[int, Entries]] = {}
        self.incarnations: Counter[str] = Counter()
        self.clocks_set_back: set[str] = set()
        self.full_disks: set[str] = set()
        self.corrupting_controllers: set[str] = set()
        self.old_program_relays: set[str] = set()
        self.checker = ConfigurationChecker()
        self.hosts: dict[str, Host] = {}
        self.hosts_by_address: dict[Address, Host] = {}
        self.locations = {m.name: (m.address, m.zone) for m in self.controller_addresses} | {
            f"r{n:04d}": ((f"10.{n >> 8}.{n & 255}.1", PORT), ZONES[n % len(ZONES)]) for n in range(relays)
        }
        self.faulty_network = FaultyNetwork(seed)
        self.loss_probability = 0.0
        self.regions_partitioned = False
        self.changes: dict[tuple[str, int], Change] = {}
        self.committed_versions: set[int] = set()
        self.pending_changes: dict[int, Change] = {}
        self.last_ticket = 0
        self.catch_up_s: dict[str, float] = {}
        self.steps: Counter[str] = Counter()
        self.crash_at: tuple[str, int] = ("", 0)
        self.crash_stall_ms = 0.0
        self.crashed_process = ""

    # --- processes ------------------------------------------------------------------------------

    def incarnation(self, name: str) -> int:
        """Return the next incarnation of a process: higher than the one before unless its clock was set back."""
        self.incarnations[name] += 1
        if name in self.clocks_set_back:
            self.clocks_set_back.discard(name)
            return 500 + self.incarnations[name]
        return 1000 * self.incarnations[name]

    def start(self, name: str) -> Host:
        """Start a process; the process that had the name before must have been killed."""
        address, zone = self.locations[name]
        self.catch_up_s.pop(name, None)
        host = (ControllerHost if name[0] == "c" else RelayHost)(self, name, address, zone)
        self.hosts[name] = self.hosts_by_address[address] = host
        return host

    def restart(self, name: str) -> None:
        self.start(name)

    def start_all(self) -> None:
        for name in self.locations:
            self.start(name)

    def kill(self, name: str) -> None:
        self.hosts[name].alive = False
        for version, change in list(self.pending_changes.items()):
            self._update_in_force(version, change, self.hosts[name])

    def stall(self, name: str, for_ms: float) -> None:
        host = self.hosts[name]
        host.stalled_until = max(host.stalled_until, self.clock.now() + for_ms)

    @property
    def relays(self) -> list[RelayHost]:
        """The live relays."""
        return [h for h in self.hosts.values() if isinstance(h, RelayHost) and h.alive]

    @property
    def controllers(self) -> list[ControllerHost]:
        """The live controllers."""
        return [h for h in self.hosts.values() if isinstance(h, ControllerHost) and h.alive]

    # --- the network ----------------------------------------------------------------------------

    def send(self, source: Host, to: Address, data: bytes) -> None:
        target = self.hosts_by_address.get(to)
        if target is None or (self.regions_partitioned and source.region != target.region):
            return
        if self.loss_probability and self.network_random.random() < self.loss_probability:
            return
        distance = 0 if source.zone == target.zone else 1 if source.region == target.region else 2
        latency_ms = self.network_random.uniform(*LATENCY_MS[distance])
        if not self.faulty_network.active:
            self.clock.after(latency_ms, self._arrive, to, data, source.address)
            return
        for extra_ms, copy in self.faulty_network.deliveries(source.name, target.name, data):
            self.clock.after(latency_ms + extra_ms, self._arrive, to, copy, source.address)

    def _arrive(self, to: Address, data: bytes, source: Address) -> None:
        self.hosts_by_address[to].on_datagram(data, source)

    def on_message_sent(self, host: Host, message: object) -> None:
        """Crash or stall the host if `crash_at` names this message.

        Called after a message was sent, and for an answer of an acceptor after its state was written and before the
        answer is sent.
        """
        kind, count = self.crash_at
        if kind and host.name[0] == "c" and type(message).__name__ == kind:
            self.crash_at = (kind, count - 1)
            if count <= 1:
                self.crash_at = ("", 0)
                self.crashed_process = host.name
                if self.crash_stall_ms:
                    self.stall(host.name, self.crash_stall_ms)
                else:
                    self.kill(host.name)

    # --- changes --------------------------------------------------------------------------------

    def request_change(self, controller: str, step: Step) -> Change:
        """Request a change as an operator at this controller."""
        self.last_ticket += 1
        change = Change(step, self.clock.seconds)
        self.changes[controller, self.last_ticket] = change
        self.hosts[controller].post(ChangeRequested(self.last_ticket, step))
        return change

    def on_committed(self, host: ControllerHost, state: ControlState) -> None:
        self.checker.on_committed(host.name, state)
        for committed in state.recent_steps:
            if not committed.step or committed.version in self.committed_versions:
                continue
            self.committed_versions.add(committed.version)
            for change in self.changes.values():
                if change.committed_s < 0.0 and (
                    change.step is committed.step or dict(change.step) == dict(committed.step)
                ):
                    change.committed_s, change.version = self.clock.seconds, committed.version
                    for relay in self.relays:
                        pending_relays = change.pending_relays.setdefault(relay.region, set())
                        if relay.applied_version < committed.version:
                            pending_relays.add(relay.name)
                    self.pending_changes[committed.version] = change
                    self._update_in_force(committed.version, change)
                    break

    def on_applied(self, host: RelayHost) -> None:
        for version, change in list(self.pending_changes.items()):
            if version <= host.applied_version:
                self._update_in_force(version, change, host)
        if host.applied_version >= host.newest_at_start and host.name not in self.catch_up_s:
            self.catch_up_s[host.name] = self.clock.seconds - host.started_s

    def _update_in_force(self, version: int, change: Change, host: Host | None = None) -> None:
        """Record that a host applies the change or ended, and when no live relay lacks the change any more.

        Args:
            version: The version in which the change was committed.
            change: The change.
            host: The process that applies the change now or has ended; None to check without such an event.
        """
        if host is not None:
            change.pending_relays.get(host.region, set[str]()).discard(host.name)
        for region in [r for r, pending_relays in change.pending_relays.items() if not pending_relays]:
            change.in_force_s_by_region[region] = self.clock.seconds
            del change.pending_relays[region]
        if not change.pending_relays:
            change.in_force_s = self.clock.seconds
            del self.pending_changes[version]

    def on_answered(self, host: ControllerHost, answer: ChangeAnswered) -> None:
        change = self.changes[host.name, answer.ticket]
        if change.answer is not None:
            self.checker.report_violation(f"{host.name} answered a change twice")
        change.answer, change.answered_s = answer.reason, self.clock.seconds
        self.checker.on_answered(change, answer.version, answer.reason)

    def run(self, for_s: float) -> None:
        self.clock.run_until(self.clock.now() + 1000.0 * for_s)

    def run_until(self, condition: Callable[[], bool], within_s: float) -> float:
        """Run until the condition holds.

        Returns:
            The elapsed time in seconds; negative if the condition did not hold within `within_s`.
        """
        started = self.clock.seconds
        while not condition():
            if self.clock.seconds >= started + within_s:
                return -1.0
            self.run(0.05)
        return self.clock.seconds - started

    def newest_version(self) -> int:
        return max(self.checker.entries_by_version)

    def all_applied_newest(self) -> bool:
        """Return whether all live relays apply the newest version, except those that cannot."""
        newest_version = self.newest_version()
        return all(relay.has_applied_or_rejected(newest_version) for relay in self.relays)
