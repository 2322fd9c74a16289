"""Maintenance by relay processes: the first voter's file, registration, a backend out and back, the command."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.ports import free_port
from tests.stand_ins import SETTINGS, RelayEnvironment, relay
from yarrowspindle.commands.maintenance import main
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile
from yarrowspindle.lab.faults import Fault
from yarrowspindle.lab.processes.maintenance import MaintenanceReport, MaintenanceWork, run_maintenance
from yarrowspindle.lab.processes.run import Run

COLD: dict[str, Any] = {"obligations": SETTINGS["obligations"] | {"cold_ms": 300.0}}


def operator(tmp: Path, port: int, more: str = "") -> str:
    """Return the operator's file of a relay that is the only voter, with its API at this port."""
    return (
        f'[peers]\nlisten = "127.0.0.1:{free_port()}"\n[turns]\ndirectory = "{tmp}/turns"\nvoters = ["n0"]\n'
        f'command = "127.0.0.1:{port}"\n{more}'
    )


async def command(port: int, *arguments: str) -> int:
    """Run the command and return its exit status."""
    return await asyncio.to_thread(main, ["--at", f"127.0.0.1:{port}", *arguments])


async def connection_at(env: RelayEnvironment, name: str) -> tuple[Any, Any]:
    """Return a connection to this backend; connections to other backends stay open."""
    while True:
        client, at, backend = await env.established_connection()
        if at == name:
            return client, backend


