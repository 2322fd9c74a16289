"""The endpoint list: the request for a watch, and its answer as it streams in."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field

import httptools

from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated

STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}
HTTP_OK = 200
MAX_LIST_BYTES = 4 << 20  # of one object, indented or not
MAX_PORT, MAX_CELL, MAX_SIZE = 65_535, 1e9, 1e9
MAX_TIME_MS = 1e14  # of a Unix time: the year 5138
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListError(Exception):
    """An answer that discovery should not have given."""


@dataclass(slots=True, frozen=True)
class ZoneAndKindNames:
    """Names of zones and kinds, as the settings have them."""

    zones: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)


def index_of(names: list[str], name: object) -> int:
    """Returns the position of the name; 0 where the settings do not have it."""
    return names.index(name) if isinstance(name, str) and name in names else 0


def parse_address(text: str) -> Address:
    """Reads `host:port`. Raises ListError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ListError(f"not an address: {text!r}")
    return host, int(port)


def parse_name(value: object) -> str:
    """Returns a name, which is not empty. Raises ListError."""
    if not isinstance(value, str) or not value:
        raise ListError(f"not a name: {value!r}")
    return value


def parse_number(value: object, default: float, maximum: float) -> float:
    """Returns a number from 0 up to `maximum`; the default where it is absent or 0. Raises ListError."""
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value <= maximum:
        raise ListError(f"not a figure from 0 to {maximum:g}: {value!r}")
    return float(value) or default


def parse_list(data: object, names: ZoneAndKindNames, kind: ListKind | None = None) -> EndpointsUpdated:
    """Reads a list in discovery's form. Raises ListError.

    kind: None where the list itself says whether it is the whole.
    """
    if not isinstance(data, dict) or not isinstance(data.get("members"), list):
        raise ListError("a list without members")
    try:
        endpoints = [
            Endpoint(
                name=parse_name(m["id"]),
                address=parse_address(m["host_port"]),
                state=STATES[m["phase"]],
                zone=index_of(names.zones, m.get("locality")),
                cell=int(parse_number(m.get("cell"), 0.0, MAX_CELL)),
                kind=index_of(names.kinds, m.get("flavor")),
                capacity=parse_number(m.get("size"), 1.0, MAX_SIZE),
                started_ms=parse_number(m.get("up_since_ms"), 0.0, MAX_TIME_MS),
            )
            for m in data["members"]
        ]
        version = int(data.get("revision") or 0)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"a member that makes no sense: {error!r}") from error
    if kind is None:
        kind = ListKind.FULL if data.get("complete") else ListKind.DELTA
    return EndpointsUpdated(kind, endpoints, version)


def watch_request(host: str, version: int) -> bytes:
    """Returns the call that opens a watch, from the version on that is known."""
    return (
        f"GET /api/targets?stream=1&index={version} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    ).encode()


class WatchResponse:
    """The answer to a watch, piece by piece; each piece gives the lists that it completes.

    Attributes:
        rest: what has come of a line that is not whole yet.
        object_lines: of an object that goes on, where lists come indented.
        depth: how many brackets of that object are open.
        size: its bytes so far.
        completed: lists that were read and not yet returned.
        ended: whether the answer is over.
    """

    def __init__(self, names: ZoneAndKindNames) -> None:
        self.names = names
        self.parser = httptools.HttpResponseParser(self)
        self.rest = b""
        self.object_lines: list[bytes] = []
        self.depth = self.size = 0
        self.completed: list[EndpointsUpdated] = []
        self.ended = False

    def feed(self, data: bytes) -> list[EndpointsUpdated]:
        """Returns the lists that these bytes complete. Raises ListError."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:  # what a callback raised comes wrapped
            cause = error.__context__
            raise (cause if isinstance(cause, ListError) else ListError(f"not HTTP: {error}")) from error
        completed, self.completed = self.completed, []
        return completed

    def on_headers_complete(self) -> None:
        """Of the parser: the head has come. Raises ListError unless the call succeeded."""
        if self.parser.get_status_code() != HTTP_OK:
            raise ListError(f"status {self.parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        """Of the parser: a piece of the body has come. Raises ListError."""
        *lines, self.rest = (self.rest + body).split(b"\n")
        if self.size + len(self.rest) > MAX_LIST_BYTES:
            raise ListError("a list that is too long")
        for line in lines:
            if line.strip():
                self._line(line)

    def _line(self, line: bytes) -> None:
        """An object ends with the line that closes its last bracket; a string holds no line break."""
        bare = STRING.sub(b"", line)
        self.depth += sum(bare.count(c) for c in (b"{", b"[")) - sum(bare.count(c) for c in (b"}", b"]"))
        self.object_lines.append(line)
        self.size += len(line)
        if self.depth > 0 and self.size <= MAX_LIST_BYTES:
            return
        object_bytes, self.object_lines, self.depth, self.size = b"\n".join(self.object_lines), [], 0, 0
        try:
            data = json.loads(object_bytes)
        except (ValueError, RecursionError) as error:
            raise ListError("a list that is not JSON") from error
        self.completed.append(parse_list(data, self.names))

    def on_message_complete(self) -> None:
        """Of the parser: the answer is over."""
        self.ended = True
