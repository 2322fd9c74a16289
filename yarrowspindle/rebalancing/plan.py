"""Which imbalance is worth a move, and which jobs go in which order.

The level is own load over own capacity, over the nodes that take part. A node above it by more than the spread is a
source; only what lies above the level may leave, so a move never makes a source the lowest (no ping-pong). Sources
are served in the order of their excess. The plan never looks at more than `SCAN_MOST` jobs of a source.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import chain, islice
from math import sqrt

from yarrowspindle.rebalancing.fleet_view import BackendRecord, EstablishedConnection, FleetView
from yarrowspindle.rebalancing.migration_rate import MigrationRate
from yarrowspindle.rebalancing.settings import Order, RebalanceSettings

MAX_SCAN = 64
GAIN = 0.5  # of the excess and of the room, in one beat: see the design note on why this is stable
SIGMAS = 3.0  # beyond this many deviations an own load is no longer chance
HOT_MOVES = 1  # without a newcomer a beat moves no more than this


@dataclass(slots=True)
class Assessment:
    """What a look at the view shows. Loads as in the view; `level` and `imbalance` are loads over capacity."""

    taking_part: list[BackendRecord] = field(default_factory=list)
    level: float = 0.0
    imbalance: float = 0.0  # the greatest above the level
    excess: float = 0.0  # load above the level at the sources
    room: float = 0.0  # load below the level at the targets
    sources: list[BackendRecord] = field(default_factory=list)
    targets: list[BackendRecord] = field(default_factory=list)
    cause: str = ""  # "joined", "hot" or nothing


def assess(now: float, view: FleetView, settings: RebalanceSettings, drawn: Sequence[int]) -> Assessment:
    """`drawn`: numbers of the nodes that the module's ordinary draw may take; own loads compare among these only."""
    found = Assessment()
    settle = settings.settle_s * 1000.0
    books = (view.numbers.get(number) for number in drawn)
    found.taking_part = part = [b for b in books if b is not None and view.settled(now, b, settle)]
    capacity = sum(b.capacity for b in part)
    if len(part) < 2 or capacity <= 0.0:
        return found
    found.level = level = sum(b.load for b in part) / capacity
    top = level * (1.0 + settings.spread)
    found.imbalance = max(b.filled for b in part) - level
    mean = view.mean_load or 1.0
    newcomers = 0.0
    since = now - settings.newcomer_s * 1000.0
    for book in part:
        if book.filled < level and now >= book.spoilt_until:
            found.targets.append(book)
            found.room += (level - book.filled) * book.capacity
            # The list tells when a process started, also to a relay that has only just begun or was just switched on.
            if max(book.came_at, book.started + view.cold_ms if book.started else 0.0) > since:
                newcomers += (level * (1.0 - settings.spread) - book.filled) * book.capacity
        if book.filled > top:
            found.sources.append(book)
            found.excess += (book.filled - level) * book.capacity
        chance = SIGMAS * mean * sqrt(len(book.requests) + 1.0) / book.capacity
        hot = book.filled > level + max(settings.spread * level, chance)
        book.hot_since = (book.hot_since if book.hot_since >= 0.0 else now) if hot else -1.0
    if newcomers > max(0.0, mean * 0.5):
        found.cause = "joined"
        found.room = min(found.room, newcomers + settings.spread * level * sum(b.capacity for b in found.targets))
    else:
        found.sources = [b for b in found.sources if 0.0 <= b.hot_since <= now - settings.hot_s * 1000.0]
        found.excess = sum((b.filled - level) * b.capacity for b in found.sources)
        found.cause = "hot" if found.sources else ""
    return found


