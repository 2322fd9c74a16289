"""The fleet: nodes, relays, the front between them and the submitters, the machine list, and what is measured."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.settings import RequestClass, Settings
from yarrowspindle.lab.model.backend import ModelBackend
from yarrowspindle.lab.model.client import Client
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.lab.model.peer_load_exchange import PeerLoadExchange
from yarrowspindle.lab.model.relay import ModelRelay, machine
from yarrowspindle.lab.model.rules import Rules
from yarrowspindle.rebalancing import RebalanceSettings
from yarrowspindle.routing.events import EndpointsUpdated, PeerLoadsUpdated, RebalancingConfigured
from yarrowspindle.routing.termination import TerminationReason

AGAIN_MS = (60.0, 1400.0)  # a moved or broken submitter comes again within this time
SIZES = (6.0, 4.8, 2.4)  # kinds of machines: three fast cores, four middling, three slow


@dataclass(slots=True, frozen=True)
class ModelClass:
    """A class of connections: its share of those that come, and load and life as multiples of the usual ones."""

    share: float = 1.0
    load: float = 1.0
    incarnation: float = 1.0
    worth: float = 1.0
    aim_ms: float = 800.0
    deadline_ms: float = 4800.0
    message_aim_ms: float = 150.0


@dataclass(slots=True, frozen=True)
class FleetSpec:
    """Times in seconds where the name says `_s`, else milliseconds; loads in milliseconds of work a second."""

    relays: int = 3
    backends: int = 12
    connections: int = 2000
    lifetime_s: float = 600.0
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
    backend_most: int = 10_000  # connections that a node takes; beyond that it turns new ones away
    deadline_ms: float = 4800.0
    answer_slack_ms: float = 50.0
    retry_after: bool = True
    tells_delay: bool = True
    tells_load: bool = True
    hints: bool = True  # a connection's load is told as it comes
    notes: bool = False  # nodes tell message times while they are long
    report_ms: float = 0.0  # nodes answer probes with a load report that is renewed so often; 0: they are not probed
    weights_ms: float = 0.0  # the list's weights are live and renewed so often; 0: they are sizes
    cores: float = 2.0  # of a node, by which live weights are lowered
    group_cost: float = 1.0  # mean connections that a node pays for each group of which it holds any
    drain_grace_ms: float = 400.0
    cross_zone_price: float = 0.1
    classes: tuple[ModelClass, ...] = ()  # one class with `deadline_ms` where empty
    by_own_load: bool = False  # as the platform's relays judge
    zones: int = 1  # nodes and relays lie in them by turns; crossing has a price where there are several
    rebalance: RebalanceSettings | None = None
    # "net": relays hear one another over a virtual network; "known": each knows at once; "": not at all
    peers: str = ""
    peer_keys: tuple[tuple[str, float], ...] = ()  # changes of the peers' settings
    alike: bool = field(default=False)  # all relays plan in the same instant


class Fleet:
    def __init__(self, spec: FleetSpec, seed: int) -> None:
        self.spec, self.seed = spec, seed
        self.clock = VirtualClock()
        self.rules = Rules()
        self.random = Random(seed)  # of the submitters and the network
        self.counts: Counter[str] = Counter()
        self.moves_at: Counter[int] = Counter()  # moves in each second of the run
        self.backends: dict[str, ModelBackend] = {}
        self.order: dict[str, int] = {}
        self.clients: set[Client] = set()
        self.keys = 0
        self.ended = False  # nobody opens a connection any more
        self.version = 1
        self.moves_most = 0
        self.wanted = self.served = 0.0
        self.samples: list[Callable[[float], None]] = []
        drawn = Random(seed + 1)
        sizes = [SIZES[n % len(SIZES)] for n in range(spec.backends)]
        self.classes = spec.classes or (ModelClass(deadline_ms=spec.deadline_ms),)
        usual = sum(c.share * c.incarnation * c.load for c in self.classes) / sum(
            c.share * c.incarnation for c in self.classes
        )
        self.unit_load = spec.filled * sum(sizes) * 1000.0 / max(spec.connections, 1) / (1.0 + spec.grouped / 3.0)
        self.unit_load /= usual  # of a connection of load 1
        self.group_load = spec.group_cost * self.unit_load * usual
        self.crossed = self.stood = 0.0  # seconds of standing connections: across zones, and all
        for size in sizes:
            self.add_backend(size, drawn)
        settings = Settings(
            classes=tuple(
                RequestClass(
                    c.aim_ms, c.deadline_ms, priority_weight=c.worth, message_latency_objective_ms=c.message_aim_ms
                )
                for c in self.classes
            ),
            balancers=spec.relays,
            max_attempts=3,
            max_retry_after_ms=2000.0,
            clients_heed_retry_after=spec.retry_after,
            may_cancel=True,
            initial_capacity_fraction=spec.cold_share,
            warmup_ms=spec.cold_ms,
            overload_multiple=spec.fall_multiple,
            overload_window_ms=spec.fall_ms,
            answer_slack_ms=spec.answer_slack_ms,
            drain_grace_ms=spec.drain_grace_ms,
            backend_reports_latency=spec.tells_delay,
            backend_reports_load=spec.tells_load,
            uses_own_load=spec.by_own_load,
            zones=spec.zones,
            groups_share_work=spec.grouped > 0.0,
            may_probe=spec.report_ms > 0.0,
            load_report_fields=("rif", "x0") if spec.report_ms > 0.0 else (),
            capacity_excludes_load=spec.weights_ms > 0.0,
            cross_zone_price=spec.cross_zone_price if spec.zones > 1 else 0.0,
        )
        self.settings, self.starts = settings, 0
        self.relays = [self._relay(i) for i in range(spec.relays)]
        self.weights = list(spec.weights) or [1.0] * spec.relays
        self.talk = PeerLoadExchange(self.clock, seed, spec.peers, dict(spec.peer_keys)) if spec.peers else None
        for relay in self.relays:
            self._join(relay)
        whole = self.whole_list()
        for relay in self.relays:
            relay.post(replace(whole))
        self.configure(spec.rebalance)
        self.clock.after(1000.0, self._sample)
        if spec.report_ms > 0.0:
            self.clock.after(spec.report_ms, self._refresh)
        if spec.weights_ms > 0.0:
            self.clock.after(spec.weights_ms, self._weigh)

    def _relay(self, index: int) -> ModelRelay:
        """A relay as it starts, with a seed of its own."""
        self.starts += 1
        own = replace(self.settings, number=index, zone=index % self.spec.zones)
        return ModelRelay(self, index, own, self.seed * 1009 + self.starts - 1)

    def _join(self, relay: ModelRelay) -> None:
        if self.talk is not None:
            self.talk.add_relay(
                relay.index,
                relay.reducer.balancer.backends.values,
                lambda others: relay.post(PeerLoadsUpdated(others)),
            )

    def kill_relay(self, index: int) -> None:
        """It ends at once; what it held breaks."""
        self.relays[index].die()
        if self.talk is not None:
            self.talk.remove_relay(index)

    def start_relay(self, index: int) -> None:
        self._start_again(index)

    def restart_relays(self, relays: list[ModelRelay], after_ms: float) -> None:
        """They are killed at once, and start again from nothing; what they held breaks and comes again."""
        for relay in relays:
            self.kill_relay(relay.index)
            self.clock.after(after_ms, self._start_again, relay.index)

    def _start_again(self, index: int) -> None:
        self.relays[index] = self._relay(index)
        self.relays[index].post(self.whole_list())
        self._join(self.relays[index])

    def configure(self, settings: RebalanceSettings | None) -> None:
        """What SIGHUP does at all relays at once."""
        for relay in self.relays:
            if settings is not None or relay.reducer.rebalancer is not None:
                relay.post(RebalancingConfigured(settings, 7 if self.spec.alike else self.seed * 31 + relay.index))

    # --- nodes and the list ---------------------------------------------------------------------

    def add_backend(self, size: float, drawn: Random | None = None, started: bool = False) -> ModelBackend:
        spec = self.spec
        name = f"s-{len(self.order):04d}"
        power = size * max(0.5, (drawn or self.random).gauss(1.0, spec.speed_cv))
        backend = ModelBackend(
            name,
            len(self.order) % spec.zones,
            size,
            power,
            cold_ms=spec.cold_ms,
            cold_share=spec.cold_share,
            fall_multiple=spec.fall_multiple,
            fall_ms=spec.fall_ms,
            group_load=self.group_load,
            set_up_ms=spec.set_up_ms,
            most=spec.backend_most,
        )
        backend.started = self.clock.time if started else 0.0
        self.backends[name] = backend
        self.order[name] = len(self.order)
        return backend

    def whole_list(self) -> EndpointsUpdated:
        machines = [
            machine(n, self.order[n.name], n.state) for n in self.backends.values() if n.state is not EndpointState.GONE
        ]
        return EndpointsUpdated(ListKind.CACHED, machines, self.version)

    def tell(self, state: EndpointState, *backends: ModelBackend) -> None:
        """The list says so, in one change; each relay hears of it in its own time."""
        self.version += 1
        for backend in backends:
            backend.state = state
        for relay in self.relays:
            machines = [machine(backend, self.order[backend.name], state) for backend in backends]
            told = EndpointsUpdated(ListKind.DELTA, machines, self.version)
            self.clock.after(self.random.uniform(*self.spec.notice_ms), relay.list_told, told)

    def drain(self, *backends: ModelBackend) -> None:
        self.tell(EndpointState.DRAINING, *backends)

    def kill(self, *backends: ModelBackend) -> None:
        for backend in backends:
            backend.alive = False
            self.backend_died(backend)
        self.tell(EndpointState.GONE, *backends)

    def backend_died(self, backend: ModelBackend) -> None:
        if backend.fallen:
            self.rules.note("no cold node falls", self.clock.seconds, backend.name)
            self.counts["fallen"] += 1
        for relay in self.relays:
            relay.backend_died(backend)
        backend.drop_all()

    def bring_back(self, *backends: ModelBackend) -> None:
        for backend in backends:
            if backend.alive:  # a draining one: what it holds ends with its process
                backend.alive = False
                self.backend_died(backend)
            backend.restart(self.clock.time)
        self.tell(EndpointState.READY, *backends)

    @property
    def hints(self) -> bool:
        return self.spec.hints

    @property
    def tells_load(self) -> bool:
        return self.spec.tells_load

    @property
    def drain_grace_ms(self) -> float:
        return self.spec.drain_grace_ms

    @property
    def answer_slack_ms(self) -> float:
        return self.spec.answer_slack_ms

    def worth_of(self, cls: int) -> float:
        return self.classes[cls].worth

    def usual_load(self, cls: int) -> float:
        """Of a class, where loads differ by class."""
        return self.unit_load * self.classes[cls].load if self.spec.classes else 0.0

    def latency(self) -> float:
        return self.random.uniform(0.2, 3.0)

    # --- submitters -----------------------------------------------------------------------------

    def fill(self, over_s: float) -> None:
        """The standing connections, then as many new ones as end."""
        for _ in range(self.spec.connections):
            self.clock.after(self.random.uniform(0.0, over_s * 1000.0), self._new, True)
        self._arrivals()

    def _arrivals(self) -> None:
        gap = self.spec.lifetime_s * 1000.0 / max(self.spec.connections, 1)
        self.clock.after(self.random.expovariate(1.0 / gap), self._next_arrival)

    def _next_arrival(self) -> None:
        self._new(False)
        self._arrivals()

    def arrive(self) -> None:
        """One more submitter than usual."""
        self._new(False)

    def _new(self, _first: bool) -> None:
        spec = self.spec
        self.keys += 1
        cls = 0
        if len(self.classes) > 1:
            # Those that stand from the start on are a sample of what stands, in which long lives are the more.
            shares = [c.share * (c.incarnation if _first else 1.0) for c in self.classes]
            (cls,) = self.random.choices(range(len(shares)), shares)
        incarnation = self.random.expovariate(1.0 / (spec.lifetime_s * 1000.0 * self.classes[cls].incarnation))
        group = 0
        if self.random.random() < spec.grouped:
            group = 1 + self.random.randrange(max(1, int(spec.connections * spec.grouped / spec.group_size)))
        load = self.unit_load * self.random.lognormvariate(-0.5 * spec.load_cv**2, spec.load_cv)
        client = Client(self.keys, group, load * self.classes[cls].load, self.clock.time + incarnation, cls)
        self.clients.add(client)
        self.clock.after(incarnation, self._end, client)
        if spec.load_every_s > 0.0:
            self.clock.after(self._next_load(), self._swing, client)
        self.open(client)

    def _next_load(self) -> float:
        return self.random.expovariate(1.0 / (self.spec.load_every_s * 1000.0))

    def _swing(self, client: Client) -> None:
        if client.over:
            return
        client.load = client.base * max(0.1, self.random.gauss(1.0, self.spec.swing))
        if client.up and client.relay is not None:
            client.relay.load_changed(client, client.load)
        self.clock.after(self._next_load(), self._swing, client)

    def open(self, client: Client) -> None:
        if client.over or self.ended:
            return
        alive = [r for r in self.relays if r.alive]
        if len(alive) == len(self.relays) and not self.spec.weights:
            relay = alive[int(self.random.random() * len(alive))]
        else:
            (relay,) = self.random.choices(alive, [self.weights[r.index] for r in alive])
        deadline_ms = self.classes[client.cls].deadline_ms
        client.deadline = self.clock.time + deadline_ms
        client.tries += 1
        self.counts["tries"] += 1
        relay.arrive(client, deadline_ms)

    def client_up(self, client: Client) -> None:
        client.up, client.tries, client.moved_open = True, 0, False
        self.counts["up"] += 1

    def client_refused(self, client: Client, after_ms: float) -> None:
        self.counts["refused"] += 1
        wait = after_ms or min(200.0 * 2.0 ** min(client.tries, 5), 5000.0)
        self.clock.after(wait * self.random.uniform(1.0, 1.2), self.open, client)

    def _again(self, client: Client) -> None:
        client.up, client.returned = False, True
        self.clock.after(self.random.uniform(*AGAIN_MS), self.open, client)

    def client_moved(self, client: Client, backend: ModelBackend | None) -> None:
        self.counts["moves"] += 1
        self.moves_at[int(self.clock.seconds)] += 1
        client.moves += 1
        client.moved_open = True
        self.moves_most = max(self.moves_most, client.moves)
        draw = self.random.random()
        if draw < self.spec.never_back:
            client.up = False
            self.counts["never_back"] += 1
            self._gone(client)
        elif draw < self.spec.never_back + self.spec.late_back:
            client.up, client.returned = False, True
            self.clock.after(self.random.uniform(5000.0, 20_000.0), self.open, client)
        else:
            self._again(client)

    def client_closed(self, client: Client, ending: TerminationReason) -> None:
        if ending is TerminationReason.COMPLETED:
            self._gone(client)
            return
        self.counts["broken"] += 1
        self._again(client)

    def _end(self, client: Client) -> None:
        """Its time is over: the node ends a standing connection, and one that waits is left."""
        if client.over:
            return
        relay = client.relay
        if client.up and relay is not None:
            relay.served_to_end(client)
        else:
            if relay is not None and relay.holds(client):
                relay.leave(client)
            self._gone(client)

    def _gone(self, client: Client) -> None:
        client.over, client.up, client.moved_open = True, False, False
        self.clients.discard(client)

    # --- what is measured -----------------------------------------------------------------------

    def _sample(self) -> None:
        self.clock.after(1000.0, self._sample)
        now = self.clock.time
        self.wanted += sum(self.classes[s.cls].worth for s in self.clients)
        self.served += sum(n.worth * n.share_served(now) for n in self.backends.values() if n.held)
        for client in self.clients:
            zone = client.relay.zone_of(client) if client.up and client.relay else None
            if zone is not None and client.relay is not None:
                self.stood += 1.0
                self.crossed += zone != client.relay.zone
        self._talk(now)
        for sample in self.samples:
            sample(self.clock.seconds)

    def _talk(self, now: float) -> None:
        """What passes on standing connections: lines that nobody answers, and word of long messages."""
        aim = min(c.message_aim_ms for c in self.classes)
        for backend in self.backends.values():
            if not backend.held:
                continue
            for relay in self.relays:
                if not backend.answers:
                    relay.unanswered(backend)
                elif self.spec.notes and backend.message_ms(now, aim) > aim / 3.0:
                    relay.noted(backend, backend.message_ms(now, aim))

    def _refresh(self) -> None:
        self.clock.after(self.spec.report_ms, self._refresh)
        for backend in self.backends.values():
            if backend.alive:
                backend.refresh(self.clock.time)

    def _weigh(self) -> None:
        """The list's weights change, late and the same at all relays."""
        self.clock.after(self.spec.weights_ms, self._weigh)
        self.version += 1
        ready = [n for n in self.backends.values() if n.state is EndpointState.READY]
        for relay in self.relays:
            machines = [machine(n, self.order[n.name], n.state, n.weight(self.spec.cores)) for n in ready]
            told = EndpointsUpdated(ListKind.DELTA, machines, self.version)
            self.clock.after(self.random.uniform(*self.spec.notice_ms), self._weights_told, relay, told)

    def _weights_told(self, relay: ModelRelay, told: EndpointsUpdated) -> None:
        """A weight must not bring back what the list has taken out meanwhile."""
        told.endpoints = [
            m
            for m in told.endpoints
            if m.name not in relay.stopped_backends and self.backends[m.name].state is EndpointState.READY
        ]
        relay.list_told(told)

    def imbalance(self, warm_only: bool = True) -> float:
        """Greatest minus mean of load over the capacity told, over usable nodes (those that are warm)."""
        now = self.clock.time
        backends = [
            n
            for n in self.backends.values()
            if n.alive and n.state is EndpointState.READY and (not warm_only or n.ramp(now) >= 1.0)
        ]
        if not backends:
            return 0.0
        mean = sum(n.load for n in backends) / sum(n.size for n in backends) / 1000.0
        return max(n.filled() for n in backends) - mean

    def fewest_moves(self) -> int:
        """The fewest moves that would even the fleet out now: from each node above the mean, heaviest first, single
        connections that fit into what lies above it. No plan that must not overshoot needs fewer."""
        backends = [n for n in self.backends.values() if n.alive and n.state is EndpointState.READY]
        mean = sum(n.load for n in backends) / sum(n.size for n in backends)
        moves = 0
        for backend in backends:
            above = backend.load - mean * backend.size
            for load, _ in sorted(backend.held.values(), reverse=True):
                if 0.0 < load <= above:
                    above -= load
                    moves += 1
        return moves

    def lost(self) -> int:
        """Submitters that were moved, want to come again, and have not been up since for longer than they need."""
        return sum(1 for s in self.clients if s.moved_open and s.tries > 6)

    def relay_counts(self, name: str) -> int:
        return sum(r.reducer.rebalancer.counts[name] for r in self.relays if r.reducer.rebalancer is not None)

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + seconds * 1000.0)
