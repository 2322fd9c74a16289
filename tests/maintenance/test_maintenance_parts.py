"""The parts round the agreement on turns: parcels, bytes, a voter's file, settings, trouble, pace."""

from __future__ import annotations

import os
import zlib
from pathlib import Path
from random import Random
from typing import Any

import pytest

from yarrowspindle.consensus.register import NONE, Accept, Acceptor, AcceptorState, Prepare, Promise, Rejected
from yarrowspindle.consensus.register import Send as RegisterSend
from yarrowspindle.daemon.config import ConfigError, read_operator
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile, first_state
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.maintenance import codec
from yarrowspindle.maintenance.coordinator import (
    LatestVersion,
    MaintenanceCoordinator,
    RegisterRelay,
    ReleaseConfirmation,
    StateUpdate,
)
from yarrowspindle.maintenance.evacuation import BEAT_MS, BackendEvacuator, MaintenancePlan
from yarrowspindle.maintenance.fleet_health import TROUBLE_MS, BackendSample, FleetHealth
from yarrowspindle.maintenance.settings import Asking, read_asking
from yarrowspindle.maintenance.state import BackendObservation, MaintenanceError, MaintenanceRequest, MaintenanceState
from yarrowspindle.protocol.fragments import AGAIN_MS, GIVE_UP_MS, PART, Fragmenter
from yarrowspindle.protocol.message_codec import InvalidMessageError
from yarrowspindle.storage.durable_file import FIRST, FileUnavailableError

VOTERS = ("r0", "r1", "r2")


def a_state(machines: int = 40) -> MaintenanceState:
    names = tuple(f"machine-{n}" for n in range(machines))
    state = first_state(VOTERS).registered("r0", "x")
    assert state is not None
    state = state.asked(MaintenanceRequest(names, 3, 3))
    assert state is not None
    granted = state.advanced({name: BackendObservation(0, 1.0, True) for name in names})
    assert granted is not None
    return granted


# --- bytes ----------------------------------------------------------------------------------------


def test_messages_come_back_as_they_were_and_nonsense_does_not() -> None:
    for message in (
        StateUpdate(a_state()),
        Prepare((3, "r1"), 2, "x"),
        Accept((1, "r0"), 0, "i", a_state()),
        ReleaseConfirmation(7, {"a": 1}),
        RegisterRelay("k"),
        LatestVersion(3),
        Rejected((1, "a"), (2, "b"), a_state()),
        Rejected((1, "a"), (2, "b"), not_voter=True),
    ):
        assert codec.decode(codec.encode(message)) == message
    whole = codec.encode(StateUpdate(a_state()))
    bomb = bytes((codec.VERSION, 6)) + zlib.compress(b"\0" * (8 << 20))
    for bad in (b"", whole[:-4], rb"\9" + whole[1:], whole[:1] + b"\x63" + whole[2:], whole[:2] + b"junk", bomb):
        with pytest.raises(InvalidMessageError):
            codec.decode(bad)
    far = MaintenanceState(dict.fromkeys([f"r{n}" for n in range(65)], FIRST))
    with pytest.raises(InvalidMessageError, match="out of bounds"):
        codec.decode(codec.encode(StateUpdate(far)))


def test_parcels_come_whole_though_parts_are_lost_doubled_and_out_of_order() -> None:
    drawn, here, there = Random(3), Fragmenter(100), Fragmenter(5)
    data = drawn.randbytes(20 * PART + 17)
    parts = here.cut("there", data)
    assert len(parts) == 21 and all(len(part) < 1000 for part in parts)
    wire = [part for part in parts * 2 if drawn.random() > 0.4]
    drawn.shuffle(wire)
    now, whole = 0.0, list[bytes]()
    for _ in range(20):
        for part in wire:
            found, _ = there.came(now, "here", part)
            whole += [found] if found is not None else []
        now += AGAIN_MS
        asked = [here.came(now, "there", wanted)[1] for _, wanted in there.due(now)]
        wire = [part for back in asked for part in back if drawn.random() > 0.4]
    assert whole == [data], "once, and as it was"
    assert there.came(now, "here", b"nonsense") == (None, []) and there.came(now, "elsewhere", parts[0]) == (None, [])
    assert there.due(now + AGAIN_MS) and not there.due(now + GIVE_UP_MS), "what never comes whole is forgotten"


