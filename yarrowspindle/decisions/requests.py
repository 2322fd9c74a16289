"""The state of a request, from its receipt until it has its answer and no attempt is in flight."""

from __future__ import annotations

from yarrowspindle.decisions.backends import Backend


class Request:
    """A request and its attempts. All times are in milliseconds of the balancer's clock."""

    __slots__ = (
        "id",
        "cls",
        "load",
        "received_at",
        "deadline",
        "attempts",
        "last_attempt_at",
        "backend",
        "in_flight",
        "answer_pending",
        "established",
        "may_have_run_at",
        "may_have_run_on",
        "returned",
        "group",
        "max_attempts",
    )

    def __init__(self, request_id: int, cls: int, load: float, now: float, remaining_ms: float) -> None:
        self.id = request_id
        self.cls = cls  # index into the settings' classes
        self.load = load
        self.received_at, self.deadline = now, now + remaining_ms
        self.attempts, self.last_attempt_at = 0, now
        self.backend: Backend | None = None  # of the latest attempt
        self.in_flight = self.established = False
        self.answer_pending = True
        self.returned = False  # the client reconnects after a migration or reset
        self.group = 0  # 0: no group
        self.max_attempts = 1  # according to the settings at the time of receipt
        self.may_have_run_at = -1.0  # start of the first attempt that may have run
        self.may_have_run_on: Backend | None = None  # backend of that attempt

    @property
    def migratable(self) -> bool:
        """Whether the connection is established and its client has not been asked to reconnect."""
        return self.in_flight and self.established and self.answer_pending


def find_request(requests: dict[int, Request], request_id: int) -> Request:
    """Return the request with this id.

    Raises:
        ValueError: the id is unknown.
    """
    request = requests.get(request_id)
    if request is None:
        raise ValueError(f"unknown request {request_id}")
    return request
