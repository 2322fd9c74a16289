"""Migration of established connections: selects the clients that are asked to reconnect and are placed anew."""

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

SLOW_MESSAGE_MIGRATION_PROBABILITY = 0.8  # if no other backend of the zone is slow
MIN_OVERLOAD_MIGRATION_FRACTION = 0.3  # of that probability, in a widespread overload if clients heed a Retry-After
OVERLOADED_UTILIZATION = 1.1  # above it, connections are migrated off the backend step by step
MAX_MIGRATED_FRACTION = 0.25  # of an overloaded backend's own connections, per health-check interval
OTHER_BACKENDS = -1  # key of the quota shared by all backends that are not overloaded


class _Candidate(NamedTuple):
    gain: float  # priority weight that the migration saves
    request: Request
    backend: Backend


def slow_message_probability(slow_fraction: float, setup_fraction: float, retry_after: bool) -> float:
    """Return the probability that a slow message causes a migration.

    It falls with the fraction of slow backends in the zone, since fewer backends are better then, and with the fraction
    of their objective that setups take, since a migration is one more setup. If clients heed a Retry-After, some
    connections migrate even in a widespread overload: admission accepts them again only if there is capacity.
    """
    minimum = MIN_OVERLOAD_MIGRATION_FRACTION if retry_after else 0.0
    return SLOW_MESSAGE_MIGRATION_PROBABILITY * max(minimum, 1.0 - slow_fraction) * (1.0 - setup_fraction)


class Migration:
    """The component that decides which connections are migrated.

    Args:
        cost_placement: the cost model if backends report their load.
    """

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
        """Record the message latency; if backends do not report their load, migrate the heaviest connection.

        The event is received once a second while messages are slow, and once when they no longer are.
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
        """Return the connection with the highest load at the backend.

        Every migration costs the same, and that of the heaviest connection relieves the backend most.
        """
        if backend.connections <= 1:
            return request
        candidates = (
            other
            for other in self.state.requests.values()
            if other.backend is backend and other.established and other.answer_pending
        )
        return max(candidates, key=lambda other: other.load, default=request)

    def migrate_for_gain(self) -> None:
        """Migrate the connections with the highest gain, if backends report their load.

        An overloaded backend loses up to MAX_MIGRATED_FRACTION of its own connections per call; all other backends
        together lose up to `PeerLoadTable.allowed_migrations`.
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
            # Compute the gain again: connections migrated in this loop already count at their new backends.
            if costs.gain(request, backend, state.settings, state.now, min_gain) > min_gain:
                quotas[quota_key] -= 1
                self.migrate(request)

    def _candidates_by_gain(self, costs: CostPlacement, min_gain: float) -> list[_Candidate]:
        """Return the connections that gain more than `min_gain`, in descending order of gain."""
        state = self.state
        candidates = [
            _Candidate(costs.gain(request, request.backend, state.settings, state.now), request, request.backend)
            for request in state.requests.values()
            if request.migratable and request.backend is not None
        ]
        gaining = [candidate for candidate in candidates if candidate.gain > min_gain]
        return sorted(gaining, key=lambda candidate: (-candidate.gain, candidate.request.id))

    def migrate(self, request: Request) -> None:
        """Ask the client of an established connection to reconnect, unless it was asked before."""
        if request.migratable:
            request.answer_pending = False
            self.state.emit(MigrateConnection(request.id))
