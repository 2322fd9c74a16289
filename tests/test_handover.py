"""Upgrades: what two processes of one relay share, and files that cannot be trusted."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.helpers import balancer, sends
from tests.stand_ins import WAIT_S, World, relay, upgraded
from yarrowspindle.interface import AttemptEnded, Beside, ListKind, Outcome, Request, State
from yarrowspindle.program.handover import VERSION, Handover, HandoverError, beside_of, read, write
from yarrowspindle.protocol.machines import Names, list_data, parse_list
from yarrowspindle.routing.messages import Beside as BesideTold
from yarrowspindle.routing.messages import ListTold, Machine

GOOD: dict[str, Any] = {"version": VERSION, "name": "n0", "pid": 1, "at": 1.0}


def test_a_new_process_counts_what_the_old_one_holds_and_passes_over_whom_it_passes_over() -> None:
    b = balancer(2)
    b.handle(0.0, Beside({1: (9, 9.0)}, {}))
    for n in range(1, 9):
        b.handle(1.0, Request(n, left_ms=2000.0))
    assert sum(j.server.id == 2 for j in b.jobs.values() if j.server) >= 5, "the old process is at the other"
    b.handle(2.0, Beside({}, {2: 500.0}, 0.01))
    assert b.avoided(2.0) == {2: 500.0} and b.ended.get(2.0) == pytest.approx(0.01)
    assert b.servers[1].beside == 0.0, "and lets go of what has ended"


def test_whom_a_process_passes_over_is_told_with_the_time_that_is_left() -> None:
    b = balancer(3)
    (send,) = sends(b.handle(0.0, Request(1, left_ms=2000.0)))
    b.handle(1.0, AttemptEnded(1, 0, send.server, Outcome.ERROR, False))
    ((server, rest),) = b.avoided(1.0).items()
    assert server == send.server and 0.0 < rest and b.avoided(1.0 + rest) == {}


def test_a_list_comes_through_as_it_was() -> None:
    names = Names(["a", "b"], ["m"])
    machines = [Machine("s-1", ("10.0.0.1", 3000), State.DRAINING, 1, 7, 0, 2.5, 12.0), Machine("s-2", ("10.0.0.2", 1))]
    told = parse_list(json.loads(json.dumps(list_data(ListTold(ListKind.FULL, machines, 41), names))), names)
    assert told == ListTold(ListKind.FULL, machines, 41)


@pytest.mark.parametrize("text", [
    "", "{", "[]", "null", json.dumps(GOOD | {"version": VERSION + 1}), json.dumps(GOOD | {"name": "n1"}),
    json.dumps(GOOD | {"pid": "1"}), json.dumps(GOOD | {"at": None}), "[" * 60_000, "x" * (1 << 17),
])  # fmt: skip
def test_a_file_that_cannot_be_trusted_is_ignored(tmp_path: Path, text: str) -> None:
    path = tmp_path / "n0-relay.json"
    path.write_text(text)
    with pytest.raises(HandoverError):
        read(path, "n0")
    new = Handover(str(tmp_path), "n0")
    new.ask()
    assert new.collect() is None and not (tmp_path / "n0-ask.json").exists()


@pytest.mark.parametrize("state", [
    {}, {"held": {"s-1": [1]}, "avoided": {}, "ended": 0}, {"held": {}, "avoided": {"s": "soon"}, "ended": 0},
    {"held": {}, "avoided": {}, "ended": -1}, {"held": {"s": [1, 1e300]}, "avoided": {}, "ended": 0},
    {"held": [], "avoided": {}, "ended": 0},
])  # fmt: skip
def test_a_state_that_makes_no_sense_is_ignored(state: dict[str, Any]) -> None:
    with pytest.raises(HandoverError):
        beside_of(state)


def test_a_dead_process_and_a_missing_directory_hand_nothing_over(tmp_path: Path) -> None:
    write(tmp_path / "n0-relay.json", GOOD | {"pid": 2**22 + 1})
    for directory in (str(tmp_path), str(tmp_path / "nowhere"), None):
        new = Handover(directory, "n0")
        new.ask()
        started = time.monotonic()
        assert new.collect() is None and time.monotonic() - started < 0.3, "nobody is waited for"


def test_an_old_state_and_one_for_another_process_are_not_taken(tmp_path: Path) -> None:
    new = Handover(str(tmp_path), "n0", pid=os.getpid())
    new.before = os.getppid()
    state = {"held": {}, "avoided": {}, "ended": 0.0, "version": VERSION, "name": "n0", "pid": new.before}
    now = time.time()
    for changed, taken in (({"for": new.pid, "at": now}, True), ({"for": new.pid, "at": now - 60.0}, False),
                           ({"for": 1, "at": now}, False)):  # fmt: skip
        write(tmp_path / "n0-state.json", state | changed)
        assert (new.look() is not None) == taken


def test_the_two_meet_and_part(tmp_path: Path) -> None:
    """In one process, with made-up process ids that are alive."""
    heard: list[BesideTold] = []

    async def inside() -> None:
        old, new = Handover(str(tmp_path), "n0", pid=os.getppid()), Handover(str(tmp_path), "n0")
        held = {"s-1": (3, 120.0)}
        listed = {"revision": 1, "complete": True, "members": []}
        old.serve(lambda: (BesideTold(held, {"s-2": 9.0}, 0.5), listed), heard.append)
        new.ask()
        await until(lambda: new.look() is not None)
        found = new.collect()
        assert found is not None and beside_of(found) == BesideTold(held, {"s-2": 9.0}, 0.5) and old.superseded
        new.serve(lambda: (BesideTold({}, {}, 0.0), None), heard.append)
        await until(lambda: len(heard) > 0)
        old.close()
        new.before = 2**22 + 1  # the old process has ended
        await until(lambda: heard[-1] == BesideTold({}, {}, 0.0))
        new.close()

    asyncio.run(inside())


async def until(holds: Callable[[], bool]) -> None:
    async def wait() -> None:
        while not holds():
            await asyncio.sleep(0.005)

    await asyncio.wait_for(wait(), WAIT_S)


# --- two processes of the real program --------------------------------------------------------------


def run(tmp: Path, body: Any, **changes: Any) -> None:
    async def inside() -> None:
        async with relay(tmp, **changes) as world:
            await asyncio.wait_for(body(world), 6 * WAIT_S)

    asyncio.run(inside())


def test_a_new_process_knows_of_a_drain_that_the_old_one_was_told_of_and_watches_at_once(tmp_path: Path) -> None:
    """It asked at some moment within half of ask_within, and sent jobs to a node that drained."""

    async def body(w: World) -> None:
        await w.watched()
        w.answer_watch(w.member("s-1"), w.member("s-2"))
        w.tell("s-1", "draining")
        await w.logged("s-1 draining")
        async with upgraded(w) as log:
            started = time.monotonic()
            assert (await w.watched()).startswith(f"GET /api/targets?stream=1&index={w.version} ")
            assert time.monotonic() - started < 0.3, "at once"
            w.stop()
            await logged(log, "takes over: list 3")
            await w.process.wait()
            assert {(await w.standing())[1] for _ in range(6)} == {"s-2"}

    run(tmp_path, body, obligations={**obligations(), "ask_within_ms": 12_000.0})


def obligations() -> dict[str, Any]:
    from tests.stand_ins import SETTINGS

    return dict(SETTINGS["obligations"])


async def logged(log: asyncio.Queue[str], text: str) -> None:
    while text not in await asyncio.wait_for(log.get(), WAIT_S):
        pass


def test_in_an_upgrade_under_load_nobody_is_turned_back_and_the_old_one_empties_itself(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        stands = [await w.standing() for _ in range(6)]
        async with upgraded(w):
            w.stop()
            await w.logged("and a new process serves")
            for _ in range(20):  # all of them come to the new one; each is answered
                _, _, node = await w.standing()
                node.say("hello")
            for submitter, _, node in stands:
                assert await submitter.hear() == "MOVE"
                assert await node.hear() == ""
            assert await asyncio.wait_for(w.process.wait(), WAIT_S) == 0
            again, _, node = await w.standing()
            again.say("still there?")
            assert await node.hear() == "still there?"

    run(tmp_path, body)


def test_a_restart_alone_waits_for_nobody(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        first, _, _ = await w.standing()
        started = time.monotonic()
        w.stop()
        assert await first.hear() == "MOVE" and time.monotonic() - started > 1.0, "no door is open yet"

    (tmp_path / "tmpdir").mkdir()
    (tmp_path / "tmpdir" / "n0-ask.json").write_text("what a crash left behind")
    run(tmp_path, body)
