"""Leases of shared budgets: never more than the total under faults, and needs are met soon after them."""

from __future__ import annotations

import pytest

from yarrowspindle.lab.model.lease_simulation import DEFECTS, TERM_MS, run_lease_scenario
from yarrowspindle.lab.model.maintenance_defects import FAULT_SETS
from yarrowspindle.subsets.leases import CLOCK_MARGIN, LeaseRequest, QuotaHolder, QuotaPool, max_min_fair_shares


def test_leases_never_exceed_the_total_and_needs_are_met_after_faults() -> None:
    for seed in range(48):
        result = run_lease_scenario((3, 5, 9)[seed % 3], seed, FAULT_SETS[seed % len(FAULT_SETS)])
        assert result.max_leased_fraction <= 1.0 + 1e-9, f"seed {seed}: {result.max_leased_fraction}"
        assert 0.0 <= result.needs_met_s <= 10.0, f"seed {seed}: not met"


# A seed for which the model detects each defect.
SEED_BY_DEFECT = {
    "no margin": 182,
    "lends at once after a start": 32,
    "forgets what it lent": 10,
    "lends by share alone": 2,
    "counts from the answer": 203,
    "never ends": 2,
    "takes any answer": 10,
    "keeps the larger": 2,
}


@pytest.mark.parametrize("defect", SEED_BY_DEFECT)
def test_each_planted_defect_is_found(defect: str) -> None:
    seed = SEED_BY_DEFECT[defect]
    assert (
        run_lease_scenario(
            (3, 5, 9)[seed % 3], seed, FAULT_SETS[seed % len(FAULT_SETS)], components=DEFECTS[defect]
        ).max_leased_fraction
        > 1.0 + 1e-9
    )


def test_max_min_fair_shares_of_a_total() -> None:
    a, b, c = ("a", 1), ("b", 1), ("c", 1)
    assert max_min_fair_shares(90.0, {a: 10.0, b: 100.0, c: 100.0}) == {a: 10.0, b: 40.0, c: 40.0}
    assert max_min_fair_shares(90.0, {a: 1.0, b: 2.0}) == {a: 1.0, b: 2.0} and max_min_fair_shares(9.0, {}) == {}


def test_a_pool_counts_a_lease_as_in_use_until_it_has_certainly_ended() -> None:
    pool, retention_ms = QuotaPool(100.0, TERM_MS, 0.0), TERM_MS * (1.0 + CLOCK_MARGIN)
    assert pool.on_request(1.0, "a", LeaseRequest(1, 1, 0, 500.0)) is None, (
        "the process before this one may have granted all of it"
    )
    now = retention_ms + 1.0
    first_grant = pool.on_request(now, "a", LeaseRequest(1, 2, 0, 500.0))
    assert first_grant is not None and first_grant.amount == 100.0
    other_grant = pool.on_request(now + 1.0, "b", LeaseRequest(1, 1, 0, 500.0))
    assert other_grant is not None and other_grant.amount == 0.0, "a may still use all of it"
    assert pool.on_request(now + 2.0, "a", LeaseRequest(1, 2, 0, 500.0)) is None, "a duplicate"
    reduced_grant = pool.on_request(now + 2.0, "a", LeaseRequest(1, 3, 2, 500.0))
    assert reduced_grant is not None and reduced_grant.amount == 50.0 and pool.outstanding(now + 2.0) == 100.0, (
        "a may not have received the smaller lease yet"
    )
    pool.on_request(now + 3.0, "a", LeaseRequest(1, 4, 3, 500.0))
    later_grant = pool.on_request(now + 4.0, "b", LeaseRequest(1, 2, 1, 500.0))
    assert later_grant is not None and later_grant.amount == 50.0, "a has reported the smaller lease"


def test_the_term_of_a_lease_runs_from_its_request() -> None:
    holder = QuotaHolder(1, 5.0, TERM_MS, ("a",))
    ((_, request),) = holder.requests(100.0, 50.0)
    grant = QuotaPool(100.0, TERM_MS, -9000.0).on_request(0.0, "me", request)
    assert grant is not None and grant.amount == 45.0
    holder.on_grant(1500.0, "b", grant)
    assert holder.budget(1500.0) == 5.0, "the request was not sent to that pool"
    ((_, request),) = holder.requests(100.0, 50.0)
    grant = QuotaPool(100.0, TERM_MS, -9000.0).on_request(0.0, "me", request)
    assert grant is not None
    holder.on_grant(1500.0, "a", grant)
    holder.on_grant(1600.0, "a", grant)
    assert holder.budget(2099.0) == 50.0 and holder.budget(2100.0) == 5.0
