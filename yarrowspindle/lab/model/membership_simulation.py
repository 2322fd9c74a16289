"""A simulation of membership without requests: the loads that the relays exchange are random.

It is fast enough for thousands of runs in minutes.
"""

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
    """The result of a simulation.

    Attributes:
        faults: The injected faults.
        converged_s: The time in seconds after the faults until all relays knew all members and the correct sums of
            loads; negative if they did not in time.
        false_deaths: How often a relay declared a relay dead whose process was alive, including stalled and
            unreachable ones.
        datagrams: The number of datagrams sent since the faults started.
        bytes: The number of bytes sent since the faults started.
    """

    faults: list[Fault] = field(default_factory=list)
    converged_s: float = -1.0
    false_deaths: int = 0
    datagrams: int = 0
    bytes: int = 0


class MembershipSimulation:
    """Relays on a virtual network, each with random loads at some backends.

    Attributes:
        count: The number of relays.
        local_loads: The connections and load at each backend, by relay.
        known_loads: The loads of all other relays together at each backend, as each relay knows them.
        peer_loads: The last update of these loads that each relay received.
    """

    def __init__(self, relays: int, seed: int, backends: int = 12, loads_per_relay: int = 6, **changes: object) -> None:
        self.clock = VirtualClock()
        self.network = VirtualNetwork(self.clock, seed, **changes)  # type: ignore[arg-type]
        self.count, self.backends, self.random = relays, backends, Random(f"held {seed}")
        self.local_loads = [self._draw_loads(loads_per_relay) for _ in range(relays)]
        self.known_loads: dict[int, dict[int, tuple[int, float]]] = {}
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
        for key, load in others.loads.items():
            if load == (0, 0.0):
                known_loads.pop(key, None)
            else:
                known_loads[key] = load

    def kill(self, index: int) -> None:
        self.network.peers[index].kill()

    def change_load(self, index: int) -> None:
        """Remove the relay's load at a random backend, or add one if there is none."""
        backend = self.random.randint(1, self.backends)
        if self.local_loads[index].pop(backend, None) is None:
            self.local_loads[index][backend] = (self.random.randint(1, 9), float(self.random.randint(1, 500)))

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + 1000.0 * seconds)

    def expected_sums(self, excluded: int) -> dict[int, tuple[int, float]]:
        """Return the loads of all live relays together except the excluded one."""
        sums: dict[int, tuple[int, float]] = {}
        for index, peer in self.network.peers.items():
            if index != excluded and peer.alive:
                for backend, (count, load) in self.local_loads[index].items():
                    previous = sums.get(backend, (0, 0.0))
                    sums[backend] = (previous[0] + count, previous[1] + load)
        return sums

    def members_agree(self) -> bool:
        """Return whether the member list of each live relay is exactly the live relays."""
        alive = sorted(self.network.names.get(i, f"r{i}") for i, peer in self.network.peers.items() if peer.alive)
        return all(peer.core.members.names == alive for peer in self.network.peers.values() if peer.alive)

    def sums_are_correct(self) -> bool:
        """Return whether each live relay knows the correct loads of the others."""
        return all(
            self.known_loads[index] == self.expected_sums(index)
            for index, peer in self.network.peers.items()
            if peer.alive
        )

    def run_until(self, condition: object, within_s: float) -> float:
        """Run until the condition holds.

        Returns:
            The elapsed time in seconds; negative if the condition did not hold within `within_s`.
        """
        started = self.clock.time
        while self.clock.time <= started + 1000.0 * within_s:
            if condition():  # type: ignore[operator]
                return (self.clock.time - started) / 1000.0
            self.clock.run_until(self.clock.time + STEP_MS)
        return -1.0


def run_membership_scenario(
    relays: int, seed: int, kinds: Sequence[str], faults_s: float = 12.0, within_s: float = 30.0, stall_s: float = 3.0
) -> MembershipResult:
    """Start all relays at once, inject faults, and wait until all agree on the members and the sums of loads again.

    Args:
        relays: The number of relays.
        seed: The seed of the simulation.
        kinds: The kinds of the faults.
        faults_s: The period in which faults are active.
        within_s: The time allowed to converge after that period.
        stall_s: The longest stall.
    """
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
