"""A controller's side of control: `(state, event) -> effects`, for real sockets and the virtual clock alike.

Changes are agreed on in the register (`turns/register.py`) whose voters are among the controllers; the first by name
of those that hear one another proposes. What is committed goes to the other controllers whole, and to each relay that
talks with this one as the steps that it has not got, again until it says that it has them. What relays say goes to the
other controllers as a sum.

Rules
1. Only committed states go to relays, and their versions only grow.
2. Whoever proposes reads first; no controller leads by a clock or by what it believes of the others.
3. Without a majority of the voters nothing changes, and what stands is still told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from yarrowspindle.configuration.messages import (
    MAX_COUNTS,
    MAX_NAMED,
    MAX_WHY,
    AskAcceptor,
    ChangeAnswered,
    ChangeRequested,
    Delta,
    Detach,
    Effect,
    Event,
    Heartbeat,
    LaggingRelay,
    LatestVersion,
    LogMessage,
    MessageReceived,
    RelayReattached,
    RelaySummary,
    Sender,
    SendMessage,
    SetTimer,
    Shown,
    Snapshot,
    StateCommitted,
    StateUpdate,
    TimerFired,
)
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.configuration.state import (
    MAX_DONE,
    ChangeOrder,
    Check,
    ControlState,
    Step,
    bounds,
    bounds_of,
    size,
    stepped,
)
from yarrowspindle.consensus.messages import NO_BALLOT, Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.consensus.proposer import Committed, Proposer, RoundFailed, SendToAcceptor
from yarrowspindle.consensus.proposer import Effect as ProposerEffect
from yarrowspindle.routing.address import Address

TICK_MS, SUM_MS = 100.0, 250.0  # how often it looks; how often the others are told
SILENT_MS = 800.0  # a controller that was not heard for so long is passed over
LIVE_MS = 2000.0  # a relay that was not heard for so long is silent
FORGET_MS = 60_000.0  # and after so long it is no longer named
PUSH_MS = 200.0  # a relay is told of changes this often at most, and again where it has not confirmed
ORDER_MS, OWN_MS, EXPIRE_MS = 250.0, 1600.0, 10_000.0  # an order is said again; proposed by its taker; given up
ROUND_MS, READ_MS, GAP_MS, MAX_BACK_MS = 500.0, 10_000.0, 1000.0, 800.0
AHEAD_MS = 5000.0  # a relay that knows more for so long did not just hear it elsewhere
SURE_MS = 3000.0  # after a controller came or went all relays have found another, and it has told of them
LEARN_MS = 400.0  # a controller that is behind is told the state this often at most
MAX_RELAYS, MAX_ORDERS, MAX_BATCH, MAX_LOG = 4096, 256, 16, 512


@dataclass(slots=True)
class AttachedRelay:
    """A relay that talks with this controller. since: when it began to be behind or silent. left: it went to another,
    and counts until then, so that no sum is without it before that one has told of it."""

    sender: Sender
    known: int
    taken: int
    why: str
    heard: float
    told: float = -1e9
    since: float = 0.0
    whole: bool = False
    left: float = 0.0


@dataclass(slots=True)
class PendingChange:
    """An operator's order that this controller took. sent: to who proposes now."""

    ticket: int
    order: ChangeOrder
    at: float
    version: int = -1  # the newest that was known when it was handed on first
    sent: float = -1e9
    to: str = ""


@dataclass(slots=True)
class PeerController:
    """Another controller, as last heard."""

    machine: ControllerAddress
    sum: RelaySummary | None = None
    heard: float = -1e9
    incarnation: int = 0
    at: int = -1
    told: float = -1e9  # the state
    behind: int = 0  # sums in a row that were

    def is_newer(self, sender: Sender) -> bool:
        return (sender.incarnation, sender.at) > (self.incarnation, self.at)


@dataclass(slots=True)
class Round:
    began: float = 0.0
    wait_until: float = 0.0
    failures: int = 0
    read_at: float = -1e9
    why: str = ""
    led: bool = False  # this controller was the first by name when it last looked
    queue: dict[tuple[str, int, int], tuple[ChangeOrder, float]] = field(default_factory=dict)


