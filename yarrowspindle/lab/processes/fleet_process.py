"""The process of the backends and of the wires to them, apart from the clients and the checker.

A lab that is starved of processor time would else be a slow fleet, and relays shed requests for slow backends. Run as
`python -m yarrowspindle.lab.processes.fleet_process`; commands come on standard input, reports go to standard output.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from random import Random

import msgspec

from yarrowspindle.lab.faults import FaultyNetwork
from yarrowspindle.lab.processes.fleet_messages import (
    Command,
    CommandDone,
    ConnectionEnded,
    EndFault,
    KillBackend,
    Lateness,
    OpenFleet,
    Report,
    RequestSent,
    StartBackend,
    StartFault,
)
from yarrowspindle.lab.processes.lateness import watch_lateness
from yarrowspindle.lab.processes.parties import Backend
from yarrowspindle.lab.processes.proxy import Pipe, TcpProxy

MIN_REPORTED_S = 0.01


class FleetProcess:
    """The backends, and the wires from each relay to each of them."""

    def __init__(self) -> None:
        self.encode = msgspec.json.Encoder().encode
        self.faulty_network = FaultyNetwork(0)
        self.backends: dict[str, Backend] = {}
        self.proxies: list[TcpProxy] = []
        self.numbers: dict[Pipe, int] = {}
        self.counter = itertools.count(1)

    def report(self, report: Report) -> None:
        """Writes a report; the lab reads them in the order in which things happened."""
        sys.stdout.buffer.write(self.encode(report) + b"\n")
        sys.stdout.buffer.flush()

    async def carry_out(self, command: Command) -> None:
        """Carries a command out and reports that."""
        if isinstance(command, OpenFleet):
            await self._open(command)
        elif isinstance(command, StartBackend):
            await self.backends[command.backend].open()
        elif isinstance(command, KillBackend):
            self.backends[command.backend].die()
        elif isinstance(command, StartFault):
            self.faulty_network.start(command.fault)
        elif isinstance(command, EndFault):
            self.faulty_network.end(command.fault)
        self.report(CommandDone())

    async def _open(self, command: OpenFleet) -> None:
        for name, address in command.backends.items():
            random = Random(f"node {command.seed} {name[1:]}")
            self.backends[name] = Backend(name, address, random, command.lifetime_s)
            await self.backends[name].open()
        for wire in command.wires:
            proxy = TcpProxy(wire.relay, wire.backend, command.backends[wire.backend], self.faulty_network)
            proxy.hears, proxy.ended = self._heard, self._ended
            await proxy.open(wire.address)
            self.proxies.append(proxy)

    def _heard(self, pipe: Pipe, line: bytes) -> None:
        if pipe.request or not line.startswith(b"OPEN "):
            return
        pipe.request = line.split(b" ")[1].decode("ascii", "replace")
        number = self.numbers[pipe] = next(self.counter)
        self.report(RequestSent(pipe.proxy.source, pipe.proxy.target, number, pipe.request))

    def _ended(self, pipe: Pipe) -> None:
        number = self.numbers.pop(pipe, 0)
        if number:
            self.report(ConnectionEnded(pipe.proxy.source, pipe.proxy.target, number))

    def late(self, late_s: float) -> None:
        """Reports a lateness that matters."""
        if late_s >= MIN_REPORTED_S:
            self.report(Lateness(late_s))


async def main() -> None:
    """Serves until standard input ends."""
    fleet, loop = FleetProcess(), asyncio.get_running_loop()
    decode = msgspec.json.Decoder(Command).decode
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    lateness = loop.create_task(watch_lateness(fleet.late))
    while line := await reader.readline():
        await fleet.carry_out(decode(line))
    lateness.cancel()


if __name__ == "__main__":
    asyncio.run(main())
