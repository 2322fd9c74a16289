"""Model fleet: backends, relays, the front that assigns clients to relays, the endpoint list, and the measurements."""

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
from yarrowspindle.lab.model.relay import ModelRelay, endpoint_of
from yarrowspindle.lab.model.rules import Rules
from yarrowspindle.rebalancing import RebalanceSettings
from yarrowspindle.routing.events import EndpointsUpdated, PeerLoadsUpdated, RebalancingConfigured
from yarrowspindle.routing.termination import TerminationReason

RECONNECT_DELAY_MS = (60.0, 1400.0)  # a client whose connection was migrated or broken reconnects after this time
BACKEND_SIZES = (6.0, 4.8, 2.4)  # three fast cores, four medium ones, three slow ones; in 1000 ms of work per second


@dataclass(slots=True, frozen=True)
class ModelClass:
    """A request class: its share of the arrivals, and its load and lifetime as multiples of the fleet's mean.

    Latency objectives and deadline are in milliseconds.
    """

    share: float = 1.0
    load: float = 1.0
    lifetime: float = 1.0
    priority_weight: float = 1.0
    setup_objective_ms: float = 800.0
    deadline_ms: float = 4800.0
    message_objective_ms: float = 150.0


@dataclass(slots=True, frozen=True)
class FleetSpec:
    """Parameters of a model fleet.

    Times are in seconds if the name ends in `_s`, else in milliseconds; loads are in milliseconds of work per second.
    """

    relays: int = 3
    backends: int = 12
    connections: int = 2000  # mean number of clients that need a connection at the same time
    lifetime_s: float = 600.0  # mean time for which a client needs a connection
    utilization: float = 0.5  # total load over the total capacity of the backends
    load_cv: float = 0.4  # coefficient of variation of the load between connections
    load_change_interval_s: float = 30.0  # mean time between changes of a connection's load
    load_change_cv: float = 0.25  # coefficient of variation of a connection's load over time
    grouped_fraction: float = 0.3  # fraction of the clients that belong to a group
    group_size: int = 4
    speed_cv: float = 0.1  # coefficient of variation of the actual capacity of a backend around its size
    relay_weights: tuple[float, ...] = ()  # shares of the relays at the front; empty: equal shares
    list_delay_ms: tuple[float, float] = (200.0, 1500.0)  # delay of an endpoint list update to each relay
    never_return_fraction: float = 0.0  # fraction of migrated clients that do not reconnect
    late_return_fraction: float = 0.0  # fraction that reconnects only after 5 to 20 s
    # Warm-up, overload and set-up of the backends, as described in ModelBackend.
    warmup_ms: float = 9000.0
    initial_capacity_fraction: float = 0.31
    overload_multiple: float = 3.0
    overload_window_ms: float = 1500.0
    setup_work_ms: float = 8.0
    max_connections_per_backend: int = 10_000  # at this number, a backend rejects new connections
    deadline_ms: float = 4800.0
    answer_slack_ms: float = 50.0
    clients_heed_retry_after: bool = True
    backend_reports_latency: bool = True
    backend_reports_load: bool = True
    clients_report_load: bool = True  # a request states the load of its connection
    backend_reports_slow_messages: bool = False  # backends report message latencies while these are long
    # Interval at which a backend renews the load report that it returns to health checks; 0: no health checks.
    load_report_interval_ms: float = 0.0
    list_weight_interval_ms: float = 0.0  # interval at which live weights are published; 0: weights are the sizes
    cores_per_backend: float = 2.0  # used to lower live weights by the number of connections
    group_cost: float = 1.0  # load of each group at a backend, in connections of mean load
    drain_grace_ms: float = 400.0
    cross_zone_price: float = 0.1
    classes: tuple[ModelClass, ...] = ()  # empty: one class with `deadline_ms`
    uses_own_load: bool = False  # relays also judge a backend by the load of their own connections to it
    zones: int = 1  # backends and relays are assigned in turn; with several zones, crossing has a price
    rebalance: RebalanceSettings | None = None
    # Exchange of loads between relays. "net": over a virtual network; "known": at once and exactly; "": none.
    peers: str = ""
    peer_settings: tuple[tuple[str, float], ...] = ()  # overridden settings of the peer exchange
    same_planning_seed: bool = field(default=False)  # all relays plan migrations at the same instant


