"""Registrations and confirmations that other relays ask the leader to write into the replicated state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from yarrowspindle.maintenance.messages import RegisterRelay, ReleaseConfirmation
from yarrowspindle.maintenance.state import MaintenanceState

MAX_REGISTRATIONS = 1024

StateChange = Callable[[MaintenanceState], MaintenanceState | None]


@dataclass(slots=True)
class PendingRegistration:
    """Process that asks to be registered; `received_at` is the time in milliseconds of its last message."""

    key: str
    received_at: float


class PeerRequests:
    """Requests of other relays that no committed state contains yet; the latest of each relay and kind.

    Args:
        registration_lifetime_ms: period after which a registration that is not repeated is dropped, because its
            process may have ended.
    """

    def __init__(self, registration_lifetime_ms: float) -> None:
        self.registration_lifetime_ms = registration_lifetime_ms
        self.confirmations: dict[str, ReleaseConfirmation] = {}
        self.registrations: dict[str, PendingRegistration] = {}

    def add_confirmation(self, source: str, message: ReleaseConfirmation) -> None:
        """Record the confirmation of a registered relay."""
        self.confirmations[source] = message

    def add_registration(self, now: float, source: str, message: RegisterRelay) -> None:
        """Record that a process asks to be registered; `now` is in milliseconds."""
        if source in self.registrations or len(self.registrations) < MAX_REGISTRATIONS:
            self.registrations[source] = PendingRegistration(message.key, now)

    def drop_completed(self, now: float, state: MaintenanceState) -> None:
        """Drop confirmations of removed relays, and registrations that are committed or expired."""
        for name in [name for name in self.confirmations if name not in state.relays]:
            del self.confirmations[name]
        for name, pending in list(self.registrations.items()):
            expired = now > pending.received_at + self.registration_lifetime_ms
            if expired or state.process_keys.get(name) == pending.key:
                del self.registrations[name]

    def changes(self) -> list[StateChange]:
        """Return the changes of the state that the relays request."""
        registrations = [partial(_register, name, pending.key) for name, pending in self.registrations.items()]
        confirmations = [partial(_confirm, name, message) for name, message in self.confirmations.items()]
        return [*registrations, *confirmations]


def _register(name: str, key: str, state: MaintenanceState) -> MaintenanceState | None:
    return state.with_relay(name, key)


def _confirm(name: str, message: ReleaseConfirmation, state: MaintenanceState) -> MaintenanceState | None:
    return state.with_confirmations(name, message.incarnation, message.numbers)
