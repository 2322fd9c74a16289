"""Stream the status of plans with FastAPI: stand-in backends, the middleware, clients, a drain and a migration.

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
    """A backend that sends a line with the status of a plan five times per second to each connection."""

    def __init__(self, name: str) -> None:
        self.name, self.connections = name, 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> Endpoint:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(self._serve(writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        self.server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return Endpoint(self.name, (host, port))

    async def _serve(self, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            for number in itertools.count(1):
                writer.write(f"{self.name}: instalment {number} is due\r\n".encode())
                await writer.drain()
                await asyncio.sleep(0.2)
        except ConnectionError:
            pass
        finally:
            self.connections -= 1
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


async def run_client(number: int, port: int, counts: Counter[str]) -> None:
    """Read the event stream of a plan, and reconnect whenever it ends, as an EventSource does."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET /plans/{number} HTTP/1.1\r\nHost: x\r\nAccept: text/event-stream\r\n\r\n".encode())
        backend = ""
        try:
            while line := (await reader.readline()).decode():
                if line.startswith("data: ") and ":" in line[6:]:
                    counts["messages"] += 1
                    line_backend = line[6:].split(":")[0]
                    if line_backend != backend:
                        print(f"  client {number} is connected to {line_backend}")
                        backend = line_backend
                elif line.startswith("event: moved"):
                    counts["moves"] += 1
                    print(f"  client {number} is asked to reconnect")
                elif line.startswith("HTTP/1.1 503"):
                    counts["refused"] += 1
        finally:
            writer.close()
        await asyncio.sleep(0.4)


async def run_demo(seconds: float, clients: int, seed: int | None = None) -> Counter[str]:
    """Run the example and return the counters of its clients.

    Args:
        seconds: The duration in seconds; a backend begins to drain after a third of it, and is removed after two.
        clients: The number of clients.
        seed: The seed of the placer; drawn from the operating system if omitted.
    """
    backends = [StandInBackend(f"node-{number}") for number in range(3)]
    endpoints = [await backend.open() for backend in backends]
    source = StaticList(endpoints)
    placer = Placer(LibrarySettings(classes=(ConnectionClass("plan-status"),)), source, seed=seed)
    counts: Counter[str] = Counter()
    async with AsgiHost(make_app(placer)) as host:
        print(f"serving at http://127.0.0.1:{host.port}/plans/1 (Accept: text/event-stream)")
        tasks = [asyncio.ensure_future(run_client(number + 1, host.port, counts)) for number in range(clients)]
        await asyncio.sleep(seconds / 3.0)
        print("node-0 is draining: it keeps its connections and gets no new ones")
        source.change(
            [
                replace(endpoint, state=EndpointState.DRAINING) if endpoint.name == "node-0" else endpoint
                for endpoint in endpoints
            ]
        )
        await asyncio.sleep(seconds / 3.0)
        print("node-0 is removed from the endpoint list: its clients are migrated")
        source.change(endpoints[1:])
        await asyncio.sleep(seconds / 3.0)
        print("connections at the end:", {backend.name: backend.connections for backend in backends})
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for backend in backends:
        await backend.stop()
    print("placer:", dict(sorted(placer.counters().items())))
    return counts


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--clients", type=int, default=6)
    arguments = parser.parse_args()
    counts = asyncio.run(run_demo(arguments.seconds, arguments.clients))
    print("clients:", dict(sorted(counts.items())))


if __name__ == "__main__":
    main()
