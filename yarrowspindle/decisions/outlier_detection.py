"""Outlier detection: ejects backends after failures and marks backends as overloaded.

Placement avoids an ejected backend if it draws a better one. No backend is excluded permanently: when the ejection
expires, requests are sent to it again.
"""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import Outcome
from yarrowspindle.decisions.load_estimates import UNRESPONSIVE_UTILIZATION

MAX_EJECTION_FAILURES = 2  # consecutive failures beyond which the ejection does not grow
RESETS_BEFORE_EJECTION = 3  # resets within RESET_WINDOW_MS that are attributed to the backend, not to the network
RESET_WINDOW_MS = 1000.0
OBSERVATION_TTL_MS = 5000.0  # slow messages are reported once a second; expires after five missed reports

NON_FAILURE_OUTCOMES = frozenset((Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT))


def is_overload_reset(backend: Backend, now: float, uses_own_load_only: bool) -> bool:
    """Record the reset of an established connection and return whether it indicates that the backend sheds load.

    If backends report message latency, one reset is enough. Otherwise RESETS_BEFORE_EJECTION resets within
    RESET_WINDOW_MS are needed, since networks and clients reset single connections too.
    """
    resets = backend.count_reset(now, RESET_WINDOW_MS)
    return resets >= (RESETS_BEFORE_EJECTION if uses_own_load_only else 1)


def is_failure(outcome: Outcome, established_reset: bool, overload_reset: bool) -> bool:
    """Return whether the outcome of an attempt counts as a failure of its backend.

    The reset of an established connection counts only if it indicates overload (`is_overload_reset`).
    """
    if established_reset:
        return overload_reset
    return outcome not in NON_FAILURE_OUTCOMES


def eject(backend: Backend, now: float, longest_deadline_ms: float, draw: float) -> None:
    """Eject a backend for 0.5 to 1.5 times the longest deadline, or twice that from the second consecutive failure.

    `draw` (in 0 to 1) is the jitter: balancers must not all retry the backend at the same time.
    """
    backend.consecutive_failures += 1
    ejection_ms = longest_deadline_ms * (0.5 + draw)
    doublings = min(backend.consecutive_failures, MAX_EJECTION_FAILURES) - 1
    backend.ejected_until = now + ejection_ms * 2.0**doublings


def on_established(backend: Backend) -> None:
    """Halve the consecutive failures after a successful setup; end the ejection when none is left."""
    backend.consecutive_failures //= 2
    if not backend.consecutive_failures:
        backend.ejected_until = -1.0


def mark_overloaded(backend: Backend, now: float) -> None:
    """Mark the backend as slower than any latency objective for OBSERVATION_TTL_MS."""
    backend.slow_until = now + OBSERVATION_TTL_MS
    backend.message_latency_ms = inf


def on_message_latency(backend: Backend, latency_ms: float, slow_message_ms: float, now: float) -> None:
    """Record an observed message latency; above `slow_message_ms`, mark the backend as slow for OBSERVATION_TTL_MS."""
    backend.slow_until = now + OBSERVATION_TTL_MS if latency_ms > slow_message_ms else -1.0
    backend.message_latency_ms = latency_ms


def is_ejected(backend: Backend, now: float) -> bool:
    """Return whether the backend is ejected after failures or does not answer its health checks."""
    return now < backend.ejected_until or backend.utilization >= UNRESPONSIVE_UTILIZATION
