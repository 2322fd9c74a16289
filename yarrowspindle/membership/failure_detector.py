"""SWIM's failure detector with Lifeguard's local health: selects probe targets and times out suspicions.

A relay that was stalled, or whose helpers do not answer either, is likely at fault itself: it probes at longer
intervals and thus suspects later. A suspicion expires early only if several relays share it. Times are milliseconds of
a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import log, log10

MAX_HEALTH_PENALTY = 4  # the probe interval grows to at most (1 + this) times its base value
MAX_HELPERS = 3  # peers that are asked for an indirect ping
MAX_SUSPICION_MULTIPLE = 3.0  # maximum over minimum suspicion timeout; the maximum applies if no other relay shares it
DIRECT_PROBE_FRACTION = 0.4  # of the probe interval, for the direct ping; the rest is for indirect pings
NACK_FRACTION = 0.36  # of the probe interval, after which a helper sends a nack: well within the time for helpers
STALL_FRACTION = 0.5  # of the probe interval; a probe timer delayed by more shows that the process was stalled
STALL_PENALTY = 2
GRACE_INTERVALS = 2.0  # probe intervals after a stall during which no member is suspected


@dataclass(slots=True)
class Probe:
    """The probe in progress.

    Attributes:
        target: Name of the probed member.
        number: Number of the ping.
        sent_at: When the ping was sent, in milliseconds.
        answered: Whether the target answered, directly or through a helper.
        helpers: Number of peers that were asked for an indirect ping.
        nacks: Number of helpers that reported no answer from the target.
    """

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

    Args:
        probe_ms: Interval between probes while this relay is healthy.
        suspicion_ms: Minimum suspicion timeout.
        shuffle: Function that shuffles a list in place.

    Attributes:
        health_penalty: Lifeguard's local health multiplier minus 1; 0 if this relay is healthy.
        probe_order: Names of the members still to be probed in this round, the next one last.
        probe: The probe in progress.
        suspicions: Suspicions by member name.
        suspicion_suspended_until: End of the period after a stall in which no member is suspected or declared dead.
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
        """Add to the health penalty, within 0 and MAX_HEALTH_PENALTY."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, max(0, self.health_penalty + penalty))

    @property
    def interval_ms(self) -> float:
        """The interval between probes at the current local health."""
        return self.probe_ms * (1 + self.health_penalty)

    @property
    def direct_timeout_ms(self) -> float:
        """How long to wait for the answer to a direct ping before helpers are asked."""
        return self.interval_ms * DIRECT_PROBE_FRACTION

    def detect_stall(self, delay_ms: float, now: float) -> bool:
        """Detect a stall of this process by the delay of a probe timer.

        After a stall, the probe in progress is abandoned and suspicions are suspended for GRACE_INTERVALS, as answers
        may still be in this process's socket buffer.

        Returns:
            Whether the process was stalled.
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
        """Return the peer to probe next: each peer once per round, in an order that is shuffled for each round."""
        present = set(peers)
        while self.probe_order:
            name = self.probe_order.pop()
            if name in present:
                return name
        self.probe_order = list(peers)
        self.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    def finish_probe(self, now: float) -> str | None:
        """End the probe in progress, and adjust the local health.

        Returns:
            The name of the target if it must be suspected, else None.
        """
        probe, self.probe = self.probe, None
        if probe is None:
            return None
        if probe.answered:
            self.adjust_health(-1)
            return None
        # Missing nacks suggest that the helpers are unreachable too, so that this relay itself may be at fault.
        missing_nacks = max(0, probe.helpers - probe.nacks)
        self.adjust_health(missing_nacks if probe.helpers else 1)
        return probe.target if now >= self.suspicion_suspended_until else None

    # --- suspicions -----------------------------------------------------------------------------

    def add_suspicion(self, name: str, incarnation: int, refutations: int, suspected_by: str, now: float) -> bool:
        """Record that a relay suspects a member, and return whether this relay did not know that yet."""
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
        """Remove the suspicion of a member, if there is one."""
        self.suspicions.pop(name, None)

    def suspicion_timeout_ms(self, suspicion: Suspicion, cluster_size: int) -> float:
        """Return the timeout of a suspicion: the more relays share it, the shorter."""
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
        """Return the names of the members whose suspicion timed out without a refutation."""
        if now < self.suspicion_suspended_until:
            return []
        return [
            name
            for name, suspicion in self.suspicions.items()
            if now >= suspicion.started_at + self.suspicion_timeout_ms(suspicion, cluster_size)
        ]
