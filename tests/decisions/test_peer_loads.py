"""The module with word of the others: sums are compared, what most pass over is passed over, turns are kept."""

from __future__ import annotations

from typing import Any

from tests.decisions.test_load_estimates import Relay, warmed
from tests.helpers import balancer, end, open_one, settings
from yarrowspindle.decisions.backends import Backend, Request
from yarrowspindle.decisions.balancer import BEAT_MS
from yarrowspindle.decisions.events import BACKEND_KEY_MASK, PeerLoads, SettingsChanged, group_key
from yarrowspindle.decisions.peer_loads import MOVERS, TURN_BEAT_MS, PeerLoadTable
from yarrowspindle.runtime.membership_driver import local_load


def placed(b: Any, now: float, times: int) -> list[int]:
    found = []
    for n in range(times):
        backend = open_one(b, now, 1000 + n, load=1.0)
        end(b, now, 1000 + n, backend)
        found.append(backend)
    return found


def test_two_draws_take_who_holds_less_with_the_others_counted() -> None:
    b = balancer(2, balancers=4)
    b.handle(0.0, PeerLoads({1: (9, 9.0), 2: (2, 2.0)}, reporting_relays=3, relays=4))
    # 2 is taken whenever it is drawn; both draws fall on 1 in a quarter.
    assert placed(b, 0.0, 200).count(1) < 80
    b.handle(1.0, PeerLoads({1: (0, 0.0)}, reporting_relays=3, relays=4))
    assert placed(b, 1.0, 200).count(2) < 80, "what changed is told, the rest stands"


def test_own_placements_count_at_once_beside_what_was_told() -> None:
    b = balancer(2, balancers=2)
    b.handle(0.0, PeerLoads({1: (3, 3.0)}, reporting_relays=1, relays=2))
    for n in range(9):
        open_one(b, 0.0, n, load=1.0)
    held = {s.id: s.open for s in b.backends.values()}
    assert held[2] - held[1] in range(1, 6) and sum(held.values()) == 9


def test_word_that_nobody_renews_decays_to_what_is_done_without() -> None:
    alone, told = balancer(4, seed=3, balancers=4), balancer(4, seed=3, balancers=4)
    told.handle(0.0, PeerLoads({1: (50, 50.0)}, reporting_relays=3, relays=4))
    for n in range(60):
        assert open_one(alone, 6000.0, n, 1.0) == open_one(told, 6000.0, n, 1.0)


def test_what_most_of_the_others_pass_over_is_taken_only_where_nothing_else_is_drawn() -> None:
    b = balancer(4, balancers=4)
    b.handle(0.0, PeerLoads(reporting_relays=3, relays=4, ejected_by_peers=frozenset((1,))))
    assert placed(b, 0.0, 300).count(1) < 50, "both draws fall on it once in sixteen, then both of the wider circle"


def test_one_relay_probes_a_backend_for_all_and_another_takes_over_where_it_does_not() -> None:
    r = warmed(backends=6)
    r.probes.clear()
    reports = {n & BACKEND_KEY_MASK: (0.3, 10.0, 1.0) for n in r.used}
    r.tell(PeerLoads(reporting_relays=2, relays=3, rank=0))
    for _ in range(6):
        r.balancer.probes = 100.0
        r.run(BEAT_MS)
        r.tell(PeerLoads(reporting_relays=2, relays=3, rank=0, reports=reports))
    assert set(r.probes) == {3, 6}, "the others are another's turn, and were told of"
    r.balancer.probes = 100.0
    r.run(3000.0)  # nobody tells of them any more
    assert set(r.probes) == set(r.used)


def test_a_report_that_another_was_told_counts_as_one_s_own_where_it_is_newer() -> None:
    r = warmed(backends=4)
    backend = r.balancer.backends[2]
    r.tell(PeerLoads({}, reporting_relays=1, relays=2, reports={2: (0.9, 30.0, 100.0)}))
    assert backend.used == 0.9 and backend.holds == 30.0 and backend.asked_at == r.now - 100.0
    r.tell(PeerLoads({}, reporting_relays=1, relays=2, reports={2: (0.1, 3.0, 5000.0)}))
    assert backend.used == 0.9, "older than what is known"
    before = r.balancer.estimates.used(backend) if r.balancer.estimates else 0.0
    r.tell(PeerLoads({2: (8, 8.0)}, {2: 5}, reporting_relays=1, relays=2))
    assert r.balancer.estimates is not None and r.balancer.estimates.used(backend) > before, "five came there since"


def test_a_report_told_by_another_is_not_told_on() -> None:
    r = warmed(backends=4)
    r.run(5000.0)
    r.tell(PeerLoads({}, reporting_relays=1, relays=2, reports={2: (0.9, 30.0, 100.0)}))
    word = local_load(r.balancer.backends.values(), r.now)
    assert 2 not in word.reports


def test_a_backend_where_others_hold_the_group_costs_the_group_no_second_time() -> None:
    r = warmed(backends=6, balancers=3)
    r.tell(PeerLoads({group_key(4, 77): (4, 0.0)}, reporting_relays=2, relays=3))
    assert r.balancer.estimates is not None
    request = Request(1, 0, 1.0, 0.0, 1.0)
    request.group = 77
    adds = {n: r.balancer.estimates.adds(r.balancer.backends[n], request) for n in (2, 4)}
    assert adds[4] < 0.6 * adds[2]


def test_new_settings_count_their_balancers() -> None:
    b = balancer(2, balancers=4)
    b.handle(0.0, SettingsChanged(settings(balancers=7)))
    assert b.others.shares(0.0) == (0.0, 7.0)


def test_moves_go_by_turns_among_those_heard_of() -> None:
    books = [PeerLoadTable(1) for _ in range(5)]
    for rank, book in enumerate(books):
        assert book.moves(0.0) == 1
        book.told(PeerLoads(reporting_relays=4, relays=5, rank=rank), 0.0)
    for beat in range(10):
        assert sum(book.moves(beat * TURN_BEAT_MS) for book in books) == MOVERS


def test_word_of_own_holdings_names_groups_failures_and_reports() -> None:
    r = Relay(backends=4)
    backend = r.balancer.backends[2]
    backend.open, backend.load, backend.bad_until, backend.groups = 3, 4.5, r.now + 700.0, {0: 1, 9: 2}
    word = local_load(r.balancer.backends.values(), r.now)
    assert word.loads == {2: (3, 4.5), group_key(2, 9): (2, 0.0)} and word.ejected == {2: 700.0} and not word.reports
    assert local_load([Backend(1 << 40 | 5)], 0.0).loads == {}
