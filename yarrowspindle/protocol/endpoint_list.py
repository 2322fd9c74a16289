"""The machine list: the request for a watch, and its answer as it streams in."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field

import httptools

from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated

STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}
LONGEST = 4 << 20
MAX_PORT, MAX_CELL, MAX_SIZE = 65_535, 1e9, 1e9
MAX_TIME_MS = 1e14  # of a Unix time: the year 5138
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListError(Exception):
    """An answer that the machine list should not have given."""


@dataclass(slots=True, frozen=True)
class Names:
    """Names of zones and kinds, as the settings have them."""

    zones: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)


def place(names: list[str], name: object) -> int:
    return names.index(name) if isinstance(name, str) and name in names else 0


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ListError(f"not an address: {text!r}")
    return host, int(port)


def parse_name(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ListError(f"not a name: {value!r}")
    return value


def parse_figure(value: object, default: float, most: float) -> float:
    """A number from 0 up to `most`; the default where it is absent or 0."""
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value <= most:
        raise ListError(f"not a figure from 0 to {most:g}: {value!r}")
    return float(value) or default


def parse_list(data: object, names: Names, kind: ListKind | None = None) -> EndpointsUpdated:
    if not isinstance(data, dict) or not isinstance(data.get("members"), list):
        raise ListError("a list without members")
    try:
        machines = [
            Endpoint(
                name=parse_name(m["id"]),
                address=parse_address(m["host_port"]),
                state=STATES[m["phase"]],
                zone=place(names.zones, m.get("locality")),
                cell=int(parse_figure(m.get("cell"), 0.0, MAX_CELL)),
                kind=place(names.kinds, m.get("flavor")),
                capacity=parse_figure(m.get("size"), 1.0, MAX_SIZE),
                started_ms=parse_figure(m.get("up_since_ms"), 0.0, MAX_TIME_MS),
            )
            for m in data["members"]
        ]
        version = int(data.get("revision") or 0)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"a member that makes no sense: {error!r}") from error
    if kind is None:
        kind = ListKind.FULL if data.get("complete") else ListKind.DELTA
    return EndpointsUpdated(kind, machines, version)


def watch_request(host: str, version: int) -> bytes:
    return (
        f"GET /api/targets?stream=1&index={version} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    ).encode()


class WatchAnswer:
    """The answer to a watch, piece by piece; each piece gives the lists that it completes."""

    def __init__(self, names: Names) -> None:
        self.names = names
        self.parser = httptools.HttpResponseParser(self)
        self.rest = b""
        self.held: list[bytes] = []  # lines of an object that goes on, where lists come indented
        self.depth = self.size = 0
        self.told: list[EndpointsUpdated] = []
        self.ended = False

    def feed(self, data: bytes) -> list[EndpointsUpdated]:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:  # what a callback raised comes wrapped
            said = error.__context__
            raise (said if isinstance(said, ListError) else ListError(f"not HTTP: {error}")) from error
        told, self.told = self.told, []
        return told

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            raise ListError(f"status {self.parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        *lines, self.rest = (self.rest + body).split(b"\n")
        if self.size + len(self.rest) > LONGEST:
            raise ListError("a list that is too long")
        for line in lines:
            if line.strip():
                self._line(line)

    def _line(self, line: bytes) -> None:
        """An object ends with the line that closes its last bracket; a string holds no line break."""
        bare = STRING.sub(b"", line)
        self.depth += sum(bare.count(c) for c in (b"{", b"[")) - sum(bare.count(c) for c in (b"}", b"]"))
        self.held.append(line)
        self.size += len(line)
        if self.depth > 0 and self.size <= LONGEST:
            return
        whole, self.held, self.depth, self.size = b"\n".join(self.held), [], 0, 0
        try:
            data = json.loads(whole)
        except (ValueError, RecursionError) as error:
            raise ListError("a list that is not JSON") from error
        self.told.append(parse_list(data, self.names))

    def on_message_complete(self) -> None:
        self.ended = True
