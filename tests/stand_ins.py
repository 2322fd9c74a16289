"""A test environment for the relay: its real process, with stand-ins for backends, discovery and clients.

Everything runs on loopback. The stand-ins do nothing on their own but answer health checks: a test reads what the relay
sends them and writes the reply.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import resource
import signal
import sys
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.ports import free_port
from yarrowspindle.lab.processes.run import SETTINGS as LAB_SETTINGS

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 10.0  # upper limit of one wait; the helpers wait for events and return as soon as they occur
# Begins the response of discovery to a watch; each endpoint list follows as one HTTP chunk.
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
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
WRITERS: weakref.WeakKeyDictionary[asyncio.StreamWriter, asyncio.AbstractEventLoop] = weakref.WeakKeyDictionary()


def relay_command(script: str = "") -> tuple[str, ...]:
    """Return the command of a relay process, in which Python code may be run first."""
    if not script:
        return sys.executable, "-B", "-m", "yarrowspindle"
    run_relay = "import sys; from yarrowspindle.daemon.main import main; sys.exit(main())"
    return sys.executable, "-B", "-c", f"{script}\n{run_relay}"


class LinePeer:
    """The test's end of a TCP connection to the relay that carries lines of text.

    Args:
        reader: Stream of the bytes that the relay sends.
        writer: Stream to the relay.
        first: A line that was already read from `reader`; `read_line` returns it first.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bytes = b"") -> None:
        self.reader, self.writer, self.first_line = reader, writer, first
        WRITERS[writer] = asyncio.get_running_loop()

    @staticmethod
    def close_all() -> None:
        """Close the connections that a test has left open, while their event loop still runs.

        Collected later, each would fail in its destructor, at any point of the code that runs then.
        """
        for writer, loop in list(WRITERS.items()):
            if loop is asyncio.get_running_loop():
                writer.close()

    def send_lines(self, *lines: str) -> None:
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def read_line(self) -> str:
        """Return the next line without its line break, or an empty string if the connection has ended or was reset."""
        first, self.first_line = self.first_line, b""
        if first:
            return first.decode().rstrip("\r\n")
        try:
            return (await asyncio.wait_for(self.reader.readline(), TIMEOUT_S)).decode().rstrip("\r\n")
        except ConnectionError:
            return ""


class LineServer:
    """A stand-in for a backend or for discovery: queues accepted connections for the test, and answers health checks.

    A connection whose first line is `STATS` is a health check, and is not queued.
    """

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[LinePeer] = asyncio.Queue()
        self.port = 0
        self.probes_received = self.probe_connections = 0
        self.stats_reply: str | None = None  # None: health checks get no answer

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
        """Return the next connection that carries a request, and the first line on it.

        A connection that the relay closed without sending a byte carries no attempt and is skipped. The relay closes
        one in this way if, for example, the backend starts to drain while the connection is being established.
        """
        peer = await self.next_connection()
        while not peer.first_line and peer.reader.at_eof():
            peer = await self.next_connection()
        return peer, await peer.read_line()


