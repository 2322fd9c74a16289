"""One request of a host application, from its first attempt to its end."""

from __future__ import annotations

import asyncio
import warnings
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from yarrowspindle.library.errors import BackendDropped, BackendUnreachable, Failed, PlacerClosed, Rejected
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.effects import (
    AbortAttempt,
    CloseClientConnection,
    Effect,
    FailRequest,
    ForwardRequest,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    BackendDataForwarded,
    ClientDataForwarded,
    ClientDisconnected,
    LoadReported,
)
from yarrowspindle.routing.termination import TerminationReason

if TYPE_CHECKING:
    from yarrowspindle.library.placer import Placer

NO_ADDRESS: Address = ("", 0)
NO_ATTEMPT = -1


class Placement:
    """One request and the backend of its current attempt, which changes when another backend is tried.

    Attributes:
        request: The id of the request; 0 before it has one.
        backend: The name of the backend.
        address: The host and port on which the backend listens.
        attempt: The number of the attempt; -1 before the first one.
        is_moved: Whether the host should close the connection to the backend and have the client reconnect.
        reason: The reason why `is_moved` is set.
        is_up: Whether the connection is established, which is the final answer of the request.
        over: Whether the request has ended, so that the host has nothing more to report.
        dropped: Whether the backend of this attempt may no longer be used.
        reported_unreachable: Whether the host gave up on the backend of this attempt with `unreachable`.
        forwarded: Whether the host was allowed to send the request in this attempt, which may have run since then.
        ending: The reason why the backend connection ended; set by the host.
        answer: The final answer if it is a rejection or a failure.
        next: The backend that the balancer has chosen for the next attempt while the host still uses the last one.
        waiting: The future that resolves when there is a next backend or a final answer; None if the host is not
            waiting.
        task: The host's task.
        cut: Whether the placer cancelled that task at the end of its close.
    """

    request = 0
    backend = ""
    address = NO_ADDRESS
    attempt = NO_ATTEMPT
    is_moved = False
    is_up = False
    over = False
    dropped = False
    reported_unreachable = False
    forwarded = False
    reason: TerminationReason | None = None
    ending: TerminationReason | None = None
    answer: RejectRequest | FailRequest | None = None
    next: OpenBackendConnection | None = None
    waiting: asyncio.Future[None] | None = None
    task: asyncio.Task[Any] | None = None
    cut = False
    _moved: asyncio.Event | None = None  # created on first access

    def __init__(self, placer: Placer) -> None:
        self.placer = placer

    @property
    def moved(self) -> asyncio.Event:
        """An event that is set when the host should close the backend connection and have the client reconnect."""
        if self._moved is None:
            self._moved = asyncio.Event()
            if self.is_moved:
                self._moved.set()
        return self._moved

    @property
    def node(self) -> str:
        """The name of the backend, under the deprecated name of `backend`."""
        warnings.warn("Placement.node is now called backend", DeprecationWarning, stacklevel=2)
        return self.backend

    # --- reports of the host -----------------------------------------------------------------------

    def reached(self) -> None:
        """Report that the backend is connected and the request is about to be sent, after which it may run.

        If this raises, the request must not be sent.

        Raises:
            Rejected: The request was rejected in the meantime, for example at its deadline.
            Failed: The request has failed in the meantime.
            BackendDropped: The backend may no longer be used.
        """
        self._check_usable()
        if not self.is_up:
            self.placer.post(BackendConnected(self.request, self.attempt))
            self._check_usable()  # the call above may have ended the attempt, for example at its deadline

    def up(self) -> None:
        """Report that the backend has accepted the request, which is the request's final answer.

        Raises:
            Rejected: The request was rejected before, for example at its deadline.
            Failed: The request has failed before.
            BackendDropped: The backend may no longer be used.
        """
        self._check_usable()
        if not self.is_up and not self.over:
            event = BackendConnected(self.request, self.attempt)
            self.placer.runtime.post_both(event, BackendAccepted(self.request, self.attempt))
            if not self.is_up:  # the deadline passed or the backend began to drain before
                self._check_usable()

    async def failed(self, ending: TerminationReason | None = None) -> None:
        """Report that the backend could not be used, and switch to another one; `address` is then that backend's.

        After `up`, the request ends instead, and the client has to reconnect.

        Args:
            ending: The reason why the attempt ended; by default CONNECT_FAILED, or CONNECTION_RESET after `reached`,
                since the request may have run then.

        Raises:
            Rejected: No other backend is available.
            Failed: The request may not be tried again.
            PlacerClosed: The placer is not open, or closes while the request waits.
        """
        self.placer.check()
        self.raise_answer()
        if self.over:
            return
        ending = ending or self.failure
        if self.is_up:
            self.end(ending)
        elif self.next is not None:  # the balancer has already chosen another backend
            self.use_next()
        else:
            event = None if self.dropped else AttemptEnded(self.request, self.attempt, ending)
            await self.placer.attempt(self, event)

    def unreachable(self) -> BackendUnreachable:
        """Return the error that an application raises before its response starts, so that another backend is tried.

        After `reached`, no other backend is tried unless the class of the request is idempotent.
        """
        self.ending = self.failure
        self.reported_unreachable = True
        return BackendUnreachable(self.backend)

    @property
    def failure(self) -> TerminationReason:
        """The reason why an attempt has failed if the host names none."""
        return TerminationReason.CONNECTION_RESET if self.forwarded else TerminationReason.CONNECT_FAILED

    def load(self, load: float) -> None:
        """Report the current load of the connection, in milliseconds of work per second."""
        if self.is_up and not self.over:
            self.placer.post(LoadReported(self.request, load))

    def asked(self, messages: int = 1) -> None:
        """Report that the client has sent this number of messages, each of which the backend should answer."""
        if self.is_up and not self.over:
            self.placer.post(ClientDataForwarded(self.request, messages))

    def answered(self, messages: int = 1) -> None:
        """Report that the backend has answered this number of messages."""
        if self.is_up and not self.over:
            self.placer.post(BackendDataForwarded(self.request, messages))

    def end(self, ending: TerminationReason = TerminationReason.COMPLETED) -> None:
        """End the request; the context manager calls this if the host has not.

        A request whose connection is not established ends as if its client had disconnected.

        Args:
            ending: The reason why the connection ended.
        """
        if self.over:
            return
        if not self.is_up:
            self.leave()
            return
        self.over = True
        self.placer.post(AttemptEnded(self.request, self.attempt, ending))
        self.placer.forget(self)

    def leave(self) -> None:
        """End the request because its client disconnected or the host failed."""
        if not self.over:
            self.over = True
            self.placer.post(ClientDisconnected(self.request))
            self.placer.forget(self)

    def finish(self, clean: bool) -> None:
        """End the request when the host leaves the context.

        Args:
            clean: Whether the host left it without an exception.
        """
        self.placer.entered.discard(self)
        if self.over:
            return
        if self.ending is not None:
            self.end(self.ending)
        elif not clean:
            self.leave()
        else:
            if not self.is_up and not self.dropped and self.next is None:
                self.up()  # the host served the request without a call of `up`
            self.end()

    def raise_answer(self) -> None:
        """Raise the final answer of the request if it is Rejected or Failed."""
        if isinstance(self.answer, RejectRequest):
            raise Rejected(self.answer.retry_after_ms / 1000.0)
        if isinstance(self.answer, FailRequest):
            raise Failed

    def _check_usable(self) -> None:
        """Raise the reason if this attempt may not continue."""
        self.placer.check(closing=True)
        self.raise_answer()
        if self.dropped or self.next is not None:
            raise BackendDropped(f"backend {self.backend} may no longer be used; await placement.failed() for another")

    # --- effects on this request ------------------------------------------------------------------

    def carry_out(self, effect: Effect) -> None:
        """Carry out an effect on this request; the runtime treats a placement as the front of its request."""
        _EFFECT_HANDLERS[type(effect)](self, effect)

    def _on_open(self, effect: OpenBackendConnection) -> None:
        self.dropped = False
        self.next = effect
        self._resume_host()

    def _on_answer(self, effect: RejectRequest | FailRequest) -> None:
        self.answer = effect
        self.over = True
        self.next = None
        self.placer.counts["refused" if isinstance(effect, RejectRequest) else "failed"] += 1
        self.placer.forget(self)
        if not self._resume_host():  # the host is still using a backend whose attempt has ended
            self.ask_to_end(TerminationReason.DEADLINE_EXCEEDED)

    def _on_established(self, effect: StartRelaying) -> None:
        self.is_up = True
        self.placer.counts["up"] += 1

    def _on_abort(self, effect: AbortAttempt) -> None:
        self.dropped = True
        self.next = None
        self.ask_to_end(TerminationReason.NOT_SENT)

    def _on_migrate(self, effect: MigrateConnection) -> None:
        self.placer.counts["moved"] += 1
        self._on_end(TerminationReason.MIGRATED)

    def _on_close(self, effect: CloseClientConnection) -> None:
        self._on_end(effect.reason)

    def _on_end(self, reason: TerminationReason) -> None:
        self.over = True
        self.placer.forget(self)
        self.ask_to_end(reason)

    def _on_forward(self, effect: ForwardRequest) -> None:
        """Record that the host, which sends the request itself, is about to do so."""
        self.forwarded = True

    def use_next(self) -> None:
        """Switch to the backend that the balancer chose for the next attempt.

        Raises:
            Rejected: The request was rejected instead.
            Failed: The request failed instead.
            PlacerClosed: The placer began to close.
        """
        if self.next is None:
            self.raise_answer()
            raise PlacerClosed("the placer is closing")
        effect, self.next = self.next, None
        self.reported_unreachable = self.forwarded = False
        self.backend = effect.backend
        self.address = effect.address
        self.attempt = effect.attempt
        if self.is_moved:
            self.is_moved = False
            self.reason = None
            if self._moved is not None:
                self._moved.clear()

    def _resume_host(self) -> bool:
        """Resume the host if it is waiting for a backend. Return whether it was."""
        if self.waiting is None:
            return False
        if not self.waiting.done():
            self.waiting.set_result(None)
        return True

    def ask_to_end(self, reason: TerminationReason) -> None:
        """Ask the host to end the connection by setting `moved`.

        Do nothing while the host waits for a backend, or if it was asked before.
        """
        if self.waiting is None and not self.is_moved:
            self.reason = reason
            self.is_moved = True
            if self._moved is not None:
                self._moved.set()


_EFFECT_HANDLERS: dict[type, Callable[[Placement, Any], None]] = {
    OpenBackendConnection: Placement._on_open,
    RejectRequest: Placement._on_answer,
    FailRequest: Placement._on_answer,
    StartRelaying: Placement._on_established,
    AbortAttempt: Placement._on_abort,
    MigrateConnection: Placement._on_migrate,
    CloseClientConnection: Placement._on_close,
    ForwardRequest: Placement._on_forward,
}
