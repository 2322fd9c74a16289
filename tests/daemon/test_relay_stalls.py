"""Stalls of a relay within the operators' limit are not counted as slowness of its backends."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.stand_ins import SETTINGS, Peer, World, run

STALL_S = 0.14
ROUNDS = 12
SLOW_MESSAGES: dict[str, Any] = {"family_info": SETTINGS["family_info"] | {"message_aim_ms": [150.0]}}


async def connections_at_both(w: World) -> list[tuple[Peer, Peer]]:
    """Return established connections, one at each backend."""
    connections: dict[str, tuple[Peer, Peer]] = {}
    while len(connections) < len(w.backends):
        client, name, backend = await w.standing()
        connections[name] = (client, backend)
    return list(connections.values())


async def exchange(w: World, pairs: list[tuple[Peer, Peer]], stalled: bool, answer_after_s: float = 0.0) -> None:
    """Send a line from each client and its answer, which arrives during the stall if `stalled`."""
    for client, backend in pairs:
        client.say("a line")
        assert await backend.hear() == "a line"
    if stalled:
        w.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(answer_after_s)
    for _, backend in pairs:
        backend.say("a line")
    if stalled:
        await asyncio.sleep(STALL_S)
        w.process.send_signal(signal.SIGCONT)
    for client, _ in pairs:
        assert await client.hear() == "a line"


async def rejected(w: World) -> bool:
    """Return whether a new request is answered BUSY at once."""
    client = await w.request()
    answer = asyncio.ensure_future(client.hear())
    placed = asyncio.ensure_future(w.placed())
    await asyncio.wait((answer, placed), return_when=asyncio.FIRST_COMPLETED)
    if answer.done():
        placed.cancel()
        return answer.result().startswith("BUSY")
    _, backend, _ = placed.result()
    backend.say("UP r1")
    return not (await answer).startswith("UP")


@pytest.mark.parametrize("stalled", [True, False])
def test_answers_read_late_after_a_stall_do_not_mark_a_backend_as_slow(tmp_path: Path, stalled: bool) -> None:
    """Guards against load shedding for the relay's own delays; backends with the same delay are still shed."""

    async def body(w: World) -> None:
        pairs = await connections_at_both(w)
        for _ in range(ROUNDS):
            await exchange(w, pairs, stalled, 0.0 if stalled else STALL_S)
        assert [await rejected(w) for _ in range(5)] == [not stalled] * 5

    run(tmp_path, body, **SLOW_MESSAGES)
