"""A line at debug for each step of each request, under the id that its client gave it, from accept to close.

Attached only where the log shows debug lines, so that it costs nothing elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable

from yarrowspindle.routing.effects import Ask, Close, Deny, Drop, Effect, Join, Move, Reach, Requeue
from yarrowspindle.routing.events import AttemptOver, Event, JobArrived, NodeReached, NodeUp, OutOfTurn, SubmitterLeft
from yarrowspindle.telemetry.published_names import reason


class Trace:
    """say: is given each line."""

    def __init__(self, say: Callable[[str], None]) -> None:
        self.say = say
        self.names: dict[int, str] = {}  # of jobs that are not over
        self.retry: dict[int, str] = {}  # why the job's last attempt ended

    def event(self, event: Event) -> None:
        if isinstance(event, JobArrived):
            self.names[event.job] = event.ref or str(event.job)
            self._line(event.job, f"accepted class={event.cls} tenant={event.tenant} left_ms={event.left_ms:.0f}")
        elif isinstance(event, NodeReached):
            self._line(event.job, f"attempt={event.attempt} connected")
        elif isinstance(event, NodeUp):
            self._line(event.job, f"attempt={event.attempt} up")
        elif isinstance(event, AttemptOver):
            self.retry[event.job] = reason(event.ending)
            self._line(event.job, f"attempt={event.attempt} ended reason={reason(event.ending)}")
        elif isinstance(event, OutOfTurn):
            self._line(event.job, "sent more before its answer")
        elif isinstance(event, SubmitterLeft):
            self._line(event.job, "client left")
            self._over(event.job)

    def effect(self, effect: Effect) -> None:
        if isinstance(effect, Reach):
            why = self.retry.pop(effect.job, "")
            first = f" retry_after={why}" if why else ""
            self._line(effect.job, f"attempt={effect.attempt} connects server={effect.node}{first}")
        elif isinstance(effect, Ask):
            self._line(effect.job, f"attempt={effect.attempt} written left_ms={effect.left_ms:.0f}")
        elif isinstance(effect, Drop):
            self.retry[effect.job] = reason(effect.why)
            self._line(effect.job, f"attempt={effect.attempt} given up reason={reason(effect.why)}")
        elif isinstance(effect, Join):
            self._line(effect.job, "answered up")
        elif isinstance(effect, Requeue):
            self._line(effect.job, f"refused reason={reason(effect.why)} retry_after_ms={effect.after_ms:.0f}")
            self._over(effect.job)
        elif isinstance(effect, Deny):
            self._line(effect.job, f"failed reason={reason(effect.why)}")
            self._over(effect.job)
        elif isinstance(effect, Move):
            self._line(effect.job, f"moved reason={reason(effect.why)}")
            self._over(effect.job)
        elif isinstance(effect, Close):
            self._line(effect.job, f"closed reason={reason(effect.ending)}")
            self._over(effect.job)

    def _line(self, job: int, what: str) -> None:
        self.say(f"request={self.names.get(job, '?')} job={job} {what}")

    def _over(self, job: int) -> None:
        self.names.pop(job, None)
        self.retry.pop(job, None)
