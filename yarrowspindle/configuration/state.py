"""What the controllers commit: the entries that all relays serve by, under versions that grow by one.

A version has one content: the consensus commits one state under it, and its digest covers version and entries. Each
change is a step. The newest steps are part of the state, so that a relay that lags receives each of them, in order.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b

from msgspec import Struct, field
from msgspec.structs import replace

Entries = Mapping[str, str]  # key -> JSON text
Step = Mapping[str, str | None]  # what one change sets; None removes the key
# Returns why a relay cannot serve by these entries; empty where it can. The same at all relays and controllers.
EntriesCheck = Callable[[Entries], str]

MAX_KEY_CHARACTERS = 64
MAX_VALUE_CHARACTERS = 16_384
MAX_ENTRIES = 128
MAX_ENTRIES_CHARACTERS = 65_536  # of all keys and values
MAX_RECENT_STEPS = 64
MAX_RECENT_STEPS_CHARACTERS = 32_768
MAX_NAME_CHARACTERS = 64
MAX_REJECTION_REASON_CHARACTERS = 400
DIGEST_BYTES = 8


class ControlError(ValueError):
    """A change or a setting is not valid; the text says why."""


def character_count(step: Step) -> int:
    """The characters of all keys and values."""
    return sum(len(key) + len(value or "") for key, value in step.items())


def entries_bounds_error(entries: Entries) -> str:
    """Returns which bound the entries exceed; empty where they exceed none."""
    for key, value in entries.items():
        if not 0 < len(key) <= MAX_KEY_CHARACTERS or len(value) > MAX_VALUE_CHARACTERS:
            return (
                f"{key[:MAX_KEY_CHARACTERS]!r}: a key has 1 to {MAX_KEY_CHARACTERS} characters, "
                f"a value {MAX_VALUE_CHARACTERS} at most"
            )
    characters = character_count(entries)
    if len(entries) > MAX_ENTRIES or characters > MAX_ENTRIES_CHARACTERS:
        return f"{len(entries)} entries of {characters} characters: {MAX_ENTRIES} and {MAX_ENTRIES_CHARACTERS} at most"
    return ""


def step_bounds_error(step: Step) -> str:
    """Returns which bound a step exceeds, also by the keys that it removes; empty where it exceeds none."""
    return entries_bounds_error({key: value or "" for key, value in step.items()})


def content_digest(version: int, entries: Entries) -> bytes:
    """Returns 8 bytes that are equal where version and entries are."""
    text = repr((version, sorted(entries.items())))
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def apply_step(entries: Entries, step: Step) -> dict[str, str]:
    """Returns the entries after a step."""
    remaining = {key: value for key, value in entries.items() if key not in step}
    return remaining | {key: value for key, value in step.items() if value is not None}


class ChangeOrder(Struct, frozen=True, rename={"incarnation": "life", "accepted_by": "taker"}):
    """An operator's change, with the controller that accepted it and its number in that controller's incarnation.

    Each order is settled once and in its turn: one that is delivered late does not undo a newer one.
    """

    accepted_by: str
    incarnation: int
    number: int
    step: Step


class CommittedStep(
    Struct, frozen=True, rename={"rejection_reason": "why", "accepted_by": "taker", "incarnation": "life"}
):
    """The step to a version, and the order that caused it.

    A step with a `rejection_reason` changes nothing.
    """

    version: int
    step: Step
    rejection_reason: str = ""
    accepted_by: str = ""
    incarnation: int = 0
    number: int = 0


class ControlState(Struct, frozen=True, rename={"last_settled": "takers", "recent_steps": "done"}):
    """The replicated state.

    `voters` maps names to the identities of their files; `epoch` grows with each change of them. `last_settled` maps
    controllers to the incarnation and number of their newest settled order. `recent_steps` are the newest steps, the
    oldest first, without a gap up to `version`.
    """

    voters: Mapping[str, str] = field(default_factory=dict)
    version: int = 0
    epoch: int = 0
    entries: Entries = field(default_factory=dict)
    last_settled: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    recent_steps: Sequence[CommittedStep] = ()

    @property
    def digest(self) -> bytes:
        """The digest of version and entries."""
        return content_digest(self.version, self.entries)

    def at_epoch(self, epoch: int) -> ControlState:
        """Returns the same state of another epoch."""
        return replace(self, epoch=epoch)

    def is_settled(self, order: ChangeOrder) -> bool:
        """Whether this order, or a later one of the same controller, is settled."""
        return (order.incarnation, order.number) <= self.last_settled.get(order.accepted_by, (0, 0))

    def is_next(self, order: ChangeOrder) -> bool:
        """Whether it is this order's turn among those of its controller."""
        incarnation, number = self.last_settled.get(order.accepted_by, (0, 0))
        follows = (order.incarnation, order.number) == (incarnation, number + 1)
        begins_incarnation = order.incarnation > incarnation and order.number == 1
        return follows or begins_incarnation

    def settle(self, order: ChangeOrder, check: EntriesCheck) -> ControlState | None:
        """Returns the next version, with the order's step or its rejection; None where it is not the order's turn."""
        if not self.is_next(order):
            return None
        entries = apply_step(self.entries, order.step)
        reason = step_bounds_error(order.step) or entries_bounds_error(entries) or check(entries)
        reason = reason[:MAX_REJECTION_REASON_CHARACTERS]
        committed = CommittedStep(
            self.version + 1,
            {} if reason else order.step,
            reason,
            order.accepted_by,
            order.incarnation,
            order.number,
        )
        last_settled = dict(self.last_settled) | {order.accepted_by: (order.incarnation, order.number)}
        return replace(
            self._with_step(committed), entries=self.entries if reason else entries, last_settled=last_settled
        )

    def with_voter(self, name: str, identity: str) -> ControlState | None:
        """Returns the next version, in which this voter has another file; None where it has it already."""
        if self.voters.get(name) == identity:
            return None
        changed = self._with_step(CommittedStep(self.version + 1, {}))
        return replace(changed, voters=dict(self.voters) | {name: identity}, epoch=self.epoch + 1)

    def _with_step(self, step: CommittedStep) -> ControlState:
        recent_steps = [*self.recent_steps, step][-MAX_RECENT_STEPS:]
        while len(recent_steps) > 1 and self._step_characters(recent_steps) > MAX_RECENT_STEPS_CHARACTERS:
            del recent_steps[0]
        return replace(self, version=step.version, recent_steps=tuple(recent_steps))

    @staticmethod
    def _step_characters(steps: Sequence[CommittedStep]) -> int:
        return sum(character_count(committed.step) for committed in steps)
