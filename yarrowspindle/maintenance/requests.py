"""Requests of operators to take backends out of service, and their status."""

from __future__ import annotations

from hashlib import blake2b
from math import inf

from msgspec import Struct

QUEUED, REFUSED, DONE, CANCELLED = "queued", "refused", "done", "cancelled"  # states of a request; stored and shown
ORDER_GIVEN, ORDER_FEWEST = "given", "fewest"  # order of the backends; stored

MAX_BACKENDS = 512  # of one request
MAX_NAME_LENGTH = 64
MAX_DEADLINE_S = 86_400.0
REQUEST_ID_BYTES = 6


class MaintenanceError(ValueError):
    """A request or command that is invalid; the text gives the reason."""


class MaintenanceRequest(
    Struct,
    frozen=True,
    rename={
        "backends": "machines",
        "max_unavailable": "most",
        "max_unavailable_per_zone": "most_zone",
        "min_ready_capacity": "floor",
    },
):
    """Backends to take out of service, and under which limits. Stored under the field names of its first version.

    max_unavailable, max_unavailable_per_zone: backends out at once. min_ready_capacity: what must remain ready, in
    the units of the endpoint list. deadline_s: connections that remain on a backend after so many seconds are all
    migrated at once. order: ORDER_GIVEN, or ORDER_FEWEST for the backend with the fewest connections first. name:
    distinguishes requests that are otherwise equal.

    Raises MaintenanceError where a value is out of range.
    """

    backends: tuple[str, ...]
    max_unavailable: int = 1
    max_unavailable_per_zone: int = 1
    min_ready_capacity: float = 0.0
    deadline_s: float = 120.0
    order: str = ORDER_GIVEN
    name: str = ""

    def __post_init__(self) -> None:
        count = len(self.backends)
        if not 0 < count <= MAX_BACKENDS or len(set(self.backends)) != count:
            raise MaintenanceError(f"a request names 1 to {MAX_BACKENDS} machines, each once")
        if any(not 0 < len(name) <= MAX_NAME_LENGTH for name in self.backends):
            raise MaintenanceError(f"a machine's name has 1 to {MAX_NAME_LENGTH} characters")
        limits_valid = min(self.max_unavailable, self.max_unavailable_per_zone) >= 1
        capacity_valid = 0.0 <= self.min_ready_capacity < inf
        deadline_valid = 0.0 < self.deadline_s <= MAX_DEADLINE_S
        if not limits_valid or not capacity_valid or not deadline_valid:
            raise MaintenanceError(
                "most and most_zone are at least 1, floor is not below 0, deadline_s is 86,400 at most"
            )
        if self.order not in (ORDER_GIVEN, ORDER_FEWEST):
            raise MaintenanceError(f"order is {ORDER_GIVEN!r} or {ORDER_FEWEST!r}")

    @property
    def id(self) -> str:
        """An identifier that equal requests share, wherever they were made. It is stored, so its input is fixed."""
        values = (
            self.backends,
            self.max_unavailable,
            self.max_unavailable_per_zone,
            float(self.min_ready_capacity),
            float(self.deadline_s),
            self.order,
            self.name,
        )
        return blake2b(repr(values).encode(), digest_size=REQUEST_ID_BYTES).hexdigest()


class RequestStatus(Struct, frozen=True, rename={"request": "wish", "reason": "why", "changed_at_version": "at"}):
    """A request in the replicated state.

    waiting: its backends whose evacuation has not started. reason: why it was refused. changed_at_version: version of
    the state with which it was queued, refused, cancelled or done.
    """

    request: MaintenanceRequest
    waiting: tuple[str, ...]
    state: str = QUEUED
    reason: str = ""
    changed_at_version: int = 0