class Controller:
    """first: the newest state that this machine knows to be agreed on, that of all where it knows none. identity: of
    this voter's file; empty: it does not vote. guide: the state of its file."""

    def __init__(
        self,
        machine: ControllerAddress,
        machines: tuple[ControllerAddress, ...],
        first: ControlState,
        identity: str,
        guide: ControlState,
        incarnation: int,
        check: Check,
        seed: int,
        now: float,
        proposer: type[Proposer[ControlState]] = Proposer,
    ) -> None:
        self.me, self.check, self.identity, self.now, self.started = machine, check, identity, now, now
        self.machines = {one.name: one for one in machines}
        self.others = {one.name: PeerController(one) for one in machines if one is not machine}
        self.random = Random(seed)
        # No two processes propose under one ballot: what an earlier one sent may still come.
        self.proposer = proposer(f"{machine.name} {incarnation} {self.random.getrandbits(32):x}", first, self.random)
        self.proposer.membership_hint = max(first, guide, key=lambda s: s.epoch)
        self.round = Round()
        self.incarnation, self.number = incarnation, 0  # of the orders that this controller takes
        self.pending: list[PendingChange] = []
        self.relays: dict[Address, AttachedRelay] = {}
        self.clashes: dict[str, float] = {}  # names that two relays have, and when that was said
        # Version -> its step, without a gap up to the newest.
        self.log: dict[int, Step] = {done.version: done.step for done in first.done}
        self.taken = first
        self.digest = first.digest
        self.took_at = now
        self.in_force = self.said = 0  # the newest version that was, and of which that was said
        self.incarnations: dict[str, int] = {}  # of the other controllers that are heard
        self.sure_at = now + SURE_MS
        self.sum_at = now
        self.counts: Counter[str] = Counter()
        self.effects: list[Effect] = [SetTimer(TICK_MS * self.random.random())]
        self.handlers: dict[type, Callable[[Sender, Any], None]] = {
            Heartbeat: self._beat,
            Detach: self._leave,
            RelayReattached: self._moved,
            RelaySummary: self._sum,
            StateUpdate: self._learn,
            ChangeOrder: self._order,
            Prepare: self._vote,
            Accept: self._vote,
            Promise: self._voted,
            Accepted: self._voted,
            Rejected: self._voted,
        }

    def step(self, now: float, event: Event) -> list[Effect]:
        if now > self.now + SILENT_MS:  # it stood still: others may have come and gone
            self.sure_at = now + SURE_MS
        self.now = max(self.now, now)
        if isinstance(event, MessageReceived):
            handler = self.handlers.get(type(event.message))
            if handler is not None and self._from_its_own_place(event):
                handler(event.sender, event.message)
        elif isinstance(event, TimerFired):
            self._tick()
        elif isinstance(event, ChangeRequested):
            self._ordered(event)
        return self.take_effects()

    def _from_its_own_place(self, event: MessageReceived) -> bool:
        """What controllers say is heard from where they are reached: another machine may have one's name, and vote."""
        named = self.machines.get(event.sender.name)
        if isinstance(event.message, Heartbeat | Detach) or named is not None and named.address == event.sender.address:
            return True
        (host, port) = event.sender.address
        self.counts["strangers"] += 1
        self.effects.append(LogMessage(f"{event.sender.name} at {host}:{port} is none of the controllers here", True))
        return False

    def take_effects(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        return effects

    @property
    def state(self) -> ControlState:
        """The newest committed state that is known."""
        return self.taken

    def _send(self, to: str, message: object) -> None:
        self.effects.append(SendMessage(self.machines[to].sender, message))

    # --- relays ---------------------------------------------------------------------------------

    def _beat(self, sender: Sender, beat: Heartbeat) -> None:
        version = self.taken.version
        if not beat.attached:
            self.effects.append(SendMessage(sender, LatestVersion(version, self.digest)))
            return
        known = self.relays.get(sender.address)
        if known is None:
            if len(self.relays) >= MAX_RELAYS and not self._room():
                self.counts["no_room"] += 1
                return
            self._clash(sender)
        elif (sender.incarnation, sender.at) <= (known.sender.incarnation, known.sender.at):
            return  # overtaken on its way
        relay = AttachedRelay(sender, beat.known, beat.taken, beat.why, self.now, whole=beat.whole)
        if known is not None:
            relay.told, relay.since = known.told, known.since
        self.relays[sender.address] = relay
        if beat.before in self.others:
            self._send(beat.before, RelayReattached(*sender.address, sender.incarnation, sender.at))
        if beat.known > version and self.now > max(self.took_at, self.started) + AHEAD_MS:
            self.counts["ahead"] += 1
            self.effects.append(
                LogMessage(
                    f"relay {sender.name} has version {beat.known}, newer than what is agreed on here ({version})", True
                )
            )
        self._mark(relay)
        if beat.known < version and (beat.whole or self.now >= relay.told + PUSH_MS):
            self._push([relay])
        elif known is None or beat.known <= known.known:  # what says that a version came needs no answer
            self.effects.append(SendMessage(sender, LatestVersion(version, self.digest)))

    def _room(self) -> bool:
        """The relay that has been silent for the longest goes."""
        address, oldest = min(self.relays.items(), key=lambda item: item[1].heard)
        if self.now <= oldest.heard + LIVE_MS:
            return False
        del self.relays[address]
        return True

    def _clash(self, sender: Sender) -> None:
        """Two relays of one name are both served; operators have to know."""
        for other in self.relays.values():
            if other.sender.name == sender.name and not other.left and self.now <= other.heard + LIVE_MS:
                if self.now >= self.clashes.get(sender.name, -1e9) + FORGET_MS and len(self.clashes) < MAX_RELAYS:
                    self.clashes[sender.name] = self.now
                    (a, b), (c, d) = other.sender.address, sender.address
                    self.effects.append(
                        LogMessage(f"two relays are called {sender.name}: {a}:{b} and {c}:{d}", bad=True)
                    )
                return

    def _leave(self, sender: Sender, _: object) -> None:
        known = self.relays.get(sender.address)
        if known is not None and (sender.incarnation, sender.at) > (known.sender.incarnation, known.sender.at):
            known.sender, known.left = sender, self.now + SURE_MS

    def _moved(self, sender: Sender, moved: RelayReattached) -> None:
        known = self.relays.get((moved.host, moved.port))
        if (
            sender.name in self.others
            and known is not None
            and (moved.incarnation, moved.at) > (known.sender.incarnation, known.sender.at)
        ):
            sure = (
                SILENT_MS + SUM_MS if sender.name in self.incarnations else SURE_MS
            )  # where that one dies, it is missed
            known.left = min(known.left or self.now + SURE_MS, self.now + sure)

    def _mark(self, relay: AttachedRelay) -> None:
        """Since when it is behind."""
        if relay.taken >= self.taken.version:
            relay.since = 0.0
        elif not relay.since:
            relay.since = self.now

    def _push(self, relays: Iterable[AttachedRelay]) -> None:
        """Each gets the steps that it has not got, or all entries where these are no longer known. One message for
        all that are as far."""
        made: dict[int, object] = {}
        for relay in relays:
            base = -1 if relay.whole else relay.known
            if base not in made:
                made[base] = self._steps(base)
                self.counts["wholes" if isinstance(made[base], Snapshot) else "differences"] += 1
            relay.told = self.now
            self.effects.append(SendMessage(relay.sender, made[base]))

    def _steps(self, base: int) -> object:
        version, entries = self.taken.version, self.taken.entries
        steps = [self.log.get(number) for number in range(base + 1, version + 1)] if base >= 0 else [None]
        found = [step for step in steps if step is not None]
        if len(found) < len(steps) or len(found) > MAX_DONE or sum(map(size, found)) > size(entries) + 400:
            return Snapshot(version, self.digest, dict(entries))
        return Delta(base, version, self.digest, [dict(step) for step in found])

    # --- other controllers ----------------------------------------------------------------------

    @property
    def leads(self) -> bool:
        """The first by name of those that hear one another proposes; who that is need not be agreed on."""
        return all(self.me.name < name for name, other in self.others.items() if self.now <= other.heard + SILENT_MS)

    def _leader(self) -> str:
        return min([n for n, o in self.others.items() if self.now <= o.heard + SILENT_MS], default=self.me.name)

    def _sum(self, sender: Sender, told: RelaySummary) -> None:
        other = self.others.get(sender.name)
        if other is None or not other.is_newer(sender):
            return
        if sender.incarnation != other.incarnation:
            self.sure_at = self.now + SURE_MS
        other.sum, other.heard, other.incarnation, other.at = told, self.now, sender.incarnation, sender.at
        other.behind = other.behind + 1 if told.version < self.taken.version else 0
        if other.behind >= (1 if self.leads else 3):
            self._teach(other)

    def _teach(self, other: PeerController) -> None:
        if self.now >= other.told + LEARN_MS:
            other.told = self.now
            self._send(other.machine.name, StateUpdate(self.taken))

    def _learn(self, sender: Sender, learn: StateUpdate) -> None:
        if sender.name in self.others:
            self.proposer.on_committed(learn.state)
            self._take()

    def _take(self) -> None:
        """A committed state that is newer: to all relays at once."""
        state = self.proposer.newest_committed
        if state.version <= self.taken.version:
            return
        steps = {done.version: done.step for done in state.done}
        if min(steps, default=0) > self.taken.version + 1:
            self.log.clear()  # there is a gap: relays that are further behind get all entries
        self.log.update(steps)
        for version in sorted(self.log)[: max(0, len(self.log) - MAX_LOG)]:
            del self.log[version]
        self.taken, self.digest, self.took_at = state, state.digest, self.now
        self.effects.append(StateCommitted(state))
        for relay in self.relays.values():
            self._mark(relay)
        self._push(self._due())
        self._settle()
        incarnation, _ = state.takers.get(self.me.name, (0, 0))
        if incarnation > self.incarnation:
            self._renumber(incarnation + 1)  # an earlier process of this controller had a clock that was ahead

    def _due(self) -> list[AttachedRelay]:
        """Living relays that have not got the newest, and were told nothing in the last moment: many changes in one
        second go down together."""
        version = self.taken.version
        return [
            r
            for r in self.relays.values()
            if r.known < version and not r.left and self.now >= r.told + PUSH_MS and self.now <= r.heard + LIVE_MS
        ]

    # --- agreeing -------------------------------------------------------------------------------

    def _vote(self, sender: Sender, message: Prepare | Accept[ControlState]) -> None:
        if sender.name not in self.machines:
            return
        if self.identity:
            self.effects.append(AskAcceptor(sender, message))
        else:
            self.effects.append(SendMessage(sender, Rejected(message.ballot, NO_BALLOT, not_voter=True)))

    def _voted(self, sender: Sender, message: Any) -> None:
        if sender.name in self.machines:
            self._carry_out(self.proposer.on_message(sender.name, message))

    def _carry_out(self, effects: list[ProposerEffect[ControlState]]) -> None:
        now = self.round
        for effect in effects:
            if isinstance(effect, SendToAcceptor):
                self._send(effect.acceptor, effect.message)
            elif isinstance(effect, Committed):
                now.failures, now.read_at, now.why = 0, self.now, ""
                newer = effect.state.version > self.taken.version
                self._take()
                if effect.changed or newer:
                    for other in self.others.values():
                        other.told = -1e9
                        self._teach(other)
            elif isinstance(effect, RoundFailed):
                now.why = effect.reason
                now.failures = min(now.failures + 1, 5)
                # Who leads gets through: the others stand back for longer.
                most = min(MAX_BACK_MS, 30.0 * 2.0**now.failures) if self.leads else 2.0 * MAX_BACK_MS
                now.wait_until = self.now + self.random.uniform(0.0, most)
        self._take()  # a round may show what is committed, and fail all the same

    def _change(self, state: ControlState) -> ControlState | None:
        """All orders that wait, in their turn, as one state; and this voter's new file."""
        found = state
        for _, (order, _) in sorted(self.round.queue.items())[:MAX_ORDERS]:
            found = found.settled(order, self.check) or found
            if found.version >= state.version + MAX_BATCH:
                break
        if self.identity and self.me.name in state.voters:
            found = found.with_voter(self.me.name, self.identity) or found
        return found if found.version > state.version else None

    def _propose(self) -> None:
        now = self.round
        leads, led = self.leads, now.led
        now.led = leads
        for key, (order, at) in list(now.queue.items()):
            if self.taken.is_settled(order) or self.now > at + EXPIRE_MS:
                del now.queue[key]
        if self.proposer.round is not None:
            if self.now >= now.began + ROUND_MS:
                self._carry_out(self.proposer.give_up("no majority of the voters in time"))
            return
        # Only who leads reads to see what it may have missed: all together would keep one another from a majority.
        late = leads and self.now >= now.read_at + READ_MS
        voter = self.identity and self.taken.voters.get(self.me.name, self.identity) != self.identity
        # An order whose turn has not come, as far as is known here, is worth a look now and then, not one each beat.
        due = any(self.taken.is_next(order) for order, _ in now.queue.values())
        due = due or bool(now.queue) and self.now >= now.read_at + GAP_MS
        if self.now >= now.wait_until and (due or voter or late or leads and not led):
            now.began = self.now
            self._carry_out(self.proposer.start(self._change))

    # --- orders ---------------------------------------------------------------------------------

    def _ordered(self, event: ChangeRequested) -> None:
        entries = stepped(self.taken.entries, event.step)
        why = bounds_of(event.step) or bounds(entries) or self.check(entries)
        if not why and len(self.pending) >= MAX_ORDERS:
            why = f"{MAX_ORDERS} changes wait already"
        if why:
            self.effects.append(ChangeAnswered(event.ticket, 0, why))
            return
        if self.taken.takers.get(self.me.name, (0, 0))[0] == self.incarnation and not self.number:
            self._renumber(self.incarnation + 1)
        self.number += 1
        self.pending.append(
            PendingChange(event.ticket, ChangeOrder(self.me.name, self.incarnation, self.number, event.step), self.now)
        )
        self._hand_on()

    def _renumber(self, incarnation: int) -> None:
        self.incarnation, self.number = incarnation, 0
        for pending in self.pending:
            self.number += 1
            pending.order = ChangeOrder(self.me.name, incarnation, self.number, pending.order.step)
            pending.sent = -1e9

    def _hand_on(self) -> None:
        """To who proposes now; by itself where that one does not get it settled."""
        if self.pending and self.now > self.pending[0].at + EXPIRE_MS:
            # In their turn none after it is settled either. All end: no order ever goes under two numbers.
            for pending in self.pending:
                self.effects.append(
                    ChangeAnswered(
                        pending.ticket,
                        0,
                        "no majority of the voters has settled it in "
                        f"{EXPIRE_MS / 1000.0:g} s ({self.round.why or 'no answer'}): it may still "
                        "come, see `show`",
                    )
                )
            self.pending.clear()
            self._renumber(self.incarnation + 1)
        if not self.taken.version and any(other.sum and other.sum.version for other in self.others.values()):
            return  # it has not read yet what an earlier process of it has had settled
        for pending in self.pending:
            if pending.version < 0:
                pending.version = self.taken.version
            if self.leads or self.now > pending.at + OWN_MS:
                self._enqueue(pending.order)
            leader = self._leader()
            if not self.leads and (self.now >= pending.sent + ORDER_MS or pending.to != leader):
                pending.sent, pending.to = self.now, leader
                self._send(leader, pending.order)
        if self.pending:
            self._propose()

    def _order(self, sender: Sender, order: ChangeOrder) -> None:
        if sender.name in self.others and order.taker == sender.name:
            self._enqueue(order)
            self._propose()

    def _enqueue(self, order: ChangeOrder) -> None:
        queue, key = self.round.queue, (order.taker, order.incarnation, order.number)
        if not self.taken.is_settled(order) and (key in queue or len(queue) < MAX_ORDERS):
            queue.setdefault(key, (order, self.now))

    def _settle(self) -> None:
        """Answers for orders that stand in the newest state. One that a later life's overtook stands only where a step
        says so: it is given again, under another number."""
        incarnation, _ = self.taken.takers.get(self.me.name, (0, 0))
        oldest = self.taken.done[0].version if self.taken.done else self.taken.version + 1
        found = {(d.incarnation, d.number): d for d in self.taken.done if d.taker == self.me.name}
        for pending in [p for p in self.pending if self.taken.is_settled(p.order)]:
            done = found.get((pending.order.incarnation, pending.order.number))
            if (
                done is None
                and pending.order.incarnation < incarnation
                and (pending.version < 0 or oldest <= pending.version + 1)
            ):
                continue
            self.pending.remove(pending)
            if done is None:
                self.effects.append(
                    ChangeAnswered(pending.ticket, 0, "nobody knows any more whether it stands: see `show`")
                )
            else:
                self.effects.append(ChangeAnswered(pending.ticket, 0 if done.why else done.version, done.why))

    # --- time -----------------------------------------------------------------------------------

    def _tick(self) -> None:
        incarnations = {name: o.incarnation for name, o in self.others.items() if self.now <= o.heard + SILENT_MS}
        if incarnations != self.incarnations:
            self.incarnations, self.sure_at = incarnations, self.now + SURE_MS
        self._hand_on()
        self._propose()
        self._push(self._due())
        if self.now >= self.sum_at:
            self.sum_at = self.now + SUM_MS
            for address in [a for a, r in self.relays.items() if self.now > (r.left or r.heard + FORGET_MS)]:
                del self.relays[address]
            told = self.summed()
            for name in self.others:
                self._send(name, told)
            self._say(told)
        self.effects.append(SetTimer(TICK_MS * self.random.uniform(0.9, 1.1)))

    def summed(self) -> RelaySummary:
        """Of the relays that talk with this controller."""
        living = [r for r in self.relays.values() if self.now <= (r.left or r.heard + LIVE_MS)]
        counts = sorted(Counter(r.taken for r in living).items())
        if len(counts) > MAX_COUNTS:
            counts = [*counts[: MAX_COUNTS - 1], (counts[MAX_COUNTS - 1][0], sum(n for _, n in counts[MAX_COUNTS:]))]
        named = [
            LaggingRelay(r.sender.name, r.taken, max(0, int(self.now - since)), why)
            for r, since, why in self._wanting()
        ]
        return RelaySummary(
            self.taken.version,
            sum(not r.left for r in living),
            counts,
            named[:MAX_NAMED],
            max(0, len(named) - MAX_NAMED),
        )

    def _wanting(self) -> list[tuple[AttachedRelay, float, str]]:
        """Relays that are silent, refuse or are behind, those of the longest standing first; since when; and why."""
        found = []
        for relay in [r for r in self.relays.values() if not r.left]:
            if self.now > relay.heard + LIVE_MS:
                found.append((relay, relay.heard, "silent"))
            elif relay.taken < self.taken.version:
                found.append((relay, relay.since, relay.why[:MAX_WHY] or "behind"))
        return sorted(found, key=lambda one: one[1])

    def _say(self, own: RelaySummary) -> None:
        """Once for each version that all living relays have taken."""
        shown = self.shown(own)
        self.in_force = max(self.in_force, shown["in_force"])
        if self.leads and self.in_force > self.said:
            self.said = self.in_force
            took = (self.now - self.took_at) / 1000.0
            self.effects.append(
                LogMessage(
                    f"version {self.in_force} is in force at {shown['relays']} relays, {took:.1f} s "
                    f"after it was agreed on; {len(shown['named'])} are named"
                )
            )

    def shown(self, own: RelaySummary | None = None) -> Shown:
        """What an operator asks for. in_force: the newest version that all living relays of all controllers that are
        heard serve by, and nothing newer than before for a while after one came or went, when relays may be with one
        that is not heard; named: relays that are behind, silent or refuse; controllers: who is heard, since when in
        seconds."""
        sums = {self.me.name: own or self.summed()}
        controllers = {
            self.me.name: {"silent_s": 0.0, "relays": sums[self.me.name].relays, "version": self.taken.version}
        }
        for name, other in self.others.items():
            silent = self.now - other.heard
            known = other.sum
            controllers[name] = {
                "silent_s": round(min(silent, self.now - self.started) / 1000.0, 1),
                "relays": known.relays if known else 0,
                "version": known.version if known else 0,
            }
            if known is not None and name in self.incarnations:
                sums[name] = known
        lowest = min((count[0] for told in sums.values() for count in told.counts), default=self.taken.version)
        lowest = min(lowest, *(told.version for told in sums.values()))
        if self.now < self.sure_at:
            lowest = min(lowest, self.in_force)
        return {
            "version": self.taken.version,
            "digest": self.digest.hex(),
            "in_force": lowest,
            "relays": sum(told.relays for told in sums.values()),
            "leads": self.leads,
            "voters": sorted(self.taken.voters),
            "votes": bool(self.identity),
            "round": self.round.why,
            "controllers": controllers,
            "waiting": len(self.pending),
            "named": [
                {"relay": n.name, "version": n.taken, "for_s": n.age_ms / 1000.0, "why": n.why, "controller": name}
                for name, told in sorted(sums.items())
                for n in told.named
            ],
            "more": sum(told.more for told in sums.values()),
            "refused": [{"version": d.version, "why": d.why} for d in self.taken.done if d.why][-8:],
            "entries": dict(self.taken.entries),
        }
