"""A run: relays as real processes, everything else here, faults on the wires by a schedule, and what came of it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

from yarrowspindle.lab.faults import Fault, FaultyNetwork, relay_names, schedule
from yarrowspindle.lab.processes.checker import Checker
from yarrowspindle.lab.processes.fleet import Fleet, FleetConnection
from yarrowspindle.lab.processes.fleet_messages import Wire
from yarrowspindle.lab.processes.lateness import watch_lateness
from yarrowspindle.lab.processes.parties import Backend, Clients, MachineList
from yarrowspindle.lab.processes.proxy import DatagramProxy, Pipe, TcpProxy, Views
from yarrowspindle.lab.processes.relay_process import Relay
from yarrowspindle.lab.processes.run import Report, Run
from yarrowspindle.routing.address import Address


class World:
    def __init__(self, run: Run, folder: Path) -> None:
        self.run, self.folder = run, folder
        self.started = time.monotonic()
        self.random = Random(f"world {run.seed}")
        self.checker = Checker(self.now, run.terms)
        self.faulty_network = FaultyNetwork(run.seed)
        # A net of loopback of its own, so that runs side by side do not meet.
        self.net = f"127.{64 + os.getpid() % 128}.{1 + run.seed % 250}"
        self.used: set[Address] = set()
        self.backends = {
            f"n{n}": Backend(f"n{n}", self.address(100 + n), Random(f"node {run.seed} {n}"), run.lifetime_s)
            for n in range(run.backends)
        }
        self.backend_doors: dict[tuple[str, str], Address] = {}
        self.list = MachineList(self.backends, lambda relay, backend: self.backend_doors[relay, backend])
        self.relays = [Relay(name, n, self) for n, name in enumerate(relay_names(run.relays))]
        self.voters = tuple(relay.name for relay in self.relays[: run.voters])
        self.lost = ""  # whose file was
        self.turn_said: Callable[[str, str], None] = lambda relay, text: None  # a relay's log line on a turn
        self.fleet = Fleet(self._sent, self._given_up)
        self.lateness_s = 0.0  # of this process, at most
        self.proxies: list[TcpProxy] = []
        self.datagram_proxies: list[DatagramProxy] = []
        self.datagrams: Counter[str] = Counter()
        self.views = Views()
        self.clients = Clients(self.checker, self.front, Random(f"submitters {run.seed}"), run.deadline_s, run.line_s)
        self.tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        return time.monotonic() - self.started

    def address(self, last: int) -> Address:
        """A port of this net that nobody has."""
        while True:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((f"{self.net}.{1 + last}", 0))
                found: Address = tcp.getsockname()
                try:
                    udp.bind(found)
                except OSError:
                    continue
            if found not in self.used:
                self.used.add(found)
                return found

    def front(self) -> tuple[str, Address] | None:
        """Deals connections out among the relays that serve; it takes some time to find out that one is dead."""
        serving = [relay for relay in self.relays if relay.up]
        if not serving:
            return None
        relay = serving[int(self.random.random() * len(serving))]
        return relay.name, relay.client

    # --- the wires ------------------------------------------------------------------------------

    async def open(self) -> None:
        parties = {relay.inside: relay.name for relay in self.relays}
        wires: list[Wire] = []
        for relay in self.relays:
            proxy = DatagramProxy(relay.name, relay.inside, parties, self.faulty_network, self._datagram)
            await proxy.open(relay.outside)
            self.datagram_proxies.append(proxy)
            for backend in self.backends.values():
                door = self.backend_doors[relay.name, backend.name] = self.address(relay.index)
                wires.append(Wire(relay.name, backend.name, door))
            inside = self.address(90)
            await self.list.open(relay.name, inside)
            watch = TcpProxy(relay.name, "list", inside, self.faulty_network)
            watch.said = self._list_said
            await watch.open(relay.discovery)
            self.proxies.append(watch)
        addresses = {backend.name: backend.address for backend in self.backends.values()}
        await self.fleet.open(self.run.seed, self.run.lifetime_s, addresses, wires)
        self.tasks.append(asyncio.ensure_future(watch_lateness(self._late)))

    def _late(self, late_s: float) -> None:
        self.lateness_s = max(self.lateness_s, late_s)

    def _datagram(self, source: str, target: str, data: bytes, copies: int) -> None:
        self.datagrams["sent"] += 1
        self.datagrams["bytes"] += len(data)
        self.datagrams["lost" if copies == 0 else "doubled" if copies > 1 else "passed"] += 1
        view = self.views.of(data)
        if view is not None and source != "stranger":
            self.checker.viewed(source, view)

    def _sent(self, connection: FleetConnection) -> None:
        self.checker.sent(connection.relay, connection.backend, connection.request, connection)

    def _given_up(self, connection: FleetConnection) -> None:
        self.checker.given_up(connection.request, connection)

    def _list_said(self, pipe: Pipe, data: bytes) -> None:
        """What a relay was told counts from when it was written to it."""
        for line in data.split(b"\n"):
            if line.startswith(b"{"):
                try:
                    told = json.loads(line)
                except ValueError:
                    continue
                names = set()
                for member in told["members"]:
                    names.add(member["id"])
                    self.checker.told(pipe.proxy.source, member["id"], member["phase"] == "ready")
                if told["complete"]:
                    for name in self.backends.keys() - names:
                        self.checker.told(pipe.proxy.source, name, False)

    # --- the course of a run --------------------------------------------------------------------

    async def inflict(self, fault: Fault) -> None:
        await asyncio.sleep(fault.start_s)
        relay = next((relay for relay in self.relays if fault.parties == (relay.name,)), self.relays[0])
        if fault.kind == "kill":
            await relay.kill()
            if self.run.lose_file and not self.lost and relay.name in self.voters:
                self.lost = relay.name
                relay.file.path.unlink()
            await asyncio.sleep(fault.duration_s)
            await relay.start()
        elif fault.kind == "stall":
            relay.pause()
            try:
                await asyncio.sleep(fault.duration_s)
            finally:
                relay.go_on()
        elif fault.kind == "restart":
            for one in self.relays:
                await one.restart(0.1)
        else:
            self.faulty_network.start(fault)
            await self.fleet.start_fault(fault)
            try:
                await asyncio.sleep(fault.duration_s)
            finally:
                self.faulty_network.end(fault)
                await self.fleet.end_fault(fault)

    async def change_backends(self) -> None:
        """One node drains, ends, and comes back cold while the faults last."""
        backend = self.backends[f"n{self.run.seed % self.run.backends}"]
        await asyncio.sleep(0.1 * self.run.faults_s)
        self.list.tell(backend, "draining")
        await asyncio.sleep(max(0.25 * self.run.faults_s, 1.0))
        self.list.tell(backend, "gone")
        await self.fleet.kill_backend(backend.name)
        await asyncio.sleep(0.1 * self.run.faults_s)
        await self.fleet.start_backend(backend.name)
        backend.started_ms = time.time() * 1000.0
        self.checker.started(backend.name)
        self.list.tell(backend, "ready")

    async def sample(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.clients.wanted += self.run.clients
            self.clients.stood += len(self.clients.up)

    async def agreed(self) -> float:
        """How long after the faults all relays' digests of members are the same, and stay so for a second."""
        began = same = self.now()
        names = [relay.name for relay in self.relays]
        while self.now() < began + self.run.agree_s:
            await asyncio.sleep(0.1)
            if not self.checker.agree(names, max(began, self.now() - 3.0)):
                same = self.now()
            elif self.now() >= same + 1.0:
                return max(0.0, same - began)
        return -1.0

    async def close(self) -> None:
        await self.clients.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for relay in self.relays:
            if relay.stopped:
                relay.go_on()
            relay.send(signal.SIGKILL)
        await asyncio.gather(*(relay.ended() for relay in self.relays))
        for proxy in self.proxies:
            proxy.close()
        for datagram_proxy in self.datagram_proxies:
            datagram_proxy.close()
        self.list.close()
        await self.fleet.close()
        await asyncio.sleep(0.15)  # what passed between them ends by itself


