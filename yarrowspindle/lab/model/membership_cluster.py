"""Relays that exchange membership messages on a virtual network and clock, with fault injection.

The membership core and driver are those that the daemon uses with sockets; the kinds of faults are those of
`lab.faults`.
"""

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

MAX_QUEUED_EVENTS = 300  # in the socket of a stalled process; further datagrams are lost


def address_of(index: int) -> Address:
    """Return the address of the relay with this index."""
    return f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}", 7946


class VirtualPeer:
    """The membership part of a simulated relay process.

    Attributes:
        party: The name of the relay in faults.
        clock_offset_ms: How far the clock of the process is ahead of the virtual clock.
        core_arguments: The arguments with which the core was created.
        core: The membership core under test.
        stalled_until: The time of the virtual clock until which the process is stopped.
        queued_events: The datagrams that wait in the socket while the process is stalled.
    """

    def __init__(
        self,
        network: VirtualNetwork,
        index: int,
        incarnation: int,
        local_load: Callable[[], LocalLoad],
        on_peer_loads: Callable[[PeerLoads], None],
    ) -> None:
        self.network, self.index, self.local_load, self.on_peer_loads = network, index, local_load, on_peer_loads
        self.party, self.address = f"r{index}", address_of(index)
        settings = network.settings(self.address, index)
        # Each process has its own clock, unrelated to those of the others.
        self.clock_offset_ms = network.random.uniform(0.0, 1e9)
        self.core_arguments = (
            settings,
            network.names.get(index, self.party),
            incarnation,
            network.random.randrange(1 << 32),
            self.now(),
        )
        self.core = Membership(*self.core_arguments)
        self.driver = MembershipDriver(
            self.core, self.now, self._after, self._send, local_load, on_peer_loads, self._log
        )
        self.log: list[tuple[float, str]] = []
        self.alive, self.stalled_until = True, 0.0
        self.queued_events: list[Event] = []

    def now(self) -> float:
        return self.network.clock.now() - self.network.clock.start + self.clock_offset_ms

    def start(self) -> None:
        self.driver.start()

    def _after(self, delay_ms: float, callback: Callable[[], None]) -> object:
        return self.network.clock.after(delay_ms, self._run_when_resumed, callback)

    def _run_when_resumed(self, callback: Callable[[], None]) -> None:
        if not self.alive:
            return
        remaining_ms = self.stalled_until - self.network.clock.now()
        if remaining_ms > 0.0:
            self.network.clock.after(remaining_ms, self._run_when_resumed, callback)
        else:
            callback()

    def _send(self, to: Address, data: bytes) -> None:
        self.network.send(self, to, data)

    def _log(self, text: str, bounded: bool) -> None:
        if len(self.log) < 10_000:
            self.log.append((self.network.clock.seconds, text))

    def on_datagram(self, data: bytes, source: Address) -> None:
        if not self.alive:
            return
        event = DatagramReceived(data, source)
        if self.stalled_until > self.network.clock.now():
            if len(self.queued_events) < MAX_QUEUED_EVENTS:
                self.queued_events.append(event)
                if len(self.queued_events) == 1:
                    self.network.clock.after(self.stalled_until - self.network.clock.now(), self._process_queued_events)
            return
        self.driver.post(event)

    def _process_queued_events(self) -> None:
        queued_events, self.queued_events = self.queued_events, []
        for event in queued_events:
            if self.alive:
                self.driver.post(event)

    def stall(self, for_ms: float) -> None:
        self.stalled_until = max(self.stalled_until, self.network.clock.now() + for_ms)

    def kill(self) -> None:
        self.alive = False
        self.driver.close()

    def leave(self) -> None:
        """Leave the cluster and end, as a relay does that is stopped by SIGTERM."""
        self.driver.post(LeaveCluster())
        self.kill()


