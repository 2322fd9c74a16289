"""What the cases share: discovery, clients, settings, and the start and end of processes, all on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
BACKEND = Path(__file__).with_name("backend.py")
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_S = 110.0

Address = tuple[str, int]


class CaseError(Exception):
    """The case cannot run."""


def free_port(host: str) -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of the wire page's example, with changed members."""
    values: dict[str, Any] = {
        "azs": ["lisboa-a"],
        "balancers": 1,
        "callers": {"marks_retry": False},
        "categories": [
            {
                "deadline_ms": 4800.0,
                "effect": "pure",
                "group": "all",
                "late_worth": 0.0,
                "name": "plan-status",
                "points": 1.0,
                "slo_ms": 800.0,
                "stream": True,
                "window_ms": 5000.0,
            }
        ],
        "deductions": {"cross_zone": 0.1, "late_fail": 0.039, "moves": 0.01, "probe": 0.0014, "waste": 0.3},
        "discovery": "subscribe",
        "family_info": {
            "groups": True,
            "message_aim_ms": [150.0],
            "mode": "proxy",
            "park_ms": 0.0,
            "tells_delay": True,
            "tells_load": True,
            "tenant_quota_connections": [227.0],
        },
        "limits": {
            "cancel": True,
            "conn_idle_ms": 30000.0,
            "connect_timeout_ms": 250.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 8000,
            "max_attempts": 3,
            "max_open": 1000000,
            "max_retry_after_ms": 2000.0,
            "may_tell": False,
            "probing": True,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1048576,
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
        "over_share_worth": 0.1,
        "realms": [{"name": "casa-ribeira", "quota_per_s": 15.0, "share": 1.0}],
        "service_type": "conn",
        "skus": ["nova-3"],
        "slot_no": 0,
        "stats": {"columns": [], "source": "none"},
        "step_ms": 2.0,
        "tier": 0,
        "tiers": ["estado-planos"],
        "weight_kind": "nominal",
        "worth_by": "request",
        "zone": 0,
    }
    for name, value in changes.items():
        values[name] = values[name] | value if isinstance(values.get(name), dict) else value
    return values


def feed_settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of the second deployment: pushed lists, and nodes that report their load to probes."""
    values = settings(
        azs=["abuja-maitama", "abuja-idu"],
        balancers=2,
        deductions={"cross_zone": 0.16, "moves": 0.011, "probe": 0.0023},
        discovery="automatic",
        family_info={"message_aim_ms": [60.0], "tenant_quota_connections": []},
        limits={"conn_idle_ms": 5000.0, "connect_timeout_ms": 50.0, "cpu_us_per_s": 15000},
        obligations={"drain_grace_ms": 2000.0, "fall_ms": 3000.0},
        realms=[],
        skus=["fast-2c"],
        stats={"columns": ["rif", "x0"], "source": "probe"},
        tiers=["live-feed"],
        weight_kind="live",
        **changes,
    )
    values["categories"][0] |= {"name": "map-watch", "points": 3.0}
    return values


class Discovery:
    """The service that lists the status nodes. Watches get the whole list, then an empty line every 2 s.

    Attributes:
        members: the entries of the list.
        watches: one queue of changes for each open watch.
    """

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members, self.revision = members, 41
        self.address: Address = ("127.0.0.1", 0)
        self.watches: set[asyncio.Queue[bytes]] = set()

    def list_text(self) -> bytes:
        """Return the whole list as one line."""
        return json.dumps({"revision": self.revision, "complete": True, "members": self.members}).encode() + b"\n"

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"stream=1" in head.split(b"\r\n")[0]:
                await self._watch(writer)
            else:
                body = self.list_text()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n")
        changes: asyncio.Queue[bytes] = asyncio.Queue()
        self.watches.add(changes)
        try:
            line = self.list_text()
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                try:
                    line = await asyncio.wait_for(changes.get(), 2.0)
                except TimeoutError:
                    line = b"\n"
        finally:
            self.watches.discard(changes)


class Platform:
    """The processes and files of one run of a case.

    Attributes:
        folder: a temporary folder, removed at the end.
        record: the lines of record.txt.
        trouble: whether the disruption is to happen.
    """

    def __init__(self, folder: Path) -> None:
        self.folder, self.record = folder, list[str]()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.began = time.time()
        self.node_logs: list[Path] = []

    def note(self, text: str) -> None:
        """Add a line to the record, with the seconds since the start."""
        self.record.append(f"{time.time() - self.began:8.3f} {text}")

    async def start_nodes(
        self, label: str, names: list[str], host: str, *options: str, zone: str = "lisboa-a", kind: str = "nova-3"
    ) -> list[dict[str, Any]]:
        """Start one process that serves these status nodes; return their entries of the list."""
        addresses = {name: f"{host}:{free_port(host)}" for name in names}
        log = self.folder / f"{label}.log"
        self.node_logs.append(log)
        log.touch()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            str(BACKEND),
            "--log",
            str(log),
            *options,
            *(f"{name}={address}" for name, address in addresses.items()),
            stdout=asyncio.subprocess.PIPE,
        )
        self.processes[label] = process
        assert process.stdout is not None
        if await asyncio.wait_for(process.stdout.readline(), 10.0) != b"ready\n":
            raise CaseError(f"the stand-in {label} does not start")
        return [
            {
                "id": name,
                "host_port": address,
                "locality": zone,
                "flavor": kind,
                "cell": 1,
                "phase": "ready",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for name, address in addresses.items()
        ]

    async def start_relay(self, name: str, host: str, discovery: Discovery, config: dict[str, Any]) -> Address:
        """Start a relay with the deploy file's `run`, and return its address once it answers PING with PONG."""
        address = (host, free_port(host))
        members = {
            "name": name,
            "listen": "{}:{}".format(*address),
            "discovery": "{}:{}".format(*discovery.address),
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": json.loads(discovery.list_text()),
        }
        folder = self.folder / name
        folder.mkdir()
        path = folder / "config.json"
        path.write_text(json.dumps(members | config), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        log = (folder / "relay.log").open("wb")
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "YARROW", "PYTHON"))
        }
        environment |= {"ROUTER_CONFIG": str(path), "TMPDIR": str(folder)}
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.processes[name] = process
        for _ in range(300):
            if await self._answers_ping(address):
                self.note(f"relay {name} is ready")
                return address
            if process.returncode is not None:
                raise CaseError(f"relay {name} ended with {process.returncode}: {(folder / 'relay.log').read_text()}")
            await asyncio.sleep(0.1)
        raise CaseError(f"relay {name} is not ready after 30 s")

    @staticmethod
    async def _answers_ping(address: Address) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"PING\r\n")
                return await asyncio.wait_for(reader.readline(), 1.0) == b"PONG\r\n"
            finally:
                writer.close()
        except (OSError, TimeoutError):
            return False

    def signal(self, label: str, number: signal.Signals) -> None:
        """Send a signal to a process that this run started."""
        self.note(f"{number.name} to {label}")
        self.processes[label].send_signal(number)

    def node_events(self, event: str) -> list[dict[str, Any]]:
        """Return the events of this name that the status nodes logged, in the order of time."""
        found = []
        for log in self.node_logs:
            for line in log.read_text(encoding="ascii").splitlines():
                entry = json.loads(line)
                if entry["event"] == event:
                    found.append(entry)
        return sorted(found, key=lambda entry: float(entry["t"]))

    async def end(self) -> None:
        """End all processes that this run started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()


class Client:
    """A client: sends its first line, waits for the answer, then sends a line every 2 s and reads all lines.

    Attributes:
        answer: the answer to the first line; empty until it has come, "(closed)" if the connection ended without one.
        sent_at, answered_at: Unix times.
        lines: the lines received after `UP`, without CRLF.
        rest: received bytes that no CRLF has ended.
    """

    def __init__(self, platform: Platform, relay: Address, key: str, parameters: str) -> None:
        self.platform, self.relay, self.key, self.parameters = platform, relay, key, parameters
        self.id = os.urandom(8).hex()
        self.answer, self.lines, self.rest = "", list[str](), b""
        self.sent_at = self.answered_at = 0.0
        self.ended = asyncio.Event()
        self.answered = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> Client:
        """Begin in the background."""
        self.task = asyncio.get_running_loop().create_task(self._run())
        return self

    async def _run(self) -> None:
        writer: asyncio.StreamWriter | None = None
        talking: asyncio.Task[None] | None = None
        try:
            reader, writer = await asyncio.open_connection(*self.relay)
            writer.write(f"OPEN {self.id} {self.key} {self.parameters}\r\n".encode())
            self.sent_at = time.time()
            self.platform.note(f"client {self.id} sends OPEN {self.key} {self.parameters}")
            first = await reader.readline()
            self.answer = first.decode("ascii", "replace").rstrip("\r\n") if first.endswith(b"\r\n") else "(closed)"
            self.answered_at = time.time()
            self.platform.note(f"client {self.id} is answered {self.answer!r}")
            self.answered.set()
            if self.answer.startswith("UP "):
                talking = asyncio.get_running_loop().create_task(self._talk(writer))
                while data := await reader.readline():
                    self._receive(data)
        except ConnectionError:
            self.answer = self.answer or "(closed)"
        finally:
            self.answered.set()
            self.ended.set()
            if talking is not None:
                talking.cancel()
            if writer is not None:
                writer.close()

    def _receive(self, data: bytes) -> None:
        if not data.endswith(b"\r\n"):
            self.rest = data
            return
        line = data[:-2].decode("ascii", "replace")
        self.lines.append(line)
        if line == "MOVE":
            self.platform.note(f"client {self.id} is told MOVE")

    async def _talk(self, writer: asyncio.StreamWriter) -> None:
        number = 0
        while True:
            await asyncio.sleep(2.0)
            number += 1
            writer.write(f"ASK {self.id[:6]} {number}\r\n".encode())

    async def leave(self) -> None:
        """Close the connection."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])


