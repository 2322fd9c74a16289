"""Stand-ins for backends, discovery and clients, and a starter for the relay, for the cases of the second review.

All of them use loopback addresses and the standard library only. Times are seconds of `time.monotonic`.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from functools import cache
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
FIRST_PORT, PORTS_PER_SCRIPT, PORT_BLOCKS = 6000, 60, 100  # scripts that run beside each other share no port
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
HEARTBEAT_S = 2.0  # an idle watch gets an empty line at this interval
SLACK_S = 0.05  # each time limit of the rules is longer by this on sockets
GRACE_S = 0.4  # obligations.drain_grace_ms of SETTINGS

# The settings of the deployment lisboa-novo, in the nested form of the configuration file.
SETTINGS: dict[str, Any] = {
    "azs": ["lisboa-a", "porto-b", "coimbra-c"],
    "balancers": 3,
    "slot_no": 0,
    "zone": 0,
    "skus": ["nova-3", "media-4", "velha-3"],
    "discovery": "subscribe",
    "service_type": "conn",
    "step_ms": 2.0,
    "weight_kind": "nominal",
    "worth_by": "request",
    "over_share_worth": 0.1,
    "categories": [
        {
            "name": "plan-status",
            "slo_ms": 800.0,
            "deadline_ms": 4800.0,
            "effect": "pure",
            "group": "all",
            "window_ms": 5000.0,
            "points": 1.0,
            "late_worth": 0.0,
            "stream": True,
        }
    ],
    "realms": [
        {"name": "casa-ribeira", "quota_per_s": 7.0, "share": 0.48},
        {"name": "loja-mondego", "quota_per_s": 5.0, "share": 0.32},
        {"name": "moveis-alfama", "quota_per_s": 3.0, "share": 0.2},
    ],
    "family_info": {
        "groups": True,
        "message_aim_ms": [150.0],
        "mode": "proxy",
        "tells_delay": True,
        "tells_load": True,
        "tenant_quota_connections": [227.0, 151.0, 95.0],
    },
    "limits": {
        "cancel": True,
        "conn_idle_ms": 30000.0,
        "connect_timeout_ms": 250.0,
        "max_attempts": 3,
        "max_retry_after_ms": 2000.0,
        "may_tell": False,
        "probing": True,
        "retry_after": True,
        "second_copies": False,
    },
    "obligations": {
        "answer_slack_ms": 8.0,
        "ask_within_ms": 10000.0,
        "cold_ms": 9000.0,
        "cold_share": 0.31,
        "drain_grace_ms": 400.0,
        "fall_ms": 1500.0,
        "fall_multiple": 3.0,
    },
    "deductions": {"cross_zone": 0.1, "late_fail": 0.039, "moves": 0.01, "probe": 0.0014, "waste": 0.3},
    "stats": {"columns": [], "source": "none"},
}


@cache
def ports() -> Iterator[int]:
    """Return the ports of this script: a block of its own, outside the range that the kernel deals out."""
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_SCRIPT
    return iter(range(first, first + PORTS_PER_SCRIPT))


def free_port() -> int:
    """Return a port that no process uses, and that this script has not been given before."""
    for port in ports():
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp, suppress(OSError):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            return port
    raise RuntimeError("no free port was found")


class Record:
    """The file record.txt: one line for each thing that was sent, answered, run or done, with its time."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def at(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.at():9.3f} {text}\n")
        self.file.flush()


class Backend:
    """A backend: accepts requests, echoes each line at once, and turns away new requests while it drains.

    Attributes:
        opened: time of the first byte, request id and time of the last byte of each request.
        answer: what is sent for a request; None sends nothing.
        life_s: how long a connection lasts; BYE ends it then.
    """

    def __init__(self, name: str, record: Record, zone: str = "lisboa-a") -> None:
        self.name, self.record, self.zone = name, record, zone
        self.port = free_port()
        self.phase = "ready"
        self.up_since_ms = 0.0
        self.opened: list[tuple[float, str]] = []
        self.answer: Callable[[str], Awaitable[str | None]] = self.accept
        self.life_s = 600.0
        self.receipts = itertools.count(1)
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def accept(self, line: str) -> str | None:
        """Return UP, or BUSY while the backend drains."""
        del line
        return "BUSY" if self.phase == "draining" else f"UP {self.name}-{next(self.receipts)}"

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    def crash(self) -> None:
        """Reset all connections and refuse new ones, as a dying process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first = await reader.read(1)
                if not first:
                    return
                began = time.monotonic()
                line = (first + await reader.readline()).decode().strip()
                if line in ("PING", "STATS"):
                    writer.write(b"PONG\r\n")
                    continue
                break
            request = line.split(" ")[1] if line.startswith("OPEN ") else line[:40]
            self.opened.append((began, request))
            self.record.write(f"backend {self.name} ({self.phase}) got {line[:60]}")
            answer = await self.answer(line)
            if answer is None:
                await reader.read()
                return
            writer.write(f"{answer}\r\n".encode())
            self.record.write(f"backend {self.name} answered {answer} to {request}")
            if answer.startswith("UP"):
                await self._echo(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ends_at = time.monotonic() + self.life_s
        while (left_s := ends_at - time.monotonic()) > 0.0:
            with suppress(TimeoutError):
                data = await asyncio.wait_for(reader.read(65536), left_s)
                if not data:
                    return
                writer.write(data)
        writer.write(b"BYE\r\n")

    def entry(self, phase: str = "") -> dict[str, Any]:
        """Return the entry of the list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": "nova-3",
            "cell": 1,
            "phase": phase or self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }


