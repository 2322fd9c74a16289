"""Replicated state of maintenance: requests, backends out of service, and the relays that have released them.

Each change is a pure function of the state. Invariants:

1. No more backends are out of service at once than a request allows, in total and in each zone.
2. No evacuation takes the ready capacity below the minimum of its request.
3. A backend is free only when each registered relay has confirmed the number of this evacuation or is known to have
   ended.
4. Evacuation numbers increase by one, and each is used once.
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

EMPTYING, FREE, WARMING = "emptying", "free", "warming"  # stages of an evacuation; stored and published

MAX_REQUESTS = 16  # queued at once
MAX_ENDED_REQUESTS = 16  # refused, done or cancelled requests that are kept for the status
MAX_RELAYS = 1024


@dataclass(slots=True, frozen=True)
class BackendObservation:
    """Backend as the proposer observes it.

    Attributes:
        zone: number of its zone.
        capacity: capacity in the units of the endpoint list.
        ready: whether it accepts connections and is warm.
        connections: number of its connections that the proposer knows of.
    """

    zone: int
    capacity: float
    ready: bool
    connections: int = 0


class Evacuation(Struct, frozen=True, rename={"number": "turn", "request_id": "request", "confirmed_by": "confirmed"}):
    """Evacuation of a backend, which is out of service until the evacuation ends.

    Attributes:
        number: number of the evacuation.
        request_id: request that it belongs to.
        zone: number of the backend's zone.
        stage: EMPTYING, FREE or WARMING.
        confirmed_by: name and incarnation of the relays that know of the evacuation and have no connections to the
            backend.
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
    """Replicated state of maintenance, stored under the field names of its first version.

    Methods named `with_...` and `without_...` return the changed state, or None if nothing changes.

    Attributes:
        voters: identity of each voter's file, by name.
        version: increases with each change.
        epoch: increases with each change of the voter set.
        last_evacuation_number: number of the newest evacuation.
        requests: requests by id, in the order in which they were decided.
        evacuations: evacuations by backend.
        relays: incarnation of each registered relay, by name.
        process_keys: key of the process of each registered relay, by name.
        pause_reason: why no evacuations start; empty if maintenance is not paused.
        paused_by_operator: whether only an operator may end the pause.
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
        """Return the next version of the state, with these fields changed."""
        return replace(self, version=self.version + 1, **changes)

    def at_epoch(self, epoch: int) -> MaintenanceState:
        """Return the next version of the state, with another epoch of its voter set."""
        return self.successor(epoch=epoch)

    # Queries

    def excludes(self, backend: str) -> bool:
        """Return whether no connection may be placed on the backend."""
        evacuation = self.evacuations.get(backend)
        return evacuation is not None and evacuation.stage != WARMING

    def unconfirmed_relays(self, backend: str) -> list[str]:
        """Return the sorted names of the relays that must still confirm before the backend is free."""
        confirmed_by = self.evacuations[backend].confirmed_by
        return sorted(name for name, incarnation in self.relays.items() if (name, incarnation) not in confirmed_by)

    def ready_capacity(self, backends: Mapping[str, BackendObservation]) -> float:
        """Return the total capacity of the ready backends that are in service."""
        return sum(
            backend.capacity for name, backend in backends.items() if backend.ready and name not in self.evacuations
        )

    def meets_capacity_floors(self, backends: Mapping[str, BackendObservation]) -> bool:
        """Return whether the ready capacity meets the minimum of each request that has an emptying backend."""
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
        """Return why the backend's evacuation may not start now, or an empty string if it may.

        Args:
            status: request that the backend belongs to.
            backend: name of the backend.
            backends: observations by backend.
            ready_capacity: result of the method `ready_capacity` for the same observations.
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
        """Register a process, which ends any earlier incarnation of the relay.

        The incarnation is the version of the state that registers it, which makes it unique.
        """
        full = len(self.relays) >= MAX_RELAYS and name not in self.relays
        if full or self.process_keys.get(name) == key:
            return None
        return self.successor(
            relays={**self.relays, name: self.version + 1},
            process_keys={**self.process_keys, name: key},
        )._with_released_backends()

    def without_relay(self, name: str, incarnation: int) -> MaintenanceState | None:
        """Remove a relay that has shut down or that an operator has declared ended."""
        if self.relays.get(name) != incarnation:
            return None
        return self.successor(
            relays={other: value for other, value in self.relays.items() if other != name},
            process_keys={other: key for other, key in self.process_keys.items() if other != name},
        )._with_released_backends()

    def with_confirmations(self, name: str, incarnation: int, numbers: Mapping[str, int]) -> MaintenanceState | None:
        """Record that a relay has no connections to these backends.

        Args:
            name: name of the relay.
            incarnation: incarnation of the relay; only the registered one can confirm.
            numbers: numbers of the confirmed evacuations, by backend.
        """
        if self.relays.get(name) != incarnation:
            return None  # an unregistered process may not know the current evacuations
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
        """Queue a request, or record it as refused if it conflicts with another one.

        An equal request that is already queued stays unchanged.

        Args:
            request: the request.
            known_version: version of the state that was known when the request was made. A request that has ended
                since is not repeated, so that a delayed command has no effect.
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
        """Return why the request is refused in view of the other requests, or an empty string if it is accepted."""
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
        """Cancel a queued request.

        Emptying backends return to service at once; free ones stay out of service until their work is completed.

        Args:
            request_id: id of the request.
            queued_at_version: version with which it was queued, which distinguishes it from an equal later request.
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
        """Return a free backend to service, in the stage WARMING. The number of an earlier evacuation has no effect."""
        evacuation = self.evacuations.get(backend)
        if evacuation is None or evacuation.stage != FREE or evacuation.number != number:
            return None
        return self.successor(evacuations={**self.evacuations, backend: replace(evacuation, stage=WARMING)})

    def with_backend_abandoned(self, backend: str, number: int) -> MaintenanceState | None:
        """End the evacuation of a free or warming backend without waiting for its return."""
        evacuation = self.evacuations.get(backend)
        if evacuation is None or evacuation.stage == EMPTYING or evacuation.number != number:
            return None
        evacuations = {other: value for other, value in self.evacuations.items() if other != backend}
        return self.successor(evacuations=evacuations)._with_completed_requests()

    def with_pause(self, reason: str, by_operator: bool = False) -> MaintenanceState | None:
        """Pause: start no evacuations and revert those of emptying backends, after a fault or for an operator."""
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
        """End a pause.

        Args:
            reason: reason of the pause that an operator ends. If empty, only a pause after a fault ends.
        """
        if not self.pause_reason:
            return None
        may_end = self.pause_reason == reason if reason else not self.paused_by_operator
        return self.successor(pause_reason="", paused_by_operator=False) if may_end else None

    # Progress

    def advanced(self, backends: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        """End the evacuations of backends that have warmed up, and start the next evacuation that the limits allow."""
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
        """Mark queued requests as done if none of their backends is waiting or out of service."""
        evacuated = {evacuation.request_id for evacuation in self.evacuations.values()}
        requests = {}
        for request_id, status in self.requests.items():
            completed = status.state == QUEUED and not status.waiting and request_id not in evacuated
            requests[request_id] = replace(status, state=DONE, changed_at_version=self.version) if completed else status
        return replace(self, requests=requests)

    def with_evacuations_reverted(self, backends: Collection[str]) -> MaintenanceState:
        """Return the backends to service and put them at the head of their requests' queues.

        Their next evacuations get new numbers, so confirmations of the reverted ones do not count.
        """
        requests = dict(self.requests)
        for backend in backends:
            request_id = self.evacuations[backend].request_id
            status = requests[request_id]
            requests[request_id] = replace(status, waiting=(backend, *status.waiting))
        evacuations = {name: value for name, value in self.evacuations.items() if name not in backends}
        return self.successor(evacuations=evacuations, requests=requests)

    # Voters

    def with_voter(self, name: str, identity: str) -> MaintenanceState | None:
        """Add a voter, or replace the identity of a voter's file."""
        if self.voters.get(name) == identity:
            return None
        return self.successor(voters={**self.voters, name: identity}, epoch=self.epoch + 1)

    def without_voter(self, name: str) -> MaintenanceState | None:
        """Remove a voter, unless it is the last."""
        if name not in self.voters or len(self.voters) == 1:
            return None
        voters = {other: identity for other, identity in self.voters.items() if other != name}
        return self.successor(voters=voters, epoch=self.epoch + 1)


def _waiting_in_order(status: RequestStatus, backends: Mapping[str, BackendObservation]) -> tuple[str, ...]:
    """Return the waiting backends in the order that the request specifies."""
    if status.request.order != ORDER_FEWEST:
        return status.waiting
    return tuple(sorted(status.waiting, key=lambda name: backends[name].connections if name in backends else 0))
