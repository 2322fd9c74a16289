"""The one place where state changes: (state, event) -> effects. The module's Balancer sits inside.

Kept here, whatever the module or the network does: exactly one final answer for each job, one attempt out
at a time, numbered as the module counts, and no send to a node that was told draining or gone.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from math import ceil
from typing import TYPE_CHECKING, Any

from yarrowspindle.decisions import actions
from yarrowspindle.decisions import events as balancer_events
from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import ListKind, ServerEntry, State
from yarrowspindle.decisions.rejection import Refusal
from yarrowspindle.decisions.request_gate import EARLY_MS
from yarrowspindle.decisions.settings import Settings
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.effects import (
    Ask,
    Close,
    Deny,
    Drop,
    Effect,
    Join,
    Move,
    NodeGone,
    Note,
    Probe,
    Reach,
    Requeue,
    Unprobe,
    Unwake,
    Wake,
    Watch,
)
from yarrowspindle.routing.events import (
    Answered,
    Asked,
    AttemptOver,
    ClockStepped,
    Event,
    FigureTold,
    JobArrived,
    ListTold,
    LoadTold,
    NodeReached,
    NodeUp,
    OthersTold,
    OutOfTurn,
    ProbeOver,
    Rebalance,
    Rejoin,
    Reloaded,
    Retune,
    Stalled,
    StepFailed,
    Stop,
    SubmitterLeft,
    TurnsTold,
    Woke,
)
from yarrowspindle.routing.load_reports import Kind
from yarrowspindle.routing.start_times import StartTimes
from yarrowspindle.routing.state import Job, Node, Phase
from yarrowspindle.routing.termination import OUTCOMES, Ending

if TYPE_CHECKING:
    from yarrowspindle.maintenance.evacuation import Emptying, Task
    from yarrowspindle.rebalancing import Rebalancer

PULSE, STOPPING, PLAN, LIST, EMPTY = "pulse", "stopping", "plan", "list", "empty"  # the reducer's own beats
PULSE_MS = 250.0
# Where lists are pushed, what the agent on this machine has counts as told at once, also on a watch that has fallen
# silent: the watch is renewed so that such word still comes within the drain's grace. The agent's answers cost nothing.
RENEW_PART, RENEW_LEAST_MS = 0.5, 250.0
SILENT_MS = 2500.0  # a standing connection whose lines go unanswered this long is moved (the rule says 7 s)
MUTE_MS = 1000.0  # an attempt at a node with such a connection, and with no word on any other, is given up
TELL_MS = 1000.0  # message times are told once a second for each node
PINNED_MS = 38_000.0  # connections from before the run have 40 s to come up
PINNED_AGAIN_MS = 400.0
STOP_BEAT_MS = 50.0
NAMED_MOST = 8  # nodes in one line of the log
PROBE_MS = 500.0  # an execute node that pauses for a quarter of a second answers within this, a lost one never
# Nobody is moved sooner after SIGTERM: the front still sends new connections here for 0.4 s, and in a rolling restart
# the relay before this one is up again only after 1.7 s (measured); who is moved before that finds no door.
STOP_QUIET_MS = 1500.0


def node_number(name: str) -> int:
    """The module's number for a node: the same at every relay, whatever the order of the list."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


