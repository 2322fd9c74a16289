"""One relay's rebalancing: what the reducer reports goes into the view, and each round names what is migrated."""

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

SEED_MASK = 0x5EED  # so that it draws other numbers than the balancer does

# Why a round migrates nothing, apart from pauses.
IDLE_STOPPING = "stopping"
IDLE_QUIET_HOURS = "quiet"
IDLE_BALANCED = "even"


class Rebalancer:
    """Names the connections to be migrated, a few in each round. Times are milliseconds.

    `beat` is to be called every `beat_ms`; all other methods only take in what has happened.

    Args:
        settings: of rebalancing.
        seed: of the random source.
        now: milliseconds.
        relays: how many relays serve the fleet.
        warmup_ms: how long a started backend warms up.
        initial_capacity_fraction: of a backend's capacity, at its start.
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
        """Returns when the first round is due: spread, so that relays which start together do not plan together."""
        return self.settings.beat_s * 1000.0 * self.random()

    @property
    def round_interval_ms(self) -> float:
        """The interval of the rounds."""
        return self.settings.beat_s * 1000.0

    def configure(self, settings: RebalanceSettings) -> None:
        """Goes by new settings from now on."""
        self.settings = settings
        self.planner.pending.clear()

    def stop(self) -> None:
        """Plans nothing more: a planned restart migrates everybody in its own way."""
        self.stopped = True
        self.planner.pending.clear()

    @property
    def target_utilization(self) -> float:
        """The load over capacity with which the balancer places returning clients in mind; 0: none."""
        is_active = not self.idle_reason and self.monitor.pause_cause is None
        return self.assessment.mean_utilization if is_active else 0.0

    # --- what the reducer reports -----------------------------------------------------------------

    def on_request_received(self, now: float) -> None:
        """A request was received."""
        self.monitor.requests.add(now)

    def on_request_rejected(self, now: float) -> None:
        """A request was rejected."""
        self.monitor.rejections.add(now)

    def on_connection_established(
        self, now: float, request_id: int, backend: str, load: float, client_key: int, group: int, returned: bool
    ) -> None:
        """A connection was established.

        Args:
            now: milliseconds.
            request_id: its id.
            backend: the name of its backend.
            load: as its client guesses; 0: not given.
            client_key: of the client; 0: not given.
            group: of the client; 0: none.
            returned: whether the client had been migrated or cut off before.
        """
        self.view.add_connection(now, request_id, backend, load, client_key, group, returned)
        if returned:
            self.counts["returned"] += 1
            self.monitor.on_return(now, backend)

    def on_attempt_failed(self, now: float, backend: str, returned: bool) -> None:
        """An attempt at this backend failed; only those of returning clients count."""
        if not returned or not self.monitor.on_target_failure(backend):
            return
        record = self.view.by_name.get(backend)
        if record is not None:
            record.excluded_until = now + TARGET_EXCLUSION_MS
            self.counts["spoilt"] += 1

    def on_connection_ended(self, now: float, request_id: int, was_reset: bool) -> None:
        """A connection ended; broken: it was reset."""
        if self.view.remove_connection(request_id) is not None and was_reset:
            self.monitor.resets.add(now)

    # --- rounds -----------------------------------------------------------------------------------

    def plan_round(self, now: float, candidate_ids: Sequence[int], relays_per_backend: float = 0.0) -> list[int]:
        """Plans a round. Returns the request ids of the connections to be migrated now.

        Args:
            now: milliseconds.
            candidate_ids: the ids of the backends that the ordinary draw may take.
            relays_per_backend: how many relays draw from each of them; 0: all.
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
        """Why this round migrates nothing; empty: it may."""
        if self.stopped:
            return IDLE_STOPPING
        if self.settings.is_quiet(now):
            return IDLE_QUIET_HOURS
        return "" if self.assessment.cause is not None else IDLE_BALANCED

    def _check_pause(self, now: float) -> bool:
        """Begins, lengthens or ends a pause. Returns whether migrations are paused."""
        monitor = self.monitor
        established = len(self.view.connections)
        participants = len(self.assessment.participants)
        mean_load = self.view.mean_load or 1.0
        cause = monitor.check(now, established, participants, self.assessment.excess, mean_load, self.settings)
        if cause is None:
            if monitor.pause_cause is not None:
                self.log_lines.append(f"rebalancing goes on after a pause: {monitor.resume()}")
            return False
        if monitor.pause(now, cause, self.settings):
            self.counts[f"paused.{cause}"] += 1
            if cause.is_ineffective:
                self.rate.reduce()
            self.log_lines.append(f"rebalancing pauses: {cause}; {self._resume_condition(cause)}")
        return True

    def _resume_condition(self, cause: PauseCause) -> str:
        length_s = self.monitor.pause_length_s(cause, self.settings)
        if not cause.is_ineffective:
            return f"goes on after {length_s:g} s without more of them"
        return f"goes on after {length_s:g} s, at {self.rate.factor:.2g} of the rate until migrated clients come back"

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
        """Returns the published name of what keeps this connection from being migrated; empty: nothing."""
        settings = self.settings
        if now < connection.established_at + settings.dwell_s * 1000.0:
            return "dwell"
        if connection.backend.state is not EndpointState.READY:
            return "draining"
        migration_count = (
            self.history.count(now, connection.client_key, self._window_ms) if connection.client_key else 0
        )
        if connection.returned and not migration_count and now < connection.established_at + self._window_ms:
            return "submitter"  # other relays may have migrated it as often as is allowed; they cannot say
        return "submitter" if migration_count >= settings.moves_per_submitter else ""

    # --- what operators see -----------------------------------------------------------------------

    def take_log_lines(self) -> list[str]:
        """Returns the log lines since the last call."""
        log_lines, self.log_lines = self.log_lines, []
        return log_lines

    def gauges(self, now: float) -> dict[str, float]:
        """Returns the gauges by their published names."""
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
