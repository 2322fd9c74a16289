"""Migrates established connections slowly towards balance: view, assessment, plan, rate, and a monitor of the effect.

Pure: no wire, no clock and no event loop; the time comes with each call, in milliseconds. The reducer feeds the
`Rebalancer` and carries out the migrations that it names; where a migrated client goes is the balancer's decision.
"""

from yarrowspindle.rebalancing.rebalancer import Rebalancer
from yarrowspindle.rebalancing.settings import Order, RebalanceError, RebalanceSettings

__all__ = ["Order", "RebalanceError", "RebalanceSettings", "Rebalancer"]
