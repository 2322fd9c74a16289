"""The platform's lines: the OPEN line that a submitter sends, and what an execute node sends back."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LONGEST = 4096
END = b"\r\n"
PING, PONG, MOVE, FAILED = b"PING\r\n", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n"


class LineError(Exception):
    """A line that the protocol does not know."""


@dataclass(slots=True, frozen=True)
class Open:
    head: str  # all before the list of names and values
    pairs: tuple[tuple[str, str], ...]

    def get(self, name: str, default: str = "") -> str:
        return next((value for key, value in self.pairs if key == name), default)

    def number(self, name: str) -> float:
        try:
            value = float(self.get(name, "0"))
        except ValueError:
            raise LineError(f"{name} is not a number") from None
        if not 0.0 <= value < 1e12:
            raise LineError(f"{name} is out of range")
        return value

    @property
    def key(self) -> int:
        return hexadecimal(self.head.split(" ")[2])

    def forward(self, left_ms: float) -> bytes:
        """The line as it goes on: all as it came, but for the time that is left."""
        left = str(max(1, int(left_ms)))
        listed = ",".join(f"{name}={left if name == 'd' else value}" for name, value in self.pairs)
        return f"{self.head} {listed}".encode() + END


def hexadecimal(text: str) -> int:
    try:
        return int(text, 16) & 0xFFFFFFFFFFFFFFFF
    except ValueError:
        raise LineError("a key is not hexadecimal") from None


def parse_open(line: bytes) -> Open:
    try:
        parts = line.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise LineError("a line that is not ASCII") from None
    if len(parts) != 4 or parts[0] != "OPEN":
        raise LineError("not an OPEN line")
    pairs = []
    for part in parts[3].split(","):
        name, equals, value = part.partition("=")
        if not equals:
            raise LineError("a name without a value")
        pairs.append((name, value))
    opened = Open(" ".join(parts[:3]), tuple(pairs))
    if opened.number("d") <= 0.0:
        raise LineError("no time to wait is given")
    return opened


def requeue_notice(after_ms: float) -> bytes:
    return b"BUSY %d\r\n" % round(after_ms) if after_ms >= 0.5 else b"BUSY\r\n"


class Word(Enum):
    """What an execute node's line says."""

    UP = "UP"
    BYE = "BYE"
    MOVE = "MOVE"
    ERR = "ERR"
    BUSY = "BUSY"
    LOAD = "LOAD"
    OTHER = ""


WORDS = {word.value.encode(): word for word in Word if word.value}


def word_of(line: bytes) -> Word:
    return WORDS.get(line.split(b" ", 1)[0], Word.OTHER)


def load_of(line: bytes) -> float | None:
    """The X of a LOAD X line; None where it makes no sense."""
    try:
        load = float(line.split(b" ", 1)[1])
    except (IndexError, ValueError):
        return None
    return load if 0.0 <= load < 1e12 else None


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
