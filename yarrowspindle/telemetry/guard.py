"""Checks invariants at run time against the reducer's events and effects.

The guard keeps its own state and reads none of the reducer's, so that it detects faults in the reducer's state; it does
not influence any decision. A violation is counted once per request and rule, as `invariant_violations_total.RULE`, and
logged as an error.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum, unique
from math import inf
from typing import Any

from yarrowspindle.decisions.events import NEVER_RAN, EndpointState, ListKind
from yarrowspindle.decisions.settings import Idempotency, Settings
from yarrowspindle.routing.effects import (
    AbortAttempt,
    Effect,
    FailRequest,
    ForwardRequest,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointsUpdated,
    Event,
    EventLoopStalled,
    RequestReceived,
    TimerFired,
)
from yarrowspindle.routing.termination import OUTCOMES
from yarrowspindle.telemetry.warmup_share import WarmupShare

MAX_ANSWER_DELAY_MS = 500.0  # after the deadline; without an answer by then, UNANSWERED is violated
UNANSWERED_CHECK_INTERVAL_MS = 1000.0


@unique
class Rule(Enum):
    """An invariant; the value is its name in logs and metrics."""

    ONE_FINAL_ANSWER = "one_final_answer"
    ONE_ATTEMPT_IN_FLIGHT = "one_attempt_out"
    # No request is forwarded to a backend that is draining, was removed, or restarted after the attempt began.
    NO_SEND_TO_UNAVAILABLE_BACKEND = "server_told"
    CLIENT_GONE = "client_gone"  # no attempt for a client that has disconnected or has been answered
    DEADLINE = "deadline"  # no request is forwarded after its deadline
    SLOW_START = "slow_start"  # a backend that is warming up does not exceed its share of requests
    UNANSWERED = "unanswered"  # each request that was received is answered
    # A rejection tells the client that a retry is safe: never after an attempt that may have run, unless the request's
    # class is idempotent.
    SAFE_REJECTION = "safe_rejection"


class PendingRequest:
    """A request without its final answer.

    Attributes:
        id: the client's request id, for the log.
        deadline: clock time in milliseconds by which the request must be answered.
        existing_connection: whether the client already had an established connection, such as one of another relay.
        attempt: number of the attempt in flight; None if there is none.
        backend: name of the backend of the last attempt.
        started_ms: start time of that backend as listed when the attempt began; 0 if unknown.
        forwarded: whether the request was forwarded to that backend in the attempt in flight.
        may_have_run: whether an attempt that has ended may have run.
        violated: the rules that were violated for this request.
    """

    __slots__ = (
        "id",
        "deadline",
        "existing_connection",
        "request_class",
        "attempt",
        "backend",
        "started_ms",
        "forwarded",
        "may_have_run",
        "violated",
    )

    def __init__(self, id: str, deadline: float, existing_connection: bool, request_class: int) -> None:
        self.id = id
        self.deadline = deadline
        self.existing_connection = existing_connection
        self.request_class = request_class
        self.attempt: int | None = None
        self.backend = ""
        self.started_ms = 0.0
        self.forwarded = False
        self.may_have_run = False
        self.violated: tuple[Rule, ...] = ()


class Guard:
    """Checker of the invariants.

    Args:
        settings: returns the current settings.
        report: called with a description of each violation.
    """

    def __init__(self, settings: Callable[[], Settings], report: Callable[[str], None]) -> None:
        self.now = 0.0
        self.counts: Counter[str] = Counter({rule.value: 0 for rule in Rule})
        self._settings = settings
        self._report = report
        self._pending: dict[int, PendingRequest] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._last_check_at = -inf
        self._warmup_share = WarmupShare()
        self._event_handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._on_request_received,
            ClientDisconnected: self._on_client_disconnected,
            AttemptEnded: self._on_attempt_ended,
            EndpointsUpdated: self._on_endpoints_updated,
            EventLoopStalled: self._on_event_loop_stalled,
            TimerFired: self._on_timer_fired,
        }
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            OpenBackendConnection: self._on_open_backend_connection,
            ForwardRequest: self._on_forward_request,
            AbortAttempt: self._on_abort_attempt,
            StartRelaying: self._on_answer,
            RejectRequest: self._on_reject_request,
            FailRequest: self._on_answer,
        }

    def on_event(self, now: float, event: Event) -> None:
        """Check an event, before the reducer handles it."""
        self.now = now
        handler = self._event_handlers.get(type(event))
        if handler is not None:
            handler(event)

    def on_effect(self, effect: Effect) -> None:
        """Check an effect."""
        handler = self._effect_handlers.get(type(effect))
        if handler is not None:
            handler(effect)

    def _violation(self, rule: Rule, request: PendingRequest | None, text: str) -> None:
        if request is not None:
            if rule in request.violated:
                return
            request.violated += (rule,)
        self.counts[rule.value] += 1
        self._report(f"invariant {rule.value} violated: request={request.id if request else '?'} {text}")

    # --- requests ---------------------------------------------------------------------------------

    def _on_request_received(self, event: RequestReceived) -> None:
        existing_connection = bool(event.previous_backend)
        deadline = inf if existing_connection else self.now + event.remaining_ms
        id = event.client_request_id or str(event.request)
        self._pending[event.request] = PendingRequest(id, deadline, existing_connection, event.request_class)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        self._pending.pop(event.request, None)

    def _on_open_backend_connection(self, effect: OpenBackendConnection) -> None:
        request = self._pending.get(effect.request)
        if request is None:
            text = f"number={effect.request} attempt={effect.attempt} connects to backend={effect.backend}"
            self._violation(Rule.CLIENT_GONE, None, text)
            return
        if request.attempt is not None:
            text = f"attempt={effect.attempt} starts while attempt={request.attempt} is in flight"
            self._violation(Rule.ONE_ATTEMPT_IN_FLIGHT, request, text)
        endpoint = self._endpoints.get(effect.backend)
        request.attempt = effect.attempt
        request.backend = effect.backend
        request.started_ms = endpoint.started_ms if endpoint is not None else 0.0

    def _on_forward_request(self, effect: ForwardRequest) -> None:
        request = self._pending.get(effect.request)
        if request is None:
            self._violation(Rule.CLIENT_GONE, None, f"number={effect.request} is forwarded")
            return
        if self.now > request.deadline:
            text = f"forwarded {self.now - request.deadline:.0f} ms after its deadline"
            self._violation(Rule.DEADLINE, request, text)
        request.forwarded = True
        if not request.existing_connection:
            self._check_backend(request)

    def _check_backend(self, request: PendingRequest) -> None:
        endpoint = self._endpoints.get(request.backend)
        ready = endpoint is not None and endpoint.state is EndpointState.READY
        if endpoint is None or not ready or endpoint.started_ms != request.started_ms:
            state = "gone" if endpoint is None else endpoint.state.name.lower()
            text = f"forwarded to backend={request.backend}, which is listed as {state}"
            self._violation(Rule.NO_SEND_TO_UNAVAILABLE_BACKEND, request, text)
        excess = self._warmup_share.on_forwarded(request.backend, self.now, self._settings(), len(self._endpoints))
        if excess is not None:
            self._violation(Rule.SLOW_START, request, excess)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        self._end_attempt(event.request, event.attempt, OUTCOMES[event.reason] not in NEVER_RAN)

    def _on_abort_attempt(self, effect: AbortAttempt) -> None:
        self._end_attempt(effect.request, effect.attempt, True)

    def _end_attempt(self, request_id: int, attempt: int, may_have_run_if_forwarded: bool) -> None:
        request = self._pending.get(request_id)
        if request is None or request.attempt != attempt:
            return
        request.attempt = None
        if request.forwarded and may_have_run_if_forwarded:
            request.may_have_run = True
        request.forwarded = False

    def _on_reject_request(self, effect: RejectRequest) -> None:
        request = self._pending.get(effect.request)
        if request is not None and request.may_have_run:
            idempotency = self._settings().classes[request.request_class].idempotency
            if idempotency is not Idempotency.IDEMPOTENT:
                text = f"rejected after an attempt at backend={request.backend} that may have run"
                self._violation(Rule.SAFE_REJECTION, request, text)
        self._on_answer(effect)

    def _on_answer(self, effect: StartRelaying | RejectRequest | FailRequest) -> None:
        if self._pending.pop(effect.request, None) is None:
            text = f"number={effect.request}: {type(effect).__name__} after its final answer"
            self._violation(Rule.ONE_FINAL_ANSWER, None, text)

    def _on_event_loop_stalled(self, event: EventLoopStalled) -> None:
        """Extend deadlines that passed during the stall to its end."""
        for request in self._pending.values():
            request.deadline = max(request.deadline, self.now)

    def _on_timer_fired(self, event: TimerFired) -> None:
        if self.now < self._last_check_at + UNANSWERED_CHECK_INTERVAL_MS:
            return
        self._last_check_at = self.now
        for request in self._pending.values():
            late_ms = self.now - request.deadline
            if self.now > request.deadline + MAX_ANSWER_DELAY_MS:
                self._violation(Rule.UNANSWERED, request, f"no answer {late_ms:.0f} ms after its deadline")

    # --- backends ---------------------------------------------------------------------------------

    def _on_endpoints_updated(self, event: EndpointsUpdated) -> None:
        if event.kind in (ListKind.FAILED, ListKind.CONFIRMED):
            return
        if not event.kind.is_incremental:
            self._endpoints = {}
        for endpoint in event.endpoints:
            known = self._endpoints.get(endpoint.name)
            if known is not None and known.started_ms != endpoint.started_ms and endpoint.started_ms > 0.0:
                self._warmup_share.on_restarted(endpoint.name, self.now)
            if endpoint.state is EndpointState.GONE:
                self._endpoints.pop(endpoint.name, None)
            else:
                self._endpoints[endpoint.name] = endpoint
