"""The lab's side of the process that runs the backends: commands to it, and what it sees on the wires."""

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
COMMAND_TIMEOUT_S = 15.0  # for the fleet's process to start, or to carry a command out


class BackendConnection:
    """One connection from a relay to a backend on which a request came."""

    __slots__ = ("relay", "backend", "request")

    def __init__(self, relay: str, backend: str, request: str) -> None:
        self.relay, self.backend, self.request = relay, backend, request


class FleetClient:
    """The process of the backends.

    Attributes:
        sent: called with each connection on which a request has come.
        ended: called with each such connection that the relay has ended.
        connections: those that the relays have not ended.
        lateness_s: how late the process was at most.
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
        """Starts the process with these backends and wires."""
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
        """Lets a backend listen again."""
        await self._send_command(StartBackend(name))

    async def kill_backend(self, name: str) -> None:
        """Breaks what a backend holds; nobody listens there any more."""
        await self._send_command(KillBackend(name))

    async def start_fault(self, fault: Fault) -> None:
        """Puts a fault on the wires."""
        await self._send_command(StartFault(fault))

    async def end_fault(self, fault: Fault) -> None:
        """Takes a fault off the wires."""
        await self._send_command(EndFault(fault))

    def connected_relays(self, backend: str) -> list[str]:
        """Returns the relays that hold a connection at this backend, by the wires."""
        return sorted({connection.relay for connection in self.connections.values() if connection.backend == backend})

    async def close(self) -> None:
        """Ends the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._read_task is not None:
            await self._read_task

    async def _send_command(self, command: Command) -> None:
        if self._process is None or self._process.stdin is None:
            raise RuntimeError("the fleet's process was not started")
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
