"""Which imbalance is worth a migration: the level, the sources above it and the targets below it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum, unique
from math import sqrt

from yarrowspindle.rebalancing.fleet_view import BackendRecord, FleetView
from yarrowspindle.rebalancing.settings import RebalanceSettings

MIN_BACKENDS = 2
CHANCE_DEVIATIONS = 3.0  # beyond so many standard deviations an own load is no longer chance
MIN_NEWCOMER_ROOM = 0.5  # in mean loads: with less room than this a newcomer is no cause


@unique
class Cause(StrEnum):
    """What makes an imbalance worth a migration; the values are published in metrics."""

    JOINED = "joined"  # a backend has come that takes its part of the load
    HOT = "hot"  # a backend has been far above the level for long, beyond what chance explains


@dataclass(slots=True)
class Assessment:
    """What a look at the fleet shows. Loads are as in the view; `level` and `imbalance` are loads over capacity.

    Attributes:
        participants: the backends whose loads compare.
        level: the load over capacity that all would have if they were even.
        imbalance: of the fullest one, above the level.
        excess: load above the level at the sources.
        room: load below the level at the targets.
        sources: backends that connections may leave.
        targets: backends that they may go to.
        cause: None: nothing is worth a migration.
    """

    participants: list[BackendRecord] = field(default_factory=list)
    level: float = 0.0
    imbalance: float = 0.0
    excess: float = 0.0
    room: float = 0.0
    sources: list[BackendRecord] = field(default_factory=list)
    targets: list[BackendRecord] = field(default_factory=list)
    cause: Cause | None = None


def assess(now: float, view: FleetView, settings: RebalanceSettings, drawn: Sequence[int]) -> Assessment:
    """Compares the loads of the backends that placement may choose.

    A backend above the level by more than `settings.spread` is a source; one below it is a target, unless it rejected
    returning clients of late.

    Args:
        now: milliseconds.
        view: what this relay knows of backends and connections.
        settings: of rebalancing.
        drawn: the ids of the backends that the ordinary draw may take; own loads compare among these only.
    """
    found = Assessment()
    settle_ms = settings.settle_s * 1000.0
    records = (view.by_id.get(number) for number in drawn)
    found.participants = [r for r in records if r is not None and view.is_settled(now, r, settle_ms)]
    capacity = sum(record.capacity for record in found.participants)
    if len(found.participants) < MIN_BACKENDS or capacity <= 0.0:
        return found
    found.level = sum(record.load for record in found.participants) / capacity
    found.imbalance = max(record.utilization for record in found.participants) - found.level
    mean_load = view.mean_load or 1.0
    newcomer_room = 0.0
    for record in found.participants:
        _classify(now, record, found, settings)
        _note_hot(now, record, found.level, mean_load, settings)
        newcomer_room += _newcomer_room(now, record, found.level, view, settings)
    if newcomer_room > max(0.0, mean_load * MIN_NEWCOMER_ROOM):
        _attribute_to_newcomers(found, newcomer_room, settings)
    else:
        _attribute_to_hot_backends(now, found, settings)
    return found


def _classify(now: float, record: BackendRecord, found: Assessment, settings: RebalanceSettings) -> None:
    """Adds the backend to the targets or the sources."""
    if record.utilization < found.level and now >= record.excluded_until:
        found.targets.append(record)
        found.room += (found.level - record.utilization) * record.capacity
    if record.utilization > found.level * (1.0 + settings.spread):
        found.sources.append(record)
        found.excess += (record.utilization - found.level) * record.capacity


def _newcomer_room(
    now: float, record: BackendRecord, level: float, view: FleetView, settings: RebalanceSettings
) -> float:
    """Returns the load that a target which joined of late lacks; 0 for any other backend."""
    if record.utilization >= level or now < record.excluded_until:
        return 0.0
    # The list tells when a process started, also to a relay that has only just begun or was just switched on.
    warm_at = record.started + view.warmup_ms if record.started else 0.0
    if max(record.joined_at, warm_at) <= now - settings.newcomer_s * 1000.0:
        return 0.0
    return (level * (1.0 - settings.spread) - record.utilization) * record.capacity


def _note_hot(now: float, record: BackendRecord, level: float, mean_load: float, settings: RebalanceSettings) -> None:
    """Notes since when the backend has been above the level by more than spread and chance explain."""
    chance = CHANCE_DEVIATIONS * mean_load * sqrt(len(record.connections) + 1.0) / record.capacity
    if record.utilization <= level + max(settings.spread * level, chance):
        record.hot_since = -1.0
    elif record.hot_since < 0.0:
        record.hot_since = now


def _attribute_to_newcomers(found: Assessment, newcomer_room: float, settings: RebalanceSettings) -> None:
    """Only what the newcomers lack, and a spread for all targets, is worth a migration."""
    found.cause = Cause.JOINED
    tolerance = settings.spread * found.level * sum(record.capacity for record in found.targets)
    found.room = min(found.room, newcomer_room + tolerance)


def _attribute_to_hot_backends(now: float, found: Assessment, settings: RebalanceSettings) -> None:
    """Only backends that have been hot for long enough stay sources."""
    hot_before = now - settings.hot_s * 1000.0
    found.sources = [record for record in found.sources if 0.0 <= record.hot_since <= hot_before]
    found.excess = sum((record.utilization - found.level) * record.capacity for record in found.sources)
    found.cause = Cause.HOT if found.sources else None
