"""What a balancer is told: events, in the order of their clock.

All times are milliseconds, all loads are milliseconds of standard-core work asked for in each second. Nothing here
decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from yarrowspindle.decisions.settings import Settings


class State(IntEnum):
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
    FULL = 2  # turned away unseen
    TIMEOUT = 3  # no answer in time; it may have run
    CONNECT_FAILED = 4  # no connection was made; it never ran
    RESET = 5  # the connection broke; it may have run
    CANCELLED = 6  # called off; it may have run
    MOOT = 7  # never sent


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


@dataclass(slots=True)
class ServerEntry:
    server: int
    zone: int = 0
    cell: int = 0
    state: State = State.READY
    capacity: float = 1.0
    started_ms: float = 0.0  # 0: long ago
    kind: int = 0


@dataclass(slots=True)
class ServerList:
    kind: ListKind
    entries: list[ServerEntry] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class Request:
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
class Adopted:
    """A connection that is open when the balancer starts; it counts as attempt 0, established."""

    request: int
    server: int
    cls: int = 0
    tenant: int = 0
    key: int = 0
    load: float = 0.0
    group: int = 0


@dataclass(slots=True)
class Established:
    request: int
    attempt: int
    server: int
    latency_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    request: int
    attempt: int
    server: int
    outcome: Outcome
    finished: bool  # the request is over; when not, it is still owed an answer
    latency_ms: float = 0.0


@dataclass(slots=True)
class LoadChanged:
    request: int
    server: int
    load: float


@dataclass(slots=True)
class ServerSlow:
    """How long a message takes at a server now, told while that is long and once when it no longer is."""

    request: int
    server: int
    message_ms: float


@dataclass(slots=True)
class TimerDue:
    token: int


@dataclass(slots=True)
class Probed:
    """What one `Probe` brought; `report` holds the values that `Settings.report` names, or nothing."""

    server: int
    outcome: Outcome
    latency_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    sender: int
    body: bytes


@dataclass(slots=True)
class ClientGone:
    """The client has left; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class Due:
    """The client's time is up, or this process ends: a request with no attempt out is answered now."""

    request: int


@dataclass(slots=True)
class Levelling:
    """Standing connections are being levelled out: `level` is the own load that each unit of a server's capacity
    should come to (load over capacity); 0 when that is over. Clients that come again are placed with it in mind."""

    level: float


@dataclass(frozen=True, slots=True)
class Retuned:
    """New settings from here on. Classes keep their numbers, and a class that vanished or changed keeps its entry while
    requests are under way in it, which keep their class and its limits. anew: numbers that no request has and that
    stand for another class than before."""

    settings: Settings
    anew: frozenset[int] = frozenset()


@dataclass(slots=True)
class Others:
    """What the other balancers hold, as far as it changed since this was last told. Servers by the low 32 bits of their
    numbers (`SERVER_KEY`).

    holds: server -> connections and load of all others that were heard of, the new sums. came: server -> connections
    that came there (or went) since, as far as that is known. heard: of how many balancers `holds` is the sum.
    balancers: that are there, this one included. age_ms: of the word. shunned: servers that more than half of those
    heard pass over. reports: server -> use, connections, age in milliseconds: load reports that others were told.
    rank: this balancer's place among those that are there; what one does for all goes by turns."""

    holds: dict[int, tuple[int, float]] = field(default_factory=dict)
    came: dict[int, int] = field(default_factory=dict)
    heard: int = 0
    balancers: int = 1
    age_ms: float = 0.0
    shunned: frozenset[int] = frozenset()
    reports: dict[int, tuple[float, float, float]] = field(default_factory=dict)
    rank: int = 0


SERVER_KEY = (1 << 32) - 1


def group_key(server: int, group: int) -> int:
    """By which it is told how many connections of a group a server holds: as if the two were one more server."""
    return ((server ^ group * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 >> 20) & SERVER_KEY


Event = (
    ServerList
    | Request
    | Adopted
    | Established
    | AttemptEnded
    | LoadChanged
    | ServerSlow
    | TimerDue
    | Probed
    | PeerMessage
    | ClientGone
    | Due
    | Levelling
    | Retuned
    | Others
)
