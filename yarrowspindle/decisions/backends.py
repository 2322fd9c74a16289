"""The state that one balancer holds about a backend. The module makes no decisions."""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions.settings import Settings

MIN_CAPACITY = 1e-6  # of a backend that is not in an endpoint list yet; positive, since loads are divided by it


class Backend:
    """One backend as this balancer sees it. All times are in milliseconds of the balancer's clock."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "capacity",
        "started_ms",
        "ready",
        "connections",
        "load",
        "consecutive_failures",
        "ejected_until",
        "slow_until",
        "message_latency_ms",
        "reset_window_start",
        "recent_resets",
        "connections_by_group",
        "connections_by_class",
        "utilization",
        "reported_connections",
        "last_checked_at",
        "last_report_at",
        "changes_since_report",
    )

    def __init__(self, backend: int) -> None:
        self.id = backend
        self.zone = self.cell = 0
        self.capacity, self.started_ms = MIN_CAPACITY, 0.0
        self.ready = False
        self.connections, self.load = 0, 0.0  # of this balancer only
        self.consecutive_failures = 0  # halved by each established connection
        self.ejected_until = self.slow_until = -1.0
        self.message_latency_ms = 0.0  # last observation
        self.reset_window_start, self.recent_resets = -1.0, 0
        self.connections_by_group: dict[int, int] = {}  # of this balancer only
        self.connections_by_class: dict[int, int] = {}
        self.utilization = -1.0  # load over capacity in the last load report; negative: no report
        self.reported_connections = 0.0
        self.last_checked_at = -inf  # last health check by any balancer
        self.last_report_at = -inf  # last report to this balancer rather than to a peer
        self.changes_since_report: list[tuple[float, float]] = []  # time, change of utilization

    def capacity_fraction(self, now: float, settings: Settings) -> float:
        """Return the guaranteed fraction of the backend's capacity at time `now`, in 0 to 1; below 1 in slow start."""
        if self.started_ms <= 0.0 or now >= self.started_ms + settings.warmup_ms:
            return 1.0
        initial = settings.initial_capacity_fraction
        return initial + (1.0 - initial) * max(now - self.started_ms, 0.0) / settings.warmup_ms

    def is_usable(self, now: float, settings: Settings) -> bool:
        """Return whether the backend is ready, warmed up and not ejected."""
        return self.ready and now >= self.ejected_until and self.capacity_fraction(now, settings) >= 1.0

    def count_reset(self, now: float, window_ms: float) -> int:
        """Record a connection reset and return the number of resets in the current window, including this one."""
        if now > self.reset_window_start + window_ms:
            self.reset_window_start, self.recent_resets = now, 0
        self.recent_resets += 1
        return self.recent_resets

    def reset_process_state(self) -> None:
        """Reset the observations of the previous process after the backend has restarted."""
        self.consecutive_failures = 0
        self.ejected_until = self.slow_until = -1.0
        self.utilization = -1.0
