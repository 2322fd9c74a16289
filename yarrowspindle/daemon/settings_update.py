"""New settings for a running relay: from the file, read again at SIGHUP, or from the controllers.

Requests in flight keep the class that they were accepted with, so classes keep their numbers from one configuration to
the next.
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

# Fields of Config whose changes are not taken up by a running relay.
RESTART_ONLY_FIELDS = frozenset(("name", "listen", "names", "tenants", "max_descriptors", "operator"))


@dataclass(slots=True, frozen=True)
class ReloadedConfig:
    """A configuration that was read again, and the fields whose changes need a restart."""

    config: Config
    needs_restart: list[str]


@dataclass(slots=True, frozen=True)
class SharedSettings:
    """Settings built from shared members, with the names of their request classes by number."""

    settings: Settings
    classes: list[str]


class _ClassNumbering:
    """Gives the request classes of new settings their numbers beside those that are still in use."""

    def __init__(self, old: Config, used_numbers: Collection[int]) -> None:
        self.names = list(old.classes)
        self.entries = list(old.settings.classes)
        self.reserved = {*used_numbers, *old.current_classes.values()}
        self.current: dict[str, int] = {}

    def keep_number(self, name: str, entry: RequestClass) -> None:
        """Gives a class the newest number under which it stands unchanged, if there is one."""
        known = zip(self.names, self.entries, strict=True)
        numbers = [number for number, pair in enumerate(known) if pair == (name, entry)]
        if numbers:
            self._assign(name, numbers[-1])

    def assign_new_number(self, name: str, entry: RequestClass) -> None:
        """Gives a new class the lowest number that nothing uses."""
        free = (number for number in range(len(self.entries)) if number not in self.reserved)
        number = next(free, len(self.entries))
        self.names[number : number + 1] = [name]
        self.entries[number : number + 1] = [entry]
        self._assign(name, number)

    def _assign(self, name: str, number: int) -> None:
        self.current[name] = number
        self.reserved.add(number)


def merge_settings(old: Config, new: Config, used_numbers: Collection[int] = ()) -> Config:
    """Returns the old configuration with the new settings, its classes numbered so that requests in flight keep theirs.

    Args:
        old: what the relay runs by.
        new: what it is to run by.
        used_numbers: the class numbers of requests in flight. A number that is neither used nor accepted new
            requests until now may stand for another class from here on.
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
        # Tenants and zones go by their places, which the old names stand for until a restart.
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
    """Builds settings of which all members but a relay's own are shared.

    Args:
        relay_settings: the member `settings` of the relay's file, of which only the relay's own members are used.
        shared: the other members, as JSON texts.

    Raises:
        ConfigError: a member is missing or invalid.
    """
    try:
        raw = {key: value for key, value in relay_settings.items() if key in RELAY_SPECIFIC_MEMBERS}
        raw |= {key: json.loads(value, parse_constant=_reject_constant) for key, value in shared.items()}
        names = object_names(raw.get("categories"))
        if not all(name.isprintable() for name in names) or len({"", *names}) <= len(names):
            raise ValueError("each of the categories has a name of its own")
        settings = parse_settings(raw)
        if len(names) != len(settings.classes):
            raise ValueError("categories is a list of objects")
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError, SettingsError) as error:
        reason = str(error) if isinstance(error, ValueError | SettingsError) else repr(error)
        raise ConfigError(f"the shared settings are invalid: {reason}") from error
    return SharedSettings(settings, names)


def _reject_constant(text: str) -> float:
    """Refuses NaN and the infinities, which JSON does not have."""
    raise ValueError(f"{text} is no number")


def apply_shared_settings(config: Config, shared: Mapping[str, str]) -> Config:
    """Returns the configuration with the shared settings in place of the file's; without any, with the file's."""
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
    """Reads the configuration file again.

    Args:
        old: what the relay runs by.
        environ: the process's environment.
        used_numbers: the class numbers of requests in flight.
        shared: settings from the controllers, which go before the file's.

    Raises:
        ConfigError: the file cannot be read or is invalid; the relay goes on as before.
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
    """The environment of a running process cannot change, so a discovery that is new in the file goes before it."""
    if not new.file_discovery or new.file_discovery == old.file_discovery:
        return old.discovery
    try:
        return parse_address(new.file_discovery)
    except ListError as error:
        raise ConfigError(f"the configuration is invalid: {error!r}") from error
