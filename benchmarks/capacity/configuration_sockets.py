"""Configuration changes on real UDP sockets: many relays to a process, and a process for each controller.

The relays run the configuration agent only, without connections. Loss and network partitions are simulated by the
sender, which drops the datagrams. Controllers are killed and stopped by signals to their processes. Times are those of
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

FRAGMENT_INTERVAL_S, LATENESS_INTERVAL_S = 0.05, 0.02
MAX_LATENESS_MS = 50.0  # 99th percentile of the event loops; beyond it the machine is measured and not the relays
CHANGES_PER_S, WARMUP_S, MAX_IN_FORCE_S = 2.0, 3.0, 3.0
FAULTS = ("none", "loss", "kill", "stop", "cut")


def controller_addresses(port: int) -> tuple[ControllerAddress, ...]:
    """Return the controllers of the simulated fleet, with addresses on the loopback network."""
    return tuple(
        ControllerAddress(
            controller.name, (f"127.30.{n + 1}.1", port), controller.zone, controller.region, controller.voter
        )
        for n, controller in enumerate(spread_controllers(11, 5))
    )


def relay_location(number: int, port: int) -> tuple[Address, str]:
    """Return a relay's address and zone; the second byte of the address encodes the region."""
    zone = ZONES[number % len(ZONES)]
    region = 40 if REGIONS[zone] == "a" else 41
    return (f"127.{region}.{number >> 8}.{number & 255}", port), zone


