"""One request of a host application, from its first backend to its end."""

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
    """One request at its backend. `backend` and `address` change when another backend is tried.

    Attributes:
        request: the id of the request; 0: not begun.
        backend: the name of the backend.
        address: where it listens.
        attempt: the number of the attempt there.
        is_moved: whether the connection to the backend should end and the client be told to connect again.
        reason: why it should.
        is_up: whether the connection is established: the request has its final answer.
        over: whether nothing more is owed.
        dropped: whether the backend of this attempt may not be used any more.
        ending: set by the host to say how the backend ended the connection.
        answer: the final answer, where it is a rejection or failure.
        next: where the balancer would try next, while the host is still at the last backend.
        waiting: resolved with the next backend or the final answer, while the host waits for it.
        task: the host's task.
        cut: whether that task was cancelled at the end of a close.
    """

    request = 0
    backend = ""
    address = NO_ADDRESS
    attempt = NO_ATTEMPT
    is_moved = False
    is_up = False
    over = False
    dropped = False
    reason: TerminationReason | None = None
    ending: TerminationReason | None = None
    answer: RejectRequest | FailRequest | None = None
    next: OpenBackendConnection | None = None
    waiting: asyncio.Future[None] | None = None
    task: asyncio.Task[Any] | None = None
    cut = False
    _moved: asyncio.Event | None = None  # made when somebody asks for it

    def __init__(self, placer: Placer) -> None:
        self.placer = placer

    @property
    def moved(self) -> asyncio.Event:
        """Set when the connection to the backend should end and the client be told to connect again."""
        if self._moved is None:
            self._moved = asyncio.Event()
            if self.is_moved:
                self._moved.set()
        return self._moved

    @property
    def node(self) -> str:
        """Deprecated name of `backend`."""
        warnings.warn("Placement.node is now called backend", DeprecationWarning, stacklevel=2)
        return self.backend

    # --- what the host reports --------------------------------------------------------------------

    def reached(self) -> None:
        """The connection to the backend is established and the request is about to be sent: it may run from here on.

        Raises as `up` does, and then the request must not be sent.
        """
        self._check_usable()
        if not self.is_up:
            self.placer.post(BackendConnected(self.request, self.attempt))
            self._check_usable()  # its time may have ended in this very call

    def up(self) -> None:
        """The backend has accepted the request, which is its final answer.

        Raises Rejected or Failed where the answer was given before, at the deadline, and BackendDropped where the
        backend may not be used any more.
        """
        self._check_usable()
        if not self.is_up and not self.over:
            event = BackendConnected(self.request, self.attempt)
            self.placer.runtime.post_both(event, BackendAccepted(self.request, self.attempt))
            if not self.is_up:  # the deadline, or the backend's drain, came first
                self._check_usable()

    async def failed(self, ending: TerminationReason = TerminationReason.CONNECT_FAILED) -> None:
        """The backend could not be used: tries another, whose address stands here afterwards.

        Raises Rejected or Failed where none is left. After `up` it ends the request, and the client has to connect
        again.
        """
        self.placer.check()
        self.raise_answer()
        if self.over:
            return
        if self.is_up:
            self.end(ending)
        elif self.next is not None:  # another was named in the meantime
            self.use_next()
        else:
            event = None if self.dropped else AttemptEnded(self.request, self.attempt, ending)
            await self.placer.attempt(self, event)

    def unreachable(self) -> BackendUnreachable:
        """Returns what an application under the middleware raises before its response starts: another is tried."""
        self.ending = TerminationReason.CONNECT_FAILED
        return BackendUnreachable(self.backend)

    def load(self, load: float) -> None:
        """The connection's load now, in milliseconds of work a second."""
        if self.is_up and not self.over:
            self.placer.post(LoadReported(self.request, load))

    def asked(self, messages: int = 1) -> None:
        """The client sent messages that the backend is to answer."""
        if self.is_up and not self.over:
            self.placer.post(ClientDataForwarded(self.request, messages))

    def answered(self, messages: int = 1) -> None:
        """The backend answered messages."""
        if self.is_up and not self.over:
            self.placer.post(BackendDataForwarded(self.request, messages))

    def end(self, ending: TerminationReason = TerminationReason.COMPLETED) -> None:
        """The request is over; called by the context manager where the host has not."""
        if self.over:
            return
        if not self.is_up:
            self.leave()
            return
        self.over = True
        self.placer.post(AttemptEnded(self.request, self.attempt, ending))
        self.placer.forget(self)

    def leave(self) -> None:
        """The client has left, or the host has failed: nothing is owed any more."""
        if not self.over:
            self.over = True
            self.placer.post(ClientDisconnected(self.request))
            self.placer.forget(self)

    def finish(self, clean: bool) -> None:
        """The host is done with it. `clean`: without an error."""
        self.placer.entered.discard(self)
        if self.over:
            return
        if self.ending is not None:
            self.end(self.ending)
        elif not clean:
            self.leave()
        else:
            if not self.is_up and not self.dropped and self.next is None:
                self.up()  # served in one go
            self.end()

    def raise_answer(self) -> None:
        """Raises Rejected or Failed where that is the final answer."""
        if isinstance(self.answer, RejectRequest):
            raise Rejected(self.answer.retry_after_ms / 1000.0)
        if isinstance(self.answer, FailRequest):
            raise Failed

    def _check_usable(self) -> None:
        """Raises where this attempt may not go on."""
        self.placer.check(closing=True)
        self.raise_answer()
        if self.dropped or self.next is not None:
            raise BackendDropped(f"{self.backend} is not to be used any more")

    # --- effects on this request ------------------------------------------------------------------

    def carry_out(self, effect: Effect) -> None:
        """Carries out an effect, as the runtime's front of this one request."""
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
        if not self._resume_host():  # the host is still busy with an attempt whose time is up
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
        """Does nothing: the host sends the request itself."""

    def use_next(self) -> None:
        """Goes to the backend that was named last, or raises the answer that was given instead."""
        if self.next is None:
            self.raise_answer()
            raise PlacerClosed("the placer is closing")
        effect, self.next = self.next, None
        self.backend = effect.backend
        self.address = effect.address
        self.attempt = effect.attempt
        if self.is_moved:
            self.is_moved = False
            self.reason = None
            if self._moved is not None:
                self._moved.clear()

    def _resume_host(self) -> bool:
        """Resumes the host where it waits. Returns whether it does."""
        if self.waiting is None:
            return False
        if not self.waiting.done():
            self.waiting.set_result(None)
        return True

    def ask_to_end(self, reason: TerminationReason) -> None:
        """Sets `moved`, unless the host waits for a backend or was asked before."""
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
