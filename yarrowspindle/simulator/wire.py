"""The simulator's wire: frames and records to plain values and back. Names and codes are those of its page."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

HEAD = struct.Struct("<IIId")
REPLY_HEAD = struct.Struct("<III")
RECORD = struct.Struct("<HI")

# Events.
CREATE, MEMBERS, DEMAND, STARTED, DONE, TIMED_OUT_CLIENT = 1000, 1010, 1020, 1030, 1040, 1050
WAKEUP, HEALTH, MESSAGE, KILL, ADOPTED, SIGNAL, INSTANCE = 1060, 1070, 1080, 1090, 1100, 1110, 1120

# Fixed parts of the events' bodies.
U32 = struct.Struct("<I")
U64_U32 = struct.Struct("<QI")
MEMBERS_HEAD = struct.Struct("<BII")
ENTRY = struct.Struct("<IBBHBfd")
DEMAND_BODY = struct.Struct("<IHIQddQH")
STARTED_BODY = struct.Struct("<IHdI")
DONE_BODY = struct.Struct("<IHIBHdB")
HEALTH_BODY = struct.Struct("<IHdB")
MESSAGE_HEAD = struct.Struct("<HH")
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
MAX_QUOTED = 60  # characters of a wrong line in an error's text
FLOAT_BYTES = 4


class WireError(Exception):
    """A frame or record does not follow the wire."""


@dataclass(slots=True, frozen=True)
class Create:
    """What creates an instance: the seed of its random source, and its settings as path=value pairs."""

    seed: int
    settings: dict[str, str]


def records(body: bytes, count: int) -> Iterator[tuple[int, int, int]]:
    """Yields the records of a frame as (code, start of the fields, end of the fields). Raises WireError."""
    at = 0
    size = len(body)
    for _ in range(count):
        if at + RECORD.size > size:
            raise WireError("a record's head is cut off")
        code, length = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + length > size:
            raise WireError(f"record {code} is longer than its frame")
        yield code, at, at + length
        at += length
    if at != size:
        raise WireError("bytes are left over behind the last record")


def fields(layout: struct.Struct, body: bytes, at: int, end: int) -> tuple[Any, ...]:
    """Returns a record's fixed fields; fields that follow them are ignored. Raises WireError."""
    if at + layout.size > end:
        raise WireError("a record is too short for its fields")
    return layout.unpack_from(body, at)


def report(body: bytes, at: int, end: int, n: int) -> tuple[float, ...]:
    """Returns the n values of a load report. Raises WireError."""
    if at + FLOAT_BYTES * n > end:
        raise WireError("a load report is cut off")
    return struct.unpack_from(f"<{n}f", body, at)


def read_create(body: bytes, at: int, end: int) -> Create:
    """Reads what creates an instance. Raises WireError."""
    seed, size = fields(U64_U32, body, at, end)
    at += U64_U32.size
    if at + size > end:
        raise WireError("the settings are cut off")
    try:
        text = body[at : at + size].decode("utf-8")
    except UnicodeDecodeError as error:
        raise WireError("the settings are not UTF-8") from error
    pairs = {}
    for line in text.splitlines():
        if line.strip():
            path, equals, value = line.partition("=")
            if not equals:
                raise WireError(f"a line of the settings has no '=': {line[:MAX_QUOTED]!r}")
            pairs[path.strip()] = value.strip()
    return Create(seed, pairs)


def text_action(code: int, text: str) -> bytes:
    """Returns a record with a text, cut to MAX_TEXT_BYTES."""
    raw = text.encode("utf-8")[:MAX_TEXT_BYTES]
    return TEXT.pack(code, 2 + len(raw), len(raw)) + raw


def reply(number: int, parts: list[bytes]) -> bytes:
    """Returns the frame that answers the frame of this number."""
    body = b"".join(parts)
    return REPLY_HEAD.pack(number, len(body), len(parts)) + body
