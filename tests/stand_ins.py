"""The network round a relay, for the tests: execute nodes, the machine list, submitters, and the real program."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import resource
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.ports import free_port
from yarrowspindle.lab.processes.run import SETTINGS as LAB

ROOT = Path(__file__).resolve().parent.parent
WAIT_S = 10.0  # no test waits longer for anything; none waits for a time to pass
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  # of the machine list's answer
SETTINGS: dict[str, Any] = LAB | {
    "zone": 0,
    "balancers": 1,
    "slot_no": 0,
    "obligations": {
        "drain_grace_ms": 400.0,
        "answer_slack_ms": 8.0,
        "ask_within_ms": 200.0,
        "cold_share": 0.31,
        "cold_ms": 9000.0,
        "fall_multiple": 3.0,
        "fall_ms": 1500.0,
    },
}


class Peer:
    """One end of a connection that speaks lines."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bytes = b"") -> None:
        self.reader, self.writer, self.first = reader, writer, first  # first: a line that was read already

    def say(self, *lines: str) -> None:
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def hear(self) -> str:
        """The next line; empty where the connection has ended or broken."""
        first, self.first = self.first, b""
        if first:
            return first.decode().rstrip("\r\n")
        try:
            return (await asyncio.wait_for(self.reader.readline(), WAIT_S)).decode().rstrip("\r\n")
        except ConnectionError:
            return ""


class Server:
    """Hands each connection that comes in to whoever waits for it; probes it answers itself, with `stats`."""

    def __init__(self) -> None:
        self.came: asyncio.Queue[Peer] = asyncio.Queue()
        self.port = 0
        self.probed = self.probe_connections = 0
        self.stats: str | None = None  # None: it says nothing to a probe

    async def open(self) -> Server:
        self.port = free_port()
        self.server = await asyncio.start_server(self._take, "127.0.0.1", self.port)
        return self

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first = await reader.readline()
        except (ConnectionError, ValueError):
            first = b""
        if first != b"STATS\r\n":
            self.came.put_nowait(Peer(reader, writer, first))
            return
        self.probe_connections += 1
        while first == b"STATS\r\n":
            self.probed += 1
            if self.stats is not None:
                writer.write(f"{self.stats}\r\n".encode())
            try:
                first = await reader.readline()
            except ConnectionError:
                break
        writer.close()

    async def next(self) -> Peer:
        return await asyncio.wait_for(self.came.get(), WAIT_S)

    async def asked(self) -> tuple[Peer, str]:
        """The next connection that carries a request, and the first line of it.

        One that the relay ended without a byte was no attempt: a drain was told while it came up, for instance.
        """
        peer = await self.next()
        while not peer.first and peer.reader.at_eof():
            peer = await self.next()
        return peer, await peer.hear()


