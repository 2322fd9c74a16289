"""The QUIC front's table of connections, by request, by connection id and by the link that a backend's id encodes."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from yarrowspindle.protocol.quic import ConnectionKey
from yarrowspindle.routing.address import Address
from yarrowspindle.transport.datagrams import BackendPath
from yarrowspindle.transport.inactivity_timer import InactivityTimer

NO_ATTEMPT = -1
MAX_PENDING_PER_ADDRESS = 8  # connections of one client address that no backend has accepted yet
MAX_ENDED_IDS_PER_CONNECTION = 4  # remembered ids of ended connections, per connection that the table may hold


@dataclass(slots=True)
class Flow:
    """One QUIC connection. Times are seconds of the event loop's clock.

    Attributes:
        request: the number of its request in the reducer.
        original_connection_id: the destination connection id of the client's first Initial.
        client_connection_id: the client's own connection id.
        version: the QUIC version.
        client_address: the address from which the client last sent a datagram.
        pending_address: the address under which it counts as one that no backend has accepted yet; None afterwards.
        last_received_at: when the client, or once the connection is established the backend, last sent a datagram.
        first_flight: the client's first datagrams, kept until the connection is established to resend them to another
            backend if the attempt fails.
        pending_datagrams: the backend's datagrams that are held back until the connection is established.
        attempt: the number of the attempt in flight.
        backend: the name of the attempt's backend.
        address: the backend's address.
        forwarding: whether the client's datagrams go to the backend.
        established: whether the backend has accepted the connection.
        connection_ids: all destination connection ids that the client may use.
        link: the backend's id and its number for the connection, if the backend's connection id encodes them.
        paths: one socket towards the backend for each client address.
        last_connection_id: the backend's connection id that the client used last.
        last_datagram_bytes: the size of the datagram with that id.
        unanswered_since: when the first datagram that the backend has not answered was received.
        unanswered_datagrams: number of the client's datagrams since the backend last answered.
        timeout: timer that ends the attempt.
    """

    request: int
    original_connection_id: bytes
    client_connection_id: bytes
    version: int
    client_address: Address
    last_received_at: float
    first_flight: list[bytes] = field(default_factory=list)
    pending_datagrams: list[tuple[BackendPath, bytes]] = field(default_factory=list)
    attempt: int = NO_ATTEMPT
    backend: str = ""
    address: Address | None = None
    forwarding: bool = False
    established: bool = False
    connection_ids: set[bytes] = field(default_factory=set)
    link: ConnectionKey | None = None
    paths: dict[Address, BackendPath] = field(default_factory=dict)
    last_connection_id: bytes = b""
    last_datagram_bytes: int = 0
    unanswered_since: float = 0.0
    unanswered_datagrams: int = 0
    timeout: InactivityTimer | None = None
    pending_address: Address | None = None

    @property
    def sent_datagrams(self) -> int:
        """The number of datagrams that were sent to the backend in the attempt in flight."""
        return sum(path.sent for path in self.paths.values())

    def detach_backend(self) -> None:
        """Close the paths to the backend and discard the datagrams it has sent."""
        self.forwarding = False
        self.pending_datagrams.clear()
        self.cancel_timeout()
        for path in self.paths.values():
            path.close()
        self.paths.clear()

    def cancel_timeout(self) -> None:
        """Cancel the timeout of the attempt."""
        if self.timeout is not None:
            self.timeout.cancel()
            self.timeout = None

    def close_idle_paths(self, before: float) -> None:
        """Close paths of former client addresses that were last used before this time."""
        for address, path in list(self.paths.items()):
            if address != self.client_address and before >= path.last_used_at:
                path.close()
                del self.paths[address]


class FlowTable:
    """All connections, and the ids of ended ones, so that their late datagrams do not start new connections.

    Args:
        max_connections: maximum number of connections.
        remember_s: seconds for which the ids of an ended connection are remembered.
    """

    def __init__(self, max_connections: int, remember_s: float) -> None:
        self.max_connections = max_connections
        self.remember_s = remember_s
        self.flows: dict[int, Flow] = {}
        self.by_connection_id: dict[bytes, Flow] = {}
        self.by_link: dict[ConnectionKey, Flow] = {}
        self.pending: Counter[Address] = Counter()  # by the client's first address
        self.ended_ids: OrderedDict[bytes | ConnectionKey, float] = OrderedDict()  # time at which each expires

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of connections is reached."""
        return len(self.flows) >= self.max_connections

    def may_begin(self, client: Address) -> bool:
        """Return whether one more connection of this client address may begin."""
        return self.pending[client] < MAX_PENDING_PER_ADDRESS

    def add(self, flow: Flow) -> None:
        """Add a connection under its first id."""
        self.flows[flow.request] = flow
        flow.pending_address = flow.client_address
        self.pending[flow.client_address] += 1
        self.add_id(flow, flow.original_connection_id)

    def add_id(self, flow: Flow, connection_id: bytes) -> None:
        """Add a destination connection id that the client may use."""
        flow.connection_ids.add(connection_id)
        self.by_connection_id[connection_id] = flow

    def set_link(self, flow: Flow, link: ConnectionKey) -> None:
        """Set the link of a connection, so that all ids that the backend issues for it are recognized."""
        flow.link = link
        self.by_link[link] = flow

    def end_pending(self, flow: Flow) -> None:
        """Count the connection no longer as one that waits for a backend."""
        address, flow.pending_address = flow.pending_address, None
        if address is not None:
            self.pending[address] -= 1
            if not self.pending[address]:
                del self.pending[address]

    def contains(self, flow: Flow) -> bool:
        """Return whether the connection has not ended."""
        return self.flows.get(flow.request) is flow

    def remove(self, flow: Flow, now: float, remember: bool) -> None:
        """Remove a connection; if `remember` is set, keep its ids as those of an ended connection."""
        self.flows.pop(flow.request, None)
        self.end_pending(flow)
        keys: list[bytes | ConnectionKey] = [*flow.connection_ids]
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
        """Forget the ids of ended connections whose time has expired."""
        while self.ended_ids and next(iter(self.ended_ids.values())) <= now:
            self.ended_ids.popitem(last=False)
