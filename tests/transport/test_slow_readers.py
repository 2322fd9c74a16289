"""Unsent data of a connection that is being closed reaches a peer that reads slowly, on real sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop

from tests.ports import free_port
from yarrowspindle.transport.line_connection import LineConnection

LAST_LINE = b"MOVE\r\n"
SEND_BUFFER_BYTES, RECEIVE_BUFFER_BYTES = 16 * 1024, 8 * 1024
READ_INTERVAL_S = 0.05


class Sender(LineConnection):
    """A sender that writes `size` bytes once it is connected, and closes the connection gracefully."""

    def __init__(self, size: int) -> None:
        super().__init__()
        self.size = size

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.write(b"x" * self.size)
        self.finish(LAST_LINE)


async def read_slowly(port: int, bytes_per_s: int, line_interval_s: float = 0.0) -> bytes:
    """Read up to the end of the stream; send a line at an interval, if one is given, as connected clients do."""
    loop = asyncio.get_running_loop()
    reader = socket.socket()
    reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    reader.setblocking(False)
    await loop.sock_connect(reader, ("127.0.0.1", port))
    received, sent_at = b"", loop.time()
    try:
        while piece := await loop.sock_recv(reader, int(bytes_per_s * READ_INTERVAL_S)):
            received += piece
            if line_interval_s and loop.time() >= sent_at + line_interval_s:
                sent_at = loop.time()
                await loop.sock_sendall(reader, b"a line\r\n")
            await asyncio.sleep(READ_INTERVAL_S)
    except ConnectionError:
        pass
    finally:
        reader.close()
    return received


@pytest.mark.parametrize("line_interval_s", (0.0, 0.4))
@pytest.mark.parametrize(("size", "bytes_per_s"), ((400_000, 400_000), (150_000, 60_000)))
def test_a_slow_reader_receives_all_data_up_to_the_last_line(
    size: int, bytes_per_s: int, line_interval_s: float
) -> None:
    async def body() -> None:
        port = free_port()
        server = await asyncio.get_running_loop().create_server(lambda: Sender(size), "127.0.0.1", port)
        received = await read_slowly(port, bytes_per_s, line_interval_s)
        assert (len(received), received[-len(LAST_LINE) :]) == (size + len(LAST_LINE), LAST_LINE)
        server.close()

    uvloop.run(body())


def test_a_peer_that_reads_nothing_is_disconnected() -> None:
    """Guard against a peer that occupies a descriptor for ever because unsent data is left for it."""

    async def body() -> None:
        port, loop = free_port(), asyncio.get_running_loop()
        senders: list[Sender] = []

        def make_sender() -> Sender:
            senders.append(Sender(4_000_000))
            return senders[-1]

        server = await loop.create_server(make_sender, "127.0.0.1", port)
        reader = socket.create_connection(("127.0.0.1", port))
        deadline = loop.time() + 6.0
        while not senders or senders[0].open_transport:
            assert loop.time() < deadline, "the connection is still open"
            await asyncio.sleep(0.05)
        reader.close()
        server.close()

    uvloop.run(body())
