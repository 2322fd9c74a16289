"""The state that the core's handlers share: requests, backends, the balancer, and the effects of the current step."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.effects import Effect
from yarrowspindle.routing.start_times import StartTimes
from yarrowspindle.routing.state import Backend, Request

if TYPE_CHECKING:  # the platform does without these packages
    from yarrowspindle.maintenance.evacuation import BackendEvacuator, MaintenancePlan
    from yarrowspindle.rebalancing import Rebalancer

BACKEND_ID_BYTES = 6


def backend_id(name: str) -> int:
    """The balancer's number for a backend: the same at every relay, whatever the order of the list."""
    return int.from_bytes(blake2b(name.encode(), digest_size=BACKEND_ID_BYTES).digest(), "big")


class RoutingContext:
    """The shared state of the core. Times are milliseconds on the relay's clock.

    Attributes:
        requests, backends, backends_by_number: the same objects throughout, so that handlers may keep them.
        client_request_ids: the clients' ids of the requests that are not closed.
        serving_new_requests: whether a request was received that is no connection from before this process.
        effects: of the current step, in the order in which they are to be carried out.
        endpoint_list_version: of the newest endpoint list; 0 before the first.
        stall_ended_at: when the event loop last resumed after a stall.
        shutdown_deadline: when a shutdown or drain must have completed; 0 where there is none.
        process_exits: whether the process ends after the shutdown; False for a drain.
        rebalancer: None where established connections are not rebalanced.
        maintenance_plan: what the relays agreed on; None where they do not coordinate maintenance.
        evacuator: None until the first maintenance plan.
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
        self.client_request_ids: set[str] = set()
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

    def may_exit(self, now: float) -> bool:
        """Whether the process may exit: the shutdown's time has passed, and no request is accepted any more."""
        return self.process_exits and 0.0 < self.shutdown_deadline <= now

    def classifier_threshold_ms(self) -> float:
        """Above which a reported figure may be a message latency; 0 where backends report no latencies."""
        return self.settings.slow_message_ms if self.settings.backend_reports_latency else 0.0

    def in_maintenance(self, name: str) -> bool:
        """Whether nothing is placed on the backend: the plan excludes it, or this process has read no plan yet."""
        plan = self.maintenance_plan
        return plan is not None and (plan.excluded is None or name in plan.excluded)

    def discard_if_unused(self, backend: Backend) -> None:
        """Drop the state of a backend that is no longer listed, once it has no request."""
        if backend.state is not EndpointState.GONE or backend.requests:
            return
        if self.backends.get(backend.name) is not backend:
            return
        del self.backends[backend.name], self.backends_by_number[backend.number]
        if backend.start_time is not None:
            self.start_times.on_removed(backend.name, backend.start_time, self.now)
