"""Turns on the virtual clock: relays that vote, propose, hold connections, die and come back; machines that die;
several operators; and what may never be.

The checker sees committed states as they are taken up, and what relays hold and place; it looks into no core. What a
day brings beside the faults is drawn from its seed (`Plan`). Each relay has a clock of its own, minutes apart.
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

CONNECTION_LIFETIME_MS, MIGRATING_LIFETIME_MS = 3000.0, 400.0  # of a connection, and of one that is asked to move
TICK_MS = 100.0
WARMUP_MS = 1500.0
PLACEMENT_PROBABILITY = 0.3  # of a relay's events that a connection comes right after
INITIAL_IDENTITY = "first"


@dataclass(slots=True)
class MaintenanceResult:
    """rolled_back: turns that were given back unemptied."""

    violations: list[str] = field(default_factory=list)
    stuck: list[str] = field(default_factory=list)
    evacuations: int = 0
    max_evacuated: int = 0
    rolled_back: int = 0
    duration_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)


class MaintenanceChecker:
    """Rules on what relays took up, held and placed."""

    def __init__(
        self, request: MaintenanceRequest, zones: dict[str, int], recently_ready: Callable[[], set[str]]
    ) -> None:
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
        known_state = self.versions.setdefault(state.version, state)
        if known_state != state:
            self.report_violation(f"two states of version {state.version}: {relay} took another")
        for backend, evacuation in state.evacuations.items():
            if self.backend_by_number.setdefault(evacuation.number, backend) != backend:
                self.report_violation(
                    f"turn {evacuation.number} is {backend}'s and {self.backend_by_number[evacuation.number]}'s"
                )
        if state.version > self.newest_state.version:
            number, previous = state.last_evacuation_number, self.newest_state.last_evacuation_number
            if number < previous:
                self.report_violation(f"turn numbers went back from {previous} to {number}")
            if number > previous:
                # Who died a moment ago is not the turn's doing.
                remaining = len(self.recently_ready() - set(state.evacuations))
                if remaining < self.operator_request.min_ready_capacity:
                    self.report_violation(
                        f"turn {number} leaves {remaining} ready, the floor is "
                        f"{self.operator_request.min_ready_capacity:g}"
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
            self.report_violation(f"{len(zones)} out at once, in zones {sorted(zones)}")

    def on_backend_used(self, relay: str, backend: str, use: str) -> None:
        """A relay places or holds a connection there now."""
        evacuation = self.newest_state.evacuations.get(backend)
        if evacuation is not None and evacuation.stage == FREE:
            self.report_violation(f"{relay} {use} at {backend}, which is free by turn {evacuation.number}")


@dataclass(slots=True, frozen=True)
class MaintenanceComponents:
    """Of which a relay is made; tests plant defects by others. forgets: files are not written; lies: a lost file is
    made anew under the identity of the one before."""

    state: type[MaintenanceState] = MaintenanceState
    acceptor: type[Acceptor[MaintenanceState]] = Acceptor
    proposer: type[Proposer[MaintenanceState]] = Proposer
    coordinator: type[MaintenanceCoordinator] = MaintenanceCoordinator
    discard_acceptor_writes: bool = False
    reuse_lost_identity: bool = False


@dataclass(slots=True, frozen=True)
class Plan:
    """What a day brings beside its faults. dies: a machine ends at this time (below 0: none does), and is back under a
    new start 15 s later; clash: a second wish that names some of the same machines, at another relay; cancel_s: when an
    operator cancels; joins: a relay comes in mid-turn, another that came so ends for good, a voter is taken in and one
    out; wired: messages go as bytes, in parcels. dies_at: a relay dies at its n-th step of this kind."""

    placement_factor: float = 1.0
    backend_failure_s: float = -1.0
    conflicting_request: bool = False
    cancel_s: float = -1.0
    membership_changes: bool = False
    encode_messages: bool = False
    crash_at: tuple[str, int] = ("", 0)

    @staticmethod
    def from_seed(seed: int) -> Plan:
        drawn = Random(f"plan {seed}")
        # Machines that hold little are the ones that a relay may take for empty a moment too soon.
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
    """A process of a relay; its file outlives it where it is stored."""

    def __init__(self, cluster: MaintenanceCluster, name: str) -> None:
        self.cluster, self.name = cluster, name
        self.alive, self.stalled_until = True, 0.0
        self.clock_offset_ms = cluster.random.uniform(0.0, 600_000.0)  # of its clock
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
        if remaining_ms > 0.0:  # a stopped process: all of it waits
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
        """A connection comes, at any moment between two events."""
        backend = self.cluster.random.choice(self.cluster.backends)
        if self.alive and self.core.may_place(backend) and self.cluster.is_up(backend):
            self.cluster.checker.on_backend_used(self.name, backend, "places")
            self.connections[backend] = self.connections.get(backend, 0) + 1

    def serve(self) -> None:
        """A moment of service: connections come and go, those at machines that empty are moved."""
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
        self.down_since: dict[str, float] = {}  # machine -> since when it is dead
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

    # --- machines -------------------------------------------------------------------------------

    def is_up(self, backend: str) -> bool:
        return backend not in self.down_since

    def recently_ready(self) -> set[str]:
        """Those that were up some time ago: a turn that was agreed on before a machine died may be heard of after it,
        where its proposer died too, and is taken back then."""
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
        """What it held breaks with it. lose: its file is gone as well, and it starts with another."""
        relay = self.relays[name]
        relay.alive = False
        relay.connections.clear()
        if lose_file:
            identity = (
                INITIAL_IDENTITY if self.components.reuse_lost_identity else f"file {self.random.getrandbits(40):x}"
            )
            self.acceptor_files[name] = AcceptorState(identity, NO_BALLOT, NO_BALLOT, self.initial_state)

    def on_protocol_step(self, relay: SimulatedRelay, step: Any) -> None:
        """The relay that comes to a step first, the n-th time, dies at it, and starts again after a second."""
        kind, number = self.plan.crash_at
        if kind and isinstance(step, CRASH_POINTS[kind]):
            self.crash_point_count += 1
            if self.crash_point_count == number:
                self.kill(relay.name)
                self.clock.after(1000.0, self.start, relay.name)

    def send(self, source: str, target: str, message: Any) -> None:
        for delay_ms, copy in self.faulty_network.deliveries(source, target, b"x"):
            if copy == b"x":  # one that was changed is dropped by its sum
                self.clock.after(delay_ms + self.random.uniform(0.1, 5.0), self._arrive, source, target, message)

    def _arrive(self, source: str, target: str, message: Any) -> None:
        relay = self.relays.get(target)
        if relay is not None:
            relay.on_message(source, message)

    def _change_membership(self) -> None:
        """Two relays come that do not vote; one ends for good and an operator says so; the other votes in another's
        place."""
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
        """Until it stands in the state: an operator looks."""
        incarnation = self.checker.newest_state.relays.get(name)
        if incarnation is not None:
            self.send_command(RemoveRelay(name, incarnation))
        self.clock.after(2000.0, self._remove_relay, name)  # its word may have been on the way when it ended

    def _cancel_queued_requests(self) -> None:
        for number, request in self.checker.newest_state.requests.items():
            if request.state == QUEUED:
                self.send_command(CancelRequest(number, request.changed_at_version))

    def _tick(self) -> None:
        self.clock.after(TICK_MS, self._tick)
        for relay in list(self.relays.values()):
            relay.serve()
        # The operator's hand: a machine that is free is worked on for a moment, and given back.
        newest = self.checker.newest_state
        for backend, evacuation in newest.evacuations.items():
            if evacuation.stage == FREE and self.random.random() < 0.1:
                if self.is_up(backend) and self.random.random() < 0.3:  # a new kernel
                    self.started_at[backend] = self.clock.now()
                self.send_command(CompleteWork(backend, evacuation.number))

    def send_command(self, command: OperatorCommand) -> None:
        alive = [relay for relay in self.relays.values() if relay.alive]
        if alive:
            alive[self.random.randrange(len(alive))].post(command)

    # --- faults ---------------------------------------------------------------------------------

    def schedule_faults(self, faults: Sequence[Fault], lose_file: bool) -> None:
        for fault in faults:
            start_ms, end_ms = 1000.0 * fault.start_s, 1000.0 * fault.end_s
            if fault.kind == "kill":
                self.clock.after(start_ms, self.kill, fault.participants[0], lose_file)
                lose_file = (
                    False  # files of a majority lost at once are more than any agreement bears: an operator's work
                )
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
        """Every wanted machine has been out and is back, or somebody cancelled that."""
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
    """All machines once round, with faults in the first seconds; everything must be back some time after they end.
    together: all faults begin in the same instant."""
    cluster = MaintenanceCluster(relays, backends, seed, components, plan)
    if faults is None:
        faults = schedule(kinds, cluster.names, ["n0"], seed, 0.3, faults_s, 20.0)
        if simultaneous:
            faults = [replace(fault, start_s=faults[0].start_s) for fault in faults]
    result = MaintenanceResult(faults=list(faults))
    cluster.schedule_faults(result.faults, lose_file)
    cluster.run(0.5)
    # Two operators at two relays: the same wish is one, and of two that clash one is refused.
    for request in (*cluster.operator_requests, structs.replace(cluster.operator_request)):
        cluster.send_command(QueueRequest(request, 0))
    while cluster.clock.seconds < faults_s + within_s and not cluster.finished() and not cluster.checker.violations:
        cluster.run(0.5)
        if cluster.clock.seconds > 2.0 and not cluster.request_committed():
            cluster.send_command(QueueRequest(cluster.operator_request, 0))  # whoever had it died with it
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
            f"out {state.evacuations}, waits for {unconfirmed}, paused "
            f"{state.pause_reason!r}, {[(r.state, r.waiting) for r in state.requests.values()]}"
        )
    return result
