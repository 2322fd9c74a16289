"""Relays that hear one another on the virtual clock: the same core and driver as over sockets, the same fault words."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.lab.faults import Fault, FaultyNetwork
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.membership import Membership, PeerSettings
from yarrowspindle.membership.events import DatagramReceived, Event, LeaveCluster, LocalLoad
from yarrowspindle.routing.address import Address
from yarrowspindle.runtime.membership_driver import MembershipDriver

MAX_WAITING = 300  # datagrams that wait in a stopped process's socket; more are lost


def address_of(index: int) -> Address:
    return f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}", 7946


class VirtualPeer:
    """One process of a relay as the others meet it; killed, stopped and started by the network that it is in."""

    def __init__(
        self,
        net: VirtualNet,
        index: int,
        incarnation: int,
        own: Callable[[], LocalLoad],
        told: Callable[[PeerLoads], None],
    ) -> None:
        self.net, self.index, self.own, self.told = net, index, own, told
        self.party, self.address = f"r{index}", address_of(index)
        settings = net.settings(self.address, index)
        # Each process has a clock of its own, that says nothing of the others'.
        self.offset = net.random.uniform(0.0, 1e9)
        self.made = (settings, net.names.get(index, self.party), incarnation, net.random.randrange(1 << 32), self.now())
        self.core = Membership(*self.made)
        self.driver = MembershipDriver(self.core, self.now, self._after, self._send, own, told, self._note)
        self.log: list[tuple[float, str]] = []
        self.alive, self.stalled_until = True, 0.0
        self.waiting: list[Event] = []

    def now(self) -> float:
        return self.net.clock.now() - self.net.clock.start + self.offset

    def start(self) -> None:
        self.driver.start()

    def _after(self, delay_ms: float, then: Callable[[], None]) -> object:
        return self.net.clock.after(delay_ms, self._due, then)

    def _due(self, then: Callable[[], None]) -> None:
        if not self.alive:
            return
        left = self.stalled_until - self.net.clock.now()
        if left > 0.0:
            self.net.clock.after(left, self._due, then)
        else:
            then()

    def _send(self, to: Address, data: bytes) -> None:
        self.net.send(self, to, data)

    def _note(self, text: str, bounded: bool) -> None:
        if len(self.log) < 10_000:
            self.log.append((self.net.clock.seconds, text))

    def came(self, data: bytes, source: Address) -> None:
        if not self.alive:
            return
        event = DatagramReceived(data, source)
        if self.stalled_until > self.net.clock.now():
            if len(self.waiting) < MAX_WAITING:
                self.waiting.append(event)
                if len(self.waiting) == 1:
                    self.net.clock.after(self.stalled_until - self.net.clock.now(), self._awake)
            return
        self.driver.post(event)

    def _awake(self) -> None:
        waiting, self.waiting = self.waiting, []
        for event in waiting:
            if self.alive:
                self.driver.post(event)

    def stall(self, for_ms: float) -> None:
        self.stalled_until = max(self.stalled_until, self.net.clock.now() + for_ms)

    def die(self) -> None:
        self.alive = False
        self.driver.close()

    def leave(self) -> None:
        self.driver.post(LeaveCluster())
        self.die()


class VirtualNet:
    """`changes`: of the peers' settings. latency: of a datagram, in milliseconds. seeds: so many relays are seeds.
    cell: so many relays, by their index, are a cluster with seeds of its own; 0: all are one."""

    def __init__(
        self,
        clock: VirtualClock,
        seed: int,
        seeds: int = 2,
        latency: tuple[float, float] = (0.1, 2.0),
        cell: int = 0,
        **changes: object,
    ) -> None:
        self.clock, self.seeds, self.latency, self.cell, self.changes = clock, seeds, latency, cell, changes
        self.random, self.wires = Random(f"net {seed}"), Random(f"wires {seed}")
        self.faulty_network = FaultyNetwork(seed)
        self.peers: dict[int, VirtualPeer] = {}
        self.at: dict[Address, VirtualPeer] = {}
        self.names: dict[int, str] = {}
        self.incarnations = 0
        self.bytes = self.datagrams = 0

    def settings(self, address: Address, index: int) -> PeerSettings:
        changes, first = dict(self.changes), 0
        if self.cell:
            first = index - index % self.cell
            changes["cluster"] = f"cell{index // self.cell}"
        return PeerSettings(address, tuple(address_of(first + n) for n in range(self.seeds)), **changes)  # type: ignore[arg-type]

    def add(self, index: int, own: Callable[[], LocalLoad], told: Callable[[PeerLoads], None]) -> VirtualPeer:
        """A process of this relay starts now; one that was there must have ended."""
        self.incarnations += 1
        peer = VirtualPeer(self, index, self.incarnations, own, told)
        self.peers[index] = self.at[peer.address] = peer
        peer.start()
        return peer

    def send(self, source: VirtualPeer, to: Address, data: bytes) -> None:
        self.bytes += len(data)
        self.datagrams += 1
        target = self.at.get(to)
        if target is None:
            return
        for late, copy in self.faulty_network.deliveries(source.party, target.party, data):
            self.clock.after(late + self.wires.uniform(*self.latency), self._arrive, to, copy, source.address)

    def _arrive(self, to: Address, data: bytes, source: Address) -> None:
        target = self.at.get(to)
        if target is not None:
            target.came(data, source)

    def apply(self, faults: list[Fault], kill: Callable[[int], None], start: Callable[[int], None]) -> None:
        """Sets the faults up, counted from now; `kill` and `start` do what is to be done to a relay."""
        for fault in faults:
            at, ends = 1000.0 * fault.start_s, 1000.0 * fault.end_s
            index = int(fault.participants[0][1:]) if fault.participants and fault.kind in ("kill", "stall") else 0
            if fault.kind == "kill":
                self.clock.after(at, kill, index)
                self.clock.after(ends, start, index)
            elif fault.kind == "stall":
                self.clock.after(at, self._stall, index, ends - at)
            elif fault.kind == "restart":
                step = (ends - at) / max(len(self.peers), 1)
                for number, one in enumerate(sorted(self.peers)):
                    self.clock.after(at + step * number, self._leave, one)
                    self.clock.after(at + step * (number + 0.5), start, one)
            else:
                self.clock.after(at, self.faulty_network.start, fault)
                self.clock.after(ends, self.faulty_network.end, fault)

    def _stall(self, index: int, for_ms: float) -> None:
        self.peers[index].stall(for_ms)

    def _leave(self, index: int) -> None:
        self.peers[index].leave()
