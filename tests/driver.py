"""A test driver that feeds a balancer legal events of clients, backends and discovery, and checks its actions.

It checks the rules for attempts, retries, final answers and rejections. It records only what these rules need, and no
loads or latencies.
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
    """An attempt; `outcome` is None while it is in flight."""

    backend: int
    sent_at: float
    outcome: Outcome | None = None


@dataclass
class RequestRecord:
    """The state of a request that the rules depend on."""

    request_class: int
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: int = 0
    established: bool = False
    disconnected: bool = False

    @property
    def in_flight(self) -> bool:
        return bool(self.attempts) and self.attempts[-1].outcome is None

    @property
    def answer_pending(self) -> bool:
        return not (self.answered or self.established or self.disconnected)


class Driver:
    """A driver of one balancer, with its clock, its timers and its requests."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.now = settings, 0.0
        self.balancer = Balancer(settings, seed, 0.0)
        self.records: dict[int, RequestRecord] = {}
        self.timers: list[tuple[float, int]] = []
        self.listed: dict[int, Endpoint] = {}
        self.actions: list[Action] = []
        self.next_id = 1

    # --- events -----------------------------------------------------------------------------------

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.actions.append(action)
            self.check(action)

    def update_endpoints(self, event: EndpointList) -> None:
        if event.kind.name in ("FULL", "CACHED"):
            self.listed = {}
        if event.kind.name != "FAILED":
            self.listed.update({entry.backend: entry for entry in event.entries})
        self.handle(event)

    def request(self, request_class: int, remaining_ms: float, load: float = 0.0) -> int:
        request_id, self.next_id = self.next_id, self.next_id + 1
        self.records[request_id] = RequestRecord(request_class, self.now + remaining_ms)
        self.handle(RequestReceived(request_id, request_class, left_ms=remaining_ms, load=load))
        return request_id

    def establish(self, request_id: int) -> None:
        record = self.records[request_id]
        record.established = True
        last = len(record.attempts) - 1
        self.handle(
            ConnectionEstablished(
                request_id, last, record.attempts[last].backend, self.now - record.attempts[last].sent_at
            )
        )

    def end(self, request_id: int, outcome: Outcome) -> None:
        record = self.records[request_id]
        last = len(record.attempts) - 1
        attempt = record.attempts[last]
        attempt.outcome = outcome
        if outcome is Outcome.OK:
            record.established = True
        finished = record.established or not record.answer_pending
        self.handle(AttemptEnded(request_id, last, attempt.backend, outcome, finished, self.now - attempt.sent_at))
        if outcome is Outcome.TIMEOUT and self.now >= record.deadline and not finished:
            assert record.answered == 1, "a request whose attempt times out at the deadline is answered at once"

    def disconnect(self, request_id: int) -> None:
        self.records[request_id].disconnected = True
        self.handle(ClientDisconnected(request_id))

    def advance(self, delay: float) -> None:
        """Advance the clock: timers fire when due, and an attempt in flight times out at its request's deadline."""
        end = self.now + delay
        while True:
            due = [
                (record.deadline, request_id)
                for request_id, record in self.records.items()
                if record.in_flight and record.answer_pending and record.deadline <= end
            ]
            next_timer = self.timers[0][0] if self.timers else float("inf")
            next_due = min(due) if due else (float("inf"), -1)
            if min(next_due[0], next_timer) > end:
                break
            self.now = max(self.now, min(next_due[0], next_timer))
            if next_timer <= next_due[0]:
                self.handle(TimerFired(heapq.heappop(self.timers)[1]))
            else:
                self.end(next_due[1], Outcome.TIMEOUT)
        self.now = end
        for request_id, record in self.records.items():
            if record.answer_pending:
                assert self.now <= record.deadline + self.settings.answer_slack_ms, (
                    f"request {request_id} has no answer after its deadline"
                )

    # --- checks of actions ------------------------------------------------------------------------

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay_ms >= 0.0
            heapq.heappush(self.timers, (self.now + action.delay_ms, action.token))
        elif isinstance(action, StartAttempt):
            self.check_start(action)
        elif isinstance(action, RejectRequest | FailRequest):
            record = self.records[action.request]
            assert record.answer_pending and not record.in_flight, (
                "one final answer, and none while an attempt is in flight"
            )
            record.answered += 1
            if isinstance(action, RejectRequest):
                self.check_rejection(record)
        elif isinstance(action, MigrateConnection):
            assert self.records[action.request].established
        elif isinstance(action, CancelAttempt):
            assert self.settings.may_cancel
            assert 0 <= action.attempt < len(self.records[action.request].attempts)

    def check_start(self, action: StartAttempt) -> None:
        record = self.records[action.request]
        assert record.answer_pending, "no attempt after the end of a request"
        assert not record.in_flight, "at most one attempt in flight"
        assert self.now < record.deadline
        assert len(record.attempts) < self.settings.max_attempts
        entry = self.listed.get(action.backend)
        assert entry is not None and entry.state is EndpointState.READY, (
            "no new attempt at a draining or removed backend"
        )
        may_have_run = [attempt for attempt in record.attempts if attempt.outcome not in NEVER_RAN]
        request_class = self.settings.classes[record.request_class]
        if may_have_run and request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert request_class.idempotency is Idempotency.KEYED, (
                "a non-idempotent request that may have run is never retried"
            )
            assert self.now < may_have_run[0].sent_at + request_class.idempotency_window_ms
            if request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert entry.zone == self.listed[may_have_run[0].backend].zone
            elif request_class.deduplication_scope is DeduplicationScope.CELL:
                assert entry.cell == self.listed[may_have_run[0].backend].cell
        record.attempts.append(Attempt(action.backend, self.now))

    def check_rejection(self, record: RequestRecord) -> None:
        may_have_run = [attempt for attempt in record.attempts if attempt.outcome not in NEVER_RAN]
        request_class = self.settings.classes[record.request_class]
        if may_have_run:
            deduplicated_by_all = (
                request_class.idempotency is Idempotency.KEYED
                and request_class.deduplication_scope is DeduplicationScope.ALL
            )
            assert request_class.idempotency is Idempotency.IDEMPOTENT or deduplicated_by_all, (
                "a rejection states that a retry is harmless"
            )
