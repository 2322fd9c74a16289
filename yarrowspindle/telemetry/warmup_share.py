"""Checks that a backend that is warming up gets no more than its share of this relay's requests; times are in ms."""

from __future__ import annotations

from collections import deque
from math import sqrt

from yarrowspindle.decisions.settings import Settings

MAX_SHARE_FACTOR = 4.0  # multiplies `overload_multiple` times the warming backend's fraction of a warm one's share
MAX_DEVIATIONS = 3.0  # in standard deviations of a Poisson count, above the allowed number
MAX_EXCESS = 3.0  # in requests, above that, for small allowed numbers


class WarmupShare:
    """Counter of the requests forwarded to each recently restarted backend within the overload window."""

    def __init__(self) -> None:
        self._restarted_at: dict[str, float] = {}  # when the backend's last restart was first seen in the list
        self._forwarded: dict[
            str, deque[float]
        ] = {}  # times of the requests forwarded to each backend in `_restarted_at`
        self._forwarded_to_all: deque[float] = deque()

    def on_restarted(self, backend: str, now: float) -> None:
        """Start counting for a backend that restarted."""
        self._restarted_at[backend] = now
        self._forwarded[backend] = deque()

    def on_forwarded(self, backend: str, now: float, settings: Settings, listed_backends: int) -> str | None:
        """Count a forwarded request; return a description if the backend got more than allowed, else None."""
        window_ms = settings.overload_window_ms
        self._forwarded_to_all.append(now)
        _discard_before(self._forwarded_to_all, now - window_ms)
        restarted_at = self._restarted_at.get(backend)
        if restarted_at is None:
            return None
        if now > restarted_at + settings.warmup_ms:
            del self._restarted_at[backend], self._forwarded[backend]
            return None
        forwarded = self._forwarded[backend]
        forwarded.append(now)
        _discard_before(forwarded, now - window_ms)
        per_other_backend = (len(self._forwarded_to_all) - len(forwarded)) / max(1, listed_backends - 1)
        limit = _limit(settings, now - restarted_at, per_other_backend)
        if len(forwarded) <= limit:
            return None
        return f"{len(forwarded)} forwarded to backend={backend} in {window_ms:.0f} ms, at most {limit:.0f} allowed"


def _discard_before(times: deque[float], earliest: float) -> None:
    while times[0] < earliest:
        times.popleft()


def _limit(settings: Settings, since_restart_ms: float, per_other_backend: float) -> float:
    """Return how many requests a backend may get if the others got `per_other_backend` each on average."""
    initial_fraction = settings.initial_capacity_fraction
    capacity_fraction = initial_fraction + (1.0 - initial_fraction) * since_restart_ms / settings.warmup_ms
    allowed = MAX_SHARE_FACTOR * settings.overload_multiple * capacity_fraction * per_other_backend
    return allowed + MAX_DEVIATIONS * sqrt(allowed) + MAX_EXCESS
