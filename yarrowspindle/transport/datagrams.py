"""Datagrams: the front's own socket, and one socket for each path from a client's address to a node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from yarrowspindle.routing.address import Address

AGAIN_S = 1.0  # an address that is taken is tried again
PENDING = 32  # datagrams kept until a path's socket is there


class Front(asyncio.DatagramProtocol):
    def __init__(self, came: Callable[[bytes, Address], None]) -> None:
        self.came = came
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, listen: Address, taken: Callable[[Exception], None]) -> None:
        """Until the address can be had: the process before this one may still have it. taken: told once why not, also
        where the address makes no sense."""
        said = False
        while True:
            try:
                await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=listen)
                return
            except Exception as error:  # whatever it is, somebody waits for the socket
                if not said:
                    taken(error)
                said = True
                await asyncio.sleep(AGAIN_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.came(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A client's port is closed; its ids expire by themselves."""

    def send(self, data: bytes, client: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, client)


class Path(asyncio.DatagramProtocol):
    """From one address of a client to one node. The node sees another address when the client's changes, and
    checks it as RFC 9000 section 9 has it; answers go to the address that they were meant for."""

    def __init__(self, came: Callable[[Path, bytes], None], refused: Callable[[Path], None], client: Address) -> None:
        self.came, self.refused, self.client = came, refused, client
        self.transport: asyncio.DatagramTransport | None = None
        self.pending: list[bytes] = []
        self.closed = False
        self.used = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        if self.closed:
            self.transport.abort()
            return
        pending, self.pending = self.pending, []
        for data in pending:
            if not self.closed:  # the event loop may report at once that one was refused
                self.transport.sendto(data)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if not self.closed:
            self.came(self, data)

    def error_received(self, exc: Exception) -> None:
        if not self.closed:
            self.refused(self)

    def send(self, data: bytes) -> None:
        if self.closed:
            return
        if self.transport is not None:
            self.transport.sendto(data)
        elif len(self.pending) < PENDING:
            self.pending.append(data)

    def close(self) -> None:
        self.closed = True
        self.pending.clear()
        if self.transport is not None:
            self.transport.abort()
