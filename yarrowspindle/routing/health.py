"""Health of backends: loads, message latencies, unresponsive backends, health checks, and stalls of this process."""

from __future__ import annotations

from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.routing.attempts import Attempts
from yarrowspindle.routing.context import RoutingContext
from yarrowspindle.routing.effects import SetTimer
from yarrowspindle.routing.events import (
    BackendDataDelayed,
    BackendDataForwarded,
    ClientDataForwarded,
    EventLoopStalled,
    HealthCheckCompleted,
    LoadReported,
    UnclassifiedReport,
)
from yarrowspindle.routing.load_reports import ReportKind
from yarrowspindle.routing.state import Backend, Phase, Request
from yarrowspindle.routing.termination import OUTCOMES, TerminationReason
from yarrowspindle.routing.timers import LIVENESS_TIMER

LIVENESS_INTERVAL_MS = 250.0
MAX_RESPONSE_DELAY_MS = 2500.0  # a connection without an answer for longer is migrated; the protocol allows 7 s
UNRESPONSIVE_SETUP_TIMEOUT_MS = 1000.0  # an attempt at an unresponsive backend is aborted after this
LATENCY_REPORT_INTERVAL_MS = 1000.0  # between latency reports to the balancer, for each backend
MICROSECONDS_PER_MS = 1000.0


