"""Gradually migrates established connections off overloaded backends.

The package does no I/O and reads no clock: each call passes the time in milliseconds. The reducer reports events to the
`Rebalancer` and carries out the migrations that it selects. The balancer chooses the new backend of a migrated client.
"""

from yarrowspindle.rebalancing.rebalancer import Rebalancer
from yarrowspindle.rebalancing.settings import Order, RebalanceError, RebalanceSettings

__all__ = ["Order", "RebalanceError", "RebalanceSettings", "Rebalancer"]
