"""A model checker of the maintenance coordinator: explores all interleavings of a small cluster up to a depth.

The cluster has three relays, all voters, and two backends. Messages may overtake one another or be lost (by never being
delivered). At any moment any relay may crash, once in all, and one new connection may be placed.

Each step is taken by the product's own coordinator. Time is abstracted away: at each tick all timeouts of the relay
have expired. Messages from a relay to its own acceptor are delivered at once. The delivery of a message that changes
nothing is not explored, since it equals the loss of the message. In each state two rules are checked: there are no two
different committed states of one version, and no relay holds a connection at a backend that is free.
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
from yarrowspindle.lab.model.maintenance_cluster import INITIAL_IDENTITY, MaintenanceComponents
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

RELAYS, BACKENDS = ("r0", "r1", "r2"), ("m0", "m1")
OBSERVATIONS = {backend: BackendObservation(0, 1.0, True) for backend in BACKENDS}
AFTER_ALL_TIMEOUTS_MS = 100_000.0  # the time of each step; longer than all timeouts
MAX_IN_FLIGHT = 12  # messages; beyond that the oldest are lost
_encode = msgspec.msgpack.Encoder(order="deterministic").encode


class FixedRandom:
    """A random generator that always returns the lowest value, so that steps are deterministic."""

    def random(self) -> float:
        return 0.0

    def uniform(self, low: float, high: float) -> float:
        return low

    def sample(self, items: list[str], count: int) -> list[str]:
        return items[:count]


@dataclass(slots=True, frozen=True)
class RelaySnapshot:
    """A relay: its pickled coordinator and acceptor, and the backends at which it holds connections."""

    core: bytes
    used_backends: frozenset[str]


@dataclass(slots=True, frozen=True)
class State:
    """A state of the cluster.

    Attributes:
        relays: The relays, in the order of `RELAYS`.
        messages: The messages in flight: source, target and encoded message.
        committed: The digest of each version that a relay reported as committed.
        newest: The newest committed state.
        crashes: The number of crashes that may still occur.
        placements: The number of connections that may still be placed.
        path: The steps that lead to this state.
    """

    relays: tuple[RelaySnapshot, ...]
    messages: tuple[tuple[str, str, bytes], ...]
    committed: tuple[tuple[int, bytes], ...]
    newest: MaintenanceState
    crashes: int = 1
    placements: int = 1
    path: tuple[str, ...] = ()

    def key(self) -> bytes:
        """Return a digest that is equal for states which need not be distinguished."""
        relays = [(relay.core, sorted(relay.used_backends)) for relay in self.relays]
        encoded = _encode([relays, sorted(self.messages), self.committed, self.crashes, self.placements])
        return blake2b(encoded, digest_size=16).digest()


class InvariantViolationError(Exception):
    """A rule is violated; the message names the rule and the steps that lead to the state."""


LoadedRelay = tuple[MaintenanceCoordinator, Acceptor[MaintenanceState]]


def _store(stored: AcceptorState[MaintenanceState]) -> None:
    """Do nothing: after a crash the acceptor's stored state is read from the snapshot before it."""


def _discard(stored: AcceptorState[MaintenanceState]) -> None:
    """Mark an acceptor that writes no file (a planted defect): `successors` restarts it from the initial state."""


def create_relay(
    components: MaintenanceComponents, name: str, stored: AcceptorState[MaintenanceState], key: str = "first"
) -> LoadedRelay:
    """Return a new process of a relay that restarts from the acceptor's stored state."""
    acceptor = components.acceptor(stored, _discard if components.discard_acceptor_writes else _store, float)
    core = components.coordinator(
        name,
        key,
        components.state(dict.fromkeys(RELAYS, INITIAL_IDENTITY)),
        INITIAL_IDENTITY,
        stored.state,
        1,
        AFTER_ALL_TIMEOUTS_MS,
        components.proposer,
    )
    core.random = core.proposer.random = FixedRandom()  # type: ignore[assignment]
    core.take_effects()
    return core, acceptor


def take_snapshot(loaded: LoadedRelay, used_backends: frozenset[str]) -> RelaySnapshot:
    """Return the snapshot of a relay with all times reset, so that states that differ only in times are equal."""
    core = loaded[0]
    core.now = core.round_started_at = core.majority_reached_at = core.reminded_at = 0.0
    core.retry_at = core.confirmable_since = 0.0
    core.version_confirmed_at = core.started_at = 0.0
    core.last_fault_at = core.observed_at = core.observations_valid_from = 0.0
    core.failed_rounds, core.failure_reason = 0, ""
    return RelaySnapshot(pickle.dumps(loaded), used_backends)


