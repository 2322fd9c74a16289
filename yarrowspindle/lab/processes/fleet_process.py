"""The process that runs the backends and the proxies to them, separate from the clients and the checker.

In one process with them, backends would respond slowly whenever that process lacks processor time, and relays shed
requests for slow backends. Started as `python -m yarrowspindle.lab.processes.fleet_process`; it reads commands from
standard input and writes reports to standard output.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from random import Random

import msgspec

from yarrowspindle.lab.faults import FaultyNetwork
from yarrowspindle.lab.processes.event_loop_lag import measure_lag
from yarrowspindle.lab.processes.fleet_messages import (
    Command,
    CommandDone,
    ConnectionEnded,
    EndFault,
    EventLoopLag,
    KillBackend,
    OpenFleet,
    Report,
    RequestSent,
    StartBackend,
    StartFault,
)
from yarrowspindle.lab.processes.proxy import ProxiedConnection, TcpProxy
from yarrowspindle.lab.processes.stand_ins import Backend

MIN_REPORTED_LAG_S = 0.01


class FleetProcess:
    """The backends, and a proxy from each relay to each of them."""

    def __init__(self) -> None:
        self.encode = msgspec.json.Encoder().encode
        self.faulty_network = FaultyNetwork(0)
        self.backends: dict[str, Backend] = {}
        self.proxies: list[TcpProxy] = []
        self.connection_ids: dict[ProxiedConnection, int] = {}
        self.next_connection_id = itertools.count(1)

    def report(self, report: Report) -> None:
        """Write a report at once, so that reports arrive in the order of the events."""
        sys.stdout.buffer.write(self.encode(report) + b"\n")
        sys.stdout.buffer.flush()

    async def execute(self, command: Command) -> None:
        """Execute a command and confirm it."""
        if isinstance(command, OpenFleet):
            await self._start_backends(command)
        elif isinstance(command, StartBackend):
            await self.backends[command.backend].open()
        elif isinstance(command, KillBackend):
            self.backends[command.backend].stop()
        elif isinstance(command, StartFault):
            self.faulty_network.start(command.fault)
        elif isinstance(command, EndFault):
            self.faulty_network.end(command.fault)
        self.report(CommandDone())

    async def _start_backends(self, command: OpenFleet) -> None:
        for name, address in command.backends.items():
            random = Random(f"node {command.seed} {name[1:]}")
            self.backends[name] = Backend(name, address, random, command.lifetime_s)
            await self.backends[name].open()
        for proxy_address in command.proxies:
            proxy = TcpProxy(
                proxy_address.relay, proxy_address.backend, command.backends[proxy_address.backend], self.faulty_network
            )
            proxy.on_line, proxy.on_end = self._on_line, self._on_end
            await proxy.open(proxy_address.address)
            self.proxies.append(proxy)

    def _on_line(self, connection: ProxiedConnection, line: bytes) -> None:
        """Report the first request line of a connection."""
        if connection.request or not line.startswith(b"OPEN "):
            return
        connection.request = line.split(b" ")[1].decode("ascii", "replace")
        connection_id = self.connection_ids[connection] = next(self.next_connection_id)
        self.report(RequestSent(connection.proxy.source, connection.proxy.target, connection_id, connection.request))

    def _on_end(self, connection: ProxiedConnection) -> None:
        """Report the end of a connection on which a request was sent."""
        connection_id = self.connection_ids.pop(connection, 0)
        if connection_id:
            self.report(ConnectionEnded(connection.proxy.source, connection.proxy.target, connection_id))

    def report_lag(self, lag_s: float) -> None:
        """Report an event-loop lag of at least MIN_REPORTED_LAG_S."""
        if lag_s >= MIN_REPORTED_LAG_S:
            self.report(EventLoopLag(lag_s))


async def main() -> None:
    """Execute commands until standard input ends."""
    fleet, loop = FleetProcess(), asyncio.get_running_loop()
    decode = msgspec.json.Decoder(Command).decode
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    lag_task = loop.create_task(measure_lag(fleet.report_lag))
    while line := await reader.readline():
        await fleet.execute(decode(line))
    lag_task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
