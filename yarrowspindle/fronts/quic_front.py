"""The QUIC front: connections by their ids, passed through to the nodes, on the same reducer as all others.

The first Initial with an unknown destination connection id is a job. What follows goes by its id to the node
that holds the connection, whatever address it comes from.
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aioquic.quic.packet import QuicPacketType
from loguru import logger

from yarrowspindle.daemon.config import QuicConfig
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.protocol import quic
from yarrowspindle.protocol.quic import Header, Link, PacketError
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
from yarrowspindle.transport.datagrams import Front, Path

FIRST_FLIGHT = 8  # client datagrams kept until the connection stands, for another node if the first fails
HELD_BACK = 16  # node datagrams kept until its handshake has answered
SILENT_S, SILENT_PACKETS = 5.0, 4  # a client that asks this long and often with no packet back has lost its node
PATH_IDLE_S = 10.0  # an address that a client has left
SWEEP_S = 0.5


@dataclass(slots=True)
class Flow:
    """One connection."""

    request: int
    original: bytes  # the first destination connection id
    client_id: bytes
    version: int
    client: Address
    heard: float
    first: list[bytes] = field(default_factory=list)
    held: list[tuple[Path, bytes]] = field(default_factory=list)
    attempt: int = -1
    backend: str = ""
    address: Address | None = None
    asked: bool = False
    up: bool = False
    ids: set[bytes] = field(default_factory=set)
    link: Link | None = None
    paths: dict[Address, Path] = field(default_factory=dict)
    last_id: bytes = b""  # the node's id that the client used last, and the size of that datagram
    last_size: int = 0
    silent_since: float = 0.0
    silent_packets: int = 0
    answer: asyncio.TimerHandle | None = None


class QuicFront:
    def __init__(self, hub: RelayService, config: QuicConfig) -> None:
        self.hub, self.config = hub, config
        self.ids = quic.BackendIds(config.id_key)
        self.front = Front(self.from_client)
        self.flows: dict[int, Flow] = {}
        self.by_id: dict[bytes, Flow] = {}
        self.by_link: dict[Link, Flow] = {}
        self.over: OrderedDict[bytes | Link, float] = OrderedDict()  # answered or ended here, until then
        self.counts: Counter[str] = Counter()
        self.loop = asyncio.get_running_loop()
        self.effects: dict[type, Callable[[Any], None]] = {
            OpenBackendConnection: self._reach,
            ForwardRequest: self._ask,
            AbortAttempt: self._drop,
            StartRelaying: self._join,
            RejectRequest: self._requeue,
            FailRequest: self._deny,
            MigrateConnection: self._move,
            CloseClientConnection: self._close,
            BackendRemoved: self._backend_gone,
        }

    async def start(self) -> None:
        await self.loop.create_datagram_endpoint(lambda: self.front, local_addr=self.config.listen)
        self.hub.fronts.append(self)
        self.hub.metrics.sources["quic"] = self.counts
        self.loop.call_later(SWEEP_S, self._sweep)
        logger.info("QUIC is served at {}:{}", *self.config.listen)

    def carry_out(self, effect: Effect) -> None:
        self.effects[type(effect)](effect)

    # --- from clients ---------------------------------------------------------------------------

    def from_client(self, data: bytes, client: Address) -> None:
        self.counts["datagrams"] += 1
        try:
            header = quic.parse_header(data)
        except PacketError:
            self.counts["malformed"] += 1
            return
        if header.kind is None:
            if len(data) >= quic.SMALLEST_INITIAL:
                self.front.send(quic.version_negotiation(header), client)
            self.counts["other_version"] += 1
            return
        flow, link = self._find(header)
        if flow is not None:
            self._pass_on(flow, header, data, client)
        elif link is not None:
            self._known_id(link, header, data, client)
        elif header.kind is QuicPacketType.INITIAL:
            self._first(header, data, client)
        else:
            self.counts["unknown_id"] += 1

    def _find(self, header: Header) -> tuple[Flow | None, Link | None]:
        flow = self.by_id.get(header.destination)
        if flow is not None:
            return flow, None
        link = self.ids.decode(header.destination)
        if link is not None and (link in self.over or link in self.by_link or self._backend_of(link)):
            return self.by_link.get(link), link
        return None, None

    def _backend_of(self, link: Link) -> str:
        backend = self.hub.reducer.backends_by_number.get(link[0])
        return backend.name if backend is not None else ""

    def _first(self, header: Header, data: bytes, client: Address) -> None:
        """An Initial that nobody knows: a job, unless it was answered already or there is no room."""
        if len(data) < quic.SMALLEST_INITIAL or len(header.destination) < 8:
            self.counts["malformed"] += 1
        elif header.destination in self.over:
            self.counts["answered_before"] += 1  # a client that has not seen its answer yet: never a second one
        elif len(self.flows) >= self.config.max_connections:
            self.counts["no_room"] += 1
        else:
            flow = self._new_flow(header, data, client)
            key = int.from_bytes(header.destination[:8], "big")
            cls, deadline_ms = self._first_class()
            self.hub.post(RequestReceived(flow.request, self.config.deadline_ms or deadline_ms, cls, key=key))

    def _first_class(self) -> tuple[int, float]:
        """Of the settings as they are now: its number, and its deadline."""
        config = self.hub.config
        number = next(iter(config.current.values()), 0)
        return number, config.settings.classes[number].deadline_ms

    def _new_flow(self, header: Header, data: bytes, client: Address) -> Flow:
        flow = Flow(
            self.hub.new_request(self),
            header.destination,
            header.source,
            header.version,
            client,
            self.loop.time(),
            [data],
        )
        self.flows[flow.request] = flow
        self._name(flow, header.destination)
        return flow

    def _known_id(self, link: Link, header: Header, data: bytes, client: Address) -> None:
        """An id that names its node, of a connection that this relay does not know: it came from another relay,
        or this one has started anew. It goes on at its node, draining or not, until the node is gone."""
        backend = self.hub.reducer.backends_by_number.get(link[0])
        if link in self.over or backend is None or backend.state is EndpointState.GONE:
            self._reset(header.destination, len(data), client)
        elif len(self.flows) >= self.config.max_connections:
            self.counts["no_room"] += 1
        elif header.short:
            flow = self._new_flow(header, data, client)
            flow.link, flow.last_id, flow.last_size = link, header.destination, len(data)
            self.by_link[link] = flow
            self.counts["taken_over"] += 1
            cls, deadline_ms = self._first_class()
            self.hub.post(RequestReceived(flow.request, deadline_ms, cls, previous_backend=backend.name))
        else:
            self.counts["unknown_id"] += 1

    def _pass_on(self, flow: Flow, header: Header, data: bytes, client: Address) -> None:
        now = self.loop.time()
        flow.heard, flow.client = now, client
        if header.destination != flow.original or flow.link is not None and header.short:
            flow.last_id, flow.last_size = header.destination, len(data)
        if not flow.silent_packets:
            flow.silent_since = now
        flow.silent_packets += 1
        if not flow.up and len(flow.first) < FIRST_FLIGHT and data not in flow.first:
            flow.first.append(data)
        if flow.asked:
            self._path(flow, client).send(data)

    # --- from nodes -----------------------------------------------------------------------------

    def _from_backend(self, flow: Flow, attempt: int, path: Path, data: bytes) -> None:
        if flow.attempt != attempt or self.flows.get(flow.request) is not flow:
            return
        path.used = self.loop.time()
        flow.silent_packets = 0
        if flow.up:
            flow.heard = path.used
            self.front.send(data, path.client)
            return
        try:
            headers = quic.parse_datagram(data, len(flow.client_id))
        except PacketError:
            self.counts["malformed_from_node"] += 1
            return
        kinds = {h.kind for h in headers}
        if kinds <= {QuicPacketType.RETRY, QuicPacketType.VERSION_NEGOTIATION}:
            if QuicPacketType.RETRY in kinds:  # the client starts again, at this node, with the id it is given
                flow.first.clear()
                self._name(flow, headers[0].source)
            self.front.send(data, path.client)
            return
        if kinds == {QuicPacketType.INITIAL}:
            code = quic.close_code(data, headers[0], flow.original)
            if code is not None:  # not passed on: another node may still take the job
                ending = TerminationReason.REJECTED if code == quic.REFUSED else TerminationReason.BACKEND_ERROR
                self.hub.post(AttemptEnded(flow.request, attempt, ending))
                return
        if len(flow.held) < HELD_BACK:
            flow.held.append((path, data))
        if kinds & {QuicPacketType.HANDSHAKE, QuicPacketType.ONE_RTT}:
            self._learn(flow, headers)
            self.hub.post(BackendAccepted(flow.request, attempt))

    def _learn(self, flow: Flow, headers: list[Header]) -> None:
        """The id that the node chose, by which the client will send from now on."""
        source = next((h.source for h in headers if not h.short and h.source), b"")
        link = self.ids.decode(source)
        if link is not None and link[0] == backend_id(flow.backend):
            flow.link = link
            self.by_link[link] = flow
        elif source:
            self._name(flow, source)

    def _refused(self, flow: Flow, attempt: int, path: Path) -> None:
        """The node's port is closed. Another address of the client may only have lost its own path."""
        if flow.attempt == attempt and self.flows.get(flow.request) is flow:
            ending = TerminationReason.CONNECTION_RESET if flow.up else TerminationReason.CONNECT_FAILED
            self.hub.post(AttemptEnded(flow.request, attempt, ending))

    # --- effects --------------------------------------------------------------------------------

    def _reach(self, effect: OpenBackendConnection) -> None:
        flow = self.flows[effect.request]
        self._leave_backend(flow)  # an attempt that the node ended leaves its path behind, which leads to that node
        flow.attempt, flow.backend = effect.attempt, effect.backend
        flow.address = (effect.address[0], self.config.node_port or effect.address[1])
        self.hub.post(BackendConnected(flow.request, flow.attempt))

    def _ask(self, effect: ForwardRequest) -> None:
        flow = self.flows[effect.request]
        flow.asked = True
        for data in flow.first:
            self._path(flow, flow.client).send(data)
        wait = min(self.config.answer_ms, effect.remaining_ms) / 1000.0
        flow.answer = self.loop.call_later(wait, self._unanswered, flow, flow.attempt)

    def _unanswered(self, flow: Flow, attempt: int) -> None:
        self.hub.post(AttemptEnded(flow.request, attempt, TerminationReason.DEADLINE_EXCEEDED))

    def _path(self, flow: Flow, client: Address) -> Path:
        path = flow.paths.get(client)
        if path is None or path.closed:
            attempt = flow.attempt
            path = flow.paths[client] = Path(
                lambda p, data: self._from_backend(flow, attempt, p, data),
                lambda p: self._refused(flow, attempt, p),
                client,
            )
            self.loop.create_task(self._open(path, flow, attempt))
        path.used = self.loop.time()
        return path

    async def _open(self, path: Path, flow: Flow, attempt: int) -> None:
        try:
            await self.loop.create_datagram_endpoint(lambda: path, remote_addr=flow.address)
        except Exception as error:  # a senseless address too ends the attempt now, not at its time
            logger.warning("no path to {}: {!r}", flow.backend, error)
            self._refused(flow, attempt, path)

    def _drop(self, effect: AbortAttempt) -> None:
        flow = self.flows.get(effect.request)
        if flow is not None:
            self._leave_backend(flow)

    def _leave_backend(self, flow: Flow) -> None:
        flow.asked = False
        flow.held.clear()
        if flow.answer is not None:
            flow.answer.cancel()
            flow.answer = None
        for path in flow.paths.values():
            path.close()
        flow.paths.clear()

    def _join(self, effect: StartRelaying) -> None:
        flow = self.flows[effect.request]
        flow.up = True
        flow.first.clear()
        if flow.answer is not None:
            flow.answer.cancel()
            flow.answer = None
        held, flow.held = flow.held, []
        for path, data in held:
            self.front.send(data, path.client)

    def _refuse(self, request: int, reason: str) -> None:
        flow = self.flows[request]
        if flow.link is not None:  # it stood before this relay knew it
            self._reset(flow.last_id, flow.last_size, flow.client)
        else:
            close = quic.initial_close(flow.version, flow.original, flow.client_id, quic.REFUSED, reason)
            self.front.send(close, flow.client)
        self._forget(flow)

    def _requeue(self, effect: RejectRequest) -> None:
        self._refuse(
            effect.request, f"retry after {round(effect.retry_after_ms)} ms" if effect.retry_after_ms else "retry later"
        )

    def _deny(self, effect: FailRequest) -> None:
        self._refuse(effect.request, "not served")

    def _move(self, effect: MigrateConnection) -> None:
        self._end(self.flows[effect.request])

    def _close(self, effect: CloseClientConnection) -> None:
        flow = self.flows[effect.request]
        if effect.reason is TerminationReason.IDLE_EXPIRED:
            self._forget(flow, answered=False)
        else:
            self._end(flow)

    def _backend_gone(self, effect: BackendRemoved) -> None:
        for flow in [f for f in self.flows.values() if f.backend == effect.backend and f.attempt >= 0]:
            self.hub.post(AttemptEnded(flow.request, flow.attempt, TerminationReason.BACKEND_REMOVED))

    def _end(self, flow: Flow) -> None:
        if flow.last_id:
            self._reset(flow.last_id, flow.last_size, flow.client)
        self._forget(flow)

    def _reset(self, cid: bytes, size: int, client: Address) -> None:
        packet = quic.stateless_reset(quic.reset_token(self.config.reset_key, cid), size)
        if packet is not None:
            self.counts["resets"] += 1
            self.front.send(packet, client)

    def _forget(self, flow: Flow, answered: bool = True) -> None:
        self._leave_backend(flow)
        self.hub.forget(flow.request)
        self.flows.pop(flow.request, None)
        keys: list[bytes | Link] = [*flow.ids]
        for cid in flow.ids:
            self.by_id.pop(cid, None)
        if flow.link is not None:
            self.by_link.pop(flow.link, None)
            keys.append(flow.link)
        if answered:
            for key in keys:
                self.over[key] = self.loop.time() + self.config.idle_s
            while len(self.over) > 4 * self.config.max_connections:
                self.over.popitem(last=False)

    # --- books ----------------------------------------------------------------------------------

    def _name(self, flow: Flow, cid: bytes) -> None:
        flow.ids.add(cid)
        self.by_id[cid] = flow

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_S, self._sweep)
        now = self.loop.time()
        while self.over and next(iter(self.over.values())) <= now:
            self.over.popitem(last=False)
        for flow in list(self.flows.values()):
            if flow.up and now >= flow.heard + self.config.idle_s:
                self.hub.post(AttemptEnded(flow.request, flow.attempt, TerminationReason.IDLE_EXPIRED))
            elif flow.up and flow.silent_packets >= SILENT_PACKETS and now >= flow.silent_since + SILENT_S:
                self.hub.post(AttemptEnded(flow.request, flow.attempt, TerminationReason.UNRESPONSIVE))
            for client, path in list(flow.paths.items()):
                if client != flow.client and now >= path.used + PATH_IDLE_S:
                    path.close()
                    del flow.paths[client]