# --- a voter's file -------------------------------------------------------------------------------


def test_a_file_is_loaded_only_whole_and_only_by_its_owner(tmp_path: Path) -> None:
    file = MaintenanceVoterFile(str(tmp_path / "r0"), "r0", "lab")
    with pytest.raises(FileUnavailableError, match="there is none"):
        file.load()
    file.begin(VOTERS)
    assert file.load() == AcceptorState(FIRST, NONE, NONE, first_state(VOTERS))
    with pytest.raises(FileUnavailableError, match="is there already"):
        file.begin(VOTERS)
    with pytest.raises(FileUnavailableError, match="none of the voters"):
        MaintenanceVoterFile(str(tmp_path / "r9"), "r9", "lab").begin(VOTERS)
    kept = AcceptorState(FIRST, (7, "r2"), (6, "r1"), a_state())
    file.store(kept)
    assert file.load() == kept and not list(tmp_path.glob("r0/*.new"))
    whole = file.path.read_bytes()
    for bad, says in (
        (whole[:-3], "cut off"),
        (whole.replace(b"machine-7", b"machine-8", 1), "sum is wrong"),
        (b"", "cut off"),
        (b"\xff" * 50, "cut off"),
    ):
        file.path.write_bytes(bad)
        with pytest.raises(FileUnavailableError, match=says):
            file.load()
    file.path.write_bytes(whole)
    for other in (
        MaintenanceVoterFile(str(file.folder), "r1", "lab"),
        MaintenanceVoterFile(str(file.folder), "r0", "other"),
    ):
        with pytest.raises(FileUnavailableError, match="it is r0's of cluster lab"):
            other.load()


@pytest.mark.parametrize("call", ["write", "fsync", "replace"])
def test_a_disk_that_fails_leaves_what_was_there(tmp_path: Path, call: str, monkeypatch: pytest.MonkeyPatch) -> None:
    file = MaintenanceVoterFile(str(tmp_path), "r0", "lab")
    file.begin(VOTERS)

    def full(*given: Any) -> Any:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, call, full)
    with pytest.raises(OSError, match="No space"):
        file.store(AcceptorState(FIRST, (9, "r0"), NONE, first_state(VOTERS)))
    monkeypatch.undo()
    assert file.load().promised == NONE


def test_only_one_process_has_the_lock(tmp_path: Path) -> None:
    one, other = MaintenanceVoterFile(str(tmp_path), "r0", "lab"), MaintenanceVoterFile(str(tmp_path), "r0", "lab")
    assert one.take_lock() and one.take_lock() and not other.take_lock()
    os.close(one.lock)
    assert other.take_lock()


def test_the_next_process_of_a_relay_does_not_take_a_promise_to_the_one_before_it_for_its_own() -> None:
    """A promise that comes late was given before the earlier process wrote what it is about; counted by the next one,
    under the same ballot, it would let that one write over what was agreed on."""
    first = first_state(VOTERS)
    earlier, later = (
        MaintenanceCoordinator("r0", key, first, "", first, 1, 0.0).proposer for key in ("key-1", "key-2")
    )
    voters = {name: Acceptor(AcceptorState(FIRST, NONE, NONE, first), lambda kept: None) for name in VOTERS}
    late = {}
    for effect in earlier.start(lambda state: state):
        assert isinstance(effect, RegisterSend) and isinstance(effect.message, Prepare)
        late[effect.to] = voters[effect.to].told(effect.message)
    later.start(lambda state: state)
    for name, promise in late.items():
        assert isinstance(promise, Promise)
        assert not later.told(name, promise), "a majority of late promises is none"


# --- settings -------------------------------------------------------------------------------------

