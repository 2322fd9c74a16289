"""The choice of a backend: two choices, zones, groups and subsets."""

from __future__ import annotations

import random

import pytest

from tests.helpers import (
    WITH_MESSAGE_OBJECTIVE,
    balancer,
    end_attempt,
    establish_request,
    full_list,
    place,
    settings,
    started_attempts,
)
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    Endpoint,
    Outcome,
    RequestReceived,
)


def test_two_backends_are_drawn_and_the_one_with_less_own_load_is_chosen() -> None:
    """With one balancer and equal backends the choices equal those of the power of two choices for the same seed."""
    b, rng = balancer(5, seed=11), random.Random(11)
    load = dict.fromkeys(range(1, 6), 0)
    for n in range(300):
        first, second = int(rng.random() * 5) + 1, int(rng.random() * 5) + 1
        expected = second if load[second] < load[first] else first
        assert place(b, float(n), n) == expected
        load[expected] += 1
    assert max(load.values()) - min(load.values()) <= 3


def test_two_choices_beat_one() -> None:
    b = balancer(10, seed=3)
    for n in range(500):
        place(b, float(n), n)
    counts = [s.connections for s in b.backends.values()]
    assert max(counts) <= 54  # with a single random choice the fullest of ten has about 62


def test_unequal_backends_get_in_proportion_to_their_capacity() -> None:
    b = Balancer(settings(), 5, 0.0)
    b.handle(0.0, full_list(Endpoint(1, capacity=1.0), Endpoint(2, capacity=3.0)))
    for n in range(400):
        place(b, float(n), n)
    assert b.backends[2].connections == pytest.approx(300, abs=12)


def test_a_connection_counts_by_its_load() -> None:
    b = balancer(2, seed=1)
    heavy = establish_request(b, 0.0, 1, load=10.0)
    others = [place(b, 1.0, n, load=1.0) for n in range(2, 10)]
    # Requests for which both draws hit the heavy backend still go there; all others avoid it.
    assert others.count(heavy) <= 4


def test_all_balancers_choose_the_same_backend_for_a_group_but_not_for_a_retry() -> None:
    """Each backend that serves a group does its common work; independent draws would spread it over most backends."""

    def chosen_backends(groups: bool) -> set[int]:
        backends = set()
        for number in range(40):
            b = balancer(30, seed=number, number=number, balancers=40, groups_share_work=groups, max_attempts=2)
            (send,) = started_attempts(b.handle(1.0, RequestReceived(1, left_ms=2000.0, group=77)))
            backends.add(send.backend)
        return backends

    assert len(chosen_backends(True)) == 1 and len(chosen_backends(False)) > 10
    b, retried_at = balancer(30, groups_share_work=True, max_attempts=2), set()
    for number in range(20):
        (send,) = started_attempts(b.handle(float(number), RequestReceived(number, left_ms=2000.0, group=77)))
        (other,) = started_attempts(
            end_attempt(b, float(number), number, send.backend, Outcome.CONNECT_FAILED, finished=False)
        )
        retried_at.add(other.backend)
    assert len(retried_at) > 4


def test_each_backend_is_in_about_as_many_subsets() -> None:
    """With many balancers all backends are drawn about equally often, since the golden ratio spreads the subsets."""
    drawn = dict.fromkeys(range(1, 51), 0)
    for number in range(200):
        b = balancer(50, seed=number, balancers=200, number=number)
        for n in range(20):
            backend = place(b, 0.0, n)
            assert backend is not None
            drawn[backend] += 1
        assert sum(s.connections > 0 for s in b.backends.values()) <= 4  # the balancer's own subset only
    assert min(drawn.values()) > 0.6 * 80 and max(drawn.values()) < 1.4 * 80


def test_few_balancers_use_the_whole_fleet() -> None:
    b = balancer(30, balancers=2)
    for n in range(600):
        place(b, 0.0, n)
    assert all(s.connections for s in b.backends.values())


def test_the_local_zone_is_preferred_only_if_crossing_zones_is_expensive() -> None:
    entries = [Endpoint(i, zone=i % 2) for i in range(1, 9)]
    for price, crossings in ((0.12, False), (0.01, True)):
        b = Balancer(settings(zones=2, cross_zone_price=price), 1, 0.0)
        b.handle(0.0, full_list(*entries))
        zones = {(place(b, 0.0, n) or 0) % 2 for n in range(40)}
        assert (1 in zones) == crossings


def test_own_load_opens_other_zones_if_no_message_latency_is_reported() -> None:
    """Without reported latency no backend counts as slow: only own load shows that the local zone is full."""
    for reported, crossed in ((True, False), (False, True)):
        b = Balancer(
            settings(classes=WITH_MESSAGE_OBJECTIVE, zones=2, cross_zone_price=0.1, backend_reports_latency=reported),
            1,
            0.0,
        )
        b.handle(0.0, full_list(Endpoint(2), Endpoint(3, zone=1), Endpoint(4)))
        in_local_zone = [(place(b, 0.0, n, load=20.0) or 0) != 3 for n in range(60)]
        assert all(in_local_zone[:4]) and all(in_local_zone) != crossed
