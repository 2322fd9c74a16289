"""Placement by reported load: estimates, costs, health checks and migrations; health checks on sockets."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import pytest

from tests.helpers import end, full_list, open_one, sends, settings
from tests.stand_ins import SETTINGS, World, relay
from yarrowspindle.decisions.actions import Action, CheckHealth, MigrateConnection, RejectRequest, SetTimer
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    Endpoint,
    EndpointList,
    ExistingConnection,
    HealthCheckCompleted,
    ListKind,
    Outcome,
    RequestReceived,
    SlowMessageObserved,
    TimerFired,
)
from yarrowspindle.decisions.health_checks import HEALTH_CHECK_INTERVAL_MS
from yarrowspindle.decisions.load_estimates import LoadEstimates
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.settings import RequestClass
from yarrowspindle.protocol.lines import LineError, report_of
from yarrowspindle.routing import events as routing_events
from yarrowspindle.routing.events import BackendAccepted, BackendConnected, EndpointsUpdated, UnclassifiedReport
from yarrowspindle.routing.reducer import Reducer

CLASSES = (
    RequestClass(800.0, 4800.0, priority_weight=3.0, message_latency_objective_ms=60.0),
    RequestClass(300.0, 1200.0, priority_weight=0.3, message_latency_objective_ms=50.0),
)
TOLD: dict[str, Any] = dict(
    classes=CLASSES,
    may_probe=True,
    load_report_fields=("rif", "x0"),
    zones=2,
    cross_zone_price=0.16,
    capacity_excludes_load=True,
    groups_share_work=True,
    retry_after=True,
    max_retry_after_ms=2000.0,
)


class Relay:
    """A balancer, its timers, and backends of two zones that report the utilization in `used` (None: no answer)."""

    def __init__(self, backends: int = 6, seed: int = 1, **changes: Any) -> None:
        self.now, self.requests = 0.0, 0
        self.balancer = Balancer(settings(**(TOLD | changes)), seed, 0.0)
        self.used: dict[int, float | None] = dict.fromkeys(range(1, backends + 1), 0.3)
        self.probes: list[int] = []
        self.moves: list[int] = []
        self.timers: list[tuple[float, int]] = []
        self.tell(full_list(*(Endpoint(n, zone=n % 2, capacity=2.0) for n in self.used), kind=ListKind.CACHED))

    def tell(self, event: Any) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, CheckHealth):
                self.probes.append(action.backend)
                told = self.used[action.backend]
                outcome = Outcome.OK if told is not None else Outcome.TIMEOUT
                self.tell(
                    HealthCheckCompleted(action.backend, outcome, 1.0, () if told is None else (told * 33.0, told))
                )
            elif isinstance(action, MigrateConnection):
                self.moves.append(action.request)
        return actions

    def run(self, ms: float) -> None:
        goal = self.now + ms
        while due := sorted(t for t in self.timers if t[0] <= goal):
            self.timers.remove(due[0])
            self.now = due[0][0]
            self.tell(TimerFired(due[0][1]))
        self.now = goal

    def place(self, cls: int = 0, group: int = 0) -> int:
        """Place a request; returns its backend, or 0 where it is rejected."""
        self.requests += 1
        actions = self.tell(RequestReceived(self.requests, cls, left_ms=4800.0, group=group))
        return sends(actions)[0].backend if sends(actions) else 0


def warmed(**changes: Any) -> Relay:
    """Return a relay to which all backends have reported."""
    r = Relay(**changes)
    r.balancer.health_checks.credit = 100.0
    r.run(3000.0)
    assert set(r.probes) == set(r.used)
    r.moves.clear()
    r.balancer.health_checks.credit = 100.0
    return r


def test_new_connections_pay_for_health_checks_and_the_longest_unchecked_backend_is_checked_first() -> None:
    r = Relay()
    r.run(5000.0)
    assert r.probes == [], "there were no connections"
    for _ in range(4):
        r.place()
    r.run(HEALTH_CHECK_INTERVAL_MS)
    assert len(r.probes) == 6 and set(r.probes) == set(r.used)
    r.run(20_000.0)
    assert len(r.probes) == 6
    silent = Relay(load_report_fields=())
    silent.place()
    silent.run(5000.0)
    assert silent.probes == [], "where health checks have no report none is sent"


def test_groups_are_placed_together_and_in_the_own_zone() -> None:
    def backends_paying(**changes: Any) -> float:
        r = warmed(backends=24, **changes)
        r.used.update(dict.fromkeys(r.used, 0.45))
        r.run(1500.0)
        order = [group for group in range(1, 5) for _ in range(6)]
        random.Random(4).shuffle(order)
        held: dict[int, set[int]] = {}
        for group in order:
            held.setdefault(group, set()).add(r.place(group=group))
        assert sum(backend % 2 for backends in held.values() for backend in backends) <= 1, (
            "crossing has a price, and the own zone has capacity"
        )
        return sum(map(len, held.values())) / len(held)

    assert backends_paying() < 2.5 < 4.0 < backends_paying(groups_share_work=False)


def test_the_draws_of_a_group_are_the_same_at_every_relay() -> None:
    one, other = warmed(seed=5), warmed(seed=9)
    assert [one.place(group=g) for g in range(1, 20)] == [other.place(group=g) for g in range(1, 20)]


def test_a_full_own_zone_is_left_and_the_class_of_lower_priority_is_rejected_first() -> None:
    r = warmed()
    for backend in (2, 4, 6):
        r.used[backend] = 0.95
    r.run(2000.0)
    assert sum(r.place() % 2 for _ in range(20)) >= 12
    r.used.update(dict.fromkeys(r.used, 0.75))
    r.run(2500.0)
    assert r.place(cls=1) == 0 and isinstance(r.tell(RequestReceived(999, 1, left_ms=1200.0))[-1], RejectRequest)
    assert r.place(cls=0) != 0, "its priority weight is ten times as high"


@pytest.mark.parametrize("told", [9.0, None, 1.3])
def test_a_backend_that_hangs_vanishes_or_is_slow_is_ejected_and_emptied(told: float | None) -> None:
    r = warmed()
    on = {}
    for _ in range(20):
        backend = r.place(group=7)
        on[r.requests] = backend
        r.tell(_established(r.requests, backend))
    sick = next(iter(on.values()))
    r.used[sick] = told
    r.run(2500.0)
    there = [n for n, backend in on.items() if backend == sick]
    assert len(set(r.moves) & set(there)) >= len(there) // 3 and sick not in {r.place() for _ in range(20)}
    assert (sick in r.balancer.ejected(r.now)) == (told is None or told >= 9.0)


@pytest.mark.parametrize("backends", [2, 6])
def test_an_unresponsive_backend_gets_nothing_while_another_is_usable_whatever_is_drawn(backends: int) -> None:
    """Its estimated cost may be below the priority weight of a connection, and all draws may fall on it."""
    for seed in range(60):
        r = Relay(backends=backends, seed=seed)
        r.used[2] = None  # from the start: it never told what it holds
        r.balancer.health_checks.credit = 100.0
        r.run(3000.0)
        assert r.balancer.backends[2].utilization >= 9.0
        assert 2 not in {r.place() for _ in range(24)}, f"seed {seed}"
        r.used = dict.fromkeys(r.used)
        r.balancer.health_checks.credit = 100.0
        r.run(3000.0)
        assert r.place() in (0, *r.used), "where none answers there is no better one"


def _established(request: int, backend: int) -> Any:
    from yarrowspindle.decisions.events import ConnectionEstablished

    return ConnectionEstablished(request, 0, backend, 10.0)


def test_slow_messages_count_before_the_load_report_does() -> None:
    r = warmed()
    backend = r.place(group=3)
    r.tell(_established(r.requests, backend))
    r.tell(SlowMessageObserved(r.requests, backend, 20_000.0))
    assert backend not in {r.place() for _ in range(30)}


def test_existing_connections_are_migrated_to_the_own_zone_one_by_one_where_crossing_has_a_price() -> None:
    def moved(price: float) -> list[int]:
        r = Relay(cross_zone_price=price)
        for n in range(1, 11):
            r.tell(ExistingConnection(1000 + n, 1, group=n % 2 + 1))
        r.run(4000.0)
        return r.moves

    assert 4 <= len(moved(0.16)) <= 8 and len(moved(0.0)) <= 2


def test_a_capacity_that_excludes_load_is_not_the_size_of_a_backend() -> None:
    """Else the own zone would seem short of capacity, and connections would cross zones for it."""
    r = warmed()
    entries = [Endpoint(n, zone=n % 2, capacity=0.2) for n in r.used]
    r.tell(EndpointList(ListKind.DELTA, entries))
    assert {s.capacity for s in r.balancer.backends.values()} == {2.0}
    nominal = Relay(capacity_excludes_load=False)
    nominal.tell(EndpointList(ListKind.DELTA, entries))
    assert {s.capacity for s in nominal.balancer.backends.values()} == {0.2}


def test_the_load_of_a_class_is_learned_from_reports() -> None:
    """Two classes, one with four times the load of the other."""
    known, rng = LoadEstimates(settings(**TOLD)), random.Random(3)
    backends = [Backend(n) for n in range(8)]
    true = (0.5, 2.0)
    for backend in backends:
        backend.capacity, backend.ready = 2.0, True
    for step in range(1500):
        backend = rng.choice(backends)
        request = Request(step, rng.randrange(2), 1.0, 0.0, 1.0)
        by = (
            1
            if backend.connections < 20 and rng.random() < 0.6 or not backend.connections_by_class.get(request.cls)
            else -1
        )
        backend.connections += by
        known.on_connection_change(backend, request, by, 0.0)
        load = sum(true[c] * n for c, n in backend.connections_by_class.items())
        known.on_health_check(backend, float(step), (backend.connections, 0.05 * load / backend.capacity))
    assert 2.5 < known.class_loads[1] / known.class_loads[0] < 6.0
    assert sum(known.class_connections) == sum(s.connections for s in backends) and not known.backends_by_group


def test_counts_of_groups_are_dropped_when_their_connections_end() -> None:
    b = Balancer(settings(**TOLD), 1, 0.0)
    b.handle(0.0, full_list(Endpoint(1), Endpoint(2)))
    for n in range(1, 40):
        b.handle(0.0, RequestReceived(n, 0, left_ms=4800.0, group=n % 5 + 1))
    assert b.estimates is not None and len(b.estimates.backends_by_group) == 5
    for n in range(1, 40):
        if n in b.requests and (backend := b.requests[n].backend) is not None:
            end(b, 1.0, n, backend.id)
    assert not b.estimates.backends_by_group and not any(
        s.connections_by_group or s.connections_by_class for s in b.backends.values()
    )


def test_a_retry_that_may_have_run_goes_only_to_backends_that_drop_repeats() -> None:
    from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency

    keyed = RequestClass(
        800.0, 4800.0, Idempotency.KEYED, DeduplicationScope.ZONE, 5000.0, message_latency_objective_ms=60.0
    )
    for seed in range(20):
        b = Balancer(settings(**(TOLD | {"classes": (keyed,)})), seed, 0.0)
        b.handle(0.0, full_list(*(Endpoint(n, zone=n % 2) for n in range(1, 9))))
        open_one(b, 0.0, 1)
        (send,) = sends(b.handle(1.0, RequestReceived(2, left_ms=4800.0, group=9)))
        again = sends(end(b, 2.0, 2, send.backend, Outcome.TIMEOUT, finished=False))
        assert not again or again[0].backend % 2 == send.backend % 2


@pytest.mark.parametrize(
    ("line", "told"),
    [
        (b"PONG", ()),
        (b"PONG rif=9.5,x0=0.195", (9.5, 0.195)),
        (b"PONG x0=1,rif=2,q=3", (2.0, 1.0)),
        (b"PONG rif=1", ()),
    ],
)
def test_a_load_report_is_parsed(line: bytes, told: tuple[float, ...]) -> None:
    assert report_of(line, ("rif", "x0")) == told


@pytest.mark.parametrize("line", [b"NO", b"ERR", b"", b"PONG x0=nan", b"PONG x0=-1", b"PONG x0", b"PONG \xff", b"UP 1"])
def test_an_invalid_load_report_is_an_error(line: bytes) -> None:
    with pytest.raises(LineError):
        report_of(line, ("rif", "x0"))


def test_where_backends_report_no_load_each_report_is_a_message_latency() -> None:
    """It must count at once, and not as a small load."""
    reducer = Reducer(settings(**(TOLD | {"backend_reports_load": False})), 1, 0.0)
    reducer.step(0.0, EndpointsUpdated(ListKind.FULL, [routing_events.Endpoint("a", ("10.0.0.1", 1))], 1))
    reducer.step(0.0, routing_events.RequestReceived(1, 4800.0))
    reducer.step(1.0, BackendConnected(1, 0))
    reducer.step(2.0, BackendAccepted(1, 0))
    reducer.step(3.0, UnclassifiedReport(1, 483.0))
    (backend,) = reducer.balancer.backends.values()
    assert backend.message_latency_ms == 483.0 and backend.utilization > 1.0 and reducer.requests[1].load == 0.0


# --- on sockets -----------------------------------------------------------------------------------

PROBED: dict[str, Any] = {
    "stats": {"columns": ["rif", "x0"], "source": "probe"},
    "limits": SETTINGS["limits"] | {"conn_idle_ms": 5000.0},
}


def run(tmp: Path, answers: dict[str, str], body: Any, **changes: Any) -> None:
    """Both stand-in backends answer each `STATS` with their line, where they have one; the test does the rest."""

    async def inside() -> None:
        async with relay(tmp, **(PROBED | changes)) as world:
            for name, backend in world.backends.items():
                backend.stats = answers.get(name)
            await body(world)

    asyncio.run(inside())


async def probed(w: World, name: str, times: int) -> None:
    while w.backends[name].probed < times:
        client, _, backend = await w.standing()
        backend.say("BYE")
        backend.writer.close()
        await client.hear()
        await asyncio.sleep(0.02)


def test_health_checks_use_connections_of_their_own_and_a_full_backend_gets_nothing(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        for name in w.backends:
            await probed(w, name, 2)
        assert {(await w.standing())[1] for _ in range(8)} == {"s-2"}
        assert max(backend.probe_connections for backend in w.backends.values()) == 1, (
            "one connection serves all health checks"
        )

    run(tmp_path, {"s-1": "PONG rif=40,x0=2.5", "s-2": "PONG rif=2,x0=0.1"}, body)


def test_a_backend_that_never_answers_its_health_check_is_ejected(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        await probed(w, "s-2", 3)
        await w.logged("execute node s-1 does not answer its probe: no answer in time")
        assert {(await w.standing())[1] for _ in range(8)} == {"s-2"}
        w.backends["s-1"].stats = "PONG rif=0,x0=0.0"
        while "s-1" not in {(await w.standing())[1] for _ in range(4)}:
            await asyncio.sleep(0.1)
        await w.logged("execute node s-1 answers its probes again")

    run(tmp_path, {"s-2": "PONG rif=2,x0=0.1"}, body)


@pytest.mark.parametrize("nonsense", ["NO", "PONG x0=a lot", "x" * 5000])
def test_an_invalid_report_is_logged_and_placement_continues_without_it(tmp_path: Path, nonsense: str) -> None:
    async def body(w: World) -> None:
        client, _, backend = await w.standing()
        assert "WARNING" in await w.logged("execute node s-")
        stand = [await w.standing() for _ in range(6)]
        assert {name for _, name, _ in stand} == {"s-1", "s-2"}, "it does not count against the backend"
        backend.say("still here")
        assert await client.hear() == "still here"

    run(tmp_path, dict.fromkeys(("s-1", "s-2"), nonsense), body)


def test_no_health_check_is_sent_where_settings_do_not_allow_it(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        for _ in range(4):
            await w.standing()
        await asyncio.sleep(1.2)  # two beats
        assert not any(backend.probed for backend in w.backends.values())

    run(tmp_path, {}, body, limits=PROBED["limits"] | {"probing": False})
