"""What the soak judges does not depend on the moment in which it comes to notice it."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

from benchmarks.soak.clients import Clients
from benchmarks.soak.discovery import Discovery
from benchmarks.soak.plan import TROUBLES, plan_of
from benchmarks.soak.relays import Relay
from benchmarks.soak.world import World

HELD_S = 0.1


def world_in(folder: Path) -> World:
    return World(plan_of(1, 10, 12.0, list(TROUBLES)), folder, None)


def test_a_request_is_its_process_that_took_the_connection_though_another_runs_as_that_is_seen(tmp_path: Path) -> None:
    """Guards against charging a process with a connection that was closed by the one before it."""

    async def body() -> None:
        world = world_in(tmp_path)
        relay = Relay(world, 0, Discovery(world, []), "")
        clients = Clients(world, [relay])
        clients.leaving = 0.0
        relay.life, relay.started_at = 1, [0.0]

        def restart() -> None:
            taken, _ = listening.accept()
            taken.close()
            time.sleep(HELD_S)
            relay.life = 2
            relay.started_at.append(world.now())

        with socket.create_server(("127.0.0.1", 0)) as listening:
            relay.address = listening.getsockname()
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, restart)  # once the system was asked to connect, before that is seen
            await clients._ask(relay)
        (request,) = world.oracle.requests.values()
        assert request.relay == "r0.1"

    asyncio.run(body())
