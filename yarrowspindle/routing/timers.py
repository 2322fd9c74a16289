"""The names of the core's timers. Recorded sequences contain them, so the values must not change.

The balancer's own timers are integers; timers of one request are pairs of a name and the request's id.
"""

from __future__ import annotations

LIVENESS_TIMER = "pulse"
SHUTDOWN_TIMER = "stopping"
REBALANCING_TIMER = "plan"
ENDPOINT_WATCH_TIMER = "list"
EVACUATION_TIMER = "empty"

REQUEST_DEADLINE_TIMER = "deadline"
RECONNECT_TIMER = "again"
