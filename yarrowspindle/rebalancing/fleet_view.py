"""This relay's view of the fleet: its own connections and their load by backend, and the state of each backend.

The sums are updated with each event, so that planning never iterates over all connections. The connections of other
relays are neither known nor needed: see `docs/design/rebalance.md`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from yarrowspindle.decisions.events import EndpointState

MAX_FLAPS = 6  # bounds the doubling of the settling time
FLAP_MEMORY_MS = 600_000.0
MAX_RECORDS = 20_000  # with more records, removed backends are dropped even if they flapped
MEAN_LOAD_WEIGHT = 0.05  # of a new load in the exponential moving average
MIN_CAPACITY = 1e-6


class ListedBackend(Protocol):
    """A backend as listed in an endpoint list."""

    name: str
    state: EndpointState


class EstablishedConnection:
    """An established connection of this relay.

    Attributes:
        request_id: Id of the connection's request.
        backend: Backend that the connection leads to.
        load: Last reported load, or the mean load if none was reported.
        client_key: Key of the client; 0 if not given.
        group: Group of the client; 0 for none.
        established_at: Time of establishment in milliseconds.
        returned: Whether the client reconnected after a migration or a lost connection.
    """

    __slots__ = ("request_id", "backend", "load", "client_key", "group", "established_at", "returned")

    def __init__(
        self,
        request_id: int,
        backend: BackendRecord,
        load: float,
        client_key: int,
        group: int,
        established_at: float,
        returned: bool,
    ) -> None:
        self.request_id = request_id
        self.backend = backend
        self.load = load
        self.client_key = client_key
        self.group = group
        self.established_at = established_at
        self.returned = returned


class BackendRecord:
    """A backend, with the connections of this relay to it. Times are in milliseconds.

    Attributes:
        name: Name of the backend.
        backend_id: Id of the backend.
        capacity: Capacity as listed.
        started: Last start of the backend's process; 0 if long ago.
        state: State of its endpoint.
        ready_since: Start of the current uninterrupted ready period.
        joined_at: When it became ready after this relay's first endpoint list; negative if it was in that list.
        flaps: How often it became ready again, each time within FLAP_MEMORY_MS of the time before.
        last_flap_at: When it last became ready again.
        load: Total load of `connections`.
        connections: Connections by request id, oldest first.
        groups: Request ids of the connections by group.
        hot_since: Since when its utilization has been far above the mean; negative if it is not.
        excluded_until: End of its exclusion as a target, after returning clients failed to connect to it.
    """

    __slots__ = (
        "name",
        "backend_id",
        "capacity",
        "started",
        "state",
        "ready_since",
        "joined_at",
        "flaps",
        "last_flap_at",
        "load",
        "connections",
        "groups",
        "hot_since",
        "excluded_until",
    )

    def __init__(self, name: str, backend_id: int) -> None:
        self.name = name
        self.backend_id = backend_id
        self.capacity = 1.0
        self.started = 0.0
        self.state = EndpointState.GONE
        self.ready_since = 0.0
        self.joined_at = -1.0
        self.flaps = 0
        self.last_flap_at = 0.0
        self.load = 0.0
        self.connections: dict[int, EstablishedConnection] = {}
        self.groups: dict[int, set[int]] = {}
        self.hot_since = -1.0
        self.excluded_until = -1.0

    @property
    def utilization(self) -> float:
        """Load of this relay's connections divided by the backend's capacity."""
        return self.load / self.capacity


class FleetView:
    """All backends, and all established connections of this relay.

    Args:
        warmup_ms: Warm-up time of a backend after its start.
        initial_capacity_fraction: Fraction of its capacity that a backend has at its start.
    """

    def __init__(self, warmup_ms: float, initial_capacity_fraction: float) -> None:
        self.warmup_ms = warmup_ms
        self.initial_capacity_fraction = initial_capacity_fraction
        self.by_name: dict[str, BackendRecord] = {}
        self.by_id: dict[int, BackendRecord] = {}
        self.connections: dict[int, EstablishedConnection] = {}
        self.mean_load = 0.0
        self._list_received = False  # backends that become ready after the first list count as newly joined

    # --- backends ---------------------------------------------------------------------------------

    def update_backend(
        self, now: float, name: str, backend_id: int, state: EndpointState, capacity: float, started: float
    ) -> None:
        """Add or update a backend from an endpoint list.

        Args:
            now: Current time in milliseconds.
            name: Name of the backend.
            backend_id: Id of the backend.
            state: State of its endpoint.
            capacity: Capacity as listed.
            started: Last start of its process in milliseconds; 0 if long ago.
        """
        record = self.by_name.get(name)
        is_known = record is not None
        if record is None:
            record = self.by_name[name] = self.by_id[backend_id] = BackendRecord(name, backend_id)
        becomes_ready = record.state is not EndpointState.READY or started != record.started
        if state is EndpointState.READY and becomes_ready:
            self._on_ready(now, record, is_known)
        record.state = state
        record.capacity = max(capacity, MIN_CAPACITY)
        record.started = started

    def _on_ready(self, now: float, record: BackendRecord, is_known: bool) -> None:
        record.ready_since = now
        record.hot_since = -1.0
        record.excluded_until = -1.0
        if self._list_received:
            record.joined_at = now
        if is_known:
            if now > record.last_flap_at + FLAP_MEMORY_MS:
                record.flaps = 0
            record.flaps = min(record.flaps + 1, MAX_FLAPS)
            record.last_flap_at = now

    def finish_list(self, affected: Iterable[ListedBackend]) -> None:
        """Complete the update from an endpoint list, and drop removed backends that have no connections.

        The record of a removed backend that flapped is kept, unless there are more than MAX_RECORDS records, so that
        its flaps still count when it returns.

        Args:
            affected: Backends whose state the list changed, including those that it no longer contains.
        """
        self._list_received = True
        for backend in affected:
            record = self.by_name.get(backend.name)
            if record is None or backend.state is not EndpointState.GONE:
                continue
            record.state = EndpointState.GONE
            if not record.connections and (not record.flaps or len(self.by_name) > MAX_RECORDS):
                del self.by_name[record.name]
                del self.by_id[record.backend_id]

    def capacity_fraction(self, now: float, record: BackendRecord) -> float:
        """Return the minimum fraction of its capacity that a backend has reached in its warm-up."""
        if record.started <= 0.0 or now >= record.started + self.warmup_ms:
            return 1.0
        uptime_ms = max(now - record.started, 0.0)
        return self.initial_capacity_fraction + (1.0 - self.initial_capacity_fraction) * uptime_ms / self.warmup_ms

    def is_settled(self, now: float, record: BackendRecord, settle_ms: float) -> bool:
        """Return whether a backend is warm and has been ready for the settling time, which doubles with each flap."""
        if record.state is not EndpointState.READY or self.capacity_fraction(now, record) < 1.0:
            return False
        wait_ms = settle_ms * 2.0 ** max(0, record.flaps - 1)
        return now >= record.ready_since + wait_ms

    # --- connections ------------------------------------------------------------------------------

    def add_connection(
        self, now: float, request_id: int, name: str, load: float, client_key: int, group: int, returned: bool
    ) -> None:
        """Add an established connection, unless its backend is no longer known."""
        record = self.by_name.get(name)
        if record is None:
            return
        self._update_mean_load(load)
        load = load or self.mean_load or 1.0
        connection = EstablishedConnection(request_id, record, load, client_key, group, now, returned)
        self.connections[request_id] = record.connections[request_id] = connection
        record.load += connection.load
        if group:
            record.groups.setdefault(group, set()).add(request_id)

    def update_load(self, request_id: int, load: float) -> None:
        """Update the load of a connection; a load of 0 means that none was reported."""
        connection = self.connections.get(request_id)
        if connection is not None and load > 0.0:
            self._update_mean_load(load)
            connection.backend.load += load - connection.load
            connection.load = load

    def _update_mean_load(self, load: float) -> None:
        if load > 0.0:
            self.mean_load += (load - self.mean_load) * (MEAN_LOAD_WEIGHT if self.mean_load else 1.0)

    def remove_connection(self, request_id: int) -> EstablishedConnection | None:
        """Remove a connection that has ended, and return it; None if it is not known."""
        connection = self.connections.pop(request_id, None)
        if connection is None:
            return None
        record = connection.backend
        del record.connections[request_id]
        record.load = record.load - connection.load if record.connections else 0.0
        if connection.group:
            members = record.groups[connection.group]
            members.discard(request_id)
            if not members:
                del record.groups[connection.group]
        return connection
