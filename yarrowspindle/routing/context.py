"""The state that the core's handlers share: requests, backends, the balancer, and the effects of the current step."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.decisions.settings import Idempotency, Settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.effects import Effect
from yarrowspindle.routing.request_ids import ClientRequestIds
from yarrowspindle.routing.start_times import StartTimes
from yarrowspindle.routing.state import Backend, Request

if TYPE_CHECKING:  # optional packages: loaded only if they are configured
    from yarrowspindle.maintenance.evacuation import BackendEvacuator, MaintenancePlan
    from yarrowspindle.rebalancing import Rebalancer

BACKEND_ID_BYTES = 6


def backend_id(name: str) -> int:
    """Return the balancer's number for a backend, which is the same at every relay and independent of list order."""
    return int.from_bytes(blake2b(name.encode(), digest_size=BACKEND_ID_BYTES).digest(), "big")


class RoutingContext:
    """The shared state of the core. Times are in milliseconds on the relay's clock.

    The mappings `requests`, `backends` and `backends_by_number` are never replaced, so handlers may keep references.

    Attributes:
        settings: The current settings.
        now: The time of the newest event.
        discovery_address: The address of the discovery service; None if there is none.
        balancer: The balancer, which makes the decisions.
        requests: The requests that are not closed, by id.
        client_request_ids: The clients' ids of the requests that are not closed, and of those that may still run.
        serving_new_requests: Whether a client's new request was received; from then on clients may no longer name the
            previous backend of a connection from before this process.
        backends: The backends that are in the endpoint list or have requests, by name.
        backends_by_number: The same backends by the balancer's number.
        endpoint_list_version: The version of the newest endpoint list; 0 before the first.
        start_times: Estimates the start times of backends.
        stall_ended_at: When the event loop last resumed after a stall.
        shutdown_deadline: When a shutdown or drain must have completed; 0 if there is none.
        process_exits: Whether the process exits after the shutdown; False for a drain.
        rebalancer: The rebalancer; None if established connections are not rebalanced.
        maintenance_plan: The plan that the relays agreed on; None if they do not coordinate maintenance.
        evacuator: Chooses the connections to migrate from backends in maintenance; None before the first plan.
        effects: The effects of the current step, in the order in which they are to be carried out.
    """

    __slots__ = (
        "settings",
        "now",
        "discovery_address",
        "balancer",
        "requests",
        "client_request_ids",
        "serving_new_requests",
        "backends",
        "backends_by_number",
        "endpoint_list_version",
        "start_times",
        "stall_ended_at",
        "shutdown_deadline",
        "process_exits",
        "rebalancer",
        "maintenance_plan",
        "evacuator",
        "effects",
    )

    def __init__(self, settings: Settings, seed: int, now: float, discovery_address: Address | None) -> None:
        self.settings = settings
        self.now = now
        self.discovery_address = discovery_address
        self.balancer = Balancer(settings, seed, now)
        self.requests: dict[int, Request] = {}
        self.client_request_ids = ClientRequestIds()
        self.serving_new_requests = False
        self.backends: dict[str, Backend] = {}
        self.backends_by_number: dict[int, Backend] = {}
        self.endpoint_list_version = 0
        self.start_times = StartTimes()
        self.stall_ended_at = 0.0
        self.shutdown_deadline = 0.0
        self.process_exits = True
        self.rebalancer: Rebalancer | None = None
        self.maintenance_plan: MaintenancePlan | None = None
        self.evacuator: BackendEvacuator | None = None
        self.effects: list[Effect] = []

    def idempotency(self, request: Request) -> Idempotency:
        """Return whether an attempt of this request may be repeated."""
        return self.settings.classes[request.received.request_class].idempotency

    def may_exit(self, now: float) -> bool:
        """Return whether the process may exit: the shutdown deadline has passed and new requests are rejected."""
        return self.process_exits and 0.0 < self.shutdown_deadline <= now

    def classifier_threshold_ms(self) -> float:
        """Return the value above which a report may be a message latency; 0 if backends report no latencies."""
        return self.settings.slow_message_ms if self.settings.backend_reports_latency else 0.0

    def in_maintenance(self, name: str) -> bool:
        """Return whether the backend gets no new connections due to maintenance.

        This is the case if the plan excludes it, or if relays coordinate maintenance and this process has not read the
        agreed state yet.
        """
        plan = self.maintenance_plan
        return plan is not None and (plan.excluded is None or name in plan.excluded)

    def discard_if_unused(self, backend: Backend) -> None:
        """Drop the backend's state if it is no longer listed and has no requests."""
        if backend.state is not EndpointState.GONE or backend.requests:
            return
        if self.backends.get(backend.name) is not backend:
            return
        del self.backends[backend.name], self.backends_by_number[backend.number]
        if backend.start_time is not None:
            self.start_times.on_removed(backend.name, backend.start_time, self.now)
