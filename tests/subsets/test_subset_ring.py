"""Arcs to the m-th successor: even cover, few changes, no history."""

from __future__ import annotations

from random import Random

import pytest

from benchmarks.subsets import measured
from yarrowspindle.subsets.subset_ring import MIN_BACKENDS, POINTS, SubsetRing, points_of


def seen(relays: dict[str, float], backends: list[str]) -> SubsetRing:
    view = SubsetRing()
    view.set_view(relays, backends)
    return view


@pytest.mark.parametrize(("relays", "backends"), [(3, 10), (200, 90), (100, 1000)])
def test_cover_is_even_and_a_join_changes_little(relays: int, backends: int) -> None:
    row = measured("arcs", relays, backends, 11)
    assert row["coverage_max_over_mean"] <= 1.15 and row["moved_share"] <= 2.0 and row["moved_share_node"] <= 2.0
    assert row["load_max_over_mean"] <= row["load_all"] + 0.05 or backends <= 90


def test_each_backend_lies_under_as_many_points_and_each_relay_has_enough() -> None:
    view = seen({f"r{n}": 1.0 for n in range(60)}, [f"s{n}" for n in range(300)])
    parts = {name: view.subset(name) for name in view.relays}
    for backend in view.backends:
        assert sum(part.weights.get(backend, 0) for part in parts.values()) == view.cover
    assert min(len(part) for part in parts.values()) >= MIN_BACKENDS


def test_the_same_view_gives_the_same_subsets_whatever_the_way_to_it() -> None:
    drawn, view = Random(4), SubsetRing()
    relays, backends = {f"r{n}": 1.0 + n % 3 for n in range(30)}, [f"s{n}" for n in range(80)]
    for _ in range(300):  # anything at all before
        kind, number = drawn.randrange(4), drawn.randrange(40)
        if kind == 0:
            view.set_relay(f"r{number}", drawn.choice((0.3, 1.0, 9.0, 100.0)))
        elif kind == 1 and f"r{number}" in view.relays:
            view.remove_relay(f"r{number}")
        elif kind == 2:
            view.add_backend(f"s{number}")
        else:
            view.remove_backend(f"s{number}")
    view.set_view(relays, drawn.sample(backends, len(backends)))
    fresh = seen(relays, backends)
    assert (view.points, view.places) == (fresh.points, fresh.places)
    assert all(view.subset(name) == fresh.subset(name) for name in relays)


def test_edges_no_backend_one_backend_a_stranger_and_ten_times_the_traffic() -> None:
    assert not seen({"r0": 1.0}, []).subset("r0").weights and seen({"r0": 1.0}, ["s"]).subset("r0").weights == {"s": 1}
    view = seen({f"r{n}": 10.0 if n == 0 else 1.0 for n in range(100)}, [f"s{n}" for n in range(400)])
    assert set(view.subset("nobody").weights) == set(view.backends), "who is not a member yet draws from all"
    assert len(view.subset("r0")) > 3 * len(view.subset("r1"))
    assert points_of(0.0) == POINTS // 4 and points_of(1.0) == POINTS and points_of(1e9) == 8 * POINTS
