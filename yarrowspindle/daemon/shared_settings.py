"""What the entries of the configuration mean to a relay: members of the platform's `settings`, as JSON texts.

Relays and controllers judge by the same function of the entries alone, so that all come to the same result. Members
that are specific to a relay are not shared: they come from its file.
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
# Stands for the relay-specific members of any relay.
SAMPLE_RELAY_SETTINGS = {"zone": 0, "slot_no": 0, "azs": ["a"], "skus": ["m"], "realms": []}
MAX_REASON_CHARACTERS = 300


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """A platform's settings, divided into shared entries, relay-specific members and members that are not read."""

    entries: dict[str, str]
    relay_specific: list[str]
    unrecognized: list[str]


def unshareable_key_reason(keys: Iterable[str]) -> str:
    """Returns why one of the keys cannot be shared; empty where all can."""
    for key in sorted(keys):
        if key in RELAY_SPECIFIC_MEMBERS:
            return f"{key} is each relay's own: it stays in the relays' files"
        if key not in SHARED_MEMBERS:
            similar = get_close_matches(key, SHARED_MEMBERS, 1)
            suggestion = f"; {similar[0]} is" if similar else ""
            return f"{key} is no member of the settings that the program reads{suggestion}"
    return ""


def check_shared_settings(entries: Entries) -> str:
    """Returns why a relay cannot serve by these entries; empty where it can, whatever its own members are.

    Without entries a relay serves by its file.
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
    """Returns a member of the settings as the value of an entry."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False, allow_nan=False)


def read_platform_settings(settings: Mapping[str, Any]) -> PlatformSettings:
    """Divides a platform's settings."""
    return PlatformSettings(
        entries={key: entry_value(value) for key, value in settings.items() if key in SHARED_MEMBERS},
        relay_specific=sorted(settings.keys() & RELAY_SPECIFIC_MEMBERS),
        unrecognized=sorted(settings.keys() - RELAY_SPECIFIC_MEMBERS - set(SHARED_MEMBERS)),
    )
