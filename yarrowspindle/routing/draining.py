"""Planned restart and drain: migrates the established connections, spread evenly over the time limit."""

from __future__ import annotations

from math import ceil

from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.routing.attempts import Attempts
from yarrowspindle.routing.context import RoutingContext
from yarrowspindle.routing.effects import CancelTimer, SetTimer
from yarrowspindle.routing.events import DrainCancelled, ShutdownRequested, SuccessorServing
from yarrowspindle.routing.requests import RequestHandlers
from yarrowspindle.routing.state import Phase
from yarrowspindle.routing.timers import SHUTDOWN_TIMER

MIGRATION_INTERVAL_MS = 50.0
# Delay between SIGTERM and the first migration: the front still sends new connections to this relay for 0.4 s, and in a
# rolling restart the previously restarted relay accepts connections again only after 1.7 s.
MIGRATION_START_DELAY_MS = 1500.0


class DrainHandlers:
    """Handlers of shutdowns and drains; after a drain the process keeps running."""

    __slots__ = ("_context", "_attempts", "_request_handlers")

    def __init__(self, context: RoutingContext, attempts: Attempts, request_handlers: RequestHandlers) -> None:
        self._context = context
        self._attempts = attempts
        self._request_handlers = request_handlers

    def on_shutdown_requested(self, event: ShutdownRequested) -> None:
        """Start to migrate all clients; clients that arrive during the shutdown are served and migrated as well."""
        context = self._context
        context.shutdown_deadline = context.now + event.time_limit_ms
        context.process_exits = event.process_exits
        if event.process_exits:
            self._attempts.notify_balancer(balancer_events.ShutdownScheduled(event.time_limit_ms))
        if context.rebalancer is not None:
            context.rebalancer.stop()
        context.effects.append(SetTimer(min(MIGRATION_START_DELAY_MS, event.time_limit_ms / 2.0), SHUTDOWN_TIMER))

    def on_successor_serving(self, event: SuccessorServing) -> None:
        """Notify the balancer whether another process of this relay serves the clients."""
        self._attempts.notify_balancer(balancer_events.SuccessorServing(event.serving))

    def on_drain_cancelled(self, event: DrainCancelled) -> None:
        """Cancel the shutdown or drain, and stop migrating clients."""
        context = self._context
        if context.shutdown_deadline:
            context.shutdown_deadline = 0.0
            context.effects.append(CancelTimer(SHUTDOWN_TIMER))
            if context.rebalancer is not None:
                context.rebalancer.stopped = False

    def on_shutdown_timer(self) -> None:
        """Migrate this interval's batch of the established connections, or all after the deadline."""
        context = self._context
        remaining_ms = context.shutdown_deadline - context.now
        interval_ms = min(remaining_ms, MIGRATION_INTERVAL_MS) if remaining_ms > 0.0 else MIGRATION_INTERVAL_MS
        # Set the timer first: an exception in one migration must not prevent the migration of other connections.
        context.effects.append(SetTimer(interval_ms, SHUTDOWN_TIMER))
        if remaining_ms > 0.0:
            self._migrate_batch(remaining_ms)
        else:
            self._migrate_all()

    def _migrate_batch(self, remaining_ms: float) -> None:
        """Migrate a number of connections that leaves batches of equal size for the remaining intervals."""
        established = [request for request in self._context.requests.values() if request.phase is Phase.ESTABLISHED]
        intervals = max(1.0, remaining_ms / MIGRATION_INTERVAL_MS - 1.0)
        for request in established[: ceil(len(established) / intervals)]:
            self._attempts.migrate(request)

    def _migrate_all(self) -> None:
        """Migrate all established connections; if the process exits, expire all other requests."""
        for request in list(self._context.requests.values()):
            if request.phase is Phase.ESTABLISHED:
                self._attempts.migrate(request)
            elif self._context.process_exits:
                self._request_handlers.expire(request)
