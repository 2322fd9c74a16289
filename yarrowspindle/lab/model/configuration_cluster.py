"""Control on the virtual clock: agents and controllers in zones and regions, with faults, and what may never be.

The checker sees what controllers take as agreed on, what relays serve by, and what operators are answered; it looks
into no core. All messages go as bytes, in datagrams. Each process has a clock of its own, minutes apart.
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
FIRST = "first"
ZONES = ("z1", "z2", "z3", "z4", "z5", "z6")
REGIONS = {"z1": "a", "z2": "a", "z3": "a", "z4": "b", "z5": "b", "z6": "b"}
LATENCY = {0: (0.2, 1.0), 1: (0.5, 3.0), 2: (15.0, 40.0)}  # milliseconds in a zone, in a region, between regions
DISK_MS = (1.0, 8.0)  # until a voter's file is written
MAX_WAITING = 300  # datagrams that wait in a stopped process's socket; more are lost
PORT = 7950


def controllers_of(count: int, voters: int) -> tuple[ControllerAddress, ...]:
    """Spread over zones and regions; the voters in as many zones as there are."""
    found = []
    for n in range(count):
        zone = ZONES[n % len(ZONES)]
        found.append(ControllerAddress(f"c{n:02d}", (f"10.200.0.{n + 1}", PORT), zone, REGIONS[zone], n < voters))
    return tuple(found)


def check(entries: Entries) -> str:
    """What a relay could not serve by, in this model. Two orders may each be fine and make no sense together."""
    bad = [key for key, value in entries.items() if value == "nonsense"]
    if not bad and "left" in entries and "right" in entries:
        return "left and right are not both possible"
    return f"{bad[0]} makes no sense" if bad else ""


def check_of_old(entries: Entries) -> str:
    """The same at a relay of an older program, which does not know of something."""
    novel = [key for key, value in entries.items() if value.startswith("novel")]
    return check(entries) or (f"{novel[0]} is not known here" if novel else "")


def bent(message: Delta | Snapshot) -> Delta | Snapshot:
    """The same out of a bad memory."""
    if isinstance(message, Snapshot):
        return msgspec.structs.replace(message, entries={**message.entries, "k0": "bent"})
    steps = [*message.steps[:-1], {**message.steps[-1], "k0": "bent"}]
    return msgspec.structs.replace(message, steps=steps)


@dataclass(slots=True, frozen=True)
class ControlParts:
    """Of which the processes are made; tests plant defects by others. forgets: voters' files are not written; lies: a
    lost file is made anew under the identity of the one before; unkept: relays do not keep what they took."""

    agent: type[Agent] = Agent
    controller: type[Controller] = Controller
    voter: type[Acceptor[ControlState]] = Acceptor
    proposer: type[Proposer[ControlState]] = Proposer
    forgets: bool = False
    lies: bool = False
    unkept: bool = False


@dataclass(slots=True)
class Change:
    """An operator's order as the world knows it. missing: living relays that do not serve by it yet, by region;
    in_force_s: when there were none, in all and by region."""

    step: Step
    at: float
    version: int = 0
    answered: str | None = None
    answered_s: float = -1.0
    agreed_s: float = -1.0
    in_force_s: float = -1.0
    regions_s: dict[str, float] = field(default_factory=dict)
    missing: dict[str, set[str]] = field(default_factory=dict)


class ControlChecker:
    """Rules on what was agreed on, served and answered."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.done: dict[int, CommittedStep] = {}
        self.contents: dict[int, Entries] = {0: {}}
        self.orders: dict[tuple[str, int, int], int] = {}
        self.served: dict[str, int] = {}  # by relays, also before their restarts
        self.older = self.two = 0

    def broken(self, text: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(text)

    def took(self, controller: str, state: ControlState) -> None:
        known = self.contents.setdefault(state.version, dict(state.entries))
        if known != state.entries:
            self.two += 1
            self.broken(f"two contents under version {state.version}: {controller} took another")
        for done in state.recent_steps:
            if self.done.setdefault(done.version, done) != done:
                self.two += 1
                self.broken(f"two steps to version {done.version}: {controller} took another")
            if done.accepted_by:
                order = (done.accepted_by, done.incarnation, done.number)
                if self.orders.setdefault(order, done.version) != done.version:
                    self.broken(f"order {order} was settled by versions {self.orders[order]} and {done.version}")
                if done.number > 1 and (done.accepted_by, done.incarnation, done.number - 1) not in self.orders:
                    self.broken(f"order {order} was settled before the one before it")
            before = self.contents.get(done.version - 1)
            if before is not None and done.version not in self.contents:
                self.contents[done.version] = apply_step(before, done.step)
        before = self.contents.get(state.version - 1)
        last = self.done.get(state.version)
        if before is not None and last is not None and apply_step(before, last.step) != state.entries:
            self.broken(f"version {state.version} is not version {state.version - 1} and its step")

    def took_down(self, relay: str, version: int, entries: Entries, why: str, reached: int) -> None:
        """A relay serves by this from now on. why: what its own check says; reached: the newest version that it got,
        as steps without a gap or whole."""
        known = self.contents.get(version)
        if known is None:
            self.broken(f"{relay} serves by version {version}, which nobody agreed on")
        elif known != entries:
            self.two += 1
            self.broken(f"{relay} serves by another content of version {version}")
        if why:
            self.broken(f"{relay} serves by version {version}, which its check turns down: {why}")
        if version > reached:
            self.broken(f"{relay} serves by version {version} and got all steps up to {reached} only")
        self.serves(relay, version)

    def serves(self, relay: str, version: int) -> None:
        """Also what a process serves by when it starts."""
        if version < self.served.get(relay, 0):
            self.older += 1
            self.broken(f"{relay} serves by version {version} after {self.served[relay]}")
        self.served[relay] = version

    def answered(self, change: Change, version: int, why: str) -> None:
        done = self.done.get(version)
        if version and (done is None or dict(done.step) != dict(change.step)):
            self.broken(f"an operator was told that a change stands in version {version}, which it does not")
        if not version and "see `show`" not in why and any(d.step == change.step for d in self.done.values()):
            self.broken(f"an operator was told that a change is turned down ({why}), and it stands")


class Host:
    """A process of a controller or a relay."""

    def __init__(self, world: ControlWorld, name: str, address: Address, zone: str) -> None:
        self.world, self.name, self.address, self.zone, self.region = world, name, address, zone, REGIONS[zone]
        self.alive, self.stalled_until = True, 0.0
        self.ahead_ms = world.random.uniform(0.0, 600_000.0)  # of its clock
        self.incarnation = world.incarnation(name)
        self.link = Link(name, address, CLUSTER, self.incarnation, world.random.getrandbits(40), self.now())
        self.core: Agent | Controller
        self.waiting: list[tuple[bytes, Address]] = []
        self.asks = False  # for parts that are missing
        self.log: list[tuple[float, str]] = []
        self.spent = 0.0  # seconds of processor time, where the world measures

    def now(self) -> float:
        return self.world.clock.now() - self.world.clock.start + self.ahead_ms

    def post(self, event: Any) -> None:
        if not self.alive:
            return
        left = self.stalled_until - self.world.clock.now()
        if left > 0.0:  # a stopped process: all of it waits
            self.world.clock.after(left + self.world.random.random(), self.post, event)
            return
        if self.world.measures:
            began = time.thread_time()
            effects = self.core.step(self.now(), event)
            self.spent += time.thread_time() - began
        else:
            effects = self.core.step(self.now(), event)
        self.carry_out(effects)

    def carry_out(self, effects: Sequence[Any]) -> None:
        for effect in effects:
            if not self.alive:
                return
            if isinstance(effect, SendMessage):
                self.send(effect.to.address, effect.message)
            elif isinstance(effect, SetTimer):
                self.world.clock.after(effect.delay_ms, self.post, TimerFired())
            else:
                self.effect(effect)

    def effect(self, effect: Any) -> None:
        self.log.append((self.world.clock.seconds, effect.text))

    def send(self, to: Address, message: object) -> None:
        if to == self.address:
            # At once, but after what is under way here.
            self.world.clock.after(
                0.0, self.post, MessageReceived(Sender(self.name, self.address, self.incarnation, 0), message)
            )
            return
        began = time.thread_time() if self.world.measures else 0.0
        datagrams = self.link.encode(self.now(), to, message)
        if self.world.measures:
            self.spent += time.thread_time() - began
        for data in datagrams:
            self.world.send(self, to, data)
        self.world.stepped(self, message)

    def came(self, data: bytes, source: Address) -> None:
        if not self.alive:
            return
        if self.stalled_until > self.world.clock.now():
            if len(self.waiting) < MAX_WAITING:
                self.waiting.append((data, source))
                if len(self.waiting) == 1:
                    self.world.clock.after(self.stalled_until - self.world.clock.now(), self._awake)
            return
        began = time.thread_time() if self.world.measures else 0.0
        try:
            received = self.link.receive(self.now(), data, source)
        except DroppedDatagramError:
            return
        finally:
            if self.world.measures:
                self.spent += time.thread_time() - began
        for datagram in received.replies:
            self.world.send(self, received.sender.address, datagram)
        if received.message is not None:
            self.post(MessageReceived(received.sender, received.message))
        self._ask()

    def _awake(self) -> None:
        waiting, self.waiting = self.waiting, []
        for data, source in waiting:
            self.came(data, source)

    def _ask(self) -> None:
        if self.link.fragmenter.partial and not self.asks:
            self.asks = True
            self.world.clock.after(REQUEST_INTERVAL_MS, self._asked)

    def _asked(self) -> None:
        self.asks = False
        if self.alive and self.stalled_until <= self.world.clock.now():
            for request in self.link.missing_fragment_requests(self.now()):
                self.world.send(self, request.to, request.data)
        if self.alive:
            self._ask()


class RelayHost(Host):
    core: Agent

    def __init__(self, world: ControlWorld, name: str, address: Address, zone: str) -> None:
        super().__init__(world, name, address, zone)
        version, entries = world.kept.get(name, (0, {}))
        self.reached = version
        self.taken, self.turns_down = 0, 0  # turns_down: this version cannot be taken here, whatever the check says
        self.began, self.wanted = world.clock.seconds, world.newest()  # what was the newest then
        self.check = check_of_old if name in world.old_programs else check
        machines = controllers_by_preference(world.machines, name, zone, self.region)
        self.core = world.parts.agent(
            machines, self.check, world.random.randrange(1 << 30), self.now(), version, entries
        )
        self.carry_out(self.core.take_effects())
        world.checker.serves(name, self.taken)

    def post(self, event: Any) -> None:
        message = event.message if isinstance(event, MessageReceived) else None
        if isinstance(message, Snapshot) or (
            isinstance(message, Delta)
            and message.base <= self.reached
            and len(message.steps) == message.version - message.base
        ):
            self.reached = max(self.reached, message.version)
        super().post(event)

    def has(self, version: int) -> bool:
        """Serves by this one or a newer, or has said why it cannot."""
        return (
            self.taken >= version
            or self.turns_down == version
            or bool(self.check(self.world.checker.contents[version]))
        )

    def carry_out(self, effects: Sequence[Any]) -> None:
        for take in [effect for effect in effects if isinstance(effect, ApplySettings)]:
            if take.version == self.turns_down:  # whatever else was asked for rests on it
                effects = [effect for effect in effects if isinstance(effect, SetTimer | LogMessage)]
                effects += self.core.step(self.now(), SettingsRejected(take.version, "this relay cannot"))
        super().carry_out(effects)

    def effect(self, effect: Any) -> None:
        if isinstance(effect, ApplySettings):
            self.world.checker.took_down(
                self.name, effect.version, effect.entries, self.check(effect.entries), self.reached
            )
            self.taken = effect.version
            self.world.taken(self)
        elif isinstance(effect, Persist):
            if not self.world.parts.unkept:
                self.world.kept[self.name] = effect.version, dict(effect.entries)
        else:
            super().effect(effect)


class ControllerHost(Host):
    core: Controller

    def __init__(self, world: ControlWorld, name: str, address: Address, zone: str) -> None:
        super().__init__(world, name, address, zone)
        self.began = world.clock.seconds
        self.heard: list[int] = []  # tickets of orders, in their turn
        machine = next(m for m in world.machines if m.name == name)
        kept = world.files.get(name)
        if kept is None and machine.voter:
            kept = AcceptorState(
                FIRST if world.parts.lies else f"{name} {world.random.getrandbits(60):x}",
                NO_BALLOT,
                NO_BALLOT,
                world.first,
            )
            world.files[name] = kept
        self.voter = world.parts.voter(kept, self._store, self.now) if kept is not None else None
        self.core = world.parts.controller(
            machine,
            world.machines,
            world.first,
            kept.identity if kept is not None else "",
            kept.state if kept is not None else world.first,
            self.incarnation,
            check,
            world.random.randrange(1 << 30),
            self.now(),
            world.parts.proposer,
        )
        self.disk_free = 0.0
        self.carry_out(self.core.take_effects())

    def post(self, event: Any) -> None:
        if isinstance(event, ChangeRequested) and self.alive and self.stalled_until <= self.world.clock.now():
            self.heard.append(event.ticket)
        super().post(event)

    def send(self, to: Address, message: object) -> None:
        if self.name in self.world.bad_memories and isinstance(message, Delta | Snapshot):
            message = bent(message)
        super().send(to, message)

    def _store(self, kept: AcceptorState[ControlState]) -> None:
        if self.name in self.world.full_disks:
            raise OSError("no space left on the device")
        if not self.world.parts.forgets:
            self.world.files[self.name] = kept

    def effect(self, effect: Any) -> None:
        if isinstance(effect, AskAcceptor):
            # One at a time, on a thread of its own.
            clock = self.world.clock
            self.disk_free = max(self.disk_free, clock.now()) + self.world.random.uniform(*DISK_MS)
            clock.after(self.disk_free - clock.now(), self._vote, effect)
        elif isinstance(effect, StateCommitted):
            self.world.took(self, effect.state)
        elif isinstance(effect, ChangeAnswered):
            self.world.answered(self, effect)
        else:
            super().effect(effect)

    def _vote(self, vote: AskAcceptor) -> None:
        if not self.alive or self.voter is None:
            return
        left = self.stalled_until - self.world.clock.now()
        if left > 0.0:
            self.world.clock.after(left, self._vote, vote)
            return
        try:
            answer = self.voter.on_message(vote.message)
        except OSError as error:
            self.log.append((self.world.clock.seconds, f"the voter's file cannot be written: {error}"))
            return
        self.world.stepped(self, answer)
        if self.alive:
            self.send(vote.sender.address, answer)


class ControlWorld:
    """relays: so many, spread over the zones evenly. measures: processor time of each process."""

    def __init__(
        self,
        relays: int,
        seed: int,
        controllers: int = 11,
        voters: int = 5,
        parts: ControlParts | None = None,
        measures: bool = False,
    ) -> None:
        self.clock, self.seed, self.parts, self.measures = VirtualClock(), seed, parts or ControlParts(), measures
        self.random, self.wires = Random(f"control {seed}"), Random(f"control wires {seed}")
        self.machines = controllers_of(controllers, voters)
        self.first = ControlState({m.name: FIRST for m in self.machines if m.voter})
        self.files: dict[str, AcceptorState[ControlState]] = {
            m.name: AcceptorState(FIRST, NO_BALLOT, NO_BALLOT, self.first) for m in self.machines if m.voter
        }
        self.kept: dict[str, tuple[int, Entries]] = {}
        self.incarnations: Counter[str] = Counter()
        self.clock_back: set[str] = set()  # whose next life is lower than the one before
        self.full_disks: set[str] = set()
        self.bad_memories: set[str] = set()  # controllers that change what they send to relays
        self.old_programs: set[str] = set()  # relays that do not know of all that the controllers know
        self.checker = ControlChecker()
        self.hosts: dict[str, Host] = {}
        self.at: dict[Address, Host] = {}
        self.places = {m.name: (m.address, m.zone) for m in self.machines} | {
            f"r{n:04d}": ((f"10.{n >> 8}.{n & 255}.1", PORT), ZONES[n % len(ZONES)]) for n in range(relays)
        }
        self.faulty_network = FaultyNetwork(seed)
        self.loss = 0.0
        self.cut = False  # between the regions
        self.changes: dict[tuple[str, int], Change] = {}
        self.agreed: set[int] = set()
        self.open: dict[int, Change] = {}  # agreed on, not in force yet, by version
        self.tickets = 0
        self.known_s: dict[str, float] = {}  # relay -> after how long it had what was the newest at its start
        self.steps: Counter[str] = Counter()
        self.dies_at: tuple[str, int] = ("", 0)  # a controller dies at the n-th message of this kind
        self.stands_ms = 0.0  # and where this is over 0, it does not die, but stands still for so long
        self.died = ""

    # --- processes ------------------------------------------------------------------------------

    def incarnation(self, name: str) -> int:
        self.incarnations[name] += 1
        if name in self.clock_back:
            self.clock_back.discard(name)
            return 500 + self.incarnations[name]
        return 1000 * self.incarnations[name]

    def start(self, name: str) -> Host:
        """A process starts; one that was there must have ended."""
        address, zone = self.places[name]
        self.known_s.pop(name, None)
        host = (ControllerHost if name[0] == "c" else RelayHost)(self, name, address, zone)
        self.hosts[name] = self.at[address] = host
        return host

    def restart(self, name: str) -> None:
        self.start(name)

    def start_all(self) -> None:
        for name in self.places:
            self.start(name)

    def kill(self, name: str) -> None:
        self.hosts[name].alive = False
        for version, change in list(self.open.items()):
            self._in_force(version, change, self.hosts[name])

    def stall(self, name: str, for_ms: float) -> None:
        host = self.hosts[name]
        host.stalled_until = max(host.stalled_until, self.clock.now() + for_ms)

    @property
    def relays(self) -> list[RelayHost]:
        """That are alive."""
        return [h for h in self.hosts.values() if isinstance(h, RelayHost) and h.alive]

    @property
    def controllers(self) -> list[ControllerHost]:
        return [h for h in self.hosts.values() if isinstance(h, ControllerHost) and h.alive]

    # --- the network ----------------------------------------------------------------------------

    def send(self, source: Host, to: Address, data: bytes) -> None:
        target = self.at.get(to)
        if target is None or (self.cut and source.region != target.region):
            return
        if self.loss and self.wires.random() < self.loss:
            return
        far = 0 if source.zone == target.zone else 1 if source.region == target.region else 2
        late = self.wires.uniform(*LATENCY[far])
        if not self.faulty_network.active:
            self.clock.after(late, self._arrive, to, data, source.address)
            return
        for more, copy in self.faulty_network.deliveries(source.name, target.name, data):
            self.clock.after(late + more, self._arrive, to, copy, source.address)

    def _arrive(self, to: Address, data: bytes, source: Address) -> None:
        self.at[to].came(data, source)

    def stepped(self, host: Host, message: object) -> None:
        """A message goes out, or a vote was written: a controller may die right here."""
        kind, left = self.dies_at
        if kind and host.name[0] == "c" and type(message).__name__ == kind:
            self.dies_at = (kind, left - 1)
            if left <= 1:
                self.dies_at = ("", 0)
                self.died = host.name
                if self.stands_ms:
                    self.stall(host.name, self.stands_ms)
                else:
                    self.kill(host.name)

    # --- what happens ---------------------------------------------------------------------------

    def order(self, controller: str, step: Step) -> Change:
        """An operator's change, at this controller."""
        self.tickets += 1
        change = Change(step, self.clock.seconds)
        self.changes[controller, self.tickets] = change
        self.hosts[controller].post(ChangeRequested(self.tickets, step))
        return change

    def took(self, host: ControllerHost, state: ControlState) -> None:
        self.checker.took(host.name, state)
        for done in state.recent_steps:
            if not done.step or done.version in self.agreed:
                continue
            self.agreed.add(done.version)
            for change in self.changes.values():
                if change.agreed_s < 0.0 and (change.step is done.step or dict(change.step) == dict(done.step)):
                    change.agreed_s, change.version = self.clock.seconds, done.version
                    for relay in self.relays:
                        missing = change.missing.setdefault(relay.region, set())
                        if relay.taken < done.version:
                            missing.add(relay.name)
                    self.open[done.version] = change
                    self._in_force(done.version, change)
                    break

    def taken(self, host: RelayHost) -> None:
        for version, change in list(self.open.items()):
            if version <= host.taken:
                self._in_force(version, change, host)
        if host.taken >= host.wanted and host.name not in self.known_s:
            self.known_s[host.name] = self.clock.seconds - host.began

    def _in_force(self, version: int, change: Change, host: Host | None = None) -> None:
        """host: has it now, or has ended."""
        if host is not None:
            change.missing.get(host.region, set[str]()).discard(host.name)
        for region in [r for r, missing in change.missing.items() if not missing]:
            change.regions_s[region] = self.clock.seconds
            del change.missing[region]
        if not change.missing:
            change.in_force_s = self.clock.seconds
            del self.open[version]

    def answered(self, host: ControllerHost, answer: ChangeAnswered) -> None:
        change = self.changes[host.name, answer.ticket]
        if change.answered is not None:
            self.checker.broken(f"{host.name} answered an order twice")
        change.answered, change.answered_s = answer.reason, self.clock.seconds
        self.checker.answered(change, answer.version, answer.reason)

    def run(self, for_s: float) -> None:
        self.clock.run_until(self.clock.now() + 1000.0 * for_s)

    def until(self, true: Callable[[], bool], within_s: float) -> float:
        """After how many seconds it is true; below 0: not in time."""
        began = self.clock.seconds
        while not true():
            if self.clock.seconds >= began + within_s:
                return -1.0
            self.run(0.05)
        return self.clock.seconds - began

    def newest(self) -> int:
        return max(self.checker.contents)

    def all_have(self) -> bool:
        """All living relays serve by the newest, but for those that cannot."""
        newest = self.newest()
        return all(relay.has(newest) for relay in self.relays)
