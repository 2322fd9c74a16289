"""The names of the core's timers. Recorded event sequences contain the values, so they must not change.

A timer of the balancer is an integer instead, and a timer of a single request is a pair of a name and the request's id.
"""

from __future__ import annotations

LIVENESS_TIMER = "pulse"
SHUTDOWN_TIMER = "stopping"
REBALANCING_TIMER = "plan"
ENDPOINT_WATCH_TIMER = "list"
EVACUATION_TIMER = "empty"

REQUEST_DEADLINE_TIMER = "deadline"
RECONNECT_TIMER = "again"
