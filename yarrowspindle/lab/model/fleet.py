"""The fleet: nodes, relays, the front between them and the submitters, the machine list, and what is measured."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from yarrowspindle.interface import ListKind, RequestClass, Settings, State
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.lab.model.node import ModelNode
from yarrowspindle.lab.model.relay import ModelRelay, machine
from yarrowspindle.lab.model.rules import Rules
from yarrowspindle.lab.model.submitter import Submitter
from yarrowspindle.rebalance import RebalanceSettings
from yarrowspindle.routing.ending import Ending
from yarrowspindle.routing.messages import ListTold, Rebalance

AGAIN_MS = (60.0, 1400.0)  # a moved or broken submitter comes again within this time
SIZES = (6.0, 4.8, 2.4)  # kinds of machines: three fast cores, four middling, three slow


@dataclass(slots=True, frozen=True)
class FleetSpec:
    """Times in seconds where the name says `_s`, else milliseconds; loads in milliseconds of work a second."""

    relays: int = 3
    nodes: int = 12
    connections: int = 2000
    life_s: float = 600.0
    filled: float = 0.5  # load over the capacity of all nodes
    load_cv: float = 0.4
    load_every_s: float = 30.0  # a connection's load changes about this often
    swing: float = 0.25
    grouped: float = 0.3  # the share of submitters that belong to a group
    group_size: int = 4
    speed_cv: float = 0.1  # how far nodes are from what their size says
    weights: tuple[float, ...] = ()  # of the relays at the front; equal where empty
    notice_ms: tuple[float, float] = (200.0, 1500.0)  # of the machine list
    never_back: float = 0.0  # the share of moved submitters that do not come again
    late_back: float = 0.0  # the share that comes again within 20 s only
    cold_ms: float = 9000.0
    cold_share: float = 0.31
    fall_multiple: float = 3.0
    fall_ms: float = 1500.0
    set_up_ms: float = 8.0
    node_most: int = 10_000  # connections that a node takes; beyond that it turns new ones away
    deadline_ms: float = 4800.0
    answer_slack_ms: float = 50.0
    retry_after: bool = True
    tells_delay: bool = True
    by_own_load: bool = False  # as the platform's relays judge
    zones: int = 1  # nodes and relays lie in them by turns; crossing has a price where there are several
    rebalance: RebalanceSettings | None = None
    alike: bool = field(default=False)  # all relays plan in the same instant


class Fleet:
    def __init__(self, spec: FleetSpec, seed: int) -> None:
        self.spec, self.seed = spec, seed
        self.clock = VirtualClock()
        self.rules = Rules()
        self.random = Random(seed)  # of the submitters and the network
        self.counts: Counter[str] = Counter()
        self.moves_at: Counter[int] = Counter()  # moves in each second of the run
        self.nodes: dict[str, ModelNode] = {}
        self.order: dict[str, int] = {}
        self.submitters: set[Submitter] = set()
        self.keys = 0
        self.ended = False  # nobody opens a connection any more
        self.version = 1
        self.moves_most = 0
        self.wanted = self.served = 0.0
        self.samples: list[Callable[[float], None]] = []
        drawn = Random(seed + 1)
        sizes = [SIZES[n % len(SIZES)] for n in range(spec.nodes)]
        self.unit_load = spec.filled * sum(sizes) * 1000.0 / max(spec.connections, 1) / (1.0 + spec.grouped / 3.0)
        for size in sizes:
            self.add_node(size, drawn)
        settings = Settings(
            classes=(RequestClass(800.0, spec.deadline_ms, message_aim_ms=150.0),), balancers=spec.relays,
            max_attempts=3, max_retry_after_ms=2000.0, retry_after=spec.retry_after, may_cancel=True,
            cold_share=spec.cold_share, cold_ms=spec.cold_ms, fall_multiple=spec.fall_multiple, fall_ms=spec.fall_ms,
            answer_slack_ms=spec.answer_slack_ms, drain_grace_ms=400.0, tells_delay=spec.tells_delay,
            by_own_load=spec.by_own_load, zones=spec.zones,
            cross_zone_price=0.1 if spec.zones > 1 else 0.0)  # fmt: skip
        self.settings, self.starts = settings, 0
        self.relays = [self._relay(i) for i in range(spec.relays)]
        self.weights = list(spec.weights) or [1.0] * spec.relays
        whole = self.whole_list()
        for relay in self.relays:
            relay.post(replace(whole))
        self.configure(spec.rebalance)
        self.clock.after(1000.0, self._sample)

    def _relay(self, index: int) -> ModelRelay:
        """A relay as it starts, with a seed of its own."""
        self.starts += 1
        own = replace(self.settings, number=index, zone=index % self.spec.zones)
        return ModelRelay(self, index, own, self.seed * 1009 + self.starts - 1)

    def restart_relays(self, relays: list[ModelRelay], after_ms: float) -> None:
        """They are killed at once, and start again from nothing; what they held breaks and comes again."""
        for relay in relays:
            relay.die()
            self.clock.after(after_ms, self._start_again, relay.index)

    def _start_again(self, index: int) -> None:
        self.relays[index] = self._relay(index)
        self.relays[index].post(self.whole_list())

    def configure(self, settings: RebalanceSettings | None) -> None:
        """What SIGHUP does at all relays at once."""
        for relay in self.relays:
            if settings is not None or relay.reducer.rebalance is not None:
                relay.post(Rebalance(settings, 7 if self.spec.alike else self.seed * 31 + relay.index))

    # --- nodes and the list ---------------------------------------------------------------------

    def add_node(self, size: float, drawn: Random | None = None, started: bool = False) -> ModelNode:
        spec = self.spec
        name = f"s-{len(self.order):04d}"
        power = size * max(0.5, (drawn or self.random).gauss(1.0, spec.speed_cv))
        node = ModelNode(
            name, len(self.order) % spec.zones, size, power,
            cold_ms=spec.cold_ms, cold_share=spec.cold_share, fall_multiple=spec.fall_multiple,
            fall_ms=spec.fall_ms, group_load=self.unit_load, set_up_ms=spec.set_up_ms, most=spec.node_most)  # fmt: skip
        node.started = self.clock.time if started else 0.0
        self.nodes[name] = node
        self.order[name] = len(self.order)
        return node

    def whole_list(self) -> ListTold:
        machines = [machine(n, self.order[n.name], n.state) for n in self.nodes.values() if n.state is not State.GONE]
        return ListTold(ListKind.CACHED, machines, self.version)

    def tell(self, state: State, *nodes: ModelNode) -> None:
        """The list says so, in one change; each relay hears of it in its own time."""
        self.version += 1
        for node in nodes:
            node.state = state
        for relay in self.relays:
            machines = [machine(node, self.order[node.name], state) for node in nodes]
            told = ListTold(ListKind.DELTA, machines, self.version)
            self.clock.after(self.random.uniform(*self.spec.notice_ms), relay.list_told, told)

    def kill(self, *nodes: ModelNode) -> None:
        for node in nodes:
            node.alive = False
            self.node_died(node)
        self.tell(State.GONE, *nodes)

    def node_died(self, node: ModelNode) -> None:
        if node.fallen:
            self.rules.note("no cold node falls", self.clock.seconds, node.name)
            self.counts["fallen"] += 1
        for relay in self.relays:
            relay.node_died(node)
        node.held.clear()
        node.groups.clear()
        node.load = 0.0

    def bring_back(self, *nodes: ModelNode) -> None:
        for node in nodes:
            if node.alive:  # a draining one: what it holds ends with its process
                node.alive = False
                self.node_died(node)
            node.restart(self.clock.time)
        self.tell(State.READY, *nodes)

    def latency(self) -> float:
        return self.random.uniform(0.2, 3.0)

    # --- submitters -----------------------------------------------------------------------------

    def fill(self, over_s: float) -> None:
        """The standing connections, then as many new ones as end."""
        for _ in range(self.spec.connections):
            self.clock.after(self.random.uniform(0.0, over_s * 1000.0), self._new, True)
        self._arrivals()

    def _arrivals(self) -> None:
        gap = self.spec.life_s * 1000.0 / max(self.spec.connections, 1)
        self.clock.after(self.random.expovariate(1.0 / gap), self._next_arrival)

    def _next_arrival(self) -> None:
        self._new(False)
        self._arrivals()

    def _new(self, _first: bool) -> None:
        spec = self.spec
        self.keys += 1
        life = self.random.expovariate(1.0 / (spec.life_s * 1000.0))
        group = 0
        if self.random.random() < spec.grouped:
            group = 1 + self.random.randrange(max(1, int(spec.connections * spec.grouped / spec.group_size)))
        load = self.unit_load * self.random.lognormvariate(-0.5 * spec.load_cv**2, spec.load_cv)
        submitter = Submitter(self.keys, group, load, self.clock.time + life)
        self.submitters.add(submitter)
        self.clock.after(life, self._end, submitter)
        if spec.load_every_s > 0.0:
            self.clock.after(self._next_load(), self._swing, submitter)
        self.open(submitter)

    def _next_load(self) -> float:
        return self.random.expovariate(1.0 / (self.spec.load_every_s * 1000.0))

    def _swing(self, submitter: Submitter) -> None:
        if submitter.over:
            return
        submitter.load = submitter.base * max(0.1, self.random.gauss(1.0, self.spec.swing))
        if submitter.up and submitter.relay is not None:
            submitter.relay.load_changed(submitter, submitter.load)
        self.clock.after(self._next_load(), self._swing, submitter)

    def open(self, submitter: Submitter) -> None:
        if submitter.over or self.ended:
            return
        alive = [r for r in self.relays if r.alive]
        if len(alive) == len(self.relays) and not self.spec.weights:
            relay = alive[int(self.random.random() * len(alive))]
        else:
            (relay,) = self.random.choices(alive, [self.weights[r.index] for r in alive])
        submitter.deadline = self.clock.time + self.spec.deadline_ms
        submitter.tries += 1
        self.counts["tries"] += 1
        relay.arrive(submitter, self.spec.deadline_ms)

    def submitter_up(self, submitter: Submitter) -> None:
        submitter.up, submitter.tries, submitter.moved_open = True, 0, False
        self.counts["up"] += 1

    def submitter_refused(self, submitter: Submitter, after_ms: float) -> None:
        self.counts["refused"] += 1
        wait = after_ms or min(200.0 * 2.0 ** min(submitter.tries, 5), 5000.0)
        self.clock.after(wait * self.random.uniform(1.0, 1.2), self.open, submitter)

    def _again(self, submitter: Submitter) -> None:
        submitter.up, submitter.returned = False, True
        self.clock.after(self.random.uniform(*AGAIN_MS), self.open, submitter)

    def submitter_moved(self, submitter: Submitter, node: ModelNode | None) -> None:
        self.counts["moves"] += 1
        self.moves_at[int(self.clock.seconds)] += 1
        submitter.moves += 1
        submitter.moved_open = True
        self.moves_most = max(self.moves_most, submitter.moves)
        draw = self.random.random()
        if draw < self.spec.never_back:
            submitter.up = False
            self.counts["never_back"] += 1
            self._gone(submitter)
        elif draw < self.spec.never_back + self.spec.late_back:
            submitter.up, submitter.returned = False, True
            self.clock.after(self.random.uniform(5000.0, 20_000.0), self.open, submitter)
        else:
            self._again(submitter)

    def submitter_closed(self, submitter: Submitter, ending: Ending) -> None:
        if ending is Ending.SERVED:
            self._gone(submitter)
            return
        self.counts["broken"] += 1
        self._again(submitter)

    def _end(self, submitter: Submitter) -> None:
        """Its time is over: the node ends a standing connection, and one that waits is left."""
        if submitter.over:
            return
        relay = submitter.relay
        if submitter.up and relay is not None:
            relay.served_to_end(submitter)
        else:
            if relay is not None and relay.submitters.get(submitter.job) is submitter:
                relay.leave(submitter)
            self._gone(submitter)

    def _gone(self, submitter: Submitter) -> None:
        submitter.over, submitter.up, submitter.moved_open = True, False, False
        self.submitters.discard(submitter)

    # --- what is measured -----------------------------------------------------------------------

    def _sample(self) -> None:
        self.clock.after(1000.0, self._sample)
        now = self.clock.time
        self.wanted += len(self.submitters)
        self.served += sum(len(n.held) * n.share_served(now) for n in self.nodes.values() if n.held)
        for sample in self.samples:
            sample(self.clock.seconds)

    def imbalance(self, warm_only: bool = True) -> float:
        """Greatest minus mean of load over the capacity told, over usable nodes (those that are warm)."""
        now = self.clock.time
        nodes = [n for n in self.nodes.values() if n.alive and n.state is State.READY
                 and (not warm_only or n.ramp(now) >= 1.0)]  # fmt: skip
        if not nodes:
            return 0.0
        mean = sum(n.load for n in nodes) / sum(n.size for n in nodes) / 1000.0
        return max(n.filled() for n in nodes) - mean

    def fewest_moves(self) -> int:
        """The fewest moves that would even the fleet out now: from each node above the mean, heaviest first, single
        connections that fit into what lies above it. No plan that must not overshoot needs fewer."""
        nodes = [n for n in self.nodes.values() if n.alive and n.state is State.READY]
        mean = sum(n.load for n in nodes) / sum(n.size for n in nodes)
        moves = 0
        for node in nodes:
            above = node.load - mean * node.size
            for load, _ in sorted(node.held.values(), reverse=True):
                if 0.0 < load <= above:
                    above -= load
                    moves += 1
        return moves

    def lost(self) -> int:
        """Submitters that were moved, want to come again, and have not been up since for longer than they need."""
        return sum(1 for s in self.submitters if s.moved_open and s.tries > 6)

    def relay_counts(self, name: str) -> int:
        return sum(r.reducer.rebalance.counts[name] for r in self.relays if r.reducer.rebalance is not None)

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + seconds * 1000.0)
