"""Stand-ins of the capacity benchmark, each in a process of its own: backends, clients, and a plain TCP splicer.

    python -B -m benchmarks.capacity.stand_in nodes|submitters|splicer

The first line of standard input is a JSON object with the arguments of the stand-in's constructor. Each further line is
a command: the method's name under `do`, and its arguments. Each command is answered by one JSON line on standard
output, and the end of the input ends the process. Times within lines are microseconds of the monotonic clock, which
all processes of a machine share.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from array import array
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any, cast

import uvloop

from yarrowspindle.lab.processes.stand_ins import Backend, EndpointListServer

LINE_END = b"\r\n"
GROUP_KEY = "5c0f6e1a"  # group key of the connections that receive the lines of a burst
TICK_S = 0.001
OPEN_TIMEOUT_S = 10.0
MAX_BATCH_US = 5_000  # a batch that takes longer is interrupted to read the clock again


def percentile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def now_us() -> int:
    return time.monotonic_ns() // 1000


class StandInConnection(asyncio.Protocol):
    """One end of a connection; `buffer` holds an incomplete line."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.established = False
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)


class Sender:
    """Sends lines at a fixed rate, without waiting for their arrival; each carries the time at which it was due."""

    def __init__(self, seed: int, length: int) -> None:
        self.random, self.length = Random(seed), length
        self.in_group_by_connection: dict[StandInConnection, bool] = {}  # established ones; whether in the group

    def line(self, kind: str, due_us: int) -> bytes:
        return f"{kind} {due_us:015d} ".encode().ljust(self.length - len(LINE_END), b"x") + LINE_END

    async def send(self, rate: float, seconds: float, bursts: Sequence[float] = ()) -> dict[str, Any]:
        """Send lines on the connections in turn.

        Args:
            rate: Lines per second.
            seconds: Duration.
            bursts: Seconds after the start at which each connection of the group gets one more line.
        """
        connections, group = (
            list(self.in_group_by_connection),
            [connection for connection, in_group in self.in_group_by_connection.items() if in_group],
        )
        self.random.shuffle(connections)
        start, total, sent, missed = now_us(), int(rate * seconds), 0, 0
        lags_us, burst_times, pending_bursts = array("q"), [], list(bursts)
        while sent < total or pending_bursts:
            now = now_us()
            if pending_bursts and now >= start + pending_bursts[0] * 1e6:
                pending_bursts.pop(0)
                burst_times.append(now)
                for connection in group:
                    connection.transport.write(self.line("B", now))
            due_count = min(total, int((now - start) * rate / 1e6) + 1)
            while sent < due_count:
                due_us = start + int(sent * 1e6 / rate)
                connection = connections[sent % len(connections)]
                if connection.transport.is_closing():
                    missed += 1
                else:
                    connection.transport.write(self.line("L", due_us))
                sent += 1
                if not sent % 32:
                    lags_us.append(now_us() - due_us)
                    if lags_us[-1] > MAX_BATCH_US and now_us() - now > MAX_BATCH_US:
                        break
            await asyncio.sleep(TICK_S if sent >= due_count else 0)
        return {
            "sent": sent,
            "missed": missed,
            "bursts": burst_times,
            "burst_size": len(group),
            "took_s": (now_us() - start) / 1e6,
            "lag_ms": percentile(sorted(lags_us), 0.99) / 1000.0,
        }


class BackendConnection(StandInConnection):
    """A backend's end: answers UP, then echoes each line."""

    def __init__(self, sender: Sender) -> None:
        super().__init__()
        self.sender = sender

    def data_received(self, data: bytes) -> None:
        if self.established:
            self.transport.write(data)
            return
        self.buffer += data
        if self.buffer.endswith(LINE_END):
            self.established = True
            self.sender.in_group_by_connection[self] = f"g={GROUP_KEY}".encode() in self.buffer
            self.transport.write(b"UP r1" + LINE_END)

    def connection_lost(self, exc: Exception | None) -> None:
        self.sender.in_group_by_connection.pop(self, None)


