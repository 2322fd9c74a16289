"""The membership table, with SWIM's rules of precedence, and the queue of updates to gossip.

The rules, each covered by a test in tests/membership/test_members.py:
1. Of two updates about a member, the one with the greater (incarnation, refutations, state) wins.
2. Only the member itself increases its refutations, so that an old update cannot revive it.
3. An incarnation that left never returns. An incarnation declared dead returns only by a further refutation.
4. Correctness does not depend on wall clocks: a process whose incarnation proves too low takes a higher one.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, log2

from yarrowspindle.membership.messages import MAX_UPDATES_PER_DATAGRAM, MembershipUpdate, MemberState
from yarrowspindle.routing.address import Address

MAX_MEMBERS = 4096  # table size, including members that are dead or left
RETRANSMIT_MULTIPLE = 3.0  # transmissions of an update per log2 of the cluster size
VIEW_DIGEST_BYTES = 6
MAX_UPDATE_OVERHEAD_BYTES = 36  # encoded size of an update without its strings


@dataclass(slots=True)
class Member:
    """An entry of the membership table. Times are in milliseconds of this relay's clock.

    Attributes:
        name: Name of the member.
        address: Address that the member advertises.
        incarnation: Incarnation of the member's process.
        refutations: Number of refutations by the member within this incarnation.
        state: State of the member.
        state_since: When the state was set.
        last_heard: When the member itself last sent a datagram; -1 for never.
    """

    name: str
    address: Address
    incarnation: int
    refutations: int
    state: MemberState
    state_since: float
    last_heard: float = -1.0

    @property
    def present(self) -> bool:
        """Whether the member is in the cluster, that is alive or suspected."""
        return self.state <= MemberState.SUSPECT

    def to_update(self, suspected_by: str = "") -> MembershipUpdate:
        """Return the member's entry as an update to send."""
        return MembershipUpdate(self.name, *self.address, self.incarnation, self.refutations, self.state, suspected_by)


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A member after an update changed it; `previous_state` is None for a member that was not known before."""

    member: Member
    previous_state: MemberState | None
    new_incarnation: bool = False

    @property
    def was_present(self) -> bool:
        """Whether the member was in the cluster before the change."""
        return self.previous_state is not None and self.previous_state <= MemberState.SUSPECT


class Members:
    """The members by name, including this relay, and the updates that are still to be gossiped.

    Attributes:
        local: The entry of this relay.
        table: Entries by member name.
        updates: Queued updates and the number of their transmissions, by member name, the newest last.
        superseded: Whether a later process at another address has taken this relay's name.
    """

    def __init__(self, name: str, address: Address, incarnation: int, now: float) -> None:
        self.local = Member(name, address, incarnation, 0, MemberState.ALIVE, now, now)
        self.table: dict[str, Member] = {name: self.local}
        self.updates: dict[str, tuple[MembershipUpdate, int]] = {}
        self.superseded = False
        self._view_digest: int | None = None
        self._size = 1
        self._names: list[str] | None = None

    # --- queries --------------------------------------------------------------------------------

    def __iter__(self) -> Iterator[Member]:
        return iter(self.table.values())

    @property
    def size(self) -> int:
        """The number of present members, including this relay."""
        return self._size

    @property
    def names(self) -> list[str]:
        """The sorted names of the present members."""
        if self._names is None:
            self._names = sorted(member.name for member in self.table.values() if member.present)
        return self._names

    @property
    def view_digest(self) -> int:
        """A digest of the present members and their incarnations; equal on relays whose views agree."""
        if self._view_digest is None:
            members = sorted(self.table.values(), key=lambda member: member.name)
            text = ";".join(f"{member.name},{member.incarnation}" for member in members if member.present)
            digest = blake2b(text.encode(), digest_size=VIEW_DIGEST_BYTES).digest()
            self._view_digest = int.from_bytes(digest, "big")
        return self._view_digest

    def describe(self) -> str:
        """Return the number of members in each state as text for log lines."""
        counts = dict.fromkeys(MemberState, 0)
        for member in self.table.values():
            counts[member.state] += 1
        return ", ".join(f"{count} {state.label}" for state, count in counts.items() if count)

    # --- updates --------------------------------------------------------------------------------

    def apply(self, update: MembershipUpdate, now: float) -> MemberChange | None:
        """Apply an update from any relay, and gossip it further if it changed anything.

        Returns:
            The change, or None if the update is obsolete.
        """
        if update.name == self.local.name:
            return self._apply_to_local(update, now)
        known = self.table.get(update.name)
        if known is None:
            return self._add(update, now)
        if (update.incarnation, update.refutations, update.state) <= (
            known.incarnation,
            known.refutations,
            known.state,
        ):
            return None
        if update.incarnation == known.incarnation and known.state == MemberState.LEFT:
            return None
        previous_state = known.state
        new_incarnation = update.incarnation > known.incarnation
        known.address = (update.host, update.port)
        known.incarnation = update.incarnation
        known.refutations = update.refutations
        known.state = update.state
        known.state_since = now
        return self._record_change(known, previous_state, update, new_incarnation)

    def apply_local_observation(self, name: str, state: MemberState, now: float) -> MemberChange | None:
        """Apply a member's state as this relay itself observed it."""
        member = self.table.get(name)
        if member is None or member is self.local:
            return None
        update = MembershipUpdate(name, *member.address, member.incarnation, member.refutations, state, self.local.name)
        return self.apply(update, now)

    def leave(self, now: float) -> None:
        """Mark this relay as having left, and queue the update."""
        self.local.state = MemberState.LEFT
        self.local.state_since = now
        self.enqueue_update(self.local.to_update())

    def remove_ended(self, before: float) -> None:
        """Remove the members that have been dead or left since before this time."""
        for name in [m.name for m in self.table.values() if not m.present and m.state_since < before]:
            self._remove(name)

    def _add(self, update: MembershipUpdate, now: float) -> MemberChange | None:
        # A dead or left member that is not known is ignored: relays would gossip its update to each other forever.
        if update.state in (MemberState.DEAD, MemberState.LEFT) or not self._make_room():
            return None
        address = (update.host, update.port)
        member = Member(update.name, address, update.incarnation, update.refutations, update.state, now)
        self.table[update.name] = member
        return self._record_change(member, None, update)

    def _apply_to_local(self, update: MembershipUpdate, now: float) -> MemberChange | None:
        local = self.local
        claims_present = update.state <= MemberState.SUSPECT
        if update.incarnation < local.incarnation:
            return None
        if self.superseded and (claims_present or update.incarnation == local.incarnation):
            return None
        self.superseded = False
        if update.incarnation > local.incarnation:
            if claims_present and (update.host, update.port) != local.address:
                # A later process at another address has this name and keeps it until that process ends.
                self.superseded = True
                return None
            # The update is about an earlier process of this relay whose clock was ahead: take a higher incarnation.
            local.incarnation = update.incarnation + 1
            local.refutations = 0
            self._view_digest = None
        elif update.state == MemberState.ALIVE or update.refutations < local.refutations:
            return None
        else:
            local.refutations = update.refutations + 1
        self.enqueue_update(local.to_update())
        return MemberChange(local, update.state)

    def _make_room(self) -> bool:
        """Evict the member that has been dead or left the longest, if the table is full.

        Returns:
            Whether one more member fits.
        """
        if len(self.table) < MAX_MEMBERS:
            return True
        ended = (member for member in self.table.values() if not member.present)
        first_ended = min(ended, key=lambda member: member.state_since, default=None)
        if first_ended is None:
            return False
        self._remove(first_ended.name)
        return True

    def _remove(self, name: str) -> None:
        del self.table[name]
        self.updates.pop(name, None)

    def _record_change(
        self,
        member: Member,
        previous_state: MemberState | None,
        update: MembershipUpdate,
        new_incarnation: bool = False,
    ) -> MemberChange:
        change = MemberChange(member, previous_state, new_incarnation)
        was_present = change.was_present
        if was_present != member.present or new_incarnation:
            self._size += member.present - was_present
            self._view_digest = None
            self._names = None
        self.enqueue_update(update)
        return change

    # --- gossip ---------------------------------------------------------------------------------

    def enqueue_update(self, update: MembershipUpdate) -> None:
        """Queue an update for the next datagrams; it replaces a queued update about the same member."""
        self.updates.pop(update.name, None)
        self.updates[update.name] = (update, 0)

    def take_updates(self, max_bytes: int, priority_member: str = "") -> list[MembershipUpdate]:
        """Return the updates to include in a datagram: the least transmitted ones first, of these the newest.

        Args:
            max_bytes: Maximum encoded size of the updates.
            priority_member: Name of a member whose update is included before all others.
        """
        if not self.updates:
            return []
        max_transmissions = ceil(RETRANSMIT_MULTIPLE * log2(self.size + 2))
        # The sort is stable, so reversing the items first puts the newest of equally often sent updates first.
        order = sorted(reversed(self.updates.items()), key=lambda item: (item[0] != priority_member, item[1][1]))  # noqa: C414  # stable
        selected = list[MembershipUpdate]()
        for name, (update, transmissions) in order:
            max_bytes -= max_update_bytes(update)
            if max_bytes < 0 or len(selected) == MAX_UPDATES_PER_DATAGRAM:
                break
            selected.append(update)
            if transmissions + 1 >= max_transmissions:
                del self.updates[name]
            else:
                self.updates[name] = (update, transmissions + 1)
        return selected


def max_update_bytes(update: MembershipUpdate) -> int:
    """Return the maximum encoded size of an update in MessagePack."""
    name_bytes = len(update.name.encode())
    suspected_by_bytes = len(update.suspected_by.encode())
    return MAX_UPDATE_OVERHEAD_BYTES + name_bytes + len(update.host) + suspected_by_bytes
