"""Control without sockets: state, agent, controller and link on bad input, days on the virtual clock with faults, and
defects that must be found."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from yarrowspindle.configuration import codec
from yarrowspindle.configuration.agent import CONTROLLER_TIMEOUT_MS, MAX_NEWER_VERSION_MS, Agent
from yarrowspindle.configuration.change_proposals import MAX_QUEUED_ORDERS, ORDER_EXPIRY_MS
from yarrowspindle.configuration.committed_log import MAX_LOGGED_STEPS
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.controller_context import ATTACHMENT_GRACE_MS
from yarrowspindle.configuration.effects import (
    ApplySettings,
    AskAcceptor,
    ChangeAnswered,
    LogMessage,
    Persist,
    SendMessage,
    StateCommitted,
)
from yarrowspindle.configuration.events import (
    ChangeRequested,
    Event,
    MessageReceived,
    Sender,
    SettingsRejected,
    TimerFired,
)
from yarrowspindle.configuration.link import MAX_DATAGRAMS_PER_SOURCE_PER_S, MAX_INCARNATIONS, Link
from yarrowspindle.configuration.messages import (
    Delta,
    Detach,
    Heartbeat,
    LatestVersion,
    NewerIncarnation,
    RelayReattached,
    RelaySummary,
    Snapshot,
    StateUpdate,
)
from yarrowspindle.configuration.relay_sessions import MAX_RELAYS
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.configuration.state import (
    MAX_ENTRIES,
    MAX_ENTRIES_CHARACTERS,
    MAX_RECENT_STEPS,
    MAX_RECENT_STEPS_CHARACTERS,
    MAX_VALUE_CHARACTERS,
    ChangeOrder,
    CommittedStep,
    ControlState,
    Entries,
    Step,
    apply_step,
    content_digest,
    entries_bounds_error,
)
from yarrowspindle.consensus.register import NONE, Accept, Acceptor, AcceptorState, Prepare, Promise, Rejected
from yarrowspindle.lab.faults import Fault
from yarrowspindle.lab.model.controlling import check
from yarrowspindle.lab.model.controlling_days import KINDS, play_control, seeds
from yarrowspindle.lab.model.planted_control import DEFECTS
from yarrowspindle.maintenance.codec import InvalidMessageError
from yarrowspindle.membership.codec import DroppedDatagramError

MACHINES = tuple(ControllerAddress(f"c{n:02d}", (f"10.0.0.{n + 1}", 7950), voter=n == 0) for n in range(3))
FIRST = ControlState({"c00": "file"})
RELAY = Sender("r0", ("10.0.1.1", 7950), 1, 1)


def settled(state: ControlState | None) -> ControlState:
    assert state is not None
    return state


def after(*steps: Step, state: ControlState = FIRST, taker: str = "c01", incarnation: int = 1) -> ControlState:
    """These orders of one taker, settled."""
    before, number = state.last_settled.get(taker, (0, 0))
    for n, step in enumerate(steps, number + 1 if before == incarnation else 1):
        state = settled(state.settle(ChangeOrder(taker, incarnation, n, step), check))
    return state


# --- the state ------------------------------------------------------------------------------------


def test_an_order_is_settled_once_and_in_its_turn() -> None:
    order, next_ = ChangeOrder("c01", 5, 1, {"a": "1"}), ChangeOrder("c01", 5, 2, {"a": "2"})
    assert FIRST.settle(next_, check) is None, "the first has not been"
    one = settled(FIRST.settle(order, check))
    assert one.settle(order, check) is None and one.is_settled(order) and not one.is_settled(next_)
    two = settled(one.settle(next_, check))
    assert two.entries == {"a": "2"} and two.settle(order, check) is None
    assert two.settle(ChangeOrder("c01", 4, 1, {"a": "0"}), check) is None, "an earlier process's, held up"
    assert two.settle(ChangeOrder("c01", 6, 2, {"a": "0"}), check) is None
    three = settled(two.settle(ChangeOrder("c01", 6, 1, {"a": None}), check))
    assert three.entries == {} and three.settle(ChangeOrder("c01", 5, 3, {"a": "0"}), check) is None
    assert settled(three.settle(ChangeOrder("c02", 1, 1, {"b": "1"}), check)).version == 4, (
        "another taker's turn is its own"
    )


def test_what_makes_no_sense_where_it_is_written_is_refused_under_a_version_of_its_own() -> None:
    state = after({"left": "1"})
    refused = settled(state.settle(ChangeOrder("c02", 1, 1, {"right": "1"}), check))
    assert refused.version == 2 and refused.entries == {"left": "1"}
    assert refused.recent_steps[-1] == CommittedStep(2, {}, "left and right are not both possible", "c02", 1, 1)
    assert settled(refused.settle(ChangeOrder("c02", 1, 2, {"left": None, "right": "1"}), check)).entries == {
        "right": "1"
    }
    many = {f"k{n}": "x" * (MAX_ENTRIES_CHARACTERS // 8) for n in range(9)}
    assert "at most" in settled(FIRST.settle(ChangeOrder("c02", 1, 1, many), check)).recent_steps[-1].rejection_reason


@pytest.mark.parametrize(
    "entries",
    [
        {"": "x"},
        {"k" * 65: "x"},
        {"k": "x" * (MAX_VALUE_CHARACTERS + 1)},
        {f"k{n}": "" for n in range(MAX_ENTRIES + 1)},
    ],
)
def test_entries_have_bounds(entries: dict[str, str]) -> None:
    assert entries_bounds_error(entries) and not entries_bounds_error({"k": "x" * MAX_VALUE_CHARACTERS})


def test_the_steps_that_are_kept_are_bounded_and_without_a_gap() -> None:
    state = after(*({"k": f"{n}"} for n in range(MAX_RECENT_STEPS + 9)))
    assert [d.version for d in state.recent_steps] == list(range(10, MAX_RECENT_STEPS + 10))
    state = after(*({"k": f"{n}" * 8000} for n in range(9)))
    assert (
        sum(len(d.step["k"] or "") for d in state.recent_steps) <= MAX_RECENT_STEPS_CHARACTERS
        and state.recent_steps[-1].version == 9
    )


def test_a_digest_speaks_of_version_and_content() -> None:
    assert (
        content_digest(1, {"a": "1", "b": "2"})
        == content_digest(1, {"b": "2", "a": "1"})
        != content_digest(2, {"a": "1", "b": "2"})
    )
    assert content_digest(1, {"a": "1"}) != content_digest(1, {"a": "2"})


def test_a_voter_with_another_file_is_a_version_and_an_epoch() -> None:
    state = after({"a": "1"})
    assert state.with_voter("c00", "file") is None
    changed = settled(state.with_voter("c00", "new"))
    assert (changed.version, changed.epoch, changed.voters, changed.entries) == (2, 1, {"c00": "new"}, {"a": "1"})


# --- bytes ----------------------------------------------------------------------------------------


def test_messages_come_back_as_they_were_and_nonsense_does_not() -> None:
    state = replace(
        after({"a": "1"}, {"a": None}), recent_steps=[CommittedStep(1, {"a": "1"}), CommittedStep(2, {"a": None})]
    )
    for message in (
        Heartbeat(3, b"x" * 8, 2, "why", True, True, "c01"),
        LatestVersion(3, b"x" * 8),
        StateUpdate(state),
        Detach(),
        Delta(1, 2, b"x" * 8, [{"a": None}]),
        Snapshot(2, b"x" * 8, {"a": "1"}),
        NewerIncarnation(3),
        RelayReattached("10.0.0.1", 1, 2, 3),
        ChangeOrder("c01", 1, 2, {"a": None}),
        Promise((1, "c"), "i", NONE, state),
        Accept((1, "c"), 0, "i", state),
    ):
        assert codec.decode(codec.encode(message)) == message
    whole = codec.encode(LatestVersion(3, b"x" * 8))
    for bad in (
        b"",
        whole[:-3],
        bytes((codec.VERSION + 1,)) + whole[1:],
        whole[:1] + b"\x77" + whole[2:],
        codec.encode(LatestVersion(-1, b"x" * 8)),
        codec.encode(LatestVersion(1, b"x")),
        codec.encode(Delta(0, 99, b"x" * 8, [{}] * (MAX_RECENT_STEPS + 1))),
    ):
        with pytest.raises(InvalidMessageError):
            codec.decode(bad)


@pytest.mark.parametrize(
    "wrong",
    [
        ControlState({}),
        ControlState({"c": "f"}, 3),
        ControlState({"c": "f"}, 3, recent_steps=(CommittedStep(1, {}), CommittedStep(3, {}))),
        ControlState({"c": "f"}, -1),
        ControlState({"c": "f"}, entries={"k": "x" * (MAX_VALUE_CHARACTERS + 1)}),
        ControlState({"c" * 99: "f"}),
        ControlState({"c": "f"}, last_settled={f"t{n}": (1, 1) for n in range(65)}),
    ],
)
def test_a_state_that_no_controller_could_have_made_is_not_taken_up(wrong: ControlState) -> None:
    with pytest.raises(InvalidMessageError):
        codec.decode(codec.encode(StateUpdate(wrong)))


# --- the link -------------------------------------------------------------------------------------


def link(name: str = "c00", incarnation: int = 5, cluster: str = "fleet", host: str = "10.0.0.1") -> Link:
    return Link(name, (host, 7950), cluster, incarnation, 1, 0.0)


def test_other_clusters_and_changed_bytes_are_dropped_and_counted() -> None:
    here, there = link(), link("r0", host="10.0.1.1")
    (data,) = there.encode(1.0, here.address, Detach())
    received = here.receive(1.0, data, there.address)
    sender = received.sender
    assert (sender.name, sender.incarnation, received.message, received.replies) == ("r0", 5, Detach(), [])
    (strange,) = link("r0", cluster="other", host="10.0.1.1").encode(1.0, here.address, Detach())
    for bad in (strange, data[:-1], bytes((data[0] ^ 1,)) + data[1:], b"", b"junk"):
        with pytest.raises(DroppedDatagramError):
            here.receive(1.0, bad, there.address)
    with pytest.raises(DroppedDatagramError):
        there.receive(1.0, data, there.address)  # its own, back
    assert sum(n for why, n in here.counts.items() if why.startswith("dropped")) == 5


def test_a_flood_from_one_address_is_dropped_and_others_are_heard() -> None:
    here, there, third = link(), link("r0", host="10.0.1.1"), link("r1", host="10.0.1.2")
    for _ in range(MAX_DATAGRAMS_PER_SOURCE_PER_S):
        here.receive(1.0, there.encode(1.0, here.address, Detach())[0], there.address)
    with pytest.raises(DroppedDatagramError, match="flood"):
        here.receive(1.0, there.encode(1.0, here.address, Detach())[0], there.address)
    assert here.receive(1.0, third.encode(1.0, here.address, Detach())[0], third.address).message == Detach()
    assert here.receive(1002.0, there.encode(1.0, here.address, Detach())[0], there.address).message == Detach()


def test_a_process_whose_clock_went_back_takes_a_higher_incarnation_and_is_heard() -> None:
    here, before, now = link(), link("r0", 900, host="10.0.1.1"), link("r0", 3, host="10.0.1.1")
    here.receive(1.0, before.encode(1.0, here.address, Detach())[0], before.address)
    received = here.receive(2.0, now.encode(2.0, here.address, Detach())[0], now.address)
    (later,) = received.replies
    assert received.message is None and now.receive(2.0, later, here.address).message is None and now.incarnation == 901
    assert here.receive(3.0, now.encode(3.0, here.address, Detach())[0], now.address).message == Detach()
    assert (
        now.receive(4.0, here.encode(4.0, now.address, NewerIncarnation(7))[0], here.address).message is None
        and now.incarnation == 901
    )


def test_the_tables_of_a_link_are_bounded() -> None:
    here = link()
    for n in range(MAX_INCARNATIONS + 9):
        there = link("r", host=f"10.{n >> 8}.{n & 255}.9")
        here.datagrams_by_source.clear()
        here.receive(1.0, there.encode(1.0, here.address, Detach())[0], there.address)
    assert len(here.newest_incarnations) == MAX_INCARNATIONS
    for _ in range(600):
        here.encode(1.0, RELAY.address, Snapshot(1, b"x" * 8, {f"{n}": f"{hash((n, 7))}" * 9 for n in range(40)}))
    assert len(here.fragmenter.sent) <= 256


# --- the agent ------------------------------------------------------------------------------------


class Relay:
    """An agent, what it asked for, and a controller that it talks with."""

    def __init__(self, version: int = 0, entries: Entries | None = None, machines: int = 3) -> None:
        self.agent = Agent(list(MACHINES[:machines]), check, 1, 0.0, version, entries)
        self.now, self.at = 0.0, 0
        self.effects: list[Any] = self.agent.take_effects()

    def post(self, event: Event, late_ms: float = 1.0) -> list[Any]:
        self.now += late_ms
        self.effects = self.agent.step(self.now, event)
        return self.effects

    def came(self, message: object, machine: ControllerAddress = MACHINES[0], late_ms: float = 1.0) -> list[Any]:
        self.at += 1
        return self.post(MessageReceived(Sender(machine.name, machine.address, 1, self.at), message), late_ms)

    def takes(self) -> list[tuple[int, Entries]]:
        return [(e.version, e.entries) for e in self.effects if isinstance(e, ApplySettings)]

    def beats(self) -> list[Heartbeat]:
        return [e.message for e in self.effects if isinstance(e, SendMessage) and isinstance(e.message, Heartbeat)]

    def notes(self) -> list[str]:
        return [e.text for e in self.effects if isinstance(e, LogMessage)]


def whole(version: int, entries: Entries) -> Snapshot:
    return Snapshot(version, content_digest(version, entries), dict(entries))


def difference(base: int, before: Entries, *steps: Step) -> Delta:
    entries = before
    for step in steps:
        entries = apply_step(entries, step)
    version = base + len(steps)
    return Delta(base, version, content_digest(version, entries), [dict(step) for step in steps])


def test_steps_are_taken_in_their_order_and_kept() -> None:
    relay = Relay()
    relay.came(difference(0, {}, {"a": "1"}, {"a": "2", "b": "1"}))
    assert relay.takes() == [(2, {"a": "2", "b": "1"})] and Persist(2, {"a": "2", "b": "1"}) in relay.effects
    assert relay.beats()[-1].applied_version == 2
    relay.came(difference(1, {"a": "1"}, {"a": "2", "b": "1"}, {"a": None}))
    assert relay.takes() == [(3, {"b": "1"})], "of steps that overlap those that it has not"
    (take,) = [e for e in relay.effects if isinstance(e, ApplySettings)]
    assert take.changed_keys == {"a"}


def test_nothing_older_and_nothing_over_a_gap_is_taken() -> None:
    relay = Relay()
    relay.came(whole(5, {"a": "5"}))
    for message in (
        whole(4, {"a": "4"}),
        whole(5, {"a": "other"}),
        difference(3, {}, {"a": "4"}),
        difference(6, {"a": "5"}, {"a": "7"}),
        Delta(4, 9, content_digest(9, {"a": "9"}), [{"a": "9"}]),
    ):
        relay.came(message)
        assert not relay.takes() and relay.agent.applied_version == 5, message
    assert relay.beats()[-1].known_version == 5, "it says from where on"


def test_a_wrong_digest_is_not_taken_and_all_is_asked_for_and_no_storm_comes_of_it() -> None:
    relay = Relay()
    relay.came(whole(1, {"a": "1"}))
    relay.came(Delta(1, 2, content_digest(2, {"a": "2"}), [{"a": "3"}]))
    assert not relay.takes() and relay.beats()[-1].wants_snapshot
    relay.came(Snapshot(2, b"12345678", {"a": "2"}))
    assert not relay.takes() and not relay.beats(), "a sender with a fault that stays would answer at once"
    relay.came(whole(2, {"a": "2"}))
    assert relay.takes() == [(2, {"a": "2"})] and not relay.beats()[-1].wants_snapshot


def test_another_content_under_its_version_is_said_and_the_next_is_taken_whole() -> None:
    relay = Relay()
    relay.came(whole(1, {"a": "1"}))
    relay.came(LatestVersion(1, content_digest(1, {"a": "2"})))
    assert "another content" in relay.notes()[0] and relay.agent.needs_snapshot and not relay.takes()


def test_what_the_check_turns_down_is_not_served_by_and_the_next_good_one_is() -> None:
    relay = Relay()
    relay.came(whole(1, {"a": "1"}))
    relay.came(difference(1, {"a": "1"}, {"a": "nonsense"}))
    assert not relay.takes() and relay.agent.applied_entries == {"a": "1"}
    assert (relay.beats()[-1].known_version, relay.beats()[-1].applied_version, relay.beats()[-1].rejection_reason) == (
        2,
        1,
        "a makes no sense",
    )
    relay.came(difference(2, {"a": "nonsense"}, {"a": "3"}))
    assert relay.takes() == [(3, {"a": "3"})] and relay.beats()[-1].rejection_reason == ""


def test_a_version_that_the_process_cannot_take_leaves_it_at_the_one_before() -> None:
    relay = Relay()
    relay.came(whole(1, {"a": "1"}))
    relay.came(whole(2, {"a": "2"}))
    relay.post(SettingsRejected(1, "too late to matter"))
    assert relay.agent.applied_version == 2
    relay.post(SettingsRejected(2, "no memory"))
    assert (relay.agent.applied_version, relay.agent.applied_entries) == (1, {"a": "1"})
    assert (relay.beats()[-1].known_version, relay.beats()[-1].applied_version, relay.beats()[-1].rejection_reason) == (
        2,
        1,
        "no memory",
    )
    relay.came(difference(2, {"a": "2"}, {"b": "3"}))
    (take,) = [e for e in relay.effects if isinstance(e, ApplySettings)]
    assert take.changed_keys == {"a", "b"}, "from what it serves by"


def test_after_a_restart_it_serves_by_what_it_kept_without_any_controller() -> None:
    relay = Relay(7, {"a": "7"})
    assert relay.takes() == [(7, {"a": "7"})]
    relay.came(whole(6, {"a": "6"}))
    assert not relay.takes()
    assert Relay(7, {"a": "nonsense"}).takes() == []


def test_a_relay_that_is_ahead_takes_nothing_older_and_says_that_the_controllers_lost_something() -> None:
    relay = Relay(7, {"a": "7"})
    assert not relay.came(LatestVersion(3, content_digest(3, {}))) or not relay.notes()
    relay.came(LatestVersion(3, content_digest(3, {})), late_ms=MAX_NEWER_VERSION_MS + 1.0)
    assert "nothing older is applied" in relay.notes()[0] and relay.agent.applied_version == 7
    relay.came(LatestVersion(7, relay.agent.digest))
    relay.came(LatestVersion(3, content_digest(3, {})), late_ms=MAX_NEWER_VERSION_MS + 1.0)
    assert not relay.notes(), "one that is behind for a moment is not noted"


def test_who_is_none_of_the_controllers_is_not_heard() -> None:
    relay = Relay()
    for sender in (Sender("c99", ("10.0.0.9", 1)), Sender("c00", ("10.0.0.99", 7950))):
        relay.post(MessageReceived(sender, whole(9, {"a": "9"})))
        assert not relay.takes() and "is no controller of the settings" in relay.notes()[0]


def test_a_silent_controller_is_left_for_another_and_a_better_one_is_gone_back_to() -> None:
    relay = Relay()
    relay.came(LatestVersion(0, content_digest(0, {})), MACHINES[1])
    assert relay.agent.current is MACHINES[1]
    relay.came(LatestVersion(0, content_digest(0, {})), MACHINES[2])
    assert relay.agent.current is MACHINES[1], "one that answers is kept"
    relay.came(LatestVersion(0, content_digest(0, {})), MACHINES[0])
    left = [e.to.name for e in relay.effects if isinstance(e, SendMessage) and isinstance(e.message, Detach)]
    assert relay.agent.current is MACHINES[0] and left == ["c01"]
    relay.post(TimerFired(), CONTROLLER_TIMEOUT_MS + 1.0)
    assert {e.to.name for e in relay.effects if isinstance(e, SendMessage)} >= {"c00", "c01"}, "it asks others"
    relay.came(LatestVersion(0, content_digest(0, {})), MACHINES[2])
    assert relay.agent.current is MACHINES[2] and relay.beats()[-1].previous_controller == "c00"
    assert [type(e.message) for e in relay.agent.detach() if isinstance(e, SendMessage)] == [Detach]


# --- the controller -------------------------------------------------------------------------------


class Control:
    """One controller, its voter, and what it asked for. Others are heard by `came`."""

    def __init__(
        self, name: str = "c00", incarnation: int = 1, seed: int = 1, kept: AcceptorState[ControlState] | None = None
    ) -> None:
        machine = next(m for m in MACHINES if m.name == name)
        self.kept = kept or AcceptorState("file", NONE, NONE, FIRST)
        self.me = Sender(name, machine.address, incarnation)
        self.core = Controller(
            machine,
            MACHINES,
            FIRST,
            self.kept.identity if machine.voter else "",
            self.kept.state,
            incarnation,
            check,
            seed,
            0.0,
        )
        self.core.take_effects()
        self.voter = Acceptor(self.kept, lambda kept: None)
        self.now, self.at = 0.0, 0
        self.effects: list[Any] = []

    def post(self, event: Event, late_ms: float = 1.0) -> list[Any]:
        """With its own votes, until all is quiet."""
        self.now += late_ms
        self.effects, events = [], [event]
        while events:
            for effect in self.core.step(self.now, events.pop(0)):
                if isinstance(effect, SendMessage) and effect.to.name == self.me.name:
                    events.append(MessageReceived(self.me, effect.message))
                elif isinstance(effect, AskAcceptor):
                    events.append(MessageReceived(self.me, self.voter.told(effect.message)))
                else:
                    self.effects.append(effect)
        return self.effects

    def came(self, sender: Sender, message: object, late_ms: float = 1.0) -> list[Any]:
        self.at += 1
        return self.post(
            MessageReceived(Sender(sender.name, sender.address, sender.incarnation, self.at), message), late_ms
        )

    def answers(self) -> list[tuple[int, int, str]]:
        return [(e.ticket, e.version, e.reason) for e in self.effects if isinstance(e, ChangeAnswered)]

    def sent(self, kind: type) -> list[Any]:
        return [e.message for e in self.effects if isinstance(e, SendMessage) and isinstance(e.message, kind)]

    def notes(self) -> list[str]:
        return [e.text for e in self.effects if isinstance(e, LogMessage)]


def beat(known: int = 0, entries: Entries | None = None, **more: Any) -> Heartbeat:
    return Heartbeat(
        known, content_digest(known, entries or {}), more.pop("applied_version", known), attached=True, **more
    )


def test_an_order_is_agreed_on_answered_and_told_to_relays_at_once() -> None:
    control = Control()
    control.came(RELAY, beat())
    control.post(ChangeRequested(7, {"a": "1"}))
    assert control.answers() == [(7, 1, "")] and control.sent(Delta) == [difference(0, {}, {"a": "1"})]
    assert [e.state.version for e in control.effects if isinstance(e, StateCommitted)] == [1]
    assert [m.state.entries for m in control.sent(StateUpdate)] == [{"a": "1"}] * 2, "and to the other controllers"


def test_an_order_whose_turn_has_not_come_does_not_start_a_round_each_beat() -> None:
    """The one before it may come late or never: with a round in each beat nobody else got a majority (seed 77997)."""
    control = Control()
    control.came(Sender("c01", MACHINES[1].address, 1), ChangeOrder("c01", 1, 2, {"a": "2"}))
    for _ in range(20):
        control.post(TimerFired(), 100.0)
    assert control.core.proposals.proposer.highest <= 4
    control.came(Sender("c01", MACHINES[1].address, 1), ChangeOrder("c01", 1, 1, {"a": "1"}))
    assert control.core.state.entries == {"a": "2"} and control.core.state.version == 2


@pytest.mark.parametrize(
    ("step", "why"),
    [
        ({"a": "nonsense"}, "makes no sense"),
        ({"a": "x" * (MAX_VALUE_CHARACTERS + 1)}, "at most"),
        ({"": "x"}, "characters"),
        ({"right": "1"}, "not both possible"),
    ],
)
def test_a_change_that_makes_no_sense_is_turned_down_at_the_door(step: Step, why: str) -> None:
    control = Control()
    control.post(ChangeRequested(1, {"left": "1"}))
    control.post(ChangeRequested(2, step))
    ((ticket, version, said),) = control.answers()
    assert (ticket, version) == (2, 0) and why in said and control.core.state.version == 1


def test_of_two_orders_that_clash_the_later_is_refused_by_name_of_the_cause() -> None:
    control = Control()
    control.came(Sender("c01", MACHINES[1].address, 4), ChangeOrder("c01", 4, 1, {"left": "1"}))
    control.post(MessageReceived(Sender("c02", MACHINES[2].address, 4, 9), ChangeOrder("c02", 4, 1, {"right": "1"})))
    assert control.core.state.entries == {"left": "1"}
    assert control.core.status().to_json()["refused"] == [{"version": 2, "why": "left and right are not both possible"}]


def test_without_a_majority_orders_end_with_the_cause_and_the_next_go_under_a_new_incarnation() -> None:
    control = Control("c01")  # no voter, and nobody answers
    control.post(ChangeRequested(1, {"a": "1"}))
    control.post(TimerFired(), ORDER_EXPIRY_MS + 100.0)
    ((ticket, version, why),) = control.answers()
    assert (ticket, version) == (1, 0) and "may still come" in why and not control.core.changes.pending
    control.post(ChangeRequested(2, {"a": "2"}))
    assert control.core.changes.pending[0].order == ChangeOrder("c01", 2, 1, {"a": "2"})


def test_waiting_orders_are_bounded() -> None:
    control = Control("c01")
    for n in range(MAX_QUEUED_ORDERS + 1):
        control.post(ChangeRequested(n, {"a": f"{n}"}), 0.0)
    assert "wait already" in control.answers()[0][2] and len(control.core.changes.pending) == MAX_QUEUED_ORDERS
    for n in range(2 * MAX_QUEUED_ORDERS):
        control.came(Sender("c02", MACHINES[2].address, 4), ChangeOrder("c02", 4, n + 2, {"a": "1"}), 0.0)
    assert len(control.core.proposals.queue) <= MAX_QUEUED_ORDERS


def test_orders_and_votes_and_states_of_strangers_change_nothing() -> None:
    control, far = Control(), after({"a": "1"})
    for name in ("c99", "r0"):
        stranger = Sender(name, ("10.9.9.9", 1), 1)
        for message in (
            ChangeOrder(name, 1, 1, {"a": "1"}),
            StateUpdate(far),
            RelaySummary(9, 0, [], []),
            Detach(),
            Promise((1, "x"), "file", NONE, far),
            RelayReattached(*RELAY.address, 9, 9),
            Prepare((99, name), 0, "file"),
        ):
            control.came(stranger, message)
            assert not [e for e in control.effects if not isinstance(e, LogMessage)], message
    control.came(Sender("c01", MACHINES[1].address, 1), ChangeOrder("c02", 1, 1, {"a": "1"}))
    control.came(Sender("c01", MACHINES[1].address, 1), "what is this")
    assert control.core.state.version == 0 and not control.core.proposals.queue


def test_who_has_no_file_is_no_voter() -> None:
    control = Control("c01")
    control.came(Sender("c00", MACHINES[0].address, 1), Prepare((1, "x"), 0, "file"))
    (refused,) = control.sent(Rejected)
    assert refused.not_voter


def test_an_older_state_is_not_taken_up() -> None:
    control = Control("c01")
    one, two = after({"a": "1"}), after({"a": "1"}, {"a": "2"})
    c00 = Sender("c00", MACHINES[0].address, 1)
    control.came(c00, StateUpdate(two))
    control.came(c00, StateUpdate(one))
    assert control.core.state == two and not [e for e in control.effects if isinstance(e, StateCommitted)]


def test_two_relays_of_one_name_are_served_and_said_once() -> None:
    control = Control()
    control.came(RELAY, beat())
    twin = Sender("r0", ("10.0.1.2", 7950), 1)
    control.came(twin, beat())
    assert ["two relays are called r0" in note for note in control.notes()] == [True]
    control.came(Sender("r0", ("10.0.1.3", 7950), 1), beat())
    assert not control.notes() and len(control.core.sessions.relays) == 3


def test_a_relay_that_is_ahead_is_said_and_told_nothing_older() -> None:
    control = Control()
    control.came(RELAY, beat(9), late_ms=6000.0)
    assert "newer than the committed version" in control.notes()[0]
    assert control.sent(LatestVersion) and not control.sent(Snapshot) and not control.sent(Delta)


def test_what_was_overtaken_on_its_way_changes_nothing() -> None:
    control = Control()
    control.post(MessageReceived(Sender("r0", RELAY.address, 2, 50), beat(applied_version=0)))
    for sender in (Sender("r0", RELAY.address, 2, 49), Sender("r0", RELAY.address, 1, 99)):
        control.post(MessageReceived(sender, beat(4)))
        control.post(MessageReceived(sender, Detach()))
    c01 = MACHINES[1]
    control.post(MessageReceived(Sender("c01", c01.address, 1, 1), RelayReattached(*RELAY.address, 2, 49)))
    (relay,) = control.core.sessions.relays.values()
    assert relay.known_version == 0 and not relay.detached_at
    control.post(MessageReceived(Sender("c01", c01.address, 2, 50), RelaySummary(0, 7, [(0, 7)], [])))
    control.post(MessageReceived(Sender("c01", c01.address, 2, 49), RelaySummary(0, 1, [(0, 1)], [])))
    assert control.core.status().controllers["c01"].relays == 7


def test_the_table_of_relays_is_bounded_and_the_longest_silent_goes() -> None:
    control = Control()
    for n in range(MAX_RELAYS + 1):
        control.came(Sender(f"r{n}", (f"10.1.{n >> 8}.{n & 255}", 1), 1), beat(), 0.0)
    assert len(control.core.sessions.relays) == MAX_RELAYS and control.core.counts["no_room"] == 1
    control.came(Sender("late", ("10.2.0.1", 1), 1), beat(), 5000.0)
    assert len(control.core.sessions.relays) == MAX_RELAYS and ("10.2.0.1", 1) in control.core.sessions.relays


def test_steps_that_are_no_longer_known_are_told_as_a_whole() -> None:
    control, c01 = Control(), Sender("c01", MACHINES[1].address, 1)
    state = FIRST
    for _ in range(MAX_LOGGED_STEPS // MAX_RECENT_STEPS + 2):
        state = after(*({"k": f"{n}" * 9, f"x{n}": "y" * 40} for n in range(MAX_RECENT_STEPS)), state=state)
        control.came(c01, StateUpdate(state))
    assert len(control.core.context.committed.steps) <= MAX_LOGGED_STEPS
    newest = state.version
    control.came(RELAY, beat(newest - 2, state.entries), 300.0)
    assert [d.base for d in control.sent(Delta)] == [newest - 2]
    control.came(RELAY, beat(newest - 100, state.entries), 300.0)
    assert control.sent(Snapshot) == [whole(newest, state.entries)]
    control.came(RELAY, beat(newest - 1, state.entries, wants_snapshot=True))
    assert control.sent(Snapshot) == [whole(newest, state.entries)], "who asks for all gets all"
    far = after(*({"k": f"{n}"} for n in range(MAX_RECENT_STEPS + 30)), state=state)
    control.came(c01, StateUpdate(far))
    control.came(RELAY, beat(newest, state.entries), 300.0)
    assert control.sent(Snapshot) and not control.sent(Delta), "over a gap"


def test_no_two_processes_of_a_controller_propose_under_one_ballot() -> None:
    ballots = set()
    for seed in (1, 2):
        control = Control(seed=seed)
        ballots |= {
            e.message.ballot
            for e in control.core.step(500.0, TimerFired())
            if isinstance(e, SendMessage) and isinstance(e.message, Prepare)
        }
    assert len(ballots) == 2 and len({number for number, _ in ballots}) == 1


def test_orders_that_an_earlier_process_with_a_higher_incarnation_overtook_are_settled_once() -> None:
    """The clock went back. The earlier process's order was still on its way, and came between this one's."""
    control, c00 = Control("c01", incarnation=502), Sender("c00", MACHINES[0].address, 1)
    for ticket in (1, 2, 3):
        control.post(ChangeRequested(ticket, {"a": f"{ticket}"}))
    state = after({"a": "1"}, {"a": "2"}, taker="c01", incarnation=502)
    control.came(c00, StateUpdate(after({"b": "old"}, state=state, taker="c01", incarnation=1000)))
    assert control.answers() == [(1, 1, ""), (2, 2, "")]
    assert [p.order for p in control.core.changes.pending] == [ChangeOrder("c01", 1001, 1, {"a": "3"})]


def test_orders_of_which_nobody_knows_any_more_are_answered_so() -> None:
    control, c00 = Control("c01", incarnation=502), Sender("c00", MACHINES[0].address, 1)
    control.post(ChangeRequested(1, {"a": "1"}))
    state = after({"b": "old"}, state=after({"a": "1"}, taker="c01", incarnation=502), taker="c01", incarnation=1000)
    control.came(c00, StateUpdate(after(*({"z": f"{n}"} for n in range(MAX_RECENT_STEPS)), state=state, taker="c02")))
    ((_, version, why),) = control.answers()
    assert version == 0 and "see `show`" in why and not control.core.changes.pending


# --- what is said to be in force ------------------------------------------------------------------


def steady() -> Control:
    """Two controllers that hear each other for a while, and a relay at each."""
    control, c01 = Control(), Sender("c01", MACHINES[1].address, 1)
    for _ in range(int(ATTACHMENT_GRACE_MS / 100.0) + 5):
        control.came(RELAY, beat(), 0.0)
        control.came(c01, RelaySummary(0, 1, [(0, 1)], []), 0.0)
        control.post(TimerFired(), 100.0)
    return control


def test_in_force_is_what_all_relays_of_all_controllers_have() -> None:
    control, c01 = steady(), Sender("c01", MACHINES[1].address, 1)
    control.post(ChangeRequested(1, {"a": "1"}))
    assert control.core.status().applied_everywhere == 0
    control.came(RELAY, beat(1, {"a": "1"}))
    assert control.core.status().applied_everywhere == 0, "c01's relay has not"
    control.came(c01, RelaySummary(1, 1, [(1, 1)], []))
    assert control.core.status().applied_everywhere == 1
    notes = [note for _ in range(4) for note in control.post(TimerFired(), 100.0) and control.notes()]
    assert ["version 1 is applied by all 2 relays" in note for note in notes] == [True], "said once"


@pytest.mark.parametrize("what", ["silent", "new life", "stood still", "just started"])
def test_nothing_newer_is_in_force_while_relays_may_be_with_nobody_who_is_heard(what: str) -> None:
    control = steady() if what != "just started" else Control()
    c01 = Sender("c01", MACHINES[1].address, 1)
    if what == "silent":
        for _ in range(12):
            control.post(TimerFired(), 100.0)
    elif what == "new life":
        control.came(Sender("c01", MACHINES[1].address, 2), RelaySummary(0, 0, [], []))
    elif what == "stood still":
        control.came(c01, RelaySummary(0, 0, [], []), 1500.0)
    control.came(RELAY, beat())
    control.post(ChangeRequested(1, {"a": "1"}))
    control.came(RELAY, beat(1, {"a": "1"}))
    incarnation = 2 if what == "new life" else 1
    if what != "silent":
        control.came(Sender("c01", MACHINES[1].address, incarnation), RelaySummary(1, 0, [], []))
    assert control.core.status().applied_everywhere == 0, "a relay may be on its way from one to another"
    for _ in range(int(ATTACHMENT_GRACE_MS / 100.0) + 2):
        control.came(RELAY, beat(1, {"a": "1"}), 0.0)
        if what != "silent":
            control.came(Sender("c01", MACHINES[1].address, incarnation), RelaySummary(1, 0, [], []), 0.0)
        control.post(TimerFired(), 100.0)
    assert control.core.status().applied_everywhere == 1


@pytest.mark.parametrize("told", [True, False])
def test_a_relay_that_left_counts_until_its_next_controller_has_told_of_it(told: bool) -> None:
    control, c01 = steady(), Sender("c01", MACHINES[1].address, 1)
    control.came(c01, RelaySummary(0, 0, [], []))
    control.post(MessageReceived(Sender("r0", RELAY.address, 1, 10_000), Detach()))
    control.post(ChangeRequested(1, {"a": "1"}))
    assert control.core.status().applied_everywhere == 0 and control.core.status().relays == 0
    assert not control.sent(Delta), "it is told by another"
    if told:
        control.came(c01, RelayReattached(*RELAY.address, 1, 10_001))
    for n in range(int(ATTACHMENT_GRACE_MS / 100.0) + 4):
        if n == 20:
            assert control.core.status().applied_everywhere == (1 if told else 0)
        control.came(c01, RelaySummary(1, 1, [(1, 1)], []), 0.0)
        control.post(TimerFired(), 100.0)
    assert control.core.status().applied_everywhere == 1 and not control.core.sessions.relays


# --- days -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("first", range(0, 32, 8))
def test_whatever_fails_relays_keep_to_the_rules_and_come_together_after_it(first: int) -> None:
    played = seeds(first, 8)
    assert not played.violations and not played.stuck, played
    assert played.days == 8 and played.counts["versions"] > 80 and played.counts["claims"] > 150


def test_a_day_replays_exactly() -> None:
    one, other = play_control(11), play_control(11)
    assert (one.counts, one.faults, one.took_s) == (other.counts, other.faults, other.took_s)


@pytest.mark.parametrize("kind", KINDS)
def test_a_controller_dies_at_each_step(kind: str) -> None:
    for number in (1, 4):
        faults = [Fault("dies", 1.0, 5.0, one=(kind, f"{number}")), Fault("loss", 1.0, 5.0, 0.1)]
        found = play_control(number, faults=faults, fleet=(3, 3, 6))
        assert not found.violations and not found.stuck, (kind, number, found)


def test_a_majority_of_dead_voters_changes_nothing_and_all_is_well_when_they_are_back() -> None:
    faults = [Fault("kill", 2.0, 5.0, one=(name,)) for name in ("c00", "c01")]
    found = play_control(3, faults=faults, fleet=(3, 3, 6), together=False)
    assert not found.violations and not found.stuck and found.counts["versions"] > 3


EVERY = tuple(f"r{n:04d}" for n in range(6))
SMALL, LARGER = (3, 3, 6), (5, 5, 6)
LOSS, DOUBLE = Fault("loss", 1.0, 9.0, 0.3), Fault("double", 1.0, 9.0, 0.5, 700.0)
SPLITS = [
    LOSS,
    Fault("held", 1.0, 9.0, 0.25, 1500.0),
    Fault("split", 2.0, 3.0, one=("c00", *EVERY), other=("c01", "c02")),
    Fault("split", 5.5, 3.0, one=("c01", *EVERY), other=("c00", "c02")),
]
KILLS = [
    *(Fault("kill", 2.0 + n * 0.8, 0.4, one=(f"c{n % 3:02d}",)) for n in range(9)),
    Fault("loss", 1.0, 9.0, 0.2),
    Fault("double", 1.0, 9.0, 0.5, 1500.0),
]
DISORDER = [
    Fault("reorder", 1.0, 9.0, 0.5, 700.0),
    LOSS,
    DOUBLE,
    Fault("oneway", 1.0, 9.0, one=("c01",), other=("c00",)),
]
STALLS = [
    *(Fault("stall", 2.0 + n * 1.2, 0.9, one=(f"c{n % 3:02d}",)) for n in range(6)),
    Fault("loss", 1.0, 9.0, 0.2),
    Fault("late", 1.0, 9.0, late_ms=300.0),
]
# What is to be found, and the day that finds it: a seed, and its faults where they are not the seed's own.
FOUND: dict[str, tuple[int, tuple[int, int, int] | None, list[Fault] | None]] = {
    "unkept": (0, None, None),
    "digest": (2, None, None),
    "unchecked": (8, None, None),
    "not checked again": (8, None, None),
    "forgets": (1, SMALL, KILLS),
    "twice": (0, SMALL, SPLITS),
    "out of turn": (0, SMALL, SPLITS),
    "uncommitted": (0, SMALL, DISORDER),
    "believes one voter": (1, SMALL, DISORDER),
    "believes proposals": (0, SMALL, STALLS),
    "not adopted": (0, SMALL, KILLS),
    "oldest promise": (0, SMALL, KILLS),
    "half": (0, SMALL, SPLITS),
    "breaks promises": (3, SMALL, DISORDER),
    "promises nothing": (24, SMALL, SPLITS),
    "hides": (0, SMALL, SPLITS),
    "any ballot": (5, SMALL, DISORDER),
    "older": (
        0,
        SMALL,
        [Fault("split", 1.5, 7.0, one=("c01",), other=("c00", "c02")), Fault("kill", 4.0, 2.0, one=("c00",))],
    ),
    "in force too early": (0, SMALL, [Fault("kill", 3.2 + n * 2.0, 1.3, one=(f"c{n % 3:02d}",)) for n in range(4)]),
    "forgets who leaves": (99, None, None),
    "lies": (
        0,
        SMALL,
        [
            Fault("lost", 1.2, 2.8, one=("c02",), other=("c00", "c01")),
            Fault("file", 4.0, 0.3, one=("c01",)),
            Fault("stall", 4.1, 4.0, one=("c00",)),
        ],
    ),
    "serves on": (0, SMALL, [Fault("old program", 1.0, 8.0, one=EVERY[:3])]),
    "log over a gap": (2, SMALL, [Fault("kill", 1.2, 8.0, one=("r0003",))]),
    "gap": (
        26,
        SMALL,
        [
            Fault("old program", 1.0, 9.0, one=EVERY),
            Fault("held", 1.0, 9.0, 0.3, 1500.0),
            *(Fault("kill", 1.5 + 0.7 * n, 0.3, one=(EVERY[n % 6],)) for n in range(11)),
        ],
    ),
    "numbers anew": (
        2,
        SMALL,
        [
            Fault("clock", 2.0, 0.5, one=("c02",)),
            Fault("clock", 4.0, 0.5, one=("c01",)),
            Fault("late", 1.0, 9.0, late_ms=500.0),
            Fault("loss", 1.0, 9.0, 0.2),
            Fault("double", 1.0, 9.0, 0.5, 2000.0),
        ],
    ),
    "counts twice": (
        7,
        LARGER,
        [
            Fault("split", 2.0, 4.0, one=("c00", "c01", *EVERY), other=("c02", "c03", "c04")),
            Fault("double", 1.0, 8.0, 0.5, 200.0),
        ],
    ),
}


def test_no_planted_defect_is_left_out() -> None:
    assert FOUND.keys() == DEFECTS.keys()


@pytest.mark.parametrize("defect", FOUND)
def test_each_planted_defect_is_found_and_nothing_is_without_it(defect: str) -> None:
    seed, fleet, faults = FOUND[defect]
    together = None if faults is None else False
    found = play_control(seed, DEFECTS[defect], faults, fleet, together)
    assert found.violations or found.stuck
    sound = play_control(seed, None, faults, fleet, together)
    assert not sound.violations and not sound.stuck, sound
