"""Every interleaving of a small case, to a depth: three relays that all vote, two machines, messages that may be lost
(by never coming) or overtake one another, one crash of any relay at any moment, one new connection at any moment.

The real core takes each step. Time is folded away: a beat finds every wait of its relay over. A relay's words
to its own voter arrive at once. A message that changes nothing is not looked at, since to lose it is the same. Checked
at each state: two committed states of one version, and a connection at a machine that is free.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from functools import partial
from hashlib import blake2b
from typing import Any

import msgspec

from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT
from yarrowspindle.lab.model.maintenance_cluster import FIRST, Parts
from yarrowspindle.maintenance.codec import decode, encode
from yarrowspindle.maintenance.commands import CompleteWork, OperatorCommand, QueueRequest
from yarrowspindle.maintenance.coordinator import TICK, MaintenanceCoordinator
from yarrowspindle.maintenance.events import (
    AskAcceptor,
    FleetObserved,
    MessageReceived,
    SendMessage,
    StateCommitted,
    TimerFired,
)
from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import FREE, BackendObservation, MaintenanceState

NAMES, MACHINES = ("r0", "r1", "r2"), ("m0", "m1")
SEEN = {machine: BackendObservation(0, 1.0, True) for machine in MACHINES}
FAR_MS = 100_000.0  # past every wait
IN_FLIGHT = 12  # messages that are kept; the oldest are lost
_key = msgspec.msgpack.Encoder(order="deterministic").encode


class Still:
    """No chance here."""

    def random(self) -> float:
        return 0.0

    def uniform(self, least: float, most: float) -> float:
        return least

    def sample(self, some: list[str], most: int) -> list[str]:
        return some[:most]


@dataclass(slots=True, frozen=True)
class One:
    """A relay: its core and voter as bytes, and what it holds."""

    core: bytes
    holds: frozenset[str]


@dataclass(slots=True, frozen=True)
class State:
    relays: tuple[One, ...]
    messages: tuple[tuple[str, str, bytes], ...]
    committed: tuple[tuple[int, bytes], ...]  # version -> digest, as any relay has taken it up
    newest: MaintenanceState
    crashes: int = 1
    places: int = 1
    path: tuple[str, ...] = ()

    def key(self) -> bytes:
        parts = [(one.core, sorted(one.holds)) for one in self.relays]
        text = _key([parts, sorted(self.messages), self.committed, self.crashes, self.places])
        return blake2b(text, digest_size=16).digest()


class Broken(Exception):
    """A rule does not hold; the text says which, and by which way."""


Loaded = tuple[MaintenanceCoordinator, Acceptor[MaintenanceState]]


def _store(kept: AcceptorState[MaintenanceState]) -> None:
    """The voter's bytes outlive a crash."""


def _forget(kept: AcceptorState[MaintenanceState]) -> None:
    """Planted: nothing is written. `crash` looks for this."""


def made(parts: Parts, name: str, kept: AcceptorState[MaintenanceState], key: str = "first") -> Loaded:
    voter = parts.voter(kept, _forget if parts.forgets else _store, float)
    core = parts.turns(
        name, key, parts.state(dict.fromkeys(NAMES, FIRST)), FIRST, kept.state, 1, FAR_MS, parts.proposer
    )
    core.random = core.proposer.random = Still()  # type: ignore[assignment]
    core.take_effects()
    return core, voter


def packed(loaded: Loaded, holds: frozenset[str]) -> One:
    """Times are folded away, so that states which differ by them alone are one."""
    core = loaded[0]
    core.now = core.round_started_at = core.majority_reached_at = core.reminded_at = 0.0
    core.retry_at = core.confirmable_since = 0.0
    core.version_confirmed_at = core.started_at = 0.0
    core.last_fault_at = core.observed_at = core.observations_valid_from = 0.0
    core.failed_rounds, core.failure_reason = 0, ""
    return One(pickle.dumps(loaded), holds)


