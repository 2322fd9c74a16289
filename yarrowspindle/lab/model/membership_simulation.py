"""Days of members alone on the virtual clock: no jobs, what each relay holds made up. Thousands of them in minutes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.lab.faults import Fault, relay_names, schedule
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.lab.model.membership_cluster import VirtualNetwork
from yarrowspindle.membership.events import LocalLoad

STEP_MS = 100.0


@dataclass(slots=True)
class MembershipResult:
    """agreed_s: after the faults, until all relays have the same members, all of them, and true sums (below 0: never).
    false_deaths: how often a relay held one dead whose process ran then, stopped or cut off ones included."""

    faults: list[Fault] = field(default_factory=list)
    converged_s: float = -1.0
    false_deaths: int = 0
    datagrams: int = 0
    bytes: int = 0


class MembershipSimulation:
    """So many relays on one virtual network; each holds something at nodes drawn from its seed."""

    def __init__(self, relays: int, seed: int, backends: int = 12, loads_per_relay: int = 6, **changes: object) -> None:
        self.clock = VirtualClock()
        self.network = VirtualNetwork(self.clock, seed, **changes)  # type: ignore[arg-type]
        self.count, self.backends, self.random = relays, backends, Random(f"held {seed}")
        self.local_loads = [self._draw_loads(loads_per_relay) for _ in range(relays)]
        self.known_loads: dict[int, dict[int, tuple[int, float]]] = {}  # relay -> what its module knows of the others
        self.peer_loads: dict[int, PeerLoads] = {}

    def _draw_loads(self, loads_per_relay: int) -> dict[int, tuple[int, float]]:
        backends = self.random.sample(range(1, self.backends + 1), min(loads_per_relay, self.backends))
        return {backend: (self.random.randint(1, 9), float(self.random.randint(1, 500))) for backend in backends}

    def start(self, index: int) -> None:
        self.known_loads[index] = {}
        self.network.add(
            index, lambda: LocalLoad(dict(self.local_loads[index])), lambda others: self._on_peer_loads(index, others)
        )

    def _on_peer_loads(self, index: int, others: PeerLoads) -> None:
        self.peer_loads[index] = others
        known_loads = self.known_loads[index]
        for key, loads_per_relay in others.loads.items():
            if loads_per_relay == (0, 0.0):
                known_loads.pop(key, None)
            else:
                known_loads[key] = loads_per_relay

    def kill(self, index: int) -> None:
        self.network.peers[index].kill()

    def change_load(self, index: int) -> None:
        """Something came or went there."""
        backend = self.random.randint(1, self.backends)
        if self.local_loads[index].pop(backend, None) is None:
            self.local_loads[index][backend] = (self.random.randint(1, 9), float(self.random.randint(1, 500)))

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + 1000.0 * seconds)

    def expected_sums(self, excluded: int) -> dict[int, tuple[int, float]]:
        """What all relays that run hold, without one."""
        sums: dict[int, tuple[int, float]] = {}
        for index, peer in self.network.peers.items():
            if index != excluded and peer.alive:
                for backend, (count, load) in self.local_loads[index].items():
                    previous = sums.get(backend, (0, 0.0))
                    sums[backend] = (previous[0] + count, previous[1] + load)
        return sums

    def members_agree(self) -> bool:
        alive = sorted(self.network.names.get(i, f"r{i}") for i, peer in self.network.peers.items() if peer.alive)
        return all(peer.core.members.names == alive for peer in self.network.peers.values() if peer.alive)

    def sums_are_correct(self) -> bool:
        return all(
            self.known_loads[index] == self.expected_sums(index)
            for index, peer in self.network.peers.items()
            if peer.alive
        )

    def run_until(self, condition: object, within_s: float) -> float:
        """After how long this holds; below 0: not within this time."""
        started = self.clock.time
        while self.clock.time <= started + 1000.0 * within_s:
            if condition():  # type: ignore[operator]
                return (self.clock.time - started) / 1000.0
            self.clock.run_until(self.clock.time + STEP_MS)
        return -1.0


def run_membership_scenario(
    relays: int, seed: int, kinds: Sequence[str], faults_s: float = 12.0, within_s: float = 30.0, stall_s: float = 3.0
) -> MembershipResult:
    """All start at once, the faults come and end, and all must agree again, on members and sums."""
    simulation = MembershipSimulation(relays, seed)
    for index in range(relays):
        simulation.start(index)
    simulation.run(4.0)
    faults = schedule(kinds, relay_names(relays), ["n0"], seed, 0.0, faults_s, stall_s)
    result = MembershipResult(faults)
    sent_before = simulation.network.datagrams, simulation.network.bytes
    simulation.network.schedule_faults(faults, simulation.kill, simulation.start)
    dead_before = {index: peer.core.counts["dead"] for index, peer in simulation.network.peers.items()}
    killed = sum(fault.kind == "kill" for fault in faults)
    steps = int(1000.0 * faults_s / STEP_MS) + 1
    for step in range(steps):
        if step % 5 == 0:
            simulation.change_load(step % relays)
        simulation.run(STEP_MS / 1000.0)
    result.converged_s = simulation.run_until(
        lambda: simulation.members_agree() and simulation.sums_are_correct(), within_s
    )
    result.datagrams, result.bytes = (
        simulation.network.datagrams - sent_before[0],
        simulation.network.bytes - sent_before[1],
    )
    dead_reports = sum(
        peer.core.counts["dead"] - dead_before.get(index, 0) for index, peer in simulation.network.peers.items()
    )
    result.false_deaths = max(0, dead_reports - killed * (relays - 1))
    return result
