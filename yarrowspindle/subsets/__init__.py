"""Subsets of the backends that each relay uses, and budgets that relays share. Without I/O.

`subset_ring` assigns the subsets, `leases` the budgets. Each relay computes its own. The daemon does not use this
package yet; its status is in `docs/design/subsets.md`.
"""

from yarrowspindle.subsets.subset_ring import Subset, SubsetRing

__all__ = ["Subset", "SubsetRing"]
