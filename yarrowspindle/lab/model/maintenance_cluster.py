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

LIFE_MS, MOVED_MS = 3000.0, 400.0  # of a connection, and of one that is asked to move
STEP_MS = 100.0
COLD_MS = 1500.0
PLACED_FRACTION = 0.3  # of a relay's events that a connection comes right after
FIRST = "first"


@dataclass(slots=True)
class TurnDay:
    """rolled_back: turns that were given back unemptied."""

    violations: list[str] = field(default_factory=list)
    stuck: list[str] = field(default_factory=list)
    turns: int = 0
    most_out: int = 0
    rolled_back: int = 0
    took_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)


class Checker:
    """Rules on what relays took up, held and placed."""

    def __init__(self, wish: MaintenanceRequest, zones: dict[str, int], ready_of_late: Callable[[], set[str]]) -> None:
        self.wish, self.zones, self.ready_of_late = wish, zones, ready_of_late
        self.rolled_back = 0
        self.violations: list[str] = []
        self.versions: dict[int, MaintenanceState] = {}
        self.turns: dict[int, str] = {}
        self.newest = MaintenanceState()
        self.most_out = 0

    def broken(self, text: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(text)

    def took(self, relay: str, state: MaintenanceState) -> None:
        known = self.versions.setdefault(state.version, state)
        if known != state:
            self.broken(f"two states of version {state.version}: {relay} took another")
        for machine, out in state.evacuations.items():
            if self.turns.setdefault(out.number, machine) != machine:
                self.broken(f"turn {out.number} is {machine}'s and {self.turns[out.number]}'s")
        if state.version > self.newest.version:
            number, former = state.last_evacuation_number, self.newest.last_evacuation_number
            if number < former:
                self.broken(f"turn numbers went back from {former} to {number}")
            if number > former:
                # Who died a moment ago is not the turn's doing.
                left = len(self.ready_of_late() - set(state.evacuations))
                if left < self.wish.min_ready_capacity:
                    self.broken(f"turn {number} leaves {left} ready, the floor is {self.wish.min_ready_capacity:g}")
            self.rolled_back += sum(
                o.stage == EMPTYING and m not in state.evacuations for m, o in self.newest.evacuations.items()
            )
            self.newest = state
        self.most_out = max(self.most_out, len(state.evacuations))
        zones = [self.zones[machine] for machine in state.evacuations]
        if len(zones) > self.wish.max_unavailable or any(
            zones.count(zone) > self.wish.max_unavailable_per_zone for zone in zones
        ):
            self.broken(f"{len(zones)} out at once, in zones {sorted(zones)}")

    def uses(self, relay: str, machine: str, how: str) -> None:
        """A relay places or holds a connection there now."""
        out = self.newest.evacuations.get(machine)
        if out is not None and out.stage == FREE:
            self.broken(f"{relay} {how} at {machine}, which is free by turn {out.number}")


@dataclass(slots=True, frozen=True)
class Parts:
    """Of which a relay is made; tests plant defects by others. forgets: files are not written; lies: a lost file is
    made anew under the identity of the one before."""

    state: type[MaintenanceState] = MaintenanceState
    voter: type[Acceptor[MaintenanceState]] = Acceptor
    proposer: type[Proposer[MaintenanceState]] = Proposer
    turns: type[MaintenanceCoordinator] = MaintenanceCoordinator
    forgets: bool = False
    lies: bool = False


@dataclass(slots=True, frozen=True)
class Plan:
    """What a day brings beside its faults. dies: a machine ends at this time (below 0: none does), and is back under a
    new start 15 s later; clash: a second wish that names some of the same machines, at another relay; cancel_s: when an
    operator cancels; joins: a relay comes in mid-turn, another that came so ends for good, a voter is taken in and one
    out; wired: messages go as bytes, in parcels. dies_at: a relay dies at its n-th step of this kind."""

    busy: float = 1.0
    dies_s: float = -1.0
    clash: bool = False
    cancel_s: float = -1.0
    joins: bool = False
    wired: bool = False
    dies_at: tuple[str, int] = ("", 0)

    @staticmethod
    def of(seed: int) -> Plan:
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


STEPS = {"prepare": Prepare, "promise": Promise, "accept": Accept, "accepted": Accepted, "committed": StateCommitted}


class TurnRelay:
    """A process of a relay; its file outlives it where it is kept."""

    def __init__(self, world: TurnWorld, name: str) -> None:
        self.world, self.name = world, name
        self.alive, self.stalled_until = True, 0.0
        self.ahead_ms = world.random.uniform(0.0, 600_000.0)  # of its clock
        self.held: dict[str, int] = {}
        self.watch = FleetHealth(COLD_MS, 1.0)
        self.parcels = Fragmenter(world.random.getrandbits(40))
        kept = world.files.get(name)
        self.voter = world.parts.voter(kept, world.storing(name), self.now) if kept is not None else None
        identity, guide = (kept.identity, kept.state) if kept is not None else ("", world.first)
        self.core = world.parts.turns(
            name,
            f"{world.random.getrandbits(64):x}",
            world.first,
            identity,
            guide,
            world.random.randrange(1 << 30),
            self.now(),
            world.parts.proposer,
        )
        self.log: list[tuple[float, str]] = []

    def now(self) -> float:
        return self.world.clock.now() - self.world.clock.start + self.ahead_ms

    def post(self, event: Any) -> None:
        if not self.alive:
            return
        left = self.stalled_until - self.now()
        if left > 0.0:  # a stopped process: all of it waits
            self.world.clock.after(left + self.world.random.random(), self.post, event)
            return
        self.carry_out(self.core.step(self.now(), event))
        if self.world.random.random() < PLACED_FRACTION * self.world.plan.busy:
            self.place()

    def carry_out(self, effects: Sequence[Any]) -> None:
        for effect in effects:
            if not self.alive:
                return
            if isinstance(effect, SendMessage):
                self.send(effect.destination, effect.message)
            elif isinstance(effect, SetTimer):
                self.world.clock.after(effect.delay_ms, self.post, TimerFired(effect.timer))
            elif isinstance(effect, AskAcceptor):
                if self.voter is not None:
                    self.send(effect.source, self.voter.on_message(effect.message))
            elif isinstance(effect, StateCommitted):
                self.world.checker.took(self.name, effect.state)
                self.world.step(self, effect)
            else:
                self.log.append((self.now(), effect.text))

    def send(self, to: str, message: Any) -> None:
        if not self.world.plan.wired:
            self.world.send(self.name, to, message)
        else:
            for part in self.parcels.split(to, encode(message)):
                self.world.send(self.name, to, part)
        self.world.step(self, message)

    def came(self, source: str, message: Any) -> None:
        if not self.world.plan.wired:
            self.post(MessageReceived(source, message))
        elif self.alive:
            whole, back = self.parcels.on_datagram(self.now(), source, message)
            for part in back:
                self.world.send(self.name, source, part)
            if whole is not None:
                self.post(MessageReceived(source, decode(whole)))

    def place(self) -> None:
        """A connection comes, at any moment between two events."""
        machine = self.world.random.choice(self.world.machines)
        if self.alive and self.core.may_place(machine) and self.world.is_up(machine):
            self.world.checker.uses(self.name, machine, "places")
            self.held[machine] = self.held.get(machine, 0) + 1

    def live(self) -> None:
        """A moment of service: connections come and go, those at machines that empty are moved."""
        if not self.alive or self.stalled_until > self.now():
            return
        random, world = self.world.random, self.world
        for machine in list(self.held):
            emptying = self.core.adopted.excludes(machine)
            part = 1.0 if not world.is_up(machine) else STEP_MS / (MOVED_MS if emptying else LIFE_MS)
            self.held[machine] -= sum(random.random() < part for _ in range(self.held[machine]))
            if not self.held[machine]:
                del self.held[machine]
        for _ in range(3):
            if random.random() < world.plan.busy:
                self.place()
        for machine in self.held:
            world.checker.uses(self.name, machine, "holds")
        for to, part_ in self.parcels.requests_due(self.now()):
            world.send(self.name, to, part_)
        looks = [
            BackendSample(m, n % 2, 1.0, EndpointState.READY if world.is_up(m) else EndpointState.GONE, world.starts[m])
            for n, m in enumerate(world.machines)
        ]
        found = self.watch.assess(self.now(), looks, self.core.adopted)
        self.post(FleetObserved(frozenset(self.held), found.backends, world.there(), found.fault))


class TurnWorld:
    def __init__(
        self, relays: int, machines: int, seed: int, parts: Parts | None = None, plan: Plan | None = None
    ) -> None:
        self.clock, self.random = VirtualClock(), Random(f"turns {seed}")
        self.seed, self.parts, self.plan = seed, parts or Parts(), plan or Plan.of(seed)
        self.faulty_network = FaultyNetwork(seed)
        self.machines = tuple(f"m{n}" for n in range(machines))
        self.zones = {machine: n % 2 for n, machine in enumerate(self.machines)}
        self.starts = dict.fromkeys(self.machines, 0.0)
        self.downs: dict[str, float] = {}  # machine -> since when it is dead
        self.wish = MaintenanceRequest(
            tuple(sorted(self.machines, key=lambda m: (self.zones[m], m))), 2, 1, machines - 2.0
        )
        self.wishes = [self.wish]
        if self.plan.clash:
            self.wishes.append(structs.replace(self.wish, backends=self.wish.backends[::2], order="fewest"))
        self.names = relay_names(relays)
        self.first = self.parts.state(dict.fromkeys(self.names, FIRST))
        self.files: dict[str, AcceptorState[MaintenanceState]] = {
            name: AcceptorState(FIRST, NO_BALLOT, NO_BALLOT, self.first) for name in self.names
        }
        self.checker = Checker(self.wish, self.zones, self.ready_of_late)
        self.relays: dict[str, TurnRelay] = {}
        self.steps = 0
        for name in self.names:
            self.start(name)
        self.clock.after(STEP_MS, self._step)
        if self.plan.dies_s >= 0.0:
            machine = self.random.choice(self.machines)
            self.clock.after(1000.0 * self.plan.dies_s, self.end, machine)
            self.clock.after(1000.0 * self.plan.dies_s + 15_000.0, self.begin, machine)
        if self.plan.cancel_s >= 0.0:
            self.clock.after(1000.0 * self.plan.cancel_s, self._cancel)
        if self.plan.joins:
            self.clock.after(self.random.uniform(1000.0, 8000.0), self._join)

    # --- machines -------------------------------------------------------------------------------

    def is_up(self, machine: str) -> bool:
        return machine not in self.downs

    def ready_of_late(self) -> set[str]:
        """Those that were up some time ago: a turn that was agreed on before a machine died may be heard of after it,
        where its proposer died too, and is taken back then."""
        now = self.clock.seconds
        return {m for m in self.machines if m not in self.downs or self.downs[m] > now - FAULT_PERIOD_MS / 1000.0}

    def end(self, machine: str) -> None:
        self.downs[machine] = self.clock.seconds

    def begin(self, machine: str) -> None:
        del self.downs[machine]
        self.starts[machine] = self.clock.now()

    # --- relays ---------------------------------------------------------------------------------

    def storing(self, name: str) -> Callable[[AcceptorState[MaintenanceState]], None]:
        def store(kept: AcceptorState[MaintenanceState]) -> None:
            if not self.parts.forgets:
                self.files[name] = kept

        return store

    def there(self) -> tuple[str, ...]:
        return tuple(sorted(name for name, relay in self.relays.items() if relay.alive))

    def start(self, name: str) -> None:
        relay = self.relays[name] = TurnRelay(self, name)
        relay.carry_out(relay.core.take_effects())

    def kill(self, name: str, lose: bool = False) -> None:
        """What it held breaks with it. lose: its file is gone as well, and it starts with another."""
        relay = self.relays[name]
        relay.alive = False
        relay.held.clear()
        if lose:
            identity = FIRST if self.parts.lies else f"file {self.random.getrandbits(40):x}"
            self.files[name] = AcceptorState(identity, NO_BALLOT, NO_BALLOT, self.first)

    def step(self, relay: TurnRelay, what: Any) -> None:
        """The relay that comes to a step first, the n-th time, dies at it, and starts again after a second."""
        kind, number = self.plan.dies_at
        if kind and isinstance(what, STEPS[kind]):
            self.steps += 1
            if self.steps == number:
                self.kill(relay.name)
                self.clock.after(1000.0, self.start, relay.name)

    def send(self, source: str, target: str, message: Any) -> None:
        for late, copy in self.faulty_network.deliveries(source, target, b"x"):
            if copy == b"x":  # one that was changed is dropped by its sum
                self.clock.after(late + self.random.uniform(0.1, 5.0), self._arrive, source, target, message)

    def _arrive(self, source: str, target: str, message: Any) -> None:
        relay = self.relays.get(target)
        if relay is not None:
            relay.came(source, message)

    def _join(self) -> None:
        """Two relays come that do not vote; one ends for good and an operator says so; the other votes in another's
        place."""
        self.start("s0")
        self.start("s1")

        def ends() -> None:
            self.kill("s0")
            self.clock.after(2000.0, self._ended, "s0")
            self.files["s1"] = AcceptorState(f"file {self.random.getrandbits(40):x}", NO_BALLOT, NO_BALLOT, self.first)
            if self.relays["s1"].alive:
                self.kill("s1")
                self.start("s1")
                self.relays["s1"].post(AddVoter("s1", self.files["s1"].identity))

        self.clock.after(4000.0, ends)
        self.clock.after(12_000.0, lambda: self.order(RemoveVoter(self.names[-1])))

    def _ended(self, name: str) -> None:
        """Until it stands in the state: an operator looks."""
        incarnation = self.checker.newest.relays.get(name)
        if incarnation is not None:
            self.order(RemoveRelay(name, incarnation))
        self.clock.after(2000.0, self._ended, name)  # its word may have been on the way when it ended

    def _cancel(self) -> None:
        for number, request in self.checker.newest.requests.items():
            if request.state == QUEUED:
                self.order(CancelRequest(number, request.changed_at_version))

    def _step(self) -> None:
        self.clock.after(STEP_MS, self._step)
        for relay in list(self.relays.values()):
            relay.live()
        # The operator's hand: a machine that is free is worked on for a moment, and given back.
        newest = self.checker.newest
        for machine, out in newest.evacuations.items():
            if out.stage == FREE and self.random.random() < 0.1:
                if self.is_up(machine) and self.random.random() < 0.3:  # a new kernel
                    self.starts[machine] = self.clock.now()
                self.order(CompleteWork(machine, out.number))

    def order(self, order: OperatorCommand) -> None:
        alive = [relay for relay in self.relays.values() if relay.alive]
        if alive:
            alive[self.random.randrange(len(alive))].post(order)

    # --- faults ---------------------------------------------------------------------------------

    def apply(self, faults: Sequence[Fault], lose: bool) -> None:
        for fault in faults:
            at, ends = 1000.0 * fault.start_s, 1000.0 * fault.end_s
            if fault.kind == "kill":
                self.clock.after(at, self.kill, fault.participants[0], lose)
                lose = False  # files of a majority lost at once are more than any agreement bears: an operator's work
                self.clock.after(ends, self.start, fault.participants[0])
            elif fault.kind == "stall":
                self.clock.after(at, self._stall, fault.participants[0], ends - at)
            else:
                self.clock.after(at, self.faulty_network.start, fault)
                self.clock.after(ends, self.faulty_network.end, fault)

    def _stall(self, name: str, for_ms: float) -> None:
        relay = self.relays[name]
        relay.stalled_until = max(relay.stalled_until, relay.now() + for_ms)

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + 1000.0 * seconds)

    def asked(self) -> bool:
        return any(wish.id in self.checker.newest.requests for wish in self.wishes)

    def over(self) -> bool:
        """Every wanted machine has been out and is back, or somebody cancelled that."""
        state = self.checker.newest
        return self.asked() and all(r.state != QUEUED for r in state.requests.values()) and not state.evacuations