class Discovery:
    """Discovery: answers calls and watches of the list over HTTP.

    Attributes:
        mode: "up"; "refusing" (each call ends with 503); "silent" (calls and watches get nothing, and stay open).
        delay_s: how long each call waits for its answer.
        told: for each backend and phase, when it was first written to a relay in this process.
    """

    def __init__(self, backends: list[Backend], record: Record, name: str = "discovery") -> None:
        self.backends, self.record, self.name = backends, record, name
        self.port = free_port()
        self.mode = "up"
        self.delay_s = 0.0
        self.revision = 41
        self.changed: dict[str, int] = {}
        self.calls: list[float] = []
        self.answered: list[float] = []
        self.told: dict[tuple[str, str], float] = {}
        self.watches: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{HOST}:{self.port}"

    def listing(self, since: int = 0) -> dict[str, Any]:
        """Return the whole list, or what changed after a revision."""
        members = [b.entry() for b in self.backends if self.changed.get(b.name, 0) > since or not since]
        return {"revision": self.revision, "complete": not since, "members": members}

    def change(self, backend: Backend, phase: str) -> None:
        """Change the phase of a backend, and write it to the open watches unless discovery is silent."""
        backend.phase = phase
        self.revision += 1
        self.changed[backend.name] = self.revision
        self.record.write(f"{self.name} has {backend.name} {phase}, revision {self.revision}")
        if self.mode == "up":
            for writer in list(self.watches):
                self._send(writer, self.listing(self.revision - 1))

    def end_watches(self) -> None:
        """Reset all watches and waiting calls."""
        for writer in list(self.watches):
            writer.transport.abort()

    def _send(self, writer: asyncio.StreamWriter, listing: dict[str, Any] | None) -> None:
        line = (json.dumps(listing) if listing is not None else "").encode() + b"\n"
        writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")
        for member in listing["members"] if listing is not None else ():
            self.told.setdefault((member["id"], member["phase"]), time.monotonic())
        if listing is not None:
            phases = " ".join(f"{member['id']}={member['phase']}" for member in listing["members"])
            self.record.write(f"{self.name} wrote revision {listing['revision']}: {phases}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            if not request:
                return
            self.calls.append(time.monotonic())
            mode = self.mode
            self.record.write(f"{self.name} ({mode}) was called: {request.strip()}")
            if mode == "refusing":
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            if mode == "silent":  # this call is never answered, also not once discovery is back
                await reader.read()
                return
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            index = request.split("index=")[1].split(" ")[0].split("&")[0] if "index=" in request else "0"
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._send(writer, self.listing(int(index)))
            self.answered.append(time.monotonic())
            self.watches.add(writer)
            await self._keep(reader, writer)
        except (ConnectionError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def _keep(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send empty lines until the relay ends the watch."""
        while True:
            try:
                if not await asyncio.wait_for(reader.read(1024), HEARTBEAT_S):
                    return
            except TimeoutError:
                if self.mode == "up":
                    self._send(writer, None)


class Relay:
    """A relay's process, started with the command of the deploy file."""

    def __init__(
        self, config: dict[str, Any], folder: Path, name: str, variables: dict[str, str] | None = None
    ) -> None:
        self.config, self.folder, self.name = config, folder, name
        self.file = folder / f"{name}.json"
        self.variables = variables or {}
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"{name}.log"

    def write_config(self) -> None:
        """Write the configuration file, as a whole."""
        new = self.file.with_suffix(".new")
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.replace(self.file)

    async def start(self) -> None:
        """Start the process in a process group of its own."""
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "YARROWSPINDLE_"))}
        environ |= {"ROUTER_CONFIG": str(self.file), "TMPDIR": str(self.folder)} | self.variables
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environ, stdout=log, stderr=log, start_new_session=True
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def exit_status(self) -> int | None:
        """Return the exit status; None while the process runs."""
        return self.process.returncode if self.process is not None else None

    async def wait(self) -> None:
        """Wait for the end of the process."""
        if self.process is not None:
            await self.process.wait()

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the relay answers PING with PONG."""
        host, port = self.config["listen"].split(":")
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await ping(host, int(port)):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log.read_text(encoding='utf-8')[-2000:]}")


async def ping(host: str, port: int) -> bool:
    """Return whether PING is answered with PONG on a new connection."""
    with suppress(OSError, TimeoutError):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1.0)
        try:
            writer.write(b"PING\r\n")
            return await asyncio.wait_for(reader.readline(), 1.0) == b"PONG\r\n"
        finally:
            writer.close()
    return False


async def says_yes(address: str) -> bool:
    """Return whether the operators' address answers GET /api/ready with 2xx."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: relay\r\n\r\n")
        status = await reader.readline()
        writer.close()
    except OSError:
        return False
    return b" 200 " in status