def test_a_backend_goes_out_of_service_and_returns(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def body() -> None:
        port = free_port()
        MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default").initialize(("n0",))
        async with relay(tmp_path, operator(tmp_path, port), **COLD) as env:
            await env.next_log_line("has its voter's file")
            client, backend = await connection_at(env, "s-1")
            assert await command(port, "ask", "s-1", "s-9") == 1
            assert "not in the machine list: s-9" in capsys.readouterr().err
            assert await command(port, "ask", "s-1", "--floor", "5") == 0
            request = capsys.readouterr().out.split()[1]
            assert await command(port, "show") == 0
            while "the floor is 5" not in (shown := capsys.readouterr().out):
                await command(port, "show")
            assert f"request {request}" in shown and "ready capacity would be 1" in shown
            assert await command(port, "cancel", request) == 0
            assert await command(port, "done", "s-1") == 1
            assert "s-1 is not out" in capsys.readouterr().err
            assert await command(port, "ask", "s-1") == 0
            assert "emptying" in await env.next_log_line("turn 1: s-1 is")
            assert await client.read_line() == "MOVE" and await backend.read_line() == ""
            await env.next_log_line("turn 1: s-1 is free")
            for _ in range(6):
                assert (await env.established_connection())[1] == "s-2"
            assert await command(port, "done", "s-1", "--turn", "9") == 1
            assert "by turn 1, not 9" in capsys.readouterr().err
            assert await command(port, "show", "--json") == 0
            shown = json.loads(capsys.readouterr().out)
            assert shown["out"][0]["stage"] == "free" and shown["out"][0]["waits_for"] == ["the operator's done"]
            assert await command(port, "done", "s-1") == 0
            await env.next_log_line("turn 1: s-1 is warming")
            await env.next_log_line("turn 1: s-1 is back")
            await connection_at(env, "s-1")
            assert await command(port, "ended", "n0") == 1, "it answers"
            env.stop()
            await env.next_log_line("stopped")

    asyncio.run(body())


def test_a_request_of_the_operators_file_is_queued_once_at_sighup(tmp_path: Path) -> None:
    async def body() -> None:
        port = free_port()
        MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default").initialize(("n0",))
        text = operator(tmp_path, port)
        async with relay(tmp_path, text, **COLD) as env:
            await env.established_connection()
            request_table = '[[turns.request]]\nname = "kernel"\nmachines = ["s-2"]\n'
            (tmp_path / "operator.toml").write_text(text + request_table)
            env.process.send_signal(signal.SIGHUP)
            await env.next_log_line("turn 1: s-2 is free")
            await command(port, "done", "s-2")
            await env.next_log_line("for 1 machines is done")
            (tmp_path / "operator.toml").write_text(text)
            env.process.send_signal(signal.SIGHUP)
            await env.next_log_line("the configuration was reloaded")
            (tmp_path / "operator.toml").write_text(
                text + request_table + '[[turns.request]]\nname = "x"\nzone = "c"\n'
            )
            env.process.send_signal(signal.SIGHUP)
            await env.next_log_line("'c' is unknown; expected one of a, b")
            await command(port, "ask", "s-1")
            assert "s-1" in await env.next_log_line("turn 2:"), "the old name is not queued again"

    asyncio.run(body())


def test_without_a_voter_file_nothing_is_placed_and_requests_are_rejected(tmp_path: Path) -> None:
    async def body() -> None:
        async with relay(tmp_path, operator(tmp_path, free_port()), **COLD) as env:
            await env.next_log_line("no voter's file")
            client = await env.open_request(deadline_ms=1000)
            assert (await client.read_line()).startswith("BUSY")
            assert all(backend.accepted.empty() for backend in env.backends.values())

    asyncio.run(body())


def test_a_process_waits_until_the_former_one_has_ended(tmp_path: Path) -> None:
    async def body() -> None:
        former = MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default")
        former.initialize(("n0",))
        assert former.acquire_lock()
        async with relay(tmp_path, operator(tmp_path, free_port()), **COLD) as env:
            await env.next_log_line("another process has the lock")
            assert (await (await env.open_request(deadline_ms=500)).read_line()).startswith("BUSY")
            os.close(former.lock_descriptor)
            await env.established_connection()

    asyncio.run(body())


def test_a_failing_disk_stops_the_voter_and_not_the_requests(tmp_path: Path) -> None:
    async def body() -> None:
        port = free_port()
        MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default").initialize(("n0",))
        async with relay(tmp_path, operator(tmp_path, port), **COLD) as env:
            await env.established_connection()
            obstacle = tmp_path / "turns" / "voter.new"
            obstacle.mkdir()
            await command(port, "ask", "s-1")
            await env.next_log_line("the voter's file cannot be written")
            await env.established_connection()
            obstacle.rmdir()
            await env.next_log_line("turn 1: s-1 is emptying")

    asyncio.run(body())


def test_the_command_reports_errors(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("YARROWSPINDLE_OPERATOR", raising=False)
    assert main(["show"]) == 1 and "no turns.command" in capsys.readouterr().err
    assert main(["--at", "nowhere", "show"]) == 2 and "is not an address" in capsys.readouterr().err
    assert main(["--at", f"127.0.0.1:{free_port()}", "show"]) == 1 and "does not answer" in capsys.readouterr().err
    assert main(["ask", "--order", "any"]) == 2
    assert main(["--help"]) == 0


def test_five_real_relays_evacuate_backends_under_loss_a_partition_a_kill_and_a_stall() -> None:
    faults = [
        Fault("loss", 0.0, 12.0, 0.25),
        Fault("kill", 2.5, 2.0, participants=("r1",)),
        Fault("stall", 4.5, 3.0, participants=("r0",)),
        Fault("cut", 6.0, 4.0, participants=("r2",), other_side=("r3",)),
    ]
    run = Run(
        5,
        4,
        100,
        21,
        settle_s=2.5,
        recovery_s=0.5,
        lifetime_s=12.0,
        voters=4,
        slow_start_s=1.0,
        moves_per_s=40.0,
        lose_voter_file=True,
    )
    result: MaintenanceReport = asyncio.run(
        run_maintenance(
            run, MaintenanceWork(backends=2, min_ready_backends=2.0, reboot=True, replace_voter=True), faults
        )
    )
    print(result)
    assert not result.report.violations, str(result)
    assert (
        result.completed and result.turns >= 2 and result.max_out_at_once == 1 and result.report.datagrams["lost"] > 0
    )
