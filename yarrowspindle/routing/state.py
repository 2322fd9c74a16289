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
# Unanswered lines up to which the time to the answer is the backend's; with more, the client waits for its own lines.
MAX_MEASURED_LINES = 8


class Phase(Enum):
    """The phases of a request, from its arrival to its final state."""

    QUEUED = "accepted; no attempt is in flight"
    CONNECTING = "an attempt is in flight; its connection is not established and nothing was sent"
    AWAITING_RESPONSE = "an attempt is in flight and the request was sent"
    ESTABLISHED = "the connection is established"
    CLOSED = "answered, ended, or its client disconnected"

    # Members are singletons, and Enum.__hash__ would hash the name in Python code at every step.
    __hash__ = object.__hash__


NEXT_PHASES = {
    Phase.QUEUED: {Phase.CONNECTING, Phase.CLOSED},
    Phase.CONNECTING: {Phase.AWAITING_RESPONSE, Phase.QUEUED, Phase.CLOSED},
    Phase.AWAITING_RESPONSE: {Phase.ESTABLISHED, Phase.QUEUED, Phase.CLOSED},
    Phase.ESTABLISHED: {Phase.CLOSED},
    Phase.CLOSED: set(),
}


class Request:
    """A request and, once established, its connection. Times are in milliseconds on the relay's clock.

    Attributes:
        id: The id of the request in this process.
        received: The event that reported the request.
        phase: The current phase; changed with `enter` only.
        attempt: The number of the newest attempt, counted in the same way as by the balancer; -1 before the first.
        backend: The backend of the newest attempt, or of an existing connection; None if there was no attempt.
        deadline: When the client stops waiting for its answer.
        attempt_started_at: When the newest attempt started.
        write_deadline: When the newest attempt's request must have been written, so that a backend still recognises a
            repeated request.
        existing_connection: A connection from before this process, until it is re-established; else None.
        unanswered: The time at which client lines were forwarded, how many of them have no answer yet, and how many
            lines of the client had none when they were forwarded, themselves included.
        unanswered_lines: The number of client lines that have no answer yet.
        may_have_run: Whether an attempt that has ended may have run.
        client_request_id: The client's id for the request; empty if the front created the request itself.
        load: The load of the connection, as last reported, in milliseconds of work per second.
        established_at: When the connection was established; until then, when the request was received.
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
        "unanswered_lines",
        "may_have_run",
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
        self.unanswered_lines = 0
        self.may_have_run = False
        self.client_request_id = ""
        self.write_deadline = inf

    @property
    def in_flight(self) -> bool:
        """Whether an attempt is in flight."""
        return self.phase in (Phase.CONNECTING, Phase.AWAITING_RESPONSE)

    def record_client_lines(self, now: float, lines: int) -> None:
        """Count lines that the client sent.

        The number of entries is bounded: at the limit the lines are added to the newest entry.
        """
        self.unanswered_lines += lines
        if len(self.unanswered) < MAX_UNANSWERED_ENTRIES:
            self.unanswered.append([now, lines, self.unanswered_lines])
        else:
            self.unanswered[-1][1] += lines

    @property
    def awaits_backend(self) -> bool:
        """Whether the oldest unanswered line waits for the backend, and not for the client's own lines before it."""
        return bool(self.unanswered) and self.unanswered[0][2] <= MAX_MEASURED_LINES

    def record_backend_lines(self, lines: int) -> float:
        """Count answer lines; return when the oldest unanswered line was forwarded, 0 if there was none."""
        oldest_at = self.unanswered[0][0] if self.unanswered else 0.0
        while lines > 0 and self.unanswered:
            answered = min(lines, self.unanswered[0][1])
            lines -= int(answered)
            self.unanswered_lines -= int(answered)
            self.unanswered[0][1] -= answered
            if self.unanswered[0][1] <= 0:
                self.unanswered.popleft()
        return oldest_at

    def enter(self, phase: Phase) -> None:
        """Change the phase.

        Raises:
            ValueError: The phase cannot follow the current one.
        """
        if phase not in NEXT_PHASES[self.phase]:
            raise ValueError(f"invalid phase change of request {self.id} from {self.phase.name} to {phase.name}")
        self.phase = phase


class Backend:
    """The core's state of a backend. Times are in milliseconds on the relay's clock.

    Attributes:
        name: The name in the endpoint list.
        number: The balancer's number for the backend.
        address: The address in the endpoint list.
        state: The state for placement; a ready backend in maintenance is DRAINING.
        capacity: The capacity in the endpoint list.
        requests: The ids of the requests with an attempt in flight or an established connection at the backend.
        load_reports: Distinguishes loads from message latencies in the backend's reports.
        endpoint: The entry in the endpoint list, regardless of the maintenance plan; None if it is not listed.
        start_time: When the backend process started, as last listed.
        readmitted_at: When the backend returned from maintenance; 0 if it was in none.
        warmup_started_at: When the warmup started: the later of the start and the return from maintenance.
        last_data_at: When any connection to the backend last delivered data.
        message_latencies_ms: The message latencies since `latencies_reported_at`.
        latencies_reported_at: When the mean latency was last computed, to be reported to the balancer if it is long.
        reported_slow: Whether the balancer was last notified of a long latency.
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