class VirtualNetwork:
    """A network of relays on a virtual clock, with faults.

    Attributes:
        seeds: The number of relays whose addresses are the seed addresses of a cluster.
        latency: The range of the latency of a datagram, in milliseconds.
        cell_size: The number of relays of consecutive indexes that form a cluster of their own; 0 for one cluster.
        setting_overrides: The membership settings that differ from the defaults.
        names: The names of relays that are not named by their index.
        bytes: The number of bytes sent.
        datagrams: The number of datagrams sent.
    """

    def __init__(
        self,
        clock: VirtualClock,
        seed: int,
        seeds: int = 2,
        latency: tuple[float, float] = (0.1, 2.0),
        cell: int = 0,
        **setting_overrides: object,
    ) -> None:
        self.clock, self.seeds, self.latency, self.cell_size, self.setting_overrides = (
            clock,
            seeds,
            latency,
            cell,
            setting_overrides,
        )
        self.random, self.latency_random = Random(f"net {seed}"), Random(f"wires {seed}")
        self.faulty_network = FaultyNetwork(seed)
        self.peers: dict[int, VirtualPeer] = {}
        self.peers_by_address: dict[Address, VirtualPeer] = {}
        self.names: dict[int, str] = {}
        self.incarnations = 0
        self.bytes = self.datagrams = 0

    def settings(self, address: Address, index: int) -> PeerSettings:
        setting_overrides, first_index = dict(self.setting_overrides), 0
        if self.cell_size:
            first_index = index - index % self.cell_size
            setting_overrides["cluster"] = f"cell{index // self.cell_size}"
        return PeerSettings(address, tuple(address_of(first_index + n) for n in range(self.seeds)), **setting_overrides)  # type: ignore[arg-type]

    def add(
        self, index: int, local_load: Callable[[], LocalLoad], on_peer_loads: Callable[[PeerLoads], None]
    ) -> VirtualPeer:
        """Start a process of this relay; the one before must have ended.

        Args:
            index: The index of the relay.
            local_load: Returns the loads that the relay reports to the others.
            on_peer_loads: Receives the loads of the other relays.
        """
        self.incarnations += 1
        peer = VirtualPeer(self, index, self.incarnations, local_load, on_peer_loads)
        self.peers[index] = self.peers_by_address[peer.address] = peer
        peer.start()
        return peer

    def send(self, source: VirtualPeer, to: Address, data: bytes) -> None:
        self.bytes += len(data)
        self.datagrams += 1
        target = self.peers_by_address.get(to)
        if target is None:
            return
        for delay_ms, copy in self.faulty_network.deliveries(source.party, target.party, data):
            self.clock.after(
                delay_ms + self.latency_random.uniform(*self.latency), self._arrive, to, copy, source.address
            )

    def _arrive(self, to: Address, data: bytes, source: Address) -> None:
        target = self.peers_by_address.get(to)
        if target is not None:
            target.on_datagram(data, source)

    def schedule_faults(self, faults: list[Fault], kill: Callable[[int], None], start: Callable[[int], None]) -> None:
        """Schedule the faults, counted from now.

        Args:
            faults: The faults to inject.
            kill: Kills the relay with this index.
            start: Starts the relay with this index.
        """
        for fault in faults:
            start_ms, end_ms = 1000.0 * fault.start_s, 1000.0 * fault.end_s
            index = int(fault.participants[0][1:]) if fault.participants and fault.kind in ("kill", "stall") else 0
            if fault.kind == "kill":
                self.clock.after(start_ms, kill, index)
                self.clock.after(end_ms, start, index)
            elif fault.kind == "stall":
                self.clock.after(start_ms, self._stall, index, end_ms - start_ms)
            elif fault.kind == "restart":
                interval_ms = (end_ms - start_ms) / max(len(self.peers), 1)
                for number, peer_index in enumerate(sorted(self.peers)):
                    self.clock.after(start_ms + interval_ms * number, self._leave, peer_index)
                    self.clock.after(start_ms + interval_ms * (number + 0.5), start, peer_index)
            else:
                self.clock.after(start_ms, self.faulty_network.start, fault)
                self.clock.after(end_ms, self.faulty_network.end, fault)

    def _stall(self, index: int, for_ms: float) -> None:
        self.peers[index].stall(for_ms)

    def _leave(self, index: int) -> None:
        self.peers[index].leave()
