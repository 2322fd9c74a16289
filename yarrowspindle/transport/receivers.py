"""Where counts are sent to: a Graphite receiver over TCP, a collectd receiver over UDP.

A receiver that is slow or lost costs nothing but its own values: what it has not taken is thrown away.
"""

from __future__ import annotations

import asyncio
from typing import cast

from yarrowspindle.routing.address import Address
from yarrowspindle.transport.connecting import ConnectFailure, Connecting

CONNECT_S = 2.0
MIN_AGAIN_S, MAX_AGAIN_S = 1.0, 60.0
MAX_UNSENT = 1 << 16


class Receiver(asyncio.Protocol):
    """One TCP receiver; connects when there is something to send, again with growing waits after a failure."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.connecting: Connecting | None = None
        self.again_at, self.wait = 0.0, MIN_AGAIN_S
        self.lost = 0  # reports thrown away

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connecting = None
        self.wait = MIN_AGAIN_S

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def send(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        if self.transport is not None and self.transport.get_write_buffer_size() + len(data) <= MAX_UNSENT:
            self.transport.write(data)
            return
        self.lost += 1
        if self.transport is not None:  # it takes nothing any more
            self.transport.abort()
        elif self.connecting is None and loop.time() >= self.again_at:
            self.connecting = Connecting(self, self.address, self._unreached)
            self.connecting.start(CONNECT_S)

    def _unreached(self, failure: ConnectFailure) -> None:
        self.connecting = None
        self.again_at = asyncio.get_running_loop().time() + self.wait
        self.wait = min(2.0 * self.wait, MAX_AGAIN_S)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there just now."""

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data)
