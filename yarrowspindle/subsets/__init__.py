"""Which backends a relay draws from, and budgets that relays share; each relay works it out alone. Pure.

Not wired into the daemon yet; `docs/design/subsets.md` says what stands.
"""

from yarrowspindle.subsets.subset_ring import Subset, SubsetRing

__all__ = ["Subset", "SubsetRing"]