class Backends:
    def __init__(self, seed: int, length: int, backends: int) -> None:
        self.sender, self.count = Sender(seed, length), backends

    async def start(self) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        backends: dict[str, Backend] = {}
        for n in range(self.count):
            server = await loop.create_server(
                lambda: BackendConnection(self.sender), f"127.0.1.{1 + n}", 0, backlog=1024
            )
            backends[f"n{n}"] = Backend(f"n{n}", server.sockets[0].getsockname(), Random(n), 0.0)
        endpoint_list = EndpointListServer(backends, lambda relay, backend: backends[backend].address)
        await endpoint_list.open("n0", ("127.0.0.1", 0))
        return {
            "discovery": endpoint_list.servers[0].sockets[0].getsockname(),
            "list": endpoint_list.full_list("n0"),
            "addresses": [backend.address for backend in backends.values()],
        }

    async def send(self, **command: Any) -> dict[str, Any]:
        return await self.sender.send(**command)

    async def standing(self) -> dict[str, Any]:
        return {"standing": len(self.sender.in_group_by_connection)}


class ClientConnection(StandInConnection):
    def __init__(self, clients: Clients, open_line: bytes) -> None:
        super().__init__()
        self.clients, self.open_line = clients, open_line
        self.answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.write(self.open_line)

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(LINE_END)
        if lines and not self.established:
            self.established = lines.pop(0).startswith(b"UP ")
            if not self.answer.done():
                self.answer.set_result(self.established)
        if lines:
            self.clients.on_lines(lines)

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.on_connection_lost(self)
        if not self.answer.done():
            self.answer.set_result(False)


class Clients:
    def __init__(self, seed: int, length: int, group: int) -> None:
        self.sender, self.random = Sender(seed, length), Random(seed)
        self.length, self.group, self.opened = length - len(LINE_END), group, 0
        self.closing = False
        self.broken = self.bad = 0  # connections that the other side ended; lines of a wrong length
        self.lines: tuple[array[int], array[int]] = (array("q"), array("q"))  # due time of each line, and its delay
        self.bursts: dict[int, list[int]] = {}  # due time of a burst -> delays of its lines

    def on_lines(self, lines: list[bytes]) -> None:
        now = now_us()
        for line in lines:
            if len(line) != self.length:
                self.bad += 1  # includes MOVE lines
                continue
            due_us = int(line[2:17])
            if line[:1] == b"B":
                self.bursts.setdefault(due_us, []).append(now - due_us)
            else:
                self.lines[0].append(due_us)
                self.lines[1].append(now - due_us)

    def on_connection_lost(self, connection: ClientConnection) -> None:
        self.sender.in_group_by_connection.pop(connection, None)
        self.broken += not self.closing

    async def open(self, count: int, host: str, port: int, at_once: int) -> dict[str, Any]:
        """Open `count` more connections, `at_once` concurrently; each counts as set up when its UP line arrives."""
        delays_us, failed, remaining = array("q"), 0, iter(range(count))
        self.closing = False

        async def open_serially() -> None:
            nonlocal failed
            for _ in remaining:
                started_us = now_us()
                if await self._open_one(host, port):
                    delays_us.append(now_us() - started_us)
                else:
                    failed += 1

        await asyncio.gather(*(open_serially() for _ in range(at_once)))
        return await self.standing() | {"failed": failed, "p99_ms": percentile(sorted(delays_us), 0.99) / 1000.0}

    async def _open_one(self, host: str, port: int) -> bool:
        number, self.opened = self.opened, self.opened + 1
        name = GROUP_KEY if number < self.group else f"{self.random.getrandbits(60):x}"
        open_line = (
            f"OPEN {self.random.getrandbits(64):016x} {self.random.getrandbits(64):016x} c=chat,t=acme,d=8000,g={name}"
        ).encode() + LINE_END
        connection, source = ClientConnection(self, open_line), (f"127.0.0.{2 + number % 8}", 0)
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, host, port, local_addr=source)
            established = await asyncio.wait_for(connection.answer, OPEN_TIMEOUT_S)
        except (OSError, TimeoutError):
            return False
        if established:
            self.sender.in_group_by_connection[connection] = number < self.group
        return established

    async def close(self) -> dict[str, Any]:
        """Close all connections; the first ones opened afterwards form the group again."""
        self.closing, self.opened = True, 0
        for connection in list(self.sender.in_group_by_connection):
            connection.transport.close()
        return await self.standing()

    async def send(self, **command: Any) -> dict[str, Any]:
        return await self.sender.send(**command)

    async def standing(self) -> dict[str, Any]:
        return {
            "standing": len(self.sender.in_group_by_connection),
            "broken": self.broken,
            "bad": self.bad,
            "received": len(self.lines[0]) + sum(map(len, self.bursts.values())),
        }

    async def begin(self) -> dict[str, Any]:
        self.lines, self.bursts = (array("q"), array("q")), {}
        return await self.standing()

    async def delays(self) -> dict[str, Any]:
        """Return delays of lines in milliseconds.

        `tail` covers the lines of the last quarter of the time, `others_p99_ms` the lines that were due within a second
        after a burst.
        """
        due_times, delays_us = self.lines
        ordered = sorted(delays_us)
        tail_start_us = due_times[0] + 0.75 * (max(due_times) - due_times[0]) if due_times else 0.0
        tail = sorted(delay for due_us, delay in zip(due_times, delays_us, strict=True) if due_us >= tail_start_us)
        bursts = []
        for burst_us, delays in sorted(self.bursts.items()):
            others = sorted(
                delay
                for due_us, delay in zip(due_times, delays_us, strict=True)
                if burst_us <= due_us < burst_us + 1_000_000
            )
            bursts.append(
                {
                    "count": len(delays),
                    "last_ms": max(delays) / 1000.0,
                    "others_p99_ms": percentile(others, 0.99) / 1000.0,
                }
            )
        return {
            "p50_ms": percentile(ordered, 0.5) / 1000.0,
            "p99_ms": percentile(ordered, 0.99) / 1000.0,
            "tail_p50_ms": percentile(tail, 0.5) / 1000.0,
            "tail_p99_ms": percentile(tail, 0.99) / 1000.0,
            "bursts": bursts,
        }


