"""Messages of control in peers' datagrams: cut into parcels, sealed, bounded; no I/O.

Each datagram is a `Datagram` with a `Payload` body. Who does not fit (another cluster, another version, a process that
has a successor, a flood) is dropped and counted by its cause.
"""

from __future__ import annotations

from collections import Counter, OrderedDict

from yarrowspindle.configuration import codec
from yarrowspindle.configuration.messages import NewerIncarnation, Sender
from yarrowspindle.maintenance.codec import InvalidMessageError
from yarrowspindle.membership.codec import Codec, DroppedDatagramError
from yarrowspindle.membership.messages import VERSION, Datagram, Payload
from yarrowspindle.protocol.fragments import Fragmenter
from yarrowspindle.routing.address import Address

MAX_INCARNATIONS = 4096  # addresses whose newest life is remembered
SOURCE_PER_S, MAX_SOURCES = 1000, 4096  # datagrams taken of one address in a second, and addresses
MAX_SENT = 256  # messages of several parcels that are kept to send parts again


class Link:
    """life: grows from one process to the next at this address; where the clock behind it went back, the others say
    so. first: a number for parcels that an earlier process did not use of late; any will do."""

    def __init__(self, name: str, address: Address, cluster: str, incarnation: int, first: int, now: float) -> None:
        self.name, self.address, self.cluster, self.incarnation = name, address, cluster, incarnation
        self.codec = Codec(cluster)
        self.parcels = Fragmenter(first, MAX_SENT)
        self.started, self.at = now, -1
        self.incarnations: OrderedDict[Address, int] = OrderedDict()
        self.sources: Counter[Address] = Counter()
        self.sources_at = now
        self.counts: Counter[str] = Counter()
        self.last: tuple[object, bytes] = (None, b"")

    def _sealed(self, now: float, data: bytes) -> bytes:
        self.at = max(int(now - self.started), self.at + 1)
        sealed = self.codec.encode(
            Datagram(VERSION, self.cluster, self.name, *self.address, self.incarnation, 0, self.at, Payload(data))
        )
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(sealed)
        return sealed

    def packed(self, now: float, to: Address, message: object) -> list[bytes]:
        """The datagrams that carry a message there."""
        if message is not self.last[0]:  # one message often goes to many
            self.last = message, codec.encode(message)
        return [self._sealed(now, part) for part in self.parcels.cut(f"{to[0]}:{to[1]}", self.last[1])]

    def came(self, now: float, data: bytes, source: Address) -> tuple[Sender, object | None, list[bytes]]:
        """Who sent it, a whole message where this made it whole, and datagrams that go back to the sender. Raises
        Dropped."""
        self.counts["came"] += 1
        self.counts["came_bytes"] += len(data)
        if now >= self.sources_at + 1000.0:
            self.sources_at = now
            self.sources.clear()
        if self.sources[source] >= SOURCE_PER_S or len(self.sources) > MAX_SOURCES:
            raise self._dropped("flood")
        self.sources[source] += 1
        try:
            datagram = self.codec.decode(data)
        except DroppedDatagramError as why:
            raise self._dropped(str(why)) from None
        sender = Sender(datagram.name, datagram.address, datagram.incarnation, datagram.sent_at)
        if sender.address == self.address or not isinstance(datagram.body, Payload):
            raise self._dropped("no message of control")
        known = self.incarnations.pop(sender.address, 0)
        self.incarnations[sender.address] = max(known, sender.incarnation)
        while len(self.incarnations) > MAX_INCARNATIONS:
            self.incarnations.popitem(last=False)
        if sender.incarnation < known:
            self.counts["earlier_life"] += 1
            return sender, None, self.packed(now, sender.address, NewerIncarnation(known))
        place = f"{sender.address[0]}:{sender.address[1]}"
        whole, back = self.parcels.came(now, place, datagram.body.data)
        replies = [self._sealed(now, part) for part in back]
        if whole is None:
            return sender, None, replies
        try:
            message = codec.decode(whole)
        except InvalidMessageError as why:
            raise self._dropped(str(why)) from None
        if isinstance(message, NewerIncarnation):
            if message.incarnation >= self.incarnation:
                self.incarnation = message.incarnation + 1
            return sender, None, replies
        return sender, message, replies

    def due(self, now: float) -> list[tuple[Address, bytes]]:
        """To be called every now and then: datagrams that ask for parts that are missing."""
        found = []
        for place, data in self.parcels.due(now):
            host, _, port = place.rpartition(":")
            found.append(((host, int(port)), self._sealed(now, data)))
        return found

    def _dropped(self, why: str) -> DroppedDatagramError:
        self.counts[f"dropped_{why.replace(' ', '_')}"] += 1
        return DroppedDatagramError(why)
