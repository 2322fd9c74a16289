"""QUIC connections as the front knows them: by request, by connection id, and by the backend's link."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from yarrowspindle.protocol.quic import Link
from yarrowspindle.routing.address import Address
from yarrowspindle.transport.datagrams import Path
from yarrowspindle.transport.silence import SilenceTimer

NO_ATTEMPT = -1
MAX_ENDED_IDS_PER_CONNECTION = 4  # ids of ended connections that are remembered, for each connection at once


@dataclass(slots=True)
class Flow:
    """One QUIC connection. Times are seconds of the event loop.

    Attributes:
        request: its id for the reducer.
        original_connection_id: the destination connection id of the client's first Initial.
        client_connection_id: the client's own connection id.
        version: of QUIC.
        client_address: the address that the client sent from last.
        last_received_at: when the client, or after its set-up the backend, last sent anything.
        first_flight: the client's datagrams until the connection is established, for another backend if one fails.
        pending_datagrams: the backend's datagrams until its handshake has answered.
        attempt: the number of the attempt in flight.
        backend: its name.
        address: where its datagrams go.
        forwarding: whether the client's datagrams go to the backend.
        established: whether the backend has accepted the connection.
        connection_ids: all ids by which the client may send.
        link: the backend's id and its number for the connection, where the backend's connection id names them.
        paths: one socket towards the backend for each address of the client.
        last_connection_id: the backend's connection id that the client used last.
        last_datagram_bytes: the size of that datagram.
        unanswered_since: when the first datagram that had no answer came.
        unanswered_datagrams: how many datagrams of the client had no answer.
        timeout: ends the attempt.
    """

    request: int
    original_connection_id: bytes
    client_connection_id: bytes
    version: int
    client_address: Address
    last_received_at: float
    first_flight: list[bytes] = field(default_factory=list)
    pending_datagrams: list[tuple[Path, bytes]] = field(default_factory=list)
    attempt: int = NO_ATTEMPT
    backend: str = ""
    address: Address | None = None
    forwarding: bool = False
    established: bool = False
    connection_ids: set[bytes] = field(default_factory=set)
    link: Link | None = None
    paths: dict[Address, Path] = field(default_factory=dict)
    last_connection_id: bytes = b""
    last_datagram_bytes: int = 0
    unanswered_since: float = 0.0
    unanswered_datagrams: int = 0
    timeout: SilenceTimer | None = None

    def detach_backend(self) -> None:
        """Closes the paths to the backend, and forgets what it has sent."""
        self.forwarding = False
        self.pending_datagrams.clear()
        self.cancel_timeout()
        for path in self.paths.values():
            path.close()
        self.paths.clear()

    def cancel_timeout(self) -> None:
        """The attempt has its answer."""
        if self.timeout is not None:
            self.timeout.cancel()
            self.timeout = None

    def close_idle_paths(self, before: float) -> None:
        """Closes paths of addresses that the client has left and that were last used before this time."""
        for address, path in list(self.paths.items()):
            if address != self.client_address and before >= path.used:
                path.close()
                del self.paths[address]


class FlowTable:
    """All connections, and the ids of those that have ended, so that late datagrams are not taken for new ones.

    Args:
        max_connections: at once.
        remember_s: how long an ended connection's ids are remembered.
    """

    def __init__(self, max_connections: int, remember_s: float) -> None:
        self.max_connections = max_connections
        self.remember_s = remember_s
        self.flows: dict[int, Flow] = {}
        self.by_connection_id: dict[bytes, Flow] = {}
        self.by_link: dict[Link, Flow] = {}
        self.ended_ids: OrderedDict[bytes | Link, float] = OrderedDict()  # until when each is remembered

    @property
    def is_full(self) -> bool:
        """Whether no more connections are accepted."""
        return len(self.flows) >= self.max_connections

    def add(self, flow: Flow) -> None:
        """Adds a connection under its first id."""
        self.flows[flow.request] = flow
        self.add_id(flow, flow.original_connection_id)

    def add_id(self, flow: Flow, connection_id: bytes) -> None:
        """The client may send by this id too."""
        flow.connection_ids.add(connection_id)
        self.by_connection_id[connection_id] = flow

    def set_link(self, flow: Flow, link: Link) -> None:
        """The client may send by any id that the backend issues for this link."""
        flow.link = link
        self.by_link[link] = flow

    def contains(self, flow: Flow) -> bool:
        """Returns whether the connection has not ended."""
        return self.flows.get(flow.request) is flow

    def remove(self, flow: Flow, now: float, remember: bool) -> None:
        """Removes a connection. `remember`: its ids stay known as those of an ended one."""
        self.flows.pop(flow.request, None)
        keys: list[bytes | Link] = [*flow.connection_ids]
        for connection_id in flow.connection_ids:
            self.by_connection_id.pop(connection_id, None)
        if flow.link is not None:
            self.by_link.pop(flow.link, None)
            keys.append(flow.link)
        if not remember:
            return
        for key in keys:
            self.ended_ids[key] = now + self.remember_s
        while len(self.ended_ids) > MAX_ENDED_IDS_PER_CONNECTION * self.max_connections:
            self.ended_ids.popitem(last=False)

    def expire(self, now: float) -> None:
        """Forgets the ids of connections that ended long ago."""
        while self.ended_ids and next(iter(self.ended_ids.values())) <= now:
            self.ended_ids.popitem(last=False)
