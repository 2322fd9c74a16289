"""The membership table: the rules of precedence between updates, and its size limit."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from yarrowspindle.membership.members import Members
from yarrowspindle.membership.messages import MembershipUpdate, MemberState

LOCAL_ADDRESS, PEER_ADDRESS = ("10.0.0.1", 7946), ("10.0.0.2", 7946)


def update(
    state: MemberState, incarnation: int = 1, refutations: int = 0, name: str = "b", suspected_by: str = ""
) -> MembershipUpdate:
    return MembershipUpdate(name, *PEER_ADDRESS, incarnation, refutations, state, suspected_by)


UPDATES = st.builds(update, st.sampled_from(MemberState), st.integers(1, 3), st.integers(0, 3), st.sampled_from("bc"))


def state_of(members: Members, name: str = "b") -> tuple[int, int, int] | None:
    member = members.table.get(name)
    return None if member is None else (member.incarnation, member.refutations, member.state)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(UPDATES, max_size=12), st.randoms(use_true_random=False))
def test_the_same_updates_in_any_order_and_number_give_the_same_table(
    updates: list[MembershipUpdate], rng: random.Random
) -> None:
    def table(order: list[MembershipUpdate]) -> list[tuple[int, int, int] | None]:
        members = Members("a", LOCAL_ADDRESS, 1, 0.0)
        for name in "bc":  # both are known from the start, as a dead or left member that is not known is ignored
            members.apply(update(MemberState.ALIVE, 1, 0, name), 0.0)
        for membership_update in order:
            members.apply(membership_update, 1.0)
        return [state_of(members, name) for name in "bc"]

    # An incarnation that left ignores further refutations, so the order matters only for updates in state LEFT.
    updates = [membership_update for membership_update in updates if membership_update.state != MemberState.LEFT]
    shuffled = updates + updates[: len(updates) // 2]
    rng.shuffle(shuffled)
    assert table(updates) == table(shuffled)


def test_an_incarnation_that_left_never_returns_and_a_dead_one_only_by_a_refutation() -> None:
    members = Members("a", LOCAL_ADDRESS, 1, 0.0)
    members.apply(update(MemberState.ALIVE), 0.0)
    members.apply(update(MemberState.DEAD), 1.0)
    assert members.size == 1
    assert (
        members.apply(update(MemberState.ALIVE), 2.0) is None
        and members.apply(update(MemberState.SUSPECT), 2.0) is None
    )
    assert members.apply(update(MemberState.ALIVE, refutations=1), 2.0) is not None and members.size == 2
    members.apply(update(MemberState.LEFT, refutations=1), 3.0)
    assert members.apply(update(MemberState.ALIVE, refutations=9), 4.0) is None and members.size == 1
    assert members.apply(update(MemberState.ALIVE, incarnation=2), 5.0) is not None and members.names == ["a", "b"]


def test_a_relay_refutes_a_suspicion_and_takes_a_later_incarnation_than_any_reported() -> None:
    members = Members("a", LOCAL_ADDRESS, 5, 0.0)
    members.apply(MembershipUpdate("a", *LOCAL_ADDRESS, 5, 0, MemberState.SUSPECT, "b"), 0.0)
    assert (members.local.incarnation, members.local.refutations) == (5, 1)
    # The update is about an earlier process whose clock was ahead.
    members.apply(MembershipUpdate("a", *LOCAL_ADDRESS, 9, 3, MemberState.DEAD, "b"), 0.0)
    assert (members.local.incarnation, members.local.refutations) == (10, 0) and not members.superseded


def test_a_name_used_twice_belongs_to_the_later_process_until_that_has_ended() -> None:
    members = Members("a", LOCAL_ADDRESS, 5, 0.0)
    members.apply(MembershipUpdate("a", *PEER_ADDRESS, 6, 0, MemberState.ALIVE), 0.0)
    assert members.superseded and members.local.incarnation == 5
    members.apply(MembershipUpdate("a", *PEER_ADDRESS, 6, 0, MemberState.DEAD), 1.0)
    assert not members.superseded and members.local.incarnation == 7


def test_the_table_and_its_updates_are_bounded() -> None:
    members = Members("a", LOCAL_ADDRESS, 1, 0.0)
    for n in range(6000):
        members.apply(update(MemberState.ALIVE, name=f"s{n}"), 0.0)
    assert len(members.table) == 4096
    sent = 0
    for _ in range(200):
        sent += len(members.take_updates(1000))
    assert sent > 0 and all(len(members.take_updates(100)) <= 2 for _ in range(5))
    for n in range(6000):
        members.apply(update(MemberState.DEAD, name=f"s{n}"), 1.0)
    members.apply(update(MemberState.ALIVE, name="new"), 2.0)
    assert "new" in members.table and len(members.table) == 4096, "a dead member is removed to make room"
    members.remove_ended(5.0)
    assert set(members.table) == {"a", "new"} and set(members.updates) <= {"a", "new"}
