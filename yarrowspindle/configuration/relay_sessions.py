"""The relays that are attached to a controller: their heartbeats and the updates that are sent to them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from yarrowspindle.configuration import published_counters
from yarrowspindle.configuration.committed_log import NO_VERSION
from yarrowspindle.configuration.controller_context import (
    ATTACHMENT_GRACE_MS,
    NEVER_MS,
    PEER_TIMEOUT_MS,
    SUMMARY_INTERVAL_MS,
    ControllerContext,
)
from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.messages import Delta, Detach, Heartbeat, LatestVersion, RelayReattached, Snapshot
from yarrowspindle.configuration.peer_controllers import PeerControllers
from yarrowspindle.routing.address import Address

MAX_RELAYS = 4096
RELAY_TIMEOUT_MS = 2000.0  # a relay that sends no heartbeat for this long is considered silent
RELAY_RETENTION_MS = 60_000.0  # a relay that sends no heartbeat for this long is removed
UPDATE_INTERVAL_MS = 200.0  # minimum time between two updates to a relay
# A relay may receive a version from another controller before this controller does. If it has a newer version for
# longer than this, the controllers may have lost committed versions.
NEWER_VERSION_TOLERANCE_MS = 5000.0


@dataclass(slots=True)
class AttachedRelay:
    """A relay that sends its heartbeats to this controller. Times are in milliseconds of the controller's clock.

    Attributes:
        sender: The sender of the newest message received from the relay.
        known_version: The newest version that the relay has.
        applied_version: The version that the relay applies.
        rejection_reason: Why the relay does not apply the newest version; empty if it does not reject it.
        last_heartbeat_at: When the last heartbeat was received.
        wants_snapshot: Whether the relay requested a snapshot in its last heartbeat.
        last_update_at: When an update was last sent to the relay.
        lagging_since: Since when the relay has not applied the newest version; 0 if it applies it.
        grace_ends_at: Until when a relay that has detached is still counted here; 0 while it is attached. It is counted
            during this grace period so that it is always in some summary until its next controller reports it.
    """

    sender: Sender
    known_version: int
    applied_version: int
    rejection_reason: str
    last_heartbeat_at: float
    wants_snapshot: bool = False
    last_update_at: float = NEVER_MS
    lagging_since: float = 0.0
    grace_ends_at: float = 0.0

    def is_older_than(self, incarnation: int, sent_at: int) -> bool:
        """Return whether a message with this incarnation and sending time is newer than the last one of this relay."""
        return (incarnation, sent_at) > (self.sender.incarnation, self.sender.sent_at)


class RelaySessions:
    """The relays of one controller. `relays` holds them by address."""

    def __init__(self, context: ControllerContext, peers: PeerControllers) -> None:
        self.context, self.peers = context, peers
        self.relays: dict[Address, AttachedRelay] = {}
        self.name_conflict_logged_at: dict[str, float] = {}

    # --- messages -------------------------------------------------------------------------------

    def on_heartbeat(self, sender: Sender, heartbeat: Heartbeat) -> None:
        """Record an attached relay and send it the steps that it lacks; send the newest version number to any other."""
        if not heartbeat.attached:
            self._reply_latest_version(sender)
            return
        previous = self.relays.get(sender.address)
        if not self._admit(sender, previous):
            return
        relay = self._record(sender, heartbeat, previous)
        if heartbeat.previous_controller in self.peers:
            reattached = RelayReattached(*sender.address, sender.incarnation, sender.sent_at)
            self.context.send(heartbeat.previous_controller, reattached)
        self._report_newer_version(relay)
        self._update_lagging_since(relay)
        self._answer(relay, previous)

    def on_detach(self, sender: Sender, _: Detach) -> None:
        """Start the grace period of a relay that shuts down or attaches to another controller."""
        relay = self.relays.get(sender.address)
        if relay is not None and relay.is_older_than(sender.incarnation, sender.sent_at):
            relay.sender = sender
            relay.grace_ends_at = self.context.now + ATTACHMENT_GRACE_MS

    def on_reattached(self, sender: Sender, reattached: RelayReattached) -> None:
        """Shorten the grace period of a relay that another controller reports as attached.

        The relay is counted here until a summary of that controller has counted it.
        """
        relay = self.relays.get((reattached.host, reattached.port))
        if sender.name not in self.peers or relay is None:
            return
        if not relay.is_older_than(reattached.incarnation, reattached.sent_at):
            return
        now = self.context.now
        # If that controller is alive, it sends its next summary, or is considered failed, within this time.
        is_live = sender.name in self.peers.live_incarnations
        grace_ms = PEER_TIMEOUT_MS + SUMMARY_INTERVAL_MS if is_live else ATTACHMENT_GRACE_MS
        relay.grace_ends_at = min(relay.grace_ends_at or now + ATTACHMENT_GRACE_MS, now + grace_ms)

    # --- changes of the committed state ---------------------------------------------------------

    def on_state_committed(self) -> None:
        """Send a newer state to the relays."""
        for relay in self.relays.values():
            self._update_lagging_since(relay)
        self.push_due()

    def push_due(self) -> None:
        """Send updates to live relays that lag, at most one per relay in UPDATE_INTERVAL_MS.

        Changes in quick succession are thereby sent together.
        """
        self._push([relay for relay in self.relays.values() if self._is_update_due(relay)])

    def remove_expired(self) -> None:
        """Remove relays whose grace period has ended or that have been silent for RELAY_RETENTION_MS."""
        expired = [
            address
            for address, relay in self.relays.items()
            if self.context.now > (relay.grace_ends_at or relay.last_heartbeat_at + RELAY_RETENTION_MS)
        ]
        for address in expired:
            del self.relays[address]

    def is_live(self, relay: AttachedRelay) -> bool:
        """Return whether a heartbeat of the relay was received within RELAY_TIMEOUT_MS."""
        return self.context.now <= relay.last_heartbeat_at + RELAY_TIMEOUT_MS

    # --- one heartbeat --------------------------------------------------------------------------

    def _admit(self, sender: Sender, previous: AttachedRelay | None) -> bool:
        if previous is not None:  # ignore a heartbeat that arrives after a newer message of the relay
            return previous.is_older_than(sender.incarnation, sender.sent_at)
        if len(self.relays) >= MAX_RELAYS and not self._evict_silent_relay():
            self.context.counts[published_counters.RELAY_TABLE_FULL] += 1
            return False
        self._report_name_conflict(sender)
        return True

    def _record(self, sender: Sender, heartbeat: Heartbeat, previous: AttachedRelay | None) -> AttachedRelay:
        relay = AttachedRelay(
            sender,
            heartbeat.known_version,
            heartbeat.applied_version,
            heartbeat.rejection_reason,
            self.context.now,
            heartbeat.wants_snapshot,
        )
        if previous is not None:
            relay.last_update_at = previous.last_update_at
            relay.lagging_since = previous.lagging_since
        self.relays[sender.address] = relay
        return relay

    def _answer(self, relay: AttachedRelay, previous: AttachedRelay | None) -> None:
        is_behind = relay.known_version < self.context.committed.version
        may_update = relay.wants_snapshot or self.context.now >= relay.last_update_at + UPDATE_INTERVAL_MS
        if is_behind and may_update:
            self._push([relay])
        elif previous is None or relay.known_version <= previous.known_version:
            # A heartbeat that confirms an update needs no answer.
            self._reply_latest_version(relay.sender)

    def _reply_latest_version(self, sender: Sender) -> None:
        committed = self.context.committed
        self.context.reply(sender, LatestVersion(committed.version, committed.digest))

    def _evict_silent_relay(self) -> bool:
        """Remove the relay that has been silent for the longest time. Return False if no relay is silent."""
        address, oldest = min(self.relays.items(), key=lambda item: item[1].last_heartbeat_at)
        if self.is_live(oldest):
            return False
        del self.relays[address]
        return True

    def _report_name_conflict(self, sender: Sender) -> None:
        """Log a warning if another live relay has the same name: both are served, but an operator has to rename one."""
        for other in self.relays.values():
            if other.sender.name == sender.name and not other.grace_ends_at and self.is_live(other):
                self._log_name_conflict(sender, other)
                return

    def _log_name_conflict(self, sender: Sender, other: AttachedRelay) -> None:
        now, name = self.context.now, sender.name
        if now < self.name_conflict_logged_at.get(name, NEVER_MS) + RELAY_RETENTION_MS:
            return
        if len(self.name_conflict_logged_at) >= MAX_RELAYS:
            return
        self.name_conflict_logged_at[name] = now
        (host, port), (other_host, other_port) = sender.address, other.sender.address
        text = (
            f"two relays are called {name}: {other_host}:{other_port} and {host}:{port}; "
            "both receive settings, but the status cannot tell them apart; give one of them another control.name"
        )
        self.context.log(text, is_warning=True)

    def _report_newer_version(self, relay: AttachedRelay) -> None:
        committed = self.context.committed
        known_since = max(committed.committed_at, self.context.started_at)
        if relay.known_version > committed.version and self.context.now > known_since + NEWER_VERSION_TOLERANCE_MS:
            self.context.counts[published_counters.NEWER_RELAYS] += 1
            self.context.log(
                f"relay {relay.sender.name} has version {relay.known_version}, newer than the committed version "
                f"{committed.version}: the controllers may have lost committed versions, or the relay belongs to "
                "another fleet",
                rate_limited=True,
            )

    # --- updates --------------------------------------------------------------------------------

    def _update_lagging_since(self, relay: AttachedRelay) -> None:
        if relay.applied_version >= self.context.committed.version:
            relay.lagging_since = 0.0
        elif not relay.lagging_since:
            relay.lagging_since = self.context.now

    def _is_update_due(self, relay: AttachedRelay) -> bool:
        return (
            relay.known_version < self.context.committed.version
            and not relay.grace_ends_at
            and self.context.now >= relay.last_update_at + UPDATE_INTERVAL_MS
            and self.is_live(relay)
        )

    def _push(self, relays: Iterable[AttachedRelay]) -> None:
        """Send each relay the steps that it lacks, or a snapshot. Relays with the same version share one message."""
        updates: dict[int, Delta | Snapshot] = {}
        for relay in relays:
            base = NO_VERSION if relay.wants_snapshot else relay.known_version
            if base not in updates:
                updates[base] = self._update_since(base)
            relay.last_update_at = self.context.now
            self.context.reply(relay.sender, updates[base])

    def _update_since(self, base: int) -> Delta | Snapshot:
        update = self.context.committed.update_since(base)
        is_snapshot = isinstance(update, Snapshot)
        self.context.counts[published_counters.SNAPSHOTS if is_snapshot else published_counters.DELTAS_SENT] += 1
        return update
