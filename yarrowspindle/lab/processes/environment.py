"""The test environment of one run: relay processes, stand-ins for clients, backends and discovery, and proxies.

All traffic between relays, backends and the endpoint list passes through proxies, which inject the scheduled faults.
"""

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
from yarrowspindle.lab.processes.event_loop_lag import measure_lag
from yarrowspindle.lab.processes.fleet import BackendConnection, FleetClient
from yarrowspindle.lab.processes.fleet_messages import ProxyAddress
from yarrowspindle.lab.processes.proxy import DatagramProxy, DigestReader, ProxiedConnection, TcpProxy
from yarrowspindle.lab.processes.relay_process import RelayProcess
from yarrowspindle.lab.processes.run import Report, Run
from yarrowspindle.lab.processes.stand_ins import Backend, ClientPool, EndpointListServer
from yarrowspindle.routing.address import Address


class Environment:
    """All parts of one run.

    Args:
        run: parameters of the run.
        directory: directory of the relays' files.
    """

    def __init__(self, run: Run, directory: Path) -> None:
        self.run, self.directory = run, directory
        self.started_s = time.monotonic()
        self.random = Random(f"world {run.seed}")
        self.checker = Checker(self.now, run.obligations)
        self.faulty_network = FaultyNetwork(run.seed)
        # Each run has its own loopback network, so that runs at the same time do not collide.
        self.network = f"127.{64 + os.getpid() % 128}.{1 + run.seed % 250}"
        self.reserved_addresses: set[Address] = set()
        self.backends = {
            f"n{index}": Backend(
                f"n{index}", self.reserve_address(100 + index), Random(f"node {run.seed} {index}"), run.lifetime_s
            )
            for index in range(run.backends)
        }
        self.proxy_addresses: dict[tuple[str, str], Address] = {}
        self.endpoint_list = EndpointListServer(
            self.backends, lambda relay, backend: self.proxy_addresses[relay, backend]
        )
        self.relays = [RelayProcess(name, index, self) for index, name in enumerate(relay_names(run.relays))]
        self.voters = tuple(relay.name for relay in self.relays[: run.voters])
        self.lost_voter = ""  # the voter that has lost its file
        # Called with the name of a relay and its log line on a maintenance turn.
        self.on_turn_log: Callable[[str, str], None] = lambda relay, text: None
        self.fleet = FleetClient(self._record_attempt, self._record_attempt_end)
        self.max_lag_s = 0.0  # maximum event-loop lag of this process
        self.list_proxies: list[TcpProxy] = []
        self.datagram_proxies: list[DatagramProxy] = []
        self.datagram_counts: Counter[str] = Counter()
        self.digest_reader = DigestReader()
        self.clients = ClientPool(
            self.checker, self.choose_relay, Random(f"submitters {run.seed}"), run.deadline_s, run.line_interval_s
        )
        self.tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_s

    def reserve_address(self, host_index: int) -> Address:
        """Reserve an address of this run's network whose port is free for both TCP and UDP."""
        while True:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((f"{self.network}.{1 + host_index}", 0))
                address: Address = tcp.getsockname()
                try:
                    udp.bind(address)
                except OSError:
                    continue
            if address not in self.reserved_addresses:
                self.reserved_addresses.add(address)
                return address

    def choose_relay(self) -> tuple[str, Address] | None:
        """Choose a serving relay for a new connection, as a load balancer in front of the relays does.

        A suspended relay is still chosen, and a relay that fails by itself until the end of its process is noticed.
        """
        serving = [relay for relay in self.relays if relay.is_serving]
        if not serving:
            return None
        relay = serving[int(self.random.random() * len(serving))]
        return relay.name, relay.client_address

    # --- proxies --------------------------------------------------------------------------------

    async def open(self) -> None:
        """Start the backends, the endpoint list and all proxies."""
        relay_names_by_address = {relay.peer_address: relay.name for relay in self.relays}
        proxies: list[ProxyAddress] = []
        for relay in self.relays:
            proxy = DatagramProxy(
                relay.name, relay.peer_address, relay_names_by_address, self.faulty_network, self._record_datagram
            )
            await proxy.open(relay.advertised_address)
            self.datagram_proxies.append(proxy)
            for backend in self.backends.values():
                proxy_address = self.proxy_addresses[relay.name, backend.name] = self.reserve_address(relay.index)
                proxies.append(ProxyAddress(relay.name, backend.name, proxy_address))
            list_address = self.reserve_address(90)
            await self.endpoint_list.open(relay.name, list_address)
            list_proxy = TcpProxy(relay.name, "list", list_address, self.faulty_network)
            list_proxy.on_response = self._record_list_response
            await list_proxy.open(relay.discovery_address)
            self.list_proxies.append(list_proxy)
        addresses = {backend.name: backend.address for backend in self.backends.values()}
        await self.fleet.open(self.run.seed, self.run.lifetime_s, addresses, proxies)
        self.tasks.append(asyncio.ensure_future(measure_lag(self._record_lag)))

    def _record_lag(self, lag_s: float) -> None:
        self.max_lag_s = max(self.max_lag_s, lag_s)

    def _record_datagram(self, source: str, target: str, data: bytes, copies: int) -> None:
        self.datagram_counts["sent"] += 1
        self.datagram_counts["bytes"] += len(data)
        self.datagram_counts["lost" if copies == 0 else "doubled" if copies > 1 else "passed"] += 1
        digest = self.digest_reader.read(data)
        if digest is not None and source != "stranger":
            self.checker.record_digest(source, digest)

    def _record_attempt(self, connection: BackendConnection) -> None:
        self.checker.record_attempt(connection.relay, connection.backend, connection.request, connection)

    def _record_attempt_end(self, connection: BackendConnection) -> None:
        self.checker.record_attempt_end(connection.request, connection)

    def _record_list_response(self, connection: ProxiedConnection, data: bytes) -> None:
        """Record the backend states that a relay was sent; they apply from the time at which they were written."""
        for line in data.split(b"\n"):
            if line.startswith(b"{"):
                try:
                    response = json.loads(line)
                except ValueError:
                    continue
                listed = set()
                for entry in response["members"]:
                    listed.add(entry["id"])
                    self.checker.record_backend_state(connection.proxy.source, entry["id"], entry["phase"] == "ready")
                if response["complete"]:
                    for name in self.backends.keys() - listed:
                        self.checker.record_backend_state(connection.proxy.source, name, False)

    # --- stages of a run ------------------------------------------------------------------------

    async def apply_fault(self, fault: Fault) -> None:
        """Wait for the start of the fault, inject it and end it."""
        await asyncio.sleep(fault.start_s)
        relay = next((relay for relay in self.relays if fault.participants == (relay.name,)), self.relays[0])
        if fault.kind == "kill":
            await relay.kill()
            if self.run.lose_voter_file and not self.lost_voter and relay.name in self.voters:
                self.lost_voter = relay.name
                relay.voter_file.path.unlink()
            await asyncio.sleep(fault.duration_s)
            await relay.start()
        elif fault.kind == "stall":
            relay.suspend()
            try:
                await asyncio.sleep(fault.duration_s)
            finally:
                relay.resume()
        elif fault.kind == "restart":
            for relay_to_restart in self.relays:
                await relay_to_restart.restart(0.1)
        else:
            self.faulty_network.start(fault)
            await self.fleet.start_fault(fault)
            try:
                await asyncio.sleep(fault.duration_s)
            finally:
                self.faulty_network.end(fault)
                await self.fleet.end_fault(fault)

    async def restart_backend(self) -> None:
        """Drain one backend, end its process and start it again during the faults."""
        backend = self.backends[f"n{self.run.seed % self.run.backends}"]
        await asyncio.sleep(0.1 * self.run.faults_s)
        self.endpoint_list.publish(backend, "draining")
        await asyncio.sleep(max(0.25 * self.run.faults_s, 1.0))
        self.endpoint_list.publish(backend, "gone")
        await self.fleet.kill_backend(backend.name)
        await asyncio.sleep(0.1 * self.run.faults_s)
        await self.fleet.start_backend(backend.name)
        backend.started_ms = time.time() * 1000.0
        self.checker.backend_started(backend.name)
        self.endpoint_list.publish(backend, "ready")

    async def sample_clients(self) -> None:
        """Count every 0.1 s how many of the clients have a connection."""
        while True:
            await asyncio.sleep(0.1)
            self.clients.wanted_samples += self.run.clients
            self.clients.connected_samples += len(self.clients.connected)

    async def wait_for_agreement(self) -> float:
        """Wait until all relays have the same digest of members for a second.

        Returns:
            Seconds from the call until the digests became equal, -1.0 if they did not.
        """
        started_s = agreed_since_s = self.now()
        names = [relay.name for relay in self.relays]
        while self.now() < started_s + self.run.agreement_limit_s:
            await asyncio.sleep(0.1)
            if not self.checker.members_agree(names, max(started_s, self.now() - 3.0)):
                agreed_since_s = self.now()
            elif self.now() >= agreed_since_s + 1.0:
                return max(0.0, agreed_since_s - started_s)
        return -1.0

    async def close(self) -> None:
        """Stop the clients, kill the relays and close all proxies."""
        await self.clients.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for relay in self.relays:
            if relay.suspended:
                relay.resume()
            relay.send_signal(signal.SIGKILL)
        await asyncio.gather(*(relay.wait_ended() for relay in self.relays))
        for proxy in self.list_proxies:
            proxy.close()
        for datagram_proxy in self.datagram_proxies:
            datagram_proxy.close()
        self.endpoint_list.close()
        await self.fleet.close()
        await asyncio.sleep(0.15)  # lets open connections end


