"""Changes of configuration on real UDP sockets: hollow relays, many to a process; a process for each controller.

What is lost and cut is dropped where it would be sent. A controller is killed and stopped by its process id. Times are
the system's monotonic clock, which all processes share.
"""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from multiprocessing import get_context
from multiprocessing.connection import Connection
from multiprocessing.context import SpawnProcess
from pathlib import Path
from random import Random
from statistics import median
from tempfile import TemporaryDirectory
from typing import Any

import uvloop

from yarrowspindle.configuration.agent import Agent
from yarrowspindle.configuration.codec import ACCEPTOR_FILE
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.effects import ApplySettings, AskAcceptor, ChangeAnswered, SendMessage, SetTimer
from yarrowspindle.configuration.events import ChangeRequested, Event, MessageReceived, Sender, TimerFired
from yarrowspindle.configuration.link import Link
from yarrowspindle.configuration.settings import ControllerAddress, controllers_by_preference
from yarrowspindle.configuration.state import ControlState
from yarrowspindle.consensus.acceptor import Acceptor
from yarrowspindle.lab.model.configuration_cluster import CLUSTER, REGIONS, ZONES, check_entries, spread_controllers
from yarrowspindle.membership.codec import DroppedDatagramError
from yarrowspindle.routing.address import Address
from yarrowspindle.storage.durable_file import FileUnavailableError
from yarrowspindle.storage.voter_file import VoterFile
from yarrowspindle.transport.datagrams import UdpListener

PARCELS_S, LOOK_S = 0.05, 0.02
MAX_LATE_MS = 50.0  # of the event loop, in 99 of 100 looks: beyond that the machine is measured, not the relays
A_SECOND, WARM_S, IN_FORCE_S = 2.0, 3.0, 3.0
FAULTS = ("none", "loss", "kill", "stop", "cut")


def machines_at(port: int) -> tuple[ControllerAddress, ...]:
    """As in the model, on the loopback network."""
    return tuple(
        ControllerAddress(m.name, (f"127.30.{n + 1}.1", port), m.zone, m.region, m.voter)
        for n, m in enumerate(spread_controllers(11, 5))
    )


def relay_at(number: int, port: int) -> tuple[Address, str]:
    """Its address and zone; the second byte says in which region."""
    zone = ZONES[number % len(ZONES)]
    region = 40 if REGIONS[zone] == "a" else 41
    return (f"127.{region}.{number >> 8}.{number & 255}", port), zone


