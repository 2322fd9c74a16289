"""The form in which processes of one relay pass the endpoint list on: as messages, and as a file for later processes.

Both forms are JSON, with the entries as discovery sends them.

A message is one part of an update:

    {"relay": "n3", "numbering": 0, "notified_at_ms": 1764950400000.0, "kind": "changes", "last": true,
     "revision": 43, "members": [...]}

A file is a line with the header, then the list, whose length in bytes and CRC-32 the header states:

    {"format": 1, "relay": "n3", "listen": "10.0.0.4:3000", "numbering": 0, "revision": 43,
     "notified_at_ms": 1764950400000.0, "length": 5120, "crc32": 3632233996}
    {"revision": 43, "complete": true, "members": [...]}
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.protocol.endpoint_list import MAX_TIME_MS, STATES, ListError, ZoneAndKindNames, parse_list
from yarrowspindle.routing.events import Endpoint

FILE_FORMAT = 1
MAX_HEADER_BYTES = 4096
MAX_VERSION = 1 << 62
MAX_PART_BYTES = 1 << 15  # of the entries in one message: what a process parses in one turn of its event loop
PHASES = {state: phase for phase, state in STATES.items()}


@dataclass(frozen=True, slots=True, order=True)
class ListVersion:
    """A version of the endpoint list that is comparable after discovery has begun its version numbers anew.

    Attributes:
        numbering: how many times the processes of the relay have seen that, one after the other.
        number: the version number of discovery.
    """

    numbering: int = 0
    number: int = 0


class PartKind(StrEnum):
    """What a message between processes contains."""

    ANNOUNCEMENT = "announcement"  # no entries: the version that the sender holds
    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # a part of all entries


@dataclass(slots=True)
class ListPart:
    """A part of an update that one process of a relay passes to another.

    Attributes:
        relay: the name of the relay.
        version: the version of the update.
        notified_at_ms: Unix time in milliseconds at which discovery sent it to a process of the relay; 0: to none.
        kind: what it contains.
        last: whether the update has no further parts.
        endpoints: the entries; one in the state GONE was removed.
    """

    relay: str
    version: ListVersion
    notified_at_ms: float
    kind: PartKind
    last: bool
    endpoints: list[Endpoint]


@dataclass(slots=True)
class StoredList:
    """Entries of the endpoint list as a process of the relay held them; the members are those of `ListPart`."""

    version: ListVersion
    notified_at_ms: float
    endpoints: list[Endpoint]


@dataclass(frozen=True, slots=True)
class FileHeader:
    """The first line of a file.

    Attributes:
        version: the version of the list.
        notified_at_ms: Unix time in milliseconds at which discovery sent it to a process of the relay.
        length: the length of the list in bytes.
        crc32: the checksum of the list.
    """

    version: ListVersion
    notified_at_ms: float
    length: object
    crc32: object


class EntryEncoder:
    """Encodes entries of the endpoint list in discovery's form, and keeps the bytes of those that did not change."""

    def __init__(self, names: ZoneAndKindNames) -> None:
        self._names = names
        self._encoded: dict[str, tuple[Endpoint, bytes]] = {}

    def encode(self, endpoint: Endpoint) -> bytes:
        """Return the entry as JSON."""
        entry: dict[str, Any] = {
            "id": endpoint.name,
            "host_port": "{}:{}".format(*endpoint.address),
            "cell": endpoint.cell,
            "phase": PHASES[endpoint.state],
            "size": endpoint.capacity,
            "up_since_ms": endpoint.started_ms,
        }
        if endpoint.zone < len(self._names.zones):
            entry["locality"] = self._names.zones[endpoint.zone]
        if endpoint.kind < len(self._names.kinds):
            entry["flavor"] = self._names.kinds[endpoint.kind]
        return json.dumps(entry, separators=(",", ":")).encode()

    def encode_list(self, endpoints: Iterable[Endpoint]) -> list[bytes]:
        """Return the entries of a complete list; those of the last such list are not encoded again."""
        previous, self._encoded = self._encoded, {}
        for endpoint in endpoints:
            known = previous.get(endpoint.name)
            if known is None or (known[0] is not endpoint and known[0] != endpoint):
                known = endpoint, self.encode(endpoint)
            self._encoded[endpoint.name] = known
        return [data for _, data in self._encoded.values()]


