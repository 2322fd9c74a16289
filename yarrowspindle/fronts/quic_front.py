"""The QUIC front: forwards QUIC connections by connection id, driven by the same reducer as the line front.

The first Initial packet with an unknown destination connection id is a request. Later datagrams are forwarded by their
id to the backend of the connection, from any client address (RFC 9000, sections 5.1 and 9).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from aioquic.quic.packet import QuicPacketType
from loguru import logger

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.fronts.forwarded_datagram import ForwardedDatagram
from yarrowspindle.fronts.quic_flow import NO_ATTEMPT, Flow, FlowTable
from yarrowspindle.protocol import quic
from yarrowspindle.protocol.quic import ConnectionKey, Header, PacketError
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.context import backend_id
from yarrowspindle.routing.effects import (
    AbortAttempt,
    BackendRemoved,
    CloseClientConnection,
    Effect,
    FailRequest,
    ForwardRequest,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import AttemptEnded, BackendAccepted, BackendConnected, RequestReceived
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.transport.datagrams import BackendPath, UdpListener
from yarrowspindle.transport.inactivity_timer import InactivityTimer
from yarrowspindle.transport.process_link import Kind

if TYPE_CHECKING:
    from yarrowspindle.daemon.operator_config import QuicConfig
    from yarrowspindle.daemon.relay_service import RelayService

MAX_FIRST_FLIGHT_DATAGRAMS = 8  # of the client, kept until the connection is established
MAX_PENDING_DATAGRAMS = 16  # of the backend, held back until the connection is established
MIN_CONNECTION_ID_BYTES = 8  # minimum length of the first destination connection id (RFC 9000, section 7.2)
# A backend is unresponsive if it leaves at least this many datagrams unanswered for at least this time.
UNRESPONSIVE_S = 5.0
UNRESPONSIVE_DATAGRAMS = 4
PATH_IDLE_S = 10.0  # after which the path of a former client address is closed
SWEEP_INTERVAL_S = 0.5


class QuicFront:
    """The UDP socket for clients and all QUIC connections over it.

    Args:
        service: the relay.
        config: the section [quic] of the operator's file.
    """

    def __init__(self, service: RelayService, config: QuicConfig) -> None:
        self.service = service
        self.config = config
        self.ids = quic.ConnectionIdCodec(config.id_key)
        self.client_socket = UdpListener(self.on_client_datagram)
        self.table = FlowTable(config.max_connections, config.idle_s)
        self.counts: Counter[str] = Counter()
        self.loop = asyncio.get_running_loop()
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            OpenBackendConnection: self._open_backend_connection,
            ForwardRequest: self._forward_request,
            AbortAttempt: self._abort_attempt,
            StartRelaying: self._start_relaying,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            MigrateConnection: self._migrate_connection,
            CloseClientConnection: self._close_client_connection,
            BackendRemoved: self._backend_removed,
        }

    async def start(self) -> None:
        """Start listening, also beside another process of this relay.

        Raises:
            OSError: the address cannot be bound.
        """
        await self.client_socket.bind(self.config.listen, reuse_port=True)
        self.service.process_link.handlers[Kind.DATAGRAM] = self._on_other_process_datagram
        self.service.fronts.append(self)
        self.service.metrics.counter_sources["quic"] = self.counts
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        logger.info("QUIC is served at {}:{}", *self.config.listen)

    def carry_out(self, effect: Effect) -> None:
        """Carry out an effect on a request of this front, or the removal of a backend."""
        self.effect_handlers[type(effect)](effect)

    # --- datagrams of clients ---------------------------------------------------------------------

    def on_client_datagram(self, data: bytes, client: Address) -> None:
        """Forward a client's datagram by its connection id, or start a request for it."""
        self.counts["datagrams"] += 1
        try:
            header = quic.parse_header(data)
        except PacketError:
            self.counts["malformed"] += 1
            return
        if header.kind is None:
            self._negotiate_version(header, data, client)
            return
        if self._knows(header) or not self.service.process_link.connections:
            self._handle(header, data, client)
            return
        question = ForwardedDatagram(client, self.service.reducer.draining, data).encode()
        self.service.process_link.ask(
            Kind.DATAGRAM, question, lambda handled: None if handled else self._handle(header, data, client)
        )

    def _knows(self, header: Header) -> bool:
        """Return whether this process has, or had, the connection of this id."""
        flow, link = self._find(header)
        return flow is not None or header.destination in self.table.ended_ids or link in self.table.ended_ids

    def _on_other_process_datagram(self, body: bytes) -> bool:
        """Handle a datagram that the kernel dealt to another process of this relay; return False if it stays there.

        It belongs here if this process has the connection, or if the other one ends and this one serves.
        """
        try:
            forwarded = ForwardedDatagram.decode(body)
            header = quic.parse_header(forwarded.data)
        except (PacketError, ValueError):
            return False
        starts = header.kind is QuicPacketType.INITIAL and forwarded.sender_ends and self.service.ready()
        if not self._knows(header) and not starts:
            return False
        self.counts["from_other_process"] += 1
        self._handle(header, forwarded.data, forwarded.client)
        return True

    def _handle(self, header: Header, data: bytes, client: Address) -> None:
        flow, link = self._find(header)
        if flow is not None:
            self._forward(flow, header, data, client)
        elif link is not None:
            self._on_issued_id(link, header, data, client)
        elif header.kind is QuicPacketType.INITIAL:
            self._on_first_initial(header, data, client)
        else:
            self.counts["unknown_id"] += 1

    def _negotiate_version(self, header: Header, data: bytes, client: Address) -> None:
        if len(data) >= quic.MIN_INITIAL_DATAGRAM_BYTES:
            self.client_socket.send(quic.version_negotiation(header), client)
        self.counts["other_version"] += 1

    def _find(self, header: Header) -> tuple[Flow | None, ConnectionKey | None]:
        """Return the connection of this id, and the link that the id encodes if a backend issued it."""
        table = self.table
        flow = table.by_connection_id.get(header.destination)
        if flow is not None:
            return flow, None
        link = self.ids.decode(header.destination)
        if link is not None and (link in table.ended_ids or link in table.by_link or self._is_known_backend(link)):
            return table.by_link.get(link), link
        return None, None

    def _is_known_backend(self, link: ConnectionKey) -> bool:
        return link[0] in self.service.reducer.backends_by_number

    def _on_first_initial(self, header: Header, data: bytes, client: Address) -> None:
        """Start a request for an Initial with an unknown id, unless it was answered already or the table is full."""
        if len(data) < quic.MIN_INITIAL_DATAGRAM_BYTES or len(header.destination) < MIN_CONNECTION_ID_BYTES:
            self.counts["malformed"] += 1
        elif header.destination in self.table.ended_ids:
            self.counts["answered_before"] += 1  # the client has not received its answer yet; never send a second one
        elif self.table.is_full:
            self.counts["no_room"] += 1
        elif not self.table.may_begin(client):
            self.counts["too_many_pending"] += 1  # one client must not take the room of all others
        else:
            flow = self._new_flow(header, data, client)
            key = int.from_bytes(header.destination[:MIN_CONNECTION_ID_BYTES], "big")
            cls, deadline_ms = self._default_class()
            self.service.post(RequestReceived(flow.request, self.config.deadline_ms or deadline_ms, cls, key=key))

    def _default_class(self) -> tuple[int, float]:
        """Return the number and the deadline in milliseconds of the first request class in the current settings."""
        config = self.service.config
        number = next(iter(config.current_classes.values()), 0)
        return number, config.settings.classes[number].deadline_ms

    def _new_flow(self, header: Header, data: bytes, client: Address) -> Flow:
        request = self.service.new_request(self)
        now = self.loop.time()
        flow = Flow(request, header.destination, header.source, header.version, client, now, [data])
        self.table.add(flow)
        return flow

    def _on_issued_id(self, link: ConnectionKey, header: Header, data: bytes, client: Address) -> None:
        """Take over a connection that this relay does not know but whose id encodes its backend.

        Another relay handled it before, or this relay was restarted. The connection continues at its backend, even a
        draining one, until the backend is removed.
        """
        backend = self.service.reducer.backends_by_number.get(link[0])
        if link in self.table.ended_ids or backend is None or backend.state is EndpointState.GONE:
            self._send_stateless_reset(header.destination, len(data), client)
        elif self.table.is_full:
            self.counts["no_room"] += 1
        elif header.short:
            flow = self._new_flow(header, data, client)
            flow.last_connection_id = header.destination
            flow.last_datagram_bytes = len(data)
            self.table.set_link(flow, link)
            self.counts["taken_over"] += 1
            cls, deadline_ms = self._default_class()
            self.service.post(RequestReceived(flow.request, deadline_ms, cls, previous_backend=backend.name))
        else:
            self.counts["unknown_id"] += 1

    def _forward(self, flow: Flow, header: Header, data: bytes, client: Address) -> None:
        """Forward a client's datagram to the backend of its connection."""
        now = self.loop.time()
        flow.last_received_at = now
        flow.client_address = client
        if header.destination != flow.original_connection_id or (flow.link is not None and header.short):
            flow.last_connection_id = header.destination
            flow.last_datagram_bytes = len(data)
        if not flow.unanswered_datagrams:
            flow.unanswered_since = now
        flow.unanswered_datagrams += 1
        if (
            not flow.established
            and len(flow.first_flight) < MAX_FIRST_FLIGHT_DATAGRAMS
            and data not in flow.first_flight
        ):
            flow.first_flight.append(data)
        if flow.forwarding:
            self._path(flow, client).send(data)

    # --- datagrams of backends --------------------------------------------------------------------

    def _on_backend_datagram(self, flow: Flow, attempt: int, path: BackendPath, data: bytes) -> None:
        if flow.attempt != attempt or not self.table.contains(flow):
            return
        path.last_used_at = self.loop.time()
        flow.unanswered_datagrams = 0
        if flow.established:
            flow.last_received_at = path.last_used_at
            self.client_socket.send(data, path.client)
            return
        try:
            headers = quic.parse_datagram(data, len(flow.client_connection_id))
        except PacketError:
            self.counts["malformed_from_node"] += 1
            return
        self._on_handshake(flow, attempt, path, data, headers)

    def _on_handshake(self, flow: Flow, attempt: int, path: BackendPath, data: bytes, headers: list[Header]) -> None:
        """Handle a backend's datagram before the connection is established: a Retry, a refusal, or handshake data."""
        kinds = {header.kind for header in headers}
        if kinds <= {QuicPacketType.RETRY, QuicPacketType.VERSION_NEGOTIATION}:
            if QuicPacketType.RETRY in kinds:  # the client restarts its handshake with this backend and the new id
                flow.first_flight.clear()
                self.table.add_id(flow, headers[0].source)
            self.client_socket.send(data, path.client)
            return
        if kinds == {QuicPacketType.INITIAL}:
            code = quic.close_code(data, headers[0], flow.original_connection_id)
            if code is not None:  # not forwarded: another backend may still accept the request
                refused = code == quic.CONNECTION_REFUSED
                reason = TerminationReason.REJECTED if refused else TerminationReason.BACKEND_ERROR
                self.service.post(AttemptEnded(flow.request, attempt, reason))
                return
        if len(flow.pending_datagrams) < MAX_PENDING_DATAGRAMS:
            flow.pending_datagrams.append((path, data))
        if kinds & {QuicPacketType.HANDSHAKE, QuicPacketType.ONE_RTT}:
            self._record_connection_id(flow, headers)
            self.service.post(BackendAccepted(flow.request, attempt))

    def _record_connection_id(self, flow: Flow, headers: list[Header]) -> None:
        """Record the connection id that the backend chose and that the client will use from now on."""
        source = next((header.source for header in headers if not header.short and header.source), b"")
        link = self.ids.decode(source)
        if link is not None and link[0] == backend_id(flow.backend):
            self.table.set_link(flow, link)
        elif source:
            self.table.add_id(flow, source)

    def _on_port_closed(self, flow: Flow, attempt: int) -> None:
        """End the attempt because the backend's port is closed, which proves that one datagram did not arrive."""
        self._end_undelivered(flow, attempt, undelivered=1)

    def _end_undelivered(self, flow: Flow, attempt: int, undelivered: int) -> None:
        """End the attempt; it never ran if no datagram but the undelivered ones was sent to the backend."""
        if flow.attempt != attempt or not self.table.contains(flow):
            return
        may_have_run = flow.established or flow.sent_datagrams > undelivered
        reason = TerminationReason.CONNECTION_RESET if may_have_run else TerminationReason.CONNECT_FAILED
        self.service.post(AttemptEnded(flow.request, attempt, reason))

    # --- effects ----------------------------------------------------------------------------------

    def _open_backend_connection(self, effect: OpenBackendConnection) -> None:
        flow = self.table.flows[effect.request]
        flow.detach_backend()  # closes the path to the backend of an earlier attempt that the backend ended
        flow.attempt = effect.attempt
        flow.backend = effect.backend
        flow.address = (effect.address[0], self.config.node_port or effect.address[1])
        self.service.post(BackendConnected(flow.request, flow.attempt))

    def _forward_request(self, effect: ForwardRequest) -> None:
        flow = self.table.flows[effect.request]
        flow.forwarding = True
        for data in flow.first_flight:
            self._path(flow, flow.client_address).send(data)
        timeout_s = min(self.config.answer_ms, effect.remaining_ms) / 1000.0
        flow.timeout = InactivityTimer(timeout_s, self._on_timeout, flow, flow.attempt)

    def _on_timeout(self, flow: Flow, attempt: int) -> None:
        self.service.post(AttemptEnded(flow.request, attempt, TerminationReason.DEADLINE_EXCEEDED))

    def _path(self, flow: Flow, client: Address) -> BackendPath:
        """Return the socket towards the backend for this client address; open one if there is none."""
        path = flow.paths.get(client)
        if path is None or path.closed:
            attempt = flow.attempt
            path = flow.paths[client] = BackendPath(
                lambda path, data: self._on_backend_datagram(flow, attempt, path, data),
                lambda path: self._on_port_closed(flow, attempt),
                client,
            )
            self.loop.create_task(self._open_path(path, flow, attempt))
        path.last_used_at = self.loop.time()
        return path

    async def _open_path(self, path: BackendPath, flow: Flow, attempt: int) -> None:
        try:
            await self.loop.create_datagram_endpoint(lambda: path, remote_addr=flow.address)
        except Exception as error:  # also for an invalid address, end the attempt now instead of at its deadline
            logger.warning("cannot open a UDP socket to backend {}: {!r}", flow.backend, error)
            self._end_undelivered(flow, attempt, undelivered=0)

    def _abort_attempt(self, effect: AbortAttempt) -> None:
        flow = self.table.flows.get(effect.request)
        if flow is not None:
            flow.detach_backend()

    def _start_relaying(self, effect: StartRelaying) -> None:
        flow = self.table.flows[effect.request]
        flow.established = True
        self.table.end_pending(flow)
        flow.first_flight.clear()
        flow.cancel_timeout()
        pending, flow.pending_datagrams = flow.pending_datagrams, []
        for path, data in pending:
            self.client_socket.send(data, path.client)

    def _reject_request(self, effect: RejectRequest) -> None:
        advice = f"retry after {round(effect.retry_after_ms)} ms" if effect.retry_after_ms else "retry later"
        self._refuse(effect.request, advice)

    def _fail_request(self, effect: FailRequest) -> None:
        self._refuse(effect.request, "not served")

    def _refuse(self, request: int, reason: str) -> None:
        """Close a connection that is not established, with the reason for the client."""
        flow = self.table.flows[request]
        if flow.link is not None:  # taken over: its handshake was completed before this relay handled it
            self._send_stateless_reset(flow.last_connection_id, flow.last_datagram_bytes, flow.client_address)
        else:
            close = quic.initial_close(
                flow.version, flow.original_connection_id, flow.client_connection_id, quic.CONNECTION_REFUSED, reason
            )
            self.client_socket.send(close, flow.client_address)
        self._forget(flow)

    def _migrate_connection(self, effect: MigrateConnection) -> None:
        self._end(self.table.flows[effect.request])

    def _close_client_connection(self, effect: CloseClientConnection) -> None:
        flow = self.table.flows[effect.request]
        if effect.reason is TerminationReason.IDLE_EXPIRED:
            self._forget(flow, remember=False)
        else:
            self._end(flow)

    def _backend_removed(self, effect: BackendRemoved) -> None:
        flows = self.table.flows.values()
        for flow in [flow for flow in flows if flow.backend == effect.backend and flow.attempt > NO_ATTEMPT]:
            self.service.post(AttemptEnded(flow.request, flow.attempt, TerminationReason.BACKEND_REMOVED))

    def _end(self, flow: Flow) -> None:
        if flow.last_connection_id:
            self._send_stateless_reset(flow.last_connection_id, flow.last_datagram_bytes, flow.client_address)
        self._forget(flow)

    def _send_stateless_reset(self, connection_id: bytes, size: int, client: Address) -> None:
        """Send a Stateless Reset in reply to a datagram of this size in bytes (RFC 9000, section 10.3)."""
        packet = quic.stateless_reset(quic.reset_token(self.config.reset_key, connection_id), size)
        if packet is not None:
            self.counts["resets"] += 1
            self.client_socket.send(packet, client)

    def _forget(self, flow: Flow, remember: bool = True) -> None:
        flow.detach_backend()
        self.service.forget(flow.request)
        self.table.remove(flow, self.loop.time(), remember)

    # --- time -------------------------------------------------------------------------------------

    def _sweep(self) -> None:
        """End connections that are idle or whose backend is unresponsive, and close unused paths."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        self.table.expire(now)
        for flow in list(self.table.flows.values()):
            if flow.established:
                self._check_silence(flow, now)
            flow.close_idle_paths(now - PATH_IDLE_S)

    def _check_silence(self, flow: Flow, now: float) -> None:
        is_idle = now >= flow.last_received_at + self.config.idle_s
        is_unanswered = (
            flow.unanswered_datagrams >= UNRESPONSIVE_DATAGRAMS and now >= flow.unanswered_since + UNRESPONSIVE_S
        )
        if is_idle:
            self.service.post(AttemptEnded(flow.request, flow.attempt, TerminationReason.IDLE_EXPIRED))
        elif is_unanswered:
            self.service.post(AttemptEnded(flow.request, flow.attempt, TerminationReason.UNRESPONSIVE))
