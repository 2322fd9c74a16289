"""Maintenance of backends, as agreed by the relays.

A backend in maintenance gets no new connections, and its established connections are migrated.
"""

from __future__ import annotations

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.routing.attempts import Attempts
from yarrowspindle.routing.context import RoutingContext
from yarrowspindle.routing.effects import SetTimer
from yarrowspindle.routing.endpoints import EndpointHandlers
from yarrowspindle.routing.events import EndpointsUpdated, MaintenanceUpdated
from yarrowspindle.routing.state import Phase
from yarrowspindle.routing.timers import EVACUATION_TIMER


class EvacuationHandlers:
    """Handlers of new maintenance plans, which migrate connections away from backends in maintenance."""

    __slots__ = ("_context", "_attempts", "_endpoint_handlers")

    def __init__(self, context: RoutingContext, attempts: Attempts, endpoint_handlers: EndpointHandlers) -> None:
        self._context = context
        self._attempts = attempts
        self._endpoint_handlers = endpoint_handlers

    def on_maintenance_updated(self, event: MaintenanceUpdated) -> None:
        """Adopt the plan.

        The balancer sees a backend in maintenance as draining, and one that returned from maintenance as cold.
        """
        # Optional package: loaded only if it is configured.
        from yarrowspindle.maintenance.evacuation import TICK_MS, BackendEvacuator

        context = self._context
        previously_in_maintenance = {name for name in context.backends if context.in_maintenance(name)}
        previous_plan, context.maintenance_plan = context.maintenance_plan, event.plan
        for name in event.plan.warming - (previous_plan.warming if previous_plan is not None else frozenset()):
            if name in context.backends:
                context.backends[name].readmitted_at = context.now
        changed = [
            backend.endpoint
            for name, backend in context.backends.items()
            if backend.endpoint is not None and (name in previously_in_maintenance) != context.in_maintenance(name)
        ]
        if changed:
            update = EndpointsUpdated(ListKind.DELTA, changed, context.endpoint_list_version)
            self._endpoint_handlers.on_endpoints_updated(update, log_changes=False)
        if context.evacuator is None:
            context.evacuator = BackendEvacuator(context.now)
            context.effects.append(SetTimer(TICK_MS, EVACUATION_TIMER))
        context.evacuator.set_plan(context.now, event.plan)

    def on_evacuation_timer(self) -> None:
        """Migrate as many connections as the evacuator's rate limit allows now."""
        # Optional package: loaded only if it is configured.
        from yarrowspindle.maintenance.evacuation import TICK_MS

        context = self._context
        context.effects.append(SetTimer(TICK_MS, EVACUATION_TIMER))
        if context.evacuator is None or context.maintenance_plan is None:
            return
        established = {
            name: self._established_requests(name) for name in context.evacuator.deadlines if name in context.backends
        }
        for request_id in context.evacuator.next_migrations(context.now, context.maintenance_plan, established):
            self._attempts.migrate(context.requests.get(request_id))

    def _established_requests(self, name: str) -> list[int]:
        requests = self._context.requests
        request_ids = sorted(self._context.backends[name].requests)
        return [request_id for request_id in request_ids if requests[request_id].phase is Phase.ESTABLISHED]
