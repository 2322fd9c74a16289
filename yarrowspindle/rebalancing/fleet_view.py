"""What this relay knows of the fleet: own loads and connections by backend, and how warm each backend is by now.

Kept up to date with each event, so that a plan reads sums and never walks over all connections. What other relays hold
is neither known nor needed: see `docs/design/rebalance.md`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from yarrowspindle.decisions.events import EndpointState

MAX_FLAPS = 6  # times that the settling time doubles
FLAP_MEMORY_MS = 600_000.0
MAX_RECORDS = 20_000  # above it, backends that flapped are forgotten as well
MEAN_LOAD_WEIGHT = 0.05  # of a new load in the running mean
MIN_CAPACITY = 1e-6


class ListedBackend(Protocol):
    """What an endpoint list says of a backend."""

    name: str
    state: EndpointState


class EstablishedConnection:
    """One established connection of this relay.

    Attributes:
        request: its id.
        backend: where it stands.
        load: as last reported, or the mean.
        key: of its client; 0: not given.
        group: of its client; 0: none.
        since: when it was established, in milliseconds.
        returned: whether its client had been migrated or cut off before.
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
    """One backend, with the connections of this relay.

    Attributes:
        ready_since: since when it has been ready without a break, in milliseconds.
        joined_at: when it joined a fleet that was known by then; below 0: it did not.
        flaps: how often it became ready again within FLAP_MEMORY_MS of the time before.
        connections: by request id, oldest first.
        groups: group -> the request ids of its connections.
        hot_since: since when it has been far above the level; below 0: it is not.
        excluded_until: it rejected returning clients, and is no target until then.
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
        """Own load over capacity."""
        return self.load / self.capacity


class FleetView:
    """All backends and established connections.

    Args:
        warmup_ms: how long a started backend warms up.
        initial_capacity_fraction: of its capacity, at its start.
    """

    def __init__(self, warmup_ms: float, initial_capacity_fraction: float) -> None:
        self.warmup_ms = warmup_ms
        self.initial_capacity_fraction = initial_capacity_fraction
        self.by_name: dict[str, BackendRecord] = {}
        self.by_id: dict[int, BackendRecord] = {}
        self.connections: dict[int, EstablishedConnection] = {}
        self.mean_load = 0.0
        self._list_received = False  # a list has come: a backend that is new in a later one has joined

    # --- backends ---------------------------------------------------------------------------------

    def update_backend(
        self, now: float, name: str, backend_id: int, state: EndpointState, capacity: float, started: float
    ) -> None:
        """Takes in what an endpoint list says of one backend.

        Args:
            now: milliseconds.
            name: of the backend.
            backend_id: its id.
            state: of its endpoint.
            capacity: as listed.
            started: the last start of its process in milliseconds; 0: long ago.
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
        """Ends an endpoint list. A backend that is gone and holds nothing is forgotten.

        One that flapped is remembered for longer than its absence, within MAX_RECORDS.

        Args:
            affected: the backends that the list named or left out.
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
        """Returns the fraction of its capacity that a backend has at the least by now."""
        if record.started <= 0.0 or now >= record.started + self.warmup_ms:
            return 1.0
        uptime_ms = max(now - record.started, 0.0)
        return self.initial_capacity_fraction + (1.0 - self.initial_capacity_fraction) * uptime_ms / self.warmup_ms

    def is_settled(self, now: float, record: BackendRecord, settle_ms: float) -> bool:
        """Returns whether it is ready, warm, and has been so for long enough; each flap doubles how long that is."""
        if record.state is not EndpointState.READY or self.capacity_fraction(now, record) < 1.0:
            return False
        wait_ms = settle_ms * 2.0 ** max(0, record.flaps - 1)
        return now >= record.ready_since + wait_ms

    # --- connections ------------------------------------------------------------------------------

    def add_connection(
        self, now: float, request_id: int, name: str, load: float, client_key: int, group: int, returned: bool
    ) -> None:
        """Adds an established connection. One at a backend that the list no longer names is left out."""
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
        """Takes in a new load of a connection; 0 says nothing."""
        connection = self.connections.get(request_id)
        if connection is not None and load > 0.0:
            self._update_mean_load(load)
            connection.backend.load += load - connection.load
            connection.load = load

    def _update_mean_load(self, load: float) -> None:
        if load > 0.0:
            self.mean_load += (load - self.mean_load) * (MEAN_LOAD_WEIGHT if self.mean_load else 1.0)

    def remove_connection(self, request_id: int) -> EstablishedConnection | None:
        """Removes a connection that has ended. Returns it, or None where it was not known."""
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
