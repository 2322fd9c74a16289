"""Faults of the fleet that pause maintenance, and the warm-up of backends."""

from __future__ import annotations

from typing import Any

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.maintenance.fleet_health import FAULT_PERIOD_MS, BackendSample, FleetHealth
from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import BackendObservation, MaintenanceState
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY


def samples(**changes: Any) -> list[BackendSample]:
    """Return three ready backends, with these changes of the second."""
    return [
        BackendSample(name, 0, 1.0, EndpointState.READY, 5.0, **(changes if name == "m1" else {}))
        for name in ("m0", "m1", "m2")
    ]


def samples_without_m1() -> list[BackendSample]:
    return samples()[::2]


def test_dead_or_failing_backends_and_many_rejections_are_faults_until_they_end() -> None:
    health, state = FleetHealth(3000.0, 0.1), MaintenanceState()
    assessment = health.assess(0.0, samples(), state)
    assert not assessment.fault
    assert all(backend.ready for backend in assessment.backends.values()), "backends of the first assessment are warm"
    assert health.assess(500.0, samples(failing=True), state).fault == "m1 fails"
    assert not health.assess(1000.0, samples(), state).fault
    assessment = health.assess(1500.0, samples_without_m1(), state)
    assert assessment.fault == "m1 died" and "m1" not in assessment.backends
    assert not health.assess(1500.0 + FAULT_PERIOD_MS, samples_without_m1(), state).fault, "the fault has ended"
    assessment = health.assess(20_000.0, samples(), state)
    assert not assessment.backends["m1"].ready, "it has returned and is warming up"
    assert health.assess(23_000.0, samples(), state).backends["m1"].ready
    health.assess(30_000.0, samples(), state, 100, 3)
    assert "12% of recent requests were rejected" in health.assess(31_000.0, samples(), state, 200, 15).fault
    assert not health.assess(40_000.0, samples(), state, 210, 25).fault, "too few requests"


def test_a_backend_out_of_service_may_disappear_and_warms_up_after_its_return() -> None:
    started = MaintenanceState({"r0": INITIAL_IDENTITY}).with_request(MaintenanceRequest(("m1",)))
    assert started is not None
    started = started.advanced({"m1": BackendObservation(0, 1.0, True)})
    assert started is not None
    free = started._with_released_backends()
    health = FleetHealth(3000.0, 0.1)
    health.assess(0.0, samples(), started)
    assert health.assess(500.0, samples_without_m1(), started).fault == "m1 died", "it is still emptying"
    health = FleetHealth(3000.0, 0.1)
    health.assess(0.0, samples(), free)
    assert not health.assess(500.0, samples_without_m1(), free).fault, "it is out of service for work"
    completed = free.with_work_completed("m1", 1)
    assert completed is not None
    assert not health.assess(1000.0, samples(), completed).backends["m1"].ready
    assert health.assess(4000.0, samples(), completed).backends["m1"].ready
