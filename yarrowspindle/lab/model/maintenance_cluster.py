"""A simulated cluster of relays that evacuate backends for maintenance, with fault injection.

The relays run the maintenance coordinator on a virtual clock: they vote, propose, hold connections, crash and restart.
Backends fail, and several operators send commands. `MaintenanceChecker` verifies the safety rules from the outside: by
the states that relays report as committed and the connections that they place and hold, not by the internal state of
the coordinators. Events beside the faults are drawn from the seed (`Plan`). The clocks of the relays differ by up to
10 minutes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from msgspec import structs

from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT, Accept, Accepted, Prepare, Promise
from yarrowspindle.consensus.proposer import Proposer
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.lab.faults import Fault, FaultyNetwork, relay_names, schedule
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.maintenance.codec import decode, encode
from yarrowspindle.maintenance.commands import (
    AddVoter,
    CancelRequest,
    CompleteWork,
    OperatorCommand,
    QueueRequest,
    RemoveRelay,
    RemoveVoter,
)
from yarrowspindle.maintenance.coordinator import MaintenanceCoordinator
from yarrowspindle.maintenance.events import (
    AskAcceptor,
    FleetObserved,
    MessageReceived,
    SendMessage,
    SetTimer,
    StateCommitted,
    TimerFired,
)
from yarrowspindle.maintenance.fleet_health import FAULT_PERIOD_MS, BackendSample, FleetHealth
from yarrowspindle.maintenance.requests import QUEUED, MaintenanceRequest
from yarrowspindle.maintenance.state import EMPTYING, FREE, MaintenanceState
from yarrowspindle.protocol.fragments import Fragmenter

# The mean lifetime of a connection, and the mean remaining lifetime of one that is asked to migrate.
CONNECTION_LIFETIME_MS, MIGRATING_LIFETIME_MS = 3000.0, 400.0
TICK_MS = 100.0
WARMUP_MS = 1500.0
PLACEMENT_PROBABILITY = 0.3  # that a connection is placed directly after an event of a relay
INITIAL_IDENTITY = "first"


@dataclass(slots=True)
class MaintenanceResult:
    """The result of a simulation.

    Attributes:
        violations: The violations of safety rules.
        stuck: The state of a simulation that did not finish in time.
        evacuations: The number of evacuations that were started.
        max_evacuated: The most backends that were evacuated at once.
        rolled_back: The number of evacuations that ended before the backend was free.
        duration_s: The simulated time.
        faults: The injected faults.
    """

    violations: list[str] = field(default_factory=list)
    stuck: list[str] = field(default_factory=list)
    evacuations: int = 0
    max_evacuated: int = 0
    rolled_back: int = 0
    duration_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)


class MaintenanceChecker:
    """A checker of the safety rules on committed states and on the connections that relays place and hold.

    Attributes:
        violations: Texts of the first 20 violations.
        versions: The first state that was reported for each version.
        backend_by_number: The backend of each evacuation, by the evacuation's number.
        newest_state: The newest committed state.
    """

    def __init__(
        self, request: MaintenanceRequest, zones: dict[str, int], recently_ready: Callable[[], set[str]]
    ) -> None:
        """Check against the limits of `request`.

        Args:
            request: The request of the operator.
            zones: The zone of each backend.
            recently_ready: Returns the backends that are ready or were until recently.
        """
        self.operator_request, self.zones, self.recently_ready = request, zones, recently_ready
        self.rolled_back = 0
        self.violations: list[str] = []
        self.versions: dict[int, MaintenanceState] = {}
        self.backend_by_number: dict[int, str] = {}
        self.newest_state = MaintenanceState()
        self.max_evacuated = 0

    def report_violation(self, text: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(text)

    def on_committed(self, relay: str, state: MaintenanceState) -> None:
        """Check a state that a relay reports as committed."""
        known_state = self.versions.setdefault(state.version, state)
        if known_state != state:
            self.report_violation(f"{relay} committed a state of version {state.version} that differs from others'")
        for backend, evacuation in state.evacuations.items():
            if self.backend_by_number.setdefault(evacuation.number, backend) != backend:
                self.report_violation(
                    f"evacuation number {evacuation.number} is used for {backend} and "
                    f"{self.backend_by_number[evacuation.number]}"
                )
        if state.version > self.newest_state.version:
            number, previous = state.last_evacuation_number, self.newest_state.last_evacuation_number
            if number < previous:
                self.report_violation(f"the last evacuation number decreased from {previous} to {number}")
            if number > previous:
                # A backend that failed a moment ago counts as ready: its failure is not due to the evacuation.
                remaining = len(self.recently_ready() - set(state.evacuations))
                if remaining < self.operator_request.min_ready_capacity:
                    self.report_violation(
                        f"evacuation {number} leaves {remaining} ready backends, at least "
                        f"{self.operator_request.min_ready_capacity:g} are required"
                    )
            self.rolled_back += sum(
                o.stage == EMPTYING and m not in state.evacuations for m, o in self.newest_state.evacuations.items()
            )
            self.newest_state = state
        self.max_evacuated = max(self.max_evacuated, len(state.evacuations))
        zones = [self.zones[backend] for backend in state.evacuations]
        if len(zones) > self.operator_request.max_unavailable or any(
            zones.count(zone) > self.operator_request.max_unavailable_per_zone for zone in zones
        ):
            self.report_violation(f"{len(zones)} backends are evacuated at once, in zones {sorted(zones)}")

    def on_backend_used(self, relay: str, backend: str, use: str) -> None:
        """Check that a backend at which a relay places or holds a connection is not free.

        Args:
            relay: The name of the relay.
            backend: The name of the backend.
            use: What the relay does with a connection: "places" or "holds".
        """
        evacuation = self.newest_state.evacuations.get(backend)
        if evacuation is not None and evacuation.stage == FREE:
            self.report_violation(
                f"{relay} {use} a connection at {backend}, which is free by evacuation {evacuation.number}"
            )


@dataclass(slots=True, frozen=True)
class MaintenanceComponents:
    """The implementations that the relays use; tests replace some of them to plant defects.

    Attributes:
        state: The replicated state.
        acceptor: The acceptor of a voting relay.
        proposer: The proposer of a relay.
        coordinator: The maintenance coordinator of a relay.
        discard_acceptor_writes: Whether the files of acceptors are not written.
        reuse_lost_identity: Whether a lost acceptor file is recreated under the identity of the lost one.
    """

    state: type[MaintenanceState] = MaintenanceState
    acceptor: type[Acceptor[MaintenanceState]] = Acceptor
    proposer: type[Proposer[MaintenanceState]] = Proposer
    coordinator: type[MaintenanceCoordinator] = MaintenanceCoordinator
    discard_acceptor_writes: bool = False
    reuse_lost_identity: bool = False


@dataclass(slots=True, frozen=True)
class Plan:
    """The events of a simulation beside its faults.

    Attributes:
        placement_factor: A factor on the rate at which connections are placed.
        backend_failure_s: When a backend fails, to restart 15 s later with a new start time; negative for never.
        conflicting_request: Whether a second operator requests maintenance of some of the same backends.
        cancel_s: When an operator cancels the queued requests; negative for never.
        membership_changes: Whether relays join during evacuations, one of them ends for good and is removed, and a
            voter is added and another removed.
        encode_messages: Whether messages are encoded and fragmented into datagrams.
        crash_at: A key of `CRASH_POINTS` and a count n: the relay that takes the n-th step of this kind,
            counted over all relays, crashes.
    """

    placement_factor: float = 1.0
    backend_failure_s: float = -1.0
    conflicting_request: bool = False
    cancel_s: float = -1.0
    membership_changes: bool = False
    encode_messages: bool = False
    crash_at: tuple[str, int] = ("", 0)

    @staticmethod
    def from_seed(seed: int) -> Plan:
        """Return the events that the seed determines."""
        drawn = Random(f"plan {seed}")
        # Backends with few connections are included: a relay may consider those empty a moment too early.
        return Plan(
            drawn.choice((1.0, 0.2, 0.05)),
            drawn.uniform(2.0, 12.0) if drawn.random() < 0.25 else -1.0,
            drawn.random() < 0.2,
            drawn.uniform(1.0, 10.0) if drawn.random() < 0.15 else -1.0,
            drawn.random() < 0.2,
            drawn.random() < 0.1,
        )


CRASH_POINTS = {
    "prepare": Prepare,
    "promise": Promise,
    "accept": Accept,
    "accepted": Accepted,
    "committed": StateCommitted,
}


class SimulatedRelay:
    """A simulated relay process with its coordinator, acceptor and connections.

    Attributes:
        clock_offset_ms: How far the clock of the process is ahead of the virtual clock.
        stalled_until: The time of the relay's own clock until which the process is stopped.
        connections: The number of connections at each backend.
        acceptor: The acceptor of a relay that votes; its stored state outlives the process.
        core: The coordinator under test.
        log: The log lines, each with its time by the relay's clock.
    """

    def __init__(self, cluster: MaintenanceCluster, name: str) -> None:
        self.cluster, self.name = cluster, name
        self.alive, self.stalled_until = True, 0.0
        self.clock_offset_ms = cluster.random.uniform(0.0, 600_000.0)
        self.connections: dict[str, int] = {}
        self.fleet_health = FleetHealth(WARMUP_MS, 1.0)
        self.fragmenter = Fragmenter(cluster.random.getrandbits(40))
        stored = cluster.acceptor_files.get(name)
        self.acceptor = (
            cluster.components.acceptor(stored, cluster.acceptor_writer(name), self.now) if stored is not None else None
        )
        identity, state_hint = (stored.identity, stored.state) if stored is not None else ("", cluster.initial_state)
        self.core = cluster.components.coordinator(
            name,
            f"{cluster.random.getrandbits(64):x}",
            cluster.initial_state,
            identity,
            state_hint,
            cluster.random.randrange(1 << 30),
            self.now(),
            cluster.components.proposer,
        )
        self.log: list[tuple[float, str]] = []

    def now(self) -> float:
        return self.cluster.clock.now() - self.cluster.clock.start + self.clock_offset_ms

    def post(self, event: Any) -> None:
        if not self.alive:
            return
        remaining_ms = self.stalled_until - self.now()
        if remaining_ms > 0.0:  # all events of a stalled process are delayed
            self.cluster.clock.after(remaining_ms + self.cluster.random.random(), self.post, event)
            return
        self.execute(self.core.step(self.now(), event))
        if self.cluster.random.random() < PLACEMENT_PROBABILITY * self.cluster.plan.placement_factor:
            self.place_connection()

    def execute(self, effects: Sequence[Any]) -> None:
        for effect in effects:
            if not self.alive:
                return
            if isinstance(effect, SendMessage):
                self.send(effect.destination, effect.message)
            elif isinstance(effect, SetTimer):
                self.cluster.clock.after(effect.delay_ms, self.post, TimerFired(effect.timer))
            elif isinstance(effect, AskAcceptor):
                if self.acceptor is not None:
                    self.send(effect.source, self.acceptor.on_message(effect.message))
            elif isinstance(effect, StateCommitted):
                self.cluster.checker.on_committed(self.name, effect.state)
                self.cluster.on_protocol_step(self, effect)
            else:
                self.log.append((self.now(), effect.text))

    def send(self, to: str, message: Any) -> None:
        if not self.cluster.plan.encode_messages:
            self.cluster.send(self.name, to, message)
        else:
            for datagram in self.fragmenter.split(to, encode(message)):
                self.cluster.send(self.name, to, datagram)
        self.cluster.on_protocol_step(self, message)

    def on_message(self, source: str, message: Any) -> None:
        if not self.cluster.plan.encode_messages:
            self.post(MessageReceived(source, message))
        elif self.alive:
            assembled, replies = self.fragmenter.on_datagram(self.now(), source, message)
            for datagram in replies:
                self.cluster.send(self.name, source, datagram)
            if assembled is not None:
                self.post(MessageReceived(source, decode(assembled)))

    def place_connection(self) -> None:
        """Place a connection at a random backend if the coordinator allows it and the backend is up."""
        backend = self.cluster.random.choice(self.cluster.backends)
        if self.alive and self.core.may_place(backend) and self.cluster.is_up(backend):
            self.cluster.checker.on_backend_used(self.name, backend, "places")
            self.connections[backend] = self.connections.get(backend, 0) + 1

    def serve(self) -> None:
        """Simulate the service of one tick: connections end, migrate and are placed, and the fleet is observed."""
        if not self.alive or self.stalled_until > self.now():
            return
        random, cluster = self.cluster.random, self.cluster
        for backend in list(self.connections):
            migrating = self.core.adopted.excludes(backend)
            end_probability = (
                1.0
                if not cluster.is_up(backend)
                else TICK_MS / (MIGRATING_LIFETIME_MS if migrating else CONNECTION_LIFETIME_MS)
            )
            self.connections[backend] -= sum(
                random.random() < end_probability for _ in range(self.connections[backend])
            )
            if not self.connections[backend]:
                del self.connections[backend]
        for _ in range(3):
            if random.random() < cluster.plan.placement_factor:
                self.place_connection()
        for backend in self.connections:
            cluster.checker.on_backend_used(self.name, backend, "holds")
        for to, datagram in self.fragmenter.requests_due(self.now()):
            cluster.send(self.name, to, datagram)
        samples = [
            BackendSample(
                m, n % 2, 1.0, EndpointState.READY if cluster.is_up(m) else EndpointState.GONE, cluster.started_at[m]
            )
            for n, m in enumerate(cluster.backends)
        ]
        observation = self.fleet_health.assess(self.now(), samples, self.core.adopted)
        self.post(
            FleetObserved(frozenset(self.connections), observation.backends, cluster.live_relays(), observation.fault)
        )


class MaintenanceCluster:
    """Relays and backends on a virtual network and clock, and the operators that request maintenance.

    Attributes:
        zones: The zone of each backend.
        started_at: The start time of each backend.
        down_since: When each backend that is down failed, in seconds.
        operator_request: The maintenance request for all backends.
        operator_requests: All maintenance requests, including a conflicting one.
        names: The names of the relays that vote at the start.
        acceptor_files: The stored state of each acceptor, by relay.
        crash_point_count: How many steps of the kind in `Plan.crash_at` were taken.
    """

    def __init__(
        self,
        relays: int,
        backends: int,
        seed: int,
        components: MaintenanceComponents | None = None,
        plan: Plan | None = None,
    ) -> None:
        self.clock, self.random = VirtualClock(), Random(f"turns {seed}")
        self.seed, self.components, self.plan = (
            seed,
            components or MaintenanceComponents(),
            plan or Plan.from_seed(seed),
        )
        self.faulty_network = FaultyNetwork(seed)
        self.backends = tuple(f"m{n}" for n in range(backends))
        self.zones = {backend: n % 2 for n, backend in enumerate(self.backends)}
        self.started_at = dict.fromkeys(self.backends, 0.0)
        self.down_since: dict[str, float] = {}
        self.operator_request = MaintenanceRequest(
            tuple(sorted(self.backends, key=lambda m: (self.zones[m], m))), 2, 1, backends - 2.0
        )
        self.operator_requests = [self.operator_request]
        if self.plan.conflicting_request:
            self.operator_requests.append(
                structs.replace(self.operator_request, backends=self.operator_request.backends[::2], order="fewest")
            )
        self.names = relay_names(relays)
        self.initial_state = self.components.state(dict.fromkeys(self.names, INITIAL_IDENTITY))
        self.acceptor_files: dict[str, AcceptorState[MaintenanceState]] = {
            name: AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, self.initial_state) for name in self.names
        }
        self.checker = MaintenanceChecker(self.operator_request, self.zones, self.recently_ready)
        self.relays: dict[str, SimulatedRelay] = {}
        self.crash_point_count = 0
        for name in self.names:
            self.start(name)
        self.clock.after(TICK_MS, self._tick)
        if self.plan.backend_failure_s >= 0.0:
            backend = self.random.choice(self.backends)
            self.clock.after(1000.0 * self.plan.backend_failure_s, self.stop_backend, backend)
            self.clock.after(1000.0 * self.plan.backend_failure_s + 15_000.0, self.start_backend, backend)
        if self.plan.cancel_s >= 0.0:
            self.clock.after(1000.0 * self.plan.cancel_s, self._cancel_queued_requests)
        if self.plan.membership_changes:
            self.clock.after(self.random.uniform(1000.0, 8000.0), self._change_membership)

    # --- backends -------------------------------------------------------------------------------

    def is_up(self, backend: str) -> bool:
        return backend not in self.down_since

    def recently_ready(self) -> set[str]:
        """Return the backends that are up or were up `FAULT_PERIOD_MS` ago.

        An evacuation that was committed before a backend failed may be reported only after the failure if its proposer
        crashed too; it is rolled back then.
        """
        now = self.clock.seconds
        return {
            m for m in self.backends if m not in self.down_since or self.down_since[m] > now - FAULT_PERIOD_MS / 1000.0
        }

    def stop_backend(self, backend: str) -> None:
        self.down_since[backend] = self.clock.seconds

    def start_backend(self, backend: str) -> None:
        del self.down_since[backend]
        self.started_at[backend] = self.clock.now()

    # --- relays ---------------------------------------------------------------------------------

    def acceptor_writer(self, name: str) -> Callable[[AcceptorState[MaintenanceState]], None]:
        def store(stored: AcceptorState[MaintenanceState]) -> None:
            if not self.components.discard_acceptor_writes:
                self.acceptor_files[name] = stored

        return store

    def live_relays(self) -> tuple[str, ...]:
        return tuple(sorted(name for name, relay in self.relays.items() if relay.alive))

    def start(self, name: str) -> None:
        relay = self.relays[name] = SimulatedRelay(self, name)
        relay.execute(relay.core.take_effects())

    def kill(self, name: str, lose_file: bool = False) -> None:
        """Kill a relay; its connections end.

        Args:
            name: The name of the relay.
            lose_file: Whether its acceptor's file is lost too, so that it restarts with a new file and identity.
        """
        relay = self.relays[name]
        relay.alive = False
        relay.connections.clear()
        if lose_file:
            identity = (
                INITIAL_IDENTITY if self.components.reuse_lost_identity else f"file {self.random.getrandbits(40):x}"
            )
            self.acceptor_files[name] = AcceptorState(identity, NO_BALLOT, NO_BALLOT, self.initial_state)

    def on_protocol_step(self, relay: SimulatedRelay, step: Any) -> None:
        """Kill the relay if this is the step that `Plan.crash_at` names; it restarts after 1 s."""
        kind, number = self.plan.crash_at
        if kind and isinstance(step, CRASH_POINTS[kind]):
            self.crash_point_count += 1
            if self.crash_point_count == number:
                self.kill(relay.name)
                self.clock.after(1000.0, self.start, relay.name)

    def send(self, source: str, target: str, message: Any) -> None:
        for delay_ms, copy in self.faulty_network.deliveries(source, target, b"x"):
            if copy == b"x":  # a corrupted copy would be dropped by its checksum
                self.clock.after(delay_ms + self.random.uniform(0.1, 5.0), self._arrive, source, target, message)

    def _arrive(self, source: str, target: str, message: Any) -> None:
        relay = self.relays.get(target)
        if relay is not None:
            relay.on_message(source, message)

    def _change_membership(self) -> None:
        """Start two relays that do not vote; later remove one, and let the other vote in place of an initial voter."""
        self.start("s0")
        self.start("s1")

        def end_and_replace() -> None:
            self.kill("s0")
            self.clock.after(2000.0, self._remove_relay, "s0")
            self.acceptor_files["s1"] = AcceptorState(
                f"file {self.random.getrandbits(40):x}", NO_BALLOT, NO_BALLOT, self.initial_state
            )
            if self.relays["s1"].alive:
                self.kill("s1")
                self.start("s1")
                self.relays["s1"].post(AddVoter("s1", self.acceptor_files["s1"].identity))

        self.clock.after(4000.0, end_and_replace)
        self.clock.after(12_000.0, lambda: self.send_command(RemoveVoter(self.names[-1])))

    def _remove_relay(self, name: str) -> None:
        """Remove an ended relay from the state as an operator does, and check again every 2 s."""
        incarnation = self.checker.newest_state.relays.get(name)
        if incarnation is not None:
            self.send_command(RemoveRelay(name, incarnation))
        # A message in flight when the relay ended may register it again.
        self.clock.after(2000.0, self._remove_relay, name)

    def _cancel_queued_requests(self) -> None:
        for number, request in self.checker.newest_state.requests.items():
            if request.state == QUEUED:
                self.send_command(CancelRequest(number, request.changed_at_version))

    def _tick(self) -> None:
        self.clock.after(TICK_MS, self._tick)
        for relay in list(self.relays.values()):
            relay.serve()
        # The operators' work: a free backend is worked on for a random time, then reported as complete.
        newest = self.checker.newest_state
        for backend, evacuation in newest.evacuations.items():
            if evacuation.stage == FREE and self.random.random() < 0.1:
                if self.is_up(backend) and self.random.random() < 0.3:  # the backend is restarted
                    self.started_at[backend] = self.clock.now()
                self.send_command(CompleteWork(backend, evacuation.number))

    def send_command(self, command: OperatorCommand) -> None:
        """Send an operator's command to a random live relay."""
        alive = [relay for relay in self.relays.values() if relay.alive]
        if alive:
            alive[self.random.randrange(len(alive))].post(command)

    # --- faults ---------------------------------------------------------------------------------

    def schedule_faults(self, faults: Sequence[Fault], lose_file: bool) -> None:
        """Schedule the faults, counted from the start of the simulation.

        Args:
            faults: The faults to inject.
            lose_file: Whether the first killed relay loses its acceptor's file. Only one may be lost: consensus does
                not survive the loss of the files of a majority, which takes an operator to repair.
        """
        for fault in faults:
            start_ms, end_ms = 1000.0 * fault.start_s, 1000.0 * fault.end_s
            if fault.kind == "kill":
                self.clock.after(start_ms, self.kill, fault.participants[0], lose_file)
                lose_file = False
                self.clock.after(end_ms, self.start, fault.participants[0])
            elif fault.kind == "stall":
                self.clock.after(start_ms, self._stall, fault.participants[0], end_ms - start_ms)
            else:
                self.clock.after(start_ms, self.faulty_network.start, fault)
                self.clock.after(end_ms, self.faulty_network.end, fault)

    def _stall(self, name: str, for_ms: float) -> None:
        relay = self.relays[name]
        relay.stalled_until = max(relay.stalled_until, relay.now() + for_ms)

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + 1000.0 * seconds)

    def request_committed(self) -> bool:
        return any(request.id in self.checker.newest_state.requests for request in self.operator_requests)

    def finished(self) -> bool:
        """Return whether each requested backend was evacuated and returned, or its request was cancelled."""
        state = self.checker.newest_state
        return (
            self.request_committed()
            and all(r.state != QUEUED for r in state.requests.values())
            and not state.evacuations
        )


