"""Outlier detection: which backends are ejected after failures, and which are taken to be overloaded.

An ejected backend is passed over by placement while a better one is drawn. It is never excluded for good: when its
time is over a request tries it.
"""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import Outcome
from yarrowspindle.decisions.load_estimates import UNRESPONSIVE_UTILIZATION

MAX_EJECTION_FAILURES = 2  # consecutive failures that still make an ejection longer
RESETS_BEFORE_EJECTION = 3  # resets within RESET_WINDOW_MS that are the backend's own doing
RESET_WINDOW_MS = 1000.0
OBSERVATION_TTL_MS = 5000.0  # slow messages are reported once a second: after five are missing nothing is known

NON_FAILURE_OUTCOMES = frozenset((Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT))


def is_overload_reset(backend: Backend, now: float, uses_own_load_only: bool) -> bool:
    """Record the reset of an established connection and return whether it shows that the backend sheds load.

    Where backends report message latency one reset is enough. Where they don't, networks and clients reset single
    connections too, so that several within RESET_WINDOW_MS are needed.
    """
    resets = backend.count_reset(now, RESET_WINDOW_MS)
    return resets >= (RESETS_BEFORE_EJECTION if uses_own_load_only else 1)


def is_failure(outcome: Outcome, established_reset: bool, overload_reset: bool) -> bool:
    """Return whether the end of an attempt counts against its backend.

    A reset of an established connection counts only as a sign of overload (`is_overload_reset`).
    """
    if established_reset:
        return overload_reset
    return outcome not in NON_FAILURE_OUTCOMES


def eject(backend: Backend, now: float, longest_deadline_ms: float, draw: float) -> None:
    """Eject a backend for 0.5 to 1.5 times the longest deadline, twice that from the second failure in a row.

    draw: in 0 to 1; jitter, so that balancers do not all try the backend again at once.
    """
    backend.consecutive_failures += 1
    ejection_ms = longest_deadline_ms * (0.5 + draw)
    doublings = min(backend.consecutive_failures, MAX_EJECTION_FAILURES) - 1
    backend.ejected_until = now + ejection_ms * 2.0**doublings


def on_established(backend: Backend) -> None:
    """An established connection halves the failures; at none the ejection ends at once."""
    backend.consecutive_failures //= 2
    if not backend.consecutive_failures:
        backend.ejected_until = -1.0


def mark_overloaded(backend: Backend, now: float) -> None:
    """Take the backend to be slower than any objective until OBSERVATION_TTL_MS have passed."""
    backend.slow_until = now + OBSERVATION_TTL_MS
    backend.message_latency_ms = inf


def on_message_latency(backend: Backend, latency_ms: float, slow_message_ms: float, now: float) -> None:
    """Record an observed message latency; above `slow_message_ms` the backend is slow for OBSERVATION_TTL_MS."""
    backend.slow_until = now + OBSERVATION_TTL_MS if latency_ms > slow_message_ms else -1.0
    backend.message_latency_ms = latency_ms


def is_ejected(backend: Backend, now: float) -> bool:
    """Return whether it is ejected for failures, or does not answer its health checks."""
    return now < backend.ejected_until or backend.utilization >= UNRESPONSIVE_UTILIZATION
