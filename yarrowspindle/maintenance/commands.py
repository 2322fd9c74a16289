"""Commands of operators, each a change of the replicated state.

A coordinator retries a command until it no longer changes the committed state: it has then been applied, or refers to a
request, evacuation or relay that no longer exists. `label` is the text that the status shows for a pending command.
"""

from __future__ import annotations

from dataclasses import dataclass

from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import MaintenanceState


@dataclass(slots=True, frozen=True)
class QueueRequest:
    """Command to queue a request.

    Attributes:
        request: the request.
        known_version: version of the state that was known when the command was given.
    """

    request: MaintenanceRequest
    known_version: float

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"ask {self.request.id}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.with_request(self.request, self.known_version)


@dataclass(slots=True, frozen=True)
class CompleteWork:
    """Command to return a free backend to service; has no effect under another evacuation number."""

    backend: str
    number: int

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"done {self.backend}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.with_work_completed(self.backend, self.number)


@dataclass(slots=True, frozen=True)
class AbandonBackend:
    """Command to stop waiting for a backend's return; has no effect under another evacuation number."""

    backend: str
    number: int

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"give up {self.backend}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.with_backend_abandoned(self.backend, self.number)


@dataclass(slots=True, frozen=True)
class CancelRequest:
    """Command to cancel the request that was queued with this version of the state."""

    request_id: str
    queued_at_version: int

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"cancel {self.request_id}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.with_request_cancelled(self.request_id, self.queued_at_version)


@dataclass(slots=True, frozen=True)
class RemoveRelay:
    """Command to remove an incarnation of a relay that has ended."""

    relay: str
    incarnation: int

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"ended {self.relay}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.without_relay(self.relay, self.incarnation)


@dataclass(slots=True, frozen=True)
class PauseMaintenance:
    """Command to start no evacuations until an operator ends the pause."""

    reason: str

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"pause {self.reason}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.with_pause(self.reason, True)


@dataclass(slots=True, frozen=True)
class ResumeMaintenance:
    """Command to end the pause that has this reason."""

    reason: str

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"resume {self.reason}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.without_pause(self.reason)


@dataclass(slots=True, frozen=True)
class AddVoter:
    """Command to add a voter whose file has this identity."""

    relay: str
    identity: str

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"voter {self.relay}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.with_voter(self.relay, self.identity)


@dataclass(slots=True, frozen=True)
class RemoveVoter:
    """Command to remove a voter."""

    relay: str

    @property
    def label(self) -> str:
        """Text of the pending command in the status."""
        return f"no voter {self.relay}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None if nothing changes."""
        return state.without_voter(self.relay)


OperatorCommand = (
    QueueRequest
    | CompleteWork
    | AbandonBackend
    | CancelRequest
    | RemoveRelay
    | PauseMaintenance
    | ResumeMaintenance
    | AddVoter
    | RemoveVoter
)
