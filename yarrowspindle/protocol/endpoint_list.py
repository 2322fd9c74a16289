"""The endpoint list: the HTTP request that opens a watch, and the parser of the streamed response."""

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
MAX_LIST_BYTES = 4 << 20  # of one JSON object, including its indentation
MAX_PORT, MAX_CELL, MAX_SIZE = 65_535, 1e9, 1e9
MAX_TIME_MS = 1e14  # Unix time; the year 5138
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListError(Exception):
    """Invalid data from the discovery service, or an invalid list in the settings."""


@dataclass(slots=True, frozen=True)
class ZoneAndKindNames:
    """Names of zones and of kinds of backends, in the order of the settings."""

    zones: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)


def index_of(names: list[str], name: object) -> int:
    """Return the index of the name; 0 if it is unknown or not a string."""
    return names.index(name) if isinstance(name, str) and name in names else 0


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raise ListError if it is invalid."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ListError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


def parse_name(value: object) -> str:
    """Return the value if it is a non-empty string. Raise ListError otherwise."""
    if not isinstance(value, str) or not value:
        raise ListError(f"not a name (a non-empty string): {value!r}")
    return value


def parse_number(value: object, default: float, maximum: float) -> float:
    """Return a number; the default if it is absent or 0. Raise ListError unless it is from 0 to `maximum`."""
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value <= maximum:
        raise ListError(f"not a number from 0 to {maximum:g}: {value!r}")
    return float(value) or default


def parse_list(data: object, names: ZoneAndKindNames, kind: ListKind | None = None) -> EndpointsUpdated:
    """Parse a list in the discovery service's JSON form.

    Args:
        data: The decoded JSON object.
        names: Names of zones and kinds, which become indexes.
        kind: The kind of the list; None to take it from the list's `complete`.

    Raises:
        ListError: The list is invalid.
    """
    if not isinstance(data, dict) or not isinstance(data.get("members"), list):
        raise ListError("an endpoint list without members")
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
        raise ListError(f"an invalid member or revision in the endpoint list: {error!r}") from error
    if kind is None:
        kind = ListKind.FULL if data.get("complete") else ListKind.DELTA
    return EndpointsUpdated(kind, endpoints, version)


def watch_request(host: str, version: int) -> bytes:
    """Return the HTTP request that opens a watch for changes after a version; 0: for the full list."""
    return (
        f"GET /api/targets?stream=1&index={version} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    ).encode()


class WatchResponse:
    """Incremental parser of the HTTP response to a watch: a stream of JSON objects, one list or delta each.

    Attributes:
        rest: The incomplete last line.
        object_lines: The lines received of an incomplete object; a service may indent its JSON.
        depth: The number of open brackets of that object.
        size: The number of bytes of that object so far.
        completed: Lists that were parsed and not yet returned by `feed`.
        ended: Whether the response is complete.
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
        """Return the lists that these bytes complete. Raise ListError if the response is invalid."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:  # also wraps what a callback raised
            cause = error.__context__
            raise (
                cause if isinstance(cause, ListError) else ListError(f"the response is not HTTP: {error}")
            ) from error
        completed, self.completed = self.completed, []
        return completed

    def on_headers_complete(self) -> None:
        """Check the status, as httptools' callback for complete headers. Raise ListError unless it is 200."""
        if self.parser.get_status_code() != HTTP_OK:
            raise ListError(f"HTTP status {self.parser.get_status_code()} instead of {HTTP_OK}")

    def on_body(self, body: bytes) -> None:
        """Process a part of the body, as httptools' callback. Raise ListError if a list is invalid."""
        *lines, self.rest = (self.rest + body).split(b"\n")
        if self.size + len(self.rest) > MAX_LIST_BYTES:
            raise ListError(f"an endpoint list longer than {MAX_LIST_BYTES} bytes")
        for line in lines:
            if line.strip():
                self._line(line)

    def _line(self, line: bytes) -> None:
        """Add a line; parse the object if the line closes its last bracket. JSON strings hold no line breaks."""
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
            raise ListError("an endpoint list that is not JSON") from error
        self.completed.append(parse_list(data, self.names))

    def on_message_complete(self) -> None:
        """Note the end of the response, as httptools' callback."""
        self.ended = True
