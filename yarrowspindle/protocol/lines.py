"""The platform's line protocol: the OPEN line that a client sends, and the lines that a backend answers with."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MAX_LINE_BYTES = 4096
CRLF = b"\r\n"
PING, PONG, MOVE, ERR, NO = b"PING\r\n", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n", b"NO\r\n"
PROBES = {b"PING": PONG, b"STATS": NO}  # probes that a client may send before its OPEN line, with their replies
MAX_PROBES = 4
STATS = b"STATS\r\n"
# int() and float() would also accept signs, underscores and exponents, which this protocol does not allow.
OPEN_LINE = re.compile(r"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) (\S+)")
PAIR = re.compile(r"([a-z][a-z0-9_]{0,31})=([!-+\--<>-~]+)")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
HEXADECIMAL = re.compile(r"[0-9a-f]{1,16}")
MIN_RETRY_AFTER_MS = 0.5  # a smaller value would be sent as 0 and is omitted
LOAD_AFTER_LINE = b"\r\nLOAD "
MAX_LOADS = 16  # LOAD lines that are reported of those read at once; a newer one replaces an older one
MAX_LOAD = 1e12  # in a LOAD line: microseconds of work per second, or milliseconds


class LineError(Exception):
    """A line that violates the line protocol."""


class LineTooLongError(LineError):
    """A line that exceeds MAX_LINE_BYTES.

    Attributes:
        lines_before: The lines before it, with their CRLFs, that the same call of `LineSplitter` completed.
    """

    def __init__(self, lines_before: bytes) -> None:
        super().__init__(f"a line longer than {MAX_LINE_BYTES} bytes")
        self.lines_before = lines_before


@dataclass(slots=True, frozen=True)
class OpenRequest:
    """A client's request, as stated in its OPEN line.

    Attributes:
        id: The request's id, chosen by the client: 16 hexadecimal digits.
        client_key: The key that identifies the client: 16 hexadecimal digits.
        pairs: The `name=value` parameters in their order on the wire.
    """

    id: str
    client_key: str
    pairs: dict[str, str]

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a parameter as it was received."""
        return self.pairs.get(name, default)

    def number(self, name: str) -> float:
        """Return a parameter as a number; 0 if it is absent. Raise LineError if it is not a decimal number."""
        value = self.get(name, "0")
        if not DECIMAL.fullmatch(value):
            raise LineError(f"parameter {name} of the OPEN line is not a decimal number: {value[:60]!r}")
        return float(value)

    def flag(self, name: str) -> bool:
        """Return a parameter as a truth value; False if it is absent. Raise LineError if it is neither 0 nor 1."""
        value = self.get(name, "0")
        if value not in ("0", "1"):
            raise LineError(f"parameter {name} of the OPEN line is neither 0 nor 1: {value[:60]!r}")
        return value == "1"

    def hexadecimal(self, name: str) -> int:
        """Return a parameter that holds hexadecimal digits; 0 if it is absent. Raise LineError if it holds others."""
        value = self.get(name, "0")
        if not HEXADECIMAL.fullmatch(value):
            raise LineError(f"parameter {name} of the OPEN line is not hexadecimal: {value[:60]!r}")
        return int(value, 16)

    @property
    def key(self) -> int:
        """The client key as an integer."""
        return int(self.client_key, 16)

    def forward(self, remaining_ms: float) -> bytes:
        """Return the OPEN line for a backend: unchanged, except that `d` becomes the remaining time in milliseconds."""
        remaining = str(max(1, int(remaining_ms)))
        pair_list = ",".join(f"{name}={remaining if name == 'd' else value}" for name, value in self.pairs.items())
        return f"OPEN {self.id} {self.client_key} {pair_list}".encode() + CRLF


