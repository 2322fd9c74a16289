"""What the reducer is told. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yarrowspindle.decisions.events import ListKind, Others, State
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.termination import Ending

if TYPE_CHECKING:  # the platform does without these packages
    from yarrowspindle.maintenance.evacuation import Task
    from yarrowspindle.rebalancing import RebalanceSettings


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
