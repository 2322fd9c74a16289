"""Stalls of a relay within the operators' limit are not counted as slowness of its backends."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.stand_ins import SETTINGS, LinePeer, RelayEnvironment, run

STALL_S = 0.14
ROUNDS = 12
SLOW_MESSAGES: dict[str, Any] = {"family_info": SETTINGS["family_info"] | {"message_aim_ms": [150.0]}}


async def connections_at_both(env: RelayEnvironment) -> list[tuple[LinePeer, LinePeer]]:
    """Return established connections, one at each backend."""
    connections: dict[str, tuple[LinePeer, LinePeer]] = {}
    while len(connections) < len(env.backends):
        client, name, backend = await env.established_connection()
        connections[name] = (client, backend)
    return list(connections.values())


async def exchange(
    env: RelayEnvironment, pairs: list[tuple[LinePeer, LinePeer]], stalled: bool, answer_after_s: float = 0.0
) -> None:
    """Send a line from each client and its answer, which arrives during the stall if `stalled`."""
    for client, backend in pairs:
        client.send_lines("a line")
        assert await backend.read_line() == "a line"
    if stalled:
        env.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(answer_after_s)
    for _, backend in pairs:
        backend.send_lines("a line")
    if stalled:
        await asyncio.sleep(STALL_S)
        env.process.send_signal(signal.SIGCONT)
    for client, _ in pairs:
        assert await client.read_line() == "a line"


async def rejected(env: RelayEnvironment) -> bool:
    """Return whether a new request is answered BUSY at once."""
    client = await env.open_request()
    answer = asyncio.ensure_future(client.read_line())
    placed = asyncio.ensure_future(env.next_attempt())
    await asyncio.wait((answer, placed), return_when=asyncio.FIRST_COMPLETED)
    if answer.done():
        placed.cancel()
        return answer.result().startswith("BUSY")
    _, backend, _ = placed.result()
    backend.send_lines("UP r1")
    return not (await answer).startswith("UP")


@pytest.mark.parametrize("stalled", [True, False])
def test_answers_read_late_after_a_stall_do_not_mark_a_backend_as_slow(tmp_path: Path, stalled: bool) -> None:
    """Guard against load shedding for the relay's own delays; backends with the same delay are still shed."""

    async def body(env: RelayEnvironment) -> None:
        pairs = await connections_at_both(env)
        for _ in range(ROUNDS):
            await exchange(env, pairs, stalled, 0.0 if stalled else STALL_S)
        assert [await rejected(env) for _ in range(5)] == [not stalled] * 5

    run(tmp_path, body, **SLOW_MESSAGES)
