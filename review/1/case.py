"""A node dies while it sets up a connection that was open before: is the client told that trying again is harmless?"""

from __future__ import annotations

import asyncio
import os
import signal
from collections import Counter
from pathlib import Path

from common.harness import Client, Discovery, Platform, run_case, settings

NODES = ["s-1", "s-2", "s-3", "s-4"]
CLIENTS_PER_NODE = 3
DEADLINE_S = 40.0


def unsafe_settings() -> dict[str, object]:
    """Return settings whose class may not be repeated."""
    values = settings()
    values["categories"][0]["effect"] = "side_effect"
    return values


async def retry_if_refused(platform: Platform, relay: tuple[str, int], first: Client) -> Client | None:
    """Do what BUSY allows: come again after its time with the same key, on a new connection with a new id."""
    await asyncio.wait_for(first.answered.wait(), DEADLINE_S + 1.0)
    words = first.answer.split()
    if not words or words[0] != "BUSY":
        return None
    await asyncio.sleep((float(words[1]) if len(words) > 1 else 300.0) / 1000.0)
    again = Client(platform, relay, first.key, "c=plan-status,t=casa-ribeira,d=4800,again=1").start()
    await asyncio.wait_for(again.answered.wait(), 6.0)
    return again


async def case(platform: Platform) -> bool:
    """Run the case; return whether the rule held."""
    members = []
    for number, name in enumerate(NODES):
        members += await platform.start_nodes(name, [name], f"127.0.1.{number + 1}", "--setup-ms", "250")
    discovery = Discovery(members)
    await discovery.start("127.0.0.2")
    relay = await platform.start_relay("r1", "127.0.0.3", discovery, {"settings": unsafe_settings()})
    await asyncio.sleep(1.0)
    clients = []
    for name in NODES:
        for _ in range(CLIENTS_PER_NODE):
            parameters = f"c=plan-status,t=casa-ribeira,d=4800,at={name}"
            clients.append(Client(platform, relay, os.urandom(8).hex(), parameters).start())
    while sum(event["node"] == "s-1" for event in platform.node_events("run")) < CLIENTS_PER_NODE:
        await asyncio.sleep(0.005)
    if platform.trouble:
        platform.signal("s-1", signal.SIGKILL)
    await asyncio.gather(*(retry_if_refused(platform, relay, client) for client in clients))
    return judge(platform, clients)


def judge(platform: Platform, clients: list[Client]) -> bool:
    """Check rule 2 for `side_effect`: BUSY, or another attempt, only if the earlier ones certainly never ran."""
    runs = platform.node_events("run")
    ran_ids = {event["id"] for event in runs}
    refused = [client for client in clients if client.answer.startswith("BUSY") and client.id in ran_ids]
    twice = [key for key, count in Counter(event["key"] for event in runs).items() if count > 1]
    for client in refused:
        platform.note(f"broken: client {client.id} was told BUSY, but a node had begun to run its request")
    for key in twice:
        platform.note(f"broken: the request of key {key} ran at {[e['node'] for e in runs if e['key'] == key]}")
    return not refused and not twice


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
