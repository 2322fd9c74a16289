"""Drives the membership core: carries out its effects and posts timer events with their deadlines.

Used with real sockets (`daemon/membership_endpoint.py`) and with a virtual clock (`lab/model/membership_cluster.py`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import BACKEND_KEY_MASK, PeerLoads, group_key
from yarrowspindle.membership.core import Membership
from yarrowspindle.membership.effects import (
    Effect,
    PayloadReceived,
    PeerLoadsUpdated,
    SampleLocalLoad,
    SendDatagram,
    SetTimer,
)
from yarrowspindle.membership.events import Event, LocalLoad, TimerFired
from yarrowspindle.membership.timers import PeriodicTimer
from yarrowspindle.routing.address import Address

RETRY_DELAY_MS = 1000.0  # until a periodic timer fires again after its handler raised an exception
MAX_OWN_REPORT_AGE_MS = 750.0  # older load reports of backends are not passed on to peers


def _ignore_payload(sender: str, data: bytes) -> None:
    """Discard a payload; the default of `MembershipDriver.on_payload`."""


class MembershipDriver:
    """Driver of one membership core.

    Args:
        core: the membership core.
        now: returns the milliseconds of a monotonic clock.
        call_later: calls a function after a delay in milliseconds.
        send: sends a datagram.
        sample_load: returns this relay's load.
        on_peer_loads: called with the load that the peers report.
        log: writes a text; the flag is set if hosts outside the cluster can cause the message.
        on_failure: called, while the exception is handled, with an event on which the core raised one; without it the
            exception propagates.

    Attributes:
        on_payload: called with the name of a peer and a payload that it sent.
    """

    def __init__(
        self,
        core: Membership,
        now: Callable[[], float],
        call_later: Callable[[float, Callable[[], None]], object],
        send: Callable[[Address, bytes], None],
        sample_load: Callable[[], LocalLoad],
        on_peer_loads: Callable[[PeerLoads], None],
        log: Callable[[str, bool], None],
        on_failure: Callable[[Event], None] | None = None,
    ) -> None:
        self.core = core
        self.on_failure = on_failure
        self.on_payload: Callable[[str, bytes], None] = _ignore_payload
        self._now = now
        self._call_later = call_later
        self._send = send
        self._sample_load = sample_load
        self._on_peer_loads = on_peer_loads
        self._log = log
        self._queue: deque[Event] = deque()
        self._is_running = False
        self._is_closed = False

    def start(self) -> None:
        """Carry out the effects of the core's start."""
        self._carry_out(self.core.take_effects())

    def post(self, event: Event) -> None:
        """Pass the event to the core, after the events that are already queued."""
        if self._is_closed:
            return
        self._queue.append(event)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._queue:
                self._step(self._queue.popleft())
        finally:
            self._is_running = False

    def close(self) -> None:
        """Discard queued events and all later ones."""
        self._is_closed = True
        self._queue.clear()

    def _step(self, event: Event) -> None:
        try:
            self._carry_out(self.core.step(self._now(), event))
        except Exception:
            if self.on_failure is None:
                raise
            self.on_failure(event)
            self._recover(event)

    def _recover(self, event: Event) -> None:
        """Re-arm the periodic timer of a handler that failed before its last step, which would have re-armed it."""
        self._carry_out(self.core.take_effects())
        if isinstance(event, LocalLoad):
            self._set_timer(SetTimer(RETRY_DELAY_MS, PeriodicTimer.LOAD_SIGNAL))
        elif isinstance(event, TimerFired) and isinstance(event.timer, PeriodicTimer):
            self._set_timer(SetTimer(RETRY_DELAY_MS, event.timer))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect.address, effect.data)
            elif isinstance(effect, SetTimer):
                self._set_timer(effect)
            elif isinstance(effect, SampleLocalLoad):
                self._post_local_load()
            elif isinstance(effect, PeerLoadsUpdated):
                self._on_peer_loads(effect.peer_loads)
            elif isinstance(effect, PayloadReceived):
                self.on_payload(effect.sender, effect.data)
            else:
                self._log(effect.text, effect.rate_limited)

    def _post_local_load(self) -> None:
        self._queue.append(self._sample_load())
        if not self._is_running:
            self.post(self._queue.pop())

    def _set_timer(self, effect: SetTimer) -> None:
        deadline = self._now() + effect.delay_ms
        self._call_later(effect.delay_ms, lambda: self.post(TimerFired(effect.timer, deadline)))


def local_load(backends: Iterable[Backend], now: float) -> LocalLoad:
    """Return this relay's load on the backends, its ejections and the load reports it received, for its peers."""
    load = LocalLoad({})
    for backend in backends:
        key = backend.id & BACKEND_KEY_MASK
        if backend.connections:
            load.loads[key] = (backend.connections, backend.load)
            for group, count in backend.connections_by_group.items():
                if group:
                    load.loads[group_key(backend.id, group)] = (count, 0.0)
        if now < backend.ejected_until:
            load.ejected[key] = backend.ejected_until - now
        if now <= backend.last_report_at + MAX_OWN_REPORT_AGE_MS:
            load.reports[key] = (backend.utilization, backend.reported_connections, now - backend.last_report_at)
    return load
