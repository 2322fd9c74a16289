"""When servers started, on the relay's own clock, from what discovery tells by a wall clock that may be stepped.

Slow start rests on a span, and spans are real time: a start that the relay itself sees change lies between the last
word that discovery had of the former one and now. What it first sees in a list it cannot date better than the list.
Pure; all times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import inf

AHEAD_MS = 50.0  # a start told so far in the future is the slack of clocks; beyond it they do not agree
MAX_REMEMBERED = 4096  # servers that went and may return under a new start


@dataclass(slots=True, frozen=True)
class Start:
    """told_ms: as discovery tells it; began_ms: on the relay's clock, 0 for long ago."""

    told_ms: float = 0.0
    began_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Departure:
    """The start under which a server was last listed, and when it was listed as gone."""

    start: Start
    at_ms: float


class StartTimes:
    """agree: whether the wall clocks of this machine and of discovery are believed to agree."""

    def __init__(self) -> None:
        self.agree = True
        self.departed: OrderedDict[str, Departure] = OrderedDict()

    def dated(self, backend: str, told_ms: float, known: Start | None, now: float, quiet_ms: float | None) -> Start:
        """known: the server's start so far, None where it is not listed. quiet_ms: how long ago discovery was last
        heard before it told this, None where it was not."""
        earliest = -inf if quiet_ms is None else now - quiet_ms
        if known is None and (departure := self.departed.pop(backend, None)) is not None:
            known, earliest = departure.start, departure.at_ms
        if known is not None and told_ms == known.told_ms:
            return known
        if told_ms <= 0.0:
            return Start(told_ms, 0.0)
        if told_ms > now + AHEAD_MS:
            self.agree = False
        if known is None:
            believed = self.agree or quiet_ms is None
            return Start(told_ms, min(told_ms, now) if believed else now)
        plausible = self.agree and earliest <= told_ms <= now
        return Start(told_ms, told_ms if plausible else now)

    def gone(self, backend: str, start: Start, now: float) -> None:
        """The server is no longer listed."""
        self.departed[backend] = Departure(start, now)
        self.departed.move_to_end(backend)
        while len(self.departed) > MAX_REMEMBERED:
            self.departed.popitem(last=False)

    def stepped(self) -> None:
        """This machine's wall clock was stepped: what discovery tells of starts cannot be compared with it."""
        self.agree = False
