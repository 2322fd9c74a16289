"""Which imbalance is worth a migration: the level, the sources above it and the targets below it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum, unique
from math import sqrt

from yarrowspindle.rebalancing.fleet_view import BackendRecord, FleetView
from yarrowspindle.rebalancing.settings import RebalanceSettings

MIN_BACKENDS = 2
NOISE_DEVIATIONS = 3.0  # beyond so many standard deviations an own load is no longer chance
MIN_NEWCOMER_HEADROOM = 0.5  # in mean loads: with less room than this a newcomer is no cause


@unique
class ImbalanceCause(StrEnum):
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
    mean_utilization: float = 0.0
    imbalance: float = 0.0
    excess: float = 0.0
    headroom: float = 0.0
    sources: list[BackendRecord] = field(default_factory=list)
    targets: list[BackendRecord] = field(default_factory=list)
    cause: ImbalanceCause | None = None


def assess(now: float, view: FleetView, settings: RebalanceSettings, candidate_ids: Sequence[int]) -> Assessment:
    """Compares the loads of the backends that placement may choose.

    A backend above the level by more than `settings.spread` is a source; one below it is a target, unless it rejected
    returning clients of late.

    Args:
        now: milliseconds.
        view: what this relay knows of backends and connections.
        settings: of rebalancing.
        candidate_ids: the ids of the backends that the ordinary draw may take; own loads compare among these only.
    """
    assessment = Assessment()
    settle_ms = settings.settle_s * 1000.0
    records = (view.by_id.get(backend_id) for backend_id in candidate_ids)
    assessment.participants = [
        record for record in records if record is not None and view.is_settled(now, record, settle_ms)
    ]
    capacity = sum(record.capacity for record in assessment.participants)
    if len(assessment.participants) < MIN_BACKENDS or capacity <= 0.0:
        return assessment
    assessment.mean_utilization = sum(record.load for record in assessment.participants) / capacity
    assessment.imbalance = max(record.utilization for record in assessment.participants) - assessment.mean_utilization
    mean_load = view.mean_load or 1.0
    newcomer_headroom = 0.0
    for record in assessment.participants:
        _classify(now, record, assessment, settings)
        _track_hot(now, record, assessment.mean_utilization, mean_load, settings)
        newcomer_headroom += _newcomer_headroom(now, record, assessment.mean_utilization, view, settings)
    if newcomer_headroom > max(0.0, mean_load * MIN_NEWCOMER_HEADROOM):
        _attribute_to_newcomers(assessment, newcomer_headroom, settings)
    else:
        _attribute_to_hot_backends(now, assessment, settings)
    return assessment


def _classify(now: float, record: BackendRecord, assessment: Assessment, settings: RebalanceSettings) -> None:
    """Adds the backend to the targets or the sources."""
    if record.utilization < assessment.mean_utilization and now >= record.excluded_until:
        assessment.targets.append(record)
        assessment.headroom += (assessment.mean_utilization - record.utilization) * record.capacity
    if record.utilization > assessment.mean_utilization * (1.0 + settings.spread):
        assessment.sources.append(record)
        assessment.excess += (record.utilization - assessment.mean_utilization) * record.capacity


def _newcomer_headroom(
    now: float, record: BackendRecord, mean_utilization: float, view: FleetView, settings: RebalanceSettings
) -> float:
    """Returns the load that a target which joined of late lacks; 0 for any other backend."""
    if record.utilization >= mean_utilization or now < record.excluded_until:
        return 0.0
    # The list tells when a process started, also to a relay that has only just begun or was just switched on.
    warm_at = record.started + view.warmup_ms if record.started else 0.0
    if max(record.joined_at, warm_at) <= now - settings.newcomer_s * 1000.0:
        return 0.0
    return (mean_utilization * (1.0 - settings.spread) - record.utilization) * record.capacity


def _track_hot(
    now: float, record: BackendRecord, mean_utilization: float, mean_load: float, settings: RebalanceSettings
) -> None:
    """Notes since when the backend has been above the level by more than spread and chance explain."""
    noise = NOISE_DEVIATIONS * mean_load * sqrt(len(record.connections) + 1.0) / record.capacity
    if record.utilization <= mean_utilization + max(settings.spread * mean_utilization, noise):
        record.hot_since = -1.0
    elif record.hot_since < 0.0:
        record.hot_since = now


def _attribute_to_newcomers(assessment: Assessment, newcomer_headroom: float, settings: RebalanceSettings) -> None:
    """Only what the newcomers lack, and a spread for all targets, is worth a migration."""
    assessment.cause = ImbalanceCause.JOINED
    tolerance = settings.spread * assessment.mean_utilization * sum(record.capacity for record in assessment.targets)
    assessment.headroom = min(assessment.headroom, newcomer_headroom + tolerance)


def _attribute_to_hot_backends(now: float, assessment: Assessment, settings: RebalanceSettings) -> None:
    """Only backends that have been hot for long enough stay sources."""
    latest_hot_since = now - settings.hot_s * 1000.0
    assessment.sources = [record for record in assessment.sources if 0.0 <= record.hot_since <= latest_hot_since]
    assessment.excess = sum(
        (record.utilization - assessment.mean_utilization) * record.capacity for record in assessment.sources
    )
    assessment.cause = ImbalanceCause.HOT if assessment.sources else None
