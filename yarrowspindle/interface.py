"""Settings, events and actions of a yarrowspindle balancer.

A caller builds one `Settings`, makes a `Balancer` from it, and feeds it events in the order of their
clock; each call returns the actions to carry out, in order. All times are milliseconds, all loads are
milliseconds of standard-core work asked for in each second. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from math import inf

from yarrowspindle.decisions.refusal import Refusal


class Effect(IntEnum):
    """What repeating a request may do."""

    SAFE = 0  # may be repeated at will
    KEYED = 1  # repeats are dropped by the servers of one group, for a while
    UNSAFE = 2  # may be repeated only while no attempt can have run


class Group(IntEnum):
    """Which servers drop the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


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


# --- settings -----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class RequestClass:
    aim_ms: float  # wanted set up within
    deadline_ms: float
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ms: float = 0.0  # keyed: how long repeats are dropped, from the first attempt that may have run
    worth: float = 1.0
    message_aim_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    quota_per_s: float = 0.0  # within-share requests a second, over all balancers
    quota_connections: float = 0.0  # within-share open connections, over all balancers
    share: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a balancer is told at its start.

    The policy does not act on `tenants`, `over_share_worth`, `drain_grace_ms` (it stops at once),
    `answer_slack_ms`, `connect_timeout_ms` and `may_tell` so far.
    """

    classes: tuple[RequestClass, ...]
    zone: int = 0
    zones: int = 1
    number: int = 0  # this balancer's own number, from 0
    balancers: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    asks: bool = False  # the server list comes only on asking
    ask_within_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0
    cold_share: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 1_000.0
    connect_timeout_ms: float = 250.0
    conn_idle_ms: float = 30_000.0  # connections that are not used for so long are closed
    tick_ms: float = 1.0
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0
    retry_after: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    cross_zone_price: float = 0.0
    move_price: float = 0.0
    probe_price: float = 0.0
    tells_load: bool = True  # `LoadChanged` comes as connections' loads change
    tells_delay: bool = True  # `ServerSlow` comes while messages take long
    live_weights: bool = False  # a capacity in the list is lowered by what the server holds, as some time ago
    groups: bool = False  # connections of one group share work: each server that holds any of it pays for it once
    report: tuple[str, ...] = ()  # the fields of a load report; empty where probes bring none
    slow_ms: float = field(init=False, repr=False, compare=False)  # message times over it are told: a third of an aim
    by_own_load: bool = False  # judge by own load too: word on long messages comes late, or not at every server

    def __post_init__(self) -> None:
        def need(ok: bool, what: str) -> None:
            if not ok:
                raise ValueError(f"settings: {what}")

        need(len(self.classes) > 0, "no request class")
        need(self.balancers >= 1, "balancers must be at least 1")
        need(0 <= self.number, "own number must not be negative")
        need(self.zones >= 1 and 0 <= self.zone < self.zones, "own zone is not among the zones")
        need(self.max_attempts >= 1, "max_attempts must be at least 1")
        need(0.0 < self.cold_share <= 1.0, "cold_share must be above 0 and at most 1")
        need(self.fall_multiple > 0.0, "fall_multiple must be above 0")
        need(self.tick_ms > 0.0, "tick_ms must be above 0")
        for name in (
            "cold_ms",
            "fall_ms",
            "drain_grace_ms",
            "answer_slack_ms",
            "ask_within_ms",
            "connect_timeout_ms",
            "conn_idle_ms",
            "max_retry_after_ms",
            "cross_zone_price",
            "move_price",
            "probe_price",
            "over_share_worth",
        ):
            need(0.0 <= getattr(self, name) < float("inf"), f"{name} is out of range")
        for c in self.classes:
            need(0.0 < c.deadline_ms < float("inf"), "a class's deadline must be above 0")
            need(0.0 < c.aim_ms < float("inf"), "a class's aim must be above 0")
            need(0.0 <= c.window_ms < float("inf"), "a class's window is out of range")
        shortest = min((c.message_aim_ms for c in self.classes if c.message_aim_ms > 0.0), default=0.0)
        object.__setattr__(self, "slow_ms", shortest / 3.0)


# --- events -------------------------------------------------------------------------------------


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


# --- actions ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start the request's next attempt; attempts count from 0 in the order of their sends."""

    request: int
    server: int
    timeout_ms: float  # 0: until the client gives up
    begin_ms: float = inf  # a repeat may not begin later than this from now: it would not be known as one any more


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, and trying again does no harm."""

    request: int
    retry_after_ms: float = 0.0
    why: Refusal | None = None


@dataclass(slots=True)
class Fail:
    """Final answer: not served, with no promise on whether it ran."""

    request: int
    why: Refusal | None = None


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class Move:
    """End an established connection politely; its client comes again as a new request."""

    request: int


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask a server for its load report; one `Probed` answers it. Each costs the server work and has a price."""

    server: int


@dataclass(slots=True)
class Subscribe:
    on: bool = True


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Move | SetTimer | Probe | Subscribe | Log
