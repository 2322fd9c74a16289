"""Parses and validates the section `[rebalance]` of the operator's configuration file."""

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
    """A key of `[rebalance]` is unknown or its value is invalid; the message names the key and the allowed values."""


class Order(Enum):
    """Which connections of an overloaded backend are migrated first."""

    LIGHTEST = "lightest-first"
    HEAVIEST = "heaviest-first"
    GROUP = "group-together"


@dataclass(slots=True, frozen=True)
class RebalanceSettings:
    """The section `[rebalance]` of the operator's file; the field names are the keys of the section.

    Rates apply to this relay alone, except `target_moves_per_s`, which applies to all relays together.

    Attributes:
        spread: How far a backend's utilization may exceed the mean, as a fraction of the mean.
        moves_per_s: Maximum migrations per second.
        share_per_s: Maximum migrations per second as a fraction of the established connections; the lower of this and
            `moves_per_s` applies.
        source_moves_per_s: Maximum migrations per second off one backend.
        target_moves_per_s: Maximum migrations per second to one backend, by all relays together.
        dwell_s: Minimum age of a connection before it may be migrated.
        moves_per_submitter: Maximum migrations of one client key within `submitter_window_s`.
        submitter_window_s: Window of `moves_per_submitter`.
        least_gain: Minimum load of a migrated connection in mean connection loads; lighter ones are not worth a
            reconnect.
        order: Which connections are migrated first.
        settle_s: How long a backend must have been ready before it takes part; doubled with each flap.
        newcomer_s: How long a backend that joined may be the cause of migrations.
        hot_s: How long an imbalance beyond random variation must last before it causes migrations without a newcomer.
        quiet: Spans of hours (UTC) without migrations, in minutes of the day; `["22:00-06:00", ...]` in the file.
        beat_s: Interval between rounds.
        return_least: Minimum fraction of migrated clients that must return; below it, the rate falls and migrations
            pause.
        pause_s: Minimum length of a pause.
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
                    f"rebalance.{name} is {value!r}; expected a number from {minimum:g} to {maximum:g}"
                )
        if not isinstance(self.moves_per_submitter, int):
            raise RebalanceError(
                f"rebalance.moves_per_submitter is {self.moves_per_submitter!r}; expected a whole number"
            )

    def is_quiet(self, now_ms: float) -> bool:
        """Return whether a time (Unix milliseconds) is within the quiet hours."""
        minute = int(now_ms / MINUTE_MS) % MINUTES_PER_DAY
        return any(_is_within(minute, first, last) for first, last in self.quiet)


def _is_within(minute: int, first: int, last: int) -> bool:
    """Return whether a minute of the day is within a span, which may cross midnight."""
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
    """Parse spans such as `["22:00-06:00"]` to pairs of minutes of the day.

    Raises:
        RebalanceError: A span is malformed or out of range.
    """
    return tuple(_parse_quiet_span(text) for text in (value if isinstance(value, list) else [value]))


def _parse_quiet_span(text: object) -> tuple[int, int]:
    try:
        first, last = (tuple(map(int, end.split(":"))) for end in str(text).split("-"))
        (first_hour, first_minute), (last_hour, last_minute) = first, last
    except ValueError:
        raise RebalanceError(f'rebalance.quiet contains {text!r}; expected hours such as "22:00-06:00"') from None
    hours_fit = 0 <= first_hour < HOURS_PER_DAY and 0 <= last_hour <= HOURS_PER_DAY
    if not hours_fit or max(first_minute, last_minute) >= MINUTES_PER_HOUR or min(first_minute, last_minute) < 0:
        raise RebalanceError(f"rebalance.quiet contains {text!r}; expected times of day from 00:00 to 24:00")
    return first_hour * MINUTES_PER_HOUR + first_minute, last_hour * MINUTES_PER_HOUR + last_minute


def read_rebalance(section: Mapping[str, Any]) -> RebalanceSettings:
    """Parse the section `[rebalance]` of the operator's file.

    Raises:
        RebalanceError: A key is unknown or its value is invalid.
    """
    known_keys = [field.name for field in fields(RebalanceSettings)]
    values = dict(section)
    for name in values.keys() - set(known_keys):
        similar = get_close_matches(name, known_keys, 1)
        raise RebalanceError(f"unknown key rebalance.{name}" + (f"; did you mean {similar[0]}?" if similar else ""))
    if "order" in values:
        try:
            values["order"] = Order(values["order"])
        except ValueError:
            allowed = ", ".join(order.value for order in Order)
            raise RebalanceError(f"rebalance.order is {values['order']!r}; expected one of {allowed}") from None
    if "quiet" in values:
        values["quiet"] = parse_quiet_hours(values["quiet"])
    return RebalanceSettings(**values)
