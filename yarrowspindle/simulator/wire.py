"""The simulator's wire: frames and records to plain values and back. Names and codes are those of its page."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

FRAME_HEADER = struct.Struct("<IIId")
REPLY_HEADER = struct.Struct("<III")
RECORD_HEADER = struct.Struct("<HI")

# Events.
CREATE, MEMBERS, DEMAND, STARTED, DONE, TIMED_OUT_CLIENT = 1000, 1010, 1020, 1030, 1040, 1050
WAKEUP, HEALTH, MESSAGE, KILL, ADOPTED, SIGNAL, INSTANCE = 1060, 1070, 1080, 1090, 1100, 1110, 1120

# Fixed parts of the events' bodies.
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

# Actions: code and the layout of the whole record, head included.
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
MAX_QUOTED_CHARACTERS = 60  # characters of a wrong line in an error's text
FLOAT_BYTES = 4


class WireError(Exception):
    """A frame or record does not follow the wire."""


@dataclass(slots=True, frozen=True)
class Create:
    """What creates an instance: the seed of its random source, and its settings as path=value pairs."""

    seed: int
    settings: dict[str, str]


def iterate_records(body: bytes, count: int) -> Iterator[tuple[int, int, int]]:
    """Yields the records of a frame as (code, start of the fields, end of the fields). Raises WireError."""
    offset = 0
    size = len(body)
    for _ in range(count):
        if offset + RECORD_HEADER.size > size:
            raise WireError("a record's head is cut off")
        code, length = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        if offset + length > size:
            raise WireError(f"record {code} is longer than its frame")
        yield code, offset, offset + length
        offset += length
    if offset != size:
        raise WireError("bytes are left over behind the last record")


def unpack_fields(layout: struct.Struct, body: bytes, offset: int, end: int) -> tuple[Any, ...]:
    """Returns a record's fixed fields; fields that follow them are ignored. Raises WireError."""
    if offset + layout.size > end:
        raise WireError("a record is too short for its fields")
    return layout.unpack_from(body, offset)


def unpack_load_report(body: bytes, offset: int, end: int, value_count: int) -> tuple[float, ...]:
    """Returns the n values of a load report. Raises WireError."""
    if offset + FLOAT_BYTES * value_count > end:
        raise WireError("a load report is cut off")
    return struct.unpack_from(f"<{value_count}f", body, offset)


def read_create(body: bytes, offset: int, end: int) -> Create:
    """Reads what creates an instance. Raises WireError."""
    seed, size = unpack_fields(U64_U32, body, offset, end)
    offset += U64_U32.size
    if offset + size > end:
        raise WireError("the settings are cut off")
    try:
        text = body[offset : offset + size].decode("utf-8")
    except UnicodeDecodeError as error:
        raise WireError("the settings are not UTF-8") from error
    pairs = {}
    for line in text.splitlines():
        if line.strip():
            path, equals, value = line.partition("=")
            if not equals:
                raise WireError(f"a line of the settings has no '=': {line[:MAX_QUOTED_CHARACTERS]!r}")
            pairs[path.strip()] = value.strip()
    return Create(seed, pairs)


def pack_text(code: int, text: str) -> bytes:
    """Returns a record with a text, cut to MAX_TEXT_BYTES."""
    encoded = text.encode("utf-8")[:MAX_TEXT_BYTES]
    return TEXT.pack(code, 2 + len(encoded), len(encoded)) + encoded


def pack_reply(number: int, reply_records: list[bytes]) -> bytes:
    """Returns the frame that answers the frame of this number."""
    body = b"".join(reply_records)
    return REPLY_HEADER.pack(number, len(body), len(reply_records)) + body
