"""Replay a recorded sequence through the daemon's relay service or the library, and record choices and answers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.library.placement import Placement
from yarrowspindle.library.placer import Placer
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

UNUSED_ADDRESS = ("127.0.0.1", 1)
UNLIMITED_REQUESTS = 1 << 62


class RecordedClock:
    """A clock that shows the time of the event that is being replayed, in milliseconds."""

    def __init__(self, start_ms: float) -> None:
        self.time_ms = start_ms

    def now(self) -> float:
        """Return the recorded time in milliseconds."""
        return self.time_ms


@dataclass(slots=True)
class Played:
    """The result of a replay.

    Attributes:
        choices: The choices in their order.
        answers: The final answers of each request by its id: "up", "refused", "failed" or "left".
    """

    choices: list[Choice] = field(default_factory=list)
    answers: dict[int, list[str]] = field(default_factory=dict)

    def effect(self, effect: Effect) -> None:
        """Record an effect that the reducer emitted."""
        choice = choice_of(effect)
        if choice is not None:
            self.choices.append(choice)
        if isinstance(effect, StartRelaying | RejectRequest | FailRequest):
            self.answers[effect.request].append(ANSWER_NAMES[type(effect)])

    def event(self, event: Event) -> None:
        """Record an event if it is a new request or the disconnection of a client."""
        if isinstance(event, RequestReceived):
            self.answers[event.request] = []
        elif isinstance(event, ClientDisconnected) and self.answers.get(event.request) == []:
            self.answers[event.request].append("left")

    def counts(self) -> dict[str, int]:
        """Return the number of each answer, and the numbers of requests with more than one answer or none."""
        counts: Counter[str] = Counter(answer for answers in self.answers.values() for answer in answers)
        counts["second"] = sum(1 for answers in self.answers.values() if len(answers) > 1)
        counts["none"] = sum(1 for answers in self.answers.values() if not answers)
        return dict(counts)


ANSWER_NAMES = {StartRelaying: "up", RejectRequest: "refused", FailRequest: "failed"}


def choice_of(effect: Effect) -> Choice | None:
    """Return the choice that an effect expresses; None for an effect on timers, the endpoint list or the log."""
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
    """Replay a sequence through the daemon's relay service, with the clock and the timers of the sequence.

    Args:
        header: The header of the sequence.
        events: The events of the sequence, with their times in milliseconds.

    Raises:
        ValueError: The ids of the requests are not consecutive.
    """
    from yarrowspindle.daemon.config import Config
    from yarrowspindle.daemon.relay_service import RelayService

    played = Played()
    clock = RecordedClock(header.started)
    no_endpoints = EndpointsUpdated(ListKind.DELTA)  # not posted, as the sequence contains the lists
    config = Config("replay", UNUSED_ADDRESS, UNUSED_ADDRESS, header.seed, header.settings, no_endpoints)
    service = RelayService(config, clock, timers=NoTimers(clock))
    service.runtime.watch_endpoints = lambda effect: None
    front = _RecordingFront(played)

    def post(event: Event) -> None:
        if isinstance(event, RequestReceived):
            _check_id(event.request, service.new_request(front))
        service.post(event)

    return _play_events(played, clock, events, post)


class _RecordingFront:
    """A front that records the effects on requests instead of carrying them out."""

    def __init__(self, played: Played) -> None:
        self.played = played

    def carry_out(self, effect: Effect) -> None:
        self.played.effect(effect)


def play_library(header: Header, events: Iterable[tuple[float, Event]]) -> Played:
    """Replay a sequence through the library's Placer, with the clock and the timers of the sequence.

    Args:
        header: The header of the sequence.
        events: The events of the sequence, with their times in milliseconds.

    Raises:
        ValueError: The ids of the requests are not consecutive.
    """
    played = Played()
    clock = RecordedClock(header.started)
    placer = Placer(header.settings, seed=header.seed, clock=clock, timers=NoTimers(clock))
    placer.max_requests = UNLIMITED_REQUESTS
    asyncio.run(_start(placer))
    placer.runtime.stall_deadline = inf  # detects no stalls, as the sequence contains them
    placer.runtime.effect_observer = played.effect

    def post(event: Event) -> None:
        if isinstance(event, RequestReceived):
            recorded = event.request
            placer.arrive(Placement(placer), event)
            _check_id(recorded, event.request)
        elif isinstance(event, ClientDisconnected) and event.request in placer.placements:
            placer.placements[event.request].leave()
        else:
            placer.post(event)

    return _play_events(played, clock, events, post)


def _check_id(recorded_id: int, assigned_id: int) -> None:
    if assigned_id != recorded_id:
        raise ValueError(f"the sequence has request {recorded_id} where the next id is {assigned_id}")


async def _start(placer: Placer) -> None:
    await placer.start()


def _play_events(
    played: Played, clock: RecordedClock, events: Iterable[tuple[float, Event]], post: Callable[[Event], None]
) -> Played:
    for time_ms, event in events:
        clock.time_ms = max(clock.time_ms, time_ms)
        played.event(event)
        post(event)
    return played
