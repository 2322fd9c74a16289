"""Stand-ins for backends, the endpoint list and clients, written from the protocol's documentation.

Clients and the endpoint list run in the laboratory's own process, backends in a process of their own.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any

from yarrowspindle.lab.processes.checker import Checker, ClientRequest
from yarrowspindle.routing.address import Address

KEEPALIVE_INTERVAL_S = 2.0  # an idle subscription gets an empty line at this interval
CLIENT_LINE_INTERVAL_S = 0.5  # between two lines of a connected client


class Backend:
    """A backend that accepts each request, echoes each line and ends a connection after a random lifetime.

    Args:
        name: name in the endpoint list: "n" and a number.
        address: address at which it listens.
        random: draws the lifetimes of connections.
        lifetime_s: mean lifetime of a connection.
    """

    def __init__(self, name: str, address: Address, random: Random, lifetime_s: float) -> None:
        self.name, self.address, self.random, self.lifetime_s = name, address, random, lifetime_s
        self.started_ms = 0.0
        self.phase = "ready"
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.request_count = 0

    async def open(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._handle_connection, *self.address, backlog=256)

    def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a backend's process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            line = await reader.readline()
            if not line.startswith(b"OPEN "):
                return
            self.request_count += 1
            writer.write(b"UP r%d\r\n" % self.request_count)
            deadline = asyncio.get_running_loop().time() + self.random.expovariate(1.0 / self.lifetime_s)
            while True:
                remaining_s = deadline - asyncio.get_running_loop().time()
                try:
                    line = await asyncio.wait_for(reader.readline(), max(remaining_s, 0.0))
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

    def list_entry(self, address: Address) -> dict[str, Any]:
        """Return this backend's entry in the endpoint list, with the address at which a relay reaches it."""
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


class EndpointListServer:
    """Server of the endpoint list.

    Each relay has its own listening address, as it reaches the backends at its own proxies' addresses.

    Args:
        backends: the backends by name.
        address_for: returns the address at which a relay reaches a backend, both given by name.
    """

    def __init__(self, backends: dict[str, Backend], address_for: Callable[[str, str], Address]) -> None:
        self.backends, self.address_for = backends, address_for
        self.version = 1
        self.removed: set[str] = set()
        self.subscriptions: set[tuple[str, asyncio.StreamWriter]] = set()
        self.servers: list[asyncio.Server] = []

    async def open(self, relay: str, address: Address) -> None:
        """Listen for this relay's subscriptions."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve_subscription(relay, reader, writer)

        self.servers.append(await asyncio.start_server(handle, *address))

    def full_list(self, relay: str) -> dict[str, Any]:
        """Return the complete list for this relay."""
        members = [
            backend.list_entry(self.address_for(relay, backend.name))
            for backend in self.backends.values()
            if backend.name not in self.removed
        ]
        return {"revision": self.version, "complete": True, "members": members}

    def publish(self, backend: Backend, phase: str) -> None:
        """Set the backend's phase and send the change to all subscribers; "gone" removes it from the complete list."""
        backend.phase = phase
        self.version += 1
        (self.removed.add if phase == "gone" else self.removed.discard)(backend.name)
        for relay, writer in list(self.subscriptions):
            update = {
                "revision": self.version,
                "complete": False,
                "members": [backend.list_entry(self.address_for(relay, backend.name))],
            }
            writer.write(http_chunk(json.dumps(update)))

    async def _serve_subscription(self, relay: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        subscription = (relay, writer)
        try:
            while (await reader.readline()).strip():
                pass
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http_chunk(json.dumps(self.full_list(relay)))
            )
            self.subscriptions.add(subscription)
            while True:
                try:
                    if not await asyncio.wait_for(reader.read(1024), KEEPALIVE_INTERVAL_S):
                        return
                except TimeoutError:
                    writer.write(http_chunk(""))
        except ConnectionError:
            pass
        finally:
            self.subscriptions.discard(subscription)
            writer.close()

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for _, writer in list(self.subscriptions):
            writer.transport.abort()


