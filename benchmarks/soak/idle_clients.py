"""A crowd: idle clients that fill a relay's descriptors, and come again when they are sent away."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from benchmarks.soak.relays import Relay
from benchmarks.soak.run_context import RunContext

IDLE_FRACTION = 0.4  # of a relay's descriptors: twice of what idlers may have
RECONNECT_S = (0.2, 0.8)  # until an idler that was sent away comes again
FIRST_BYTES = (b"", b"", b"OPEN 0000", b"PING\r\n")


class IdleClients:
    """Idle clients at some relays, for a part of the run."""

    def __init__(self, context: RunContext, relays: list[Relay]) -> None:
        self.context, self.relays = context, relays
        self.random = Random(f"crowd {context.plan.seed}")

    async def run(self) -> None:
        """Comes in the first third of the run, and stays for half of it."""
        seconds = self.context.plan.seconds
        await asyncio.sleep(self.random.uniform(0.1, 0.3) * seconds)
        until = self.context.now() + 0.5 * seconds
        chosen = self.random.sample(self.relays, max(1, len(self.relays) // 2))
        clients_each = int(IDLE_FRACTION * self.context.plan.descriptors)
        clients = [self._keep_connected(relay, until) for relay in chosen for _ in range(clients_each)]
        await asyncio.gather(*clients)

    async def _keep_connected(self, relay: Relay, until: float) -> None:
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        while self.context.now() < until:
            with suppress(OSError, TimeoutError):
                await self._hold_connection(relay, until)
            await asyncio.sleep(self.random.uniform(*RECONNECT_S))

    async def _hold_connection(self, relay: Relay, until: float) -> None:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.address), 1.0)
        try:
            writer.write(self.random.choice(FIRST_BYTES))
            until = max(0.0, until - self.context.now())
            await asyncio.wait_for(reader.read(), until)  # until the relay ends it
        finally:
            writer.close()
