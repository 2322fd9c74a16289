"""Attached relays: messages out of order, name conflicts, bounds and updates."""

from __future__ import annotations

import pytest

from tests.configuration.harness import CONTROLLERS, RELAY, ControllerHarness, heartbeat, steady_controller
from yarrowspindle.configuration.controller_context import ATTACHMENT_GRACE_MS
from yarrowspindle.configuration.events import ChangeRequested, MessageReceived, Sender, TimerFired
from yarrowspindle.configuration.messages import Delta, Detach, LatestVersion, RelayReattached, RelaySummary, Snapshot
from yarrowspindle.configuration.relay_sessions import MAX_RELAYS


def test_two_relays_with_the_same_name_are_both_served_and_logged_once() -> None:
    controller = ControllerHarness()
    controller.receive(RELAY, heartbeat())
    namesake = Sender("r0", ("10.0.1.2", 7950), 1)
    controller.receive(namesake, heartbeat())
    assert ["two relays are called r0" in line for line in controller.log_lines()] == [True]
    controller.receive(Sender("r0", ("10.0.1.3", 7950), 1), heartbeat())
    assert not controller.log_lines() and len(controller.core.sessions.relays) == 3


def test_a_relay_with_a_newer_version_is_logged_and_sent_nothing_older() -> None:
    controller = ControllerHarness()
    controller.receive(RELAY, heartbeat(9), elapsed_ms=6000.0)
    assert "newer than the committed version" in controller.log_lines()[0]
    assert controller.sent(LatestVersion) and not controller.sent(Snapshot) and not controller.sent(Delta)


def test_messages_delivered_out_of_order_change_nothing() -> None:
    controller = ControllerHarness()
    controller.post(MessageReceived(Sender("r0", RELAY.address, 2, 50), heartbeat(applied_version=0)))
    for sender in (Sender("r0", RELAY.address, 2, 49), Sender("r0", RELAY.address, 1, 99)):
        controller.post(MessageReceived(sender, heartbeat(4)))
        controller.post(MessageReceived(sender, Detach()))
    c01 = CONTROLLERS[1]
    controller.post(MessageReceived(Sender("c01", c01.address, 1, 1), RelayReattached(*RELAY.address, 2, 49)))
    (relay,) = controller.core.sessions.relays.values()
    assert relay.known_version == 0 and not relay.grace_ends_at
    controller.post(MessageReceived(Sender("c01", c01.address, 2, 50), RelaySummary(0, 7, [(0, 7)], [])))
    controller.post(MessageReceived(Sender("c01", c01.address, 2, 49), RelaySummary(0, 1, [(0, 1)], [])))
    assert controller.core.status().controllers["c01"].relays == 7


def test_the_relay_table_is_bounded_and_the_longest_silent_relay_is_evicted() -> None:
    controller = ControllerHarness()
    for n in range(MAX_RELAYS + 1):
        controller.receive(Sender(f"r{n}", (f"10.1.{n >> 8}.{n & 255}", 1), 1), heartbeat(), 0.0)
    assert len(controller.core.sessions.relays) == MAX_RELAYS and controller.core.counts["no_room"] == 1
    controller.receive(Sender("late", ("10.2.0.1", 1), 1), heartbeat(), 5000.0)
    assert len(controller.core.sessions.relays) == MAX_RELAYS and ("10.2.0.1", 1) in controller.core.sessions.relays


@pytest.mark.parametrize("reported", [True, False])
def test_a_detached_relay_counts_until_its_next_controller_reports_it(reported: bool) -> None:
    controller, c01 = steady_controller(), Sender("c01", CONTROLLERS[1].address, 1)
    controller.receive(c01, RelaySummary(0, 0, [], []))
    controller.post(MessageReceived(Sender("r0", RELAY.address, 1, 10_000), Detach()))
    controller.post(ChangeRequested(1, {"a": "1"}))
    assert controller.core.status().applied_everywhere == 0 and controller.core.status().relays == 0
    assert not controller.sent(Delta), "the relay's next controller sends it updates"
    if reported:
        controller.receive(c01, RelayReattached(*RELAY.address, 1, 10_001))
    for n in range(int(ATTACHMENT_GRACE_MS / 100.0) + 4):
        if n == 20:
            assert controller.core.status().applied_everywhere == (1 if reported else 0)
        controller.receive(c01, RelaySummary(1, 1, [(1, 1)], []), 0.0)
        controller.post(TimerFired(), 100.0)
    assert controller.core.status().applied_everywhere == 1 and not controller.core.sessions.relays
