"""How old the endpoint list may be while this process still places requests by it.

Discovery confirms a list with each update and each heartbeat on a watch. A change counts as known to a relay once
discovery has sent it to any process of the relay, and `MAX_LIST_AGE_MS` after its publication in any case. The rule:

| state of the process | oldest list for a new attempt | beyond that |
| --- | --- | --- |
| it ends, and another process of the relay serves | the drain grace less a stall | rejected: the client reconnects |
| any other: start, steady, reload, drain, shutdown | `MAX_LIST_AGE_MS`; `DiscoveryPolling` polls in time | placed: \
discovery cannot be reached, and is polled until it can |

The same holds for pushed and for polled lists. What discovery has sent to another process of the relay is applied as an
update of the kind SHARED, which confirms nothing here: this process has not heard from discovery by it.
"""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.settings import MAX_STALL_MS, Settings

MAX_LIST_AGE_MS = 6000.0  # time after its publication for which a list counts as current


class ListFreshness:
    """The age of the endpoint list. Times are in milliseconds on the balancer's clock.

    Attributes:
        confirmed_at: when discovery last sent an update or confirmed the list; None before the first time.
        has_heartbeats: discovery confirms the list also while nothing changes, so that its age is known.
        successor_serves: this process ends, and another process of the same relay accepts its clients.
    """

    def __init__(self) -> None:
        self.confirmed_at: float | None = None
        self.has_heartbeats = False
        self.successor_serves = False

    def on_update(self, now: float) -> None:
        """Record an update of the list from discovery."""
        self.confirmed_at = now

    def on_heartbeat(self, now: float) -> None:
        """Record that discovery confirmed the list without a change."""
        self.confirmed_at, self.has_heartbeats = now, True

    def age_ms(self, now: float) -> float:
        """Return the time since the list was last confirmed; infinite if it never was."""
        return inf if self.confirmed_at is None else now - self.confirmed_at

    def max_age_ms(self, settings: Settings) -> float:
        """Return the age up to which requests are placed by the list."""
        if self.successor_serves:
            return max(settings.drain_grace_ms - MAX_STALL_MS, 0.0)
        return inf

    def placement_rejection(self, settings: Settings, now: float) -> RejectionReason | None:
        """Return why no request may be placed by this list, or None if requests may be."""
        return RejectionReason.LIST_OUTDATED if self.age_ms(now) > self.max_age_ms(settings) else None

    def remaining_ms(self, now: float) -> float | None:
        """Return the time within which the list has to be confirmed again; None if its age is not known."""
        if not self.has_heartbeats:
            return None
        return MAX_LIST_AGE_MS - self.age_ms(now)
