"""Updates for relays: deltas, and snapshots if steps are missing."""

from __future__ import annotations

from tests.configuration.harness import (
    CONTROLLERS,
    INITIAL_STATE,
    RELAY,
    ControllerHarness,
    committed,
    heartbeat,
    snapshot,
)
from yarrowspindle.configuration.committed_log import MAX_LOGGED_STEPS
from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.messages import Delta, Snapshot, StateUpdate
from yarrowspindle.configuration.state import MAX_RECENT_STEPS


def test_steps_that_are_no_longer_known_are_replaced_by_a_snapshot() -> None:
    controller, c01 = ControllerHarness(), Sender("c01", CONTROLLERS[1].address, 1)
    state = INITIAL_STATE
    for _ in range(MAX_LOGGED_STEPS // MAX_RECENT_STEPS + 2):
        state = committed(*({"k": f"{n}" * 9, f"x{n}": "y" * 40} for n in range(MAX_RECENT_STEPS)), state=state)
        controller.receive(c01, StateUpdate(state))
    assert len(controller.core.context.committed.steps) <= MAX_LOGGED_STEPS
    newest = state.version
    controller.receive(RELAY, heartbeat(newest - 2, state.entries), 300.0)
    assert [d.base for d in controller.sent(Delta)] == [newest - 2]
    controller.receive(RELAY, heartbeat(newest - 100, state.entries), 300.0)
    assert controller.sent(Snapshot) == [snapshot(newest, state.entries)]
    controller.receive(RELAY, heartbeat(newest - 1, state.entries, wants_snapshot=True))
    assert controller.sent(Snapshot) == [snapshot(newest, state.entries)], "a requested snapshot is sent"
    far_ahead = committed(*({"k": f"{n}"} for n in range(MAX_RECENT_STEPS + 30)), state=state)
    controller.receive(c01, StateUpdate(far_ahead))
    controller.receive(RELAY, heartbeat(newest, state.entries), 300.0)
    assert controller.sent(Snapshot) and not controller.sent(Delta), "the steps between the two states are not known"
