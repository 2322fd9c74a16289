"""What agents and controllers tell one another, what their cores are told, and what they ask for. Times are
milliseconds of a clock that only goes on."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta, Struct

from yarrowspindle.configuration.state import MAX_DONE, MAX_ENTRIES, MAX_NAME, ControlState, Entries, Step
from yarrowspindle.routing.address import Address

Number = Annotated[int, Meta(ge=0, lt=1 << 53)]
Digest = Annotated[bytes, Meta(min_length=8, max_length=8)]
Name = Annotated[str, Meta(max_length=MAX_NAME)]
Why = Annotated[str, Meta(max_length=400)]
MAX_NAMED, MAX_COUNTS = 12, 6  # relays named, and versions told apart, in one sum
MAX_WHY = 120  # characters of a cause, as relays tell it

# --- on the wire --------------------------------------------------------------------------------


class Heartbeat(Struct, array_like=True, frozen=True):
    """A relay is there. known: the newest version that it has, of this digest; taken: the one that it serves by, older
    only where it refused the newest, for which `why` stands. whole: send all entries. attached: the relay talks with
    this controller, and does not only ask whether it is there. before: the one that it talked with until now."""

    known: Number
    digest: Digest
    taken: Number
    why: Why = ""
    whole: bool = False
    attached: bool = False
    before: Name = ""


class LatestVersion(Struct, array_like=True, frozen=True):
    """The controller is there, and knows of this."""

    version: Number
    digest: Digest


class Delta(Struct, array_like=True, frozen=True):
    """All steps from `base` to `version`, in order; digest: of what comes out."""

    base: Number
    version: Number
    digest: Digest
    steps: Annotated[list[dict[str, str | None]], Meta(max_length=MAX_DONE)]


class Snapshot(Struct, array_like=True, frozen=True):
    version: Number
    digest: Digest
    entries: Annotated[dict[str, str], Meta(max_length=MAX_ENTRIES)]


class Detach(Struct, array_like=True, frozen=True):
    """The relay talks with another controller, or ends."""


class RelayReattached(Struct, array_like=True, frozen=True):
    """Between controllers: this relay talks with the sender now, since `at` of its own clock in this life."""

    host: str
    port: int
    incarnation: Number
    at: Number


class NewerIncarnation(Struct, array_like=True, frozen=True):
    """A later life of the same address is known here: the receiver must take a higher one to be heard."""

    incarnation: Number


class LaggingRelay(Struct, array_like=True, frozen=True):
    """A relay that is behind, silent or refuses. age_ms: since when."""

    name: Name
    taken: Number
    age_ms: Number
    why: Why


class RelaySummary(Struct, array_like=True, frozen=True):
    """Between controllers: the newest version that the sender knows; how many living relays talk with it, how many of
    them serve by which version (lowest first; what does not fit is under the last), and those to be named. more: how
    many are not named for want of room."""

    version: Number
    relays: Number
    counts: Annotated[list[tuple[int, int]], Meta(max_length=MAX_COUNTS)]
    named: Annotated[list[LaggingRelay], Meta(max_length=MAX_NAMED)]
    more: Number = 0


class StateUpdate(Struct, array_like=True, frozen=True):
    """Between controllers: a committed state."""

    state: ControlState


# --- events -------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Sender:
    """Of a message. life: grows from one process to the next at an address; at: its own clock, so that what was
    overtaken is known."""

    name: str
    address: Address
    incarnation: int = 0
    at: int = 0


@dataclass(slots=True)
class MessageReceived:
    sender: Sender
    message: Any


@dataclass(slots=True)
class TimerFired:
    pass


@dataclass(slots=True)
class ChangeRequested:
    """An operator's change; the `Answer` comes under the same ticket."""

    ticket: int
    step: Step


@dataclass(slots=True)
class SettingsRejected:
    """What was to be taken could not be: the relay serves on as before."""

    version: int
    why: str


Event = MessageReceived | TimerFired | ChangeRequested | SettingsRejected


# --- effects ------------------------------------------------------------------------------------


@dataclass(slots=True)
class SendMessage:
    to: Sender
    message: Any


@dataclass(slots=True)
class SetTimer:
    delay_ms: float


@dataclass(slots=True)
class ApplySettings:
    """Serve by these entries from now on; none: by the relay's own file. changed: keys that differ from before."""

    version: int
    entries: Entries
    changed: frozenset[str]


@dataclass(slots=True)
class Persist:
    """To be found again after a restart."""

    version: int
    entries: Entries


@dataclass(slots=True)
class AskAcceptor:
    """To this machine's voter, whose answer goes back to the sender."""

    sender: Sender
    message: Any


@dataclass(slots=True)
class StateCommitted:
    """A controller took up a committed state."""

    state: ControlState


@dataclass(slots=True)
class ChangeAnswered:
    """To an operator. version: the change stands there; 0: it was turned down, or nobody knows (`why`)."""

    ticket: int
    version: int
    why: str = ""


@dataclass(slots=True)
class LogMessage:
    """For the log; `bounded`: strangers can cause it; `bad`: an operator should look."""

    text: str
    bounded: bool = False
    bad: bool = False


Effect = SendMessage | SetTimer | ApplySettings | Persist | AskAcceptor | StateCommitted | ChangeAnswered | LogMessage
Shown = Mapping[str, Any]
