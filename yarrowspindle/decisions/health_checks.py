"""Schedules health checks, if backends report their load in the answer."""

from __future__ import annotations

from yarrowspindle.decisions.actions import CheckHealth
from yarrowspindle.decisions.events import HealthCheckCompleted, Outcome, PeerLoads
from yarrowspindle.decisions.migration import Migration
from yarrowspindle.decisions.state import BalancerState

HEALTH_CHECK_INTERVAL_MS = 500.0  # between rounds of health checks, each followed by migrations for gain
CHECKS_PER_CONNECTION = 1.5  # credit added by each new connection
MAX_SAVED_CHECKS = 200.0
MIN_INTERVALS_BETWEEN_CHECKS = 1.9  # between checks of the same backend, in intervals

NO_ANSWER_OUTCOMES = frozenset((Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED))


class HealthChecks:
    """Periodic checks of backends, within a credit that new connections add to.

    credit: number of health checks that may be sent.
    """

    def __init__(self, state: BalancerState, migration: Migration) -> None:
        self.state, self.migration = state, migration
        self.credit = 0.0
        self.started = False

    def add_credit(self) -> None:
        """Add credit for a new connection: checks cost backends work, so they are proportional to the traffic."""
        self.credit = min(self.credit + CHECKS_PER_CONNECTION, MAX_SAVED_CHECKS)

    def start(self) -> None:
        """Start periodic checks if backends report their load; further calls have no effect."""
        if self.state.estimates is not None and not self.started:
            self.started = True
            self._on_interval()

    def _on_interval(self) -> None:
        self.state.set_timer(HEALTH_CHECK_INTERVAL_MS, self._on_interval)
        self._check()
        self.migration.migrate_for_gain()

    def _check(self) -> None:
        """Check the backends in order of their last check, oldest first, until the credit is used up."""
        state, now = self.state, self.state.now
        due = (b for b in state.backends.values() if b.ready and state.peer_loads.may_check(b, now))
        for backend in sorted(due, key=lambda b: b.last_checked_at):
            next_check_at = backend.last_checked_at + MIN_INTERVALS_BETWEEN_CHECKS * HEALTH_CHECK_INTERVAL_MS
            if self.credit < 1.0 or now < next_check_at:
                break
            self.credit -= 1.0
            backend.last_checked_at = now
            state.emit(CheckHealth(backend.id))

    def on_completed(self, event: HealthCheckCompleted) -> None:
        """Apply the load report of a health check, or the lack of an answer."""
        state = self.state
        backend = state.backends.get(event.backend)
        if backend is not None and state.estimates is not None:
            no_answer = event.outcome in NO_ANSWER_OUTCOMES
            state.estimates.on_health_check(backend, state.now, event.report, no_answer)

    def on_peer_loads(self, event: PeerLoads) -> None:
        """Apply the peers' loads and the load reports that they received."""
        state = self.state
        state.peer_loads.on_peer_loads(event, state.now)
        if state.estimates is not None:
            for backend, change, report in state.peer_loads.updated_backends(event, state.backends, state.now):
                state.estimates.on_peer_update(backend, change, report, state.now)
