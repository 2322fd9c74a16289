"""What one balancer keeps of a request, from its arrival until it is answered and no attempt of it is in flight."""

from __future__ import annotations

from yarrowspindle.decisions.backends import Backend


class Request:
    """A request and its attempts. All times are milliseconds of the balancer's clock."""

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
        self.backend: Backend | None = None  # of the newest attempt
        self.in_flight = self.established = False
        self.answer_pending = True
        self.returned = False  # the client's former connection was migrated or reset
        self.group = 0  # 0: none
        self.max_attempts = 1  # as the settings allowed when it was received
        self.may_have_run_at = -1.0  # start of the first attempt that may have run
        self.may_have_run_on: Backend | None = None

    @property
    def migratable(self) -> bool:
        """Whether an established connection exists that nobody has asked to end yet."""
        return self.in_flight and self.established and self.answer_pending


def find_request(requests: dict[int, Request], request_id: int) -> Request:
    """Return the request of this id; raises ValueError where it is unknown."""
    request = requests.get(request_id)
    if request is None:
        raise ValueError(f"unknown request {request_id}")
    return request
