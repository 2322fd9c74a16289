"""The idle clients of the soak."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest
import uvloop

from benchmarks.soak.idle_clients import IdleClients
from benchmarks.soak.relays import Relay
from benchmarks.soak.run_context import RunContext
from tests.ports import free_port


class Context:
    """A run at its beginning."""

    class plan:  # noqa: N801
        seed = 1

    @staticmethod
    def now() -> float:
        return 0.0


class Target:
    """The address of a relay."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", free_port())


def test_a_connection_that_the_relay_closes_at_once_does_not_end_the_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a soak that goes on without its idle clients."""

    async def body() -> None:
        target = Target()
        server = await asyncio.start_server(lambda reader, writer: writer.close(), *target.address)
        open_connection = asyncio.open_connection

        async def open_and_wait_for_the_end(*address: Any) -> Any:
            reader, writer = await open_connection(*address)
            writer.transport.abort()
            await asyncio.sleep(0.05)
            return reader, writer

        monkeypatch.setattr(asyncio, "open_connection", open_and_wait_for_the_end)
        clients = IdleClients(cast(RunContext, Context()), [])
        for _ in range(8):  # the first bytes are drawn
            await clients._hold_connection(cast(Relay, target), 1.0)
        server.close()

    uvloop.run(body())