class World:
    """One relay, two execute nodes and the machine list."""

    def __init__(self) -> None:
        self.backends = {"s-1": Server(), "s-2": Server()}
        self.list = Server()
        self.port = 0
        self.process: asyncio.subprocess.Process
        self.file = Path()
        self.log: asyncio.Queue[str] = asyncio.Queue()
        self.version = 1
        self.ids = itertools.count(0x9B1F03AA5C7E2D41)  # new with each connection
        self.watch: Peer

    def member(self, name: str, phase: str = "ready") -> dict[str, Any]:
        return {
            "id": name,
            "host_port": f"127.0.0.1:{self.backends[name].port}",
            "locality": "a",
            "flavor": "m",
            "cell": 1,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def members(self, complete: bool, *members: dict[str, Any]) -> bytes:
        self.version += 1
        line = json.dumps({"revision": self.version, "complete": complete, "members": list(members)}) + "\n"
        return f"{len(line):x}\r\n{line}\r\n".encode()

    async def watched(self) -> str:
        """The relay's next watch; its request line."""
        self.watch = await self.list.next()
        request = await self.watch.hear()
        while await self.watch.hear():
            pass
        return request

    def tell(self, name: str, phase: str) -> None:
        self.watch.writer.write(self.members(False, self.member(name, phase)))

    def answer_watch(self, *members: dict[str, Any]) -> None:
        self.watch.writer.write(HEAD + self.members(True, *members))

    async def client(self, *lines: str) -> Peer:
        peer = Peer(*await asyncio.open_connection("127.0.0.1", self.port))
        peer.say(*lines)
        return peer

    async def request(self, more: str = "", wait_ms: int = 1500) -> Peer:
        name = f"{next(self.ids):016x} 7f3a9c21e0b4d655"
        return await self.client(f"OPEN {name} c=chat,t=acme,d={wait_ms},g=5c0f{more}")

    async def placed(self) -> tuple[str, Peer, str]:
        """The node that the next attempt reaches, the connection, and its first line."""
        waits = {asyncio.ensure_future(backend.asked()): name for name, backend in self.backends.items()}
        done, rest = await asyncio.wait(waits, timeout=WAIT_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in rest:
            wait.cancel()
        (first,) = done
        return waits[first], *first.result()

    async def standing(self) -> tuple[Peer, str, Peer]:
        client = await self.request()
        name, backend, _ = await self.placed()
        backend.say("UP r1")
        assert await client.hear() == "UP r1"
        return client, name, backend

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def reload(self, text: str = "", **changes: Any) -> None:
        """Replaces the configuration's file as operators do, and tells the relay."""
        new = self.file.with_suffix(".new")
        new.write_text(text or json.dumps(json.loads(self.file.read_text()) | changes))
        new.replace(self.file)
        self.process.send_signal(signal.SIGHUP)

    async def logged(self, text: str) -> str:
        while text not in (line := await asyncio.wait_for(self.log.get(), WAIT_S)):
            pass
        return line


@asynccontextmanager
async def relay(
    tmp: Path, operator: str = "", sockets: int = 0, seed: str = "8c1f30d27a5be964", **changes: Any
) -> AsyncIterator[World]:
    """The real program, serving; it is told of both nodes in its cached list."""
    world = World()
    for server in (*world.backends.values(), world.list):
        await server.open()
    world.port = free_port()
    known = {"revision": 1, "complete": True, "members": [world.member(n) for n in world.backends]}
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{world.port}",
        "discovery": f"127.0.0.1:{world.list.port}",
        "seed": seed,
        "settings": SETTINGS | changes,
        "known": known,
        "limits": {"sockets": sockets},
    }
    world.file = tmp / "config.json"
    world.file.write_text(json.dumps(config))
    (tmp / "operator.toml").write_text(operator)
    told = {"ROUTER_CONFIG": str(tmp / "config.json"), "YARROWSPINDLE_OPERATOR": str(tmp / "operator.toml")}
    env = os.environ | told

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    world.process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "yarrowspindle",
        cwd=ROOT,
        env=env,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit if sockets else None,
    )
    said: list[str] = []

    async def read() -> None:
        assert world.process.stderr is not None
        while line := (await world.process.stderr.readline()).decode():
            said.append(line)
            world.log.put_nowait(line)
        world.log.put_nowait("serves at: no, it has ended")

    reading = asyncio.ensure_future(read())
    assert "no, it has ended" not in await world.logged("serves at")
    try:
        yield world
        assert world.process.returncode in (None, 0), "the relay stays up"
    finally:
        if world.process.returncode is None:
            world.process.kill()
            await world.process.wait()
        await reading
        print("".join(said))  # pytest shows it where the test fails
        assert "Traceback" not in "".join(said), "".join(said)
        assert not [line for line in said if " invariant " in line], "".join(said)


def run(tmp: Path, body: Callable[[World], Awaitable[None]], operator: str = "", **changes: Any) -> None:
    async def inside() -> None:
        async with relay(tmp, operator, **changes) as world:
            await body(world)

    asyncio.run(inside())
