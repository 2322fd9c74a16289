"""One relay's rebalancing: what the reducer reports goes into the view, and each round names what is migrated."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.rebalancing.assessment import Assessment, assess
from yarrowspindle.rebalancing.effect_monitor import TARGET_EXCLUSION_MS, EffectMonitor, PauseCause
from yarrowspindle.rebalancing.fleet_view import EstablishedConnection, FleetView
from yarrowspindle.rebalancing.migration_history import MigrationHistory
from yarrowspindle.rebalancing.migration_rate import MigrationRate
from yarrowspindle.rebalancing.planner import Planner
from yarrowspindle.rebalancing.settings import RebalanceSettings

SEED_MASK = 0x5EED  # so that it draws other numbers than the balancer does

# Why a round migrates nothing, apart from pauses.
IDLE_STOPPING = "stopping"
IDLE_QUIET_HOURS = "quiet"
IDLE_EVEN = "even"


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
        self.monitor = EffectMonitor()
        self.history = MigrationHistory()
        self.assessment = Assessment()
        self.counts: Counter[str] = Counter()
        self.notes: list[str] = []
        self.stopped = False
        self.idle = IDLE_EVEN

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
        is_active = not self.idle and self.monitor.pause_cause is None
        return self.assessment.level if is_active else 0.0

    # --- what the reducer reports -----------------------------------------------------------------

    def on_request_received(self, now: float) -> None:
        """A request was received."""
        self.monitor.requests.add(now)

    def on_request_rejected(self, now: float) -> None:
        """A request was rejected."""
        self.monitor.rejections.add(now)

    def on_connection_established(
        self, now: float, request: int, backend: str, load: float, key: int, group: int, returned: bool
    ) -> None:
        """A connection was established.

        Args:
            now: milliseconds.
            request: its id.
            backend: the name of its backend.
            load: as its client guesses; 0: not given.
            key: of the client; 0: not given.
            group: of the client; 0: none.
            returned: whether the client had been migrated or cut off before.
        """
        self.view.add_connection(now, request, backend, load, key, group, returned)
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

    def on_connection_ended(self, now: float, request: int, broken: bool) -> None:
        """A connection ended; broken: it was reset."""
        if self.view.remove_connection(request) is not None and broken:
            self.monitor.resets.add(now)

    # --- rounds -----------------------------------------------------------------------------------

    def plan_round(self, now: float, drawn: Sequence[int], sharers: float = 0.0) -> list[int]:
        """Plans a round. Returns the request ids of the connections to be migrated now.

        Args:
            now: milliseconds.
            drawn: the ids of the backends that the ordinary draw may take.
            sharers: how many relays draw from each of them; 0: all.
        """
        settings = self.settings
        self.assessment = assess(now, self.view, settings, drawn)
        self.history.expire(now, self._window_ms)
        self.idle = self._idle_reason(now)
        if self._check_pause(now):
            return []
        if self.idle:
            self.planner.pending.clear()
            return []
        self._adapt_rate(now)
        return self._migrate(now, sharers or self.relays)

    @property
    def _window_ms(self) -> float:
        return self.settings.submitter_window_s * 1000.0

    def _idle_reason(self, now: float) -> str:
        """Why this round migrates nothing; empty: it may."""
        if self.stopped:
            return IDLE_STOPPING
        if self.settings.is_quiet(now):
            return IDLE_QUIET_HOURS
        return "" if self.assessment.cause is not None else IDLE_EVEN

    def _check_pause(self, now: float) -> bool:
        """Begins, lengthens or ends a pause. Returns whether migrations are paused."""
        monitor = self.monitor
        established = len(self.view.connections)
        participants = len(self.assessment.participants)
        mean_load = self.view.mean_load or 1.0
        cause = monitor.check(now, established, participants, self.assessment.excess, mean_load, self.settings)
        if cause is None:
            if monitor.pause_cause is not None:
                self.notes.append(f"rebalancing goes on after a pause: {monitor.resume()}")
            return False
        if monitor.pause(now, cause, self.settings):
            self.counts[f"paused.{cause}"] += 1
            if cause.is_futile:
                self.rate.slow_down()
            self.notes.append(f"rebalancing pauses: {cause}; {self._resume_condition(cause)}")
        return True

    def _resume_condition(self, cause: PauseCause) -> str:
        length_s = self.monitor.pause_length_s(cause, self.settings)
        if not cause.is_futile:
            return f"goes on after {length_s:g} s without more of them"
        return f"goes on after {length_s:g} s, at {self.rate.factor:.2g} of the rate until migrated clients come back"

    def _adapt_rate(self, now: float) -> None:
        clients_return = self.monitor.clients_return(now, self.settings)
        if clients_return is False:
            self.rate.slow_down()
        elif clients_return:
            self.monitor.futile_pauses = 0
            self.rate.speed_up(self.settings.beat_s)

    def _migrate(self, now: float, relays_per_backend: float) -> list[int]:
        settings = self.settings
        rate = min(settings.moves_per_s, settings.share_per_s * len(self.view.connections))
        self.rate.begin(now, rate, settings.beat_s)
        held_back: Counter[str] = Counter()
        migrations = self.planner.plan(
            now,
            self.view,
            settings,
            self.assessment,
            self.rate,
            lambda connection: self._obstacle(now, connection),
            held_back,
            relays_per_backend,
        )
        for connection in migrations:
            self.history.add(now, connection.key or -connection.request, self._window_ms)
            self.monitor.on_migration(now)
        self.counts[f"moves.{self.assessment.cause}"] += len(migrations)
        for name, count in held_back.items():
            self.counts[f"held.{name}"] += count
        return [connection.request for connection in migrations]

    def _obstacle(self, now: float, connection: EstablishedConnection) -> str:
        """Returns the published name of what keeps this connection from being migrated; empty: nothing."""
        settings = self.settings
        if now < connection.since + settings.dwell_s * 1000.0:
            return "dwell"
        if connection.backend.state is not EndpointState.READY:
            return "draining"
        migrated = self.history.count(now, connection.key, self._window_ms) if connection.key else 0
        if connection.returned and not migrated and now < connection.since + self._window_ms:
            return "submitter"  # other relays may have migrated it as often as is allowed; they cannot say
        return "submitter" if migrated >= settings.moves_per_submitter else ""

    # --- what operators see -----------------------------------------------------------------------

    def take_log_lines(self) -> list[str]:
        """Returns the log lines since the last call."""
        notes, self.notes = self.notes, []
        return notes

    def gauges(self, now: float) -> dict[str, float]:
        """Returns the gauges by their published names."""
        found = self.assessment
        return {
            "imbalance": found.imbalance / found.level if found.level > 0.0 else 0.0,
            "level": found.level,
            "excess": found.excess,
            "room": found.room,
            "pace": self.rate.factor,
            "paused": float(self.monitor.pause_cause is not None),
            "active": float(found.cause is not None),
            "missing": self.monitor.missing(now),
        }
