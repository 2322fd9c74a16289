"""What the relays agree on: requests, the order, who is out, who confirmed. Each change is a pure function of the
state.

Rules: never more out at once than a request allows (in all, and in each zone), never less ready capacity than its
floor by a turn's doing; a machine is free only when every registered relay confirmed this turn's number or is known
to have ended; turn numbers grow by one and are used once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from hashlib import blake2b

EMPTYING, FREE, WARMING = "emptying", "free", "warming"
QUEUED, REFUSED, DONE, CANCELLED = "queued", "refused", "done", "cancelled"
REQUESTS_MOST, MACHINES_MOST, ENDED_MOST = 16, 512, 16


class TurnError(ValueError):
    """A request or a word that makes no sense; the text says why."""


@dataclass(slots=True, frozen=True)
class Seen:
    """A machine as the proposer's list has it. ready: takes connections, and is warm."""

    zone: int
    capacity: float
    ready: bool


@dataclass(slots=True, frozen=True)
class Wish:
    """What operators ask for. machines: in the wanted order. most, most_zone: out at once; floor: ready capacity that
    must stay, in units of the list; deadline_s: connections that have not moved by then are ended."""

    machines: tuple[str, ...]
    most: int = 1
    most_zone: int = 1
    floor: float = 0.0
    deadline_s: float = 120.0

    def __post_init__(self) -> None:
        if not self.machines or len(set(self.machines)) != len(self.machines) or len(self.machines) > MACHINES_MOST:
            raise TurnError(f"a request names 1 to {MACHINES_MOST} machines, each once")
        if self.most < 1 or self.most_zone < 1 or self.floor < 0.0 or not 0.0 < self.deadline_s <= 86_400.0:
            raise TurnError("most and most_zone are at least 1, floor is not below 0, deadline_s is 86,400 at most")

    @property
    def id(self) -> str:
        """The same for the same wish, wherever it was asked."""
        return blake2b(repr((self.machines, self.most, self.most_zone, self.floor, self.deadline_s)).encode(),
                       digest_size=6).hexdigest()  # fmt: skip


@dataclass(slots=True, frozen=True)
class Request:
    wish: Wish
    waiting: tuple[str, ...]
    state: str = QUEUED
    why: str = ""


@dataclass(slots=True, frozen=True)
class Out:
    """A machine that is out, by its turn. confirmed: lives of relays that hold nothing there and know of the turn."""

    turn: int
    request: str
    zone: int
    stage: str = EMPTYING
    confirmed: frozenset[tuple[str, int]] = frozenset()


