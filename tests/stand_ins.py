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
from yarrowspindle.lab.processes.run import SETTINGS as LAB_SETTINGS

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 10.0  # no test waits longer for anything; none waits for a time to pass
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  # of the machine list's answer
SETTINGS: dict[str, Any] = LAB_SETTINGS | {
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


class LinePeer:
    """One end of a connection that speaks lines."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bytes = b"") -> None:
        self.reader, self.writer, self.first_line = reader, writer, first  # first: a line that was read already

    def send_lines(self, *lines: str) -> None:
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def read_line(self) -> str:
        """The next line; empty where the connection has ended or broken."""
        first, self.first_line = self.first_line, b""
        if first:
            return first.decode().rstrip("\r\n")
        try:
            return (await asyncio.wait_for(self.reader.readline(), TIMEOUT_S)).decode().rstrip("\r\n")
        except ConnectionError:
            return ""


class LineServer:
    """Hands each connection that comes in to whoever waits for it; probes it answers itself, with `stats`."""

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[LinePeer] = asyncio.Queue()
        self.port = 0
        self.probes_received = self.probe_connections = 0
        self.stats_reply: str | None = None  # None: it says nothing to a probe

    async def open(self) -> LineServer:
        self.port = free_port()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        return self

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
        except (ConnectionError, ValueError):
            line = b""
        if line != b"STATS\r\n":
            self.accepted.put_nowait(LinePeer(reader, writer, line))
            return
        self.probe_connections += 1
        while line == b"STATS\r\n":
            self.probes_received += 1
            if self.stats_reply is not None:
                writer.write(f"{self.stats_reply}\r\n".encode())
            try:
                line = await reader.readline()
            except ConnectionError:
                break
        writer.close()

    async def next_connection(self) -> LinePeer:
        return await asyncio.wait_for(self.accepted.get(), TIMEOUT_S)

    async def next_request(self) -> tuple[LinePeer, str]:
        """The next connection that carries a request, and the first line of it.

        One that the relay ended without a byte was no attempt: a drain was told while it came up, for instance.
        """
        peer = await self.next_connection()
        while not peer.first_line and peer.reader.at_eof():
            peer = await self.next_connection()
        return peer, await peer.read_line()


class RelayEnvironment:
    """One relay, two execute nodes and the machine list."""

    def __init__(self) -> None:
        self.backends = {"s-1": LineServer(), "s-2": LineServer()}
        self.discovery = LineServer()
        self.port = 0
        self.process: asyncio.subprocess.Process
        self.config_file = Path()
        self.log: asyncio.Queue[str] = asyncio.Queue()
        self.revision = 1
        self.request_ids = itertools.count(0x9B1F03AA5C7E2D41)  # new with each connection
        self.watch: LinePeer

    def endpoint(self, name: str, phase: str = "ready") -> dict[str, Any]:
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

    def endpoint_list_chunk(self, complete: bool, *endpoints: dict[str, Any]) -> bytes:
        self.revision += 1
        line = json.dumps({"revision": self.revision, "complete": complete, "members": list(endpoints)}) + "\n"
        return f"{len(line):x}\r\n{line}\r\n".encode()

    async def next_watch(self) -> str:
        """The relay's next watch; its request line."""
        self.watch = await self.discovery.next_connection()
        request = await self.watch.read_line()
        while await self.watch.read_line():
            pass
        return request

    def update_endpoint(self, name: str, phase: str) -> None:
        self.watch.writer.write(self.endpoint_list_chunk(False, self.endpoint(name, phase)))

    def answer_watch(self, *endpoints: dict[str, Any]) -> None:
        self.watch.writer.write(WATCH_RESPONSE_HEAD + self.endpoint_list_chunk(True, *endpoints))

    async def connect_client(self, *lines: str) -> LinePeer:
        peer = LinePeer(*await asyncio.open_connection("127.0.0.1", self.port))
        peer.send_lines(*lines)
        return peer

    async def open_request(self, extra_fields: str = "", deadline_ms: int = 1500) -> LinePeer:
        ids = f"{next(self.request_ids):016x} 7f3a9c21e0b4d655"
        return await self.connect_client(f"OPEN {ids} c=chat,t=acme,d={deadline_ms},g=5c0f{extra_fields}")

    async def next_attempt(self) -> tuple[str, LinePeer, str]:
        """The node that the next attempt reaches, the connection, and its first line."""
        tasks = {asyncio.ensure_future(backend.next_request()): name for name, backend in self.backends.items()}
        done, pending = await asyncio.wait(tasks, timeout=TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        (completed,) = done
        return tasks[completed], *completed.result()

    async def established_connection(self) -> tuple[LinePeer, str, LinePeer]:
        client = await self.open_request()
        name, backend, _ = await self.next_attempt()
        backend.send_lines("UP r1")
        assert await client.read_line() == "UP r1"
        return client, name, backend

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def reload(self, text: str = "", **changes: Any) -> None:
        """Replaces the configuration's file as operators do, and tells the relay."""
        new_file = self.config_file.with_suffix(".new")
        new_file.write_text(text or json.dumps(json.loads(self.config_file.read_text()) | changes))
        new_file.replace(self.config_file)
        self.process.send_signal(signal.SIGHUP)

    async def next_log_line(self, text: str) -> str:
        while text not in (line := await asyncio.wait_for(self.log.get(), TIMEOUT_S)):
            pass
        return line


@asynccontextmanager
async def relay(
    tmp: Path, operator: str = "", sockets: int = 0, seed: str = "8c1f30d27a5be964", **changes: Any
) -> AsyncIterator[RelayEnvironment]:
    """The real program, serving; it is told of both nodes in its cached list."""
    env = RelayEnvironment()
    for server in (*env.backends.values(), env.discovery):
        await server.open()
    env.port = free_port()
    cached_list = {"revision": 1, "complete": True, "members": [env.endpoint(n) for n in env.backends]}
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{env.port}",
        "discovery": f"127.0.0.1:{env.discovery.port}",
        "seed": seed,
        "settings": SETTINGS | changes,
        "known": cached_list,
        "limits": {"sockets": sockets},
    }
    env.config_file = tmp / "config.json"
    env.config_file.write_text(json.dumps(config))
    (tmp / "operator.toml").write_text(operator)
    variables = {"ROUTER_CONFIG": str(tmp / "config.json"), "YARROWSPINDLE_OPERATOR": str(tmp / "operator.toml")}
    process_env = os.environ | variables

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    env.process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "yarrowspindle",
        cwd=ROOT,
        env=process_env,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors if sockets else None,
    )
    log_lines: list[str] = []

    async def read_log() -> None:
        assert env.process.stderr is not None
        while line := (await env.process.stderr.readline()).decode():
            log_lines.append(line)
            env.log.put_nowait(line)
        env.log.put_nowait("serves at: the relay process has ended")

    log_task = asyncio.ensure_future(read_log())
    assert "the relay process has ended" not in await env.next_log_line("serves at")
    try:
        yield env
        assert env.process.returncode in (None, 0), "the relay stays up"
    finally:
        if env.process.returncode is None:
            env.process.kill()
            await env.process.wait()
        await log_task
        print("".join(log_lines))  # pytest shows it where the test fails
        assert "Traceback" not in "".join(log_lines), "".join(log_lines)
        assert not [line for line in log_lines if " invariant " in line], "".join(log_lines)


def run(tmp: Path, body: Callable[[RelayEnvironment], Awaitable[None]], operator: str = "", **changes: Any) -> None:
    async def scenario() -> None:
        async with relay(tmp, operator, **changes) as env:
            await body(env)

    asyncio.run(scenario())
