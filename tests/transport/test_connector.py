"""A connection that is established in the loop iteration in which its time-out falls due, on real sockets and uvloop.

Nothing may be written to a connection that is reported as not established, as the request is retried elsewhere.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
import uvloop

from tests.ports import free_port
from tests.stand_ins import SETTINGS
from yarrowspindle.daemon.config import read_config
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.fronts.line_front import LineFront
from yarrowspindle.routing.effects import OpenBackendConnection
from yarrowspindle.runtime import SystemClock

CONNECT_TIMEOUT_MS = 60.0
NON_IDEMPOTENT_CLASS = dict(SETTINGS["categories"][0]) | {"name": "charge", "effect": "side_effect"}
BACKENDS = 4


class Backend:
    """A backend that records the first line of each connection and answers none."""

    def __init__(self) -> None:
        self.port = free_port()
        self.lines: list[bytes] = []

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = await reader.readline()
        if line:
            self.lines.append(line)


def config(backends: list[Backend]) -> dict[str, Any]:
    members = [
        {"id": f"s-{n}", "host_port": f"127.0.0.1:{backend.port}", "phase": "ready", "size": 1.0}
        for n, backend in enumerate(backends)
    ]
    settings = SETTINGS | {
        "zone": 0,
        "categories": [NON_IDEMPOTENT_CLASS],
        "limits": SETTINGS["limits"] | {"connect_timeout_ms": CONNECT_TIMEOUT_MS, "probing": False},
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1",
        "settings": settings,
        "known": {"revision": 1, "members": members},
    }


def stall_after(iterations: int) -> None:
    """Block the event loop for longer than the connect time-out, after this number of iterations."""
    loop = asyncio.get_running_loop()

    def run_iteration(remaining: int) -> None:
        if remaining:
            loop.call_soon(run_iteration, remaining - 1)
        else:
            time.sleep(2.0 * CONNECT_TIMEOUT_MS / 1000.0)

    run_iteration(iterations)


async def first_lines_read(iterations: int) -> list[bytes]:
    """Return the first lines that backends read of one request whose first connection is established after a stall."""
    backends = [Backend() for _ in range(BACKENDS)]
    for backend in backends:
        await backend.open()
    service = RelayService(read_config(config(backends)), SystemClock())
    service.start()
    front = LineFront(service, 200).start()
    service.serving = True
    connect = front.effect_handlers[OpenBackendConnection]
    stalls = iter((iterations,))

    def connect_and_stall(effect: OpenBackendConnection) -> None:
        connect(effect)
        first = next(stalls, None)
        if first is not None:
            stall_after(first)

    front.effect_handlers[OpenBackendConnection] = connect_and_stall
    _, writer = await asyncio.open_connection(*service.config.listen)
    writer.write(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n")
    await asyncio.sleep(0.6)
    writer.close()
    for backend in backends:
        backend.server.close()
    front.listener.sock.close()
    return [line for backend in backends for line in backend.lines]


@pytest.mark.parametrize("iterations", range(6))
def test_a_non_idempotent_request_is_written_once_if_its_connection_is_established_at_its_time_out(
    iterations: int,
) -> None:
    async def body() -> None:
        assert len(await first_lines_read(iterations)) <= 1

    uvloop.run(body())