def step(
    state: State,
    index: int,
    description: str,
    action: Callable[[LoadedRelay, set[str]], list[Any]],
    delivered: int = -1,
) -> State:
    """Return the state after one relay took a step, and check the rules.

    Args:
        state: The state before.
        index: The relay that takes the step.
        description: The text of the step in the path.
        action: The step: changes the relay and the backends that it uses, and returns the effects.
        delivered: The index of the message that the step delivers; -1 for none.

    Raises:
        InvariantViolationError: The state after the step violates a rule.
    """
    snapshot, name = state.relays[index], RELAYS[index]
    loaded: LoadedRelay = pickle.loads(snapshot.core)
    core, acceptor = loaded
    core.now, core.observed_at, core.observations_valid_from = AFTER_ALL_TIMEOUTS_MS, AFTER_ALL_TIMEOUTS_MS, 0.0
    used_backends = set(snapshot.used_backends)
    messages = [m for number, m in enumerate(state.messages) if number != delivered]
    committed, newest = dict(state.committed), state.newest
    path = (*state.path, description)
    effects = deque(action(loaded, used_backends))
    while effects:
        effect = effects.popleft()
        if isinstance(effect, AskAcceptor):
            effect = SendMessage(effect.source, acceptor.on_message(effect.message))
        if isinstance(effect, SendMessage) and effect.destination == name:
            effects.extend(core.step(AFTER_ALL_TIMEOUTS_MS, MessageReceived(name, effect.message)))
        elif isinstance(effect, SendMessage):
            messages.append((name, effect.destination, encode(effect.message)))
        elif isinstance(effect, StateCommitted):
            digest = blake2b(_encode(effect.state), digest_size=8).digest()
            if committed.setdefault(effect.state.version, digest) != digest:
                raise InvariantViolationError(
                    f"two different committed states of version {effect.state.version} after the steps {' '.join(path)}"
                )
            if effect.state.version > newest.version:
                newest = effect.state
    messages = [m for m in messages if m[1] in RELAYS][-MAX_IN_FLIGHT:]
    relays = tuple(
        take_snapshot(loaded, frozenset(used_backends)) if n == index else r for n, r in enumerate(state.relays)
    )
    successor = replace(
        state,
        relays=relays,
        messages=tuple(messages),
        committed=tuple(sorted(committed.items())),
        newest=newest,
        path=path,
    )
    for backend, evacuation in newest.evacuations.items():
        for number, relay in enumerate(relays):
            if evacuation.stage == FREE and backend in relay.used_backends:
                raise InvariantViolationError(
                    f"{RELAYS[number]} holds a connection at {backend}, which is free, after the steps {' '.join(path)}"
                )
    return successor


def observation(used_backends: set[str]) -> FleetObserved:
    return FleetObserved(frozenset(used_backends), OBSERVATIONS, RELAYS)


# The actions of `step`: each changes the relay and the backends that it uses, and returns the effects.


def tick(loaded: LoadedRelay, used_backends: set[str]) -> list[Any]:
    core = loaded[0]
    return core.step(AFTER_ALL_TIMEOUTS_MS, TimerFired(TICK))


def deliver(source: str, data: bytes, loaded: LoadedRelay, used_backends: set[str]) -> list[Any]:
    return loaded[0].step(AFTER_ALL_TIMEOUTS_MS, MessageReceived(source, decode(data)))


def observe(loaded: LoadedRelay, used_backends: set[str]) -> list[Any]:
    return loaded[0].step(AFTER_ALL_TIMEOUTS_MS, observation(used_backends))


def release_connection(backend: str, loaded: LoadedRelay, used_backends: set[str]) -> list[Any]:
    used_backends.discard(backend)
    return observe(loaded, used_backends)


def place_connection(backend: str, loaded: LoadedRelay, used_backends: set[str]) -> list[Any]:
    used_backends.add(backend)
    return []


def issue_command(command: OperatorCommand, loaded: LoadedRelay, used_backends: set[str]) -> list[Any]:
    return loaded[0].step(AFTER_ALL_TIMEOUTS_MS, command)


def successors(state: State, components: MaintenanceComponents) -> Iterator[State]:
    """Yield the states that one step leads to: a delivery, a tick, a placement, an operator's command or a crash."""
    for number, (source, target, data) in enumerate(state.messages):
        if (source, target, data) not in state.messages[:number]:
            kind = f"{source}>{target}:{data[1]}"
            successor = step(state, RELAYS.index(target), kind, partial(deliver, source, data), number)
            if successor.relays != state.relays or len(successor.messages) >= len(state.messages):
                yield successor
    for index, snapshot in enumerate(state.relays):
        name = RELAYS[index]
        core: MaintenanceCoordinator = pickle.loads(snapshot.core)[0]
        yield step(state, index, f"{name}!tick", tick)
        for backend in BACKENDS:
            if backend in snapshot.used_backends and core.adopted.excludes(backend):
                yield step(state, index, f"{name}-{backend}", partial(release_connection, backend))
            elif state.placements and backend not in snapshot.used_backends and core.may_place(backend):
                yield replace(step(state, index, f"{name}+{backend}", partial(place_connection, backend)), placements=0)
        if not core.observed_since_adoption:
            yield step(state, index, f"{name}!observe", observe)
        for backend, evacuation in core.adopted.evacuations.items():
            command = CompleteWork(backend, evacuation.number)
            if evacuation.stage == FREE and command not in core.commands:
                yield step(state, index, f"{name}!complete {backend}", partial(issue_command, command))
        if state.crashes:
            acceptor: Acceptor[MaintenanceState] = pickle.loads(snapshot.core)[1]
            initial = components.state(dict.fromkeys(RELAYS, INITIAL_IDENTITY))
            stored = (
                AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, initial)
                if acceptor.store is _discard
                else acceptor.stored
            )
            restarted = take_snapshot(create_relay(components, name, stored, "second"), frozenset())
            relays = tuple(restarted if n == index else r for n, r in enumerate(state.relays))
            yield replace(state, relays=relays, crashes=0, path=(*state.path, f"{name}!crash"))


