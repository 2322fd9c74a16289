"""Who is probed when, by whom else, and when silence means an end: SWIM with Lifeguard's distrust of oneself. Pure.

A relay that stood still, or whose own probes fail though the helpers' way is open, probes more slowly and accuses
later. A suspicion ends early only where others have it as well.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import log, log10

MAX_HEALTH = 4  # probes at the slowest five times as rare: trust is back within 8 s of answers
HELPERS = 3
MAX_SUSPICION = 3.0  # times the shortest suspicion, where nobody else shares it
DIRECT_FRACTION = 0.4  # of a probe's time; the rest is for the helpers
NACK_FRACTION = 0.36  # after which a helper says that it has no answer either: well within that rest
STOOD_FRACTION = 0.5  # a beat that comes so late, in probe times: this relay stood still


@dataclass(slots=True)
class Probe:
    """The one that is out."""

    name: str
    number: int
    sent: float
    answered: bool = False
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Suspicion:
    incarnation: int
    turn: int
    since: float
    by: set[str] = field(default_factory=set)


class Detector:
    """`shuffle` puts a list in an order drawn at random."""

    def __init__(self, probe_ms: float, suspicion_ms: float, shuffle: Callable[[list[str]], None]) -> None:
        self.probe_ms, self.suspicion_ms, self.shuffle = probe_ms, suspicion_ms, shuffle
        self.health = 0  # 0: well
        self.order: list[str] = []
        self.probe: Probe | None = None
        self.suspicions: dict[str, Suspicion] = {}
        self.trust_from = 0.0  # nobody is accused before this time

    # --- oneself --------------------------------------------------------------------------------

    def worse(self, by: int = 1) -> None:
        self.health = min(MAX_HEALTH, max(0, self.health + by))

    @property
    def beat_ms(self) -> float:
        return self.probe_ms * (1 + self.health)

    @property
    def direct_ms(self) -> float:
        return self.beat_ms * DIRECT_FRACTION

    def stood(self, late_ms: float, now: float) -> bool:
        """A beat came late by so much. What was waited for meanwhile is nobody's fault, and for a while the others'
        answers may still lie in our own sockets."""
        if late_ms < STOOD_FRACTION * self.probe_ms:
            return False
        self.worse(2)
        self.probe = None
        self.trust_from = now + 2.0 * self.probe_ms
        for suspicion in self.suspicions.values():
            suspicion.since = min(now, suspicion.since + late_ms)
        return True

    # --- probes ---------------------------------------------------------------------------------

    def next(self, others: list[str]) -> str | None:
        """Whom to probe: each in its turn, in an order drawn anew each round."""
        there = set(others)
        while self.order:
            name = self.order.pop()
            if name in there:
                return name
        self.order = list(others)
        self.shuffle(self.order)
        return self.order.pop() if self.order else None

    def judged(self, now: float) -> str | None:
        """The end of a probe's time: who did not answer, unless we distrust ourselves more."""
        probe, self.probe = self.probe, None
        if probe is None:
            return None
        if probe.answered:
            self.worse(-1)
            return None
        # No word from some helpers either: perhaps nobody hears us.
        self.worse(1 if not probe.helpers else max(0, probe.helpers - probe.nacks))
        return probe.name if now >= self.trust_from else None

    # --- suspicions -----------------------------------------------------------------------------

    def suspect(self, name: str, incarnation: int, turn: int, by: str, now: float) -> bool:
        """One more holds it; whether that is news."""
        known = self.suspicions.get(name)
        if known is None or (known.incarnation, known.turn) < (incarnation, turn):
            known = self.suspicions[name] = Suspicion(incarnation, turn, now)
        elif (known.incarnation, known.turn) > (incarnation, turn):
            return False
        if by in known.by or len(known.by) > HELPERS:
            return False
        known.by.add(by)
        return True

    def cleared(self, name: str) -> None:
        self.suspicions.pop(name, None)

    def lasts_ms(self, suspicion: Suspicion, size: int) -> float:
        """How long it lasts with as many as hold it: the shorter, the more of them."""
        least = self.suspicion_ms * max(1.0, log10(max(size, 1)))
        wanted = min(HELPERS, max(0, size - 2))
        if not wanted:
            return least
        most = MAX_SUSPICION * least
        return max(least, most - (most - least) * log(len(suspicion.by)) / log(wanted + 1)) if suspicion.by else most

    def ended(self, size: int, now: float) -> list[str]:
        """Whose suspicion has ended without an objection."""
        if now < self.trust_from:
            return []
        return [name for name, s in self.suspicions.items() if now >= s.since + self.lasts_ms(s, size)]
