"""What the reducer is told and what it asks for. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yarrowspindle.decisions.refusal import Refusal
from yarrowspindle.interface import ListKind, Others, Settings, State
from yarrowspindle.routing.ending import Ending

if TYPE_CHECKING:  # the platform does without these packages
    from yarrowspindle.rebalance import RebalanceSettings
    from yarrowspindle.turns.emptying import Task

Address = tuple[str, int]


# --- events -------------------------------------------------------------------------------------


@dataclass(slots=True)
class JobArrived:
    job: int
    left_ms: float
    cls: int = 0
    tenant: int = 0
    key: int = 0
    load: float = 0.0
    group: int = 0
    repeated: bool = False
    returned: bool = False
    at: str = ""  # the execute node that held it before the run
    ref: str = ""  # the name that its submitter gave it; empty where the front made the job itself


@dataclass(slots=True)
class SubmitterLeft:
    job: int


@dataclass(slots=True)
class OutOfTurn:
    """The submitter sent more while it had to wait for its answer."""

    job: int


@dataclass(slots=True)
class NodeReached:
    job: int
    attempt: int


@dataclass(slots=True)
class NodeUp:
    job: int
    attempt: int


@dataclass(slots=True)
class AttemptOver:
    """The execute node's side of an attempt or of a standing connection has ended."""

    job: int
    attempt: int
    ending: Ending


@dataclass(slots=True)
class LoadTold:
    job: int
    load: float


@dataclass(slots=True)
class FigureTold:
    """The figure of a node's `LOAD` line as it came: a load or a message time, see `routing.figures`."""

    job: int
    figure: float


@dataclass(slots=True)
class Asked:
    """The submitter sent lines on a standing connection."""

    job: int
    lines: int = 1


@dataclass(slots=True)
class Answered:
    """The execute node sent lines back on it."""

    job: int
    lines: int = 1


@dataclass(slots=True)
class Machine:
    """One entry of the machine list."""

    name: str
    address: Address
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    capacity: float = 1.0
    started_ms: float = 0.0


@dataclass(slots=True)
class ListTold:
    """quiet_ms: how long ago discovery was last heard before this, so that what it tells as changed has changed since
    then; None where it was not heard before."""

    kind: ListKind
    machines: list[Machine] = field(default_factory=list)
    version: int = 0
    quiet_ms: float | None = None


@dataclass(slots=True)
class Woke:
    what: object


@dataclass(slots=True)
class Stop:
    """A planned restart or a drain: all clients are to be moved within this time; a drain is outlived."""

    within_ms: float
    exits: bool = True


@dataclass(slots=True)
class Retune:
    """New settings; their classes keep the numbers of those under way (`program.config.retune`). anew: numbers that
    nobody uses and that stand for another class than before."""

    settings: Settings
    anew: frozenset[int] = frozenset()


@dataclass(slots=True)
class Rejoin:
    """Back to work after a drain: nobody is moved for it any more."""


@dataclass(slots=True)
class Reloaded:
    """The operator's new configuration: where the machine list is from now on."""

    list_at: Address


@dataclass(slots=True)
class Stalled:
    """This process did nothing for so long: what stayed unanswered meanwhile is not the nodes' doing."""

    for_ms: float


@dataclass(slots=True)
class StepFailed:
    """A step or an effect on this job failed (a fault of the program, which was logged): its client is answered now.
    arrived: it failed as the job came, so that the reducer may not know of it."""

    job: int
    arrived: bool = False


@dataclass(slots=True)
class ClockStepped:
    """This machine's wall clock was set to another time while the process ran."""

    by_ms: float


@dataclass(slots=True)
class Rebalance:
    """Standing jobs are to be moved towards balance from now on, or with other settings, or no longer (None)."""

    settings: RebalanceSettings | None
    seed: int = 0


@dataclass(slots=True)
class ProbeOver:
    """How a probe of an execute node ended: SERVED with the values of its load report, or why there is none."""

    node: str
    ending: Ending
    took_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class OthersTold:
    """What other relays hold, where relays hear one another."""

    others: Others


@dataclass(slots=True)
class TurnsTold:
    """What relays have agreed on of machines out for work."""

    task: Task


Event = (
    JobArrived
    | SubmitterLeft
    | OutOfTurn
    | NodeReached
    | NodeUp
    | AttemptOver
    | LoadTold
    | FigureTold
    | Asked
    | Answered
    | ProbeOver
    | ListTold
    | Woke
    | Stop
    | Rejoin
    | Retune
    | Reloaded
    | Rebalance
    | Stalled
    | ClockStepped
    | StepFailed
    | OthersTold
    | TurnsTold
)


# --- effects ------------------------------------------------------------------------------------


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
