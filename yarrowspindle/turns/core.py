"""One relay's part in turns: `(state, event) -> effects`. It votes where it has a file, proposes what it wants
changed, and says which machines are kept off and which are to be emptied.

Driven by the virtual clock of `lab/model/turning.py`; not wired into the daemon yet.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from yarrowspindle.turns import register
from yarrowspindle.turns.register import Accept, Accepted, Committed, Failed, Prepare, Promise, Proposer, Refused, Voter
from yarrowspindle.turns.state import EMPTYING, Seen, TurnState, Wish

BEAT_MS, ROUND_MS, READ_MS = 150.0, 400.0, 1500.0
BACK_MOST_MS = 1200.0
BEAT = "beat"
WANTS_MOST = 64


# --- events -------------------------------------------------------------------------------------


@dataclass(slots=True)
class Came:
    source: str
    message: Any  # of the register, or `Learn`


@dataclass(slots=True)
class Woke:
    what: object


@dataclass(slots=True)
class Fleet:
    """What this relay knows of itself and the list. holds: machines where it has connections or an attempt is out.
    seen: the machine list. there: members that are there, this one included, by name."""

    holds: frozenset[str]
    seen: Mapping[str, Seen]
    there: tuple[str, ...]


@dataclass(slots=True)
class Order:
    """An operator's word; done once it stands in a committed state."""

    kind: str  # "ask", "done", "cancel", "ended" (a relay), "pause", "resume", "voter", "no voter"
    what: Any
    more: Any = None


Event = Came | Woke | Fleet | Order


# --- effects ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    to: str
    message: Any


@dataclass(slots=True)
class Wake:
    delay_ms: float
    what: object


@dataclass(slots=True)
class Took:
    """A committed state was taken up: from here on these machines are kept off, and those emptying are to be
    emptied."""

    state: TurnState


@dataclass(slots=True)
class Note:
    text: str


Effect = Send | Wake | Took | Note


@dataclass(slots=True, frozen=True)
class Learn:
    """A committed state, told to all."""

    state: TurnState


