"""What the program is told at its start: the platform's configuration and the operator's file."""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.protocol.endpoint_list import ListError, Names, parse_address, parse_list
from yarrowspindle.protocol.platform_settings import SettingsError, read_settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import EndpointsUpdated

if TYPE_CHECKING:  # the platform does without these packages
    from yarrowspindle.configuration.settings import ControlSettings
    from yarrowspindle.maintenance.settings import TurnSettings
    from yarrowspindle.membership import PeerSettings
    from yarrowspindle.rebalancing import RebalanceSettings


LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")
OWN = frozenset(("zone", "slot_no", "azs", "skus", "realms"))  # members of `settings` that are each relay's own


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
    known: EndpointsUpdated
    names: Names = field(default_factory=Names)
    classes: list[str] = field(default_factory=list)  # the name of each class by its number, over all reloads
    current: dict[str, int] = field(default_factory=dict)  # the number of each class that takes connections now
    tenants: list[str] = field(default_factory=list)
    sockets: int = 0  # the platform's limit on descriptors; 0: not told
    operator: Address | None = None  # where the operators' API listens; None: nowhere
    written: str = ""  # discovery as the file has it, whatever the environment says
    raw: Mapping[str, Any] = field(default_factory=dict)  # `settings` as the file has them


def names_of(items: object) -> list[str]:
    return [str(i.get("name", "")) for i in items if isinstance(i, dict)] if isinstance(items, list) else []


def read_members(raw: Mapping[str, Any]) -> Settings:
    # Word on long messages needs a beat to be told from a load (routing/figures.py), and comes when they are long
    # already: own load judges beside it. Without that a day at size loses 0.1, one on sockets 0.16.
    return replace(read_settings(dict(flatten(raw))), uses_own_load=True)


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
            settings=read_members(raw),
            known=parse_list(known, names, ListKind.CACHED),
            names=names,
            classes=names_of(raw.get("categories")),
            current={name: number for number, name in enumerate(names_of(raw.get("categories")))},
            tenants=names_of(raw.get("realms")),
            sockets=int((data.get("limits") or {}).get("sockets") or 0),
            operator=parse_address(str(data["operator"])) if data.get("operator") else None,
            raw=raw,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ListError, SettingsError) as error:
        raise ConfigError(f"the configuration makes no sense: {error!r}") from error


@dataclass(slots=True, frozen=True)
class QuicConfig:
    listen: Address
    id_key: bytes  # of the connection ids that nodes issue
    reset_key: bytes  # of the Stateless Reset tokens
    node_port: int = 0  # 0: the port that the machine list gives
    deadline_ms: float = 0.0  # 0: the first class's
    answer_ms: float = 1000.0  # a node that has not answered by then is given up
    idle_s: float = 30.0
    max_connections: int = 400


@dataclass(slots=True, frozen=True)
class MetricsConfig:
    graphite: Address | None = None
    collectd: Address | None = None
    prefix: str = "yarrowspindle"
    interval_s: float = 10.0


@dataclass(slots=True, frozen=True)
class Operator:
    """What the operator's file switches on; all of it is off without one."""

    log_level: str = "INFO"
    quic: QuicConfig | None = None
    metrics: MetricsConfig | None = None
    rebalance: RebalanceSettings | None = None
    peers: PeerSettings | None = None
    turns: TurnSettings | None = None
    control: ControlSettings | None = None


def read_operator(text: str) -> Operator:
    try:
        data = tomllib.loads(text)
        unknown = data.keys() - {"log", "quic", "metrics", "rebalance", "peers", "turns", "control"}
        if unknown:
            raise ValueError(f"unknown sections: {sorted(unknown)}")
        for name, section in data.items():
            if not isinstance(section, dict):
                raise ValueError(f"{name} is a section")
        level = str(data.get("log", {}).get("level", "INFO"))
        if level not in LOG_LEVELS:
            raise ValueError(f"log.level is one of {', '.join(LOG_LEVELS)}")
        if "turns" in data and "peers" not in data:
            raise ValueError("[turns] needs [peers]: relays that do not hear one another agree on nothing")
        return Operator(
            level,
            read_quic(dict(data["quic"])) if "quic" in data else None,
            read_metrics(dict(data["metrics"])) if "metrics" in data else None,
            read_rebalance(data["rebalance"]) if "rebalance" in data else None,
            read_peers(data["peers"]) if "peers" in data else None,
            read_turns(data["turns"]) if "turns" in data else None,
            read_control(data["control"]) if "control" in data else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError, ListError) as error:
        said = str(error) if isinstance(error, ValueError) else repr(error)  # a KeyError says only the key
        raise ConfigError(f"the operator's file makes no sense: {said}") from error


def read_quic(section: dict[str, Any]) -> QuicConfig:
    listen = parse_address(section.pop("listen"))
    id_key, reset_key = bytes.fromhex(section.pop("id_key")), bytes.fromhex(section.pop("reset_key"))
    quic = QuicConfig(listen, id_key, reset_key, **section)
    if len(id_key) != 16 or len(reset_key) < 16 or quic.max_connections < 1 or quic.idle_s <= 0.0:
        raise ValueError("id_key has 16 bytes, reset_key at least 16; max_connections and idle_s are positive")
    return quic


def read_rebalance(section: Mapping[str, Any]) -> RebalanceSettings:
    from yarrowspindle.rebalancing.settings import read_rebalance as read

    return read(section)


