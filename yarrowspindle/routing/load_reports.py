"""Classification of `LOAD X` lines, in which the platform's backends report loads and message latencies alike.

A backend reports the load of a connection, in microseconds of work per second, when it changes. While the latency of
its messages exceeds a third of their latency objective, it also reports that latency in milliseconds: in the same
format, once per second, on one connection of each relay, and once more when the latency is low again. A latency that is
mistaken for a load makes the most loaded backend look like the least loaded one. The period distinguishes the two: a
load with a similarly small value is not repeated on the same connection one second later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

LATENCY_REPORT_INTERVAL_MS = 1000.0
MAX_INTERVAL_ERROR_MS = 80.0  # deviation from the interval that network delay and a busy relay cause
MAX_MESSAGE_LATENCY_MS = 6000.0  # buffers are too short for a longer latency: a higher value is a load


class ReportKind(Enum):
    """The quantity that a reported value represents."""

    LOAD = "the connection's load, in microseconds of work per second"
    LATENCY = "the latency of a message at the backend, in milliseconds"
    UNDECIDED = "not decided yet; `take_resolved_load` returns the value later if it is a load"


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """A reported load of a request's connection, in microseconds of work per second."""

    request: int
    load_us: float


class LoadReportClassifier:
    """Classifier of the reports that this relay receives from one backend.

    Times are in milliseconds on the caller's clock.

    Attributes:
        slow_message_ms: The threshold of a long latency; a series of latency reports ends with one that does not exceed
            it. 0 or less: all reports are loads.
    """

    __slots__ = ("slow_message_ms", "_series_request", "_last_report_at", "_in_series", "_undecided")

    def __init__(self, slow_message_ms: float) -> None:
        self.slow_message_ms = slow_message_ms
        self._series_request = 0  # the request with the last report that is, or may be, a latency
        self._last_report_at = -1e18
        self._in_series = False  # whether the backend is currently reporting latencies
        self._undecided: ReportedLoad | None = None

    def classify(self, now: float, request: int, value: float, is_open: Callable[[int], bool]) -> ReportKind:
        """Return which quantity the reported value represents.

        Args:
            now: When the report was received.
            request: The id of the request on whose connection it was received.
            value: The reported value.
            is_open: Returns whether the connection of a request is still open. A series of latencies continues on
                another connection only after its own connection has ended.
        """
        if self.slow_message_ms <= 0.0 or value > MAX_MESSAGE_LATENCY_MS:
            return ReportKind.LOAD
        interval_error_ms = now - self._last_report_at - LATENCY_REPORT_INTERVAL_MS
        if abs(interval_error_ms) <= MAX_INTERVAL_ERROR_MS and self._continues_series(request, is_open):
            self._series_request, self._last_report_at, self._undecided = request, now, None
            self._in_series = value > self.slow_message_ms
            return ReportKind.LATENCY
        if self._in_series and interval_error_ms < MAX_INTERVAL_ERROR_MS:
            return ReportKind.LOAD  # a small load between two latency reports of the series
        if value <= self.slow_message_ms:
            return ReportKind.LOAD  # no series starts with a short latency
        self._in_series = False
        self._series_request, self._last_report_at, self._undecided = request, now, ReportedLoad(request, value)
        return ReportKind.UNDECIDED

    def _continues_series(self, request: int, is_open: Callable[[int], bool]) -> bool:
        """Return whether a report at the expected time on this request's connection continues a latency series."""
        if request == self._series_request:
            return self._in_series or self._undecided is not None
        return self._in_series and not is_open(self._series_request)

    def take_resolved_load(self, now: float) -> ReportedLoad | None:
        """Return the undecided value if it is a load, since no report followed it in time; else None.

        The caller must call this before it classifies a report, and periodically.
        """
        if self._undecided is None or now <= self._last_report_at + LATENCY_REPORT_INTERVAL_MS + MAX_INTERVAL_ERROR_MS:
            return None
        resolved, self._undecided = self._undecided, None
        return resolved
