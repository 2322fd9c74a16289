"""What a balancer is told: events, in the order of their clock.

All times are milliseconds, all loads are milliseconds of standard-core work asked for in each second. Nothing here
decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from yarrowspindle.decisions.settings import Settings


class EndpointState(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2


class ListKind(IntEnum):
    DELTA = 0  # changed entries only
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as last known, perhaps old
    FAILED = 3  # a call for the list failed or the subscription broke; the old list stands


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; it may have run
    REJECTED = 2  # turned away unseen
    TIMEOUT = 3  # no answer in time; it may have run
    CONNECT_FAILED = 4  # no connection was made; it never ran
    RESET = 5  # the connection broke; it may have run
    CANCELLED = 6  # called off; it may have run
    NOT_SENT = 7  # never sent


NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


@dataclass(slots=True)
class Endpoint:
    backend: int
    zone: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    capacity: float = 1.0
    started_ms: float = 0.0  # 0: long ago
    kind: int = 0


@dataclass(slots=True)
class EndpointList:
    kind: ListKind
    entries: list[Endpoint] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestReceived:
    """A client's request has come; it is owed one final answer before `left_ms` has passed."""

    request: int
    cls: int = 0
    tenant: int = 0
    key: int = 0
    left_ms: float = 0.0
    load: float = 0.0  # 0: no hint
    group: int = 0
    repeated: bool = False
    mid_flow: bool = False
    returned: bool = False


@dataclass(slots=True)
class ExistingConnection:
    """A connection that is open when the balancer starts; it counts as attempt 0, established."""

    request: int
    backend: int
    cls: int = 0
    tenant: int = 0
    key: int = 0
    load: float = 0.0
    group: int = 0


@dataclass(slots=True)
class ConnectionEstablished:
    request: int
    attempt: int
    backend: int
    latency_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    request: int
    attempt: int
    backend: int
    outcome: Outcome
    finished: bool  # the request is over; when not, it is still owed an answer
    latency_ms: float = 0.0


@dataclass(slots=True)
class LoadChanged:
    request: int
    backend: int
    load: float


@dataclass(slots=True)
class SlowMessageObserved:
    """How long a message takes at a server now, told while that is long and once when it no longer is."""

    request: int
    backend: int
    message_ms: float


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class HealthCheckCompleted:
    """What one `Probe` brought; `report` holds the values that `Settings.report` names, or nothing."""

    backend: int
    outcome: Outcome
    latency_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    sender: int
    body: bytes


@dataclass(slots=True)
class ClientDisconnected:
    """The client has left; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class DeadlineReached:
    """The client's time is up, or this process ends: a request with no attempt out is answered now."""

    request: int


@dataclass(slots=True)
class RebalancingTarget:
    """Standing connections are being levelled out: `level` is the own load that each unit of a server's capacity
    should come to (load over capacity); 0 when that is over. Clients that come again are placed with it in mind."""

    level: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings from here on. Classes keep their numbers, and a class that vanished or changed keeps its entry while
    requests are under way in it, which keep their class and its limits. anew: numbers that no request has and that
    stand for another class than before."""

    settings: Settings
    reassigned_classes: frozenset[int] = frozenset()


@dataclass(slots=True)
class PeerLoads:
    """What the other balancers hold, as far as it changed since this was last told. Servers by the low 32 bits of their
    numbers (`SERVER_KEY`).

    holds: server -> connections and load of all others that were heard of, the new sums. came: server -> connections
    that came there (or went) since, as far as that is known. heard: of how many balancers `holds` is the sum.
    balancers: that are there, this one included. age_ms: of the word. shunned: servers that more than half of those
    heard pass over. reports: server -> use, connections, age in milliseconds: load reports that others were told.
    rank: this balancer's place among those that are there; what one does for all goes by turns."""

    loads: dict[int, tuple[int, float]] = field(default_factory=dict)
    connection_changes: dict[int, int] = field(default_factory=dict)
    reporting_relays: int = 0
    relays: int = 1
    age_ms: float = 0.0
    ejected_by_peers: frozenset[int] = frozenset()
    reports: dict[int, tuple[float, float, float]] = field(default_factory=dict)
    rank: int = 0


BACKEND_KEY_MASK = (1 << 32) - 1


def group_key(backend: int, group: int) -> int:
    """By which it is told how many connections of a group a server holds: as if the two were one more server."""
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