def parse_open(line: bytes) -> OpenRequest:
    """Parse an OPEN line without its CRLF. Raise LineError if it is invalid."""
    try:
        match = OPEN_LINE.fullmatch(line.decode("ascii"))
    except UnicodeDecodeError:
        raise LineError("the first line is not ASCII") from None
    if match is None:
        raise LineError("the first line is not a valid OPEN line")
    pairs: dict[str, str] = {}
    for part in match[3].split(","):
        pair = PAIR.fullmatch(part)
        if pair is None:
            raise LineError(f"a parameter of the OPEN line is not of the form name=value: {part[:60]!r}")
        if pair[1] in pairs:
            raise LineError(f"parameter {pair[1]} occurs twice in the OPEN line")
        pairs[pair[1]] = pair[2]
    opened = OpenRequest(match[1], match[2], pairs)
    if opened.number("d") < 1.0:
        raise LineError("parameter d of the OPEN line, the deadline in milliseconds, is absent or less than 1")
    return opened


class OpeningReader:
    """Parser of a client's data before its connection is established: a few probes, then one OPEN line and no more.

    Memory is bounded and the time is linear in the input, regardless of its size and of the chunks in which it arrives.
    """

    __slots__ = ("rest", "probes")

    def __init__(self) -> None:
        self.rest = b""
        self.probes = 0

    def feed(self, data: bytes, ready: bool = True) -> tuple[bytes, OpenRequest | None]:
        """Parse a chunk of data.

        Args:
            data: The received bytes.
            ready: Whether the relay accepts connections; if not, PING is answered with NO.

        Returns:
            The replies to probes, and the OPEN line once it is complete.

        Raises:
            LineError: The data violates the protocol.
        """
        data, self.rest, offset, answers = self.rest + data, b"", 0, b""
        while (end := data.find(b"\n", offset, offset + MAX_LINE_BYTES)) >= 0:
            line, offset = data[offset : end + 1], end + 1
            if not line.endswith(CRLF):
                raise LineError("a line of the client does not end with CRLF")
            line = line[:-2]
            if line not in PROBES:
                if offset < len(data):
                    raise LineError("the client sent data after its first line without waiting for the answer")
                return answers, parse_open(line)
            self.probes += 1
            if self.probes > MAX_PROBES:
                raise LineError(f"the client sent more than {MAX_PROBES} probes before its OPEN line")
            answers += PROBES[line] if ready or line != b"PING" else NO
        if len(data) - offset >= MAX_LINE_BYTES:
            raise LineError(f"the first line is longer than {MAX_LINE_BYTES} bytes")
        self.rest = data[offset:]
        return answers, None


def rejection_line(retry_after_ms: float) -> bytes:
    """Return the BUSY line that rejects a request, with the time in milliseconds after which to retry, if any."""
    return b"BUSY %d\r\n" % round(retry_after_ms) if retry_after_ms >= MIN_RETRY_AFTER_MS else b"BUSY\r\n"


class LineKind(Enum):
    """Kinds of lines that a backend sends, by their first word."""

    UP = "UP"
    BYE = "BYE"
    MOVE = "MOVE"
    ERR = "ERR"
    BUSY = "BUSY"
    LOAD = "LOAD"
    OTHER = ""


LINE_KINDS = {kind.value.encode(): kind for kind in LineKind if kind.value}


def parse_line_kind(line: bytes) -> LineKind:
    """Return the kind of a backend's line."""
    return LINE_KINDS.get(line.split(b" ", 1)[0], LineKind.OTHER)


def parse_load(line: bytes) -> float | None:
    """Return the number in a LOAD line; None if it is missing, malformed or out of range."""
    try:
        load = float(line.split(b" ", 1)[1])
    except (IndexError, ValueError):
        return None
    return load if 0.0 <= load < MAX_LOAD else None


