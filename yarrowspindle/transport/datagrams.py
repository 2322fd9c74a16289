"""UDP sockets: a listening socket, and a socket for each path from a client's address to a backend."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from yarrowspindle.routing.address import Address

BIND_RETRY_S = 1.0  # while the address is in use
MAX_PENDING = 32  # datagrams queued until a path's socket is open


class UdpListener(asyncio.DatagramProtocol):
    """A UDP socket that is bound to a fixed address.

    Args:
        on_datagram: Receives each datagram with its sender's address.
    """

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    async def bind(self, listen: Address, reuse_port: bool = False) -> None:
        """Bind the socket.

        Args:
            listen: The host and port to bind to.
            reuse_port: Whether other processes may bind to the same address; the kernel deals the datagrams out then.

        Raises:
            OSError: The address is not available.
        """
        shared = True if reuse_port and hasattr(socket, "SO_REUSEPORT") else None
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=listen, reuse_port=shared)

    async def open(self, listen: Address, on_unavailable: Callable[[Exception], None]) -> None:
        """Bind the socket; retry while the address is in use, as the previous process may not have released it yet.

        Args:
            listen: The host and port to bind to.
            on_unavailable: Receives the first error, for example an address in use or an invalid address.
        """
        reported = False
        while True:
            try:
                await self.bind(listen)
                return
            except Exception as error:  # retried on any error: the caller waits for the socket
                if not reported:
                    on_unavailable(error)
                reported = True
                await asyncio.sleep(BIND_RETRY_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram to `on_datagram`."""
        self.on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a client's port is closed; its connection ids expire on their own."""

    def send(self, data: bytes, client: Address) -> None:
        """Send a datagram; drop it if the socket is not open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, client)


class BackendPath(asyncio.DatagramProtocol):
    """A path from one address of a client to one backend, with a socket of its own.

    When the client's address changes, the backend sees another source address and validates the new path (RFC 9000,
    section 9); its replies go to the client address that belongs to the path.

    Args:
        on_datagram: Receives each datagram of the backend; may close the path.
        on_refused: Called if the backend's port is closed; may close the path.
        client: The client's address.

    Attributes:
        pending: Datagrams queued until the socket is open.
        sent: The number of datagrams sent to the backend.
        last_used_at: The time at which the path was last used, in seconds of the event loop's clock.
    """

    def __init__(
        self,
        on_datagram: Callable[[BackendPath, bytes], None],
        on_refused: Callable[[BackendPath], None],
        client: Address,
    ) -> None:
        self.on_datagram, self.on_refused, self.client = on_datagram, on_refused, client
        self.transport: asyncio.DatagramTransport | None = None
        self.pending: list[bytes] = []
        self.sent = 0
        self.closed = False
        self.last_used_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and send the queued datagrams."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        if self.closed:
            self.transport.abort()
            return
        pending, self.pending = self.pending, []
        for data in pending:
            if not self.closed:  # the previous one may have been refused at once, which may close the path
                self._send_now(self.transport, data)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram to `on_datagram`."""
        if not self.closed:
            self.on_datagram(self, data)

    def error_received(self, exc: Exception) -> None:
        """Report that the backend's port is closed."""
        if not self.closed:
            self.on_refused(self)

    def send(self, data: bytes) -> None:
        """Send a datagram to the backend, or queue it until the socket is open."""
        if self.closed:
            return
        if self.transport is not None:
            self._send_now(self.transport, data)
        elif len(self.pending) < MAX_PENDING:
            self.pending.append(data)

    def _send_now(self, transport: asyncio.DatagramTransport, data: bytes) -> None:
        # `sendto` may report that an earlier datagram was refused, instead of sending this one.
        transport.sendto(data)
        self.sent += 1

    def close(self) -> None:
        """Close the socket. Nothing more is reported."""
        self.closed = True
        self.pending.clear()
        if self.transport is not None:
            self.transport.abort()