@dataclass(slots=True, frozen=True)
class TurnState:
    voters: Mapping[str, str] = field(default_factory=dict)
    version: int = 0
    epoch: int = 0
    turn: int = 0
    requests: Mapping[str, Request] = field(default_factory=dict)  # in the order in which they were settled
    out: Mapping[str, Out] = field(default_factory=dict)
    relays: Mapping[str, int] = field(default_factory=dict)  # registered: name -> life
    paused: str = ""  # why no turn is granted; empty: they are

    def changed(self, **changes: object) -> TurnState:
        return replace(self, version=self.version + 1, **changes)  # type: ignore[arg-type]

    def at_epoch(self, epoch: int) -> TurnState:
        return self.changed(epoch=epoch)

    # --- reading --------------------------------------------------------------------------------

    def keeps_off(self, machine: str) -> bool:
        """Nothing is placed there."""
        out = self.out.get(machine)
        return out is not None and out.stage != WARMING

    def waits_for(self, machine: str) -> list[str]:
        """Relays whose word is missing for this machine to be free."""
        out = self.out[machine]
        return sorted(name for name, life in self.relays.items() if (name, life) not in out.confirmed)

    # --- relays ---------------------------------------------------------------------------------

    def registered(self, name: str, life: int) -> TurnState | None:
        """A process is there, and reads this state by saying so. An earlier life of its name has ended."""
        if self.relays.get(name, -1) >= life:
            return None
        return self.changed(relays={**self.relays, name: life})._freed()

    def left(self, name: str, life: int) -> TurnState | None:
        """It ended in good order, or an operator says that it has ended."""
        if self.relays.get(name) != life:
            return None
        return self.changed(relays={n: at for n, at in self.relays.items() if n != name})._freed()

    def confirmed(self, name: str, life: int, turns: Mapping[str, int]) -> TurnState | None:
        """This relay holds nothing at these machines, whose turns have these numbers."""
        if self.relays.get(name) != life:
            return None  # it must register first: it may not know what has happened since
        out = dict(self.out)
        for machine, turn in turns.items():
            one = out.get(machine)
            if one is not None and one.turn == turn and one.stage == EMPTYING:
                out[machine] = replace(one, confirmed=one.confirmed | {(name, life)})
        return None if out == dict(self.out) else self.changed(out=out)._freed()

    def _freed(self) -> TurnState:
        out = {m: replace(o, stage=FREE) if o.stage == EMPTYING and not self.waits_for(m) else o
               for m, o in self.out.items()}  # fmt: skip
        return replace(self, out=out)

    # --- operators ------------------------------------------------------------------------------

    def asked(self, wish: Wish) -> TurnState | None:
        """The same wish twice is one; one that names a machine that another wish has not given back is refused."""
        known = self.requests.get(wish.id)
        if known is not None and known.state == QUEUED:
            return None
        taken = {m: i for i, r in self.requests.items() if r.state == QUEUED for m in r.wish.machines}
        taken |= {m: o.request for m, o in self.out.items()}
        clash = next((m for m in wish.machines if m in taken), None)
        requests = {i: r for i, r in self.requests.items() if i != wish.id}
        if clash is not None:
            requests[wish.id] = Request(wish, (), REFUSED, f"{clash} is in request {taken[clash]} already")
        elif sum(r.state == QUEUED for r in requests.values()) >= REQUESTS_MOST:
            requests[wish.id] = Request(wish, (), REFUSED, f"{REQUESTS_MOST} requests are open already")
        else:
            requests[wish.id] = Request(wish, wish.machines)
        ended = [i for i, r in requests.items() if r.state != QUEUED]
        for old in ended[: max(0, len(ended) - ENDED_MOST)]:
            del requests[old]
        return self.changed(requests=requests)

    def cancelled(self, request: str) -> TurnState | None:
        """Nothing more of it starts; what has not emptied yet goes back, what is free stays until it is done."""
        known = self.requests.get(request)
        if known is None or known.state != QUEUED:
            return None
        out = {m: o for m, o in self.out.items() if o.request != request or o.stage != EMPTYING}
        return self.changed(requests={**self.requests, request: replace(known, waiting=(), state=CANCELLED)}, out=out)

    def done(self, machine: str) -> TurnState | None:
        """The work is over: placed on again, as a cold machine."""
        out = self.out.get(machine)
        if out is None or out.stage != FREE:
            return None
        return self.changed(out={**self.out, machine: replace(out, stage=WARMING)})

    # --- the course of things -------------------------------------------------------------------

    def advanced(self, seen: Mapping[str, Seen]) -> TurnState | None:
        """Who is warm again is back; the next turn is granted where the rules allow it."""
        back = [m for m, o in self.out.items() if o.stage == WARMING and m in seen and seen[m].ready]
        out = {m: o for m, o in self.out.items() if m not in back}
        state = replace(self, out=out)
        granted = None if self.paused else state._granted(seen)
        if granted is None and not back:
            return None
        state = granted if granted is not None else state
        requests = {i: replace(r, state=DONE) if r.state == QUEUED and not r.waiting
                    and all(o.request != i for o in state.out.values()) else r
                    for i, r in state.requests.items()}  # fmt: skip
        return state.changed(requests=requests)

    def _granted(self, seen: Mapping[str, Seen]) -> TurnState | None:
        in_all, zones = len(self.out), Counter(o.zone for o in self.out.values())
        capacity = sum(s.capacity for m, s in seen.items() if s.ready and m not in self.out)
        for number, request in self.requests.items():
            wish = request.wish
            if request.state != QUEUED or in_all >= wish.most:
                continue
            for machine in request.waiting:
                at = seen.get(machine)
                if at is None or zones[at.zone] >= wish.most_zone:
                    continue  # not in the list just now, or its zone has enough out
                if capacity - (at.capacity if at.ready else 0.0) < wish.floor:
                    continue
                waiting = tuple(m for m in request.waiting if m != machine)
                out = Out(self.turn + 1, number, at.zone)
                return replace(self, turn=self.turn + 1, out={**self.out, machine: out},
                               requests={**self.requests, number: replace(request, waiting=waiting)})  # fmt: skip
        return None

    def rolled_back(self, why: str) -> TurnState | None:
        """Something died, or the fleet is under pressure: the queue stops, and who has not emptied yet is given
        back."""
        back = {m: o for m, o in self.out.items() if o.stage == EMPTYING}
        if self.paused == why and not back:
            return None
        requests = dict(self.requests)
        for machine, out in back.items():
            request = requests[out.request]
            requests[out.request] = replace(request, waiting=(machine, *request.waiting))
        return self.changed(out={m: o for m, o in self.out.items() if m not in back}, requests=requests, paused=why)

    def resumed(self) -> TurnState | None:
        return self.changed(paused="") if self.paused else None

    # --- voters ---------------------------------------------------------------------------------

    def with_voter(self, name: str, identity: str) -> TurnState | None:
        """One more, or another file of one that is."""
        if self.voters.get(name) == identity:
            return None
        return self.changed(voters={**self.voters, name: identity}, epoch=self.epoch + 1)

    def without_voter(self, name: str) -> TurnState | None:
        if name not in self.voters or len(self.voters) == 1:
            return None
        return self.changed(voters={n: i for n, i in self.voters.items() if n != name}, epoch=self.epoch + 1)
