"""An upgrade, and a bad client with the id of another client's open request: the new process serves it."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from contextlib import suppress
from pathlib import Path

from review.common2.stand_ins import (
    BROKEN,
    HELD,
    HOST,
    Backend,
    Discovery,
    Record,
    Relay,
    config_of,
    free_port,
    run_case,
    says_yes,
)

USUAL_CLIENTS = 6
WAIT_S = 4.8
LINE_S = 2.0  # "A client sends a line every 2 s"
HAND_OVER_S = 0.4  # "It keeps sending new connections", dealt by the kernel to both until the old one has handed over


class Connection:
    """A usual client's connection: it is open from UP until MOVE or the end."""

    def __init__(self, request: str) -> None:
        self.request = request
        self.open = False

    async def run(self, record: Record, address: tuple[str, int]) -> None:
        """Ask, and send a line every 2 s while the connection is open."""
        answer, reader, writer = await ask(address, self.request)
        record.write(f"client {self.request} was answered {answer!r}")
        self.open = answer.startswith("UP")
        sending = asyncio.ensure_future(self._send_lines(writer))
        with suppress(ConnectionError):
            while (line := await reader.readline()) and not line.startswith(b"MOVE"):
                pass
        record.write(f"client {self.request} was moved or ended")
        self.open = False
        sending.cancel()
        writer.close()

    @staticmethod
    async def _send_lines(writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(b"a line\r\n")
            await asyncio.sleep(LINE_S)


async def ask(address: tuple[str, int], request: str) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request on a new connection and return its answer."""
    reader, writer = await asyncio.open_connection(*address)
    key = f"{random.getrandbits(64):016x}"
    writer.write(f"OPEN {request} {key} c=plan-status,t=casa-ribeira,d={WAIT_S * 1000:.0f},g=1\r\n".encode())
    return (await asyncio.wait_for(reader.readline(), WAIT_S + 1.0)).decode().strip(), reader, writer


async def bad_clients(record: Record, address: tuple[str, int], usual: list[Connection]) -> list[str]:
    """Send each usual client's id once more; return those that were served while that client's request was open."""
    served = []
    for connection in usual:
        answer, _, writer = await ask(address, connection.request)
        record.write(f"a bad client sent the id of {connection.request} (open: {connection.open}) and got {answer!r}")
        if answer.startswith("UP") and connection.open:
            served.append(connection.request)
        writer.close()
    return served


async def body(record: Record, folder: Path, trouble: bool) -> int:
    """Open some connections, upgrade the relay, and send the ids of the open ones once more."""
    backends = [Backend(f"s-{number}", record) for number in range(1, 5)]
    discovery = Discovery(backends, record)
    for part in (*backends, discovery):
        await part.start()
    known = [backend.entry() for backend in backends]
    old_config = config_of(discovery, known, operator=f"{HOST}:{free_port()}")
    new_config = config_of(discovery, known, operator=f"{HOST}:{free_port()}", listen=old_config["listen"])
    for config in (old_config, new_config):
        config["settings"]["categories"][0]["effect"] = "side_effect"
    old, new = Relay(old_config, folder, "old"), Relay(new_config, folder, "new")
    host, port = old_config["listen"].split(":")
    address = (host, int(port))
    try:
        await old.start()
        await old.ready()
        ids = itertools.count(random.SystemRandom().getrandbits(60))
        usual = [Connection(f"{next(ids):016x}") for _ in range(USUAL_CLIENTS)]
        tasks = [asyncio.ensure_future(connection.run(record, address)) for connection in usual]
        await asyncio.sleep(1.0)
        if trouble:
            record.write("the new process is started")
            await new.start()
            while not await says_yes(new_config["operator"]):
                await asyncio.sleep(0.02)
            record.write("the new process says yes; SIGTERM to the old one")
            old.signal(signal.SIGTERM)
            await asyncio.sleep(HAND_OVER_S)
        began = time.monotonic()
        served = await bad_clients(record, address, usual)
        record.write(f"asked within {time.monotonic() - began:.2f} s")
        for task in tasks:
            task.cancel()
        record.write(
            f"{len(served)} of {USUAL_CLIENTS} bad clients were served with the id of an open request: {served}"
        )
        return BROKEN if served else HELD
    finally:
        await old.end()
        await new.end()


run_case(Path(__file__).parent, body)
