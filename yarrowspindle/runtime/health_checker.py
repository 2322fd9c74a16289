"""Carries out the module's probes over sockets: a connection to each node that is probed, one question out on each.

Bounded: `most` connections, of which the one used longest ago makes room for a new one; each question has its time;
a connection that was not used for `idle_s` is closed, before the node would do it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from functools import partial

from yarrowspindle.protocol.lines import LineError, report_of
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.effects import CheckHealth
from yarrowspindle.routing.events import HealthCheckCompleted
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.telemetry.published_names import TERMINATION_REASONS
from yarrowspindle.transport.connecting import ConnectFailure, Connecting
from yarrowspindle.transport.probe import HealthCheckConnection
from yarrowspindle.transport.silence import SilenceTimer

MOST = 32  # connections; descriptors are set aside for them
MAX_MUTE = 1024


class PendingCheck:
    """One node's connection, and the question that is out on it."""

    __slots__ = ("side", "address", "since", "late", "opening")

    def __init__(self, side: HealthCheckConnection, address: Address) -> None:
        self.side, self.address = side, address
        self.since = 0.0
        self.late: SilenceTimer | None = None  # the question's time, then the idle connection's
        self.opening: Connecting | None = None


class HealthChecker:
    """`over` is given each probe's end; `bad` a text on answers that make no sense."""

    def __init__(
        self,
        fields: tuple[str, ...],
        idle_s: float,
        over: Callable[[HealthCheckCompleted], None],
        bad: Callable[[str], None],
        most: int = MOST,
    ) -> None:
        self.fields, self.idle_s, self.over, self.bad, self.most = fields, idle_s, over, bad, most
        self.backends: dict[str, PendingCheck] = {}  # used longest ago first
        self.counts: Counter[str] = Counter()
        self.mute: set[str] = set()  # nodes whose last probe was not answered, so that the log says so once
        self.closed = False

    def probe(self, effect: CheckHealth) -> None:
        asked = self.backends.pop(effect.backend, None)
        if asked is not None and asked.address != effect.address:
            self._close(asked)
            asked = None
        if asked is not None and asked.side.asked:  # the last question is still out, and has its own end
            self.backends[effect.backend] = asked
            return
        if self.closed or (asked is None and not self._room()):
            self._tell(effect.backend, TerminationReason.NOT_SENT, 0.0)
            return
        if asked is None:
            asked = PendingCheck(HealthCheckConnection(self, effect.backend), effect.address)
            asked.opening = Connecting(asked.side, effect.address, partial(self._unreached, asked.side))
            asked.opening.start()
        self.backends[effect.backend] = asked
        self.counts["sent"] += 1
        asked.since = asyncio.get_running_loop().time()
        if asked.late is not None:
            asked.late.cancel()
        asked.late = SilenceTimer(effect.timeout_ms / 1000.0, self._late, asked)
        asked.side.ask()

    def close(self) -> None:
        self.closed = True
        for asked in list(self.backends.values()):
            self._close(asked)
        self.backends.clear()

    def leave(self, backends: Collection[str]) -> None:
        """Nothing of ours stands there any more."""
        for backend in self.backends.keys() & backends:
            asked = self.backends.pop(backend, None)
            if asked is None:  # the report on another one has ended it
                continue
            self._close(asked)
            if asked.side.asked:
                self._tell(backend, TerminationReason.NOT_SENT, asked.since)

    @staticmethod
    def _late(asked: PendingCheck) -> None:
        asked.side.end(TerminationReason.UNRESPONSIVE, "no answer in time")

    def _room(self) -> bool:
        """Whether one more connection may be opened; the one used longest ago goes where that is needed."""
        if len(self.backends) < self.most:
            return True
        for backend, asked in self.backends.items():
            if not asked.side.asked:
                del self.backends[backend]
                self._close(asked)
                return True
        return False

    @staticmethod
    def _unreached(side: HealthCheckConnection, failure: ConnectFailure) -> None:
        side.end(TerminationReason.NOT_SENT if failure.own else TerminationReason.CONNECT_FAILED, str(failure))

    def _close(self, asked: PendingCheck) -> None:
        asked.side.over = True  # nothing more is told of it
        if asked.side.transport is not None:
            asked.side.transport.abort()
        for pending in (asked.late, asked.opening):
            if pending is not None:
                pending.cancel()

    def _tell(self, backend: str, ending: TerminationReason, since: float, report: tuple[float, ...] = ()) -> None:
        took = (asyncio.get_running_loop().time() - since) * 1000.0 if since else 0.0
        self.counts[TERMINATION_REASONS[ending]] += 1
        self.over(HealthCheckCompleted(backend, ending, took, report))

    # --- reports of the transport ---------------------------------------------------------------

    def health_check_answered(self, side: HealthCheckConnection, line: bytes) -> None:
        asked = self.backends.get(side.backend)
        if asked is None or asked.side is not side:
            return
        try:
            report = report_of(line, self.fields)
        except LineError as error:
            side.end(TerminationReason.PROTOCOL_ERROR, str(error))
            return
        if asked.late is not None:
            asked.late.cancel()
        asked.late = SilenceTimer(self.idle_s, self._idle, side)
        if side.backend in self.mute:
            self.mute.discard(side.backend)
            self.bad(f"execute node {side.backend} answers its probes again")
        self._tell(side.backend, TerminationReason.COMPLETED, asked.since, report)

    def _idle(self, side: HealthCheckConnection) -> None:
        asked = self.backends.get(side.backend)
        if asked is not None and asked.side is side and not side.asked:
            del self.backends[side.backend]
            self._close(asked)

    def health_check_ended(self, side: HealthCheckConnection, ending: TerminationReason, why: str) -> None:
        asked = self.backends.get(side.backend)
        if asked is None or asked.side is not side:
            return
        del self.backends[side.backend]
        self._close(asked)
        if ending is TerminationReason.PROTOCOL_ERROR:
            self.bad(f"execute node {side.backend}: {why}")
        if side.asked and side.backend not in self.mute:
            if len(self.mute) >= MAX_MUTE:
                self.mute.clear()
            self.mute.add(side.backend)
            self.bad(f"execute node {side.backend} does not answer its probe: {why}")
        if side.asked or ending is TerminationReason.PROTOCOL_ERROR:
            self._tell(side.backend, ending, asked.since)
