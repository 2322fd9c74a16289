"""One relay's part in turns: `(state, event) -> effects`. It votes where it has a file, proposes what it wants
changed, and says which machines are kept off and which are to be emptied.

Driven alike by the virtual clock of `lab/model/turning.py` and by the daemon (`program/turning.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from msgspec import Struct

from yarrowspindle.consensus.messages import NO_BALLOT, Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.consensus.proposer import Committed, Proposer, RoundFailed, SendToAcceptor
from yarrowspindle.consensus.proposer import Effect as ProposerEffect
from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import EMPTYING, BackendObservation, MaintenanceState

BEAT_MS, ROUND_MS = 150.0, 400.0
READ_MS, READ_IDLE_MS = 1500.0, 10_000.0  # without word for so long the state is read: while something is out, and else
SAY_MS = 600.0  # what was said and is not written after so long is written by the relay itself
ENTER_MS = 1500.0  # the same for a process that is to be registered
NEWEST_MS = 2000.0  # the others are told what is newest this often; twice a second while something is out
MAX_ASKED = 3  # relays that are asked at once by one that cannot find the voters
TELL_MS = 500.0  # who has not confirmed is told the state again this often
MAX_BACK_MS = 1200.0
FRESH_MS = 1000.0  # nothing is granted by a look at the machines that is older
CALM_MS = 10_000.0  # without trouble, until turns are granted again
BEAT = "beat"
MAX_WANTS, MAX_ENTERING = 64, 1024


# --- events -------------------------------------------------------------------------------------


@dataclass(slots=True)
class MessageReceived:
    source: str
    message: Any  # of the register, or `Learn`


@dataclass(slots=True)
class TimerFired:
    what: object


@dataclass(slots=True)
class FleetObserved:
    """What this relay knows of itself and the list. holds: machines where it has connections or an attempt is out.
    seen: the machine list. there: members that are there, this one included, by name. trouble: why no machine should
    leave now, as this relay sees it."""

    holds: frozenset[str]
    seen: Mapping[str, BackendObservation]
    there: tuple[str, ...]
    trouble: str = ""


@dataclass(slots=True)
class OperatorCommand:
    """An operator's word; done once it stands in a committed state, or speaks of something that is over.

    kind, what, more: "ask", a wish, the version known then; "done" and "give up", a machine, its turn; "cancel", a
    request, when it was asked; "ended", a relay, its life; "pause", why; "resume", the pause; "voter", a name, its
    file's identity; "no voter", a name."""

    kind: str
    what: Any
    more: Any = None


Event = MessageReceived | TimerFired | FleetObserved | OperatorCommand


# --- effects ------------------------------------------------------------------------------------


@dataclass(slots=True)
class SendMessage:
    to: str
    message: Any


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    what: object


@dataclass(slots=True)
class StateCommitted:
    """A committed state was taken up: from here on these machines are kept off, and those emptying are to be
    emptied."""

    state: MaintenanceState


@dataclass(slots=True)
class LogMessage:
    text: str


@dataclass(slots=True)
class AskAcceptor:
    """For this relay's voter; its answer goes back to the source once the file is written, and nothing does where that
    fails."""

    source: str
    message: Prepare | Accept[MaintenanceState]


Effect = SendMessage | SetTimer | StateCommitted | AskAcceptor | LogMessage


@dataclass(slots=True, frozen=True)
class StateUpdate:
    """A committed state, told to all."""

    state: MaintenanceState


class ReleaseConfirmation(Struct, frozen=True, rename={"incarnation": "life"}):
    """The sender holds nothing at these machines, by their turns, and knows of the turns. That stays true for as long
    as they last, so it may come late or twice; who brings things on writes it down for many at once."""

    incarnation: int
    turns: Mapping[str, int]


@dataclass(slots=True, frozen=True)
class RegisterRelay:
    """The sender is a process that is not registered; who brings things on writes it down. key: its own, which no
    process of its name had before (128 bits of the system's chance)."""

    key: str


@dataclass(slots=True, frozen=True)
class LatestVersion:
    """A majority was heard a moment ago, and this is the newest version."""

    version: int


@dataclass(slots=True, frozen=True)
class CatchUpRequest:
    """The sender knows of no later state than this version: who knows more tells it."""

    version: int


