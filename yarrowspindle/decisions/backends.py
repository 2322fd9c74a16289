"""What one balancer keeps of a backend. It decides nothing."""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions.settings import Settings

MIN_CAPACITY = 1e-6  # of a backend that no endpoint list has named yet: divisions by it stay finite


class Backend:
    """One backend as this balancer sees it. All times are milliseconds of the balancer's clock."""

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
        self.connections, self.load = 0, 0.0  # this balancer's own
        self.consecutive_failures = 0  # each established connection halves it
        self.ejected_until = self.slow_until = -1.0
        self.message_latency_ms = 0.0  # as last observed
        self.reset_window_start, self.recent_resets = -1.0, 0
        self.connections_by_group: dict[int, int] = {}  # this balancer's own
        self.connections_by_class: dict[int, int] = {}
        self.utilization = -1.0  # load over capacity by the last load report; below 0: there was none
        self.reported_connections = 0.0
        self.last_checked_at = -inf  # the last health check, by whichever balancer
        self.last_report_at = -inf  # the last report to this balancer, not to a peer
        self.changes_since_report: list[tuple[float, float]] = []  # when, and by how much utilization changed

    def capacity_fraction(self, now: float, settings: Settings) -> float:
        """Return the fraction of its capacity that a backend in slow start has at least by now, in 0 to 1."""
        if self.started_ms <= 0.0 or now >= self.started_ms + settings.warmup_ms:
            return 1.0
        initial = settings.initial_capacity_fraction
        return initial + (1.0 - initial) * max(now - self.started_ms, 0.0) / settings.warmup_ms

    def is_usable(self, now: float, settings: Settings) -> bool:
        """Return whether it is ready, warmed up and not ejected."""
        return self.ready and now >= self.ejected_until and self.capacity_fraction(now, settings) >= 1.0

    def count_reset(self, now: float, window_ms: float) -> int:
        """Record a connection reset and return how many there were in this window, the new one included."""
        if now > self.reset_window_start + window_ms:
            self.reset_window_start, self.recent_resets = now, 0
        self.recent_resets += 1
        return self.recent_resets

    def reset_process_state(self) -> None:
        """Drop what was learned of a process that another one has replaced."""
        self.consecutive_failures = 0
        self.ejected_until = self.slow_until = -1.0
        self.utilization = -1.0
