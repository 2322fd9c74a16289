"""The platform's front: reports of its transports become events, effects become calls on transports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, unique
from time import monotonic
from typing import TYPE_CHECKING, Any

from loguru import logger

from yarrowspindle.fronts.connection_limiter import ConnectionLimiter
from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, Open
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
from yarrowspindle.transport.connecting import ConnectFailure, Connecting, OwnNetwork
from yarrowspindle.transport.line_connection import LineConnection
from yarrowspindle.transport.listener import Listener
from yarrowspindle.transport.silence import end_sending_if_silent, sockets_read
from yarrowspindle.transport.tcp_info import last_data_age_ms

if TYPE_CHECKING:
    from yarrowspindle.daemon.relay_service import RelayService

BACKLOG = 1024
SHUTDOWN_POLL_S = 0.001
DRAIN_POLL_S = 0.02
PARTIAL_LINE_WAIT_FRACTION = 2.0 / 3.0  # of the time for the end, until a MOVE waits no longer for the rest of a line
MAX_FIRST_LINE_READS = 64  # for a first line that comes in pieces while the relay ends
FINAL_LOOP_ITERATIONS = 4  # of the loop, to write the last lines and to read what crosses them, however late it is


@unique
class IdleCloseReason(Enum):
    """Why the relay ends a client's connection on which nothing is asked. The value is the name in the log."""

    NO_FIRST_LINE = "no_first_line"
    SHORT_OF_DESCRIPTORS = "short_of_descriptors"
    SHUTDOWN = "shutdown"


