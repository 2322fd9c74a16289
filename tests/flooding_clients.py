"""Clients that send at full speed, as a process of their own: `python -m tests.flooding_clients HOST:PORT ...`.

Each client connects, sends `--first` once, then `--piece` again and again, and reads what it is sent. Where its
connection ends it comes again. The last line of the output is the number of connections that were opened.
"""

from __future__ import annotations

import argparse
import asyncio
import errno
import itertools
import selectors
import socket
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PIECE_BYTES = 1 << 18
READ_BYTES = 1 << 16
CLIENT_KEY = "7f3a9c21e0b4d655"
FIRST_ID = 0x5EED << 48


@dataclass
class Load:
    """What each client sends.

    Attributes:
        first: sent once on each connection; `{id}` becomes a new request id.
        piece: repeated up to PIECE_BYTES, sent again and again; empty: nothing more is sent.
        interval_s: between two bytes of `first`; 0: all at once.
        reads: whether the client reads what it is sent.
        waits: whether `piece` is sent only once something was received.
    """

    first: str = ""
    piece: str = ""
    interval_s: float = 0.0
    reads: bool = True
    waits: bool = False


class Client:
    """One client; it connects again where its connection has ended."""

    def __init__(self, address: tuple[str, int], load: Load, ids: itertools.count[int]) -> None:
        self.address, self.load, self.ids = address, load, ids
        self.piece = load.piece.encode()
        self.piece *= PIECE_BYTES // max(1, len(self.piece)) if self.piece else 0
        self.connections = 0
        self.sock: socket.socket | None = None
        self.unsent = memoryview(b"")
        self.first_left = 0
        self.next_byte_at = 0.0
        self.answered = False

    def connect(self, selector: selectors.BaseSelector) -> None:
        """Begin to open a connection; where that fails, the next call tries again."""
        self.sock = None
        with suppress(OSError):
            sock = socket.socket()
            sock.setblocking(False)
            if sock.connect_ex(self.address) not in (0, errno.EINPROGRESS):
                sock.close()
                return
            first = self.load.first.replace("{id}", f"{next(self.ids):016x}").encode()
            self.unsent, self.first_left = memoryview(first), len(first)
            self.sock, self.answered = sock, False
            self.connections += 1
            selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def serve(self, selector: selectors.BaseSelector, events: int) -> None:
        """Read and send what is possible now."""
        assert self.sock is not None
        try:
            ended = False
            if events & selectors.EVENT_READ and (self.load.reads or not self.answered):
                ended = not self.sock.recv(READ_BYTES)
                self.answered = True
            if events & selectors.EVENT_WRITE:
                self._send()
            if ended and not self.piece:
                raise ConnectionResetError
            self._set_interest(selector, ended)
        except BlockingIOError:
            return
        except OSError:
            selector.unregister(self.sock)
            self.sock.close()
            self.connect(selector)

    def _set_interest(self, selector: selectors.BaseSelector, ended: bool) -> None:
        assert self.sock is not None
        reads = selectors.EVENT_READ if (self.load.reads or not self.answered) and not ended else 0
        writes = selectors.EVENT_WRITE if self.unsent or self._may_send_piece() else 0
        if reads | writes and selector.get_key(self.sock).events != reads | writes:
            selector.modify(self.sock, reads | writes, self)

    def _may_send_piece(self) -> bool:
        return bool(self.piece) and (self.answered or not self.load.waits)

    def _send(self) -> None:
        assert self.sock is not None
        if self.first_left and self.load.interval_s:
            if time.monotonic() < self.next_byte_at:
                return
            self.next_byte_at = time.monotonic() + self.load.interval_s
            sent = self.sock.send(self.unsent[:1])
        else:
            sent = self.sock.send(self.unsent) if self.unsent else 0
        self.unsent, self.first_left = self.unsent[sent:], max(0, self.first_left - sent)
        if not self.unsent and self._may_send_piece():
            self.unsent = memoryview(self.piece)


def flood(address: tuple[str, int], clients: int, seconds: float, load: Load, first_id: int) -> int:
    """Run these clients for this time, and return how many connections they opened."""
    selector, until = selectors.DefaultSelector(), time.monotonic() + seconds
    ids = itertools.count(first_id)
    all_clients = [Client(address, load, ids) for _ in range(clients)]
    for client in all_clients:
        client.connect(selector)
    while time.monotonic() < until:
        for key, events in selector.select(0.05):
            key.data.serve(selector, events)
        for client in all_clients:
            if client.sock is None:
                client.connect(selector)
        if load.interval_s:
            time.sleep(load.interval_s / 10.0)
    return sum(client.connections for client in all_clients)


@asynccontextmanager
async def flooding(
    port: int, clients: int, load: Load, seconds: float, first_id: int = FIRST_ID
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run such clients against a port of this machine while the block runs, for `seconds` at most."""
    arguments = [f"--clients={clients}", f"--seconds={seconds}", f"--first={load.first}", f"--piece={load.piece}"]
    arguments += [f"--interval={load.interval_s}", f"--first-id={first_id}", *([] if load.reads else ["--deaf"])]
    arguments += ["--waits"] if load.waits else []
    command = (sys.executable, "-m", "tests.flooding_clients", f"127.0.0.1:{port}", *arguments)
    process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
    try:
        yield process
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def main() -> None:
    """Parse the arguments and run the clients."""
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=1.0)
    parser.add_argument("--first", default="")
    parser.add_argument("--piece", default="")
    parser.add_argument("--interval", type=float, default=0.0)
    parser.add_argument("--deaf", action="store_true")
    parser.add_argument("--waits", action="store_true")
    parser.add_argument("--first-id", type=int, default=FIRST_ID)
    arguments = parser.parse_args()
    host, port = arguments.address.split(":")
    load = Load(arguments.first, arguments.piece, arguments.interval, not arguments.deaf, arguments.waits)
    print(flood((host, int(port)), arguments.clients, arguments.seconds, load, arguments.first_id))


if __name__ == "__main__":
    main()
