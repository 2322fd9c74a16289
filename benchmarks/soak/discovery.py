"""The discovery service. Each relay asks it at addresses of its own, which shows what each relay was informed of."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from random import Random
from typing import Any

from benchmarks.soak.backends import Backend
from benchmarks.soak.run_context import RunContext

KEEPALIVE_S = 2.0  # between two empty lines on an idle watch
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: str) -> bytes:
    """Return a line as a chunk of HTTP's chunked encoding."""
    line = text.encode() + b"\n"
    return f"{len(line):x}\r\n".encode() + line + b"\r\n"


class Watch:
    """A relay process's open request for the endpoint list and its changes. silent: nothing more is sent on it."""

    def __init__(self, relay: str, writer: asyncio.StreamWriter) -> None:
        self.relay, self.writer, self.silent = relay, writer, False


class Discovery:
    """Discovery with its endpoint list, watches and faults.

    Attributes:
        behaviour: the present fault: "down", "refuse", "slow" or "hang"; empty for none.
        pushed: an agent delivers changes to each relay; a change then counts as known without a watch.
        relays: address -> the relay process that uses it now.
        removed: the backends that are not in the list any more.
        down_since: the start of the present outage, or None.
    """

    def __init__(self, context: RunContext, backends: list[Backend]) -> None:
        self.context, self.backends = context, backends
        self.version, self.behaviour = 1, ""
        self.pushed = context.plan.settings["discovery"] == "automatic"
        self.watches: set[Watch] = set()
        self.servers: dict[tuple[str, int], asyncio.AbstractServer] = {}
        self.relays: dict[tuple[str, int], str] = {}
        self.random = Random(f"discovery {context.plan.seed}")
        self.removed: set[str] = set()
        self.down_since: float | None = None
        self.process_faults: dict[str, str] = {}  # relay process -> "hang" or "refuse": the fault of its calls alone

    async def open(self, address: tuple[str, int], relay: str) -> None:
        """Serve a relay process at this address, unless discovery is down."""
        self.relays[address] = relay
        if address not in self.servers and self.behaviour != "down":
            self.servers[address] = await asyncio.start_server(self._connection_handler(address), *address)

    def _connection_handler(self, address: tuple[str, int]) -> Any:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
                await self._serve(self.relays[address], reader, writer)
            writer.close()

        return handle

    async def _serve(self, relay: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request for the endpoint list, and keep it open as a watch."""
        await reader.readuntil(b"\r\n\r\n")
        behaviour = self.process_faults.get(relay) or self.behaviour
        if behaviour == "hang":
            await reader.read()
            return
        if behaviour == "slow":
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
        if behaviour == "refuse":
            if self.random.random() < 0.5:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        watch = Watch(relay, writer)
        self._write(watch, RESPONSE_HEAD + chunk(self._encode(self.snapshot())), self.backends)
        self.watches.add(watch)
        try:
            while not writer.is_closing():
                with suppress(TimeoutError):
                    if not await asyncio.wait_for(reader.read(1), KEEPALIVE_S):
                        return
                if not watch.silent:
                    writer.write(b"1\r\n\n\r\n")
        finally:
            self.watches.discard(watch)

    def _encode(self, update: dict[str, Any]) -> str:
        return json.dumps(update, indent=1 if self.random.random() < 0.3 else None)

    def snapshot(self) -> dict[str, Any]:
        """Return the complete endpoint list as a message."""
        members = [backend.endpoint_entry() for backend in self.backends if backend.name not in self.removed]
        return {"revision": self.version, "complete": True, "members": members}

    def publish(self, backend: Backend, phase: str) -> None:
        """Change a backend's phase in the list, and send the change on all open watches."""
        backend.phase = phase
        self.version += 1
        (self.removed.add if phase == "gone" else self.removed.discard)(backend.name)
        update = {"revision": self.version, "complete": False, "members": [backend.endpoint_entry()]}
        write_began_at = self.context.now()
        for watch in list(self.watches):
            if not watch.silent and not watch.writer.is_closing():
                self._write(watch, chunk(self._encode(update)), [backend])
        if self.down_since is not None:
            return
        at = self._effective_at(backend, write_began_at)
        self.context.oracle.state_changes.setdefault(backend.name, []).append((at, phase == "ready"))
        if self.pushed:
            for relay in self.relays.values():
                self._record_update(relay, backend, at)

    def _effective_at(self, backend: Backend, write_began_at: float) -> float:
        """Return the time from which an update counts that was written between `write_began_at` and now.

        A relay may use a ready backend as soon as it reads of it, which is possible once the write has begun. It
        need not know of a drain before the write has returned, so that delays of this process do not count against it.
        """
        return write_began_at if backend.phase == "ready" else self.context.now()

    def _write(self, watch: Watch, data: bytes, backends: list[Backend]) -> None:
        write_began_at = self.context.now()
        watch.writer.write(data)
        for backend in backends:
            self._record_update(watch.relay, backend, self._effective_at(backend, write_began_at))

    def _record_update(self, relay: str, backend: Backend, at: float) -> None:
        """Record that a relay was informed of a backend's present state."""
        oracle, pair = self.context.oracle, (relay, backend.name)
        oracle.endpoint_updates.setdefault(pair, []).append((at, backend.phase == "ready"))
        if backend.start_ms:
            oracle.start_updates.setdefault(pair, []).append(at)

    # --- faults -----------------------------------------------------------------------------------

    def silence_watches(self, relay: str = "") -> None:
        """Send nothing more on the watches that are open, of all relay processes or of one; new ones work."""
        for watch in self.watches:
            watch.silent = watch.silent or relay in ("", watch.relay)

    def break_watches(self, relay: str = "") -> None:
        """Reset the open watches of all relay processes, or of one."""
        for watch in list(self.watches):
            if relay in ("", watch.relay):
                watch.writer.transport.abort()

    def go_down(self) -> None:
        """Stop listening, and reset all watches."""
        self.behaviour, self.down_since = "down", self.context.now()
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        self.break_watches()

    async def recover(self) -> None:
        """End any fault; after an outage, record it and the changes that were made during it."""
        if self.down_since is not None:
            self.behaviour = ""
            for address, relay in list(self.relays.items()):
                await self.open(address, relay)
            # A change that is published while the addresses are being opened has reached no relay yet.
            down_since, self.down_since = self.down_since, None
            write_began_at = self.context.now()
            self.context.oracle.discovery_outages.append((down_since, self.context.now()))
            for backend in self.backends:
                changes = self.context.oracle.state_changes.setdefault(backend.name, [(0.0, True)])
                ready = backend.phase == "ready"
                at = self._effective_at(backend, write_began_at)
                if changes[-1][1] != ready:
                    changes.append((at, ready))
                if self.pushed:
                    for relay in self.relays.values():
                        self._record_update(relay, backend, at)
        self.behaviour = ""
