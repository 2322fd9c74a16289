"""The core's entry point: (state, event) -> effects.

The reducer only dispatches events; each concern has a module with its handlers.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.attempts import Attempts
from yarrowspindle.routing.context import RoutingContext
from yarrowspindle.routing.draining import DrainHandlers
from yarrowspindle.routing.effects import Effect, SetTimer
from yarrowspindle.routing.endpoints import EndpointHandlers
from yarrowspindle.routing.evacuation import EvacuationHandlers
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    BackendDataDelayed,
    BackendDataForwarded,
    ClientDataForwarded,
    ClientDisconnected,
    DiscoveryAddressChanged,
    DrainCancelled,
    EndpointsUpdated,
    Event,
    EventLoopStalled,
    HealthCheckCompleted,
    InternalError,
    LoadReported,
    MaintenanceUpdated,
    PeerLoadsUpdated,
    RebalancingConfigured,
    RequestReceived,
    SettingsChanged,
    ShutdownRequested,
    SuccessorServing,
    TimerFired,
    UnclassifiedReport,
    UnexpectedClientData,
    WallClockStepped,
)
from yarrowspindle.routing.health import LIVENESS_INTERVAL_MS, HealthHandlers
from yarrowspindle.routing.rebalancing import RebalancingHandlers
from yarrowspindle.routing.request_ids import retention_ms
from yarrowspindle.routing.requests import RequestHandlers
from yarrowspindle.routing.state import Backend, Request
from yarrowspindle.routing.timers import (
    ENDPOINT_WATCH_TIMER,
    EVACUATION_TIMER,
    LIVENESS_TIMER,
    REBALANCING_TIMER,
    SHUTDOWN_TIMER,
)

if TYPE_CHECKING:  # optional package: loaded only if it is configured
    from yarrowspindle.rebalancing import Rebalancer

EventHandlers = dict[type, Callable[[Any], None]]


class Reducer:
    """A state machine that applies events to the core's state and returns the effects to carry out, in order.

    The balancer makes the decisions; the reducer validates them (see `routing.attempts`) and carries them out. Times
    are in milliseconds.
    """

    def __init__(self, settings: Settings, seed: int, now: float, discovery_address: Address | None = None) -> None:
        self.context = context = RoutingContext(settings, seed, now, discovery_address)
        context.effects.append(SetTimer(LIVENESS_INTERVAL_MS, LIVENESS_TIMER))
        self._attempts = attempts = Attempts(context)
        self._requests = RequestHandlers(context, attempts)
        self._endpoints = EndpointHandlers(context, attempts)
        self._health = HealthHandlers(context, attempts)
        self._draining = DrainHandlers(context, attempts, self._requests)
        self._evacuation = EvacuationHandlers(context, attempts, self._endpoints)
        self._rebalancing = RebalancingHandlers(context, attempts)
        self._event_handlers = self._request_event_handlers() | self._fleet_event_handlers()
        self._timer_handlers: dict[str, Callable[[], None]] = {
            LIVENESS_TIMER: self._health.on_liveness_timer,
            REBALANCING_TIMER: self._rebalancing.on_rebalancing_timer,
            ENDPOINT_WATCH_TIMER: self._endpoints.on_watch_timer,
            EVACUATION_TIMER: self._evacuation.on_evacuation_timer,
            SHUTDOWN_TIMER: self._draining.on_shutdown_timer,
        }

    def _request_event_handlers(self) -> EventHandlers:
        requests, health = self._requests, self._health
        return {
            RequestReceived: requests.on_request_received,
            ClientDisconnected: requests.on_client_disconnected,
            UnexpectedClientData: requests.on_unexpected_client_data,
            BackendConnected: requests.on_backend_connected,
            BackendAccepted: requests.on_backend_accepted,
            AttemptEnded: requests.on_attempt_ended,
            InternalError: requests.on_internal_error,
            LoadReported: health.on_load_reported,
            UnclassifiedReport: health.on_unclassified_report,
            ClientDataForwarded: health.on_client_data_forwarded,
            BackendDataDelayed: health.on_backend_data_delayed,
            BackendDataForwarded: health.on_backend_data_forwarded,
        }

    def _fleet_event_handlers(self) -> EventHandlers:
        return {
            EventLoopStalled: self._health.on_event_loop_stalled,
            HealthCheckCompleted: self._health.on_health_check_completed,
            EndpointsUpdated: self._endpoints.on_endpoints_updated,
            DiscoveryAddressChanged: self._endpoints.on_discovery_address_changed,
            WallClockStepped: self._endpoints.on_wall_clock_stepped,
            ShutdownRequested: self._draining.on_shutdown_requested,
            DrainCancelled: self._draining.on_drain_cancelled,
            SuccessorServing: self._draining.on_successor_serving,
            MaintenanceUpdated: self._evacuation.on_maintenance_updated,
            RebalancingConfigured: self._rebalancing.on_rebalancing_configured,
            SettingsChanged: self._on_settings_changed,
            PeerLoadsUpdated: self._on_peer_loads_updated,
            TimerFired: self._on_timer_fired,
        }

    def step(self, now: float, event: Event) -> list[Effect]:
        """Apply an event and return the effects to carry out, in order.

        Args:
            now: The current time. A time before that of an earlier event counts as that of the earlier event.
            event: The event to apply.
        """
        context = self.context
        context.now = max(context.now, now)
        self._event_handlers[type(event)](event)
        effects, context.effects = context.effects, []
        return effects

    def take_effects(self) -> list[Effect]:
        """Return and clear the pending effects: those of the start, or of a step that raised an exception."""
        effects, self.context.effects = self.context.effects, []
        return effects

    # --- events without a handler module -----------------------------------------------------------

    def _on_timer_fired(self, event: TimerFired) -> None:
        timer = event.timer
        if isinstance(timer, str):
            handler = self._timer_handlers.get(timer)
            if handler is not None:
                handler()
        elif isinstance(timer, int):
            self._attempts.notify_balancer(balancer_events.TimerFired(timer))
        elif isinstance(timer, tuple):
            self._requests.on_request_timer(*timer)

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        """Apply the new settings to new requests; requests in progress keep their class, whose entry stays."""
        context = self.context
        context.settings = event.settings
        for backend in context.backends.values():
            backend.load_reports.slow_message_ms = context.classifier_threshold_ms()
        self._attempts.notify_balancer(balancer_events.SettingsChanged(event.settings, event.reassigned_classes))

    def _on_peer_loads_updated(self, event: PeerLoadsUpdated) -> None:
        self._attempts.notify_balancer(event.loads)

    # --- public state -----------------------------------------------------------------------------

    @property
    def now(self) -> float:
        """The time of the newest event."""
        return self.context.now

    @property
    def settings(self) -> Settings:
        """The settings in use."""
        return self.context.settings

    @property
    def discovery_address(self) -> Address | None:
        """The address of the discovery service that serves the endpoint list; None if there is none."""
        return self.context.discovery_address

    @property
    def balancer(self) -> Balancer:
        """The balancer; its load estimates and ejections are published."""
        return self.context.balancer

    @property
    def requests(self) -> Mapping[int, Request]:
        """The requests that are not closed, by id."""
        return self.context.requests

    @property
    def backends(self) -> Mapping[str, Backend]:
        """The backends that are in the endpoint list or have requests, by name."""
        return self.context.backends

    @property
    def backends_by_number(self) -> Mapping[int, Backend]:
        """The backends that are in the endpoint list or have requests, by the balancer's number."""
        return self.context.backends_by_number

    @property
    def rebalancer(self) -> Rebalancer | None:
        """The rebalancer; None if established connections are not rebalanced."""
        return self.context.rebalancer

    @property
    def classes(self) -> set[int]:
        """The numbers of the request classes that have requests, in the core or in the balancer."""
        context = self.context
        return {request.received.request_class for request in context.requests.values()} | {
            request.cls for request in context.balancer.requests.values()
        }

    def knows_request_id(self, request_id: str) -> bool:
        """Return whether a request with this client's id is open, or has ended and may still run."""
        return self.context.client_request_ids.is_known(request_id, self.context.now)

    def remembered_request_ids(self) -> list[str]:
        """Return the clients' ids of ended requests that may still run."""
        return self.context.client_request_ids.remembered(self.context.now)

    def remember_request_id(self, request_id: str) -> None:
        """Treat this client's id as that of an ended request that may still run, unless a request has it."""
        context = self.context
        if not context.client_request_ids.is_known(request_id, context.now):
            context.client_request_ids.remember(request_id, context.now + retention_ms(context.settings))

    @property
    def draining(self) -> bool:
        """Whether a shutdown or drain is in progress."""
        return self.context.shutdown_deadline > 0.0

    @property
    def process_exits(self) -> bool:
        """Whether the process ends after the shutdown; False after a drain."""
        return self.context.process_exits

    def may_exit(self, now: float) -> bool:
        """Return whether the process may exit: the shutdown deadline has passed and new requests are rejected."""
        return self.context.may_exit(now)
