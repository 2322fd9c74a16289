"""Backends, and a proxy in front of each that injects faults into its connections from relays."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from random import Random
from typing import Any, cast

from benchmarks.soak.connection import RESET_ON_CLOSE
from benchmarks.soak.kernel_timestamps import close_age_s, data_age_s
from benchmarks.soak.oracle import Attempt
from benchmarks.soak.run_context import LINE_END, RunContext

MAX_HEAD_BYTES = 8192
CONNECTION_S = (0.05, 0.6)  # lifetime of an established connection
# Fraction of the connections that last longer, so that they are open when a relay shuts down, and their lifetime.
LONG_SHARE, LONG_CONNECTION_S = 0.05, (2.0, 9.0)


class Backend:
    """One backend: its server, the proxy in front of it, their present faults, and its state in discovery.

    Attributes:
        address: the proxy's address, which discovery publishes.
        server_address: the server's own address.
        behaviour: the kind of fault of the server: "refuse", "break" or "hang"; empty for none.
        link_fault: the fault of the proxy: "cut", "late", "reset", "reset late" or "pieces"; empty for none.
        full_listener: a listening socket whose accept queue is full; in place of the proxy.
        queue_fillers: the connections that fill the queue.
    """

    def __init__(self, context: RunContext, number: int) -> None:
        self.context, self.number, self.name = context, number, f"s-{number}"
        self.zone, self.cell = "ab"[number % 2], 1 + number % 3
        self.address, self.server_address = (
            context.allocate_address(100 + number % 100),
            context.allocate_address(100 + number % 100),
        )
        self.random = Random(f"backend {context.plan.seed} {number}")
        self.phase, self.start_ms = "ready", 0.0
        self.behaviour = ""
        self.link_fault = ""
        self.server: asyncio.AbstractServer | None = None
        self.proxy: asyncio.AbstractServer | None = None
        self.full_listener: socket.socket | None = None
        self.queue_fillers: list[socket.socket] = []
        self.connections: set[ProxyConnection] = set()

    async def listen(self) -> None:
        """Start the server and the proxy if they do not listen yet."""
        loop = asyncio.get_running_loop()
        if self.server is None:
            self.server = await loop.create_server(lambda: ServerConnection(self), *self.server_address)
        if self.proxy is None and self.full_listener is None:
            self.proxy = await loop.create_server(lambda: ProxyConnection(self), *self.address, backlog=512)

    async def restart(self) -> None:
        """Listen again as a new process with a new start time."""
        self.start_ms = time.time() * 1000.0
        await self.listen()
        self.context.oracle.backend_starts.setdefault(self.name, []).append(self.context.now())

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        for server in (self.server, self.proxy):
            if server is not None:
                server.close()
        self.server = self.proxy = None
        for connection in list(self.connections):
            connection.reset()

    def fill_accept_queue(self) -> None:
        """Delay new connections: the accept queue is full, and none is accepted."""
        if self.proxy is None:
            return
        self.proxy.close()
        self.proxy = None
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        try:
            listener.bind(self.address)
        except OSError:
            listener.close()
            return
        listener.listen(0)
        self.full_listener = listener
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self.address)
            self.queue_fillers.append(filler)

    async def release_accept_queue(self) -> None:
        """Accept connections again; waiting ones are established now or at the next retransmission of their SYN."""
        listener, self.full_listener = self.full_listener, None
        for filler in self.queue_fillers:
            filler.close()
        self.queue_fillers.clear()
        if listener is not None:
            self.proxy = await asyncio.get_running_loop().create_server(lambda: ProxyConnection(self), sock=listener)

    def endpoint_entry(self, offset_ms: float = 0.0) -> dict[str, Any]:
        """Return the backend's entry in the endpoint list. offset_ms: is added to the start time."""
        return {
            "id": self.name,
            "host_port": "{}:{}".format(*self.address),
            "locality": self.zone,
            "flavor": "m",
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.start_ms + offset_ms if self.start_ms else 0,
        }


