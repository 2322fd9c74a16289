"""The entries of the shared configuration: members of the platform's `settings`, each as JSON text.

Relays and controllers validate entries with the same function, which depends on the entries alone, so that all reach
the same result. Relay-specific members are not shared: they come from each relay's file.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any

from yarrowspindle.configuration.state import Entries
from yarrowspindle.daemon.config import RELAY_SPECIFIC_MEMBERS, ConfigError
from yarrowspindle.daemon.settings_update import build_shared_settings

SHARED_MEMBERS = (
    "balancers",
    "categories",
    "deductions",
    "discovery",
    "family_info",
    "limits",
    "obligations",
    "over_share_worth",
    "stats",
    "step_ms",
    "weight_kind",
)
# Valid relay-specific members, for checking the shared ones without a relay's file.
SAMPLE_RELAY_SETTINGS = {"zone": 0, "slot_no": 0, "azs": ["a"], "skus": ["m"], "realms": []}
MAX_REASON_CHARACTERS = 300


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """A platform's settings, divided into shared entries, relay-specific members and unrecognized members."""

    entries: dict[str, str]
    relay_specific: list[str]
    unrecognized: list[str]


def unshareable_key_reason(keys: Iterable[str]) -> str:
    """Return the reason why one of the keys cannot be shared, or an empty string if all can."""
    for key in sorted(keys):
        if key in RELAY_SPECIFIC_MEMBERS:
            return f"settings.{key} is specific to each relay; expected only in the relays' files"
        if key not in SHARED_MEMBERS:
            similar = get_close_matches(key, SHARED_MEMBERS, 1)
            suggestion = f"; did you mean {similar[0]}?" if similar else ""
            return f"unknown key settings.{key}{suggestion}"
    return ""


def check_shared_settings(entries: Entries) -> str:
    """Return the reason why relays cannot apply these entries, or an empty string if they can.

    The result does not depend on a relay's own members. Without entries a relay uses the settings of its file.
    """
    if not entries:
        return ""
    reason = unshareable_key_reason(entries)
    if not reason:
        try:
            build_shared_settings(SAMPLE_RELAY_SETTINGS, entries)
        except ConfigError as error:
            reason = str(error)
    return reason[:MAX_REASON_CHARACTERS]


def entry_value(value: object) -> str:
    """Return a member of the settings, encoded as the value of an entry."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False, allow_nan=False)


def read_platform_settings(settings: Mapping[str, Any]) -> PlatformSettings:
    """Divide a platform's settings into shared, relay-specific and unrecognized members."""
    return PlatformSettings(
        entries={key: entry_value(value) for key, value in settings.items() if key in SHARED_MEMBERS},
        relay_specific=sorted(settings.keys() & RELAY_SPECIFIC_MEMBERS),
        unrecognized=sorted(settings.keys() - RELAY_SPECIFIC_MEMBERS - set(SHARED_MEMBERS)),
    )