def run_case(case: Callable[[Platform], Awaitable[bool]], folder: Path) -> None:
    """Run a case, write record.txt beside it, and exit: 0 if the rule held, 1 if it was broken, 2 if it cannot run."""
    sys.exit(asyncio.run(_run_case(case, folder)))


async def _run_case(case: Callable[[Platform], Awaitable[bool]], folder: Path) -> int:
    with tempfile.TemporaryDirectory() as temporary:
        platform = Platform(Path(temporary))
        platform.note(f"trouble: {platform.trouble}")
        try:
            held = await asyncio.wait_for(case(platform), LIMIT_S)
            status = HELD if held else BROKEN
        except Exception as error:  # whatever it is, the case could not run
            platform.note(f"the case cannot run: {error!r}")
            status = CANNOT_RUN
        finally:
            await platform.end()
        for log in platform.node_logs:
            platform.record += ["", f"log of {log.stem}:", log.read_text(encoding="ascii").rstrip()]
        for log in sorted(Path(temporary).glob("*/relay.log")):
            platform.record += ["", f"log of relay {log.parent.name}:", log.read_text(errors="replace").rstrip()]
        verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", CANNOT_RUN: "the case could not run"}[status]
        platform.record += ["", f"result: {status}: {verdict}"]
        (folder / "record.txt").write_text("\n".join(platform.record) + "\n", encoding="utf-8")
        print(verdict)
        return status
