"""Counts broken invariants at run time, from what the reducer is told and what it asks for, with books of its own.

It decides nothing and knows none of the reducer's state: a fault there shows here. One violation is counted for each
request and rule, as `invariant_violations_total.RULE`, and logged as an error.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum, unique
from math import inf, sqrt

from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.effects import (
    AbortAttempt,
    Effect,
    FailRequest,
    ForwardRequest,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointsUpdated,
    Event,
    EventLoopStalled,
    RequestReceived,
    TimerFired,
)

OVERDUE_MS = 500.0  # an answer so long after the deadline is none
LOOK_MS = 1000.0  # how often requests without an answer are looked for
MAX_SHARE = 4.0  # of what a warm server gets here, for each multiple that the settings allow a cold one


@unique
class Rule(Enum):
    """The invariants; the value is the name in logs and metrics."""

    ONE_FINAL_ANSWER = "one_final_answer"
    ONE_ATTEMPT_IN_FLIGHT = "one_attempt_out"
    NO_SEND_TO_UNAVAILABLE_BACKEND = (
        "server_told"  # no byte to a server that is known to drain, to be gone, or to have started anew
    )
    CLIENT_GONE = "client_gone"  # no attempt for a client that has left, or has its answer
    DEADLINE = "deadline"  # no request written after its deadline
    SLOW_START = "slow_start"  # a cold server's share of what this relay sends
    UNANSWERED = "unanswered"  # each request that was read gets an answer


class Open:
    """A request without its final answer."""

    __slots__ = ("arrived", "attempt", "deadline", "name", "noted", "pinned", "backend", "start")

    def __init__(self, name: str, arrived: float, deadline: float, pinned: bool) -> None:
        self.name, self.arrived, self.deadline, self.pinned = name, arrived, deadline, pinned
        self.attempt: int | None = None  # that is out
        self.backend, self.start = "", 0.0  # of that attempt, as listed when it began
        self.noted: tuple[Rule, ...] = ()


class Guard:
    """violated: told of each violation, in words for the log."""

    def __init__(self, settings: Callable[[], Settings], violated: Callable[[str], None]) -> None:
        self.settings, self.violated = settings, violated
        self.now = 0.0
        self.open: dict[int, Open] = {}
        self.backends: dict[str, Endpoint] = {}
        self.counts: Counter[str] = Counter({rule.value: 0 for rule in Rule})
        self.looked_at = -inf
        self.seen_at: dict[str, float] = {}  # when a server's present start was first seen
        self.sent: dict[str, deque[float]] = {}  # to servers that started a moment ago
        self.writes: deque[float] = deque()  # to all servers, of the time in which a fall is judged
        self.events: dict[type, Callable[..., None]] = {
            RequestReceived: self._arrived,
            ClientDisconnected: self._left,
            AttemptEnded: self._over,
            EndpointsUpdated: self._listed,
            EventLoopStalled: self._stalled,
            TimerFired: lambda event: self._look(),
        }
        self.effects: dict[type, Callable[..., None]] = {
            OpenBackendConnection: self._reach,
            ForwardRequest: self._ask,
            AbortAttempt: self._over,
            StartRelaying: self._answered,
            RejectRequest: self._answered,
            FailRequest: self._answered,
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

    def _arrived(self, event: RequestReceived) -> None:
        pinned = bool(event.at)
        deadline = inf if pinned else self.now + event.left_ms
        self.open[event.request] = Open(event.ref or str(event.request), self.now, deadline, pinned)

    def _left(self, event: ClientDisconnected) -> None:
        self.open.pop(event.request, None)

    def _reach(self, effect: OpenBackendConnection) -> None:
        request = self.open.get(effect.request)
        if request is None:
            self._violation(Rule.CLIENT_GONE, None, f"job {effect.request}: an attempt at {effect.backend} begins")
            return
        if request.attempt is not None:
            self._violation(
                Rule.ONE_ATTEMPT_IN_FLIGHT, request, f"attempt {request.attempt} is out, {effect.attempt} begins"
            )
        listed = self.backends.get(effect.backend)
        request.attempt, request.backend = effect.attempt, effect.backend
        request.start = listed.started_ms if listed is not None else 0.0

    def _ask(self, effect: ForwardRequest) -> None:
        request = self.open.get(effect.request)
        if request is None:
            self._violation(Rule.CLIENT_GONE, None, f"job {effect.request}: it is written")
            return
        if self.now > request.deadline:
            self._violation(Rule.DEADLINE, request, f"written {self.now - request.deadline:.0f} ms after its deadline")
        if request.pinned:
            return
        listed = self.backends.get(request.backend)
        if listed is None or listed.state is not EndpointState.READY or listed.started_ms != request.start:
            state = "gone" if listed is None else listed.state.name.lower()
            self._violation(
                Rule.NO_SEND_TO_UNAVAILABLE_BACKEND, request, f"written to {request.backend}, which is known as {state}"
            )
        self._written(request)

    def _over(self, ended: AttemptEnded | AbortAttempt) -> None:
        request = self.open.get(ended.request)
        if request is not None and request.attempt == ended.attempt:
            request.attempt = None

    def _answered(self, effect: StartRelaying | RejectRequest | FailRequest) -> None:
        if self.open.pop(effect.request, None) is None:
            self._violation(
                Rule.ONE_FINAL_ANSWER, None, f"job {effect.request}: {type(effect).__name__} after its answer"
            )

    def _stalled(self, event: EventLoopStalled) -> None:
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

    def _listed(self, event: EndpointsUpdated) -> None:
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.DELTA:
            self.backends = {}
        for machine in event.endpoints:
            known = self.backends.get(machine.name)
            if known is not None and known.started_ms != machine.started_ms and machine.started_ms > 0.0:
                self.seen_at[machine.name] = self.now
                self.sent[machine.name] = deque()
            if machine.state is EndpointState.GONE:
                self.backends.pop(machine.name, None)
            else:
                self.backends[machine.name] = machine

    def _written(self, request: Open) -> None:
        """A server that was seen to start anew gets no more than the settings allow, by what warm ones get here."""
        settings = self.settings()
        window = settings.overload_window_ms
        self.writes.append(self.now)
        while self.writes[0] < self.now - window:
            self.writes.popleft()
        began = self.seen_at.get(request.backend)
        if began is None:
            return
        if self.now > began + settings.warmup_ms:
            del self.seen_at[request.backend], self.sent[request.backend]
            return
        sent = self.sent[request.backend]
        sent.append(self.now)
        while sent[0] < self.now - window:
            sent.popleft()
        ramp = (
            settings.initial_capacity_fraction
            + (1.0 - settings.initial_capacity_fraction) * (self.now - began) / settings.warmup_ms
        )
        warm = (len(self.writes) - len(sent)) / max(1, len(self.backends) - 1)  # what each of the others got
        allowed = MAX_SHARE * settings.overload_multiple * ramp * warm
        most = allowed + 3.0 * sqrt(allowed) + 3.0
        if len(sent) > most:
            what = f"{request.backend} got {len(sent)} in {window:.0f} ms, {most:.0f} at most"
            self._violation(Rule.SLOW_START, request, what)
