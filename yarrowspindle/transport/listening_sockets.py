"""Whether another process listens at the same address: during an upgrade two processes of a relay do.

The processes share nothing else, so this is how one learns of the other. Source: /proc/net/tcp, see proc(5).
"""

from __future__ import annotations

import os
import socket
import sys
from collections.abc import Iterator
from pathlib import Path

from yarrowspindle.routing.address import Address

TCP_TABLE = Path("/proc/net/tcp")
LISTEN = "0A"  # state in that table, which lists the listening sockets first
LOCAL_ADDRESS, STATE, INODE = 1, 3, 9  # columns


def other_process_listens(address: Address, own: socket.socket | None = None) -> bool:
    """Return whether a socket other than `own` listens at this IPv4 address; False if the system does not tell.

    Args:
        address: the host, as an IPv4 address in dotted form, and the port.
        own: the listening socket of this process; None before it listens.
    """
    try:
        local_address = _table_address(address)
        own_inode = str(os.fstat(own.fileno()).st_ino) if own is not None else ""
        with TCP_TABLE.open(encoding="ascii") as table:
            return any(row[LOCAL_ADDRESS] == local_address and row[INODE] != own_inode for row in _listening(table))
    except (OSError, ValueError, IndexError):  # another system, another form of the table, or an address by name
        return False


def _listening(table: Iterator[str]) -> Iterator[list[str]]:
    """Yield the rows of the listening sockets; a table of many connections is not read beyond them."""
    next(table, "")  # the header
    for line in table:
        row = line.split()
        if row[STATE] != LISTEN:
            return
        yield row


def _table_address(address: Address) -> str:
    host, port = address
    return f"{int.from_bytes(socket.inet_aton(host), sys.byteorder):08X}:{port:04X}"
