"""Fragmentation of messages that exceed a datagram, with requests for missing fragments. No I/O.

Delivery is not guaranteed: a message that stays incomplete is dropped, which the protocol above has to tolerate.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

FRAGMENT_BYTES = 900  # one fragment fits into a datagram of the membership protocol, with its header
MAX_FRAGMENTS = 400  # per message
MAX_REQUESTED_FRAGMENTS = 200  # per request for missing fragments
MAX_RETAINED_MESSAGES = 64  # sent messages retained to answer requests for missing fragments
MAX_PARTIAL_MESSAGES = 32
REQUEST_INTERVAL_MS = 60.0
REASSEMBLY_TIMEOUT_MS = 1500.0
MESSAGE_NUMBER_MASK = (1 << 48) - 1


class Fragment(Struct, array_like=True, tag=1, frozen=True):
    """Fragment `index` of the `count` that make up message `number` of the sender."""

    number: int
    index: int
    count: int
    data: bytes


class MissingFragments(Struct, array_like=True, tag=2, frozen=True):
    """A request to send these fragments of the recipient's message `number` again."""

    number: int
    missing: list[int]


@dataclass(slots=True)
class PartialMessage:
    """A message of which some fragments have been received. Times are in milliseconds."""

    count: int
    fragments: dict[int, bytes] = field(default_factory=dict)
    requested_at: float = 0.0
    started_at: float = 0.0

    @property
    def complete(self) -> bool:
        """Whether all fragments have been received."""
        return len(self.fragments) == self.count

    def missing(self) -> list[int]:
        """Return the indexes of the missing fragments."""
        return [index for index in range(self.count) if index not in self.fragments]

    def joined(self) -> bytes:
        """Return the bytes of a complete message."""
        return b"".join(self.fragments[index] for index in range(self.count))


class FragmentResult(NamedTuple):
    """The result of a received datagram: the message it completed, if any, and datagrams to send to its source."""

    message: bytes | None = None
    replies: tuple[bytes, ...] = ()


class Fragmenter:
    """Splitter of messages into fragments, which also reassembles received messages.

    Args:
        first_number: The number before that of the first message; an earlier process of the same name must not have
            used the numbers after it recently. A random number is sufficient.
        max_retained: How many sent messages are retained to send fragments again.
    """

    def __init__(self, first_number: int, max_retained: int = MAX_RETAINED_MESSAGES) -> None:
        self.number = first_number
        self.max_retained = max_retained
        self.sent: OrderedDict[tuple[str, int], list[bytes]] = OrderedDict()
        self.partial: OrderedDict[tuple[str, int], PartialMessage] = OrderedDict()
        self.completed: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._encode = Encoder().encode
        self._decode = Decoder(Fragment | MissingFragments).decode

    def split(self, destination: str, data: bytes) -> list[bytes]:
        """Return the datagrams that carry the message to the destination."""
        self.number = (self.number + 1) & MESSAGE_NUMBER_MASK
        pieces = [data[start : start + FRAGMENT_BYTES] for start in range(0, len(data), FRAGMENT_BYTES)] or [b""]
        fragments = [
            self._encode(Fragment(self.number, index, len(pieces), piece)) for index, piece in enumerate(pieces)
        ]
        if len(fragments) > 1:
            self.sent[destination, self.number] = fragments
            while len(self.sent) > self.max_retained:
                self.sent.popitem(last=False)
        return fragments

    def on_datagram(self, now: float, source: str, data: bytes) -> FragmentResult:
        """Handle a datagram received at `now`, in milliseconds. An invalid datagram has no effect."""
        try:
            received = self._decode(data)
        except (DecodeError, ValidationError):
            return FragmentResult()
        if isinstance(received, MissingFragments):
            return FragmentResult(replies=self._requested(source, received))
        return FragmentResult(message=self._reassemble(now, source, received))

    def _requested(self, source: str, request: MissingFragments) -> tuple[bytes, ...]:
        fragments = self.sent.get((source, request.number), [])
        indexes = request.missing[:MAX_FRAGMENTS]
        return tuple(fragments[index] for index in indexes if 0 <= index < len(fragments))

    def _reassemble(self, now: float, source: str, fragment: Fragment) -> bytes | None:
        if not 0 <= fragment.index < fragment.count <= MAX_FRAGMENTS:
            return None
        if fragment.count == 1:
            return fragment.data
        key = (source, fragment.number)
        if key in self.completed:
            return None
        partial = self.partial.setdefault(key, PartialMessage(fragment.count, requested_at=now, started_at=now))
        if partial.count != fragment.count:
            return None
        partial.fragments[fragment.index] = fragment.data
        if not partial.complete:
            while len(self.partial) > MAX_PARTIAL_MESSAGES:
                self.partial.popitem(last=False)
            return None
        del self.partial[key]
        # Completed messages are remembered so that duplicate fragments do not deliver a message twice.
        self.completed[key] = None
        while len(self.completed) > MAX_PARTIAL_MESSAGES:
            self.completed.popitem(last=False)
        return partial.joined()

    def requests_due(self, now: float) -> list[tuple[str, bytes]]:
        """Drop messages that timed out, and return the requests for missing fragments that are due.

        Call it periodically.

        Args:
            now: The time in milliseconds.

        Returns:
            Pairs of a destination and a datagram.
        """
        requests = []
        for (source, number), partial in list(self.partial.items()):
            if now >= partial.started_at + REASSEMBLY_TIMEOUT_MS:
                del self.partial[source, number]
            elif now >= partial.requested_at + REQUEST_INTERVAL_MS:
                partial.requested_at = now
                missing = partial.missing()[:MAX_REQUESTED_FRAGMENTS]
                requests.append((source, self._encode(MissingFragments(number, missing))))
        return requests
