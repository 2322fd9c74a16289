"""Attempts, final answers and migrations: carries out the balancer's actions on the state of the requests.

This module guarantees, independently of the balancer's decisions and of network events:

- exactly one final answer for each request;
- at most one attempt in flight for each request, numbered in the same way as by the balancer;
- no attempt at a backend that is draining or removed, unless an existing connection returns to its previous backend.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from yarrowspindle.decisions import actions
from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.events import NEVER_RAN, EndpointState, Outcome
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import Idempotency
from yarrowspindle.routing.context import RoutingContext
from yarrowspindle.routing.effects import (
    AbortAttempt,
    CancelTimer,
    CheckHealth,
    FailRequest,
    LogMessage,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    SetTimer,
    WatchEndpoints,
)
from yarrowspindle.routing.request_ids import retention_ms
from yarrowspindle.routing.state import Backend, Phase, Request
from yarrowspindle.routing.termination import OUTCOMES, TerminationReason
from yarrowspindle.routing.timers import RECONNECT_TIMER, REQUEST_DEADLINE_TIMER

if TYPE_CHECKING:  # optional package: loaded only if it is configured
    from yarrowspindle.rebalancing import Rebalancer

RECONNECT_DELAY_MS = 400.0
HEALTH_CHECK_TIMEOUT_MS = 500.0  # a backend that pauses for 250 ms still answers within this


class Attempts:
    """The component that notifies the balancer of events and carries out the actions that it returns."""

    __slots__ = ("_context", "_requests", "_backends_by_number")

    def __init__(self, context: RoutingContext) -> None:
        self._context = context
        self._requests = context.requests
        self._backends_by_number = context.backends_by_number

    # --- the balancer's actions -------------------------------------------------------------------

    def notify_balancer(self, event: balancer_events.Event) -> None:
        """Pass the event to the balancer and carry out its actions in order."""
        context = self._context
        for action in context.balancer.handle(context.now, event):
            self._perform(action)

    def _perform(self, action: actions.Action) -> None:
        if isinstance(action, actions.StartAttempt):
            self._start(self._requests[action.request], action)
        elif isinstance(action, actions.RejectRequest):
            self.answer(action.request, RejectRequest(action.request, action.retry_after_ms, action.reason))
        elif isinstance(action, actions.FailRequest):
            self.answer(action.request, FailRequest(action.request, action.reason))
        elif isinstance(action, actions.MigrateConnection):
            self.migrate(self._requests.get(action.request))
        elif isinstance(action, actions.SetTimer):
            self._context.effects.append(SetTimer(action.delay_ms, action.token))
        elif isinstance(action, actions.CheckHealth):
            self._check_health(self._backends_by_number.get(action.backend))
        elif isinstance(action, actions.WatchEndpoints):
            self.watch_endpoints(action.renew)
        elif isinstance(action, actions.LogMessage):
            self._context.effects.append(LogMessage(action.text))
        # CancelAttempt needs no effect: its client has disconnected, and that event has already aborted the attempt.

    def _check_health(self, backend: Backend | None) -> None:
        # The balancer does not use the load report of a backend that may not get new attempts.
        if backend is not None and not gate.backend_rejection(backend.state):
            self._context.effects.append(CheckHealth(backend.name, backend.address, HEALTH_CHECK_TIMEOUT_MS))

    def watch_endpoints(self, renew: bool = False) -> None:
        """Watch the endpoint list for changes after the last known version.

        Args:
            renew: Replace an open watch at the same address as well.
        """
        context = self._context
        context.effects.append(WatchEndpoints(context.endpoint_list_version, context.discovery_address, renew))

    # --- attempts ---------------------------------------------------------------------------------

    def _start(self, request: Request, action: actions.StartAttempt) -> None:
        """Start an attempt; report it to the balancer as not sent if its backend or the remaining time forbids it.

        Raises:
            ValueError: The request has been answered or has an attempt in flight.
        """
        reason = gate.answer_rejection(
            answer_pending=request.phase is not Phase.CLOSED, in_flight=request.phase is not Phase.QUEUED
        )
        if reason:
            raise ValueError(
                f"cannot start an attempt for request {request.id} in phase {request.phase.name}: {reason.value}"
            )
        now = self._context.now
        request.attempt += 1
        remaining_ms = request.deadline - now
        if action.timeout_ms > 0.0:
            remaining_ms = min(remaining_ms, action.timeout_ms)
        request.write_deadline = now + action.begin_ms
        backend = self._backends_by_number.get(action.backend)
        if backend is None or gate.connect_rejection(backend.state, remaining_ms):
            backend_number = backend.number if backend else 0
            self.notify_balancer(
                balancer_events.AttemptEnded(request.id, request.attempt, backend_number, Outcome.NOT_SENT, False)
            )
            return
        self._connect(request, backend, remaining_ms)

    def _connect(self, request: Request, backend: Backend, remaining_ms: float) -> None:
        context = self._context
        request.enter(Phase.CONNECTING)
        request.backend = backend
        request.attempt_started_at = context.now
        backend.requests.add(request.id)
        timeout_ms = min(remaining_ms, context.settings.connect_timeout_ms, request.write_deadline - context.now)
        context.effects.append(
            OpenBackendConnection(request.id, request.attempt, backend.name, backend.address, timeout_ms)
        )

    def reconnect(self, request: Request) -> None:
        """Re-establish an existing connection at its previous backend; reject it if that backend is not available."""
        backend = request.backend
        if backend is None or backend.state is EndpointState.GONE or self._context.in_maintenance(backend.name):
            self.answer(request.id, RejectRequest(request.id, 0.0, RejectionReason.BACKEND_REMOVED))
        else:
            self._connect(request, backend, request.deadline - self._context.now)

    def abort(
        self,
        request: Request,
        reported_reason: TerminationReason | RejectionReason,
        termination_reason: TerminationReason,
    ) -> None:
        """Abort the request's attempt in flight.

        Args:
            request: The request of the attempt.
            reported_reason: The reason for logs and metrics.
            termination_reason: The reason that determines the outcome for the balancer.
        """
        self._context.effects.append(AbortAttempt(request.id, request.attempt, reported_reason))
        self.end(request, termination_reason, finished=False)

    def end(self, request: Request, reason: TerminationReason, finished: bool) -> None:
        """End the request's newest attempt and report its outcome to the balancer.

        Args:
            request: The request of the attempt.
            reason: Why the attempt, or its established connection, ended.
            finished: Whether the request ends with it; otherwise its answer is still pending.

        Raises:
            ValueError: The request has no attempt.
        """
        backend = request.backend
        if backend is None:
            raise ValueError(f"cannot end an attempt of request {request.id}: it has none")
        rebalancer = self._context.rebalancer
        if rebalancer is not None:
            self._report_to_rebalancer(rebalancer, request, backend, reason, finished)
        may_have_run = request.phase is Phase.AWAITING_RESPONSE and OUTCOMES[reason] not in NEVER_RAN
        request.may_have_run |= may_have_run
        if finished:
            self.finish(request)
        else:
            self._release_backend(request)
            request.enter(Phase.QUEUED)
        if request.existing_connection is None:
            duration_ms = self._context.now - request.attempt_started_at
            self.notify_balancer(
                balancer_events.AttemptEnded(
                    request.id, request.attempt, backend.number, OUTCOMES[reason], finished, duration_ms
                )
            )
        elif not finished and reason is TerminationReason.CONNECT_FAILED:
            # After a restart all existing connections return at once, which may be more than a backend accepts at once.
            self._context.effects.append(SetTimer(RECONNECT_DELAY_MS, (RECONNECT_TIMER, request.id)))
        elif not finished:
            self._answer_failed_reconnect(request, may_have_run)

    def _answer_failed_reconnect(self, request: Request, may_have_run: bool) -> None:
        """Send the final answer for an existing connection that its previous backend did not re-establish.

        The balancer does not know the request yet, and no other backend may serve it.
        """
        idempotency = self._context.idempotency(request)
        if gate.is_retry_safe(idempotency, may_have_run):
            self.answer(request.id, RejectRequest(request.id, 0.0, RejectionReason.NO_USABLE_BACKEND))
        else:
            self.answer(request.id, FailRequest(request.id, RejectionReason.MAY_HAVE_RUN))

    def _report_to_rebalancer(
        self, rebalancer: Rebalancer, request: Request, backend: Backend, reason: TerminationReason, finished: bool
    ) -> None:
        if finished:
            rebalancer.on_connection_ended(self._context.now, request.id, OUTCOMES[reason] is Outcome.RESET)
        elif reason not in (TerminationReason.NOT_SENT, TerminationReason.CONNECT_FAILED):
            rebalancer.on_attempt_failed(self._context.now, backend.name, request.received.returned)

    # --- the end of a request ---------------------------------------------------------------------

    def answer(self, request_id: int, answer: RejectRequest | FailRequest) -> None:
        """Send the final answer, unless the request already has one or an attempt is in flight."""
        request = self._requests.get(request_id)
        if request is None:
            return
        if gate.answer_rejection(answer_pending=request.phase is not Phase.ESTABLISHED, in_flight=request.in_flight):
            return
        context = self._context
        self.finish(request)
        context.effects.append(answer)
        if context.rebalancer is not None and isinstance(answer, RejectRequest):
            context.rebalancer.on_request_rejected(context.now)
        if context.evacuator is not None:
            context.evacuator.requests_rejected = True

    def migrate(self, request: Request | None) -> None:
        """Ask the client of an established connection to connect again."""
        if request is not None and not gate.migration_rejection(established=request.phase is Phase.ESTABLISHED):
            self.close_established(request, TerminationReason.MIGRATED)

    def close_established(self, request: Request, reason: TerminationReason) -> None:
        """Close an established connection and ask its client to connect again."""
        self._context.effects.append(MigrateConnection(request.id, reason))
        self.end(request, reason, finished=True)

    def finish(self, request: Request) -> None:
        """Mark the request as closed and drop its state."""
        self._release_backend(request)
        if request.phase is not Phase.ESTABLISHED:
            self._context.effects.append(CancelTimer((REQUEST_DEADLINE_TIMER, request.id)))
        may_run_again = self._context.idempotency(request) is Idempotency.IDEMPOTENT
        may_have_run = request.may_have_run or request.phase in (Phase.AWAITING_RESPONSE, Phase.ESTABLISHED)
        request.enter(Phase.CLOSED)
        del self._requests[request.id]
        if request.client_request_id:
            self._release_client_id(request, remember=may_have_run and not may_run_again)

    def _release_client_id(self, request: Request, remember: bool) -> None:
        context = self._context
        if remember:
            until = max(context.now + retention_ms(context.settings), request.deadline)
            context.client_request_ids.remember(request.client_request_id, until)
        else:
            context.client_request_ids.remove(request.client_request_id)

    def _release_backend(self, request: Request) -> None:
        if request.backend is not None:
            request.backend.requests.discard(request.id)
            self._context.discard_if_unused(request.backend)
