"""Which faults of the fleet hold up maintenance."""

from __future__ import annotations

from typing import Any

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.maintenance.fleet_health import TROUBLE_MS, BackendSample, FleetHealth
from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import BackendObservation, MaintenanceState
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY


def looks(**changes: Any) -> list[BackendSample]:
    return [
        BackendSample(name, 0, 1.0, EndpointState.READY, 5.0, **(changes if name == "m1" else {}))
        for name in ("m0", "m1", "m2")
    ]


def test_trouble_is_a_machine_that_dies_or_fails_or_pressure_and_ends() -> None:
    watch, state = FleetHealth(3000.0, 0.1), MaintenanceState()
    seen, trouble = watch.look(0.0, looks(), state)
    assert not trouble and all(s.ready for s in seen.values()), "what is there at the first look is warm"
    assert watch.look(500.0, looks(failing=True), state)[1] == "m1 fails"
    assert not watch.look(1000.0, looks(), state)[1]
    seen, trouble = watch.look(1500.0, looks()[::2], state)
    assert trouble == "m1 died" and "m1" not in seen
    assert not watch.look(1500.0 + TROUBLE_MS, looks()[::2], state)[1], "that is how things are now"
    seen, _ = watch.look(20_000.0, looks(), state)
    assert not seen["m1"].ready, "it is back, and cold"
    assert watch.look(23_000.0, looks(), state)[0]["m1"].ready
    watch.look(30_000.0, looks(), state, 100, 3)
    assert "12% of the jobs" in watch.look(31_000.0, looks(), state, 200, 15)[1]
    assert not watch.look(40_000.0, looks(), state, 210, 25)[1], "too few to tell"


def test_a_machine_that_is_out_may_go_and_comes_back_cold() -> None:
    granted = MaintenanceState({"r0": INITIAL_IDENTITY}).with_request(MaintenanceRequest(("m1",)))
    assert granted is not None
    granted = granted.advanced({"m1": BackendObservation(0, 1.0, True)})
    assert granted is not None
    free = granted._with_released_backends()
    watch = FleetHealth(3000.0, 0.1)
    watch.look(0.0, looks(), granted)
    assert watch.look(500.0, looks()[::2], granted)[1] == "m1 died", "it has not emptied yet"
    watch = FleetHealth(3000.0, 0.1)
    watch.look(0.0, looks(), free)
    assert not watch.look(500.0, looks()[::2], free)[1], "somebody works on it"
    done = free.with_work_completed("m1", 1)
    assert done is not None
    assert not watch.look(1000.0, looks(), done)[0]["m1"].ready and watch.look(4000.0, looks(), done)[0]["m1"].ready
