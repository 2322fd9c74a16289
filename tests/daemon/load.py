"""Usual clients beside bad ones: backends that echo, requests at an interval, and how long each waited."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from tests.stand_ins import LinePeer, LineServer, RelayEnvironment

WAIT_MS = 1200  # the usual clients' deadline
LATE_S = 0.55  # "Up to half a second after its time it only earns nothing", and the operators' slack on sockets
HOLD_S = 0.2  # for which a usual client keeps its connection


@dataclass
class Answer:
    """What a usual client was answered. word: empty if nothing came; wait_s: seconds since its line was sent."""

    word: str
    wait_s: float


@dataclass
class Load:
    """The usual clients' answers, and how often each request id reached a backend."""

    answers: list[Answer] = field(default_factory=list)
    attempts: Counter[str] = field(default_factory=Counter)

    def words(self) -> Counter[str]:
        return Counter(answer.word for answer in self.answers)

    def longest_wait_s(self) -> float:
        return max(answer.wait_s for answer in self.answers)


async def _echo(peer: LinePeer, load: Load, accept_after_s: float) -> None:
    with suppress(ConnectionError, ValueError, asyncio.CancelledError):
        line = peer.first_line.decode()
        load.attempts[line.split(" ")[1] if line.startswith("OPEN ") else line] += 1
        await asyncio.sleep(accept_after_s)
        peer.send_lines("UP r1")
        while data := await peer.reader.read(1 << 16):
            peer.writer.write(data)
            await peer.writer.drain()
    peer.writer.close()


async def _serve(backend: LineServer, load: Load, accept_after_s: float) -> None:
    tasks = set()
    while True:
        peer = await backend.accepted.get()
        if peer.first_line:
            tasks.add(asyncio.ensure_future(_echo(peer, load, accept_after_s)))
        else:
            peer.writer.close()


@asynccontextmanager
async def echoing(env: RelayEnvironment, accept_after_s: float = 0.0) -> AsyncIterator[Load]:
    """Let all backends accept each request and send back its lines while the block runs."""
    load = Load()
    tasks = [asyncio.ensure_future(_serve(backend, load, accept_after_s)) for backend in env.backends.values()]
    try:
        yield load
    finally:
        for task in tasks:
            task.cancel()


async def _usual_request(env: RelayEnvironment, load: Load) -> None:
    began, word, writer = time.monotonic(), "", None
    try:
        async with asyncio.timeout(WAIT_MS / 1000.0 + 3.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", env.port)
            line = f"OPEN {next(env.request_ids):016x} 7f3a9c21e0b4d655 c=chat,t=acme,d={WAIT_MS},g=5c0f\r\n"
            writer.write(line.encode())
            word = (await reader.readline()).decode().split(" ")[0].strip()
    except (OSError, TimeoutError):
        pass
    load.answers.append(Answer(word, time.monotonic() - began))
    if writer is not None:
        await asyncio.sleep(HOLD_S)
        writer.close()


async def usual_requests(env: RelayEnvironment, load: Load, seconds: float, interval_s: float = 0.1) -> None:
    """Send a request on a new connection at each interval, and return once all are answered or given up."""
    tasks = []
    for _ in range(round(seconds / interval_s)):
        tasks.append(asyncio.ensure_future(_usual_request(env, load)))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)
