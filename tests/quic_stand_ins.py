"""Stand-ins for QUIC backends and clients, built on aioquic over loopback, for the tests of the QUIC front."""

from __future__ import annotations

import asyncio
import datetime
import ssl
from functools import cache
from typing import Any, cast

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from tests.ports import free_port
from yarrowspindle.protocol import quic
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.context import backend_id

ID_KEY, RESET_KEY = bytes(range(16)), bytes(range(16, 48))
IDS = quic.ConnectionIdCodec(ID_KEY)


@cache
def certificate() -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
    """Return a self-signed certificate and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "node.test")])
    start = datetime.datetime(2020, 1, 1)
    builder = x509.CertificateBuilder().subject_name(name).issuer_name(name).public_key(key.public_key())
    builder = builder.serial_number(1).not_valid_before(start).not_valid_after(start.replace(year=2120))
    return builder.sign(key, hashes.SHA256()), key


class QuicEndpoint(asyncio.DatagramProtocol):
    """A UDP socket that carries QUIC connections: it sends their datagrams and runs their timers."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.timers: dict[QuicConnection, asyncio.TimerHandle] = {}

    async def open(self, port: int = 0) -> Address:
        """Bind the socket to a port, or to a free one, and return its address."""
        address = ("127.0.0.1", port or free_port())
        transport, _ = await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)
        return cast(Address, transport.get_extra_info("sockname"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        for timer in self.timers.values():
            timer.cancel()

    def flush(self, connection: QuicConnection) -> None:
        """Handle the pending events of a connection, send its pending datagrams, and set its timer anew."""
        event = connection.next_event()
        while event is not None:
            self.handle_event(connection, event)
            event = connection.next_event()
        for data, address in connection.datagrams_to_send(self.loop.time()):
            if self.transport is not None and not self.transport.is_closing():
                self.transport.sendto(data, address)
        if connection in self.timers:
            self.timers.pop(connection).cancel()
        deadline = connection.get_timer()
        if deadline is not None:
            self.timers[connection] = self.loop.call_at(deadline, self._on_timer, connection)

    def _on_timer(self, connection: QuicConnection) -> None:
        connection.handle_timer(self.loop.time())
        self.flush(connection)

    def handle_event(self, connection: QuicConnection, event: events.QuicEvent) -> None:
        raise NotImplementedError


class BackendConnection(QuicConnection):
    """A backend's connection whose connection ids encode the backend and the connection's number there.

    The relay decodes these ids to forward datagrams to the right backend.
    """

    def __init__(self, server: int, number: int, **options: Any) -> None:
        super().__init__(**options)
        self.server, self.number = server, number
        self._host_cids = [self._connection_id(0)]
        self.host_cid = self._local_initial_source_connection_id = self._host_cids[0].cid

    def _connection_id(self, sequence: int) -> QuicConnectionId:
        cid = IDS.encode(self.server, self.number, sequence)
        return QuicConnectionId(cid, sequence, quic.reset_token(RESET_KEY, cid))

    def _replenish_connection_ids(self) -> None:
        while len(self._host_cids) < min(8, self._remote_active_connection_id_limit):
            self._host_cids.append(self._connection_id(self._host_cid_seq))
            self._host_cid_seq += 1


class QuicBackend(QuicEndpoint):
    """A backend that echoes stream data with its own name before it.

    Args:
        name: Name of the backend.
        answers: Whether it answers datagrams at all.
        refuses: Whether it refuses each new connection, with CONNECTION_REFUSED.
    """

    def __init__(self, name: str, answers: bool = True, refuses: bool = False) -> None:
        super().__init__()
        self.name, self.answers, self.refuses = name, answers, refuses
        self.configuration = QuicConfiguration(
            is_client=False, alpn_protocols=["t"], connection_id_length=quic.CONNECTION_ID_BYTES
        )
        self.configuration.certificate, self.configuration.private_key = certificate()
        self.connections: dict[int, BackendConnection] = {}
        self.connections_by_initial_id: dict[bytes, BackendConnection] = {}
        self.initials_received = 0

    def datagram_received(self, data: bytes, addr: Address) -> None:
        header = quic.parse_header(data)
        decoded_id = IDS.decode(header.destination)
        connection = (
            self.connections.get(decoded_id[1])
            if decoded_id
            else self.connections_by_initial_id.get(header.destination)
        )
        if connection is None and not header.short:
            self.initials_received += 1
            if self.refuses and self.transport is not None:
                close = quic.initial_close(
                    header.version, header.destination, header.source, quic.CONNECTION_REFUSED, "full"
                )
                self.transport.sendto(close, addr)
            if self.refuses or not self.answers:
                return
            number = len(self.connections) + 1
            connection = BackendConnection(
                backend_id(self.name),
                number,
                configuration=self.configuration,
                original_destination_connection_id=header.destination,
            )
            self.connections[number] = self.connections_by_initial_id[header.destination] = connection
        if connection is not None and self.answers:
            connection.receive_datagram(data, addr, self.loop.time())
            self.flush(connection)

    def handle_event(self, connection: QuicConnection, event: events.QuicEvent) -> None:
        if isinstance(event, events.StreamDataReceived):
            connection.send_stream_data(event.stream_id, self.name.encode() + b":" + event.data)


class QuicClient(QuicEndpoint):
    """A client with one connection to the relay, which keeps the data and the datagrams that it receives."""

    def __init__(self, relay: Address) -> None:
        super().__init__()
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=["t"], verify_mode=ssl.CERT_NONE, server_name="node.test"
        )
        self.connection, self.relay = QuicConnection(configuration=configuration), relay
        self.stream = 0
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.terminated: asyncio.Future[events.ConnectionTerminated] = self.loop.create_future()
        self.established: asyncio.Future[None] = self.loop.create_future()
        self.reset: asyncio.Future[None] = self.loop.create_future()  # done on a Stateless Reset with the right token
        self.datagrams: list[bytes] = []
        self.first_flight: list[bytes] = []

    async def start(self) -> QuicClient:
        """Bind the socket and start the handshake."""
        await self.open()
        self.connection.connect(self.relay, self.loop.time())
        self.first_flight = [data for data, _ in self.connection.datagrams_to_send(self.loop.time())]
        self.send_first_flight()
        self.flush(self.connection)
        return self

    def send_first_flight(self) -> None:
        """Send the datagrams of the first flight; a second call duplicates them."""
        for data in self.first_flight:
            self.send_datagram(data)

    def send_datagram(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.sendto(data, self.relay)

    async def rebind(self) -> None:
        """Continue the connection from a new port, as when a phone changes networks."""
        assert self.transport is not None
        self.transport.abort()
        await self.open()

    async def exchange(self, data: bytes) -> bytes:
        """Send data on the stream, and return the next data received."""
        self.connection.send_stream_data(self.stream, data)
        self.flush(self.connection)
        return await asyncio.wait_for(self.received.get(), 5.0)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.datagrams.append(data)
        token = quic.reset_token(RESET_KEY, self.connection._peer_cid.cid)
        if not data[0] & 0x80 and data.endswith(token) and not self.reset.done():
            assert token == self.connection._peer_cid.stateless_reset_token
            self.reset.set_result(None)
            return
        self.connection.receive_datagram(data, addr, self.loop.time())
        close = self.connection._close_event  # aioquic reports it as an event only after the closing period
        if close is not None and not self.terminated.done():
            self.terminated.set_result(close)
        self.flush(self.connection)

    def handle_event(self, connection: QuicConnection, event: events.QuicEvent) -> None:
        if isinstance(event, events.StreamDataReceived):
            self.received.put_nowait(event.data)
        elif isinstance(event, events.HandshakeCompleted):
            self.established.set_result(None)
