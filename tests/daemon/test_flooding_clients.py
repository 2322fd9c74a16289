"""Usual clients are answered in time while others send at full speed, on real sockets."""

from __future__ import annotations

import asyncio
import statistics
import time
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from tests.daemon import load as usual
from tests.daemon.load import LATE_S, WAIT_MS, echoing, usual_requests
from tests.echoing_backend import echoing_processes
from tests.flooding_clients import Load, flooding
from tests.ports import free_port
from tests.stand_ins import SETTINGS, RelayEnvironment, run

MAX_WAIT_S = WAIT_MS / 1000.0 + LATE_S
FLOOD_S = 6.0
API_FLOOD_S, ESTABLISHED_FLOOD_S = 3.0, 2.0
MAX_MEMORY_MB = 64.0  # a third of the greatest limit of the page
FLOODING_PROCESSES = 3  # one alone does not send to all of its clients at full speed


def test_requests_are_answered_in_time_while_rejected_clients_go_on_sending(tmp_path: Path) -> None:
    """Guard against an accept queue that is left alone because no answered client that still sends was ended."""

    async def body(env: RelayEnvironment) -> None:
        async with echoing(env) as load, AsyncExitStack() as floods:
            for _ in range(FLOODING_PROCESSES):
                await floods.enter_async_context(flooding(env.port, 20, Load(piece="x"), 2.0 * FLOOD_S))
            await usual_requests(env, load, FLOOD_S)
        assert load.words().keys() <= {"UP", "BUSY"}, load.words()
        assert load.longest_wait_s() <= MAX_WAIT_S

    run(tmp_path, body, sockets=160)


API_FLOODS = {
    "header fields without end": Load(first="GET /api/ready HTTP/1.1\r\n", piece="a: b\r\n"),
    "a body without end": Load(first="PUT /api/rejoin HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", piece="x"),
    "no HTTP": Load(piece="x"),
    "calls in a pipeline": Load(piece="GET /api/telemetry HTTP/1.1\r\n\r\n"),
}
MAX_MEDIAN_S = SETTINGS["categories"][0]["slo_ms"] / 1000.0 / 10.0  # the relay's part of the setup latency objective


@pytest.mark.parametrize("name", API_FLOODS)
def test_requests_and_calls_are_answered_in_time_while_callers_of_the_api_send_at_full_speed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """Guard against an event loop that accepts callers and discards their data without a limit."""
    api_port = free_port()
    monkeypatch.setenv("ROUTER_OPERATOR", f"127.0.0.1:{api_port}")

    async def call_api(waits: list[float]) -> None:
        while True:
            began = time.monotonic()
            async with asyncio.timeout(MAX_WAIT_S):
                status = await api_status(api_port)
            waits.append(time.monotonic() - began)
            assert status == b"HTTP/1.1 200 OK\r\n"
            await asyncio.sleep(0.2)

    async def body(env: RelayEnvironment) -> None:
        waits: list[float] = []
        await env.next_log_line("the operators' API listens")
        async with echoing(env) as load, AsyncExitStack() as floods:
            for _ in range(FLOODING_PROCESSES):
                await floods.enter_async_context(flooding(api_port, 70, API_FLOODS[name], 2.0 * FLOOD_S))
            calls = asyncio.ensure_future(call_api(waits))
            await usual_requests(env, load, API_FLOOD_S)
            assert not calls.done() or calls.result() is None
            calls.cancel()
            memory_mb = peak_memory_mb(env.process.pid)
        assert load.words().keys() <= {"UP", "BUSY"}, load.words()
        assert load.longest_wait_s() <= MAX_WAIT_S
        assert statistics.median(answer.wait_s for answer in load.answers) <= MAX_MEDIAN_S
        assert waits and max(waits) <= MAX_WAIT_S
        assert memory_mb <= MAX_MEMORY_MB

    run(tmp_path, body, sockets=256)


def peak_memory_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024.0


async def api_status(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: relay\r\n\r\n")
        return await reader.readline()
    finally:
        writer.close()


OPEN = "OPEN {id} 7f3a9c21e0b4d655 c=chat,t=acme,d=1500,g=5c0f\r\n"
ESTABLISHED_FLOODS = {
    "lines of one byte": (1, Load(first=OPEN, piece="a\r\n", waits=True)),
    "lines of sixty bytes": (1, Load(first=OPEN, piece="a" * 60 + "\r\n", waits=True)),
    "lines that look like loads": (1, Load(first=OPEN, piece="LOAD 7\r\n", waits=True)),
    "lines whose echo is not read": (8, Load(first=OPEN, piece="a\r\n", waits=True, reads=False)),
}


@pytest.mark.parametrize("name", ESTABLISHED_FLOODS)
def test_requests_are_served_at_once_while_an_established_client_sends_at_full_speed(tmp_path: Path, name: str) -> None:
    """Guard against lines that cost more the shorter they are, and against a backend blamed for its client's haste."""
    clients, flood = ESTABLISHED_FLOODS[name]

    async def body(env: RelayEnvironment) -> None:
        load = usual.Load()
        async with echoing_processes(env), flooding(env.port, clients, flood, 2.0 * FLOOD_S):
            await usual_requests(env, load, ESTABLISHED_FLOOD_S)
        assert load.words().keys() == {"UP"}, load.words()
        assert load.longest_wait_s() <= MAX_WAIT_S
        assert statistics.median(answer.wait_s for answer in load.answers) <= MAX_MEDIAN_S

    run(tmp_path, body)


DEAF_CLIENTS = 300  # under a third of the descriptors
DESCRIPTORS = 1024


def test_clients_that_send_and_do_not_read_take_little_memory_each(tmp_path: Path) -> None:
    """Guard against a process that exceeds its memory limit by what it holds for clients that do not keep up."""

    async def body(env: RelayEnvironment) -> None:
        load = usual.Load()
        flood = Load(first=OPEN, piece="a" * 100 + "\r\n", waits=True, reads=False)
        async with echoing_processes(env), AsyncExitStack() as floods:
            for _ in range(FLOODING_PROCESSES):
                process = flooding(env.port, DEAF_CLIENTS // FLOODING_PROCESSES, flood, 2.0 * FLOOD_S)
                await floods.enter_async_context(process)
            await usual_requests(env, load, FLOOD_S)
            memory_mb = peak_memory_mb(env.process.pid)
        assert memory_mb <= MAX_MEMORY_MB
        assert load.words().keys() <= {"UP", "BUSY"}, load.words()
        assert load.longest_wait_s() <= MAX_WAIT_S

    run(tmp_path, body, sockets=DESCRIPTORS)
