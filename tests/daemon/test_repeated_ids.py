"""Request ids that come again on another connection, on real processes: how often each reaches a backend."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.load import echoing
from tests.stand_ins import SETTINGS, LinePeer, RelayEnvironment, run

IDS = 8
ACCEPT_AFTER_S = 1.0
RUNS_ONCE: dict[str, Any] = {"categories": [dict(SETTINGS["categories"][0]) | {"effect": "side_effect"}]}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def send(env: RelayEnvironment, request_id: int) -> LinePeer:
    return await env.connect_client(f"OPEN {request_id:016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=1500,g=5c0f")


def leave(client: LinePeer, reset: bool) -> None:
    if reset:
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.writer.close()


@pytest.mark.parametrize("reset", (False, True))
def test_an_id_that_comes_again_after_its_client_has_left_runs_once(tmp_path: Path, reset: bool) -> None:
    """Guard against a request that runs twice because its id was forgotten while its attempt could still run."""

    async def come_again(env: RelayEnvironment, request_id: int) -> str:
        client = await send(env, request_id)
        await asyncio.sleep(0.3)
        leave(client, reset)
        await asyncio.sleep(0.15)
        return await (await send(env, request_id)).read_line()

    async def body(env: RelayEnvironment) -> None:
        async with echoing(env, ACCEPT_AFTER_S) as load:
            answers = await asyncio.gather(*(come_again(env, next(env.request_ids)) for _ in range(IDS)))
        assert answers == ["ERR"] * IDS
        assert list(load.attempts.values()) == [1] * IDS

    run(tmp_path, body, **RUNS_ONCE)
