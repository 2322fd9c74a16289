"""Places connections from inside a host application, by the same reducer and module as the daemon.

    async with Placer(LibrarySettings(), StaticList(machines)) as placer:
        async with placer.place(key=7) as placement:
            reader, writer = await asyncio.open_connection(*placement.address)
            placement.up()
            ...                          # until `placement.moved` is set, or the work is done

A job has exactly one final answer: `up()` was called, or `Refused`, `Failed` or `Closing` was raised.
"""

from __future__ import annotations

import asyncio
import logging
import os
import threading
from collections import Counter
from collections.abc import Callable
from random import SystemRandom
from types import TracebackType
from typing import Any

from yarrowspindle.decisions.settings import Settings
from yarrowspindle.library.errors import (
    BackendDropped,
    BackendUnreachable,
    Failed,
    PlacerClosed,
    Rejected,
    WrongContext,
)
from yarrowspindle.library.settings import LibrarySettings, index_of
from yarrowspindle.library.sources import Source
from yarrowspindle.routing.effects import (
    AbortAttempt,
    BackendRemoved,
    CloseClientConnection,
    Effect,
    FailRequest,
    ForwardRequest,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
    WatchEndpoints,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    BackendDataForwarded,
    ClientDataForwarded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    LoadReported,
    RequestReceived,
    ShutdownRequested,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.runtime import Clock, Runtime, SystemClock, Timers

log = logging.getLogger("yarrowspindle")
LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
CLOSE_S = 3.3
CUT_S = 1.0  # for bodies that are cancelled at the end of a close

NOWHERE = ("", 0)


class Placement:
    """One job at its node. `node` and `address` change when another node is tried.

    moved: set when the connection to the node should end and the client be told to come again; `reason` says why.
    """

    request = 0
    backend, address, attempt = "", NOWHERE, -1
    event: asyncio.Event | None = None  # behind `moved`, made when somebody asks for it
    is_moved = is_up = over = dropped = False
    reason: TerminationReason | None = None
    ending: TerminationReason | None = None  # what the host says of the end to come
    answer: RejectRequest | FailRequest | None = None
    next: OpenBackendConnection | None = (
        None  # where the module would try next, while the host is still at the last node
    )
    waiting: asyncio.Future[None] | None = None
    task: asyncio.Task[Any] | None = None
    cut = False  # its task was cancelled at the end of a close

    def __init__(self, placer: Placer) -> None:
        self.placer = placer

    @property
    def moved(self) -> asyncio.Event:
        if self.event is None:
            self.event = asyncio.Event()
            if self.is_moved:
                self.event.set()
        return self.event

    def reached(self) -> None:
        """The connection to the node has come up and the job is about to be sent: from here on it may have run.

        Raises as `up` does."""
        self._usable()
        if not self.is_up:
            self.placer.post(BackendConnected(self.request, self.attempt))

    def up(self) -> None:
        """The connection stands: the job's final answer.

        Raises Refused or Failed where the answer was given before, at the deadline, and NodeDropped where the node
        may not be used any more."""
        self._usable()
        if not self.is_up and not self.over:
            self.placer.runtime.post_both(
                BackendConnected(self.request, self.attempt), BackendAccepted(self.request, self.attempt)
            )
            if not self.is_up:  # its time was up, or the node's, as we looked
                self._usable()

    async def failed(self, ending: TerminationReason = TerminationReason.CONNECT_FAILED) -> None:
        """The node could not be used: tries another, whose address stands here afterwards.

        Raises Refused or Failed where none is left. After `up` it ends the job, and the client has to come again.
        """
        self.placer.check()
        self.raise_answered()
        if self.over:
            return
        if self.is_up:
            self.end(ending)
        elif self.next is not None:  # another has been named in the meantime
            self.at_next()
        else:
            event = None if self.dropped else AttemptEnded(self.request, self.attempt, ending)
            await self.placer.attempt(self, event)

    def unreachable(self) -> BackendUnreachable:
        """To be raised by an application under the middleware before its response starts: another node is tried."""
        self.ending = TerminationReason.CONNECT_FAILED
        return BackendUnreachable(self.backend)

    def load(self, load: float) -> None:
        """The connection's load now, in milliseconds of work a second."""
        if self.is_up and not self.over:
            self.placer.post(LoadReported(self.request, load))

    def asked(self, messages: int = 1) -> None:
        """The client sent messages that the node is to answer."""
        if self.is_up and not self.over:
            self.placer.post(ClientDataForwarded(self.request, messages))

    def answered(self, messages: int = 1) -> None:
        """The node answered them."""
        if self.is_up and not self.over:
            self.placer.post(BackendDataForwarded(self.request, messages))

    def end(self, ending: TerminationReason = TerminationReason.COMPLETED) -> None:
        """The job is over; called by the context manager where the host has not."""
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

    def raise_answered(self) -> None:
        if isinstance(self.answer, RejectRequest):
            raise Rejected(self.answer.retry_after_ms / 1000.0)
        if isinstance(self.answer, FailRequest):
            raise Failed()

    def _usable(self) -> None:
        self.placer.check(closing=True)
        if self.answer is not None:
            self.raise_answered()
        if self.dropped or self.next is not None:
            raise BackendDropped(f"{self.backend} is not to be used any more")

    # --- effects on this job --------------------------------------------------------------------

    def carry_out(self, effect: Effect) -> None:
        """As the runtime's front of this one job."""
        TOLD[type(effect)](self, effect)

    def _told_reach(self, effect: OpenBackendConnection) -> None:
        self.dropped, self.next = False, effect
        self._wake()

    def _told_answer(self, effect: RejectRequest | FailRequest) -> None:
        self.answer, self.over, self.next = effect, True, None
        self.placer.counts["refused" if isinstance(effect, RejectRequest) else "failed"] += 1
        self.placer.forget(self)
        if not self._wake():  # the host is still busy with an attempt whose time is up
            self.ask_to_end(TerminationReason.DEADLINE_EXCEEDED)

    def _told_join(self, effect: StartRelaying) -> None:
        self.is_up = True
        self.placer.counts["up"] += 1

    def _told_drop(self, effect: AbortAttempt) -> None:
        self.dropped, self.next = True, None
        self.ask_to_end(TerminationReason.NOT_SENT)

    def _told_end(self, effect: MigrateConnection | CloseClientConnection) -> None:
        moved = isinstance(effect, MigrateConnection)
        self.over = True
        self.placer.counts["moved"] += moved
        self.placer.forget(self)
        self.ask_to_end(TerminationReason.MIGRATED if moved else effect.reason)

    def at_next(self) -> None:
        """Goes to the node that was named last, or raises the answer that was given instead."""
        if self.next is None:
            self.raise_answered()
            raise PlacerClosed("the placer is closing")
        reach, self.next = self.next, None
        self.backend, self.address, self.attempt = reach.backend, reach.address, reach.attempt
        if self.is_moved:
            self.is_moved, self.reason = False, None
            if self.event is not None:
                self.event.clear()

    def _wake(self) -> bool:
        if self.waiting is None:
            return False
        if not self.waiting.done():
            self.waiting.set_result(None)
        return True

    def ask_to_end(self, why: TerminationReason) -> None:
        if self.waiting is None and not self.is_moved:
            self.reason, self.is_moved = why, True
            if self.event is not None:
                self.event.set()

    def finish(self, clean: bool) -> None:
        """The host is done with it, by an error or without one."""
        self.placer.inside.discard(self)
        if self.over:
            return
        if self.ending is not None:
            self.end(self.ending)
        elif clean:
            if not self.is_up and not self.dropped and self.next is None:
                self.up()  # served in one go
            self.end()
        else:
            self.leave()


def nothing(placement: Placement, effect: Effect) -> None:
    """`Ask`: the host sends the job itself."""


TOLD: dict[type, Callable[[Placement, Any], None]] = {
    OpenBackendConnection: Placement._told_reach,
    RejectRequest: Placement._told_answer,
    FailRequest: Placement._told_answer,
    StartRelaying: Placement._told_join,
    AbortAttempt: Placement._told_drop,
    MigrateConnection: Placement._told_end,
    CloseClientConnection: Placement._told_end,
    ForwardRequest: nothing,
}


class Placing:
    """What `place` returns: enter it for the Placement, leave it and the job is over."""

    def __init__(self, placer: Placer, event: RequestReceived) -> None:
        self.placer, self.event = placer, event
        self.placement: Placement | None = None

    async def __aenter__(self) -> Placement:
        self.placement = await self.placer.begin(self.event)
        return self.placement

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.placement is not None:
            self.placement.finish(kind is None)


class Placer:
    """One relay inside a host application: it belongs to the loop, thread and process that start it.

    settings: LibrarySettings, or the core's own Settings. source: where the machine list comes from. seed: of the
    draws; drawn by the system where it is left out. Raises WrongContext on use elsewhere, Closing on use while it is
    not open.
    """

    def __init__(
        self,
        settings: LibrarySettings | Settings,
        source: Source | None = None,
        *,
        seed: int | None = None,
        clock: Clock | None = None,
        timers: Timers | None = None,
    ) -> None:
        self.settings = settings if isinstance(settings, LibrarySettings) else None
        self.core = settings.core() if isinstance(settings, LibrarySettings) else settings
        self.source, self.clock = source, clock or SystemClock()
        self.seed = SystemRandom().getrandbits(63) if seed is None else seed
        self.class_names = [c.name for c in self.settings.classes] if self.settings else range_names(self.core)
        self.requests_most = self.settings.jobs_most if self.settings else 100_000
        self.runtime = Runtime(Reducer(self.core, self.seed, self.clock.now()), self.clock, self._log, timers)
        self.runtime.watch = self._ask
        if isinstance(self.clock, SystemClock):
            self.runtime.wall_step_ms = self.clock.wall_step_ms
        self.post: Callable[[Event], None] = self.runtime.post
        self.runtime.fronts.append(self)
        self.placements: dict[int, Placement] = {}
        self.inside: set[Placement] = set()  # whose bodies are running, also when their jobs are over
        self.counts: Counter[str] = Counter()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.thread = self.process = 0
        self.state = "new"
        self.closing: asyncio.Task[None] | None = None
        self.close_at = 0.0

    @property
    def reducer(self) -> Reducer:
        return self.runtime.reducer

    # --- from start to close --------------------------------------------------------------------

    async def __aenter__(self) -> Placer:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def start(self) -> None:
        """Opens it in this loop; a second call does nothing while it is open."""
        if self.state == "open":
            self.check()
            return
        if self.state != "new":
            raise PlacerClosed("this placer was closed; make a new one")
        self.loop = asyncio.get_running_loop()
        self.thread, self.process = threading.get_ident(), os.getpid()
        self.state = "open"
        self.runtime.start()
        if self.source is not None:
            self.source.open(self._listed, lambda why: log.warning("machine list: %s", why))

    async def close(self, within_s: float = CLOSE_S) -> None:
        """Ends it within this time and a second more: nobody new, who waits gets Closing, who stands is moved.

        Standing connections are spread over the time as at a planned restart of the daemon; a body that ignores
        `moved` is cancelled at its end. A second call with a shorter time (a second SIGINT, say) cuts it short.
        """
        if self.state in ("new", "closed"):
            self.state = "closed"
            return
        self.check(closing=True)
        loop = asyncio.get_running_loop()
        end = loop.time() + max(within_s, 0.0)
        self.close_at = end if self.closing is None else min(self.close_at, end)
        if self.closing is None:
            self.state = "closing"
            if self.source is not None:
                self.source.close()
            for placement in list(self.placements.values()):
                if placement.waiting is not None and not placement.waiting.done():
                    placement.waiting.set_exception(PlacerClosed("the placer is closing"))
                    placement.leave()
            self.runtime.post(ShutdownRequested(within_s * 1000.0))
            self.closing = loop.create_task(self._close(loop, asyncio.current_task()))
        await asyncio.shield(self.closing)

    async def _close(self, loop: asyncio.AbstractEventLoop, closer: asyncio.Task[Any] | None) -> None:
        while self.inside and loop.time() < self.close_at:
            await asyncio.sleep(min(0.02, max(self.close_at - loop.time(), 0.0)))
        for placement in list(self.inside):  # they were asked to end and have not, or were not asked yet
            placement.leave()
            placement.ask_to_end(TerminationReason.MIGRATED)
            if placement.task is not None and placement.task is not closer:
                self.counts["cut"] += 1
                placement.cut = True
                placement.task.cancel()
        end = loop.time() + CUT_S
        while self.inside and loop.time() < end:
            await asyncio.sleep(0.005)
        for placement in list(self.placements.values()):
            placement.leave()
        self.state = "closed"
        self.runtime.close()

    def check(self, closing: bool = False) -> None:
        """Raises WrongContext or Closing where this call may not be made."""
        if self.state == "open" and self.loop is asyncio.get_running_loop() and self.process == os.getpid():
            return
        if self.state == "new":
            raise PlacerClosed("this placer has not been started: use it as `async with`, or await its start()")
        if os.getpid() != self.process:
            raise WrongContext("this placer was started by another process; each worker makes its own, numbered one")
        if threading.get_ident() != self.thread:
            raise WrongContext("this placer belongs to another thread; use loop.call_soon_threadsafe")
        if asyncio.get_running_loop() is not self.loop:
            raise WrongContext("this placer belongs to another event loop")
        if self.state != "open" and not closing:
            raise PlacerClosed("the placer is closing")

    # --- placing --------------------------------------------------------------------------------

    def place(self, **request: Any) -> Placing:
        """A job: `async with placer.place(key=7) as placement`; takes what `arrival` takes.

        Entering raises Refused, Failed or Closing."""
        return Placing(self, self.arrival(**request))

    def arrival(
        self,
        *,
        key: int = 0,
        cls: int | str = 0,
        tenant: int | str = 0,
        group: int = 0,
        load: float = 0.0,
        deadline: float | None = None,
        returned: bool = False,
    ) -> RequestReceived:
        """A job as `begin` takes it. Raises SettingError on a bad value.

        key, group: whole numbers that name the submitter and its group, 0 for none. cls, tenant: by name or number.
        load: a hint, in milliseconds of work a second. deadline: seconds until the client gives up; the class's where
        it is left out. returned: the client was moved or broken off before.
        """
        number = index_of(self.class_names, cls, "cls") if cls else 0
        of = index_of(self.settings.tenants if self.settings else (), tenant, "tenant") if tenant else 0
        left = self.core.classes[number].deadline_ms if deadline is None else max(deadline, 0.0) * 1000.0
        return RequestReceived(0, left, number, of, key, load, group, False, returned)

    async def begin(self, event: RequestReceived) -> Placement:
        """A job's first node; raises Refused, Failed or Closing. Whoever calls it ends the job."""
        self.check()
        if len(self.placements) >= self.requests_most:  # a bound on memory, whatever the host does
            self.counts["over_bound"] += 1
            raise Rejected(self.core.max_retry_after_ms / 1000.0)
        placement = Placement(self)
        placement.task = asyncio.current_task()
        self.arrive(placement, event)
        if placement.next is not None:  # the usual case: there is a node at once
            placement.at_next()
        else:
            await self.attempt(placement, None)
        self.inside.add(placement)
        return placement

    def arrive(self, placement: Placement, event: RequestReceived) -> None:
        """Takes a new job on; its effects go to the placement."""
        placement.request = event.request = self.runtime.new_request(placement)
        self.placements[placement.request] = placement
        self.counts["jobs"] += 1
        self.post(event)

    async def attempt(self, placement: Placement, event: AttemptEnded | None) -> None:
        """Posts the event and waits for the next node; raises Refused, Failed or Closing."""
        if event is not None:
            self.post(event)
        if placement.next is None and placement.answer is None:
            placement.waiting = asyncio.get_running_loop().create_future()
            try:
                await placement.waiting
            except BaseException:
                placement.leave()
                raise
            finally:
                if placement.waiting.done() and not placement.waiting.cancelled():
                    placement.waiting.exception()  # seen, also where the wait was cancelled in the same moment
                placement.waiting = None
        placement.at_next()

    def forget(self, placement: Placement) -> None:
        self.placements.pop(placement.request, None)
        self.runtime.forget(placement.request)

    def carry_out(self, effect: Effect) -> None:
        """As the runtime's front: what concerns no job."""
        if isinstance(effect, BackendRemoved):
            for placement in [p for p in self.placements.values() if p.backend == effect.backend and p.is_up]:
                placement.ask_to_end(TerminationReason.BACKEND_REMOVED)

    # --- the machine list, the log, counters ----------------------------------------------------

    def _listed(self, told: EndpointsUpdated) -> None:
        if self.state == "open":
            self.counts["lists"] += 1
            self.post(told)

    def _ask(self, effect: WatchEndpoints) -> None:
        if self.source is not None and self.state == "open":
            self.source.ask(effect.version)

    def _log(self, level: str, text: str) -> None:
        log.log(LEVELS[level], text, exc_info=level == "error")

    def counters(self) -> dict[str, int]:
        """Jobs, answers, moves, stalls, lists: since the start; names are stable."""
        return {**self.counts, **self.runtime.counts, "open": len(self.placements)}


def range_names(core: Settings) -> list[str]:
    return [str(i) for i in range(len(core.classes))]
