"""The table of members, by SWIM's rules of precedence, and the updates that spread it by gossip.

The rules, each held by a test in tests/membership/test_members.py:
1. Of two updates on one member, the one with the later (incarnation, refutations, state) wins.
2. Only the member itself raises its refutations, so that an old update cannot bring it back.
3. An incarnation that left never returns. A dead one returns only by a further refutation.
4. No wall clock decides: a process whose incarnation turns out to be too low takes a higher one.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, log2

from yarrowspindle.membership.messages import MAX_UPDATES_PER_DATAGRAM, MembershipUpdate, MemberState
from yarrowspindle.routing.address import Address

MAX_MEMBERS = 4096  # names remembered, those of dead members included
RETRANSMIT_MULTIPLE = 3.0  # times log2 of the cluster's size that an update is sent
VIEW_DIGEST_BYTES = 6
MAX_UPDATE_OVERHEAD_BYTES = 36  # of an encoded update, beside its texts


@dataclass(slots=True)
class Member:
    """What this relay knows of a member. Times are in milliseconds of this relay's clock.

    state_since: when the state was set. last_heard: when the member itself last sent a datagram, -1 for never.
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
        """Whether the member is in the cluster; a suspected one still is."""
        return self.state <= MemberState.SUSPECT

    def to_update(self, suspected_by: str = "") -> MembershipUpdate:
        """Returns the member's entry as an update to send."""
        return MembershipUpdate(self.name, *self.address, self.incarnation, self.refutations, self.state, suspected_by)


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A member after an update changed it. `previous_state` is None where the member was not known."""

    member: Member
    previous_state: MemberState | None
    new_incarnation: bool = False

    @property
    def was_present(self) -> bool:
        """Whether the member was in the cluster before the change."""
        return self.previous_state is not None and self.previous_state <= MemberState.SUSPECT


class Members:
    """The members by name, this relay included, and the updates still to be spread.

    displaced: a later process at another address has this relay's name.
    """

    def __init__(self, name: str, address: Address, incarnation: int, now: float) -> None:
        self.local = Member(name, address, incarnation, 0, MemberState.ALIVE, now, now)
        self.table: dict[str, Member] = {name: self.local}
        self.updates: dict[str, tuple[MembershipUpdate, int]] = {}  # newest last, with the number of transmissions
        self.superseded = False
        self._view_digest: int | None = None
        self._size = 1
        self._names: list[str] | None = None

    # --- queries --------------------------------------------------------------------------------

    def __iter__(self) -> Iterator[Member]:
        return iter(self.table.values())

    @property
    def size(self) -> int:
        """The number of members that are present, this relay included."""
        return self._size

    @property
    def names(self) -> list[str]:
        """The sorted names of the members that are present."""
        if self._names is None:
            self._names = sorted(member.name for member in self.table.values() if member.present)
        return self._names

    @property
    def view_digest(self) -> int:
        """A digest of the members that are present and their incarnations; equal at relays that agree."""
        if self._view_digest is None:
            members = sorted(self.table.values(), key=lambda member: member.name)
            text = ";".join(f"{member.name},{member.incarnation}" for member in members if member.present)
            digest = blake2b(text.encode(), digest_size=VIEW_DIGEST_BYTES).digest()
            self._view_digest = int.from_bytes(digest, "big")
        return self._view_digest

    def describe(self) -> str:
        """Returns the number of members in each state, for the log."""
        counts = dict.fromkeys(MemberState, 0)
        for member in self.table.values():
            counts[member.state] += 1
        return ", ".join(f"{count} {state.label}" for state, count in counts.items() if count)

    # --- updates --------------------------------------------------------------------------------

    def apply(self, update: MembershipUpdate, now: float) -> MemberChange | None:
        """Applies an update from any relay; returns the change it made, if any. What changed is spread further."""
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
        """Applies the state that this relay itself found a member to be in."""
        member = self.table.get(name)
        if member is None or member is self.local:
            return None
        update = MembershipUpdate(name, *member.address, member.incarnation, member.refutations, state, self.local.name)
        return self.apply(update, now)

    def leave(self, now: float) -> None:
        """Marks this relay as having left, and spreads that."""
        self.local.state = MemberState.LEFT
        self.local.state_since = now
        self.enqueue_update(self.local.to_update())

    def remove_ended(self, before: float) -> None:
        """Removes the members that ended before this time."""
        for name in [m.name for m in self.table.values() if not m.present and m.state_since < before]:
            self._remove(name)

    def _add(self, update: MembershipUpdate, now: float) -> MemberChange | None:
        # An update on the end of an unknown member is not spread: it would circulate for ever.
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
                # A later process at another address has this name; the name is not disputed until it has ended.
                self.superseded = True
                return None
            # An earlier process of this relay, whose clock was ahead: this process is the later one all the same.
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
        """Removes the member that ended first where the table is full; returns whether one more member fits."""
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
        """Queues an update to be sent with the next datagrams, in place of an earlier one on the same member."""
        self.updates.pop(update.name, None)
        self.updates[update.name] = (update, 0)

    def take_updates(self, max_bytes: int, priority_member: str = "") -> list[MembershipUpdate]:
        """Returns the updates for one datagram: the least transmitted and newest that fit into so many bytes.

        An update on the member named `first` goes before all others.
        """
        if not self.updates:
            return []
        max_transmissions = ceil(RETRANSMIT_MULTIPLE * log2(self.size + 2))
        # Reversed before a stable sort: of equals the newest goes first.
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
    """Returns the most bytes that the update takes in MessagePack."""
    name_bytes = len(update.name.encode())
    suspected_by_bytes = len(update.suspected_by.encode())
    return MAX_UPDATE_OVERHEAD_BYTES + name_bytes + len(update.host) + suspected_by_bytes
