"""The replicated state of the controllers: the shared settings of all relays, as entries with a version number.

Each change is a step that increments the version by one. Consensus commits only one state per version, and a digest
covers version and entries. The newest steps are part of the state, so that a relay that lags can be sent the steps that
it lacks.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b

from msgspec import Struct, field
from msgspec.structs import replace

Entries = Mapping[str, str]  # key -> JSON text
Step = Mapping[str, str | None]  # the entries that a change sets; None removes the key
# Returns the reason why relays cannot apply these entries, or an empty string if they can. All relays and controllers
# must get the same result.
EntriesCheck = Callable[[Entries], str]

MAX_KEY_CHARACTERS = 64
MAX_VALUE_CHARACTERS = 16_384
MAX_ENTRIES = 128
MAX_ENTRIES_CHARACTERS = 65_536  # of all keys and values together
MAX_RECENT_STEPS = 64
MAX_RECENT_STEPS_CHARACTERS = 32_768
MAX_NAME_CHARACTERS = 64
MAX_REJECTION_REASON_CHARACTERS = 400
DIGEST_BYTES = 8


class ControlError(ValueError):
    """A change or a setting is not valid; the text gives the reason."""


def character_count(step: Step) -> int:
    """Return the number of characters of all keys and values."""
    return sum(len(key) + len(value or "") for key, value in step.items())


def entries_bounds_error(entries: Entries) -> str:
    """Return which bound the entries exceed, or an empty string if they exceed none."""
    for key, value in entries.items():
        if not 0 < len(key) <= MAX_KEY_CHARACTERS or len(value) > MAX_VALUE_CHARACTERS:
            return (
                f"key {key[:MAX_KEY_CHARACTERS]!r}: a key must have 1 to {MAX_KEY_CHARACTERS} characters, "
                f"and its value at most {MAX_VALUE_CHARACTERS}"
            )
    characters = character_count(entries)
    if len(entries) > MAX_ENTRIES or characters > MAX_ENTRIES_CHARACTERS:
        return (
            f"{len(entries)} entries with {characters} characters in total: at most {MAX_ENTRIES} entries and "
            f"{MAX_ENTRIES_CHARACTERS} characters are allowed"
        )
    return ""


def step_bounds_error(step: Step) -> str:
    """Return which bound a step exceeds, including the keys that it removes; an empty string if it exceeds none."""
    return entries_bounds_error({key: value or "" for key, value in step.items()})


def content_digest(version: int, entries: Entries) -> bytes:
    """Return a digest of version and entries, with a length of DIGEST_BYTES (8 bytes)."""
    text = repr((version, sorted(entries.items())))
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def apply_step(entries: Entries, step: Step) -> dict[str, str]:
    """Return the entries after a step."""
    remaining = {key: value for key, value in entries.items() if key not in step}
    return remaining | {key: value for key, value in step.items() if value is not None}


class ChangeOrder(Struct, frozen=True, rename={"incarnation": "life", "accepted_by": "taker"}):
    """An operator's change, numbered by the controller that accepted it.

    An order is settled when a version is committed for it, whether its step is applied or rejected. Each order is
    settled only once, and the orders of a controller in the sequence of their numbers, so that an order that is
    delivered late does not undo a newer one.

    Attributes:
        accepted_by: The name of the controller that accepted the change.
        incarnation: The incarnation of that controller under which the order is numbered.
        number: The number of the order in that incarnation, starting with 1.
        step: The entries to set or remove.
    """

    accepted_by: str
    incarnation: int
    number: int
    step: Step


class CommittedStep(
    Struct, frozen=True, rename={"rejection_reason": "why", "accepted_by": "taker", "incarnation": "life"}
):
    """The step that created a version, and the order that caused it, if any.

    If `rejection_reason` is not empty, the order was rejected and the step is empty.
    """

    version: int
    step: Step
    rejection_reason: str = ""
    accepted_by: str = ""
    incarnation: int = 0
    number: int = 0


class ControlState(Struct, frozen=True, rename={"last_settled": "takers", "recent_steps": "done"}):
    """The replicated state.

    Attributes:
        voters: The identities of the voters' acceptor files, by the voters' names.
        version: Incremented with each change.
        epoch: Incremented with each change of `voters`.
        entries: The shared settings.
        last_settled: The incarnation and number of the newest settled order of each controller, by its name.
        recent_steps: The newest steps, sorted by version and without a gap up to `version`.
    """

    voters: Mapping[str, str] = field(default_factory=dict)
    version: int = 0
    epoch: int = 0
    entries: Entries = field(default_factory=dict)
    last_settled: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    recent_steps: Sequence[CommittedStep] = ()

    @property
    def digest(self) -> bytes:
        """A digest of version and entries."""
        return content_digest(self.version, self.entries)

    def at_epoch(self, epoch: int) -> ControlState:
        """Return a copy of this state with another epoch."""
        return replace(self, epoch=epoch)

    def is_settled(self, order: ChangeOrder) -> bool:
        """Return whether this order, or a later order of the same controller, is settled."""
        return (order.incarnation, order.number) <= self.last_settled.get(order.accepted_by, (0, 0))

    def is_next(self, order: ChangeOrder) -> bool:
        """Return whether this order is the next one of its controller to be settled."""
        incarnation, number = self.last_settled.get(order.accepted_by, (0, 0))
        follows = (order.incarnation, order.number) == (incarnation, number + 1)
        begins_incarnation = order.incarnation > incarnation and order.number == 1
        return follows or begins_incarnation

    def settle(self, order: ChangeOrder, check: EntriesCheck) -> ControlState | None:
        """Return the next version, with the order's step or its rejection; None if the order is not the next."""
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
        """Return the next version, in which this voter has this identity; None if it has the identity already."""
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
