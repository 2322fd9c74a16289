"""The rebalancer of one relay: tracks what the reducer reports, and selects connections to migrate in each round."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.rebalancing.assessment import Assessment, assess
from yarrowspindle.rebalancing.fleet_view import EstablishedConnection, FleetView
from yarrowspindle.rebalancing.migration_history import MigrationHistory
from yarrowspindle.rebalancing.migration_monitor import TARGET_EXCLUSION_MS, MigrationMonitor, PauseCause
from yarrowspindle.rebalancing.migration_rate import MigrationRate
from yarrowspindle.rebalancing.planner import Planner
from yarrowspindle.rebalancing.settings import RebalanceSettings

SEED_MASK = 0x5EED  # gives the rebalancer a random sequence of its own, as it gets the same seed as the balancer

# Why a round migrates nothing although migrations are not paused.
IDLE_STOPPING = "stopping"
IDLE_QUIET_HOURS = "quiet"
IDLE_BALANCED = "even"


class Rebalancer:
    """The component that selects a limited number of connections to migrate in each round. Times are in milliseconds.

    `plan_round` is to be called every `round_interval_ms`; the `on_...` methods only record events.

    Args:
        settings: Rebalancing settings.
        seed: Seed of the random source.
        now: Current time in milliseconds.
        relays: Number of relays that serve the fleet.
        warmup_ms: Warm-up time of a backend after its start.
        initial_capacity_fraction: Fraction of its capacity that a backend has at its start.
    """

    def __init__(
        self,
        settings: RebalanceSettings,
        seed: int,
        now: float,
        relays: int,
        warmup_ms: float,
        initial_capacity_fraction: float,
    ) -> None:
        self.settings = settings
        self.relays = max(relays, 1)
        self.random = Random(seed ^ SEED_MASK).random
        self.view = FleetView(warmup_ms, initial_capacity_fraction)
        self.rate = MigrationRate(now)
        self.planner = Planner()
        self.monitor = MigrationMonitor()
        self.history = MigrationHistory()
        self.assessment = Assessment()
        self.counts: Counter[str] = Counter()
        self.log_lines: list[str] = []
        self.stopped = False
        self.idle_reason = IDLE_BALANCED

    def first_round_delay_ms(self) -> float:
        """Return the delay of the first round: random, so that relays started together do not plan simultaneously."""
        return self.settings.beat_s * 1000.0 * self.random()

    @property
    def round_interval_ms(self) -> float:
        """The interval between rounds in milliseconds."""
        return self.settings.beat_s * 1000.0

    def configure(self, settings: RebalanceSettings) -> None:
        """Apply new settings, and drop the rest of a partly migrated group."""
        self.settings = settings
        self.planner.pending.clear()

    def stop(self) -> None:
        """Stop planning migrations: the shutdown of this relay migrates all connections itself."""
        self.stopped = True
        self.planner.pending.clear()

    @property
    def target_utilization(self) -> float:
        """The utilization that the balancer aims for when it places returning clients; 0 while nothing is migrated."""
        is_active = not self.idle_reason and self.monitor.pause_cause is None
        return self.assessment.mean_utilization if is_active else 0.0

    # --- events reported by the reducer -----------------------------------------------------------

    def on_request_received(self, now: float) -> None:
        """Record that a request was received."""
        self.monitor.requests.add(now)

    def on_request_rejected(self, now: float) -> None:
        """Record that a request was rejected."""
        self.monitor.rejections.add(now)

    def on_connection_established(
        self, now: float, request_id: int, backend: str, load: float, client_key: int, group: int, returned: bool
    ) -> None:
        """Record that a connection was established.

        Args:
            now: Current time in milliseconds.
            request_id: Id of the connection's request.
            backend: Name of the backend.
            load: Load estimated by the client; 0 if not given.
            client_key: Key of the client; 0 if not given.
            group: Group of the client; 0 for none.
            returned: Whether the client reconnects after a migration or a lost connection.
        """
        self.view.add_connection(now, request_id, backend, load, client_key, group, returned)
        if returned:
            self.counts["returned"] += 1
            self.monitor.on_return(now, backend)

    def on_attempt_failed(self, now: float, backend: str, returned: bool) -> None:
        """Record that an attempt at this backend failed; only attempts of returning clients are counted."""
        if not returned or not self.monitor.on_target_failure(backend):
            return
        record = self.view.by_name.get(backend)
        if record is not None:
            record.excluded_until = now + TARGET_EXCLUSION_MS
            self.counts["spoilt"] += 1

    def on_connection_ended(self, now: float, request_id: int, was_reset: bool) -> None:
        """Record that a connection ended, normally or by a reset."""
        if self.view.remove_connection(request_id) is not None and was_reset:
            self.monitor.resets.add(now)

    # --- rounds -----------------------------------------------------------------------------------

    def plan_round(self, now: float, candidate_ids: Sequence[int], relays_per_backend: float = 0.0) -> list[int]:
        """Plan a round.

        Args:
            now: Current time in milliseconds.
            candidate_ids: Ids of the backends that this relay's balancer selects from.
            relays_per_backend: Number of relays that may select each of these backends; 0 for all relays.

        Returns:
            The request ids of the connections to migrate now.
        """
        settings = self.settings
        self.assessment = assess(now, self.view, settings, candidate_ids)
        self.history.expire(now, self._window_ms)
        self.idle_reason = self._find_idle_reason(now)
        if self._check_pause(now):
            return []
        if self.idle_reason:
            self.planner.pending.clear()
            return []
        self._adapt_rate(now)
        return self._migrate(now, relays_per_backend or self.relays)

    @property
    def _window_ms(self) -> float:
        return self.settings.submitter_window_s * 1000.0

    def _find_idle_reason(self, now: float) -> str:
        """Return the reason why this round must not migrate anything, or an empty string if it may."""
        if self.stopped:
            return IDLE_STOPPING
        if self.settings.is_quiet(now):
            return IDLE_QUIET_HOURS
        return "" if self.assessment.cause is not None else IDLE_BALANCED

    def _check_pause(self, now: float) -> bool:
        """Begin, extend or end a pause, and return whether migrations are paused."""
        monitor = self.monitor
        established = len(self.view.connections)
        participants = len(self.assessment.participants)
        mean_load = self.view.mean_load or 1.0
        cause = monitor.check(now, established, participants, self.assessment.excess, mean_load, self.settings)
        if cause is None:
            if monitor.pause_cause is not None:
                self.log_lines.append(f"rebalancing resumed after a pause (cause: {monitor.resume()})")
            return False
        if monitor.pause(now, cause, self.settings):
            self.counts[f"paused.{cause}"] += 1
            if cause.is_ineffective:
                self.rate.reduce()
            self.log_lines.append(f"rebalancing paused (cause: {cause}); {self._resume_condition(cause)}")
        return True

    def _resume_condition(self, cause: PauseCause) -> str:
        length_s = self.monitor.pause_length_s(cause, self.settings)
        if not cause.is_ineffective:
            return f"resumes after {length_s:g} s without further occurrences"
        return f"resumes after {length_s:g} s, at {self.rate.factor:.2g} of the rate until migrated clients reconnect"

    def _adapt_rate(self, now: float) -> None:
        has_normal_returns = self.monitor.has_normal_returns(now, self.settings)
        if has_normal_returns is False:
            self.rate.reduce()
        elif has_normal_returns:
            self.monitor.ineffective_pauses = 0
            self.rate.recover(self.settings.beat_s)

    def _migrate(self, now: float, relays_per_backend: float) -> list[int]:
        settings = self.settings
        rate = min(settings.moves_per_s, settings.share_per_s * len(self.view.connections))
        self.rate.start_round(now, rate, settings.beat_s)
        blocked_counts: Counter[str] = Counter()
        migrations = self.planner.plan(
            now,
            self.view,
            settings,
            self.assessment,
            self.rate,
            lambda connection: self._blocking_reason(now, connection),
            blocked_counts,
            relays_per_backend,
        )
        for connection in migrations:
            self.history.add(now, connection.client_key or -connection.request_id, self._window_ms)
            self.monitor.on_migration(now)
        self.counts[f"moves.{self.assessment.cause}"] += len(migrations)
        for name, count in blocked_counts.items():
            self.counts[f"held.{name}"] += count
        return [connection.request_id for connection in migrations]

    def _blocking_reason(self, now: float, connection: EstablishedConnection) -> str:
        """Return the metric name of the reason why a connection must not be migrated, or an empty string."""
        settings = self.settings
        if now < connection.established_at + settings.dwell_s * 1000.0:
            return "dwell"
        if connection.backend.state is not EndpointState.READY:
            return "draining"
        migration_count = (
            self.history.count(now, connection.client_key, self._window_ms) if connection.client_key else 0
        )
        if connection.returned and not migration_count and now < connection.established_at + self._window_ms:
            return "submitter"  # other relays may already have migrated it as often as allowed; this one cannot know
        return "submitter" if migration_count >= settings.moves_per_submitter else ""

    # --- logs and metrics -------------------------------------------------------------------------

    def take_log_lines(self) -> list[str]:
        """Return the log lines added since the last call."""
        log_lines, self.log_lines = self.log_lines, []
        return log_lines

    def gauges(self, now: float) -> dict[str, float]:
        """Return the gauges by their metric names."""
        assessment = self.assessment
        return {
            "imbalance": assessment.imbalance / assessment.mean_utilization
            if assessment.mean_utilization > 0.0
            else 0.0,
            "level": assessment.mean_utilization,
            "excess": assessment.excess,
            "room": assessment.headroom,
            "pace": self.rate.factor,
            "paused": float(self.monitor.pause_cause is not None),
            "active": float(assessment.cause is not None),
            "missing": self.monitor.missing_returns(now),
        }
