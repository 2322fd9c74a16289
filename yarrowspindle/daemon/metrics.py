"""Counters and gauges of the core's events, sent to Graphite and collectd where the operator's file says so."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from yarrowspindle.daemon.config import MetricsConfig
from yarrowspindle.protocol import collectd, graphite
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.effects import AbortAttempt, Effect, FailRequest, MigrateConnection, RejectRequest
from yarrowspindle.routing.events import AttemptEnded, Event
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.telemetry.published_names import EFFECTS, EVENTS, PHASES, TERMINATION_REASONS, reason_name
from yarrowspindle.transport.receivers import Datagrams, Receiver

if TYPE_CHECKING:
    from yarrowspindle.rebalancing import Rebalancer

REASONS: dict[type, str] = {
    RejectRequest: "refusal",
    FailRequest: "refusal",
    AbortAttempt: "given_up",
    MigrateConnection: "moved",
}


class Figures(Protocol):
    def counters(self) -> Mapping[str, float]: ...
    def gauges(self) -> dict[str, float]: ...


class Metrics:
    def __init__(self, reducer: Reducer) -> None:
        self.reducer = reducer
        self.counts: Counter[str] = Counter()
        # Counters that others keep, under their names, or who gives them.
        self.sources: dict[str, Counter[str] | Callable[[], Counter[str]]] = {}
        self.more_gauges: list[Callable[[], dict[str, float]]] = []

    def rebalance(self, rebalancer: Rebalancer | None) -> None:
        if rebalancer is None:
            self.sources.pop("rebalance", None)
        else:
            self.sources["rebalance"] = rebalancer.counts

    def counters(self) -> dict[str, float]:
        found = {name: float(value) for name, value in self.counts.items()}
        for source, counts in self.sources.items():
            kept = counts if isinstance(counts, Counter) else counts()
            found |= {f"{source}.{name}": float(value) for name, value in kept.items()}
        return found

    def event(self, event: Event) -> None:
        name = EVENTS.get(type(event))
        if name is not None:
            self.counts[f"event.{name}"] += 1
        elif isinstance(event, AttemptEnded):
            self.counts[f"ending.{TERMINATION_REASONS[event.reason]}"] += 1

    def effect(self, effect: Effect) -> None:
        name = EFFECTS.get(type(effect))
        if name is not None:
            self.counts[f"effect.{name}"] += 1
        reasons = REASONS.get(type(effect))
        if reasons is not None:
            self.counts[f"{reasons}.{reason_name(effect.reason)}"] += 1  # type: ignore[union-attr]  # all of these have one

    def gauges(self) -> dict[str, float]:
        phases = Counter(request.phase for request in self.reducer.requests.values())
        found = {f"jobs.{name}": float(phases[phase]) for phase, name in PHASES.items()}
        if self.reducer.rebalancer is not None:
            gauges = self.reducer.rebalancer.gauges(self.reducer.now)
            found |= {f"rebalance.{name}": value for name, value in gauges.items()}
        for more in self.more_gauges:
            found |= more()
        return found | {"nodes": float(len(self.reducer.backends))}


async def report(metrics: Figures, config: MetricsConfig, name: str) -> None:
    """Sends a report at each interval until it is cancelled. One that fails costs itself alone."""
    reporter = Reporter(metrics, config, name)
    said = ""
    while True:
        await asyncio.sleep(config.interval_s)
        try:
            await reporter.report()
            said = ""
        except Exception as error:  # of whatever kind: figures are lost, connections are not
            if (why := repr(error)) != said:
                logger.warning("a report was not sent: {}", why)
            said = why


class Reporter:
    """Sends reports to the receivers that the operator's file names."""

    def __init__(self, metrics: Figures, config: MetricsConfig, name: str) -> None:
        self.metrics, self.config, self.name = metrics, config, name
        self.receiver = Receiver(config.graphite) if config.graphite else None
        self.datagrams: Datagrams | None = None

    async def report(self) -> None:
        """Raises what a source of figures or the system raises."""
        config, now = self.config, time.time()
        counters, gauges = dict(self.metrics.counters()), self.metrics.gauges()
        if self.receiver is not None:
            self.receiver.send(graphite.plaintext(f"{config.prefix}.{self.name}", counters | gauges, now))
        if config.collectd is None:
            return
        if self.datagrams is None:
            self.datagrams = await open_datagrams(config.collectd)
        for packet in collectd.packets(self.name, counters, gauges, now, config.interval_s):
            self.datagrams.send(packet)


async def open_datagrams(address: Address) -> Datagrams:
    datagrams = Datagrams()
    await asyncio.get_running_loop().create_datagram_endpoint(lambda: datagrams, remote_addr=address)
    return datagrams
