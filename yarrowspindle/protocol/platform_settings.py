"""Conversion of an instance's settings, under the platform's names, to the library's `Settings`."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TypeVar

from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant

T = TypeVar("T")
EFFECTS = {"pure": Idempotency.IDEMPOTENT, "token": Idempotency.KEYED, "side_effect": Idempotency.NON_IDEMPOTENT}
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


class SettingsError(Exception):
    """A required setting is missing, or a setting is invalid."""


class SettingsReader:
    """Typed access to path=value settings. Each method raises SettingsError if the value is not of its type."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str, default: str | None = None) -> str:
        """Return the text of the value; the default if it is absent or null."""
        value = self.pairs.get(path, default)
        if value == "null":  # how a flattened JSON null is written
            value = default
        if value is None:
            raise SettingsError(f"setting {path} is missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        """Return a finite number."""
        value = self.text(path, None if default is None else repr(default))
        try:
            number = float(value)
        except ValueError:
            raise SettingsError(f"setting {path} is not a number: {value!r}") from None
        if not math.isfinite(number):
            raise SettingsError(f"setting {path} is not finite: {value}")
        return number

    def integer(self, path: str, default: int | None = None) -> int:
        """Return an integer."""
        value = float(self.number(path, default))
        if not value.is_integer():
            raise SettingsError(f"setting {path} is not an integer: {value}")
        return int(value)

    def flag(self, path: str, default: bool = False) -> bool:
        """Return a truth value."""
        value = self.text(path, "true" if default else "false")
        if value not in ("true", "false"):
            raise SettingsError(f"setting {path} is neither true nor false: {value!r}")
        return value == "true"

    def name_list(self, path: str) -> list[str]:
        """Return comma-separated names."""
        return [v for v in self.text(path, "").split(",") if v]

    def number_list(self, path: str) -> list[float]:
        """Return comma-separated numbers; 0 for each null."""
        try:
            return [0.0 if v == "null" else float(v) for v in self.name_list(path)]
        except ValueError:
            raise SettingsError(f"setting {path} is not a list of numbers: {self.text(path)!r}") from None

    def choice(self, path: str, table: Mapping[str, T], default: str) -> T:
        """Return the entry of the table under the value."""
        value = self.text(path, default)
        if value not in table:
            raise SettingsError(f"setting {path} has an unknown value: {value!r}")
        return table[value]


def read_settings(pairs: dict[str, str]) -> Settings:
    """Return the library's settings from path=value pairs. Ignore unknown keys. Raise SettingsError if invalid."""
    reader = SettingsReader(pairs)
    message_objectives = reader.number_list("family_info.message_aim_ms")
    classes = tuple(
        RequestClass(
            setup_latency_objective_ms=reader.number(f"categories.{i}.slo_ms"),
            deadline_ms=reader.number(f"categories.{i}.deadline_ms"),
            idempotency=reader.choice(f"categories.{i}.effect", EFFECTS, "side_effect"),
            deduplication_scope=reader.choice(f"categories.{i}.group", GROUPS, "cell"),
            idempotency_window_ms=reader.number(f"categories.{i}.window_ms", 0.0),
            priority_weight=reader.number(f"categories.{i}.points", 1.0),
            message_latency_objective_ms=message_objectives[i] if i < len(message_objectives) else 0.0,
        )
        for i in range(reader.integer("categories.count"))
    )
    if not classes or any(c.deadline_ms <= 0.0 or not math.isfinite(c.deadline_ms) for c in classes):
        raise SettingsError("settings need at least one category, each with a finite deadline_ms greater than 0")
    quota = reader.number_list("family_info.tenant_quota_connections")
    tenants = tuple(
        Tenant(
            quota_per_s=reader.number(f"realms.{i}.quota_per_s", 0.0),
            quota_connections=quota[i] if i < len(quota) else 0.0,
            share=reader.number(f"realms.{i}.share", 0.0),
        )
        for i in range(reader.integer("realms.count", 0))
    )
    if reader.integer("limits.max_attempts") <= 0:
        raise SettingsError("setting limits.max_attempts is not greater than 0")
    return Settings(
        classes=classes,
        zone=reader.integer("zone", 0),
        zones=max(1, len(reader.name_list("azs"))),
        number=reader.integer("slot_no"),
        balancers=reader.integer("balancers"),
        tenants=tenants,
        over_quota_priority_weight=reader.number("over_share_worth", 1.0),
        polls_discovery=reader.choice("discovery", {"automatic": False, "subscribe": True}, "automatic"),
        poll_interval_ms=reader.number("obligations.ask_within_ms", 10_000.0),
        drain_grace_ms=reader.number("obligations.drain_grace_ms"),
        answer_slack_ms=reader.number("obligations.answer_slack_ms"),
        initial_capacity_fraction=reader.number("obligations.cold_share"),
        warmup_ms=reader.number("obligations.cold_ms"),
        overload_multiple=reader.number("obligations.fall_multiple"),
        overload_window_ms=reader.number("obligations.fall_ms"),
        connect_timeout_ms=reader.number("limits.connect_timeout_ms", 250.0),
        conn_idle_ms=reader.number("limits.conn_idle_ms", 30_000.0),
        tick_ms=reader.number("step_ms", 1.0),
        max_attempts=reader.integer("limits.max_attempts"),
        max_retry_after_ms=reader.number("limits.max_retry_after_ms", 0.0),
        clients_heed_retry_after=reader.flag("limits.retry_after"),
        may_cancel=reader.flag("limits.cancel"),
        may_probe=reader.flag("limits.probing"),
        can_gossip=reader.flag("limits.may_tell"),
        cross_zone_price=reader.number("deductions.cross_zone", 0.0),
        backend_reports_load=reader.flag("family_info.tells_load", True),
        backend_reports_latency=reader.flag("family_info.tells_delay", True),
        move_price=reader.number("deductions.moves", 0.0),
        probe_price=reader.number("deductions.probe", 0.0),
        capacity_excludes_load=reader.text("weight_kind", "nominal") == "live",
        groups_share_work=reader.flag("family_info.groups"),
        load_report_fields=tuple(reader.name_list("stats.columns"))
        if reader.text("stats.source", "none") != "none"
        else (),
    )
