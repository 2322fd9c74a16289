"""Drives a balancer through legal events, playing clients, servers and list, and checks the four rules.

It knows nothing of load or of time taken; it only keeps the books that the rules speak of.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from yarrowspindle.decisions.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    MigrateConnection,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    NEVER_RAN,
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    Endpoint,
    EndpointList,
    EndpointState,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency, Settings


@dataclass
class Attempt:
    backend: int
    sent: float
    outcome: Outcome | None = None


@dataclass
class Book:
    cls: int
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: int = 0
    established: bool = False
    gone: bool = False

    @property
    def out(self) -> bool:
        return bool(self.attempts) and self.attempts[-1].outcome is None

    @property
    def owed(self) -> bool:
        return not (self.answered or self.established or self.gone)


class Driver:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.now = settings, 0.0
        self.balancer = Balancer(settings, seed, 0.0)
        self.books: dict[int, Book] = {}
        self.timers: list[tuple[float, int]] = []
        self.listed: dict[int, Endpoint] = {}
        self.log: list[Action] = []
        self.next_id = 1

    # --- the world's side -----------------------------------------------------------------------

    def tell(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.log.append(action)
            self.check(action)

    def list(self, event: EndpointList) -> None:
        if event.kind.name in ("FULL", "CACHED"):
            self.listed = {}
        if event.kind.name != "FAILED":
            self.listed.update({e.backend: e for e in event.entries})
        self.tell(event)

    def request(self, cls: int, left: float, load: float = 0.0) -> int:
        number, self.next_id = self.next_id, self.next_id + 1
        self.books[number] = Book(cls, self.now + left)
        self.tell(RequestReceived(number, cls, left_ms=left, load=load))
        return number

    def establish(self, number: int) -> None:
        book = self.books[number]
        book.established = True
        last = len(book.attempts) - 1
        self.tell(ConnectionEstablished(number, last, book.attempts[last].backend, self.now - book.attempts[last].sent))

    def end(self, number: int, outcome: Outcome) -> None:
        book = self.books[number]
        last = len(book.attempts) - 1
        attempt = book.attempts[last]
        attempt.outcome = outcome
        if outcome is Outcome.OK:
            book.established = True
        finished = book.established or not book.owed
        self.tell(AttemptEnded(number, last, attempt.backend, outcome, finished, self.now - attempt.sent))
        if outcome is Outcome.TIMEOUT and self.now >= book.deadline and not finished:
            assert book.answered == 1, "a time-out at the deadline wants its answer at once"

    def leave(self, number: int) -> None:
        self.books[number].gone = True
        self.tell(ClientDisconnected(number))

    def advance(self, delay: float) -> None:
        """Let time pass; timers come when due, and an attempt that is out times out at its deadline."""
        goal = self.now + delay
        while True:
            due = [(b.deadline, n) for n, b in self.books.items() if b.out and b.owed and b.deadline <= goal]
            timer = self.timers[0][0] if self.timers else float("inf")
            first = min(due) if due else (float("inf"), -1)
            if min(first[0], timer) > goal:
                break
            self.now = max(self.now, min(first[0], timer))
            if timer <= first[0]:
                self.tell(TimerFired(heapq.heappop(self.timers)[1]))
            else:
                self.end(first[1], Outcome.TIMEOUT)
        self.now = goal
        for number, book in self.books.items():
            if book.owed:
                assert self.now <= book.deadline + self.settings.answer_slack_ms, f"{number} is overdue"

    # --- the balancer's side: the rules ---------------------------------------------------------

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay_ms >= 0.0
            heapq.heappush(self.timers, (self.now + action.delay_ms, action.token))
        elif isinstance(action, StartAttempt):
            self.check_send(action)
        elif isinstance(action, RejectRequest | FailRequest):
            book = self.books[action.request]
            assert book.owed and not book.out, "one final answer, and not over the head of an attempt"
            book.answered += 1
            if isinstance(action, RejectRequest):
                self.check_refusal(book)
        elif isinstance(action, MigrateConnection):
            assert self.books[action.request].established
        elif isinstance(action, CancelAttempt):
            assert self.settings.may_cancel
            assert 0 <= action.attempt < len(self.books[action.request].attempts)

    def check_send(self, action: StartAttempt) -> None:
        book = self.books[action.request]
        assert book.owed, "nothing is sent for a request that is over"
        assert not book.out, "never two attempts out"
        assert self.now < book.deadline
        assert len(book.attempts) < self.settings.max_attempts
        entry = self.listed.get(action.backend)
        assert entry is not None and entry.state is EndpointState.READY, "nothing new to a draining or gone server"
        ran = [a for a in book.attempts if a.outcome not in NEVER_RAN]
        cls = self.settings.classes[book.cls]
        if ran and cls.idempotency is not Idempotency.IDEMPOTENT:
            assert cls.idempotency is Idempotency.KEYED, "an unsafe request that may have run is never sent again"
            assert self.now < ran[0].sent + cls.idempotency_window_ms
            if cls.deduplication_scope is DeduplicationScope.ZONE:
                assert entry.zone == self.listed[ran[0].backend].zone
            elif cls.deduplication_scope is DeduplicationScope.CELL:
                assert entry.cell == self.listed[ran[0].backend].cell
        book.attempts.append(Attempt(action.backend, self.now))

    def check_refusal(self, book: Book) -> None:
        ran = [a for a in book.attempts if a.outcome not in NEVER_RAN]
        cls = self.settings.classes[book.cls]
        if ran:
            keyed_by_all = cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
            assert cls.idempotency is Idempotency.IDEMPOTENT or keyed_by_all, "a refusal says: trying again is harmless"
