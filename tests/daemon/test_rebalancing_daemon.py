"""Rebalancing by a relay process on real sockets: clients are migrated to a backend that joins."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from tests.stand_ins import TIMEOUT_S, LinePeer, RelayEnvironment, relay

OPERATOR = """
[rebalance]
beat_s = 0.05
moves_per_s = 40.0
share_per_s = 1.0
source_moves_per_s = 40.0
target_moves_per_s = 40.0
dwell_s = 0.0
settle_s = 0.0
"""
CLIENTS = 24


async def serve(env: RelayEnvironment, name: str, connected: dict[str, list[int]]) -> None:
    """Serve as a backend that accepts each client and echoes its lines in two parts, between which a MOVE could come.

    connected: the keys of the connected clients by backend.
    """

    async def serve_connection(peer: LinePeer) -> None:
        key = int((await peer.read_line()).split(" ")[2], 16)
        peer.send_lines("UP r1")
        connected[name].append(key)
        while line := await peer.read_line():
            peer.writer.write(line[:3].encode())
            await asyncio.sleep(0)
            peer.writer.write(f"{line[3:]}\r\n".encode())
        connected[name].remove(key)

    tasks = []
    while True:
        tasks.append(asyncio.ensure_future(serve_connection(await env.backends[name].accepted.get())))


def test_clients_migrated_to_a_new_backend_reconnect_with_no_line_cut(tmp_path: Path) -> None:
    moves: list[int] = []

    async def client(env: RelayEnvironment, key: int, up: asyncio.Event) -> None:
        again = ""
        while True:
            peer = await env.connect_client(
                f"OPEN {next(env.request_ids):016x} {key:016x} c=chat,t=acme,d=1500,g={key:x}{again}"
            )
            assert await peer.read_line() == "UP r1"
            up.set()
            for number in range(1_000_000):
                peer.send_lines(f"line {number}")
                line = await peer.read_line()
                if line == "MOVE":
                    break
                assert line == f"line {number}", "the stream ends only with a MOVE between two lines"
                await asyncio.sleep(0.01)
            moves.append(key)
            up.clear()
            assert await peer.read_line() == ""
            again = ",again=1"

    async def body(env: RelayEnvironment) -> None:
        connected: dict[str, list[int]] = {"s-1": [], "s-2": []}
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"))
        all_up = [asyncio.Event() for _ in range(CLIENTS)]
        tasks = [asyncio.ensure_future(serve(env, name, connected)) for name in connected]
        # The relay uses the list without the second backend before the first client connects.
        probe = await env.open_request()
        tasks += [asyncio.ensure_future(client(env, key + 1, up)) for key, up in enumerate(all_up)]
        await asyncio.wait_for(asyncio.gather(*(up.wait() for up in all_up)), TIMEOUT_S)
        first = list(connected["s-2"])
        env.update_endpoint("s-2", "ready")

        def connection_counts() -> Counter[int]:
            """Return the number of backends that each client is connected to."""
            return Counter(key for keys in connected.values() for key in keys if 1 <= key <= CLIENTS)

        async def wait_until_level() -> None:
            while len(connected["s-2"]) < CLIENTS // 3 or not all(up.is_set() for up in all_up):
                await asyncio.sleep(0.01)

        async def wait_until_moved(missing: set[int]) -> None:
            while not missing <= set(moves) or max(connection_counts().values()) > 1:
                await asyncio.sleep(0.01)

        await asyncio.wait_for(wait_until_level(), 2 * TIMEOUT_S)
        # The relay writes MOVE and closes the backend connection at once, so clients without a backend were sent MOVE.
        await asyncio.wait_for(wait_until_moved(set(range(1, CLIENTS + 1)) - connection_counts().keys()), TIMEOUT_S)
        assert not first
        assert CLIENTS // 3 <= len(moves) <= CLIENTS // 2 + 4 and len(moves) == len(set(moves))
        probe.writer.close()
        # SIGHUP turns rebalancing off, but an invalid file changes nothing.
        (tmp_path / "operator.toml").write_text("[rebalance]\nsprad = 1\n")
        env.reload()
        await env.next_log_line("unknown key rebalance.sprad; did you mean spread?")
        (tmp_path / "operator.toml").write_text("")
        env.reload()
        await env.next_log_line("[rebalance] was reloaded: off")
        for task in tasks:
            failed = task.done() and task.exception()
            assert not failed, failed
            task.cancel()

    async def inside() -> None:
        async with relay(tmp_path, OPERATOR) as env:
            await body(env)

    asyncio.run(inside())
