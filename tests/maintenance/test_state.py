"""Invariants of the replicated state of maintenance."""

from __future__ import annotations

from typing import Any

import pytest

from yarrowspindle.lab.model.maintenance_cluster import INITIAL_IDENTITY
from yarrowspindle.maintenance.requests import MaintenanceError, MaintenanceRequest
from yarrowspindle.maintenance.state import EMPTYING, FREE, WARMING, BackendObservation, MaintenanceState

BACKENDS = {f"m{n}": BackendObservation(n % 2, 1.0, True) for n in range(4)}


REQUEST = MaintenanceRequest(("m0", "m1", "m2"), 2, 1, 2.0)


def require(state: MaintenanceState | None) -> MaintenanceState:
    assert state is not None
    return state


def with_one_evacuation() -> MaintenanceState:
    state = require(MaintenanceState({"r0": INITIAL_IDENTITY}).with_relay("r0", "x"))
    state = require(require(state.with_relay("r1", "y")).with_request(REQUEST))
    return require(state.advanced(BACKENDS))


def test_an_equal_request_is_not_repeated_and_a_conflicting_one_is_refused_with_the_reason() -> None:
    state = with_one_evacuation()
    assert state.with_request(MaintenanceRequest(("m0", "m1", "m2"), 2, 1, 2.0)) is None
    refused = require(state.with_request(MaintenanceRequest(("m3", "m1")))).requests[
        MaintenanceRequest(("m3", "m1")).id
    ]
    assert refused.state == "refused" and refused.reason == f"m1 is in request {REQUEST.id} already"
    invalid_requests: list[dict[str, Any]] = [
        {"backends": ()},
        {"backends": ("a", "a")},
        {"backends": ("a",), "max_unavailable": 0},
        {"backends": ("a",), "deadline_s": 0.0},
    ]
    for invalid in invalid_requests:
        with pytest.raises(MaintenanceError):
            MaintenanceRequest(**invalid)


def test_evacuations_keep_to_the_limits_of_all_of_each_zone_and_of_capacity() -> None:
    state = with_one_evacuation()
    assert list(state.evacuations) == ["m0"]
    state = require(state.advanced(BACKENDS))
    assert list(state.evacuations) == ["m0", "m1"] and [
        evacuation.number for evacuation in state.evacuations.values()
    ] == [1, 2]
    assert state.advanced(BACKENDS) is None, "two backends are out of service"
    one_zone = require(
        require(MaintenanceState().with_request(MaintenanceRequest(("m0", "m2"), 2, 1, 0.0))).advanced(BACKENDS)
    )
    assert one_zone.advanced(BACKENDS) is None, "both backends are in one zone"
    assert (
        require(MaintenanceState().with_request(MaintenanceRequest(("m0",), 1, 1, 3.5))).advanced(BACKENDS) is None
    ), "the ready capacity would fall below the floor"
    with_connections = {
        name: BackendObservation(seen.zone, seen.capacity, seen.ready, 9 - int(name[1]))
        for name, seen in BACKENDS.items()
    }
    fewest = require(
        require(MaintenanceState().with_request(MaintenanceRequest(("m0", "m3", "m1"), order="fewest"))).advanced(
            with_connections
        )
    )
    assert list(fewest.evacuations) == ["m3"], "the backend with the fewest connections goes first"


def test_a_backend_is_free_once_each_registered_incarnation_confirmed_this_evacuation() -> None:
    state = with_one_evacuation()
    assert state.unconfirmed_relays("m0") == ["r0", "r1"] and state.with_confirmations("r0", 1, {"m0": 7}) is None
    assert state.with_confirmations("r0", 9, {"m0": 1}) is None, "not the registered incarnation"
    state = require(state.with_confirmations("r0", 1, {"m0": 1}))
    assert state.evacuations["m0"].stage == EMPTYING
    assert state.with_relay("r0", "x") is None, "the process is registered already"
    restarted = require(state.with_relay("r0", "z"))
    assert restarted.unconfirmed_relays("m0") == ["r0", "r1"], (
        "the new process does not know the connections of the former one"
    )
    state = require(state.without_relay("r1", 2))
    assert state.evacuations["m0"].stage == FREE and state.excludes("m0")


def test_a_request_is_cancelled_in_each_stage_and_work_completed_only_when_free() -> None:
    state = with_one_evacuation()
    assert state.with_work_completed("m0", 1) is None
    queued_at_version = state.requests[REQUEST.id].changed_at_version
    assert state.with_request_cancelled(REQUEST.id, queued_at_version - 1) is None, "a command for an earlier request"
    reverted = require(state.with_request_cancelled(REQUEST.id, queued_at_version))
    assert (
        not reverted.evacuations
        and reverted.requests[REQUEST.id].state == "cancelled"
        and reverted.advanced(BACKENDS) is None
    )
    free = require(require(state.with_confirmations("r0", 1, {"m0": 1})).with_confirmations("r1", 2, {"m0": 1}))
    cancelled = require(free.with_request_cancelled(REQUEST.id, queued_at_version))
    assert cancelled.evacuations["m0"].stage == FREE, "a free backend stays out of service until its work is completed"
    assert cancelled.with_work_completed("m0", 0) is None, "a command for an earlier evacuation"
    warming = require(cancelled.with_work_completed("m0", 1))
    assert warming.evacuations["m0"].stage == WARMING and not warming.excludes("m0")
    cold_backends = BACKENDS | {"m0": BackendObservation(0, 1.0, False)}
    assert warming.advanced(cold_backends) is None and not require(warming.advanced(BACKENDS)).evacuations


def test_a_pause_reverts_emptying_backends_and_stops_the_queue_until_it_ends() -> None:
    state = with_one_evacuation()
    state = require(require(state.with_confirmations("r0", 1, {"m0": 1})).with_confirmations("r1", 2, {"m0": 1}))
    state = require(state.advanced(BACKENDS))
    paused = require(state.with_pause("zone a is lost"))
    assert list(paused.evacuations) == ["m0"] and paused.requests[REQUEST.id].waiting == ("m1", "m2")
    assert paused.advanced(BACKENDS) is None and paused.with_pause("zone a is lost") is None
    resumed = require(require(paused.without_pause()).advanced(BACKENDS))
    assert resumed.evacuations["m1"].number == 3, "the new evacuation has a number that no relay has confirmed"