class SplicedConnection(asyncio.Protocol):
    """One side of a spliced connection: forwards bytes to the other side, and closes it when it is closed itself."""

    def __init__(self, peer: SplicedConnection | None = None) -> None:
        self.peer, self.buffered = peer, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.peer is not None:
            self.peer.peer = self
            self.transport.write(self.peer.buffered)

    def data_received(self, data: bytes) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)
        else:
            self.buffered += data

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


class Splicer:
    def __init__(self, addresses: Sequence[tuple[str, int]]) -> None:
        self.addresses, self.count = addresses, 0
        self.tasks: set[asyncio.Task[Any]] = set()

    def accept(self) -> SplicedConnection:
        side = SplicedConnection()
        host, port = self.addresses[self.count % len(self.addresses)]
        self.count += 1
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.create_connection(lambda: SplicedConnection(side), host, port))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return side

    async def start(self) -> dict[str, Any]:
        server = await asyncio.get_running_loop().create_server(self.accept, "127.0.0.1", 0, backlog=1024)
        return {"address": server.sockets[0].getsockname()}


async def serve(role: str) -> None:
    """Run a stand-in, carrying out one command after the other until the input ends."""
    reader = asyncio.StreamReader(limit=1 << 20)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    role_class = {"nodes": Backends, "submitters": Clients, "splicer": Splicer}[role]
    stand_in: Any = role_class(**json.loads(await reader.readline()))
    while line := await reader.readline():
        arguments = json.loads(line)
        execute: Callable[..., Awaitable[dict[str, Any]]] = getattr(stand_in, arguments.pop("do"))
        print(json.dumps(await execute(**arguments)), flush=True)


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1]))
