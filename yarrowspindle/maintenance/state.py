"""The state on which the relays agree: requests, backends out of service, and which relays have released them.

Each change is a pure function of the state. The invariants: never more backends out at once than a request allows, in
all and in each zone; no evacuation takes the ready capacity below the minimum of its request; a backend is free only
when each registered relay has confirmed this evacuation's number, or is known to have ended; the numbers increase by
one and are used once.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from msgspec import Struct, field
from msgspec.structs import replace

from yarrowspindle.maintenance.requests import (
    CANCELLED,
    DONE,
    ORDER_FEWEST,
    QUEUED,
    REFUSED,
    MaintenanceRequest,
    RequestStatus,
)

EMPTYING, FREE, WARMING = "emptying", "free", "warming"  # stages of an evacuation; stored and shown

MAX_REQUESTS = 16  # queued at once
MAX_ENDED_REQUESTS = 16  # that are still shown
MAX_RELAYS = 1024


@dataclass(slots=True, frozen=True)
class BackendObservation:
    """A backend as the proposer sees it.

    ready: takes connections and is warmed up. capacity: in the units of the endpoint list. connections: as far as the
    proposer knows.
    """

    zone: int
    capacity: float
    ready: bool
    connections: int = 0


class Evacuation(Struct, frozen=True, rename={"number": "turn", "request_id": "request", "confirmed_by": "confirmed"}):
    """A backend that is out of service.

    confirmed_by: relays, by name and incarnation, that know of the evacuation and have no connections there.
    """

    number: int
    request_id: str
    zone: int
    stage: str = EMPTYING
    confirmed_by: frozenset[tuple[str, int]] = frozenset()


class MaintenanceState(
    Struct,
    frozen=True,
    rename={
        "last_evacuation_number": "turn",
        "evacuations": "out",
        "process_keys": "keys",
        "pause_reason": "paused",
        "paused_by_operator": "by_hand",
    },
):
    """The replicated state of maintenance. Stored under the field names of its first version.

    voters: identity of each voter's file, by name. requests: by id, in the order in which they were decided.
    evacuations: by backend. relays: incarnation of each registered relay, by name; process_keys: the key of its
    process. pause_reason: why no evacuation starts; empty while they do. paused_by_operator: only an operator may end
    the pause.

    The methods named `with_...` and `without_...` return the changed state, or None where nothing changes.
    """

    voters: Mapping[str, str] = field(default_factory=dict)
    version: int = 0
    epoch: int = 0
    last_evacuation_number: int = 0
    requests: Mapping[str, RequestStatus] = field(default_factory=dict)
    evacuations: Mapping[str, Evacuation] = field(default_factory=dict)
    relays: Mapping[str, int] = field(default_factory=dict)
    process_keys: Mapping[str, str] = field(default_factory=dict)
    pause_reason: str = ""
    paused_by_operator: bool = False

    def successor(self, **changes: object) -> MaintenanceState:
        """Return the next version of the state with these fields changed."""
        return replace(self, version=self.version + 1, **changes)

    def at_epoch(self, epoch: int) -> MaintenanceState:
        """Return the next version of the state with another epoch of its voter set."""
        return self.successor(epoch=epoch)

    # Queries

    def excludes(self, backend: str) -> bool:
        """Whether no connection may be placed on the backend."""
        evacuation = self.evacuations.get(backend)
        return evacuation is not None and evacuation.stage != WARMING

    def unconfirmed_relays(self, backend: str) -> list[str]:
        """Return the relays that have to confirm before the backend is free."""
        confirmed_by = self.evacuations[backend].confirmed_by
        return sorted(name for name, incarnation in self.relays.items() if (name, incarnation) not in confirmed_by)

    def ready_capacity(self, backends: Mapping[str, BackendObservation]) -> float:
        """Return the capacity of the ready backends that are in service."""
        return sum(
            backend.capacity for name, backend in backends.items() if backend.ready and name not in self.evacuations
        )

    def meets_capacity_floors(self, backends: Mapping[str, BackendObservation]) -> bool:
        """Whether the ready capacity meets the minimum of each request with an emptying backend."""
        minimums = [
            self.requests[evacuation.request_id].request.min_ready_capacity
            for evacuation in self.evacuations.values()
            if evacuation.stage == EMPTYING
        ]
        return self.ready_capacity(backends) >= max(minimums, default=0.0)

    def blocking_reason(
        self,
        status: RequestStatus,
        backend: str,
        backends: Mapping[str, BackendObservation],
        ready_capacity: float,
    ) -> str:
        """Return why the backend's evacuation may not start now, or an empty string where it may.

        `ready_capacity` is the value of the method of this name for the same backends.
        """
        request = status.request
        observed = backends.get(backend)
        if self.pause_reason:
            return f"paused: {self.pause_reason}"
        if len(self.evacuations) >= request.max_unavailable:
            return f"{len(self.evacuations)} out, at most {request.max_unavailable} at once"
        if observed is None:
            return "not in the machine list"
        unavailable_in_zone = sum(evacuation.zone == observed.zone for evacuation in self.evacuations.values())
        if unavailable_in_zone >= request.max_unavailable_per_zone:
            return f"at most {request.max_unavailable_per_zone} out of its zone at once"
        remaining = ready_capacity - (observed.capacity if observed.ready else 0.0)
        if remaining < request.min_ready_capacity:
            return f"ready capacity would be {remaining:g}, the floor is {request.min_ready_capacity:g}"
        return ""

    # Relays

    def with_relay(self, name: str, key: str) -> MaintenanceState | None:
        """Register a process, which ends any earlier incarnation of its name.

        Its incarnation is the version that it is registered with, so that no two are equal.
        """
        full = len(self.relays) >= MAX_RELAYS and name not in self.relays
        if full or self.process_keys.get(name) == key:
            return None
        return self.successor(
            relays={**self.relays, name: self.version + 1},
            process_keys={**self.process_keys, name: key},
        )._with_released_backends()

    def without_relay(self, name: str, incarnation: int) -> MaintenanceState | None:
        """Remove a relay that has shut down, or that an operator declares ended."""
        if self.relays.get(name) != incarnation:
            return None
        return self.successor(
            relays={other: value for other, value in self.relays.items() if other != name},
            process_keys={other: key for other, key in self.process_keys.items() if other != name},
        )._with_released_backends()

    def with_confirmations(self, name: str, incarnation: int, numbers: Mapping[str, int]) -> MaintenanceState | None:
        """Record that a relay has no connections on these backends. `numbers`: of the evacuations, by backend."""
        if self.relays.get(name) != incarnation:
            return None  # it has to register first: it may not know what has changed since
        evacuations = dict(self.evacuations)
        for backend, number in numbers.items():
            evacuation = evacuations.get(backend)
            if evacuation is not None and evacuation.number == number and evacuation.stage == EMPTYING:
                confirmed_by = evacuation.confirmed_by | {(name, incarnation)}
                evacuations[backend] = replace(evacuation, confirmed_by=confirmed_by)
        if evacuations == dict(self.evacuations):
            return None
        return self.successor(evacuations=evacuations)._with_released_backends()

    def _with_released_backends(self) -> MaintenanceState:
        evacuations = {}
        for backend, evacuation in self.evacuations.items():
            released = evacuation.stage == EMPTYING and not self.unconfirmed_relays(backend)
            evacuations[backend] = replace(evacuation, stage=FREE) if released else evacuation
        return replace(self, evacuations=evacuations)

    # Operators

    def with_request(self, request: MaintenanceRequest, known_version: float = 0) -> MaintenanceState | None:
        """Queue a request, or record it as refused where it conflicts with another one.

        An equal request that is queued stays as it is. `known_version` is the version that was known when the request
        was made: a delayed command must not repeat a request that has ended since.
        """
        request_id = request.id
        existing = self.requests.get(request_id)
        if existing is not None and (existing.state == QUEUED or existing.changed_at_version > known_version):
            return None
        requests = {other_id: status for other_id, status in self.requests.items() if other_id != request_id}
        version = self.version + 1
        refusal = self._refusal(request, requests)
        if refusal:
            requests[request_id] = RequestStatus(request, (), REFUSED, refusal, version)
        else:
            requests[request_id] = RequestStatus(request, request.backends, changed_at_version=version)
        ended = [ended_id for ended_id, status in requests.items() if status.state != QUEUED]
        for ended_id in ended[: max(0, len(ended) - MAX_ENDED_REQUESTS)]:
            del requests[ended_id]
        return self.successor(requests=requests)

    def _refusal(self, request: MaintenanceRequest, other_requests: Mapping[str, RequestStatus]) -> str:
        """Return why the request is refused beside the other requests; empty where it is not."""
        request_ids: dict[str, str] = {}
        for request_id, status in self.requests.items():
            if status.state == QUEUED:
                request_ids |= dict.fromkeys(status.request.backends, request_id)
        request_ids |= {backend: evacuation.request_id for backend, evacuation in self.evacuations.items()}
        for backend in request.backends:
            if backend in request_ids:
                return f"{backend} is in request {request_ids[backend]} already"
        if sum(status.state == QUEUED for status in other_requests.values()) >= MAX_REQUESTS:
            return f"{MAX_REQUESTS} requests are open already"
        return ""

    def with_request_cancelled(self, request_id: str, queued_at_version: int) -> MaintenanceState | None:
        """Cancel a queued request. Emptying backends return to service, free ones stay out until their work is done.

        `queued_at_version` tells it from an equal request that was queued later.
        """
        status = self.requests.get(request_id)
        if status is None or status.state != QUEUED or status.changed_at_version != queued_at_version:
            return None
        evacuations = {
            backend: evacuation
            for backend, evacuation in self.evacuations.items()
            if evacuation.request_id != request_id or evacuation.stage != EMPTYING
        }
        cancelled = replace(status, waiting=(), state=CANCELLED, changed_at_version=self.version + 1)
        return self.successor(requests={**self.requests, request_id: cancelled}, evacuations=evacuations)

    def with_work_completed(self, backend: str, number: int) -> MaintenanceState | None:
        """Return a free backend to service, to warm up. A command for an earlier evacuation has no effect."""
        evacuation = self.evacuations.get(backend)
        if evacuation is None or evacuation.stage != FREE or evacuation.number != number:
            return None
        return self.successor(evacuations={**self.evacuations, backend: replace(evacuation, stage=WARMING)})

    def with_backend_abandoned(self, backend: str, number: int) -> MaintenanceState | None:
        """End the evacuation of a free or warming backend that does not return, or is not waited for."""
        evacuation = self.evacuations.get(backend)
        if evacuation is None or evacuation.stage == EMPTYING or evacuation.number != number:
            return None
        evacuations = {other: value for other, value in self.evacuations.items() if other != backend}
        return self.successor(evacuations=evacuations)._with_completed_requests()

    def with_pause(self, reason: str, by_operator: bool = False) -> MaintenanceState | None:
        """Start no evacuations, and revert those in progress: after a fault, under pressure, or for an operator."""
        emptying = [backend for backend, evacuation in self.evacuations.items() if evacuation.stage == EMPTYING]
        already_paused = self.paused_by_operator or (self.pause_reason and not by_operator)
        if not emptying and already_paused:
            return None
        return replace(
            self.with_evacuations_reverted(emptying),
            paused_by_operator=self.paused_by_operator or by_operator,
            pause_reason=self.pause_reason if self.paused_by_operator else reason,
        )

    def without_pause(self, reason: str = "") -> MaintenanceState | None:
        """End a pause. `reason` is that of the pause which an operator ends; without it, one by an operator stays."""
        if not self.pause_reason:
            return None
        may_end = self.pause_reason == reason if reason else not self.paused_by_operator
        return self.successor(pause_reason="", paused_by_operator=False) if may_end else None

    # Progress

    def advanced(self, backends: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        """End the evacuations of backends that are warmed up, and start the next evacuation that the limits allow."""
        warmed_up = [
            name
            for name, evacuation in self.evacuations.items()
            if evacuation.stage == WARMING and name in backends and backends[name].ready
        ]
        remaining = {name: value for name, value in self.evacuations.items() if name not in warmed_up}
        state = replace(self, evacuations=remaining)
        started = None if self.pause_reason else state._with_next_evacuation(backends)
        if started is None and not warmed_up:
            return None
        return (started or state).successor()._with_completed_requests()

    def _with_next_evacuation(self, backends: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        ready_capacity = self.ready_capacity(backends)
        for request_id, status in self.requests.items():
            if status.state != QUEUED or len(self.evacuations) >= status.request.max_unavailable:
                continue
            for backend in _waiting_in_order(status, backends):
                if not self.blocking_reason(status, backend, backends, ready_capacity):
                    return self._with_evacuation(request_id, backend, backends[backend].zone)
        return None

    def _with_evacuation(self, request_id: str, backend: str, zone: int) -> MaintenanceState:
        status = self.requests[request_id]
        waiting = tuple(name for name in status.waiting if name != backend)
        number = self.last_evacuation_number + 1
        return replace(
            self,
            last_evacuation_number=number,
            evacuations={**self.evacuations, backend: Evacuation(number, request_id, zone)},
            requests={**self.requests, request_id: replace(status, waiting=waiting)},
        )

    def _with_completed_requests(self) -> MaintenanceState:
        """Mark the requests as done that have no backend waiting or out."""
        evacuated = {evacuation.request_id for evacuation in self.evacuations.values()}
        requests = {}
        for request_id, status in self.requests.items():
            completed = status.state == QUEUED and not status.waiting and request_id not in evacuated
            requests[request_id] = replace(status, state=DONE, changed_at_version=self.version) if completed else status
        return replace(self, requests=requests)

    def with_evacuations_reverted(self, backends: Collection[str]) -> MaintenanceState:
        """Return the backends to service and to the head of the queue; their next evacuations get new numbers."""
        requests = dict(self.requests)
        for backend in backends:
            request_id = self.evacuations[backend].request_id
            status = requests[request_id]
            requests[request_id] = replace(status, waiting=(backend, *status.waiting))
        evacuations = {name: value for name, value in self.evacuations.items() if name not in backends}
        return self.successor(evacuations=evacuations, requests=requests)

    # Voters

    def with_voter(self, name: str, identity: str) -> MaintenanceState | None:
        """Add a voter, or replace the file of one."""
        if self.voters.get(name) == identity:
            return None
        return self.successor(voters={**self.voters, name: identity}, epoch=self.epoch + 1)

    def without_voter(self, name: str) -> MaintenanceState | None:
        """Remove a voter, unless it is the last one."""
        if name not in self.voters or len(self.voters) == 1:
            return None
        voters = {other: identity for other, identity in self.voters.items() if other != name}
        return self.successor(voters=voters, epoch=self.epoch + 1)


def _waiting_in_order(status: RequestStatus, backends: Mapping[str, BackendObservation]) -> tuple[str, ...]:
    """Return the waiting backends in the order that the request wants."""
    if status.request.order != ORDER_FEWEST:
        return status.waiting
    return tuple(sorted(status.waiting, key=lambda name: backends[name].connections if name in backends else 0))
