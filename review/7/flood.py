"""Bad clients: each sends a line without end at full speed, reads what it is sent, and comes again once it is ended."""

from __future__ import annotations

import selectors
import socket
import sys
import time
from contextlib import suppress

CHUNK = b"x" * (1 << 18)


def connect(address: tuple[str, int]) -> socket.socket:
    """Return a connection that does not block."""
    sock = socket.create_connection(address, 5.0)
    sock.setblocking(False)
    return sock


def serve(selector: selectors.BaseSelector, sock: socket.socket, events: int, address: tuple[str, int]) -> None:
    """Read and send; connect again where the relay has ended the connection."""
    try:
        if events & selectors.EVENT_READ:
            sock.recv(4096)
        if events & selectors.EVENT_WRITE:
            sock.send(CHUNK)
    except BlockingIOError:
        return
    except OSError:
        selector.unregister(sock)
        sock.close()
        with suppress(OSError):
            selector.register(connect(address), selectors.EVENT_READ | selectors.EVENT_WRITE)


def main() -> None:
    """Run this number of clients for this time."""
    address, clients, until = (sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), time.monotonic() + float(sys.argv[4])
    selector = selectors.DefaultSelector()
    for _ in range(clients):
        selector.register(connect(address), selectors.EVENT_READ | selectors.EVENT_WRITE)
    ended_reading: set[socket.socket] = set()
    while time.monotonic() < until:
        for key, events in selector.select(0.1):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            serve(selector, sock, events, address)
            if events & selectors.EVENT_READ and sock.fileno() >= 0 and sock not in ended_reading:
                ended_reading.add(sock)  # it has read its answer and the end of the stream, and sends on
                selector.modify(sock, selectors.EVENT_WRITE)


if __name__ == "__main__":
    main()
