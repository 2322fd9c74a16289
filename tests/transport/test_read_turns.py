"""Connections that discard what they read, on real sockets: what they cost while their peers send at full speed."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
import uvloop

from tests.ports import free_port
from yarrowspindle.transport.line_connection import LineConnection
from yarrowspindle.transport.read_turns import READS_PER_TURN, TURN_INTERVAL_S, ReadTurns

SENDERS = 24
SECONDS = 1.0
MAX_TURNS = SECONDS / TURN_INTERVAL_S + 1.0


class Rejecting(LineConnection):
    """A connection that answers at once, and counts its reads afterwards."""

    reads = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.finish(b"ERR\r\n")

    def discard(self, nbytes: int) -> None:
        Rejecting.reads += 1
        super().discard(nbytes)


async def send_at_full_speed(port: int, until: float) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", port))
        while time.monotonic() < until:
            try:
                await asyncio.wait_for(loop.sock_sendall(sock, b"x" * 65536), max(0.001, until - time.monotonic()))
            except TimeoutError:
                return


@pytest.mark.parametrize("run", (uvloop.run, asyncio.run), ids=("uvloop", "asyncio"))
def test_data_that_is_discarded_is_read_within_the_budget_of_all_connections(run) -> None:  # type: ignore[no-untyped-def]
    """Guard against an event loop that spends its time on the data of clients that were answered."""

    async def body() -> None:
        Rejecting.reads = 0
        turns, loop, port = ReadTurns(), asyncio.get_running_loop(), free_port()
        server = await loop.create_server(lambda: Rejecting(turns), "127.0.0.1", port)
        until = time.monotonic() + SECONDS
        await asyncio.gather(*(send_at_full_speed(port, until) for _ in range(SENDERS)))
        # Each connection reads once before its first turn.
        assert SENDERS < Rejecting.reads <= MAX_TURNS * READS_PER_TURN + SENDERS
        server.close()

    run(body())


def test_a_client_that_sends_everything_before_it_reads_gets_its_answer() -> None:
    """Guard against a budget so small that a client which first sends 60 MB is reset before it reads its answer."""

    def send_then_read(port: int) -> bytes:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            for _ in range(60):
                sock.sendall(b"x" * 1_000_000)
            return sock.recv(16)

    async def body() -> None:
        turns, loop, port = ReadTurns(), asyncio.get_running_loop(), free_port()
        server = await loop.create_server(lambda: Rejecting(turns), "127.0.0.1", port)
        answers = await asyncio.gather(*(loop.run_in_executor(None, send_then_read, port) for _ in range(4)))
        assert answers == [b"ERR\r\n"] * 4
        server.close()

    uvloop.run(body())