@asynccontextmanager
async def opened(run: Run, folder: Path | None = None) -> AsyncIterator[World]:
    """All parties stand and all relays serve."""
    with tempfile.TemporaryDirectory(prefix="yarrowspindle-lab-") as temporary:
        world = World(run, folder or Path(temporary))
        try:
            await world.open()
            await asyncio.gather(*(relay.start() for relay in world.relays))
            yield world
        finally:
            await world.close()


async def play(run: Run, faults: list[Fault] | None = None, folder: Path | None = None) -> Report:
    """One run, from the start of the relays to their end."""
    if faults is None:
        faults = schedule(
            run.words,
            relay_names(run.relays),
            [f"n{n}" for n in range(run.backends)],
            run.seed,
            0.0,
            run.faults_s,
            run.stall_s,
        )
    report = Report(run, faults)
    async with opened(run, folder) as world:
        world.clients.start(run.clients, run.settle_s / 2.0)
        await asyncio.sleep(run.settle_s)
        world.tasks.append(asyncio.ensure_future(world.sample()))
        inflicted = [asyncio.ensure_future(world.inflict(fault)) for fault in faults]
        world.tasks += inflicted
        if run.backends_change:
            inflicted.append(asyncio.ensure_future(world.change_backends()))
            world.tasks.append(inflicted[-1])
        if inflicted:
            await asyncio.gather(*inflicted)
        ended = world.now()
        if run.peers:
            report.agreed_s = await world.agreed()
            if report.agreed_s < 0.0:
                world.checker.note("members agree", f"not within {run.agree_s:g} s after the faults")
        await asyncio.sleep(max(0.0, run.after_s - (world.now() - ended)))
        finish(world, report)
    return report


def finish(world: World, report: Report) -> None:
    """What came of it."""
    checker = world.checker
    report.broken, report.counts, report.datagrams = checker.broken, checker.counts, world.datagrams
    report.cold_worst = max((cold.worst for cold in checker.cold.values()), default=0.0)
    report.served = world.clients.stood / max(world.clients.wanted, 1.0)
    waits = sorted(checker.waits)
    report.wait_p99_ms = 1000.0 * waits[int(0.99 * (len(waits) - 1))] if waits else 0.0
    report.clients_late_ms = 1000.0 * world.lateness_s
    report.backends_late_ms = 1000.0 * world.fleet.lateness_s
    report.log = {relay.name: relay.log for relay in world.relays}
