"""Relays that hear one another: members, and what each of them holds. Pure: no sockets, no event loop, no clock.

Needs the extra `peers` (msgspec); the platform does without it.
"""

from yarrowspindle.membership.core import Membership
from yarrowspindle.membership.settings import PeerError, PeerSettings, read_peers

__all__ = ["PeerError", "PeerSettings", "Membership", "read_peers"]
