"""The operators' maintenance API: checks each call against the state and passes it to the coordinator as a command."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec

from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.maintenance import status_report
from yarrowspindle.maintenance.commands import (
    AbandonBackend,
    AddVoter,
    CancelRequest,
    CompleteWork,
    OperatorCommand,
    PauseMaintenance,
    QueueRequest,
    RemoveRelay,
    RemoveVoter,
    ResumeMaintenance,
)
from yarrowspindle.maintenance.coordinator import MaintenanceCoordinator
from yarrowspindle.maintenance.requests import QUEUED, MaintenanceError
from yarrowspindle.maintenance.settings import RequestSettings, read_request_settings
from yarrowspindle.maintenance.state import FREE, WARMING
from yarrowspindle.operator_api.http import BodyRoutes, Response

MAX_REASON_LENGTH = 200
MAX_NAMED_BACKENDS = 8  # in an error message
NEVER_QUEUED = -1  # instead of a known version: queue the request only if it was never queued before

Parameters = dict[str, Any]  # the JSON object in the body of a call


def json_body(value: object) -> str:
    """Return the body of a response."""
    return msgspec.json.encode(value).decode() + "\n"


class MaintenanceCommands:
    """The calls of the API, which become commands of the coordinator.

    `post` passes a command to the coordinator. `members` returns the names of the relays in the cluster.
    `recreate_voter_file` returns the identity of a new file, or an empty string if it cannot be written.
    """

    def __init__(
        self,
        service: RelayService,
        coordinator: MaintenanceCoordinator,
        post: Callable[[OperatorCommand], None],
        members: Callable[[], list[str]],
        recreate_voter_file: Callable[[], str],
    ) -> None:
        self.service = service
        self.coordinator = coordinator
        self.post = post
        self.members = members
        self.recreate_voter_file = recreate_voter_file

    def routes(self) -> BodyRoutes:
        """Return the calls of the operators' API by path and method."""
        actions: dict[str, Callable[[Parameters], object]] = {
            "ask": self._queue_request,
            "done": self._complete_work,
            "give-up": self._abandon_backend,
            "cancel": self._cancel_request,
            "ended": self._remove_relay,
            "pause": self._pause,
            "resume": self._resume,
            "vote": self._add_voter,
            "unvote": self._remove_voter,
        }
        return {f"/turns/{name}": {"PUT": self._call(action)} for name, action in actions.items()}

    def _call(self, action: Callable[[Parameters], object]) -> Callable[[bytes], Response]:
        def respond(body: bytes) -> Response:
            try:
                parameters = msgspec.json.decode(body or b"{}", type=Parameters)
                result = action(parameters)
            except (MaintenanceError, msgspec.DecodeError, msgspec.ValidationError) as error:
                return 409, json_body({"error": str(error)})
            return 200, json_body({"done": result, "registered": self.coordinator.registered})

        return respond

    def queue_request(self, settings: RequestSettings, known_version: float) -> str:
        """Queue a request for the backends that the settings select, and return its id.

        `known_version` is that of `QueueRequest`. Raise MaintenanceError if a zone, kind or backend is unknown.
        """
        listed = {
            name: backend.endpoint
            for name, backend in self.service.reducer.backends.items()
            if backend.endpoint is not None and backend.endpoint.state is not EndpointState.GONE
        }
        names = self.service.config.names
        if settings.zone:
            zones = {name: endpoint.zone for name, endpoint in listed.items()}
            backends = _select(zones, settings.zone, names.zones)
        elif settings.kind:
            kinds = {name: endpoint.kind for name, endpoint in listed.items()}
            backends = _select(kinds, settings.kind, names.kinds)
        else:
            backends = settings.machines
            unknown = [name for name in backends if name not in listed]
            if unknown:
                raise MaintenanceError(f"not in the machine list: {', '.join(unknown[:MAX_NAMED_BACKENDS])}")
        request = settings.request(backends, {name: endpoint.zone for name, endpoint in listed.items()})
        self.post(QueueRequest(request, known_version))
        return request.id

    def _queue_request(self, parameters: Parameters) -> object:
        return self.queue_request(read_request_settings(parameters), self.coordinator.state.version)

    def _complete_work(self, parameters: Parameters) -> object:
        backend, number = self._evacuation(parameters, (FREE,))
        self.post(CompleteWork(backend, number))
        return number

    def _abandon_backend(self, parameters: Parameters) -> object:
        backend, number = self._evacuation(parameters, (FREE, WARMING))
        self.post(AbandonBackend(backend, number))
        return number

    def _evacuation(self, parameters: Parameters, stages: tuple[str, ...]) -> tuple[str, int]:
        """Return the named backend and its evacuation's number. Raise MaintenanceError unless its stage is listed."""
        backend = _required_text(parameters, "machine")
        evacuation = self.coordinator.state.evacuations.get(backend)
        if evacuation is None:
            raise MaintenanceError(f"{backend} is not out")
        if evacuation.number != parameters.get("turn", evacuation.number):
            raise MaintenanceError(f"{backend} is out by turn {evacuation.number}, not {parameters['turn']}")
        if evacuation.stage not in stages:
            reasons: list[str] = []
            if backend in self.coordinator.adopted.evacuations:
                reasons = status_report.waiting_reasons(self.coordinator, backend, self.members())
            raise MaintenanceError(f"{backend} is {evacuation.stage}: it waits for {'; '.join(reasons)}")
        return backend, evacuation.number

    def _cancel_request(self, parameters: Parameters) -> object:
        id_or_name = _required_text(parameters, "request")
        requests = self.coordinator.state.requests
        matching_ids = [
            request_id
            for request_id, status in requests.items()
            if id_or_name in (request_id, status.request.name) and status.state == QUEUED
        ]
        if len(matching_ids) != 1:
            raise MaintenanceError(
                f"{len(matching_ids) or 'no'} open requests have the id or name {id_or_name}; expected exactly one"
            )
        request_id = matching_ids[0]
        self.post(CancelRequest(request_id, requests[request_id].changed_at_version))
        return request_id

    def _remove_relay(self, parameters: Parameters) -> object:
        name = _required_text(parameters, "relay")
        relays = self.coordinator.state.relays
        incarnation = relays.get(name)
        if incarnation is None:
            raise MaintenanceError(f"{name} is not registered; registered are {', '.join(sorted(relays))}")
        if name in self.members() and not parameters.get("force"):
            raise MaintenanceError(f"{name} is a member of the cluster and answers; expected a relay that has ended")
        self.post(RemoveRelay(name, incarnation))
        return incarnation

    def _pause(self, parameters: Parameters) -> object:
        reason = str(parameters.get("why") or "an operator paused them")[:MAX_REASON_LENGTH]
        self.post(PauseMaintenance(reason))
        return reason

    def _resume(self, parameters: Parameters) -> object:
        if not self.coordinator.state.pause_reason:
            raise MaintenanceError("turns are not paused")
        self.post(ResumeMaintenance(self.coordinator.state.pause_reason))
        return self.coordinator.state.pause_reason

    def _add_voter(self, parameters: Parameters) -> object:
        """Make this relay a voter."""
        name = self.coordinator.name
        if self.coordinator.state.version == 0:
            raise MaintenanceError("this relay has not received the state from the voters yet; retry later")
        if name in self.coordinator.state.voters:
            raise MaintenanceError(f"{name} is a voter already")
        identity = self.coordinator.identity or self.recreate_voter_file()
        if not identity:
            raise MaintenanceError("the voter's file cannot be created; see the log of this relay")
        self.post(AddVoter(name, identity))
        return name

    def _remove_voter(self, parameters: Parameters) -> object:
        name = _required_text(parameters, "relay")
        voters = self.coordinator.state.voters
        if name not in voters or len(voters) == 1:
            raise MaintenanceError(f"{name} is not one of several voters: {', '.join(sorted(voters))}")
        self.post(RemoveVoter(name))
        return name


def _select(numbers: Mapping[str, int], wanted_name: str, known: Sequence[str]) -> tuple[str, ...]:
    """Return the backends whose zone or kind has this name. Raise MaintenanceError if there are none."""
    if wanted_name not in known:
        raise MaintenanceError(f"{wanted_name!r} is unknown; expected one of {', '.join(known)}")
    wanted_number = known.index(wanted_name)
    backends = tuple(sorted(name for name, number in numbers.items() if number == wanted_number))
    if not backends:
        raise MaintenanceError(f"no machine of {wanted_name!r} is in the machine list")
    return backends


def _required_text(parameters: Parameters, key: str) -> str:
    value = parameters.get(key)
    if not isinstance(value, str) or not value:
        raise MaintenanceError(f"{key} is missing")
    return value
