"""What this relay knows: own loads and counts by node, the load of each job, and how warm each node is by now.

Kept up with each event, so that a plan reads sums and never walks over all jobs. What the others hold is not known
and not needed: see `docs/design/rebalance.md`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from yarrowspindle.decisions.events import EndpointState

MAX_FLAPS = 6  # times that the settling time doubles
FLAPS_FORGOTTEN_MS = 600_000.0
MAX_BOOKS = 20_000  # above it, nodes that flapped are forgotten as well


class Listed(Protocol):
    """What a list says of a node."""

    name: str
    state: EndpointState


class EstablishedConnection:
    """One standing job."""

    __slots__ = ("request", "backend", "load", "key", "group", "since", "returned")

    def __init__(
        self, request: int, backend: BackendRecord, load: float, key: int, group: int, since: float, returned: bool
    ) -> None:
        self.request, self.backend, self.load, self.key, self.group = request, backend, load, key, group
        self.since, self.returned = since, returned


class BackendRecord:
    """One execute node."""

    __slots__ = (
        "name",
        "number",
        "capacity",
        "started",
        "state",
        "ready_at",
        "came_at",
        "flaps",
        "flapped_at",
        "load",
        "requests",
        "groups",
        "hot_since",
        "spoilt_until",
    )

    def __init__(self, name: str, number: int) -> None:
        self.name, self.number = name, number
        self.capacity, self.started = 1.0, 0.0
        self.state = EndpointState.GONE
        self.ready_at = 0.0  # since when it has been ready without a break
        self.came_at = -1.0  # when it came as a newcomer; below 0: it did not
        self.flaps, self.flapped_at = 0, 0.0
        self.load = 0.0
        self.requests: dict[int, EstablishedConnection] = {}  # oldest first
        self.groups: dict[int, set[int]] = {}
        self.hot_since = -1.0
        self.spoilt_until = -1.0  # it turned submitters away: no target for a while

    @property
    def filled(self) -> float:
        return self.load / self.capacity


class FleetView:
    def __init__(self, cold_ms: float, cold_share: float) -> None:
        self.cold_ms, self.cold_share = cold_ms, cold_share
        self.books: dict[str, BackendRecord] = {}
        self.numbers: dict[int, BackendRecord] = {}
        self.requests: dict[int, EstablishedConnection] = {}
        self.mean_load = 0.0
        self.listed = False  # a list has come: who is new in a later one is a newcomer

    # --- nodes ----------------------------------------------------------------------------------

    def backend(
        self, now: float, name: str, number: int, state: EndpointState, capacity: float, started: float
    ) -> None:
        book = self.books.get(name)
        new = book is None
        if book is None:
            book = self.books[name] = self.numbers[number] = BackendRecord(name, number)
        if state is EndpointState.READY and (book.state is not EndpointState.READY or started != book.started):
            book.ready_at, book.hot_since, book.spoilt_until = now, -1.0, -1.0
            if self.listed:
                book.came_at = now
            if not new:
                if now > book.flapped_at + FLAPS_FORGOTTEN_MS:
                    book.flaps = 0
                book.flaps = min(book.flaps + 1, MAX_FLAPS)
                book.flapped_at = now
        book.state, book.capacity, book.started = state, max(capacity, 1e-6), started

    def list_over(self, touched: Iterable[Listed]) -> None:
        """After each list, with the nodes that it spoke of or left out; what is gone and holds nothing is forgotten.

        A node that flapped is remembered for longer than its absence, within bounds."""
        self.listed = True
        for backend in touched:
            book = self.books.get(backend.name)
            if book is None or backend.state is not EndpointState.GONE:
                continue
            book.state = EndpointState.GONE
            if not book.requests and (not book.flaps or len(self.books) > MAX_BOOKS):
                del self.books[book.name], self.numbers[book.number]

    def ramp(self, now: float, book: BackendRecord) -> float:
        """The share of its capacity that a node has at the least by now."""
        if book.started <= 0.0 or now >= book.started + self.cold_ms:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * max(now - book.started, 0.0) / self.cold_ms

    def settled(self, now: float, book: BackendRecord, settle_ms: float) -> bool:
        """Ready, warm, and steady for long enough to be counted on; each flap doubles how long that is."""
        wait = settle_ms * 2.0 ** max(0, book.flaps - 1)
        return book.state is EndpointState.READY and self.ramp(now, book) >= 1.0 and now >= book.ready_at + wait

    # --- jobs -----------------------------------------------------------------------------------

    def opened(self, now: float, request: int, name: str, load: float, key: int, group: int, returned: bool) -> None:
        book = self.books.get(name)
        if book is None:  # adopted from a list that no longer names it
            return
        if load > 0.0:
            self.mean_load += (load - self.mean_load) * (0.05 if self.mean_load else 1.0)
        held = EstablishedConnection(request, book, load or self.mean_load or 1.0, key, group, now, returned)
        self.requests[request] = book.requests[request] = held
        book.load += held.load
        if group:
            book.groups.setdefault(group, set()).add(request)

    def load(self, request: int, load: float) -> None:
        held = self.requests.get(request)
        if held is not None and load > 0.0:
            self.mean_load += (load - self.mean_load) * (0.05 if self.mean_load else 1.0)
            held.backend.load += load - held.load
            held.load = load

    def over(self, request: int) -> EstablishedConnection | None:
        held = self.requests.pop(request, None)
        if held is None:
            return None
        book = held.backend
        del book.requests[request]
        book.load = book.load - held.load if book.requests else 0.0
        if held.group:
            members = book.groups[held.group]
            members.discard(request)
            if not members:
                del book.groups[held.group]
        return held
