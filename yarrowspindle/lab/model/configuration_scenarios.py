"""Days of control on the virtual clock: orders that clash, faults drawn from the seed, and what must hold in the end.

What may never be is `ControlChecker`'s; here come the rules that look at a whole day: each order settled once, in its
turn and answered truthfully, what a leader says to be in force, and that all is well soon after the faults.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random

from yarrowspindle.configuration.state import Step
from yarrowspindle.lab.faults import Fault, schedule
from yarrowspindle.lab.model.configuration_cluster import (
    ZONES,
    Change,
    ControllerHost,
    ControlParts,
    ControlWorld,
    RelayHost,
)

FIRST_S, FAULTS_S, WITHIN_S = 1.0, 9.0, 10.0  # faults begin, and last in all; all is well again
CLAIM_S = 3.0  # what is said to be in force holds at relays that were there for so long
SETTLED_S = 6.0  # cuts are forgotten
LOOK_MS = 50.0
BETWEEN = ("loss", "late", "old", "double", "reorder", "held", "corrupt", "mute", "cut", "oneway", "split", "lost")
CUTS = ("old", "held", "split", "cut", "oneway", "lost", "region")
AMONG = (
    "kill",
    "kill ",
    "stall",
    "stall ",
    "region",
    "zone",
    "disk",
    "file",
    "clock",
    "unable",
    "old program",
    "bad memory",
    "dies",
    "dies ",
)
KINDS = ("Prepare", "Promise", "Accept", "Accepted", "Learn", "Difference", "Sum", "Order", "Newest")
FLEETS = ((3, 3), (5, 3), (5, 5), (11, 5))  # controllers and voters


@dataclass(slots=True)
class ControlDay:
    violations: list[str] = field(default_factory=list)
    stuck: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    faults: list[Fault] = field(default_factory=list)
    took_s: float = 0.0


class Day:
    def __init__(
        self,
        seed: int,
        parts: ControlParts,
        faults: Sequence[Fault] | None = None,
        fleet: tuple[int, int, int] | None = None,
        together: bool | None = None,
    ) -> None:
        self.random = random = Random(f"control day {seed}")
        controllers, voters = random.choices(FLEETS, (4, 3, 3, 1))[0]
        relays = random.randint(6, 18)
        if fleet is not None:
            controllers, voters, relays = fleet
        self.world = world = ControlWorld(relays, seed, controllers, voters, parts)
        self.names = list(world.places)
        self.machines = [m.name for m in world.machines]
        self.found = ControlDay(faults=list(faults) if faults is not None else self._drawn(seed))
        if random.random() < 0.25 if together is None else together:
            self.found.faults = [replace(f, start_s=self.found.faults[0].start_s) for f in self.found.faults]
        self.ends_s = max([FIRST_S + FAULTS_S, *(f.end_s for f in self.found.faults)])
        self.downs: Counter[str] = Counter()
        self.cut_at = -SETTLED_S
        self.orders: list[tuple[ControllerHost, Change]] = []
        self.tickets: dict[int, int] = {}
        self.turned_back: set[str] = set()  # controllers whose clock went back
        self.number = 0
        self.burst = random.choice((1, 2, 6, 40))
        for fault in self.found.faults:
            if fault.kind == "old program":
                world.old_programs.update(fault.participants)

    # --- faults ---------------------------------------------------------------------------------

    def _drawn(self, seed: int) -> list[Fault]:
        random = self.random
        words = random.sample(BETWEEN, random.choice((0, 1, 1, 2, 3))) + random.sample(AMONG, random.randint(1, 5))
        return sorted(
            (self._fault(word.strip(), seed, n) for n, word in enumerate(words)), key=lambda f: (f.start_s, f.kind)
        )

    def _fault(self, word: str, seed: int, n: int) -> Fault:
        random, names, machines = self.random, self.names, self.machines
        drawn = schedule((word if word in BETWEEN else "kill",), names, ["n0"], seed * 100 + n, FIRST_S, FAULTS_S)[0]
        anyone = random.choice(machines if random.random() < 0.6 else names)
        one, other = tuple[str, ...](), tuple[str, ...]()
        if word in ("cut", "oneway"):
            one = (random.choice(machines),)
            other = (random.choice([name for name in names if name not in one]),)
        elif word == "split":
            one = tuple(random.sample(names, random.randint(1, len(names) - 1)))
            other = tuple(name for name in names if name not in one)
        elif word == "lost":
            one, other = (anyone,), tuple(name for name in names if name != anyone)
        elif word == "mute":  # the word's own rule speaks of relays among themselves
            word, one, other = "split", tuple(names), tuple(names)
        elif word in ("kill", "stall", "clock"):
            one = (anyone,)
        elif word == "zone":
            lost = random.choice(ZONES[:3])
            one = tuple(name for name, (_, zone) in self.world.places.items() if zone == lost)
        elif word in ("disk", "file"):
            one = (random.choice(sorted(self.world.files)),)
        elif word == "bad memory":
            one = (random.choice(machines),)
        elif word in ("unable", "old program"):
            one = tuple(random.sample(names[len(machines) :], random.randint(1, 3)))
        elif word == "dies":
            one = random.choice(KINDS), f"{random.randint(1, 12)}"
        return replace(drawn, kind=word, participants=one, other_side=other)

    def begin(self, fault: Fault) -> None:
        world, word = self.world, fault.kind
        if word in ("kill", "clock", "file", "zone"):
            for name in fault.participants:
                self.down(name)
                if word == "file":
                    world.files.pop(name, None)
                elif word == "clock":
                    world.clock_back.add(name)
                    self.turned_back.add(name)
        elif word == "stall":
            world.stall(fault.participants[0], 1000.0 * fault.duration_s)
        elif word == "region":
            world.cut = True
        elif word == "disk":
            world.full_disks.update(fault.participants)
        elif word == "bad memory":
            world.bad_memories.update(fault.participants)
        elif word == "unable":
            for name in fault.participants:
                host = world.hosts[name]
                assert isinstance(host, RelayHost)
                host.turns_down = world.newest() + self.random.randint(1, 3)
        elif word == "dies":
            kind, number = fault.participants
            world.dies_at = (kind, int(number))
        elif word != "old program":
            world.faulty_network.start(fault)

    def end(self, fault: Fault) -> None:
        world, word = self.world, fault.kind
        if word in ("kill", "clock", "file", "zone"):
            for name in fault.participants:
                self.up(name)
        elif word == "region":
            world.cut = False
        elif word == "disk":
            world.full_disks.difference_update(fault.participants)
        elif word == "bad memory":
            world.bad_memories.difference_update(fault.participants)
        elif word == "dies":
            world.dies_at = ("", 0)
        else:
            world.faulty_network.end(fault)

    def down(self, name: str) -> None:
        self.downs[name] += 1
        if self.world.hosts[name].alive:
            self.world.kill(name)

    def up(self, name: str) -> None:
        self.downs[name] -= 1
        if not self.downs[name]:
            self.world.start(name)

    # --- operators ------------------------------------------------------------------------------

    def step(self) -> Step:
        """Few keys, so that they clash; no two orders are alike."""
        self.number += 1
        random, mark = self.random, f"{self.number}"
        key = f"k{random.randrange(4)}"
        kind = random.random()
        if kind < 0.5:
            return {key: mark}
        if kind < 0.6:
            return {key: None, "k0" if key != "k0" else "k1": mark}
        if kind < 0.8:  # each fine alone
            side = random.choice(("left", "right"))
            return {side: mark} if random.random() < 0.6 else {side: None, "k1": mark}
        if kind < 0.85:
            return {key: "nonsense", "k9": mark}
        if kind < 0.9 and self.world.old_programs:
            return {"novel": f"novel {mark}"} if random.random() < 0.5 else {"novel": None, key: mark}
        if kind < 0.95:
            return {key: f"{mark} " + "".join(random.choices("0123456789abcdef", k=random.randint(200, 3000)))}
        return {key: mark, "k2" if key != "k2" else "k3": mark}

    def order(self, name: str, step: Step) -> Change:
        host = self.world.hosts[name]
        assert isinstance(host, ControllerHost)
        change = self.world.order(name, step)
        if host.alive:
            self.orders.append((host, change))
            self.tickets[id(change)] = self.world.tickets
        return change

    def _orders(self) -> None:
        if self.world.clock.seconds < self.ends_s:
            many = self.random.randint(1, self.burst) if self.random.random() < 0.2 else 1
            for _ in range(many):
                self.order(self.random.choice(self.machines), self.step())
            self.world.clock.after(1000.0 * self.random.uniform(0.02, 1.0), self._orders)

    # --- looks ----------------------------------------------------------------------------------

    def _look(self) -> None:
        world, now = self.world, self.world.clock.seconds
        world.clock.after(LOOK_MS, self._look)
        if world.died and not world.hosts[world.died].alive:
            self.downs[world.died] += 1
            world.clock.after(1000.0, self.up, world.died)
            world.died = ""
        if world.cut or any(fault.kind in CUTS for fault in world.faulty_network.active):
            self.cut_at = now
        if now < self.cut_at + SETTLED_S:
            return
        there = [
            r for r in world.relays if now >= max(r.began, (r.stalled_until - world.clock.start) / 1000.0) + CLAIM_S
        ]
        least = min((relay.taken for relay in there), default=world.newest())
        for host in world.controllers:
            if host.core.is_leader and host.stalled_until <= world.clock.now():
                said = host.core.status().applied_everywhere
                self.found.counts["claims"] += 1
                if said > least:
                    late = [relay.name for relay in there if relay.taken < said]
                    world.checker.broken(
                        f"{now:.2f} s: {host.name} says that version {said} is in force, and "
                        f"{late[0]} serves by {least}"
                    )

    def _once_and_truly(self) -> None:
        """Each order stands at most once, in its taker's order, and whoever was answered was told so."""
        checker = self.world.checker
        at: dict[frozenset[tuple[str, str | None]], list[int]] = {}
        for version, done in checker.done.items():
            if done.step:
                at.setdefault(frozenset(done.step.items()), []).append(version)
        newest: dict[str, int] = {}
        for host, change in sorted(self.orders, key=self._turn):
            versions = at.get(frozenset(change.step.items()), [])
            if len(versions) > 1:
                checker.broken(f"{host.name}'s order {dict(change.step)} was settled in versions {sorted(versions)}")
            if versions and change.answered and "see `show`" not in change.answered:
                checker.broken(
                    f"{host.name} turned an order down ({change.answered}), and version {versions[0]} is that"
                )
            for version in versions:
                if version < newest.get(host.name, 0) and host.name not in self.turned_back:
                    checker.broken(
                        f"{host.name}'s order of version {version} came before the one of version "
                        f"{newest[host.name]}, and was given after it"
                    )
                newest[host.name] = max(version, newest.get(host.name, 0))

    def _turn(self, order: tuple[ControllerHost, Change]) -> tuple[float, int]:
        """When its controller heard of it; a process that wakes hears of several in any order."""
        host, change = order
        ticket = self.tickets[id(change)]
        return host.began, host.heard.index(ticket) if ticket in host.heard else -1

    def well(self) -> str:
        """What is not yet as it should be; empty: nothing."""
        world = self.world
        newest = world.newest()
        state = max((host.core.state for host in world.controllers), key=lambda s: s.version)
        behind = [f"{r.name} {r.taken}" for r in world.relays if not r.has(newest)]
        if behind:
            return f"newest is {newest}, and behind are {behind}"
        if strange := [n for n, kept in world.files.items() if state.voters.get(n) != kept.identity]:
            return f"{strange} hold files that are no voter's"
        open_ = [
            (host.name, dict(change.step)) for host, change in self.orders if host.alive and change.answered is None
        ]
        return f"no answer to {open_[:3]}" if open_ else ""

    def _until_well(self, after: str) -> None:
        if self.world.until(lambda: not self.well() or bool(self.world.checker.violations), WITHIN_S) < 0.0:
            rounds = {h.name: (h.core.proposals.last_failure, h.core.is_leader) for h in self.world.controllers}
            self.found.stuck.append(f"{after}: {self.well()}; {rounds}")

    def play(self) -> ControlDay:
        world, found = self.world, self.found
        world.start_all()
        world.clock.after(1000.0 * FIRST_S * self.random.random(), self._orders)
        world.clock.after(LOOK_MS, self._look)
        for fault in found.faults:
            world.clock.after(1000.0 * fault.start_s, self.begin, fault)
            world.clock.after(1000.0 * fault.end_s, self.end, fault)
        while world.clock.seconds < self.ends_s and not world.checker.violations:
            world.run(0.5)
        world.run(1.1 * bool(sum(self.downs.values())))  # who died at a step starts again
        if not world.checker.violations:
            self._until_well("after the faults")
        if not world.checker.violations and not found.stuck:
            last = [self.order(name, {f"last {name}": "1", "novel": None}) for name in self.machines]
            self._until_well("orders after the faults")
            world.run(0.5)
            if refused := [change.answered for change in last if change.answered]:
                found.stuck.append(f"orders after the faults: {refused}")
            late = [r.name for r in world.relays if r.taken < world.newest()]
            if late and not found.stuck:
                found.stuck.append(f"{late} do not serve by the newest")
        self._once_and_truly()
        found.violations, found.took_s = world.checker.violations, world.clock.seconds
        answers = Counter(
            "kept open"
            if c.answered is None
            else "settled"
            if not c.answered
            else "unknown"
            if "see `show`" in c.answered
            else "turned down"
            for _, c in self.orders
        )
        found.counts.update(answers)
        found.counts["versions"] = world.newest()
        found.counts["refused by race"] = sum(bool(done.rejection_reason) for done in world.checker.done.values())
        found.counts["wholes"] = sum(h.core.counts["wholes"] for h in world.controllers)
        found.counts["differences"] = sum(h.core.counts["differences"] for h in world.controllers)
        return found


def play_control(
    seed: int,
    parts: ControlParts | None = None,
    faults: Sequence[Fault] | None = None,
    fleet: tuple[int, int, int] | None = None,
    together: bool | None = None,
) -> ControlDay:
    """A day. faults, fleet (controllers, voters, relays), together (all faults begin at once): not as the seed says."""
    return Day(seed, parts or ControlParts(), faults, fleet, together).play()


@dataclass(slots=True)
class Played:
    """Of many days. violations, stuck: seed -> the first."""

    days: int = 0
    violations: dict[int, str] = field(default_factory=dict)
    stuck: dict[int, str] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)


def seeds(first: int, count: int, parts: ControlParts | None = None) -> Played:
    """So many days from this seed on; for a pool of processes."""
    played = Played()
    for seed in range(first, first + count):
        day = play_control(seed, parts)
        played.days += 1
        played.counts.update(day.counts)
        if day.violations:
            played.violations[seed] = day.violations[0]
        if day.stuck:
            played.stuck[seed] = day.stuck[0]
    return played
