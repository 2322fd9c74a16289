"""The rules, held by what passes on wires and what clients hear; nothing here looks into a relay.

What happened to a relay's process (killed, stopped, asked to end) is known too: those are the checker's own doing. A
promise that needs a relay awake is not held against it for the time in which it was stopped.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt

MAX_DEVIATIONS = 3.0  # standard deviations of a count that are let pass: relays feed cold nodes by chance
TOLERANCE_S = 0.6  # of this machine, which runs all parties beside the relays


@dataclass(slots=True)
class ClientRequest:
    """One connection of a submitter that was owed one final answer."""

    relay: str
    sent_s: float
    deadline_s: float
    answers: list[str] = field(default_factory=list)
    finished: bool = False


@dataclass(slots=True)
class StartingBackend:
    """A node that has started a moment ago; its guaranteed connections a second, and those that came of late."""

    started_s: float
    connection_times_s: deque[float] = field(default_factory=deque)
    worst_ratio: float = 0.0


@dataclass(slots=True, frozen=True)
class Obligations:
    """As the relays' settings state them; seconds. capacity: connections that a warm node can carry."""

    drain_grace_s: float = 0.4
    slow_start_s: float = 3.0  # shorter than connections live, as at both sites
    initial_capacity_fraction: float = 0.31
    overload_multiple: float = 3.0
    overload_window_s: float = 1.5
    backend_capacity: float = 40.0


