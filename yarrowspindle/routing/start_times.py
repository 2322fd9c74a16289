"""When backends started, on the relay's own clock, from what discovery reports by a wall clock that may be stepped.

Slow start depends on a duration of real time. A start that the relay itself sees change lies between the last update
that discovery had of the former one and now. A start in the first list cannot be dated better than the list does.
Pure; all times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import inf

MAX_CLOCK_SKEW_MS = 50.0  # a start reported further in the future means that the clocks do not agree
MAX_REMEMBERED_REMOVALS = 4096  # backends that were removed and may return under a new start


@dataclass(slots=True, frozen=True)
class StartTime:
    """A backend's start: as discovery reports it, and on the relay's clock (0 for long ago)."""

    reported_ms: float = 0.0
    local_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Removal:
    """The start under which a backend was last listed, and when it was removed from the list."""

    start_time: StartTime
    removed_at_ms: float


class StartTimes:
    """Estimates the start of each backend.

    clocks_agree: whether the wall clocks of this machine and of discovery are believed to agree.
    """

    def __init__(self) -> None:
        self.clocks_agree = True
        self._removals: OrderedDict[str, Removal] = OrderedDict()

    def estimate(
        self,
        backend: str,
        reported_ms: float,
        previous: StartTime | None,
        now: float,
        since_last_update_ms: float | None,
    ) -> StartTime:
        """The start of a listed backend.

        previous: its start so far, None where it is not listed. since_last_update_ms: how long ago the update before
        this one was received from discovery, None where there was none.
        """
        earliest_start_ms = -inf if since_last_update_ms is None else now - since_last_update_ms
        if previous is None and (removal := self._removals.pop(backend, None)) is not None:
            previous, earliest_start_ms = removal.start_time, removal.removed_at_ms
        if previous is not None and reported_ms == previous.reported_ms:
            return previous
        if reported_ms <= 0.0:
            return StartTime(reported_ms, 0.0)
        if reported_ms > now + MAX_CLOCK_SKEW_MS:
            self.clocks_agree = False
        if previous is None:
            return StartTime(reported_ms, self._estimate_first_listed(reported_ms, now, since_last_update_ms))
        trusted = self.clocks_agree and earliest_start_ms <= reported_ms <= now
        return StartTime(reported_ms, reported_ms if trusted else now)

    def _estimate_first_listed(self, reported_ms: float, now: float, since_last_update_ms: float | None) -> float:
        """On the relay's clock, the start of a backend that was not listed before."""
        trusted = self.clocks_agree or since_last_update_ms is None
        return min(reported_ms, now) if trusted else now

    def on_removed(self, backend: str, start_time: StartTime, now: float) -> None:
        """Remember the start of a backend that is no longer listed."""
        self._removals[backend] = Removal(start_time, now)
        self._removals.move_to_end(backend)
        while len(self._removals) > MAX_REMEMBERED_REMOVALS:
            self._removals.popitem(last=False)

    def on_clock_stepped(self) -> None:
        """This machine's wall clock was stepped: reported starts can no longer be compared with it."""
        self.clocks_agree = False
