"""Runs the reducer, for daemon, library and both fronts: events, timers, owners of requests, stalls, failures."""

from __future__ import annotations

import time
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
TICK_TOLERANCE_MS = 20.0  # a tick that is so late: what came meanwhile may still lie unread in the sockets
MIN_CLOCK_STEP_MS = 50.0  # a smaller change of the wall clock is its ordinary correction
STALL_THRESHOLD_MS = TICK_INTERVAL_MS + 150.0  # a tick that is so late: the loop stood still


class Front(Protocol):
    """Carries out the effects on the requests that it has received."""

    def carry_out(self, effect: Effect) -> None:
        """Carries out one effect; called in their order."""


class Runtime:
    """One core with its timers, made inside a running event loop, or with timers that are driven by hand.

    One event at a time: an event that an effect causes waits until all effects are carried out. An event that the core
    fails on, or an effect that cannot be carried out, must not end other connections: it is logged.

    Args:
        reducer: the core.
        clock: the source of time.
        log: is given a level ("info", "warning", "error") and a text; called for an error while it is handled.
        timers: driven by hand; the event loop's where they are left out.

    Attributes:
        watch_endpoints, check_health, cancel_health_check: carry out `WatchEndpoints`, `CheckHealth` and
            `CancelHealthCheck`.
        event_observers: each is given every event with its time, before the reducer is (a recorder, metrics).
        effect_observer: is given each effect on a request.
        fronts: all that carry out effects.
        owners: the front that received each request.
        tick_late_ms: how late the last tick was; 0 where it was on time.
        assume_behind_at: seconds of time.monotonic from which on the loop may stand still, or stood still a moment ago:
            what is read then may have waited to be read.
        wall_step_ms: returns the steps of the wall clock since the start; of these the reducer knows
            `handled_wall_step_ms`.
        stall_deadline: when a tick is so late that the loop stood still; inf: stalls are not looked for.
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
            WatchEndpoints: lambda effect: self.watch_endpoints(effect),  # noqa: PLW0108  # set later
            CheckHealth: lambda effect: self.check_health(effect),  # noqa: PLW0108  # set later
            CancelHealthCheck: lambda effect: self.cancel_health_check(effect),  # noqa: PLW0108  # set later
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

    def start(self) -> None:
        """From here on stalls of the loop are found."""
        self._tick()

    def close(self) -> None:
        """Handles no more events, and cancels all timers."""
        self.closed = True
        self.stall_deadline = inf
        self.timers.clear()
        self.owners.clear()

    def new_request(self, front: Front) -> int:
        """Returns the number of a new request, whose effects go to this front."""
        self.requests += 1
        self.owners[self.requests] = front
        return self.requests

    def forget(self, request: int) -> None:
        """No more effects on this request are carried out."""
        self.owners.pop(request, None)

    def post(self, event: Event) -> None:
        """Runs the reducer on the event. What has fallen due by now comes first, and a stall before that."""
        if self.busy:
            self.queue.append(event)
        elif not self.closed:
            if self.clock.now() > self.stall_deadline:
                self._report_stall()
                self.timers.run_due()
            self._run(event)

    def post_both(self, first: Event, second: Event) -> None:
        """The same for two, with nothing between them."""
        if not self.busy and self.clock.now() <= self.stall_deadline:
            self.queue.append(second)
            self.post(first)
        else:
            self.post(first)
            self.post(second)

    def _run(self, event: Event) -> None:  # noqa: C901  # on the path of each line: no call for each effect
        queue, step, handlers, owners = self.queue, self.reducer.step, self.handlers, self.owners
        self.busy = True
        try:
            while True:
                now = self.clock.now()
                for observe in self.event_observers:
                    try:
                        observe(now, event)
                    except Exception:  # whoever looks on must not keep the event from the reducer
                        self.counts["failures"] += 1
                        self.log("error", f"an observer failed at {event!r}")
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
                        front = owners.get(effect.request)  # type: ignore[union-attr]  # all others are of a request
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
        self.log("error", f"the reducer or an effect failed: {step!r}")
        request = self._request_of(step)
        if request and not isinstance(step, InternalError):
            self.queue.append(InternalError(request, isinstance(step, RequestReceived)))

    @staticmethod
    def _request_of(step: Event | Effect) -> int:
        """Whose answer may hang on it; 0: nobody's."""
        if isinstance(step, SetTimer | TimerFired):
            return step.timer[1] if isinstance(step.timer, tuple) and isinstance(step.timer[1], int) else 0
        return getattr(step, "request", 0)

    def _remove_backend(self, effect: BackendRemoved) -> None:
        for front in self.fronts:
            front.carry_out(effect)

    # --- time -----------------------------------------------------------------------------------

    def recent_delay_ms(self) -> float:
        """For how long, at the most, the loop has just stood still; 0 where it keeps up."""
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
            self.log("warning", f"the wall clock was stepped by {step:.0f} ms")
            self._run(WallClockStepped(step))

    def _report_stall(self) -> None:
        """The loop may have stood still from the last tick on: nobody knows better."""
        now = self.clock.now()
        stalled_ms, self.last_tick_at, self.stall_deadline = now - self.last_tick_at, now, now + STALL_THRESHOLD_MS
        self.counts["stalls"] += 1
        self.counts["stalled_ms"] += int(stalled_ms)
        self.log("warning", f"the event loop stood still for {stalled_ms:.0f} ms")
        self._run(EventLoopStalled(stalled_ms))

    def _on_timer_due(self, timer: object) -> None:
        if self.clock.now() > self.stall_deadline:
            self._report_stall()
        if timer == TICK:
            self._tick()
        else:
            self._run(TimerFired(timer))
