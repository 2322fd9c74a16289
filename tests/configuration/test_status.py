"""Status: which version all relays apply according to all controllers' summaries, and the attachment grace period."""

from __future__ import annotations

import pytest

from tests.configuration.harness import CONTROLLERS, RELAY, ControllerHarness, heartbeat, steady_controller
from yarrowspindle.configuration.controller_context import ATTACHMENT_GRACE_MS
from yarrowspindle.configuration.events import ChangeRequested, Sender, TimerFired
from yarrowspindle.configuration.messages import RelaySummary


def test_applied_everywhere_is_the_version_that_all_relays_of_all_controllers_apply() -> None:
    controller, c01 = steady_controller(), Sender("c01", CONTROLLERS[1].address, 1)
    controller.post(ChangeRequested(1, {"a": "1"}))
    assert controller.core.status().applied_everywhere == 0
    controller.receive(RELAY, heartbeat(1, {"a": "1"}))
    assert controller.core.status().applied_everywhere == 0, "the relay of c01 does not apply the version yet"
    controller.receive(c01, RelaySummary(1, 1, [(1, 1)], []))
    assert controller.core.status().applied_everywhere == 1
    lines = [line for _ in range(4) for line in controller.post(TimerFired(), 100.0) and controller.log_lines()]
    assert ["version 1 is applied by all 2 relays" in line for line in lines] == [True], "logged once"


@pytest.mark.parametrize("cause", ["silent", "new incarnation", "stood still", "just started"])
def test_applied_everywhere_does_not_grow_while_attachments_may_be_incomplete(cause: str) -> None:
    controller = steady_controller() if cause != "just started" else ControllerHarness()
    c01 = Sender("c01", CONTROLLERS[1].address, 1)
    if cause == "silent":
        for _ in range(12):
            controller.post(TimerFired(), 100.0)
    elif cause == "new incarnation":
        controller.receive(Sender("c01", CONTROLLERS[1].address, 2), RelaySummary(0, 0, [], []))
    elif cause == "stood still":
        controller.receive(c01, RelaySummary(0, 0, [], []), 1500.0)
    controller.receive(RELAY, heartbeat())
    controller.post(ChangeRequested(1, {"a": "1"}))
    controller.receive(RELAY, heartbeat(1, {"a": "1"}))
    incarnation = 2 if cause == "new incarnation" else 1
    if cause != "silent":
        controller.receive(Sender("c01", CONTROLLERS[1].address, incarnation), RelaySummary(1, 0, [], []))
    assert controller.core.status().applied_everywhere == 0, "a relay may be changing its controller"
    for _ in range(int(ATTACHMENT_GRACE_MS / 100.0) + 2):
        controller.receive(RELAY, heartbeat(1, {"a": "1"}), 0.0)
        if cause != "silent":
            controller.receive(Sender("c01", CONTROLLERS[1].address, incarnation), RelaySummary(1, 0, [], []), 0.0)
        controller.post(TimerFired(), 100.0)
    assert controller.core.status().applied_everywhere == 1
