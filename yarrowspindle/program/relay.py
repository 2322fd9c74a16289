"""The wiring: reports of the transports become events, effects of the reducer become calls on transports."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from loguru import logger

from yarrowspindle.interface import ListKind
from yarrowspindle.program.clock import Clock, Timers
from yarrowspindle.program.config import Config
from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, Open, hexadecimal
from yarrowspindle.routing.ending import Ending
from yarrowspindle.routing.messages import (
    Answered,
    Ask,
    Asked,
    AttemptOver,
    Close,
    Deny,
    Drop,
    Effect,
    Event,
    JobArrived,
    Join,
    ListTold,
    LoadTold,
    Move,
    NodeReached,
    NodeUp,
    Note,
    Reach,
    Requeue,
    Stop,
    SubmitterLeft,
    Unwake,
    Wake,
    Watch,
    Woke,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.transport.machine_list import WatchSide
from yarrowspindle.transport.node import NodeSide
from yarrowspindle.transport.submitter import Submitter

WATCH_CONNECT_S = 2.0


class Relay:
    def __init__(self, config: Config, clock: Clock) -> None:
        self.config, self.clock = config, clock
        self.reducer = Reducer(config.settings, config.seed, clock.now())
        self.timers = Timers(lambda what: self.post(Woke(what)))
        self.submitters: dict[int, Submitter] = {}
        self.opened: dict[int, Open] = {}  # lines of jobs that may still be sent on
        self.nodes: dict[int, NodeSide] = {}  # of each job's attempt that is out, or its standing connection
        self.reaching: dict[int, asyncio.Task[None]] = {}
        self.watch: WatchSide | None = None
        self.watching: asyncio.Task[None] | None = None
        self.jobs = 0
        self.queue: deque[Event] = deque()
        self.busy = False
        self.effects: dict[type, Callable[[Any], None]] = {
            Reach: self._reach, Ask: self._ask, Drop: self._drop, Join: self._join, Requeue: self._requeue,
            Deny: self._deny, Move: self._move, Close: self._close, Watch: self._watch,
            Wake: lambda e: self.timers.set(e.delay_ms, e.what), Unwake: lambda e: self.timers.cancel(e.what),
            Note: lambda e: logger.info("{}", e.text),
        }  # fmt: skip

    def start(self) -> None:
        self.post(self.config.known)

    def stop(self, within_ms: float) -> None:
        self.post(Stop(within_ms))

    @property
    def idle(self) -> bool:
        return not self.reducer.jobs

    def post(self, event: Event) -> None:
        """One event at a time: what an effect brings about at once waits until all effects are carried out."""
        self.queue.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.queue:
                event = self.queue.popleft()
                for effect in self._step(event):
                    self._carry_out(effect)
        finally:
            self.busy = False

    def _step(self, event: Event) -> list[Effect]:
        try:
            return self.reducer.step(self.clock.now(), event)
        except Exception:  # one event that the core cannot take must not end the others' connections
            logger.exception("the reducer failed on {!r}", event)
            effects, self.reducer.effects = self.reducer.effects, []
            return effects

    def _carry_out(self, effect: Effect) -> None:
        try:
            self.effects[type(effect)](effect)
        except Exception:
            logger.exception("an effect failed: {!r}", effect)

    # --- reports of submitters ------------------------------------------------------------------

    def job_came(self, side: Submitter, opened: Open) -> None:
        config = self.config
        try:
            cls, tenant = config.classes.index(opened.get("c")), opened.get("t")
        except ValueError:
            raise LineError("a class that the settings do not name") from None
        self.jobs += 1
        side.job = self.jobs
        self.submitters[side.job], self.opened[side.job] = side, opened
        group = opened.get("g")
        self.post(JobArrived(
            side.job, opened.number("d"), cls, config.tenants.index(tenant) if tenant in config.tenants else 0,
            opened.key, opened.number("h"), hexadecimal(group) if group else 0,
            opened.get("r") == "1", opened.get("again") == "1", opened.get("at"),
        ))  # fmt: skip

    def job_asked(self, job: int) -> None:
        self.post(Asked(job))

    def job_left(self, job: int) -> None:
        self.post(SubmitterLeft(job))

    def submitter_lost(self, side: Submitter) -> None:
        if self.submitters.get(side.job) is side:
            self._forget(side.job)

    def bad_line(self, text: str) -> None:
        logger.warning("{}", text)

    # --- reports of execute nodes ---------------------------------------------------------------

    def node_reached(self, side: NodeSide) -> None:
        self.post(NodeReached(side.job, side.attempt))

    def node_up(self, side: NodeSide) -> None:
        self.post(NodeUp(side.job, side.attempt))

    def node_answered(self, job: int) -> None:
        self.post(Answered(job))

    def node_load(self, job: int, load: float) -> None:
        self.post(LoadTold(job, load / 1000.0))

    def node_over(self, side: NodeSide, ending: Ending) -> None:
        if self.nodes.get(side.job) is side:
            del self.nodes[side.job]
        self.post(AttemptOver(side.job, side.attempt, ending))

    # --- the machine list -----------------------------------------------------------------------

    def list_told(self, told: ListTold) -> None:
        self.post(told)

    def watch_over(self, watch: WatchSide, why: str) -> None:
        if self.watch is watch:
            self.watch = None
            logger.warning("the watch on the machine list is over: {}", why)
            self.post(ListTold(ListKind.FAILED))

    def _watch(self, effect: Watch) -> None:
        if self.watch is None and (self.watching is None or self.watching.done()):
            self.watching = asyncio.get_running_loop().create_task(self._open_watch(effect.version))

    async def _open_watch(self, version: int) -> None:
        host, port = self.config.discovery
        watch = WatchSide(self, self.config.names, f"{host}:{port}", version)
        self.watch = watch
        try:
            loop = asyncio.get_running_loop()
            await asyncio.wait_for(loop.create_connection(lambda: watch, host, port), WATCH_CONNECT_S)
        except OSError as error:  # a time-out among them
            watch.end(f"no connection: {error!r}")

    # --- effects on execute nodes ---------------------------------------------------------------

    def _reach(self, effect: Reach) -> None:
        side = NodeSide(self, effect.job, effect.attempt)
        self.nodes[effect.job] = side
        self.reaching[effect.job] = asyncio.get_running_loop().create_task(self._connect(side, effect))

    async def _connect(self, side: NodeSide, effect: Reach) -> None:
        loop = asyncio.get_running_loop()
        host, port = effect.address
        try:
            await asyncio.wait_for(loop.create_connection(lambda: side, host, port), effect.within_ms / 1000.0)
        except OSError:
            side.closing = True
            if not side.told:
                side.told = True
                self.node_over(side, Ending.UNREACHED)
        finally:
            if self.reaching.get(effect.job) is asyncio.current_task():
                del self.reaching[effect.job]

    def _ask(self, effect: Ask) -> None:
        side, opened = self.nodes.get(effect.job), self.opened.get(effect.job)
        if side is not None and opened is not None:
            side.ask(opened.forward(effect.left_ms))

    def _drop(self, effect: Drop) -> None:
        side = self.nodes.pop(effect.job, None)
        if side is not None:
            side.drop()
        task = self.reaching.pop(effect.job, None)
        if task is not None:
            task.cancel()

    # --- effects on submitters ------------------------------------------------------------------

    def _join(self, effect: Join) -> None:
        submitter, node = self.submitters.get(effect.job), self.nodes.get(effect.job)
        self.opened.pop(effect.job, None)
        if submitter is not None and node is not None:
            submitter.join(node, node.first)
            node.flow()

    def _answer(self, job: int, line: bytes) -> None:
        submitter = self.submitters.get(job)
        self._forget(job)
        if submitter is not None:
            submitter.finish(line)

    def _forget(self, job: int) -> None:
        self.submitters.pop(job, None)
        self.opened.pop(job, None)

    def _requeue(self, effect: Requeue) -> None:
        self._answer(effect.job, lines.requeue_notice(effect.after_ms))

    def _deny(self, effect: Deny) -> None:
        self._answer(effect.job, lines.FAILED)

    def _move(self, effect: Move) -> None:
        submitter, node = self.submitters.get(effect.job), self.nodes.pop(effect.job, None)
        self._forget(effect.job)
        if submitter is not None and node is not None:
            node.move(submitter)

    def _close(self, effect: Close) -> None:
        submitter = self.submitters.get(effect.job)
        self._forget(effect.job)
        if submitter is None:
            return
        if effect.ending in (Ending.SERVED, Ending.SENT_AWAY):
            submitter.finish()
        else:
            submitter.abort()
