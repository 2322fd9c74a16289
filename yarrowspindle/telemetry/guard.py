"""Counts broken invariants at run time, from what the reducer is told and what it asks for, with books of its own.

It decides nothing and knows none of the reducer's state: a fault there shows here. One violation is counted for each
request and rule, as `invariant_violations_total.RULE`, and logged as an error.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum, unique
from math import inf, sqrt

from yarrowspindle.decisions.events import ListKind, State
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.effects import Ask, Deny, Drop, Effect, Join, Reach, Requeue
from yarrowspindle.routing.events import AttemptOver, Event, JobArrived, ListTold, Machine, Stalled, SubmitterLeft, Woke

OVERDUE_MS = 500.0  # an answer so long after the deadline is none
LOOK_MS = 1000.0  # how often requests without an answer are looked for
SHARE_MOST = 4.0  # of what a warm server gets here, for each multiple that the settings allow a cold one


@unique
class Rule(Enum):
    """The invariants; the value is the name in logs and metrics."""

    ONE_FINAL_ANSWER = "one_final_answer"
    ONE_ATTEMPT_OUT = "one_attempt_out"
    SERVER_TOLD = "server_told"  # no byte to a server that is known to drain, to be gone, or to have started anew
    CLIENT_GONE = "client_gone"  # no attempt for a client that has left, or has its answer
    DEADLINE = "deadline"  # no request written after its deadline
    SLOW_START = "slow_start"  # a cold server's share of what this relay sends
    UNANSWERED = "unanswered"  # each request that was read gets an answer


class Open:
    """A request without its final answer."""

    __slots__ = ("arrived", "attempt", "deadline", "name", "noted", "pinned", "server", "start")

    def __init__(self, name: str, arrived: float, deadline: float, pinned: bool) -> None:
        self.name, self.arrived, self.deadline, self.pinned = name, arrived, deadline, pinned
        self.attempt: int | None = None  # that is out
        self.server, self.start = "", 0.0  # of that attempt, as listed when it began
        self.noted: tuple[Rule, ...] = ()


class Guard:
    """violated: told of each violation, in words for the log."""

    def __init__(self, settings: Callable[[], Settings], violated: Callable[[str], None]) -> None:
        self.settings, self.violated = settings, violated
        self.now = 0.0
        self.open: dict[int, Open] = {}
        self.servers: dict[str, Machine] = {}
        self.counts: Counter[str] = Counter({rule.value: 0 for rule in Rule})
        self.looked_at = -inf
        self.seen_at: dict[str, float] = {}  # when a server's present start was first seen
        self.sent: dict[str, deque[float]] = {}  # to servers that started a moment ago
        self.writes: deque[float] = deque()  # to all servers, of the time in which a fall is judged
        self.events: dict[type, Callable[..., None]] = {
            JobArrived: self._arrived,
            SubmitterLeft: self._left,
            AttemptOver: self._over,
            ListTold: self._listed,
            Stalled: self._stalled,
            Woke: lambda event: self._look(),
        }
        self.effects: dict[type, Callable[..., None]] = {
            Reach: self._reach,
            Ask: self._ask,
            Drop: self._over,
            Join: self._answered,
            Requeue: self._answered,
            Deny: self._answered,
        }

    def event(self, now: float, event: Event) -> None:
        self.now = now
        handler = self.events.get(type(event))
        if handler is not None:
            handler(event)

    def effect(self, effect: Effect) -> None:
        handler = self.effects.get(type(effect))
        if handler is not None:
            handler(effect)

    def _violation(self, rule: Rule, request: Open | None, what: str) -> None:
        if request is not None:
            if rule in request.noted:
                return
            request.noted += (rule,)
        self.counts[rule.value] += 1
        self.violated(f"invariant {rule.value} violated: request={request.name if request else '?'} {what}")

    # --- requests -------------------------------------------------------------------------------

    def _arrived(self, event: JobArrived) -> None:
        pinned = bool(event.at)
        deadline = inf if pinned else self.now + event.left_ms
        self.open[event.job] = Open(event.ref or str(event.job), self.now, deadline, pinned)

    def _left(self, event: SubmitterLeft) -> None:
        self.open.pop(event.job, None)

    def _reach(self, effect: Reach) -> None:
        request = self.open.get(effect.job)
        if request is None:
            self._violation(Rule.CLIENT_GONE, None, f"job {effect.job}: an attempt at {effect.node} begins")
            return
        if request.attempt is not None:
            self._violation(Rule.ONE_ATTEMPT_OUT, request, f"attempt {request.attempt} is out, {effect.attempt} begins")
        listed = self.servers.get(effect.node)
        request.attempt, request.server = effect.attempt, effect.node
        request.start = listed.started_ms if listed is not None else 0.0

    def _ask(self, effect: Ask) -> None:
        request = self.open.get(effect.job)
        if request is None:
            self._violation(Rule.CLIENT_GONE, None, f"job {effect.job}: it is written")
            return
        if self.now > request.deadline:
            self._violation(Rule.DEADLINE, request, f"written {self.now - request.deadline:.0f} ms after its deadline")
        if request.pinned:
            return
        listed = self.servers.get(request.server)
        if listed is None or listed.state is not State.READY or listed.started_ms != request.start:
            state = "gone" if listed is None else listed.state.name.lower()
            self._violation(Rule.SERVER_TOLD, request, f"written to {request.server}, which is known as {state}")
        self._written(request)

    def _over(self, ended: AttemptOver | Drop) -> None:
        request = self.open.get(ended.job)
        if request is not None and request.attempt == ended.attempt:
            request.attempt = None

    def _answered(self, effect: Join | Requeue | Deny) -> None:
        if self.open.pop(effect.job, None) is None:
            self._violation(Rule.ONE_FINAL_ANSWER, None, f"job {effect.job}: {type(effect).__name__} after its answer")

    def _stalled(self, event: Stalled) -> None:
        """What could not be answered while the process stood still is judged from its end."""
        for request in self.open.values():
            if request.deadline < self.now:
                request.deadline = self.now

    def _look(self) -> None:
        if self.now < self.looked_at + LOOK_MS:
            return
        self.looked_at = self.now
        for request in self.open.values():
            if self.now > request.deadline + OVERDUE_MS:
                late = self.now - request.deadline
                self._violation(Rule.UNANSWERED, request, f"no answer {late:.0f} ms after its deadline")

    # --- servers --------------------------------------------------------------------------------

    def _listed(self, event: ListTold) -> None:
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.DELTA:
            self.servers = {}
        for machine in event.machines:
            known = self.servers.get(machine.name)
            if known is not None and known.started_ms != machine.started_ms and machine.started_ms > 0.0:
                self.seen_at[machine.name] = self.now
                self.sent[machine.name] = deque()
            if machine.state is State.GONE:
                self.servers.pop(machine.name, None)
            else:
                self.servers[machine.name] = machine

    def _written(self, request: Open) -> None:
        """A server that was seen to start anew gets no more than the settings allow, by what warm ones get here."""
        settings = self.settings()
        window = settings.fall_ms
        self.writes.append(self.now)
        while self.writes[0] < self.now - window:
            self.writes.popleft()
        began = self.seen_at.get(request.server)
        if began is None:
            return
        if self.now > began + settings.cold_ms:
            del self.seen_at[request.server], self.sent[request.server]
            return
        sent = self.sent[request.server]
        sent.append(self.now)
        while sent[0] < self.now - window:
            sent.popleft()
        ramp = settings.cold_share + (1.0 - settings.cold_share) * (self.now - began) / settings.cold_ms
        warm = (len(self.writes) - len(sent)) / max(1, len(self.servers) - 1)  # what each of the others got
        allowed = SHARE_MOST * settings.fall_multiple * ramp * warm
        most = allowed + 3.0 * sqrt(allowed) + 3.0
        if len(sent) > most:
            what = f"{request.server} got {len(sent)} in {window:.0f} ms, {most:.0f} at most"
            self._violation(Rule.SLOW_START, request, what)
