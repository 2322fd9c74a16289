"""Published names of the counters of agents, links and controllers, on which operators' dashboards depend."""

from __future__ import annotations

from typing import Final

# --- controllers --------------------------------------------------------------------------------
UNKNOWN_SENDERS: Final = "strangers"  # messages; also counted by an agent
RELAY_TABLE_FULL: Final = "no_room"
NEWER_RELAYS: Final = "ahead"
SNAPSHOTS: Final = "wholes"  # sent by a controller, or received with a newer version by an agent
DELTAS_SENT: Final = "differences"

# --- agents -------------------------------------------------------------------------------------
HEARTBEATS_SENT: Final = "beats"
REATTACHMENTS: Final = "moves"
DIGEST_MISMATCHES: Final = "differs"
INVALID_UPDATES: Final = "bent"
REJECTED_VERSIONS: Final = "refused"

# --- links --------------------------------------------------------------------------------------
DATAGRAMS_SENT: Final = "sent"
BYTES_SENT: Final = "sent_bytes"
DATAGRAMS_RECEIVED: Final = "came"
BYTES_RECEIVED: Final = "came_bytes"
EARLIER_INCARNATIONS: Final = "earlier_life"
DROPPED_PREFIX: Final = "dropped_"  # followed by the cause, with underscores instead of spaces
UNEXPECTED_BODY: Final = "no message of control"
SOURCE_RATE_EXCEEDED: Final = "flood"
