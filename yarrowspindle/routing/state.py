"""The states of a job, and what is known of each execute node."""

from __future__ import annotations

from collections import deque
from enum import Enum
from math import inf

from yarrowspindle.decisions.events import EndpointState, ExistingConnection
from yarrowspindle.routing.events import Endpoint, RequestReceived
from yarrowspindle.routing.load_reports import LoadReportClassifier
from yarrowspindle.routing.start_times import Start


class Phase(Enum):
    QUEUED = "taken; nothing is out"
    CONNECTING = "an attempt is out; its connection is not up yet and nothing was sent"
    AWAITING_RESPONSE = "an attempt is out and was sent"
    ESTABLISHED = "the connection stands"
    CLOSED = "answered, ended or left by its submitter"

    __hash__ = object.__hash__  # each is one object; Enum would hash its name, in Python, at every step


STEPS = {
    Phase.QUEUED: {Phase.CONNECTING, Phase.CLOSED},
    Phase.CONNECTING: {Phase.AWAITING_RESPONSE, Phase.QUEUED, Phase.CLOSED},
    Phase.AWAITING_RESPONSE: {Phase.ESTABLISHED, Phase.QUEUED, Phase.CLOSED},
    Phase.ESTABLISHED: {Phase.CLOSED},
    Phase.CLOSED: set(),
}


MAX_UNANSWERED = 64


class Request:
    __slots__ = (
        "id",
        "phase",
        "attempt",
        "backend",
        "deadline",
        "sent",
        "adoption",
        "unanswered",
        "ref",
        "came",
        "load",
        "since",
        "begin_by",
    )

    def __init__(self, request: int, now: float, left_ms: float, came: RequestReceived | None = None) -> None:
        self.id, self.phase, self.came = request, Phase.QUEUED, came or RequestReceived(request, left_ms)
        self.load, self.since = self.came.load, now  # as last told; when it came, then since when it stands
        self.attempt = -1  # number of the newest, as the module counts
        self.backend: Backend | None = None  # of the newest attempt
        self.deadline, self.sent = now + left_ms, now
        self.adoption: ExistingConnection | None = None  # open before the run, and not up again yet
        self.unanswered: deque[list[float]] = deque()  # when lines came that had no line back, and how many
        self.ref = ""  # its submitter's name for it
        self.begin_by = inf  # when the newest attempt must have begun

    @property
    def out(self) -> bool:
        return self.phase in (Phase.CONNECTING, Phase.AWAITING_RESPONSE)

    def asked(self, now: float, lines: int) -> None:
        """Bounded: a submitter that sends without end and is not answered adds to the last entry."""
        if len(self.unanswered) < MAX_UNANSWERED:
            self.unanswered.append([now, lines])
        else:
            self.unanswered[-1][1] += lines

    def answered(self, lines: int) -> float:
        """When the oldest of the lines came that have their answers now; 0: none was open."""
        first = self.unanswered[0][0] if self.unanswered else 0.0
        while lines > 0 and self.unanswered:
            part = min(lines, self.unanswered[0][1])
            lines -= int(part)
            self.unanswered[0][1] -= part
            if self.unanswered[0][1] <= 0:
                self.unanswered.popleft()
        return first

    def step(self, phase: Phase) -> None:
        if phase not in STEPS[self.phase]:
            raise ValueError(f"job {self.id}: no step from {self.phase.name} to {phase.name}")
        self.phase = phase


class Backend:
    __slots__ = (
        "name",
        "number",
        "address",
        "state",
        "slow",
        "told_at",
        "took",
        "heard",
        "requests",
        "capacity",
        "started",
        "figures",
        "listed",
        "cold_from",
        "start",
    )

    def __init__(self, name: str, number: int, slow_ms: float = 0.0) -> None:
        self.name, self.number = name, number
        self.figures = LoadReportClassifier(slow_ms)
        self.address = ("", 0)
        self.state = EndpointState.GONE
        self.capacity, self.started = 1.0, 0.0
        self.slow = False  # the module was told that messages take long
        self.told_at = 0.0
        self.heard = 0.0  # when any connection to it last brought something
        self.took: list[float] = []  # message times since then
        self.requests: set[int] = set()  # attempts out and standing connections
        self.listed: Endpoint | None = None  # as the machine list has it, whatever the relays agreed on
        self.cold_from = 0.0  # when it came back from work; 0: it was not out
        self.start: Start | None = None  # its process's, as last listed
