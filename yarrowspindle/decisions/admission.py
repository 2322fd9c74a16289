"""Admission: rejects a request for which placement found a backend if it would miss its class's latency objective.

Serving such a request has no value, and it would slow down the other connections of its backend.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum, unique

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.cost_placement import CostPlacement
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import RequestClass, Settings
from yarrowspindle.decisions.state import BalancerState

MIN_SHEDDING_SETUP_FRACTION = 0.5  # fraction of the setup latency objective above which requests are shed
MAX_SHEDDING_PROBABILITY = 0.9
SETUP_SAMPLES = 8.0  # setups that the average of setup latency extends over
REFRESHES_PER_WINDOW = 8.0  # updates of the slow fractions per overload window


@unique
class OverloadRule(Enum):
    """The rule that rejected a request as overloaded; the value is its published name."""

    COST = "cost"
    MESSAGE_LATENCY = "message_latency"
    SETUP_LATENCY = "setup_latency"
    SLOW_ZONE = "slow_zone"


class SetupLatencyAverage:
    """Moving average of setup latency as a fraction of its objective, in 0 to 1; a failed setup counts as 1."""

    def __init__(self) -> None:
        self.fraction = 0.0

    def record(self, latency_ms: float, objective_ms: float) -> None:
        """Record a connection that was established after this latency."""
        self._add_sample(min(1.0, latency_ms / objective_ms))

    def record_failure(self) -> None:
        """Record a setup that failed."""
        self._add_sample(1.0)

    def _add_sample(self, fraction: float) -> None:
        self.fraction += (fraction - self.fraction) / SETUP_SAMPLES


class SlowBackendFractions:
    """The fraction of slow backends among the observed ones of each zone, updated every `refresh_ms`."""

    def __init__(self, refresh_ms: float, now: float) -> None:
        self.refresh_ms = refresh_ms
        self.refreshed_at = now - REFRESHES_PER_WINDOW * refresh_ms
        self.fractions: dict[int, float] = {}

    def in_zone(self, zone: int, observed: dict[int, Backend], now: float) -> float:
        """Return the fraction of slow backends in this zone.

        An update removes backends from `observed` that are neither slow nor in use.
        """
        if now >= self.refreshed_at + self.refresh_ms:
            self.refreshed_at = now
            slow_by_zone: dict[int, list[bool]] = {}
            for backend in list(observed.values()):
                slow = now < backend.slow_until
                if not slow and not backend.connections:
                    del observed[backend.id]
                elif backend.ready:
                    slow_by_zone.setdefault(backend.zone, []).append(slow)
            self.fractions = {number: sum(slow) / len(slow) for number, slow in slow_by_zone.items()}
        return self.fractions.get(zone, 0.0)


def misses_message_objective(backend: Backend, cls: RequestClass, now: float) -> bool:
    """Return whether message latency at this backend exceeds the class's objective; never for a class without one."""
    return now < backend.slow_until and 0.0 < cls.message_latency_objective_ms < backend.message_latency_ms


def shedding_probability(setup_fraction: float) -> float:
    """Return the probability of shedding a request for slow setups.

    The probability is 0 up to half of the objective, then rises to MAX_SHEDDING_PROBABILITY: setups queue at a shared
    dependency, and with fewer of them in that queue more succeed in time.
    """
    if setup_fraction <= MIN_SHEDDING_SETUP_FRACTION:
        return 0.0
    return min(MAX_SHEDDING_PROBABILITY, 2.0 * setup_fraction - 1.0)


def retry_after_ms(settings: Settings, draw: float) -> float:
    """Return the Retry-After of a rejected client in milliseconds; 0 if clients do not heed it.

    `draw` (in 0 to 1) spreads it over the second half of the longest wait, so that rejected clients do not all
    reconnect at the same time.
    """
    return settings.max_retry_after_ms * (0.5 + 0.5 * draw) * settings.clients_heed_retry_after


class Admission:
    """The component that decides whether a new request is rejected immediately.

    Attributes:
        cost_placement: the cost model if backends report their load, else None.
        rejections: the number of rejected requests by the published name of the rule.
    """

    def __init__(self, state: BalancerState, cost_placement: CostPlacement | None) -> None:
        self.state, self.cost_placement = state, cost_placement
        self.slow_backends = SlowBackendFractions(state.settings.overload_window_ms / REFRESHES_PER_WINDOW, state.now)
        self.setup_latency = SetupLatencyAverage()
        self.rejections: Counter[str] = Counter()

    def is_overloaded(self, backend: Backend, request: Request) -> bool:
        """Return whether to reject the request although placement chose this backend, and count the rejection."""
        rule = self._overload_rule(backend, request)
        if rule is not None:
            self.rejections[rule.value] += 1
        return rule is not None

    def _overload_rule(self, backend: Backend, request: Request) -> OverloadRule | None:
        """Return the rule that rejects the request, or None if it is admitted.

        If backends report their load, a request is rejected if its cost at the backend exceeds its priority weight.
        Otherwise it is rejected if messages at the backend miss their objective; with some probability while setups
        are slow; and with a probability that rises with the fraction of slow backends in the zone.
        """
        state, settings = self.state, self.state.settings
        cls = settings.classes[request.cls]
        if self.cost_placement is not None:
            too_expensive = self.cost_placement.cost(backend, request, settings) > cls.priority_weight
            return OverloadRule.COST if too_expensive else None
        if misses_message_objective(backend, cls, state.now):
            return OverloadRule.MESSAGE_LATENCY
        shedding = shedding_probability(self.setup_latency.fraction)
        if shedding > 0.0 and state.random() < shedding:
            return OverloadRule.SETUP_LATENCY
        return OverloadRule.SLOW_ZONE if self._sheds_for_slow_zone(backend) else None

    def _sheds_for_slow_zone(self, backend: Backend) -> bool:
        """Return whether to shed the request because other backends of the zone are slow; decides at random.

        A backend without own connections is assumed to be slow as often as those that have some. A backend with own
        connections and no slow message is probably fine: requests for it are shed only in a widespread overload, and
        only if clients heed a Retry-After, since otherwise a rejected client would reconnect at once.
        """
        state = self.state
        if backend.connections and not state.settings.clients_heed_retry_after:
            return False
        slow = self.slow_fraction(backend.zone)
        return slow > 0.0 and state.random() < slow ** (2 if backend.connections else 1)

    def slow_fraction(self, zone: int) -> float:
        """Return the fraction of the zone's observed backends that are slow, in 0 to 1."""
        return self.slow_backends.in_zone(zone, self.state.observed_backends, self.state.now)
