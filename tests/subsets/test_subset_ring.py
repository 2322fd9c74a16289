"""The subset ring: even coverage, few changes when a relay joins, no dependence on history."""

from __future__ import annotations

from random import Random

import pytest

from benchmarks.subsets import measure
from yarrowspindle.subsets.subset_ring import MIN_BACKENDS, POINTS_PER_RELAY, SubsetRing, point_count


def ring_of(relays: dict[str, float], backends: list[str]) -> SubsetRing:
    ring = SubsetRing()
    ring.set_view(relays, backends)
    return ring


@pytest.mark.parametrize(("relays", "backends"), [(3, 10), (200, 90), (100, 1000)])
def test_coverage_is_even_and_a_join_moves_few_backends(relays: int, backends: int) -> None:
    row = measure("arcs", relays, backends, 11)
    assert row["coverage_max_over_mean"] <= 1.15 and row["moved_share"] <= 2.0 and row["moved_share_node"] <= 2.0
    assert row["load_max_over_mean"] <= row["load_all"] + 0.05 or backends <= 90


def test_equally_many_arcs_cover_each_backend_and_each_relay_has_enough_backends() -> None:
    ring = ring_of({f"r{n}": 1.0 for n in range(60)}, [f"s{n}" for n in range(300)])
    subsets = {name: ring.subset(name) for name in ring.relays}
    for backend in ring.backends:
        assert sum(subset.weights.get(backend, 0) for subset in subsets.values()) == ring.arcs_per_backend
    assert min(len(subset) for subset in subsets.values()) >= MIN_BACKENDS


def test_subsets_depend_only_on_the_current_relays_and_backends() -> None:
    random, ring = Random(4), SubsetRing()
    relays, backends = {f"r{n}": 1.0 + n % 3 for n in range(30)}, [f"s{n}" for n in range(80)]
    for _ in range(300):  # a random history
        kind, number = random.randrange(4), random.randrange(40)
        if kind == 0:
            ring.set_relay(f"r{number}", random.choice((0.3, 1.0, 9.0, 100.0)))
        elif kind == 1 and f"r{number}" in ring.relays:
            ring.remove_relay(f"r{number}")
        elif kind == 2:
            ring.add_backend(f"s{number}")
        else:
            ring.remove_backend(f"s{number}")
    ring.set_view(relays, random.sample(backends, len(backends)))
    fresh_ring = ring_of(relays, backends)
    assert (ring.relay_points, ring.backend_positions) == (fresh_ring.relay_points, fresh_ring.backend_positions)
    assert all(ring.subset(name) == fresh_ring.subset(name) for name in relays)


def test_no_backends_one_backend_an_unknown_relay_and_tenfold_traffic() -> None:
    assert not ring_of({"r0": 1.0}, []).subset("r0").weights and ring_of({"r0": 1.0}, ["s"]).subset("r0").weights == {
        "s": 1
    }
    ring = ring_of({f"r{n}": 10.0 if n == 0 else 1.0 for n in range(100)}, [f"s{n}" for n in range(400)])
    assert set(ring.subset("nobody").weights) == set(ring.backends), (
        "a relay that is not a member yet uses all backends"
    )
    assert len(ring.subset("r0")) > 3 * len(ring.subset("r1"))
    assert (
        point_count(0.0) == POINTS_PER_RELAY // 4
        and point_count(1.0) == POINTS_PER_RELAY
        and point_count(1e9) == 8 * POINTS_PER_RELAY
    )
