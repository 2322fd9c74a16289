"""Place connections from inside a host application, with the same reducer and balancer as the daemon.

    async with Placer(LibrarySettings(), StaticList(endpoints)) as placer:
        async with placer.place(key=7) as placement:
            reader, writer = await asyncio.open_connection(*placement.address)
            placement.up()
            ...                          # until the work is done or `placement.moved` is set

Each request has exactly one final answer: either `up()` succeeds, or `Rejected`, `Failed` or `PlacerClosed` is raised.
"""

from __future__ import annotations

import asyncio
import logging
import os
import threading
from collections import Counter
from collections.abc import Callable
from enum import StrEnum, unique
from random import SystemRandom
from types import TracebackType
from typing import Any

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.library.errors import PlacerClosed, Rejected, WrongContext
from yarrowspindle.library.placement import Placement
from yarrowspindle.library.settings import LibrarySettings, index_of
from yarrowspindle.library.sources import Source, WatchedList
from yarrowspindle.routing.effects import BackendRemoved, Effect, WatchEndpoints
from yarrowspindle.routing.events import AttemptEnded, EndpointsUpdated, Event, RequestReceived, ShutdownRequested
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.runtime import Clock, Runtime, SystemClock, Timers

log = logging.getLogger("yarrowspindle")
LOG_LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
DEFAULT_CLOSE_TIMEOUT_S = 3.3
CANCEL_TIMEOUT_S = 1.0  # for tasks to end after `close` has cancelled them
CLOSE_POLL_INTERVAL_S = 0.02
CANCEL_POLL_INTERVAL_S = 0.005
SEED_BITS = 63
DEFAULT_MAX_REQUESTS = 100_000


@unique
class PlacerState(StrEnum):
    """The states of a placer's life cycle."""

    NEW = "new"
    OPEN = "open"
    CLOSING = "closing"
    CLOSED = "closed"


class PlacementContext:
    """The context manager of one request: entering it returns the Placement, and leaving it ends the request."""

    def __init__(self, placer: Placer, event: RequestReceived) -> None:
        self.placer = placer
        self.event = event
        self.placement: Placement | None = None

    async def __aenter__(self) -> Placement:
        self.placement = await self.placer.begin(self.event)
        return self.placement

    async def __aexit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        if self.placement is not None:
            self.placement.finish(error_type is None)


