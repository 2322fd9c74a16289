"""Stand-ins of the capacity benchmark, each in a process of its own: execute nodes, submitters, and a bare splicer.

    python -B -m benchmarks.capacity.stand_in nodes|submitters|splicer

Orders come as JSON lines on standard input and are answered by one JSON line each on standard output. The end of the
input ends the process. Times in lines are microseconds of the monotonic clock, which all processes of a machine share.
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

END = b"\r\n"
GROUP = "5c0f6e1a"  # of the connections that get a line in the same instant
TICK_S = 0.001
WAIT_S = 10.0
LATEST_US = 5_000  # a batch that takes longer looks at the clock again


def percentile(ordered: Sequence[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def now_us() -> int:
    return time.monotonic_ns() // 1000


class End(asyncio.Protocol):
    """One end of a connection; what comes before its first whole line is kept."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.up = False
        self.rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)


class Sender:
    """Sends lines at a stated rate, whatever becomes of them: each bears the time at which it was due."""

    def __init__(self, seed: int, length: int) -> None:
        self.random, self.length = Random(seed), length
        self.ends: dict[End, bool] = {}  # those that stand, and whether they are of the group

    def line(self, kind: str, due_us: int) -> bytes:
        return f"{kind} {due_us:015d} ".encode().ljust(self.length - len(END), b"x") + END

    async def send(self, rate: float, seconds: float, bursts: Sequence[float] = ()) -> dict[str, Any]:
        """bursts: seconds from the start at which each end of the group gets a line more."""
        order, group = list(self.ends), [end for end, one in self.ends.items() if one]
        self.random.shuffle(order)
        start, total, sent, missed = now_us(), int(rate * seconds), 0, 0
        lags, dues, left = array("q"), [], list(bursts)
        while sent < total or left:
            now = now_us()
            if left and now >= start + left[0] * 1e6:
                left.pop(0)
                dues.append(now)
                for end in group:
                    end.transport.write(self.line("B", now))
            upto = min(total, int((now - start) * rate / 1e6) + 1)
            while sent < upto:
                due = start + int(sent * 1e6 / rate)
                end = order[sent % len(order)]
                if end.transport.is_closing():
                    missed += 1
                else:
                    end.transport.write(self.line("L", due))
                sent += 1
                if not sent % 32:
                    lags.append(now_us() - due)
                    if lags[-1] > LATEST_US and now_us() - now > LATEST_US:
                        break
            await asyncio.sleep(TICK_S if sent >= upto else 0)
        return {
            "sent": sent,
            "missed": missed,
            "bursts": dues,
            "burst_size": len(group),
            "took_s": (now_us() - start) / 1e6,
            "lag_ms": percentile(sorted(lags), 0.99) / 1000.0,
        }


class BackendEnd(End):
    """An execute node's: says UP, then brings each line back."""

    def __init__(self, sender: Sender) -> None:
        super().__init__()
        self.sender = sender

    def data_received(self, data: bytes) -> None:
        if self.up:
            self.transport.write(data)
            return
        self.rest += data
        if self.rest.endswith(END):
            self.up = True
            self.sender.ends[self] = f"g={GROUP}".encode() in self.rest
            self.transport.write(b"UP r1" + END)

    def connection_lost(self, exc: Exception | None) -> None:
        self.sender.ends.pop(self, None)


class Backends:
    def __init__(self, seed: int, length: int, backends: int) -> None:
        self.sender, self.count = Sender(seed, length), backends

    async def start(self) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        known: dict[str, Backend] = {}
        for n in range(self.count):
            server = await loop.create_server(lambda: BackendEnd(self.sender), f"127.0.1.{1 + n}", 0, backlog=1024)
            known[f"n{n}"] = Backend(f"n{n}", server.sockets[0].getsockname(), Random(n), 0.0)
        machines = EndpointListServer(known, lambda relay, backend: known[backend].address)
        await machines.open("n0", ("127.0.0.1", 0))
        return {
            "discovery": machines.servers[0].sockets[0].getsockname(),
            "list": machines.full_list("n0"),
            "addresses": [backend.address for backend in known.values()],
        }

    async def send(self, **order: Any) -> dict[str, Any]:
        return await self.sender.send(**order)

    async def standing(self) -> dict[str, Any]:
        return {"standing": len(self.sender.ends)}


class ClientEnd(End):
    def __init__(self, all_of: Clients, first: bytes) -> None:
        super().__init__()
        self.all_of, self.first = all_of, first
        self.answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.write(self.first)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(END)
        if lines and not self.up:
            self.up = lines.pop(0).startswith(b"UP ")
            if not self.answer.done():
                self.answer.set_result(self.up)
        if lines:
            self.all_of.heard(lines)

    def connection_lost(self, exc: Exception | None) -> None:
        self.all_of.lost(self)
        if not self.answer.done():
            self.answer.set_result(False)


