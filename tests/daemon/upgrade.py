"""An upgrade of a relay on real processes: a second process of the same relay starts while the first one serves.

The second process has a discovery stand-in of its own, so that a test can inform one process and not the other.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from tests.stand_ins import ROOT, TIMEOUT_S, LinePeer, LineServer, RelayEnvironment, relay_command

TIMEOUT_SLACK_S = 0.05  # the operators' tolerance on each time limit on sockets
# The processes of the relay do not find each other, as those of two users.
NO_LINK = "from yarrowspindle.transport import process_link; process_link.NAME_PREFIX = 'elsewhere/'"
NO_UNIX_SOCKETS = """
import types
from yarrowspindle.transport import process_link

def fail(family):
    raise OSError("no such sockets")

process_link.socket = types.SimpleNamespace(socket=fail, AF_UNIX=0)
"""
CROSSING_S = 0.001  # a close that arrives this soon after a line on an idle connection was under way before it
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
GRACE_S = 0.4  # `drain_grace_ms` of `stand_ins.SETTINGS`


@dataclass
class Sent:
    """The first byte of an attempt at a backend; at: time.monotonic seconds."""

    backend: str
    at: float


@dataclass
class Answer:
    """The first answer to a request; times are time.monotonic seconds. word: empty if the connection was closed."""

    word: str
    connected_at: float
    at: float


@dataclass
class Traffic:
    """What backends received and clients were answered."""

    sent: list[Sent] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)

    def sent_to(self, backend: str, after: float) -> list[float]:
        """Return how many seconds after `after` each attempt at this backend began, of those later than it."""
        return [sent.at - after for sent in self.sent if sent.backend == backend and sent.at > after]


class SecondProcess:
    """A second process of the relay, and the discovery service that only it asks."""

    def __init__(self, env: RelayEnvironment, discovery: LineServer, process: asyncio.subprocess.Process) -> None:
        self.env, self.discovery, self.process = env, discovery, process
        self.log_lines: list[str] = []

    async def read_log(self) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.log_lines.append(line)

    async def wait_for_log(self, text: str) -> None:
        """Wait until a line of the process's log contains the text."""

        async def find() -> None:
            while not any(text in line for line in self.log_lines):
                await asyncio.sleep(0.005)

        await asyncio.wait_for(find(), TIMEOUT_S)

    async def refuse_calls(self) -> None:
        """Answer each of the process's calls to discovery with an error, until cancelled."""
        while True:
            call = await self.discovery.accepted.get()
            call.writer.write(REFUSED)
            call.writer.close()

    async def answer_watch(self, **phases: str) -> LinePeer:
        """Answer the process's next call to discovery with a full list, and return the watch."""
        watch = await self.discovery.next_connection()
        while await watch.read_line():
            pass
        entries = (self.env.endpoint(name.replace("_", "-"), phase) for name, phase in phases.items())
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        watch.writer.write(head + self.env.endpoint_list_chunk(True, *entries))
        return watch


@asynccontextmanager
async def second_process(env: RelayEnvironment, script: str = "") -> AsyncIterator[SecondProcess]:
    """Start a second process of the relay with the same configuration; it is killed when the block ends.

    Args:
        env: the environment.
        script: Python code that is run first in that process.
    """
    discovery = await LineServer().open()
    variables = {"ROUTER_CONFIG": str(env.config_file), "ROUTER_DISCOVERY": f"127.0.0.1:{discovery.port}"}
    variables["YARROWSPINDLE_OPERATOR"] = str(env.config_file.with_name("operator.toml"))
    variables["TMPDIR"] = str(env.config_file.parent)  # common to all processes of a relay
    process = await asyncio.create_subprocess_exec(
        *relay_command(script), cwd=ROOT, env=os.environ | variables, stderr=asyncio.subprocess.PIPE
    )
    second = SecondProcess(env, discovery, process)
    reading = asyncio.ensure_future(second.read_log())
    try:
        yield second
        assert process.returncode in (None, -signal.SIGKILL), "the second process has ended by itself"
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await reading
        print("".join(f"second: {line}" for line in second.log_lines))
    assert "Traceback" not in "".join(second.log_lines)


async def accept_requests(env: RelayEnvironment, traffic: Traffic) -> None:
    """Accept every request at the backends and record it, until cancelled."""

    async def accept(name: str, backend: LineServer) -> None:
        while True:
            peer = await backend.accepted.get()
            if peer.first_line:
                traffic.sent.append(Sent(name, time.monotonic()))
                peer.send_lines("UP r1")

    await asyncio.gather(*(accept(name, backend) for name, backend in env.backends.items()))


async def send_requests(env: RelayEnvironment, traffic: Traffic, interval_s: float, idle_s: float = 0.0) -> None:
    """Send a request on a new connection at each interval, until cancelled.

    Args:
        env: the environment.
        traffic: receives the answers.
        interval_s: seconds between two connections.
        idle_s: how long each connection is open before its request is sent.
    """
    requests = set()
    while True:
        requests.add(asyncio.ensure_future(_send_request(env, traffic, idle_s)))
        await asyncio.sleep(interval_s)


async def _send_request(env: RelayEnvironment, traffic: Traffic, idle_s: float) -> None:
    connected_at = time.monotonic()
    try:
        client = await env.connect_client()
        await asyncio.sleep(idle_s)
        if client.reader.at_eof():  # the relay has closed the idle connection
            return
        line = f"OPEN {next(env.request_ids):016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=1500,g=5c0f"
        client.send_lines(line)
        await asyncio.sleep(CROSSING_S)
        if idle_s and client.reader.at_eof():
            return  # the line crossed the close of the idle connection
        answer = await client.read_line()
    except OSError:
        answer = ""
    traffic.answers.append(Answer(answer.partition(" ")[0], connected_at, time.monotonic()))
