"""The clients' ids of requests: those in use, and those of ended requests that may have run.

An id is new with every connection. One that comes again while its request is open, or while an attempt of it may still
run at a backend, would run the request twice.
"""

from __future__ import annotations

from collections import OrderedDict

from yarrowspindle.decisions.request_gate import MAX_CLIENT_DEADLINE_SLACK_MS
from yarrowspindle.decisions.settings import Settings

MAX_REMEMBERED = 16_384  # about 3 MB


def retention_ms(settings: Settings) -> float:
    """Return for how long after the end of a request that may have run its id must not run again, in milliseconds.

    Until then a backend may still carry out the attempt, or recognise its repeat, and its client may still try again.
    """
    longest_wait = max(cls.deadline_ms for cls in settings.classes) + MAX_CLIENT_DEADLINE_SLACK_MS
    return max(longest_wait, *(cls.idempotency_window_ms for cls in settings.classes))


class ClientRequestIds:
    """A bounded record of ids. Times are in milliseconds on the relay's clock.

    Remembered ids are never replaced by newer ones: where the bound is reached, requests that may run only once are
    rejected until one expires.
    """

    __slots__ = ("_in_use", "_expiry")

    def __init__(self) -> None:
        self._in_use: set[str] = set()
        self._expiry: OrderedDict[str, float] = OrderedDict()

    def add(self, request_id: str) -> None:
        """Record that a request with this id is open."""
        self._in_use.add(request_id)

    def remove(self, request_id: str) -> None:
        """Record that the request with this id has ended and has not run, or may run again."""
        self._in_use.discard(request_id)

    def remember(self, request_id: str, until: float) -> None:
        """Record that the request with this id has ended and may have run."""
        self._in_use.discard(request_id)
        self._expiry[request_id] = max(until, self._expiry.get(request_id, until))

    def is_known(self, request_id: str, now: float) -> bool:
        """Return whether a request with this id is open, or has ended and may still run."""
        return request_id in self._in_use or self._expiry.get(request_id, now) > now

    def is_full(self, now: float) -> bool:
        """Return whether no further id can be remembered, counting those in use."""
        self._expire(now)
        return len(self._in_use) + len(self._expiry) >= MAX_REMEMBERED

    def remembered(self, now: float) -> list[str]:
        """Return the ids of ended requests that may still run."""
        self._expire(now)
        return list(self._expiry)

    def _expire(self, now: float) -> None:
        while self._expiry and next(iter(self._expiry.values())) <= now:
            self._expiry.popitem(last=False)
