"""What operators may set of rebalancing, with checks that name the wrong key."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from difflib import get_close_matches
from enum import Enum
from typing import Any


class RebalanceError(ValueError):
    """A key is unknown, or its value makes no sense; the text names the key and what is allowed."""


class Order(Enum):
    """Which jobs of a node that holds too much go first."""

    LIGHTEST = "lightest-first"
    HEAVIEST = "heaviest-first"
    GROUP = "group-together"


@dataclass(slots=True, frozen=True)
class RebalanceSettings:
    """Rates are for this relay alone, except `target_moves_per_s`, which is for all relays together.

    spread: how far own load over capacity may lie above the level, as a share of it (0.1: a tenth).
    moves_per_s, share_per_s: moves a second, and as a share of own standing connections; the lower holds.
    source_moves_per_s: moves a second off one node.
    target_moves_per_s: moves a second that one node is given by all relays together.
    dwell_s: a job stands at least this long before it may be moved.
    moves_per_submitter, submitter_window_s: one submitter key is moved at most so often within this time.
    least_gain: a job lighter than this many mean loads is not worth its reconnect.
    settle_s: a node must have been ready and warm for this long; doubled for each time it flapped.
    newcomer_s: how long a node that came counts as the cause of an imbalance.
    hot_s: without a newcomer, an imbalance must have stood for this long, beyond what chance explains.
    quiet: hours in UTC in which nothing is moved, as ("22:00-06:00", ...).
    beat_s: a plan is drawn up this often.
    return_least: while fewer than this share of the moved come back, the pace drops and the plan pauses.
    pause_s: how long a pause lasts at the least.
    """

    spread: float = 0.1
    moves_per_s: float = 5.0
    share_per_s: float = 0.01
    source_moves_per_s: float = 2.0
    target_moves_per_s: float = 10.0
    dwell_s: float = 10.0
    moves_per_submitter: int = 1
    submitter_window_s: float = 600.0
    least_gain: float = 0.25
    order: Order = Order.GROUP
    settle_s: float = 1.0
    newcomer_s: float = 900.0
    hot_s: float = 30.0
    quiet: tuple[tuple[int, int], ...] = ()
    beat_s: float = 1.0
    return_least: float = 0.25
    pause_s: float = 30.0

    def __post_init__(self) -> None:
        for name, (least, most) in RANGES.items():
            value = getattr(self, name)
            if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
                raise RebalanceError(f"rebalance.{name} is {value!r}: a number from {least:g} to {most:g} is wanted")
        if not isinstance(self.moves_per_submitter, int):
            raise RebalanceError(f"rebalance.moves_per_submitter is {self.moves_per_submitter!r}: a whole number")

    def is_quiet(self, now_ms: float) -> bool:
        """Whether this moment (Unix milliseconds) lies in one of the quiet hours."""
        minute = int(now_ms / 60_000.0) % 1440
        return any(a <= minute < b if a <= b else minute >= a or minute < b for a, b in self.quiet)


RANGES: dict[str, tuple[float, float]] = {
    "spread": (0.01, 10.0),
    "moves_per_s": (0.01, 10_000.0),
    "share_per_s": (0.0001, 1.0),
    "source_moves_per_s": (0.01, 10_000.0),
    "target_moves_per_s": (0.01, 100_000.0),
    "dwell_s": (0.0, 86_400.0),
    "moves_per_submitter": (1, 1000),
    "submitter_window_s": (1.0, 86_400.0),
    "least_gain": (0.0, 100.0),
    "settle_s": (0.0, 3600.0),
    "newcomer_s": (1.0, 86_400.0),
    "hot_s": (1.0, 86_400.0),
    "beat_s": (0.05, 60.0),
    "return_least": (0.0, 1.0),
    "pause_s": (1.0, 86_400.0),
}


def read_hours(value: object) -> tuple[tuple[int, int], ...]:
    """`["22:00-06:00"]` as minutes of the day."""
    spans = []
    for text in value if isinstance(value, list) else [value]:
        try:
            ends = [tuple(map(int, end.split(":"))) for end in str(text).split("-")]
            (h0, m0), (h1, m1) = ends
        except ValueError:
            raise RebalanceError(f'rebalance.quiet holds {text!r}: hours like "22:00-06:00" are wanted') from None
        if not (0 <= h0 < 24 and 0 <= h1 <= 24 and 0 <= m0 < 60 and 0 <= m1 < 60):
            raise RebalanceError(f"rebalance.quiet holds {text!r}: no such hours")
        spans.append((h0 * 60 + m0, h1 * 60 + m1))
    return tuple(spans)


def read_rebalance(section: Mapping[str, Any]) -> RebalanceSettings:
    """The settings from the operator's `[rebalance]`; raises RebalanceError."""
    known = [f.name for f in fields(RebalanceSettings)]
    values = dict(section)
    for name in values.keys() - set(known):
        near = get_close_matches(name, known, 1)
        raise RebalanceError(f"rebalance.{name} is not known" + (f"; {near[0]} is" if near else ""))
    if "order" in values:
        try:
            values["order"] = Order(values["order"])
        except ValueError:
            allowed = ", ".join(order.value for order in Order)
            raise RebalanceError(f"rebalance.order is {values['order']!r}: one of {allowed} is wanted") from None
    if "quiet" in values:
        values["quiet"] = read_hours(values["quiet"])
    return RebalanceSettings(**values)
