"""Counters and gauges of the relay, from the events that the reducer receives and the effects that it asks for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from yarrowspindle.routing.effects import AbortAttempt, Effect, FailRequest, MigrateConnection, RejectRequest
from yarrowspindle.routing.events import AttemptEnded, Event
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.telemetry.published_names import EFFECTS, EVENTS, PHASES, TERMINATION_REASONS, reason_name

if TYPE_CHECKING:  # the platform does without this package
    from yarrowspindle.rebalancing import Rebalancer

# The published prefix of the reasons that an effect carries.
REASON_PREFIXES: Mapping[type, str] = {
    RejectRequest: "refusal",
    FailRequest: "refusal",
    AbortAttempt: "given_up",
    MigrateConnection: "moved",
}

CounterSource = Counter[str] | Callable[[], Counter[str]]
GaugeSource = Callable[[], dict[str, float]]


class MetricsSource(Protocol):
    """Whatever has counters and gauges to report."""

    def counters(self) -> Mapping[str, float]:
        """Returns the counts since the start, by their published names."""
        ...

    def gauges(self) -> dict[str, float]:
        """Returns the values as of now, by their published names."""
        ...


class Metrics:
    """The counters and gauges of one relay.

    Attributes:
        sources: counters that other parts keep, by the prefix under which they are published.
        more_gauges: functions that return gauges of other parts, by their published names.
    """

    def __init__(self, reducer: Reducer) -> None:
        self.reducer = reducer
        self.counts: Counter[str] = Counter()
        self.sources: dict[str, CounterSource] = {}
        self.more_gauges: list[GaugeSource] = []

    def rebalance(self, rebalancer: Rebalancer | None) -> None:
        """Publishes the rebalancer's counters, or no longer where it is off."""
        if rebalancer is None:
            self.sources.pop("rebalance", None)
        else:
            self.sources["rebalance"] = rebalancer.counts

    def event(self, event: Event) -> None:
        """Counts an event that the reducer is about to receive."""
        name = EVENTS.get(type(event))
        if name is not None:
            self.counts[f"event.{name}"] += 1
        elif isinstance(event, AttemptEnded):
            self.counts[f"ending.{TERMINATION_REASONS[event.reason]}"] += 1

    def effect(self, effect: Effect) -> None:
        """Counts an effect on a request, and the reason that it carries."""
        name = EFFECTS.get(type(effect))
        if name is not None:
            self.counts[f"effect.{name}"] += 1
        if isinstance(effect, RejectRequest | FailRequest | AbortAttempt | MigrateConnection):
            self.counts[f"{REASON_PREFIXES[type(effect)]}.{reason_name(effect.reason)}"] += 1

    def counters(self) -> dict[str, float]:
        """Returns all counters by their published names."""
        found = {name: float(value) for name, value in self.counts.items()}
        for prefix, source in self.sources.items():
            counts = source if isinstance(source, Counter) else source()
            found |= {f"{prefix}.{name}": float(value) for name, value in counts.items()}
        return found

    def gauges(self) -> dict[str, float]:
        """Returns all gauges by their published names."""
        phases = Counter(request.phase for request in self.reducer.requests.values())
        found = {f"jobs.{name}": float(phases[phase]) for phase, name in PHASES.items()}
        if self.reducer.rebalancer is not None:
            gauges = self.reducer.rebalancer.gauges(self.reducer.now)
            found |= {f"rebalance.{name}": value for name, value in gauges.items()}
        for source in self.more_gauges:
            found |= source()
        return found | {"nodes": float(len(self.reducer.backends))}
