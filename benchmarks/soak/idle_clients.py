"""Many idle clients that use up a relay's descriptors, and reconnect when the relay closes their connections."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from benchmarks.soak.relays import Relay
from benchmarks.soak.run_context import RunContext

IDLE_FRACTION = 0.4  # of a relay's descriptors: twice the part that it grants to idle clients
RECONNECT_S = (0.2, 0.8)  # delay before a client reconnects
FIRST_BYTES = (b"", b"", b"OPEN 0000", b"PING\r\n")


class IdleClients:
    """Idle clients of half of the relays, for a part of the run."""

    def __init__(self, context: RunContext, relays: list[Relay]) -> None:
        self.context, self.relays = context, relays
        self.random = Random(f"crowd {context.plan.seed}")

    async def run(self) -> None:
        """Connect within the first third of the run, and stay for half of its duration."""
        seconds = self.context.plan.seconds
        await asyncio.sleep(self.random.uniform(0.1, 0.3) * seconds)
        until = self.context.now() + 0.5 * seconds
        chosen = self.random.sample(self.relays, max(1, len(self.relays) // 2))
        clients_each = int(IDLE_FRACTION * self.context.plan.descriptors)
        clients = [self._keep_connected(relay, until) for relay in chosen for _ in range(clients_each)]
        await asyncio.gather(*clients)

    async def _keep_connected(self, relay: Relay, until: float) -> None:
        """Connect, and reconnect whenever the relay closes the connection, until this time of the run."""
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        while self.context.now() < until:
            with suppress(OSError, TimeoutError):
                await self._hold_connection(relay, until)
            await asyncio.sleep(self.random.uniform(*RECONNECT_S))

    async def _hold_connection(self, relay: Relay, until: float) -> None:
        """Connect, send a partial line or nothing, and wait until the relay closes the connection."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.address), 1.0)
        try:
            first_bytes = self.random.choice(FIRST_BYTES)
            if not writer.is_closing():  # the relay may have closed the connection at once
                writer.write(first_bytes)
            remaining_s = max(0.0, until - self.context.now())
            await asyncio.wait_for(reader.read(), remaining_s)  # until the relay closes it
        finally:
            writer.close()
