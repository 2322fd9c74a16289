"""Ports that no other process draws: tests run side by side, and beside other programs that open sockets."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Iterator
from functools import cache

# Below what Linux gives out by itself (32768 and up, to whoever binds port 0 or connects), so that between the draw of
# a port and its use nothing else gets it, nor after it was closed in a test that wants it closed.
FIRST_PORT, PORTS_PER_PROCESS, MAX_PROCESSES = 12_000, 400, 50


@cache
def reserved_ports() -> tuple[socket.socket, Iterator[int]]:
    """This process's own ports, taken in turn. Whose they are says the first of them, kept bound until its end."""
    for first_port in range(FIRST_PORT, FIRST_PORT + PORTS_PER_PROCESS * MAX_PROCESSES, PORTS_PER_PROCESS):
        lock_socket = socket.socket()
        try:
            lock_socket.bind(("127.0.0.1", first_port))
        except OSError:
            lock_socket.close()
        else:
            return lock_socket, itertools.cycle(range(first_port + 1, first_port + PORTS_PER_PROCESS))
    raise RuntimeError(f"all {MAX_PROCESSES} shares of ports are taken")


def loopback_prefix() -> str:
    """The first half of addresses of loopback that no other process of tests has."""
    return f"127.{200 + (reserved_ports()[0].getsockname()[1] - FIRST_PORT) // PORTS_PER_PROCESS}"


def is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_port() -> int:
    """A port of 127.0.0.1 that nobody has, for TCP and for UDP."""
    return next(port for port in itertools.islice(reserved_ports()[1], PORTS_PER_PROCESS) if is_free(port))
