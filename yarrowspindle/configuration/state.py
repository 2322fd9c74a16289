"""What the controllers agree on: the entries that all relays serve by, under versions that grow by one. Pure.

A version has one content: the register commits one state under it, and the digest speaks of version and entries. Each
change is a step of its own, kept for a while, so that who is behind gets the steps in their order and skips none.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from hashlib import blake2b

from msgspec import Struct

Entries = Mapping[str, str]  # key -> JSON text
Step = Mapping[str, str | None]  # what one change sets; None: removes
Check = Callable[[Entries], str]  # why a relay cannot serve by these entries; empty: it can. The same at all relays

MAX_KEY, MAX_VALUE, MAX_ENTRIES, MAX_CONTENT = 64, 16_384, 128, 65_536  # characters; entries; characters in all
MAX_DONE, MAX_STEPS = 64, 32_768  # newest steps kept in the state, and their characters
MAX_NAME, MAX_WHY = 64, 400


class ControlError(ValueError):
    """A change or a setting that makes no sense; the text says why."""


def size(step: Step) -> int:
    """Characters of keys and values."""
    return sum(len(key) + len(value or "") for key, value in step.items())


def bounds(entries: Entries) -> str:
    """What is out of bounds in entries; empty: nothing."""
    for key, value in entries.items():
        if not 0 < len(key) <= MAX_KEY or len(value) > MAX_VALUE:
            return f"{key[:MAX_KEY]!r}: a key has 1 to {MAX_KEY} characters, a value {MAX_VALUE} at most"
    if len(entries) > MAX_ENTRIES or size(entries) > MAX_CONTENT:
        return f"{len(entries)} entries of {size(entries)} characters: {MAX_ENTRIES} and {MAX_CONTENT} at most"
    return ""


def bounds_of(step: Step) -> str:
    """The same for a step, and the keys that it removes."""
    return bounds({key: value or "" for key, value in step.items()})


def digest(version: int, entries: Entries) -> bytes:
    """Of 8 bytes: equal where version and content are."""
    text = repr((version, sorted(entries.items())))
    return blake2b(text.encode(), digest_size=8).digest()


def stepped(entries: Entries, step: Step) -> dict[str, str]:
    """The entries after a change."""
    found = {key: value for key, value in entries.items() if key not in step}
    return found | {key: value for key, value in step.items() if value is not None}


class ChangeOrder(Struct, frozen=True, rename={"incarnation": "life"}):
    """A change that an operator gave to `taker`, a controller, as the number-th of that life of its orders. Each is
    settled once and in its turn: one that was held up on its way undoes nothing newer."""

    taker: str
    incarnation: int
    number: int
    step: Step


class CommittedStep(Struct, frozen=True, rename={"incarnation": "life"}):
    """The step to a version. why: it was refused, and changes nothing; taker, life, number: whose order it was."""

    version: int
    step: Step
    why: str = ""
    taker: str = ""
    incarnation: int = 0
    number: int = 0


@dataclass(slots=True, frozen=True)
class ControlState:
    """voters: name -> identity of the voter's file. takers: controller -> life and number of its newest settled
    order. done: the newest steps, oldest first, without a gap up to `version`."""

    voters: Mapping[str, str] = field(default_factory=dict)
    version: int = 0
    epoch: int = 0
    entries: Entries = field(default_factory=dict)
    takers: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    done: Sequence[CommittedStep] = ()

    @property
    def digest(self) -> bytes:
        return digest(self.version, self.entries)

    def at_epoch(self, epoch: int) -> ControlState:
        return replace(self, epoch=epoch)

    def is_settled(self, order: ChangeOrder) -> bool:
        return (order.incarnation, order.number) <= self.takers.get(order.taker, (0, 0))

    def is_next(self, order: ChangeOrder) -> bool:
        """It is this order's turn among its taker's."""
        incarnation, number = self.takers.get(order.taker, (0, 0))
        return (
            (order.incarnation, order.number) == (incarnation, number + 1)
            or order.incarnation > incarnation
            and order.number == 1
        )

    def settled(self, order: ChangeOrder, check: Check) -> ControlState | None:
        """With this order's step, or its refusal, as the next version; None: it is settled, or not yet its turn."""
        if not self.is_next(order):
            return None
        entries = stepped(self.entries, order.step)
        why = (bounds_of(order.step) or bounds(entries) or check(entries))[:MAX_WHY]
        done = CommittedStep(
            self.version + 1, {} if why else order.step, why, order.taker, order.incarnation, order.number
        )
        takers = dict(self.takers) | {order.taker: (order.incarnation, order.number)}
        return replace(self._with(done), entries=self.entries if why else entries, takers=takers)

    def with_voter(self, name: str, identity: str) -> ControlState | None:
        """This voter has another file from here on; None: it has it already."""
        if self.voters.get(name) == identity:
            return None
        changed = self._with(CommittedStep(self.version + 1, {}))
        return replace(changed, voters=dict(self.voters) | {name: identity}, epoch=self.epoch + 1)

    def _with(self, done: CommittedStep) -> ControlState:
        kept = [*self.done, done][-MAX_DONE:]
        while len(kept) > 1 and sum(size(one.step) for one in kept) > MAX_STEPS:
            del kept[0]
        return replace(self, version=done.version, done=tuple(kept))