def parse_load_report(line: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of the given fields in a backend's reply to `STATS`; empty if any of them is missing.

    Raise LineError if the line is not a valid reply.
    """
    try:
        first, _, rest = line.decode("ascii").partition(" ")
    except UnicodeDecodeError:
        raise LineError("the reply to a probe is not ASCII") from None
    if first != "PONG":
        raise LineError(f"the reply to a probe does not begin with PONG: {line[:60]!r}")
    values: dict[str, float] = {}
    for part in rest.replace(" ", ",").split(",") if rest else ():
        name, _, value = part.partition("=")
        if not DECIMAL.fullmatch(value):
            raise LineError(f"the load report in the reply to a probe is malformed: {line[:60]!r}")
        values[name] = float(value)
    return tuple(values[name] for name in fields) if values.keys() >= set(fields) else ()


class BackendLines(NamedTuple):
    """What the relay has to know of the lines that a backend sent on an established connection.

    Attributes:
        loads: The numbers in the newest LOAD lines, MAX_LOADS at most, the oldest first.
        others: The number of all other lines.
        last_kind: The kind of the last one of these; None if there is none.
    """

    loads: Sequence[float]
    others: int
    last_kind: LineKind | None


def summarize_backend_lines(block: bytes) -> BackendLines:
    """Return what the relay has to know of complete lines, each with its CRLF.

    The cost hardly depends on the number of lines: short lines without end must not delay other connections.
    """
    lines = block.count(CRLF)
    if b"LOAD" not in block:
        start = block.rfind(CRLF, 0, -len(CRLF)) + len(CRLF) if lines > 1 else 0
        return BackendLines((), lines, LINE_KINDS.get(block[start : -len(CRLF)].partition(b" ")[0], LineKind.OTHER))
    return BackendLines(_newest_loads(block), lines - _count_load_lines(block), _last_kind(block))


def _count_load_lines(block: bytes) -> int:
    after_others = block.count(LOAD_AFTER_LINE) + block.count(b"\nLOAD\r")
    return after_others + block.startswith((b"LOAD ", b"LOAD\r"))


def _newest_loads(block: bytes) -> list[float]:
    loads: list[float] = []
    before = len(block)
    for _ in range(MAX_LOADS):
        before = block.rfind(LOAD_AFTER_LINE, 0, before)
        start = before + len(CRLF) if before >= 0 else 0
        load = parse_load(block[start : block.index(CRLF, start)]) if block.startswith(b"LOAD ", start) else None
        if load is not None:
            loads.append(load)
        if before < 0:
            break
    return loads[::-1]


def _last_kind(block: bytes) -> LineKind | None:
    """Return the kind of the last line that is no LOAD line; None if none is among the last MAX_LOADS + 1."""
    end = len(block) - len(CRLF)
    for _ in range(MAX_LOADS + 1):
        if end < 0:
            break
        before = block.rfind(CRLF, 0, end)
        kind = parse_line_kind(block[before + len(CRLF) if before >= 0 else 0 : end])
        if kind is not LineKind.LOAD:
            return kind
        end = before
    return None


class LineSplitter:
    """Splitter of a byte stream into lines; the incomplete last line is kept in `rest`."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines, without their CRLF, that these bytes complete. Raise LineTooLongError as `feed_block`."""
        return self.feed_block(data).split(CRLF)[:-1]

    def feed_block(self, data: bytes) -> bytes:
        """Return the lines that these bytes complete, as one block, each with its CRLF.

        Raises:
            LineTooLongError: A line, its CRLF not counted, exceeds MAX_LINE_BYTES.
        """
        if self.rest:
            data = self.rest + data
        elif len(data) <= MAX_LINE_BYTES and data.endswith(CRLF):
            return data  # the usual case: one short line
        end = data.rfind(CRLF) + len(CRLF) if CRLF in data else 0
        block, self.rest = data[:end], data[end:]
        long_at = _first_long_line(block)
        if long_at is not None or len(self.rest.removesuffix(b"\r")) > MAX_LINE_BYTES:
            raise LineTooLongError(block[:long_at])
        return block

    @property
    def at_boundary(self) -> bool:
        """Whether the last byte of the stream ended a line."""
        return not self.rest


def _first_long_line(block: bytes) -> int | None:
    """Return where the first line begins that exceeds MAX_LINE_BYTES; None if there is none.

    Each step goes to the last line that begins within MAX_LINE_BYTES, so that short lines cost no more than long ones.
    """
    start, longest = 0, MAX_LINE_BYTES + len(CRLF)
    while len(block) - start > longest:
        end = block.rfind(CRLF, start, start + longest)
        if end < 0:
            return start
        start = end + len(CRLF)
    return None
