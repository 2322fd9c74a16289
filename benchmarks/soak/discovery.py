"""Discovery: one service, asked by each relay at an address of its own, so that it is known who was told what."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from random import Random
from typing import Any

from benchmarks.soak.backends import Backend
from benchmarks.soak.world import World

EMPTY_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: str) -> bytes:
    line = text.encode() + b"\n"
    return f"{len(line):x}\r\n".encode() + line + b"\r\n"


class Watch:
    def __init__(self, relay: str, writer: asyncio.StreamWriter) -> None:
        self.relay, self.writer, self.silent = relay, writer, False


class Discovery:
    """behaviour: "", "down", "refuse", "slow", "hang"; `hush` makes the watches that are open fall silent."""

    def __init__(self, world: World, backends: list[Backend]) -> None:
        self.world, self.backends = world, backends
        self.version, self.behaviour = 1, ""
        self.pushed = world.plan.settings["discovery"] == "automatic"
        self.watches: set[Watch] = set()
        self.servers: dict[tuple[str, int], asyncio.AbstractServer] = {}
        self.relays: dict[tuple[str, int], str] = {}  # address -> the process that asks there now
        self.random = Random(f"discovery {world.plan.seed}")
        self.gone: set[str] = set()
        self.down_since: float | None = None

    async def open(self, address: tuple[str, int], relay: str) -> None:
        self.relays[address] = relay
        if address not in self.servers and self.behaviour != "down":
            self.servers[address] = await asyncio.start_server(self._take(address), *address)

    def _take(self, address: tuple[str, int]) -> Any:
        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
                await self._serve(self.relays[address], reader, writer)
            writer.close()

        return take

    async def _serve(self, relay: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.behaviour == "hang":
            await reader.read()
            return
        if self.behaviour == "slow":
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
        if self.behaviour == "refuse":
            if self.random.random() < 0.5:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        watch = Watch(relay, writer)
        self._write(watch, HEAD + chunk(self._indented(self.whole())), self.backends)
        self.watches.add(watch)
        try:
            while not writer.is_closing():
                with suppress(TimeoutError):
                    if not await asyncio.wait_for(reader.read(1), EMPTY_S):
                        return
                if not watch.silent:
                    writer.write(b"1\r\n\n\r\n")
        finally:
            self.watches.discard(watch)

    def _indented(self, told: dict[str, Any]) -> str:
        return json.dumps(told, indent=1 if self.random.random() < 0.3 else None)

    def whole(self) -> dict[str, Any]:
        members = [backend.entry() for backend in self.backends if backend.name not in self.gone]
        return {"revision": self.version, "complete": True, "members": members}

    def change(self, backend: Backend, phase: str) -> None:
        """Discovery has it from now on, and tells those whose watches are open."""
        backend.phase = phase
        self.version += 1
        (self.gone.add if phase == "gone" else self.gone.discard)(backend.name)
        told = {"revision": self.version, "complete": False, "members": [backend.entry()]}
        began = self.world.now()
        for watch in list(self.watches):
            if not watch.silent and not watch.writer.is_closing():
                self._write(watch, chunk(self._indented(told)), [backend])
        if self.down_since is not None:
            return
        at = self._counts_from(backend, began)
        self.world.oracle.changes.setdefault(backend.name, []).append((at, phase == "ready"))
        if self.pushed:
            for relay in self.relays.values():
                self._note(relay, backend, at)

    def _counts_from(self, backend: Backend, began: float) -> float:
        """When what was written since this time counts: a relay may use a ready backend as soon as it reads of it, and
        must not know of a drain before it is written, however late this process is."""
        return began if backend.phase == "ready" else self.world.now()

    def _write(self, watch: Watch, data: bytes, backends: list[Backend]) -> None:
        began = self.world.now()
        watch.writer.write(data)
        for backend in backends:
            self._note(watch.relay, backend, self._counts_from(backend, began))

    def _note(self, relay: str, backend: Backend, now: float) -> None:
        oracle, pair = self.world.oracle, (relay, backend.name)
        oracle.told.setdefault(pair, []).append((now, backend.phase == "ready"))
        if backend.start_ms:
            oracle.start_told.setdefault(pair, []).append(now)

    # --- troubles ---------------------------------------------------------------------------------

    def hush(self) -> None:
        """All watches that are open say nothing any more; new ones work."""
        for watch in self.watches:
            watch.silent = True

    def break_watches(self) -> None:
        for watch in list(self.watches):
            watch.writer.transport.abort()

    def go_down(self) -> None:
        self.behaviour, self.down_since = "down", self.world.now()
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        self.break_watches()

    async def come_back(self) -> None:
        if self.down_since is not None:
            down_since = self.down_since
            self.behaviour, self.down_since = "", None
            began = self.world.now()
            for address, relay in self.relays.items():
                await self.open(address, relay)
            self.world.oracle.down.append((down_since, self.world.now()))
            for backend in self.backends:
                changes = self.world.oracle.changes.setdefault(backend.name, [(0.0, True)])
                ready = backend.phase == "ready"
                at = self._counts_from(backend, began)
                if changes[-1][1] != ready:
                    changes.append((at, ready))
                if self.pushed:
                    for relay in self.relays.values():
                        self._note(relay, backend, at)
        self.behaviour = ""