def config_of(discovery: Discovery, known: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Return the configuration of a relay; `changes` replace its members."""
    return {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": discovery.address,
        "seed": f"{random.SystemRandom().getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 41, "complete": True, "members": known},
        "settings": json.loads(json.dumps(SETTINGS)),
    } | changes


class Answer:
    """What a client sent and got. word: first word of the answer; empty if the relay ended the connection with none."""

    def __init__(self, request: str, sent_at: float, wait_s: float) -> None:
        self.request, self.sent_at, self.wait_s = request, sent_at, wait_s
        self.word: str | None = None
        self.answered_at = 0.0


class Clients:
    """Clients that each send one request on a connection of its own."""

    def __init__(self, record: Record, address: str, hold_s: float = 0.3) -> None:
        self.record, self.address, self.hold_s = record, address, hold_s
        self.answers: list[Answer] = []
        self.numbers = itertools.count(random.SystemRandom().getrandbits(60))
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, wait_s: float, extra: str = "", cls: str = "plan-status") -> None:
        """Start one client in the background."""
        task = asyncio.ensure_future(self.request(wait_s, extra, cls))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def every(self, interval_s: float, until: float, wait_s: float, cls: str = "plan-status") -> None:
        """Start a client at each interval until this time."""
        while time.monotonic() < until:
            self.spawn(wait_s, cls=cls)
            await asyncio.sleep(interval_s)

    async def request(self, wait_s: float, extra: str = "", cls: str = "plan-status") -> None:
        """Connect, send a request, wait for its answer, hold the connection for a while and close it."""
        request = f"{next(self.numbers) & (1 << 64) - 1:016x}"
        host, port = self.address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            self.record.write(f"client {request} could not connect: {error!r}")
            return
        answer = Answer(request, time.monotonic(), wait_s)
        self.answers.append(answer)
        group = random.getrandbits(40)
        line = f"OPEN {request} {random.getrandbits(64):016x} c={cls},t=casa-ribeira,d={wait_s * 1000:.0f},g={group:x}"
        try:
            writer.write(f"{line}{extra}\r\n".encode())
            self.record.write(f"client sent {line}")
            await self._read_answer(answer, reader)
            if answer.word == "UP":
                await asyncio.sleep(self.hold_s)
        except ConnectionError:
            answer.word = answer.word or ""
        finally:
            writer.close()

    async def _read_answer(self, answer: Answer, reader: asyncio.StreamReader) -> None:
        with suppress(TimeoutError, ConnectionError):
            answer.word = ""
            line = await asyncio.wait_for(reader.readline(), answer.wait_s + 3.0)
            answer.answered_at = time.monotonic()
            answer.word = line.decode().strip().partition(" ")[0]
            self.record.write(f"client {answer.request} was answered {line.decode().strip()!r}")
            return
        answer.word = None
        self.record.write(f"client {answer.request} got no answer")


def sent_after(backend: Backend, limit: float) -> list[float]:
    """Return by how many seconds each request that the backend got after this time was later than it."""
    return [round(began - limit, 3) for began, _ in backend.opened if began > limit]


def run_case(folder: Path, body: Callable[[Record, Path, bool], Awaitable[int]]) -> None:
    """Run a case and exit with its status.

    Args:
        folder: the folder of the case, which gets record.txt.
        body: called with the record, a temporary folder and whether the disruption takes place.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    status = NOT_RUN
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the processes of the case are ended then, too
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(_limited(body(record, Path(temporary), trouble)))
        except (Exception, KeyboardInterrupt) as error:
            record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
        for log in sorted(Path(temporary).glob("*.log")):
            record.write(f"--- log {log.name}\n" + log.read_text(encoding="utf-8", errors="replace")[-6000:])
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[status]
    record.write(verdict)
    print(verdict)
    sys.exit(status)


async def _limited(body: Awaitable[int]) -> int:
    return await asyncio.wait_for(body, 112.0)
