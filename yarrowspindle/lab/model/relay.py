"""A relay in the model: the real reducer, its effects carried out on model nodes and submitters."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from yarrowspindle.decisions.events import State
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.lab.model.backend import ModelNode
from yarrowspindle.lab.model.client import Submitter
from yarrowspindle.lab.model.clock import Timer, VirtualClock
from yarrowspindle.lab.model.rules import Rules
from yarrowspindle.routing.effects import Ask, Close, Deny, Drop, Effect, Join, Move, Probe, Reach, Requeue
from yarrowspindle.routing.events import (
    Asked,
    AttemptOver,
    Event,
    FigureTold,
    JobArrived,
    ListTold,
    LoadTold,
    Machine,
    NodeReached,
    NodeUp,
    ProbeOver,
    SubmitterLeft,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.termination import Ending
from yarrowspindle.runtime import Runtime, Timers

GRACE_SLACK_MS = 50.0  # the rules allow it beyond the drain's grace


class World(Protocol):
    """What a relay meets: nodes, the time and the network between, and submitters that come and go."""

    clock: VirtualClock
    rules: Rules
    nodes: dict[str, ModelNode]
    counts: Counter[str]
    unit_load: float

    @property
    def hints(self) -> bool: ...
    @property
    def tells_load(self) -> bool: ...
    @property
    def drain_grace_ms(self) -> float: ...
    @property
    def answer_slack_ms(self) -> float: ...
    def latency(self) -> float: ...
    def usual_load(self, cls: int) -> float: ...
    def worth_of(self, cls: int) -> float: ...
    def node_died(self, node: ModelNode) -> None: ...
    def submitter_up(self, submitter: Submitter) -> None: ...
    def submitter_refused(self, submitter: Submitter, after_ms: float) -> None: ...
    def submitter_moved(self, submitter: Submitter, node: ModelNode | None) -> None: ...
    def submitter_closed(self, submitter: Submitter, ending: Ending) -> None: ...


class Attempt:
    __slots__ = ("job", "number", "node", "sent", "up")

    def __init__(self, job: int, number: int, node: ModelNode | None) -> None:
        self.job, self.number, self.node = job, number, node
        self.sent = self.up = False


class VirtualTimers(Timers):
    """Timers on the fleet's clock."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__(clock)
        self.virtual = clock
        self.named: dict[object, Timer] = {}

    def set(self, delay_ms: float, what: object) -> None:
        self.cancel(what)
        self.named[what] = self.virtual.after(delay_ms, self._virtual_due, what)

    def cancel(self, what: object) -> None:
        timer = self.named.pop(what, None)
        if timer is not None:
            timer.cancel()

    def _virtual_due(self, what: object) -> None:
        self.named.pop(what, None)
        self.due(what)

    def clear(self) -> None:
        for what in list(self.named):
            self.cancel(what)


