"""What the reducer asks for: effects, which the runtime and the fronts carry out in order. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from yarrowspindle.decisions.rejection import Refusal
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.termination import Ending


@dataclass(slots=True)
class Reach:
    """Open a connection to the execute node for this attempt."""

    job: int
    attempt: int
    node: str
    address: Address
    within_ms: float


@dataclass(slots=True)
class Ask:
    """Send the job on the connection that has come up."""

    job: int
    attempt: int
    left_ms: float


@dataclass(slots=True)
class Drop:
    """Give the attempt up: end the connection to the execute node."""

    job: int
    attempt: int
    why: Ending | Refusal | None = None


@dataclass(slots=True)
class Join:
    """Pass the execute node's first answer back; from now on both sides flow."""

    job: int


@dataclass(slots=True)
class Requeue:
    """Final answer: not served, come again after this time."""

    job: int
    after_ms: float
    why: Refusal | None = None


@dataclass(slots=True)
class Deny:
    """Final answer: failed."""

    job: int
    why: Refusal | None = None


@dataclass(slots=True)
class Move:
    """Tell the submitter to come again, and end both sides."""

    job: int
    why: Ending = Ending.MOVED


@dataclass(slots=True)
class Close:
    """End the submitter's side as the execute node's side ended."""

    job: int
    ending: Ending


@dataclass(slots=True)
class Wake:
    delay_ms: float
    what: object


@dataclass(slots=True)
class Unwake:
    what: object


@dataclass(slots=True)
class Watch:
    """Watch the machine list at this address, from this version on; a watch at another address is given up for it.

    renew: also where a watch is open there already; that one is kept until the new one has told something."""

    version: int
    address: Address | None = None
    renew: bool = False


@dataclass(slots=True)
class Probe:
    """Ask the execute node for its load report; one `ProbeOver` answers it, within this time."""

    node: str
    address: Address
    within_ms: float


@dataclass(slots=True)
class Unprobe:
    """Take back what is asked of this node, and ask nothing more on its connection."""

    node: str


@dataclass(slots=True)
class NodeGone:
    """The machine list says that the node is gone; a wire on which that does not show ends what it held."""

    node: str


@dataclass(slots=True)
class Note:
    text: str


Effect = (
    Reach
    | Ask
    | Drop
    | Join
    | Requeue
    | Deny
    | Move
    | Close
    | Wake
    | Unwake
    | Watch
    | Probe
    | Unprobe
    | NodeGone
    | Note
)
