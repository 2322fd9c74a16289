"""A submitter in the model: it wants one connection until its time is over, and comes again until then."""

from __future__ import annotations

from typing import Protocol


class Door(Protocol):
    """The relay at which a submitter stands, as far as the submitter's side knows it."""

    zone: int

    def holds(self, client: Client) -> bool: ...
    def zone_of(self, client: Client) -> int | None: ...
    def leave(self, client: Client) -> None: ...
    def served_to_end(self, client: Client) -> None: ...
    def load_changed(self, client: Client, load: float) -> None: ...


class Client:
    __slots__ = (
        "key",
        "group",
        "load",
        "base",
        "ends",
        "relay",
        "request",
        "answers",
        "deadline",
        "returned",
        "up",
        "moves",
        "moved_open",
        "over",
        "tries",
        "cls",
    )

    def __init__(self, key: int, group: int, load: float, ends: float, cls: int = 0) -> None:
        self.cls = cls
        self.key, self.group, self.load, self.base, self.ends = key, group, load, load, ends
        self.relay: Door | None = None
        self.request = self.answers = self.moves = self.tries = 0
        self.deadline = 0.0
        self.returned = self.up = self.over = False
        self.moved_open = False  # it was moved and is not up again yet
