"""Feeds a recorded sequence to the daemon's wiring or to the library, and notes their choices and answers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

from yarrowspindle.library.placer import Placement, Placer
from yarrowspindle.replay.sequence import Header
from yarrowspindle.routing.effects import (
    AbortAttempt,
    CloseClientConnection,
    Effect,
    FailRequest,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import ClientDisconnected, EndpointsUpdated, Event, RequestReceived
from yarrowspindle.runtime import NoTimers
from yarrowspindle.telemetry.published_names import EFFECTS, TERMINATION_REASONS

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
        if isinstance(effect, StartRelaying | RejectRequest | FailRequest):
            self.answers[effect.request].append(ANSWERS[type(effect)])

    def event(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            self.answers[event.request] = []
        elif isinstance(event, ClientDisconnected) and self.answers.get(event.request) == []:
            self.answers[event.request].append("left")

    def counts(self) -> dict[str, int]:
        found: Counter[str] = Counter(a for answers in self.answers.values() for a in answers)
        found["second"] = sum(1 for answers in self.answers.values() if len(answers) > 1)
        found["none"] = sum(1 for answers in self.answers.values() if not answers)
        return dict(found)


ANSWERS = {StartRelaying: "up", RejectRequest: "refused", FailRequest: "failed"}


def choice_of(effect: Effect) -> Choice | None:
    """What the core chose, without what only concerns timers, the list or the log."""
    if isinstance(effect, OpenBackendConnection):
        return ("reach", effect.request, effect.attempt, effect.backend, effect.timeout_ms)
    if isinstance(effect, RejectRequest):
        return ("requeue", effect.request, effect.retry_after_ms)
    if isinstance(effect, FailRequest | MigrateConnection | StartRelaying):
        return (EFFECTS[type(effect)].lower(), effect.request)
    if isinstance(effect, AbortAttempt):
        return ("drop", effect.request, effect.attempt)
    if isinstance(effect, CloseClientConnection):
        return ("close", effect.request, TERMINATION_REASONS[effect.reason].upper())
    return None


def play_daemon(header: Header, events: Iterable[tuple[float, Event]]) -> Played:
    """The daemon's own wiring (`program/hub.py`), with its clock and timers taken from the sequence."""
    from yarrowspindle.daemon.config import Config
    from yarrowspindle.daemon.relay_service import RelayService

    played, clock = Played(), RecordedClock(header.started)
    nowhere = ("127.0.0.1", 1)
    known = EndpointsUpdated(kind=0)  # type: ignore[arg-type]  # not posted: the sequence has the lists
    hub = RelayService(
        Config("replay", nowhere, nowhere, header.seed, header.settings, known), clock, timers=NoTimers(clock)
    )
    hub.runtime.watch = lambda effect: None

    class Front:
        def carry_out(self, effect: Effect) -> None:
            played.effect(effect)

    front = Front()

    def tell(event: Event) -> None:
        if isinstance(event, RequestReceived):
            number = hub.new_request(front)
            if number != event.request:
                raise ValueError(f"job {event.request} is out of order: {number} would be next")
        hub.post(event)

    return _feed(played, clock, events, tell)


def play_library(header: Header, events: Iterable[tuple[float, Event]]) -> Played:
    """The library's Placer, with its clock and timers taken from the sequence."""
    played, clock = Played(), RecordedClock(header.started)
    placer = Placer(header.settings, seed=header.seed, clock=clock, timers=NoTimers(clock))
    placer.requests_most = 1 << 62
    asyncio.run(_open(placer))
    placer.runtime.late_at = inf  # stalls stand in the sequence
    placer.runtime.effect = played.effect

    def tell(event: Event) -> None:
        if isinstance(event, RequestReceived):
            wanted = event.request
            placer.arrive(Placement(placer), event)
            if event.request != wanted:
                raise ValueError(f"job {wanted} is out of order: {event.request} would be next")
        elif isinstance(event, ClientDisconnected) and event.request in placer.placements:
            placer.placements[event.request].leave()
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
