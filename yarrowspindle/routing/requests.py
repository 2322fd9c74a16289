"""The handlers for requests: arrival, progress of the attempts, deadlines, and answers after an internal error."""

from __future__ import annotations

from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.events import Outcome
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.request_gate import ANSWER_MARGIN_MS
from yarrowspindle.decisions.settings import Idempotency
from yarrowspindle.routing.attempts import Attempts
from yarrowspindle.routing.context import RoutingContext, backend_id
from yarrowspindle.routing.effects import (
    AbortAttempt,
    CancelTimer,
    CloseClientConnection,
    FailRequest,
    ForwardRequest,
    MigrateConnection,
    RejectRequest,
    SetTimer,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    ClientDisconnected,
    InternalError,
    RequestReceived,
    UnexpectedClientData,
)
from yarrowspindle.routing.state import Backend, Phase, Request
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.routing.timers import RECONNECT_TIMER, REQUEST_DEADLINE_TIMER

# After a restart of the relay clients wait up to 40 s until their existing connections are re-established.
EXISTING_CONNECTION_DEADLINE_MS = 38_000.0
HARMLESS_REASONS = (
    RejectionReason.SHUTTING_DOWN,
    RejectionReason.DEADLINE_EXCEEDED,
    RejectionReason.TOO_MANY_REQUESTS,
)


