"""Schedules polls of the endpoint list, spread over all balancers so that discovery can answer them."""

from __future__ import annotations

from yarrowspindle.decisions.actions import WatchEndpoints
from yarrowspindle.decisions.events import ListKind
from yarrowspindle.decisions.state import BalancerState

MAX_LIST_AGE_MS = 6000.0  # time after its publication for which a list counts as current
DISCOVERY_CALL_MS = 250.0  # time that discovery takes for one call
FIRST_POLL_MS = 1500.0  # time within which all balancers poll after a start with a cached list
MAX_FIRST_POLL_FRACTION = 0.8


class DiscoveryPolling:
    """Polling of discovery with backoff and jitter, one call at a time.

    Attributes:
        failures: number of consecutive failed polls.
    """

    def __init__(self, state: BalancerState) -> None:
        self.state = state
        self.poll_scheduled = False
        self.failures = 0

    def on_failure(self) -> None:
        """Schedule another poll: soon after the first failure, later after further ones, within MAX_LIST_AGE_MS."""
        self.failures += 1
        if self.failures == 1:
            self._schedule(0.0, 0.5)
        else:
            self._schedule(0.3, 0.6)

    def on_list(self, kind: ListKind) -> None:
        """Reset the failures after a list from discovery; schedule a poll to confirm a cached list."""
        if kind is not ListKind.CACHED:
            self.failures = 0
            return
        polling_round_ms = min(DISCOVERY_CALL_MS * max(1, self.state.settings.balancers), MAX_LIST_AGE_MS)
        self._schedule(0.0, min(MAX_FIRST_POLL_FRACTION, FIRST_POLL_MS / polling_round_ms))

    def _schedule(self, min_fraction: float, max_fraction: float) -> None:
        """Schedule a poll at random between these fractions of the time in which every balancer can poll once."""
        state, settings = self.state, self.state.settings
        if not settings.polls_discovery or self.poll_scheduled:
            return
        self.poll_scheduled = True
        fraction = min_fraction + (max_fraction - min_fraction) * state.random()
        polling_round_ms = DISCOVERY_CALL_MS * (settings.balancers + 2 * self.failures)
        state.set_timer(fraction * min(polling_round_ms, settings.poll_interval_ms, MAX_LIST_AGE_MS), self._poll)

    def _poll(self) -> None:
        self.poll_scheduled = False
        self.state.emit(WatchEndpoints())
