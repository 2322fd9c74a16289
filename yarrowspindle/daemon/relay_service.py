"""The daemon's wiring: the runtime round the reducer, the machine list, the configuration, metrics, and the fronts."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import replace

from loguru import logger

from yarrowspindle.daemon.config import Config, ConfigError, Operator, load_operator, reload_config, retune, share
from yarrowspindle.daemon.log import Bounded
from yarrowspindle.daemon.metrics import Metrics
from yarrowspindle.routing.effects import Effect, WatchEndpoints
from yarrowspindle.routing.events import (
    DiscoveryAddressChanged,
    DrainCancelled,
    MaintenanceUpdated,
    RebalancingConfigured,
    SettingsChanged,
    ShutdownRequested,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.runtime import Clock, Runtime, SystemClock, Timers
from yarrowspindle.runtime.endpoint_watch import ListWatch
from yarrowspindle.runtime.health_checker import Prober
from yarrowspindle.telemetry import Telemetry
from yarrowspindle.telemetry.guard import Guard
from yarrowspindle.telemetry.trace import Trace

TRACED = ("TRACE", "DEBUG")  # log levels at which each step of each request is logged
IDLE_FRACTION = 0.8  # of the time after which nodes close idle connections: the relay closes them first
# SIGKILL comes no sooner after SIGTERM than the longest deadline (counted as 3 s where it is longer) and 0.7 s more.
LONGEST_MS, KILL_AFTER_MS = 3000.0, 700.0
ENDING_MS = 400.0  # of that for the ends of connections and of the process
EVACUATE_MS = 2500.0  # all standing connections are moved within this time after an evacuation


def log(level: str, text: str) -> None:
    logger.opt(exception=level == "error").log(level.upper(), "{}", text)


class RelayService:
    def __init__(
        self, config: Config, clock: Clock, operator: Operator | None = None, timers: Timers | None = None
    ) -> None:
        self.config, self.operator = config, operator or Operator()
        reducer = Reducer(config.settings, config.seed, clock.now(), config.discovery)
        self.runtime = Runtime(reducer, clock, log, timers)
        self.reducer, self.fronts = reducer, self.runtime.fronts
        if isinstance(clock, SystemClock):
            self.runtime.wall_step_ms = clock.wall_step_ms
        self.connected: list[Callable[[], set[str]]] = []  # execute nodes to which each front has connections
        self.shared: Mapping[str, str] = {}  # settings that control told, in place of the file's
        self.reloaded: list[Callable[[Operator], None]] = []  # who else takes up the operator's file
        self.post, self.forget, self.new_request = self.runtime.post, self.runtime.forget, self.runtime.new_request
        self.metrics = Metrics(self.reducer)
        self.metrics.sources["runtime"] = self.runtime.counts
        self.runtime.seen.append(lambda now, event: self.metrics.event(event))
        self.telemetry = Telemetry(reducer, self.class_name)
        self.runtime.seen.append(lambda now, event: self.telemetry.on_event(event))
        self.guard = Guard(lambda: self.config.settings, logger.error)
        self.metrics.sources["invariant_violations_total"] = self.guard.counts
        self.runtime.seen.append(self.guard.on_event)
        self.trace: Trace | None = None
        if self.operator.log_level in TRACED:
            self.trace = trace = Trace(logger.debug)
            self.runtime.seen.append(lambda now, event: trace.on_event(event))
        self.runtime.effect = self._effect
        self.serving = False  # set once the fronts take connections, and unset when they no longer do
        self.watch = ListWatch(
            config.names, self.post, lambda why: logger.warning("the watch on the machine list is over: {}", why)
        )
        self.runtime.watch = self._watch
        self.bad_probes = Bounded(time.monotonic)
        self.prober = Prober(
            config.settings.load_report_fields,
            IDLE_FRACTION * config.settings.conn_idle_ms / 1000.0,
            self.post,
            self.bad_probes.warn,
        )
        self.metrics.sources["probes"] = self.prober.counts
        self.runtime.probe = self.prober.probe
        self.runtime.unprobe = lambda effect: self.prober.leave({effect.backend})

    def start(self) -> None:
        self.runtime.start()
        if self.operator.turns is not None:
            from yarrowspindle.maintenance.evacuation import MaintenancePlan  # the platform does without it

            self.post(MaintenanceUpdated(MaintenancePlan()))  # nothing is placed before this process knows what is out
        self.post(self.config.known)
        self._rebalance()

    def _effect(self, effect: Effect) -> None:
        self.guard.on_effect(effect)
        self.metrics.effect(effect)
        self.telemetry.on_effect(effect)
        if self.trace is not None:
            self.trace.on_effect(effect)

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
            logger.info("evacuating: {} jobs are here; standing connections are moved", len(self.reducer.requests))
            self.post(ShutdownRequested(EVACUATE_MS, process_exits=False))

    def rejoin(self) -> None:
        """Back to work after an evacuation; harmless without one, and no help after SIGTERM."""
        if self.reducer.draining and not self.reducer.process_exits:
            logger.info("rejoining: new connections are taken again")
            self.post(DrainCancelled())

    def _rebalance(self) -> None:
        if self.operator.rebalance is not None or self.reducer.rebalancer is not None:
            self.post(RebalancingConfigured(self.operator.rebalance, self.config.seed))
            self.metrics.rebalance(self.reducer.rebalancer)

    def stop(self) -> float:
        """Everybody is to be moved or answered within the time that is given back, in milliseconds."""
        config = self.config
        longest = max(config.settings.classes[number].deadline_ms for number in config.current.values())
        within_ms = min(longest, LONGEST_MS) + KILL_AFTER_MS - ENDING_MS
        self.post(ShutdownRequested(within_ms))  # also after an evacuation: this one ends with the process
        return within_ms

    def reload(self) -> None:
        """Reads the configuration's file again. One that makes no sense changes nothing."""
        try:
            operator = load_operator()
            config, waiting = reload_config(self.config, used=self.reducer.classes, shared=self.shared)
        except (ConfigError, ValueError) as error:
            self.telemetry.on_configuration_reloaded(False)
            logger.error("the configuration was turned down, the old one stays whole: {}", error)
            return
        self._settle(config)
        if self.shared:
            logger.info("the settings stay those that control told; the file's are served by once it tells none")
        if waiting:
            logger.warning("changes of {} need a restart", ", ".join(waiting))
        logger.info("the configuration was read again; the machine list is at {}:{}", *self.config.discovery)
        self.post(DiscoveryAddressChanged(self.config.discovery))
        if operator.rebalance != self.operator.rebalance:
            logger.info("[rebalance] was read again: {}", operator.rebalance or "off")
            self.operator = replace(self.operator, rebalance=operator.rebalance)
            self._rebalance()
        if self.operator.turns is not None and operator.turns is not None:
            self.operator = replace(self.operator, turns=replace(self.operator.turns, requests=operator.turns.requests))
        for take in self.reloaded:
            take(operator)
        if operator != self.operator:
            logger.warning("changes of the operator's file outside [rebalance] and [[turns.request]] need a restart")

    def take(self, shared: Mapping[str, str]) -> None:
        """Serves by these settings in place of the file's; none: by the file's. Raises ConfigError, and then nothing
        has changed."""
        try:
            config = retune(self.config, share(self.config, shared), self.reducer.classes)
        except ConfigError:
            self.telemetry.on_configuration_reloaded(False)
            raise
        self.shared = shared
        self._settle(config)

    def _settle(self, config: Config) -> None:
        old, self.config = self.config, config
        self.telemetry.on_configuration_reloaded(True)
        anew = frozenset(
            n
            for n, (was, now) in enumerate(zip(old.classes, config.classes, strict=False))
            if (was, old.settings.classes[n]) != (now, config.settings.classes[n])
        )
        if anew or config.settings != old.settings:
            logger.info("new settings are taken: classes {}", ", ".join(sorted(config.current)))
            self.prober.fields = config.settings.load_report_fields
            self.post(SettingsChanged(config.settings, anew))

    def _watch(self, effect: WatchEndpoints) -> None:
        self.watch.ask(effect.version, effect.address or self.config.discovery, effect.renew)
