"""Days of members alone on the virtual clock: no jobs, what each relay holds made up. Thousands of them in minutes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.lab.faults import Fault, relay_names, schedule
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.lab.model.membership_cluster import VirtualNet
from yarrowspindle.membership.events import LocalLoad

STEP_MS = 100.0


@dataclass(slots=True)
class MemberDay:
    """agreed_s: after the faults, until all relays have the same members, all of them, and true sums (below 0: never).
    false_deaths: how often a relay held one dead whose process ran then, stopped or cut off ones included."""

    faults: list[Fault] = field(default_factory=list)
    agreed_s: float = -1.0
    false_deaths: int = 0
    datagrams: int = 0
    bytes: int = 0


class Relays:
    """So many relays on one virtual network; each holds something at nodes drawn from its seed."""

    def __init__(self, relays: int, seed: int, backends: int = 12, held: int = 6, **changes: object) -> None:
        self.clock = VirtualClock()
        self.net = VirtualNet(self.clock, seed, **changes)  # type: ignore[arg-type]
        self.count, self.backends, self.random = relays, backends, Random(f"held {seed}")
        self.holds = [self._drawn(held) for _ in range(relays)]
        self.told: dict[int, dict[int, tuple[int, float]]] = {}  # relay -> what its module knows of the others
        self.others: dict[int, PeerLoads] = {}

    def _drawn(self, held: int) -> dict[int, tuple[int, float]]:
        backends = self.random.sample(range(1, self.backends + 1), min(held, self.backends))
        return {backend: (self.random.randint(1, 9), float(self.random.randint(1, 500))) for backend in backends}

    def start(self, index: int) -> None:
        self.told[index] = {}
        self.net.add(index, lambda: LocalLoad(dict(self.holds[index])), lambda others: self._told(index, others))

    def _told(self, index: int, others: PeerLoads) -> None:
        self.others[index] = others
        book = self.told[index]
        for key, held in others.loads.items():
            if held == (0, 0.0):
                book.pop(key, None)
            else:
                book[key] = held

    def kill(self, index: int) -> None:
        self.net.peers[index].die()

    def change(self, index: int) -> None:
        """Something came or went there."""
        backend = self.random.randint(1, self.backends)
        if self.holds[index].pop(backend, None) is None:
            self.holds[index][backend] = (self.random.randint(1, 9), float(self.random.randint(1, 500)))

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + 1000.0 * seconds)

    def sums(self, but: int) -> dict[int, tuple[int, float]]:
        """What all relays that run hold, without one."""
        found: dict[int, tuple[int, float]] = {}
        for index, peer in self.net.peers.items():
            if index != but and peer.alive:
                for backend, (count, load) in self.holds[index].items():
                    was = found.get(backend, (0, 0.0))
                    found[backend] = (was[0] + count, was[1] + load)
        return found

    def agree(self) -> bool:
        alive = sorted(self.net.names.get(i, f"r{i}") for i, peer in self.net.peers.items() if peer.alive)
        return all(peer.core.members.names == alive for peer in self.net.peers.values() if peer.alive)

    def true_sums(self) -> bool:
        return all(self.told[index] == self.sums(index) for index, peer in self.net.peers.items() if peer.alive)

    def until(self, holds: object, within_s: float) -> float:
        """After how long this holds; below 0: not within this time."""
        began = self.clock.time
        while self.clock.time <= began + 1000.0 * within_s:
            if holds():  # type: ignore[operator]
                return (self.clock.time - began) / 1000.0
            self.clock.run_until(self.clock.time + STEP_MS)
        return -1.0


def play_members(
    relays: int, seed: int, words: Sequence[str], faults_s: float = 12.0, within_s: float = 30.0, stall_s: float = 3.0
) -> MemberDay:
    """All start at once, the faults come and end, and all must agree again, on members and sums."""
    world = Relays(relays, seed)
    for index in range(relays):
        world.start(index)
    world.run(4.0)
    faults = schedule(words, relay_names(relays), ["n0"], seed, 0.0, faults_s, stall_s)
    day = MemberDay(faults)
    began = world.net.datagrams, world.net.bytes
    world.net.apply(faults, world.kill, world.start)
    dead = {index: peer.core.counts["dead"] for index, peer in world.net.peers.items()}
    killed = sum(fault.kind == "kill" for fault in faults)
    steps = int(1000.0 * faults_s / STEP_MS) + 1
    for step in range(steps):
        if step % 5 == 0:
            world.change(step % relays)
        world.run(STEP_MS / 1000.0)
    day.agreed_s = world.until(lambda: world.agree() and world.true_sums(), within_s)
    day.datagrams, day.bytes = world.net.datagrams - began[0], world.net.bytes - began[1]
    found = sum(peer.core.counts["dead"] - dead.get(index, 0) for index, peer in world.net.peers.items())
    day.false_deaths = max(0, found - killed * (relays - 1))
    return day
