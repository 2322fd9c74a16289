"""Allocation of ports to the processes of a parallel test run, so that no two tests bind the same port."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Iterator
from functools import cache

# The ports lie below Linux's ephemeral range (from 32768), from which the kernel serves each connect and each bind to
# port 0. So no other program gets a port between its allocation and its use, or after a test has closed it and relies
# on connections to it being refused.
FIRST_PORT, PORTS_PER_PROCESS, MAX_PROCESSES = 12_000, 400, 50


@cache
def reserved_ports() -> tuple[socket.socket, Iterator[int]]:
    """Reserve a range of ports for this process.

    Returns:
        The socket that reserves the range, bound to its first port until the process ends, and an endless iterator
        over the other ports.
    """
    for first_port in range(FIRST_PORT, FIRST_PORT + PORTS_PER_PROCESS * MAX_PROCESSES, PORTS_PER_PROCESS):
        lock_socket = socket.socket()
        try:
            lock_socket.bind(("127.0.0.1", first_port))
        except OSError:
            lock_socket.close()
        else:
            return lock_socket, itertools.cycle(range(first_port + 1, first_port + PORTS_PER_PROCESS))
    raise RuntimeError(f"all {MAX_PROCESSES} port ranges for test processes are in use")


def loopback_prefix() -> str:
    """Return the first two octets of loopback addresses that no other test process uses."""
    return f"127.{200 + (reserved_ports()[0].getsockname()[1] - FIRST_PORT) // PORTS_PER_PROCESS}"


def is_free(port: int) -> bool:
    """Return whether the port of 127.0.0.1 is free for TCP and for UDP."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_port() -> int:
    """Return the next port of this process's range that is free on 127.0.0.1, for TCP and for UDP."""
    return next(port for port in itertools.islice(reserved_ports()[1], PORTS_PER_PROCESS) if is_free(port))
