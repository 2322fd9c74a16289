"""The relay as one service: the runtime round the reducer, the endpoint watch, health checks, telemetry, the fronts.

It owns the configuration that is in force, and takes up a new one from the file or from the controllers.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import replace

from loguru import logger

from yarrowspindle.daemon.config import Config, ConfigError
from yarrowspindle.daemon.metrics import Metrics
from yarrowspindle.daemon.operator_config import OperatorConfig, load_operator_config
from yarrowspindle.daemon.settings_update import apply_shared_settings, merge_settings, reload_config
from yarrowspindle.routing.effects import CancelHealthCheck, Effect, WatchEndpoints
from yarrowspindle.routing.events import (
    DiscoveryAddressChanged,
    DrainCancelled,
    MaintenanceUpdated,
    RebalancingConfigured,
    SettingsChanged,
    ShutdownRequested,
    TimerFired,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.timers import SHUTDOWN_TIMER
from yarrowspindle.runtime import Clock, Runtime, SystemClock, Timers
from yarrowspindle.runtime.endpoint_watch import EndpointWatch
from yarrowspindle.runtime.health_checker import HealthChecker
from yarrowspindle.telemetry import Telemetry
from yarrowspindle.telemetry.guard import Guard
from yarrowspindle.telemetry.log import RateLimitedLog
from yarrowspindle.telemetry.trace import Trace

TRACE_LEVELS = ("TRACE", "DEBUG")  # log levels at which each step of each request is logged
# The relay closes idle connections before the backends do, so that no request crosses their close.
IDLE_TIMEOUT_FRACTION = 0.8
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as MAX_DEADLINE_MS where it is longer, and
# KILL_GRACE_MS more.
MAX_DEADLINE_MS = 3000.0
KILL_GRACE_MS = 700.0
CLOSE_RESERVE_MS = 400.0  # of that, kept for closing connections and ending the process
MAX_STALL_MS = 150.0  # a process may be held up for so long; the signal to end may have come at its beginning
DRAIN_MS = 2500.0  # all established connections are migrated within this time after an operator's drain


def log_runtime_message(level: str, text: str) -> None:
    """Logs a text of the runtime; an error with the exception that is being handled."""
    logger.opt(exception=level == "error").log(level.upper(), "{}", text)


class RelayService:
    """One relay, without the sockets of its fronts.

    Args:
        config: the platform's configuration.
        clock: the source of time for the reducer.
        operator: what the operator's file switches on.
        timers: timers that are driven by hand; None: the event loop's.
    """

    def __init__(
        self, config: Config, clock: Clock, operator: OperatorConfig | None = None, timers: Timers | None = None
    ) -> None:
        self.config = config
        self.operator = operator or OperatorConfig()
        self.reducer = Reducer(config.settings, config.seed, clock.now(), config.discovery)
        self.runtime = Runtime(self.reducer, clock, log_runtime_message, timers)
        if isinstance(clock, SystemClock):
            self.runtime.wall_step_ms = clock.wall_step_ms
        self.fronts = self.runtime.fronts
        self.post = self.runtime.post
        self.forget = self.runtime.forget
        self.new_request = self.runtime.new_request
        self.connected_backends: list[Callable[[], set[str]]] = []  # the backends that each front has connections to
        self.shared_settings: Mapping[str, str] = {}  # settings from the controllers, in place of the file's
        self.reload_listeners: list[
            Callable[[OperatorConfig], None]
        ] = []  # called with the operator's file after SIGHUP
        self.serving = False  # whether the fronts accept connections
        self._attach_observers()
        self._set_up_endpoint_watch()
        self._set_up_health_checker()

    def _attach_observers(self) -> None:
        """Attaches all that counts or logs what the reducer receives and asks for."""
        self.metrics = Metrics(self.reducer)
        self.telemetry = Telemetry(self.reducer, self.class_name)
        self.guard = Guard(lambda: self.config.settings, logger.error)
        self.metrics.counter_sources["runtime"] = self.runtime.counts
        self.metrics.counter_sources["overload"] = lambda: self.reducer.balancer.overload_rejections
        self.metrics.counter_sources["invariant_violations_total"] = self.guard.counts
        self.runtime.event_observers.append(lambda now, event: self.metrics.on_event(event))
        self.runtime.event_observers.append(lambda now, event: self.telemetry.on_event(event))
        self.runtime.event_observers.append(self.guard.on_event)
        self.trace: Trace | None = None
        if self.operator.log_level in TRACE_LEVELS:
            self.trace = trace = Trace(logger.debug)
            self.runtime.event_observers.append(lambda now, event: trace.on_event(event))
        self.runtime.effect_observer = self._observe_effect

    def _set_up_endpoint_watch(self) -> None:
        self.endpoint_watch = EndpointWatch(
            self.config.names,
            self.post,
            lambda reason: logger.warning("the watch on the endpoint list ended: {}", reason),
        )
        self.runtime.watch_endpoints = self._watch_endpoints

    def _set_up_health_checker(self) -> None:
        settings = self.config.settings
        self.invalid_reports_log = RateLimitedLog(time.monotonic)
        idle_timeout_s = IDLE_TIMEOUT_FRACTION * settings.conn_idle_ms / 1000.0
        self.health_checker = HealthChecker(
            settings.load_report_fields, idle_timeout_s, self.post, self.invalid_reports_log.warn
        )
        self.metrics.counter_sources["probes"] = self.health_checker.counts
        self.runtime.check_health = self.health_checker.probe
        self.runtime.cancel_health_check = self._cancel_health_check

    def _cancel_health_check(self, effect: CancelHealthCheck) -> None:
        self.health_checker.disconnect({effect.backend})

    def start(self) -> None:
        """Starts the runtime with the endpoint list that the configuration has."""
        self.runtime.start()
        if self.operator.turns is not None:
            from yarrowspindle.maintenance.evacuation import MaintenancePlan  # the platform does without it

            # Nothing is placed before this process knows which backends are out for maintenance.
            self.post(MaintenanceUpdated(MaintenancePlan()))
        self.post(self.config.known)
        self._configure_rebalancing()

    def _observe_effect(self, effect: Effect) -> None:
        self.guard.on_effect(effect)
        self.metrics.on_effect(effect)
        self.telemetry.on_effect(effect)
        if self.trace is not None:
            self.trace.on_effect(effect)

    def class_name(self, number: int) -> str:
        """Returns the name of a request class; its number where it has none."""
        classes = self.config.classes
        return classes[number] if 0 <= number < len(classes) else str(number)

    # --- the operators' API -----------------------------------------------------------------------

    def ready(self) -> bool:
        """Returns whether this process accepts new connections: it serves, and neither drains nor shuts down."""
        return self.serving and not self.reducer.draining

    def drain(self) -> None:
        """Drains the relay as SIGTERM does, but the process goes on; a second call changes nothing."""
        if not self.reducer.draining:
            logger.info("draining: {} requests and connections are migrated", len(self.reducer.requests))
            self.post(ShutdownRequested(DRAIN_MS, process_exits=False))

    def cancel_drain(self) -> None:
        """Ends a drain of the operators; without one, or after SIGTERM, it changes nothing."""
        if self.reducer.draining and not self.reducer.process_exits:
            logger.info("the drain is cancelled: new connections are accepted")
            self.post(DrainCancelled())

    def begin_shutdown(self) -> float:
        """Begins the shutdown, also during a drain.

        Returns the milliseconds within which everybody gets an answer or is migrated.
        """
        classes = self.config.settings.classes
        longest_deadline_ms = max(classes[number].deadline_ms for number in self.config.current_classes.values())
        shutdown_ms = min(longest_deadline_ms, MAX_DEADLINE_MS) + KILL_GRACE_MS - CLOSE_RESERVE_MS
        shutdown_ms -= min(self.runtime.recent_delay_ms(), MAX_STALL_MS)
        self.post(ShutdownRequested(shutdown_ms))
        return shutdown_ms

    def finish_shutdown(self) -> None:
        """Answers or migrates everybody who is left, once the time for it has passed.

        The shutdown's own timer may fall due later: it counts from when it is set, and the process may have been held
        since the step that sets it read its clock.
        """
        self.runtime.timers.run_due()
        self.post(TimerFired(SHUTDOWN_TIMER))

    # --- new configurations -----------------------------------------------------------------------

    def reload(self) -> None:
        """Reads both configuration files again (SIGHUP). Where either is invalid nothing changes."""
        try:
            operator = load_operator_config()
            reloaded = reload_config(self.config, used_numbers=self.reducer.classes, shared=self.shared_settings)
        except (ConfigError, ValueError) as error:
            self.telemetry.on_configuration_reloaded(False)
            logger.error("the configuration is rejected, the old one stays in force: {}", error)
            return
        self._replace_config(reloaded.config)
        if self.shared_settings:
            logger.info("the settings stay those of the controllers; the file's apply once the controllers have none")
        if reloaded.needs_restart:
            logger.warning("changes of {} need a restart", ", ".join(reloaded.needs_restart))
        logger.info("the configuration was reloaded; discovery is at {}:{}", *self.config.discovery)
        self.post(DiscoveryAddressChanged(self.config.discovery))
        self._reload_operator(operator)

    def _reload_operator(self, operator: OperatorConfig) -> None:
        """Takes up what may change without a restart: [rebalance] and the maintenance requests."""
        if operator.rebalance != self.operator.rebalance:
            logger.info("[rebalance] was reloaded: {}", operator.rebalance or "off")
            self.operator = replace(self.operator, rebalance=operator.rebalance)
            self._configure_rebalancing()
        if self.operator.turns is not None and operator.turns is not None:
            turns = replace(self.operator.turns, requests=operator.turns.requests)
            self.operator = replace(self.operator, turns=turns)
        for listener in self.reload_listeners:
            listener(operator)
        if operator != self.operator:
            logger.warning("changes of the operator's file outside [rebalance] and [[turns.request]] need a restart")

    def apply_shared_settings(self, shared: Mapping[str, str]) -> None:
        """Applies the controllers' settings in place of the file's; an empty mapping: the file's.

        Raises:
            ConfigError: a member is invalid; nothing has changed.
        """
        try:
            config = merge_settings(self.config, apply_shared_settings(self.config, shared), self.reducer.classes)
        except ConfigError:
            self.telemetry.on_configuration_reloaded(False)
            raise
        self.shared_settings = shared
        self._replace_config(config)

    def _replace_config(self, config: Config) -> None:
        old, self.config = self.config, config
        self.telemetry.on_configuration_reloaded(True)
        reassigned = _reassigned_classes(old, config)
        if reassigned or config.settings != old.settings:
            logger.info("new settings are in force: classes {}", ", ".join(sorted(config.current_classes)))
            self.health_checker.fields = config.settings.load_report_fields
            self.post(SettingsChanged(config.settings, reassigned))

    def _configure_rebalancing(self) -> None:
        if self.operator.rebalance is not None or self.reducer.rebalancer is not None:
            self.post(RebalancingConfigured(self.operator.rebalance, self.config.seed))
            self.metrics.set_rebalancer(self.reducer.rebalancer)

    def _watch_endpoints(self, effect: WatchEndpoints) -> None:
        self.endpoint_watch.open(effect.version, effect.address or self.config.discovery, effect.renew)


def _reassigned_classes(old: Config, new: Config) -> frozenset[int]:
    """Returns the class numbers that stand for another class, or for other limits, than before."""
    before = zip(old.classes, old.settings.classes, strict=False)
    after = zip(new.classes, new.settings.classes, strict=False)
    pairs = enumerate(zip(before, after, strict=False))
    return frozenset(number for number, (old_class, new_class) in pairs if old_class != new_class)
