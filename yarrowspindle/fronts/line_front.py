"""The platform's front: reports of its transports become events, effects become calls on transports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from yarrowspindle.daemon.connection_limiter import Door
from yarrowspindle.daemon.log import Bounded
from yarrowspindle.daemon.relay_service import Hub
from yarrowspindle.protocol import lines
from yarrowspindle.protocol.lines import LineError, Open
from yarrowspindle.routing.effects import Ask, Close, Deny, Drop, Effect, Join, Move, Reach, Requeue
from yarrowspindle.routing.events import (
    Answered,
    Asked,
    AttemptOver,
    FigureTold,
    JobArrived,
    NodeReached,
    NodeUp,
    OutOfTurn,
    SubmitterLeft,
)
from yarrowspindle.routing.termination import Ending
from yarrowspindle.transport.backend import NodeSide
from yarrowspindle.transport.client import Submitter
from yarrowspindle.transport.connecting import ConnectFailure, Connecting, OwnNetwork
from yarrowspindle.transport.listener import Listener

BACKLOG = 1024
TURN_S = 0.001
READ_S = 0.02  # a few turns of the loop, each of which reads all sockets


class LineFront:
    def __init__(self, hub: Hub, descriptors: int) -> None:
        self.hub, self.config = hub, hub.config
        self.loop = asyncio.get_running_loop()
        self.door = Door(descriptors, self.loop.time)
        self.log = Bounded(self.loop.time)
        self.network = OwnNetwork()
        self.submitters: dict[int, Submitter] = {}
        self.opened: dict[int, Open] = {}  # lines of jobs that may still be sent on
        self.nodes: dict[int, NodeSide] = {}  # of each job's attempt that is out, or its standing connection
        self.reaching: dict[int, Connecting] = {}
        self.effects: dict[type, Callable[[Any], None]] = {
            Reach: self._reach,
            Ask: self._ask,
            Drop: self._drop,
            Join: self._join,
            Requeue: self._requeue,
            Deny: self._deny,
            Move: self._move,
            Close: self._close,
        }

    def start(self) -> LineFront:
        self.listener = Listener(self.config.listen, BACKLOG, lambda: Submitter(self), self.door.room, self.bad_line)
        self.hub.fronts.append(self)
        self.hub.connected.append(self.connected)
        logger.info("{} serves at {}:{}", self.config.name, *self.config.listen)
        return self

    async def end(self, within_s: float) -> None:
        """Once the reducer begins nothing any more: whoever waits at the door is taken in and answered, whoever rests
        is ended in order, all are heard to their end while there is time. A close over unread bytes would reset."""
        while not self.hub.reducer.ended(self.hub.runtime.clock.now()):
            await asyncio.sleep(TURN_S)
        until = self.loop.time() + within_s
        await self.listener.close(within_s / 3.0)
        await asyncio.sleep(READ_S)  # what lies in the sockets is read, and answered
        for stranger in [side for side in self.door.strangers if isinstance(side, Submitter)]:
            stranger.rest_over()
        while self.loop.time() < until and any(isinstance(side, Submitter) for side in self.door.held):
            await asyncio.sleep(READ_S)
            if self.loop.time() > until - within_s / 3.0:
                for node in [side for side in self.door.held if isinstance(side, NodeSide)]:
                    node.move_now()

    def carry_out(self, effect: Effect) -> None:
        handler = self.effects.get(type(effect))
        if handler is not None:  # a node that is gone ends its connections itself
            handler(effect)

    # --- reports of submitters ------------------------------------------------------------------

    def ready(self) -> bool:
        return self.hub.ready()

    def submitter_came(self, side: Submitter) -> None:
        self.door.came(side)

    def job_came(self, side: Submitter, opened: Open) -> None:
        config = self.config
        try:
            cls = self.hub.config.current[opened.get("c")]
            tenant = config.tenants.index(opened.get("t")) if config.tenants else 0
        except (KeyError, ValueError):
            raise LineError("a class or tenant that the settings do not name") from None
        arrived = JobArrived(
            0,
            opened.number("d"),
            cls,
            tenant,
            opened.key,
            opened.number("h"),
            opened.hexadecimal("g"),
            opened.flag("r"),
            opened.flag("again"),
            opened.get("at"),
            opened.id,
        )
        self.door.known(side)
        side.job = arrived.job = self.hub.new_job(self)
        self.submitters[side.job], self.opened[side.job] = side, opened
        self.hub.post(arrived)

    def job_out_of_turn(self, job: int) -> None:
        self.hub.post(OutOfTurn(job))

    def job_asked(self, job: int, lines: int) -> None:
        if lines:
            self.hub.post(Asked(job, lines))

    def job_left(self, job: int) -> None:
        self.hub.post(SubmitterLeft(job))

    def submitter_lost(self, side: Submitter) -> None:
        self.door.lost(side)
        if self.submitters.get(side.job) is side:
            self._forget(side.job)

    def submitter_refused(self, side: Submitter, why: str) -> None:
        self.door.answered(side)
        self.bad_line(why)

    def submitter_ended(self, side: Submitter) -> None:
        self.door.answered(side)

    def bad_line(self, text: str) -> None:
        self.log.warn(text)

    # --- reports of execute nodes ---------------------------------------------------------------

    def connected(self) -> set[str]:
        """Execute nodes to which a connection stands or is under way, those that are only being closed included."""
        return {side.node for side in self.door.held if isinstance(side, NodeSide)}

    def node_reached(self, side: NodeSide) -> None:
        self.reaching.pop(side.job, None)
        self.network.works()
        self.hub.post(NodeReached(side.job, side.attempt))

    def node_up(self, side: NodeSide) -> None:
        self.hub.post(NodeUp(side.job, side.attempt))

    def node_answered(self, job: int, lines: int) -> None:
        self.hub.post(Answered(job, lines))

    def node_load(self, job: int, load: float) -> None:
        self.hub.post(FigureTold(job, load))

    def node_lost(self, side: NodeSide) -> None:
        self.door.lost(side)

    def node_over(self, side: NodeSide, ending: Ending) -> None:
        if self.nodes.get(side.job) is side:
            del self.nodes[side.job]
        self.hub.post(AttemptOver(side.job, side.attempt, ending))

    # --- effects on execute nodes ---------------------------------------------------------------

    def _reach(self, effect: Reach) -> None:
        side = NodeSide(self, effect.job, effect.attempt, effect.node)
        self.nodes[effect.job] = side
        self.door.reached_for(side)
        connecting = Connecting(side, effect.address, lambda failure: self._unreached(side, failure))
        self.reaching[effect.job] = connecting
        connecting.start(effect.within_ms / 1000.0)

    def _unreached(self, side: NodeSide, failure: ConnectFailure) -> None:
        """The attempt's connection did not come up, and never will: nothing was written on it."""
        self.reaching.pop(side.job, None)
        self.door.lost(side)
        if failure.unexpected:
            self.bad_line(f"a connection to execute node {side.node} failed: {failure.error!r}")
        side.unreached(Ending.NEVER_SENT if self.network.at_fault(side.node, failure) else Ending.UNREACHED)

    def _ask(self, effect: Ask) -> None:
        side, opened = self.nodes.get(effect.job), self.opened.get(effect.job)
        if side is not None and opened is not None:
            side.ask(opened.forward(effect.left_ms))

    def _drop(self, effect: Drop) -> None:
        side = self.nodes.pop(effect.job, None)
        if side is not None:
            side.drop()
        connecting = self.reaching.pop(effect.job, None)
        if connecting is not None and side is not None and connecting.cancel():
            self.door.lost(side)

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
            self.door.answered(submitter)

    def _forget(self, job: int) -> None:
        self.submitters.pop(job, None)
        self.opened.pop(job, None)
        self.hub.forget(job)

    def _requeue(self, effect: Requeue) -> None:
        self._answer(effect.job, lines.requeue_notice(effect.after_ms))

    def _deny(self, effect: Deny) -> None:
        self._answer(effect.job, lines.FAILED)

    def _move(self, effect: Move) -> None:
        submitter, node = self.submitters.get(effect.job), self.nodes.pop(effect.job, None)
        self._forget(effect.job)
        if submitter is None:
            return
        if node is not None:
            node.move(submitter)
        else:
            submitter.finish(lines.MOVE)

    def _close(self, effect: Close) -> None:
        submitter = self.submitters.get(effect.job)
        self._forget(effect.job)
        if submitter is not None:
            submitter.finish()  # in order, however the node ended: its last lines may still wait to be written
            self.door.answered(submitter)
