"""Estimates of backend start times on the relay's clock, from the start times that discovery reports.

Discovery reports start times by a wall clock that may be stepped or may differ from that of this machine, but slow
start has to last for a real duration. If the relay sees a start time change, the restart happened between the previous
update from discovery and now. For a start time in the first list, the reported time is the best estimate. The module
has no I/O; all times are in milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import inf

MAX_CLOCK_SKEW_MS = 50.0  # a reported start further in the future shows that the wall clocks disagree
MAX_REMEMBERED_REMOVALS = 4096  # removed backends that may return with a new start time


@dataclass(slots=True, frozen=True)
class StartTime:
    """The start time of a backend: as reported by discovery, and on the relay's clock (0: long ago)."""

    reported_ms: float = 0.0
    local_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Removal:
    """The last listed start time of a backend, and when it was removed from the list."""

    start_time: StartTime
    removed_at_ms: float


class StartTimes:
    """An estimator of backend start times, with the start times of recently removed backends.

    Attributes:
        clocks_agree: Whether the wall clocks of this machine and of discovery are assumed to agree.
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
        """Return the start time of a listed backend.

        Args:
            backend: The name of the backend.
            reported_ms: The start time that discovery reports.
            previous: The start time before this update; None if the backend was not listed.
            now: The current time on the relay's clock.
            since_last_update_ms: How long ago the previous update was received from discovery; None if there was none.
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
        """Return the start time, on the relay's clock, of a backend that was not listed before."""
        trusted = self.clocks_agree or since_last_update_ms is None
        return min(reported_ms, now) if trusted else now

    def on_removed(self, backend: str, start_time: StartTime, now: float) -> None:
        """Remember the start time of a backend that is no longer listed."""
        self._removals[backend] = Removal(start_time, now)
        self._removals.move_to_end(backend)
        while len(self._removals) > MAX_REMEMBERED_REMOVALS:
            self._removals.popitem(last=False)

    def on_clock_stepped(self) -> None:
        """Stop comparing reported start times with this machine's wall clock, which was stepped."""
        self.clocks_agree = False
