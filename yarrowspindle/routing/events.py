"""The events that the fronts and the runtime report to the core. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yarrowspindle.decisions.events import EndpointState, ListKind, PeerLoads
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.termination import TerminationReason

if TYPE_CHECKING:  # optional packages: loaded only if they are configured
    from yarrowspindle.maintenance.evacuation import MaintenancePlan
    from yarrowspindle.rebalancing import RebalanceSettings


@dataclass(slots=True)
class RequestReceived:
    """A client's request was received.

    Attributes:
        request: The id of the request in this process.
        remaining_ms: How long the client still waits for its answer; 0 or less if it no longer waits.
        request_class: The number of the request class.
        tenant: The number of the tenant.
        key: Identifies the client; 0 if unknown.
        load: A hint of the connection's load, in milliseconds of work per second; 0 if there is none.
        group: Identifies the client's group, which can share work at a backend; 0 if there is none.
        repeated: Whether the request repeats an earlier one; passed to the balancer.
        returned: Whether the client's previous connection was migrated or reset.
        previous_backend: The backend of the connection before this process started; empty for a new connection.
        client_request_id: The client's id for the request; empty if the front created the request itself.
    """

    request: int
    remaining_ms: float
    request_class: int = 0
    tenant: int = 0
    key: int = 0
    load: float = 0.0
    group: int = 0
    repeated: bool = False
    returned: bool = False
    previous_backend: str = ""
    client_request_id: str = ""


@dataclass(slots=True)
class ClientDisconnected:
    """The client's connection was closed or reset."""

    request: int


@dataclass(slots=True)
class UnexpectedClientData:
    """The client sent data before the answer to its request, which the protocol forbids."""

    request: int


@dataclass(slots=True)
class BackendConnected:
    """The connection to the backend for this attempt is established; the request was not sent yet."""

    request: int
    attempt: int


@dataclass(slots=True)
class BackendDataDelayed:
    """The data of the next event for this request was unread in this process's socket for `delay_ms`."""

    request: int
    delay_ms: float


@dataclass(slots=True)
class BackendAccepted:
    """The backend accepted the attempt's request."""

    request: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The backend's side of an attempt or of an established connection ended."""

    request: int
    attempt: int
    reason: TerminationReason


@dataclass(slots=True)
class LoadReported:
    """The backend reported the connection's load, in milliseconds of work per second."""

    request: int
    load: float


@dataclass(slots=True)
class UnclassifiedReport:
    """A backend's `LOAD` line: `figure` is a load or a message latency, see `routing.load_reports`."""

    request: int
    figure: float


@dataclass(slots=True)
class ClientDataForwarded:
    """Lines from the client were forwarded to the backend on an established connection."""

    request: int
    lines: int = 1


@dataclass(slots=True)
class BackendDataForwarded:
    """Lines from the backend were forwarded to the client."""

    request: int
    lines: int = 1


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list; `started_ms` is when the backend process started, by discovery's wall clock."""

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
    """The endpoint list was read, was changed, or could not be read.

    Attributes:
        kind: Which of these, see `ListKind`.
        endpoints: The entries: all of them, or those that changed.
        version: The version of the list.
        since_last_update_ms: The time since the previous update, within which the reported changes were made; None if
            there was no previous update.
    """

    kind: ListKind
    endpoints: list[Endpoint] = field(default_factory=list)
    version: int = 0
    since_last_update_ms: float | None = None


@dataclass(slots=True)
class TimerFired:
    """A timer that was set with `SetTimer` fired."""

    timer: object


@dataclass(slots=True)
class ShutdownRequested:
    """A shutdown, or a drain if `process_exits` is False: all clients must be migrated within the time limit."""

    time_limit_ms: float
    process_exits: bool = True


@dataclass(slots=True)
class SuccessorServing:
    """Another process of this relay accepts clients at its address, and this one is shutting down.

    Attributes:
        serving: False once that process has ended.
    """

    serving: bool = True


@dataclass(slots=True)
class SettingsChanged:
    """The settings changed; classes of requests in progress keep their numbers.

    Attributes:
        settings: The new settings.
        reassigned_classes: Class numbers without requests that now denote another class.
    """

    settings: Settings
    reassigned_classes: frozenset[int] = frozenset()


@dataclass(slots=True)
class DrainCancelled:
    """The drain was cancelled: no more clients are migrated for it."""


@dataclass(slots=True)
class DiscoveryAddressChanged:
    """The address of the discovery service that serves the endpoint list changed."""

    address: Address


@dataclass(slots=True)
class EventLoopStalled:
    """The event loop did not run for `duration_ms`: delays in that time do not count as the backends'."""

    duration_ms: float


@dataclass(slots=True)
class InternalError:
    """A step or an effect for this request raised an exception, which was logged; its client must be answered now.

    Attributes:
        request: The id of the request.
        during_arrival: Whether it was raised while the request was received, so that the core may not know the request.
    """

    request: int
    during_arrival: bool = False


@dataclass(slots=True)
class WallClockStepped:
    """This machine's wall clock was stepped."""

    step_ms: float


@dataclass(slots=True)
class RebalancingConfigured:
    """The rebalancing of established connections was configured, or disabled if `settings` is None."""

    settings: RebalanceSettings | None
    seed: int = 0


@dataclass(slots=True)
class HealthCheckCompleted:
    """A health check ended: `reason` is COMPLETED if it delivered a load report, else why it delivered none."""

    backend: str
    reason: TerminationReason
    duration_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerLoadsUpdated:
    """The loads that the other relays reported changed; only if relays exchange their loads."""

    loads: PeerLoads


@dataclass(slots=True)
class MaintenanceUpdated:
    """The relays agreed on a new maintenance plan."""

    plan: MaintenancePlan


Event = (
    RequestReceived
    | ClientDisconnected
    | UnexpectedClientData
    | BackendConnected
    | BackendDataDelayed
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
    | SuccessorServing
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
