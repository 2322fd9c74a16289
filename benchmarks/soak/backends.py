"""Backends, and the wires on which relays reach them: a proxy with faults before each backend."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from random import Random
from typing import Any, cast

from benchmarks.soak.arrivals import data_age_s, end_age_s
from benchmarks.soak.connection import RESET_AT_CLOSE
from benchmarks.soak.oracle import Attempt
from benchmarks.soak.world import LINE_END, World

MAX_FIRST = 8192
HOLD_S = (0.05, 0.6)  # for how long a connection that is up is served
STANDING, STANDING_S = 0.05, (2.0, 9.0)  # the share that is served for longer, so that it stands when a relay ends


class Backend:
    """One server: its behaviour, its address before the wire and behind it, and what discovery tells of it."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.name = world, number, f"s-{number}"
        self.zone, self.cell = "ab"[number % 2], 1 + number % 3
        self.address, self.inside = world.port(100 + number % 100), world.port(100 + number % 100)
        self.random = Random(f"backend {world.plan.seed} {number}")
        self.phase, self.start_ms = "ready", 0.0
        self.behaviour = ""  # the word of a trouble
        self.wire = ""  # "cut", "late", "reset", "reset late", "pieces"
        self.server: asyncio.AbstractServer | None = None
        self.front: asyncio.AbstractServer | None = None
        self.held: socket.socket | None = None  # a listening socket whose queue is full
        self.fillers: list[socket.socket] = []
        self.ends: set[RelayEnd] = set()

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        if self.server is None:
            self.server = await loop.create_server(lambda: Served(self), *self.inside)
        if self.front is None and self.held is None:
            self.front = await loop.create_server(lambda: RelayEnd(self), *self.address, backlog=512)

    async def start_anew(self) -> None:
        """A new process listens, under a new start."""
        self.start_ms = time.time() * 1000.0
        await self.open()
        self.world.oracle.starts.setdefault(self.name, []).append(self.world.now())

    def crash(self) -> None:
        """The process ends: what it held is reset, and nobody listens."""
        for server in (self.server, self.front):
            if server is not None:
                server.close()
        self.server = self.front = None
        for end in list(self.ends):
            end.reset()

    def fill(self) -> None:
        """New connections come up late: the queue of those to be accepted is full, and nobody accepts."""
        if self.front is None:
            return
        self.front.close()
        self.front = None
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.setblocking(False)
        try:
            held.bind(self.address)
        except OSError:
            held.close()
            return
        held.listen(0)
        self.held = held
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self.address)
            self.fillers.append(filler)

    async def empty(self) -> None:
        """They are accepted again: those that wait come up now or with their next try."""
        held, self.held = self.held, None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if held is not None:
            self.front = await asyncio.get_running_loop().create_server(lambda: RelayEnd(self), sock=held)

    def entry(self, step_ms: float = 0.0) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": "{}:{}".format(*self.address),
            "locality": self.zone,
            "flavor": "m",
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.start_ms + step_ms if self.start_ms else 0,
        }


