"""SWIM's probing: pings one member per interval, asks helpers for indirect pings on a timeout, and then suspects it."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from yarrowspindle.membership.context import MembershipContext
from yarrowspindle.membership.failure_detector import MAX_HELPERS, NACK_FRACTION, Probe
from yarrowspindle.membership.full_sync import FullSync
from yarrowspindle.membership.members import Member
from yarrowspindle.membership.messages import Ack, Datagram, MemberState, Nack, Ping, PingRequest
from yarrowspindle.membership.timers import DirectProbeTimeout, PeriodicTimer, RelayedPingTimeout
from yarrowspindle.membership.update_dissemination import UpdateDissemination

MAX_PINGS = 1024  # that await an answer
MAX_CLOCK_PINGS = 10  # additional pings per probe interval to peers whose clock offset is unknown
PING_LIFETIME_INTERVALS = 8.0  # probe intervals after which an unanswered ping is dropped


@dataclass(slots=True, frozen=True)
class PendingPing:
    """A ping that awaits its answer. `sent_at` is in milliseconds of this relay's clock."""

    target: str
    sent_at: float


@dataclass(slots=True, frozen=True)
class RelayedPing:
    """The relay that asked for an indirect ping, and the ping number that it expects in the answer."""

    requester: str
    number: int


class Probing:
    """The component that pings peers, and answers their pings and ping requests.

    Attributes:
        pings: Pings that await an answer, by number.
        relayed_pings: Those of them that were sent on behalf of a peer, by number.
    """

    def __init__(self, context: MembershipContext, updates: UpdateDissemination, full_sync: FullSync) -> None:
        self._context = context
        self._updates = updates
        self._full_sync = full_sync
        self._last_ping_number = 0
        self.pings: dict[int, PendingPing] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}

    # --- messages -------------------------------------------------------------------------------

    def on_ping(self, member: Member, datagram: Datagram, ping: Ping) -> None:
        """Answer a ping that is addressed to this relay's name."""
        members = self._context.members
        if ping.target != members.local.name:
            return
        members.superseded = False  # the sender's table has this relay's address under this name
        ack = Ack(ping.number, members.view_digest, ping.target)
        self._context.send(datagram.address, ack, priority_member=datagram.name)
        self._full_sync.compare_views(member, ping.view_digest)

    def on_ack(self, member: Member, datagram: Datagram, ack: Ack) -> None:
        """Record the answer to a ping, and forward it if a peer had asked for the ping."""
        context = self._context
        ping = self.pings.pop(ack.number, None)
        if ping is None or ping.target != ack.responder:
            context.counts["acks_late"] += 1
            return
        if datagram.name == ack.responder:
            view = context.signals.peer_view(member.name, member.incarnation)
            view.observe_clock(datagram.sent_at, ping.sent_at)
            self._full_sync.compare_views(member, ack.view_digest)
        probe = context.detector.probe
        if probe is not None and probe.number == ack.number:
            probe.answered = True
        relayed = self.relayed_pings.pop(ack.number, None)
        if relayed is not None:
            requester = context.members.table.get(relayed.requester)
            if requester is not None:
                context.send(requester.address, Ack(relayed.number, ack.view_digest, ack.responder))

    def on_ping_request(self, member: Member, datagram: Datagram, request: PingRequest) -> None:
        """Ping a member on behalf of the sender."""
        context = self._context
        if request.target == context.members.local.name or len(self.relayed_pings) >= MAX_PINGS:
            return
        number = self._next_ping_number()
        self.pings[number] = PendingPing(request.target, context.now)
        self.relayed_pings[number] = RelayedPing(datagram.name, request.number)
        ping = Ping(number, request.target, context.members.view_digest)
        context.send((request.host, request.port), ping, priority_member=request.target)
        context.set_timer(NACK_FRACTION * context.detector.probe_ms, RelayedPingTimeout(number))

    def on_nack(self, member: Member, datagram: Datagram, nack: Nack) -> None:
        """Count a helper that has no answer from the target of the probe in progress."""
        probe = self._context.detector.probe
        if probe is not None and probe.number == nack.number:
            probe.nacks += 1

    # --- timers ---------------------------------------------------------------------------------

    def check_stall(self, deadline: float) -> None:
        """Detect a stall of this process by a late probe timer."""
        context = self._context
        delay_ms = context.now - deadline
        if context.detector.detect_stall(delay_ms, context.now):
            context.counts["stood"] += 1
            context.log(
                f"this relay was stalled: its probe timer fired {delay_ms:.0f} ms late; "
                "it suspects no member until it has had time to read pending answers"
            )

    def on_interval(self) -> None:
        """End the probe in progress, and start the next one."""
        context = self._context
        peers = [member.name for member in context.present_peers()]
        unresponsive = context.detector.finish_probe(context.now)
        if unresponsive is not None:
            self._updates.suspect(unresponsive)
        self._updates.expire_suspicions()
        context.members.remove_ended(context.now - 1000.0 * context.settings.forget_s)
        self._full_sync.reconnect_if_due()
        if not context.members.superseded:
            self._start_probe(peers)
        self._forget_old_pings()
        context.set_timer(context.detector.interval_ms, PeriodicTimer.PROBE)

    def on_direct_timeout(self, number: int) -> None:
        """Ask helpers for indirect pings if the target of the probe in progress has not answered."""
        context = self._context
        probe = context.detector.probe
        if probe is None or probe.number != number or probe.answered:
            return
        target = context.members.table.get(probe.target)
        helpers = [
            member
            for member in context.present_peers()
            if member.state == MemberState.ALIVE and member.name != probe.target
        ]
        if target is None or not helpers:
            return
        for helper in context.random.sample(helpers, min(MAX_HELPERS, len(helpers))):
            probe.helpers += 1
            context.send(helper.address, PingRequest(number, target.name, *target.address))

    def on_relayed_timeout(self, number: int) -> None:
        """Send a nack to the relay that asked for an indirect ping if there is no answer yet."""
        relayed = self.relayed_pings.get(number)
        if relayed is None:
            return
        requester = self._context.members.table.get(relayed.requester)
        if requester is not None:
            self._context.send(requester.address, Nack(relayed.number))

    # --- pings ----------------------------------------------------------------------------------

    def _start_probe(self, peers: list[str]) -> None:
        context = self._context
        target = context.detector.next_target(peers)
        if not target:
            return
        number = self._ping(context.members.table[target])
        context.detector.probe = Probe(target, number, context.now)
        context.set_timer(context.detector.direct_timeout_ms, DirectProbeTimeout(number))
        for peer in islice(context.signals.peers_without_clock(peers), MAX_CLOCK_PINGS):
            if peer != target:
                self._ping(context.members.table[peer])

    def _ping(self, member: Member) -> int:
        context = self._context
        number = self._next_ping_number()
        self.pings[number] = PendingPing(member.name, context.now)
        while len(self.pings) > MAX_PINGS:
            del self.pings[next(iter(self.pings))]
        context.send(
            member.address, Ping(number, member.name, context.members.view_digest), priority_member=member.name
        )
        return number

    def _forget_old_pings(self) -> None:
        oldest = self._context.now - PING_LIFETIME_INTERVALS * self._context.detector.interval_ms
        for number in [number for number, ping in self.pings.items() if ping.sent_at < oldest]:
            del self.pings[number]
            self.relayed_pings.pop(number, None)

    def _next_ping_number(self) -> int:
        self._last_ping_number += 1
        return self._last_ping_number