class Checker:
    def __init__(self, now: Callable[[], float], obligations: Obligations) -> None:
        self.now, self.obligations = now, obligations
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        # job -> its attempts that are out, as the relay's side of the wire shows
        self.attempts: dict[str, set[object]] = {}
        self.draining_since: dict[tuple[str, str], float] = {}  # relay, node -> when the relay was told
        self.starting: dict[str, StartingBackend] = {}
        self.suspensions: dict[str, list[list[float]]] = {}  # relay -> from when to when it was stopped, or dead
        self.digests: dict[str, tuple[float, int]] = {}  # relay -> its newest digest of members, and when it was seen
        self.answer_times_s: list[float] = []

    def report_violation(self, rule: str, detail: str) -> None:
        self.counts[f"broken {rule}"] += 1
        if len(self.violations) < 50:
            self.violations.append(f"{rule} at {self.now():.3f} s: {detail}")

    # --- processes ------------------------------------------------------------------------------

    def relay_suspended(self, relay: str) -> None:
        self.suspensions.setdefault(relay, []).append([self.now(), float("inf")])

    def relay_resumed(self, relay: str) -> None:
        if self.suspensions.get(relay):
            self.suspensions[relay][-1][1] = self.now()

    def suspended_s(self, relay: str, since_s: float) -> float:
        """For how long of the time since then it could do nothing."""
        now = self.now()
        return sum(max(0.0, min(end, now) - max(start, since_s)) for start, end in self.suspensions.get(relay, ()))

    # --- submitters -----------------------------------------------------------------------------

    def record_request(self, relay: str, deadline_s: float) -> ClientRequest:
        self.counts["asked"] += 1
        return ClientRequest(relay, self.now(), deadline_s)

    def record_answer(self, request: ClientRequest, answer: str) -> None:
        """A line that is a final answer."""
        request.answers.append(answer)
        self.counts[answer.lower()] += 1
        elapsed_s = self.now() - request.sent_s
        if len(request.answers) > 1:
            self.report_violation("one final answer", f"{request.relay} said {' and '.join(request.answers)}")
        elif elapsed_s > request.deadline_s + TOLERANCE_S + self.suspended_s(request.relay, request.sent_s):
            self.report_violation(
                "in time", f"{request.relay} said {answer} after {elapsed_s:.2f} s of {request.deadline_s:.2f} s"
            )
        self.answer_times_s.append(elapsed_s)

    def record_end(self, request: ClientRequest) -> None:
        """The connection is over; without an answer that is the relay's fault while it lived."""
        if request.finished:
            return
        request.finished = True
        if not request.answers:
            if self.suspended_s(request.relay, request.sent_s) > 0.0:
                self.counts["lost with a relay"] += 1
            else:
                self.report_violation(
                    "one final answer", f"{request.relay} ended a connection that it had not answered"
                )

    def check_overdue(self, request: ClientRequest) -> bool:
        """Nothing came though it is late; noted, and waited for no longer."""
        elapsed_s = self.now() - request.sent_s
        if request.answers or elapsed_s <= request.deadline_s + 2 * TOLERANCE_S + self.suspended_s(
            request.relay, request.sent_s
        ):
            return False
        self.report_violation("one final answer", f"{request.relay} has not answered after {elapsed_s:.2f} s")
        request.finished = True
        return True

    # --- attempts, as the wires between relays and nodes show them --------------------------------

    def record_attempt(self, relay: str, backend: str, request_id: str, attempt: object) -> None:
        """The last byte of a job's line left the relay for this node."""
        self.counts["attempts"] += 1
        in_flight = self.attempts.setdefault(request_id, set())
        if in_flight:
            self.report_violation(
                "one attempt out", f"{relay} sent job {request_id} to {backend} while another attempt was out"
            )
        in_flight.add(attempt)
        drained_at = self.draining_since.get((relay, backend))
        if drained_at is not None:
            overdue_s = self.now() - drained_at - self.suspended_s(relay, drained_at)
            if overdue_s > self.obligations.drain_grace_s + TOLERANCE_S:
                self.report_violation("drain", f"{relay} sent a job to {backend} {overdue_s:.2f} s after it was told")
        self._check_slow_start(backend)

    def record_attempt_end(self, request_id: str, attempt: object) -> None:
        """The relay's side of the attempt has ended."""
        in_flight = self.attempts.get(request_id)
        if in_flight is not None:
            in_flight.discard(attempt)
            if not in_flight:
                del self.attempts[request_id]

    # --- nodes and the list ---------------------------------------------------------------------

    def record_backend_state(self, relay: str, backend: str, ready: bool) -> None:
        if ready:
            self.draining_since.pop((relay, backend), None)
        else:
            self.draining_since.setdefault((relay, backend), self.now())

    def relay_started(self, relay: str) -> None:
        """A new process has been told nothing yet."""
        for pair in [pair for pair in self.draining_since if pair[0] == relay]:
            del self.draining_since[pair]

    def backend_started(self, backend: str) -> None:
        self.starting[backend] = StartingBackend(self.now())

    def _check_slow_start(self, backend: str) -> None:
        starting, now, obligations = self.starting.get(backend), self.now(), self.obligations
        if starting is None or now > starting.started_s + obligations.slow_start_s:
            return
        starting.connection_times_s.append(now)
        while starting.connection_times_s[0] < now - obligations.overload_window_s:
            starting.connection_times_s.popleft()
        ramp = (
            obligations.initial_capacity_fraction
            + (1.0 - obligations.initial_capacity_fraction) * (now - starting.started_s) / obligations.slow_start_s
        )
        # New connections against what would fill it over its warm-up, as it is now; a little is left to chance.
        expected = obligations.backend_capacity * ramp / obligations.slow_start_s * obligations.overload_window_s
        allowed = obligations.overload_multiple * expected
        starting.worst_ratio = max(starting.worst_ratio, len(starting.connection_times_s) / expected)
        if len(starting.connection_times_s) > allowed + MAX_DEVIATIONS * sqrt(allowed):
            summary = (
                f"{backend} was sent {len(starting.connection_times_s)} connections "
                f"in {obligations.overload_window_s:g} s"
            )
            self.report_violation("cold", f"{summary}, of which {expected:.1f} fill it and {allowed:.1f} are allowed")

    # --- members, as datagrams show them ----------------------------------------------------------

    def record_digest(self, relay: str, digest: int) -> None:
        self.digests[relay] = (self.now(), digest)

    def members_agree(self, relays: list[str], since_s: float) -> bool:
        """All have said so since then, and the same."""
        reports = [self.digests.get(relay, (-1.0, 0)) for relay in relays]
        return all(at >= since_s for at, _ in reports) and len({digest for _, digest in reports}) == 1
