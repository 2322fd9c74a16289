"""Standing connections moved slowly towards balance: view, plan, pace, and a watch on the results.

Pure: no wire, no clock and no event loop; the time comes with each call, in milliseconds. The reducer feeds the
`Rebalancer` and carries out the moves that it names; where a moved submitter goes stays the module's decision.
"""

from yarrowspindle.rebalancing.rebalancer import Rebalancer
from yarrowspindle.rebalancing.settings import Order, RebalanceError, RebalanceSettings

__all__ = ["Order", "RebalanceError", "RebalanceSettings", "Rebalancer"]
