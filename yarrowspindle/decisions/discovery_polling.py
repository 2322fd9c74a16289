"""Schedules polls of the endpoint list, spread over all balancers so that discovery can answer them."""

from __future__ import annotations

from functools import partial

from yarrowspindle.decisions.actions import WatchEndpoints
from yarrowspindle.decisions.events import ListKind
from yarrowspindle.decisions.list_freshness import MAX_LIST_AGE_MS
from yarrowspindle.decisions.state import BalancerState

DISCOVERY_CALL_MS = 250.0  # time that discovery takes for one call
FIRST_POLL_MS = 1500.0  # time within which all balancers poll after a start with a cached list
MAX_FIRST_POLL_FRACTION = 0.8
# Fractions of a polling round, the time in which every balancer can poll once.
FIRST_RETRY_FRACTIONS = (0.0, 0.5)
RETRY_FRACTIONS = (0.3, 0.6)
MIN_REMAINING_MS = 150.0  # until a list gets too old; below it no further call is squeezed in
FLEET_CALL_MS = 30.0  # of a polling round for each balancer, while all of them may have lost their watches at once
FAST_FAILURE_MS = 500.0  # a call that fails within this time did not wait behind others


class DiscoveryPolling:
    """Polling of discovery with backoff and jitter.

    While the age of the list is known, pauses are fractions of the time that is left until the list is too old, so that
    several calls fit in, and a call that is not answered is hedged once by another one beside it. A large fleet needs
    longer for its calls than that time; there only a call that failed at once is repeated so soon.

    Attributes:
        failures: number of consecutive failed polls.
        polls: number of polls.
        polled_at: time of the last poll.
        awaiting_list: whether the last poll has neither brought a list nor failed.
    """

    def __init__(self, state: BalancerState) -> None:
        self.state = state
        self.poll_scheduled = False
        self.failures = 0
        self.polls = 0
        self.polled_at = 0.0
        self.awaiting_list = False

    def on_failure(self) -> None:
        """Schedule another poll: soon after the first failure, later after further ones, within MAX_LIST_AGE_MS."""
        failed_fast = self.awaiting_list and self.state.now <= self.polled_at + FAST_FAILURE_MS
        self.failures += 1
        self.awaiting_list = False
        fractions = FIRST_RETRY_FRACTIONS if self.failures == 1 else RETRY_FRACTIONS
        self._schedule(*fractions, fleet_round_ms=0.0 if failed_fast else self._fleet_round_ms())

    def on_list(self, kind: ListKind) -> None:
        """Reset the failures after a list from discovery; schedule a poll to confirm a cached list."""
        if kind is not ListKind.CACHED:
            self.failures = 0
            self.awaiting_list = False
            return
        polling_round_ms = min(DISCOVERY_CALL_MS * max(1, self.state.settings.balancers), MAX_LIST_AGE_MS)
        self._schedule(0.0, min(MAX_FIRST_POLL_FRACTION, FIRST_POLL_MS / polling_round_ms))

    def _schedule(self, min_fraction: float, max_fraction: float, fleet_round_ms: float = 0.0) -> None:
        """Schedule a poll at random between these fractions of a polling round.

        fleet_round_ms: the shortest round, unless a round without regard to the age of the list is shorter.
        """
        state, settings = self.state, self.state.settings
        if not settings.polls_discovery or self.poll_scheduled:
            return
        self.poll_scheduled = True
        fraction = min_fraction + (max_fraction - min_fraction) * state.random()
        polling_round_ms = DISCOVERY_CALL_MS * (settings.balancers + 2 * self.failures)
        polling_round_ms = min(polling_round_ms, settings.poll_interval_ms, MAX_LIST_AGE_MS)
        remaining_ms = self._remaining_ms()
        if remaining_ms is not None:
            polling_round_ms = min(polling_round_ms, max(remaining_ms, fleet_round_ms))
        state.set_timer(fraction * polling_round_ms, self._poll)

    def _fleet_round_ms(self) -> float:
        """Return the time within which discovery can answer one call of each balancer."""
        return FLEET_CALL_MS * self.state.settings.balancers

    def _remaining_ms(self) -> float | None:
        """Return the time until the list is too old, or None if that is not known or too short for a call."""
        remaining_ms = self.state.list_freshness.remaining_ms(self.state.now)
        return remaining_ms if remaining_ms is not None and remaining_ms >= MIN_REMAINING_MS else None

    def _poll(self) -> None:
        self.poll_scheduled = False
        self.polls += 1
        self.polled_at = self.state.now
        self.awaiting_list = True
        self.state.emit(WatchEndpoints())
        remaining_ms = self._remaining_ms()
        if remaining_ms is not None and remaining_ms >= self._fleet_round_ms():
            min_fraction, max_fraction = RETRY_FRACTIONS
            fraction = min_fraction + (max_fraction - min_fraction) * self.state.random()
            self.state.set_timer(fraction * remaining_ms, partial(self._hedge, self.polls))

    def _hedge(self, poll: int) -> None:
        """Call discovery once more, beside this poll, if that is still the newest one and is not answered."""
        if self.awaiting_list and poll == self.polls:
            self.state.emit(WatchEndpoints(renew=True))
