"""Estimates of how full servers are: load reports and message times, carried on by what was placed since.

A load is measured in mean connections, and `unit` says how much capacity one takes; both are learned. Nothing here
decides anything.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, inf

from yarrowspindle.decisions.backends import Backend, Request
from yarrowspindle.decisions.peer_loads import PeerLoadTable
from yarrowspindle.decisions.settings import Settings

USED, HOLDS = "x0", "rif"  # fields of a load report: load asked over what the server can do, connections held
KNEE, STEEP = 0.96, 11.0  # half of the messages are late at this use; measured over 24 days, see docs
GROUP = 1.0  # mean connections that a server pays for a group, of which it holds any
UNIT = 0.06  # capacity that a mean connection takes, until reports tell
GUESS = 0.5  # the use of a server that has not reported
AGE_MS = 1000.0  # a report speaks of a time up to so long ago: what was placed since is not in it
SICK = 9.0  # the use of a server that does not answer
MAX_SINCE = 256  # placements since a report, one by one
LEARN, LEARN_UNIT = 0.05, 0.05
MIN_LOAD, MAX_LOAD = 0.1, 4.0  # of a class, in mean connections
SOUND = 1.5  # above this use a report tells of a sick server, not of its connections' load


class Estimates:
    """Of all servers, as one balancer sees them."""

    def __init__(self, settings: Settings, others: PeerLoadTable | None = None) -> None:
        self.others = others or PeerLoadTable(settings.balancers)
        self.unit = UNIT
        self.loads: list[float] = []
        self.counts: list[float] = []  # own connections of each class
        self.holders: dict[int, dict[int, Backend]] = {}  # of each group: the servers that hold any of ours
        self.retuned(settings)

    def retuned(self, settings: Settings, anew: Iterable[int] = ()) -> None:
        """New settings; classes keep their numbers. anew: of classes that nothing is known of yet."""
        self.classes, self.report, self.groups = (
            settings.classes,
            settings.load_report_fields,
            settings.groups_share_work,
        )
        new = len(self.classes) - len(self.loads)
        self.loads, self.counts = self.loads[: len(self.classes)], self.counts[: len(self.classes)]
        self.loads += [1.0] * new
        self.counts += [0.0] * new
        for number in anew:
            self.loads[number] = 1.0
        self.aim_ms = min(
            (c.message_latency_objective_ms for c in self.classes if c.message_latency_objective_ms > 0.0), default=0.0
        )

    @property
    def worth(self) -> float:
        """Of a mean connection."""
        total = sum(self.counts) + len(self.counts)
        return sum(c.priority_weight * (n + 1.0) for c, n in zip(self.classes, self.counts, strict=True)) / total

    def adds(self, backend: Backend, request: Request, there: bool = False) -> float:
        """What this connection adds to the server's use, or takes from it where it is `there` already."""
        alone = (
            self.groups
            and request.group
            and backend.groups.get(request.group, 0) <= there
            and not self.others.group(backend, request.group)
        )
        return (self.loads[request.cls] + (GROUP if alone else 0.0)) * self.unit / backend.capacity

    def reserve(self, backend: Backend, request: Request, now: float) -> None:
        """It is about to come."""
        backend.since.append((now, self.adds(backend, request)))

    def held(self, backend: Backend, request: Request, by: int, now: float) -> None:
        """An own connection more (1) or less (-1)."""
        backend.since.append((now, by * self.adds(backend, request, by < 0)))
        self.counts[request.cls] += by
        for book, key in ((backend.classes, request.cls), (backend.groups, request.group)):
            book[key] = book.get(key, 0) + by
            if book[key] <= 0:
                del book[key]
        holders = self.holders.setdefault(request.group, {})
        if self.groups and request.group and request.group in backend.groups:
            holders[backend.id] = backend
        else:
            holders.pop(backend.id, None)
            if not holders:
                del self.holders[request.group]

    def beside(self, backend: Backend, came: int, report: tuple[float, float, float] | None, now: float) -> None:
        """Other balancers' connections came there, or went, each taken for a mean one; and a report that one of them
        was told (use, connections, when)."""
        if report is not None:
            fields = {USED: report[0], HOLDS: report[1]}
            self.told(backend, report[2], tuple(fields.get(name, 0.0) for name in self.report))
            backend.told_at = -inf  # not told to us
        if came and backend.used >= 0.0:
            if len(backend.since) > MAX_SINCE:  # reports have stopped: only the sum is of use
                backend.since = [(now, sum(by for _, by in backend.since))]
            backend.since.append((now, came * self.unit / backend.capacity))

    def told(self, backend: Backend, now: float, report: tuple[float, ...], silent: bool = False) -> None:
        """A probe's end: a load report, none so far, or silence."""
        if silent:
            backend.used = max(backend.used, SICK)
        if not report:
            return
        told = dict(zip(self.report, report, strict=False))
        backend.used, backend.holds = told.get(USED, backend.used), told.get(HOLDS, backend.holds)
        backend.told_at = now
        backend.since = [(at, by) for at, by in backend.since if at > now - AGE_MS]
        if HOLDS in told and backend.holds >= 1.0 and 0.0 <= backend.used < SOUND:
            self._learn(backend)

    def _learn(self, backend: Backend) -> None:
        """What a mean connection takes, and each class beside it: one step towards what this report explains.

        What others hold there is taken to be of our own mixture."""
        self.unit += (backend.used * backend.capacity / backend.holds - self.unit) * LEARN_UNIT
        others = max(0.0, backend.holds - backend.open) / (sum(self.counts) or 1.0)
        held = [backend.classes.get(c, 0) + others * n for c, n in enumerate(self.counts)]
        guess = sum(n * load for n, load in zip(held, self.loads, strict=True)) + GROUP * len(backend.groups)
        step = LEARN * (backend.used * backend.capacity / self.unit - guess) / (1.0 + sum(n * n for n in held))
        self.loads = [min(MAX_LOAD, max(MIN_LOAD, load + step * n)) for n, load in zip(held, self.loads, strict=True)]

    def noted(self, backend: Backend, message_ms: float, now: float) -> None:
        """Messages take so long there now: word of what reports will tell later."""
        late = exp(-self.aim_ms / max(message_ms, 1.0))
        used = KNEE * (late / max(1.0 - late, 1e-9)) ** (1.0 / STEEP)
        if used > backend.used:
            backend.used = used
            backend.since = [(at, by) for at, by in backend.since if at > now - AGE_MS]

    def used(self, backend: Backend) -> float:
        base = backend.used if backend.used >= 0.0 else GUESS
        return max(0.0, base + sum(by for _, by in backend.since))

    def served(self, used: float) -> tuple[float, float]:
        """The share of messages in time at this use, and how much of it one more unit of use would take.

        Beyond the knee the fall is kept at its steepest: what is piled up there makes it worse with time."""
        odds, near = (used / KNEE) ** STEEP, min(used / KNEE, 1.0)
        fall = near**STEEP
        return 1.0 / (1.0 + odds), STEEP * fall / max(near, 1e-3) / KNEE / (1.0 + fall) ** 2
