"""What the figure of a `LOAD X` line stands for, where the platform's nodes tell two things in one form.

A node tells a connection's load, in microseconds of work a second, when it changes. While its messages take longer than
a third of their aim it also tells, in the same form and once a second on one connection of each relay, how many
milliseconds a message takes; and once more when that is over. Taken for loads, these figures make the fullest node look
like the emptiest. What tells them apart is their rhythm: a load that happens to be as small does not come again on the
same connection one second later.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

BEAT_MS = 1000.0
OFF_MS = 80.0  # from the beat: the network, and a relay that is busy
MOST_MS = 6000.0  # no message waits for longer: buffers are shorter, and figures above are loads


class Kind(Enum):
    LOAD = "the connection's load, in microseconds of work a second"
    TIME = "what a message takes at the node, in milliseconds"
    OPEN = "not known yet; `settle` tells later if it was a load"


class LoadReportClassifier:
    """Of one node, as one relay hears them. Times are the caller's, in milliseconds.

    slow: a figure above this is a long message; the beat ends with one below it."""

    __slots__ = ("slow", "request", "at", "beating", "open")

    def __init__(self, slow_ms: float) -> None:
        self.slow = slow_ms
        self.request = 0  # on which the last figure came that is, or may be, a time
        self.at = -1e18
        self.beating = False  # times come
        self.open: tuple[int, float] | None = None  # job and figure that may be either

    def told(self, now: float, request: int, figure: float, stands: Callable[[int], bool]) -> Kind:
        """`stands`: whether a job's connection still does; a beat goes on elsewhere only where its own has ended."""
        if self.slow <= 0.0 or figure > MOST_MS:
            return Kind.LOAD
        late = now - self.at - BEAT_MS
        same = request == self.request and (self.beating or self.open is not None)
        if abs(late) <= OFF_MS and (same or self.beating and not stands(self.request)):
            self.request, self.at, self.open = request, now, None
            self.beating = figure > self.slow
            return Kind.TIME
        if self.beating and late < OFF_MS:  # between two beats: a small load
            return Kind.LOAD
        if figure <= self.slow:
            return Kind.LOAD  # nothing that begins a beat
        self.beating = False
        self.request, self.at, self.open = request, now, (request, figure)
        return Kind.OPEN

    def settle(self, now: float) -> tuple[int, float] | None:
        """A figure whose beat did not come: job and load. Ask before each figure and now and then."""
        if self.open is None or now <= self.at + BEAT_MS + OFF_MS:
            return None
        found, self.open = self.open, None
        return found