class LineFront:
    """The clients' address, and all connections that come of it.

    Args:
        service: the relay.
        descriptors: for all connections.

    Attributes:
        limiter: which connections are accepted.
        clients: the clients whose requests are not over, by request.
        first_lines: the first lines of requests that may still be forwarded.
        backends: of each request's attempt in flight, or its established connection.
        connect_attempts: attempts to connect to backends, by request.
    """

    def __init__(self, service: RelayService, descriptors: int) -> None:
        self.service, self.config, self.runtime = service, service.config, service.runtime
        self.loop = asyncio.get_running_loop()
        self.limiter = ConnectionLimiter(descriptors, self.loop.time, self._end_if_silent)
        self.idle_close_reason = IdleCloseReason.NO_FIRST_LINE  # why one would be ended that the limiter leaves alone
        self.log = RateLimitedLog(self.loop.time)
        self.network = OwnNetwork()
        self.clients: dict[int, ClientConnection] = {}
        self.first_lines: dict[int, Open] = {}
        self.backends: dict[int, BackendConnection] = {}
        self.connect_attempts: dict[int, Connecting] = {}
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
        """Listens. Raises OSError where the address cannot be had."""
        self.listener = Listener(
            self.config.listen, BACKLOG, self._client_connection, self.limiter.make_room, self.log_warning
        )
        self.service.fronts.append(self)
        self.service.connected_backends.append(self.connected_backends)
        logger.info("{} serves at {}:{}", self.config.name, *self.config.listen)
        return self

    async def shut_down(self, deadline_s: float) -> None:
        """Ends all connections in order, once the reducer begins nothing any more.

        Whoever waits in the kernel is accepted and answered, whoever has sent no request is ended, and all are heard to
        their end while there is time: a close over unread bytes would reset.

        deadline_s: a time of the loop. Where the process was held up beyond it, only hearing clients to their end falls
        short: each step before that is over when its work is done, not after a time.
        """
        while not self.service.reducer.may_exit(self.runtime.clock.now()):
            await asyncio.sleep(SHUTDOWN_POLL_S)
        self.service.finish_shutdown()
        started_at = self.loop.time()
        await self.listener.close(deadline_s)
        await self._end_silent_clients()
        await self._drain_clients(started_at + (deadline_s - started_at) * PARTIAL_LINE_WAIT_FRACTION)
        for backend in [side for side in self.limiter.connections if isinstance(side, BackendConnection)]:
            backend.move_now()
        await self._drain_clients(deadline_s)
        for _ in range(FINAL_LOOP_ITERATIONS):
            await sockets_read()

    async def _end_silent_clients(self) -> None:
        """Reads what lies in the sockets, and ends in order whoever has sent no whole first line by then."""
        self.idle_close_reason = IdleCloseReason.SHUTDOWN
        for iteration in range(MAX_FIRST_LINE_READS):
            await sockets_read()
            silent = [side for side in self.limiter.without_request if isinstance(side, ClientConnection)]
            if not silent:
                return
            for client in silent:
                client.end_if_silent(although_unread=iteration == MAX_FIRST_LINE_READS - 1)

    async def _drain_clients(self, deadline_s: float) -> None:
        """Hears those that were answered to their end, until this time of the loop."""
        while self.loop.time() < deadline_s and any(
            isinstance(side, ClientConnection) for side in self.limiter.connections
        ):
            await asyncio.sleep(DRAIN_POLL_S)

    def carry_out(self, effect: Effect) -> None:
        """Carries out an effect on a request of this front."""
        handler = self.effect_handlers.get(type(effect))
        if handler is not None:  # a backend that is gone ends its connections itself
            handler(effect)

    # --- reports of clients -----------------------------------------------------------------------

    def ready(self) -> bool:
        """Returns whether the relay accepts new connections."""
        return self.service.ready()

    def _client_connection(self) -> ClientConnection:
        return ClientConnection(self, self.listener.waited)

    def _read_delay_ms(self, side: ClientConnection) -> float:
        """How long the client's line lay unread. In a relay that keeps up it did not, and the system isn't asked."""
        if side.waited or monotonic() > self.runtime.assume_behind_at:
            return last_data_age_ms(side.alive)
        return 0.0

    def client_connected(self, side: ClientConnection) -> None:
        """Counts the connection."""
        self.limiter.on_accepted(side)

    def request_received(self, side: ClientConnection, first_line: Open) -> None:
        """Posts the request, or rejects a first line that makes no sense."""
        try:
            received = self._parse_request(side, first_line)
        except LineError as error:
            side.reject_first_line(str(error))
            return
        self.limiter.on_request(side)
        side.request = received.request = self.service.new_request(self)
        self.clients[side.request], self.first_lines[side.request] = side, first_line
        self.service.post(received)

    def _parse_request(self, side: ClientConnection, first_line: Open) -> RequestReceived:
        """The request that a first line stands for. Raises LineError where it makes no sense."""
        config = self.config
        try:
            cls = self.service.config.current_classes[first_line.get("c")]
            tenant = config.tenants.index(first_line.get("t")) if config.tenants else 0
        except (KeyError, ValueError):
            raise LineError("a class or tenant that the settings do not name") from None
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
        """Posts it."""
        self.service.post(UnexpectedClientData(request))

    def client_data_forwarded(self, request: int, lines: int) -> None:
        """Posts it, unless no line was complete."""
        if lines:
            self.service.post(ClientDataForwarded(request, lines))

    def client_disconnected(self, request: int) -> None:
        """Posts it."""
        self.service.post(ClientDisconnected(request))

    def client_connection_lost(self, side: ClientConnection) -> None:
        """Forgets the connection, and its request where that is not over."""
        self.limiter.on_closed(side)
        if self.clients.get(side.request) is side:
            self._forget(side.request)

    def first_line_rejected(self, side: ClientConnection, reason: str) -> None:
        """Counts the connection as answered, and logs why."""
        self.limiter.on_answered(side)
        self.log_warning(reason)

    def idle_client_closed(self, side: ClientConnection) -> None:
        """Counts the connection as answered."""
        self._log_idle_close(side, self.idle_close_reason)
        self.limiter.on_answered(side)

    def _end_if_silent(self, side: LineConnection) -> bool:
        """Ends our sending, unless bytes of the client lie unread; returns whether it is silent."""
        if not end_sending_if_silent(side.alive):
            return False
        self._log_idle_close(side, IdleCloseReason.SHORT_OF_DESCRIPTORS)
        return True

    def _log_idle_close(self, side: LineConnection, reason: IdleCloseReason) -> None:
        """There is no request to trace it by: the client's address names it."""
        idle_ms = 1000.0 * self.limiter.idle_s(side)
        logger.debug("idle client {} ended reason={} idle_ms={:.0f}", side.peer_address, reason.value, idle_ms)

    def log_warning(self, text: str) -> None:
        """Logs what clients or backends can cause, in bounds."""
        self.log.warn(text)

    # --- reports of backends ----------------------------------------------------------------------

    def connected_backends(self) -> set[str]:
        """Returns the backends to which a connection stands, is under way or is being closed."""
        return {side.backend for side in self.limiter.connections if isinstance(side, BackendConnection)}

    def backend_connected(self, side: BackendConnection) -> None:
        """Posts it."""
        self.connect_attempts.pop(side.request, None)
        self.network.works()
        if monotonic() > self.runtime.assume_behind_at:
            self._post_read_delay(side)
        self.service.post(BackendConnected(side.request, side.attempt))

    def _post_read_delay(self, side: BackendConnection) -> None:
        """What comes of the backend now may have lain unread here: that is no delay of the backend."""
        delay_ms = last_data_age_ms(side.alive)
        if delay_ms > 0.0:
            self.service.post(BackendDataDelayed(side.request, delay_ms))

    def backend_accepted(self, side: BackendConnection) -> None:
        """Posts it."""
        if monotonic() > self.runtime.assume_behind_at:
            self._post_read_delay(side)
        self.service.post(BackendAccepted(side.request, side.attempt))

    def backend_data_forwarded(self, request: int, lines: int) -> None:
        """Posts it."""
        if monotonic() > self.runtime.assume_behind_at and (side := self.backends.get(request)) is not None:
            self._post_read_delay(side)
        self.service.post(BackendDataForwarded(request, lines))

    def backend_load_reported(self, request: int, load: float) -> None:
        """Posts it."""
        self.service.post(UnclassifiedReport(request, load))

    def backend_connection_lost(self, side: BackendConnection) -> None:
        """Forgets the connection."""
        self.limiter.on_closed(side)

    def attempt_ended(self, side: BackendConnection, reason: TerminationReason) -> None:
        """Posts it."""
        if self.backends.get(side.request) is side:
            del self.backends[side.request]
        self.service.post(AttemptEnded(side.request, side.attempt, reason))

    # --- effects on backends ----------------------------------------------------------------------

    def _open_backend_connection(self, effect: OpenBackendConnection) -> None:
        side = BackendConnection(self, effect.request, effect.attempt, effect.backend)
        self.backends[effect.request] = side
        self.limiter.on_backend_connecting(side)
        connecting = Connecting(side, effect.address, lambda failure: self._on_connect_failed(side, failure))
        self.connect_attempts[effect.request] = connecting
        connecting.start(effect.timeout_ms / 1000.0)

    def _on_connect_failed(self, side: BackendConnection, failure: ConnectFailure) -> None:
        """The attempt's connection did not come up, and never will: nothing was written on it."""
        self.connect_attempts.pop(side.request, None)
        self.limiter.on_closed(side)
        if failure.unexpected:
            self.log_warning(f"a connection to execute node {side.backend} failed: {failure.error!r}")
        side.unreached(
            TerminationReason.NOT_SENT
            if self.network.at_fault(side.backend, failure)
            else TerminationReason.CONNECT_FAILED
        )

    def _forward_request(self, effect: ForwardRequest) -> None:
        side, first_line = self.backends.get(effect.request), self.first_lines.get(effect.request)
        if side is not None and first_line is not None:
            side.ask(first_line.forward(effect.remaining_ms))

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
            client.join(backend, backend.first)
            backend.flow()

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
        self._answer(effect.request, lines.FAILED)

    def _migrate_connection(self, effect: MigrateConnection) -> None:
        client, backend = self.clients.get(effect.request), self.backends.pop(effect.request, None)
        self._forget(effect.request)
        if client is None:
            return
        if backend is not None:
            backend.move(client)
        else:
            client.finish(lines.MOVE)

    def _close_client_connection(self, effect: CloseClientConnection) -> None:
        client = self.clients.get(effect.request)
        self._forget(effect.request)
        if client is not None:
            client.finish()  # in order, however the backend ended: its last lines may still wait to be written
            self.limiter.on_answered(client)
