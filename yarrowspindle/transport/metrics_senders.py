"""Where metrics are sent: a Graphite receiver over TCP, a collectd receiver over UDP.

A receiver that is slow or lost costs nothing but its own values: what it has not taken is discarded.
"""

from __future__ import annotations

import asyncio
from typing import cast

from yarrowspindle.routing.address import Address
from yarrowspindle.transport.connector import ConnectFailure, Connector

CONNECT_TIMEOUT_S = 2.0
MIN_BACKOFF_S, MAX_BACKOFF_S = 1.0, 60.0
MAX_UNSENT_BYTES = 1 << 16


class TcpMetricsSender(asyncio.Protocol):
    """One TCP receiver; connects when there is something to send, with a backoff after a failure.

    Attributes:
        retry_at: seconds of the event loop from which on it may connect again.
        backoff_s: the next pause.
        discarded_reports: how many reports were.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.connector: Connector | None = None
        self.retry_at, self.backoff_s = 0.0, MIN_BACKOFF_S
        self.discarded_reports = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.connector = None
        self.backoff_s = MIN_BACKOFF_S

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the transport."""
        self.transport = None

    def send(self, data: bytes) -> None:
        """Sends a report, or discards it and connects."""
        loop = asyncio.get_running_loop()
        if self.transport is not None and self.transport.get_write_buffer_size() + len(data) <= MAX_UNSENT_BYTES:
            self.transport.write(data)
            return
        self.discarded_reports += 1
        if self.transport is not None:  # it takes nothing any more
            self.transport.abort()
        elif self.connector is None and loop.time() >= self.retry_at:
            self.connector = Connector(self, self.address, self._on_connect_failure)
            self.connector.start(CONNECT_TIMEOUT_S)

    def _on_connect_failure(self, failure: ConnectFailure) -> None:
        self.connector = None
        self.retry_at = asyncio.get_running_loop().time() + self.backoff_s
        self.backoff_s = min(2.0 * self.backoff_s, MAX_BACKOFF_S)


class UdpMetricsSender(asyncio.DatagramProtocol):
    """One UDP receiver."""

    def __init__(self) -> None:
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there just now."""

    def send(self, data: bytes) -> None:
        """Sends a report."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data)
