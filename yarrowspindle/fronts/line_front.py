"""The front for the platform's line protocol: turns transport reports into events, and effects into transport calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Any

from loguru import logger

from yarrowspindle.fronts.connection_limiter import ConnectionLimiter
from yarrowspindle.fronts.connection_log import IdleCloseReason, log_idle_close, log_incomplete_line
from yarrowspindle.fronts.request_id_check import RequestIdCheck
from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, OpenRequest
from yarrowspindle.routing.effects import (
    AbortAttempt,
    CloseClientConnection,
    Effect,
    FailRequest,
    ForwardRequest,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    BackendDataDelayed,
    BackendDataForwarded,
    ClientDataForwarded,
    ClientDisconnected,
    RequestReceived,
    UnclassifiedReport,
    UnexpectedClientData,
)
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.telemetry.log import RateLimitedLog
from yarrowspindle.transport.backend import BackendConnection
from yarrowspindle.transport.client import ClientConnection
from yarrowspindle.transport.connector import ConnectFailure, Connector, LocalNetworkMonitor
from yarrowspindle.transport.inactivity_timer import half_close_unless_readable, wait_for_socket_reads
from yarrowspindle.transport.line_connection import LineConnection
from yarrowspindle.transport.listener import Listener
from yarrowspindle.transport.listening_sockets import other_process_listens
from yarrowspindle.transport.read_turns import ReadTurns
from yarrowspindle.transport.tcp_info import last_data_age_ms

if TYPE_CHECKING:
    from yarrowspindle.daemon.relay_service import RelayService

BACKLOG = 1024
SHUTDOWN_POLL_S = 0.001
DRAIN_POLL_S = 0.02
PARTIAL_LINE_WAIT_FRACTION = 2.0 / 3.0  # of the shutdown time; after it, MOVE no longer waits for the rest of a line
MAX_FIRST_LINE_READS = 64  # event loop iterations in which a first line that arrives in pieces may complete
FINAL_LOOP_ITERATIONS = 4  # to write the last lines and read data that crosses them, even after the deadline


class LineFront:
    """The listening socket for clients and all client and backend connections that result from it.

    Args:
        service: the relay.
        descriptors: number of descriptors for all connections.

    Attributes:
        limiter: decides whether a connection is accepted.
        idle_close_reason: the reason logged when a client connection without a request is closed for any cause but the
            limiter.
        clients: client connections of requests that have not ended, by request.
        first_lines: first lines of requests that may still be forwarded, by request.
        backends: backend connection of the attempt in flight or of the established connection, by request.
        connect_attempts: attempts to connect to backends, by request.
    """

    def __init__(self, service: RelayService, descriptors: int) -> None:
        self.service, self.config, self.runtime = service, service.config, service.runtime
        self.loop = asyncio.get_running_loop()
        self.log = RateLimitedLog(self.loop.time)
        self.read_turns = ReadTurns()
        self.limiter = ConnectionLimiter(
            descriptors, self.loop.time, self._end_if_silent, self._has_answer, self.log_warning
        )
        self.idle_close_reason = IdleCloseReason.NO_FIRST_LINE
        self.network = LocalNetworkMonitor()
        self.request_ids = RequestIdCheck(service)
        self.clients: dict[int, ClientConnection] = {}
        self.first_lines: dict[int, OpenRequest] = {}
        self.backends: dict[int, BackendConnection] = {}
        self.connect_attempts: dict[int, Connector] = {}
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            OpenBackendConnection: self._open_backend_connection,
            ForwardRequest: self._forward_request,
            AbortAttempt: self._abort_attempt,
            StartRelaying: self._start_relaying,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            MigrateConnection: self._migrate_connection,
            CloseClientConnection: self._close_client_connection,
        }

    def start(self) -> LineFront:
        """Start listening.

        Raises:
            OSError: the address cannot be bound.
        """
        self.listen()
        self.service.fronts.append(self)
        self.service.connected_backends.append(self.connected_backends)
        self.service.metrics.counter_sources["connections"] = self.limiter.counts
        self.service.metrics.gauge_sources.append(self.limiter.gauges)
        logger.info("{} serves at {}:{}", self.config.name, *self.config.listen)
        return self

    def listen(self) -> None:
        """Accept connections, also again after `hand_over`.

        Raises:
            OSError: the address cannot be bound.
        """
        # During an upgrade a second process of the same relay listens on the same address while this one still serves.
        self.listener = Listener(
            self.config.listen, BACKLOG, self._client_connection, self.limiter.make_room, self.log_warning
        )

    def successor_listens(self) -> bool:
        """Return whether another process of this relay listens at the clients' address."""
        own = None if self.listener.closed else self.listener.sock
        return other_process_listens(self.config.listen, own)

    async def hand_over(self, deadline_s: float) -> None:
        """Stop listening, so that new connections go to the other process; those in the accept queue stay here.

        Args:
            deadline_s: event loop time up to which the accept queue is emptied even while it fills up again.
        """
        await self.listener.close(deadline_s)

    async def shut_down(self, deadline_s: float) -> None:
        """Close all connections gracefully, once the reducer starts no new attempts.

        Connections in the kernel's accept queue are accepted and answered, those without a request are closed, and
        until the deadline all connections are read until the client closes: closing a socket with unread data would
        reset the connection.

        Args:
            deadline_s: event loop time. If the process is delayed beyond it, only the wait for clients to close is cut
                short; each earlier step ends when its work is done, not at a time.
        """
        while not self.service.reducer.may_exit(self.runtime.clock.now()):
            await asyncio.sleep(SHUTDOWN_POLL_S)
        self.request_ids.post_all()
        self.service.finish_shutdown()
        started_at = self.loop.time()
        await self.listener.close(deadline_s)
        await self._end_silent_clients()
        await self._drain_clients(started_at + (deadline_s - started_at) * PARTIAL_LINE_WAIT_FRACTION)
        for backend in [side for side in self.limiter.connections if isinstance(side, BackendConnection)]:
            backend.finish_migration_now()
        await self._drain_clients(deadline_s)
        self.request_ids.hand_over_ids()
        for _ in range(FINAL_LOOP_ITERATIONS):
            await wait_for_socket_reads()

    async def _end_silent_clients(self) -> None:
        """Read the sockets' pending data, then close the clients that have not sent a complete first line."""
        self.idle_close_reason = IdleCloseReason.SHUTDOWN
        for iteration in range(MAX_FIRST_LINE_READS):
            await wait_for_socket_reads()
            pending_clients = [side for side in self.limiter.without_request if isinstance(side, ClientConnection)]
            if not pending_clients:
                return
            for client in pending_clients:
                client.close_if_idle(even_if_unread=iteration == MAX_FIRST_LINE_READS - 1)

    async def _drain_clients(self, deadline_s: float) -> None:
        """Read from answered clients until they close, up to this event loop time."""
        while self.loop.time() < deadline_s and any(
            isinstance(side, ClientConnection) for side in self.limiter.connections
        ):
            await asyncio.sleep(DRAIN_POLL_S)

    def carry_out(self, effect: Effect) -> None:
        """Carry out an effect on a request of this front."""
        handler = self.effect_handlers.get(type(effect))
        if handler is not None:  # `BackendRemoved` needs none: a removed backend closes its connections itself
            handler(effect)

    # --- reports of clients -----------------------------------------------------------------------

    def ready(self) -> bool:
        """Return whether the relay accepts new connections."""
        return self.service.ready()

    def _client_connection(self) -> ClientConnection:
        """Return the protocol of a connection that has just been accepted, which counts from now on."""
        side = ClientConnection(self, self.listener.may_have_waited, self.read_turns)
        self.limiter.on_accepted(side)
        return side

    def _read_delay_ms(self, side: ClientConnection) -> float:
        """Return how long the client's line was unread in the kernel; 0, without asking it, if the loop is on time."""
        if side.may_have_waited or monotonic() > self.runtime.assume_behind_at:
            return last_data_age_ms(side.open_transport)
        return 0.0

    def request_received(self, side: ClientConnection, first_line: OpenRequest) -> None:
        """Post the request, or reject an invalid first line."""
        try:
            received = self._parse_request(side, first_line)
        except LineError as error:
            side.reject_first_line(str(error))
            return
        self.limiter.on_request(side)
        side.request = received.request = self.service.new_request(self)
        self.clients[side.request], self.first_lines[side.request] = side, first_line
        self.request_ids.post(received)

    def _parse_request(self, side: ClientConnection, first_line: OpenRequest) -> RequestReceived:
        """Return the request of a first line.

        Raises:
            LineError: the first line is invalid.
        """
        config = self.config
        try:
            cls = self.service.config.current_classes[first_line.get("c")]
            tenant = config.tenants.index(first_line.get("t")) if config.tenants else 0
        except (KeyError, ValueError):
            raise LineError("request names a class or tenant that is not in the settings") from None
        return RequestReceived(
            0,
            first_line.number("d") - self._read_delay_ms(side),
            cls,
            tenant,
            first_line.key,
            first_line.number("h"),
            first_line.hexadecimal("g"),
            first_line.flag("r"),
            first_line.flag("again"),
            first_line.get("at"),
            first_line.id,
        )

    def unexpected_client_data(self, request: int) -> None:
        """Post that the client sent data while it waited for its answer."""
        if self.request_ids.withdraw(request):
            self._answer(request, lines.ERR)
        else:
            self.service.post(UnexpectedClientData(request))

    def client_data_forwarded(self, request: int, lines: int) -> None:
        """Post the number of complete lines that were forwarded to the backend, if there were any."""
        if lines:
            self.service.post(ClientDataForwarded(request, lines))

    def client_disconnected(self, request: int) -> None:
        """Post that the client has disconnected."""
        if not self.request_ids.withdraw(request):
            self.service.post(ClientDisconnected(request))

    def client_connection_lost(self, side: ClientConnection) -> None:
        """Forget the connection, and its request if that has not ended."""
        log_incomplete_line(side, side.request, "client")
        self.limiter.on_closed(side)
        if self.clients.get(side.request) is side:
            self._forget(side.request)

    def first_line_rejected(self, side: ClientConnection, reason: str) -> None:
        """Count the connection as answered and log the reason for the rejection."""
        self.limiter.on_answered(side)
        self.log_warning(reason)

    def line_rejected(self, side: ClientConnection, reason: str) -> None:
        """Count the connection as answered, log the reason why it was ended, and end its request."""
        self.limiter.on_answered(side)
        self.log_warning(f"a client sent {reason}; closing the connection")
        self.service.post(ClientDisconnected(side.request))

    def idle_client_closed(self, side: ClientConnection) -> None:
        """Log the close of a client connection without a request, and count it as answered."""
        log_idle_close(side, self.idle_close_reason, self.limiter.idle_s(side))
        self.limiter.on_answered(side)

    @staticmethod
    def _has_answer(side: LineConnection) -> bool:
        """Return whether the client's system has received all that was sent, up to the end of our sending."""
        return side.closing and side.unsent_bytes() == 0

    def _end_if_silent(self, side: LineConnection) -> bool:
        """End sending unless the kernel holds unread data of the client; return whether it holds none."""
        awaits_move = side in self.limiter.answered and not side.closing
        if side.transport is None or awaits_move or not half_close_unless_readable(side.open_transport):
            return False
        log_idle_close(side, IdleCloseReason.SHORT_OF_DESCRIPTORS, self.limiter.idle_s(side))
        return True

    def log_warning(self, text: str) -> None:
        """Log a warning that clients or backends can cause, at a limited rate."""
        self.log.warn(text)

    # --- reports of backends ----------------------------------------------------------------------

    def connected_backends(self) -> set[str]:
        """Return the backends to which a connection is established, being opened or being closed."""
        return {side.backend for side in self.limiter.connections if isinstance(side, BackendConnection)}

    def backend_connected(self, side: BackendConnection) -> None:
        """Post that the connection to the backend was opened."""
        self.connect_attempts.pop(side.request, None)
        self.network.on_connected()
        if monotonic() > self.runtime.assume_behind_at:
            self._post_read_delay(side)
        self.service.post(BackendConnected(side.request, side.attempt))

    def _post_read_delay(self, side: BackendConnection) -> None:
        """Post how long the backend's data was unread in the kernel: it must not count as the backend's latency."""
        delay_ms = last_data_age_ms(side.open_transport)
        if delay_ms > 0.0:
            self.service.post(BackendDataDelayed(side.request, delay_ms))

    def backend_accepted(self, side: BackendConnection) -> None:
        """Post that the backend accepted the request."""
        if monotonic() > self.runtime.assume_behind_at:
            self._post_read_delay(side)
        self.service.post(BackendAccepted(side.request, side.attempt))

    def backend_data_forwarded(self, request: int, lines: int) -> None:
        """Post the number of complete lines that were forwarded to the client."""
        if monotonic() > self.runtime.assume_behind_at and (side := self.backends.get(request)) is not None:
            self._post_read_delay(side)
        self.service.post(BackendDataForwarded(request, lines))

    def backend_load_reported(self, request: int, load: float) -> None:
        """Post the load that the backend reported."""
        self.service.post(UnclassifiedReport(request, load))

    def backend_connection_lost(self, side: BackendConnection) -> None:
        """Forget the connection."""
        log_incomplete_line(side, side.request, f"backend={side.backend}")
        self.limiter.on_closed(side)

    def attempt_ended(self, side: BackendConnection, reason: TerminationReason) -> None:
        """Post that the attempt ended, with the reason."""
        if self.backends.get(side.request) is side:
            del self.backends[side.request]
        self.service.post(AttemptEnded(side.request, side.attempt, reason))

    # --- effects on backends ----------------------------------------------------------------------

    def _open_backend_connection(self, effect: OpenBackendConnection) -> None:
        side = BackendConnection(self, effect.request, effect.attempt, effect.backend, self.read_turns)
        self.backends[effect.request] = side
        self.limiter.on_backend_connecting(side)
        connecting = Connector(side, effect.address, lambda failure: self._on_connect_failed(side, failure))
        self.connect_attempts[effect.request] = connecting
        connecting.start(effect.timeout_ms / 1000.0)

    def _on_connect_failed(self, side: BackendConnection, failure: ConnectFailure) -> None:
        """End an attempt whose connection failed to open; nothing was written on it."""
        self.connect_attempts.pop(side.request, None)
        self.limiter.on_closed(side)
        if failure.unexpected:
            self.log_warning(
                f"connecting to execute node {side.backend} failed with an unexpected error: {failure.error!r}"
            )
        side.report_connect_failure(
            TerminationReason.NOT_SENT
            if self.network.is_local_fault(side.backend, failure)
            else TerminationReason.CONNECT_FAILED
        )

    def _forward_request(self, effect: ForwardRequest) -> None:
        side, first_line = self.backends.get(effect.request), self.first_lines.get(effect.request)
        if side is not None and first_line is not None:
            side.send_request(first_line.forward(effect.remaining_ms))

    def _abort_attempt(self, effect: AbortAttempt) -> None:
        side = self.backends.pop(effect.request, None)
        if side is not None:
            side.drop()
        connecting = self.connect_attempts.pop(effect.request, None)
        if connecting is not None and side is not None and connecting.cancel():
            self.limiter.on_closed(side)

    # --- effects on clients -----------------------------------------------------------------------

    def _start_relaying(self, effect: StartRelaying) -> None:
        client, backend = self.clients.get(effect.request), self.backends.get(effect.request)
        self.first_lines.pop(effect.request, None)
        if client is not None and backend is not None:
            client.start_relaying(backend, backend.up_line)
            backend.forward_early_data()

    def _answer(self, request: int, line: bytes) -> None:
        client = self.clients.get(request)
        self._forget(request)
        if client is not None:
            client.finish(line)
            self.limiter.on_answered(client)

    def _forget(self, request: int) -> None:
        self.clients.pop(request, None)
        self.first_lines.pop(request, None)
        self.service.forget(request)

    def _reject_request(self, effect: RejectRequest) -> None:
        self._answer(effect.request, lines.rejection_line(effect.retry_after_ms))

    def _fail_request(self, effect: FailRequest) -> None:
        self._answer(effect.request, lines.ERR)

    def _migrate_connection(self, effect: MigrateConnection) -> None:
        client, backend = self.clients.get(effect.request), self.backends.pop(effect.request, None)
        self._forget(effect.request)
        if client is None:
            return
        if backend is not None:
            backend.migrate(client)
        else:
            client.finish(lines.MOVE)
        self.limiter.on_answered(client)

    def _close_client_connection(self, effect: CloseClientConnection) -> None:
        client = self.clients.get(effect.request)
        self._forget(effect.request)
        if client is not None:
            client.finish()  # gracefully: the backend's last lines may not be written yet
            self.limiter.on_answered(client)