class RequestHandlers:
    """Handlers of the events of requests from arrival to their final answer."""

    __slots__ = ("_context", "_attempts", "_requests")

    def __init__(self, context: RoutingContext, attempts: Attempts) -> None:
        self._context = context
        self._attempts = attempts
        self._requests = context.requests

    # --- arrival ----------------------------------------------------------------------------------

    def on_request_received(self, event: RequestReceived) -> None:
        """Accept the request and pass it to the balancer, or answer it at once if it is not admitted."""
        context = self._context
        reason = self._rejection_reason(event)
        if reason is not None:
            self._reject(event.request, reason)
            return
        request = self._requests[event.request] = Request(event, context.now)
        if context.rebalancer is not None:
            context.rebalancer.on_request_received(context.now)
        if event.client_request_id:
            request.client_request_id = event.client_request_id
            context.client_request_ids.add(event.client_request_id)
        if event.previous_backend:
            self._bind_to_previous_backend(request, event)
        deadline_ms = max(request.deadline - context.now - ANSWER_MARGIN_MS, 0.0)
        context.effects.append(SetTimer(deadline_ms, (REQUEST_DEADLINE_TIMER, request.id)))
        if request.existing_connection is not None:
            self._attempts.reconnect(request)
            return
        self._attempts.notify_balancer(
            balancer_events.RequestReceived(
                event.request,
                event.request_class,
                event.tenant,
                event.key,
                event.remaining_ms,
                event.load,
                event.group,
                event.repeated,
                False,
                event.returned,
            )
        )

    def _reject(self, request_id: int, reason: RejectionReason) -> None:
        # A rejection tells the client that it may retry elsewhere, which is harmless only for these reasons.
        if reason in HARMLESS_REASONS:
            self._context.effects.append(RejectRequest(request_id, 0.0, reason))
        else:
            self._context.effects.append(FailRequest(request_id, reason))

    def _bind_to_previous_backend(self, request: Request, event: RequestReceived) -> None:
        """Bind a connection from before the restart of this relay to its previous backend; no other may serve it."""
        request.existing_connection = balancer_events.ExistingConnection(
            event.request,
            backend_id(event.previous_backend),
            event.request_class,
            event.tenant,
            event.key,
            event.load,
            event.group,
        )
        request.backend = self._context.backends.get(event.previous_backend)
        request.attempt = 0
        request.deadline = self._context.now + EXISTING_CONNECTION_DEADLINE_MS

    def _rejection_reason(self, event: RequestReceived) -> RejectionReason | None:
        """Return why the request is not admitted; None if it is.

        This protects backends and other requests from a client that uses the id of another request, that states an
        unlimited wait, or that names its previous backend after the first new request was received (the backend may be
        draining by then). A request without a client's id was created by the front; it is rejected only after the
        shutdown deadline.
        """
        context = self._context
        shutting_down = context.may_exit(context.now)
        if not event.client_request_id:
            return RejectionReason.SHUTTING_DOWN if shutting_down else None
        names_backend = bool(event.previous_backend)
        reason = gate.admission_rejection(
            shutting_down=shutting_down,
            id_in_use=context.client_request_ids.is_known(event.client_request_id, context.now),
            names_backend=names_backend,
            serving_new_requests=context.serving_new_requests,
            remaining_ms=event.remaining_ms,
            class_deadline_ms=context.settings.classes[event.request_class].deadline_ms,
        )
        if reason is None and self._cannot_remember(event):
            reason = RejectionReason.TOO_MANY_REQUESTS
        if not names_backend and (reason is None or reason is RejectionReason.SHUTTING_DOWN):
            context.serving_new_requests = True
        return reason

    def _cannot_remember(self, event: RequestReceived) -> bool:
        """Return whether the request may run only once, and its id could not be remembered after its end."""
        context = self._context
        idempotency = context.settings.classes[event.request_class].idempotency
        return idempotency is not Idempotency.IDEMPOTENT and context.client_request_ids.is_full(context.now)

    # --- the client -------------------------------------------------------------------------------

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Drop the request, and abort its attempt or close its connection to the backend."""
        request = self._requests.get(event.request)
        if request is None:
            return
        if request.phase is not Phase.ESTABLISHED and request.existing_connection is None:
            self._attempts.notify_balancer(balancer_events.ClientDisconnected(request.id))
        if request.phase is Phase.QUEUED:
            self._attempts.finish(request)
            return
        reason = TerminationReason.CLIENT_DISCONNECTED
        self._context.effects.append(AbortAttempt(request.id, request.attempt, reason))
        self._attempts.end(request, reason, finished=True)

    def on_unexpected_client_data(self, event: UnexpectedClientData) -> None:
        """Fail the request: the protocol forbids its client to send data before the answer."""
        request = self._requests.get(event.request)
        if request is not None and request.phase is not Phase.ESTABLISHED:
            self.on_client_disconnected(ClientDisconnected(request.id))
            self._context.effects.append(FailRequest(request.id, RejectionReason.UNEXPECTED_CLIENT_DATA))

    # --- the attempt ------------------------------------------------------------------------------

    def _request_for_attempt(self, request_id: int, attempt: int) -> Request | None:
        """Return the request if the attempt is its newest and has not ended, else None."""
        request = self._requests.get(request_id)
        if request is None or request.attempt != attempt or request.phase is Phase.QUEUED:
            return None
        return request

    def on_backend_connected(self, event: BackendConnected) -> None:
        """Forward the request, unless its backend is no longer usable or too little time remains."""
        request = self._request_for_attempt(event.request, event.attempt)
        if request is None or request.backend is None or request.phase is not Phase.CONNECTING:
            return
        context = self._context
        reason = gate.forward_rejection(
            request.backend.state,
            sticky=request.existing_connection is not None,
            now=context.now,
            begin_by=request.write_deadline,
            deadline=request.deadline,
        )
        if reason is None and request.existing_connection is None:
            reason = context.balancer.placement_rejection(request.received.request_class, context.now)
        if reason:
            self._attempts.abort(request, reason, TerminationReason.NOT_SENT)
            return
        request.enter(Phase.AWAITING_RESPONSE)
        context.effects.append(ForwardRequest(request.id, request.attempt, request.deadline - context.now))

    def on_backend_accepted(self, event: BackendAccepted) -> None:
        """Mark the connection as established and start to relay data."""
        request = self._request_for_attempt(event.request, event.attempt)
        if request is None or request.backend is None or request.phase is not Phase.AWAITING_RESPONSE:
            return
        context, backend = self._context, request.backend
        request.enter(Phase.ESTABLISHED)
        backend.last_data_at = request.established_at = context.now
        if context.rebalancer is not None:
            received = request.received
            context.rebalancer.on_connection_established(
                context.now, request.id, backend.name, request.load, received.key, received.group, received.returned
            )
        context.effects += (CancelTimer((REQUEST_DEADLINE_TIMER, request.id)), StartRelaying(request.id))
        if request.existing_connection is not None:
            self._attempts.notify_balancer(request.existing_connection)
            request.existing_connection = None
            return
        setup_ms = context.now - request.attempt_started_at
        self._attempts.notify_balancer(
            balancer_events.ConnectionEstablished(request.id, request.attempt, backend.number, setup_ms)
        )

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """End the attempt; if it was an established connection, close its client's side as well."""
        request = self._request_for_attempt(event.request, event.attempt)
        if request is None:
            return
        established = request.phase is Phase.ESTABLISHED
        if established:
            self._context.effects.append(CloseClientConnection(request.id, event.reason))
        self._attempts.end(request, event.reason, finished=established)

    # --- timers -----------------------------------------------------------------------------------

    def on_request_timer(self, name: str, request_id: int) -> None:
        """Handle a timer of the request; a timer of a closed request is ignored."""
        request = self._requests.get(request_id)
        if request is None:
            return
        if name == REQUEST_DEADLINE_TIMER:
            self.expire(request)
        elif name == RECONNECT_TIMER and request.phase is Phase.QUEUED:
            self._attempts.reconnect(request)

    def expire(self, request: Request) -> None:
        """Abort the attempt in flight and send the final answer, at the deadline or at the end of a shutdown."""
        if request.in_flight:
            self._abort_expired(request)
        if request.phase is Phase.QUEUED and request.existing_connection is None:
            # Only the balancer knows whether an attempt may have run, in which case a retry by the client may do harm.
            self._attempts.notify_balancer(balancer_events.DeadlineReached(request.id))
        if request.phase is Phase.QUEUED:
            self._attempts.answer(request.id, RejectRequest(request.id, 0.0, RejectionReason.DEADLINE_EXCEEDED))

    def _abort_expired(self, request: Request) -> None:
        stalled = request.deadline - ANSWER_MARGIN_MS <= self._context.stall_ended_at
        reason = TerminationReason.EVENT_LOOP_STALLED if stalled else TerminationReason.DEADLINE_EXCEEDED
        request.deadline = self._context.now
        self._attempts.abort(request, RejectionReason.DEADLINE_EXCEEDED, reason)

    # --- internal errors --------------------------------------------------------------------------

    def on_internal_error(self, event: InternalError) -> None:
        """Answer the client of a request for which a step or an effect raised an exception.

        The balancer is notified last, since it may raise the exception again.
        """
        request = self._requests.get(event.request)
        if request is None:
            if event.during_arrival:
                self._context.effects.append(FailRequest(event.request, RejectionReason.INTERNAL_ERROR))
            return
        backend, phase, attempt = request.backend, request.phase, request.attempt
        self._answer_internal_error(request)
        self._attempts.finish(request)
        if request.existing_connection is None:
            self._cancel_at_balancer(request.id, attempt, phase, backend)

    def _answer_internal_error(self, request: Request) -> None:
        effects = self._context.effects
        if request.phase is Phase.ESTABLISHED:
            effects.append(MigrateConnection(request.id))
            return
        if request.in_flight:
            effects.append(AbortAttempt(request.id, request.attempt, RejectionReason.INTERNAL_ERROR))
        effects.append(FailRequest(request.id, RejectionReason.INTERNAL_ERROR))

    def _cancel_at_balancer(self, request_id: int, attempt: int, phase: Phase, backend: Backend | None) -> None:
        if phase is not Phase.ESTABLISHED:
            self._attempts.notify_balancer(balancer_events.ClientDisconnected(request_id))
        if backend is not None and phase is not Phase.QUEUED:
            self._attempts.notify_balancer(
                balancer_events.AttemptEnded(request_id, attempt, backend.number, Outcome.CANCELLED, True)
            )
