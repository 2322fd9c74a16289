"""Checks that migrations help: that clients reconnect, that the imbalance falls, and that targets accept clients.

Relays share no state for this, and a migrated client usually reconnects to another relay. A relay therefore compares
the clients that return to it (`again=1`) with those that it migrates away. If all relays rebalance alike, the two are
equal on average; if only one relay rebalances, it sees only its share of the returns. The comparison is thus used only
to slow migrations down or to pause them.
"""

from __future__ import annotations

from enum import StrEnum, unique

from yarrowspindle.rebalancing.settings import RebalanceSettings
from yarrowspindle.rebalancing.sliding_window import MAX_LAG_MS, SlidingWindow

RETURN_WINDOW_MS = 15_000.0
RETURN_LAG_MS = MAX_LAG_MS  # covers the reconnect delay of a client (up to half of it) and the connection set-up
MIN_MIGRATIONS = 12  # minimum sample size: fewer migrations are no evidence
EFFECTIVENESS_PERIOD_MS = 60_000.0
MIN_EXCESS_REDUCTION = 0.1  # fraction of the migrated load by which the excess must fall in that period
STORM_WINDOW_MS = 5000.0  # for reset storms and for rejections
STORM_FRACTION = 0.1  # of the established connections, reset within the window
MIN_STORM_RESETS = 10
REJECTED_FRACTION = 0.1  # of the received requests, rejected within the window
MIN_REJECTIONS = 5
RECOVERY_MARGIN = 1.5  # times the minimum fraction of returns, above which the migration rate recovers
MAX_BACKENDS_WITH_FAILURES = 4096
MAX_TARGET_FAILURES = 3  # failed attempts of returning clients after which a target is excluded
TARGET_EXCLUSION_MS = 30_000.0
MAX_PAUSE_DOUBLINGS = 5


@unique
class PauseCause(StrEnum):
    """Why migrations are paused; the values appear in log lines and metric names."""

    RESET_STORM = "storm"  # many connections were reset within a short time
    REJECTIONS = "refusals"  # many requests were rejected within a short time
    STILL_PAUSED = "pausing"  # the current pause has not elapsed
    CLIENTS_LOST = "lost"  # too few of the migrated clients returned
    NO_EFFECT = "no-effect"  # the excess did not fall although connections were migrated

    @property
    def is_ineffective(self) -> bool:
        """Whether the cause shows that migrations had no benefit; the rate is then reduced and pauses grow."""
        return self in (PauseCause.CLIENTS_LOST, PauseCause.NO_EFFECT)