class RelayEnd(asyncio.Protocol):
    """The relay's end of the wire: what comes from the relay is seen here first."""

    def __init__(self, backend: Backend) -> None:
        self.backend, self.world = backend, backend.world
        self.transport: asyncio.Transport | None = None
        self.inner: InnerEnd | None = None
        self.first = b""
        self.first_at = 0.0
        self.attempt: Attempt | None = None
        self.waiting = b""  # for the inner connection
        self.silent = False
        self.back_at = self.forth_at = 0.0  # when the last piece that is late goes on, each way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.backend.ends.add(self)
        self.silent = self.backend.wire == "cut"
        if not self.silent:
            self.world.start(self._connect())

    async def _connect(self) -> None:
        try:
            _, inner = await asyncio.get_running_loop().create_connection(lambda: InnerEnd(self), *self.backend.inside)
        except OSError:
            self.reset()
            return
        self.inner = inner
        if self.waiting:
            inner.write(self.waiting)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None and len(self.first) < MAX_FIRST:
            arrived = self.world.now() - data_age_s(self._socket())
            self.first_at = self.first_at if self.first else arrived
            self.first += data
            self._look(arrived)
        wire = self.backend.wire
        self.silent = self.silent or wire == "cut"
        if self.silent:
            return
        if wire == "reset" and self.attempt is not None and self.backend.random.random() < 0.5:
            self.reset()
        elif wire == "late":
            loop = asyncio.get_running_loop()
            self.forth_at = max(loop.time() + self.backend.random.uniform(0.02, 0.2), self.forth_at + 1e-6)
            loop.call_at(self.forth_at, self.forth, data)
        else:
            self.forth(data)

    def _look(self, now: float) -> None:
        """Whether a request has come whole."""
        while LINE_END in self.first and self.attempt is None:
            line, _, self.first = self.first.partition(LINE_END)
            words = line.split(b" ")
            if words[0] == b"OPEN" and len(words) == 4:
                name, backend = words[1].decode("ascii", "replace"), self.backend
                self.attempt = Attempt(name, backend.name, backend.zone, backend.cell, self.first_at, now)
                self.world.oracle.attempts.setdefault(name, []).append(self.attempt)

    def forth(self, data: bytes) -> None:
        if self.inner is not None:
            self.inner.write(data)
        else:
            self.waiting += data

    def back(self, data: bytes) -> None:
        """From the backend to the relay."""
        wire, loop = self.backend.wire, asyncio.get_running_loop()
        if self.silent or wire == "cut":
            self.silent = True
        elif wire == "reset late" and self.backend.random.random() < 0.4:
            self.reset()
        elif wire == "late":
            self._write_at(loop.time() + self.backend.random.uniform(0.02, 0.2), data)
        elif wire == "pieces":
            for number in range(len(data)):
                self._write_at(loop.time() + 0.002 * number, data[number : number + 1])
        else:
            self.write(data)

    def _write_at(self, at: float, data: bytes) -> None:
        """In the order in which it came, however late."""
        self.back_at = max(at, self.back_at + 1e-6)
        asyncio.get_running_loop().call_at(self.back_at, self.write, data)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def end(self) -> None:
        """The backend has ended its side."""
        if self.attempt is not None:
            self.attempt.ended_there = min(self.attempt.ended_there, self.world.now())
        if self.transport is not None and not self.transport.is_closing() and not self.silent:
            asyncio.get_running_loop().call_later(0.0 if self.backend.wire == "" else 0.25, self._close)

    def _close(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def reset(self) -> None:
        if self.attempt is not None:
            self.attempt.ended_there = min(self.attempt.ended_there, self.world.now())
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self.transport.abort()

    def eof_received(self) -> bool:
        self._over()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._over()
        self.backend.ends.discard(self)
        if self.inner is not None:
            self.inner.close()

    def _over(self) -> None:
        if self.attempt is not None:
            self.attempt.over = min(self.attempt.over, self.world.now() - end_age_s(self._socket()))

    def _socket(self) -> socket.socket | None:
        return self.transport.get_extra_info("socket") if self.transport is not None else None


class InnerEnd(asyncio.Protocol):
    """The wire's connection to the backend."""

    def __init__(self, end: RelayEnd) -> None:
        self.end_there = end
        self.transport: asyncio.Transport | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.end_there.transport is None or self.end_there.transport.is_closing():
            self.transport.abort()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """The relay has ended its side."""
        self.closed = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.end_there.back(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self.end_there.end()


class Served(asyncio.Protocol):
    """The backend itself: one connection that it serves, or does not."""

    def __init__(self, backend: Backend) -> None:
        self.backend, self.random = backend, backend.random
        self.transport: asyncio.Transport | None = None
        self.rest = b""
        self.up = self.decided = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while LINE_END in self.rest:
            line, _, self.rest = self.rest.partition(LINE_END)
            if line == b"PING":
                self.say(b"PONG")
            elif line == b"STATS":
                self.say(b"PONG x0=%.2f,rif=%d" % (0.2 + 0.2 * self.random.random(), len(self.backend.ends)))
            elif self.up:
                self.say(line)
            elif line.startswith(b"OPEN ") and not self.decided:
                self.decided = True
                self._decide(line.split(b" ")[1].decode("ascii", "replace"))

    def say(self, line: bytes) -> None:
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
        """What becomes of a request. What it does to the request is noted, whatever the wire lets through."""
        later, draw = asyncio.get_running_loop().call_later, self.random.random()
        kind = self.backend.behaviour if draw < 0.7 else ""
        if self.backend.phase != "ready" and self.random.random() < 0.8:
            self._answer(name, b"BUSY")
        elif kind == "refuse":
            self._answer(name, self.random.choice((b"BUSY", b"BUSY", b"BUSY", b"ERR", b"")))
        elif kind == "break":
            self._break(name)
        elif kind == "hang":
            if self.random.random() < 0.6:
                later(self.random.uniform(0.1, 1.0), self._up, name)
        else:
            later(self.random.uniform(0.001, 0.015), self._up, name)

    def _note(self, name: str, answer: str) -> None:
        """In the books of the attempt that this connection is."""
        for attempt in reversed(self.backend.world.oracle.attempts.get(name, [])):
            if attempt.backend == self.backend.name and not attempt.answered:
                attempt.answered = answer
                return

    def _answer(self, name: str, line: bytes) -> None:
        self._note(name, line.decode() or "closed")
        if line:
            self.say(line)
        self.close()

    def _break(self, name: str) -> None:
        later, kind = asyncio.get_running_loop().call_later, self.random.randrange(6)
        self._note(name, ("reset", "half", "twice", "endless", "nonsense", "late reset")[kind])
        if kind == 0:
            self.abort()
        elif kind == 1:
            self.write(b"U")
            later(0.01, self.close)
        elif kind == 2:
            self.say(b"UP r1")
            self.up = True
            later(0.005, self.say, b"BUSY")
            later(0.1, self.close)
        elif kind == 3:
            self.write(b"x" * 10_000)
        elif kind == 4:
            self.say(b"\xff\xfe nonsense")
        else:
            later(self.random.uniform(0.05, 0.5), self.abort)

    def _up(self, name: str) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self._note(name, "UP")
        self.up = True
        self.say(b"UP r%d" % self.random.getrandbits(20))
        serves_s = self.random.uniform(*(STANDING_S if self.random.random() < STANDING else HOLD_S))
        asyncio.get_running_loop().call_later(serves_s, self._bye)

    def _bye(self) -> None:
        self.say(b"BYE")
        self.close()
