"""Model of a client: it needs one connection for its lifetime, and reconnects if the connection ends earlier."""

from __future__ import annotations

from typing import Protocol


class ServingRelay(Protocol):
    """The relay that handles a client's request, with the operations of the client's side."""

    zone: int

    def has_request_of(self, client: Client) -> bool: ...
    def backend_zone(self, client: Client) -> int | None: ...
    def disconnect(self, client: Client) -> None: ...
    def complete(self, client: Client) -> None: ...
    def load_changed(self, client: Client, load: float) -> None: ...


class Client:
    """A client and the state of its current request.

    Args:
        key: placement key.
        group: number of its group, or 0.
        load: load of its connection in milliseconds of work per second; varies around `base_load`.
        ends_at: virtual time in milliseconds at which the client no longer needs a connection.
        class_index: index of its request class.
    """

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
        self.migration_pending = False  # its connection was migrated and is not established again yet
