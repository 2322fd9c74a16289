"""Rebalancing: migrates established connections to even out the load, at the rate that the rebalancer plans."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.routing.attempts import Attempts
from yarrowspindle.routing.context import RoutingContext
from yarrowspindle.routing.effects import CancelTimer, LogMessage, SetTimer
from yarrowspindle.routing.events import RebalancingConfigured
from yarrowspindle.routing.state import Phase
from yarrowspindle.routing.timers import REBALANCING_TIMER

if TYPE_CHECKING:  # optional package: loaded only if it is configured
    from yarrowspindle.rebalancing import Rebalancer, RebalanceSettings


class RebalancingHandlers:
    """Handlers that start, configure and stop the rebalancer, and carry out its migrations."""

    __slots__ = ("_context", "_attempts", "_target")

    def __init__(self, context: RoutingContext, attempts: Attempts) -> None:
        self._context = context
        self._attempts = attempts
        self._target = 0.0  # the last target that the balancer was notified of

    def on_rebalancing_configured(self, event: RebalancingConfigured) -> None:
        """Start the rebalancer, change its settings, or stop it if the event has no settings."""
        context = self._context
        if event.settings is None:
            context.rebalancer = None
            context.effects.append(CancelTimer(REBALANCING_TIMER))
            self._set_target(0.0)
        elif context.rebalancer is not None:
            context.rebalancer.configure(event.settings)
        else:
            self._start(event.settings, event.seed)

    def _start(self, rebalance_settings: RebalanceSettings, seed: int) -> None:
        from yarrowspindle.rebalancing import Rebalancer  # optional package: loaded only if it is configured

        context, settings = self._context, self._context.settings
        context.rebalancer = Rebalancer(
            rebalance_settings,
            seed,
            context.now,
            settings.balancers,
            settings.warmup_ms,
            settings.initial_capacity_fraction,
        )
        self._fill_view(context.rebalancer)
        if context.shutdown_deadline:
            context.rebalancer.stop()
        context.effects.append(SetTimer(context.rebalancer.first_round_delay_ms(), REBALANCING_TIMER))

    def _fill_view(self, rebalancer: Rebalancer) -> None:
        """Add the current backends and established connections to the rebalancer's view."""
        context = self._context
        for backend in context.backends.values():
            rebalancer.view.update_backend(
                context.now, backend.name, backend.number, backend.state, backend.capacity, backend.warmup_started_at
            )
        if context.backends:
            rebalancer.view.finish_list(())
        for request in context.requests.values():
            if request.phase is Phase.ESTABLISHED and request.backend is not None:
                received = request.received
                rebalancer.on_connection_established(
                    request.established_at,
                    request.id,
                    request.backend.name,
                    request.load,
                    received.key,
                    received.group,
                    received.returned,
                )

    def on_rebalancing_timer(self) -> None:
        """Run a rebalancing round: migrate the connections that the rebalancer chooses."""
        context, rebalancer = self._context, self._context.rebalancer
        if rebalancer is None:
            return
        context.effects.append(SetTimer(rebalancer.round_interval_ms, REBALANCING_TIMER))
        migrations = rebalancer.plan_round(context.now, *context.balancer.subset())
        self._set_target(rebalancer.target_utilization)
        for request_id in migrations:
            self._attempts.migrate(context.requests.get(request_id))
        context.effects += [LogMessage(text) for text in rebalancer.take_log_lines()]

    def _set_target(self, target: float) -> None:
        """Notify the balancer of the target if it changed."""
        if target != self._target:
            self._target = target
            self._attempts.notify_balancer(balancer_events.RebalancingTarget(target))
