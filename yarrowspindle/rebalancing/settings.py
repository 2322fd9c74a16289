"""The operator's settings of rebalancing, with checks that name the wrong key."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from difflib import get_close_matches
from enum import Enum
from typing import Any

MINUTE_MS = 60_000.0
MINUTES_PER_HOUR = 60
HOURS_PER_DAY = 24
MINUTES_PER_DAY = 1440


class RebalanceError(ValueError):
    """A key is unknown, or its value is invalid; the text names the key and what is allowed."""


class Order(Enum):
    """Which connections of a backend that holds too much go first."""

    LIGHTEST = "lightest-first"
    HEAVIEST = "heaviest-first"
    GROUP = "group-together"


@dataclass(slots=True, frozen=True)
class RebalanceSettings:
    """The operator's [rebalance]; field names are the keys of the file.

    Rates are for this relay alone, except `target_moves_per_s`, which is for all relays together.

    Attributes:
        spread: how far own load over capacity may lie above the level, as a fraction of it.
        moves_per_s: migrations a second.
        share_per_s: migrations a second, as a fraction of the established connections; the lower of both holds.
        source_moves_per_s: migrations a second off one backend.
        target_moves_per_s: migrations a second to one backend, by all relays together.
        dwell_s: a connection stands at least this long before it may be migrated.
        moves_per_submitter: how often one client key is migrated at most within the window.
        submitter_window_s: that window.
        least_gain: a connection lighter than this many mean loads is not worth its reconnect.
        order: which connections go first.
        settle_s: a backend must have been ready and warm for this long; doubled for each time it flapped.
        newcomer_s: how long a backend that joined counts as the cause of an imbalance.
        hot_s: how long an imbalance beyond what chance explains must have lasted, where no backend has joined.
        quiet: hours in UTC in which nothing is migrated, as ("22:00-06:00", ...).
        beat_s: the interval of the rounds.
        return_least: while fewer than this fraction of the migrated come back, the rate falls and the plan pauses.
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
        for name, (minimum, maximum) in ALLOWED_RANGES.items():
            value = getattr(self, name)
            if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
                raise RebalanceError(
                    f"rebalance.{name} is {value!r}: a number from {minimum:g} to {maximum:g} is wanted"
                )
        if not isinstance(self.moves_per_submitter, int):
            raise RebalanceError(f"rebalance.moves_per_submitter is {self.moves_per_submitter!r}: a whole number")

    def is_quiet(self, now_ms: float) -> bool:
        """Returns whether this moment (Unix milliseconds) lies in one of the quiet hours."""
        minute = int(now_ms / MINUTE_MS) % MINUTES_PER_DAY
        return any(_is_within(minute, first, last) for first, last in self.quiet)


def _is_within(minute: int, first: int, last: int) -> bool:
    """Whether a minute of the day lies in a span, which may go past midnight."""
    if first <= last:
        return first <= minute < last
    return minute >= first or minute < last


ALLOWED_RANGES: dict[str, tuple[float, float]] = {
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


def parse_quiet_hours(value: object) -> tuple[tuple[int, int], ...]:
    """Returns `["22:00-06:00"]` as minutes of the day. Raises RebalanceError."""
    return tuple(_parse_quiet_span(text) for text in (value if isinstance(value, list) else [value]))


def _parse_quiet_span(text: object) -> tuple[int, int]:
    try:
        first, last = (tuple(map(int, end.split(":"))) for end in str(text).split("-"))
        (first_hour, first_minute), (last_hour, last_minute) = first, last
    except ValueError:
        raise RebalanceError(f'rebalance.quiet holds {text!r}: hours like "22:00-06:00" are wanted') from None
    hours_fit = 0 <= first_hour < HOURS_PER_DAY and 0 <= last_hour <= HOURS_PER_DAY
    if not hours_fit or max(first_minute, last_minute) >= MINUTES_PER_HOUR or min(first_minute, last_minute) < 0:
        raise RebalanceError(f"rebalance.quiet holds {text!r}: no such hours")
    return first_hour * MINUTES_PER_HOUR + first_minute, last_hour * MINUTES_PER_HOUR + last_minute


def read_rebalance(section: Mapping[str, Any]) -> RebalanceSettings:
    """Reads the operator's `[rebalance]`. Raises RebalanceError that names the wrong key."""
    known_keys = [field.name for field in fields(RebalanceSettings)]
    values = dict(section)
    for name in values.keys() - set(known_keys):
        similar = get_close_matches(name, known_keys, 1)
        raise RebalanceError(f"rebalance.{name} is not known" + (f"; {similar[0]} is" if similar else ""))
    if "order" in values:
        try:
            values["order"] = Order(values["order"])
        except ValueError:
            allowed = ", ".join(order.value for order in Order)
            raise RebalanceError(f"rebalance.order is {values['order']!r}: one of {allowed} is wanted") from None
    if "quiet" in values:
        values["quiet"] = parse_quiet_hours(values["quiet"])
    return RebalanceSettings(**values)
