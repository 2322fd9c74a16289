"""Kernel timestamps of sockets: when the peer's data or close arrived and when the last data was sent.

They do not depend on how late this process reads or writes.
"""

from __future__ import annotations

import socket
import struct
import time

SO_TIMESTAMPNS = 35  # of asm-generic/socket.h: receive timestamps by the wall clock
TIMESPEC = struct.Struct("@qq")
ANCILLARY_BYTES = 128
# Fields of struct tcp_info in linux/tcp.h, in milliseconds: tcpi_last_data_sent (since the last data was sent, or since
# the connection was established if none was), tcpi_last_data_recv and tcpi_last_ack_recv (since the last segment of any
# kind was received).
LAST_DATA_SENT_OFFSET = 44
LAST_DATA_RECEIVED_OFFSET, LAST_ACK_RECEIVED_OFFSET = 52, 56
UINT32 = struct.Struct("@I")
TCP_INFO_BYTES = LAST_ACK_RECEIVED_OFFSET + UINT32.size
CLOCK_TICK_S = 0.01  # longest tick of the kernel clock (jiffies) from which tcp_info is read


def enable_receive_timestamps(sock: socket.socket) -> None:
    """Enable receive timestamps, which `read_byte_with_age` needs.

    The kernel starts to take timestamps shortly after the first socket on the machine enables them, and stops when the
    last such socket is closed.
    """
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def read_byte_with_age(sock: socket.socket) -> tuple[bytes, float]:
    """Return one byte, b"" if the peer has closed, and the seconds since it arrived; 0 if the kernel took no timestamp.

    Raises:
        OSError: as by `recv`.
    """
    data, ancillary, _, _ = sock.recvmsg(1, ANCILLARY_BYTES)
    for level, kind, value in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
            seconds, nanoseconds = TIMESPEC.unpack(value[: TIMESPEC.size])
            return data, max(0.0, time.time() - seconds - nanoseconds / 1e9)
    return data, 0.0


def data_age_s(sock: socket.socket | None) -> float:
    """Return the seconds since the last data arrived; 0 if that is unknown or within one tick of the kernel clock.

    The 0 preserves the order of reads for data that is read as it arrives.
    """
    return _zero_within_tick(_age_s(sock, LAST_DATA_RECEIVED_OFFSET))


def close_age_s(sock: socket.socket | None) -> float:
    """Return the seconds since the peer's close arrived; 0 if that is unknown or within one tick of the kernel clock.

    Valid only if nothing was sent after the close: the acknowledgement of sent data resets the time.
    """
    return _zero_within_tick(_age_s(sock, LAST_ACK_RECEIVED_OFFSET))


def last_sent_age_s(sock: socket.socket) -> float:
    """Return the seconds since data was last sent, or since the connection was established if none was.

    The resolution is one tick of the kernel clock; 0 if the time is unknown.
    """
    return _age_s(sock, LAST_DATA_SENT_OFFSET)


def _zero_within_tick(age_s: float) -> float:
    return age_s if age_s > CLOCK_TICK_S else 0.0


def _age_s(sock: socket.socket | None, offset: int) -> float:
    if sock is None:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    return int(UINT32.unpack_from(info, offset)[0]) / 1000.0
