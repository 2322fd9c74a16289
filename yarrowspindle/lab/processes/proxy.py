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
MAX_HELD = 1 << 20  # bytes that wait in a connection that is cut


class DatagramProxy(asyncio.DatagramProtocol):
    """The address at which the others reach one relay. Who sends is told by the address that it listens at, which is
    the one that it sends from."""

    def __init__(
        self,
        target: str,
        inside: Address,
        parties: dict[Address, str],
        faulty_network: FaultyNetwork,
        seen: Callable[[str, str, bytes, int], None],
    ) -> None:
        self.target = target
        self.inside = inside
        self.parties = parties
        self.faulty_network = faulty_network
        self.seen = seen
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.out, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(address[0], 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        source = self.parties.get((addr[0], addr[1]), "stranger")
        copies = self.faulty_network.deliveries(source, self.target, data)
        self.seen(source, self.target, data, len(copies))
        for late_ms, copy in copies:
            if late_ms > 0.0:
                asyncio.get_running_loop().call_later(late_ms / 1000.0, self._pass, copy)
            else:
                self._pass(copy)

    def _pass(self, data: bytes) -> None:
        if not self.out.is_closing():
            self.out.sendto(data, self.inside)

    def error_received(self, exc: Exception) -> None:
        """The relay is dead just now."""

    def close(self) -> None:
        for transport in (self.transport, self.out):
            if transport is not None:
                transport.close()


class Views:
    """The digest of members that a datagram's sender has, where it says so."""

    def __init__(self) -> None:
        self.unseal = msgspec.msgpack.Decoder(ChecksummedDatagram).decode
        self.decode = msgspec.msgpack.Decoder(Datagram).decode

    def of(self, data: bytes) -> int | None:
        try:
            body = self.decode(bytes(self.unseal(data).datagram)).body
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
            return None
        return body.view_digest if isinstance(body, Ping | Ack) else None


class Pipe:
    """One connection through a proxy."""

    __slots__ = ("proxy", "near", "far", "first", "request", "over")

    def __init__(self, proxy: TcpProxy, near: asyncio.StreamWriter) -> None:
        self.proxy, self.near = proxy, near
        self.far: asyncio.StreamWriter | None = None
        self.first, self.request = b"", ""
        self.over = False  # the relay's side has ended


class TcpProxy:
    """The address at which one party (a relay) reaches another (a node, the machine list).

    While the way is cut, connections that stand are silent, both ways and for good; new ones never come up. `hears`
    is given each whole line from the relay; `ended` the end of the relay's side; `said` what reached the relay."""

    def __init__(self, source: str, target: str, inside: Address, faulty_network: FaultyNetwork) -> None:
        self.source, self.target, self.inside, self.faulty_network = source, target, inside, faulty_network
        self.server: asyncio.Server | None = None
        self.pipes: set[Pipe] = set()
        self.hears: Callable[[Pipe, bytes], None] = lambda pipe, line: None
        self.ended: Callable[[Pipe], None] = lambda pipe: None
        self.said: Callable[[Pipe, bytes], None] = lambda pipe, data: None

    async def open(self, address: Address) -> None:
        self.server = await asyncio.start_server(self._take, *address, backlog=256)

    @property
    def cut(self) -> bool:
        network = self.faulty_network
        return network.is_cut(self.source, self.target) or network.is_cut(self.target, self.source)

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.pipes) >= MAX_CONNECTIONS:
            writer.close()
            return
        pipe = Pipe(self, writer)
        self.pipes.add(pipe)
        try:
            far_reader = None
            if not self.cut:
                try:
                    far_reader, pipe.far = await asyncio.open_connection(*self.inside)
                except OSError:
                    writer.transport.abort()  # nobody listens there: what came up here breaks at once
                    return
            back = asyncio.ensure_future(self._back(pipe, far_reader)) if far_reader is not None else None
            try:
                await self._forth(pipe, reader)
            finally:
                pipe.over = True
                self.ended(pipe)
                if back is not None and not self.cut:
                    await asyncio.wait([back], timeout=0.05)
                if back is not None:
                    back.cancel()
        finally:
            self.pipes.discard(pipe)
            for end in (pipe.near, pipe.far):
                if end is not None:
                    end.close()

    async def _forth(self, pipe: Pipe, reader: asyncio.StreamReader) -> None:
        """From the relay on. A connection that was cut once stays silent: its bytes are not made up for."""
        silent = pipe.far is None
        while True:
            try:
                data = await reader.read(65_536)
            except ConnectionError:
                break
            if not data:
                break
            silent = silent or self.cut
            if silent or pipe.far is None:
                continue
            pipe.first += data
            while b"\n" in pipe.first:
                line, _, pipe.first = pipe.first.partition(b"\n")
                self.hears(pipe, line)
            pipe.first = pipe.first[-MAX_HELD:]
            pipe.far.write(data)
        if pipe.far is not None and not silent:
            try:
                pipe.far.write_eof()
            except (OSError, RuntimeError):
                pass

    async def _back(self, pipe: Pipe, reader: asyncio.StreamReader) -> None:
        while True:
            try:
                data = await reader.read(65_536)
            except ConnectionError:
                if not self.cut:
                    pipe.near.transport.abort()
                return
            if self.cut:
                await asyncio.Event().wait()  # silent from here on
            if not data:
                try:
                    pipe.near.write_eof()
                except (OSError, RuntimeError):
                    pass
                return
            pipe.near.write(data)
            self.said(pipe, data)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for pipe in list(self.pipes):
            pipe.near.transport.abort()