class Reducer:
    def __init__(self, settings: Settings, seed: int, now: float, list_at: Address | None = None) -> None:
        self.settings, self.now, self.list_at = settings, now, list_at
        self.balancer = Balancer(settings, seed, now)
        self.jobs: dict[int, Job] = {}
        self.refs: set[str] = set()  # submitters' names of the jobs that are not over
        self.begun = False  # a job has come that was not open before the run
        self.nodes: dict[str, Node] = {}
        self.numbers: dict[int, Node] = {}
        self.version = 0
        self.starts = StartTimes()
        self.stalled_at = 0.0  # until when this process stood still of late
        self.stop_at = 0.0  # when all must be over; 0: no stop
        self.exits = True  # whether the process ends after the stop, or outlives it (a drain)
        self.rebalance: Rebalancer | None = None
        self.level = 0.0  # as the module was told
        self.task: Task | None = None  # what the relays agreed on; None: they agree on nothing
        self.emptying: Emptying | None = None
        self.effects: list[Effect] = [Wake(PULSE_MS, PULSE)]
        self.handlers: dict[type, Callable[[Any], None]] = {
            JobArrived: self._arrived,
            SubmitterLeft: self._left,
            OutOfTurn: self._out_of_turn,
            NodeReached: self._reached,
            NodeUp: self._up,
            Reloaded: self._reloaded,
            AttemptOver: self._over,
            LoadTold: self._load,
            FigureTold: self._figure,
            Asked: self._asked,
            Answered: self._answered,
            ListTold: self._list,
            Woke: self._woke,
            Stop: self._stop,
            Rebalance: self._configure,
            Stalled: self._stalled,
            Rejoin: self._rejoin,
            Retune: self._retune,
            ProbeOver: self._probe_over,
            StepFailed: self._step_failed,
            ClockStepped: lambda event: self.starts.stepped(),
            OthersTold: lambda event: self._tell(event.others),
            TurnsTold: self._turns_told,
        }

    def step(self, now: float, event: Event) -> list[Effect]:
        self.now = max(self.now, now)
        self.handlers[type(event)](event)
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        return effects

    # --- the module's side ----------------------------------------------------------------------

    def _tell(self, event: balancer_events.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self._act(action)

    def _act(self, action: actions.Action) -> None:
        if isinstance(action, actions.Send):
            self._send(self.jobs[action.request], self.numbers.get(action.server), action)
        elif isinstance(action, actions.Refuse):
            self._answer(action.request, Requeue(action.request, action.retry_after_ms, action.why))
        elif isinstance(action, actions.Fail):
            self._answer(action.request, Deny(action.request, action.why))
        elif isinstance(action, actions.Move):
            self._move(self.jobs.get(action.request))
        elif isinstance(action, actions.SetTimer):
            self.effects.append(Wake(action.delay_ms, action.token))
        elif isinstance(action, actions.Probe):
            self._probe(self.numbers.get(action.server))
        elif isinstance(action, actions.Subscribe):
            self.effects.append(Watch(self.version, self.list_at))
        elif isinstance(action, actions.Log):
            self.effects.append(Note(action.text))
        # A Cancel needs nothing more: it only comes for a job whose submitter left, and _left ends the attempt.

    def _probe(self, node: Node | None) -> None:
        if node is not None and not gate.may_use(node.state):  # of any other the module knows enough
            self.effects.append(Probe(node.name, node.address, PROBE_MS))

    def _probe_over(self, event: ProbeOver) -> None:
        node = self.nodes.get(event.node)
        if node is not None:
            self._tell(balancer_events.Probed(node.number, OUTCOMES[event.ending], event.took_ms, event.report))

    def _send(self, job: Job, node: Node | None, send: actions.Send) -> None:
        if refused := gate.may_answer(waiting=job.phase is not Phase.OVER, out=job.phase is not Phase.HELD):
            raise ValueError(f"job {job.id} is {job.phase.name}: {refused.value}")
        job.attempt += 1
        left = job.deadline - self.now
        if send.timeout_ms > 0.0:
            left = min(left, send.timeout_ms)
        job.begin_by = self.now + send.begin_ms
        if node is None or gate.may_begin(node.state, left):
            number = node.number if node else 0
            self._tell(balancer_events.AttemptEnded(job.id, job.attempt, number, OUTCOMES[Ending.NEVER_SENT], False))
            return
        self._reach(job, node, left)

    def _reach(self, job: Job, node: Node, left: float) -> None:
        job.step(Phase.REACHING)
        job.node, job.sent = node, self.now
        node.jobs.add(job.id)
        within = min(left, self.settings.connect_timeout_ms, job.begin_by - self.now)
        self.effects.append(Reach(job.id, job.attempt, node.name, node.address, within))

    def _answer(self, number: int, answer: Requeue | Deny) -> None:
        job = self.jobs.get(number)
        if job is not None and not gate.may_answer(waiting=job.phase is not Phase.OPEN, out=job.out):
            self._finish(job)
            self.effects.append(answer)
            if self.rebalance is not None and isinstance(answer, Requeue):
                self.rebalance.refused(self.now)
            if self.emptying is not None:
                self.emptying.refused = True

    def _finish(self, job: Job) -> None:
        self._leave_node(job)
        if job.phase is not Phase.OPEN:
            self.effects.append(Unwake(("deadline", job.id)))
        job.step(Phase.OVER)
        del self.jobs[job.id]
        self.refs.discard(job.ref)

    def _leave_node(self, job: Job) -> None:
        if job.node is not None:
            job.node.jobs.discard(job.id)
            self._forget(job.node)

    def _ended(self, job: Job, ending: Ending, finished: bool) -> None:
        """Tell the module how the attempt ended; `finished`: nothing more is owed for the job."""
        node = job.node
        if node is None:
            raise ValueError(f"job {job.id} has no attempt")
        if self.rebalance is not None:
            if finished:
                self.rebalance.over(self.now, job.id, OUTCOMES[ending] is balancer_events.Outcome.RESET)
            elif ending not in (Ending.NEVER_SENT, Ending.UNREACHED):
                self.rebalance.attempt_failed(self.now, node.name, job.came.returned)
        if finished:
            self._finish(job)
        else:
            self._leave_node(job)
            job.step(Phase.HELD)
        if job.adoption is None:
            lasted = self.now - job.sent
            number, outcome = node.number, OUTCOMES[ending]
            self._tell(balancer_events.AttemptEnded(job.id, job.attempt, number, outcome, finished, lasted))
        elif not finished and ending is Ending.UNREACHED:
            # All connections from before the run come at once, more than a node may take at a time.
            self.effects.append(Wake(PINNED_AGAIN_MS, ("again", job.id)))
        elif not finished:
            self._answer(job.id, Requeue(job.id, 0.0, Refusal.NO_SERVER))

    def _move(self, job: Job | None) -> None:
        if job is not None and not gate.may_move(standing=job.phase is Phase.OPEN):
            self.effects.append(Move(job.id))
            self._ended(job, Ending.MOVED, True)

    # --- jobs -----------------------------------------------------------------------------------

    def _arrived(self, event: JobArrived) -> None:
        if refused := self._may_take(event):
            harmless = refused is Refusal.RELAY_ENDING
            self.effects.append(Requeue(event.job, 0.0, refused) if harmless else Deny(event.job, refused))
            return
        job = self.jobs[event.job] = Job(event.job, self.now, event.left_ms, event)
        if self.rebalance is not None:
            self.rebalance.arrived(self.now)
        if event.ref:
            job.ref = event.ref
            self.refs.add(event.ref)
        if event.at:
            # A connection from before the run goes to the node that held it and nowhere else.
            job.adoption = balancer_events.Adopted(
                event.job, node_number(event.at), event.cls, event.tenant, event.key, event.load, event.group
            )
            job.node, job.attempt = self.nodes.get(event.at), 0
            job.deadline = self.now + PINNED_MS
        self.effects.append(Wake(max(job.deadline - self.now - EARLY_MS, 0.0), ("deadline", job.id)))
        if job.adoption is not None:
            self._pin(job)
        else:
            self._tell(
                balancer_events.Request(
                    event.job,
                    event.cls,
                    event.tenant,
                    event.key,
                    event.left_ms,
                    event.load,
                    event.group,
                    event.repeated,
                    False,
                    event.returned,
                )
            )

    def _may_take(self, event: JobArrived) -> Refusal | None:
        """Guards the nodes and the other jobs against a submitter that uses another's name, that would wait without
        end, or that picks its node itself once the run has begun (that could be one that drains). A job without a
        name was made by the front itself."""
        if not event.ref:
            return Refusal.RELAY_ENDING if self.ended(self.now) else None
        pinned = bool(event.at)
        refused = gate.may_take(
            ending=self.ended(self.now),
            id_in_use=event.ref in self.refs,
            names_server=pinned,
            begun=self.begun,
            left_ms=event.left_ms,
            deadline_ms=self.settings.classes[event.cls].deadline_ms,
        )
        if not pinned and (refused is None or refused is Refusal.RELAY_ENDING):
            self.begun = True
        return refused

    def _pin(self, job: Job) -> None:
        if job.node is None or job.node.state is State.GONE or self._kept_off(job.node.name):
            self._answer(job.id, Requeue(job.id, 0.0, Refusal.SERVER_GONE))
        else:
            self._reach(job, job.node, job.deadline - self.now)

    def _left(self, event: SubmitterLeft) -> None:
        job = self.jobs.get(event.job)
        if job is None:
            return
        if job.phase is not Phase.OPEN and job.adoption is None:
            self._tell(balancer_events.ClientGone(job.id))
        if job.phase is Phase.HELD:
            self._finish(job)
        else:
            self.effects.append(Drop(job.id, job.attempt, Ending.SUBMITTER_LEFT))
            self._ended(job, Ending.SUBMITTER_LEFT, True)

    def _out_of_turn(self, event: OutOfTurn) -> None:
        job = self.jobs.get(event.job)
        if job is not None and job.phase is not Phase.OPEN:
            self._left(SubmitterLeft(job.id))
            self.effects.append(Deny(job.id, Refusal.OUT_OF_TURN))

    def _current(self, job: int, attempt: int) -> Job | None:
        """The job, where word on this attempt still matters."""
        found = self.jobs.get(job)
        return found if found is not None and found.attempt == attempt and found.phase is not Phase.HELD else None

    def _reached(self, event: NodeReached) -> None:
        job = self._current(event.job, event.attempt)
        if job is None or job.node is None or job.phase is not Phase.REACHING:
            return
        refused = gate.may_write(
            job.node.state,
            pinned=job.adoption is not None,
            now=self.now,
            begin_by=job.begin_by,
            deadline=job.deadline,
        )
        if refused:
            self.effects.append(Drop(job.id, job.attempt, refused))
            self._ended(job, Ending.NEVER_SENT, False)
            return
        job.step(Phase.ASKED)
        self.effects.append(Ask(job.id, job.attempt, job.deadline - self.now))

    def _up(self, event: NodeUp) -> None:
        job = self._current(event.job, event.attempt)
        if job is None or job.node is None or job.phase is not Phase.ASKED:
            return
        job.step(Phase.OPEN)
        job.node.heard = job.since = self.now
        if self.rebalance is not None:
            self._book(self.rebalance, job, job.node)
        self.effects += (Unwake(("deadline", job.id)), Join(job.id))
        if job.adoption is not None:
            self._tell(job.adoption)
            job.adoption = None
        else:
            self._tell(balancer_events.Established(job.id, job.attempt, job.node.number, self.now - job.sent))

    def _over(self, event: AttemptOver) -> None:
        job = self._current(event.job, event.attempt)
        if job is None:
            return
        if job.phase is Phase.OPEN:
            self.effects.append(Close(job.id, event.ending))
            self._ended(job, event.ending, True)
        else:
            self._ended(job, event.ending, False)

    # --- standing connections -------------------------------------------------------------------

    def _load(self, event: LoadTold) -> None:
        job = self.jobs.get(event.job)
        if job is not None and job.node is not None and job.adoption is None:
            job.load = event.load
            if self.rebalance is not None:
                self.rebalance.view.load(job.id, event.load)
            self._tell(balancer_events.LoadChanged(job.id, job.node.number, event.load))

    def _figure(self, event: FigureTold) -> None:
        job = self.jobs.get(event.job)
        if job is None or job.node is None or job.phase is not Phase.OPEN:
            return
        self._settle(job.node)
        if not self.settings.tells_load:  # of the two that come in this form, loads are never told
            kind = Kind.TIME if self.settings.tells_delay else Kind.OPEN
        else:
            kind = job.node.figures.told(self.now, job.id, event.figure, self.jobs.__contains__)
        if kind is Kind.LOAD:
            self._load(LoadTold(job.id, event.figure / 1000.0))
        elif kind is Kind.TIME:
            self._tell(balancer_events.ServerSlow(job.id, job.node.number, event.figure))

    def _settle(self, node: Node) -> None:
        settled = node.figures.settle(self.now)
        if settled is not None:
            self._load(LoadTold(settled[0], settled[1] / 1000.0))

    def _asked(self, event: Asked) -> None:
        job = self.jobs.get(event.job)
        if job is not None and job.phase is Phase.OPEN:
            job.asked(self.now, event.lines)

    def _answered(self, event: Answered) -> None:
        job = self.jobs.get(event.job)
        if job is not None and job.node is not None and job.unanswered:
            job.node.heard = self.now
            job.node.took.append(self.now - job.answered(event.lines))
            self._tell_delay(job.node, job)

    def _tell_delay(self, node: Node, job: Job) -> None:
        """What a message takes at this node, once a second while that is long and once when it no longer is."""
        if not node.took or self.now < node.told_at + TELL_MS:
            return
        took = sum(node.took) / len(node.took)
        node.took.clear()
        node.told_at = self.now
        slow = 0.0 < self.settings.slow_ms < took
        if slow or node.slow:
            node.slow = slow
            self._tell(balancer_events.ServerSlow(job.id, node.number, took))

    def _pulse(self) -> None:
        self.effects.append(Wake(PULSE_MS, PULSE))
        # By way of the jobs: a beat must not cost a walk over the fleet.
        for node in dict.fromkeys(j.node for j in self.jobs.values() if j.node is not None):
            self._settle(node)
        silent = [j for j in self.jobs.values() if j.unanswered and self.now >= j.unanswered[0][0] + SILENT_MS]
        # A machine that vanished says nothing and its connections stay open: guard against waiting on.
        mute = {j.node for j in silent if j.node is not None and j.node.heard < self.now - SILENT_MS}
        for job in silent:
            if job.phase is Phase.OPEN:
                self.effects.append(Move(job.id, Ending.SILENT))
                self._ended(job, Ending.SILENT, True)
        for job in [j for j in self.jobs.values() if j.phase is Phase.ASKED and j.node in mute]:
            if job.sent < self.now - MUTE_MS:
                self.effects.append(Drop(job.id, job.attempt, Ending.SILENT))
                self._ended(job, Ending.SILENT, False)

    # --- the machine list -----------------------------------------------------------------------

    def _list(self, event: ListTold, said: bool = True) -> None:
        if event.kind is ListKind.FAILED:
            self._tell(balancer_events.ServerList(event.kind))
            if not self.settings.asks:
                self.effects.append(Wake(RENEW_LEAST_MS, LIST))
            return
        self.version = event.version
        # Only what is told is looked at: one word on one node must not cost a walk over the fleet.
        touched: dict[str, State] = {}  # nodes told of, with their states before
        renewed: set[str] = set()  # those of them under a new start: chosen as warm, a node may be cold by now
        if event.kind is not ListKind.DELTA:
            listed = {m.name for m in event.machines}
            for name, node in self.nodes.items():
                if name not in listed:
                    touched[name], node.state, node.listed = node.state, State.GONE, None
        entries = []
        for m in event.machines:
            if m.name not in self.nodes:
                node = self.nodes[m.name] = Node(
                    m.name, node_number(m.name), self.settings.slow_ms if self.settings.tells_delay else 0.0
                )
                self.numbers[node.number] = node
                if self.task is not None and m.name in self.task.back:
                    node.cold_from = self.now
            node = self.nodes[m.name]
            touched.setdefault(m.name, node.state)
            node.address, node.listed = m.address, m
            node.state = State.DRAINING if m.state is State.READY and self._kept_off(m.name) else m.state
            node.start = self.starts.dated(m.name, m.started_ms, node.start, self.now, event.quiet_ms)
            before, node.started = node.started, max(node.start.began_ms, node.cold_from)
            node.capacity = m.capacity
            if node.started != before:
                renewed.add(m.name)
            if self.rebalance is not None:
                self.rebalance.view.node(self.now, m.name, node.number, node.state, m.capacity, node.started)
            entries.append(ServerEntry(node.number, m.zone, m.cell, node.state, m.capacity, node.started, m.kind))
        if self.rebalance is not None:
            self.rebalance.view.list_over([self.nodes[name] for name in touched])
        self._tell(balancer_events.ServerList(event.kind, entries, event.version))
        changed = [self.nodes[name] for name in sorted(touched)]
        turned = [node for node in changed if node.state is not touched[node.name]]
        if turned and said and event.kind is not ListKind.CACHED:  # operators ask what was told, and when
            named = ", ".join(f"{node.name} {node.state.name.lower()}" for node in turned[:NAMED_MOST])
            more = f" and {len(turned) - NAMED_MOST} more" if len(turned) > NAMED_MOST else ""
            self.effects.append(Note(f"machine list {event.version}: {named}{more}"))
        other = (node for node in changed if node.state is not State.READY or node.name in renewed)
        for number in sorted(n for node in other for n in node.jobs):
            # Nothing was sent yet, and nothing may be sent to a node that drains or is gone; a new one is chosen anew.
            job = self.jobs[number]
            if job.phase is Phase.REACHING and job.adoption is None:
                why = gate.may_use(job.node.state) if job.node is not None else None
                self.effects.append(Drop(job.id, job.attempt, why or Ending.NEVER_SENT))
                self._ended(job, Ending.NEVER_SENT, False)
        for node in changed:
            if self.settings.may_probe and (node.name in renewed or gate.may_use(node.state)):
                self.effects.append(Unprobe(node.name))
            if node.state is State.GONE and touched[node.name] is not State.GONE:
                self.effects.append(NodeGone(node.name))
            self._forget(node)
        if event.kind is ListKind.CACHED:
            self._watch_pushed(False)

    # --- machines out for work, where relays agree on them -----------------------------------------

    def _kept_off(self, name: str) -> bool:
        """Nothing is placed there: it is out for work, or this process does not know yet what is."""
        return self.task is not None and (self.task.off is None or name in self.task.off)

    def _turns_told(self, event: TurnsTold) -> None:
        """For the module a machine that is kept off is draining, and one that came back is cold."""
        from yarrowspindle.maintenance.evacuation import BEAT_MS, Emptying  # the platform does without it

        before = {name for name in self.nodes if self._kept_off(name)}
        had, self.task = self.task, event.task
        for name in event.task.back - (had.back if had is not None else frozenset()):
            if name in self.nodes:
                self.nodes[name].cold_from = self.now
        turned = [
            node.listed
            for name, node in self.nodes.items()
            if node.listed is not None and (name in before) != self._kept_off(name)
        ]
        if turned:
            self._list(ListTold(ListKind.DELTA, turned, self.version), False)
        if self.emptying is None:
            self.emptying = Emptying(self.now)
            self.effects.append(Wake(BEAT_MS, EMPTY))
        self.emptying.told(self.now, event.task)

    def _empty(self) -> None:
        from yarrowspindle.maintenance.evacuation import BEAT_MS

        self.effects.append(Wake(BEAT_MS, EMPTY))
        if self.emptying is None or self.task is None:
            return
        standing = {
            name: [n for n in sorted(node.jobs) if self.jobs[n].phase is Phase.OPEN]
            for name in self.emptying.until
            if (node := self.nodes.get(name)) is not None
        }
        for number in self.emptying.beat(self.now, self.task, standing):
            self._move(self.jobs.get(number))

    def _watch_pushed(self, renew: bool) -> None:
        """The module asks for the list only where it must; where lists are pushed a watch is open all the time."""
        if not self.settings.asks:
            self.effects.append(Watch(self.version, self.list_at, renew))
            self.effects.append(Wake(max(RENEW_PART * self.settings.drain_grace_ms, RENEW_LEAST_MS), LIST))

    def _forget(self, node: Node) -> None:
        if node.state is State.GONE and not node.jobs and self.nodes.get(node.name) is node:
            del self.nodes[node.name], self.numbers[node.number]
            if node.start is not None:
                self.starts.gone(node.name, node.start, self.now)

    def _retune(self, event: Retune) -> None:
        """New jobs are judged by the new settings; those under way keep their class, whose entry stays."""
        self.settings = event.settings
        for node in self.nodes.values():
            node.figures.slow = event.settings.slow_ms if event.settings.tells_delay else 0.0
        self._tell(balancer_events.Retuned(event.settings, event.anew))

    def _reloaded(self, event: Reloaded) -> None:
        if event.list_at != self.list_at:
            self.list_at = event.list_at
            # Asked anew for the whole list: another service may count its versions in another way.
            self.version = 0
            self.effects.append(Watch(self.version, self.list_at))

    @property
    def classes(self) -> set[int]:
        """The numbers of classes that jobs are in."""
        return {job.came.cls for job in self.jobs.values()} | {job.cls for job in self.balancer.jobs.values()}

    # --- rebalancing ----------------------------------------------------------------------------

    def _configure(self, event: Rebalance) -> None:
        if event.settings is None:
            self.rebalance = None
            self.effects.append(Unwake(PLAN))
            self._level(0.0)
        elif self.rebalance is not None:
            self.rebalance.configure(event.settings)
        else:
            from yarrowspindle.rebalancing import Rebalancer  # the platform does without it

            settings = self.settings
            self.rebalance = Rebalancer(
                event.settings, event.seed, self.now, settings.balancers, settings.cold_ms, settings.cold_share
            )
            for node in self.nodes.values():
                self.rebalance.view.node(self.now, node.name, node.number, node.state, node.capacity, node.started)
            if self.nodes:
                self.rebalance.view.list_over(())
            for job in self.jobs.values():
                if job.phase is Phase.OPEN and job.node is not None:
                    self._book(self.rebalance, job, job.node)
            if self.stop_at:
                self.rebalance.stop()
            self.effects.append(Wake(self.rebalance.first_beat_ms(), PLAN))

    def _book(self, rebalance: Rebalancer, job: Job, node: Node) -> None:
        came = job.came
        rebalance.opened(job.since, job.id, node.name, job.load, came.key, came.group, came.returned)

    def _plan(self) -> None:
        rebalance = self.rebalance
        if rebalance is None:
            return
        self.effects.append(Wake(rebalance.beat_ms, PLAN))
        moves = rebalance.beat(self.now, *self.balancer.drawn())
        self._level(rebalance.level)
        for number in moves:
            self._move(self.jobs.get(number))
        self.effects += [Note(text) for text in rebalance.take_notes()]

    def _level(self, level: float) -> None:
        if level != self.level:
            self.level = level
            self._tell(balancer_events.Levelling(level))

    # --- time -----------------------------------------------------------------------------------

    def _woke(self, event: Woke) -> None:
        if event.what == PULSE:
            self._pulse()
        elif event.what == PLAN:
            self._plan()
        elif event.what == LIST:
            self._watch_pushed(True)
        elif event.what == EMPTY:
            self._empty()
        elif event.what == STOPPING:
            self._move_all()
        elif isinstance(event.what, int):
            self._tell(balancer_events.TimerDue(event.what))
        elif isinstance(event.what, tuple):
            kind, number = event.what
            job = self.jobs.get(number)
            if job is not None and kind == "deadline":
                self._deadline(job)
            elif job is not None and kind == "again" and job.phase is Phase.HELD:
                self._pin(job)

    def _deadline(self, job: Job) -> None:
        if job.out:
            self.effects.append(Drop(job.id, job.attempt, Refusal.DEADLINE))
            stalled = job.deadline - EARLY_MS <= self.stalled_at
            job.deadline = self.now
            self._ended(job, Ending.STALLED if stalled else Ending.OVERDUE, False)
        if job.phase is Phase.HELD and job.adoption is None:
            # What may have run is not called harmless to repeat: the balancer knows.
            self._tell(balancer_events.Due(job.id))
        if job.phase is Phase.HELD:
            self._answer(job.id, Requeue(job.id, 0.0, Refusal.DEADLINE))

    def _stalled(self, event: Stalled) -> None:
        """Silence is counted from when we could hear again: answers may have waited in our own sockets."""
        self.stalled_at = self.now
        for job in self.jobs.values():
            if job.out:
                job.sent = min(self.now, job.sent + event.for_ms)
            for stamp in job.unanswered:
                stamp[0] = min(self.now, stamp[0] + event.for_ms)
        for node in self.nodes.values():
            node.heard = min(self.now, node.heard + event.for_ms)

    def _step_failed(self, event: StepFailed) -> None:
        """Whatever is left undone of this job, its client gets its answer. The module is told last: it may be what
        failed."""
        job = self.jobs.get(event.job)
        if job is None:
            if event.arrived:
                self.effects.append(Deny(event.job, Refusal.STEP_FAILED))
            return
        node, phase, attempt = job.node, job.phase, job.attempt
        if phase is Phase.OPEN:
            self.effects.append(Move(job.id))
        else:
            if job.out:
                self.effects.append(Drop(job.id, attempt, Refusal.STEP_FAILED))
            self.effects.append(Deny(job.id, Refusal.STEP_FAILED))
        self._finish(job)
        if job.adoption is not None:
            return
        if phase is not Phase.OPEN:
            self._tell(balancer_events.ClientGone(job.id))
        if node is not None and phase is not Phase.HELD:
            outcome = balancer_events.Outcome.CANCELLED
            self._tell(balancer_events.AttemptEnded(job.id, attempt, node.number, outcome, True))

    def _stop(self, event: Stop) -> None:
        """Move every client, spread over the time there is; what comes meanwhile is served and moved as well."""
        self.stop_at, self.exits = self.now + event.within_ms, event.exits
        if self.rebalance is not None:
            self.rebalance.stop()
        self.effects.append(Wake(min(STOP_QUIET_MS, event.within_ms / 2.0), STOPPING))

    def _rejoin(self, event: Rejoin) -> None:
        if self.stop_at:
            self.stop_at = 0.0
            self.effects.append(Unwake(STOPPING))
            if self.rebalance is not None:
                self.rebalance.stopped = False

    @property
    def draining(self) -> bool:
        return self.stop_at > 0.0

    def ended(self, now: float) -> bool:
        """The process ends: all was moved or answered, and nothing is begun any more."""
        return self.exits and 0.0 < self.stop_at <= now

    def _move_all(self) -> None:
        left = self.stop_at - self.now
        # The next beat first: one job that cannot be moved must not keep the others here.
        self.effects.append(Wake(min(left, STOP_BEAT_MS) if left > 0.0 else STOP_BEAT_MS, STOPPING))
        standing = [j for j in self.jobs.values() if j.phase is Phase.OPEN]
        if left <= 0.0:
            # A drain that the process outlives: whoever still comes is served and moved in its turn.
            for job in list(self.jobs.values()):
                if job.phase is Phase.OPEN:
                    self._move(job)
                elif self.exits:
                    self._deadline(job)
            return
        # As many now as leave the rest for the beats that remain.
        beats = max(1.0, left / STOP_BEAT_MS - 1.0)
        for job in standing[: ceil(len(standing) / beats)]:
            self._move(job)