def read_peers(section: Mapping[str, Any]) -> PeerSettings:
    try:
        from yarrowspindle.membership.settings import read_peers as read  # the platform does without the package
    except ImportError as error:
        raise ValueError(f"[peers] needs requirements-peers.txt: {error}") from error
    return read(section)


def read_turns(section: Mapping[str, Any]) -> TurnSettings:
    from yarrowspindle.maintenance.settings import read_turns as read

    return read(section)


def read_control(section: Mapping[str, Any]) -> ControlSettings:
    try:
        # Imported late: the platform does without the package that this one needs.
        from yarrowspindle.configuration.settings import read_control_settings
    except ImportError as error:
        raise ValueError(f"[control] needs requirements-turns.txt: {error}") from error
    return read_control_settings(section)


def read_metrics(section: dict[str, Any]) -> MetricsConfig:
    for name in ("graphite", "collectd"):
        if name in section:
            section[name] = parse_address(section[name])
    metrics = MetricsConfig(**section)
    if metrics.interval_s <= 0.0:
        raise ValueError("interval_s is positive")
    return metrics


def load_operator(environ: Mapping[str, str] = os.environ) -> Operator:
    path = environ.get("YARROWSPINDLE_OPERATOR")
    if not path:
        return Operator()
    try:
        return read_operator(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} cannot be read: {error}") from error


def load_config(environ: Mapping[str, str] = os.environ) -> Config:
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG names no file")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path} cannot be read: {error}") from error
    if not isinstance(data, dict):
        raise ConfigError(f"{path} holds no object")
    written = str(data.get("discovery") or "")
    for key, variable in (
        ("name", "ROUTER_NAME"),
        ("listen", "ROUTER_LISTEN"),
        ("discovery", "ROUTER_DISCOVERY"),
        ("operator", "ROUTER_OPERATOR"),
    ):
        if environ.get(variable):
            data[key] = environ[variable]
    return replace(read_config(data), written=written)


NEED_RESTART = frozenset(("name", "listen", "names", "tenants", "sockets", "operator"))


def retune(old: Config, new: Config, used: Collection[int] = ()) -> Config:
    """The old configuration with the new settings, its classes numbered so that jobs under way keep theirs. used: the
    numbers of their classes. One that no job uses, and that took none until now, is another class's from here on."""
    names, entries, current = list(old.classes), list(old.settings.classes), dict[str, int]()
    taken = {*used, *old.current.values()}
    wanted = dict(zip(new.classes, new.settings.classes, strict=True))
    for name, entry in wanted.items():
        known = [n for n, (was, kept) in enumerate(zip(names, entries, strict=True)) if was == name and kept == entry]
        if known:
            current[name] = known[-1]
            taken.add(known[-1])
    for name in [name for name in wanted if name not in current]:
        number = next((n for n in range(len(entries)) if n not in taken), len(entries))
        names[number : number + 1], entries[number : number + 1] = [name], [wanted[name]]
        current[name] = number
        taken.add(number)
    current = {name: current[name] for name in wanted}
    most = max(taken) + 1
    was = old.settings  # tenants and zones go by their places, which the old names stand for until a restart
    settings = replace(new.settings, classes=tuple(entries[:most]), tenants=was.tenants, zone=was.zone, zones=was.zones)
    return replace(old, settings=settings, classes=names[:most], current=current, raw=new.raw)


def shared_settings(own: Mapping[str, Any], shared: Mapping[str, str]) -> tuple[Settings, list[str]]:
    """The settings, and the names of their classes, where all members but a relay's own are shared, as JSON texts."""
    try:
        raw = {key: value for key, value in own.items() if key in OWN}
        raw |= {key: json.loads(value, parse_constant=_no_number) for key, value in shared.items()}
        names = names_of(raw.get("categories"))
        if not all(name.isprintable() for name in names) or len({"", *names}) <= len(names):
            raise ValueError("each of the categories has a name of its own")
        settings = read_members(raw)
        if len(names) != len(settings.classes):
            raise ValueError("categories is a list of objects")
        return settings, names
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError, SettingsError) as error:
        said = str(error) if isinstance(error, ValueError | SettingsError) else repr(error)
        raise ConfigError(f"the shared settings make no sense: {said}") from error


def _no_number(text: str) -> float:
    raise ValueError(f"{text} is no number")


def share(config: Config, shared: Mapping[str, str]) -> Config:
    """By the file's settings, or by the shared ones in their place where there are any."""
    if shared:
        settings, names = shared_settings(config.raw, shared)
    else:
        settings, names = read_members(config.raw), names_of(config.raw.get("categories"))
    current = {name: number for number, name in enumerate(names)}
    return replace(config, settings=settings, classes=names, current=current)


def reload_config(
    old: Config,
    environ: Mapping[str, str] = os.environ,
    used: Collection[int] = (),
    shared: Mapping[str, str] | None = None,
) -> tuple[Config, list[str]]:
    """The configuration after the file was read again, and which changes in it wait for a restart.

    The environment cannot change under a running process: where the file names another machine list than it did
    before, the file's word is the newer one."""
    new = load_config(environ)
    try:
        moved = parse_address(new.written) if new.written and new.written != old.written else old.discovery
    except ListError as error:
        raise ConfigError(f"the configuration makes no sense: {error!r}") from error
    waiting = [f.name for f in fields(new) if f.name in NEED_RESTART and getattr(new, f.name) != getattr(old, f.name)]
    new = share(new, shared) if shared else new
    return replace(retune(old, new, used), discovery=moved, written=new.written), waiting