class ProxyConnection(asyncio.Protocol):
    """The proxy's connection from a relay, which records the request's attempt and applies link faults.

    Attributes:
        upstream: the proxy's connection to the server; None until it is established.
        head: data received before the request's line is complete.
        pending: data for `upstream` while that is not established.
        silent: nothing is forwarded any more, in either direction.
        next_to_relay_at: the loop time at which the last delayed data is forwarded to the relay.
        next_to_backend_at: the loop time at which the last delayed data is forwarded to the backend.
    """

    def __init__(self, backend: Backend) -> None:
        self.backend, self.context = backend, backend.context
        self.transport: asyncio.Transport | None = None
        self.upstream: UpstreamConnection | None = None
        self.head = b""
        self.first_at = 0.0
        self.attempt: Attempt | None = None
        self.pending = b""
        self.silent = False
        self.next_to_relay_at = self.next_to_backend_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.backend.connections.add(self)
        self.silent = self.backend.link_fault == "cut"
        if not self.silent:
            self.context.start_task(self._connect())

    async def _connect(self) -> None:
        try:
            _, upstream = await asyncio.get_running_loop().create_connection(
                lambda: UpstreamConnection(self), *self.backend.server_address
            )
        except OSError:
            self.reset()
            return
        self.upstream = upstream
        if self.pending:
            upstream.write(self.pending)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None and len(self.head) < MAX_HEAD_BYTES:
            arrived_at = self.context.now() - data_age_s(self._socket())
            self.first_at = self.first_at if self.head else arrived_at
            self.head += data
            self._parse_request(arrived_at)
        link_fault = self.backend.link_fault
        self.silent = self.silent or link_fault == "cut"
        if self.silent:
            return
        if link_fault == "reset" and self.attempt is not None and self.backend.random.random() < 0.5:
            self.reset()
        elif link_fault == "late":
            loop = asyncio.get_running_loop()
            self.next_to_backend_at = max(
                loop.time() + self.backend.random.uniform(0.02, 0.2), self.next_to_backend_at + 1e-6
            )
            loop.call_at(self.next_to_backend_at, self.send_to_backend, data)
        else:
            self.send_to_backend(data)

    def _parse_request(self, arrived_at: float) -> None:
        """Record an attempt once the line of a request is complete."""
        while LINE_END in self.head and self.attempt is None:
            line, _, self.head = self.head.partition(LINE_END)
            words = line.split(b" ")
            if words[0] == b"OPEN" and len(words) == 4:
                name, backend = words[1].decode("ascii", "replace"), self.backend
                self.attempt = Attempt(name, backend.name, backend.zone, backend.cell, self.first_at, arrived_at)
                self.context.oracle.attempts.setdefault(name, []).append(self.attempt)

    def send_to_backend(self, data: bytes) -> None:
        """Forward data to the server, or queue it until the connection is established."""
        if self.upstream is not None:
            self.upstream.write(data)
        else:
            self.pending += data

    def send_to_relay(self, data: bytes) -> None:
        """Forward data from the server to the relay, subject to the link fault."""
        link_fault, loop = self.backend.link_fault, asyncio.get_running_loop()
        if self.silent or link_fault == "cut":
            self.silent = True
        elif link_fault == "reset late" and self.backend.random.random() < 0.4:
            self.reset()
        elif link_fault == "late":
            self._write_at(loop.time() + self.backend.random.uniform(0.02, 0.2), data)
        elif link_fault == "pieces":
            for number in range(len(data)):
                self._write_at(loop.time() + 0.002 * number, data[number : number + 1])
        else:
            self.write(data)

    def _write_at(self, at: float, data: bytes) -> None:
        """Write at a loop time, but after all data that was delayed before."""
        self.next_to_relay_at = max(at, self.next_to_relay_at + 1e-6)
        asyncio.get_running_loop().call_at(self.next_to_relay_at, self.write, data)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def backend_closed(self) -> None:
        """Close the connection to the relay after the server has closed its own, later if the link has a fault."""
        if self.attempt is not None:
            self.attempt.backend_closed_at = min(self.attempt.backend_closed_at, self.context.now())
        if self.transport is not None and not self.transport.is_closing() and not self.silent:
            asyncio.get_running_loop().call_later(0.0 if self.backend.link_fault == "" else 0.25, self._close)

    def _close(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection to the relay."""
        if self.attempt is not None:
            self.attempt.backend_closed_at = min(self.attempt.backend_closed_at, self.context.now())
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def eof_received(self) -> bool:
        self._record_relay_close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._record_relay_close()
        self.backend.connections.discard(self)
        if self.upstream is not None:
            self.upstream.close()

    def _record_relay_close(self) -> None:
        """Record when the relay closed its side."""
        if self.attempt is not None:
            self.attempt.relay_closed_at = min(
                self.attempt.relay_closed_at, self.context.now() - close_age_s(self._socket())
            )

    def _socket(self) -> socket.socket | None:
        return self.transport.get_extra_info("socket") if self.transport is not None else None


class UpstreamConnection(asyncio.Protocol):
    """The proxy's connection to the server. downstream: its connection from the relay."""

    def __init__(self, connection: ProxyConnection) -> None:
        self.downstream = connection
        self.transport: asyncio.Transport | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.downstream.transport is None or self.downstream.transport.is_closing():
            self.transport.abort()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection after the relay has closed its own."""
        self.closed = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.downstream.send_to_relay(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self.downstream.backend_closed()


class ServerConnection(asyncio.Protocol):
    """The server's side of one connection.

    Attributes:
        established: the request was accepted; further lines are echoed.
        decided: the outcome of the request has been drawn.
    """

    def __init__(self, backend: Backend) -> None:
        self.backend, self.random = backend, backend.random
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.established = self.decided = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while LINE_END in self.buffer:
            line, _, self.buffer = self.buffer.partition(LINE_END)
            if line == b"PING":
                self.send_line(b"PONG")
            elif line == b"STATS":
                self.send_line(
                    b"PONG x0=%.2f,rif=%d" % (0.2 + 0.2 * self.random.random(), len(self.backend.connections))
                )
            elif self.established:
                self.send_line(line)
            elif line.startswith(b"OPEN ") and not self.decided:
                self.decided = True
                self._decide(line.split(b" ")[1].decode("ascii", "replace"))

    def send_line(self, line: bytes) -> None:
        self.write(line + LINE_END)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def _decide(self, name: str) -> None:
        """Draw the outcome of a request; it is recorded even if the link does not deliver the answer."""
        later, draw = asyncio.get_running_loop().call_later, self.random.random()
        choice = self.backend.behaviour if draw < 0.7 else ""
        if self.backend.phase != "ready" and self.random.random() < 0.8:
            self._answer(name, b"BUSY")
        elif choice == "refuse":
            self._answer(name, self.random.choice((b"BUSY", b"BUSY", b"BUSY", b"ERR", b"")))
        elif choice == "break":
            self._misbehave(name)
        elif choice == "hang":
            if self.random.random() < 0.6:
                later(self.random.uniform(0.1, 1.0), self._accept, name)
        else:
            later(self.random.uniform(0.001, 0.015), self._accept, name)

    def _record_answer(self, name: str, answer: str) -> None:
        """Record the answer on this backend's latest attempt of the request that has none."""
        for attempt in reversed(self.backend.context.oracle.attempts.get(name, [])):
            if attempt.backend == self.backend.name and not attempt.reply:
                attempt.reply = answer
                return

    def _answer(self, name: str, line: bytes) -> None:
        """Answer a request that is not accepted; an empty line closes the connection without an answer."""
        self._record_answer(name, line.decode() or "closed")
        if line:
            self.send_line(line)
        self.close()

    def _misbehave(self, name: str) -> None:
        """Reset the connection, or answer in violation of the protocol."""
        later, choice = asyncio.get_running_loop().call_later, self.random.randrange(6)
        self._record_answer(name, ("reset", "half", "twice", "endless", "nonsense", "late reset")[choice])
        if choice == 0:
            self.abort()
        elif choice == 1:
            self.write(b"U")
            later(0.01, self.close)
        elif choice == 2:
            self.send_line(b"UP r1")
            self.established = True
            later(0.005, self.send_line, b"BUSY")
            later(0.1, self.close)
        elif choice == 3:
            self.write(b"x" * 10_000)
        elif choice == 4:
            self.send_line(b"\xff\xfe nonsense")
        else:
            later(self.random.uniform(0.05, 0.5), self.abort)

    def _accept(self, name: str) -> None:
        """Accept the request, unless the connection was closed in the meantime."""
        if self.transport is None or self.transport.is_closing():
            return
        self._record_answer(name, "UP")
        self.established = True
        self.send_line(b"UP r%d" % self.random.getrandbits(20))
        connection_s = self.random.uniform(*(LONG_CONNECTION_S if self.random.random() < LONG_SHARE else CONNECTION_S))
        asyncio.get_running_loop().call_later(connection_s, self._finish)

    def _finish(self) -> None:
        """End an established connection in order."""
        self.send_line(b"BYE")
        self.close()