class Clients:
    def __init__(self, seed: int, length: int, group: int) -> None:
        self.sender, self.random = Sender(seed, length), Random(seed)
        self.length, self.group, self.opened = length - len(END), group, 0
        self.closing = False
        self.broken = self.bad = 0  # connections that ended by themselves; lines that are not whole
        self.lines: tuple[array[int], array[int]] = (array("q"), array("q"))  # when each was due, and its delay
        self.bursts: dict[int, list[int]] = {}  # by when they were due: the delays

    def heard(self, lines: list[bytes]) -> None:
        now = now_us()
        for line in lines:
            if len(line) != self.length:
                self.bad += 1  # MOVE among them
                continue
            due = int(line[2:17])
            if line[:1] == b"B":
                self.bursts.setdefault(due, []).append(now - due)
            else:
                self.lines[0].append(due)
                self.lines[1].append(now - due)

    def lost(self, end: ClientEnd) -> None:
        self.sender.ends.pop(end, None)
        self.broken += not self.closing

    async def open(self, count: int, host: str, port: int, at_once: int) -> dict[str, Any]:
        """So many more connections, some at once, each from its OPEN line to its UP line."""
        took, failed, left = array("q"), 0, iter(range(count))
        self.closing = False

        async def some() -> None:
            nonlocal failed
            for _ in left:
                begun = now_us()
                if await self._one(host, port):
                    took.append(now_us() - begun)
                else:
                    failed += 1

        await asyncio.gather(*(some() for _ in range(at_once)))
        return await self.standing() | {"failed": failed, "p99_ms": percentile(sorted(took), 0.99) / 1000.0}

    async def _one(self, host: str, port: int) -> bool:
        number, self.opened = self.opened, self.opened + 1
        name = GROUP if number < self.group else f"{self.random.getrandbits(60):x}"
        first = (
            f"OPEN {self.random.getrandbits(64):016x} {self.random.getrandbits(64):016x} c=chat,t=acme,d=8000,g={name}"
        ).encode() + END
        end, source = ClientEnd(self, first), (f"127.0.0.{2 + number % 8}", 0)
        try:
            await asyncio.get_running_loop().create_connection(lambda: end, host, port, local_addr=source)
            up = await asyncio.wait_for(end.answer, WAIT_S)
        except (OSError, TimeoutError):
            return False
        if up:
            self.sender.ends[end] = number < self.group
        return up

    async def close(self) -> dict[str, Any]:
        """Ends all connections; the next ones begin with the group again."""
        self.closing, self.opened = True, 0
        for end in list(self.sender.ends):
            end.transport.close()
        return await self.standing()

    async def send(self, **order: Any) -> dict[str, Any]:
        return await self.sender.send(**order)

    async def standing(self) -> dict[str, Any]:
        return {
            "standing": len(self.sender.ends),
            "broken": self.broken,
            "bad": self.bad,
            "received": len(self.lines[0]) + sum(map(len, self.bursts.values())),
        }

    async def begin(self) -> dict[str, Any]:
        self.lines, self.bursts = (array("q"), array("q")), {}
        return await self.standing()

    async def delays(self) -> dict[str, Any]:
        """Milliseconds; `tail`: of the last quarter; `others`: of lines that were due in a burst's second."""
        dues, taken = self.lines
        ordered = sorted(taken)
        last = dues[0] + 0.75 * (max(dues) - dues[0]) if dues else 0.0
        tail = sorted(delay for due, delay in zip(dues, taken, strict=True) if due >= last)
        bursts = []
        for at, delays in sorted(self.bursts.items()):
            others = sorted(delay for due, delay in zip(dues, taken, strict=True) if at <= due < at + 1_000_000)
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


class Spliced(asyncio.Protocol):
    """A bare splicer's side: bytes go on as they come, and an end ends the other side; nothing else."""

    def __init__(self, other: Spliced | None = None) -> None:
        self.other, self.early = other, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.other is not None:
            self.other.other = self
            self.transport.write(self.other.early)

    def data_received(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)
        else:
            self.early += data

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Splicer:
    def __init__(self, addresses: Sequence[tuple[str, int]]) -> None:
        self.addresses, self.count = addresses, 0
        self.tasks: set[asyncio.Task[Any]] = set()

    def taken(self) -> Spliced:
        side = Spliced()
        host, port = self.addresses[self.count % len(self.addresses)]
        self.count += 1
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.create_connection(lambda: Spliced(side), host, port))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return side

    async def start(self) -> dict[str, Any]:
        server = await asyncio.get_running_loop().create_server(self.taken, "127.0.0.1", 0, backlog=1024)
        return {"address": server.sockets[0].getsockname()}


async def serve(role: str) -> None:
    """Carries out one order after the other until the input ends."""
    reader = asyncio.StreamReader(limit=1 << 20)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    made = {"nodes": Backends, "submitters": Clients, "splicer": Splicer}[role]
    party: Any = made(**json.loads(await reader.readline()))
    while order := await reader.readline():
        told = json.loads(order)
        carry_out: Callable[..., Awaitable[dict[str, Any]]] = getattr(party, told.pop("do"))
        print(json.dumps(await carry_out(**told)), flush=True)


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1]))
