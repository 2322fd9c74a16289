"""The operator's TOML file, which `YARROWSPINDLE_OPERATOR` names: it enables the optional features."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.protocol.endpoint_list import ListError, parse_address
from yarrowspindle.routing.address import Address

if TYPE_CHECKING:  # optional features, whose dependencies may not be installed
    from yarrowspindle.configuration.settings import ControlSettings
    from yarrowspindle.maintenance.settings import MaintenanceSettings
    from yarrowspindle.membership import PeerSettings
    from yarrowspindle.rebalancing import RebalanceSettings

FILE_VARIABLE = "YARROWSPINDLE_OPERATOR"
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")
SECTIONS = frozenset(("log", "quic", "metrics", "rebalance", "peers", "turns", "control"))
ID_KEY_BYTES = 16
MIN_RESET_KEY_BYTES = 16


@dataclass(slots=True, frozen=True)
class QuicConfig:
    """The section [quic]. The field names are the keys of the file.

    Attributes:
        listen: the UDP address of the front.
        id_key: the key of the connection ids that backends issue, 16 bytes.
        reset_key: the key of the Stateless Reset tokens, at least 16 bytes.
        node_port: the port of the backends; 0: the port in the endpoint list.
        deadline_ms: the time within which a client must get a backend; 0: the deadline of the first request class.
        answer_ms: the time after which an attempt at a backend that has not answered is aborted.
        idle_s: the time without packets after which a connection has ended.
        max_connections: the limit on concurrent connections, each of which has a socket of its own.
    """

    listen: Address
    id_key: bytes
    reset_key: bytes
    node_port: int = 0
    deadline_ms: float = 0.0
    answer_ms: float = 1000.0
    idle_s: float = 30.0
    max_connections: int = 400


@dataclass(slots=True, frozen=True)
class MetricsConfig:
    """The section [metrics]: the receivers of reports, the prefix of their names and the interval in seconds."""

    graphite: Address | None = None
    collectd: Address | None = None
    prefix: str = "yarrowspindle"
    interval_s: float = 10.0


@dataclass(slots=True, frozen=True)
class OperatorConfig:
    """The features that the operator's file enables. Each field but `log_level` has the name of its section."""

    log_level: str = "INFO"
    quic: QuicConfig | None = None
    metrics: MetricsConfig | None = None
    rebalance: RebalanceSettings | None = None
    peers: PeerSettings | None = None
    turns: MaintenanceSettings | None = None
    control: ControlSettings | None = None


def read_operator_config(text: str) -> OperatorConfig:
    """Read the text of the file. Raise ConfigError, whose message names the invalid section or key."""
    try:
        data = tomllib.loads(text)
        _check_sections(data)
        return OperatorConfig(
            _read_log_level(data.get("log", {})),
            _read_quic(dict(data["quic"])) if "quic" in data else None,
            _read_metrics(dict(data["metrics"])) if "metrics" in data else None,
            _read_rebalance(data["rebalance"]) if "rebalance" in data else None,
            _read_peers(data["peers"]) if "peers" in data else None,
            _read_turns(data["turns"]) if "turns" in data else None,
            _read_control(data["control"]) if "control" in data else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError, ListError) as error:
        reason = str(error) if isinstance(error, ValueError) else repr(error)  # the text of a KeyError is only the key
        raise ConfigError(f"the operator's file is invalid: {reason}") from error


def load_operator_config(environ: Mapping[str, str] = os.environ) -> OperatorConfig:
    """Read the file that the environment names; without one, all features are off. Raise ConfigError."""
    path = environ.get(FILE_VARIABLE)
    if not path:
        return OperatorConfig()
    try:
        return read_operator_config(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} cannot be read: {error}") from error


def _check_sections(data: Mapping[str, Any]) -> None:
    unknown = data.keys() - SECTIONS
    if unknown:
        raise ValueError(
            f"unknown sections {', '.join(sorted(unknown))}; expected sections among {', '.join(sorted(SECTIONS))}"
        )
    for name, section in data.items():
        if not isinstance(section, dict):
            raise ValueError(f"{name} is {section!r}; expected a section, [{name}]")
    if "turns" in data and "peers" not in data:
        raise ValueError("[turns] needs [peers]: without membership, relays cannot reach a quorum")


def _read_log_level(section: Mapping[str, Any]) -> str:
    level = str(section.get("level", "INFO"))
    if level not in LOG_LEVELS:
        raise ValueError(f"log.level is {level!r}; expected one of {', '.join(LOG_LEVELS)}")
    return level


def _read_quic(section: dict[str, Any]) -> QuicConfig:
    listen = parse_address(section.pop("listen"))
    id_key = bytes.fromhex(section.pop("id_key"))
    reset_key = bytes.fromhex(section.pop("reset_key"))
    quic = QuicConfig(listen, id_key, reset_key, **section)
    key_lengths_valid = len(id_key) == ID_KEY_BYTES and len(reset_key) >= MIN_RESET_KEY_BYTES
    if not key_lengths_valid or quic.max_connections < 1 or quic.idle_s <= 0.0:
        raise ValueError(
            f"quic.id_key has {len(id_key)} bytes, quic.reset_key has {len(reset_key)} bytes, quic.max_connections is "
            f"{quic.max_connections}, quic.idle_s is {quic.idle_s}; expected 16 bytes, at least 16 bytes, at least 1, "
            "and a number above 0"
        )
    return quic


def _read_metrics(section: dict[str, Any]) -> MetricsConfig:
    for name in ("graphite", "collectd"):
        if name in section:
            section[name] = parse_address(section[name])
    metrics = MetricsConfig(**section)
    if metrics.interval_s <= 0.0:
        raise ValueError(f"metrics.interval_s is {metrics.interval_s}; expected a number above 0")
    return metrics


def _read_rebalance(section: Mapping[str, Any]) -> RebalanceSettings:
    from yarrowspindle.rebalancing.settings import read_rebalance

    return read_rebalance(section)


def _read_peers(section: Mapping[str, Any]) -> PeerSettings:
    try:
        from yarrowspindle.membership.settings import read_peers
    except ImportError as error:
        raise ValueError(f"[peers] needs requirements-peers.txt: {error}") from error
    return read_peers(section)


def _read_turns(section: Mapping[str, Any]) -> MaintenanceSettings:
    from yarrowspindle.maintenance.settings import read_maintenance_settings

    return read_maintenance_settings(section)


def _read_control(section: Mapping[str, Any]) -> ControlSettings:
    try:
        from yarrowspindle.configuration.settings import read_control_settings
    except ImportError as error:
        raise ValueError(f"[control] needs requirements-turns.txt: {error}") from error
    return read_control_settings(section)
