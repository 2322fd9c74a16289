"""A submitter in the model: it wants one connection until its time is over, and comes again until then."""

from __future__ import annotations

from typing import Protocol


class ServingRelay(Protocol):
    """The relay at which a submitter stands, as far as the submitter's side knows it."""

    zone: int

    def has_request_of(self, client: Client) -> bool: ...
    def backend_zone(self, client: Client) -> int | None: ...
    def disconnect(self, client: Client) -> None: ...
    def complete(self, client: Client) -> None: ...
    def load_changed(self, client: Client, load: float) -> None: ...


class Client:
    __slots__ = (
        "key",
        "group",
        "load",
        "base_load",
        "ends_at",
        "relay",
        "request",
        "answer_count",
        "deadline",
        "returned",
        "established",
        "moves",
        "migration_pending",
        "finished",
        "attempts",
        "class_index",
    )

    def __init__(self, key: int, group: int, load: float, ends_at: float, class_index: int = 0) -> None:
        self.class_index = class_index
        self.key, self.group, self.load, self.base_load, self.ends_at = key, group, load, load, ends_at
        self.relay: ServingRelay | None = None
        self.request = self.answer_count = self.moves = self.attempts = 0
        self.deadline = 0.0
        self.returned = self.established = self.finished = False
        self.migration_pending = False  # it was moved and is not up again yet
