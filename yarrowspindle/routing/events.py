"""What the reducer is told. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yarrowspindle.decisions.events import EndpointState, ListKind, PeerLoads
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.termination import TerminationReason

if TYPE_CHECKING:  # the platform does without these packages
    from yarrowspindle.maintenance.evacuation import MaintenancePlan
    from yarrowspindle.rebalancing import RebalanceSettings


@dataclass(slots=True)
class RequestReceived:
    request: int
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
class ClientDisconnected:
    request: int


@dataclass(slots=True)
class UnexpectedClientData:
    """The submitter sent more while it had to wait for its answer."""

    request: int


@dataclass(slots=True)
class BackendConnected:
    request: int
    attempt: int


@dataclass(slots=True)
class BackendAccepted:
    request: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The execute node's side of an attempt or of a standing connection has ended."""

    request: int
    attempt: int
    reason: TerminationReason


@dataclass(slots=True)
class LoadReported:
    request: int
    load: float


@dataclass(slots=True)
class UnclassifiedReport:
    """The figure of a node's `LOAD` line as it came: a load or a message time, see `routing.figures`."""

    request: int
    figure: float


@dataclass(slots=True)
class ClientDataForwarded:
    """The submitter sent lines on a standing connection."""

    request: int
    lines: int = 1


@dataclass(slots=True)
class BackendDataForwarded:
    """The execute node sent lines back on it."""

    request: int
    lines: int = 1


@dataclass(slots=True)
class Endpoint:
    """One entry of the machine list."""

    name: str
    address: Address
    state: EndpointState = EndpointState.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    capacity: float = 1.0
    started_ms: float = 0.0


@dataclass(slots=True)
class EndpointsUpdated:
    """quiet_ms: how long ago discovery was last heard before this, so that what it tells as changed has changed since
    then; None where it was not heard before."""

    kind: ListKind
    endpoints: list[Endpoint] = field(default_factory=list)
    version: int = 0
    quiet_ms: float | None = None


@dataclass(slots=True)
class TimerFired:
    timer: object


@dataclass(slots=True)
class ShutdownRequested:
    """A planned restart or a drain: all clients are to be moved within this time; a drain is outlived."""

    within_ms: float
    process_exits: bool = True


@dataclass(slots=True)
class SettingsChanged:
    """New settings; their classes keep the numbers of those under way (`program.config.retune`). anew: numbers that
    nobody uses and that stand for another class than before."""

    settings: Settings
    reassigned_classes: frozenset[int] = frozenset()


@dataclass(slots=True)
class DrainCancelled:
    """Back to work after a drain: nobody is moved for it any more."""


@dataclass(slots=True)
class DiscoveryAddressChanged:
    """The operator's new configuration: where the machine list is from now on."""

    address: Address


@dataclass(slots=True)
class EventLoopStalled:
    """This process did nothing for so long: what stayed unanswered meanwhile is not the nodes' doing."""

    for_ms: float


@dataclass(slots=True)
class InternalError:
    """A step or an effect on this job failed (a fault of the program, which was logged): its client is answered now.
    arrived: it failed as the job came, so that the reducer may not know of it."""

    request: int
    arrived: bool = False


@dataclass(slots=True)
class WallClockStepped:
    """This machine's wall clock was set to another time while the process ran."""

    by_ms: float


@dataclass(slots=True)
class RebalancingConfigured:
    """Standing jobs are to be moved towards balance from now on, or with other settings, or no longer (None)."""

    settings: RebalanceSettings | None
    seed: int = 0


@dataclass(slots=True)
class HealthCheckCompleted:
    """How a probe of an execute node ended: SERVED with the values of its load report, or why there is none."""

    backend: str
    reason: TerminationReason
    took_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerLoadsUpdated:
    """What other relays hold, where relays hear one another."""

    loads: PeerLoads


@dataclass(slots=True)
class MaintenanceUpdated:
    """What relays have agreed on of machines out for work."""

    plan: MaintenancePlan


Event = (
    RequestReceived
    | ClientDisconnected
    | UnexpectedClientData
    | BackendConnected
    | BackendAccepted
    | AttemptEnded
    | LoadReported
    | UnclassifiedReport
    | ClientDataForwarded
    | BackendDataForwarded
    | HealthCheckCompleted
    | EndpointsUpdated
    | TimerFired
    | ShutdownRequested
    | DrainCancelled
    | SettingsChanged
    | DiscoveryAddressChanged
    | RebalancingConfigured
    | EventLoopStalled
    | WallClockStepped
    | InternalError
    | PeerLoadsUpdated
    | MaintenanceUpdated
)
