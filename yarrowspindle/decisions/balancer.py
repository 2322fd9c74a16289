"""The balancer: dispatches each event to the module that handles it.

Its interface consists of `settings`, `events` and `actions`; each rule has a module of its own (docs/decisions.md).
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
    ShutdownScheduled,
    SlowMessageObserved,
    SuccessorServing,
    TimerFired,
)
from yarrowspindle.decisions.health_checks import HealthChecks
from yarrowspindle.decisions.load_estimates import LoadEstimates
from yarrowspindle.decisions.migration import Migration
from yarrowspindle.decisions.outlier_detection import is_ejected
from yarrowspindle.decisions.peer_loads import PeerLoadTable
from yarrowspindle.decisions.placement import Placement
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.request_lifecycle import RequestLifecycle
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.decisions.slow_start import SlowStart
from yarrowspindle.decisions.state import BalancerState


class Subset(NamedTuple):
    """The subset of backends that one balancer normally draws from.

    Attributes:
        backends: ids of the backends in the subset.
        balancers: mean number of balancers that draw each of these backends.
    """

    backends: list[int]
    balancers: float


class Balancer:
    """One balancer: takes events and returns actions. Instances share no state.

    Args:
        settings: the settings in use at the start.
        seed: seed of the random source.
        now: the balancer's clock at the start, in milliseconds.
    """

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
            ShutdownScheduled: self._on_shutdown_scheduled,
            SuccessorServing: self._on_successor_serving,
            RebalancingTarget: self._on_rebalancing_target,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event and return the resulting actions, to be carried out in order.

        Args:
            now: time of the event in milliseconds; must not be earlier than that of the previous event.
            event: the event to handle.

        Raises:
            ValueError: the clock went back, or the event names an unknown request, class or attempt.
            TypeError: `event` is not an event.
        """
        state = self.state
        if now < state.now:
            raise ValueError(f"the clock went back: event at {now} ms after one at {state.now} ms")
        handler = self.handlers.get(type(event))
        if handler is None:
            raise TypeError(f"expected an event of yarrowspindle.decisions.events, got {event!r}")
        state.now, state.actions = now, []
        handler(event)
        return state.actions

    def _on_endpoint_list(self, event: EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            self.discovery.on_failure()
            return
        if event.kind is ListKind.CONFIRMED:
            self.state.list_freshness.on_heartbeat(self.state.now)
            return
        if event.kind not in (ListKind.CACHED, ListKind.SHARED):
            self.state.list_freshness.on_update(self.state.now)
        self.registry.apply(event)
        if event.kind is not ListKind.SHARED:  # this process's own calls to discovery are not answered by it
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

    def _on_shutdown_scheduled(self, event: ShutdownScheduled) -> None:
        self.state.ends_at = self.state.now + event.remaining_ms

    def _on_successor_serving(self, event: SuccessorServing) -> None:
        self.state.list_freshness.successor_serves = event.serving

    def _on_rebalancing_target(self, event: RebalancingTarget) -> None:
        self.state.rebalancing_target = event.level

    def _ignore(self, event: PeerMessage) -> None:
        """Ignore a raw peer message: peers' loads are received as `PeerLoads`."""

    # --- state for metrics and for the layers above -------------------------------------------------

    @property
    def settings(self) -> Settings:
        """The settings in use."""
        return self.state.settings

    @property
    def backends(self) -> dict[int, Backend]:
        """All backends that are ready or have own connections, by id."""
        return self.state.backends

    @property
    def requests(self) -> dict[int, Request]:
        """All requests that await an answer or have an attempt in flight, by id."""
        return self.state.requests

    @property
    def peer_loads(self) -> PeerLoadTable:
        """The connections and loads that peers reported."""
        return self.state.peer_loads

    @property
    def estimates(self) -> LoadEstimates | None:
        """The utilization estimates, or None if backends do not report their load."""
        return self.state.estimates

    @property
    def overload_rejections(self) -> Counter[str]:
        """The number of requests rejected as overloaded, by the published name of the admission rule."""
        return self.admission.rejections

    def placement_rejection(self, request_class: int, now: float) -> RejectionReason | None:
        """Return why no request of this class may be sent to any backend now, or None if requests may be."""
        return self.lifecycle.placement_rejection(request_class, now)

    def ejected(self, now: float) -> set[int]:
        """Return the ids of the backends that are ejected at `now`."""
        return {backend.id for backend in self.backends.values() if is_ejected(backend, now)}

    def subset(self) -> Subset:
        """Return the subset of backends that this balancer normally draws from.

        Own loads are comparable only between backends of this subset: others receive requests as a fallback.
        """
        ring = self.state.local_ring
        fraction = ring.subset_fraction
        members = ring.members_in_arc(self.state.subset_start, fraction)
        return Subset([backend.id for backend in members], max(1.0, ring.balancers * fraction))
