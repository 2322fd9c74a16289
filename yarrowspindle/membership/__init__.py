"""SWIM membership of the relays in a cluster, and the load that each relay reports to its peers.

The package is a pure core: it opens no sockets, runs no event loop and reads no clock. It needs the extra `peers`
(msgspec); a relay without peers does not import it.
"""

from yarrowspindle.membership.core import Membership
from yarrowspindle.membership.settings import PeerError, PeerSettings, read_peers

__all__ = ["Membership", "PeerError", "PeerSettings", "read_peers"]
