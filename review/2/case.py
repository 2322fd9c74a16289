"""A node hangs in the middle of a line: does the client get that half as if it were a line?"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

from common.harness import Client, Discovery, Platform, feed_settings, run_case

NODES = [f"s-{number}" for number in range(1, 7)]
CLIENTS = 24
PIECE_MS = 60
HANG_S = 6.0
RUN_S = 12.0


async def hang_between_pieces(platform: Platform) -> None:
    """Stop one node just after it sent the first piece of a line, and continue it HANG_S later."""
    after = time.time()
    while True:
        halves = [event for event in platform.node_events("half") if event["t"] > after]
        if halves and time.time() < halves[-1]["t"] + PIECE_MS / 2000.0:
            break
        await asyncio.sleep(0.003)
    name = halves[-1]["node"]
    platform.signal(name, signal.SIGSTOP)
    platform.note(f"{name} hangs after the first piece of a line to {halves[-1]['id']}")
    await asyncio.sleep(HANG_S)
    platform.signal(name, signal.SIGCONT)


async def case(platform: Platform) -> bool:
    """Run the case; return whether the rule held."""
    members = []
    for number, name in enumerate(NODES):
        members += await platform.start_nodes(
            name,
            [name],
            f"127.0.1.{number + 1}",
            "--reports",
            "--piece-ms",
            str(PIECE_MS),
            zone="abuja-maitama",
            kind="fast-2c",
        )
    discovery = Discovery(members)
    await discovery.start("127.0.0.2")
    relay = await platform.start_relay("r1", "127.0.0.3", discovery, {"settings": feed_settings()})
    await asyncio.sleep(1.0)
    clients = []
    for _ in range(CLIENTS):
        parameters = f"c=map-watch,d=4800,g={os.urandom(8).hex()}"
        clients.append(Client(platform, relay, os.urandom(8).hex(), parameters).start())
        await asyncio.sleep(0.1)
    began = time.time()
    if platform.trouble:
        await asyncio.sleep(2.5)
        await hang_between_pieces(platform)
    await asyncio.sleep(max(0.0, began + RUN_S - time.time()))
    held = judge(platform, clients)
    for client in clients:
        await client.leave()
    return held


def judge(platform: Platform, clients: list[Client]) -> bool:
    """Check that every line that a client got is one that its node made for it, or MOVE."""
    made: dict[str, set[str]] = {}
    for event in platform.node_events("answer"):
        made.setdefault(event["id"], set()).add(event["line"])
    held = True
    for client in clients:
        if not client.answer.startswith("UP "):
            platform.note(f"client {client.id} was not served: {client.answer!r}")
        for line in client.lines:
            if line != "MOVE" and line not in made.get(client.id, set()):
                held = False
                platform.note(f"broken: client {client.id} got the line {line!r}, which no node made")
    platform.note(f"{sum(len(client.lines) for client in clients)} lines were checked")
    return held


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
