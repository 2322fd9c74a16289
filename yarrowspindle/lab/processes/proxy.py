"""Proxies between the processes of a run, which apply the active faults to all datagrams and connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from yarrowspindle.lab.faults import FaultyNetwork
from yarrowspindle.membership.messages import Ack, ChecksummedDatagram, Datagram, Ping
from yarrowspindle.routing.address import Address

MAX_CONNECTIONS = 4096
MAX_PARTIAL_LINE_BYTES = 1 << 20  # older bytes of a longer unfinished line are discarded


class DatagramProxy(asyncio.DatagramProtocol):
    """A proxy that forwards datagrams to one relay. Other participants reach the relay only at the proxy's address.

    A participant sends from the address that it listens at, which identifies the source of a datagram.

    Args:
        target: name of the relay.
        relay_address: address at which the relay listens.
        names_by_address: names of the participants by the addresses that they send from.
        faulty_network: decides which datagrams arrive and when.
        on_datagram: called for each datagram with its source, its target, its data and the number of delivered copies.
    """

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
        """Start forwarding datagrams that arrive at this address."""
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
        """Ignore errors: the relay's process may have ended."""

    def close(self) -> None:
        for transport in (self.transport, self.sender):
            if transport is not None:
                transport.close()


class DigestReader:
    """Reader of the digest of members in datagrams that contain one."""

    def __init__(self) -> None:
        self.decode_checksummed = msgspec.msgpack.Decoder(ChecksummedDatagram).decode
        self.decode_datagram = msgspec.msgpack.Decoder(Datagram).decode

    def read(self, data: bytes) -> int | None:
        """Return the sender's digest of members, None if the datagram has none or cannot be decoded."""
        try:
            body = self.decode_datagram(bytes(self.decode_checksummed(data).datagram)).body
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
            return None
        return body.view_digest if isinstance(body, Ping | Ack) else None


class ProxiedConnection:
    """One connection through a proxy.

    Attributes:
        proxy: the proxy.
        relay_writer: writes to the relay.
        server_writer: writes to the server; None if there is no connection to it.
        partial_line: data from the relay after the last complete line.
        request: id of the request that was sent on the connection; empty before.
        relay_closed: whether the relay has ended its side.
    """

    __slots__ = ("proxy", "relay_writer", "server_writer", "partial_line", "request", "relay_closed")

    def __init__(self, proxy: TcpProxy, relay_writer: asyncio.StreamWriter) -> None:
        self.proxy, self.relay_writer = proxy, relay_writer
        self.server_writer: asyncio.StreamWriter | None = None
        self.partial_line, self.request = b"", ""
        self.relay_closed = False


class TcpProxy:
    """A proxy that forwards connections from a relay to a server: a backend or the endpoint list.

    During a partition, established connections carry no data and new ones are accepted but not forwarded. Data sent
    during a partition is lost, so that direction of the connection forwards nothing more after the partition either.

    Args:
        source: name of the relay.
        target: name of the server.
        server_address: address at which the server listens.
        faulty_network: knows the active partitions.

    Attributes:
        on_line: called with each complete line from the relay that is forwarded.
        on_end: called when the relay has ended its side of a connection.
        on_response: called with all data that was written to the relay.
    """

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
        """Listen at this address."""
        self.server = await asyncio.start_server(self._accept, *address, backlog=256)

    @property
    def is_blocked(self) -> bool:
        """Whether a partition blocks the traffic in either direction."""
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
                    writer.transport.abort()  # the server does not listen: reset the relay's connection at once
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
        """Forward data from the relay to the server.

        A connection that was blocked once forwards no more data, as the bytes sent meanwhile are lost.
        """
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
        """Forward data from the server to the relay until the connection is blocked or ends."""
        while True:
            try:
                data = await reader.read(65_536)
            except ConnectionError:
                if not self.is_blocked:
                    connection.relay_writer.transport.abort()
                return
            if self.is_blocked:
                await asyncio.Event().wait()  # forwards no more data; ends when the task is cancelled
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