class MigrationMonitor:
    """Monitor of the outcome of migrations, which pauses them if they are ineffective or harmful.

    Attributes:
        migrated: Clients that this relay migrated.
        returned: Returning clients that connected through this relay.
        resets: Connections that were reset.
        rejections: Requests that were rejected.
        requests: Requests that were received.
        target_failures: Failed attempts of returning clients since the last success, by backend name.
        pause_cause: Why migrations are paused; None if they are not.
        paused_until: End of the pause in milliseconds.
        ineffective_pauses: Number of consecutive pauses for an ineffective cause, at most MAX_PAUSE_DOUBLINGS; each is
            twice as long as the one before.
        period_migrations: Migrations in the current effectiveness period.
    """

    def __init__(self) -> None:
        self.migrated = SlidingWindow(RETURN_WINDOW_MS)
        self.returned = SlidingWindow(RETURN_WINDOW_MS + RETURN_LAG_MS)
        self.resets = SlidingWindow(STORM_WINDOW_MS)
        self.rejections = SlidingWindow(STORM_WINDOW_MS)
        self.requests = SlidingWindow(STORM_WINDOW_MS)
        self.target_failures: dict[str, int] = {}
        self.pause_cause: PauseCause | None = None
        self.paused_until = -1.0
        self.ineffective_pauses = 0
        self._period_start = -1.0
        self._period_excess = 0.0
        self._period_backends = 0
        self.period_migrations = 0.0

    def on_migration(self, now: float) -> None:
        """Record that this relay asked a client to reconnect."""
        self.migrated.add(now)
        self.period_migrations += 1.0

    def on_return(self, now: float, backend: str) -> None:
        """Record that a returning client connected to this backend, and reset the backend's failure count."""
        self.returned.add(now)
        self.target_failures.pop(backend, None)

    def on_target_failure(self, backend: str) -> bool:
        """Record that a returning client failed to connect to this backend.

        Returns:
            Whether the backend must be excluded as a target for TARGET_EXCLUSION_MS.
        """
        if len(self.target_failures) >= MAX_BACKENDS_WITH_FAILURES:  # most of these have left the fleet
            self.target_failures.clear()
        self.target_failures[backend] = self.target_failures.get(backend, 0) + 1
        if self.target_failures[backend] < MAX_TARGET_FAILURES:
            return False
        del self.target_failures[backend]
        return True

    def check(
        self,
        now: float,
        established: int,
        backends: int,
        excess: float,
        mean_load: float,
        settings: RebalanceSettings,
    ) -> PauseCause | None:
        """Return why migrations must be paused now, or None if they may continue.

        A pause ends when its time has elapsed and, for reset storms and rejections, when these have ended as well.

        Args:
            now: Current time in milliseconds.
            established: Number of established connections of this relay.
            backends: Number of backends whose loads are compared.
            excess: Total load of the sources above the mean utilization.
            mean_load: Mean load of a connection.
            settings: Rebalancing settings.
        """
        if self.resets.sum(now) >= max(MIN_STORM_RESETS, STORM_FRACTION * established):
            return PauseCause.RESET_STORM
        if self.rejections.sum(now) >= max(MIN_REJECTIONS, REJECTED_FRACTION * self.requests.sum(now)):
            return PauseCause.REJECTIONS
        if now < self.paused_until:
            return PauseCause.STILL_PAUSED
        migrated = self.migrated.sum(now, RETURN_LAG_MS)
        if migrated >= MIN_MIGRATIONS and self.returned.sum(now) < settings.return_least * migrated:
            return PauseCause.CLIENTS_LOST
        return self._check_effectiveness(now, backends, excess, mean_load)

    def has_normal_returns(self, now: float, settings: RebalanceSettings) -> bool | None:
        """Return whether enough migrated clients return; None if too few were migrated to tell."""
        migrated = self.migrated.sum(now, RETURN_LAG_MS)
        if migrated < MIN_MIGRATIONS / 2:
            return None
        return self.returned.sum(now) >= RECOVERY_MARGIN * settings.return_least * migrated

    def missing_returns(self, now: float) -> float:
        """Return how many more clients were migrated than returned; about 0 if all relays rebalance alike."""
        return max(0.0, self.migrated.sum(now, RETURN_LAG_MS) - self.returned.sum(now))

    def _check_effectiveness(self, now: float, backends: int, excess: float, mean_load: float) -> PauseCause | None:
        """Check that the excess fell by at least MIN_EXCESS_REDUCTION of the load migrated in the period.

        A period begins at the first migration, and starts over if the number of compared backends changes.
        """
        if not self.period_migrations or backends != self._period_backends:
            self._period_start = now
            self._period_excess = excess
            self._period_backends = backends
            self.period_migrations = 0.0
            return None
        if now < self._period_start + EFFECTIVENESS_PERIOD_MS:
            return None
        migrations = self.period_migrations
        self.period_migrations = 0.0
        required_reduction = MIN_EXCESS_REDUCTION * migrations * mean_load
        if migrations >= MIN_MIGRATIONS and self._period_excess - excess < required_reduction:
            return PauseCause.NO_EFFECT
        return None

    def pause(self, now: float, cause: PauseCause, settings: RebalanceSettings) -> bool:
        """Begin or extend a pause, and return whether its cause differs from the current one."""
        if cause is PauseCause.STILL_PAUSED:
            return False
        is_new = cause is not self.pause_cause
        if is_new and cause.is_ineffective:
            self.ineffective_pauses = min(self.ineffective_pauses + 1, MAX_PAUSE_DOUBLINGS)
        self.paused_until = max(self.paused_until, now + 1000.0 * self.pause_length_s(cause, settings))
        if is_new:
            self.migrated.clear()
            self.period_migrations = 0.0
        self.pause_cause = cause
        return is_new

    def pause_length_s(self, cause: PauseCause, settings: RebalanceSettings) -> float:
        """Return the length of a pause for this cause in seconds."""
        if not cause.is_ineffective:
            return settings.pause_s
        return settings.pause_s * 2.0 ** (self.ineffective_pauses - 1)

    def resume(self) -> PauseCause | None:
        """End the pause, and return its cause."""
        cause, self.pause_cause = self.pause_cause, None
        return cause