STAGES = ("granted", "last", "free", "back")


def initial_state(components: MaintenanceComponents, stage: str) -> State:
    """Return a state from which the exploration starts, without messages in flight.

    Args:
        components: The implementations under test.
        stage: How far the maintenance of both backends has proceeded. "granted": all relays are registered, each holds
            a connection at the first backend, and all have adopted its evacuation; "last": all relays except one have
            confirmed that they released the backend; "free": all have; "back": the work is complete, and the
            evacuation of the second backend is granted.
    """
    initial = components.state(dict.fromkeys(RELAYS, INITIAL_IDENTITY))
    relays = tuple(
        take_snapshot(
            create_relay(components, name, AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, initial)), frozenset()
        )
        for name in RELAYS
    )
    state = State(relays, (), (), initial)

    def settle(state: State, index: int, action: Callable[[LoadedRelay, set[str]], list[Any]]) -> State:
        state = step(state, index, "", action)
        while state.messages:
            source, target, data = state.messages[0]
            state = step(state, RELAYS.index(target), "", partial(deliver, source, data), 0)
        return state

    for index in (2, 1, 0):
        state = settle(state, index, tick)
    for index in range(3):
        state = settle(state, index, place_on_first_backend)
    state = settle(settle(state, 0, partial(issue_command, QueueRequest(MaintenanceRequest(BACKENDS), 0))), 0, tick)
    stage_index = STAGES.index(stage)
    if stage_index >= 1:
        released = (1, 2, 0)[: 3 if stage_index >= 2 else 2]
        for index in released:
            state = settle(state, index, partial(release_connection, BACKENDS[0]))
        for index in released * 2:
            state = settle(settle(state, index, observe), index, tick)
    if stage_index >= 3:
        number = state.newest.evacuations[BACKENDS[0]].number
        state = settle(settle(state, 0, partial(issue_command, CompleteWork(BACKENDS[0], number))), 0, tick)
    return replace(state, path=())


def place_on_first_backend(loaded: LoadedRelay, used_backends: set[str]) -> list[Any]:
    used_backends.add(BACKENDS[0])
    return observe(loaded, used_backends)


def expand(components: MaintenanceComponents, states: list[State]) -> tuple[list[tuple[bytes, State]], str]:
    """Return the different successors of the states with their keys, and the first violation, as a task of a pool."""
    successors_by_key: dict[bytes, State] = {}
    for state in states:
        try:
            for successor in successors(state, components):
                successors_by_key.setdefault(successor.key(), successor)
        except InvariantViolationError as violation:
            return [], str(violation)
    return list(successors_by_key.items()), ""


@dataclass(slots=True, frozen=True)
class Exploration:
    """The result of an exploration.

    Attributes:
        states: The number of different states that were reached.
        depth: The depth that was reached.
        complete: Whether all states up to that depth were explored without a violation.
        violation: The first violation; empty if there was none.
    """

    states: int
    depth: int
    complete: bool
    violation: str = ""


def explore(
    depth: int,
    limit: int,
    components: MaintenanceComponents | None = None,
    stage: str = "granted",
    pool: Executor | None = None,
    workers: int = 1,
) -> Exploration:
    """Explore breadth-first until the depth is reached, there are more than `limit` states, or a rule is violated."""
    selected_components = components or MaintenanceComponents()
    start = initial_state(selected_components, stage)
    seen, level = {start.key()}, [start]
    for number in range(1, depth + 1):
        next_level: list[State] = []
        size = max(1, min(200, len(level) // workers + 1))
        chunks = [level[offset : offset + size] for offset in range(0, len(level), size)]
        mapper = pool.map if pool is not None else map
        for successor_states, violation in mapper(partial(expand, selected_components), chunks):
            if violation:
                return Exploration(len(seen), number, False, violation)
            for key, state in successor_states:
                if key not in seen:
                    seen.add(key)
                    next_level.append(state)
            if len(seen) > limit:
                return Exploration(len(seen), number - 1, False)
        level = next_level
    return Exploration(len(seen), depth, True)
