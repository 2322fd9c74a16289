"""The rules, held by what passes on wires and what clients hear; nothing here looks into a relay.

What happened to a relay's process (killed, stopped, asked to end) is known too: those are the checker's own doing. A
promise that needs a relay awake is not held against it for the time in which it was stopped.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt

CHANCE = 3.0  # standard deviations of a count that are let pass: relays feed cold nodes by chance
SLACK_S = 0.6  # of this machine, which runs all parties beside the relays


@dataclass(slots=True)
class Client:
    """One connection of a submitter that was owed one final answer."""

    relay: str
    asked: float
    deadline_s: float
    answers: list[str] = field(default_factory=list)
    over: bool = False


@dataclass(slots=True)
class Cold:
    """A node that has started a moment ago; its guaranteed connections a second, and those that came of late."""

    started: float
    sent: deque[float] = field(default_factory=deque)
    worst: float = 0.0


@dataclass(slots=True, frozen=True)
class Terms:
    """As the relays' settings state them; seconds. capacity: connections that a warm node can carry."""

    grace_s: float = 0.4
    cold_s: float = 3.0  # shorter than connections live, as at both sites
    cold_share: float = 0.31
    fall_multiple: float = 3.0
    fall_s: float = 1.5
    capacity: float = 40.0


class Checker:
    def __init__(self, now: Callable[[], float], terms: Terms) -> None:
        self.now, self.terms = now, terms
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()
        # job -> its attempts that are out, as the relay's side of the wire shows
        self.attempts: dict[str, set[object]] = {}
        self.drained: dict[tuple[str, str], float] = {}  # relay, node -> when the relay was told
        self.cold: dict[str, Cold] = {}
        self.asleep: dict[str, list[list[float]]] = {}  # relay -> from when to when it was stopped, or dead
        self.views: dict[str, tuple[float, int]] = {}  # relay -> its newest digest of members, and when it was seen
        self.waits: list[float] = []

    def note(self, rule: str, what: str) -> None:
        self.counts[f"broken {rule}"] += 1
        if len(self.broken) < 50:
            self.broken.append(f"{rule} at {self.now():.3f} s: {what}")

    # --- processes ------------------------------------------------------------------------------

    def sleeps(self, relay: str) -> None:
        self.asleep.setdefault(relay, []).append([self.now(), float("inf")])

    def wakes(self, relay: str) -> None:
        if self.asleep.get(relay):
            self.asleep[relay][-1][1] = self.now()

    def slept(self, relay: str, since: float) -> float:
        """For how long of the time since then it could do nothing."""
        now = self.now()
        return sum(max(0.0, min(end, now) - max(start, since)) for start, end in self.asleep.get(relay, ()))

    # --- submitters -----------------------------------------------------------------------------

    def asked(self, relay: str, deadline_s: float) -> Client:
        self.counts["asked"] += 1
        return Client(relay, self.now(), deadline_s)

    def answered(self, client: Client, answer: str) -> None:
        """A line that is a final answer."""
        client.answers.append(answer)
        self.counts[answer.lower()] += 1
        took = self.now() - client.asked
        if len(client.answers) > 1:
            self.note("one final answer", f"{client.relay} said {' and '.join(client.answers)}")
        elif took > client.deadline_s + SLACK_S + self.slept(client.relay, client.asked):
            self.note("in time", f"{client.relay} said {answer} after {took:.2f} s of {client.deadline_s:.2f} s")
        self.waits.append(took)

    def ended(self, client: Client) -> None:
        """The connection is over; without an answer that is the relay's fault while it lived."""
        if client.over:
            return
        client.over = True
        if not client.answers:
            if self.slept(client.relay, client.asked) > 0.0:
                self.counts["lost with a relay"] += 1
            else:
                self.note("one final answer", f"{client.relay} ended a connection that it had not answered")

    def overdue(self, client: Client) -> bool:
        """Nothing came though it is late; noted, and waited for no longer."""
        took = self.now() - client.asked
        if client.answers or took <= client.deadline_s + 2 * SLACK_S + self.slept(client.relay, client.asked):
            return False
        self.note("one final answer", f"{client.relay} has not answered after {took:.2f} s")
        client.over = True
        return True

    # --- attempts, as the wires between relays and nodes show them --------------------------------

    def sent(self, relay: str, backend: str, request: str, attempt: object) -> None:
        """The last byte of a job's line left the relay for this node."""
        self.counts["attempts"] += 1
        out = self.attempts.setdefault(request, set())
        if out:
            self.note("one attempt out", f"{relay} sent job {request} to {backend} while another attempt was out")
        out.add(attempt)
        told = self.drained.get((relay, backend))
        if told is not None:
            late = self.now() - told - self.slept(relay, told)
            if late > self.terms.grace_s + SLACK_S:
                self.note("drain", f"{relay} sent a job to {backend} {late:.2f} s after it was told")
        self._fed(backend)

    def given_up(self, request: str, attempt: object) -> None:
        """The relay's side of the attempt has ended."""
        out = self.attempts.get(request)
        if out is not None:
            out.discard(attempt)
            if not out:
                del self.attempts[request]

    # --- nodes and the list ---------------------------------------------------------------------

    def told(self, relay: str, backend: str, ready: bool) -> None:
        if ready:
            self.drained.pop((relay, backend), None)
        else:
            self.drained.setdefault((relay, backend), self.now())

    def relay_started(self, relay: str) -> None:
        """A new process has been told nothing yet."""
        for pair in [pair for pair in self.drained if pair[0] == relay]:
            del self.drained[pair]

    def started(self, backend: str) -> None:
        self.cold[backend] = Cold(self.now())

    def _fed(self, backend: str) -> None:
        cold, now, terms = self.cold.get(backend), self.now(), self.terms
        if cold is None or now > cold.started + terms.cold_s:
            return
        cold.sent.append(now)
        while cold.sent[0] < now - terms.fall_s:
            cold.sent.popleft()
        ramp = terms.cold_share + (1.0 - terms.cold_share) * (now - cold.started) / terms.cold_s
        # New connections against what would fill it over its warm-up, as it is now; a little is left to chance.
        fills = terms.capacity * ramp / terms.cold_s * terms.fall_s
        most = terms.fall_multiple * fills
        cold.worst = max(cold.worst, len(cold.sent) / fills)
        if len(cold.sent) > most + CHANCE * sqrt(most):
            came = f"{backend} was sent {len(cold.sent)} connections in {terms.fall_s:g} s"
            self.note("cold", f"{came}, of which {fills:.1f} fill it and {most:.1f} are allowed")

    # --- members, as datagrams show them ----------------------------------------------------------

    def viewed(self, relay: str, view: int) -> None:
        self.views[relay] = (self.now(), view)

    def agree(self, relays: list[str], since: float) -> bool:
        """All have said so since then, and the same."""
        said = [self.views.get(relay, (-1.0, 0)) for relay in relays]
        return all(at >= since for at, _ in said) and len({view for _, view in said}) == 1
