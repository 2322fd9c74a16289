"""Request ids that come again on another connection, on real processes: how often each reaches a backend."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.load import Load, echoing
from tests.daemon.upgrade import second_process
from tests.stand_ins import SETTINGS, LinePeer, RelayEnvironment, run

IDS = 8
ACCEPT_AFTER_S = 1.0
CONNECTIONS_PER_ID = 6  # which the kernel deals to either process of an upgrade
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


async def send_everywhere(env: RelayEnvironment, request_id: int) -> set[str]:
    """Send an id on several connections, one after the other, and return the answers."""
    return {await (await send(env, request_id)).read_line() for _ in range(CONNECTIONS_PER_ID)}


async def established(env: RelayEnvironment, load: Load) -> tuple[list[int], list[LinePeer]]:
    ids = [next(env.request_ids) for _ in range(IDS)]
    clients = [await send(env, request_id) for request_id in ids]
    assert [await client.read_line() for client in clients] == ["UP r1"] * IDS
    return ids, clients


def test_an_id_that_is_open_at_the_other_process_of_an_upgrade_runs_once(tmp_path: Path) -> None:
    """Guard against a second process that serves a request under the id of one that the first process has."""

    async def body(env: RelayEnvironment) -> None:
        async with echoing(env) as load:
            ids, clients = await established(env, load)
            async with second_process(env) as second:
                await second.wait_for_log("serves at")
                for request_id in ids:
                    assert await send_everywhere(env, request_id) == {"ERR"}
                leave(clients[0], False)
                await asyncio.sleep(0.05)
                assert await send_everywhere(env, ids[0]) == {"ERR"}, "its client has left"
                new_id = next(env.request_ids)
                answers = await asyncio.gather(*[(await send(env, new_id)).read_line() for _ in range(IDS)])
                assert sorted(answers) == ["ERR"] * (IDS - 1) + ["UP r1"], "all at once"
        assert set(load.attempts.values()) == {1}

    run(tmp_path, body, **RUNS_ONCE)


def test_an_id_of_a_process_that_has_ended_runs_once(tmp_path: Path) -> None:
    """Guard against ids that are forgotten with the first process of an upgrade while their attempts may still run."""

    async def body(env: RelayEnvironment) -> None:
        async with echoing(env) as load:
            ids, _ = await established(env, load)
            async with second_process(env) as second:
                await second.wait_for_log("serves at")
                env.stop()
                await asyncio.wait_for(env.process.wait(), 10.0)
                assert {await (await send(env, request_id)).read_line() for request_id in ids} == {"ERR"}
        assert set(load.attempts.values()) == {1}

    run(tmp_path, body, **RUNS_ONCE)


def test_a_client_that_leaves_or_sends_on_while_the_other_process_is_asked_starts_no_attempt(tmp_path: Path) -> None:
    """Guard against a request that is placed after its client has left, since another process was asked meanwhile."""

    async def send_on(env: RelayEnvironment) -> str:
        client = await send(env, next(env.request_ids))
        await asyncio.sleep(0.05)
        client.send_lines("too early")
        return await client.read_line()

    async def give_up(env: RelayEnvironment) -> None:
        client = await send(env, next(env.request_ids))
        await asyncio.sleep(0.05)
        leave(client, True)

    async def body(env: RelayEnvironment) -> None:
        async with echoing(env) as load, second_process(env) as second:
            await second.wait_for_log("serves at")
            second.process.send_signal(signal.SIGSTOP)
            sending = asyncio.gather(*(send_on(env) for _ in range(IDS)))
            leaving = asyncio.gather(*(give_up(env) for _ in range(IDS)))
            await leaving
            await asyncio.sleep(0.1)
            second.process.send_signal(signal.SIGCONT)
            assert await sending == ["ERR"] * IDS
            await asyncio.sleep(0.5)
        assert not load.attempts

    run(tmp_path, body, **RUNS_ONCE)