class Fleet:
    """A run of a model fleet. `counts`, `served`, `demand` and the connection times add up from its start.

    `counts` has the keys that benchmarks report: `tries` (attempts of clients to connect), `up` (connections that were
    established), `refused` (rejected and failed requests), `moves` (migrations), `never_back` (migrated clients that do
    not reconnect), `broken` (connections that ended early), `fallen` (backends that crashed), `probes` (health checks).

    `served` and `demand` are priority weight times seconds: the part of the clients' weight whose messages meet their
    objective, and the weight of all clients that need a connection.
    """

    def __init__(self, spec: FleetSpec, seed: int) -> None:
        self.spec, self.seed = spec, seed
        self.clock = VirtualClock()
        self.rules = Rules()
        self.random = Random(seed)  # for clients and the network
        self.counts: Counter[str] = Counter()
        self.moves_by_second: Counter[int] = Counter()  # migrations in each second of the run
        self.backends: dict[str, ModelBackend] = {}
        self.backend_indexes: dict[str, int] = {}
        self.clients: set[Client] = set()
        self.last_client_key = 0
        self.connecting_stopped = False  # neither new nor returning clients connect any more
        self.version = 1
        self.max_moves_per_client = 0
        self.demand = self.served = 0.0
        self.samplers: list[Callable[[float], None]] = []
        rng = Random(seed + 1)
        sizes = [BACKEND_SIZES[n % len(BACKEND_SIZES)] for n in range(spec.backends)]
        self.classes = spec.classes or (ModelClass(deadline_ms=spec.deadline_ms),)
        mean_load_multiple = sum(c.share * c.lifetime * c.load for c in self.classes) / sum(
            c.share * c.lifetime for c in self.classes
        )
        self.unit_load = (
            spec.utilization * sum(sizes) * 1000.0 / max(spec.connections, 1) / (1.0 + spec.grouped_fraction / 3.0)
        )
        self.unit_load /= mean_load_multiple  # load of a connection with a load multiple of 1
        self.group_load = spec.group_cost * self.unit_load * mean_load_multiple
        self.cross_zone_s = self.established_s = 0.0  # connection time: across zones, and total
        for size in sizes:
            self.add_backend(size, rng)
        settings = Settings(
            classes=tuple(
                RequestClass(
                    c.setup_objective_ms,
                    c.deadline_ms,
                    priority_weight=c.priority_weight,
                    message_latency_objective_ms=c.message_objective_ms,
                )
                for c in self.classes
            ),
            balancers=spec.relays,
            max_attempts=3,
            max_retry_after_ms=2000.0,
            clients_heed_retry_after=spec.clients_heed_retry_after,
            may_cancel=True,
            initial_capacity_fraction=spec.initial_capacity_fraction,
            warmup_ms=spec.warmup_ms,
            overload_multiple=spec.overload_multiple,
            overload_window_ms=spec.overload_window_ms,
            answer_slack_ms=spec.answer_slack_ms,
            drain_grace_ms=spec.drain_grace_ms,
            backend_reports_latency=spec.backend_reports_latency,
            backend_reports_load=spec.backend_reports_load,
            uses_own_load=spec.uses_own_load,
            zones=spec.zones,
            groups_share_work=spec.grouped_fraction > 0.0,
            may_probe=spec.load_report_interval_ms > 0.0,
            load_report_fields=("rif", "x0") if spec.load_report_interval_ms > 0.0 else (),
            capacity_excludes_load=spec.list_weight_interval_ms > 0.0,
            cross_zone_price=spec.cross_zone_price if spec.zones > 1 else 0.0,
        )
        self.settings, self.relay_starts = settings, 0
        self.relays = [self._new_relay(i) for i in range(spec.relays)]
        self.relay_weights = list(spec.relay_weights) or [1.0] * spec.relays
        self.peer_exchange = (
            PeerLoadExchange(self.clock, seed, spec.peers, dict(spec.peer_settings)) if spec.peers else None
        )
        for relay in self.relays:
            self._join_peer_exchange(relay)
        full_list = self.full_endpoint_list()
        for relay in self.relays:
            relay.post(replace(full_list))
        self.configure(spec.rebalance)
        self.clock.after(1000.0, self._sample)
        if spec.load_report_interval_ms > 0.0:
            self.clock.after(spec.load_report_interval_ms, self._refresh_load_reports)
        if spec.list_weight_interval_ms > 0.0:
            self.clock.after(spec.list_weight_interval_ms, self._publish_weights)

    def _new_relay(self, index: int) -> ModelRelay:
        """Return a newly started relay. Each start of a relay has its own seed."""
        self.relay_starts += 1
        relay_settings = replace(self.settings, number=index, zone=index % self.spec.zones)
        return ModelRelay(self, index, relay_settings, self.seed * 1009 + self.relay_starts - 1)

    def _join_peer_exchange(self, relay: ModelRelay) -> None:
        if self.peer_exchange is not None:
            self.peer_exchange.add_relay(
                relay.index,
                relay.reducer.balancer.backends.values,
                lambda others: relay.post(PeerLoadsUpdated(others)),
            )

    def kill_relay(self, index: int) -> None:
        """Kill a relay; its connections break."""
        self.relays[index].kill()
        if self.peer_exchange is not None:
            self.peer_exchange.remove_relay(index)

    def start_relay(self, index: int) -> None:
        """Start a relay that was killed before."""
        self._restart_relay(index)

    def restart_relays(self, relays: list[ModelRelay], delay_ms: float) -> None:
        """Kill the relays and start them again without state after a delay; their connections break and reconnect."""
        for relay in relays:
            self.kill_relay(relay.index)
            self.clock.after(delay_ms, self._restart_relay, relay.index)

    def _restart_relay(self, index: int) -> None:
        self.relays[index] = self._new_relay(index)
        self.relays[index].post(self.full_endpoint_list())
        self._join_peer_exchange(self.relays[index])

    def configure(self, settings: RebalanceSettings | None) -> None:
        """Reconfigure rebalancing at all relays at once, as SIGHUP does."""
        for relay in self.relays:
            if settings is not None or relay.reducer.rebalancer is not None:
                relay.post(
                    RebalancingConfigured(settings, 7 if self.spec.same_planning_seed else self.seed * 31 + relay.index)
                )

    # --- backends and the endpoint list ---------------------------------------------------------

    def add_backend(self, size: float, rng: Random | None = None, cold: bool = False) -> ModelBackend:
        """Add a backend without announcing it in the endpoint list.

        Args:
            size: capacity in units of 1000 ms of work per second.
            rng: source of the actual capacity; the fleet's own if None.
            cold: whether the backend has just started and must warm up.
        """
        spec = self.spec
        name = f"s-{len(self.backend_indexes):04d}"
        power = size * max(0.5, (rng or self.random).gauss(1.0, spec.speed_cv))
        backend = ModelBackend(
            name,
            len(self.backend_indexes) % spec.zones,
            size,
            power,
            warmup_ms=spec.warmup_ms,
            initial_capacity_fraction=spec.initial_capacity_fraction,
            overload_multiple=spec.overload_multiple,
            overload_window_ms=spec.overload_window_ms,
            group_load=self.group_load,
            setup_work_ms=spec.setup_work_ms,
            max_connections=spec.max_connections_per_backend,
        )
        backend.started_at = self.clock.time if cold else 0.0
        self.backends[name] = backend
        self.backend_indexes[name] = len(self.backend_indexes)
        return backend

    def full_endpoint_list(self) -> EndpointsUpdated:
        """Return the list of all backends that are not gone."""
        endpoints = [
            endpoint_of(backend, self.backend_indexes[backend.name], backend.state)
            for backend in self.backends.values()
            if backend.state is not EndpointState.GONE
        ]
        return EndpointsUpdated(ListKind.CACHED, endpoints, self.version)

    def update_endpoints(self, state: EndpointState, *backends: ModelBackend) -> None:
        """Publish the state of these backends in one update, which each relay receives after a delay of its own."""
        self.version += 1
        for backend in backends:
            backend.state = state
        for relay in self.relays:
            endpoints = [endpoint_of(backend, self.backend_indexes[backend.name], state) for backend in backends]
            update = EndpointsUpdated(ListKind.DELTA, endpoints, self.version)
            self.clock.after(self.random.uniform(*self.spec.list_delay_ms), relay.receive_endpoints, update)

    def drain(self, *backends: ModelBackend) -> None:
        """Publish these backends as draining."""
        self.update_endpoints(EndpointState.DRAINING, *backends)

    def kill(self, *backends: ModelBackend) -> None:
        """Kill these backends and publish that they are gone."""
        for backend in backends:
            backend.alive = False
            self.backend_died(backend)
        self.update_endpoints(EndpointState.GONE, *backends)

    def backend_died(self, backend: ModelBackend) -> None:
        """Break the connections of a backend whose process has ended; a crash is a violation."""
        if backend.crashed:
            self.rules.record("no cold node falls", self.clock.seconds, backend.name)
            self.counts["fallen"] += 1
        for relay in self.relays:
            relay.backend_died(backend)
        backend.drop_connections()

    def restart_backends(self, *backends: ModelBackend) -> None:
        """Start these backends again, cold, and publish them as ready."""
        for backend in backends:
            if backend.alive:  # e.g. draining: its connections end with its process
                backend.alive = False
                self.backend_died(backend)
            backend.restart(self.clock.time)
        self.update_endpoints(EndpointState.READY, *backends)

    @property
    def clients_report_load(self) -> bool:
        return self.spec.clients_report_load

    @property
    def backend_reports_load(self) -> bool:
        return self.spec.backend_reports_load

    @property
    def drain_grace_ms(self) -> float:
        return self.spec.drain_grace_ms

    @property
    def answer_slack_ms(self) -> float:
        return self.spec.answer_slack_ms

    def priority_weight_of(self, class_index: int) -> float:
        return self.classes[class_index].priority_weight

    def mean_load(self, class_index: int) -> float:
        """Return the mean load of a class, or 0 if the fleet has no classes of its own."""
        return self.unit_load * self.classes[class_index].load if self.spec.classes else 0.0

    def network_latency_ms(self) -> float:
        return self.random.uniform(0.2, 3.0)

    # --- clients --------------------------------------------------------------------------------

    def fill(self, over_s: float) -> None:
        """Connect the initial clients within this time, and start arrivals at the rate at which clients end."""
        for _ in range(self.spec.connections):
            self.clock.after(self.random.uniform(0.0, over_s * 1000.0), self._create_client, True)
        self._schedule_arrival()

    def _schedule_arrival(self) -> None:
        interval_ms = self.spec.lifetime_s * 1000.0 / max(self.spec.connections, 1)
        self.clock.after(self.random.expovariate(1.0 / interval_ms), self._on_arrival)

    def _on_arrival(self) -> None:
        self._create_client(False)
        self._schedule_arrival()

    def add_client(self) -> None:
        """Add one client to the usual arrivals."""
        self._create_client(False)

    def _create_client(self, initial: bool) -> None:
        spec = self.spec
        self.last_client_key += 1
        class_index = 0
        if len(self.classes) > 1:
            # Initial clients are a sample of the clients present, in which those of long lifetime are more frequent.
            shares = [
                request_class.share * (request_class.lifetime if initial else 1.0) for request_class in self.classes
            ]
            (class_index,) = self.random.choices(range(len(shares)), shares)
        lifetime_ms = self.random.expovariate(1.0 / (spec.lifetime_s * 1000.0 * self.classes[class_index].lifetime))
        group = 0
        if self.random.random() < spec.grouped_fraction:
            group = 1 + self.random.randrange(max(1, int(spec.connections * spec.grouped_fraction / spec.group_size)))
        load = self.unit_load * self.random.lognormvariate(-0.5 * spec.load_cv**2, spec.load_cv)
        client = Client(
            self.last_client_key,
            group,
            load * self.classes[class_index].load,
            self.clock.time + lifetime_ms,
            class_index,
        )
        self.clients.add(client)
        self.clock.after(lifetime_ms, self._end_client, client)
        if spec.load_change_interval_s > 0.0:
            self.clock.after(self._next_load_change_ms(), self._change_load, client)
        self.connect(client)

    def _next_load_change_ms(self) -> float:
        return self.random.expovariate(1.0 / (self.spec.load_change_interval_s * 1000.0))

    def _change_load(self, client: Client) -> None:
        if client.finished:
            return
        client.load = client.base_load * max(0.1, self.random.gauss(1.0, self.spec.load_change_cv))
        if client.established and client.relay is not None:
            client.relay.load_changed(client, client.load)
        self.clock.after(self._next_load_change_ms(), self._change_load, client)

    def connect(self, client: Client) -> None:
        """Send the client's request to a relay that the front chooses."""
        if client.finished or self.connecting_stopped:
            return
        alive = [relay for relay in self.relays if relay.alive]
        if len(alive) == len(self.relays) and not self.spec.relay_weights:
            relay = alive[int(self.random.random() * len(alive))]
        else:
            (relay,) = self.random.choices(alive, [self.relay_weights[relay.index] for relay in alive])
        deadline_ms = self.classes[client.class_index].deadline_ms
        client.deadline = self.clock.time + deadline_ms
        client.attempts += 1
        self.counts["tries"] += 1
        relay.receive_request(client, deadline_ms)

    def client_established(self, client: Client) -> None:
        """Record that a client's connection is established."""
        client.established, client.attempts, client.migration_pending = True, 0, False
        self.counts["up"] += 1

    def client_rejected(self, client: Client, retry_after_ms: float) -> None:
        """Let a client retry after the time that the relay states, or else after exponential backoff."""
        self.counts["refused"] += 1
        backoff_ms = retry_after_ms or min(200.0 * 2.0 ** min(client.attempts, 5), 5000.0)
        self.clock.after(backoff_ms * self.random.uniform(1.0, 1.2), self.connect, client)

    def _reconnect(self, client: Client) -> None:
        client.established, client.returned = False, True
        self.clock.after(self.random.uniform(*RECONNECT_DELAY_MS), self.connect, client)

    def client_migrated(self, client: Client, backend: ModelBackend | None) -> None:
        """Let a migrated client reconnect at once, late or never, by the fractions of the specification."""
        self.counts["moves"] += 1
        self.moves_by_second[int(self.clock.seconds)] += 1
        client.moves += 1
        client.migration_pending = True
        self.max_moves_per_client = max(self.max_moves_per_client, client.moves)
        draw = self.random.random()
        if draw < self.spec.never_return_fraction:
            client.established = False
            self.counts["never_back"] += 1
            self._remove_client(client)
        elif draw < self.spec.never_return_fraction + self.spec.late_return_fraction:
            client.established, client.returned = False, True
            self.clock.after(self.random.uniform(5000.0, 20_000.0), self.connect, client)
        else:
            self._reconnect(client)

    def client_closed(self, client: Client, reason: TerminationReason) -> None:
        """Remove a client whose connection completed; let any other client reconnect."""
        if reason is TerminationReason.COMPLETED:
            self._remove_client(client)
            return
        self.counts["broken"] += 1
        self._reconnect(client)

    def _end_client(self, client: Client) -> None:
        """End a client at its lifetime: the backend closes an established connection; a waiting client disconnects."""
        if client.finished:
            return
        relay = client.relay
        if client.established and relay is not None:
            relay.complete(client)
        else:
            if relay is not None and relay.has_request_of(client):
                relay.disconnect(client)
            self._remove_client(client)

    def _remove_client(self, client: Client) -> None:
        client.finished, client.established, client.migration_pending = True, False, False
        self.clients.discard(client)

    # --- measurements ---------------------------------------------------------------------------

    def _sample(self) -> None:
        """Add one second to the sums of demand, served work and connection time, and call the samplers."""
        self.clock.after(1000.0, self._sample)
        now = self.clock.time
        self.demand += sum(self.classes[client.class_index].priority_weight for client in self.clients)
        self.served += sum(
            backend.total_priority_weight * backend.served_fraction(now)
            for backend in self.backends.values()
            if backend.connections
        )
        for client in self.clients:
            zone = client.relay.backend_zone(client) if client.established and client.relay else None
            if zone is not None and client.relay is not None:
                self.established_s += 1.0
                self.cross_zone_s += zone != client.relay.zone
        self._exchange_messages(now)
        for sample in self.samplers:
            sample(self.clock.seconds)

    def _exchange_messages(self, now: float) -> None:
        """Pass messages on established connections: lines that remain unanswered, and reports of long latencies."""
        objective_ms = min(c.message_objective_ms for c in self.classes)
        for backend in self.backends.values():
            if not backend.connections:
                continue
            for relay in self.relays:
                if not backend.answers:
                    relay.forward_unanswered_lines(backend)
                elif (
                    self.spec.backend_reports_slow_messages
                    and backend.message_latency_ms(now, objective_ms) > objective_ms / 3.0
                ):
                    relay.report_slow_message(backend, backend.message_latency_ms(now, objective_ms))

    def _refresh_load_reports(self) -> None:
        self.clock.after(self.spec.load_report_interval_ms, self._refresh_load_reports)
        for backend in self.backends.values():
            if backend.alive:
                backend.refresh_load_report(self.clock.time)

    def _publish_weights(self) -> None:
        """Publish live weights; each relay receives the same weights after a delay of its own."""
        self.clock.after(self.spec.list_weight_interval_ms, self._publish_weights)
        self.version += 1
        ready = [backend for backend in self.backends.values() if backend.state is EndpointState.READY]
        for relay in self.relays:
            endpoints = [
                endpoint_of(
                    backend,
                    self.backend_indexes[backend.name],
                    backend.state,
                    backend.live_weight(self.spec.cores_per_backend),
                )
                for backend in ready
            ]
            update = EndpointsUpdated(ListKind.DELTA, endpoints, self.version)
            self.clock.after(self.random.uniform(*self.spec.list_delay_ms), self._deliver_weights, relay, update)

    def _deliver_weights(self, relay: ModelRelay, update: EndpointsUpdated) -> None:
        """Deliver live weights, except for backends that stopped since, which the update would make ready again."""
        update.endpoints = [
            endpoint
            for endpoint in update.endpoints
            if endpoint.name not in relay.stopped_backends and self.backends[endpoint.name].state is EndpointState.READY
        ]
        relay.receive_endpoints(update)

    def imbalance(self, warm_only: bool = True) -> float:
        """Return the greatest minus the mean utilization over the usable backends, or over the warm ones of them."""
        now = self.clock.time
        backends = [
            backend
            for backend in self.backends.values()
            if backend.alive
            and backend.state is EndpointState.READY
            and (not warm_only or backend.capacity_fraction(now) >= 1.0)
        ]
        if not backends:
            return 0.0
        mean = sum(backend.load for backend in backends) / sum(backend.size for backend in backends) / 1000.0
        return max(backend.utilization() for backend in backends) - mean

    def min_rebalancing_moves(self) -> int:
        """Return the least number of migrations that even out the load now.

        From each backend above the mean, connections that fit into its excess are counted, heaviest first. No plan that
        does not take a backend below the mean needs fewer.
        """
        backends = [
            backend for backend in self.backends.values() if backend.alive and backend.state is EndpointState.READY
        ]
        mean = sum(backend.load for backend in backends) / sum(backend.size for backend in backends)
        moves = 0
        for backend in backends:
            above = backend.load - mean * backend.size
            for load, _ in sorted(backend.connections.values(), reverse=True):
                if 0.0 < load <= above:
                    above -= load
                    moves += 1
        return moves

    def lost_clients(self) -> int:
        """Return the number of migrated clients that are not established again after more than six attempts."""
        return sum(1 for client in self.clients if client.migration_pending and client.attempts > 6)

    def relay_counts(self, name: str) -> int:
        """Return the sum of a rebalancing counter over all relays."""
        return sum(
            relay.reducer.rebalancer.counts[name] for relay in self.relays if relay.reducer.rebalancer is not None
        )

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        self.clock.run_until(self.clock.time + seconds * 1000.0)
