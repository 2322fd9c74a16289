"""Joins the cluster, and synchronizes the whole membership table of two relays if their views differ."""

from __future__ import annotations

from yarrowspindle.membership.context import MembershipContext
from yarrowspindle.membership.members import Member, max_update_bytes
from yarrowspindle.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_UPDATES_PER_DATAGRAM,
    Datagram,
    MembershipUpdate,
    MemberState,
    SyncRequest,
)
from yarrowspindle.membership.rate_limits import FullSyncLimiter
from yarrowspindle.membership.timers import PeriodicTimer

MIN_JOIN_INTERVAL_MS = 500.0
MAX_JOIN_INTERVAL_MS = 5000.0
JOIN_JITTER = (0.75, 1.25)  # range of the random factor of the interval
RECONNECT_INTERVAL_MS = 2000.0
MAX_HEADER_BYTES = 260  # size of a full-sync datagram without its updates
TABLE_SYNC = "table"  # the kind of full sync for the limiter


class FullSync:
    """The component that joins the cluster through the seeds, and exchanges whole membership tables with peers."""

    def __init__(self, context: MembershipContext, limiter: FullSyncLimiter) -> None:
        self._context = context
        self._limiter = limiter
        self._join_interval_ms = MIN_JOIN_INTERVAL_MS
        self._reconnect_at = context.now + RECONNECT_INTERVAL_MS

    def join(self) -> None:
        """Contact all seeds, and again with backoff until a peer is known."""
        context = self._context
        local = context.members.local
        if context.members.size > 1:
            self._join_interval_ms = MIN_JOIN_INTERVAL_MS
            return
        for seed in context.settings.seeds:
            if seed != local.address:
                context.send(seed, SyncRequest(wants_table=True), [local.to_update()])
        jitter = context.random.uniform(*JOIN_JITTER)
        context.set_timer(self._join_interval_ms * jitter, PeriodicTimer.JOIN)
        self._join_interval_ms = min(2.0 * self._join_interval_ms, MAX_JOIN_INTERVAL_MS)

    def reconnect_if_due(self) -> None:
        """Contact a random dead member or a seed that is not a member, so that a healed partition is detected."""
        context = self._context
        if context.now < self._reconnect_at:
            return
        self._reconnect_at = context.now + RECONNECT_INTERVAL_MS
        members = context.members
        if members.size == 1 and self._join_interval_ms == MIN_JOIN_INTERVAL_MS:
            self.join()
        if members.superseded:
            # Any peer may know whether the process that took this relay's name has ended.
            candidates = [member.address for member in context.present_peers()]
        else:
            present = {member.address for member in members if member.present}
            candidates = [member.address for member in members if member.state == MemberState.DEAD]
            dead = set(candidates)
            candidates += [seed for seed in context.settings.seeds if seed not in present and seed not in dead]
        if candidates:
            context.send(context.random.choice(candidates), SyncRequest(), [members.local.to_update()])

    def compare_views(self, member: Member, view_digest: int) -> None:
        """Start a full sync with a member if its view of the cluster differs."""
        if view_digest != self._context.members.view_digest:
            self.send_table(member, wants_table=True)

    def on_sync_request(self, member: Member, datagram: Datagram, request: SyncRequest) -> None:
        """Answer a full sync if the sender asks for this relay's table."""
        if request.wants_table:
            self.send_table(member, wants_table=False)

    def send_table(self, member: Member, wants_table: bool) -> None:
        """Send the whole table to a member, unless the limiter rejects the full sync."""
        context = self._context
        if not self._limiter.accept(TABLE_SYNC, member.name, context.now):
            return
        context.counts["tables_sent"] += 1
        room = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES
        updates = list[MembershipUpdate]()
        for known in context.members:
            update = known.to_update()
            if room < max_update_bytes(update) or len(updates) == MAX_UPDATES_PER_DATAGRAM:
                context.send(member.address, SyncRequest(wants_table), updates)
                room = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES
                updates = []
                wants_table = False  # only the first datagram asks for the receiver's table
            updates.append(update)
            room -= max_update_bytes(update)
        context.send(member.address, SyncRequest(wants_table), updates)
