"""The soak's judgement does not depend on when its own process notices an event."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

from benchmarks.soak.clients import Clients
from benchmarks.soak.discovery import Discovery
from benchmarks.soak.plan import FAULTS, make_plan
from benchmarks.soak.relays import Relay
from benchmarks.soak.run_context import RunContext

BLOCKED_S = 0.1


def context_in(folder: Path) -> RunContext:
    return RunContext(make_plan(1, 10, 12.0, list(FAULTS)), folder, None)


def test_a_request_belongs_to_the_process_that_accepted_it_even_if_it_has_been_replaced(tmp_path: Path) -> None:
    """Guard against blaming a relay process for a connection that the process before it had accepted and closed."""

    async def body() -> None:
        context = context_in(tmp_path)
        relay = Relay(context, 0, Discovery(context, []), "")
        clients = Clients(context, [relay])
        clients.leave_share = 0.0
        relay.incarnation, relay.start_times = 1, [0.0]

        def restart() -> None:
            accepted, _ = listening.accept()
            accepted.close()
            time.sleep(BLOCKED_S)
            relay.incarnation = 2
            relay.start_times.append(context.now())

        with socket.create_server(("127.0.0.1", 0)) as listening:
            relay.address = listening.getsockname()
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, restart)  # after the system call connect, before its result is noticed
            await clients._send_request(relay)
        (request,) = context.oracle.requests.values()
        assert request.relay == "r0.1"

    asyncio.run(body())