class Turns:
    """voter: where this relay has a file; None where not. first: the state that all start from."""

    def __init__(self, name: str, life: int, first: TurnState, voter: Voter[TurnState] | None, seed: int, now: float,
                 proposer: type[Proposer[TurnState]] = Proposer) -> None:  # fmt: skip
        self.name, self.life, self.voter, self.now = name, life, voter, now
        self.random = Random(seed)
        self.proposer = proposer(name, first, self.random)
        self.fleet = Fleet(frozenset(), {}, (name,))
        self.orders: list[Order] = []
        self.began = self.read_at = 0.0
        self.wait_until, self.failures = now, 0
        self.taken = first
        self.effects: list[Effect] = [Wake(BEAT_MS * self.random.random(), BEAT)]

    def step(self, now: float, event: Event) -> list[Effect]:
        self.now = max(self.now, now)
        if isinstance(event, Came):
            self._came(event)
        elif isinstance(event, Fleet):
            self.fleet = event
        elif isinstance(event, Order):
            if len(self.orders) < WANTS_MOST:
                self.orders.append(event)
        else:
            self._beat()
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        return effects

    @property
    def state(self) -> TurnState:
        """The newest committed state that is known."""
        return self.proposer.known

    @property
    def registered(self) -> bool:
        return self.state.relays.get(self.name) == self.life

    def may_place(self, machine: str) -> bool:
        return self.registered and not self.state.keeps_off(machine)

    # --- messages -------------------------------------------------------------------------------

    def _came(self, event: Came) -> None:
        message = event.message
        if isinstance(message, Prepare | Accept):
            if self.voter is None:
                self.effects.append(Send(event.source, Refused(message.ballot, register.NONE, not_voter=True)))
                return
            try:
                answer = self.voter.told(message)
            except OSError as error:
                self.effects.append(Note(f"the turns' file cannot be written, so nothing is voted: {error}"))
                return
            self.effects.append(Send(event.source, answer))
        elif isinstance(message, Promise | Accepted | Refused):
            self._carry_out(self.proposer.told(event.source, message))
        elif isinstance(message, Learn):
            self.proposer.learned(message.state)
            self._take()

    def _carry_out(self, effects: list[register.Effect[TurnState]]) -> None:
        for effect in effects:
            if isinstance(effect, register.Send):
                self.effects.append(Send(effect.to, effect.message))
            elif isinstance(effect, Committed):
                self.failures, self.read_at = 0, self.now
                if effect.changed:
                    for name in sorted({*effect.state.relays, *effect.state.voters, *self.fleet.there} - {self.name}):
                        self.effects.append(Send(name, Learn(effect.state)))
                self._take()
            elif isinstance(effect, Failed):
                self._wait()

    def _wait(self) -> None:
        """So that two proposers do not keep one another from their majority."""
        self.failures = min(self.failures + 1, 6)
        self.wait_until = self.now + self.random.uniform(0.0, min(BACK_MOST_MS, BEAT_MS * 2.0**self.failures))

    def _take(self) -> None:
        if self.state.version > self.taken.version:
            self._say(self.taken, self.state)
            self.taken = self.state
            self.effects.append(Took(self.state))

    def _say(self, old: TurnState, new: TurnState) -> None:
        for machine, out in new.out.items():
            was = old.out.get(machine)
            if was is None or was.turn != out.turn or was.stage != out.stage:
                self.effects.append(Note(f"turn {out.turn}: {machine} is {out.stage}"))
        for machine, out in old.out.items():
            if machine not in new.out:
                back = "is back" if out.stage != EMPTYING else "was given back unemptied"
                self.effects.append(Note(f"turn {out.turn}: {machine} {back}{': ' + new.paused if new.paused else ''}"))

    # --- what is wanted -------------------------------------------------------------------------

    def _beat(self) -> None:
        if self.proposer.round is not None and self.now >= self.began + ROUND_MS:
            self._carry_out(self.proposer.give_up("no majority in time"))
        if self.proposer.round is None and self.now >= self.wait_until:
            self._drop_done()
            reads = self.now >= self.read_at + READ_MS * (1.0 + self.random.random())
            if reads or self._change(self.state) is not None:
                self.began = self.now
                self._carry_out(self.proposer.start(self._change))
        self.effects.append(Wake(BEAT_MS * self.random.uniform(0.8, 1.2), BEAT))

    def _drop_done(self) -> None:
        """Orders that a committed state has, or can no longer take."""
        self.orders = [order for order in self.orders if self._ordered(self.state, order) is not None]

    def _change(self, state: TurnState) -> TurnState | None:
        """All that this relay wants changed, in one go."""
        steps: list[Callable[[TurnState], TurnState | None]] = [lambda s: s.registered(self.name, self.life)]
        steps += [lambda s, order=order: self._ordered(s, order) for order in self.orders]  # type: ignore[misc]
        steps += [self._confirms, self._votes_again]
        if self._duty():
            steps.append(lambda s: s.advanced(self.fleet.seen))
        found: TurnState = state
        for step in steps:
            found = step(found) or found
        return found if found.version > state.version else None

    def _duty(self) -> bool:
        """The first of the members by name brings things on; who it is need not be agreed on."""
        return self.name == min(self.fleet.there, default=self.name)

    def _confirms(self, state: TurnState) -> TurnState | None:
        """Only turns that this relay has taken up: it places nothing there since then."""
        mine = {m: out.turn for m, out in self.taken.out.items()
                if out.stage == EMPTYING and m not in self.fleet.holds
                and (self.name, self.life) not in out.confirmed}  # fmt: skip
        return state.confirmed(self.name, self.life, mine) if mine and self.registered else None

    def _votes_again(self, state: TurnState) -> TurnState | None:
        """With another file than the voters know of: the one before was lost, and what it promised with it. The
        others take the new one in, all of them, before it counts."""
        if self.voter is None or self.name not in state.voters:
            return None
        return state.with_voter(self.name, self.voter.kept.identity)

    def _ordered(self, state: TurnState, order: Order) -> TurnState | None:
        what, more = order.what, order.more
        found: TurnState | None = None
        if order.kind == "ask" and isinstance(what, Wish):
            found = state.asked(what) if what.id not in state.requests else None
        elif order.kind == "done":
            found = state.done(what)
        elif order.kind == "cancel":
            found = state.cancelled(what)
        elif order.kind == "ended":
            found = state.left(what, more)
        elif order.kind == "pause":
            found = state.rolled_back(what)
        elif order.kind == "resume":
            found = state.resumed()
        elif order.kind == "voter":
            found = state.with_voter(what, more)
        elif order.kind == "no voter":
            found = state.without_voter(what)
        return found
