"""Consensus rounds of a controller: when they start, and which orders they commit."""

from __future__ import annotations

from tests.configuration.harness import CONTROLLERS, ControllerHarness
from yarrowspindle.configuration.events import MessageReceived, Sender, TimerFired
from yarrowspindle.configuration.state import ChangeOrder
from yarrowspindle.consensus.messages import Prepare, Rejected


def test_an_order_out_of_turn_does_not_start_a_round_each_tick() -> None:
    """The preceding order may never arrive, and a round in each tick would keep other proposers from a majority.

    Found with seed 77997.
    """
    controller = ControllerHarness()
    controller.receive(Sender("c01", CONTROLLERS[1].address, 1), ChangeOrder("c01", 1, 2, {"a": "2"}))
    for _ in range(20):
        controller.post(TimerFired(), 100.0)
    assert controller.core.proposals.proposer.highest_number <= 4
    controller.receive(Sender("c01", CONTROLLERS[1].address, 1), ChangeOrder("c01", 1, 1, {"a": "1"}))
    assert controller.core.state.entries == {"a": "2"} and controller.core.state.version == 2


def test_the_later_of_two_conflicting_orders_is_rejected_with_a_reason() -> None:
    controller = ControllerHarness()
    controller.receive(Sender("c01", CONTROLLERS[1].address, 4), ChangeOrder("c01", 4, 1, {"left": "1"}))
    controller.post(
        MessageReceived(Sender("c02", CONTROLLERS[2].address, 4, 9), ChangeOrder("c02", 4, 1, {"right": "1"}))
    )
    assert controller.core.state.entries == {"left": "1"}
    assert controller.core.status().to_json()["refused"] == [
        {"version": 2, "why": "left and right are not both possible"}
    ]


def test_a_controller_without_an_acceptor_file_does_not_vote() -> None:
    controller = ControllerHarness("c01")
    controller.receive(Sender("c00", CONTROLLERS[0].address, 1), Prepare((1, "x"), 0, "file"))
    (rejected,) = controller.sent(Rejected)
    assert rejected.not_voter
