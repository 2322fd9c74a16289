"""Checks the relays' obligations from network traffic and the answers to clients, without looking into a relay.

The checker also knows when the laboratory killed, suspended or terminated a relay process. The time in which a process
could not run is added to its limits.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt

# Standard deviations by which a count may exceed its limit, as relays choose starting backends at random.
MAX_DEVIATIONS = 3.0
TOLERANCE_S = 0.6  # scheduling delay: this machine runs the clients and backends beside the relays


@dataclass(slots=True)
class ClientRequest:
    """One client request, which must get exactly one final answer.

    Attributes:
        relay: the relay that the client asked.
        sent_s: when the request was sent, in seconds of the checker's clock.
        deadline_s: time within which the relay must answer.
        answers: the final answers received.
        finished: whether the connection has ended or its missing answer was reported.
    """

    relay: str
    sent_s: float
    deadline_s: float
    answers: list[str] = field(default_factory=list)
    finished: bool = False


@dataclass(slots=True)
class StartingBackend:
    """A backend in its slow start.

    Attributes:
        started_s: when the backend started.
        connection_times_s: when it received the connections of the last overload window.
        worst_ratio: the highest ratio of received to expected connections in one overload window.
    """

    started_s: float
    connection_times_s: deque[float] = field(default_factory=deque)
    worst_ratio: float = 0.0


@dataclass(slots=True, frozen=True)
class Obligations:
    """The limits that the checker enforces, as the relays' settings state them.

    Attributes:
        drain_grace_s: time in which requests may still be sent to a backend after the relay learned that it drains.
        slow_start_s: duration of a backend's slow start.
        initial_capacity_fraction: fraction of its capacity that a backend has when it starts.
        overload_multiple: how many times the expected connections a starting backend may receive.
        overload_window_s: window in which these connections are counted.
        backend_capacity: connections that a backend can hold after its slow start.
    """

    drain_grace_s: float = 0.4
    slow_start_s: float = 3.0  # shorter than the lifetime of connections, as at both sites
    initial_capacity_fraction: float = 0.31
    overload_multiple: float = 3.0
    overload_window_s: float = 1.5
    backend_capacity: float = 40.0


class Checker:
    """A checker that records what happens on the network and reports violations of the rules.

    Args:
        now: clock; seconds since the start of the run.
        obligations: the limits to enforce.
    """

    def __init__(self, now: Callable[[], float], obligations: Obligations) -> None:
        self.now, self.obligations = now, obligations
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        # Request id -> its attempts whose connections the relay has not ended
        self.attempts: dict[str, set[object]] = {}
        self.draining_since: dict[tuple[str, str], float] = {}  # relay, backend -> when the relay learned of it
        self.starting: dict[str, StartingBackend] = {}
        # Relay -> start and end of each time in which its process was suspended or had ended.
        self.suspensions: dict[str, list[list[float]]] = {}
        # Relay -> when it last sent a digest of its members, and the digest.
        self.digests: dict[str, tuple[float, int]] = {}
        self.answer_times_s: list[float] = []

    def report_violation(self, rule: str, detail: str) -> None:
        """Count a violation of the rule, and keep the details of the first 50 violations."""
        self.counts[f"broken {rule}"] += 1
        if len(self.violations) < 50:
            self.violations.append(f"{rule} at {self.now():.3f} s: {detail}")

    # --- processes ------------------------------------------------------------------------------

    def relay_suspended(self, relay: str) -> None:
        """Record that the relay's process was suspended or has ended."""
        self.suspensions.setdefault(relay, []).append([self.now(), float("inf")])

    def relay_resumed(self, relay: str) -> None:
        """Record that the relay's process runs again."""
        if self.suspensions.get(relay):
            self.suspensions[relay][-1][1] = self.now()

    def suspended_s(self, relay: str, since_s: float) -> float:
        """Return for how many seconds since `since_s` the relay was suspended or had no process."""
        now = self.now()
        return sum(max(0.0, min(end, now) - max(start, since_s)) for start, end in self.suspensions.get(relay, ()))

    # --- clients --------------------------------------------------------------------------------

    def record_request(self, relay: str, deadline_s: float) -> ClientRequest:
        """Record that a client has sent a request to this relay."""
        self.counts["asked"] += 1
        return ClientRequest(relay, self.now(), deadline_s)

    def record_answer(self, request: ClientRequest, answer: str) -> None:
        """Record a final answer, and check that it is the only one and in time."""
        request.answers.append(answer)
        self.counts[answer.lower()] += 1
        elapsed_s = self.now() - request.sent_s
        if len(request.answers) > 1:
            self.report_violation("one final answer", f"{request.relay} answered {' and '.join(request.answers)}")
        elif elapsed_s > request.deadline_s + TOLERANCE_S + self.suspended_s(request.relay, request.sent_s):
            self.report_violation(
                "in time",
                f"{request.relay} answered {answer} after {elapsed_s:.2f} s (deadline {request.deadline_s:.2f} s)",
            )
        self.answer_times_s.append(elapsed_s)

    def record_end(self, request: ClientRequest) -> None:
        """Record the end of the client's connection.

        A connection that ends without an answer is a violation unless the relay's process was suspended or ended
        meanwhile.
        """
        if request.finished:
            return
        request.finished = True
        if not request.answers:
            if self.suspended_s(request.relay, request.sent_s) > 0.0:
                self.counts["lost with a relay"] += 1
            else:
                self.report_violation(
                    "one final answer", f"{request.relay} closed a connection that it had not answered"
                )

    def check_overdue(self, request: ClientRequest) -> bool:
        """Report the request if its answer is overdue, and return whether it is."""
        elapsed_s = self.now() - request.sent_s
        if request.answers or elapsed_s <= request.deadline_s + 2 * TOLERANCE_S + self.suspended_s(
            request.relay, request.sent_s
        ):
            return False
        self.report_violation("one final answer", f"{request.relay} sent no answer within {elapsed_s:.2f} s")
        request.finished = True
        return True

    # --- attempts, from the traffic between relays and backends -----------------------------------

    def record_attempt(self, relay: str, backend: str, request_id: str, attempt: object) -> None:
        """Record that the relay has sent the complete request line to the backend."""
        self.counts["attempts"] += 1
        in_flight = self.attempts.setdefault(request_id, set())
        if in_flight:
            self.report_violation(
                "one attempt out", f"{relay} sent request {request_id} to {backend} while another attempt was in flight"
            )
        in_flight.add(attempt)
        drained_at = self.draining_since.get((relay, backend))
        if drained_at is not None:
            overdue_s = self.now() - drained_at - self.suspended_s(relay, drained_at)
            if overdue_s > self.obligations.drain_grace_s + TOLERANCE_S:
                self.report_violation(
                    "drain", f"{relay} sent a request to {backend} {overdue_s:.2f} s after it learned that it drains"
                )
        self._check_slow_start(backend)

    def record_attempt_end(self, request_id: str, attempt: object) -> None:
        """Record that the relay has ended its side of the attempt's connection."""
        in_flight = self.attempts.get(request_id)
        if in_flight is not None:
            in_flight.discard(attempt)
            if not in_flight:
                del self.attempts[request_id]

    # --- backends and the endpoint list -----------------------------------------------------------

    def record_backend_state(self, relay: str, backend: str, ready: bool) -> None:
        """Record that the relay was sent an endpoint list with this state of the backend."""
        if ready:
            self.draining_since.pop((relay, backend), None)
        else:
            self.draining_since.setdefault((relay, backend), self.now())

    def relay_started(self, relay: str) -> None:
        """Forget which backends the relay knows to be draining, as its new process has received no endpoint list."""
        for pair in [pair for pair in self.draining_since if pair[0] == relay]:
            del self.draining_since[pair]

    def backend_started(self, backend: str) -> None:
        """Record that the backend has started and has its slow start ahead."""
        self.starting[backend] = StartingBackend(self.now())

    def _check_slow_start(self, backend: str) -> None:
        """Check that a backend in its slow start does not receive too many connections."""
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
        # The expected rate fills the present capacity within one slow start. MAX_DEVIATIONS covers random variation.
        expected = obligations.backend_capacity * ramp / obligations.slow_start_s * obligations.overload_window_s
        allowed = obligations.overload_multiple * expected
        starting.worst_ratio = max(starting.worst_ratio, len(starting.connection_times_s) / expected)
        if len(starting.connection_times_s) > allowed + MAX_DEVIATIONS * sqrt(allowed):
            summary = (
                f"{backend} was sent {len(starting.connection_times_s)} connections "
                f"in {obligations.overload_window_s:g} s"
            )
            self.report_violation("cold", f"{summary}; {expected:.1f} are expected and {allowed:.1f} allowed")

    # --- membership, from the datagrams of the relays ---------------------------------------------

    def record_digest(self, relay: str, digest: int) -> None:
        """Record the digest of members that the relay has sent."""
        self.digests[relay] = (self.now(), digest)

    def members_agree(self, relays: list[str], since_s: float) -> bool:
        """Return whether all these relays have sent the same digest since `since_s`."""
        reports = [self.digests.get(relay, (-1.0, 0)) for relay in relays]
        return all(at >= since_s for at, _ in reports) and len({digest for _, digest in reports}) == 1
