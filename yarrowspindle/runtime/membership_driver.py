"""Drives the core of peers: its effects carried out, its own wakes with the time at which they were due.

The same for real sockets (`program/peering.py`) and for the virtual clock (`lab/model/peering.py`)."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import BACKEND_KEY_MASK, PeerLoads, group_key
from yarrowspindle.membership.core import SIGNAL, Membership
from yarrowspindle.membership.messages import (
    Effect,
    Event,
    LocalLoad,
    PayloadReceived,
    PeerLoadsUpdated,
    SampleLocalLoad,
    SendDatagram,
    SetTimer,
    TimerFired,
)
from yarrowspindle.routing.address import Address

AGAIN_MS = 1000.0  # a beat that failed is tried again
REPORT_MS = 750.0  # own load reports so young are told to the others


class PeerPump:
    """now: milliseconds of a clock that only goes on. after: calls the function after so many milliseconds.
    own: what this relay holds. told: for the module. note: a text for the log, and whether strangers can cause it.
    failed: called for an event that the core cannot take, while the exception is handled; without it the exception
    goes on."""

    def __init__(
        self,
        core: Membership,
        now: Callable[[], float],
        after: Callable[[float, Callable[[], None]], object],
        send: Callable[[Address, bytes], None],
        own: Callable[[], LocalLoad],
        told: Callable[[PeerLoads], None],
        note: Callable[[str, bool], None],
        failed: Callable[[Event], None] | None = None,
    ) -> None:
        self.core, self.now, self.after, self.send, self.own, self.told, self.note = (
            core,
            now,
            after,
            send,
            own,
            told,
            note,
        )
        self.failed = failed
        self.brought: Callable[[str, bytes], None] = lambda name, data: None  # what other relays had carried to us
        self.queue: deque[Event] = deque()
        self.busy = self.closed = False

    def start(self) -> None:
        self._carry_out(self.core.take_effects())

    def post(self, event: Event) -> None:
        if self.closed:
            return
        self.queue.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.queue:
                event = self.queue.popleft()
                try:
                    self._carry_out(self.core.step(self.now(), event))
                except Exception:
                    if self.failed is None:
                        raise
                    self.failed(event)
                    self._go_on(event)
        finally:
            self.busy = False

    def close(self) -> None:
        self.closed = True
        self.queue.clear()

    def _go_on(self, event: Event) -> None:
        """After a failure: a beat sets its next one as the last thing that it does, so this one had not."""
        self._carry_out(self.core.take_effects())
        what = SIGNAL if isinstance(event, LocalLoad) else event.what if isinstance(event, TimerFired) else None
        if isinstance(what, str):
            self._wake(SetTimer(AGAIN_MS, what))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self.send(effect.to, effect.data)
            elif isinstance(effect, SetTimer):
                self._wake(effect)
            elif isinstance(effect, SampleLocalLoad):
                self.queue.append(self.own())
                if not self.busy:
                    self.post(self.queue.pop())
            elif isinstance(effect, PeerLoadsUpdated):
                self.told(effect.others)
            elif isinstance(effect, PayloadReceived):
                self.brought(effect.name, effect.data)
            else:
                self.note(effect.text, effect.bounded)

    def _wake(self, effect: SetTimer) -> None:
        due = self.now() + effect.delay_ms
        self.after(effect.delay_ms, lambda: self.post(TimerFired(effect.what, due)))


def local_load(backends: Iterable[Backend], now: float) -> LocalLoad:
    """What this balancer holds, passes over and was told by probes, for the others."""
    own = LocalLoad({})
    for backend in backends:
        key = backend.id & BACKEND_KEY_MASK
        if backend.connections:
            own.holds[key] = (backend.connections, backend.load)
            for group, count in backend.connections_by_group.items():
                if group:
                    own.holds[group_key(backend.id, group)] = (count, 0.0)
        if now < backend.ejected_until:
            own.passed[key] = backend.ejected_until - now
        if now <= backend.last_report_at + REPORT_MS:
            own.reports[key] = (backend.utilization, backend.reported_connections, now - backend.last_report_at)
    return own