def parts_of(entries: Iterable[bytes]) -> Iterator[tuple[list[bytes], bool]]:
    """Divide encoded entries into parts of about MAX_PART_BYTES, and yield each with whether it is the last one."""
    part: list[bytes] = []
    size = 0
    for entry in entries:
        if part and size + len(entry) > MAX_PART_BYTES:
            yield part, False
            part, size = [], 0
        part.append(entry)
        size += len(entry)
    yield part, True


def encode_part(part: ListPart, entries: list[bytes]) -> bytes:
    """Return the message of a part, with these encoded entries in place of `part.endpoints`."""
    header = {
        "relay": part.relay,
        "numbering": part.version.numbering,
        "notified_at_ms": part.notified_at_ms,
        "kind": part.kind.value,
        "last": part.last,
        "revision": part.version.number,
    }
    return _with_members(header, entries)


def decode_part(data: bytes, names: ZoneAndKindNames) -> ListPart:
    """Return the part. Raise ListError if the message is invalid."""
    fields = _parse_object(data)
    if fields.get("kind") not in set(PartKind):
        raise ListError(f"not a kind of update: {fields.get('kind')!r}")
    return ListPart(
        relay=str(fields.get("relay")),
        version=_version_of(fields),
        notified_at_ms=_time_of(fields),
        kind=PartKind(fields["kind"]),
        last=fields.get("last") is True,
        endpoints=parse_list(fields, names, ListKind.SHARED).endpoints,
    )


def encode_file(stored: StoredList, entries: list[bytes], relay: str, listen: str) -> bytes:
    """Return the content of the file of a relay, with these encoded entries in place of `stored.endpoints`."""
    body = _with_members({"revision": stored.version.number, "complete": True}, entries)
    header = {
        "format": FILE_FORMAT,
        "relay": relay,
        "listen": listen,
        "numbering": stored.version.numbering,
        "revision": stored.version.number,
        "notified_at_ms": stored.notified_at_ms,
        "length": len(body),
        "crc32": zlib.crc32(body),
    }
    return json.dumps(header).encode() + b"\n" + body


def decode_header(data: bytes, relay: str, listen: str) -> FileHeader:
    """Return the header of a file from its first bytes.

    Raises:
        ListError: the bytes do not begin with the header of a file of this format and this relay.
    """
    line, line_break, _ = data.partition(b"\n")
    if not line_break:
        raise ListError("the header of the file is incomplete")
    fields = _parse_object(line)
    if fields.get("format") != FILE_FORMAT:
        raise ListError(f"the file has the format {fields.get('format')!r}, expected {FILE_FORMAT}")
    if (fields.get("relay"), fields.get("listen")) != (relay, listen):
        raise ListError(f"the file belongs to {fields.get('relay')!r} at {fields.get('listen')!r}")
    return FileHeader(_version_of(fields), _time_of(fields), fields.get("length"), fields.get("crc32"))


def decode_file(data: bytes, names: ZoneAndKindNames, relay: str, listen: str) -> StoredList:
    """Return the list of a file. Raise ListError if it is truncated, corrupt, or not of this format and relay."""
    header = decode_header(data, relay, listen)
    body = data.partition(b"\n")[2]
    if (len(body), zlib.crc32(body)) != (header.length, header.crc32):
        raise ListError("the file is truncated or corrupt")
    entries = parse_list(_parse_object(body), names, ListKind.CACHED).endpoints
    endpoints = [endpoint for endpoint in entries if endpoint.state is not EndpointState.GONE]
    return StoredList(header.version, header.notified_at_ms, endpoints)


def _with_members(fields: dict[str, Any], entries: list[bytes]) -> bytes:
    """Return a JSON object with these fields and the encoded entries as `members`."""
    return json.dumps(fields).encode()[:-1] + b', "members": [' + b",".join(entries) + b"]}"


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ListError(f"not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise ListError("not a JSON object")
    return fields


def _version_of(fields: dict[str, Any]) -> ListVersion:
    numbers = fields.get("numbering"), fields.get("revision")
    if not all(type(number) is int and 0 <= number < MAX_VERSION for number in numbers):
        raise ListError(f"not a version of a list: {numbers!r}")
    return ListVersion(fields["numbering"], fields["revision"])


def _time_of(fields: dict[str, Any]) -> float:
    value = fields.get("notified_at_ms")
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value <= MAX_TIME_MS:
        raise ListError(f"not a time in milliseconds: {value!r}")
    return float(value)
