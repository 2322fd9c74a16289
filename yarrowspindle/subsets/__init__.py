"""Which nodes a relay draws from, computed by each relay alone from the members and the list. Pure.

Not wired into the daemon yet; `docs/design/subsets.md` says what stands.
"""

from yarrowspindle.subsets.subset_ring import Subset, SubsetRing

__all__ = ["SubsetRing", "Subset"]
