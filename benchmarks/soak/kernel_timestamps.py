"""When the peer's bytes or end arrived in this machine's kernel, and when ours left, however late this process is."""

from __future__ import annotations

import socket
import struct
import time

SO_TIMESTAMPNS = 35  # of asm-generic/socket.h: the kernel notes the wall clock's time of what arrives
TIMESPEC = struct.Struct("@qq")
ANCILLARY_BYTES = 128
# Of struct tcp_info in linux/tcp.h: milliseconds since the newest data left, or the connection came up where none has
# left; since the newest data came; since the newest segment of any kind came.
LAST_DATA_SENT_OFFSET = 44
LAST_DATA_RECEIVED_OFFSET, LAST_ACK_RECEIVED_OFFSET = 52, 56
UINT32 = struct.Struct("@I")
TCP_INFO_BYTES = LAST_ACK_RECEIVED_OFFSET + UINT32.size
CLOCK_TICK_S = 0.01  # at the most, of the kernel's clock behind these


def enable_receive_timestamps(sock: socket.socket) -> None:
    """Lets `read_first_byte` know when a byte arrived.

    The kernel begins to note times a little after the first socket on the machine asks for it, and ends with the last.
    """
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def read_byte_with_age(sock: socket.socket) -> tuple[bytes, float]:
    """Reads one byte; returns it with its age in seconds. Raises OSError as `recv` does; b"" is the peer's end."""
    data, ancillary, _, _ = sock.recvmsg(1, ANCILLARY_BYTES)
    for level, kind, value in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
            seconds, nanoseconds = TIMESPEC.unpack(value[: TIMESPEC.size])
            return data, max(0.0, time.time() - seconds - nanoseconds / 1e9)
    return data, 0.0


def data_age_s(sock: socket.socket | None) -> float:
    """How long ago the newest data arrived, to a tick of the kernel; 0 where that is less than a tick, or not known.

    So what is read as it arrives keeps the order in which it is read.
    """
    return _zero_within_tick(_age_s(sock, LAST_DATA_RECEIVED_OFFSET))


def close_age_s(sock: socket.socket | None) -> float:
    """The same of the peer's end, where nothing was sent since it came."""
    return _zero_within_tick(_age_s(sock, LAST_ACK_RECEIVED_OFFSET))


def last_sent_age_s(sock: socket.socket) -> float:
    """How long ago our newest data left, or the connection came up where none has left; to a tick of the kernel."""
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