def step(state: State, index: int, what: str, act: Callable[[Loaded, set[str]], list[Any]], without: int = -1) -> State:
    """One relay takes a step; `without`: the message that came by it."""
    one, name = state.relays[index], NAMES[index]
    loaded: Loaded = pickle.loads(one.core)
    core, voter = loaded
    core.now, core.observed_at, core.observations_valid_from = FAR_MS, FAR_MS, 0.0
    holds = set(one.holds)
    messages = [m for number, m in enumerate(state.messages) if number != without]
    committed, newest = dict(state.committed), state.newest
    path = (*state.path, what)
    effects = deque(act(loaded, holds))
    while effects:
        effect = effects.popleft()
        if isinstance(effect, AskAcceptor):
            effect = SendMessage(effect.source, voter.on_message(effect.message))
        if isinstance(effect, SendMessage) and effect.destination == name:
            effects.extend(core.step(FAR_MS, MessageReceived(name, effect.message)))
        elif isinstance(effect, SendMessage):
            messages.append((name, effect.destination, encode(effect.message)))
        elif isinstance(effect, StateCommitted):
            digest = blake2b(_key(effect.state), digest_size=8).digest()
            if committed.setdefault(effect.state.version, digest) != digest:
                raise Broken(f"two states of version {effect.state.version}: {' '.join(path)}")
            if effect.state.version > newest.version:
                newest = effect.state
    messages = [m for m in messages if m[1] in NAMES][-IN_FLIGHT:]
    relays = tuple(packed(loaded, frozenset(holds)) if n == index else r for n, r in enumerate(state.relays))
    found = replace(
        state,
        relays=relays,
        messages=tuple(messages),
        committed=tuple(sorted(committed.items())),
        newest=newest,
        path=path,
    )
    for machine, out in newest.evacuations.items():
        for number, relay in enumerate(relays):
            if out.stage == FREE and machine in relay.holds:
                raise Broken(f"{NAMES[number]} holds at {machine}, which is free: {' '.join(path)}")
    return found


def fleet(holds: set[str]) -> FleetObserved:
    return FleetObserved(frozenset(holds), SEEN, NAMES)


def beat(loaded: Loaded, holds: set[str]) -> list[Any]:
    core = loaded[0]
    return core.step(FAR_MS, TimerFired(TICK))


def came(source: str, data: bytes, loaded: Loaded, holds: set[str]) -> list[Any]:
    return loaded[0].step(FAR_MS, MessageReceived(source, decode(data)))


def look(loaded: Loaded, holds: set[str]) -> list[Any]:
    return loaded[0].step(FAR_MS, fleet(holds))


def leave(machine: str, loaded: Loaded, holds: set[str]) -> list[Any]:
    holds.discard(machine)
    return look(loaded, holds)


def place(machine: str, loaded: Loaded, holds: set[str]) -> list[Any]:
    holds.add(machine)
    return []


def ordered(order: OperatorCommand, loaded: Loaded, holds: set[str]) -> list[Any]:
    return loaded[0].step(FAR_MS, order)


def successors(state: State, parts: Parts) -> Iterator[State]:
    for number, (source, target, data) in enumerate(state.messages):
        if (source, target, data) not in state.messages[:number]:
            kind = f"{source}>{target}:{data[1]}"
            after = step(state, NAMES.index(target), kind, partial(came, source, data), number)
            if after.relays != state.relays or len(after.messages) >= len(state.messages):
                yield after
    for index, one in enumerate(state.relays):
        name = NAMES[index]
        core: MaintenanceCoordinator = pickle.loads(one.core)[0]
        yield step(state, index, f"{name}!beat", beat)
        for machine in MACHINES:
            if machine in one.holds and core.adopted.excludes(machine):
                yield step(state, index, f"{name}-{machine}", partial(leave, machine))
            elif state.places and machine not in one.holds and core.may_place(machine):
                yield replace(step(state, index, f"{name}+{machine}", partial(place, machine)), places=0)
        if not core.observed_since_adoption:
            yield step(state, index, f"{name}!look", look)
        for machine, out in core.adopted.evacuations.items():
            order = CompleteWork(machine, out.number)
            if out.stage == FREE and order not in core.commands:
                yield step(state, index, f"{name}!done {machine}", partial(ordered, order))
        if state.crashes:
            voter: Acceptor[MaintenanceState] = pickle.loads(one.core)[1]
            first = parts.state(dict.fromkeys(NAMES, FIRST))
            kept = AcceptorState(FIRST, NO_BALLOT, NO_BALLOT, first) if voter.store is _forget else voter.stored
            again = packed(made(parts, name, kept, "second"), frozenset())
            relays = tuple(again if n == index else r for n, r in enumerate(state.relays))
            yield replace(state, relays=relays, crashes=0, path=(*state.path, f"{name}!crash"))


