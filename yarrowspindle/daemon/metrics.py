"""Counters and gauges of the relay, from the events that the reducer receives and the effects that it returns."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.routing.effects import AbortAttempt, Effect, FailRequest, MigrateConnection, RejectRequest
from yarrowspindle.routing.events import AttemptEnded, EndpointsUpdated, Event
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.telemetry.published_names import EFFECTS, EVENTS, PHASES, TERMINATION_REASONS, reason_name

if TYPE_CHECKING:  # an optional feature, imported only if enabled
    from yarrowspindle.rebalancing import Rebalancer

# Type of effect -> the published prefix of the reason that it carries.
REASON_PREFIXES: Mapping[type, str] = {
    RejectRequest: "refusal",
    FailRequest: "refusal",
    AbortAttempt: "given_up",
    MigrateConnection: "moved",
}

CounterSource = Counter[str] | Callable[[], Counter[str]]
GaugeSource = Callable[[], dict[str, float]]


class MetricsSource(Protocol):
    """A source of counters and gauges for the reports."""

    def counters(self) -> Mapping[str, float]:
        """Return the counts since the start by their published names."""
        ...

    def gauges(self) -> dict[str, float]:
        """Return the current values by their published names."""
        ...


class Metrics:
    """The counters and gauges of one relay.

    Attributes:
        counter_sources: the counters of other parts, by the prefix of their published names.
        gauge_sources: functions that return the gauges of other parts by their published names.
    """

    def __init__(self, reducer: Reducer) -> None:
        self.reducer = reducer
        self.counts: Counter[str] = Counter()
        self.counter_sources: dict[str, CounterSource] = {}
        self.gauge_sources: list[GaugeSource] = []

    def set_rebalancer(self, rebalancer: Rebalancer | None) -> None:
        """Publish the counters of this rebalancer; None stops publishing them."""
        if rebalancer is None:
            self.counter_sources.pop("rebalance", None)
        else:
            self.counter_sources["rebalance"] = rebalancer.counts

    def on_event(self, event: Event) -> None:
        """Count an event that the reducer is about to receive."""
        if isinstance(event, EndpointsUpdated) and event.kind is ListKind.CONFIRMED:
            return
        name = EVENTS.get(type(event))
        if name is not None:
            self.counts[f"event.{name}"] += 1
        elif isinstance(event, AttemptEnded):
            self.counts[f"ending.{TERMINATION_REASONS[event.reason]}"] += 1

    def on_effect(self, effect: Effect) -> None:
        """Count an effect on a request, and the reason that it carries."""
        name = EFFECTS.get(type(effect))
        if name is not None:
            self.counts[f"effect.{name}"] += 1
        if isinstance(effect, RejectRequest | FailRequest | AbortAttempt | MigrateConnection):
            self.counts[f"{REASON_PREFIXES[type(effect)]}.{reason_name(effect.reason)}"] += 1

    def counters(self) -> dict[str, float]:
        """Return all counters by their published names."""
        counters = {name: float(value) for name, value in self.counts.items()}
        for prefix, source in self.counter_sources.items():
            counts = source if isinstance(source, Counter) else source()
            counters |= {f"{prefix}.{name}": float(value) for name, value in counts.items()}
        return counters

    def gauges(self) -> dict[str, float]:
        """Return all gauges by their published names."""
        phases = Counter(request.phase for request in self.reducer.requests.values())
        values = {f"jobs.{name}": float(phases[phase]) for phase, name in PHASES.items()}
        if self.reducer.rebalancer is not None:
            gauges = self.reducer.rebalancer.gauges(self.reducer.now)
            values |= {f"rebalance.{name}": value for name, value in gauges.items()}
        for source in self.gauge_sources:
            values |= source()
        return values | {"nodes": float(len(self.reducer.backends))}
