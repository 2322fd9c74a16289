"""The state that the core keeps for each request and for each backend."""

from __future__ import annotations

from collections import deque
from enum import Enum
from math import inf

from yarrowspindle.decisions.events import EndpointState, ExistingConnection
from yarrowspindle.routing.events import Endpoint, RequestReceived
from yarrowspindle.routing.load_reports import LoadReportClassifier
from yarrowspindle.routing.start_times import StartTime

MAX_UNANSWERED_ENTRIES = 64


class Phase(Enum):
    """The phases of a request, from its arrival until nothing is left to do for it."""

    QUEUED = "accepted; no attempt is in flight"
    CONNECTING = "an attempt is in flight; its connection is not established and nothing was sent"
    AWAITING_RESPONSE = "an attempt is in flight and the request was sent"
    ESTABLISHED = "the connection is established"
    CLOSED = "answered, ended or left by its client"

    __hash__ = object.__hash__  # members are singletons; Enum would hash the name, in Python, at every step


NEXT_PHASES = {
    Phase.QUEUED: {Phase.CONNECTING, Phase.CLOSED},
    Phase.CONNECTING: {Phase.AWAITING_RESPONSE, Phase.QUEUED, Phase.CLOSED},
    Phase.AWAITING_RESPONSE: {Phase.ESTABLISHED, Phase.QUEUED, Phase.CLOSED},
    Phase.ESTABLISHED: {Phase.CLOSED},
    Phase.CLOSED: set(),
}


class Request:
    """A request and, once established, its connection. Times are milliseconds on the relay's clock.

    Attributes:
        attempt: number of the newest attempt, counted as the balancer does; -1 before the first.
        backend: of the newest attempt.
        deadline: when the client stops waiting for its answer.
        attempt_started_at: when the newest attempt started.
        write_deadline: when the newest attempt's request must have been written.
        existing_connection: set while a connection from before this process is not established again.
        unanswered: when client lines were forwarded that have no answer yet, and how many.
        client_request_id: the client's id for the request; empty where the front made the request itself.
        load: the load of the connection, as last reported.
        established_at: when the connection was established; until then, when the request was received.
    """

    __slots__ = (
        "id",
        "phase",
        "attempt",
        "backend",
        "deadline",
        "attempt_started_at",
        "existing_connection",
        "unanswered",
        "client_request_id",
        "received",
        "load",
        "established_at",
        "write_deadline",
    )

    def __init__(self, received: RequestReceived, now: float) -> None:
        self.id = received.request
        self.received = received
        self.phase = Phase.QUEUED
        self.load = received.load
        self.established_at = now
        self.attempt = -1
        self.backend: Backend | None = None
        self.deadline = now + received.remaining_ms
        self.attempt_started_at = now
        self.existing_connection: ExistingConnection | None = None
        self.unanswered: deque[list[float]] = deque()
        self.client_request_id = ""
        self.write_deadline = inf

    @property
    def in_flight(self) -> bool:
        """Whether an attempt is in flight."""
        return self.phase in (Phase.CONNECTING, Phase.AWAITING_RESPONSE)

    def record_client_lines(self, now: float, lines: int) -> None:
        """Count lines that the client sent. Bounded: beyond the limit they are added to the newest entry."""
        if len(self.unanswered) < MAX_UNANSWERED_ENTRIES:
            self.unanswered.append([now, lines])
        else:
            self.unanswered[-1][1] += lines

    def record_backend_lines(self, lines: int) -> float:
        """Count answer lines; return when the oldest line that they answer was forwarded, 0 where none was open."""
        oldest_at = self.unanswered[0][0] if self.unanswered else 0.0
        while lines > 0 and self.unanswered:
            answered = min(lines, self.unanswered[0][1])
            lines -= int(answered)
            self.unanswered[0][1] -= answered
            if self.unanswered[0][1] <= 0:
                self.unanswered.popleft()
        return oldest_at

    def enter(self, phase: Phase) -> None:
        """Change the phase. Raises ValueError where the request cannot enter this phase from its present one."""
        if phase not in NEXT_PHASES[self.phase]:
            raise ValueError(f"request {self.id} cannot go from {self.phase.name} to {phase.name}")
        self.phase = phase


class Backend:
    """What is known of a backend. Times are milliseconds on the relay's clock.

    Attributes:
        number: the balancer's number for the backend.
        state: its state for placement; a ready backend in maintenance is DRAINING.
        requests: ids of the attempts in flight and of the established connections.
        load_reports: tells loads from message latencies in its reports.
        endpoint: its entry in the endpoint list, whatever the maintenance plan says; None where it is not listed.
        start_time: when its process started, as last listed.
        readmitted_at: when it returned from maintenance; 0 where it was in none.
        warmup_started_at: when its warmup started: the later of the start and the readmission.
        last_data_at: when any of its connections last delivered data.
        message_latencies_ms: latencies since the last report to the balancer, made at `latencies_reported_at`.
        reported_slow: whether the last report to the balancer was that messages take long.
    """

    __slots__ = (
        "name",
        "number",
        "address",
        "state",
        "reported_slow",
        "latencies_reported_at",
        "message_latencies_ms",
        "last_data_at",
        "requests",
        "capacity",
        "warmup_started_at",
        "load_reports",
        "endpoint",
        "readmitted_at",
        "start_time",
    )

    def __init__(self, name: str, number: int, slow_message_ms: float = 0.0) -> None:
        self.name = name
        self.number = number
        self.address = ("", 0)
        self.state = EndpointState.GONE
        self.capacity = 1.0
        self.warmup_started_at = 0.0
        self.requests: set[int] = set()
        self.endpoint: Endpoint | None = None
        self.start_time: StartTime | None = None
        self.readmitted_at = 0.0
        self.load_reports = LoadReportClassifier(slow_message_ms)
        self.last_data_at = 0.0
        self.message_latencies_ms: list[float] = []
        self.latencies_reported_at = 0.0
        self.reported_slow = False