class Endpoint:
    """One agent or controller on a socket."""

    def __init__(self, network: Network, name: str, address: Address, region: str) -> None:
        self.network, self.name, self.address, self.region = network, name, address, region
        self.loop = asyncio.get_running_loop()
        self.link = Link(name, address, CLUSTER, int(time.time() * 1000), Random(name).getrandbits(40), self.now())
        self.front = UdpListener(self._came)
        self.core: Agent | Controller

    async def open(self) -> None:
        await self.loop.create_datagram_endpoint(lambda: self.front, local_addr=self.address)
        self.carry_out(self.core.take_effects())

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def post(self, event: Event) -> None:
        self.carry_out(self.core.step(self.now(), event))

    def carry_out(self, effects: Sequence[Any]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                if effect.to.address == self.address:
                    self.loop.call_soon(self.post, MessageReceived(Sender(self.name, self.address), effect.message))
                else:
                    for data in self.link.encode(self.now(), effect.to.address, effect.message):
                        self.put(effect.to.address, data)
            elif isinstance(effect, SetTimer):
                self.loop.call_later(effect.delay_ms / 1000.0, self.post, TimerFired())
            else:
                self.effect(effect)

    def effect(self, effect: Any) -> None:
        """What only one of the roles asks for."""

    def put(self, to: Address, data: bytes) -> None:
        if not self.network.lost(self.region, to):
            self.front.send(data, to)

    def _came(self, data: bytes, source: Address) -> None:
        try:
            received = self.link.receive(self.now(), data, source)
        except DroppedDatagramError:
            return
        for datagram in received.replies:
            self.put(received.sender.address, datagram)
        if received.message is not None:
            self.post(MessageReceived(received.sender, received.message))

    def parcels(self) -> None:
        for request in self.link.missing_fragment_requests(self.now()):
            self.put(request.to, request.data)


class Relay(Endpoint):
    def __init__(self, network: Network, number: int, port: int, machines: tuple[ControllerAddress, ...]) -> None:
        address, zone = relay_at(number, port)
        super().__init__(network, f"r{number:04d}", address, REGIONS[zone])
        self.took: list[tuple[int, float]] = []
        self.core = Agent(
            controllers_by_preference(machines, self.name, zone, self.region), check_entries, number, self.now()
        )

    def effect(self, effect: Any) -> None:
        if isinstance(effect, ApplySettings):
            self.took.append((effect.version, time.monotonic()))


class Control(Endpoint):
    def __init__(
        self, network: Network, machine: ControllerAddress, machines: tuple[ControllerAddress, ...], folder: str
    ) -> None:
        super().__init__(network, machine.name, machine.address, machine.region)
        first = ControlState({m.name: "the first file" for m in machines if m.voter})
        self.file = VoterFile(str(Path(folder) / machine.name), machine.name, CLUSTER, ACCEPTOR_FILE)
        self.voter: Acceptor[ControlState] | None = None
        if machine.voter:
            try:
                kept = self.file.load()
            except FileUnavailableError:
                self.file.create_initial(first)
                kept = self.file.load()
            self.voter = Acceptor(kept, self.file.store, self.now)
        self.disk = ThreadPoolExecutor(1)
        self.answers: list[tuple[int, int, str, float]] = []
        self.core = Controller(
            machine,
            machines,
            first,
            self.voter.stored.identity if self.voter else "",
            self.voter.stored.state if self.voter else first,
            self.link.incarnation,
            check_entries,
            int.from_bytes(os.urandom(4), "big"),
            self.now(),
        )

    def effect(self, effect: Any) -> None:
        if isinstance(effect, AskAcceptor) and self.voter is not None:
            done = self.disk.submit(self.voter.on_message, effect.message)
            done.add_done_callback(lambda it: self.loop.call_soon_threadsafe(self._voted, effect.sender, it))
        elif isinstance(effect, ChangeAnswered):
            self.answers.append((effect.ticket, effect.version, effect.reason, time.monotonic()))

    def _voted(self, to: Sender, done: Any) -> None:
        if done.exception() is None:
            self.carry_out([SendMessage(to, done.result())])


class Network:
    """What this process drops of what it sends."""

    def __init__(self, seed: int) -> None:
        self.random, self.share, self.cut = Random(seed), 0.0, False
        self.regions: dict[str, str] = {}

    def lost(self, region: str, to: Address) -> bool:
        if self.cut and region != self._region(to[0]):
            return True
        return self.share > 0.0 and self.random.random() < self.share

    def _region(self, host: str) -> str:
        second, third = host.split(".")[1:3]
        return ("a" if second == "40" else "b") if second != "30" else REGIONS[ZONES[(int(third) - 1) % len(ZONES)]]


async def _held(pipe: Connection, make: Callable[[Network], list[Endpoint]], seed: int) -> None:
    """Endpoints until the parent says `end`; its words come by the pipe."""
    network, loop, late = Network(seed), asyncio.get_running_loop(), list[float]()
    ends, words = make(network), asyncio.Queue[Any]()

    def said() -> None:
        try:
            words.put_nowait(pipe.recv())
        except EOFError:
            loop.remove_reader(pipe.fileno())
            words.put_nowait(("end", None))

    loop.add_reader(pipe.fileno(), said)
    for end in ends:
        await end.open()

    async def parcels() -> None:
        while True:
            began = loop.time()
            await asyncio.sleep(PARCELS_S)
            late.append(1000.0 * (loop.time() - began - PARCELS_S))
            for end in ends:
                end.parcels()

    beat = loop.create_task(parcels())
    pipe.send("there")
    while True:
        word, value = await words.get()
        if word == "end":
            break
        if word == "loss":
            network.share = value
        elif word == "cut":
            network.cut = value
        elif word == "order":
            ends[0].post(ChangeRequested(*value))
        elif word == "clear":
            late.clear()
            for end in ends:
                end.link.counts.clear()
            pipe.send(time.process_time())
        elif word == "tell":
            pipe.send(
                {
                    "took": [end.took for end in ends if isinstance(end, Relay)],
                    "answers": [end.answers for end in ends if isinstance(end, Control)],
                    "counts": [dict(end.link.counts) for end in ends],
                    "spent": time.process_time(),
                    "late": sorted(late),
                    "rss_kb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
                }
            )
    beat.cancel()


def agents(pipe: Connection, first: int, count: int, port: int) -> None:
    machines = machines_at(port)
    uvloop.run(
        _held(pipe, lambda network: [Relay(network, n, port, machines) for n in range(first, first + count)], first)
    )


def controller(pipe: Connection, number: int, port: int, folder: str) -> None:
    machines = machines_at(port)
    uvloop.run(_held(pipe, lambda network: [Control(network, machines[number], machines, folder)], number))


class Fleet:
    """Processes of relays and of controllers; ended by their ids, whatever happens."""

    def __init__(self, relays: int, processes: int) -> None:
        self.context, self.folder = get_context("spawn"), TemporaryDirectory()
        with socket.socket(type=socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]  # hardly ever taken at one of the many addresses as well
        self.relays, self.controllers, self.tickets = list[Connection](), dict[int, Connection](), 0
        self.processes: list[SpawnProcess] = []
        self.of: dict[int, SpawnProcess] = {}
        each = -(-relays // processes)
        for number in range(11):
            self.control(number)
        self.relays = [
            self._start(agents, first, min(each, relays - first), self.port) for first in range(0, relays, each)
        ]
        for pipe in [*self.relays, *self.controllers.values()]:
            self._hear(pipe)

    def control(self, number: int) -> Connection:
        self.controllers[number] = self._start(controller, number, self.port, self.folder.name)
        self.of[number] = self.processes[-1]
        return self.controllers[number]

    def _start(self, target: Callable[..., None], *more: Any) -> Connection:
        ours, theirs = self.context.Pipe()
        process = self.context.Process(target=target, args=(theirs, *more), daemon=True)
        process.start()
        theirs.close()
        self.processes.append(process)
        return ours

    @staticmethod
    def _hear(pipe: Connection) -> Any:
        if not pipe.poll(30.0):
            raise TimeoutError("a process of the fleet does not answer within 30 s")
        return pipe.recv()

    def say(self, word: str, value: object, pipes: Sequence[Connection] | None = None) -> None:
        for pipe in pipes if pipes is not None else [*self.relays, *self.controllers.values()]:
            try:
                pipe.send((word, value))
            except OSError:
                pass  # killed

    def asked(self, word: str, pipes: Sequence[Connection]) -> list[Any]:
        self.say(word, None, pipes)
        return [self._hear(pipe) for pipe in pipes]

    def order(self, number: int, step: dict[str, str]) -> float:
        self.tickets += 1
        at = time.monotonic()
        self.say("order", (self.tickets, step), [self.controllers[number]])
        return at

    def took(self) -> list[list[tuple[int, float]]]:
        return [took for told in self.asked("tell", self.relays) for took in told["took"]]

    def close(self) -> None:
        self.say("end", None)
        ends = time.monotonic() + 5.0
        for process in self.processes:
            process.join(max(0.0, ends - time.monotonic()))
            if process.is_alive() and process.pid:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
                process.join(5.0)
        self.folder.cleanup()


def play(
    relays: int, processes: int, seed: int, broken: list[str], changes: int = 10, faults: Sequence[str] = FAULTS
) -> dict[str, Any]:
    """Each fault in turn on one fleet; a change each half second by the controllers that live and hear a majority."""
    fleet, drawn, rows = Fleet(relays, processes), Random(f"sockets {seed}"), list[dict[str, Any]]()
    version = 0
    try:
        time.sleep(WARM_S)
        spent = fleet.asked("clear", fleet.relays)
        began = time.monotonic()
        for fault in faults:
            asked = list[float]()
            fleet.say("loss", 0.05 if fault == "loss" else 0.0)
            fleet.say("cut", fault == "cut")
            if fault in ("kill", "stop"):
                os.kill(fleet.of[0].pid or 0, signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
            able = [2, 6, 1] if fault == "cut" else [3, 4, 7, 1]
            for n in range(changes):
                asked.append(fleet.order(able[n % len(able)], {f"k{n % 5}": f'"{drawn.getrandbits(400):x}"'}))
                time.sleep(1.0 / A_SECOND)
            if fault == "kill":
                fleet._hear(fleet.control(0))
            if fault == "stop":
                os.kill(fleet.of[0].pid or 0, signal.SIGCONT)
            healed = time.monotonic()
            fleet.say("cut", False)
            time.sleep(IN_FORCE_S)
            fleet.say("loss", 0.0)
            rows.append(_row(fault, fleet.took(), version, asked, healed if fault == "cut" else 0.0, broken))
            version += changes
        over = time.monotonic() - began
        told = fleet.asked("tell", fleet.relays)
        late = [one["late"][int(0.99 * len(one["late"]))] for one in told]
        sent = [
            sum(
                count.get(key, 0) * times
                for key, times in (("sent_bytes", 1), ("came_bytes", 1), ("sent", 28), ("came", 28))
            )
            / over
            for one in told
            for count in one["counts"]
        ]
        cores = [(one["spent"] - was) / over for one, was in zip(told, spent, strict=True)]
    finally:
        fleet.close()
    found = {
        "relays": relays,
        "processes": processes + 11,
        "bytes_per_s": round(sum(sent) / len(sent)),
        "cpu_share": round(sum(cores) / relays, 6),
        "busiest_process": round(max(cores), 3),
        "rss_mb_of_a_process": round(max(one["rss_kb"] for one in told) / 1024),
        "late_ms": round(max(late), 1),
        "machine_bound": max(late) > MAX_LATE_MS or max(cores) > 0.7,
        "load": os.getloadavg()[0],
        "seed": seed,
        "rows": rows,
    }
    print("  ".join(f"{key} {value}" for key, value in found.items() if key != "rows"))
    return found


def _row(
    fault: str,
    took: Sequence[Sequence[tuple[int, float]]],
    before: int,
    asked: Sequence[float],
    healed: float,
    broken: list[str],
) -> dict[str, Any]:
    """healed: from when on the relays of the other region count; 0: at once."""
    last, times, older = before + len(asked), list[float](), 0
    for relay in took:
        versions = [version for version, _ in relay]
        older += versions != sorted(set(versions))
    for number, at in enumerate(asked):
        whole = list[float]()
        for index, relay in enumerate(took):
            has = min((when for version, when in relay if version > before + number), default=at + 99.0)
            other = healed and REGIONS[ZONES[index % len(ZONES)]] == "b"
            whole.append(has - (max(at, healed) if other else at))
        times.append(max(whole))
    behind = sum(not relay or relay[-1][0] != last for relay in took)
    row = {
        "fault": fault,
        "changes": len(asked),
        "p50_s": round(median(times), 3),
        "max_s": round(max(times), 3),
        "behind": behind,
        "older": older,
    }
    print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
    if max(times) > IN_FORCE_S or behind or older:
        broken.append(
            f"sockets, {fault}: in force after {max(times):.2f} s at {len(took)} relays, {behind} behind, "
            f"{older} took an older version"
        )
    return row
