"""The controller as a whole: messages of unknown senders, state updates and ballots."""

from __future__ import annotations

from tests.configuration.harness import CONTROLLERS, RELAY, ControllerHarness, committed
from tests.daemon.configuration_processes import ENTRIES
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.effects import LogMessage, SendMessage, StateCommitted
from yarrowspindle.configuration.events import MessageReceived, Sender, TimerFired
from yarrowspindle.configuration.messages import Detach, RelayReattached, RelaySummary, StateUpdate
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.configuration.state import ChangeOrder, ControlState
from yarrowspindle.consensus.messages import NO_BALLOT, Prepare, Promise
from yarrowspindle.daemon.shared_settings import check_shared_settings
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY


def test_messages_of_unknown_senders_change_nothing() -> None:
    controller, newer = ControllerHarness(), committed({"a": "1"})
    for name in ("c99", "r0"):
        unknown = Sender(name, ("10.9.9.9", 1), 1)
        for message in (
            ChangeOrder(name, 1, 1, {"a": "1"}),
            StateUpdate(newer),
            RelaySummary(9, 0, [], []),
            Detach(),
            Promise((1, "x"), "file", NO_BALLOT, newer),
            RelayReattached(*RELAY.address, 9, 9),
            Prepare((99, name), 0, "file"),
        ):
            controller.receive(unknown, message)
            assert not [e for e in controller.effects if not isinstance(e, LogMessage)], message
    controller.receive(Sender("c01", CONTROLLERS[1].address, 1), ChangeOrder("c02", 1, 1, {"a": "1"}))
    controller.receive(Sender("c01", CONTROLLERS[1].address, 1), "what is this")
    assert controller.core.state.version == 0 and not controller.core.proposals.queue


def test_an_older_state_is_not_adopted() -> None:
    controller = ControllerHarness("c01")
    older, newer = committed({"a": "1"}), committed({"a": "1"}, {"a": "2"})
    c00 = Sender("c00", CONTROLLERS[0].address, 1)
    controller.receive(c00, StateUpdate(newer))
    controller.receive(c00, StateUpdate(older))
    assert controller.core.state == newer and not [e for e in controller.effects if isinstance(e, StateCommitted)]


def test_two_processes_of_a_controller_never_use_the_same_ballot() -> None:
    ballots = set()
    for seed in (1, 2):
        controller = ControllerHarness(seed=seed)
        ballots |= {
            e.message.ballot
            for e in controller.core.step(500.0, TimerFired())
            if isinstance(e, SendMessage) and isinstance(e.message, Prepare)
        }
    assert len(ballots) == 2 and len({number for number, _ in ballots}) == 1


def test_a_controllers_name_is_accepted_only_from_its_configured_address() -> None:
    controllers = tuple(ControllerAddress(f"c{n}", (f"10.0.0.{n}", 1), voter=True) for n in range(3))
    initial_state = ControlState({controller.name: INITIAL_IDENTITY for controller in controllers})
    settled_state = initial_state.settle(ChangeOrder("c1", 1, 1, ENTRIES), check_shared_settings)
    assert settled_state is not None
    for address, version in ((("10.0.0.9", 1), 0), (controllers[1].address, 1)):
        core = Controller(
            controllers[0],
            controllers,
            initial_state,
            INITIAL_IDENTITY,
            initial_state,
            5,
            check_shared_settings,
            1,
            0.0,
        )
        core.step(1.0, MessageReceived(Sender("c1", address, 1, 1), StateUpdate(settled_state)))
        assert core.state.version == version and core.counts["strangers"] == 1 - version
