"""Datagrams: a listening socket, and one socket for each path from a client's address to a backend."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from yarrowspindle.routing.address import Address

BIND_RETRY_S = 1.0  # an address that is in use is tried again
MAX_PENDING = 32  # datagrams kept until a path's socket is there


class UdpListener(asyncio.DatagramProtocol):
    """A listening socket.

    Args:
        on_datagram: is given each datagram with its sender's address.
    """

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, listen: Address, on_unavailable: Callable[[Exception], None]) -> None:
        """Returns once it listens: the process before this one may still have the address.

        on_unavailable: is given once why it does not yet, also where the address makes no sense.
        """
        reported = False
        while True:
            try:
                await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=listen)
                return
            except Exception as error:  # whatever it is, somebody waits for the socket
                if not reported:
                    on_unavailable(error)
                reported = True
                await asyncio.sleep(BIND_RETRY_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Passes a datagram on."""
        self.on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A client's port is closed; its ids expire by themselves."""

    def send(self, data: bytes, client: Address) -> None:
        """Sends a datagram, unless the socket is not open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, client)


class BackendPath(asyncio.DatagramProtocol):
    """From one address of a client to one backend.

    The backend sees another address when the client's changes, and checks it as RFC 9000 section 9 has it; answers go
    to the address that they were meant for.

    Args:
        on_datagram: is given each of the backend's datagrams. It may close the path, as may:
        on_refused: called where the backend's port is closed.
        client: the client's address.

    Attributes:
        pending: what waits for the socket.
        last_used_at: seconds of the event loop at which the path was used last.
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
        self.closed = False
        self.last_used_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends what waits for the socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        if self.closed:
            self.transport.abort()
            return
        pending, self.pending = self.pending, []
        for data in pending:
            if not self.closed:  # the event loop may report at once that one was refused
                self.transport.sendto(data)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Passes a datagram on."""
        if not self.closed:
            self.on_datagram(self, data)

    def error_received(self, exc: Exception) -> None:
        """Reports that the backend's port is closed."""
        if not self.closed:
            self.on_refused(self)

    def send(self, data: bytes) -> None:
        """Sends a datagram to the backend, as soon as the socket is open."""
        if self.closed:
            return
        if self.transport is not None:
            self.transport.sendto(data)
        elif len(self.pending) < MAX_PENDING:
            self.pending.append(data)

    def close(self) -> None:
        """Closes the socket; nothing more is reported."""
        self.closed = True
        self.pending.clear()
        if self.transport is not None:
            self.transport.abort()
