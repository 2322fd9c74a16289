"""How fast machines that are to be emptied lose their connections: one rate for all relays, no faster than the others
can bear. Pure; the reducer's part is to carry it out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from yarrowspindle.rebalancing.token_bucket import TokenBucket

BEAT_MS = 100.0
SLOWEST = 1.0 / 16.0


@dataclass(slots=True, frozen=True)
class MaintenancePlan:
    """What the agreement wants of this relay. off: machines where nothing is placed; None: all of them, since this
    process has not read the agreement yet. empty: those to be emptied, with the time for it in seconds (0: at once).
    back: those that are placed on again, cold. relays: how many share the rate; rate: moves a second of all."""

    off: frozenset[str] | None = None
    empty: Mapping[str, float] | None = None
    back: frozenset[str] = frozenset()
    relays: int = 1
    rate: float = 20.0


class BackendEvacuator:
    def __init__(self, now: float) -> None:
        self.bucket = TokenBucket(0.0, 1.0, now)
        self.until: dict[str, float] = {}  # by when each is empty, counted from when this relay was told
        self.part = 1.0  # of the rate; halves while jobs are refused
        self.refused = False

    def told(self, now: float, task: MaintenancePlan) -> None:
        wanted = task.empty or {}
        self.until = {m: self.until.get(m, now + 1000.0 * s) if s else now for m, s in wanted.items()}

    def beat(self, now: float, task: MaintenancePlan, requests: Mapping[str, Iterable[int]]) -> list[int]:
        """Jobs to be moved now: machines by deadline, jobs as they are given."""
        self.part = max(SLOWEST, self.part / 2.0) if self.refused else min(1.0, self.part + 0.05)
        self.refused = False
        rate = self.part * task.rate / max(task.relays, 1)
        self.bucket.fill(now, rate, max(1.0, rate * BEAT_MS / 1000.0))
        moved: list[int] = []
        for machine, until in sorted(self.until.items(), key=lambda item: item[1]):
            here = list(requests.get(machine, ()))
            # What the rate leaves over is spread over the last beats, not dropped on the others in one.
            beats = max(1, ceil((until - now) / BEAT_MS))
            must = len(here) if now >= until else len(here) // beats if beats <= 20 else 0
            for number, request in enumerate(here):
                if not self.bucket.take() and number >= must:
                    break
                moved.append(request)
        return moved
