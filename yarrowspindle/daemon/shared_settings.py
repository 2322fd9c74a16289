"""What the shared entries of control mean to a relay: members of the platform's `settings`, as JSON texts. Pure.

Relays and controllers judge by the same function of the entries alone, so that all judge alike. Members that are a
relay's own are not shared: they come from its file.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from difflib import get_close_matches
from typing import Any

from yarrowspindle.daemon.config import RELAY_OWN_MEMBERS, ConfigError
from yarrowspindle.daemon.settings_update import build_shared_settings

SHARED = (
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
STAND_IN = {"zone": 0, "slot_no": 0, "azs": ["a"], "skus": ["m"], "realms": []}  # for the own members of any relay
MAX_WHY = 300  # characters


def unknown(keys: Iterable[str]) -> str:
    """Why a key cannot be shared; empty: all can."""
    for key in sorted(keys):
        if key in RELAY_OWN_MEMBERS:
            return f"{key} is each relay's own: it stays in the relays' files"
        if key not in SHARED:
            near = get_close_matches(key, SHARED, 1)
            return f"{key} is no member of the settings that the program reads" + (f"; {near[0]} is" if near else "")
    return ""


def check(entries: Mapping[str, str]) -> str:
    """Why a relay cannot serve by these entries; empty: it can, whatever its own members are. None: by its file."""
    if not entries:
        return ""
    why = unknown(entries)
    if not why:
        try:
            build_shared_settings(STAND_IN, entries)
        except ConfigError as error:
            why = str(error)
    return why[:MAX_WHY]


def text_of(value: object) -> str:
    """A member as an entry's value."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False, allow_nan=False)


def shared_of(settings: Mapping[str, Any]) -> tuple[dict[str, str], list[str], list[str]]:
    """Of a platform's settings: the entries; members that are each relay's own; such as the program does not read."""
    entries = {key: text_of(value) for key, value in settings.items() if key in SHARED}
    return (
        entries,
        sorted(settings.keys() & RELAY_OWN_MEMBERS),
        sorted(settings.keys() - RELAY_OWN_MEMBERS - set(SHARED)),
    )
