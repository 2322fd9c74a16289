"""The platform's front: reports of its transports become events, effects become calls on transports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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
from yarrowspindle.transport.listener import Listener
from yarrowspindle.transport.silence import end_sending_if_silent, sockets_read
from yarrowspindle.transport.tcp_info import last_data_age_ms

if TYPE_CHECKING:
    from yarrowspindle.daemon.relay_service import RelayService

BACKLOG = 1024
TURN_S = 0.001
HEAR_INTERVAL_S = 0.02
HEARD_FRACTION = 2.0 / 3.0  # of the time for the end, until a MOVE waits no longer for the rest of a line
MAX_FIRST_LINE_TURNS = 64  # for a first line that comes in pieces while the relay ends
LAST_TURNS = 4  # of the loop, to write the last lines and to read what crosses them, however late it is


class LineFront:
    def __init__(self, hub: RelayService, descriptors: int) -> None:
        self.hub, self.config, self.runtime = hub, hub.config, hub.runtime
        self.loop = asyncio.get_running_loop()
        self.door = ConnectionLimiter(descriptors, self.loop.time, lambda side: end_sending_if_silent(side.alive))
        self.log = RateLimitedLog(self.loop.time)
        self.network = OwnNetwork()
        self.clients: dict[int, ClientConnection] = {}
        self.opened: dict[int, Open] = {}  # lines of jobs that may still be sent on
        self.backends: dict[
            int, BackendConnection
        ] = {}  # of each job's attempt that is out, or its standing connection
        self.reaching: dict[int, Connecting] = {}
        self.effects: dict[type, Callable[[Any], None]] = {
            OpenBackendConnection: self._reach,
            ForwardRequest: self._ask,
            AbortAttempt: self._drop,
            StartRelaying: self._join,
            RejectRequest: self._requeue,
            FailRequest: self._deny,
            MigrateConnection: self._move,
            CloseClientConnection: self._close,
        }

    def start(self) -> LineFront:
        self.listener = Listener(
            self.config.listen, BACKLOG, self._client_connection, self.door.make_room, self.log_warning
        )
        self.hub.fronts.append(self)
        self.hub.connected_backends.append(self.connected)
        logger.info("{} serves at {}:{}", self.config.name, *self.config.listen)
        return self

    async def end(self, until: float) -> None:
        """Once the reducer begins nothing any more: whoever waits in the kernel is taken in and answered, whoever rests
        is ended in order, all are heard to their end while there is time. A close over unread bytes would reset.

        until: a time of the loop. Where the process was held up beyond it, only hearing clients to their end falls
        short: each step before that is over when its work is done, not after a time.
        """
        while not self.hub.reducer.has_ended(self.runtime.clock.now()):
            await asyncio.sleep(TURN_S)
        self.runtime.timers.run_due()  # with the end everybody is answered or migrated
        began = self.loop.time()
        await self.listener.close(until)
        await self._end_resting()
        await self._hear_clients(began + (until - began) * HEARD_FRACTION)
        for backend in [side for side in self.door.connections if isinstance(side, BackendConnection)]:
            backend.move_now()
        await self._hear_clients(until)
        for _ in range(LAST_TURNS):
            await sockets_read()

    async def _end_resting(self) -> None:
        """Reads what lies in the sockets, and ends in order whoever has sent no whole first line by then."""
        for turn in range(MAX_FIRST_LINE_TURNS):
            await sockets_read()
            resting = [side for side in self.door.without_request if isinstance(side, ClientConnection)]
            if not resting:
                return
            for client in resting:
                client.rest_over(although_unread=turn == MAX_FIRST_LINE_TURNS - 1)

    async def _hear_clients(self, until: float) -> None:
        """Hears those that were answered to their end, until this time of the loop."""
        while self.loop.time() < until and any(isinstance(side, ClientConnection) for side in self.door.connections):
            await asyncio.sleep(HEAR_INTERVAL_S)

    def carry_out(self, effect: Effect) -> None:
        handler = self.effects.get(type(effect))
        if handler is not None:  # a node that is gone ends its connections itself
            handler(effect)

    # --- reports of submitters ------------------------------------------------------------------

    def ready(self) -> bool:
        return self.hub.ready()

    def _client_connection(self) -> ClientConnection:
        return ClientConnection(self, self.listener.waited)

    def _unread_ms(self, side: ClientConnection) -> float:
        """How long the client's line lay unread. In a relay that keeps up it did not, and the system isn't asked."""
        if side.waited or monotonic() > self.runtime.behind_at:
            return last_data_age_ms(side.alive)
        return 0.0

    def client_connected(self, side: ClientConnection) -> None:
        self.door.on_accepted(side)

    def request_received(self, side: ClientConnection, opened: Open) -> None:
        try:
            arrived = self._request_of(side, opened)
        except LineError as error:
            side.refuse(str(error))
            return
        self.door.on_request(side)
        side.request = arrived.request = self.hub.new_request(self)
        self.clients[side.request], self.opened[side.request] = side, opened
        self.hub.post(arrived)

    def _request_of(self, side: ClientConnection, opened: Open) -> RequestReceived:
        """The request that a first line stands for. Raises LineError where it makes no sense."""
        config = self.config
        try:
            cls = self.hub.config.current_classes[opened.get("c")]
            tenant = config.tenants.index(opened.get("t")) if config.tenants else 0
        except (KeyError, ValueError):
            raise LineError("a class or tenant that the settings do not name") from None
        return RequestReceived(
            0,
            opened.number("d") - self._unread_ms(side),
            cls,
            tenant,
            opened.key,
            opened.number("h"),
            opened.hexadecimal("g"),
            opened.flag("r"),
            opened.flag("again"),
            opened.get("at"),
            opened.id,
        )

    def unexpected_client_data(self, request: int) -> None:
        self.hub.post(UnexpectedClientData(request))

    def client_data_forwarded(self, request: int, lines: int) -> None:
        if lines:
            self.hub.post(ClientDataForwarded(request, lines))

    def client_disconnected(self, request: int) -> None:
        self.hub.post(ClientDisconnected(request))

    def client_connection_lost(self, side: ClientConnection) -> None:
        self.door.on_closed(side)
        if self.clients.get(side.request) is side:
            self._forget(side.request)

    def first_line_rejected(self, side: ClientConnection, why: str) -> None:
        self.door.on_answered(side)
        self.log_warning(why)

    def idle_client_closed(self, side: ClientConnection) -> None:
        self.door.on_answered(side)

    def log_warning(self, text: str) -> None:
        self.log.warn(text)

    # --- reports of execute nodes ---------------------------------------------------------------

    def connected(self) -> set[str]:
        """Execute nodes to which a connection stands or is under way, those that are only being closed included."""
        return {side.backend for side in self.door.connections if isinstance(side, BackendConnection)}

    def backend_connected(self, side: BackendConnection) -> None:
        self.reaching.pop(side.request, None)
        self.network.works()
        if monotonic() > self.runtime.behind_at:
            self._report_delay(side)
        self.hub.post(BackendConnected(side.request, side.attempt))

    def _report_delay(self, side: BackendConnection) -> None:
        """What comes of the backend now may have lain unread here: that is no delay of the backend."""
        delay_ms = last_data_age_ms(side.alive)
        if delay_ms > 0.0:
            self.hub.post(BackendDataDelayed(side.request, delay_ms))

    def backend_accepted(self, side: BackendConnection) -> None:
        if monotonic() > self.runtime.behind_at:
            self._report_delay(side)
        self.hub.post(BackendAccepted(side.request, side.attempt))

    def backend_data_forwarded(self, request: int, lines: int) -> None:
        if monotonic() > self.runtime.behind_at and (side := self.backends.get(request)) is not None:
            self._report_delay(side)
        self.hub.post(BackendDataForwarded(request, lines))

    def backend_load_reported(self, request: int, load: float) -> None:
        self.hub.post(UnclassifiedReport(request, load))

    def backend_connection_lost(self, side: BackendConnection) -> None:
        self.door.on_closed(side)

    def attempt_ended(self, side: BackendConnection, ending: TerminationReason) -> None:
        if self.backends.get(side.request) is side:
            del self.backends[side.request]
        self.hub.post(AttemptEnded(side.request, side.attempt, ending))

    # --- effects on execute nodes ---------------------------------------------------------------

    def _reach(self, effect: OpenBackendConnection) -> None:
        side = BackendConnection(self, effect.request, effect.attempt, effect.backend)
        self.backends[effect.request] = side
        self.door.on_backend_connecting(side)
        connecting = Connecting(side, effect.address, lambda failure: self._unreached(side, failure))
        self.reaching[effect.request] = connecting
        connecting.start(effect.timeout_ms / 1000.0)

    def _unreached(self, side: BackendConnection, failure: ConnectFailure) -> None:
        """The attempt's connection did not come up, and never will: nothing was written on it."""
        self.reaching.pop(side.request, None)
        self.door.on_closed(side)
        if failure.unexpected:
            self.log_warning(f"a connection to execute node {side.backend} failed: {failure.error!r}")
        side.unreached(
            TerminationReason.NOT_SENT
            if self.network.at_fault(side.backend, failure)
            else TerminationReason.CONNECT_FAILED
        )

    def _ask(self, effect: ForwardRequest) -> None:
        side, opened = self.backends.get(effect.request), self.opened.get(effect.request)
        if side is not None and opened is not None:
            side.ask(opened.forward(effect.remaining_ms))

    def _drop(self, effect: AbortAttempt) -> None:
        side = self.backends.pop(effect.request, None)
        if side is not None:
            side.drop()
        connecting = self.reaching.pop(effect.request, None)
        if connecting is not None and side is not None and connecting.cancel():
            self.door.on_closed(side)

    # --- effects on submitters ------------------------------------------------------------------

    def _join(self, effect: StartRelaying) -> None:
        client, backend = self.clients.get(effect.request), self.backends.get(effect.request)
        self.opened.pop(effect.request, None)
        if client is not None and backend is not None:
            client.join(backend, backend.first)
            backend.flow()

    def _answer(self, request: int, line: bytes) -> None:
        client = self.clients.get(request)
        self._forget(request)
        if client is not None:
            client.finish(line)
            self.door.on_answered(client)

    def _forget(self, request: int) -> None:
        self.clients.pop(request, None)
        self.opened.pop(request, None)
        self.hub.forget(request)

    def _requeue(self, effect: RejectRequest) -> None:
        self._answer(effect.request, lines.requeue_notice(effect.retry_after_ms))

    def _deny(self, effect: FailRequest) -> None:
        self._answer(effect.request, lines.FAILED)

    def _move(self, effect: MigrateConnection) -> None:
        client, backend = self.clients.get(effect.request), self.backends.pop(effect.request, None)
        self._forget(effect.request)
        if client is None:
            return
        if backend is not None:
            backend.move(client)
        else:
            client.finish(lines.MOVE)

    def _close(self, effect: CloseClientConnection) -> None:
        client = self.clients.get(effect.request)
        self._forget(effect.request)
        if client is not None:
            client.finish()  # in order, however the node ended: its last lines may still wait to be written
            self.door.on_answered(client)
