"""What the program is told at its start: the platform's configuration and the operator's file."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from yarrowspindle.interface import ListKind, Settings
from yarrowspindle.protocol.machines import ListError, Names, parse_address, parse_list
from yarrowspindle.routing.messages import Address, ListTold
from yarrowspindle.settings import SettingsError, read_settings


class ConfigError(Exception):
    """The configuration is missing or makes no sense."""


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs of the simulator's wire."""
    if isinstance(value, dict):
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(scalar(item) for item in value)
    else:
        yield path, scalar(value)


def scalar(value: object) -> str:
    if value is None:
        return "null"
    return str(value).lower() if isinstance(value, bool) else str(value)


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    known: ListTold
    names: Names = field(default_factory=Names)
    classes: list[str] = field(default_factory=list)
    tenants: list[str] = field(default_factory=list)


def names_of(items: object) -> list[str]:
    return [str(i.get("name", "")) for i in items if isinstance(i, dict)] if isinstance(items, list) else []


def read_config(data: Mapping[str, Any]) -> Config:
    try:
        raw = data["settings"]
        names = Names([str(z) for z in raw.get("azs") or []], [str(k) for k in raw.get("skus") or []])
        known = data.get("known") or {"members": []}
        seed = data.get("seed", "0")
        return Config(
            name=str(data["name"]),
            listen=parse_address(str(data["listen"])),
            discovery=parse_address(str(data["discovery"])),
            seed=int(seed, 16) if isinstance(seed, str) else int(seed),
            settings=read_settings(dict(flatten(raw))),
            known=parse_list(known, names, ListKind.CACHED),
            names=names,
            classes=names_of(raw.get("categories")),
            tenants=names_of(raw.get("realms")),
        )
    except (KeyError, TypeError, ValueError, AttributeError, ListError, SettingsError) as error:
        raise ConfigError(f"the configuration makes no sense: {error!r}") from error


def load_config(environ: Mapping[str, str] = os.environ) -> Config:
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG names no file")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path} cannot be read: {error}") from error
    if not isinstance(data, dict):
        raise ConfigError(f"{path} holds no object")
    for key, variable in (("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN"), ("discovery", "ROUTER_DISCOVERY")):
        if environ.get(variable):
            data[key] = environ[variable]
    return read_config(data)
