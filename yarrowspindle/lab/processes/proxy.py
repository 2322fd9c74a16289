"""What stands between the processes: every datagram and every connection passes here, and the faults are put on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from yarrowspindle.lab.faults import FaultyNetwork
from yarrowspindle.membership.messages import Ack, ChecksummedDatagram, Datagram, Ping
from yarrowspindle.routing.address import Address

MAX_CONNECTIONS = 4096
MAX_PARTIAL_LINE_BYTES = 1 << 20  # bytes that wait in a connection that is cut


class DatagramProxy(asyncio.DatagramProtocol):
    """The address at which the others reach one relay. Who sends is told by the address that it listens at, which is
    the one that it sends from."""

    def __init__(
        self,
        target: str,
        relay_address: Address,
        names_by_address: dict[Address, str],
        faulty_network: FaultyNetwork,
        on_datagram: Callable[[str, str, bytes, int], None],
    ) -> None:
        self.target = target
        self.relay_address = relay_address
        self.names_by_address = names_by_address
        self.faulty_network = faulty_network
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(address[0], 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        source = self.names_by_address.get((addr[0], addr[1]), "stranger")
        copies = self.faulty_network.deliveries(source, self.target, data)
        self.on_datagram(source, self.target, data, len(copies))
        for delay_ms, copy in copies:
            if delay_ms > 0.0:
                asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._send, copy)
            else:
                self._send(copy)

    def _send(self, data: bytes) -> None:
        if not self.sender.is_closing():
            self.sender.sendto(data, self.relay_address)

    def error_received(self, exc: Exception) -> None:
        """The relay is dead just now."""

    def close(self) -> None:
        for transport in (self.transport, self.sender):
            if transport is not None:
                transport.close()


class DigestReader:
    """The digest of members that a datagram's sender has, where it says so."""

    def __init__(self) -> None:
        self.decode_checksummed = msgspec.msgpack.Decoder(ChecksummedDatagram).decode
        self.decode_datagram = msgspec.msgpack.Decoder(Datagram).decode

    def read(self, data: bytes) -> int | None:
        try:
            body = self.decode_datagram(bytes(self.decode_checksummed(data).datagram)).body
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
            return None
        return body.view_digest if isinstance(body, Ping | Ack) else None


class ProxiedConnection:
    """One connection through a proxy."""

    __slots__ = ("proxy", "relay_writer", "server_writer", "partial_line", "request", "relay_closed")

    def __init__(self, proxy: TcpProxy, relay_writer: asyncio.StreamWriter) -> None:
        self.proxy, self.relay_writer = proxy, relay_writer
        self.server_writer: asyncio.StreamWriter | None = None
        self.partial_line, self.request = b"", ""
        self.relay_closed = False  # the relay's side has ended


class TcpProxy:
    """The address at which one party (a relay) reaches another (a node, the machine list).

    While the way is cut, connections that stand are silent, both ways and for good; new ones never come up. `hears`
    is given each whole line from the relay; `ended` the end of the relay's side; `said` what reached the relay."""

    def __init__(self, source: str, target: str, server_address: Address, faulty_network: FaultyNetwork) -> None:
        self.source, self.target, self.server_address, self.faulty_network = (
            source,
            target,
            server_address,
            faulty_network,
        )
        self.server: asyncio.Server | None = None
        self.connections: set[ProxiedConnection] = set()
        self.on_line: Callable[[ProxiedConnection, bytes], None] = lambda connection, line: None
        self.on_end: Callable[[ProxiedConnection], None] = lambda connection: None
        self.on_response: Callable[[ProxiedConnection, bytes], None] = lambda connection, data: None

    async def open(self, address: Address) -> None:
        self.server = await asyncio.start_server(self._accept, *address, backlog=256)

    @property
    def is_blocked(self) -> bool:
        network = self.faulty_network
        return network.is_cut(self.source, self.target) or network.is_cut(self.target, self.source)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            writer.close()
            return
        connection = ProxiedConnection(self, writer)
        self.connections.add(connection)
        try:
            server_reader = None
            if not self.is_blocked:
                try:
                    server_reader, connection.server_writer = await asyncio.open_connection(*self.server_address)
                except OSError:
                    writer.transport.abort()  # nobody listens there: what came up here breaks at once
                    return
            response_task = (
                asyncio.ensure_future(self._copy_to_relay(connection, server_reader))
                if server_reader is not None
                else None
            )
            try:
                await self._copy_to_server(connection, reader)
            finally:
                connection.relay_closed = True
                self.on_end(connection)
                if response_task is not None and not self.is_blocked:
                    await asyncio.wait([response_task], timeout=0.05)
                if response_task is not None:
                    response_task.cancel()
        finally:
            self.connections.discard(connection)
            for end in (connection.relay_writer, connection.server_writer):
                if end is not None:
                    end.close()

    async def _copy_to_server(self, connection: ProxiedConnection, reader: asyncio.StreamReader) -> None:
        """From the relay on. A connection that was cut once stays silent: its bytes are not made up for."""
        silent = connection.server_writer is None
        while True:
            try:
                data = await reader.read(65_536)
            except ConnectionError:
                break
            if not data:
                break
            silent = silent or self.is_blocked
            if silent or connection.server_writer is None:
                continue
            connection.partial_line += data
            while b"\n" in connection.partial_line:
                line, _, connection.partial_line = connection.partial_line.partition(b"\n")
                self.on_line(connection, line)
            connection.partial_line = connection.partial_line[-MAX_PARTIAL_LINE_BYTES:]
            connection.server_writer.write(data)
        if connection.server_writer is not None and not silent:
            try:
                connection.server_writer.write_eof()
            except (OSError, RuntimeError):
                pass

    async def _copy_to_relay(self, connection: ProxiedConnection, reader: asyncio.StreamReader) -> None:
        while True:
            try:
                data = await reader.read(65_536)
            except ConnectionError:
                if not self.is_blocked:
                    connection.relay_writer.transport.abort()
                return
            if self.is_blocked:
                await asyncio.Event().wait()  # silent from here on
            if not data:
                try:
                    connection.relay_writer.write_eof()
                except (OSError, RuntimeError):
                    pass
                return
            connection.relay_writer.write(data)
            self.on_response(connection, data)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.relay_writer.transport.abort()
