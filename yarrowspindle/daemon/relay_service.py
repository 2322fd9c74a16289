"""The relay as one service: the reducer's runtime, the endpoint watch, health checks, telemetry and the fronts.

The service holds the current configuration, and applies a new one from the file or from the controllers.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import replace

from loguru import logger

from yarrowspindle.daemon.config import Config, ConfigError
from yarrowspindle.daemon.list_link import ListLink
from yarrowspindle.daemon.list_sharing import ListSharing
from yarrowspindle.daemon.metrics import Metrics
from yarrowspindle.daemon.operator_config import OperatorConfig, load_operator_config
from yarrowspindle.daemon.settings_update import apply_shared_settings, merge_settings, reload_config
from yarrowspindle.decisions.settings import MAX_STALL_MS
from yarrowspindle.protocol.shared_list import StoredList
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
from yarrowspindle.transport.process_link import ProcessLink

TRACE_LEVELS = ("TRACE", "DEBUG")  # log levels at which each step of each request is logged
# The relay closes idle connections before the backends do, so that a backend does not close one as a request is sent.
IDLE_TIMEOUT_FRACTION = 0.8
# SIGKILL follows SIGTERM no sooner than KILL_GRACE_MS after the longest request deadline, of which at most
# MAX_DEADLINE_MS count.
MAX_DEADLINE_MS = 3000.0
KILL_GRACE_MS = 700.0
CLOSE_RESERVE_MS = 400.0  # part of that time, reserved for closing connections and for the exit of the process
LIST_POLL_S = 0.01  # between two looks for the first list
DRAIN_MS = 2500.0  # time within which an operator's drain migrates all established connections


def log_runtime_message(level: str, text: str) -> None:
    """Log a message of the runtime; an error includes the exception that is being handled."""
    logger.opt(exception=level == "error").log(level.upper(), "{}", text)


class RelayService:
    """One relay, without the sockets of its fronts.

    Args:
        config: the platform's configuration.
        clock: the source of time for the reducer.
        operator: the features that the operator's file enables.
        timers: timers that the caller advances; None: timers of the event loop.
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
        # Each function returns the backends that one front has connections to.
        self.connected_backends: list[Callable[[], set[str]]] = []
        self.shared_settings: Mapping[str, str] = {}  # settings from the controllers, which replace the file's
        # Called with the new operator's configuration after SIGHUP.
        self.reload_listeners: list[Callable[[OperatorConfig], None]] = []
        self.serving = False  # whether the fronts accept connections
        self.process_link = ProcessLink(config.listen)
        self.list_sharing = ListSharing(self.reducer, self.post, config.known)
        self.list_link = ListLink(self.list_sharing, self.process_link, config.name, config.names)
        self._attach_observers()
        self._set_up_endpoint_watch()
        self._set_up_health_checker()

    def _attach_observers(self) -> None:
        """Attach metrics, telemetry, the invariant guard and the trace to the reducer's events and effects."""
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
            self.trace = trace = Trace(logger.debug, self._describe_list)
            self.runtime.event_observers.append(lambda now, event: trace.on_event(event))
        self.runtime.effect_observer = self._observe_effect

    def _describe_list(self) -> str:
        return self.endpoint_watch.describe()

    def _set_up_endpoint_watch(self) -> None:
        self.endpoint_watch = EndpointWatch(
            self.config.names,
            self.list_sharing.on_own_update,
            lambda reason: logger.warning("the watch on the endpoint list ended: {}", reason),
            lambda text: logger.debug("{}", text),
        )
        self.list_sharing.endpoint_watch = self.endpoint_watch
        self.metrics.counter_sources["list"] = self.endpoint_watch.counts
        self.metrics.gauge_sources.append(self.endpoint_watch.gauges)
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

    def start(self, stored_list: StoredList | None = None) -> None:
        """Start the runtime with the stored endpoint list, or that of the configuration if there is no newer one."""
        self.runtime.start()
        if self.operator.turns is not None:
            from yarrowspindle.maintenance.evacuation import MaintenancePlan  # an optional feature

            # Reject requests until this process knows which backends are under maintenance.
            self.post(MaintenanceUpdated(MaintenancePlan()))
        self.list_sharing.start(stored_list)
        self._configure_rebalancing()

    def _observe_effect(self, effect: Effect) -> None:
        self.guard.on_effect(effect)
        self.metrics.on_effect(effect)
        self.telemetry.on_effect(effect)
        if self.trace is not None:
            self.trace.on_effect(effect)

    def class_name(self, number: int) -> str:
        """Return the name of a request class, or its number as text if it has no name."""
        classes = self.config.classes
        return classes[number] if 0 <= number < len(classes) else str(number)

    # --- the operators' API -----------------------------------------------------------------------

    def ready(self) -> bool:
        """Return whether this process accepts new connections: it serves, and neither drains nor shuts down."""
        return self.serving and not self.reducer.draining

    def drain(self) -> None:
        """Drain the relay as SIGTERM does, but keep the process running; a second call changes nothing."""
        if not self.reducer.draining:
            logger.info("draining: {} requests and connections are migrated", len(self.reducer.requests))
            self.post(ShutdownRequested(DRAIN_MS, process_exits=False))

    def cancel_drain(self) -> None:
        """End a drain that an operator started; without one, or after SIGTERM, change nothing."""
        if self.reducer.draining and not self.reducer.process_exits:
            logger.info("the drain is cancelled: new connections are accepted")
            self.post(DrainCancelled())

    def begin_shutdown(self) -> float:
        """Begin the shutdown, also during a drain.

        Returns:
            The milliseconds within which every request is answered and every connection is migrated.
        """
        shutdown_ms = self.longest_deadline_ms() + KILL_GRACE_MS - CLOSE_RESERVE_MS
        # SIGTERM may have arrived at the beginning of a stall.
        shutdown_ms -= min(self.runtime.recent_delay_ms(), MAX_STALL_MS)
        self.post(ShutdownRequested(shutdown_ms))
        return shutdown_ms

    def longest_deadline_ms(self) -> float:
        """Return the longest deadline of the current classes, at most MAX_DEADLINE_MS."""
        classes = self.config.settings.classes
        deadlines = (classes[number].deadline_ms for number in self.config.current_classes.values())
        return min(max(deadlines), MAX_DEADLINE_MS)

    async def confirm_list(self, max_wait_s: float) -> bool:
        """Request the endpoint list at once, and return whether discovery has delivered it within `max_wait_s`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max_wait_s
        self.endpoint_watch.open(self.list_sharing.version.number, self.config.discovery)
        while self.endpoint_watch.list_age_ms() is None and loop.time() < deadline:
            await asyncio.sleep(LIST_POLL_S)
        return self.endpoint_watch.list_age_ms() is not None

    def finish_shutdown(self) -> None:
        """Answer or migrate all remaining clients once the time of `begin_shutdown` has passed.

        The reducer's shutdown timer may fire later than that: its delay counts from the moment when it is set, and the
        process may have stalled between reading the clock and setting the timer.
        """
        self.runtime.timers.run_due()
        self.post(TimerFired(SHUTDOWN_TIMER))

    # --- new configurations -----------------------------------------------------------------------

    def reload(self) -> None:
        """Read both configuration files again (SIGHUP). If either is invalid, nothing changes."""
        try:
            operator = load_operator_config()
            reloaded = reload_config(self.config, used_numbers=self.reducer.classes, shared=self.shared_settings)
        except (ConfigError, ValueError) as error:
            self.telemetry.on_configuration_reloaded(False)
            logger.error("the configuration is rejected, the old one stays in force: {}", error)
            return
        self._replace_config(reloaded.config)
        if self.shared_settings:
            logger.info(
                "the controllers' settings stay in force; the file's settings apply once the controllers have none"
            )
        if reloaded.needs_restart:
            logger.warning("changes of {} need a restart", ", ".join(reloaded.needs_restart))
        logger.info("the configuration was reloaded; discovery is at {}:{}", *self.config.discovery)
        self.post(DiscoveryAddressChanged(self.config.discovery))
        self._reload_operator(operator)

    def _reload_operator(self, operator: OperatorConfig) -> None:
        """Apply the changes that need no restart: [rebalance] and the maintenance requests."""
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
        """Apply the controllers' settings in place of the file's; an empty mapping restores the file's.

        Raises:
            ConfigError: a member is invalid; the current settings stay in force.
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
    """Return the class numbers whose class or limits differ between the two configurations."""
    before = zip(old.classes, old.settings.classes, strict=False)
    after = zip(new.classes, new.settings.classes, strict=False)
    pairs = enumerate(zip(before, after, strict=False))
    return frozenset(number for number, (old_class, new_class) in pairs if old_class != new_class)
