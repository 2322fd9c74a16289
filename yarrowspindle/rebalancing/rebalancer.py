"""View, plan, pace and watch put together: the reducer's one address for rebalancing."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.rebalancing.effect_monitor import IN_VAIN, SPOILT_MS, EffectMonitor
from yarrowspindle.rebalancing.fleet_view import EstablishedConnection, FleetView
from yarrowspindle.rebalancing.migration_rate import MigrationRate, Moved
from yarrowspindle.rebalancing.plan import Assessment, Planner, assess
from yarrowspindle.rebalancing.settings import RebalanceSettings


class Rebalancer:
    """One relay's rebalancing. All times are milliseconds; loads are whatever the module counts in.

    `beat` names the jobs to be moved now. It is to be called every `beat_ms`; all else only keeps the books.
    """

    def __init__(
        self, settings: RebalanceSettings, seed: int, now: float, relays: int, cold_ms: float, cold_share: float
    ) -> None:
        self.settings, self.relays = settings, max(relays, 1)
        self.random = Random(seed ^ 0x5EED).random
        self.view = FleetView(cold_ms, cold_share)
        self.pace, self.planner, self.watch, self.moved = MigrationRate(now), Planner(), EffectMonitor(), Moved()
        self.found = Assessment()
        self.counts: Counter[str] = Counter()
        self.notes: list[str] = []
        self.stopped = False
        self.idle = "even"  # why nothing was moved at the last beat, apart from pauses

    def first_beat_ms(self) -> float:
        """Relays that were told of a node together must not plan together."""
        return self.settings.beat_s * 1000.0 * self.random()

    @property
    def beat_ms(self) -> float:
        return self.settings.beat_s * 1000.0

    def configure(self, settings: RebalanceSettings) -> None:
        self.settings = settings
        self.planner.waiting.clear()

    def stop(self) -> None:
        """A planned restart moves everybody in its own way; the plan ends at once."""
        self.stopped = True
        self.planner.waiting.clear()

    @property
    def level(self) -> float:
        """For the module: the load over capacity that returning submitters are placed with in mind; 0: none."""
        return self.found.level if not self.idle and not self.watch.paused else 0.0

    # --- what the reducer tells -----------------------------------------------------------------

    def arrived(self, now: float) -> None:
        self.watch.arrived.add(now)

    def refused(self, now: float) -> None:
        self.watch.refused.add(now)

    def opened(self, now: float, request: int, backend: str, load: float, key: int, group: int, returned: bool) -> None:
        self.view.opened(now, request, backend, load, key, group, returned)
        if returned:
            self.counts["returned"] += 1
            self.watch.came_back(now, backend)

    def attempt_failed(self, now: float, backend: str, returned: bool) -> None:
        if returned and self.watch.failed(backend):
            book = self.view.books.get(backend)
            if book is not None:
                book.spoilt_until = now + SPOILT_MS
                self.counts["spoilt"] += 1

    def over(self, now: float, request: int, broken: bool) -> None:
        if self.view.over(request) is not None and broken:
            self.watch.broken.add(now)

    # --- the beat -------------------------------------------------------------------------------

    def beat(self, now: float, drawn: Sequence[int], sharers: float = 0.0) -> list[int]:
        """drawn: numbers of the nodes that the module's ordinary draw may take. sharers: how many relays draw from each
        of them; all where it is left out."""
        settings, watch = self.settings, self.watch
        self.found = assess(now, self.view, settings, drawn)
        self.moved.forget(now, settings.submitter_window_s * 1000.0)
        self.idle = (
            "stopping" if self.stopped else "quiet" if settings.is_quiet(now) else "" if self.found.cause else "even"
        )
        standing = len(self.view.requests)
        mean = self.view.mean_load or 1.0
        why = watch.judge(now, standing, len(self.found.taking_part), self.found.excess, mean, settings)
        if why:
            if watch.pause(now, why, settings):
                self.counts[f"paused.{why}"] += 1
                if why in IN_VAIN:
                    self.pace.slower()
                self.notes.append(f"rebalancing pauses: {why}; {self._resumes(why)}")
            return []
        if watch.paused:
            self.notes.append(f"rebalancing goes on after a pause: {watch.resume()}")
        if self.idle:
            self.planner.waiting.clear()
            return []
        proof = watch.proof(now, settings)
        if proof is False:
            self.pace.slower()
        elif proof:
            watch.in_vain = 0
            self.pace.faster(settings.beat_s)
        rate = min(settings.moves_per_s, settings.share_per_s * standing)
        self.pace.begin(now, rate, settings.beat_s)
        held_back: Counter[str] = Counter()
        moves = self.planner.draw_up(
            now,
            self.view,
            settings,
            self.found,
            self.pace,
            lambda held: self._holds(now, held),
            held_back,
            sharers or self.relays,
        )
        for held in moves:
            self.moved.add(now, held.key or -held.request, settings.submitter_window_s * 1000.0)
            watch.moved.add(now)
            watch.effect_moves += 1.0
        self.counts[f"moves.{self.found.cause}"] += len(moves)
        for name, count in held_back.items():
            self.counts[f"held.{name}"] += count
        return [held.request for held in moves]

    def _resumes(self, why: str) -> str:
        if why not in IN_VAIN:
            return f"goes on after {self.settings.pause_s:g} s without more of them"
        rest = self.settings.pause_s * 2.0 ** (self.watch.in_vain - 1)
        return f"goes on after {rest:g} s, at {self.pace.factor:.2g} of the pace until moved submitters come back"

    def _holds(self, now: float, held: EstablishedConnection) -> str:
        """What keeps this job from being moved; nothing where it may go."""
        settings = self.settings
        window = settings.submitter_window_s * 1000.0
        if now < held.since + settings.dwell_s * 1000.0:
            return "dwell"
        if held.backend.state is not EndpointState.READY:
            return "draining"
        times = self.moved.count(now, held.key, window) if held.key else 0
        if held.returned and not times and now < held.since + window:
            return "submitter"  # others may have moved it as often as is allowed; they cannot say
        return "submitter" if times >= settings.moves_per_submitter else ""

    def take_notes(self) -> list[str]:
        notes, self.notes = self.notes, []
        return notes

    def gauges(self, now: float) -> dict[str, float]:
        level = self.found.level
        return {
            "imbalance": self.found.imbalance / level if level > 0.0 else 0.0,
            "level": level,
            "excess": self.found.excess,
            "room": self.found.room,
            "pace": self.pace.factor,
            "paused": float(bool(self.watch.paused)),
            "active": float(bool(self.found.cause)),
            "missing": self.watch.missing(now),
        }