class Endpoint:
    """An agent or controller with a socket of its own."""

    def __init__(self, network: Network, name: str, address: Address, region: str) -> None:
        self.network, self.name, self.address, self.region = network, name, address, region
        self.loop = asyncio.get_running_loop()
        self.link = Link(name, address, CLUSTER, int(time.time() * 1000), Random(name).getrandbits(40), self.now())
        self.listener = UdpListener(self._on_datagram)
        self.core: Agent | Controller

    async def open(self) -> None:
        await self.loop.create_datagram_endpoint(lambda: self.listener, local_addr=self.address)
        self.perform(self.core.take_effects())

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def post(self, event: Event) -> None:
        self.perform(self.core.step(self.now(), event))

    def perform(self, effects: Sequence[Any]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                if effect.to.address == self.address:
                    self.loop.call_soon(self.post, MessageReceived(Sender(self.name, self.address), effect.message))
                else:
                    for data in self.link.encode(self.now(), effect.to.address, effect.message):
                        self.send(effect.to.address, data)
            elif isinstance(effect, SetTimer):
                self.loop.call_later(effect.delay_ms / 1000.0, self.post, TimerFired())
            else:
                self.perform_effect(effect)

    def perform_effect(self, effect: Any) -> None:
        """Perform an effect that only one of the roles has."""

    def send(self, to: Address, data: bytes) -> None:
        if not self.network.drops(self.region, to):
            self.listener.send(data, to)

    def _on_datagram(self, data: bytes, source: Address) -> None:
        try:
            received = self.link.receive(self.now(), data, source)
        except DroppedDatagramError:
            return
        for datagram in received.replies:
            self.send(received.sender.address, datagram)
        if received.message is not None:
            self.post(MessageReceived(received.sender, received.message))

    def request_missing_fragments(self) -> None:
        for request in self.link.missing_fragment_requests(self.now()):
            self.send(request.to, request.data)


class RelayEndpoint(Endpoint):
    def __init__(self, network: Network, number: int, port: int, controllers: tuple[ControllerAddress, ...]) -> None:
        address, zone = relay_location(number, port)
        super().__init__(network, f"r{number:04d}", address, REGIONS[zone])
        self.applied: list[tuple[int, float]] = []
        self.core = Agent(
            controllers_by_preference(controllers, self.name, zone, self.region), check_entries, number, self.now()
        )

    def perform_effect(self, effect: Any) -> None:
        if isinstance(effect, ApplySettings):
            self.applied.append((effect.version, time.monotonic()))


class ControllerEndpoint(Endpoint):
    def __init__(
        self, network: Network, controller: ControllerAddress, controllers: tuple[ControllerAddress, ...], folder: str
    ) -> None:
        super().__init__(network, controller.name, controller.address, controller.region)
        initial_state = ControlState({member.name: "the first file" for member in controllers if member.voter})
        self.file = VoterFile(str(Path(folder) / controller.name), controller.name, CLUSTER, ACCEPTOR_FILE)
        self.acceptor: Acceptor[ControlState] | None = None
        if controller.voter:
            try:
                acceptor_state = self.file.load()
            except FileUnavailableError:
                self.file.create_initial(initial_state)
                acceptor_state = self.file.load()
            self.acceptor = Acceptor(acceptor_state, self.file.store, self.now)
        self.disk = ThreadPoolExecutor(1)
        self.answers: list[tuple[int, int, str, float]] = []
        self.core = Controller(
            controller,
            controllers,
            initial_state,
            self.acceptor.stored.identity if self.acceptor else "",
            self.acceptor.stored.state if self.acceptor else initial_state,
            self.link.incarnation,
            check_entries,
            int.from_bytes(os.urandom(4), "big"),
            self.now(),
        )

    def perform_effect(self, effect: Any) -> None:
        if isinstance(effect, AskAcceptor) and self.acceptor is not None:
            vote = self.disk.submit(self.acceptor.on_message, effect.message)
            vote.add_done_callback(
                lambda completed: self.loop.call_soon_threadsafe(self._on_vote, effect.sender, completed)
            )
        elif isinstance(effect, ChangeAnswered):
            self.answers.append((effect.ticket, effect.version, effect.reason, time.monotonic()))

    def _on_vote(self, to: Sender, vote: Any) -> None:
        if vote.exception() is None:
            self.perform([SendMessage(to, vote.result())])


class Network:
    """Decides which outgoing datagrams of this process are dropped."""

    def __init__(self, seed: int) -> None:
        self.random, self.loss_share, self.partitioned = Random(seed), 0.0, False
        self.regions: dict[str, str] = {}

    def drops(self, region: str, to: Address) -> bool:
        if self.partitioned and region != self._region(to[0]):
            return True
        return self.loss_share > 0.0 and self.random.random() < self.loss_share

    def _region(self, host: str) -> str:
        second, third = host.split(".")[1:3]
        return ("a" if second == "40" else "b") if second != "30" else REGIONS[ZONES[(int(third) - 1) % len(ZONES)]]


async def _serve(pipe: Connection, make_endpoints: Callable[[Network], list[Endpoint]], seed: int) -> None:
    """Run endpoints, carrying out the commands that the parent sends through the pipe, until the command `end`."""
    network, loop, lateness_ms = Network(seed), asyncio.get_running_loop(), list[float]()
    endpoints, commands = make_endpoints(network), asyncio.Queue[Any]()

    def on_command() -> None:
        try:
            commands.put_nowait(pipe.recv())
        except EOFError:
            loop.remove_reader(pipe.fileno())
            commands.put_nowait(("end", None))

    loop.add_reader(pipe.fileno(), on_command)
    for endpoint in endpoints:
        await endpoint.open()

    async def request_fragments() -> None:
        while True:
            started_s = loop.time()
            await asyncio.sleep(FRAGMENT_INTERVAL_S)
            lateness_ms.append(1000.0 * (loop.time() - started_s - FRAGMENT_INTERVAL_S))
            for endpoint in endpoints:
                endpoint.request_missing_fragments()

    fragment_task = loop.create_task(request_fragments())
    pipe.send("there")
    while True:
        command, value = await commands.get()
        if command == "end":
            break
        if command == "loss":
            network.loss_share = value
        elif command == "cut":
            network.partitioned = value
        elif command == "order":
            endpoints[0].post(ChangeRequested(*value))
        elif command == "clear":
            lateness_ms.clear()
            for endpoint in endpoints:
                endpoint.link.counts.clear()
            pipe.send(time.process_time())
        elif command == "tell":
            pipe.send(
                {
                    "took": [endpoint.applied for endpoint in endpoints if isinstance(endpoint, RelayEndpoint)],
                    "answers": [endpoint.answers for endpoint in endpoints if isinstance(endpoint, ControllerEndpoint)],
                    "counts": [dict(endpoint.link.counts) for endpoint in endpoints],
                    "spent": time.process_time(),
                    "late": sorted(lateness_ms),
                    "rss_kb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
                }
            )
    fragment_task.cancel()


def run_relays(pipe: Connection, first: int, count: int, port: int) -> None:
    controllers = controller_addresses(port)
    uvloop.run(
        _serve(
            pipe,
            lambda network: [RelayEndpoint(network, n, port, controllers) for n in range(first, first + count)],
            first,
        )
    )


def run_controller(pipe: Connection, number: int, port: int, folder: str) -> None:
    controllers = controller_addresses(port)
    uvloop.run(
        _serve(pipe, lambda network: [ControllerEndpoint(network, controllers[number], controllers, folder)], number)
    )


class Fleet:
    """Processes of relays and controllers. `close` ends each of them, stopped ones included."""

    def __init__(self, relays: int, processes: int) -> None:
        self.context, self.folder = get_context("spawn"), TemporaryDirectory()
        with socket.socket(type=socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]  # very likely free on the other loopback addresses too
        self.relays, self.controllers, self.tickets = list[Connection](), dict[int, Connection](), 0
        self.processes: list[SpawnProcess] = []
        self.process_by_number: dict[int, SpawnProcess] = {}
        relays_per_process = -(-relays // processes)
        for number in range(11):
            self.start_controller(number)
        self.relays = [
            self._start(run_relays, first, min(relays_per_process, relays - first), self.port)
            for first in range(0, relays, relays_per_process)
        ]
        for pipe in [*self.relays, *self.controllers.values()]:
            self._receive(pipe)

    def start_controller(self, number: int) -> Connection:
        self.controllers[number] = self._start(run_controller, number, self.port, self.folder.name)
        self.process_by_number[number] = self.processes[-1]
        return self.controllers[number]

    def _start(self, target: Callable[..., None], *arguments: Any) -> Connection:
        own_end, child_end = self.context.Pipe()
        process = self.context.Process(target=target, args=(child_end, *arguments), daemon=True)
        process.start()
        child_end.close()
        self.processes.append(process)
        return own_end

    @staticmethod
    def _receive(pipe: Connection) -> Any:
        if not pipe.poll(30.0):
            raise TimeoutError("a process of the fleet did not answer within 30 s")
        return pipe.recv()

    def send_command(self, command: str, value: object, pipes: Sequence[Connection] | None = None) -> None:
        for pipe in pipes if pipes is not None else [*self.relays, *self.controllers.values()]:
            try:
                pipe.send((command, value))
            except OSError:
                pass  # the process was killed

    def request(self, command: str, pipes: Sequence[Connection]) -> list[Any]:
        self.send_command(command, None, pipes)
        return [self._receive(pipe) for pipe in pipes]

    def request_change(self, number: int, entries: dict[str, str]) -> float:
        self.tickets += 1
        requested_s = time.monotonic()
        self.send_command("order", (self.tickets, entries), [self.controllers[number]])
        return requested_s

    def applied_versions(self) -> list[list[tuple[int, float]]]:
        return [applied for report in self.request("tell", self.relays) for applied in report["took"]]

    def close(self) -> None:
        self.send_command("end", None)
        deadline_s = time.monotonic() + 5.0
        for process in self.processes:
            process.join(max(0.0, deadline_s - time.monotonic()))
            if process.is_alive() and process.pid:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
                process.join(5.0)
        self.folder.cleanup()


def measure(
    relays: int, processes: int, seed: int, failures: list[str], changes: int = 10, faults: Sequence[str] = FAULTS
) -> dict[str, Any]:
    """Run each fault in turn on one fleet; return the figures of a relay and a row for each fault.

    A change is requested every half second, at controllers that are alive and connected to a majority.
    """
    fleet, random, rows = Fleet(relays, processes), Random(f"sockets {seed}"), list[dict[str, Any]]()
    version = 0
    try:
        time.sleep(WARMUP_S)
        initial_cpu_s = fleet.request("clear", fleet.relays)
        started_s = time.monotonic()
        for fault in faults:
            requested_s = list[float]()
            fleet.send_command("loss", 0.05 if fault == "loss" else 0.0)
            fleet.send_command("cut", fault == "cut")
            if fault in ("kill", "stop"):
                os.kill(fleet.process_by_number[0].pid or 0, signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
            accepting = [2, 6, 1] if fault == "cut" else [3, 4, 7, 1]
            for n in range(changes):
                requested_s.append(
                    fleet.request_change(accepting[n % len(accepting)], {f"k{n % 5}": f'"{random.getrandbits(400):x}"'})
                )
                time.sleep(1.0 / CHANGES_PER_S)
            if fault == "kill":
                fleet._receive(fleet.start_controller(0))
            if fault == "stop":
                os.kill(fleet.process_by_number[0].pid or 0, signal.SIGCONT)
            healed_s = time.monotonic()
            fleet.send_command("cut", False)
            time.sleep(MAX_IN_FORCE_S)
            fleet.send_command("loss", 0.0)
            rows.append(
                _fault_row(
                    fault, fleet.applied_versions(), version, requested_s, healed_s if fault == "cut" else 0.0, failures
                )
            )
            version += changes
        elapsed_s = time.monotonic() - started_s
        reports = fleet.request("tell", fleet.relays)
        lateness_ms = [report["late"][int(0.99 * len(report["late"]))] for report in reports]
        bytes_per_s = [
            sum(
                count.get(key, 0) * bytes_each
                for key, bytes_each in (("sent_bytes", 1), ("came_bytes", 1), ("sent", 28), ("came", 28))
            )
            / elapsed_s
            for report in reports
            for count in report["counts"]
        ]
        core_shares = [
            (report["spent"] - initial) / elapsed_s for report, initial in zip(reports, initial_cpu_s, strict=True)
        ]
    finally:
        fleet.close()
    result = {
        "relays": relays,
        "processes": processes + 11,
        "bytes_per_s": round(sum(bytes_per_s) / len(bytes_per_s)),
        "cpu_share": round(sum(core_shares) / relays, 6),
        "busiest_process": round(max(core_shares), 3),
        "rss_mb_of_a_process": round(max(report["rss_kb"] for report in reports) / 1024),
        "late_ms": round(max(lateness_ms), 1),
        "machine_bound": max(lateness_ms) > MAX_LATENESS_MS or max(core_shares) > 0.7,
        "load": os.getloadavg()[0],
        "seed": seed,
        "rows": rows,
    }
    print("  ".join(f"{key} {value}" for key, value in result.items() if key != "rows"))
    return result


def _fault_row(
    fault: str,
    applied: Sequence[Sequence[tuple[int, float]]],
    first_version: int,
    requested_s: Sequence[float],
    healed_s: float,
    failures: list[str],
) -> dict[str, Any]:
    """Return the row of a fault, and append a sentence to `failures` if it breaks a rule.

    `healed_s` is the time from which delays in the minority region count, 0 if they count from the request.
    """
    last_version, delays_s, older = first_version + len(requested_s), list[float](), 0
    for relay in applied:
        versions = [version for version, _ in relay]
        older += versions != sorted(set(versions))
    for number, change_s in enumerate(requested_s):
        relay_delays_s = list[float]()
        for index, relay in enumerate(applied):
            applied_s = min(
                (seen_s for version, seen_s in relay if version > first_version + number), default=change_s + 99.0
            )
            minority = healed_s and REGIONS[ZONES[index % len(ZONES)]] == "b"
            relay_delays_s.append(applied_s - (max(change_s, healed_s) if minority else change_s))
        delays_s.append(max(relay_delays_s))
    behind = sum(not relay or relay[-1][0] != last_version for relay in applied)
    row = {
        "fault": fault,
        "changes": len(requested_s),
        "p50_s": round(median(delays_s), 3),
        "max_s": round(max(delays_s), 3),
        "behind": behind,
        "older": older,
    }
    print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
    if max(delays_s) > MAX_IN_FORCE_S or behind or older:
        failures.append(
            f"sockets, {fault}: in force after {max(delays_s):.2f} s at {len(applied)} relays, {behind} behind, "
            f"{older} applied an older version after a newer one"
        )
    return row
