"""The state shared by the components of the membership core, and the methods to emit datagrams and other effects."""

from __future__ import annotations

from collections import Counter
from random import Random

from yarrowspindle.membership.codec import Codec
from yarrowspindle.membership.effects import Effect, LogMessage, SendDatagram, SetTimer
from yarrowspindle.membership.failure_detector import FailureDetector
from yarrowspindle.membership.load_signals import LoadSignals
from yarrowspindle.membership.members import Member, Members
from yarrowspindle.membership.messages import MAX_DATAGRAM_BYTES, VERSION, Body, Datagram, MembershipUpdate
from yarrowspindle.membership.settings import PeerSettings
from yarrowspindle.membership.timers import MembershipTimer
from yarrowspindle.routing.address import Address

UPDATE_LIST_BYTES = 2  # encoding overhead of the list of updates


class MembershipContext:
    """The state shared by the components of the core.

    Args:
        settings: The settings in the section `[peers]`.
        name: This relay's name in the cluster.
        incarnation: Incarnation of this process.
        seed: Seed of all random choices.
        now: Current time in milliseconds of a monotonic clock.

    Attributes:
        now: Time of the current event; set by the core before each event.
        counts: Counters by their metric names.
    """

    def __init__(self, settings: PeerSettings, name: str, incarnation: int, seed: int, now: float) -> None:
        self.settings = settings
        self.now = now
        self.random = Random(seed)
        self.codec = Codec(settings.cluster)
        self.members = Members(name, settings.advertised_address, incarnation, now)
        self.detector = FailureDetector(1000.0 * settings.probe_s, 1000.0 * settings.suspicion_s, self.random.shuffle)
        self.signals = LoadSignals()
        self.counts: Counter[str] = Counter()
        self._effects: list[Effect] = []
        self._started_at = now
        self._last_sent_at = -1

    def take_effects(self) -> list[Effect]:
        """Return the effects emitted since the last call, in order."""
        effects, self._effects = self._effects, []
        return effects

    def emit(self, effect: Effect) -> None:
        """Add an effect to those of the current event."""
        self._effects.append(effect)

    def set_timer(self, delay_ms: float, timer: MembershipTimer) -> None:
        """Emit the effect that sets a timer."""
        self.emit(SetTimer(delay_ms, timer))

    def log(self, text: str, rate_limited: bool = False) -> None:
        """Emit a log line; `rate_limited` as for `LogMessage`."""
        self.emit(LogMessage(text, rate_limited))

    def present_peers(self) -> list[Member]:
        """Return the present members except this relay."""
        local = self.members.local
        return [member for member in self.members if member.present and member is not local]

    def encode(self, body: Body, updates: list[MembershipUpdate] | None = None, priority_member: str = "") -> bytes:
        """Encode a datagram.

        Args:
            body: Message to send.
            updates: Membership updates to include; if None, as many queued updates as fit.
            priority_member: Name of a member whose queued update is included before all others.
        """
        datagram = self._datagram(body, updates or [])
        data = self.codec.encode(datagram)
        if updates is None and not self.members.superseded:
            queued = self.members.take_updates(MAX_DATAGRAM_BYTES - len(data) - UPDATE_LIST_BYTES, priority_member)
            if queued:
                data = self.codec.encode(self._datagram(body, queued, datagram.sent_at))
        return data

    def send(
        self, address: Address, body: Body, updates: list[MembershipUpdate] | None = None, priority_member: str = ""
    ) -> None:
        """Encode and send a datagram; the arguments are those of `encode`."""
        self.send_encoded(address, self.encode(body, updates, priority_member))

    def send_encoded(self, address: Address, data: bytes) -> None:
        """Send an encoded datagram."""
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self.emit(SendDatagram(address, data))

    def _datagram(self, body: Body, updates: list[MembershipUpdate], sent_at: int | None = None) -> Datagram:
        local = self.members.local
        if sent_at is None:
            sent_at = self._next_sent_at()
        return Datagram(
            VERSION,
            self.settings.cluster,
            local.name,
            *local.address,
            local.incarnation,
            local.refutations,
            sent_at,
            body,
            updates,
        )

    def _next_sent_at(self) -> int:
        """Return the time since the start in milliseconds, strictly greater than for any earlier datagram."""
        self._last_sent_at = max(int(self.now - self._started_at), self._last_sent_at + 1)
        return self._last_sent_at
