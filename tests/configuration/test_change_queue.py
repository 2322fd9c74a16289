"""Operators' changes: accepted or rejected, forwarded, and answered once."""

from __future__ import annotations

import pytest

from tests.configuration.harness import CONTROLLERS, RELAY, ControllerHarness, committed, delta, heartbeat
from yarrowspindle.configuration.change_proposals import MAX_QUEUED_ORDERS, ORDER_EXPIRY_MS
from yarrowspindle.configuration.effects import StateCommitted
from yarrowspindle.configuration.events import ChangeRequested, Sender, TimerFired
from yarrowspindle.configuration.messages import Delta, StateUpdate
from yarrowspindle.configuration.state import MAX_RECENT_STEPS, MAX_VALUE_CHARACTERS, ChangeOrder, Step


def test_a_change_is_committed_answered_and_sent_to_relays_immediately() -> None:
    controller = ControllerHarness()
    controller.receive(RELAY, heartbeat())
    controller.post(ChangeRequested(7, {"a": "1"}))
    assert controller.answers() == [(7, 1, "")] and controller.sent(Delta) == [delta(0, {}, {"a": "1"})]
    assert [e.state.version for e in controller.effects if isinstance(e, StateCommitted)] == [1]
    assert [m.state.entries for m in controller.sent(StateUpdate)] == [{"a": "1"}] * 2, "one to each other controller"


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        ({"a": "nonsense"}, "makes no sense"),
        ({"a": "x" * (MAX_VALUE_CHARACTERS + 1)}, "at most"),
        ({"": "x"}, "characters"),
        ({"right": "1"}, "not both possible"),
    ],
)
def test_an_invalid_change_is_rejected_when_it_is_requested(step: Step, reason: str) -> None:
    controller = ControllerHarness()
    controller.post(ChangeRequested(1, {"left": "1"}))
    controller.post(ChangeRequested(2, step))
    ((ticket, version, answered),) = controller.answers()
    assert (ticket, version) == (2, 0) and reason in answered and controller.core.state.version == 1


def test_without_a_majority_changes_expire_and_the_next_use_a_new_incarnation() -> None:
    controller = ControllerHarness("c01")  # not a voter, and no other controller answers
    controller.post(ChangeRequested(1, {"a": "1"}))
    controller.post(TimerFired(), ORDER_EXPIRY_MS + 100.0)
    ((ticket, version, reason),) = controller.answers()
    assert (ticket, version) == (1, 0) and "may still be committed" in reason and not controller.core.changes.pending
    controller.post(ChangeRequested(2, {"a": "2"}))
    assert controller.core.changes.pending[0].order == ChangeOrder("c01", 2, 1, {"a": "2"})


def test_pending_and_queued_orders_are_bounded() -> None:
    controller = ControllerHarness("c01")
    for n in range(MAX_QUEUED_ORDERS + 1):
        controller.post(ChangeRequested(n, {"a": f"{n}"}), 0.0)
    assert (
        "are pending already" in controller.answers()[0][2]
        and len(controller.core.changes.pending) == MAX_QUEUED_ORDERS
    )
    for n in range(2 * MAX_QUEUED_ORDERS):
        controller.receive(Sender("c02", CONTROLLERS[2].address, 4), ChangeOrder("c02", 4, n + 2, {"a": "1"}), 0.0)
    assert len(controller.core.proposals.queue) <= MAX_QUEUED_ORDERS


def test_orders_overtaken_by_an_earlier_process_with_a_higher_incarnation_are_settled_once() -> None:
    """The clock was set back, so this process uses a lower incarnation than the earlier one.

    A delayed order of the earlier process is committed after two orders of this one, and thereby skips the third.
    """
    controller, c00 = ControllerHarness("c01", incarnation=502), Sender("c00", CONTROLLERS[0].address, 1)
    for ticket in (1, 2, 3):
        controller.post(ChangeRequested(ticket, {"a": f"{ticket}"}))
    state = committed({"a": "1"}, {"a": "2"}, accepted_by="c01", incarnation=502)
    controller.receive(c00, StateUpdate(committed({"b": "old"}, state=state, accepted_by="c01", incarnation=1000)))
    assert controller.answers() == [(1, 1, ""), (2, 2, "")]
    assert [p.order for p in controller.core.changes.pending] == [ChangeOrder("c01", 1001, 1, {"a": "3"})]


def test_orders_whose_result_is_no_longer_known_are_answered_as_unknown() -> None:
    controller, c00 = ControllerHarness("c01", incarnation=502), Sender("c00", CONTROLLERS[0].address, 1)
    controller.post(ChangeRequested(1, {"a": "1"}))
    state = committed(
        {"b": "old"},
        state=committed({"a": "1"}, accepted_by="c01", incarnation=502),
        accepted_by="c01",
        incarnation=1000,
    )
    controller.receive(
        c00, StateUpdate(committed(*({"z": f"{n}"} for n in range(MAX_RECENT_STEPS)), state=state, accepted_by="c02"))
    )
    ((_, version, reason),) = controller.answers()
    assert version == 0 and "see `show`" in reason and not controller.core.changes.pending
