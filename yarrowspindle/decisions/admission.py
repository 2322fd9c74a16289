"""Whether a request that has a backend is rejected all the same, since it would miss its class's latency objective.

Such a request would earn nothing and slow the connections beside it down.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum, unique

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.cost_placement import CostPlacement
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import RequestClass, Settings
from yarrowspindle.decisions.state import BalancerState

MIN_SHEDDING_SETUP_FRACTION = 0.5  # of the setup latency objective, above which requests are shed
MAX_SHEDDING_PROBABILITY = 0.9
SETUP_SAMPLES = 8.0  # over which setup latency is averaged
REFRESHES_PER_WINDOW = 8.0  # of the slow fractions, in one overload window


@unique
class OverloadRule(Enum):
    """Which rule rejected a request as overloaded; the value is its published name."""

    COST = "cost"
    MESSAGE_LATENCY = "message_latency"
    SETUP_LATENCY = "setup_latency"
    SLOW_ZONE = "slow_zone"


class SetupLatencyAverage:
    """Mean fraction of their latency objective that the last setups took, in 0 to 1; a failed one took all of it."""

    def __init__(self) -> None:
        self.fraction = 0.0

    def record(self, latency_ms: float, objective_ms: float) -> None:
        """Count a setup that was established after this latency."""
        self._add_sample(min(1.0, latency_ms / objective_ms))

    def record_failure(self) -> None:
        """Count a setup that failed."""
        self._add_sample(1.0)

    def _add_sample(self, fraction: float) -> None:
        self.fraction += (fraction - self.fraction) / SETUP_SAMPLES


class SlowBackendFractions:
    """The fraction of each zone's observed backends that are slow, refreshed every `refresh_ms`."""

    def __init__(self, refresh_ms: float, now: float) -> None:
        self.refresh_ms = refresh_ms
        self.refreshed_at = now - REFRESHES_PER_WINDOW * refresh_ms
        self.fractions: dict[int, float] = {}

    def in_zone(self, zone: int, observed: dict[int, Backend], now: float) -> float:
        """Return the fraction in this zone; of `observed` those are dropped that are neither slow nor in use."""
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
    """Return whether messages at this backend take longer than the class's objective; 0: the class states none."""
    return now < backend.slow_until and 0.0 < cls.message_latency_objective_ms < backend.message_latency_ms


def shedding_probability(setup_fraction: float) -> float:
    """Return the probability of shedding a request for slow setups.

    0 up to half of the objective, then rising to MAX_SHEDDING_PROBABILITY: what the setups share has a queue, and
    with fewer in it more of them succeed in time.
    """
    if setup_fraction <= MIN_SHEDDING_SETUP_FRACTION:
        return 0.0
    return min(MAX_SHEDDING_PROBABILITY, 2.0 * setup_fraction - 1.0)


def retry_after_ms(settings: Settings, draw: float) -> float:
    """Return the wait that a rejected client is asked for; 0 where clients don't heed one.

    Spread by the draw (in 0 to 1) over the second half of the longest wait, so that they don't come again together.
    """
    return settings.max_retry_after_ms * (0.5 + 0.5 * draw) * settings.clients_heed_retry_after


class Admission:
    """Decides on rejection at once.

    Attributes:
        cost_placement: where backends report their load.
        rejections: how many requests each rule has rejected, by its published name.
    """

    def __init__(self, state: BalancerState, cost_placement: CostPlacement | None) -> None:
        self.state, self.cost_placement = state, cost_placement
        self.slow_backends = SlowBackendFractions(state.settings.overload_window_ms / REFRESHES_PER_WINDOW, state.now)
        self.setup_latency = SetupLatencyAverage()
        self.rejections: Counter[str] = Counter()

    def is_overloaded(self, backend: Backend, request: Request) -> bool:
        """Return whether the request is rejected although placement chose this backend."""
        rule = self._overload_rule(backend, request)
        if rule is not None:
            self.rejections[rule.value] += 1
        return rule is not None

    def _overload_rule(self, backend: Backend, request: Request) -> OverloadRule | None:
        """Return the rule that rejects the request, if any.

        Where backends report their load: if its cost there exceeds its priority weight. Else if messages there miss
        the objective, by chance while setups are slow, and by chance as more of the zone's backends are slow.
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
        """Whether the request is shed for other slow backends of the zone, by chance.

        A backend without own connections is assumed to be as those that have some. One with own connections and no
        slow message is probably fine: it is spared only in a widespread overload, and only where clients heed a
        Retry-After, since a rejected client would come again at once.
        """
        state = self.state
        if backend.connections and not state.settings.clients_heed_retry_after:
            return False
        slow = self.slow_fraction(backend.zone)
        return slow > 0.0 and state.random() < slow ** (2 if backend.connections else 1)

    def slow_fraction(self, zone: int) -> float:
        """Return the fraction of the zone's observed backends that are slow, in 0 to 1."""
        return self.slow_backends.in_zone(zone, self.state.observed_backends, self.state.now)
