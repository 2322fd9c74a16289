"""A live plan-status stream on FastAPI: stand-in nodes, the middleware, a few clients, a drain and a move.

python -m examples.plan_status [--seconds 12] [--clients 6]
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
from collections import Counter
from dataclasses import replace

from fastapi import FastAPI
from fastapi.responses import StreamingResponse

from examples.asgi_host import AsgiHost
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.library import ConnectionClass, Endpoint, LibrarySettings, Placer, StaticList
from yarrowspindle.middleware import PlacementMiddleware, reach, relay_events
from yarrowspindle.middleware.fastapi import Placed


class StandInBackend:
    """An execute node: sends a line of a plan's status several times a second."""

    def __init__(self, name: str) -> None:
        self.name, self.held = name, 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> Endpoint:
        def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(self._serve(writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        self.server = await asyncio.start_server(came, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return Endpoint(self.name, (host, port))

    async def _serve(self, writer: asyncio.StreamWriter) -> None:
        self.held += 1
        try:
            for number in itertools.count(1):
                writer.write(f"{self.name}: instalment {number} is due\r\n".encode())
                await writer.drain()
                await asyncio.sleep(0.2)
        except ConnectionError:
            pass
        finally:
            self.held -= 1
            writer.close()

    async def stop(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def make_app(placer: Placer) -> PlacementMiddleware:
    api = FastAPI()

    @api.get("/plans/{plan}")
    async def plan_status(plan: int, placement: Placed) -> StreamingResponse:
        link = await reach(placement)
        return StreamingResponse(relay_events(placement, link), media_type="text/event-stream")

    def key(scope: object) -> int:
        return int(scope["path"].rpartition("/")[2])  # type: ignore[index]

    return PlacementMiddleware(api, placer, key=key, group=key)


async def client(number: int, port: int, seen: Counter[str]) -> None:
    """Reads its stream and comes again after each end, as an EventSource does."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET /plans/{number} HTTP/1.1\r\nHost: x\r\nAccept: text/event-stream\r\n\r\n".encode())
        backend = ""
        try:
            while line := (await reader.readline()).decode():
                if line.startswith("data: ") and ":" in line[6:]:
                    seen["messages"] += 1
                    now = line[6:].split(":")[0]
                    if now != backend:
                        print(f"  client {number} is at {now}")
                        backend = now
                elif line.startswith("event: moved"):
                    seen["moves"] += 1
                    print(f"  client {number} is told to come again")
                elif line.startswith("HTTP/1.1 503"):
                    seen["refused"] += 1
        finally:
            writer.close()
        await asyncio.sleep(0.4)


async def show(seconds: float, clients: int, seed: int | None = None) -> Counter[str]:
    """seed: of the draws; drawn by the system where it is left out."""
    backends = [StandInBackend(f"node-{n}") for n in range(3)]
    machines = [await backend.open() for backend in backends]
    source = StaticList(machines)
    placer = Placer(LibrarySettings(classes=(ConnectionClass("plan-status"),)), source, seed=seed)
    seen: Counter[str] = Counter()
    async with AsgiHost(make_app(placer)) as host:
        print(f"serving at http://127.0.0.1:{host.port}/plans/1 (Accept: text/event-stream)")
        tasks = [asyncio.ensure_future(client(n + 1, host.port, seen)) for n in range(clients)]
        await asyncio.sleep(seconds / 3.0)
        print("node-0 drains: it keeps what it holds and gets nothing new")
        source.change([replace(m, state=EndpointState.DRAINING) if m.name == "node-0" else m for m in machines])
        await asyncio.sleep(seconds / 3.0)
        print("node-0 is gone: its clients are moved")
        source.change(machines[1:])
        await asyncio.sleep(seconds / 3.0)
        print("held at the end:", {backend.name: backend.held for backend in backends})
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for backend in backends:
        await backend.stop()
    print("placer:", dict(sorted(placer.counters().items())))
    return seen


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--clients", type=int, default=6)
    chosen = parser.parse_args()
    seen = asyncio.run(show(chosen.seconds, chosen.clients))
    print("clients:", dict(sorted(seen.items())))


if __name__ == "__main__":
    main()
