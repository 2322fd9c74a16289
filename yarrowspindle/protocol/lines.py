"""The platform's lines: the OPEN line that a client sends, and what a backend sends back."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

MAX_LINE_BYTES = 4096
CRLF = b"\r\n"
PING, PONG, MOVE, ERR, NO = b"PING\r\n", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n", b"NO\r\n"
PROBES = {b"PING": PONG, b"STATS": NO}  # what a connection may ask before its OPEN line
MAX_PROBES = 4
STATS = b"STATS\r\n"
# Narrower than what int() and float() take: signs, underscores and exponents are no figures of this protocol.
OPEN_LINE = re.compile(r"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) (\S+)")
PAIR = re.compile(r"([a-z][a-z0-9_]{0,31})=([!-+\--<>-~]+)")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
HEXADECIMAL = re.compile(r"[0-9a-f]{1,16}")
MIN_RETRY_AFTER_MS = 0.5  # what rounds to no millisecond is not told
MAX_LOAD = 1e12  # of a LOAD line: microseconds of work a second, or milliseconds


class LineError(Exception):
    """A line that the protocol does not know."""


@dataclass(slots=True, frozen=True)
class OpenRequest:
    """A client's request as its first line has it.

    Attributes:
        id: the client's name for the request, 16 hexadecimal digits.
        affinity_key: its key, in the same form.
        pairs: names and values, in the order in which they came.
    """

    id: str
    affinity_key: str
    pairs: dict[str, str]

    def get(self, name: str, default: str = "") -> str:
        """Returns the value of a name as it came."""
        return self.pairs.get(name, default)

    def number(self, name: str) -> float:
        """Returns the value as a number; 0 where the name did not come. Raises LineError."""
        value = self.get(name, "0")
        if not DECIMAL.fullmatch(value):
            raise LineError(f"{name} is not a figure")
        return float(value)

    def flag(self, name: str) -> bool:
        """Returns the value as a truth value; False where the name did not come. Raises LineError."""
        value = self.get(name, "0")
        if value not in ("0", "1"):
            raise LineError(f"{name} is neither 0 nor 1")
        return value == "1"

    def hexadecimal(self, name: str) -> int:
        """Returns the value of hexadecimal digits; 0 where the name did not come. Raises LineError."""
        value = self.get(name, "0")
        if not HEXADECIMAL.fullmatch(value):
            raise LineError(f"{name} is not hexadecimal")
        return int(value, 16)

    @property
    def key(self) -> int:
        """The number that its key stands for."""
        return int(self.affinity_key, 16)

    def forward(self, left_ms: float) -> bytes:
        """Returns the line as it goes on: all as it came, but for the time that is left."""
        left = str(max(1, int(left_ms)))
        listed = ",".join(f"{name}={left if name == 'd' else value}" for name, value in self.pairs.items())
        return f"OPEN {self.id} {self.affinity_key} {listed}".encode() + CRLF


def parse_open(line: bytes) -> OpenRequest:
    """Reads an OPEN line without its end. Raises LineError."""
    try:
        match = OPEN_LINE.fullmatch(line.decode("ascii"))
    except UnicodeDecodeError:
        raise LineError("a line that is not ASCII") from None
    if match is None:
        raise LineError("not an OPEN line")
    pairs: dict[str, str] = {}
    for part in match[3].split(","):
        pair = PAIR.fullmatch(part)
        if pair is None:
            raise LineError("not a name and a value")
        if pair[1] in pairs:
            raise LineError("a name that comes twice")
        pairs[pair[1]] = pair[2]
    opened = OpenRequest(match[1], match[2], pairs)
    if opened.number("d") < 1.0:
        raise LineError("no time to wait is given")
    return opened


class OpeningReader:
    """What a client sends until its connection is established: a few probes, then one OPEN line and nothing behind it.

    Bounded and linear, however much comes at once and in whatever pieces.
    """

    __slots__ = ("rest", "probes")

    def __init__(self) -> None:
        self.rest = b""
        self.probes = 0

    def feed(self, data: bytes, ready: bool = True) -> tuple[bytes, OpenRequest | None]:
        """Returns what to answer to probes, and the OPEN line once it is there. Raises LineError.

        ready: whether the relay accepts connections; where it does not, PING is answered with NO.
        """
        data, self.rest, at, answers = self.rest + data, b"", 0, b""
        while (end := data.find(b"\n", at, at + MAX_LINE_BYTES)) >= 0:
            line, at = data[at : end + 1], end + 1
            if not line.endswith(CRLF):
                raise LineError("a line that does not end with CRLF")
            line = line[:-2]
            if line not in PROBES:
                if at < len(data):
                    raise LineError("more than one line at once")
                return answers, parse_open(line)
            self.probes += 1
            if self.probes > MAX_PROBES:
                raise LineError("too many probes")
            answers += PROBES[line] if ready or line != b"PING" else NO
        if len(data) - at >= MAX_LINE_BYTES:
            raise LineError("a first line that is too long")
        self.rest = data[at:]
        return answers, None


def rejection_line(after_ms: float) -> bytes:
    """Returns the answer that rejects a request, with the time after which to come again where there is one."""
    return b"BUSY %d\r\n" % round(after_ms) if after_ms >= MIN_RETRY_AFTER_MS else b"BUSY\r\n"


class LineKind(Enum):
    """What a backend's line says, by its first word."""

    UP = "UP"
    BYE = "BYE"
    MOVE = "MOVE"
    ERR = "ERR"
    BUSY = "BUSY"
    LOAD = "LOAD"
    OTHER = ""


LINE_KINDS = {kind.value.encode(): kind for kind in LineKind if kind.value}


def parse_line_kind(line: bytes) -> LineKind:
    """Returns what a backend's line says."""
    return LINE_KINDS.get(line.split(b" ", 1)[0], LineKind.OTHER)


def parse_load(line: bytes) -> float | None:
    """Returns the X of a LOAD X line; None where it makes no sense."""
    try:
        load = float(line.split(b" ", 1)[1])
    except (IndexError, ValueError):
        return None
    return load if 0.0 <= load < MAX_LOAD else None


def parse_load_report(line: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Returns the values of these fields in a backend's answer to `STATS`; empty where one is missing.

    Raises LineError where it is no such answer.
    """
    try:
        first, _, rest = line.decode("ascii").partition(" ")
    except UnicodeDecodeError:
        raise LineError("an answer to a probe that is not ASCII") from None
    if first != "PONG":
        raise LineError(f"{line[:60]!r} as an answer to a probe")
    values: dict[str, float] = {}
    for part in rest.replace(" ", ",").split(",") if rest else ():
        name, _, value = part.partition("=")
        if not DECIMAL.fullmatch(value):
            raise LineError(f"{line[:60]!r}, a load report that makes no sense")
        values[name] = float(value)
    return tuple(values[name] for name in fields) if values.keys() >= set(fields) else ()


class LineSplitter:
    """Cuts a stream into lines without their ends; what is no whole line yet is kept."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that these bytes complete. Raises LineError where one is too long."""
        if self.rest:
            data = self.rest + data
        *lines, self.rest = data.split(CRLF)
        if len(self.rest) > MAX_LINE_BYTES or any(len(line) > MAX_LINE_BYTES for line in lines):
            raise LineError("a line that is too long")
        return lines

    @property
    def at_boundary(self) -> bool:
        """Whether the stream stands between two lines."""
        return not self.rest
