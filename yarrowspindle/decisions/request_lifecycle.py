"""Lifecycle of a request: attempts, queueing for a backend, retries and the final answer."""

from __future__ import annotations

from functools import partial

from yarrowspindle.decisions import outlier_detection
from yarrowspindle.decisions.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from yarrowspindle.decisions.admission import Admission, retry_after_ms
from yarrowspindle.decisions.backend_registry import BackendRegistry
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import (
    NEVER_RAN,
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    DeadlineReached,
    ExistingConnection,
    LoadChanged,
    Outcome,
    RequestReceived,
)
from yarrowspindle.decisions.health_checks import HealthChecks
from yarrowspindle.decisions.placement import Placement
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.request_gate import is_retry_safe, shutdown_rejection
from yarrowspindle.decisions.requests import Request, find_request
from yarrowspindle.decisions.retries import RetryBudget, attempt_rejection, backoff_ms, max_wait_ms, retry_window_ms
from yarrowspindle.decisions.slow_start import SlowStart
from yarrowspindle.decisions.state import BalancerState

NEVER_SENT_OUTCOMES = frozenset((Outcome.CONNECT_FAILED, Outcome.NOT_SENT))  # retries after these cost backends nothing
FAILED_SETUP_OUTCOMES = frozenset((Outcome.ERROR, Outcome.TIMEOUT))


