"""The laboratory's connection to the process of the backends: sends commands and receives reports on their traffic."""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from collections.abc import Callable
from pathlib import Path

import msgspec

from yarrowspindle.lab.faults import Fault
from yarrowspindle.lab.processes.fleet_messages import (
    Command,
    CommandDone,
    ConnectionEnded,
    EndFault,
    EventLoopLag,
    KillBackend,
    OpenFleet,
    ProxyAddress,
    Report,
    RequestSent,
    StartBackend,
    StartFault,
)
from yarrowspindle.routing.address import Address

ROOT = Path(__file__).resolve().parents[3]
COMMAND_TIMEOUT_S = 15.0  # includes the start of the process


class BackendConnection:
    """A connection from a relay to a backend on which a request was sent."""

    __slots__ = ("relay", "backend", "request")

    def __init__(self, relay: str, backend: str, request: str) -> None:
        self.relay, self.backend, self.request = relay, backend, request


class FleetClient:
    """Control client of the process that runs the backends and their proxies.

    Attributes:
        on_request: called with each connection on which a relay has sent a request.
        on_end: called with each such connection that the relay has ended.
        connections: connections that the relays have not ended, by their id in the process.
        max_lag_s: maximum event-loop lag that the process has reported.
    """

    def __init__(
        self, on_request: Callable[[BackendConnection], None], on_end: Callable[[BackendConnection], None]
    ) -> None:
        self.on_request, self.on_end = on_request, on_end
        self.connections: dict[int, BackendConnection] = {}
        self.max_lag_s = 0.0
        self._encode = msgspec.json.Encoder().encode
        self._decode = msgspec.json.Decoder(Report).decode
        self._process: asyncio.subprocess.Process | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._pending: deque[asyncio.Future[None]] = deque()

    async def open(
        self, seed: int, lifetime_s: float, backends: dict[str, Address], proxies: list[ProxyAddress]
    ) -> None:
        """Start the process with these backends and proxies."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "yarrowspindle.lab.processes.fleet_process",
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._read_task = asyncio.ensure_future(self._read_reports(self._process))
        await self._send_command(OpenFleet(seed, lifetime_s, backends, proxies))

    async def start_backend(self, name: str) -> None:
        """Start a backend again after it was killed."""
        await self._send_command(StartBackend(name))

    async def kill_backend(self, name: str) -> None:
        """Reset all connections of a backend and stop its listening."""
        await self._send_command(KillBackend(name))

    async def start_fault(self, fault: Fault) -> None:
        """Activate a fault between relays and backends."""
        await self._send_command(StartFault(fault))

    async def end_fault(self, fault: Fault) -> None:
        """Deactivate a fault between relays and backends."""
        await self._send_command(EndFault(fault))

    def connected_relays(self, backend: str) -> list[str]:
        """Return the relays that have a connection with a request to this backend, sorted."""
        return sorted({connection.relay for connection in self.connections.values() if connection.backend == backend})

    async def close(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._read_task is not None:
            await self._read_task

    async def _send_command(self, command: Command) -> None:
        """Send a command and wait until it is executed."""
        if self._process is None or self._process.stdin is None:
            raise RuntimeError("cannot send a command: the process of the backends was not started")
        completion = asyncio.get_running_loop().create_future()
        self._pending.append(completion)
        self._process.stdin.write(self._encode(command) + b"\n")
        await asyncio.wait_for(completion, COMMAND_TIMEOUT_S)

    async def _read_reports(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self._on_report(self._decode(line))
        for completion in self._pending:
            completion.cancel()

    def _on_report(self, report: Report) -> None:
        if isinstance(report, RequestSent):
            connection = BackendConnection(report.relay, report.backend, report.request)
            self.connections[report.connection] = connection
            self.on_request(connection)
        elif isinstance(report, ConnectionEnded):
            self.on_end(self.connections.pop(report.connection))
        elif isinstance(report, EventLoopLag):
            self.max_lag_s = max(self.max_lag_s, report.lag_s)
        elif isinstance(report, CommandDone):
            completion = self._pending.popleft()
            if not completion.done():
                completion.set_result(None)
