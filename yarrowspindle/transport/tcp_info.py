"""The kernel's state of a TCP connection (TCP_INFO, tcp(7))."""

from __future__ import annotations

import asyncio
import socket
import struct

LAST_DATA_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv, in milliseconds, in struct tcp_info of linux/tcp.h
MILLISECONDS = struct.Struct("@I")
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + MILLISECONDS.size
CLOCK_TICK_MS = 10.0  # the kernel counts in clock ticks of at most 10 ms


def last_data_age_ms(transport: asyncio.BaseTransport | None) -> float:
    """Return the milliseconds since data of the peer last arrived; 0 if the system does not report it.

    An age of up to one clock tick counts as 0.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.family == socket.AF_UNIX:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (OSError, AttributeError):  # the socket is being closed, or the system has no TCP_INFO
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    age_ms = float(MILLISECONDS.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)[0])
    return age_ms if age_ms > CLOCK_TICK_MS else 0.0
