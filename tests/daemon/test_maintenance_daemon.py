"""Turns in the real program: the first file, placing only once it has read, a machine out and back, the command."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.ports import free_port
from tests.stand_ins import SETTINGS, World, relay
from yarrowspindle.commands.maintenance import main
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile
from yarrowspindle.lab.faults import Fault
from yarrowspindle.lab.processes.turning import TurnReport, Work, play_turns
from yarrowspindle.lab.processes.world import Run

COLD: dict[str, Any] = {"obligations": SETTINGS["obligations"] | {"cold_ms": 300.0}}


def operator(tmp: Path, port: int, more: str = "") -> str:
    return (
        f'[peers]\nlisten = "127.0.0.1:{free_port()}"\n[turns]\ndirectory = "{tmp}/turns"\nvoters = ["n0"]\n'
        f'command = "127.0.0.1:{port}"\n{more}'
    )


async def say(port: int, *words: str) -> int:
    return await asyncio.to_thread(main, ["--at", f"127.0.0.1:{port}", *words])


async def holds_at(world: World, name: str) -> tuple[Any, Any]:
    """A job that stands at this node; those that went elsewhere stay there."""
    while True:
        client, at, backend = await world.standing()
        if at == name:
            return client, backend


def test_a_machine_goes_out_and_comes_back(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def body() -> None:
        port = free_port()
        MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default").initialize(("n0",))
        async with relay(tmp_path, operator(tmp_path, port), **COLD) as world:
            await world.logged("has its voter's file")
            client, backend = await holds_at(world, "s-1")
            assert await say(port, "ask", "s-1", "s-9") == 1
            assert "not in the machine list: s-9" in capsys.readouterr().err
            assert await say(port, "ask", "s-1", "--floor", "5") == 0
            request = capsys.readouterr().out.split()[1]
            assert await say(port, "show") == 0
            while "the floor is 5" not in (shown := capsys.readouterr().out):
                await say(port, "show")
            assert f"request {request}" in shown and "ready capacity would be 1" in shown
            assert await say(port, "cancel", request) == 0
            assert await say(port, "done", "s-1") == 1
            assert "s-1 is not out" in capsys.readouterr().err
            assert await say(port, "ask", "s-1") == 0
            assert "emptying" in await world.logged("turn 1: s-1 is")
            assert await client.hear() == "MOVE" and await backend.hear() == ""
            await world.logged("turn 1: s-1 is free")
            for _ in range(6):
                assert (await world.standing())[1] == "s-2"
            assert await say(port, "done", "s-1", "--turn", "9") == 1
            assert "by turn 1, not 9" in capsys.readouterr().err
            assert await say(port, "show", "--json") == 0
            shown = json.loads(capsys.readouterr().out)
            assert shown["out"][0]["stage"] == "free" and shown["out"][0]["waits_for"] == ["the operator's done"]
            assert await say(port, "done", "s-1") == 0
            await world.logged("turn 1: s-1 is warming")
            await world.logged("turn 1: s-1 is back")
            await holds_at(world, "s-1")
            assert await say(port, "ended", "n0") == 1, "it answers"
            world.stop()
            await world.logged("stopped")

    asyncio.run(body())


def test_a_request_of_the_operators_file_is_asked_once_at_sighup(tmp_path: Path) -> None:
    async def body() -> None:
        port = free_port()
        MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default").initialize(("n0",))
        text = operator(tmp_path, port)
        async with relay(tmp_path, text, **COLD) as world:
            await world.standing()
            wanted = '[[turns.request]]\nname = "kernel"\nmachines = ["s-2"]\n'
            (tmp_path / "operator.toml").write_text(text + wanted)
            world.process.send_signal(signal.SIGHUP)
            await world.logged("turn 1: s-2 is free")
            await say(port, "done", "s-2")
            await world.logged("for 1 machines is done")
            (tmp_path / "operator.toml").write_text(text)
            world.process.send_signal(signal.SIGHUP)
            await world.logged("the configuration was reloaded")
            (tmp_path / "operator.toml").write_text(text + wanted + '[[turns.request]]\nname = "x"\nzone = "c"\n')
            world.process.send_signal(signal.SIGHUP)
            await world.logged("'c' is none of a, b")
            await say(port, "ask", "s-1")
            assert "s-1" in await world.logged("turn 2:"), "the old name is not asked for again"

    asyncio.run(body())


def test_without_a_voters_file_nothing_is_placed_and_requests_are_answered(tmp_path: Path) -> None:
    async def body() -> None:
        async with relay(tmp_path, operator(tmp_path, free_port()), **COLD) as world:
            await world.logged("no voter's file")
            client = await world.request(wait_ms=1000)
            assert (await client.hear()).startswith("BUSY")
            assert all(backend.came.empty() for backend in world.backends.values())

    asyncio.run(body())


def test_a_process_waits_until_the_one_before_it_has_ended(tmp_path: Path) -> None:
    async def body() -> None:
        before = MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default")
        before.initialize(("n0",))
        assert before.acquire_lock()
        async with relay(tmp_path, operator(tmp_path, free_port()), **COLD) as world:
            await world.logged("another process has the lock")
            assert (await (await world.request(wait_ms=500)).hear()).startswith("BUSY")
            os.close(before.lock_descriptor)
            await world.standing()

    asyncio.run(body())


def test_a_disk_that_fails_stops_the_voter_not_the_requests(tmp_path: Path) -> None:
    async def body() -> None:
        port = free_port()
        MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default").initialize(("n0",))
        async with relay(tmp_path, operator(tmp_path, port), **COLD) as world:
            await world.standing()
            in_the_way = tmp_path / "turns" / "voter.new"
            in_the_way.mkdir()
            await say(port, "ask", "s-1")
            await world.logged("the voter's file cannot be written")
            await world.standing()
            in_the_way.rmdir()
            await world.logged("turn 1: s-1 is emptying")

    asyncio.run(body())


def test_the_command_names_what_is_wrong(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("YARROWSPINDLE_OPERATOR", raising=False)
    assert main(["show"]) == 1 and "no turns.command" in capsys.readouterr().err
    assert main(["--at", "nowhere", "show"]) == 2 and "no address" in capsys.readouterr().err
    assert main(["--at", f"127.0.0.1:{free_port()}", "show"]) == 1 and "does not answer" in capsys.readouterr().err
    assert main(["ask", "--order", "any"]) == 2
    assert main(["--help"]) == 0


def test_five_real_relays_roll_machines_under_loss_a_cut_a_kill_and_a_stall() -> None:
    faults = [
        Fault("loss", 0.0, 12.0, 0.25),
        Fault("kill", 2.5, 2.0, one=("r1",)),
        Fault("stall", 4.5, 3.0, one=("r0",)),
        Fault("cut", 6.0, 4.0, one=("r2",), other=("r3",)),
    ]
    run = Run(
        5,
        4,
        100,
        21,
        settle_s=2.5,
        after_s=0.5,
        lifetime_s=12.0,
        voters=4,
        cold_s=1.0,
        moves_per_s=40.0,
        lose_file=True,
    )
    found: TurnReport = asyncio.run(play_turns(run, Work(machines=2, floor=2.0, reboot=True, voter=True), faults))
    print(found)
    assert not found.report.broken, str(found)
    assert found.over and found.turns >= 2 and found.most_out == 1 and found.report.datagrams["lost"] > 0
