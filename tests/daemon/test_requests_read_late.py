"""Requests that stay unread in the kernel while the relay is stalled or accepts no connection."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.stand_ins import LinePeer, RelayEnvironment, run

STALL_S = 0.7
REQUEST_IDS = iter(range(0xAA, 0xFFFF))
ARRIVALS = ("new connection", "idle connection", "second half of a line")


def open_line(deadline_ms: int) -> str:
    return f"OPEN {next(REQUEST_IDS):016x} 7f3a9c21e0b4d655 c=chat,t=acme,d={deadline_ms}\r\n"


async def send_during_stall(env: RelayEnvironment, arrival: str, deadline_ms: int) -> LinePeer:
    """Send a request whose last byte arrives during a stall, which lasts STALL_S from then on."""
    text = open_line(deadline_ms).encode()
    peer = None if arrival == "new connection" else await env.connect_client()
    if peer is not None and arrival == "second half of a line":
        peer.writer.write(text[:30])
        text = text[30:]
        await asyncio.sleep(0.05)
    env.process.send_signal(signal.SIGSTOP)
    peer = peer or await env.connect_client()
    peer.writer.write(text)
    await asyncio.sleep(STALL_S)
    env.process.send_signal(signal.SIGCONT)
    return peer


@pytest.mark.parametrize("arrival", ARRIVALS)
def test_a_request_read_after_its_deadline_is_rejected_and_not_forwarded(tmp_path: Path, arrival: str) -> None:
    """Guard against counting a deadline from the reading of a line: attempts started after the client's deadline."""

    async def body(env: RelayEnvironment) -> None:
        peer = await send_during_stall(env, arrival, 300)
        assert (await peer.read_line()).startswith("BUSY")
        await env.established_connection()
        assert all(backend.accepted.empty() for backend in env.backends.values())

    run(tmp_path, body)


@pytest.mark.parametrize("arrival", ARRIVALS)
def test_a_request_read_late_is_forwarded_with_its_remaining_time(tmp_path: Path, arrival: str) -> None:
    async def body(env: RelayEnvironment) -> None:
        peer = await send_during_stall(env, arrival, 1500)
        _, backend, forwarded = await env.next_attempt()
        (left,) = (int(part[2:]) for part in forwarded.split(" ")[3].split(",") if part.startswith("d="))
        assert 0 < left <= 1500 - 1000 * STALL_S + 20.0
        backend.send_lines("UP r1")
        assert await peer.read_line() == "UP r1"

    run(tmp_path, body)


def test_a_request_read_at_once_keeps_its_full_time(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        peer = await env.connect_client()
        await asyncio.sleep(0.5)  # the connection is old, but its line is new
        peer.writer.write(open_line(1500).encode())
        _, _, forwarded = await env.next_attempt()
        (left,) = (int(part[2:]) for part in forwarded.split(" ")[3].split(",") if part.startswith("d="))
        assert left > 1300

    run(tmp_path, body)
