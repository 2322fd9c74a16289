"""Runs the reducer for the daemon and the library: queues events, carries out effects, detects event loop stalls."""

from __future__ import annotations

import time
import warnings
from collections import Counter, deque
from collections.abc import Callable
from math import inf
from typing import Any, Protocol

from yarrowspindle.routing.effects import (
    BackendRemoved,
    CancelHealthCheck,
    CancelTimer,
    CheckHealth,
    Effect,
    LogMessage,
    SetTimer,
    WatchEndpoints,
)
from yarrowspindle.routing.events import (
    Event,
    EventLoopStalled,
    InternalError,
    RequestReceived,
    TimerFired,
    WallClockStepped,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.runtime.timers import Clock, Timers

TICK, TICK_INTERVAL_MS = "tick", 100.0
TICK_TOLERANCE_MS = 20.0  # if a tick is later than this, data received meanwhile may be unread in the sockets
MIN_CLOCK_STEP_MS = 50.0  # smaller wall clock changes are the ordinary corrections of time synchronization
STALL_THRESHOLD_MS = TICK_INTERVAL_MS + 150.0  # since the last tick; after that the event loop counts as stalled


class Front(Protocol):
    """A front, which carries out the effects on the requests that it receives."""

    def carry_out(self, effect: Effect) -> None:
        """Carry out one effect; called in the order in which the reducer returned the effects."""


class Runtime:
    """A reducer with its timers. Without `timers` it must be created inside a running event loop.

    Events are handled one at a time: an event posted while effects are carried out is queued until all of them are
    done. An exception in the reducer or in an effect's handler is logged and must not end other connections.

    Args:
        reducer: the reducer.
        clock: the source of time.
        log: called with a level ("info", "warning", "error") and a text; for errors, while the exception is handled.
        timers: timers to use instead of the event loop's, such as those of a replay or a virtual clock.

    Attributes:
        watch_endpoints, check_health, cancel_health_check: carry out `WatchEndpoints`, `CheckHealth` and
            `CancelHealthCheck`.
        event_observers: called with every event and its time, before the reducer handles it (recorder, metrics).
        effect_observer: called with each effect on a request.
        fronts: all fronts.
        owners: the front that received each request.
        tick_late_ms: delay of the last tick; 0 if it was on time.
        assume_behind_at: time.monotonic seconds after which the loop may be stalled or may have just recovered; data
            read after that time may have waited in a socket.
        wall_step_ms: returns by how many milliseconds the wall clock was stepped since the start.
        handled_wall_step_ms: the part of `wall_step_ms` that was already posted to the reducer.
        stall_deadline: clock time in milliseconds after which a missing tick counts as a stall; inf disables detection.
    """

    def __init__(
        self, reducer: Reducer, clock: Clock, log: Callable[[str, str], None], timers: Timers | None = None
    ) -> None:
        self.reducer, self.clock, self.log = reducer, clock, log
        self.timers = timers or Timers(clock)
        self.timers.on_due = self._on_timer_due
        self.queue: deque[Event] = deque()
        self.busy = self.closed = False
        self.fronts: list[Front] = []
        self.owners: dict[int, Front] = {}
        self.requests = 0
        self.watch_endpoints: Callable[[WatchEndpoints], None] = lambda effect: None
        self.check_health: Callable[[CheckHealth], None] = lambda effect: None
        self.cancel_health_check: Callable[[CancelHealthCheck], None] = lambda effect: None
        self.event_observers: list[Callable[[float, Event], None]] = []
        self.effect_observer: Callable[[Effect], None] | None = None
        self.handlers: dict[type, Callable[[Any], None]] = {
            SetTimer: lambda effect: self.timers.set(effect.delay_ms, effect.timer),
            CancelTimer: lambda effect: self.timers.cancel(effect.timer),
            # Lambdas, since these three attributes are replaced after this table is created.
            WatchEndpoints: lambda effect: self.watch_endpoints(effect),  # noqa: PLW0108
            CheckHealth: lambda effect: self.check_health(effect),  # noqa: PLW0108
            CancelHealthCheck: lambda effect: self.cancel_health_check(effect),  # noqa: PLW0108
            LogMessage: lambda effect: self.log("info", effect.text),
            BackendRemoved: self._remove_backend,
        }
        self.counts: Counter[str] = Counter()
        self.last_tick_at = 0.0
        self.next_tick_at = inf
        self.tick_late_ms = 0.0
        self.assume_behind_at = inf
        self.wall_step_ms: Callable[[], float] = lambda: 0.0
        self.handled_wall_step_ms = 0.0
        self.stall_deadline = inf

    @property
    def seen(self) -> list[Callable[[float, Event], None]]:
        """The name that `event_observers` had in version 0.1.0, to be removed in the next version."""
        warnings.warn("Runtime.seen is now called Runtime.event_observers", DeprecationWarning, stacklevel=2)
        return self.event_observers

    def start(self) -> None:
        """Start detecting stalls of the event loop."""
        self._tick()

    def close(self) -> None:
        """Cancel all timers and ignore further events."""
        self.closed = True
        self.stall_deadline = inf
        self.timers.clear()
        self.owners.clear()

    def new_request(self, front: Front) -> int:
        """Return the number of a new request and make this front its owner."""
        self.requests += 1
        self.owners[self.requests] = front
        return self.requests

    def forget(self, request: int) -> None:
        """Stop carrying out effects on this request."""
        self.owners.pop(request, None)

    def post(self, event: Event) -> None:
        """Pass the event to the reducer; after a stall, first report the stall and fire the timers that are due."""
        if self.busy:
            self.queue.append(event)
        elif not self.closed:
            if self.clock.now() > self.stall_deadline:
                self._report_stall()
                self.timers.run_due()
            self._run(event)

    def post_both(self, first: Event, second: Event) -> None:
        """Post two events so that no other event is handled between them, unless the loop was stalled."""
        if not self.busy and self.clock.now() <= self.stall_deadline:
            self.queue.append(second)
            self.post(first)
        else:
            self.post(first)
            self.post(second)

    def _run(self, event: Event) -> None:  # noqa: C901  # hot path, run for each line: avoids one call per effect
        queue, step, handlers, owners = self.queue, self.reducer.step, self.handlers, self.owners
        self.busy = True
        try:
            while True:
                now = self.clock.now()
                for observe in self.event_observers:
                    try:
                        observe(now, event)
                    except Exception:  # a failing observer must not keep the event from the reducer
                        self.counts["failures"] += 1
                        self.log("error", f"event observer failed on {event!r}; the reducer handles the event anyway")
                try:
                    effects = step(now, event)
                except Exception:
                    self._on_failure(event)
                    effects = self.reducer.take_effects()
                for effect in effects:
                    try:
                        handler = handlers.get(type(effect))
                        if handler is not None:
                            handler(effect)
                            continue
                        front = owners.get(effect.request)  # type: ignore[union-attr]  # all other effects have a request
                        if front is not None:
                            if self.effect_observer is not None:
                                self.effect_observer(effect)
                            front.carry_out(effect)
                    except Exception:
                        self._on_failure(effect)
                if not queue:
                    return
                event = queue.popleft()
        finally:
            self.busy = False

    def _on_failure(self, step: Event | Effect) -> None:
        self.counts["failures"] += 1
        self.log("error", f"reducer or effect handler failed on {step!r}")
        request = self._request_of(step)
        if request and not isinstance(step, InternalError):
            self.queue.append(InternalError(request, isinstance(step, RequestReceived)))

    @staticmethod
    def _request_of(step: Event | Effect) -> int:
        """Return the request whose answer may depend on this event or effect; 0 if there is none."""
        if isinstance(step, SetTimer | TimerFired):
            return step.timer[1] if isinstance(step.timer, tuple) and isinstance(step.timer[1], int) else 0
        return getattr(step, "request", 0)

    def _remove_backend(self, effect: BackendRemoved) -> None:
        for front in self.fronts:
            front.carry_out(effect)

    # --- time -----------------------------------------------------------------------------------

    def recent_delay_ms(self) -> float:
        """Return for how many milliseconds, at most, the loop has just been stalled; 0 if it is on time."""
        late_ms = max(self.tick_late_ms, self.clock.now() - self.next_tick_at)
        return late_ms + TICK_INTERVAL_MS if late_ms > TICK_TOLERANCE_MS else 0.0

    def _tick(self) -> None:
        self.last_tick_at = now = self.clock.now()
        on_time = now <= self.next_tick_at + TICK_TOLERANCE_MS
        self.tick_late_ms = 0.0 if on_time else now - self.next_tick_at
        self.next_tick_at = now + TICK_INTERVAL_MS
        self.assume_behind_at = time.monotonic() + (TICK_INTERVAL_MS + TICK_TOLERANCE_MS) / 1000.0 if on_time else 0.0
        self.stall_deadline = self.last_tick_at + STALL_THRESHOLD_MS
        self.timers.set(TICK_INTERVAL_MS, TICK)
        step = self.wall_step_ms() - self.handled_wall_step_ms
        if abs(step) >= MIN_CLOCK_STEP_MS:
            self.handled_wall_step_ms += step
            self.counts["clock_steps"] += 1
            self.log("warning", f"wall clock stepped by {step:.0f} ms")
            self._run(WallClockStepped(step))

    def _report_stall(self) -> None:
        """Report a stall since the last tick, the earliest time at which it may have begun."""
        now = self.clock.now()
        stalled_ms, self.last_tick_at, self.stall_deadline = now - self.last_tick_at, now, now + STALL_THRESHOLD_MS
        self.counts["stalls"] += 1
        self.counts["stalled_ms"] += int(stalled_ms)
        self.log("warning", f"event loop stalled for {stalled_ms:.0f} ms")
        self._run(EventLoopStalled(stalled_ms))

    def _on_timer_due(self, timer: object) -> None:
        if self.clock.now() > self.stall_deadline:
            self._report_stall()
        if timer == TICK:
            self._tick()
        else:
            self._run(TimerFired(timer))