def run_maintenance_scenario(
    relays: int,
    backends: int,
    seed: int,
    kinds: Sequence[str],
    faults_s: float = 12.0,
    within_s: float = 120.0,
    lose_file: bool = False,
    components: MaintenanceComponents | None = None,
    plan: Plan | None = None,
    faults: Sequence[Fault] | None = None,
    simultaneous: bool = False,
) -> MaintenanceResult:
    """Evacuate all backends once while faults are active, and wait until all have returned.

    Args:
        relays: The number of relays, all of which vote at the start.
        backends: The number of backends.
        seed: The seed of the simulation.
        kinds: The kinds of the faults to draw.
        faults_s: The period from the start in which faults are active.
        within_s: The time allowed after that period.
        lose_file: Whether the first killed relay loses its acceptor's file.
        components: The implementations under test; the product's own by default.
        plan: The events beside the faults; drawn from the seed by default.
        faults: The faults to inject; drawn from the seed by default.
        simultaneous: Whether all drawn faults start at once.
    """
    cluster = MaintenanceCluster(relays, backends, seed, components, plan)
    if faults is None:
        faults = schedule(kinds, cluster.names, ["n0"], seed, 0.3, faults_s, 20.0)
        if simultaneous:
            faults = [replace(fault, start_s=faults[0].start_s) for fault in faults]
    result = MaintenanceResult(faults=list(faults))
    cluster.schedule_faults(result.faults, lose_file)
    cluster.run(0.5)
    # Operators send equal and conflicting requests to several relays: equal ones are accepted as one request, and of
    # two conflicting ones one is rejected.
    for request in (*cluster.operator_requests, structs.replace(cluster.operator_request)):
        cluster.send_command(QueueRequest(request, 0))
    while cluster.clock.seconds < faults_s + within_s and not cluster.finished() and not cluster.checker.violations:
        cluster.run(0.5)
        if cluster.clock.seconds > 2.0 and not cluster.request_committed():
            # The relay that received the request crashed before it was committed.
            cluster.send_command(QueueRequest(cluster.operator_request, 0))
    checker = cluster.checker
    result.violations, result.max_evacuated, result.rolled_back = (
        checker.violations,
        checker.max_evacuated,
        checker.rolled_back,
    )
    result.evacuations, result.duration_s = checker.newest_state.last_evacuation_number, cluster.clock.seconds
    if not cluster.finished() and not result.violations:
        state = checker.newest_state
        unconfirmed = {m: state.unconfirmed_relays(m) for m in state.evacuations}
        result.stuck.append(
            f"evacuations {state.evacuations}, not confirmed by {unconfirmed}, pause reason "
            f"{state.pause_reason!r}, requests {[(r.state, r.waiting) for r in state.requests.values()]}"
        )
    return result
