"""Messages that are longer than a datagram, cut into parcels; parts that are missing are asked for again. Pure.

Nothing here is needed for safety: a message that does not come whole is lost, as any may be.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

PART = 900  # bytes, so that a datagram of peers holds one with its head
MAX_PARTS = 400  # of one message
MAX_SENT, MAX_HALF = 64, 32  # messages kept to send parts again, and such that are not whole yet
AGAIN_MS, GIVE_UP_MS = 60.0, 1500.0


class Fragment(Struct, array_like=True, tag=1, frozen=True):
    number: int
    index: int
    count: int
    data: bytes


class MissingFragments(Struct, array_like=True, tag=2, frozen=True):
    """These parts of your message have not come."""

    number: int
    missing: list[int]


@dataclass(slots=True)
class PartialMessage:
    count: int
    parts: dict[int, bytes] = field(default_factory=dict)
    asked: float = 0.0
    since: float = 0.0


class Fragmenter:
    """first: a number that an earlier process of this relay has not used of late; any will do. sent_most: messages
    that are kept to send parts again."""

    def __init__(self, first: int, sent_most: int = MAX_SENT) -> None:
        self.number, self.sent_most = first, sent_most
        self.sent: OrderedDict[tuple[str, int], list[bytes]] = OrderedDict()
        self.half: OrderedDict[tuple[str, int], PartialMessage] = OrderedDict()
        self.whole: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._encode, self._decode = Encoder().encode, Decoder(Fragment | MissingFragments).decode

    def cut(self, to: str, data: bytes) -> list[bytes]:
        """The datagrams that carry it."""
        self.number = (self.number + 1) & (1 << 48) - 1
        pieces = [data[at : at + PART] for at in range(0, len(data), PART)] or [b""]
        parts = [self._encode(Fragment(self.number, i, len(pieces), piece)) for i, piece in enumerate(pieces)]
        if len(parts) > 1:
            self.sent[to, self.number] = parts
            while len(self.sent) > self.sent_most:
                self.sent.popitem(last=False)
        return parts

    def came(self, now: float, source: str, data: bytes) -> tuple[bytes | None, list[bytes]]:
        """A whole message, where this made it whole; and what is to be sent back."""
        try:
            part = self._decode(data)
        except (DecodeError, ValidationError):
            return None, []
        if isinstance(part, MissingFragments):
            parts = self.sent.get((source, part.number), [])
            return None, [parts[i] for i in part.missing[:MAX_PARTS] if 0 <= i < len(parts)]
        if not 0 <= part.index < part.count <= MAX_PARTS:
            return None, []
        if part.count == 1:
            return part.data, []
        key = (source, part.number)
        if key in self.whole:
            return None, []
        half = self.half.setdefault(key, PartialMessage(part.count, asked=now, since=now))
        if half.count != part.count:
            return None, []
        half.parts[part.index] = part.data
        if len(half.parts) == half.count:
            del self.half[key]
            self.whole[key] = None
            while len(self.whole) > MAX_HALF:
                self.whole.popitem(last=False)
            return b"".join(half.parts[i] for i in range(half.count)), []
        while len(self.half) > MAX_HALF:
            self.half.popitem(last=False)
        return None, []

    def due(self, now: float) -> list[tuple[str, bytes]]:
        """To be called every now and then: who is to be asked for what is missing."""
        asked = []
        for (source, number), half in list(self.half.items()):
            if now >= half.since + GIVE_UP_MS:
                del self.half[source, number]
            elif now >= half.asked + AGAIN_MS:
                half.asked = now
                missing = [i for i in range(half.count) if i not in half.parts]
                asked.append((source, self._encode(MissingFragments(number, missing[:200]))))
        return asked