@asynccontextmanager
async def running_environment(run: Run, directory: Path | None = None) -> AsyncIterator[Environment]:
    """Provide an environment in which all relays serve."""
    with tempfile.TemporaryDirectory(prefix="yarrowspindle-lab-") as temporary:
        environment = Environment(run, directory or Path(temporary))
        try:
            await environment.open()
            await asyncio.gather(*(relay.start() for relay in environment.relays))
            yield environment
        finally:
            await environment.close()


async def run_scenario(run: Run, faults: list[Fault] | None = None, directory: Path | None = None) -> Report:
    """Execute one run.

    Args:
        run: parameters of the run.
        faults: faults to inject; drawn from the seed if None.
        directory: directory of the relays' files; a temporary one if None.
    """
    if faults is None:
        faults = schedule(
            run.fault_kinds,
            relay_names(run.relays),
            [f"n{index}" for index in range(run.backends)],
            run.seed,
            0.0,
            run.faults_s,
            run.stall_s,
        )
    report = Report(run, faults)
    async with running_environment(run, directory) as environment:
        environment.clients.start(run.clients, run.settle_s / 2.0)
        await asyncio.sleep(run.settle_s)
        environment.tasks.append(asyncio.ensure_future(environment.sample_clients()))
        fault_tasks = [asyncio.ensure_future(environment.apply_fault(fault)) for fault in faults]
        environment.tasks += fault_tasks
        if run.restart_backend:
            fault_tasks.append(asyncio.ensure_future(environment.restart_backend()))
            environment.tasks.append(fault_tasks[-1])
        if fault_tasks:
            await asyncio.gather(*fault_tasks)
        faults_ended_s = environment.now()
        if run.peers:
            report.agreed_s = await environment.wait_for_agreement()
            if report.agreed_s < 0.0:
                environment.checker.report_violation(
                    "members agree", f"the relays did not agree within {run.agreement_limit_s:g} s after the faults"
                )
        await asyncio.sleep(max(0.0, run.recovery_s - (environment.now() - faults_ended_s)))
        fill_report(environment, report)
    return report


def fill_report(environment: Environment, report: Report) -> None:
    """Copy the results of the run into the report."""
    checker = environment.checker
    report.violations, report.counts, report.datagrams = checker.violations, checker.counts, environment.datagram_counts
    report.worst_slow_start_ratio = max(
        (starting_backend.worst_ratio for starting_backend in checker.starting.values()), default=0.0
    )
    report.served_fraction = environment.clients.connected_samples / max(environment.clients.wanted_samples, 1.0)
    answer_times_s = sorted(checker.answer_times_s)
    report.answer_p99_ms = 1000.0 * answer_times_s[int(0.99 * (len(answer_times_s) - 1))] if answer_times_s else 0.0
    report.max_client_lag_ms = 1000.0 * environment.max_lag_s
    report.max_backend_lag_ms = 1000.0 * environment.fleet.max_lag_s
    report.logs = {relay.name: relay.log_lines for relay in environment.relays}