PEERS = '[peers]\nlisten = "127.0.0.1:7946"\n'
TURNS = PEERS + '[turns]\ndirectory = "/tmp/x"\nvoters = ["r0"]\n'


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('[turns]\ndirectory = "x"\nvoters = ["r0"]\n', "needs \\[peers\\]"),
        (PEERS + '[turns]\nvoters = ["r0"]\n', "turns.directory is missing"),
        (PEERS + '[turns]\ndirectory = "x"\n', "turns.voters names"),
        (TURNS + "move_per_s = 3\n", "turns.move_per_s is not known; moves_per_s is"),
        (TURNS + "pressure = 7\n", "turns.pressure is 7"),
        (TURNS + 'command = "10.0.0.1:80"\n', "a loopback address is wanted"),
        (TURNS + 'command = "here"\n', "turns.command is 'here'"),
        (TURNS + '[[turns.request]]\nmachines = ["a"]\nzone = "b"\n', "machines, or a zone, or a kind"),
        (TURNS + '[[turns.request]]\nmachines = ["a"]\nmost = "2"\n', "turns.request.most is '2'"),
        (TURNS + '[[turns.request]]\nzone = "a"\norder = "any"\n', "order is 'any'"),
    ],
)
def test_a_wrong_key_is_named(text: str, says: str) -> None:
    with pytest.raises(ConfigError, match=says):
        read_operator(text)


def test_the_example_file_is_read() -> None:
    turns = read_operator((Path(__file__).parents[2] / "deploy/turns.toml").read_text()).turns
    assert turns is not None and turns.voters == ("n0", "n1", "n2")


def test_zone_by_zone_sorts_and_wrong_figures_are_refused() -> None:
    wish = Asking(("b1", "a1", "b2", "a2"), order="zones").wish(("b1", "a1", "b2", "a2"), {"b1": 1, "b2": 1})
    assert wish.machines == ("a1", "a2", "b1", "b2")
    for wrong in (
        {"machines": ["a"], "most": 0},
        {"machines": "a"},
        {"machines": ["a"], "floor": float("nan")},
        {},
        {"machines": ["a"], "deadline_s": True},
    ):
        with pytest.raises(MaintenanceError):
            read_asking(wrong)


# --- trouble and pace -----------------------------------------------------------------------------


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
    granted = MaintenanceState({"r0": FIRST}).asked(MaintenanceRequest(("m1",)))
    assert granted is not None
    granted = granted.advanced({"m1": BackendObservation(0, 1.0, True)})
    assert granted is not None
    free = granted._freed()
    watch = FleetHealth(3000.0, 0.1)
    watch.look(0.0, looks(), granted)
    assert watch.look(500.0, looks()[::2], granted)[1] == "m1 died", "it has not emptied yet"
    watch = FleetHealth(3000.0, 0.1)
    watch.look(0.0, looks(), free)
    assert not watch.look(500.0, looks()[::2], free)[1], "somebody works on it"
    done = free.done("m1", 1)
    assert done is not None
    assert not watch.look(1000.0, looks(), done)[0]["m1"].ready and watch.look(4000.0, looks(), done)[0]["m1"].ready


def test_emptying_keeps_to_its_part_of_the_rate_and_to_the_deadline() -> None:
    task = MaintenancePlan(frozenset("m"), {"m": 10.0}, relays=4, rate=40.0)
    emptying, requests, now, moved = BackendEvacuator(0.0), list(range(200)), 0.0, list[int]()
    emptying.told(now, task)
    while now < 8000.0 - 1.0:
        now += BEAT_MS
        moved += emptying.beat(now, task, {"m": requests[len(moved) :]})
    assert 75 <= len(moved) <= 85, "10 a second are this relay's part"
    slow = len(moved)
    emptying.refused = True
    moved += emptying.beat(now + BEAT_MS, task, {"m": requests[len(moved) :]})
    assert emptying.part == 0.5, "less while jobs are refused"
    while now < 10_000.0:
        now += BEAT_MS
        emptying.told(now, task)  # told again: the time counts from the first
        moved += emptying.beat(now, task, {"m": requests[len(moved) :]})
    assert len(moved) == 200 > slow, "at the deadline nothing is left"
    emptying.told(now, MaintenancePlan(frozenset("mn"), {"m": 10.0, "n": 0.0}))
    assert emptying.beat(now, task, {"n": [7, 8, 9]}) == [7, 8, 9], "what is free already is left at once"
