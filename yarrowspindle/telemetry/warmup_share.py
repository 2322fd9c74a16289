"""Whether a backend that is warming up gets more than its share of what this relay forwards. Times are milliseconds."""

from __future__ import annotations

from collections import deque
from math import sqrt

from yarrowspindle.decisions.settings import Settings

MAX_SHARE_FACTOR = 4.0  # of a warm backend's share, for each multiple that the settings allow a cold one
MAX_DEVIATIONS = 3.0  # standard deviations of a Poisson count above the allowed number
MAX_EXCESS = 3.0  # forwarded requests above that, where the allowed number is small


class WarmupShare:
    """Counts what is forwarded to each backend that was seen to start anew, within the overload window."""

    def __init__(self) -> None:
        self._restarted_at: dict[str, float] = {}  # when a backend's present start was first seen
        self._forwarded: dict[str, deque[float]] = {}  # to each of these backends
        self._forwarded_to_all: deque[float] = deque()

    def on_restarted(self, backend: str, now: float) -> None:
        """The backend started anew."""
        self._restarted_at[backend] = now
        self._forwarded[backend] = deque()

    def on_forwarded(self, backend: str, now: float, settings: Settings, listed_backends: int) -> str | None:
        """Count a request; return a description where the backend got more than the settings allow, else None."""
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
    """How many requests a backend may get where each of the others got `per_other_backend`."""
    initial_fraction = settings.initial_capacity_fraction
    capacity_fraction = initial_fraction + (1.0 - initial_fraction) * since_restart_ms / settings.warmup_ms
    allowed = MAX_SHARE_FACTOR * settings.overload_multiple * capacity_fraction * per_other_backend
    return allowed + MAX_DEVIATIONS * sqrt(allowed) + MAX_EXCESS
