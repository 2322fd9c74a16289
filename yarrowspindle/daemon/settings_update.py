"""New settings for a running relay: from the file, which SIGHUP reads again, or from the controllers.

A request in flight keeps the class that it was accepted with, so a class keeps its number from one configuration to the
next.
"""

from __future__ import annotations

import json
import os
from collections.abc import Collection, Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from yarrowspindle.daemon.config import (
    RELAY_SPECIFIC_MEMBERS,
    Config,
    ConfigError,
    load_config,
    object_names,
    parse_settings,
)
from yarrowspindle.decisions.settings import RequestClass, Settings
from yarrowspindle.protocol.endpoint_list import ListError, parse_address
from yarrowspindle.protocol.platform_settings import SettingsError
from yarrowspindle.routing.address import Address

# Fields of Config whose changes apply only after a restart.
RESTART_ONLY_FIELDS = frozenset(("name", "listen", "names", "tenants", "max_descriptors", "operator"))


@dataclass(slots=True, frozen=True)
class ReloadedConfig:
    """A reloaded configuration, and the names of the fields whose changes need a restart."""

    config: Config
    needs_restart: list[str]


@dataclass(slots=True, frozen=True)
class SharedSettings:
    """Settings built from shared members, and the names of their request classes by number."""

    settings: Settings
    classes: list[str]


class _ClassNumbering:
    """Assignment of numbers to the request classes of new settings, next to the numbers that are still in use."""

    def __init__(self, old: Config, used_numbers: Collection[int]) -> None:
        self.names = list(old.classes)
        self.entries = list(old.settings.classes)
        self.reserved = {*used_numbers, *old.current_classes.values()}
        self.current: dict[str, int] = {}

    def keep_number(self, name: str, entry: RequestClass) -> None:
        """Give an unchanged class the highest of its numbers, if it has any."""
        known = zip(self.names, self.entries, strict=True)
        numbers = [number for number, pair in enumerate(known) if pair == (name, entry)]
        if numbers:
            self._assign(name, numbers[-1])

    def assign_new_number(self, name: str, entry: RequestClass) -> None:
        """Give a new class the lowest unused number."""
        free = (number for number in range(len(self.entries)) if number not in self.reserved)
        number = next(free, len(self.entries))
        self.names[number : number + 1] = [name]
        self.entries[number : number + 1] = [entry]
        self._assign(name, number)

    def _assign(self, name: str, number: int) -> None:
        self.current[name] = number
        self.reserved.add(number)


def merge_settings(old: Config, new: Config, used_numbers: Collection[int] = ()) -> Config:
    """Return the old configuration with the new settings, in which requests in flight keep their class numbers.

    Args:
        old: the current configuration.
        new: the configuration to apply.
        used_numbers: the class numbers of requests in flight. A number that is neither among them nor belongs to a
            current class of `old` may be reused for another class.
    """
    new_classes = dict(zip(new.classes, new.settings.classes, strict=True))
    numbers = _ClassNumbering(old, used_numbers)
    for name, entry in new_classes.items():
        numbers.keep_number(name, entry)
    for name, entry in new_classes.items():
        if name not in numbers.current:
            numbers.assign_new_number(name, entry)
    count = max(numbers.reserved) + 1
    settings = replace(
        new.settings,
        classes=tuple(numbers.entries[:count]),
        # Tenants and zones are numbered by their positions, which keep their old names until a restart.
        tenants=old.settings.tenants,
        zone=old.settings.zone,
        zones=old.settings.zones,
    )
    return replace(
        old,
        settings=settings,
        classes=numbers.names[:count],
        current_classes={name: numbers.current[name] for name in new_classes},
        raw_settings=new.raw_settings,
    )


def build_shared_settings(relay_settings: Mapping[str, Any], shared: Mapping[str, str]) -> SharedSettings:
    """Build settings from the relay-specific members of a file and the shared members of the controllers.

    Args:
        relay_settings: the member `settings` of the relay's file, of which only the relay-specific members are used.
        shared: the other members, as JSON texts.

    Raises:
        ConfigError: a member is missing or invalid.
    """
    try:
        raw = {key: value for key, value in relay_settings.items() if key in RELAY_SPECIFIC_MEMBERS}
        raw |= {key: json.loads(value, parse_constant=_reject_constant) for key, value in shared.items()}
        names = object_names(raw.get("categories"))
        if not all(name.isprintable() for name in names) or len({"", *names}) <= len(names):
            raise ValueError(
                "categories has a missing, repeated or unprintable name; expected a distinct printable name for each"
            )
        settings = parse_settings(raw)
        if len(names) != len(settings.classes):
            raise ValueError(
                f"categories has {len(names)} objects for {len(settings.classes)} classes; expected a list of objects"
            )
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError, SettingsError) as error:
        reason = str(error) if isinstance(error, ValueError | SettingsError) else repr(error)
        raise ConfigError(f"the shared settings are invalid: {reason}") from error
    return SharedSettings(settings, names)


def _reject_constant(text: str) -> float:
    """Reject NaN and the infinities, which JSON does not have."""
    raise ValueError(f"{text} is not a number in JSON")


def apply_shared_settings(config: Config, shared: Mapping[str, str]) -> Config:
    """Return the configuration with the shared settings, or with the file's settings if `shared` is empty."""
    if shared:
        built = build_shared_settings(config.raw_settings, shared)
    else:
        classes = object_names(config.raw_settings.get("categories"))
        built = SharedSettings(parse_settings(config.raw_settings), classes)
    current = {name: number for number, name in enumerate(built.classes)}
    return replace(config, settings=built.settings, classes=built.classes, current_classes=current)


def reload_config(
    old: Config,
    environ: Mapping[str, str] = os.environ,
    used_numbers: Collection[int] = (),
    shared: Mapping[str, str] | None = None,
) -> ReloadedConfig:
    """Read the configuration file again.

    Args:
        old: the current configuration.
        environ: the environment of the process.
        used_numbers: the class numbers of requests in flight.
        shared: settings from the controllers, which take precedence over the file's.

    Raises:
        ConfigError: the file cannot be read or is invalid; the current configuration stays in force.
    """
    new = load_config(environ)
    discovery = _reloaded_discovery(old, new)
    needs_restart = [
        field.name
        for field in fields(new)
        if field.name in RESTART_ONLY_FIELDS and getattr(new, field.name) != getattr(old, field.name)
    ]
    if shared:
        new = apply_shared_settings(new, shared)
    merged = replace(merge_settings(old, new, used_numbers), discovery=discovery, file_discovery=new.file_discovery)
    return ReloadedConfig(merged, needs_restart)


def _reloaded_discovery(old: Config, new: Config) -> Address:
    """Return the discovery address after a reload.

    The environment of a running process cannot change, so an address that changed in the file overrides it.
    """
    if not new.file_discovery or new.file_discovery == old.file_discovery:
        return old.discovery
    try:
        return parse_address(new.file_discovery)
    except ListError as error:
        raise ConfigError(f"the configuration is invalid: {error!r}") from error
