"""A state of maintenance for tests."""

from __future__ import annotations

from yarrowspindle.daemon.voter_file import initial_state
from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import BackendObservation, MaintenanceState

VOTERS = ("r0", "r1", "r2")


def sample_state(backends: int = 40) -> MaintenanceState:
    names = tuple(f"machine-{n}" for n in range(backends))
    state = initial_state(VOTERS).with_relay("r0", "x")
    assert state is not None
    state = state.with_request(MaintenanceRequest(names, 3, 3))
    assert state is not None
    started = state.advanced({name: BackendObservation(0, 1.0, True) for name in names})
    assert started is not None
    return started