class Planner:
    """Draws up a beat's moves from the findings. `allowed(held)` names what holds a job back, or nothing."""

    def __init__(self) -> None:
        self.turn = 0
        self.waiting: list[int] = []  # members of a group that is on its way; moved before anything new

    def draw_up(
        self,
        now: float,
        view: FleetView,
        settings: RebalanceSettings,
        found: Assessment,
        pace: MigrationRate,
        allowed: Callable[[EstablishedConnection], str],
        held_back: Counter[str],
        sharers: float,
    ) -> list[EstablishedConnection]:
        if not found.cause or not found.sources or not found.targets:
            self.waiting.clear()
            return []
        mean = view.mean_load or 1.0
        budget = max(GAIN * min(found.excess, found.room), mean)  # at least one: small gaps close as well
        most = HOT_MOVES if found.cause == "hot" else 1 << 30
        sources = {book.name: book for book in found.sources}
        room = [(-(found.level - b.filled) * b.capacity, b.name) for b in found.targets]
        heapq.heapify(room)
        excess = {b.name: (b.filled - found.level) * b.capacity for b in found.sources}
        moves: list[EstablishedConnection] = []
        taken: set[int] = set()

        def go(held: EstablishedConnection) -> bool:
            """One move, if all three buckets have a token; room is booked at the emptiest target that has one."""
            name = held.backend.name
            source = pace.backend(now, "source", name, settings.source_moves_per_s, settings.beat_s)
            rate = settings.target_moves_per_s / sharers
            while room:
                target = room[0]
                goal = pace.backend(now, "target", target[1], rate, settings.beat_s)
                if goal.tokens >= 1.0 - 1e-9:
                    break
                heapq.heappop(room)  # it is given no more in this beat
            if not room or min(pace.all.tokens, source.tokens) < 1.0 - 1e-9:
                held_back["pace"] += 1
                return False
            for bucket in (pace.all, source, goal):
                bucket.take()
            heapq.heapreplace(room, (target[0] + held.load, target[1]))
            excess[name] -= held.load
            moves.append(held)
            taken.add(held.request)
            return True

        # The rest of a group follows it, if nothing has changed under it.
        waiting, self.waiting = self.waiting, []
        for number, request in enumerate(waiting):
            held = view.requests.get(request)
            if held is None or held.backend.name not in sources or allowed(held):
                continue
            if not go(held):
                self.waiting = waiting[number:]
                return moves
            budget -= held.load
        order = [(-excess[b.name] / b.capacity, b.name) for b in found.sources]
        heapq.heapify(order)
        while order and budget > 0.0 and len(moves) < most and room and room[0][0] < 0.0:
            _, name = heapq.heappop(order)
            book = sources[name]
            unit = self._unit(
                book, view, settings, min(excess[name], -room[0][0] + mean), mean, taken, allowed, held_back
            )
            if not unit:
                continue
            if not go(unit[0]):
                if not room or pace.all.tokens < 1.0 - 1e-9:
                    break
                continue
            budget -= sum(h.load for h in unit)
            for number, held in enumerate(unit[1:], 1):
                if len(moves) >= most or not go(held):
                    self.waiting += [h.request for h in unit[number:]]
                    break
            if self.waiting:
                break
            heapq.heappush(order, (-excess[name] / book.capacity, name))
        return moves

    def _unit(
        self,
        book: BackendRecord,
        view: FleetView,
        settings: RebalanceSettings,
        gap: float,
        mean: float,
        taken: set[int],
        allowed: Callable[[EstablishedConnection], str],
        held_back: Counter[str],
    ) -> list[EstablishedConnection]:
        """What goes next off this node: one job, or a whole group where groups are kept together."""
        self.turn += 1
        count = len(book.requests)
        if count <= MAX_SCAN:
            requests = list(book.requests.values())
        else:  # a window that goes round, so that no job is passed over for good
            first = self.turn * MAX_SCAN % count
            requests = list(
                islice(chain(islice(book.requests.values(), first, None), book.requests.values()), MAX_SCAN)
            )
        best: list[EstablishedConnection] = []
        best_load = 0.0
        seen: set[int] = set()
        together = settings.order is Order.GROUP
        for held in requests:
            unit = [held]
            if held.request in taken or held.group in seen and together:
                continue
            if together and held.group:
                seen.add(held.group)
                members = book.groups[held.group]
                if len(members) > MAX_SCAN:
                    held_back["group"] += 1
                    continue
                unit = [view.requests[j] for j in sorted(members)]
            load = sum(h.load for h in unit)
            if load > gap:  # it would only swap the imbalance
                held_back["group" if len(unit) > 1 else "giant"] += 1
                continue
            if load < settings.least_gain * mean * len(unit):
                held_back["light"] += 1
                continue
            why = next((w for h in unit if (w := allowed(h))), "") or (
                "taken" if taken & {h.request for h in unit} else ""
            )
            if why:
                held_back[why] += 1
                continue
            better = load < best_load if settings.order is Order.LIGHTEST else load > best_load
            if not best or better:
                best, best_load = unit, load
        return best
