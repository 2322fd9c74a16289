"""When the endpoint list is asked for: polls of all balancers are spread so that discovery can answer them."""

from __future__ import annotations

from yarrowspindle.decisions.actions import WatchEndpoints
from yarrowspindle.decisions.events import ListKind
from yarrowspindle.decisions.state import BalancerState

MAX_LIST_AGE_MS = 6000.0  # a list counts as current for this long after it was available
DISCOVERY_CALL_MS = 250.0  # discovery's time for one call
FIRST_POLL_MS = 1500.0  # all balancers have polled by then after a start with a cached list
MAX_FIRST_POLL_FRACTION = 0.8


class DiscoveryPolling:
    """Polls with backoff and jitter, one call at a time. failures: polls that failed in a row."""

    def __init__(self, state: BalancerState) -> None:
        self.state = state
        self.poll_scheduled = False
        self.failures = 0

    def on_failure(self) -> None:
        """Poll again: soon after a first failure, then later and with jitter, within `MAX_LIST_AGE_MS`."""
        self.failures += 1
        if self.failures == 1:
            self._schedule(0.0, 0.5)
        else:
            self._schedule(0.3, 0.6)

    def on_list(self, kind: ListKind) -> None:
        """A list was received: a cached one has to be confirmed by a poll, any other ends a series of failures."""
        if kind is not ListKind.CACHED:
            self.failures = 0
            return
        polling_round_ms = min(DISCOVERY_CALL_MS * max(1, self.state.settings.balancers), MAX_LIST_AGE_MS)
        self._schedule(0.0, min(MAX_FIRST_POLL_FRACTION, FIRST_POLL_MS / polling_round_ms))

    def _schedule(self, min_fraction: float, max_fraction: float) -> None:
        """Poll between these fractions of the time in which every balancer can poll in turn."""
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
