"""The wiring round the reducer: events in, effects out to timers, the machine list, and the fronts."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from loguru import logger

from yarrowspindle.interface import ListKind
from yarrowspindle.program.clock import Clock, Timers
from yarrowspindle.program.config import Config
from yarrowspindle.program.metrics import Metrics
from yarrowspindle.routing.messages import (
    Effect,
    Event,
    ListTold,
    NodeGone,
    Note,
    Stop,
    Unwake,
    Wake,
    Watch,
    Woke,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.transport.machine_list import WatchSide

WATCH_CONNECT_S = 2.0


class Front(Protocol):
    def carry_out(self, effect: Effect) -> None: ...


class Hub:
    def __init__(self, config: Config, clock: Clock) -> None:
        self.config, self.clock = config, clock
        self.reducer = Reducer(config.settings, config.seed, clock.now())
        self.metrics = Metrics(self.reducer)
        self.timers = Timers(lambda what: self.post(Woke(what)))
        self.fronts: list[Front] = []
        self.owners: dict[int, Front] = {}
        self.jobs = 0
        self.watch: WatchSide | None = None
        self.watching: asyncio.Task[None] | None = None
        self.queue: deque[Event] = deque()
        self.busy = False

    def start(self) -> None:
        self.post(self.config.known)

    def stop(self, within_ms: float) -> None:
        self.post(Stop(within_ms))

    def new_job(self, front: Front) -> int:
        self.jobs += 1
        self.owners[self.jobs] = front
        return self.jobs

    def forget(self, job: int) -> None:
        self.owners.pop(job, None)

    def post(self, event: Event) -> None:
        """One event at a time: what an effect brings about at once waits until all effects are carried out."""
        self.queue.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.queue:
                for effect in self._step(self.queue.popleft()):
                    self._carry_out(effect)
        finally:
            self.busy = False

    def _step(self, event: Event) -> list[Effect]:
        self.metrics.event(event)
        try:
            return self.reducer.step(self.clock.now(), event)
        except Exception:  # one event that the core cannot take must not end the others' connections
            logger.exception("the reducer failed on {!r}", event)
            return self.reducer.take_effects()

    def _carry_out(self, effect: Effect) -> None:
        try:
            if isinstance(effect, Wake):
                self.timers.set(effect.delay_ms, effect.what)
            elif isinstance(effect, Unwake):
                self.timers.cancel(effect.what)
            elif isinstance(effect, Watch):
                self._watch(effect.version)
            elif isinstance(effect, Note):
                logger.info("{}", effect.text)
            elif isinstance(effect, NodeGone):
                for front in self.fronts:
                    front.carry_out(effect)
            elif effect.job in self.owners:
                self.metrics.effect(effect)
                self.owners[effect.job].carry_out(effect)
        except Exception:
            logger.exception("an effect failed: {!r}", effect)

    # --- the machine list -----------------------------------------------------------------------

    def list_told(self, told: ListTold) -> None:
        self.post(told)

    def watch_over(self, watch: WatchSide, why: str) -> None:
        if self.watch is watch:
            self.watch = None
            logger.warning("the watch on the machine list is over: {}", why)
            self.post(ListTold(ListKind.FAILED))

    def _watch(self, version: int) -> None:
        if self.watch is None and (self.watching is None or self.watching.done()):
            self.watching = asyncio.get_running_loop().create_task(self._open_watch(version))

    async def _open_watch(self, version: int) -> None:
        host, port = self.config.discovery
        watch = self.watch = WatchSide(self, self.config.names, f"{host}:{port}", version)
        try:
            loop = asyncio.get_running_loop()
            await asyncio.wait_for(loop.create_connection(lambda: watch, host, port), WATCH_CONNECT_S)
        except OSError as error:  # a time-out among them
            watch.end(f"no connection: {error!r}")