class HealthHandlers:
    """Handlers of the events that show the health of backends, on connections and in health checks."""

    __slots__ = ("_context", "_attempts", "_requests")

    def __init__(self, context: RoutingContext, attempts: Attempts) -> None:
        self._context = context
        self._attempts = attempts
        self._requests = context.requests

    # --- reported loads ---------------------------------------------------------------------------

    def on_load_reported(self, event: LoadReported) -> None:
        """Pass a connection's load to the balancer."""
        request = self._requests.get(event.request)
        if request is None or request.backend is None or request.existing_connection is not None:
            return
        request.load = event.load
        if self._context.rebalancer is not None:
            self._context.rebalancer.view.update_load(request.id, event.load)
        self._attempts.notify_balancer(balancer_events.LoadChanged(request.id, request.backend.number, event.load))

    def on_unclassified_report(self, event: UnclassifiedReport) -> None:
        """Classify the reported value as a load or a message latency, and pass it to the balancer as such."""
        request = self._requests.get(event.request)
        if request is None or request.backend is None or request.phase is not Phase.ESTABLISHED:
            return
        backend = request.backend
        self._report_resolved_load(backend)
        kind = self._classify(backend, event)
        if kind is ReportKind.LOAD:
            self.on_load_reported(LoadReported(request.id, event.figure / MICROSECONDS_PER_MS))
        elif kind is ReportKind.LATENCY:
            self._attempts.notify_balancer(
                balancer_events.SlowMessageObserved(request.id, backend.number, event.figure)
            )

    def _classify(self, backend: Backend, event: UnclassifiedReport) -> ReportKind:
        settings = self._context.settings
        if settings.backend_reports_load:
            return backend.load_reports.classify(
                self._context.now, event.request, event.figure, self._requests.__contains__
            )
        # Backends that report no loads can only mean a latency.
        return ReportKind.LATENCY if settings.backend_reports_latency else ReportKind.UNDECIDED

    def _report_resolved_load(self, backend: Backend) -> None:
        resolved = backend.load_reports.take_resolved_load(self._context.now)
        if resolved is not None:
            self.on_load_reported(LoadReported(resolved.request, resolved.load_us / MICROSECONDS_PER_MS))

    # --- message latencies ------------------------------------------------------------------------

    def on_client_data_forwarded(self, event: ClientDataForwarded) -> None:
        """Record when the client's lines were forwarded."""
        request = self._requests.get(event.request)
        if request is not None and request.phase is Phase.ESTABLISHED:
            request.record_client_lines(self._context.now, event.lines)

    def on_backend_data_delayed(self, event: BackendDataDelayed) -> None:
        """Move the start of the request's latency measurements by the delay, which this process caused.

        A start that an event loop stall has already moved stays as it is.
        """
        request, context = self._requests.get(event.request), self._context
        if request is None:
            return
        if request.in_flight and request.attempt_started_at > context.stall_ended_at:
            request.attempt_started_at = min(context.now, request.attempt_started_at + event.delay_ms)
        for entry in request.unanswered:
            if entry[0] > context.stall_ended_at:
                entry[0] = min(context.now, entry[0] + event.delay_ms)

    def on_backend_data_forwarded(self, event: BackendDataForwarded) -> None:
        """Record the latency of the oldest client line that the forwarded data answers."""
        request = self._requests.get(event.request)
        if request is not None and request.backend is not None and request.unanswered:
            backend, now = request.backend, self._context.now
            backend.last_data_at = now
            awaits_backend = request.awaits_backend
            latency_ms = now - request.record_backend_lines(event.lines)
            if awaits_backend:
                backend.message_latencies_ms.append(latency_ms)
            if backend.message_latencies_ms and now >= backend.latencies_reported_at + LATENCY_REPORT_INTERVAL_MS:
                self._report_latency(backend, request)

    def _report_latency(self, backend: Backend, request: Request) -> None:
        """Report the mean latency to the balancer while the backend is slow, and once when it no longer is."""
        latency_ms = sum(backend.message_latencies_ms) / len(backend.message_latencies_ms)
        backend.message_latencies_ms.clear()
        backend.latencies_reported_at = self._context.now
        slow = 0.0 < self._context.settings.slow_message_ms < latency_ms
        if slow or backend.reported_slow:
            backend.reported_slow = slow
            self._attempts.notify_balancer(balancer_events.SlowMessageObserved(request.id, backend.number, latency_ms))

    # --- unresponsive backends --------------------------------------------------------------------

    def on_liveness_timer(self) -> None:
        """Migrate connections that get no answer, and abort attempts at backends that send no data at all.

        A machine that fails without closing its connections sends nothing, and its connections stay open. Only the
        backends of current requests are visited, so that the cost of a check does not depend on the fleet's size.
        """
        self._context.effects.append(SetTimer(LIVENESS_INTERVAL_MS, LIVENESS_TIMER))
        in_use = dict.fromkeys(request.backend for request in self._requests.values() if request.backend is not None)
        for backend in in_use:
            self._report_resolved_load(backend)
        response_cutoff = self._context.now - MAX_RESPONSE_DELAY_MS
        overdue = self._overdue_requests()
        unresponsive = {
            request.backend
            for request in overdue
            if request.awaits_backend and request.backend is not None and request.backend.last_data_at < response_cutoff
        }
        for request in overdue:
            if request.phase is Phase.ESTABLISHED:
                # A client that sends faster than it is answered, or that does not read, is no fault of the backend.
                reason = TerminationReason.UNRESPONSIVE if request.awaits_backend else TerminationReason.MIGRATED
                self._attempts.close_established(request, reason)
        self._abort_attempts_at(unresponsive)

    def _overdue_requests(self) -> list[Request]:
        now = self._context.now
        return [
            request
            for request in self._requests.values()
            if request.unanswered and now >= request.unanswered[0][0] + MAX_RESPONSE_DELAY_MS
        ]

    def _abort_attempts_at(self, backends: set[Backend]) -> None:
        waiting = [
            request
            for request in self._requests.values()
            if request.phase is Phase.AWAITING_RESPONSE and request.backend in backends
        ]
        for request in waiting:
            if request.attempt_started_at < self._context.now - UNRESPONSIVE_SETUP_TIMEOUT_MS:
                reason = TerminationReason.UNRESPONSIVE
                self._attempts.abort(request, reason, reason)

    def on_event_loop_stalled(self, event: EventLoopStalled) -> None:
        """Exclude the stall from all delays, since answers may have waited in this process's own sockets."""
        now = self._context.now
        self._context.stall_ended_at = now
        for request in self._requests.values():
            if request.in_flight:
                request.attempt_started_at = min(now, request.attempt_started_at + event.duration_ms)
            for entry in request.unanswered:
                entry[0] = min(now, entry[0] + event.duration_ms)
        for backend in self._context.backends.values():
            backend.last_data_at = min(now, backend.last_data_at + event.duration_ms)

    # --- health checks ----------------------------------------------------------------------------

    def on_health_check_completed(self, event: HealthCheckCompleted) -> None:
        """Pass the result of a health check to the balancer."""
        backend = self._context.backends.get(event.backend)
        if backend is not None:
            self._attempts.notify_balancer(
                balancer_events.HealthCheckCompleted(
                    backend.number, OUTCOMES[event.reason], event.duration_ms, event.report
                )
            )
