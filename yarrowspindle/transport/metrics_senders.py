"""Senders of metrics: over TCP to a Graphite server, over UDP to a collectd server.

A slow or unreachable server has no effect other than the loss of metrics: reports that cannot be sent are discarded.
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
    """Sender of reports over TCP; connects when there is something to send, with a backoff after a failure.

    Attributes:
        retry_at: The earliest time of the next connect, in seconds of the event loop's clock.
        backoff_s: The pause in seconds after the next failure.
        discarded_reports: The number of discarded reports.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.connector: Connector | None = None
        self.retry_at, self.backoff_s = 0.0, MIN_BACKOFF_S
        self.discarded_reports = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and reset the backoff."""
        self.transport = cast(asyncio.Transport, transport)
        self.connector = None
        self.backoff_s = MIN_BACKOFF_S

    def connection_lost(self, exc: Exception | None) -> None:
        """Clear the transport."""
        self.transport = None

    def send(self, data: bytes) -> None:
        """Send a report; without a connection that has room for it, discard it and connect or reconnect."""
        loop = asyncio.get_running_loop()
        if self.transport is not None and self.transport.get_write_buffer_size() + len(data) <= MAX_UNSENT_BYTES:
            self.transport.write(data)
            return
        self.discarded_reports += 1
        if self.transport is not None:  # the server does not keep up
            self.transport.abort()
        elif self.connector is None and loop.time() >= self.retry_at:
            self.connector = Connector(self, self.address, self._on_connect_failure)
            self.connector.start(CONNECT_TIMEOUT_S)

    def _on_connect_failure(self, failure: ConnectFailure) -> None:
        self.connector = None
        self.retry_at = asyncio.get_running_loop().time() + self.backoff_s
        self.backoff_s = min(2.0 * self.backoff_s, MAX_BACKOFF_S)


class UdpMetricsSender(asyncio.DatagramProtocol):
    """Sender of reports over UDP."""

    def __init__(self) -> None:
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore that the server's port is closed."""

    def send(self, data: bytes) -> None:
        """Send a report."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data)
