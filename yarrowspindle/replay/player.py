"""Feeds a recorded sequence to the daemon's wiring or to the library, and notes their choices and answers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

from yarrowspindle.library.placer import Placement, Placer
from yarrowspindle.replay.sequence import Header
from yarrowspindle.routing.effects import Close, Deny, Drop, Effect, Join, Move, Reach, Requeue
from yarrowspindle.routing.events import Event, JobArrived, ListTold, SubmitterLeft
from yarrowspindle.runtime import NoTimers
from yarrowspindle.telemetry.published_names import EFFECTS, ENDINGS

Choice = tuple[object, ...]


class RecordedClock:
    """The time that the sequence says it is."""

    def __init__(self, started: float) -> None:
        self.at = started

    def now(self) -> float:
        return self.at


@dataclass(slots=True)
class Played:
    """Choices in their order; for each job its final answers (up, refused, failed, left)."""

    choices: list[Choice] = field(default_factory=list)
    answers: dict[int, list[str]] = field(default_factory=dict)

    def effect(self, effect: Effect) -> None:
        choice = choice_of(effect)
        if choice is not None:
            self.choices.append(choice)
        if isinstance(effect, Join | Requeue | Deny):
            self.answers[effect.job].append(ANSWERS[type(effect)])

    def event(self, event: Event) -> None:
        if isinstance(event, JobArrived):
            self.answers[event.job] = []
        elif isinstance(event, SubmitterLeft) and self.answers.get(event.job) == []:
            self.answers[event.job].append("left")

    def counts(self) -> dict[str, int]:
        found: Counter[str] = Counter(a for answers in self.answers.values() for a in answers)
        found["second"] = sum(1 for answers in self.answers.values() if len(answers) > 1)
        found["none"] = sum(1 for answers in self.answers.values() if not answers)
        return dict(found)


ANSWERS = {Join: "up", Requeue: "refused", Deny: "failed"}


def choice_of(effect: Effect) -> Choice | None:
    """What the core chose, without what only concerns timers, the list or the log."""
    if isinstance(effect, Reach):
        return ("reach", effect.job, effect.attempt, effect.node, effect.within_ms)
    if isinstance(effect, Requeue):
        return ("requeue", effect.job, effect.after_ms)
    if isinstance(effect, Deny | Move | Join):
        return (EFFECTS[type(effect)].lower(), effect.job)
    if isinstance(effect, Drop):
        return ("drop", effect.job, effect.attempt)
    if isinstance(effect, Close):
        return ("close", effect.job, ENDINGS[effect.ending].upper())
    return None


def play_daemon(header: Header, events: Iterable[tuple[float, Event]]) -> Played:
    """The daemon's own wiring (`program/hub.py`), with its clock and timers taken from the sequence."""
    from yarrowspindle.daemon.config import Config
    from yarrowspindle.daemon.relay_service import Hub

    played, clock = Played(), RecordedClock(header.started)
    nowhere = ("127.0.0.1", 1)
    known = ListTold(kind=0)  # type: ignore[arg-type]  # not posted: the sequence has the lists
    hub = Hub(Config("replay", nowhere, nowhere, header.seed, header.settings, known), clock, timers=NoTimers(clock))
    hub.runtime.watch = lambda effect: None

    class Front:
        def carry_out(self, effect: Effect) -> None:
            played.effect(effect)

    front = Front()

    def tell(event: Event) -> None:
        if isinstance(event, JobArrived):
            number = hub.new_job(front)
            if number != event.job:
                raise ValueError(f"job {event.job} is out of order: {number} would be next")
        hub.post(event)

    return _feed(played, clock, events, tell)


def play_library(header: Header, events: Iterable[tuple[float, Event]]) -> Played:
    """The library's Placer, with its clock and timers taken from the sequence."""
    played, clock = Played(), RecordedClock(header.started)
    placer = Placer(header.settings, seed=header.seed, clock=clock, timers=NoTimers(clock))
    placer.jobs_most = 1 << 62
    asyncio.run(_open(placer))
    placer.runtime.late_at = inf  # stalls stand in the sequence
    placer.runtime.effect = played.effect

    def tell(event: Event) -> None:
        if isinstance(event, JobArrived):
            wanted = event.job
            placer.arrive(Placement(placer), event)
            if event.job != wanted:
                raise ValueError(f"job {wanted} is out of order: {event.job} would be next")
        elif isinstance(event, SubmitterLeft) and event.job in placer.placements:
            placer.placements[event.job].leave()
        else:
            placer.post(event)

    return _feed(played, clock, events, tell)


async def _open(placer: Placer) -> None:
    await placer.start()


def _feed(
    played: Played, clock: RecordedClock, events: Iterable[tuple[float, Event]], tell: Callable[[Event], None]
) -> Played:
    for now, event in events:
        clock.at = max(clock.at, now)
        played.event(event)
        tell(event)
    return played
