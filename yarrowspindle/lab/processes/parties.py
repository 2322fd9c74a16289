"""Execute nodes, the machine list and submitters, from the protocol's pages; they run in the lab's own process."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any

from yarrowspindle.lab.processes.checker import Checker, Client
from yarrowspindle.routing.address import Address

EMPTY_S = 2.0  # the list says something at least so often
LINE_S = 0.5  # a submitter sends a line this often


class Backend:
    """Answers each line at once; ends a connection when its time is over."""

    def __init__(self, name: str, address: Address, random: Random, lifetime_s: float) -> None:
        self.name, self.address, self.random, self.lifetime_s = name, address, random, lifetime_s
        self.started_ms = 0.0
        self.phase = "ready"
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.served = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._take, *self.address, backlog=256)

    def die(self) -> None:
        """Its process ends: what it held breaks, and nobody listens."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            line = await reader.readline()
            if not line.startswith(b"OPEN "):
                return
            self.served += 1
            writer.write(b"UP r%d\r\n" % self.served)
            ends = asyncio.get_running_loop().time() + self.random.expovariate(1.0 / self.lifetime_s)
            while True:
                left = ends - asyncio.get_running_loop().time()
                try:
                    line = await asyncio.wait_for(reader.readline(), max(left, 0.0))
                except TimeoutError:
                    writer.write(b"BYE\r\n")
                    await writer.drain()
                    return
                if not line:
                    return
                writer.write(line)
        except (ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self, address: Address) -> dict[str, Any]:
        number = int(self.name[1:])
        return {
            "id": self.name,
            "host_port": f"{address[0]}:{address[1]}",
            "locality": "ab"[number % 2],
            "flavor": "m",
            "cell": 1,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.started_ms,
        }


class MachineList:
    """One service; each relay asks at an address of its own, since nodes' addresses differ from relay to relay."""

    def __init__(self, backends: dict[str, Backend], reached: Callable[[str, str], Address]) -> None:
        self.backends, self.reached = backends, reached
        self.version = 1
        self.gone: set[str] = set()
        self.watches: set[tuple[str, asyncio.StreamWriter]] = set()
        self.servers: list[asyncio.Server] = []

    async def open(self, relay: str, address: Address) -> None:
        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._watch(relay, reader, writer)

        self.servers.append(await asyncio.start_server(take, *address))

    def whole(self, relay: str) -> dict[str, Any]:
        members = [n.entry(self.reached(relay, n.name)) for n in self.backends.values() if n.name not in self.gone]
        return {"revision": self.version, "complete": True, "members": members}

    def tell(self, backend: Backend, phase: str) -> None:
        backend.phase = phase
        self.version += 1
        (self.gone.add if phase == "gone" else self.gone.discard)(backend.name)
        for relay, writer in list(self.watches):
            told = {
                "revision": self.version,
                "complete": False,
                "members": [backend.entry(self.reached(relay, backend.name))],
            }
            writer.write(chunk(json.dumps(told)))

    async def _watch(self, relay: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        watch = (relay, writer)
        try:
            while (await reader.readline()).strip():
                pass
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(json.dumps(self.whole(relay)))
            )
            self.watches.add(watch)
            while True:
                try:
                    if not await asyncio.wait_for(reader.read(1024), EMPTY_S):
                        return
                except TimeoutError:
                    writer.write(chunk(""))
        except ConnectionError:
            pass
        finally:
            self.watches.discard(watch)
            writer.close()

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for _, writer in list(self.watches):
            writer.transport.abort()


def chunk(text: str) -> bytes:
    line = f"{text}\n".encode()
    return f"{len(line):x}\r\n".encode() + line + b"\r\n"


class Clients:
    """So many that want a connection all the time; one that is served to its end makes room for a new one."""

    def __init__(
        self,
        checker: Checker,
        front: Callable[[], tuple[str, Address] | None],
        random: Random,
        deadline_s: float,
        line_s: float = LINE_S,
    ) -> None:
        self.line_s = line_s
        self.checker, self.front, self.random, self.deadline_s = checker, front, random, deadline_s
        self.tasks: list[asyncio.Task[None]] = []
        self.ended = False
        self.number = random.getrandbits(60)
        self.wanted = self.stood = 0.0
        self.up: dict[int, str] = {}  # those that stand, and at which relay

    def start(self, count: int, over_s: float) -> None:
        for number in range(count):
            self.tasks.append(asyncio.ensure_future(self._one(number, self.random.uniform(0.0, over_s))))

    async def stop(self) -> None:
        """Nobody comes any more; who stands leaves."""
        self.ended = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _one(self, number: int, first_s: float) -> None:
        wait, again = first_s, False
        while not self.ended:
            await asyncio.sleep(wait)
            door = self.front()
            if door is None:
                wait = 0.1
                continue
            outcome, advice = await self._connection(number, *door, again)
            self.up.pop(number, None)
            again = outcome not in ("BYE", "")
            wait = advice * self.random.uniform(1.0, 1.2) if advice else self.random.uniform(0.02, 0.3)

    async def _connection(self, number: int, relay: str, address: Address, again: bool) -> tuple[str, float]:
        """How it ended, and the advice when to come again in seconds."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        except (OSError, TimeoutError):
            return "refused", 0.0
        self.number += 1
        name = f"{self.number & (1 << 64) - 1:016x} {number + 1:016x}"
        writer.write(
            f"OPEN {name} c=chat,t=acme,d={1000.0 * self.deadline_s:.0f},g={number // 4 + 1:x}"
            f"{',again=1' if again else ''}\r\n".encode()
        )
        client = self.checker.asked(relay, self.deadline_s)
        try:
            return await self._heard(number, client, reader, writer)
        except ConnectionError:
            self.checker.ended(client)
            return "broken", 0.0
        finally:
            writer.close()

    async def _heard(
        self, number: int, client: Client, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[str, float]:
        while True:
            try:
                line = (await asyncio.wait_for(reader.readline(), self.line_s)).decode("ascii", "replace").strip()
            except TimeoutError:
                if not client.answers:
                    if self.checker.overdue(client):
                        return "overdue", 0.0
                else:
                    writer.write(b"a line\r\n")
                continue
            word = line.split(" ")[0] if line else ""
            if word in ("UP", "BUSY", "ERR"):
                self.checker.answered(client, word)
                if word == "UP":
                    self.up[number] = client.relay
                    continue
                client.over = True
                advice = line.split(" ")[1:]
                return word, float(advice[0]) / 1000.0 if advice and word == "BUSY" else 0.0
            if word in ("MOVE", "BYE"):
                client.over = True
                self.checker.counts[word.lower()] += 1
                return word, 0.0
            if not line:
                self.checker.ended(client)
                self.checker.counts["broken"] += bool(client.answers)
                return "broken", 0.0
