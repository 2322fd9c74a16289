"""A line at debug for each step of each request, under the id that its client gave it, from accept to close.

Attached only where the log shows debug lines, so that it costs nothing elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable

from yarrowspindle.routing.effects import (
    AbortAttempt,
    CloseClientConnection,
    Effect,
    FailRequest,
    ForwardRequest,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    ClientDisconnected,
    Event,
    RequestReceived,
    UnexpectedClientData,
)
from yarrowspindle.telemetry.published_names import reason


class Trace:
    """say: is given each line."""

    def __init__(self, say: Callable[[str], None]) -> None:
        self.say = say
        self.names: dict[int, str] = {}  # of jobs that are not over
        self.retry: dict[int, str] = {}  # why the job's last attempt ended

    def event(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            self.names[event.request] = event.ref or str(event.request)
            self._line(event.request, f"accepted class={event.cls} tenant={event.tenant} left_ms={event.left_ms:.0f}")
        elif isinstance(event, BackendConnected):
            self._line(event.request, f"attempt={event.attempt} connected")
        elif isinstance(event, BackendAccepted):
            self._line(event.request, f"attempt={event.attempt} up")
        elif isinstance(event, AttemptEnded):
            self.retry[event.request] = reason(event.reason)
            self._line(event.request, f"attempt={event.attempt} ended reason={reason(event.reason)}")
        elif isinstance(event, UnexpectedClientData):
            self._line(event.request, "sent more before its answer")
        elif isinstance(event, ClientDisconnected):
            self._line(event.request, "client left")
            self._over(event.request)

    def effect(self, effect: Effect) -> None:
        if isinstance(effect, OpenBackendConnection):
            why = self.retry.pop(effect.request, "")
            first = f" retry_after={why}" if why else ""
            self._line(effect.request, f"attempt={effect.attempt} connects server={effect.backend}{first}")
        elif isinstance(effect, ForwardRequest):
            self._line(effect.request, f"attempt={effect.attempt} written left_ms={effect.left_ms:.0f}")
        elif isinstance(effect, AbortAttempt):
            self.retry[effect.request] = reason(effect.reason)
            self._line(effect.request, f"attempt={effect.attempt} given up reason={reason(effect.reason)}")
        elif isinstance(effect, StartRelaying):
            self._line(effect.request, "answered up")
        elif isinstance(effect, RejectRequest):
            self._line(
                effect.request, f"refused reason={reason(effect.reason)} retry_after_ms={effect.retry_after_ms:.0f}"
            )
            self._over(effect.request)
        elif isinstance(effect, FailRequest):
            self._line(effect.request, f"failed reason={reason(effect.reason)}")
            self._over(effect.request)
        elif isinstance(effect, MigrateConnection):
            self._line(effect.request, f"moved reason={reason(effect.reason)}")
            self._over(effect.request)
        elif isinstance(effect, CloseClientConnection):
            self._line(effect.request, f"closed reason={reason(effect.reason)}")
            self._over(effect.request)

    def _line(self, request: int, what: str) -> None:
        self.say(f"request={self.names.get(request, '?')} job={request} {what}")

    def _over(self, request: int) -> None:
        self.names.pop(request, None)
        self.retry.pop(request, None)
