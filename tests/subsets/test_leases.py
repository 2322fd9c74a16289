"""Budgets spent together: never more than the total, whatever is lost; met by need soon after the faults."""

from __future__ import annotations

import pytest

from yarrowspindle.lab.model.lending import DEFECTS, TERM_MS, play_leases
from yarrowspindle.lab.model.planted import SETS
from yarrowspindle.subsets.leases import CLOCK_MARGIN, LeaseRequest, QuotaHolder, QuotaPool, divide


def test_never_more_than_the_total_and_needs_are_met_again() -> None:
    for seed in range(48):
        day = play_leases((3, 5, 9)[seed % 3], seed, SETS[seed % len(SETS)])
        assert day.most <= 1.0 + 1e-9, f"seed {seed}: {day.most}"
        assert 0.0 <= day.met_s <= 10.0, f"seed {seed}: not met"


FOUND = {
    "no margin": 182,
    "lends at once after a start": 32,
    "forgets what it lent": 10,
    "lends by share alone": 2,
    "counts from the answer": 203,
    "never ends": 2,
    "takes any answer": 10,
    "keeps the larger": 2,
}


@pytest.mark.parametrize("defect", FOUND)
def test_each_planted_defect_is_found(defect: str) -> None:
    seed = FOUND[defect]
    assert play_leases((3, 5, 9)[seed % 3], seed, SETS[seed % len(SETS)], parts=DEFECTS[defect]).most > 1.0 + 1e-9


def test_needs_divide_a_total() -> None:
    a, b, c = ("a", 1), ("b", 1), ("c", 1)
    assert divide(90.0, {a: 10.0, b: 100.0, c: 100.0}) == {a: 10.0, b: 40.0, c: 40.0}
    assert divide(90.0, {a: 1.0, b: 2.0}) == {a: 1.0, b: 2.0} and divide(9.0, {}) == {}


def test_a_bank_counts_what_may_be_in_use_until_it_cannot_be() -> None:
    bank, keeps = QuotaPool(100.0, TERM_MS, 0.0), TERM_MS * (1.0 + CLOCK_MARGIN)
    assert bank.on_request(1.0, "a", LeaseRequest(1, 1, 0, 500.0)) is None, (
        "a process before this one may have lent it all"
    )
    now = keeps + 1.0
    first = bank.on_request(now, "a", LeaseRequest(1, 2, 0, 500.0))
    assert first is not None and first.amount == 100.0
    other = bank.on_request(now + 1.0, "b", LeaseRequest(1, 1, 0, 500.0))
    assert other is not None and other.amount == 0.0, "a may be using it"
    assert bank.on_request(now + 2.0, "a", LeaseRequest(1, 2, 0, 500.0)) is None, "doubled"
    less = bank.on_request(now + 2.0, "a", LeaseRequest(1, 3, 2, 500.0))
    assert less is not None and less.amount == 50.0 and bank.outstanding(now + 2.0) == 100.0, (
        "it may not have heard yet"
    )
    bank.on_request(now + 3.0, "a", LeaseRequest(1, 4, 3, 500.0))
    again = bank.on_request(now + 4.0, "b", LeaseRequest(1, 2, 1, 500.0))
    assert again is not None and again.amount == 50.0, "now it has"


def test_a_borrower_spends_a_loan_from_when_it_asked() -> None:
    borrower = QuotaHolder(1, 5.0, TERM_MS, ("a",))
    ((_, ask),) = borrower.requests(100.0, 50.0)
    lend = QuotaPool(100.0, TERM_MS, -9000.0).on_request(0.0, "me", ask)
    assert lend is not None and lend.amount == 45.0
    borrower.on_grant(1500.0, "b", lend)
    assert borrower.budget(1500.0) == 5.0, "that bank was not asked"
    ((_, ask),) = borrower.requests(100.0, 50.0)
    lend = QuotaPool(100.0, TERM_MS, -9000.0).on_request(0.0, "me", ask)
    assert lend is not None
    borrower.on_grant(1500.0, "a", lend)
    borrower.on_grant(1600.0, "a", lend)
    assert borrower.budget(2099.0) == 50.0 and borrower.budget(2100.0) == 5.0
