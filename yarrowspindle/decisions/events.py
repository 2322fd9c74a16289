"""The events that a balancer handles, in the order of its clock.

All times are milliseconds, all loads are milliseconds of standard-core work for each second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from yarrowspindle.decisions.settings import Settings


class EndpointState(IntEnum):
    """The state of a backend in the endpoint list."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListKind(IntEnum):
    """What an endpoint list contains."""

    DELTA = 0  # changed entries only
    FULL = 1  # all entries
    CACHED = 2  # all entries as last known, perhaps old
    FAILED = 3  # none: a poll failed or the subscription broke; the old list stays in use


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1  # the backend answered with an error; it may have run
    REJECTED = 2  # the backend rejected it before it ran
    TIMEOUT = 3  # no answer in time; it may have run
    CONNECT_FAILED = 4  # no connection was established; it never ran
    RESET = 5  # the connection was reset; it may have run
    CANCELLED = 6  # it may have run
    NOT_SENT = 7  # it never ran


NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


@dataclass(slots=True)
class Endpoint:
    """A backend's entry in the endpoint list."""

    backend: int
    zone: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    capacity: float = 1.0
    started_ms: float = 0.0  # when its process started, by the balancer's clock; 0: long ago
    kind: int = 0


@dataclass(slots=True)
class EndpointList:
    """An update of the endpoint list."""

    kind: ListKind
    entries: list[Endpoint] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestReceived:
    """A client's request was received; it needs one final answer within `left_ms`."""

    request: int
    cls: int = 0
    tenant: int = 0
    key: int = 0
    left_ms: float = 0.0
    load: float = 0.0  # 0: no hint
    group: int = 0
    repeated: bool = False  # for the record of events; no decision uses it
    mid_flow: bool = False  # as above
    returned: bool = False


@dataclass(slots=True)
class ExistingConnection:
    """A connection that exists when the balancer starts; it counts as attempt 0, established."""

    request: int
    backend: int
    cls: int = 0
    tenant: int = 0
    key: int = 0
    load: float = 0.0
    group: int = 0


@dataclass(slots=True)
class ConnectionEstablished:
    """An attempt succeeded, after `latency_ms` from its start."""

    request: int
    attempt: int
    backend: int
    latency_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt failed, or its established connection ended."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    finished: bool  # the request is over; else its answer is still pending
    latency_ms: float = 0.0


@dataclass(slots=True)
class LoadChanged:
    """The load of a connection changed."""

    request: int
    backend: int
    load: float


@dataclass(slots=True)
class SlowMessageObserved:
    """The message latency at a backend; received while it is slow, and once when it no longer is."""

    request: int
    backend: int
    message_ms: float


@dataclass(slots=True)
class TimerFired:
    """The timer of this token has fired."""

    token: int


@dataclass(slots=True)
class HealthCheckCompleted:
    """The result of one `CheckHealth`; `report`: values of `Settings.load_report_fields`, or empty."""

    backend: int
    outcome: Outcome
    latency_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message of a peer; ignored, since peers' loads are received as `PeerLoads`."""

    sender: int
    body: bytes


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected; no answer is pending any more."""

    request: int


@dataclass(slots=True)
class DeadlineReached:
    """The client's deadline, or this process shuts down: a request without an attempt in flight is answered now."""

    request: int


@dataclass(slots=True)
class RebalancingTarget:
    """The own load that each unit of a backend's capacity should have during rebalancing; 0: it is over.

    Clients that come again are placed with it in mind.
    """

    level: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply from now on.

    Classes keep their numbers, and a class that was removed or changed keeps its entry while requests of it exist.
    reassigned_classes: numbers without requests that stand for another class than before.
    """

    settings: Settings
    reassigned_classes: frozenset[int] = frozenset()


@dataclass(slots=True)
class PeerLoads:
    """What the peers have at the backends, as far as it changed since the last such event.

    Backends and groups are named by key: the low 32 bits of a backend's id, or `group_key`. loads: connections and
    load of all reporting peers, the new sums. connection_changes: connections that were added (or ended, below 0)
    since. reporting_relays: how many peers the sums are of. relays: active ones, this one included. age_ms: mean age of
    the reports in the sums. ejected_by_peers: backends that more than half of the reporting peers have ejected.
    reports: utilization, connections and age in milliseconds of load reports that peers received. rank: of this
    balancer among the active ones, from 0; what one does for all is assigned by it.
    """

    loads: dict[int, tuple[int, float]] = field(default_factory=dict)
    connection_changes: dict[int, int] = field(default_factory=dict)
    reporting_relays: int = 0
    relays: int = 1
    age_ms: float = 0.0
    ejected_by_peers: frozenset[int] = frozenset()
    reports: dict[int, tuple[float, float, float]] = field(default_factory=dict)
    rank: int = 0


BACKEND_KEY_MASK = (1 << 32) - 1  # peers name a backend by the low bits of its id


def group_key(backend: int, group: int) -> int:
    """Return the key of a group's connections at a backend, in the same space of numbers as those of backends."""
    return ((backend ^ group * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 >> 20) & BACKEND_KEY_MASK


Event = (
    EndpointList
    | RequestReceived
    | ExistingConnection
    | ConnectionEstablished
    | AttemptEnded
    | LoadChanged
    | SlowMessageObserved
    | TimerFired
    | HealthCheckCompleted
    | PeerMessage
    | ClientDisconnected
    | DeadlineReached
    | RebalancingTarget
    | SettingsChanged
    | PeerLoads
)