class ModelRelay:
    def __init__(self, fleet: World, index: int, settings: Settings, seed: int) -> None:
        self.fleet, self.index, self.clock = fleet, index, fleet.clock
        self.runtime = Runtime(
            Reducer(settings, seed, fleet.clock.now()), fleet.clock, self._log, VirtualTimers(fleet.clock)
        )
        self.reducer = self.runtime.reducer
        self.runtime.probe = self._probe
        self.zone = settings.zone
        self.submitters: dict[int, Submitter] = {}
        self.attempts: dict[int, Attempt] = {}
        self.stopped_nodes: dict[str, float] = {}  # told draining or gone: since when
        self.alive = True
        self.log: list[tuple[float, str]] = []
        self.effects: dict[type, Callable[[Any], None]] = {
            Reach: self._reach,
            Ask: self._ask,
            Drop: self._drop,
            Join: self._join,
            Requeue: self._requeue,
            Deny: self._deny,
            Move: self._move,
            Close: self._close,
        }

    def post(self, event: Event) -> None:
        if self.alive:
            self.runtime.post(event)

    def _log(self, level: str, text: str) -> None:
        if level == "error":
            raise  # noqa: PLE0704 - called while an exception is handled: a model run must not go on after one
        self.log.append((self.clock.seconds, text))

    def carry_out(self, effect: Effect) -> None:
        handler = self.effects.get(type(effect))
        if handler is not None:
            handler(effect)

    def die(self) -> None:
        """Killed: its connections break on both sides."""
        self.alive = False
        self.runtime.close()
        for attempt in list(self.attempts.values()):
            self._release(attempt)
        submitters, self.submitters = list(self.submitters.values()), {}
        for submitter in submitters:
            self.fleet.submitter_closed(submitter, Ending.BROKEN)

    # --- the list -------------------------------------------------------------------------------

    def list_told(self, told: ListTold) -> None:
        for machine in told.machines:
            if machine.state is State.READY:
                self.stopped_nodes.pop(machine.name, None)
            else:
                self.stopped_nodes.setdefault(machine.name, self.clock.now())
        self.post(told)

    # --- submitters -----------------------------------------------------------------------------

    def arrive(self, submitter: Submitter, deadline_ms: float) -> None:
        job = submitter.job = self.runtime.new_job(self)
        submitter.relay, submitter.answers = self, 0
        self.submitters[job] = submitter
        load = submitter.load if self.fleet.hints else 0.0
        self.post(
            JobArrived(
                job,
                deadline_ms,
                submitter.cls,
                key=submitter.key,
                group=submitter.group,
                load=load,
                returned=submitter.returned,
            )
        )

    def holds(self, submitter: Submitter) -> bool:
        return self.submitters.get(submitter.job) is submitter

    def zone_of(self, submitter: Submitter) -> int | None:
        """The zone of the node at which it stands."""
        attempt = self.attempts.get(submitter.job)
        return attempt.node.zone if attempt is not None and attempt.node is not None else None

    def leave(self, submitter: Submitter) -> None:
        self.submitters.pop(submitter.job, None)
        self.post(SubmitterLeft(submitter.job))

    def served_to_end(self, submitter: Submitter) -> None:
        attempt = self.attempts.get(submitter.job)
        if attempt is not None:
            self._release(attempt)
            self.post(AttemptOver(attempt.job, attempt.number, Ending.SERVED))

    def load_changed(self, submitter: Submitter, load: float) -> None:
        attempt = self.attempts.get(submitter.job)
        if attempt is not None and attempt.up and attempt.node is not None:
            attempt.node.change((self.index, attempt.job), load)
            if self.fleet.tells_load:
                self.post(LoadTold(attempt.job, load))

    # --- nodes ----------------------------------------------------------------------------------

    def _reach(self, effect: Reach) -> None:
        if effect.job in self.attempts:
            self.fleet.rules.note("one attempt out", self.clock.seconds, f"job {effect.job} at relay {self.index}")
        attempt = self.attempts[effect.job] = Attempt(effect.job, effect.attempt, self.fleet.nodes.get(effect.node))
        if attempt.node is not None and attempt.node.silent:
            self.clock.after(effect.within_ms, self._unreached, attempt)
        else:
            self.clock.after(self.fleet.latency(), self._reached, attempt)

    def _unreached(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.job) is attempt and not attempt.sent:
            del self.attempts[attempt.job]
            self.post(AttemptOver(attempt.job, attempt.number, Ending.UNREACHED))

    def _reached(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.job) is not attempt:
            return
        if attempt.node is None or not attempt.node.alive:
            self._unreached(attempt)
        else:
            self.post(NodeReached(attempt.job, attempt.number))

    def _ask(self, effect: Ask) -> None:
        attempt = self.attempts[effect.job]
        node = attempt.node
        assert node is not None
        attempt.sent = True
        told = self.stopped_nodes.get(node.name)
        if told is not None and self.clock.now() > told + self.fleet.drain_grace_ms + GRACE_SLACK_MS:
            self.fleet.rules.note("drain", self.clock.seconds, f"{node.name} was sent job {effect.job}")
        submitter = self.submitters[effect.job]
        now = self.clock.now()
        worth, usual = self.fleet.worth_of(submitter.cls), self.fleet.usual_load(submitter.cls)
        if not node.take(now, (self.index, effect.job), submitter.load, submitter.group, worth, usual):
            self.clock.after(self.fleet.latency(), self._turned_away, attempt)
            if node.fallen:
                self.fleet.node_died(node)
            return
        self.clock.after(node.set_up_time(now) + self.fleet.latency(), self._node_up, attempt)

    def _turned_away(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.job) is attempt:
            del self.attempts[attempt.job]
            self.post(AttemptOver(attempt.job, attempt.number, Ending.TURNED_AWAY))

    def _node_up(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.job) is attempt and attempt.node is not None and attempt.node.answers:
            attempt.up = True
            self.post(NodeUp(attempt.job, attempt.number))

    def node_died(self, node: ModelNode) -> None:
        for attempt in [a for a in self.attempts.values() if a.node is node and a.sent]:
            del self.attempts[attempt.job]
            self.post(AttemptOver(attempt.job, attempt.number, Ending.BROKEN))

    # --- what nodes tell ------------------------------------------------------------------------

    def _probe(self, effect: Probe) -> None:
        node = self.fleet.nodes[effect.node]
        self.fleet.counts["probes"] += 1
        ending = Ending.SILENT if node.silent else Ending.SERVED if node.alive else Ending.UNREACHED
        wait = effect.within_ms if node.silent else self.fleet.latency()
        self.clock.after(wait, self.post, ProbeOver(effect.node, ending, wait, () if node.silent else node.reported))

    def standing_at(self, node: ModelNode) -> list[Attempt]:
        return [a for a in self.attempts.values() if a.node is node and a.up]

    def noted(self, node: ModelNode, message_ms: float) -> None:
        """The node tells it on one connection of each relay."""
        for attempt in self.standing_at(node)[:1]:
            self.post(FigureTold(attempt.job, message_ms))

    def unanswered(self, node: ModelNode) -> None:
        """Each submitter that stands there sends a line, and none comes back."""
        for attempt in self.standing_at(node):
            if attempt.job in self.attempts:
                self.post(Asked(attempt.job))

    def _release(self, attempt: Attempt) -> None:
        self.attempts.pop(attempt.job, None)
        if attempt.node is not None:
            attempt.node.release((self.index, attempt.job))

    def _drop(self, effect: Drop) -> None:
        attempt = self.attempts.get(effect.job)
        if attempt is not None:
            self._release(attempt)

    # --- answers --------------------------------------------------------------------------------

    def _answered(self, job: int, what: str) -> Submitter | None:
        """Each job has one final answer; the submitter may have left before it."""
        submitter = self.submitters.get(job)
        if submitter is not None:
            submitter.answers += 1
            if submitter.answers > 1:
                self.fleet.rules.note("one final answer", self.clock.seconds, f"job {job} got {what}")
            if self.clock.now() > submitter.deadline + self.fleet.answer_slack_ms:
                self.fleet.rules.note("in time", self.clock.seconds, f"job {job} got {what}")
        return submitter

    def _join(self, effect: Join) -> None:
        submitter = self._answered(effect.job, "UP")
        if submitter is not None:
            self.fleet.submitter_up(submitter)

    def _requeue(self, effect: Requeue) -> None:
        submitter = self._answered(effect.job, "BUSY")
        self.submitters.pop(effect.job, None)
        if submitter is not None:
            self.fleet.submitter_refused(submitter, effect.after_ms)

    def _deny(self, effect: Deny) -> None:
        submitter = self._answered(effect.job, "ERR")
        self.submitters.pop(effect.job, None)
        if submitter is not None:
            self.fleet.submitter_refused(submitter, 0.0)

    def _move(self, effect: Move) -> None:
        submitter, attempt = self.submitters.pop(effect.job, None), self.attempts.get(effect.job)
        if attempt is None or submitter is None:
            self.fleet.rules.note("moves only what stands", self.clock.seconds, f"job {effect.job}")
            return
        node = attempt.node
        self._release(attempt)
        self.fleet.submitter_moved(submitter, node)

    def _close(self, effect: Close) -> None:
        submitter, attempt = self.submitters.pop(effect.job, None), self.attempts.get(effect.job)
        if attempt is not None:
            self._release(attempt)
        if submitter is not None:
            self.fleet.submitter_closed(submitter, effect.ending)


def machine(node: ModelNode, index: int, state: State, weight: float = 0.0) -> Machine:
    return Machine(node.name, ("model", index), state, node.zone, 0, 0, weight or node.size, node.started)
