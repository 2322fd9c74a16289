"""The form of the endpoint list between processes of a relay, as a message and as a file."""

from __future__ import annotations

import json
import re
from dataclasses import replace

import pytest

from tests.stand_ins import ROOT
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.protocol.endpoint_list import ListError, ZoneAndKindNames
from yarrowspindle.protocol.shared_list import (
    MAX_PART_BYTES,
    EntryEncoder,
    ListPart,
    ListVersion,
    PartKind,
    StoredList,
    decode_file,
    decode_header,
    decode_part,
    encode_file,
    encode_part,
    parts_of,
)
from yarrowspindle.routing.events import Endpoint

NAMES = ZoneAndKindNames(["a", "b"], ["m1", "m2"])
READY = Endpoint("s-1", ("10.1.0.18", 3000), EndpointState.READY, 1, 3, 1, 1.5, 1700000000000.0)
DRAINING = Endpoint("s-2", ("10.1.0.19", 3000), EndpointState.DRAINING)
GONE = Endpoint("s-3", ("10.1.0.20", 3000), EndpointState.GONE)
VERSION = ListVersion(1, 43)
NOTIFIED_AT_MS = 1764950400000.0
STORED = StoredList(VERSION, NOTIFIED_AT_MS, [READY, DRAINING])
PART = ListPart("n3", VERSION, NOTIFIED_AT_MS, PartKind.CHANGES, True, [DRAINING, GONE])
# Another build of the relay reads these bytes in an upgrade.
FORMS: dict[str, str] = json.loads((ROOT / "tests" / "forms" / "shared_list.json").read_text(encoding="utf-8"))
FILE_BYTES, PART_BYTES = FORMS["file"].encode(), FORMS["message"].encode()


def entries(endpoints: list[Endpoint]) -> list[bytes]:
    return EntryEncoder(NAMES).encode_list(endpoints)


def test_a_file_has_the_recorded_form() -> None:
    assert encode_file(STORED, entries(STORED.endpoints), "n3", "10.0.0.4:3000") == FILE_BYTES
    assert decode_file(FILE_BYTES, NAMES, "n3", "10.0.0.4:3000") == STORED
    header = decode_header(FILE_BYTES[:200], "n3", "10.0.0.4:3000")
    assert (header.version, header.notified_at_ms) == (VERSION, NOTIFIED_AT_MS)


def test_a_message_has_the_recorded_form() -> None:
    assert encode_part(PART, entries(PART.endpoints)) == PART_BYTES
    assert decode_part(PART_BYTES, NAMES) == PART


@pytest.mark.parametrize("cut", [0, 40, 160, len(FILE_BYTES) - 1])
def test_a_truncated_file_is_rejected(cut: int) -> None:
    with pytest.raises(ListError):
        decode_file(FILE_BYTES[:cut], NAMES, "n3", "10.0.0.4:3000")


@pytest.mark.parametrize(
    ("data", "relay", "listen", "reason"),
    [
        (FILE_BYTES, "n4", "10.0.0.4:3000", "the file belongs to 'n3' at '10.0.0.4:3000'"),
        (FILE_BYTES, "n3", "10.0.0.4:3001", "the file belongs to 'n3' at '10.0.0.4:3000'"),
        (FILE_BYTES.replace(b'"format": 1', b'"format": 2'), "n3", "10.0.0.4:3000", "the file has the format 2"),
        (FILE_BYTES.replace(b"10.1.0.19", b"10.1.0.18"), "n3", "10.0.0.4:3000", "truncated or corrupt"),
        (FILE_BYTES.replace(b'"numbering": 1', b'"numbering":-1'), "n3", "10.0.0.4:3000", "not a version"),
        (FILE_BYTES.replace(b": 1764950400000.0", b": null"), "n3", "10.0.0.4:3000", "not a time"),
        (b"[]\n[]", "n3", "10.0.0.4:3000", "not a JSON object"),
    ],
)
def test_an_unusable_file_is_rejected_with_the_reason(data: bytes, relay: str, listen: str, reason: str) -> None:
    with pytest.raises(ListError, match=re.escape(reason)):
        decode_file(data, NAMES, relay, listen)


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", PART_BYTES[:-1], PART_BYTES.replace(b'"gone"', b'"away"')])
def test_an_invalid_message_is_rejected(data: bytes) -> None:
    with pytest.raises(ListError):
        decode_part(data, NAMES)


def test_a_list_that_began_its_numbers_anew_is_newer() -> None:
    assert ListVersion(0, 43) < ListVersion(0, 44) < ListVersion(1, 2)


def test_a_large_list_is_divided_and_only_changed_entries_are_encoded_again() -> None:
    fleet = [Endpoint(f"s-{number}", ("10.1.0.18", 3000)) for number in range(2000)]
    encoder = EntryEncoder(NAMES)
    encoded = encoder.encode_list(fleet)
    parts = list(parts_of(encoded))
    assert [entry for part, _ in parts for entry in part] == encoded
    assert [last for _, last in parts] == [False] * (len(parts) - 1) + [True]
    assert all(sum(map(len, part)) <= MAX_PART_BYTES for part, _ in parts)
    assert list(parts_of([])) == [([], True)]
    again = encoder.encode_list([*fleet[:-1], replace(fleet[-1], state=EndpointState.DRAINING)])
    assert all(new is old for new, old in zip(again[:-1], encoded[:-1], strict=True))
    assert json.loads(again[-1])["phase"] == "draining"
