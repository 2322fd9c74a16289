"""The rules of the maintenance state."""

from __future__ import annotations

from typing import Any

import pytest

from yarrowspindle.lab.model.turning import FIRST
from yarrowspindle.maintenance.requests import MaintenanceError, MaintenanceRequest
from yarrowspindle.maintenance.state import EMPTYING, FREE, WARMING, BackendObservation, MaintenanceState

SEEN = {f"m{n}": BackendObservation(n % 2, 1.0, True) for n in range(4)}


WISH = MaintenanceRequest(("m0", "m1", "m2"), 2, 1, 2.0)


def settled(state: MaintenanceState | None) -> MaintenanceState:
    assert state is not None
    return state


def granted() -> MaintenanceState:
    state = settled(MaintenanceState({"r0": FIRST}).with_relay("r0", "x"))
    state = settled(settled(state.with_relay("r1", "y")).with_request(WISH))
    return settled(state.advanced(SEEN))


def test_the_same_wish_twice_is_one_and_one_that_clashes_is_told_why() -> None:
    state = granted()
    assert state.with_request(MaintenanceRequest(("m0", "m1", "m2"), 2, 1, 2.0)) is None
    refused = settled(state.with_request(MaintenanceRequest(("m3", "m1")))).requests[
        MaintenanceRequest(("m3", "m1")).id
    ]
    assert refused.state == "refused" and refused.reason == f"m1 is in request {WISH.id} already"
    wrongs: list[dict[str, Any]] = [
        {"backends": ()},
        {"backends": ("a", "a")},
        {"backends": ("a",), "max_unavailable": 0},
        {"backends": ("a",), "deadline_s": 0.0},
    ]
    for wrong in wrongs:
        with pytest.raises(MaintenanceError):
            MaintenanceRequest(**wrong)


def test_turns_keep_to_most_zone_and_floor() -> None:
    state = granted()
    assert list(state.evacuations) == ["m0"]
    state = settled(state.advanced(SEEN))
    assert list(state.evacuations) == ["m0", "m1"] and [o.number for o in state.evacuations.values()] == [1, 2]
    assert state.advanced(SEEN) is None, "two are out"
    alone = settled(
        settled(MaintenanceState().with_request(MaintenanceRequest(("m0", "m2"), 2, 1, 0.0))).advanced(SEEN)
    )
    assert alone.advanced(SEEN) is None, "they are in one zone"
    assert settled(MaintenanceState().with_request(MaintenanceRequest(("m0",), 1, 1, 3.5))).advanced(SEEN) is None, (
        "the floor"
    )
    held = {m: BackendObservation(s.zone, s.capacity, s.ready, 9 - int(m[1])) for m, s in SEEN.items()}
    fewest = settled(
        settled(MaintenanceState().with_request(MaintenanceRequest(("m0", "m3", "m1"), order="fewest"))).advanced(held)
    )
    assert list(fewest.evacuations) == ["m3"], "the one with fewest connections goes first"


def test_free_needs_each_registered_incarnation_and_this_turn() -> None:
    state = granted()
    assert state.unconfirmed_relays("m0") == ["r0", "r1"] and state.with_confirmations("r0", 1, {"m0": 7}) is None
    assert state.with_confirmations("r0", 9, {"m0": 1}) is None, "another life"
    state = settled(state.with_confirmations("r0", 1, {"m0": 1}))
    assert state.evacuations["m0"].stage == EMPTYING
    assert state.with_relay("r0", "x") is None, "the same process again"
    again = settled(state.with_relay("r0", "z"))
    assert again.unconfirmed_relays("m0") == ["r0", "r1"], "a new life knows nothing of what the one before held"
    state = settled(state.without_relay("r1", 2))
    assert state.evacuations["m0"].stage == FREE and state.excludes("m0")


def test_cancel_in_every_state_and_done_only_when_free() -> None:
    state = granted()
    assert state.with_work_completed("m0", 1) is None
    at = state.requests[WISH.id].changed_at_version
    assert state.with_request_cancelled(WISH.id, at - 1) is None, "a word on an earlier request"
    back = settled(state.with_request_cancelled(WISH.id, at))
    assert not back.evacuations and back.requests[WISH.id].state == "cancelled" and back.advanced(SEEN) is None
    free = settled(settled(state.with_confirmations("r0", 1, {"m0": 1})).with_confirmations("r1", 2, {"m0": 1}))
    kept = settled(free.with_request_cancelled(WISH.id, at))
    assert kept.evacuations["m0"].stage == FREE, "somebody works on it"
    assert kept.with_work_completed("m0", 0) is None, "a word on an earlier turn"
    warming = settled(kept.with_work_completed("m0", 1))
    assert warming.evacuations["m0"].stage == WARMING and not warming.excludes("m0")
    cold = SEEN | {"m0": BackendObservation(0, 1.0, False)}
    assert warming.advanced(cold) is None and not settled(warming.advanced(SEEN)).evacuations


def test_trouble_takes_back_who_has_not_emptied_and_stops_the_queue_until_it_is_over() -> None:
    state = granted()
    state = settled(settled(state.with_confirmations("r0", 1, {"m0": 1})).with_confirmations("r1", 2, {"m0": 1}))
    state = settled(state.advanced(SEEN))
    stopped = settled(state.with_pause("zone a is lost"))
    assert list(stopped.evacuations) == ["m0"] and stopped.requests[WISH.id].waiting == ("m1", "m2")
    assert stopped.advanced(SEEN) is None and stopped.with_pause("zone a is lost") is None
    on = settled(settled(stopped.without_pause()).advanced(SEEN))
    assert on.evacuations["m1"].number == 3, "a new turn, whose number nobody has confirmed"
