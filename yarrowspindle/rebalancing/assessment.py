"""Decides whether an imbalance justifies migrations, and determines the source and target backends.

All loads are those of this relay's own connections. A backend's utilization is that load divided by its capacity.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum, unique
from math import sqrt

from yarrowspindle.rebalancing.fleet_view import BackendRecord, FleetView
from yarrowspindle.rebalancing.settings import RebalanceSettings

MIN_BACKENDS = 2
NOISE_DEVIATIONS = 3.0  # standard deviations above the mean up to which a load counts as random variation
MIN_NEWCOMER_HEADROOM = 0.5  # in mean connection loads; newcomers with less headroom do not justify migrations


@unique
class ImbalanceCause(StrEnum):
    """Why an imbalance justifies migrations; the values are part of metric names."""

    JOINED = "joined"  # a backend that joined recently has less than its share of the load
    HOT = "hot"  # a backend's load has exceeded spread and random variation for at least `hot_s`


@dataclass(slots=True)
class Assessment:
    """The load distribution over the backends in one round.

    Attributes:
        participants: Backends whose loads are compared.
        mean_utilization: Total load over total capacity: the utilization of each backend in perfect balance.
        imbalance: Highest utilization minus the mean utilization.
        excess: Total load of the sources above the mean utilization.
        headroom: Total load of the targets below the mean utilization.
        sources: Backends that connections may be migrated from.
        targets: Backends that connections may be migrated to.
        cause: Why the imbalance justifies migrations; None if it does not.
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
    """Compare the loads of the backends that the balancer may select.

    A backend whose utilization exceeds the mean by more than `settings.spread` is a source. A backend below the mean is
    a target, unless returning clients recently failed to connect to it.

    Args:
        now: Current time in milliseconds.
        view: Backends and connections known to this relay.
        settings: Rebalancing settings.
        candidate_ids: Ids of the backends that this relay's balancer selects from; only their loads are comparable.
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
        _update_hot_since(now, record, assessment.mean_utilization, mean_load, settings)
        newcomer_headroom += _newcomer_headroom(now, record, assessment.mean_utilization, view, settings)
    if newcomer_headroom > max(0.0, mean_load * MIN_NEWCOMER_HEADROOM):
        _attribute_to_newcomers(assessment, newcomer_headroom, settings)
    else:
        _attribute_to_hot_backends(now, assessment, settings)
    return assessment


def _classify(now: float, record: BackendRecord, assessment: Assessment, settings: RebalanceSettings) -> None:
    """Add the backend to the targets if it is below the mean, or to the sources if it is above mean and spread."""
    if record.utilization < assessment.mean_utilization and now >= record.excluded_until:
        assessment.targets.append(record)
        assessment.headroom += (assessment.mean_utilization - record.utilization) * record.capacity
    if record.utilization > assessment.mean_utilization * (1.0 + settings.spread):
        assessment.sources.append(record)
        assessment.excess += (record.utilization - assessment.mean_utilization) * record.capacity


def _newcomer_headroom(
    now: float, record: BackendRecord, mean_utilization: float, view: FleetView, settings: RebalanceSettings
) -> float:
    """Return how much load a recently joined target lacks; 0 for any other backend."""
    if record.utilization >= mean_utilization or now < record.excluded_until:
        return 0.0
    # The start time in the endpoint list identifies newcomers even if this relay started after they joined.
    warm_at = record.started + view.warmup_ms if record.started else 0.0
    if max(record.joined_at, warm_at) <= now - settings.newcomer_s * 1000.0:
        return 0.0
    return (mean_utilization * (1.0 - settings.spread) - record.utilization) * record.capacity


def _update_hot_since(
    now: float, record: BackendRecord, mean_utilization: float, mean_load: float, settings: RebalanceSettings
) -> None:
    """Update the time since which the backend's utilization has exceeded both spread and random variation."""
    noise = NOISE_DEVIATIONS * mean_load * sqrt(len(record.connections) + 1.0) / record.capacity
    if record.utilization <= mean_utilization + max(settings.spread * mean_utilization, noise):
        record.hot_since = -1.0
    elif record.hot_since < 0.0:
        record.hot_since = now


def _attribute_to_newcomers(assessment: Assessment, newcomer_headroom: float, settings: RebalanceSettings) -> None:
    """Limit the headroom to the load that the newcomers lack, plus the tolerated spread of all targets."""
    assessment.cause = ImbalanceCause.JOINED
    tolerance = settings.spread * assessment.mean_utilization * sum(record.capacity for record in assessment.targets)
    assessment.headroom = min(assessment.headroom, newcomer_headroom + tolerance)


def _attribute_to_hot_backends(now: float, assessment: Assessment, settings: RebalanceSettings) -> None:
    """Keep as sources only the backends that have been hot for at least `hot_s`."""
    latest_hot_since = now - settings.hot_s * 1000.0
    assessment.sources = [record for record in assessment.sources if 0.0 <= record.hot_since <= latest_hot_since]
    assessment.excess = sum(
        (record.utilization - assessment.mean_utilization) * record.capacity for record in assessment.sources
    )
    assessment.cause = ImbalanceCause.HOT if assessment.sources else None
