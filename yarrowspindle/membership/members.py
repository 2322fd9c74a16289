"""The table of members: who is there, by SWIM's rules of precedence, and the rumours that spread it. Pure.

Rules, each guarded by a test in tests/membership/test_members.py:
1. Of two words on one name the one with the later (life, turn) holds; of equal ones the graver state does.
2. Only a member itself raises its turn, so nobody can be brought back to life by an old word.
3. A life that left never returns. One that was declared dead returns only by a later turn, which it alone can raise.
4. No wall clock decides: a process whose life number turns out to be too low takes a higher one.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, log2

from yarrowspindle.membership.codec import ALIVE, DEAD, LEFT, STATES, SUSPECT, MembershipUpdate
from yarrowspindle.routing.address import Address

MAX_MEMBERS = 4096  # names remembered, those of the dead included
RETOLD = 3.0  # times log2 of the members that a rumour is told


@dataclass(slots=True)
class Member:
    name: str
    address: Address
    incarnation: int
    turn: int
    state: int
    since: float  # of the state
    heard: float = -1.0  # when it last said anything itself

    @property
    def here(self) -> bool:
        return self.state <= SUSPECT

    def rumour(self, by: str = "") -> MembershipUpdate:
        return MembershipUpdate(self.name, *self.address, self.incarnation, self.turn, self.state, by)


@dataclass(slots=True, frozen=True)
class Change:
    """A member's state after a word on it; `was`: the state before, None where it was not known."""

    member: Member
    was: int | None
    new_incarnation: bool = False


class Members:
    def __init__(self, name: str, address: Address, incarnation: int, now: float) -> None:
        self.me = Member(name, address, incarnation, 0, ALIVE, now, now)
        self.table: dict[str, Member] = {name: self.me}
        self.rumours: dict[str, tuple[MembershipUpdate, int]] = {}  # newest last; how often each was told
        self.displaced = False  # another process took this name
        self._view: int | None = None
        self._size = 1
        self._names: list[str] | None = None

    # --- reading --------------------------------------------------------------------------------

    def __iter__(self) -> Iterator[Member]:
        return iter(self.table.values())

    @property
    def size(self) -> int:
        """Members that are there, this one included."""
        return self._size

    @property
    def names(self) -> list[str]:
        """Of those that are there, in order."""
        if self._names is None:
            self._names = sorted(m.name for m in self.table.values() if m.here)
        return self._names

    @property
    def view(self) -> int:
        """A digest of who is there in which life; equal at all who agree."""
        if self._view is None:
            text = ";".join(
                f"{m.name},{m.incarnation}" for m in sorted(self.table.values(), key=lambda m: m.name) if m.here
            )
            self._view = int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")
        return self._view

    # --- words ----------------------------------------------------------------------------------

    def told(self, word: MembershipUpdate, now: float) -> Change | None:
        """A word on a member, from whomever; the change that it made, if any. What changed is told on."""
        if word.name == self.me.name:
            return self._told_of_me(word, now)
        known = self.table.get(word.name)
        if known is None:
            if word.state in (DEAD, LEFT) or not self._room():
                return None  # of whom nothing is known nothing ends; the dead are not passed on for ever
            member = Member(word.name, (word.host, word.port), word.incarnation, word.turn, word.state, now)
            self.table[word.name] = member
            return self._changed(member, None, word)
        if (word.incarnation, word.turn, word.state) <= (known.incarnation, known.turn, known.state):
            return None
        if word.incarnation == known.incarnation and known.state == LEFT:
            return None  # it said itself that it ends: no word of that life counts any more
        was, new_incarnation = known.state, word.incarnation > known.incarnation
        known.address = (word.host, word.port)
        known.incarnation, known.turn, known.state, known.since = word.incarnation, word.turn, word.state, now
        return self._changed(known, was, word, new_incarnation)

    def _told_of_me(self, word: MembershipUpdate, now: float) -> Change | None:
        me = self.me
        if (
            word.incarnation < me.incarnation
            or self.displaced
            and (word.state <= SUSPECT or word.incarnation == me.incarnation)
        ):
            return None
        self.displaced = False  # at the most until the process that took this name has ended
        if word.incarnation > me.incarnation and (word.host, word.port) != me.address and word.state <= SUSPECT:
            self.displaced = True  # a later process elsewhere has this name: it is not disputed for ever
            return None
        if word.incarnation > me.incarnation:
            # Our own earlier life by a clock that was ahead (or its end): this one is later all the same.
            me.incarnation, me.turn = word.incarnation + 1, 0
            self._view = None
        elif word.state == ALIVE or word.turn < me.turn:
            return None
        else:
            me.turn = word.turn + 1  # refuted
        self.spread(me.rumour())
        return Change(me, word.state)

    def refute(self) -> None:
        """A word of oneself that the others are behind on."""
        self.me.turn += 1
        self.spread(self.me.rumour())

    def leave(self, now: float) -> None:
        self.me.state, self.me.since = LEFT, now
        self.spread(self.me.rumour())

    def judge(self, name: str, state: int, now: float) -> Change | None:
        """What this relay itself found of a member."""
        member = self.table.get(name)
        if member is None or member is self.me:
            return None
        return self.told(
            MembershipUpdate(name, *member.address, member.incarnation, member.turn, state, self.me.name), now
        )

    def _room(self) -> bool:
        if len(self.table) < MAX_MEMBERS:
            return True
        gone = min((m for m in self.table.values() if not m.here), key=lambda m: m.since, default=None)
        if gone is not None:
            del self.table[gone.name]
            self.rumours.pop(gone.name, None)
        return gone is not None

    def forget(self, before: float) -> None:
        """Those that have ended before this time."""
        for name in [m.name for m in self.table.values() if not m.here and m.since < before]:
            del self.table[name]
            self.rumours.pop(name, None)

    def _changed(
        self, member: Member, was: int | None, word: MembershipUpdate, new_incarnation: bool = False
    ) -> Change:
        here = was is not None and was <= SUSPECT
        if here != member.here or new_incarnation:
            self._size += member.here - here
            self._view = self._names = None
        self.spread(word)
        return Change(member, was, new_incarnation)

    # --- rumours --------------------------------------------------------------------------------

    def spread(self, word: MembershipUpdate) -> None:
        self.rumours.pop(word.name, None)
        self.rumours[word.name] = (word, 0)

    def take_rumours(self, room: int, first: str = "") -> list[MembershipUpdate]:
        """Those told least, newest first, that fit into so many bytes; `first`: what is said of this member goes
        before."""
        if not self.rumours:
            return []
        most = ceil(RETOLD * log2(self.size + 2))
        order = sorted(reversed(self.rumours.items()), key=lambda item: (item[0] != first, item[1][1]))
        taken = list[MembershipUpdate]()
        for name, (word, times) in order:
            room -= rumour_bytes(word)
            if room < 0 or len(taken) == 64:
                break
            taken.append(word)
            if times + 1 >= most:
                del self.rumours[name]
            else:
                self.rumours[name] = (word, times + 1)
        return taken

    def describe(self) -> str:
        states = [0] * len(STATES)
        for member in self.table.values():
            states[member.state] += 1
        return ", ".join(f"{count} {state}" for count, state in zip(states, STATES, strict=True) if count)


def rumour_bytes(word: MembershipUpdate) -> int:
    """At the most, in MessagePack."""
    return 36 + len(word.name.encode()) + len(word.host) + len(word.by.encode())
