"""Encoding of configuration messages into UDP datagrams, with fragments, cluster checks and rate limits; no I/O.

Each datagram is a `Datagram` of the membership protocol with a `Payload` body. Datagrams of another cluster, another
protocol version, an earlier incarnation or a source above its rate are dropped and counted by cause.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

from yarrowspindle.configuration import codec, published_counters
from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.messages import NewerIncarnation
from yarrowspindle.membership.codec import Codec, DroppedDatagramError
from yarrowspindle.membership.messages import VERSION, Datagram, Payload
from yarrowspindle.protocol.fragments import Fragmenter
from yarrowspindle.protocol.message_codec import InvalidMessageError
from yarrowspindle.routing.address import Address

MAX_INCARNATIONS = 4096  # addresses whose newest incarnation is stored
MAX_DATAGRAMS_PER_SOURCE_PER_S = 1000
MAX_SOURCES = 4096  # source addresses that are counted in a window
SOURCE_WINDOW_MS = 1000.0
MAX_RETAINED_MESSAGES = 256  # sent messages that are stored to retransmit missing fragments


@dataclass(slots=True, frozen=True)
class ReceivedDatagram:
    """An accepted datagram: its sender, the message that it completes, if any, and datagrams to send in response."""

    sender: Sender
    message: object | None
    replies: list[bytes]


@dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """The bytes of a datagram to send to an address."""

    to: Address
    data: bytes


class Link:
    """Encoder and decoder of the messages between this process and all others.

    All times are in milliseconds of this process's monotonic clock.

    Args:
        name: The name of this process.
        address: The address at which other processes reach this one.
        cluster: The name of the cluster; datagrams of other clusters are dropped.
        incarnation: A number that is higher for each new process at this address. It is derived from the wall clock; if
            that clock was set back, receivers report the newest incarnation that they know.
        first_number: The number of the first message; one that an earlier process at this address did not use recently.
        now: The current time.
    """

    def __init__(
        self, name: str, address: Address, cluster: str, incarnation: int, first_number: int, now: float
    ) -> None:
        self.name, self.address, self.cluster, self.incarnation = name, address, cluster, incarnation
        self.codec = Codec(cluster)
        self.fragmenter = Fragmenter(first_number, MAX_RETAINED_MESSAGES)
        self.started_at, self.last_sent_at = now, -1
        self.newest_incarnations: OrderedDict[Address, int] = OrderedDict()
        self.datagrams_by_source: Counter[Address] = Counter()
        self.source_window_started_at = now
        self.counts: Counter[str] = Counter()
        self.last_encoded: tuple[object, bytes] = (None, b"")

    def encode(self, now: float, to: Address, message: object) -> list[bytes]:
        """Return the datagrams that carry a message to an address."""
        if message is not self.last_encoded[0]:  # the same message is often sent to many addresses in a row
            self.last_encoded = message, codec.encode(message)
        fragments = self.fragmenter.split(self._host_and_port(to), self.last_encoded[1])
        return [self._encode_datagram(now, fragment) for fragment in fragments]

    def receive(self, now: float, data: bytes, source: Address) -> ReceivedDatagram:
        """Handle a received datagram.

        Raises:
            DroppedDatagramError: The datagram is not accepted; it has been counted by its cause.
        """
        self.counts[published_counters.DATAGRAMS_RECEIVED] += 1
        self.counts[published_counters.BYTES_RECEIVED] += len(data)
        self._limit_source(now, source)
        datagram, fragment = self._decode(data)
        sender = Sender(datagram.name, datagram.address, datagram.incarnation, datagram.sent_at)
        newest_incarnation = self._newest_incarnation(sender)
        if sender.incarnation < newest_incarnation:
            self.counts[published_counters.EARLIER_INCARNATIONS] += 1
            return ReceivedDatagram(
                sender, None, self.encode(now, sender.address, NewerIncarnation(newest_incarnation))
            )
        complete, fragment_replies = self.fragmenter.on_datagram(now, self._host_and_port(sender.address), fragment)
        replies = [self._encode_datagram(now, reply) for reply in fragment_replies]
        message = None if complete is None else self._decode_message(complete)
        if isinstance(message, NewerIncarnation):
            if message.incarnation >= self.incarnation:
                self.incarnation = message.incarnation + 1
            message = None
        return ReceivedDatagram(sender, message, replies)

    def missing_fragment_requests(self, now: float) -> list[OutgoingDatagram]:
        """Return datagrams that request missing fragments. Must be called periodically."""
        requests = []
        for destination, data in self.fragmenter.requests_due(now):
            host, _, port = destination.rpartition(":")
            requests.append(OutgoingDatagram((host, int(port)), self._encode_datagram(now, data)))
        return requests

    @staticmethod
    def _host_and_port(address: Address) -> str:
        return f"{address[0]}:{address[1]}"

    def _encode_datagram(self, now: float, data: bytes) -> bytes:
        self.last_sent_at = max(int(now - self.started_at), self.last_sent_at + 1)
        datagram = Datagram(
            VERSION, self.cluster, self.name, *self.address, self.incarnation, 0, self.last_sent_at, Payload(data)
        )
        encoded = self.codec.encode(datagram)
        self.counts[published_counters.DATAGRAMS_SENT] += 1
        self.counts[published_counters.BYTES_SENT] += len(encoded)
        return encoded

    def _limit_source(self, now: float, source: Address) -> None:
        if now >= self.source_window_started_at + SOURCE_WINDOW_MS:
            self.source_window_started_at = now
            self.datagrams_by_source.clear()
        is_above_rate = self.datagrams_by_source[source] >= MAX_DATAGRAMS_PER_SOURCE_PER_S
        if is_above_rate or len(self.datagrams_by_source) > MAX_SOURCES:
            raise self._drop_error(published_counters.SOURCE_RATE_EXCEEDED)
        self.datagrams_by_source[source] += 1

    def _decode(self, data: bytes) -> tuple[Datagram, bytes]:
        try:
            datagram = self.codec.decode(data)
        except DroppedDatagramError as error:
            raise self._drop_error(str(error)) from None
        if datagram.address == self.address or not isinstance(datagram.body, Payload):
            raise self._drop_error(published_counters.UNEXPECTED_BODY)
        return datagram, datagram.body.data

    def _newest_incarnation(self, sender: Sender) -> int:
        """Record the sender's incarnation, and return the newest one of its address known before this datagram."""
        previous = self.newest_incarnations.pop(sender.address, 0)
        self.newest_incarnations[sender.address] = max(previous, sender.incarnation)
        while len(self.newest_incarnations) > MAX_INCARNATIONS:
            self.newest_incarnations.popitem(last=False)
        return previous

    def _decode_message(self, data: bytes) -> object:
        try:
            return codec.decode(data)
        except InvalidMessageError as error:
            raise self._drop_error(str(error)) from None

    def _drop_error(self, cause: str) -> DroppedDatagramError:
        """Count a dropped datagram by its cause, and return the error to raise."""
        self.counts[published_counters.DROPPED_PREFIX + cause.replace(" ", "_")] += 1
        return DroppedDatagramError(cause)