class MaintenanceCoordinator:
    """first: the state that all start from. identity: of this relay's file; empty where it has none. guide: a state by
    whose voters to go, from that file. key: of this process, which none before it had."""

    def __init__(
        self,
        name: str,
        key: str,
        first: MaintenanceState,
        identity: str,
        guide: MaintenanceState,
        seed: int,
        now: float,
        proposer: type[Proposer[MaintenanceState]] = Proposer,
    ) -> None:
        self.name, self.key, self.identity, self.now = name, key, identity, now
        self.started = now
        self.random = Random(seed)
        # No two processes propose under one ballot: what was sent to an earlier one may still come.
        self.proposer = proposer(f"{name} {key}", first, self.random)
        # Its voters may be those to ask; it may not be committed, so nothing more is believed of it.
        self.proposer.membership_hint = max(first, guide, key=lambda s: s.epoch)
        self.fleet = FleetObserved(frozenset(), {}, (name,))
        self.orders: list[OperatorCommand] = []
        self.said: dict[str, ReleaseConfirmation] = {}  # what the others say, newest of each
        self.entering: dict[str, tuple[str, float]] = {}  # who is to be registered: its key, and when it said so
        self.told_at = 0.0  # when a relay said that it had heard a majority, and that nothing is newer
        self.say_since = 0.0  # since when there is something to confirm; 0: there is nothing
        self.began = self.read_at = self.tell_at = 0.0
        self.calm_since = now
        self.wait_until, self.failures = now, 0
        self.fleet_at, self.steady_from = -FRESH_MS, now
        self.taken = first
        self.looked = False  # what this relay holds was told after it took up the newest state
        self.why = ""  # the last round came to nothing
        self.effects: list[Effect] = [SetTimer(BEAT_MS * self.random.random(), BEAT)]

    def step(self, now: float, event: Event) -> list[Effect]:
        self.now = max(self.now, now)
        if isinstance(event, MessageReceived):
            self._came(event)
        elif isinstance(event, FleetObserved):
            if self.now > self.fleet_at + FRESH_MS:
                self.steady_from = self.now + FRESH_MS  # after a stall the list's newest word may still wait to be read
            self.fleet, self.fleet_at, self.looked = event, self.now, True
            if event.trouble:
                self.calm_since = self.now
        elif isinstance(event, OperatorCommand):
            if len(self.orders) < MAX_WANTS and event not in self.orders:
                self.orders.append(event)
        else:
            self._beat()
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        return effects

    @property
    def state(self) -> MaintenanceState:
        """The newest committed state that is known."""
        return self.proposer.newest_committed

    @property
    def registered(self) -> bool:
        return self.incarnation > 0

    @property
    def incarnation(self) -> int:
        """As it is registered; 0: it is not."""
        return self.taken.relays.get(self.name, 0) if self.taken.process_keys.get(self.name) == self.key else 0

    @property
    def heard_at(self) -> float:
        """When a majority of the voters was last heard, by this relay or one that said so; 0: never."""
        return max(self.read_at, self.told_at)

    def may_place(self, machine: str) -> bool:
        return self.registered and not self.taken.excludes(machine)

    # --- messages -------------------------------------------------------------------------------

    def _came(self, event: MessageReceived) -> None:
        message = event.message
        if isinstance(message, Prepare | Accept):
            if not self.identity:
                self.effects.append(SendMessage(event.source, Rejected(message.ballot, NO_BALLOT, not_voter=True)))
            else:
                self.effects.append(AskAcceptor(event.source, message))
        elif isinstance(message, Promise | Accepted | Rejected):
            self._carry_out(self.proposer.on_message(event.source, message))
        elif isinstance(message, StateUpdate):
            self.proposer.on_committed(message.state)
            self._take()
        elif isinstance(message, ReleaseConfirmation):
            if event.source in self.taken.relays:
                self.said[event.source] = message
        elif isinstance(message, RegisterRelay):
            if event.source in self.entering or len(self.entering) < MAX_ENTERING:
                self.entering[event.source] = (message.key, self.now)
        elif isinstance(message, LatestVersion):
            if message.version <= self.state.version:
                self.told_at = self.now
            else:
                self.effects.append(SendMessage(event.source, CatchUpRequest(self.state.version)))
        elif isinstance(message, CatchUpRequest) and self.state.version > message.version:
            self.effects.append(SendMessage(event.source, StateUpdate(self.state)))

    def _carry_out(self, effects: list[ProposerEffect[MaintenanceState]]) -> None:
        for effect in effects:
            if isinstance(effect, SendToAcceptor):
                self.effects.append(SendMessage(effect.acceptor, effect.message))
            elif isinstance(effect, Committed):
                self.failures, self.read_at, self.why = 0, self.now, ""
                if effect.changed:
                    for name in sorted({*effect.state.relays, *effect.state.voters, *self.fleet.there} - {self.name}):
                        self.effects.append(SendMessage(name, StateUpdate(effect.state)))
                self._take()
            elif isinstance(effect, RoundFailed):
                self.why = effect.reason
                self._wait()
                if not self.registered:
                    others = [name for name in self.fleet.there if name != self.name]
                    for name in self.random.sample(others, min(MAX_ASKED, len(others))):
                        self.effects.append(SendMessage(name, CatchUpRequest(self.state.version)))

    def _wait(self) -> None:
        """So that two proposers do not keep one another from their majority."""
        self.failures = min(self.failures + 1, 6)
        self.wait_until = self.now + self.random.uniform(0.0, min(MAX_BACK_MS, BEAT_MS * 2.0**self.failures))

    def _take(self) -> None:
        if self.state.version > self.taken.version:
            self._say(self.taken, self.state)
            was = self.incarnation
            self.taken, self.looked = self.state, False
            self.effects.append(StateCommitted(self.state))
            if self.incarnation != was:
                took = (self.now - self.started) / 1000.0
                self.effects.append(
                    LogMessage(
                        f"registered as life {self.incarnation}, {took:.1f} s after the start"
                        if self.incarnation
                        else "somebody said that this relay has ended: nothing is placed until it is registered anew"
                    )
                )

    def _say(self, old: MaintenanceState, new: MaintenanceState) -> None:
        for machine, out in old.evacuations.items():
            now = new.evacuations.get(machine)
            if now is None or now.number != out.number:
                why = f": {new.pause_reason or 'cancelled'}" if out.stage == EMPTYING else ""
                back = "is back" if out.stage != EMPTYING else "was given back unemptied"
                self.effects.append(LogMessage(f"turn {out.number}: {machine} {back}{why}"))
        for machine, out in new.evacuations.items():
            was = old.evacuations.get(machine)
            if was is None or was.number != out.number or was.stage != out.stage:
                self.effects.append(
                    LogMessage(f"turn {out.number}: {machine} is {out.stage}, by request {out.request_id}")
                )
        if new.pause_reason != old.pause_reason:
            self.effects.append(
                LogMessage(f"turns are paused: {new.pause_reason}" if new.pause_reason else "turns go on")
            )
        for number, request in new.requests.items():
            known = old.requests.get(number)
            if known is None or known.state != request.state:
                why = f": {request.reason}" if request.reason else ""
                self.effects.append(
                    LogMessage(f"request {number} for {len(request.request.backends)} machines is {request.state}{why}")
                )

    # --- what is wanted -------------------------------------------------------------------------

    def _beat(self) -> None:
        mine = self._mine()
        if not mine:
            self.say_since = 0.0
        else:
            self.say_since = self.say_since or self.now
            if not self._duty():
                self.effects.append(SendMessage(min(self.fleet.there), ReleaseConfirmation(self.incarnation, mine)))
        if not self.registered and not self._duty():
            self.effects.append(SendMessage(min(self.fleet.there), RegisterRelay(self.key)))
        if self.proposer.round is not None and self.now >= self.began + ROUND_MS:
            self._carry_out(self.proposer.give_up("no majority in time"))
        if self.proposer.round is None and self.now >= self.wait_until:
            self._drop_done()
            busy = bool(not self.registered or self.state.evacuations or self.orders)
            again = READ_MS if busy else NEWEST_MS if self._duty() else READ_IDLE_MS
            if self.now >= self.heard_at + again * (1.0 + self.random.random()) or self._change(self.state) is not None:
                self.began = self.now
                self._carry_out(self.proposer.start(self._change))
        if self._duty() and self.now >= self.tell_at + (TELL_MS if self.state.evacuations else NEWEST_MS):
            self._remind()
        self.effects.append(SetTimer(BEAT_MS * self.random.uniform(0.8, 1.2), BEAT))

    def _remind(self) -> None:
        """Who has not confirmed may not have heard. The others are told what is newest, so that they need not read:
        each read stands in the way of changes."""
        self.tell_at = self.now
        state = self.state
        if self.now <= self.read_at + 3.0 * NEWEST_MS:
            for name in self.fleet.there:
                if name != self.name:
                    self.effects.append(SendMessage(name, LatestVersion(state.version)))
        missing = {
            n for m, o in state.evacuations.items() if o.stage == EMPTYING for n in state.unconfirmed_relays(m)
        } - {self.name}
        for name in sorted(missing.intersection(self.fleet.there)):
            self.effects.append(SendMessage(name, StateUpdate(state)))

    def _drop_done(self) -> None:
        """Words and orders that a committed state has, or can no longer take."""
        for name in [name for name in self.said if name not in self.state.relays]:
            del self.said[name]
        for name, (key, at) in list(self.entering.items()):
            # Who still waits says so again; a word that lies about may be of a process that has ended.
            if self.state.process_keys.get(name) == key or self.now > at + ENTER_MS:
                del self.entering[name]
        self.orders = [order for order in self.orders if self._ordered(self.state, order) is not None]

    def _change(self, state: MaintenanceState) -> MaintenanceState | None:
        """All that this relay wants changed, in one go."""
        steps: list[Callable[[MaintenanceState], MaintenanceState | None]] = []
        if not self.registered and (self._duty() or self.now >= self.started + ENTER_MS):
            steps.append(lambda s: s.with_relay(self.name, self.key))
        steps.append(self._revises)
        steps += [lambda s, order=order: self._ordered(s, order) for order in self.orders]  # type: ignore[misc]
        steps += [self._confirms, self._votes_again]
        if self._duty():
            steps += [
                lambda s, n=name, k=key: s.with_relay(n, k)  # type: ignore[misc]
                for name, (key, _) in self.entering.items()
            ]
            steps += [
                lambda s, n=name, w=word: s.with_confirmations(n, w.incarnation, w.turns)  # type: ignore[misc]
                for name, word in self.said.items()
            ]
            steps += [self._troubled, self._advances]
        found: MaintenanceState = state
        for step in steps:
            found = step(found) or found
        return found if found.version > state.version else None

    @property
    def _fresh(self) -> bool:
        return self.now <= self.fleet_at + FRESH_MS and self.now >= self.steady_from

    def _advances(self, state: MaintenanceState) -> MaintenanceState | None:
        return state.advanced(self.fleet.seen) if self._fresh else None

    def _revises(self, state: MaintenanceState) -> MaintenanceState | None:
        """Turns that a minority holds since a proposer failed, who knows how long ago: they become agreed on by this
        round, so they must fit what is there now."""
        doubtful = [
            m
            for m, out in state.evacuations.items()
            if out.stage == EMPTYING and out.number > self.state.last_evacuation_number
        ]
        if not doubtful or (self._fresh and state.meets_capacity_floors(self.fleet.seen)):
            return None
        return state.with_evacuations_reverted(doubtful)

    def _troubled(self, state: MaintenanceState) -> MaintenanceState | None:
        if self.fleet.trouble:
            return state.with_pause(self.fleet.trouble)
        return state.without_pause() if self.now >= self.calm_since + CALM_MS else None

    def _duty(self) -> bool:
        """The first of the members by name brings things on; who it is need not be agreed on."""
        return self.name == min(self.fleet.there, default=self.name)

    def _mine(self) -> dict[str, int]:
        """What this relay can confirm: only turns that it has taken up, since it places nothing there since then, and
        only by a look after that: a connection may have come between the last look and the turn."""
        if not self.registered or not self.looked:
            return {}
        return {
            m: out.number
            for m, out in self.taken.evacuations.items()
            if out.stage == EMPTYING
            and m not in self.fleet.holds
            and (self.name, self.incarnation) not in out.confirmed_by
        }

    def _confirms(self, state: MaintenanceState) -> MaintenanceState | None:
        mine = self._mine()
        itself = self._duty() or self.now >= self.say_since + SAY_MS
        return state.with_confirmations(self.name, self.incarnation, mine) if mine and itself else None

    def _votes_again(self, state: MaintenanceState) -> MaintenanceState | None:
        """With another file than the voters know of: the one before was lost, and what it promised with it. The
        others take the new one in, all of them, before it counts."""
        if not self.identity or self.name not in state.voters:
            return None
        return state.with_voter(self.name, self.identity)

    def _ordered(self, state: MaintenanceState, order: OperatorCommand) -> MaintenanceState | None:
        what, more = order.what, order.more
        found: MaintenanceState | None = None
        if order.kind == "ask" and isinstance(what, MaintenanceRequest):
            found = state.with_request(what, more)
        elif order.kind == "done":
            found = state.with_work_completed(what, more)
        elif order.kind == "give up":
            found = state.with_backend_abandoned(what, more)
        elif order.kind == "cancel":
            found = state.with_request_cancelled(what, more)
        elif order.kind == "ended":
            found = state.without_relay(what, more)
        elif order.kind == "pause":
            found = state.with_pause(what, True)
        elif order.kind == "resume":
            found = state.without_pause(what)
        elif order.kind == "voter":
            found = state.with_voter(what, more)
        elif order.kind == "no voter":
            found = state.without_voter(what)
        return found
