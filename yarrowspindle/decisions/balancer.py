"""The balancer: dispatches each event to the rule that handles it.

Its interface is `settings`, `events` and `actions`; each rule is in a module of its own (docs/decisions.md).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from yarrowspindle.decisions.actions import Action
from yarrowspindle.decisions.admission import Admission
from yarrowspindle.decisions.backend_registry import BackendRegistry
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.cost_placement import CostPlacement
from yarrowspindle.decisions.discovery_polling import DiscoveryPolling
from yarrowspindle.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    DeadlineReached,
    EndpointList,
    Event,
    ExistingConnection,
    HealthCheckCompleted,
    ListKind,
    LoadChanged,
    PeerLoads,
    PeerMessage,
    RebalancingTarget,
    RequestReceived,
    SettingsChanged,
    SlowMessageObserved,
    TimerFired,
)
from yarrowspindle.decisions.health_checks import HealthChecks
from yarrowspindle.decisions.load_estimates import LoadEstimates
from yarrowspindle.decisions.migration import Migration
from yarrowspindle.decisions.outlier_detection import is_ejected
from yarrowspindle.decisions.peer_loads import PeerLoadTable
from yarrowspindle.decisions.placement import Placement
from yarrowspindle.decisions.request_lifecycle import RequestLifecycle
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.decisions.slow_start import SlowStart
from yarrowspindle.decisions.state import BalancerState


class Subset(NamedTuple):
    """The backends that one balancer draws from as a rule, and how many balancers draw each of them."""

    backends: list[int]
    balancers: float


class Balancer:
    """Event in, actions out. One instance is one balancer; instances share nothing."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.state = state = BalancerState(settings, seed, now)
        self.slow_start = SlowStart(settings, state.random, now)
        self.registry = BackendRegistry(state, self.slow_start)
        self.discovery = DiscoveryPolling(state)
        costs = None
        if state.estimates is not None:
            costs = CostPlacement(state.estimates, (state.local_ring, state.fleet_ring), state.random)
        self.admission = Admission(state, costs)
        self.migration = Migration(state, self.registry, self.admission, costs)
        self.health_checks = HealthChecks(state, self.migration)
        placement = Placement(state, self.slow_start, costs)
        self.lifecycle = RequestLifecycle(
            state, self.registry, self.slow_start, placement, self.admission, self.health_checks
        )
        self.handlers = self._handlers()

    def _handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            RequestReceived: self.lifecycle.on_request,
            AttemptEnded: self.lifecycle.on_attempt_ended,
            ConnectionEstablished: self.lifecycle.on_established,
            LoadChanged: self.lifecycle.on_load_changed,
            SlowMessageObserved: self.migration.on_slow_message,
            TimerFired: self._on_timer,
            EndpointList: self._on_endpoint_list,
            ExistingConnection: self.lifecycle.on_existing_connection,
            ClientDisconnected: self.lifecycle.on_client_disconnected,
            DeadlineReached: self.lifecycle.on_deadline,
            HealthCheckCompleted: self.health_checks.on_completed,
            PeerMessage: self._ignore,
            SettingsChanged: self._on_settings_changed,
            PeerLoads: self.health_checks.on_peer_loads,
            RebalancingTarget: self._on_rebalancing_target,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Return the actions that an event at `now` (milliseconds) causes, to be carried out in order.

        Raises ValueError where the clock went back or the event names an unknown request, class or attempt, and
        TypeError where it is no event.
        """
        state = self.state
        if now < state.now:
            raise ValueError(f"the clock went back from {state.now} to {now}")
        handler = self.handlers.get(type(event))
        if handler is None:
            raise TypeError(f"not an event: {event!r}")
        state.now, state.actions = now, []
        handler(event)
        return state.actions

    def _on_endpoint_list(self, event: EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            self.discovery.on_failure()
            return
        self.registry.apply(event)
        self.discovery.on_list(event.kind)
        self.lifecycle.place_queued()
        self.health_checks.start()

    def _on_timer(self, event: TimerFired) -> None:
        self.state.timers.fire(event.token)

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        state = self.state
        state.settings = event.settings
        state.peer_loads.on_settings_changed(event.settings.balancers)
        if state.estimates is not None:
            state.estimates.on_settings_changed(event.settings, event.reassigned_classes)

    def _on_rebalancing_target(self, event: RebalancingTarget) -> None:
        self.state.rebalancing_target = event.level

    def _ignore(self, event: PeerMessage) -> None:
        """Peers' messages reach the balancer as `PeerLoads`."""

    # --- figures for operators and for the layers above ---------------------------------------------

    @property
    def settings(self) -> Settings:
        """The settings in use."""
        return self.state.settings

    @property
    def backends(self) -> dict[int, Backend]:
        """All backends that are ready or in use, by id."""
        return self.state.backends

    @property
    def requests(self) -> dict[int, Request]:
        """All requests that are not over, by id."""
        return self.state.requests

    @property
    def peer_loads(self) -> PeerLoadTable:
        """What the peers reported."""
        return self.state.peer_loads

    @property
    def estimates(self) -> LoadEstimates | None:
        """Estimated utilization; None where backends don't report their load."""
        return self.state.estimates

    @property
    def overload_rejections(self) -> Counter[str]:
        """How many requests each rule of admission has rejected as overloaded, by its published name."""
        return self.admission.rejections

    def ejected(self, now: float) -> set[int]:
        """Return the ids of the backends that are ejected at `now`."""
        return {backend.id for backend in self.backends.values() if is_ejected(backend, now)}

    def subset(self) -> Subset:
        """Return the backends of the ordinary draw; between these own loads are comparable."""
        ring = self.state.local_ring
        fraction = ring.subset_fraction
        members = ring.members_in_arc(self.state.subset_start, fraction)
        return Subset([backend.id for backend in members], max(1.0, ring.balancers * fraction))
