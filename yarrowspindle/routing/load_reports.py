"""What the figure of a `LOAD X` line stands for, where the platform's backends report two quantities in one form.

A backend reports a connection's load, in microseconds of work a second, when it changes. While its messages take longer
than a third of their latency objective it also reports, in the same form and once a second on one connection of each
relay, how many milliseconds a message takes; and once more when that is over. Taken for loads, these figures make the
fullest backend look like the emptiest. Their period tells them apart: a load that happens to be as small is not
repeated on the same connection one second later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

LATENCY_REPORT_INTERVAL_MS = 1000.0
MAX_INTERVAL_ERROR_MS = 80.0  # of the interval: the network's delay, and a busy relay's
MAX_MESSAGE_LATENCY_MS = 6000.0  # no message waits longer, since buffers are shorter: figures above are loads


class ReportKind(Enum):
    """What a figure stands for."""

    LOAD = "the connection's load, in microseconds of work a second"
    LATENCY = "the latency of a message at the backend, in milliseconds"
    UNDECIDED = "not decided yet; `take_resolved_load` returns it later if it was a load"


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """A load of a request's connection, in microseconds of work a second."""

    request: int
    load_us: float


class LoadReportClassifier:
    """Classifies the reports of one backend, as one relay receives them. Times are the caller's, in milliseconds.

    slow_message_ms: a figure above this is a long latency; the series of latencies ends with one below it.
    """

    __slots__ = ("slow_message_ms", "_series_request", "_last_report_at", "_in_series", "_undecided")

    def __init__(self, slow_message_ms: float) -> None:
        self.slow_message_ms = slow_message_ms
        self._series_request = 0  # on whose connection the last figure came that is, or may be, a latency
        self._last_report_at = -1e18
        self._in_series = False  # latencies are being reported
        self._undecided: ReportedLoad | None = None

    def classify(self, now: float, request: int, value: float, is_open: Callable[[int], bool]) -> ReportKind:
        """What the figure stands for.

        is_open: whether a request's connection is still open; a series of latencies continues on another connection
        only after its own has ended.
        """
        if self.slow_message_ms <= 0.0 or value > MAX_MESSAGE_LATENCY_MS:
            return ReportKind.LOAD
        interval_error_ms = now - self._last_report_at - LATENCY_REPORT_INTERVAL_MS
        if abs(interval_error_ms) <= MAX_INTERVAL_ERROR_MS and self._continues_series(request, is_open):
            self._series_request, self._last_report_at, self._undecided = request, now, None
            self._in_series = value > self.slow_message_ms
            return ReportKind.LATENCY
        if self._in_series and interval_error_ms < MAX_INTERVAL_ERROR_MS:
            return ReportKind.LOAD  # a small load between two reports of the series
        if value <= self.slow_message_ms:
            return ReportKind.LOAD  # no series starts with a short latency
        self._in_series = False
        self._series_request, self._last_report_at, self._undecided = request, now, ReportedLoad(request, value)
        return ReportKind.UNDECIDED

    def _continues_series(self, request: int, is_open: Callable[[int], bool]) -> bool:
        """Whether a figure at the expected time, on this request's connection, belongs to a series of latencies."""
        if request == self._series_request:
            return self._in_series or self._undecided is not None
        return self._in_series and not is_open(self._series_request)

    def take_resolved_load(self, now: float) -> ReportedLoad | None:
        """The undecided figure, once no report followed it in time and it is known as a load; else None.

        To be called before each figure is classified, and periodically.
        """
        if self._undecided is None or now <= self._last_report_at + LATENCY_REPORT_INTERVAL_MS + MAX_INTERVAL_ERROR_MS:
            return None
        resolved, self._undecided = self._undecided, None
        return resolved
