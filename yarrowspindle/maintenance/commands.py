"""Commands of operators, each a change of the replicated state.

A command is kept until it no longer changes a committed state: then it has been applied, or refers to something that
is over. `label` is what operators see of a pending one.
"""

from __future__ import annotations

from dataclasses import dataclass

from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import MaintenanceState


@dataclass(slots=True, frozen=True)
class QueueRequest:
    """Queue a request; `known_version` is the version of the state that was known when it was made."""

    request: MaintenanceRequest
    known_version: float

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"ask {self.request.id}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
        return state.with_request(self.request, self.known_version)


@dataclass(slots=True, frozen=True)
class CompleteWork:
    """Return a free backend to service, if it is out under this evacuation's number."""

    backend: str
    number: int

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"done {self.backend}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
        return state.with_work_completed(self.backend, self.number)


@dataclass(slots=True, frozen=True)
class AbandonBackend:
    """Wait for a backend no longer, if it is out under this evacuation's number."""

    backend: str
    number: int

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"give up {self.backend}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
        return state.with_backend_abandoned(self.backend, self.number)


@dataclass(slots=True, frozen=True)
class CancelRequest:
    """Cancel a request that was queued with this version of the state."""

    request_id: str
    queued_at_version: int

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"cancel {self.request_id}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
        return state.with_request_cancelled(self.request_id, self.queued_at_version)


@dataclass(slots=True, frozen=True)
class RemoveRelay:
    """Remove an incarnation of a relay that has ended."""

    relay: str
    incarnation: int

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"ended {self.relay}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
        return state.without_relay(self.relay, self.incarnation)


@dataclass(slots=True, frozen=True)
class PauseMaintenance:
    """Start no evacuations until an operator ends the pause."""

    reason: str

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"pause {self.reason}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
        return state.with_pause(self.reason, True)


@dataclass(slots=True, frozen=True)
class ResumeMaintenance:
    """End the pause that has this reason."""

    reason: str

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"resume {self.reason}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
        return state.without_pause(self.reason)


@dataclass(slots=True, frozen=True)
class AddVoter:
    """Add a voter whose file has this identity."""

    relay: str
    identity: str

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"voter {self.relay}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
        return state.with_voter(self.relay, self.identity)


@dataclass(slots=True, frozen=True)
class RemoveVoter:
    """Remove a voter."""

    relay: str

    @property
    def label(self) -> str:
        """Text for operators."""
        return f"no voter {self.relay}"

    def apply(self, state: MaintenanceState) -> MaintenanceState | None:
        """Return the changed state, or None where nothing changes."""
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
