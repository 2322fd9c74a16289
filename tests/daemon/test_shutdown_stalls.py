"""Shutdown of a relay that stalls (SIGSTOP): every client whose connection the kernel accepted is answered.

The operators' requirements allow a stall of 0.15 s between two steps of the process. The tests do not wait for a
specific step: stalls follow one another after varying pauses.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.daemon.test_event_races import SHORT_DEADLINE, begin_shutdown
from tests.stand_ins import TIMEOUT_S, LinePeer, RelayEnvironment, run

STALL_S = 0.06
STALLS = 4
KILL_AFTER_S = 0.9 + 0.7  # seconds from SIGTERM to SIGKILL, for the deadline of SHORT
REQUEST_IDS = itertools.count(0xAA)


async def stall(env: RelayEnvironment, pause_s: float, stalls: int = STALLS) -> None:
    """Stall the process repeatedly, each time after it has run for `pause_s`."""
    for _ in range(stalls):
        await asyncio.sleep(pause_s)
        with suppress(ProcessLookupError):  # the process has ended
            os.kill(env.process.pid, signal.SIGSTOP)
            await asyncio.sleep(STALL_S)
            os.kill(env.process.pid, signal.SIGCONT)


def send_request(peer: LinePeer) -> None:
    """Send a complete OPEN line on an idle connection."""
    peer.send_lines(f"OPEN {next(REQUEST_IDS):016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=800")


@pytest.mark.parametrize("pause_ms", [0.0, 0.5, 1.0, 2.0, 4.0, 7.5])
def test_stalls_at_shutdown_leave_no_unread_request_unanswered(tmp_path: Path, pause_ms: float) -> None:
    """Guard against a shutdown that ends by time, not once all input is read: clients got '' instead of BUSY."""

    async def body(env: RelayEnvironment) -> None:
        idle = await env.connect_client()
        await begin_shutdown(env)
        env.process.send_signal(signal.SIGSTOP)
        send_request(idle)
        late = [await env.open_request(deadline_ms=800) for _ in range(40)]
        await asyncio.sleep(1.3)
        env.process.send_signal(signal.SIGCONT)
        await stall(env, pause_ms / 1000.0)
        answers = [[(await peer.read_line())[:4], await peer.read_line()] for peer in (idle, *late)]
        assert answers == [["BUSY", ""]] * 41
        assert all(backend.accepted.empty() for backend in env.backends.values()), "no attempt starts any more"

    run(tmp_path, body, **SHORT_DEADLINE)


@pytest.mark.parametrize("pause_ms", [0.0, 1.0, 4.0, 15.0])
def test_stalls_at_shutdown_leave_no_line_of_an_idle_client_unread(tmp_path: Path, pause_ms: float) -> None:
    """Guard against closing a connection as idle while its OPEN line is unread or partly read."""

    async def body(env: RelayEnvironment) -> None:
        pinged = [await env.connect_client("PING") for _ in range(5)]
        assert [await peer.read_line() for peer in pinged] == ["PONG"] * 5
        halves = [await env.connect_client() for _ in range(5)]
        for peer in halves:
            peer.writer.write(b"OPEN 00000000")
        await begin_shutdown(env)
        env.process.send_signal(signal.SIGSTOP)
        for peer in pinged:
            send_request(peer)
        for peer in halves:
            peer.writer.write(f"{next(REQUEST_IDS):08x} 7f3a9c21e0b4d655 c=chat,t=acme,d=800\r\n".encode())
        await asyncio.sleep(1.3)
        env.process.send_signal(signal.SIGCONT)
        await stall(env, pause_ms / 1000.0)
        answers = [[(await peer.read_line())[:4], await peer.read_line()] for peer in (*pinged, *halves)]
        assert answers == [["BUSY", ""]] * 10

    run(tmp_path, body, **SHORT_DEADLINE)


@pytest.mark.parametrize("pause_ms", [0.0, 2.0, 20.0])
def test_stalls_at_shutdown_leave_no_established_connection_without_move(tmp_path: Path, pause_ms: float) -> None:
    """Guard against an exit before MOVE is written. Idle connections are closed without a reset, all in time."""

    async def body(env: RelayEnvironment) -> None:
        clients = [(await env.established_connection())[0] for _ in range(10)]
        env.stop()
        start = time.monotonic()
        await env.next_log_line("shutting down")
        idle = [await env.connect_client("PING") for _ in range(3)]
        assert [await peer.read_line() for peer in idle] == ["NO"] * 3
        for peer in clients:
            peer.send_lines("a line")  # keeps using the connection
        await asyncio.sleep(1.1 - (time.monotonic() - start))
        await stall(env, pause_ms / 1000.0)
        answers = [[await peer.read_line(), await peer.read_line()] for peer in clients]
        assert answers == [["MOVE", ""]] * 10
        assert [await peer.read_line() for peer in idle] == [""] * 3
        assert await asyncio.wait_for(env.process.wait(), TIMEOUT_S) == 0
        assert time.monotonic() - start < KILL_AFTER_S, "the process exits before SIGKILL, stalls included"

    run(tmp_path, body, **SHORT_DEADLINE)


def test_shutdown_is_in_time_when_the_signal_arrives_during_a_stall(tmp_path: Path) -> None:
    """Guard against counting the shutdown time from the end of a stall: SIGKILL counts from the signal."""

    async def body(env: RelayEnvironment) -> None:
        env.process.send_signal(signal.SIGSTOP)
        env.stop()
        start = time.monotonic()
        await asyncio.sleep(0.15)
        env.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.2)  # connections are still accepted
        # No backend answers within the shutdown time.
        waiting = [await env.open_request(deadline_ms=850) for _ in range(5)]
        assert await asyncio.wait_for(env.process.wait(), TIMEOUT_S) == 0
        assert time.monotonic() - start < KILL_AFTER_S
        assert [(await peer.read_line())[:4] for peer in waiting] == ["BUSY"] * 5

    run(tmp_path, body, **SHORT_DEADLINE)


def test_a_line_received_during_a_stall_longer_than_the_first_line_timeout_is_read(tmp_path: Path) -> None:
    """Guard against an idle timeout that fires before the loop has read the input that arrived during a stall."""

    async def body(env: RelayEnvironment) -> None:
        peer = await env.connect_client("PING")
        assert await peer.read_line() == "PONG"
        env.process.send_signal(signal.SIGSTOP)
        send_request(peer)
        await asyncio.sleep(2.2)
        env.process.send_signal(signal.SIGCONT)
        answer = await peer.read_line()
        assert answer.split(" ")[0] in ("BUSY", "ERR"), "its deadline has passed, but it is answered"

    run(tmp_path, body)


@pytest.mark.parametrize(("stop_s", "stall_s"), [(0.7, 0.3), (0.7, 1.2), (0.65, 0.3), (0.75, 0.4)])
def test_a_line_read_while_its_connection_is_migrated_does_not_reset_it(
    tmp_path: Path, stop_s: float, stall_s: float
) -> None:
    """Guard against using a connection that was closed within its own data callback: resets overtook MOVE."""

    async def body(env: RelayEnvironment) -> None:
        clients = [(await env.established_connection())[0] for _ in range(20)]
        env.stop()
        await env.next_log_line("shutting down")
        await asyncio.sleep(stop_s)
        env.process.send_signal(signal.SIGSTOP)
        for peer in clients:
            peer.send_lines("a line")
        await asyncio.sleep(stall_s)
        env.process.send_signal(signal.SIGCONT)
        answers = [[await peer.read_line(), await peer.read_line()] for peer in clients]
        assert answers == [["MOVE", ""]] * 20
        assert await asyncio.wait_for(env.process.wait(), TIMEOUT_S) == 0

    run(tmp_path, body, **SHORT_DEADLINE)  # `run` fails on a traceback in the relay's log
