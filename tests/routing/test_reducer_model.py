"""Random steps of the network against a model of a job's states: what the reducer asks for must fit the model."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace
from itertools import count

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tests import helpers
from yarrowspindle.decisions.events import ListKind, State
from yarrowspindle.decisions.settings import RequestClass
from yarrowspindle.maintenance.evacuation import Task
from yarrowspindle.routing.effects import Ask, Close, Deny, Drop, Join, Move, Reach, Requeue, Unwake, Wake, Watch
from yarrowspindle.routing.events import (
    Answered,
    Asked,
    AttemptOver,
    Event,
    JobArrived,
    ListTold,
    LoadTold,
    Machine,
    NodeReached,
    NodeUp,
    OutOfTurn,
    Rejoin,
    Reloaded,
    Retune,
    Stop,
    SubmitterLeft,
    TurnsTold,
    Woke,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.termination import OUTCOMES, Ending
from yarrowspindle.telemetry import Telemetry

DEADLINE = 2000.0
NAMES = ("a", "b", "c")
FAILED = st.sampled_from((Ending.TURNED_AWAY, Ending.ERRED, Ending.NOT_UNDERSTOOD, Ending.UNREACHED, Ending.BROKEN))
ENDED = st.sampled_from((Ending.SERVED, Ending.SENT_AWAY, Ending.BROKEN, Ending.NODE_GONE, Ending.EXPIRED))


@dataclass
class Seen:
    """A job as its submitter and the nodes see it."""

    deadline: float
    attempts: int = 0
    out: str = ""  # the node that an attempt is out at
    asked: bool = False
    open: bool = False
    over: bool = False


class Relayed(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 99))
    def start(self, seed: int) -> None:
        self.now, self.numbers = 1000.0, count(1)
        self.reducer = Reducer(
            helpers.settings(
                classes=(RequestClass(800.0, DEADLINE, message_aim_ms=150.0),),
                max_attempts=3,
                retry_after=True,
                max_retry_after_ms=2000.0,
                asks=True,
            ),
            seed,
            self.now,
        )
        self.telemetry = Telemetry(self.reducer, str)
        self.jobs: dict[int, Seen] = {}
        self.states = dict.fromkeys(NAMES, State.READY)
        self.off: frozenset[str] = frozenset()
        self.timers: list[tuple[float, int, object]] = []
        self.dead: set[object] = set()
        self.tell(ListTold(ListKind.CACHED, [Machine(n, ("127.0.0.1", 1)) for n in NAMES]))

    # --- the world's side -----------------------------------------------------------------------

    def pick(self, draw: int, **wanted: bool) -> int | None:
        fits = [
            n
            for n, j in self.jobs.items()
            if all(bool(getattr(j, k)) == v for k, v in (wanted | {"over": False}).items())
        ]
        return fits[draw % len(fits)] if fits else None

    @rule(left=st.sampled_from((DEADLINE, 300.0, 1.0)), at=st.sampled_from(("", "", "", "b", "nobody")))
    def arrive(self, left: float, at: str) -> None:
        number = next(self.numbers)
        self.jobs[number] = Seen(self.now + (38_000.0 if at else left))
        self.tell(JobArrived(number, left, at=at))

    @rule(draw=st.integers(0, 9))
    def reached(self, draw: int) -> None:
        number = self.pick(draw, out=True, asked=False, open=False)
        if number:
            self.tell(NodeReached(number, self.jobs[number].attempts - 1))

    @rule(draw=st.integers(0, 9))
    def up(self, draw: int) -> None:
        number = self.pick(draw, asked=True, open=False)
        if number:
            self.tell(NodeUp(number, self.jobs[number].attempts - 1))
            assert self.jobs[number].open

    @rule(draw=st.integers(0, 9), ending=FAILED)
    def fails(self, draw: int, ending: Ending) -> None:
        number = self.pick(draw, out=True, open=False)
        if number:
            job = self.jobs[number]
            job.out, job.asked = "", False
            self.tell(AttemptOver(number, job.attempts - 1, ending))

    @rule(draw=st.integers(0, 9), ending=ENDED)
    def ends(self, draw: int, ending: Ending) -> None:
        number = self.pick(draw, open=True)
        if number:
            self.tell(AttemptOver(number, self.jobs[number].attempts - 1, ending))
            assert self.jobs[number].over

    @rule(draw=st.integers(0, 9))
    def leave(self, draw: int) -> None:
        number = self.pick(draw)
        if number:
            job = self.jobs[number]
            was_out, job.over = job.out, True
            self.tell(SubmitterLeft(number))
            assert not (was_out and job.out), "the node's side is given up"

    @rule(draw=st.integers(0, 9))
    def out_of_turn(self, draw: int) -> None:
        number = self.pick(draw, open=False)
        if number:
            self.tell(OutOfTurn(number))
            assert self.jobs[number].over, "it is denied, and nothing is left out"

    @rule(left=st.sampled_from((DEADLINE, 90_000.0)), ref=st.sampled_from("abc"), at=st.sampled_from(("", "b")))
    def named(self, left: float, ref: str, at: str) -> None:
        """A submitter that uses an open job's name, would wait without end, or picks its node in mid-run is denied."""
        number = next(self.numbers)
        taken = ref in self.reducer.refs
        self.jobs[number] = Seen(self.now + (38_000.0 if at else left))
        begun = self.reducer.begun
        self.tell(JobArrived(number, left, at=at, ref=ref))
        if taken or left > DEADLINE and not at or at and begun:
            assert self.jobs[number].over and self.jobs[number].attempts == 0 and (ref in self.reducer.refs) == taken

    @rule(port=st.integers(1, 2))
    def reload(self, port: int) -> None:
        before = self.reducer.list_at
        effects = self.reducer.step(self.now, Reloaded(("127.0.0.1", port)))
        assert effects == ([] if before == ("127.0.0.1", port) else [Watch(0, ("127.0.0.1", port))])

    @rule(draw=st.integers(0, 9), load=st.floats(0.0, 900.0), answered=st.booleans())
    def talk(self, draw: int, load: float, answered: bool) -> None:
        number = self.pick(draw, open=True)
        if number:
            self.tell(LoadTold(number, load))
            self.tell(Asked(number))
            if answered and not self.jobs[number].over:
                self.tell(Answered(number))

    @rule(job=st.integers(0, 30), attempt=st.integers(0, 3), ending=FAILED)
    def stale(self, job: int, attempt: int, ending: Ending) -> None:
        """Word on what is over, or never was, changes nothing."""
        seen = self.jobs.get(job)
        if seen is None or seen.over or attempt != seen.attempts - 1:
            assert self.reducer.step(self.now, AttemptOver(job, attempt, ending)) == []
            assert self.reducer.step(self.now, NodeUp(job, attempt)) == []

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(list(State)))
    def list_changes(self, name: str, state: State) -> None:
        self.states[name] = state
        self.tell(ListTold(ListKind.DELTA, [Machine(name, ("127.0.0.1", 1), state)]))
        for job in self.jobs.values():
            assert (
                job.over
                or job.asked
                or job.open
                or not job.out
                or self.states[job.out] is State.READY
                or (job.deadline > DEADLINE + 10_000.0)
            ), "nothing unsent stays on its way to a node that is not ready"

    @rule(off=st.frozensets(st.sampled_from(NAMES)), unread=st.booleans(), deadline=st.sampled_from((0.0, 5.0)))
    def turns(self, off: frozenset[str], unread: bool, deadline: float) -> None:
        """Machines are out for work, or this process does not know which: nothing is placed there."""
        back = self.off - off
        self.off = frozenset(NAMES) if unread else off
        self.tell(TurnsTold(Task(None if unread else off, dict.fromkeys(off, deadline), back)))
        for job in self.jobs.values():
            assert job.over or job.asked or job.open or job.out not in self.off or job.deadline > DEADLINE + 10_000.0

    @rule(passed=st.sampled_from((1.0, 50.0, 700.0, 3000.0)))
    def time_passes(self, passed: float) -> None:
        goal = self.now + passed
        while self.timers and self.timers[0][0] <= goal:
            self.now, order, what = heapq.heappop(self.timers)
            if (order, what) not in self.dead:
                self.tell(Woke(what))
        self.now = goal

    @precondition(lambda self: not self.reducer.stop_at)
    @rule()
    def stop(self) -> None:
        self.tell(Stop(2800.0))

    @precondition(lambda self: not self.reducer.stop_at)
    @rule()
    def evacuate(self) -> None:
        self.tell(Stop(2500.0, exits=False))

    @rule()
    def rejoin(self) -> None:
        if not self.reducer.exits:
            self.tell(Rejoin())

    @rule(attempts=st.integers(1, 3), deadline=st.sampled_from((DEADLINE, 900.0)))
    def retune(self, attempts: int, deadline: float) -> None:
        settings = self.reducer.settings
        classes = (*settings.classes, RequestClass(800.0, deadline, message_aim_ms=150.0))[:4]  # numbers stay
        self.tell(Retune(replace(settings, classes=classes, max_attempts=attempts)))

    # --- the relay's side -----------------------------------------------------------------------

    def tell(self, event: Event) -> None:
        self.telemetry.event(event)
        for effect in self.reducer.step(self.now, event):
            self.telemetry.effect(effect)
            if isinstance(effect, Wake):
                heapq.heappush(self.timers, (self.now + effect.delay_ms, next(self.numbers), effect.what))
            elif isinstance(effect, Unwake):
                self.dead |= {(order, what) for _, order, what in self.timers if what == effect.what}
            elif isinstance(effect, Reach | Ask | Drop | Join | Requeue | Deny | Move | Close):
                self.check(effect)

    def check(self, effect: Reach | Ask | Drop | Join | Requeue | Deny | Move | Close) -> None:
        job = self.jobs[effect.job]
        if isinstance(effect, Drop):
            assert job.out and effect.attempt == job.attempts - 1
            job.out, job.asked = "", False
            return
        assert not job.over, "nothing follows the end of a job"
        if isinstance(effect, Reach):
            assert not job.out and self.now < job.deadline and effect.node not in self.off
            assert self.states[effect.node] is State.READY or effect.attempt == 0 and job.deadline > self.now + 3000.0
            assert effect.attempt >= job.attempts or effect.attempt == 0 and job.attempts == 1
            job.out, job.asked, job.attempts = effect.node, False, effect.attempt + 1
        elif isinstance(effect, Ask):
            assert job.out and not job.asked and effect.left_ms > 0.0
            job.asked = True
        elif isinstance(effect, Join):
            assert job.asked and not job.open
            job.open = True
        elif isinstance(effect, Requeue | Deny):
            assert not job.open and not job.out, "one answer, and none while an attempt is out"
            job.over = True
        else:
            assert job.open
            job.over, job.out = True, ""

    @invariant()
    def kept(self) -> None:
        if not hasattr(self, "jobs"):
            return
        for number, job in self.jobs.items():
            assert (number in self.reducer.jobs) != job.over
            assert job.over or job.open or self.now <= job.deadline
        held = {j.id for n in self.reducer.nodes.values() for j in map(self.reducer.jobs.__getitem__, n.jobs)}
        assert held == {n for n, j in self.jobs.items() if j.out and not j.over}
        counts = self.telemetry.counts
        answered = sum(counts[f"{figure}.0"] for figure in ("success", "busy", "failure", "abandoned"))
        assert counts["taken.0"] == answered + len(self.telemetry.waiting), "the figures add up"
        assert set(self.telemetry.waiting) <= set(self.reducer.jobs), "who waits is a job"
        assert self.telemetry.figures()["inflight"] == len([j for j in self.jobs.values() if not j.over])
        if self.reducer.stop_at and self.reducer.exits and self.now > self.reducer.stop_at + 100.0:
            assert all(j.over for n, j in self.jobs.items() if j.deadline <= self.reducer.stop_at)


Relayed.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
TestRelayed = Relayed.TestCase


def test_every_ending_has_its_outcome() -> None:
    assert set(OUTCOMES) == set(Ending)