class RequestLifecycle:
    """Handler of the events of requests, which carries out the decisions of placement, admission and retries."""

    def __init__(
        self,
        state: BalancerState,
        registry: BackendRegistry,
        slow_start: SlowStart,
        placement: Placement,
        admission: Admission,
        health_checks: HealthChecks,
    ) -> None:
        self.state, self.registry, self.slow_start = state, registry, slow_start
        self.placement, self.admission, self.health_checks = placement, admission, health_checks
        self.retries = RetryBudget()

    def on_request(self, event: RequestReceived) -> None:
        """Place a new request.

        Raises:
            ValueError: the id is in use or the class is unknown.
        """
        state, settings = self.state, self.state.settings
        self._check_id_unused(event.request)
        if not 0 <= event.cls < len(settings.classes):
            raise ValueError(
                f"request {event.request} has unknown class {event.cls}: expected 0 to {len(settings.classes) - 1}"
            )
        load = state.connection_loads.estimate(event.load)
        request = Request(event.request, event.cls, load, state.now, event.left_ms)
        request.returned, request.group = event.returned, event.group
        request.max_attempts = settings.max_attempts
        self.health_checks.add_credit()
        state.requests[request.id] = request
        self._place(request)

    def on_existing_connection(self, event: ExistingConnection) -> None:
        """Record a connection that was open when the balancer started.

        Raises:
            ValueError: the id is in use.
        """
        state = self.state
        self._check_id_unused(event.request)
        load = state.connection_loads.estimate(event.load)
        request = Request(event.request, event.cls, load, state.now, 0.0)
        request.backend = state.backends.setdefault(event.backend, Backend(event.backend))
        request.attempts, request.group = 1, event.group
        request.in_flight = request.established = True
        self.health_checks.add_credit()
        state.requests[request.id] = request
        self.registry.add_connection(request.backend, request)

    def _check_id_unused(self, request_id: int) -> None:
        if request_id in self.state.requests:
            raise ValueError(f"request {request_id} is already known")

    def place_queued(self) -> None:
        """Try to place every queued request after a change of the endpoint list."""
        for request in list(self.state.queued.values()):
            self._place(request)

    def _place(self, request: Request) -> None:
        """Start the next attempt, queue the request if a backend may still become usable, or answer it."""
        state = self.state
        rejection = self.placement_rejection(request.cls, state.now)
        if rejection is not None:
            self._reject(request, rejection)
            return
        rejection = attempt_rejection(request, state.settings, state.now)
        backend = None if rejection else self.placement.choose(request)
        if backend is None:
            if request.id not in state.queued:
                objective_ms = state.settings.classes[request.cls].setup_latency_objective_ms
                self._queue(request, objective_ms / 2.0, request.received_at + objective_ms)
        elif self.admission.is_overloaded(backend, request):
            self._reject(request, RejectionReason.OVERLOADED)
        else:
            self._start_attempt(request, backend)

    def placement_rejection(self, request_class: int, now: float) -> RejectionReason | None:
        """Return why no request of this class may be sent to any backend now, or None if requests may be."""
        state, settings = self.state, self.state.settings
        objective_ms = settings.classes[request_class].setup_latency_objective_ms
        return state.list_freshness.placement_rejection(settings, now) or shutdown_rejection(
            state.ends_at - now, objective_ms
        )

    def _start_attempt(self, request: Request, backend: Backend) -> None:
        state = self.state
        state.queued.pop(request.id, None)
        request.attempts += 1
        request.backend, request.in_flight, request.last_attempt_at = backend, True, state.now
        self.registry.add_connection(backend, request)
        begin_within_ms = retry_window_ms(request, state.settings, state.now)
        state.emit(StartAttempt(request.id, backend.id, 0.0, begin_within_ms))

    def _queue(self, request: Request, delay_ms: float, until: float) -> None:
        """Try again after `delay_ms` if an attempt may still begin then, `until` at the latest; else answer now."""
        state, settings = self.state, self.state.settings
        rejection = attempt_rejection(request, settings, state.now)
        wait_ms = max_wait_ms(request, settings, until, state.now)
        if rejection is None and wait_ms > settings.tick_ms:
            state.queued[request.id] = request
            state.set_timer(min(wait_ms, delay_ms), partial(self._place_if_queued, request))
        else:
            self._reject(request, rejection or RejectionReason.NO_USABLE_BACKEND)

    def _place_if_queued(self, request: Request) -> None:
        if self.state.queued.pop(request.id, None) is not None:
            self._place(request)

    def _reject(self, request: Request, reason: RejectionReason) -> None:
        """Send the final answer of a request that is not served: a rejection if a retry is safe, else a failure."""
        state, settings = self.state, self.state.settings
        idempotency = settings.classes[request.cls].idempotency
        retry_is_safe = is_retry_safe(idempotency, request.may_have_run_on is not None)
        self._close(request)
        wait_ms = retry_after_ms(settings, state.random())
        if retry_is_safe:
            state.emit(RejectRequest(request.id, wait_ms, reason))
        else:
            state.emit(FailRequest(request.id, reason))

    def _close(self, request: Request) -> None:
        """Mark the request as answered, and remove it if none of its attempts is in flight."""
        request.answer_pending = False
        self.state.queued.pop(request.id, None)
        if not request.in_flight:
            self.state.requests.pop(request.id, None)

    def on_established(self, event: ConnectionEstablished) -> None:
        """Record that the connection of a request is established.

        Raises:
            ValueError: the request is unknown.
        """
        state = self.state
        request = find_request(state.requests, event.request)
        request.established = True
        self.retries.on_established()
        objective_ms = state.settings.classes[request.cls].setup_latency_objective_ms
        self.admission.setup_latency.record(event.latency_ms, objective_ms)
        if request.backend is not None:
            outlier_detection.on_established(request.backend)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Remove the attempt from its backend, and retry if an answer is still pending.

        Raises:
            ValueError: the request is unknown or this attempt is not in flight.
        """
        state = self.state
        request = find_request(state.requests, event.request)
        backend = request.backend
        if not request.in_flight or backend is None or event.attempt != request.attempts - 1:
            raise ValueError(f"attempt {event.attempt} of request {event.request} is not in flight")
        request.in_flight = False
        self.registry.remove_connection(backend, request)
        self._record_outcome(request, backend, event.outcome)
        if event.outcome not in NEVER_RAN and request.may_have_run_on is None:
            request.may_have_run_on, request.may_have_run_at = backend, request.last_attempt_at
        if event.finished or not request.answer_pending:
            self._close(request)
        elif self.retries.spend(free=event.outcome in NEVER_SENT_OUTCOMES):
            self._place(request)
        else:
            objective_ms = state.settings.classes[request.cls].setup_latency_objective_ms
            self._queue(request, backoff_ms(objective_ms, request.attempts, state.random()), request.deadline)

    def _record_outcome(self, request: Request, backend: Backend, outcome: Outcome) -> None:
        """Update outlier detection, setup latency and slow start with the outcome of an attempt."""
        state = self.state
        established_reset = request.established and outcome is Outcome.RESET
        overload_reset = established_reset and outlier_detection.is_overload_reset(
            backend, state.now, state.uses_own_load_only
        )
        if outlier_detection.is_failure(outcome, established_reset, overload_reset):
            longest_deadline_ms = max(cls.deadline_ms for cls in state.settings.classes)
            outlier_detection.eject(backend, state.now, longest_deadline_ms, state.random())
            self.registry.observe(backend)
        if not request.established and outcome in FAILED_SETUP_OUTCOMES:
            self.admission.setup_latency.record_failure()
        if overload_reset:
            outlier_detection.mark_overloaded(backend, state.now)
            self.registry.observe(backend)
        if outcome is Outcome.OK:
            self.slow_start.completion_rate.count(state.now)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Close the request and cancel its attempt; ignore a request that has already been answered."""
        state = self.state
        request = state.requests.get(event.request)
        if request is None:
            return
        if request.in_flight and not request.established and state.settings.may_cancel:
            state.emit(CancelAttempt(request.id, request.attempts - 1))
        self._close(request)

    def on_deadline(self, event: DeadlineReached) -> None:
        """Answer the request now; ignore one that has already been answered."""
        request = self.state.requests.get(event.request)
        if request is not None:
            self._reject(request, RejectionReason.DEADLINE_EXCEEDED)

    def on_load_changed(self, event: LoadChanged) -> None:
        """Update the backend's load with the changed load of a connection."""
        request = self.state.requests.get(event.request)
        if request is not None and request.in_flight and request.backend is not None:
            load = self.state.connection_loads.estimate(event.load)
            request.backend.load += load - request.load
            request.load = load
