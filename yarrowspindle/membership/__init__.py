"""SWIM membership of the relays in a cluster, and the dissemination of their loads.

The package does no I/O: it opens no sockets, runs no event loop and reads no clock. It requires the optional dependency
`peers` (msgspec); a relay without peers does not import it.
"""

from yarrowspindle.membership.core import Membership
from yarrowspindle.membership.settings import PeerError, PeerSettings, read_peers

__all__ = ["Membership", "PeerError", "PeerSettings", "read_peers"]
