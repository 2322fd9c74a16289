"""The configuration that the platform gives a relay: the JSON file that `ROUTER_CONFIG` names, and the environment.

The member names of the file are part of its published format. This module and `yarrowspindle.protocol` map them to the
terms of the code.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.protocol.endpoint_list import ListError, ZoneAndKindNames, parse_address, parse_list
from yarrowspindle.protocol.platform_settings import SettingsError, read_settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import EndpointsUpdated

# Members of `settings` that are specific to each relay; the controllers never distribute them.
RELAY_SPECIFIC_MEMBERS = frozenset(("zone", "slot_no", "azs", "skus", "realms"))

# Member of the file -> the environment variable that overrides it.
ENVIRONMENT_OVERRIDES = {
    "name": "ROUTER_NAME",
    "listen": "ROUTER_LISTEN",
    "discovery": "ROUTER_DISCOVERY",
    "operator": "ROUTER_OPERATOR",
}

INVALID_VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, ListError, SettingsError)


class ConfigError(Exception):
    """A configuration file is missing, unreadable or invalid; the message says which and why."""


@dataclass(slots=True)
class Config:
    """The configuration of a relay.

    Attributes:
        name: the name of this relay, which a restart does not change.
        listen: the address at which clients connect.
        discovery: the address of the discovery service.
        seed: the seed of the random source; each start has a new one.
        settings: the balancer's settings.
        known: the last endpoint list of this relay's previous process; it may be outdated.
        names: the names of zones and machine kinds by number.
        classes: the name of each request class by number, including classes that a reload removed.
        current_classes: the number of each class that accepts new requests, by name.
        tenants: the names of the tenants by number.
        max_descriptors: the platform's limit on file descriptors; 0: no limit is given.
        operator: the address of the operators' API; None: the API is off.
        file_discovery: the member `discovery` of the file, without the environment's override; empty: not given.
        raw_settings: the member `settings` of the file, as decoded.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    known: EndpointsUpdated
    names: ZoneAndKindNames = field(default_factory=ZoneAndKindNames)
    classes: list[str] = field(default_factory=list)
    current_classes: dict[str, int] = field(default_factory=dict)
    tenants: list[str] = field(default_factory=list)
    max_descriptors: int = 0
    operator: Address | None = None
    file_discovery: str = ""
    raw_settings: Mapping[str, Any] = field(default_factory=dict)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested JSON as the path=value pairs that the simulator sends."""
    if isinstance(value, dict):
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(_scalar_text(item) for item in value)
    else:
        yield path, _scalar_text(value)


def _scalar_text(value: object) -> str:
    if value is None:
        return "null"
    return str(value).lower() if isinstance(value, bool) else str(value)


def object_names(items: object) -> list[str]:
    """Return the member `name` of each object in a JSON list, or an empty list for any other value."""
    if not isinstance(items, list):
        return []
    return [str(item.get("name", "")) for item in items if isinstance(item, dict)]


def parse_settings(raw: Mapping[str, Any]) -> Settings:
    """Read the member `settings`. Raise SettingsError if a member is missing or invalid."""
    # A single slow-message report cannot be distinguished from a load report (routing/load_reports.py), and it arrives
    # only after the message was slow, so the balancer also uses the relay's own load.
    return replace(read_settings(dict(flatten(raw))), uses_own_load=True)


def read_config(data: Mapping[str, Any]) -> Config:
    """Read the decoded configuration file. Raise ConfigError if a member is missing or invalid."""
    try:
        raw = data["settings"]
        names = ZoneAndKindNames(
            [str(zone) for zone in raw.get("azs") or []], [str(kind) for kind in raw.get("skus") or []]
        )
        known = data.get("known") or {"members": []}
        seed = data.get("seed", "0")
        classes = object_names(raw.get("categories"))
        return Config(
            name=str(data["name"]),
            listen=parse_address(str(data["listen"])),
            discovery=parse_address(str(data["discovery"])),
            seed=int(seed, 16) if isinstance(seed, str) else int(seed),
            settings=parse_settings(raw),
            known=parse_list(known, names, ListKind.CACHED),
            names=names,
            classes=classes,
            current_classes={name: number for number, name in enumerate(classes)},
            tenants=object_names(raw.get("realms")),
            max_descriptors=int((data.get("limits") or {}).get("sockets") or 0),
            operator=parse_address(str(data["operator"])) if data.get("operator") else None,
            raw_settings=raw,
        )
    except INVALID_VALUE_ERRORS as error:
        raise ConfigError(f"the configuration is invalid: {error!r}") from error


def load_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file that `ROUTER_CONFIG` names. Raise ConfigError if it cannot be read or is invalid."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set; expected the path of the configuration file")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path} cannot be read: {error}") from error
    if not isinstance(data, dict):
        raise ConfigError(f"{path} has a {type(data).__name__} at its top level; expected a JSON object")
    file_discovery = str(data.get("discovery") or "")
    for member, variable in ENVIRONMENT_OVERRIDES.items():
        if environ.get(variable):
            data[member] = environ[variable]
    return replace(read_config(data), file_discovery=file_discovery)
