"""collectd's binary network protocol: packets of limited size, made of parts with a type, a length and content."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping

HOST, PLUGIN, TYPE, TYPE_INSTANCE, VALUES = 0x0000, 0x0002, 0x0004, 0x0005, 0x0006
TIME_HR, INTERVAL_HR = 0x0008, 0x0009
GAUGE, DERIVE = 1, 2
MAX_PACKET_BYTES = 1452  # collectd's own limit, below which IP does not fragment a packet
PART_HEADER = struct.Struct(">HH")
MAX_TEXT_BYTES = 127  # without the terminating zero byte


def text_part(part_type: int, text: str) -> bytes:
    """Return a part that holds a text, truncated to MAX_TEXT_BYTES."""
    raw = text.encode("utf-8")[:MAX_TEXT_BYTES] + b"\0"
    return PART_HEADER.pack(part_type, PART_HEADER.size + len(raw)) + raw


def time_part(part_type: int, seconds: float) -> bytes:
    """Return a part that holds a high-resolution time or duration."""
    return PART_HEADER.pack(part_type, 12) + struct.pack(">Q", round(seconds * 2**30))  # in units of 2^-30 s


def values_part(part_type: int, value: float) -> bytes:
    """Return a part that holds one value; `part_type` is GAUGE or DERIVE."""
    # A gauge is a little-endian double and a derive a big-endian signed integer, as in collectd's own encoder.
    content = struct.pack("<d", value) if part_type == GAUGE else struct.pack(">q", int(value))
    return PART_HEADER.pack(VALUES, PART_HEADER.size + 2 + 1 + 8) + struct.pack(">HB", 1, part_type) + content


def packets(
    host: str, counters: Mapping[str, float], gauges: Mapping[str, float], time_s: float, interval_s: float
) -> Iterator[bytes]:
    """Yield packets that together hold all values; each can be decoded alone.

    Args:
        host: The host name under which collectd stores the values.
        counters: Counters by name, sent as DERIVE, from which collectd computes rates.
        gauges: Gauges by name.
        time_s: Unix time in seconds.
        interval_s: Seconds until the next report.
    """
    head = (
        text_part(HOST, host)
        + time_part(TIME_HR, time_s)
        + time_part(INTERVAL_HR, interval_s)
        + text_part(PLUGIN, "yarrowspindle")
    )
    packet = head
    for part_type, name, values in ((DERIVE, "derive", counters), (GAUGE, "gauge", gauges)):
        for instance, value in values.items():
            part = text_part(TYPE, name) + text_part(TYPE_INSTANCE, instance) + values_part(part_type, value)
            if len(packet) + len(part) > MAX_PACKET_BYTES:
                yield packet
                packet = head
            packet += part
    if packet != head:
        yield packet
