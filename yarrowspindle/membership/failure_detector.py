"""SWIM's failure detector with Lifeguard's local health: whom to probe, and when a suspicion becomes a death.

A relay that was stalled, or whose probes fail although its helpers are reachable, probes more slowly and suspects
later. A suspicion ends early only where several relays share it. Times are milliseconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import log, log10

MAX_HEALTH_PENALTY = 4  # the probe interval grows up to (1 + this) times
MAX_HELPERS = 3  # that are asked to ping on our behalf
MAX_SUSPICION_MULTIPLE = 3.0  # of the shortest suspicion, where no other relay shares it
DIRECT_PROBE_FRACTION = 0.4  # of the probe interval; the rest is for the helpers
NACK_FRACTION = 0.36  # of the probe interval, after which a helper reports no answer: well within that rest
STALL_FRACTION = 0.5  # of the probe interval: a probe timer later than this shows that the process was stalled
STALL_PENALTY = 2
GRACE_INTERVALS = 2.0  # probe intervals after a stall in which no member is suspected


@dataclass(slots=True)
class Probe:
    """The probe in progress. `helpers` were asked to ping the target, `nacks` of them reported no answer."""

    target: str
    number: int
    sent_at: float
    answered: bool = False
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one incarnation of a member, and the relays that share it."""

    incarnation: int
    refutations: int
    started_at: float
    suspected_by: set[str] = field(default_factory=set)


class FailureDetector:
    """The probe in progress, the suspicions, and this relay's local health.

    shuffle: puts a list in random order. health_penalty: 0 where this relay is healthy.
    """

    def __init__(self, probe_ms: float, suspicion_ms: float, shuffle: Callable[[list[str]], None]) -> None:
        self.probe_ms = probe_ms
        self.suspicion_ms = suspicion_ms
        self.shuffle = shuffle
        self.health_penalty = 0
        self.probe_order: list[str] = []
        self.probe: Probe | None = None
        self.suspicions: dict[str, Suspicion] = {}
        self.suspicion_suspended_until = 0.0

    # --- local health ---------------------------------------------------------------------------

    def adjust_health(self, penalty: int) -> None:
        """Adds to the health penalty, within its limits."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, max(0, self.health_penalty + penalty))

    @property
    def interval_ms(self) -> float:
        """The time between probes at the current local health."""
        return self.probe_ms * (1 + self.health_penalty)

    @property
    def direct_timeout_ms(self) -> float:
        """The time for the answer to a direct ping, before helpers are asked."""
        return self.interval_ms * DIRECT_PROBE_FRACTION

    def detect_stall(self, delay_ms: float, now: float) -> bool:
        """Returns whether a probe timer so late shows a stall of this process; if so, suspends suspicion for a while.

        The answers expected meanwhile may still be in this process's socket buffers.
        """
        if delay_ms < STALL_FRACTION * self.probe_ms:
            return False
        self.adjust_health(STALL_PENALTY)
        self.probe = None
        self.suspicion_suspended_until = now + GRACE_INTERVALS * self.probe_ms
        for suspicion in self.suspicions.values():
            suspicion.started_at = min(now, suspicion.started_at + delay_ms)
        return True

    # --- probes ---------------------------------------------------------------------------------

    def next_target(self, peers: list[str]) -> str | None:
        """Returns the peer to probe next: each once in a round, in an order drawn anew for each round."""
        present = set(peers)
        while self.probe_order:
            name = self.probe_order.pop()
            if name in present:
                return name
        self.probe_order = list(peers)
        self.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    def finish_probe(self, now: float) -> str | None:
        """Ends the probe in progress; returns the target to suspect, if any, and adjusts the local health."""
        probe, self.probe = self.probe, None
        if probe is None:
            return None
        if probe.answered:
            self.adjust_health(-1)
            return None
        # Helpers that sent no nack may be unreachable: this relay itself may be at fault.
        missing_nacks = max(0, probe.helpers - probe.nacks)
        self.adjust_health(missing_nacks if probe.helpers else 1)
        return probe.target if now >= self.suspicion_suspended_until else None

    # --- suspicions -----------------------------------------------------------------------------

    def add_suspicion(self, name: str, incarnation: int, refutations: int, suspected_by: str, now: float) -> bool:
        """Records that a relay suspects a member; returns whether that is new."""
        known = self.suspicions.get(name)
        if known is None or (known.incarnation, known.refutations) < (incarnation, refutations):
            known = self.suspicions[name] = Suspicion(incarnation, refutations, now)
        elif (known.incarnation, known.refutations) > (incarnation, refutations):
            return False
        if suspected_by in known.suspected_by or len(known.suspected_by) > MAX_HELPERS:
            return False
        known.suspected_by.add(suspected_by)
        return True

    def clear_suspicion(self, name: str) -> None:
        """Removes the suspicion of a member, if there is one."""
        self.suspicions.pop(name, None)

    def suspicion_timeout_ms(self, suspicion: Suspicion, cluster_size: int) -> float:
        """Returns how long a suspicion lasts: the more relays share it, the shorter."""
        min_timeout = self.suspicion_ms * max(1.0, log10(max(cluster_size, 1)))
        max_confirmations = min(MAX_HELPERS, max(0, cluster_size - 2))
        if not max_confirmations:
            return min_timeout
        max_timeout = MAX_SUSPICION_MULTIPLE * min_timeout
        if not suspicion.suspected_by:
            return max_timeout
        range_ms = max_timeout - min_timeout
        reduction = range_ms * log(len(suspicion.suspected_by)) / log(max_confirmations + 1)
        return max(min_timeout, max_timeout - reduction)

    def expired_suspicions(self, cluster_size: int, now: float) -> list[str]:
        """Returns the members whose suspicion ended without a refutation."""
        if now < self.suspicion_suspended_until:
            return []
        return [
            name
            for name, suspicion in self.suspicions.items()
            if now >= suspicion.started_at + self.suspicion_timeout_ms(suspicion, cluster_size)
        ]
