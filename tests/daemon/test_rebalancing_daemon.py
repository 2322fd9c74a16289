"""Rebalancing by the real program on real sockets: a node joins, and submitters come over to it."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.stand_ins import WAIT_S, Peer, World, relay

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


async def serve(world: World, name: str, held: dict[str, int]) -> None:
    """An execute node: takes all and brings each line back, in two parts so that a MOVE could cut one."""

    async def one(peer: Peer) -> None:
        await peer.hear()
        peer.say("UP r1")
        held[name] += 1
        while line := await peer.hear():
            peer.writer.write(line[:3].encode())
            await asyncio.sleep(0)
            peer.writer.write(f"{line[3:]}\r\n".encode())
        held[name] -= 1

    tasks = []
    while True:
        tasks.append(asyncio.ensure_future(one(await world.backends[name].came.get())))


def test_a_backend_joins_and_moved_clients_are_all_up_again_with_no_line_cut(tmp_path: Path) -> None:
    moves: list[int] = []

    async def client(world: World, key: int, up: asyncio.Event) -> None:
        again = ""
        while True:
            peer = await world.client(f"OPEN {next(world.ids):016x} {key:016x} c=chat,t=acme,d=1500,g={key:x}{again}")
            assert await peer.hear() == "UP r1"
            up.set()
            for number in range(1_000_000):
                peer.say(f"line {number}")
                heard = await peer.hear()
                if heard == "MOVE":
                    break
                assert heard == f"line {number}", "only a MOVE between two lines ends it"
                await asyncio.sleep(0.01)
            moves.append(key)
            up.clear()
            assert await peer.hear() == ""
            again = ",again=1"

    async def body(w: World) -> None:
        held = {"s-1": 0, "s-2": 0}
        await w.watched()
        w.answer_watch(w.member("s-1"))
        ups = [asyncio.Event() for _ in range(CLIENTS)]
        tasks = [asyncio.ensure_future(serve(w, name, held)) for name in held]
        # The list without the second node is taken up before the first submitter comes.
        probe = await w.request()
        tasks += [asyncio.ensure_future(client(w, key + 1, up)) for key, up in enumerate(ups)]
        await asyncio.wait_for(asyncio.gather(*(up.wait() for up in ups)), WAIT_S)
        first = dict(held)
        w.tell("s-2", "ready")

        async def level() -> None:
            while held["s-2"] < CLIENTS // 3 or not all(up.is_set() for up in ups):
                await asyncio.sleep(0.01)

        await asyncio.wait_for(level(), 2 * WAIT_S)
        assert first["s-2"] == 0 and held["s-1"] + held["s-2"] >= CLIENTS
        assert CLIENTS // 3 <= len(moves) <= CLIENTS // 2 + 4 and len(moves) == len(set(moves))
        probe.writer.close()
        # Taken out by SIGHUP, and a file that makes no sense changes nothing.
        (tmp_path / "operator.toml").write_text("[rebalance]\nsprad = 1\n")
        w.reload()
        await w.logged("sprad is not known; spread is")
        (tmp_path / "operator.toml").write_text("")
        w.reload()
        await w.logged("[rebalance] was reloaded: off")
        for task in tasks:
            failed = task.done() and task.exception()
            assert not failed, failed
            task.cancel()

    async def inside() -> None:
        async with relay(tmp_path, OPERATOR) as world:
            await body(world)

    asyncio.run(inside())
