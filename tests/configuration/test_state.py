"""The replicated state: the sequence of orders, rejections, bounds and digests."""

from __future__ import annotations

import pytest

from tests.configuration.harness import INITIAL_STATE, committed, require_settled
from yarrowspindle.configuration.state import (
    MAX_ENTRIES,
    MAX_ENTRIES_CHARACTERS,
    MAX_RECENT_STEPS,
    MAX_RECENT_STEPS_CHARACTERS,
    MAX_VALUE_CHARACTERS,
    ChangeOrder,
    CommittedStep,
    content_digest,
    entries_bounds_error,
)
from yarrowspindle.lab.model.configuration_cluster import check_entries


def test_an_order_is_settled_once_and_in_its_turn() -> None:
    order, next_order = ChangeOrder("c01", 5, 1, {"a": "1"}), ChangeOrder("c01", 5, 2, {"a": "2"})
    assert INITIAL_STATE.settle(next_order, check_entries) is None, "the preceding order is not settled"
    first = require_settled(INITIAL_STATE.settle(order, check_entries))
    assert first.settle(order, check_entries) is None and first.is_settled(order) and not first.is_settled(next_order)
    second = require_settled(first.settle(next_order, check_entries))
    assert second.entries == {"a": "2"} and second.settle(order, check_entries) is None
    assert second.settle(ChangeOrder("c01", 4, 1, {"a": "0"}), check_entries) is None, (
        "a delayed order of an earlier process"
    )
    assert second.settle(ChangeOrder("c01", 6, 2, {"a": "0"}), check_entries) is None
    third = require_settled(second.settle(ChangeOrder("c01", 6, 1, {"a": None}), check_entries))
    assert third.entries == {} and third.settle(ChangeOrder("c01", 5, 3, {"a": "0"}), check_entries) is None
    assert require_settled(third.settle(ChangeOrder("c02", 1, 1, {"b": "1"}), check_entries)).version == 4, (
        "each controller numbers its orders independently"
    )


def test_an_order_that_the_check_rejects_is_committed_as_a_rejected_step() -> None:
    state = committed({"left": "1"})
    rejected = require_settled(state.settle(ChangeOrder("c02", 1, 1, {"right": "1"}), check_entries))
    assert rejected.version == 2 and rejected.entries == {"left": "1"}
    assert rejected.recent_steps[-1] == CommittedStep(2, {}, "left and right are not both possible", "c02", 1, 1)
    assert require_settled(
        rejected.settle(ChangeOrder("c02", 1, 2, {"left": None, "right": "1"}), check_entries)
    ).entries == {"right": "1"}
    many = {f"k{n}": "x" * (MAX_ENTRIES_CHARACTERS // 8) for n in range(9)}
    assert (
        "at most"
        in require_settled(INITIAL_STATE.settle(ChangeOrder("c02", 1, 1, many), check_entries))
        .recent_steps[-1]
        .rejection_reason
    )


@pytest.mark.parametrize(
    "entries",
    [
        {"": "x"},
        {"k" * 65: "x"},
        {"k": "x" * (MAX_VALUE_CHARACTERS + 1)},
        {f"k{n}": "" for n in range(MAX_ENTRIES + 1)},
    ],
)
def test_entries_have_bounds(entries: dict[str, str]) -> None:
    assert entries_bounds_error(entries) and not entries_bounds_error({"k": "x" * MAX_VALUE_CHARACTERS})


def test_recent_steps_are_bounded_and_contiguous() -> None:
    state = committed(*({"k": f"{n}"} for n in range(MAX_RECENT_STEPS + 9)))
    assert [d.version for d in state.recent_steps] == list(range(10, MAX_RECENT_STEPS + 10))
    state = committed(*({"k": f"{n}" * 8000} for n in range(9)))
    assert (
        sum(len(d.step["k"] or "") for d in state.recent_steps) <= MAX_RECENT_STEPS_CHARACTERS
        and state.recent_steps[-1].version == 9
    )


def test_a_digest_covers_version_and_content() -> None:
    assert (
        content_digest(1, {"a": "1", "b": "2"})
        == content_digest(1, {"b": "2", "a": "1"})
        != content_digest(2, {"a": "1", "b": "2"})
    )
    assert content_digest(1, {"a": "1"}) != content_digest(1, {"a": "2"})


def test_a_new_identity_of_a_voter_creates_a_version_and_an_epoch() -> None:
    state = committed({"a": "1"})
    assert state.with_voter("c00", "file") is None
    changed = require_settled(state.with_voter("c00", "new"))
    assert (changed.version, changed.epoch, changed.voters, changed.entries) == (2, 1, {"c00": "new"}, {"a": "1"})
