"""What the relays agree on: requests, the order, who is out, who confirmed. Each change is a pure function of the
state.

Rules: never more out at once than a request allows (in all, and in each zone), never less ready capacity than its
floor by a turn's doing; a machine is free only when every registered relay confirmed this turn's number or is known
to have ended; turn numbers grow by one and are used once.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from math import inf

EMPTYING, FREE, WARMING = "emptying", "free", "warming"
QUEUED, REFUSED, DONE, CANCELLED = "queued", "refused", "done", "cancelled"
GIVEN, FEWEST = "given", "fewest"
MAX_REQUESTS, MAX_MACHINES, MAX_ENDED, MAX_NAME, MAX_RELAYS = 16, 512, 16, 64, 1024


class MaintenanceError(ValueError):
    """A request or a word that makes no sense; the text says why."""


@dataclass(slots=True, frozen=True)
class BackendObservation:
    """A machine as the proposer's list has it. ready: takes connections, and is warm. held: connections there, as far
    as the proposer knows."""

    zone: int
    capacity: float
    ready: bool
    held: int = 0


@dataclass(slots=True, frozen=True)
class MaintenanceRequest:
    """What operators ask for. most, most_zone: out at once; floor: ready capacity that must stay, in units of the
    list; deadline_s: connections that have not moved by then are moved at once; order: GIVEN, or FEWEST connections
    first (zone by zone is an order that is given: the one who asks sorts). name: tells apart requests that are alike
    otherwise."""

    machines: tuple[str, ...]
    most: int = 1
    most_zone: int = 1
    floor: float = 0.0
    deadline_s: float = 120.0
    order: str = GIVEN
    name: str = ""

    def __post_init__(self) -> None:
        if not self.machines or len(set(self.machines)) != len(self.machines) or len(self.machines) > MAX_MACHINES:
            raise MaintenanceError(f"a request names 1 to {MAX_MACHINES} machines, each once")
        if any(not 0 < len(name) <= MAX_NAME for name in self.machines):
            raise MaintenanceError(f"a machine's name has 1 to {MAX_NAME} characters")
        if min(self.most, self.most_zone) < 1 or not 0.0 <= self.floor < inf or not 0.0 < self.deadline_s <= 86_400.0:
            raise MaintenanceError(
                "most and most_zone are at least 1, floor is not below 0, deadline_s is 86,400 at most"
            )
        if self.order not in (GIVEN, FEWEST):
            raise MaintenanceError(f"order is {GIVEN!r} or {FEWEST!r}")

    @property
    def id(self) -> str:
        """The same for the same wish, wherever it was asked."""
        told = (
            self.machines,
            self.most,
            self.most_zone,
            float(self.floor),
            float(self.deadline_s),
            self.order,
            self.name,
        )
        return blake2b(repr(told).encode(), digest_size=6).hexdigest()


@dataclass(slots=True, frozen=True)
class RequestStatus:
    """at: the version with which it was asked, refused, cancelled or done."""

    wish: MaintenanceRequest
    waiting: tuple[str, ...]
    state: str = QUEUED
    why: str = ""
    at: int = 0


@dataclass(slots=True, frozen=True)
class Evacuation:
    """A machine that is out, by its turn. confirmed: lives of relays that hold nothing there and know of the turn."""

    turn: int
    request: str
    zone: int
    stage: str = EMPTYING
    confirmed: frozenset[tuple[str, int]] = frozenset()


@dataclass(slots=True, frozen=True)
class MaintenanceState:
    voters: Mapping[str, str] = field(default_factory=dict)
    version: int = 0
    epoch: int = 0
    turn: int = 0
    requests: Mapping[str, RequestStatus] = field(default_factory=dict)  # in the order in which they were settled
    out: Mapping[str, Evacuation] = field(default_factory=dict)
    relays: Mapping[str, int] = field(default_factory=dict)  # registered: name -> life
    keys: Mapping[str, str] = field(default_factory=dict)  # and the key of the process
    paused: str = ""  # why no turn is granted; empty: they are
    by_hand: bool = False  # an operator paused them, and an operator lets them go on

    def changed(self, **changes: object) -> MaintenanceState:
        return replace(self, version=self.version + 1, **changes)  # type: ignore[arg-type]

    def at_epoch(self, epoch: int) -> MaintenanceState:
        return self.changed(epoch=epoch)

    # --- reading --------------------------------------------------------------------------------

    def keeps_off(self, machine: str) -> bool:
        """Nothing is placed there."""
        out = self.out.get(machine)
        return out is not None and out.stage != WARMING

    def waits_for(self, machine: str) -> list[str]:
        """Relays whose word is missing for this machine to be free."""
        out = self.out[machine]
        return sorted(name for name, incarnation in self.relays.items() if (name, incarnation) not in out.confirmed)

    # --- relays ---------------------------------------------------------------------------------

    def registered(self, name: str, key: str) -> MaintenanceState | None:
        """A process is there, and reads this state once it sees itself in it. An earlier life of its name has ended.
        Its life is the version that it is registered with, so that no two lives are the same."""
        if self.keys.get(name) == key or (len(self.relays) >= MAX_RELAYS and name not in self.relays):
            return None
        return self.changed(relays={**self.relays, name: self.version + 1}, keys={**self.keys, name: key})._freed()

    def left(self, name: str, incarnation: int) -> MaintenanceState | None:
        """It ended in good order, or an operator says that it has ended."""
        if self.relays.get(name) != incarnation:
            return None
        return self.changed(
            relays={n: at for n, at in self.relays.items() if n != name},
            keys={n: key for n, key in self.keys.items() if n != name},
        )._freed()

    def confirmed(self, name: str, incarnation: int, turns: Mapping[str, int]) -> MaintenanceState | None:
        """This relay holds nothing at these machines, whose turns have these numbers."""
        if self.relays.get(name) != incarnation:
            return None  # it must register first: it may not know what has happened since
        out = dict(self.out)
        for machine, turn in turns.items():
            one = out.get(machine)
            if one is not None and one.turn == turn and one.stage == EMPTYING:
                out[machine] = replace(one, confirmed=one.confirmed | {(name, incarnation)})
        return None if out == dict(self.out) else self.changed(out=out)._freed()

    def _freed(self) -> MaintenanceState:
        out = {
            m: replace(o, stage=FREE) if o.stage == EMPTYING and not self.waits_for(m) else o
            for m, o in self.out.items()
        }
        return replace(self, out=out)

    # --- operators ------------------------------------------------------------------------------

    def asked(self, wish: MaintenanceRequest, since: float = 0) -> MaintenanceState | None:
        """The same wish twice is one; one that names a machine that another wish has not given back is refused. since:
        the version that was known when it was asked for: a word that comes late must not ask again what has ended
        meanwhile."""
        known = self.requests.get(wish.id)
        if known is not None and (known.state == QUEUED or known.at > since):
            return None
        at = self.version + 1
        taken = {m: i for i, r in self.requests.items() if r.state == QUEUED for m in r.wish.machines}
        taken |= {m: o.request for m, o in self.out.items()}
        clash = next((m for m in wish.machines if m in taken), None)
        requests = {i: r for i, r in self.requests.items() if i != wish.id}
        if clash is not None:
            requests[wish.id] = RequestStatus(wish, (), REFUSED, f"{clash} is in request {taken[clash]} already", at)
        elif sum(r.state == QUEUED for r in requests.values()) >= MAX_REQUESTS:
            requests[wish.id] = RequestStatus(wish, (), REFUSED, f"{MAX_REQUESTS} requests are open already", at)
        else:
            requests[wish.id] = RequestStatus(wish, wish.machines, at=at)
        ended = [i for i, r in requests.items() if r.state != QUEUED]
        for old in ended[: max(0, len(ended) - MAX_ENDED)]:
            del requests[old]
        return self.changed(requests=requests)

    def cancelled(self, request: str, at: int) -> MaintenanceState | None:
        """Nothing more of it starts; what has not emptied yet goes back, what is free stays until it is done. at: when
        it was asked for: one that was asked anew since is another."""
        known = self.requests.get(request)
        if known is None or known.state != QUEUED or known.at != at:
            return None
        out = {m: o for m, o in self.out.items() if o.request != request or o.stage != EMPTYING}
        ended = replace(known, waiting=(), state=CANCELLED, at=self.version + 1)
        return self.changed(requests={**self.requests, request: ended}, out=out)

    def done(self, machine: str, turn: int) -> MaintenanceState | None:
        """The work of this turn is over: placed on again, cold. A word on an earlier turn moves nothing."""
        out = self.out.get(machine)
        if out is None or out.stage != FREE or out.turn != turn:
            return None
        return self.changed(out={**self.out, machine: replace(out, stage=WARMING)})

    def given_up(self, machine: str, turn: int) -> MaintenanceState | None:
        """It does not come back, or is not to be waited for: its turn is over."""
        out = self.out.get(machine)
        if out is None or out.stage == EMPTYING or out.turn != turn:
            return None
        return self.changed(out={m: o for m, o in self.out.items() if m != machine})._settled()

    # --- the course of things -------------------------------------------------------------------

    def advanced(self, seen: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        """Who is warm again is back; the next turn is granted where the rules allow it."""
        back = [m for m, o in self.out.items() if o.stage == WARMING and m in seen and seen[m].ready]
        out = {m: o for m, o in self.out.items() if m not in back}
        state = replace(self, out=out)
        granted = None if self.paused else state._granted(seen)
        if granted is None and not back:
            return None
        state = granted if granted is not None else state
        return state.changed()._settled()

    def _settled(self) -> MaintenanceState:
        """Requests of which nothing waits and nothing is out are done."""
        requests = {
            i: replace(r, state=DONE, at=self.version)
            if r.state == QUEUED and not r.waiting and all(o.request != i for o in self.out.values())
            else r
            for i, r in self.requests.items()
        }
        return replace(self, requests=requests)

    def capacity(self, seen: Mapping[str, BackendObservation]) -> float:
        """What is ready, without machines that are out."""
        return sum(s.capacity for m, s in seen.items() if s.ready and m not in self.out)

    def holds_up(
        self, request: RequestStatus, machine: str, seen: Mapping[str, BackendObservation], capacity: float
    ) -> str:
        """Why this machine's turn is not granted now; empty where it may be. capacity: see `capacity`."""
        wish, at = request.wish, seen.get(machine)
        if self.paused:
            return f"paused: {self.paused}"
        if len(self.out) >= wish.most:
            return f"{len(self.out)} out, at most {wish.most} at once"
        if at is None:
            return "not in the machine list"
        if sum(o.zone == at.zone for o in self.out.values()) >= wish.most_zone:
            return f"at most {wish.most_zone} out of its zone at once"
        left = capacity - (at.capacity if at.ready else 0.0)
        return f"ready capacity would be {left:g}, the floor is {wish.floor:g}" if left < wish.floor else ""

    def _granted(self, seen: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        capacity = self.capacity(seen)
        for number, request in self.requests.items():
            wish = request.wish
            if request.state != QUEUED or len(self.out) >= wish.most:
                continue
            waiting = request.waiting
            if wish.order == FEWEST:
                waiting = tuple(sorted(waiting, key=lambda m: seen[m].held if m in seen else 0))
            machine = next((m for m in waiting if not self.holds_up(request, m, seen, capacity)), None)
            if machine is not None:
                out = Evacuation(self.turn + 1, number, seen[machine].zone)
                left = replace(request, waiting=tuple(m for m in request.waiting if m != machine))
                return replace(
                    self, turn=self.turn + 1, out={**self.out, machine: out}, requests={**self.requests, number: left}
                )
        return None

    def rolled_back(self, why: str, by_hand: bool = False) -> MaintenanceState | None:
        """Something died, or the fleet is under pressure: the queue stops, and who has not emptied yet is given
        back."""
        back = [m for m, o in self.out.items() if o.stage == EMPTYING]
        if not back and (self.by_hand or (self.paused and not by_hand)):
            return None
        paused = self.paused if self.by_hand else why
        return replace(self.returned(back), by_hand=self.by_hand or by_hand, paused=paused)

    def returned(self, machines: Collection[str]) -> MaintenanceState:
        """They go back unemptied, to the head of the queue; another turn will have another number."""
        requests = dict(self.requests)
        for machine in machines:
            request = requests[self.out[machine].request]
            requests[self.out[machine].request] = replace(request, waiting=(machine, *request.waiting))
        return self.changed(out={m: o for m, o in self.out.items() if m not in machines}, requests=requests)

    def keeps_floors(self, seen: Mapping[str, BackendObservation]) -> bool:
        """Each machine that empties leaves what its request wants to stay."""
        floors = [self.requests[o.request].wish.floor for o in self.out.values() if o.stage == EMPTYING]
        return self.capacity(seen) >= max(floors, default=0.0)

    def resumed(self, why: str = "") -> MaintenanceState | None:
        """why: the pause that an operator ends; else only one that is not by hand ends."""
        over = self.paused and (self.paused == why if why else not self.by_hand)
        return self.changed(paused="", by_hand=False) if over else None

    # --- voters ---------------------------------------------------------------------------------

    def with_voter(self, name: str, identity: str) -> MaintenanceState | None:
        """One more, or another file of one that is."""
        if self.voters.get(name) == identity:
            return None
        return self.changed(voters={**self.voters, name: identity}, epoch=self.epoch + 1)

    def without_voter(self, name: str) -> MaintenanceState | None:
        if name not in self.voters or len(self.voters) == 1:
            return None
        return self.changed(voters={n: i for n, i in self.voters.items() if n != name}, epoch=self.epoch + 1)