def http_chunk(text: str) -> bytes:
    """Encode one line as a chunk of an HTTP response with chunked transfer encoding."""
    line = f"{text}\n".encode()
    return f"{len(line):x}\r\n".encode() + line + b"\r\n"


class ClientPool:
    """Clients that each keep one connection open, and request a new one when it ends.

    Args:
        checker: checks the answers.
        choose_relay: returns name and address of the relay for a new connection, None if no relay serves.
        random: draws delays and the first request id.
        deadline_s: deadline of each request.
        line_interval_s: interval between two lines of a connected client.
    """

    def __init__(
        self,
        checker: Checker,
        choose_relay: Callable[[], tuple[str, Address] | None],
        random: Random,
        deadline_s: float,
        line_interval_s: float = CLIENT_LINE_INTERVAL_S,
    ) -> None:
        self.line_interval_s = line_interval_s
        self.checker, self.choose_relay, self.random, self.deadline_s = checker, choose_relay, random, deadline_s
        self.tasks: list[asyncio.Task[None]] = []
        self.stopped = False
        self.last_request_id = random.getrandbits(60)
        self.wanted_samples = self.connected_samples = 0.0
        self.connected: dict[int, str] = {}  # client number -> relay of its connection

    def start(self, count: int, spread_s: float) -> None:
        """Start this number of clients, each at a random time within `spread_s`."""
        for number in range(count):
            self.tasks.append(asyncio.ensure_future(self._run_client(number, self.random.uniform(0.0, spread_s))))

    async def stop(self) -> None:
        """Stop all clients and close their connections."""
        self.stopped = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run_client(self, number: int, initial_delay_s: float) -> None:
        delay_s, is_retry = initial_delay_s, False
        while not self.stopped:
            await asyncio.sleep(delay_s)
            relay_and_address = self.choose_relay()
            if relay_and_address is None:
                delay_s = 0.1
                continue
            outcome, retry_after = await self._make_request(number, *relay_and_address, is_retry)
            self.connected.pop(number, None)
            is_retry = outcome not in ("BYE", "")
            delay_s = retry_after * self.random.uniform(1.0, 1.2) if retry_after else self.random.uniform(0.02, 0.3)

    async def _make_request(self, number: int, relay: str, address: Address, is_retry: bool) -> tuple[str, float]:
        """Send one request and return its outcome and the delay in seconds before the retry, 0.0 if none was given."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        except (OSError, TimeoutError):
            return "refused", 0.0
        self.last_request_id += 1
        request_id = f"{self.last_request_id & (1 << 64) - 1:016x} {number + 1:016x}"
        writer.write(
            f"OPEN {request_id} c=chat,t=acme,d={1000.0 * self.deadline_s:.0f},g={number // 4 + 1:x}"
            f"{',again=1' if is_retry else ''}\r\n".encode()
        )
        request = self.checker.record_request(relay, self.deadline_s)
        try:
            return await self._read_answers(number, request, reader, writer)
        except ConnectionError:
            self.checker.record_end(request)
            return "broken", 0.0
        finally:
            writer.close()

    async def _read_answers(
        self, number: int, request: ClientRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[str, float]:
        while True:
            try:
                line = (
                    (await asyncio.wait_for(reader.readline(), self.line_interval_s)).decode("ascii", "replace").strip()
                )
            except TimeoutError:
                if not request.answers:
                    if self.checker.check_overdue(request):
                        return "overdue", 0.0
                else:
                    writer.write(b"a line\r\n")
                continue
            word = line.split(" ")[0] if line else ""
            if word in ("UP", "BUSY", "ERR"):
                self.checker.record_answer(request, word)
                if word == "UP":
                    self.connected[number] = request.relay
                    continue
                request.finished = True
                retry_after = line.split(" ")[1:]
                return word, float(retry_after[0]) / 1000.0 if retry_after and word == "BUSY" else 0.0
            if word in ("MOVE", "BYE"):
                request.finished = True
                self.checker.counts[word.lower()] += 1
                return word, 0.0
            if not line:
                self.checker.record_end(request)
                self.checker.counts["broken"] += bool(request.answers)
                return "broken", 0.0