class RelayEnvironment:
    """One relay, two backends and the discovery service that publishes their endpoint list."""

    def __init__(self) -> None:
        self.backends = {"s-1": LineServer(), "s-2": LineServer()}
        self.discovery = LineServer()
        self.port = 0
        self.process: asyncio.subprocess.Process
        self.config_file = Path()
        self.log: asyncio.Queue[str] = asyncio.Queue()
        self.revision = 1
        self.request_ids = itertools.count(0x9B1F03AA5C7E2D41)  # a new id for each request
        self.watch: LinePeer  # connection of the relay's current watch; set by `next_watch`

    def endpoint(self, name: str, phase: str = "ready") -> dict[str, Any]:
        """Return the entry of a backend in an endpoint list."""
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
        """Return an HTTP chunk with an endpoint list of the next revision, a full list or else a delta."""
        self.revision += 1
        line = json.dumps({"revision": self.revision, "complete": complete, "members": list(endpoints)}) + "\n"
        return f"{len(line):x}\r\n{line}\r\n".encode()

    async def next_watch(self) -> str:
        """Wait for the relay's next watch of the endpoint list, and return its request line."""
        self.watch = await self.discovery.next_connection()
        request = await self.watch.read_line()
        while await self.watch.read_line():
            pass
        return request

    def update_endpoint(self, name: str, phase: str) -> None:
        """Send the relay a delta list that puts one backend into a phase."""
        self.watch.writer.write(self.endpoint_list_chunk(False, self.endpoint(name, phase)))

    def answer_watch(self, *endpoints: dict[str, Any]) -> None:
        """Answer the current watch with a full list."""
        self.watch.writer.write(WATCH_RESPONSE_HEAD + self.endpoint_list_chunk(True, *endpoints))

    async def connect_client(self, *lines: str) -> LinePeer:
        """Connect to the relay as a client, and send these lines."""
        peer = LinePeer(*await asyncio.open_connection("127.0.0.1", self.port))
        peer.send_lines(*lines)
        return peer

    async def open_request(self, extra_fields: str = "", deadline_ms: int = 1500) -> LinePeer:
        ids = f"{next(self.request_ids):016x} 7f3a9c21e0b4d655"
        return await self.connect_client(f"OPEN {ids} c=chat,t=acme,d={deadline_ms},g=5c0f{extra_fields}")

    async def next_attempt(self) -> tuple[str, LinePeer, str]:
        """Return the name of the backend that the next attempt reaches, its connection, and the first line on it."""
        tasks = {asyncio.ensure_future(backend.next_request()): name for name, backend in self.backends.items()}
        done, pending = await asyncio.wait(tasks, timeout=TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        (completed,) = done
        return tasks[completed], *completed.result()

    async def established_connection(self) -> tuple[LinePeer, str, LinePeer]:
        """Send a request that a backend accepts; return the client, the name of the backend and its connection."""
        client = await self.open_request()
        name, backend, _ = await self.next_attempt()
        backend.send_lines("UP r1")
        assert await client.read_line() == "UP r1"
        return client, name, backend

    def stop(self) -> None:
        """Send the relay SIGTERM, which starts its shutdown."""
        self.process.send_signal(signal.SIGTERM)

    def reload(self, text: str = "", **changes: Any) -> None:
        """Replace the configuration file by a rename, as operators do, and send the relay SIGHUP.

        Args:
            text: The whole new content; if empty, the old content with `changes`.
            **changes: Top-level keys of the configuration file to replace.
        """
        new_file = self.config_file.with_suffix(".new")
        new_file.write_text(text or json.dumps(json.loads(self.config_file.read_text()) | changes))
        new_file.replace(self.config_file)
        self.process.send_signal(signal.SIGHUP)

    async def next_log_line(self, text: str) -> str:
        """Wait for a log line that contains the text, and discard those before it."""

        async def find() -> str:
            while text not in (line := await self.log.get()):
                pass
            return line

        return await asyncio.wait_for(find(), TIMEOUT_S)


@asynccontextmanager
async def relay(
    tmp: Path, operator: str = "", sockets: int = 0, seed: str = "8c1f30d27a5be964", script: str = "", **changes: Any
) -> AsyncIterator[RelayEnvironment]:
    """Run a relay process whose cached endpoint list holds both backends, and yield its environment once it serves.

    When the block ends, a relay that still runs is killed. The test fails if the relay had ended with an error, or if
    its log contains a traceback or a violated invariant.

    Args:
        tmp: Directory for the relay's files.
        operator: Text of the operator's file (TOML).
        sockets: Limit of file descriptors, for the process and in its configuration; 0 sets none.
        seed: Seed of the relay's random numbers.
        script: Python code that is run first in the relay's process.
        **changes: Keys of the settings to replace.
    """
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
    process_env = os.environ | variables | {"TMPDIR": str(tmp)}

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    env.process = await asyncio.create_subprocess_exec(
        *relay_command(script),
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
        # Ends the wait for the line "serves at" below, so that a relay that fails to start fails the test at once.
        env.log.put_nowait("serves at: the relay process has ended")

    log_task = asyncio.ensure_future(read_log())
    assert "the relay process has ended" not in await env.next_log_line("serves at")
    try:
        yield env
        assert env.process.returncode in (None, 0), "the relay ended with an error"
    finally:
        if env.process.returncode is None:
            env.process.kill()
            await env.process.wait()
        await log_task
        LinePeer.close_all()
        print("".join(log_lines))  # pytest shows it if the test fails
        assert "Traceback" not in "".join(log_lines), "".join(log_lines)
        assert not [line for line in log_lines if " invariant " in line], "".join(log_lines)


def run(tmp: Path, body: Callable[[RelayEnvironment], Awaitable[None]], operator: str = "", **changes: Any) -> None:
    """Run `body` with a relay in an event loop of its own; the other arguments are those of `relay`."""

    async def scenario() -> None:
        async with relay(tmp, operator, **changes) as env:
            await body(env)

    asyncio.run(scenario())