STAGES = ("granted", "last", "free", "back")


def begin(parts: Parts, stage: str) -> State:
    """A start of the search, nothing on the way. granted: all have registered, both machines are asked for, each relay
    holds a connection at the first, whose turn all have taken up; last: but for one relay all have confirmed; free: all
    have; back: the work is done, and the second machine's turn is granted."""
    first = parts.state(dict.fromkeys(NAMES, FIRST))
    relays = tuple(
        packed(made(parts, name, AcceptorState(FIRST, NO_BALLOT, NO_BALLOT, first)), frozenset()) for name in NAMES
    )
    state = State(relays, (), (), first)

    def settle(state: State, index: int, act: Callable[[Loaded, set[str]], list[Any]]) -> State:
        state = step(state, index, "", act)
        while state.messages:
            source, target, data = state.messages[0]
            state = step(state, NAMES.index(target), "", partial(came, source, data), 0)
        return state

    for index in (2, 1, 0):
        state = settle(state, index, beat)
    for index in range(3):
        state = settle(state, index, place_first)
    state = settle(settle(state, 0, partial(ordered, QueueRequest(MaintenanceRequest(MACHINES), 0))), 0, beat)
    todo = STAGES.index(stage)
    if todo >= 1:
        gone = (1, 2, 0)[: 3 if todo >= 2 else 2]
        for index in gone:
            state = settle(state, index, partial(leave, MACHINES[0]))
        for index in gone * 2:
            state = settle(settle(state, index, look), index, beat)
    if todo >= 3:
        turn = state.newest.evacuations[MACHINES[0]].number
        state = settle(settle(state, 0, partial(ordered, CompleteWork(MACHINES[0], turn))), 0, beat)
    return replace(state, path=())


def place_first(loaded: Loaded, holds: set[str]) -> list[Any]:
    holds.add(MACHINES[0])
    return look(loaded, holds)


def expanded(parts: Parts, states: list[State]) -> tuple[list[tuple[bytes, State]], str]:
    found: dict[bytes, State] = {}
    for state in states:
        try:
            for after in successors(state, parts):
                found.setdefault(after.key(), after)
        except Broken as broken:
            return [], str(broken)
    return list(found.items()), ""


@dataclass(slots=True, frozen=True)
class Explored:
    states: int
    depth: int
    whole: bool  # all of that depth, not only as many as were allowed
    broken: str = ""


def explore(
    depth: int,
    most: int,
    parts: Parts | None = None,
    stage: str = "granted",
    pool: Executor | None = None,
    workers: int = 1,
) -> Explored:
    """Level by level; stops at the depth, at so many states, or at the first broken rule."""
    chosen = parts or Parts()
    start = begin(chosen, stage)
    seen, level = {start.key()}, [start]
    for number in range(1, depth + 1):
        after: list[State] = []
        size = max(1, min(200, len(level) // workers + 1))
        chunks = [level[at : at + size] for at in range(0, len(level), size)]
        run = pool.map if pool is not None else map
        for found, broken in run(partial(expanded, chosen), chunks):
            if broken:
                return Explored(len(seen), number, False, broken)
            for key, state in found:
                if key not in seen:
                    seen.add(key)
                    after.append(state)
            if len(seen) > most:
                return Explored(len(seen), number - 1, False)
        level = after
    return Explored(len(seen), depth, True)
