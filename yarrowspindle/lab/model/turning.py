"""Turns on the virtual clock: relays that vote, propose, hold connections, die and come back; and what may never be.

The checker sees committed states as they are taken up, and what relays hold and place; it looks into no core.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from yarrowspindle.lab.faults import Fault, Ways, relay_names, schedule
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.turns.core import Came, Fleet, Order, Send, Took, Turns, Vote, Wake, Woke
from yarrowspindle.turns.register import NONE, Kept, Proposer, Voter
from yarrowspindle.turns.state import FREE, Seen, TurnState, Wish

LIFE_MS, MOVED_MS = 3000.0, 400.0  # of a connection, and of one that is asked to move
STEP_MS = 100.0
PLACED_PART = 0.3  # of a relay's events that a connection comes right after
FIRST = "first"


@dataclass(slots=True)
class TurnDay:
    violations: list[str] = field(default_factory=list)
    stuck: list[str] = field(default_factory=list)
    turns: int = 0
    most_out: int = 0
    took_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)


class Checker:
    """Rules on what relays took up, held and placed."""

    def __init__(self, most: int, zone_most: int, floor: float, seen: dict[str, Seen]) -> None:
        self.most, self.zone_most, self.floor, self.seen = most, zone_most, floor, seen
        self.violations: list[str] = []
        self.versions: dict[int, TurnState] = {}
        self.turns: dict[int, str] = {}
        self.newest = TurnState()
        self.most_out = 0

    def broken(self, text: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(text)

    def took(self, relay: str, state: TurnState) -> None:
        known = self.versions.setdefault(state.version, state)
        if known != state:
            self.broken(f"two states of version {state.version}: {relay} took another")
        for machine, out in state.out.items():
            if self.turns.setdefault(out.turn, machine) != machine:
                self.broken(f"turn {out.turn} is {machine}'s and {self.turns[out.turn]}'s")
        if state.version > self.newest.version:
            if state.turn < self.newest.turn:
                self.broken(f"turn numbers went back from {self.newest.turn} to {state.turn}")
            self.newest = state
        self.most_out = max(self.most_out, len(state.out))
        zones = [self.seen[machine].zone for machine in state.out]
        if len(zones) > self.most or any(zones.count(zone) > self.zone_most for zone in zones):
            self.broken(f"{len(zones)} out at once, in zones {sorted(zones)}")
        if sum(s.capacity for m, s in self.seen.items() if m not in state.out) < self.floor:
            self.broken("below the floor")

    def uses(self, relay: str, machine: str, how: str) -> None:
        """A relay places or holds a connection there now."""
        out = self.newest.out.get(machine)
        if out is not None and out.stage == FREE:
            self.broken(f"{relay} {how} at {machine}, which is free by turn {out.turn}")


@dataclass(slots=True, frozen=True)
class Parts:
    """Of which a relay is made; tests plant defects by others. forgets: files are not written; lies: a lost file is
    made anew under the identity of the one before."""

    state: type[TurnState] = TurnState
    voter: type[Voter[TurnState]] = Voter
    proposer: type[Proposer[TurnState]] = Proposer
    turns: type[Turns] = Turns
    forgets: bool = False
    lies: bool = False


class TurnRelay:
    """A process of a relay; its file outlives it where it is kept."""

    def __init__(self, world: TurnWorld, name: str) -> None:
        self.world, self.name = world, name
        self.alive, self.stalled_until = True, 0.0
        self.held: dict[str, int] = {}
        self.voter = world.parts.voter(world.files[name], world.storing(name))
        kept = self.voter.kept
        self.core = world.parts.turns(name, world.first, kept.identity, kept.state, world.random.randrange(1 << 30),
                                      self.now(), world.parts.proposer)  # fmt: skip
        self.log: list[tuple[float, str]] = []

    def now(self) -> float:
        return self.world.clock.now() - self.world.clock.start

    def post(self, event: Any) -> None:
        if not self.alive:
            return
        left = self.stalled_until - self.now()
        if left > 0.0:  # a stopped process: all of it waits
            self.world.clock.after(left + self.world.random.random(), self.post, event)
            return
        self.carry_out(self.core.step(self.now(), event))
        if self.world.random.random() < PLACED_PART * self.world.busy:
            self.place()

    def carry_out(self, effects: Sequence[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.world.send(self.name, effect.to, effect.message)
            elif isinstance(effect, Wake):
                self.world.clock.after(effect.delay_ms, self.post, Woke(effect.what))
            elif isinstance(effect, Vote):
                self.world.send(self.name, effect.source, self.voter.told(effect.message))
            elif isinstance(effect, Took):
                self.world.checker.took(self.name, effect.state)
            else:
                self.log.append((self.now(), effect.text))

    def place(self) -> None:
        """A connection comes, at any moment between two events."""
        machine = self.world.random.choice(self.world.machines)
        if self.core.may_place(machine):
            self.world.checker.uses(self.name, machine, "places")
            self.held[machine] = self.held.get(machine, 0) + 1

    def live(self) -> None:
        """A moment of service: connections come and go, those at machines that empty are moved."""
        if not self.alive or self.stalled_until > self.now():
            return
        random, world = self.world.random, self.world
        for machine in list(self.held):
            emptying = self.core.taken.keeps_off(machine)
            part = STEP_MS / (MOVED_MS if emptying else LIFE_MS)
            self.held[machine] -= sum(random.random() < part for _ in range(self.held[machine]))
            if not self.held[machine]:
                del self.held[machine]
        for _ in range(3):
            if random.random() < world.busy:
                self.place()
        for machine in self.held:
            world.checker.uses(self.name, machine, "holds")
        self.post(Fleet(frozenset(self.held), world.seen, world.there()))


class TurnWorld:
    def __init__(self, relays: int, machines: int, seed: int, parts: Parts | None = None) -> None:
        self.clock, self.random = VirtualClock(), Random(f"turns {seed}")
        self.seed, self.parts = seed, parts or Parts()
        self.ways = Ways(seed)
        # Machines that hold little are the ones that a relay may take for empty a moment too soon.
        self.busy = (1.0, 0.2, 0.05)[seed // 3 % 3]
        self.seen = {f"m{n}": Seen(n % 2, 1.0, True) for n in range(machines)}
        self.machines = tuple(self.seen)
        self.wish = Wish(tuple(sorted(self.seen, key=lambda m: (self.seen[m].zone, m))), 2, 1, machines - 2.0)
        self.names = relay_names(relays)
        self.first = self.parts.state({name: FIRST for name in self.names})
        self.files: dict[str, Kept[TurnState]] = {name: Kept(FIRST, NONE, NONE, self.first) for name in self.names}
        self.checker = Checker(self.wish.most, self.wish.most_zone, self.wish.floor, self.seen)
        self.relays: dict[str, TurnRelay] = {}
        for name in self.names:
            self.start(name)
        self.clock.after(STEP_MS, self._step)

    def storing(self, name: str) -> Callable[[Kept[TurnState]], None]:
        def store(kept: Kept[TurnState]) -> None:
            if not self.parts.forgets:
                self.files[name] = kept

        return store

    def there(self) -> tuple[str, ...]:
        return tuple(sorted(name for name, relay in self.relays.items() if relay.alive))

    # --- processes ------------------------------------------------------------------------------

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
            self.files[name] = Kept(identity, NONE, NONE, self.first)

    def send(self, source: str, target: str, message: Any) -> None:
        for late, copy in self.ways.fate(source, target, b"x"):
            if copy == b"x":  # one that was changed is dropped by its sum
                self.clock.after(late + self.random.uniform(0.1, 5.0), self._arrive, source, target, message)

    def _arrive(self, source: str, target: str, message: Any) -> None:
        relay = self.relays.get(target)
        if relay is not None:
            relay.post(Came(source, message))

    def _step(self) -> None:
        self.clock.after(STEP_MS, self._step)
        for relay in list(self.relays.values()):
            relay.live()
        # The operator's hand: a machine that is free is worked on for a moment, and given back.
        newest = self.checker.newest
        for machine, out in newest.out.items():
            if out.stage == FREE and self.random.random() < 0.1:
                self.order(Order("done", machine, out.turn))

    def order(self, order: Order) -> None:
        alive = [relay for relay in self.relays.values() if relay.alive]
        if alive:
            alive[self.random.randrange(len(alive))].post(order)

    # --- faults ---------------------------------------------------------------------------------

    def apply(self, faults: Sequence[Fault], lose: bool) -> None:
        for fault in faults:
            at, ends = 1000.0 * fault.at_s, 1000.0 * fault.ends_s
            if fault.word == "kill":
                self.clock.after(at, self.kill, fault.one[0], lose)
                lose = False  # files of a majority lost at once are more than any agreement bears: an operator's work
                self.clock.after(ends, self.start, fault.one[0])
            elif fault.word == "stall":
                self.clock.after(at, self._stall, fault.one[0], ends - at)
            else:
                self.clock.after(at, self.ways.start, fault)
                self.clock.after(ends, self.ways.end, fault)

    def _stall(self, name: str, for_ms: float) -> None:
        relay = self.relays[name]
        relay.stalled_until = max(relay.stalled_until, relay.now() + for_ms)

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + 1000.0 * seconds)

    def over(self) -> bool:
        """Every wanted machine has been out and is back."""
        state = self.checker.newest
        request = state.requests.get(self.wish.id)
        return request is not None and request.state != "queued" and not state.out


def play_turns(relays: int, machines: int, seed: int, words: Sequence[str], faults_s: float = 12.0,
               within_s: float = 90.0, lose: bool = False, parts: Parts | None = None) -> TurnDay:  # fmt: skip
    """All machines once round, with faults in the first seconds; everything must be back some time after they end."""
    world = TurnWorld(relays, machines, seed, parts)
    day = TurnDay(faults=schedule(words, world.names, ["n0"], seed, 0.3, faults_s, 20.0))
    world.apply(day.faults, lose)
    world.run(0.5)
    world.order(Order("ask", world.wish, 0))
    # Two operators at two relays: the same wish is one.
    world.order(Order("ask", replace(world.wish), 0))
    while world.clock.seconds < faults_s + within_s and not world.over() and not world.checker.violations:
        world.run(0.5)
        if world.clock.seconds > 2.0 and world.wish.id not in world.checker.newest.requests:
            world.order(Order("ask", world.wish, 0))  # whoever had it died with it
    day.violations, day.most_out = world.checker.violations, world.checker.most_out
    day.turns, day.took_s = world.checker.newest.turn, world.clock.seconds
    if not world.over() and not day.violations:
        state = world.checker.newest
        day.stuck.append(f"out {sorted(state.out)}, waits for "
                         f"{ {m: state.waits_for(m) for m in state.out} }, paused {state.paused!r}")  # fmt: skip
    return day
