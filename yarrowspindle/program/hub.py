"""The daemon's wiring: the runtime round the reducer, the machine list, the configuration, metrics, and the fronts."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

from loguru import logger

from yarrowspindle.interface import ListKind, State
from yarrowspindle.program.config import Config, ConfigError, Operator, load_operator, reload_config
from yarrowspindle.program.handover import HandoverError, beside_of
from yarrowspindle.program.log import Bounded
from yarrowspindle.program.metrics import Metrics
from yarrowspindle.protocol.machines import ListError, list_data, parse_list
from yarrowspindle.routing.messages import (
    Beside,
    Effect,
    Event,
    ListTold,
    Machine,
    Rebalance,
    Rejoin,
    Reloaded,
    Retune,
    Stop,
    Watch,
)
from yarrowspindle.routing.reducer import Reducer, node_number
from yarrowspindle.runtime import Clock, Runtime, Timers
from yarrowspindle.runtime.list_watch import ListWatch
from yarrowspindle.runtime.prober import Prober
from yarrowspindle.telemetry import Telemetry

IDLE_PART = 0.8  # of the time after which nodes close idle connections: the relay closes them first
EVACUATE_MS = 2500.0  # all standing connections are moved within this time after an evacuation


def log(level: str, text: str) -> None:
    logger.opt(exception=level == "error").log(level.upper(), "{}", text)


class Hub:
    def __init__(self, config: Config, clock: Clock, operator: Operator | None = None,
                 timers: Timers | None = None) -> None:  # fmt: skip
        self.config, self.operator = config, operator or Operator()
        reducer = Reducer(config.settings, config.seed, clock.now(), config.discovery)
        self.runtime = Runtime(reducer, clock, log, timers)
        self.reducer, self.fronts = reducer, self.runtime.fronts
        self.post, self.forget, self.new_job = self.runtime.post, self.runtime.forget, self.runtime.new_job
        self.metrics = Metrics(self.reducer)
        self.metrics.sources["runtime"] = self.runtime.counts
        self.runtime.seen.append(lambda now, event: self.metrics.event(event))
        self.telemetry = Telemetry(reducer, self.class_name)
        self.runtime.seen.append(lambda now, event: self.telemetry.event(event))
        self.machines: dict[str, Machine] = {}  # the list as last told
        self.runtime.seen.append(lambda now, event: self._listed(event))
        self.runtime.effect = self._effect
        self.serving = False  # set once the fronts take connections, and unset when they no longer do
        self.watch = ListWatch(
            config.names, self.post, lambda why: logger.warning("the watch on the machine list is over: {}", why))
        self.runtime.watch = self._watch
        self.bad_probes = Bounded(time.monotonic)
        self.prober = Prober(config.settings.report, IDLE_PART * config.settings.conn_idle_ms / 1000.0, self.post,
                             self.bad_probes.warn)  # fmt: skip
        self.metrics.sources["probes"] = self.prober.counts
        self.runtime.probe = self.prober.probe

    def start(self, inherited: dict[str, Any] | None = None) -> None:
        """`inherited`: the state of the process beside which this one was started, see `program/handover.py`."""
        self.runtime.start()
        known, beside = self.config.known, None
        if inherited is not None:
            try:
                beside = beside_of(inherited)
                if inherited.get("list") is not None:
                    newer = parse_list(inherited["list"], self.config.names, ListKind.CACHED)
                    known = max(newer, known, key=lambda told: told.version)
            except (HandoverError, ListError) as error:
                logger.warning("the hand-over is ignored: {}", error)
                beside = None
        self.post(known)
        if beside is not None:
            logger.info("this process takes over: list {}, {} connections stand beside it", known.version,
                        sum(count for count, _ in beside.held.values()))  # fmt: skip
            self.post(beside)
            # What the old process is told counts as told to both: no waiting for a moment drawn by chance.
            self.watch.ask(known.version, self.config.discovery)
        self._rebalance()

    def handed(self) -> tuple[Beside, dict[str, Any]]:
        """What a process that is started beside this one must know."""
        servers = self.reducer.balancer.servers
        machines = [replace(m, capacity=servers[number].capacity) if (number := node_number(m.name)) in servers else m
                    for m in self.machines.values()]  # fmt: skip
        listed = list_data(ListTold(ListKind.FULL, machines, self.reducer.version), self.config.names)
        return self.reducer.beside(), listed

    def _listed(self, event: Event) -> None:
        if isinstance(event, ListTold) and event.kind is not ListKind.FAILED:
            if event.kind is not ListKind.DELTA:
                self.machines.clear()
            for machine in event.machines:
                if machine.state is State.GONE:
                    self.machines.pop(machine.name, None)
                else:
                    self.machines[machine.name] = machine

    def _effect(self, effect: Effect) -> None:
        self.metrics.effect(effect)
        self.telemetry.effect(effect)

    def class_name(self, cls: int) -> str:
        classes = self.config.classes
        return classes[cls] if 0 <= cls < len(classes) else str(cls)

    # --- what operators ask and tell --------------------------------------------------------------

    def ready(self) -> bool:
        """Whether this process takes new connections: it serves, and neither drains nor stops."""
        return self.serving and not self.reducer.draining

    def evacuate(self) -> None:
        """Empties the relay by the same way as SIGTERM, and outlives it; once is enough."""
        if not self.reducer.draining:
            logger.info("evacuating: {} jobs are here; standing connections are moved", len(self.reducer.jobs))
            self.post(Stop(EVACUATE_MS, exits=False))

    def rejoin(self) -> None:
        """Back to work after an evacuation; harmless without one, and no help after SIGTERM."""
        if self.reducer.draining and not self.reducer.exits:
            logger.info("rejoining: new connections are taken again")
            self.post(Rejoin())

    def _rebalance(self) -> None:
        if self.operator.rebalance is not None or self.reducer.rebalance is not None:
            self.post(Rebalance(self.operator.rebalance, self.config.seed))
            self.metrics.rebalance(self.reducer.rebalance)

    def stop(self, within_ms: float, succeeded: bool = False) -> None:
        self.post(Stop(within_ms, succeeded=succeeded))  # also after an evacuation: this one ends with the process

    def reload(self) -> None:
        """Reads the configuration's file again. One that makes no sense changes nothing."""
        try:
            operator = load_operator()
            config, waiting = reload_config(self.config)
        except ConfigError as error:
            self.telemetry.reloaded(False)
            logger.error("the configuration was turned down, the old one stays whole: {}", error)
            return
        retuned, self.config = config.settings != self.config.settings, config
        self.telemetry.reloaded(True)
        if retuned:
            logger.info("new settings are taken: classes {}", ", ".join(sorted(config.current)))
            self.prober.fields = config.settings.report
            self.post(Retune(config.settings))
        if waiting:
            logger.warning("changes of {} need a restart", ", ".join(waiting))
        logger.info("the configuration was read again; the machine list is at {}:{}", *self.config.discovery)
        self.post(Reloaded(self.config.discovery))
        if operator.rebalance != self.operator.rebalance:
            logger.info("[rebalance] was read again: {}", operator.rebalance or "off")
            self.operator = replace(self.operator, rebalance=operator.rebalance)
            self._rebalance()
        if operator != self.operator:
            logger.warning("changes of the operator's file outside [rebalance] need a restart")

    def _watch(self, effect: Watch) -> None:
        self.watch.ask(effect.version, effect.address or self.config.discovery, effect.renew)
