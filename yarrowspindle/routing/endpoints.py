"""The handlers for endpoint list updates, and for the watch that delivers them.

An update changes the state of backends and aborts the attempts that may no longer be sent.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.routing.attempts import Attempts
from yarrowspindle.routing.context import RoutingContext, backend_id
from yarrowspindle.routing.effects import BackendRemoved, CancelHealthCheck, LogMessage, SetTimer
from yarrowspindle.routing.events import DiscoveryAddressChanged, Endpoint, EndpointsUpdated, WallClockStepped
from yarrowspindle.routing.state import Backend, Phase
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.routing.timers import ENDPOINT_WATCH_TIMER

# If lists are pushed, discovery counts a change as known once the agent on this machine has received it, even if the
# watch no longer delivers updates. The watch is renewed at this fraction of the drain grace period, so that the change
# still arrives within it.
WATCH_RENEWAL_FRACTION = 0.5
MIN_WATCH_RENEWAL_MS = 250.0
# After a failed call: so soon that several calls fit into the drain grace, then up to MIN_WATCH_RENEWAL_MS.
FIRST_PUSH_RETRY_MS = 25.0
MAX_PUSH_RETRY_DOUBLINGS = 4
MAX_LOGGED_BACKENDS = 8


@dataclass(slots=True)
class EndpointChanges:
    """The changes that one update of the endpoint list makes.

    Attributes:
        previous_states: The state before the update of each backend that it names or removes.
        restarted: The backends with a new start time, which may be cold although they were chosen as warm.
    """

    previous_states: dict[str, EndpointState] = field(default_factory=dict)
    restarted: set[str] = field(default_factory=set)


class EndpointHandlers:
    """Handlers of updates of the endpoint list, changes of the discovery address, and steps of the wall clock."""

    __slots__ = ("_context", "_attempts", "_failed_calls")

    def __init__(self, context: RoutingContext, attempts: Attempts) -> None:
        self._context = context
        self._attempts = attempts
        self._failed_calls = 0  # in a row

    def on_endpoints_updated(self, event: EndpointsUpdated, log_changes: bool = True) -> None:
        """Apply the update, notify the balancer and abort the attempts that may no longer be sent.

        An incremental update visits only the backends that it names, so its cost does not depend on the fleet's size.
        """
        if event.kind is ListKind.FAILED:
            self._on_list_failed()
            return
        if event.kind is ListKind.CONFIRMED:
            self._attempts.notify_balancer(balancer_events.EndpointList(event.kind))
            return
        if event.kind is not ListKind.SHARED:
            self._failed_calls = 0
        context = self._context
        context.endpoint_list_version = event.version
        changes = EndpointChanges()
        if not event.kind.is_incremental:
            self._remove_missing(event.endpoints, changes)
        entries = [self._apply_entry(endpoint, event.since_last_update_ms, changes) for endpoint in event.endpoints]
        if context.rebalancer is not None:
            context.rebalancer.view.finish_list([context.backends[name] for name in changes.previous_states])
        self._attempts.notify_balancer(balancer_events.EndpointList(event.kind, entries, event.version))
        changed = [context.backends[name] for name in sorted(changes.previous_states)]
        if log_changes and event.kind is not ListKind.CACHED:
            self._log_state_changes(event.version, changed, changes)
        self._abort_unsent_attempts(changed, changes)
        self._clean_up(changed, changes)
        if event.kind is ListKind.CACHED:
            self.watch_if_pushed(renew=False)

    def _on_list_failed(self) -> None:
        self._attempts.notify_balancer(balancer_events.EndpointList(ListKind.FAILED))
        if not self._context.settings.polls_discovery:
            retry_ms = FIRST_PUSH_RETRY_MS * 2.0 ** min(self._failed_calls, MAX_PUSH_RETRY_DOUBLINGS)
            self._failed_calls += 1
            self._context.effects.append(SetTimer(min(retry_ms, MIN_WATCH_RENEWAL_MS), ENDPOINT_WATCH_TIMER))

    def _remove_missing(self, endpoints: Sequence[Endpoint], changes: EndpointChanges) -> None:
        """Mark the backends that a full list does not contain as removed."""
        listed = {endpoint.name for endpoint in endpoints}
        for name, backend in self._context.backends.items():
            if name not in listed:
                changes.previous_states[name] = backend.state
                backend.state = EndpointState.GONE
                backend.endpoint = None

    def _apply_entry(
        self, endpoint: Endpoint, since_last_update_ms: float | None, changes: EndpointChanges
    ) -> balancer_events.Endpoint:
        """Update the endpoint's backend and return the entry for the balancer."""
        context, name = self._context, endpoint.name
        backend = context.backends.get(name)
        if backend is None:
            backend = self._add_backend(name)
        changes.previous_states.setdefault(name, backend.state)
        backend.address = endpoint.address
        backend.endpoint = endpoint
        backend.capacity = endpoint.capacity
        backend.state = endpoint.state
        if endpoint.state is EndpointState.READY and context.in_maintenance(name):
            backend.state = EndpointState.DRAINING
        backend.start_time = context.start_times.estimate(
            name, endpoint.started_ms, backend.start_time, context.now, since_last_update_ms
        )
        warmup_started_at = max(backend.start_time.local_ms, backend.readmitted_at)
        if warmup_started_at != backend.warmup_started_at:
            backend.warmup_started_at = warmup_started_at
            changes.restarted.add(name)
        if context.rebalancer is not None:
            context.rebalancer.view.update_backend(
                context.now, name, backend.number, backend.state, backend.capacity, warmup_started_at
            )
        return balancer_events.Endpoint(
            backend.number,
            endpoint.zone,
            endpoint.cell,
            backend.state,
            endpoint.capacity,
            warmup_started_at,
            endpoint.kind,
        )

    def _add_backend(self, name: str) -> Backend:
        context = self._context
        backend = Backend(name, backend_id(name), context.classifier_threshold_ms())
        context.backends[name] = backend
        context.backends_by_number[backend.number] = backend
        if context.maintenance_plan is not None and name in context.maintenance_plan.warming:
            backend.readmitted_at = context.now
        return backend

    def _log_state_changes(self, version: int, changed: Sequence[Backend], changes: EndpointChanges) -> None:
        """Log the backends whose state changed, so that operators can see which states were reported and when."""
        transitioned = [backend for backend in changed if backend.state is not changes.previous_states[backend.name]]
        if not transitioned:
            return
        states = ", ".join(
            f"{backend.name} {backend.state.name.lower()}" for backend in transitioned[:MAX_LOGGED_BACKENDS]
        )
        omitted = len(transitioned) - MAX_LOGGED_BACKENDS
        suffix = f" and {omitted} more" if omitted > 0 else ""
        self._context.effects.append(LogMessage(f"machine list {version}: {states}{suffix}"))

    def _abort_unsent_attempts(self, changed: Sequence[Backend], changes: EndpointChanges) -> None:
        """Abort the attempts that were not sent yet, at backends that are draining, removed or restarted."""
        affected = [
            backend
            for backend in changed
            if backend.state is not EndpointState.READY or backend.name in changes.restarted
        ]
        requests = self._context.requests
        for request_id in sorted(request_id for backend in affected for request_id in backend.requests):
            request = requests[request_id]
            if request.phase is Phase.CONNECTING and request.existing_connection is None:
                reason = gate.backend_rejection(request.backend.state) if request.backend is not None else None
                self._attempts.abort(request, reason or TerminationReason.NOT_SENT, TerminationReason.NOT_SENT)

    def _clean_up(self, changed: Sequence[Backend], changes: EndpointChanges) -> None:
        """Cancel the health checks of unusable and restarted backends, and drop the backends that were removed."""
        context = self._context
        for backend in changed:
            unusable_reason = gate.backend_rejection(backend.state)
            if context.settings.may_probe and (backend.name in changes.restarted or unusable_reason):
                context.effects.append(CancelHealthCheck(backend.name))
            was_listed = changes.previous_states[backend.name] is not EndpointState.GONE
            if backend.state is EndpointState.GONE and was_listed:
                context.effects.append(BackendRemoved(backend.name))
            context.discard_if_unused(backend)

    def watch_if_pushed(self, renew: bool) -> None:
        """Watch the endpoint list if it is pushed; if it is polled, the balancer requests it when needed.

        Args:
            renew: Replace an open watch at the same address as well.
        """
        settings = self._context.settings
        if not settings.polls_discovery:
            self._attempts.watch_endpoints(renew)
            renewal_ms = max(WATCH_RENEWAL_FRACTION * settings.drain_grace_ms, MIN_WATCH_RENEWAL_MS)
            self._context.effects.append(SetTimer(renewal_ms, ENDPOINT_WATCH_TIMER))

    def on_watch_timer(self) -> None:
        """Renew the watch of the endpoint list."""
        self.watch_if_pushed(renew=True)

    def on_discovery_address_changed(self, event: DiscoveryAddressChanged) -> None:
        """Request the full list from the new address, since another service may number versions differently."""
        context = self._context
        if event.address != context.discovery_address:
            context.discovery_address = event.address
            context.endpoint_list_version = 0
            self._attempts.watch_endpoints()

    def on_wall_clock_stepped(self, event: WallClockStepped) -> None:
        """Record that reported start times can no longer be compared with this machine's wall clock."""
        self._context.start_times.on_clock_stepped()
