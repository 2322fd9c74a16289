"""Loads of peers: effect on placement, ejection by most peers, assigned health checks and turns of migration."""

from __future__ import annotations

from typing import Any

from tests.decisions.reporting_relay import Relay, warmed
from tests.helpers import balancer, end_attempt, establish_request, settings
from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import BACKEND_KEY_MASK, PeerLoads, SettingsChanged, group_key
from yarrowspindle.decisions.health_checks import HEALTH_CHECK_INTERVAL_MS
from yarrowspindle.decisions.peer_loads import CONCURRENT_MIGRATORS, MIGRATION_TURN_MS, PeerLoadTable
from yarrowspindle.decisions.requests import Request
from yarrowspindle.runtime.membership_driver import local_load


def place_and_end(b: Any, now: float, times: int) -> list[int]:
    backends = []
    for n in range(times):
        backend = establish_request(b, now, 1000 + n, load=1.0)
        end_attempt(b, now, 1000 + n, backend)
        backends.append(backend)
    return backends


def test_two_choices_count_the_load_of_peers() -> None:
    b = balancer(2, balancers=4)
    b.handle(0.0, PeerLoads({1: (9, 9.0), 2: (2, 2.0)}, reporting_relays=3, relays=4))
    # Backend 2 is chosen if it is drawn at all: both draws fall on 1 in a quarter of the cases.
    assert place_and_end(b, 0.0, 200).count(1) < 80
    b.handle(1.0, PeerLoads({1: (0, 0.0)}, reporting_relays=3, relays=4))
    assert place_and_end(b, 1.0, 200).count(2) < 80, "an event contains changes only: the other sums stay in effect"


def test_own_placements_count_at_once_beside_reported_loads() -> None:
    b = balancer(2, balancers=2)
    b.handle(0.0, PeerLoads({1: (3, 3.0)}, reporting_relays=1, relays=2))
    for n in range(9):
        establish_request(b, 0.0, n, load=1.0)
    connections = {s.id: s.connections for s in b.backends.values()}
    assert connections[2] - connections[1] in range(1, 6) and sum(connections.values()) == 9


def test_reports_that_are_not_renewed_decay_to_placement_without_peers() -> None:
    alone, with_peers = balancer(4, seed=3, balancers=4), balancer(4, seed=3, balancers=4)
    with_peers.handle(0.0, PeerLoads({1: (50, 50.0)}, reporting_relays=3, relays=4))
    for n in range(60):
        assert establish_request(alone, 6000.0, n, 1.0) == establish_request(with_peers, 6000.0, n, 1.0)


def test_a_backend_ejected_by_most_peers_is_used_only_if_no_other_is_drawn() -> None:
    b = balancer(4, balancers=4)
    b.handle(0.0, PeerLoads(reporting_relays=3, relays=4, ejected_by_peers=frozenset((1,))))
    assert place_and_end(b, 0.0, 300).count(1) < 50, (
        "both draws from the subset and both from the fleet would have to hit it, 1 in 16 each"
    )


def test_one_relay_checks_a_backend_for_all_and_another_takes_over_if_it_does_not() -> None:
    r = warmed(backends=6)
    r.checks.clear()
    reports = {n & BACKEND_KEY_MASK: (0.3, 10.0, 1.0) for n in r.utilization}
    r.handle(PeerLoads(reporting_relays=2, relays=3, rank=0))
    for _ in range(6):
        r.balancer.health_checks.credit = 100.0
        r.run(HEALTH_CHECK_INTERVAL_MS)
        r.handle(PeerLoads(reporting_relays=2, relays=3, rank=0, reports=reports))
    assert set(r.checks) == {3, 6}, "the other backends are assigned to peers, which report them"
    r.balancer.health_checks.credit = 100.0
    r.run(3000.0)  # without reports from peers
    assert set(r.checks) == set(r.utilization)


def test_a_report_to_a_peer_counts_as_an_own_one_where_it_is_newer() -> None:
    r = warmed(backends=4)
    backend = r.balancer.backends[2]
    r.handle(PeerLoads({}, reporting_relays=1, relays=2, reports={2: (0.9, 30.0, 100.0)}))
    assert (
        backend.utilization == 0.9 and backend.reported_connections == 30.0 and backend.last_checked_at == r.now - 100.0
    )
    r.handle(PeerLoads({}, reporting_relays=1, relays=2, reports={2: (0.1, 3.0, 5000.0)}))
    assert backend.utilization == 0.9, "the report is older than the known one"
    before = r.balancer.estimates.utilization(backend) if r.balancer.estimates else 0.0
    r.handle(PeerLoads({2: (8, 8.0)}, {2: 5}, reporting_relays=1, relays=2))
    assert r.balancer.estimates is not None and r.balancer.estimates.utilization(backend) > before, (
        "peers added five connections since the report"
    )


def test_a_report_from_a_peer_is_not_distributed_again() -> None:
    r = warmed(backends=4)
    r.run(5000.0)
    r.handle(PeerLoads({}, reporting_relays=1, relays=2, reports={2: (0.9, 30.0, 100.0)}))
    local = local_load(r.balancer.backends.values(), r.now)
    assert 2 not in local.reports


def test_a_backend_that_serves_a_group_for_peers_costs_no_more_for_it() -> None:
    r = warmed(backends=6, balancers=3)
    r.handle(PeerLoads({group_key(4, 77): (4, 0.0)}, reporting_relays=2, relays=3))
    assert r.balancer.estimates is not None
    request = Request(1, 0, 1.0, 0.0, 1.0)
    request.group = 77
    adds = {n: r.balancer.estimates.added_utilization(r.balancer.backends[n], request) for n in (2, 4)}
    assert adds[4] < 0.6 * adds[2]


def test_changed_settings_apply_their_number_of_balancers() -> None:
    b = balancer(2, balancers=4)
    b.handle(0.0, SettingsChanged(settings(balancers=7)))
    assert (b.peer_loads.load_weight(0.0), b.peer_loads.similar_balancers(0.0)) == (0.0, 7.0)


def test_balancers_take_turns_with_migrations() -> None:
    tables = [PeerLoadTable(1) for _ in range(5)]
    for rank, table in enumerate(tables):
        assert table.allowed_migrations(0.0) == 1
        table.on_peer_loads(PeerLoads(reporting_relays=4, relays=5, rank=rank), 0.0)
    for turn in range(10):
        assert sum(table.allowed_migrations(turn * MIGRATION_TURN_MS) for table in tables) == CONCURRENT_MIGRATORS


def test_the_local_load_names_groups_failures_and_reports() -> None:
    r = Relay(backends=4)
    backend = r.balancer.backends[2]
    backend.connections, backend.load, backend.ejected_until, backend.connections_by_group = (
        3,
        4.5,
        r.now + 700.0,
        {0: 1, 9: 2},
    )
    local = local_load(r.balancer.backends.values(), r.now)
    assert local.loads == {2: (3, 4.5), group_key(2, 9): (2, 0.0)} and local.ejected == {2: 700.0} and not local.reports
    assert local_load([Backend(1 << 40 | 5)], 0.0).loads == {}
