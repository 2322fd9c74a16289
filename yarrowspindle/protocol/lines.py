"""The platform's lines: the OPEN line that a submitter sends, and what an execute node sends back."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

LONGEST = 4096
END = b"\r\n"
PING, PONG, MOVE, FAILED, NO = b"PING\r\n", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n", b"NO\r\n"
PROBES = {b"PING": PONG, b"STATS": NO}  # what a connection may ask before its OPEN line
MAX_PROBES = 4
STATS = b"STATS\r\n"
# Narrower than what int() and float() take: signs, underscores and exponents are no figures of this protocol.
OPEN_LINE = re.compile(r"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) (\S+)")
PAIR = re.compile(r"([a-z][a-z0-9_]{0,31})=([!-+\--<>-~]+)")
FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
HEXADECIMAL = re.compile(r"[0-9a-f]{1,16}")


class LineError(Exception):
    """A line that the protocol does not know."""


@dataclass(slots=True, frozen=True)
class Open:
    id: str
    flow: str
    pairs: dict[str, str]  # in the order in which they came

    def get(self, name: str, default: str = "") -> str:
        return self.pairs.get(name, default)

    def number(self, name: str) -> float:
        value = self.get(name, "0")
        if not FIGURE.fullmatch(value):
            raise LineError(f"{name} is not a figure")
        return float(value)

    def flag(self, name: str) -> bool:
        value = self.get(name, "0")
        if value not in ("0", "1"):
            raise LineError(f"{name} is neither 0 nor 1")
        return value == "1"

    def hexadecimal(self, name: str) -> int:
        value = self.get(name, "0")
        if not HEXADECIMAL.fullmatch(value):
            raise LineError(f"{name} is not hexadecimal")
        return int(value, 16)

    @property
    def key(self) -> int:
        return int(self.flow, 16)

    def forward(self, left_ms: float) -> bytes:
        """The line as it goes on: all as it came, but for the time that is left."""
        left = str(max(1, int(left_ms)))
        listed = ",".join(f"{name}={left if name == 'd' else value}" for name, value in self.pairs.items())
        return f"OPEN {self.id} {self.flow} {listed}".encode() + END


def parse_open(line: bytes) -> Open:
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
    opened = Open(match[1], match[2], pairs)
    if opened.number("d") < 1.0:
        raise LineError("no time to wait is given")
    return opened


class Opening:
    """What a submitter sends until its connection stands: a few probes, then one OPEN line and nothing behind it.

    Bounded and linear, however much comes at once and in whatever pieces."""

    __slots__ = ("rest", "probes")

    def __init__(self) -> None:
        self.rest = b""
        self.probes = 0

    def feed(self, data: bytes, ready: bool = True) -> tuple[bytes, Open | None]:
        """What to answer to probes, and the OPEN line once it is there; a relay that is not ready says NO to PING."""
        data, self.rest, at, answers = self.rest + data, b"", 0, b""
        while (end := data.find(b"\n", at, at + LONGEST)) >= 0:
            line, at = data[at : end + 1], end + 1
            if not line.endswith(END):
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
        if len(data) - at >= LONGEST:
            raise LineError("a first line that is too long")
        self.rest = data[at:]
        return answers, None


def rejection_line(after_ms: float) -> bytes:
    return b"BUSY %d\r\n" % round(after_ms) if after_ms >= 0.5 else b"BUSY\r\n"


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


def kind_of(line: bytes) -> LineKind:
    return LINE_KINDS.get(line.split(b" ", 1)[0], LineKind.OTHER)


def load_of(line: bytes) -> float | None:
    """The X of a LOAD X line; None where it makes no sense."""
    try:
        load = float(line.split(b" ", 1)[1])
    except (IndexError, ValueError):
        return None
    return load if 0.0 <= load < 1e12 else None


def report_of(line: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values of these fields in a node's answer to `STATS`; empty where it brings no report. Raises LineError."""
    try:
        word, _, rest = line.decode("ascii").partition(" ")
    except UnicodeDecodeError:
        raise LineError("an answer to a probe that is not ASCII") from None
    if word != "PONG":
        raise LineError(f"{line[:60]!r} as an answer to a probe")
    told: dict[str, float] = {}
    for part in rest.replace(" ", ",").split(",") if rest else ():
        name, _, value = part.partition("=")
        if not FIGURE.fullmatch(value):
            raise LineError(f"{line[:60]!r}, a load report that makes no sense")
        told[name] = float(value)
    return tuple(told[name] for name in fields) if told.keys() >= set(fields) else ()


class Lines:
    """Cuts a stream into lines without their ends; what is no whole line yet is kept."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        if self.rest:
            data = self.rest + data
        *lines, self.rest = data.split(END)
        if len(self.rest) > LONGEST or any(len(line) > LONGEST for line in lines):
            raise LineError("a line that is too long")
        return lines

    @property
    def between(self) -> bool:
        """Whether the stream stands between two lines."""
        return not self.rest