class Placer:
    """A relay inside a host application, bound to the event loop, thread and process that start it.

    Use from anywhere else raises WrongContext; use while it is not open raises PlacerClosed.

    Args:
        settings: The settings of the library, or those of the balancer itself.
        source: The source of the endpoint list.
        seed: The seed of the random source; drawn from the operating system if omitted.
        clock: The source of time; the system clock if omitted.
        timers: The timers, for a caller that drives them itself; those of the event loop if omitted.
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
        self.source = source
        self.clock = clock or SystemClock()
        self.seed = SystemRandom().getrandbits(SEED_BITS) if seed is None else seed
        self.class_names = (
            [connection_class.name for connection_class in self.settings.classes]
            if self.settings
            else _numbered_names(self.core)
        )
        self.max_requests = self.settings.jobs_most if self.settings else DEFAULT_MAX_REQUESTS
        self.runtime = Runtime(Reducer(self.core, self.seed, self.clock.now()), self.clock, self._log, timers)
        self.runtime.watch_endpoints = self._watch
        if isinstance(self.clock, SystemClock):
            self.runtime.wall_step_ms = self.clock.wall_step_ms
        self.post: Callable[[Event], None] = self.runtime.post
        self.runtime.fronts.append(self)
        self.placements: dict[int, Placement] = {}
        self.entered: set[Placement] = set()  # from `begin` to `finish`, also if the request has ended before
        self.counts: Counter[str] = Counter()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.thread = 0
        self.process = 0
        self.state = PlacerState.NEW
        self.close_task: asyncio.Task[None] | None = None
        self.close_deadline = 0.0

    @property
    def reducer(self) -> Reducer:
        """The reducer, which makes all decisions."""
        return self.runtime.reducer

    # --- start and close --------------------------------------------------------------------------

    async def __aenter__(self) -> Placer:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def start(self) -> None:
        """Open the placer in the running event loop. Do nothing if it is open.

        Raises:
            PlacerClosed: The placer was closed before.
            WrongContext: The placer was started in another event loop, thread or process.
        """
        if self.state is PlacerState.OPEN:
            self.check()
            return
        if self.state is not PlacerState.NEW:
            raise PlacerClosed("this placer was closed and cannot be started again; create a new one")
        self.loop = asyncio.get_running_loop()
        self.thread = threading.get_ident()
        self.process = os.getpid()
        self.state = PlacerState.OPEN
        self.runtime.start()
        if self.source is not None:
            self.source.open(self._on_endpoints, lambda reason: log.warning("endpoint list: %s", reason))

    async def close(self, within_s: float = DEFAULT_CLOSE_TIMEOUT_S) -> None:
        """Close the placer within `within_s` seconds, plus one second for cancelled tasks to end.

        No new requests are placed, and hosts that wait for a backend get PlacerClosed. Established connections are
        migrated at times spread over the interval, as in a planned restart of the daemon. At the end of the interval,
        the tasks that have ignored `moved` are cancelled. A second call, for example at a second SIGINT, may shorten
        the interval.
        """
        if self.state in (PlacerState.NEW, PlacerState.CLOSED):
            self.state = PlacerState.CLOSED
            return
        self.check(closing=True)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max(within_s, 0.0)
        self.close_deadline = deadline if self.close_task is None else min(self.close_deadline, deadline)
        if self.close_task is None:
            self._begin_close(within_s)
            self.close_task = loop.create_task(self._close(loop, asyncio.current_task()))
        await asyncio.shield(self.close_task)

    def _begin_close(self, within_s: float) -> None:
        self.state = PlacerState.CLOSING
        if self.source is not None:
            self.source.close()
        for placement in list(self.placements.values()):
            if placement.waiting is not None and not placement.waiting.done():
                placement.waiting.set_exception(PlacerClosed("the placer is closing"))
                placement.leave()
        self.runtime.post(ShutdownRequested(within_s * 1000.0))

    async def _close(self, loop: asyncio.AbstractEventLoop, close_caller: asyncio.Task[Any] | None) -> None:
        while self.entered and loop.time() < self.close_deadline:
            await asyncio.sleep(min(CLOSE_POLL_INTERVAL_S, max(self.close_deadline - loop.time(), 0.0)))
        for placement in list(self.entered):  # they have not ended, or were not asked to end yet
            self._cancel(placement, close_caller)
        cancel_deadline = loop.time() + CANCEL_TIMEOUT_S
        while self.entered and loop.time() < cancel_deadline:
            await asyncio.sleep(CANCEL_POLL_INTERVAL_S)
        for placement in list(self.placements.values()):
            placement.leave()
        self.state = PlacerState.CLOSED
        self.runtime.close()

    def _cancel(self, placement: Placement, close_caller: asyncio.Task[Any] | None) -> None:
        placement.leave()
        placement.ask_to_end(TerminationReason.MIGRATED)
        if placement.task is not None and placement.task is not close_caller:
            self.counts["cut"] += 1
            placement.cut = True
            placement.task.cancel()

    def check(self, closing: bool = False) -> None:
        """Raise an error unless the placer is open and belongs to the calling event loop, thread and process.

        Args:
            closing: Whether the call is also allowed while the placer is closing and after its close.

        Raises:
            PlacerClosed: The placer is not open.
            WrongContext: Another event loop, thread or process started the placer.
        """
        is_open = self.state is PlacerState.OPEN
        if is_open and self.loop is asyncio.get_running_loop() and self.process == os.getpid():
            return
        if self.state is PlacerState.NEW:
            raise PlacerClosed("this placer has not been started: use `async with placer`, or await placer.start()")
        if os.getpid() != self.process:
            raise WrongContext(
                "this placer was started by another process; create one in each worker, with a number of its own"
            )
        if threading.get_ident() != self.thread:
            raise WrongContext("this placer belongs to another thread; call it through loop.call_soon_threadsafe")
        if asyncio.get_running_loop() is not self.loop:
            raise WrongContext("this placer belongs to another event loop; create one for each loop")
        if not is_open and not closing:
            raise PlacerClosed("this placer is closing or closed and places no more requests")

    # --- placing ----------------------------------------------------------------------------------

    def place(self, **request: Any) -> PlacementContext:
        """Return the context manager that places a request: `async with placer.place(key=7) as placement`.

        The arguments are those of `arrival`. Entering the context raises the errors of `begin`.
        """
        return PlacementContext(self, self.arrival(**request))

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
        """Return the event of a new request, to be passed to `begin`.

        Args:
            key: The id of the client; 0 if it has none.
            cls: The name or number of the connection class.
            tenant: The name or number of the tenant.
            group: The id of the client's group; 0 if it has none.
            load: The expected load in milliseconds of work per second; 0 if it is not known.
            deadline: The time in seconds after which the client gives up; that of the class if omitted.
            returned: Whether the client reconnects after a migration or a broken connection.

        Raises:
            SettingError: The class or tenant is unknown.
        """
        class_number = index_of(self.class_names, cls, "cls") if cls else 0
        tenants = self.settings.tenants if self.settings else ()
        tenant_number = index_of(tenants, tenant, "tenant") if tenant else 0
        remaining_ms = self.core.classes[class_number].deadline_ms if deadline is None else max(deadline, 0.0) * 1000.0
        return RequestReceived(0, remaining_ms, class_number, tenant_number, key, load, group, False, returned)

    async def begin(self, event: RequestReceived) -> Placement:
        """Return a request with its first backend. The caller has to end it with `Placement.finish`.

        Raises:
            Rejected: No backend has capacity, or the placer has its maximum number of requests.
            Failed: The request has failed.
            PlacerClosed: The placer is not open, or closes while the request waits.
            WrongContext: The placer was started in another event loop, thread or process.
        """
        self.check()
        if len(self.placements) >= self.max_requests:  # bounds the memory
            self.counts["over_bound"] += 1
            raise Rejected(self.core.max_retry_after_ms / 1000.0)
        placement = Placement(self)
        placement.task = asyncio.current_task()
        self.arrive(placement, event)
        if placement.next is not None:  # the usual case: the balancer has chosen a backend at once
            placement.use_next()
        else:
            await self.attempt(placement, None)
        self.entered.add(placement)
        return placement

    def arrive(self, placement: Placement, event: RequestReceived) -> None:
        """Post a new request; the placement receives its effects."""
        placement.request = event.request = self.runtime.new_request(placement)
        self.placements[placement.request] = placement
        self.counts["jobs"] += 1
        self.post(event)

    async def attempt(self, placement: Placement, event: AttemptEnded | None) -> None:
        """Post the end of the last attempt, if any, and wait for the next backend.

        Raises:
            Rejected: The request was rejected instead.
            Failed: The request failed instead.
            PlacerClosed: The placer closes.
        """
        if event is not None:
            self.post(event)
        if placement.next is None and placement.answer is None:
            await self._wait_for_backend(placement)
        placement.use_next()

    @staticmethod
    async def _wait_for_backend(placement: Placement) -> None:
        placement.waiting = asyncio.get_running_loop().create_future()
        try:
            await placement.waiting
        except BaseException:
            placement.leave()
            raise
        finally:
            if placement.waiting.done() and not placement.waiting.cancelled():
                # Mark the exception as retrieved, as the wait may have been cancelled at the same time.
                placement.waiting.exception()
            placement.waiting = None

    def forget(self, placement: Placement) -> None:
        """Remove a request that has ended."""
        self.placements.pop(placement.request, None)
        self.runtime.forget(placement.request)

    def carry_out(self, effect: Effect) -> None:
        """Carry out an effect that concerns no request; the placer is a front of the runtime."""
        if isinstance(effect, BackendRemoved):
            for placement in [
                candidate
                for candidate in self.placements.values()
                if candidate.backend == effect.backend and candidate.is_up
            ]:
                placement.ask_to_end(TerminationReason.BACKEND_REMOVED)

    # --- endpoint list, log and counters ----------------------------------------------------------

    def _on_endpoints(self, update: EndpointsUpdated) -> None:
        if self.state is PlacerState.OPEN:
            if update.kind is not ListKind.CONFIRMED:
                self.counts["lists"] += 1
            self.post(update)

    def _watch(self, effect: WatchEndpoints) -> None:
        if self.source is None or self.state is not PlacerState.OPEN:
            return
        if effect.renew and isinstance(self.source, WatchedList):
            self.source.renew(effect.version)
        else:
            self.source.ask(effect.version)

    def _log(self, level: str, text: str) -> None:
        log.log(LOG_LEVELS[level], text, exc_info=level == "error")

    def counters(self) -> dict[str, int]:
        """Return the numbers of requests, answers, migrations, stalls and lists since the start, under stable names."""
        return {**self.counts, **self.runtime.counts, "open": len(self.placements)}


def _numbered_names(settings: Settings) -> list[str]:
    """Return the numbers of the classes as names, for settings without class names."""
    return [str(number) for number in range(len(settings.classes))]
