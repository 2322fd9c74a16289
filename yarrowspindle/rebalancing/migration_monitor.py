"""Whether migrations help: do the clients come back, does the imbalance fall, do the targets accept them?

Relays share nothing, and a migrated client usually comes back to another relay. What a relay can see is how many come
back to it (`again=1`) while it migrates its own away. Where all relays rebalance alike the two are equal in the mean; a
relay alone sees its share of them. So this is only ever a reason to slow down or to pause.
"""

from __future__ import annotations

from enum import StrEnum, unique

from yarrowspindle.rebalancing.settings import RebalanceSettings
from yarrowspindle.rebalancing.sliding_window import MAX_LAG_MS, SlidingWindow

RETURN_WINDOW_MS = 15_000.0
RETURN_LAG_MS = MAX_LAG_MS  # a client may take half of it to connect again, and its set-up some more
MIN_MIGRATIONS = 12  # fewer prove nothing
EFFECTIVENESS_PERIOD_MS = 60_000.0
MIN_EXCESS_REDUCTION = 0.1  # of the migrated load, by which the excess has to fall in that period
STORM_WINDOW_MS = 5000.0
STORM_FRACTION = 0.1  # of the established connections, reset within that window
MIN_STORM_RESETS = 10
REJECTED_FRACTION = 0.1  # of the requests received, rejected within that window
MIN_REJECTIONS = 5
RECOVERY_MARGIN = 1.5  # times the least share of returns: as many clients come back as usual
MAX_BACKENDS_WITH_FAILURES = 4096
MAX_TARGET_FAILURES = 3  # of returning clients, until a target is excluded
TARGET_EXCLUSION_MS = 30_000.0
MAX_PAUSE_DOUBLINGS = 5


@unique
class PauseCause(StrEnum):
    """Why no plan is made; the values are published in logs and metrics."""

    RESET_STORM = "storm"
    REJECTIONS = "refusals"
    STILL_PAUSED = "pausing"
    CLIENTS_LOST = "lost"
    NO_EFFECT = "no-effect"

    @property
    def is_ineffective(self) -> bool:
        """Whether it means that migrations did no good: then the rate falls as well, and pauses grow."""
        return self in (PauseCause.CLIENTS_LOST, PauseCause.NO_EFFECT)


class MigrationMonitor:
    """Counts what migrations lead to, and pauses them.

    Attributes:
        pause_cause: why migrations are paused; None: they are not.
        futile_pauses: pauses in a row for a futile cause; each lasts twice as long as the one before.
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
        """A client of this relay was told to connect again."""
        self.migrated.add(now)
        self.period_migrations += 1.0

    def on_return(self, now: float, backend: str) -> None:
        """A returning client is established at this backend, which makes up for failures there."""
        self.returned.add(now)
        self.target_failures.pop(backend, None)

    def on_target_failure(self, backend: str) -> bool:
        """A returning client failed there. Returns whether the backend is to be excluded as a target for a while."""
        if len(self.target_failures) >= MAX_BACKENDS_WITH_FAILURES:  # most of them are long gone
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
        """Returns why the plan must pause from now on; None where it may go on.

        A pause ends only when its time is over and, for a storm or rejections, when these have ended as well.

        Args:
            now: milliseconds.
            established: connections of this relay.
            backends: how many take part.
            excess: load above the level at the sources.
            mean_load: of a connection.
            settings: the least share of returns.
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
        """Returns whether as many clients come back as usual; None while too few were migrated to tell."""
        migrated = self.migrated.sum(now, RETURN_LAG_MS)
        if migrated < MIN_MIGRATIONS / 2:
            return None
        return self.returned.sum(now) >= RECOVERY_MARGIN * settings.return_least * migrated

    def missing_returns(self, now: float) -> float:
        """Returns how many more were migrated than came back; about 0 where all relays rebalance alike."""
        return max(0.0, self.migrated.sum(now, RETURN_LAG_MS) - self.returned.sum(now))

    def _check_effectiveness(self, now: float, backends: int, excess: float, mean_load: float) -> PauseCause | None:
        """In each period the excess must fall by a part of the load that was migrated.

        A period begins with the first migration, and anew whenever other backends take part.
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
        """Begins a pause, lengthens it, or leaves it as it is. Returns whether its cause is a new one."""
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
        """Returns how long a pause for this cause lasts, in seconds."""
        if not cause.is_ineffective:
            return settings.pause_s
        return settings.pause_s * 2.0 ** (self.ineffective_pauses - 1)

    def resume(self) -> PauseCause | None:
        """Ends the pause. Returns its cause."""
        cause, self.pause_cause = self.pause_cause, None
        return cause
