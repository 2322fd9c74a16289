"""Wire format of the simulator: decode frames and records, and encode replies.

Names and codes are those of its specification.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

FRAME_HEADER = struct.Struct("<IIId")
REPLY_HEADER = struct.Struct("<III")
RECORD_HEADER = struct.Struct("<HI")

# Codes of the events.
CREATE, MEMBERS, DEMAND, STARTED, DONE, TIMED_OUT_CLIENT = 1000, 1010, 1020, 1030, 1040, 1050
WAKEUP, HEALTH, MESSAGE, KILL, ADOPTED, SIGNAL, INSTANCE = 1060, 1070, 1080, 1090, 1100, 1110, 1120

# Layouts of the fixed parts of the events.
U32 = struct.Struct("<I")
U64_U32 = struct.Struct("<QI")
MEMBERS_HEADER = struct.Struct("<BII")
MEMBERS_ENTRY = struct.Struct("<IBBHBfd")
DEMAND_BODY = struct.Struct("<IHIQddQH")
STARTED_BODY = struct.Struct("<IHdI")
DONE_BODY = struct.Struct("<IHIBHdB")
HEALTH_BODY = struct.Struct("<IHdB")
MESSAGE_HEADER = struct.Struct("<HH")
ADOPTED_BODY = struct.Struct("<IddQIQIHH")
SIGNAL_BODY = struct.Struct("<IIBfH")

# Actions: the layouts of whole records, with their headers, and their codes.
SPEAKING = struct.Struct("<HII")
ROUTE = struct.Struct("<HIIId")
BOUNCE = struct.Struct("<HIId")
NOTIFY_ME = struct.Struct("<HIdI")
ONE_ID = struct.Struct("<HII")
UNDO_SEND = struct.Struct("<HIIH")
LISTEN = struct.Struct("<HIB")
TEXT = struct.Struct("<HIH")
BAIL_OUT_CODE, UNDO_SEND_CODE, ROUTE_CODE, ASK_LOAD_CODE = 1000, 1010, 1020, 1030
BOUNCE_CODE, NOTIFY_ME_CODE = 1050, 1070
JOURNAL_LINE_CODE, GIVE_UP_CODE, LISTEN_CODE, SPEAKING_CODE, RELOCATE_CODE = 1080, 1090, 1100, 1120, 1130


MAX_TEXT_BYTES = 1000
MAX_QUOTED_CHARACTERS = 60  # of an invalid line in an error message
FLOAT_BYTES = 4


class WireError(Exception):
    """A frame or record is malformed."""


@dataclass(slots=True, frozen=True)
class Create:
    """The content of a CREATE record.

    Attributes:
        seed: The seed of the instance's random source.
        settings: The settings of the instance, by their paths.
    """

    seed: int
    settings: dict[str, str]


def iterate_records(body: bytes, count: int) -> Iterator[tuple[int, int, int]]:
    """Yield the records of a frame as (code, start of the fields, end of the fields).

    Args:
        body: The frame without its header.
        count: The number of records.

    Raises:
        WireError: A record is truncated, or bytes follow the last one.
    """
    offset = 0
    size = len(body)
    for _ in range(count):
        if offset + RECORD_HEADER.size > size:
            raise WireError(f"record header truncated: got {size - offset} of {RECORD_HEADER.size} bytes")
        code, record_size = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        if offset + record_size > size:
            raise WireError(f"record {code} truncated: got {size - offset} of {record_size} bytes")
        yield code, offset, offset + record_size
        offset += record_size
    if offset != size:
        raise WireError(f"{size - offset} bytes after the last record of the frame")


def unpack_fields(layout: struct.Struct, body: bytes, offset: int, end: int) -> tuple[Any, ...]:
    """Return the fixed fields of a record; fields that follow them are ignored.

    Args:
        layout: The layout of the fields.
        body: The frame without its header.
        offset: The start of the fields.
        end: The end of the record.

    Raises:
        WireError: The record is too short.
    """
    if offset + layout.size > end:
        raise WireError(f"record truncated: got {end - offset} of {layout.size} bytes of its fields")
    return layout.unpack_from(body, offset)


def unpack_load_report(body: bytes, offset: int, end: int, value_count: int) -> tuple[float, ...]:
    """Return the values of a load report.

    Raises:
        WireError: The load report is truncated.
    """
    if offset + FLOAT_BYTES * value_count > end:
        raise WireError(f"load report truncated: {end - offset} bytes for {value_count} values")
    return struct.unpack_from(f"<{value_count}f", body, offset)


def read_create(body: bytes, offset: int, end: int) -> Create:
    """Decode a CREATE record.

    Raises:
        WireError: The record is truncated, or its settings are not lines of path=value in UTF-8.
    """
    seed, text_size = unpack_fields(U64_U32, body, offset, end)
    offset += U64_U32.size
    if offset + text_size > end:
        raise WireError(f"settings truncated: got {end - offset} of {text_size} bytes")
    try:
        text = body[offset : offset + text_size].decode("utf-8")
    except UnicodeDecodeError as error:
        raise WireError(f"settings are not UTF-8: {error}") from error
    settings = {}
    for line in text.splitlines():
        if line.strip():
            path, equals, value = line.partition("=")
            if not equals:
                raise WireError(f"settings line {line[:MAX_QUOTED_CHARACTERS]!r} has no '='; expected path=value")
            settings[path.strip()] = value.strip()
    return Create(seed, settings)


def pack_text(code: int, text: str) -> bytes:
    """Return a record with a text, truncated to MAX_TEXT_BYTES bytes."""
    encoded = text.encode("utf-8")[:MAX_TEXT_BYTES]
    return TEXT.pack(code, 2 + len(encoded), len(encoded)) + encoded


def pack_reply(number: int, reply_records: list[bytes]) -> bytes:
    """Return the frame that answers the frame with this number."""
    body = b"".join(reply_records)
    return REPLY_HEADER.pack(number, len(body), len(reply_records)) + body