def play_turns(
    relays: int,
    machines: int,
    seed: int,
    words: Sequence[str],
    faults_s: float = 12.0,
    within_s: float = 120.0,
    lose: bool = False,
    parts: Parts | None = None,
    plan: Plan | None = None,
    faults: Sequence[Fault] | None = None,
    together: bool = False,
) -> TurnDay:
    """All machines once round, with faults in the first seconds; everything must be back some time after they end.
    together: all faults begin in the same instant."""
    world = TurnWorld(relays, machines, seed, parts, plan)
    if faults is None:
        faults = schedule(words, world.names, ["n0"], seed, 0.3, faults_s, 20.0)
        if together:
            faults = [replace(fault, start_s=faults[0].start_s) for fault in faults]
    day = TurnDay(faults=list(faults))
    world.apply(day.faults, lose)
    world.run(0.5)
    # Two operators at two relays: the same wish is one, and of two that clash one is refused.
    for wish in (*world.wishes, structs.replace(world.wish)):
        world.order(QueueRequest(wish, 0))
    while world.clock.seconds < faults_s + within_s and not world.over() and not world.checker.violations:
        world.run(0.5)
        if world.clock.seconds > 2.0 and not world.asked():
            world.order(QueueRequest(world.wish, 0))  # whoever had it died with it
    checker = world.checker
    day.violations, day.most_out, day.rolled_back = checker.violations, checker.most_out, checker.rolled_back
    day.turns, day.took_s = checker.newest.last_evacuation_number, world.clock.seconds
    if not world.over() and not day.violations:
        state = checker.newest
        unconfirmed = {m: state.unconfirmed_relays(m) for m in state.evacuations}
        day.stuck.append(
            f"out {state.evacuations}, waits for {unconfirmed}, paused "
            f"{state.pause_reason!r}, {[(r.state, r.waiting) for r in state.requests.values()]}"
        )
    return day
