"""Which established connections are migrated: their clients are asked to connect again, and are placed anew."""

from __future__ import annotations

from typing import NamedTuple

from yarrowspindle.decisions import outlier_detection
from yarrowspindle.decisions.actions import MigrateConnection
from yarrowspindle.decisions.admission import Admission, misses_message_objective
from yarrowspindle.decisions.backend_registry import BackendRegistry
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.cost_placement import CostPlacement
from yarrowspindle.decisions.events import SlowMessageObserved
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.state import BalancerState

SLOW_MESSAGE_MIGRATION_PROBABILITY = 0.8  # where the backend is the only slow one
MIN_OVERLOAD_MIGRATION_FRACTION = 0.3  # of it, in a widespread overload where clients heed a Retry-After
OVERLOADED_UTILIZATION = 1.1  # above it a backend is emptied step by step
MAX_MIGRATED_FRACTION = 0.25  # of a full backend's own connections, for each interval
OTHER_BACKENDS = -1  # key of the common quota of backends that are not full


class _Candidate(NamedTuple):
    gain: float  # in priority weight
    request: Request
    backend: Backend


def slow_message_probability(slow_fraction: float, setup_fraction: float, retry_after: bool) -> float:
    """Return the probability of a migration for a slow message.

    It falls as more of the zone is slow, since no backend is better then, and as setups take more of their objective,
    since a migration is one more setup. Where clients heed a Retry-After some migrate even in a widespread overload:
    one that comes again is admitted only where there is capacity.
    """
    minimum = MIN_OVERLOAD_MIGRATION_FRACTION if retry_after else 0.0
    return SLOW_MESSAGE_MIGRATION_PROBABILITY * max(minimum, 1.0 - slow_fraction) * (1.0 - setup_fraction)


class Migration:
    """Decides on migrations. cost_placement: where backends report their load."""

    def __init__(
        self,
        state: BalancerState,
        registry: BackendRegistry,
        admission: Admission,
        cost_placement: CostPlacement | None,
    ) -> None:
        self.state, self.registry, self.admission = state, registry, admission
        self.cost_placement = cost_placement

    def on_slow_message(self, event: SlowMessageObserved) -> None:
        """Record the latency, and where backends don't report their load migrate the backend's heaviest connection.

        Received once a second while messages are slow, and once when they no longer are.
        """
        state = self.state
        backend, request = state.backends.get(event.backend), state.requests.get(event.request)
        if backend is None:
            return
        slow_message_ms = state.settings.slow_message_ms
        outlier_detection.on_message_latency(backend, event.message_ms, slow_message_ms, state.now)
        self.registry.observe(backend)
        if state.estimates is not None:
            state.estimates.on_slow_message(backend, event.message_ms, state.now)
        elif request is not None:
            self._migrate_off_slow(backend, request)

    def _migrate_off_slow(self, backend: Backend, request: Request) -> None:
        state, admission = self.state, self.admission
        if not misses_message_objective(backend, state.settings.classes[request.cls], state.now):
            return
        slow_fraction = admission.slow_fraction(backend.zone)
        setup_fraction = admission.setup_latency.fraction
        if state.random() < slow_message_probability(
            slow_fraction, setup_fraction, state.settings.clients_heed_retry_after
        ):
            self.migrate(self._heaviest_connection(backend, request))

    def _heaviest_connection(self, backend: Backend, request: Request) -> Request:
        """The connection with the most load there: each migration costs the same, and this one relieves the most."""
        if backend.connections <= 1:
            return request
        candidates = (
            other
            for other in self.state.requests.values()
            if other.backend is backend and other.established and other.answer_pending
        )
        return max(candidates, key=lambda other: other.load, default=request)

    def migrate_for_gain(self) -> None:
        """Migrate the connections that gain the most, where backends report their load.

        Full backends lose up to MAX_EMPTIED_FRACTION of their own connections, all others together as many as
        `PeerLoadTable.allowed_migrations` says.
        """
        state, costs = self.state, self.cost_placement
        if costs is None:
            return
        min_gain = costs.min_migration_gain
        quotas = {OTHER_BACKENDS: state.peer_loads.allowed_migrations(state.now)}
        for _, request, backend in self._candidates_by_gain(costs, min_gain):
            quota_key = backend.id if backend.utilization > OVERLOADED_UTILIZATION else OTHER_BACKENDS
            if quotas.setdefault(quota_key, 1 + int(MAX_MIGRATED_FRACTION * backend.connections)) <= 0:
                continue
            # Computed anew: connections that were migrated before this one are counted at their new backends.
            if costs.gain(request, backend, state.settings, state.now, min_gain) > min_gain:
                quotas[quota_key] -= 1
                self.migrate(request)

    def _candidates_by_gain(self, costs: CostPlacement, min_gain: float) -> list[_Candidate]:
        """The connections that gain more than `min_gain`, the highest gain first."""
        state = self.state
        candidates = [
            _Candidate(costs.gain(request, request.backend, state.settings, state.now), request, request.backend)
            for request in state.requests.values()
            if request.migratable and request.backend is not None
        ]
        gaining = [candidate for candidate in candidates if candidate.gain > min_gain]
        return sorted(gaining, key=lambda candidate: (-candidate.gain, candidate.request.id))

    def migrate(self, request: Request) -> None:
        """Ask the client of an established connection to connect again, once."""
        if request.migratable:
            request.answer_pending = False
            self.state.emit(MigrateConnection(request.id))
