"""Requests of operators to take backends out of service, and the status of each."""

from __future__ import annotations

from hashlib import blake2b
from math import inf

from msgspec import Struct

QUEUED, REFUSED, DONE, CANCELLED = "queued", "refused", "done", "cancelled"  # states of a request; stored and published
ORDER_GIVEN, ORDER_FEWEST = "given", "fewest"  # order in which backends are evacuated; stored

MAX_BACKENDS = 512  # in one request
MAX_NAME_LENGTH = 64
MAX_DEADLINE_S = 86_400.0
REQUEST_ID_BYTES = 6


class MaintenanceError(ValueError):
    """A request or command is invalid; the message gives the reason."""


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
    """Backends to take out of service, with limits. Stored under the field names of its first version.

    Attributes:
        backends: names of the backends.
        max_unavailable: maximum number of backends out of service at once.
        max_unavailable_per_zone: maximum number of backends of one zone out of service at once.
        min_ready_capacity: capacity that must remain ready, in the units of the endpoint list.
        deadline_s: seconds after which connections that remain on an emptying backend are all migrated at once.
        order: ORDER_GIVEN, or ORDER_FEWEST for the backend with the fewest connections first.
        name: distinguishes requests that are otherwise equal.

    Raises:
        MaintenanceError: A value is out of range.
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
            raise MaintenanceError(f"a request must name 1 to {MAX_BACKENDS} machines, each once")
        if any(not 0 < len(name) <= MAX_NAME_LENGTH for name in self.backends):
            raise MaintenanceError(f"a machine name must have 1 to {MAX_NAME_LENGTH} characters")
        limits_valid = min(self.max_unavailable, self.max_unavailable_per_zone) >= 1
        capacity_valid = 0.0 <= self.min_ready_capacity < inf
        deadline_valid = 0.0 < self.deadline_s <= MAX_DEADLINE_S
        if not limits_valid or not capacity_valid or not deadline_valid:
            raise MaintenanceError(
                "most and most_zone must be at least 1, floor at least 0 and finite, "
                "deadline_s above 0 and at most 86,400"
            )
        if self.order not in (ORDER_GIVEN, ORDER_FEWEST):
            raise MaintenanceError(f"order must be {ORDER_GIVEN!r} or {ORDER_FEWEST!r}")

    @property
    def id(self) -> str:
        """Identifier shared by equal requests, regardless of the relay. It is stored, so its input must not change."""
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
    """Request in the replicated state.

    Attributes:
        request: the request.
        waiting: its backends whose evacuation has not started.
        state: QUEUED, REFUSED, DONE or CANCELLED.
        reason: why it was refused.
        changed_at_version: version of the state with which it was queued, refused, cancelled or done.
    """

    request: MaintenanceRequest
    waiting: tuple[str, ...]
    state: str = QUEUED
    reason: str = ""
    changed_at_version: int = 0
